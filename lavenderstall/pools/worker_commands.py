"""Commands to the workers of a pool, and the handling of their results."""

import logging
from collections import deque
from collections.abc import Callable
from functools import partial, singledispatchmethod
from typing import Any

from lavenderstall.clocks import Clock
from lavenderstall.errors import LavenderstallError, PeerUnavailableError
from lavenderstall.metrics import Metrics
from lavenderstall.pools.coroutines import launch
from lavenderstall.pools.effects import PaceRun, Refusal, StartRun, StopRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import describe_run
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.ports import WorkerClient
from lavenderstall.pools.repeated_starts import RepeatedStart, StartOutcome
from lavenderstall.pools.workers import Worker

logger = logging.getLogger(__name__)

# Starts in flight to one worker; each needs its own connection.
MAX_CONCURRENT_STARTS = 3
UNREACHABLE = Refusal("unreachable")
NOT_SENT = Refusal("not sent")


class CommandSender:
    """Send commands to workers, with a limit on the concurrent starts of each.

    A start queued behind one that fails isn't sent, so that its task starts on another worker.
    """

    def __init__(
        self,
        pool: Pool,
        client: WorkerClient,
        clock: Clock,
        read_uptime: Callable[[], float],
        metrics: Metrics,
        note_change: Callable[[], None],
        check_refusal: Callable[[Worker, Refusal], bool],
        may_start: Callable[[StartRun], bool],
    ) -> None:
        self._pool = pool
        self._client = client
        self._clock = clock
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._note_change = note_change
        self._check_refusal = check_refusal
        self._may_start = may_start
        self._queued: dict[WorkerKey, deque[StartRun]] = {}
        self._in_flight: dict[WorkerKey, int] = {}

    @singledispatchmethod
    def send(self, command: Any) -> None:
        """Send one command."""
        raise TypeError(f"{type(command).__name__} is not a worker command")

    @send.register
    def _(self, command: StartRun) -> None:
        self._queued.setdefault(command.worker, deque()).append(command)
        self._start_next(command.worker)

    @send.register
    def _(self, command: StopRun) -> None:
        launch(self._stop(command))

    @send.register
    def _(self, command: PaceRun) -> None:
        launch(self._pace(command))

    def _start_next(self, key: WorkerKey) -> None:
        """Send queued starts, up to the limit of concurrent ones."""
        queued = self._queued.get(key)
        while queued and self._in_flight.get(key, 0) < MAX_CONCURRENT_STARTS:
            self._in_flight[key] = self._in_flight.get(key, 0) + 1
            launch(self._start(queued.popleft()))
        if not queued:
            self._queued.pop(key, None)

    async def _start(self, command: StartRun) -> None:
        worker = self._pool.workers.get(command.worker)
        if worker is not None and not self._may_start(command):
            # The process may have been paused while the start was queued.
            logger.info(
                "start not sent: ownership isn't confirmed", extra={"job": command.task.job}
            )
            self._pool.note_refused(command.worker, command.task, command.number, NOT_SENT)
        elif worker is not None:
            await self._start_repeatedly(worker, command)
        self._in_flight[command.worker] -= 1
        if not self._in_flight[command.worker]:
            del self._in_flight[command.worker]
        self._start_next(command.worker)

    async def _start_repeatedly(self, worker: Worker, command: StartRun) -> None:
        started_at = self._read_uptime()
        start = RepeatedStart(
            self._clock,
            self._read_uptime,
            lambda: self._client.start(worker.entry, worker.fencing_token, command),
            lambda: self._may_repeat(worker, command),
            partial(self._note_settled, command),
        )
        outcome = await start.run()
        if len(start.attempts) > 1:
            self._metrics.count("starts_repeated")
            logger.info(
                "start sent again",
                extra={**describe_run(command), "attempts": len(start.attempts)},
            )
        if outcome.error is not None:
            self._note_failure(command, outcome.error)
        elif outcome.response is not None:
            self._metrics.record("start_run", self._read_uptime() - started_at)
            self._note_answer(worker, command, outcome.response)
        if outcome.copies.left:
            self._note_copies(command, outcome)

    def _note_settled(self, command: StartRun, outcome: StartOutcome) -> None:
        """Note what late responses to a start tell of its copies."""
        if outcome.accepted:
            self._note_change()
            self._note_copies(command, outcome)

    def _note_copies(self, command: StartRun, outcome: StartOutcome) -> None:
        self._pool.note_copies(
            command.worker,
            command.task,
            command.number,
            outcome.copies,
            answered=outcome.accepted,
            ticketed=bool(command.ticket),
        )

    def _may_repeat(self, worker: Worker, command: StartRun) -> bool:
        """Tell whether a start is still wanted, and may be sent by this owner."""
        run = worker.runs.get((command.task, command.number))
        is_known = self._pool.workers.get(command.worker) is worker
        return is_known and run is not None and not run.stopping and self._may_start(command)

    def _note_answer(self, worker: Worker, command: StartRun, answer: float | Refusal) -> None:
        self._note_change()
        if not isinstance(answer, Refusal):
            self._pool.note_started(command.worker, command.task, command.number, answer)
        elif not self._check_refusal(worker, answer):
            self._pool.note_refused(command.worker, command.task, command.number, answer)

    def _note_failure(self, command: StartRun, error: LavenderstallError) -> None:
        self._note_change()
        sent = not isinstance(error, PeerUnavailableError)
        if sent:
            self._pool.note_unanswered(command.worker, command.task, command.number)
        else:
            self._pool.note_refused(command.worker, command.task, command.number, UNREACHABLE)
        logger.info(
            "start has no response; its outcome is unknown" if sent else "start not sent",
            extra={**describe_run(command), "error": str(error)},
        )
        for dropped in self._queued.pop(command.worker, ()):
            self._pool.note_refused(dropped.worker, dropped.task, dropped.number, NOT_SENT)

    async def _stop(self, command: StopRun) -> None:
        worker = self._pool.workers.get(command.worker)
        if worker is None:
            return
        try:
            answer = await self._client.stop(worker.entry, worker.fencing_token, command)
        except LavenderstallError as error:
            logger.info("stop command failed", extra={"job": command.task.job, "error": str(error)})
            return
        self._note_change()
        if not isinstance(answer, Refusal):
            self._pool.note_stopped(command.worker, command.task, command.number, answer)
        else:
            self._check_refusal(worker, answer)

    async def _pace(self, command: PaceRun) -> None:
        worker = self._pool.workers.get(command.worker)
        if worker is None:
            return
        try:
            answer = await self._client.throttle(worker.entry, worker.fencing_token, command)
        except LavenderstallError as error:
            logger.info(
                "throttle command failed", extra={"job": command.task.job, "error": str(error)}
            )
            return
        if isinstance(answer, Refusal):
            self._check_refusal(worker, answer)
