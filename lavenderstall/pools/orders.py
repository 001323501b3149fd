"""Orders to the workers of a pool, and what becomes of them."""

import logging
from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from lavenderstall.errors import LavenderstallError, PeerUnavailableError
from lavenderstall.metrics import Metrics
from lavenderstall.pools.background import launch
from lavenderstall.pools.effects import PaceRun, Refusal, StartRun, StopRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.ports import WorkerClient

logger = logging.getLogger(__name__)

# Starts under way to one worker; each needs a connection of its own.
MOST_STARTS = 3
UNREACHABLE = Refusal("unreachable")
NOT_SENT = Refusal("not sent")


class Orders:
    """Give orders to workers, a few starts at a time to each.

    A start that waits behind one without an answer is not sent, so that its task starts elsewhere.
    """

    def __init__(
        self,
        pool: Pool,
        client: WorkerClient,
        read_uptime: Callable[[], float],
        metrics: Metrics,
        note_change: Callable[[], None],
        check_refusal: Callable[[Refusal], bool],
    ) -> None:
        self._pool = pool
        self._client = client
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._note_change = note_change
        self._check_refusal = check_refusal
        self._waiting: dict[WorkerKey, deque[StartRun]] = {}
        self._under_way: dict[WorkerKey, int] = {}

    @singledispatchmethod
    def give(self, order: Any) -> None:
        """Give one order."""
        raise TypeError(f"{type(order).__name__} is no order")

    @give.register
    def _(self, order: StartRun) -> None:
        self._waiting.setdefault(order.worker, deque()).append(order)
        self._start_next(order.worker)

    @give.register
    def _(self, order: StopRun) -> None:
        launch(self._stop(order))

    @give.register
    def _(self, order: PaceRun) -> None:
        launch(self._pace(order))

    def _start_next(self, key: WorkerKey) -> None:
        """Send starts that wait, up to the number that may be under way."""
        waiting = self._waiting.get(key)
        while waiting and self._under_way.get(key, 0) < MOST_STARTS:
            self._under_way[key] = self._under_way.get(key, 0) + 1
            launch(self._start(waiting.popleft()))
        if not waiting:
            self._waiting.pop(key, None)

    async def _start(self, order: StartRun) -> None:
        worker = self._pool.workers.get(order.worker)
        if worker is not None:
            began = self._read_uptime()
            try:
                answer = await self._client.start(worker.entry, self._pool.term, order)
            except LavenderstallError as error:
                self._note_failure(order, error)
            else:
                self._metrics.record("start_run", self._read_uptime() - began)
                self._note_answer(order, answer)
        self._under_way[order.worker] -= 1
        if not self._under_way[order.worker]:
            del self._under_way[order.worker]
        self._start_next(order.worker)

    def _note_answer(self, order: StartRun, answer: float | Refusal) -> None:
        self._note_change()
        if not isinstance(answer, Refusal):
            self._pool.note_started(order.worker, order.task, order.number, answer)
        elif not self._check_refusal(answer):
            self._pool.note_refused(order.worker, order.task, order.number, answer)

    def _note_failure(self, order: StartRun, error: LavenderstallError) -> None:
        self._note_change()
        sent = not isinstance(error, PeerUnavailableError)
        if sent:
            self._pool.note_unanswered(order.worker, order.task, order.number)
        else:
            self._pool.note_refused(order.worker, order.task, order.number, UNREACHABLE)
        logger.info(
            "start unanswered" if sent else "start not sent",
            extra={
                "job": order.task.job,
                "task": list(order.task),
                "run": order.number,
                "worker": order.worker.id,
                "error": str(error),
            },
        )
        for dropped in self._waiting.pop(order.worker, ()):
            self._pool.note_refused(dropped.worker, dropped.task, dropped.number, NOT_SENT)

    async def _stop(self, order: StopRun) -> None:
        worker = self._pool.workers.get(order.worker)
        if worker is None:
            return
        try:
            answer = await self._client.stop(worker.entry, self._pool.term, order)
        except LavenderstallError as error:
            logger.info("stop failed", extra={"job": order.task.job, "error": str(error)})
            return
        self._note_change()
        if not isinstance(answer, Refusal):
            self._pool.note_stopped(order.worker, order.task, order.number, answer)
        else:
            self._check_refusal(answer)

    async def _pace(self, order: PaceRun) -> None:
        worker = self._pool.workers.get(order.worker)
        if worker is None:
            return
        try:
            answer = await self._client.throttle(worker.entry, self._pool.term, order)
        except LavenderstallError as error:
            logger.info("pace failed", extra={"job": order.task.job, "error": str(error)})
            return
        if isinstance(answer, Refusal):
            self._check_refusal(answer)
