"""Looks at the workers of a pool, which renew leases and bring ends."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.metrics import Metrics
from lavenderstall.pools.background import launch
from lavenderstall.pools.effects import Refusal
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.ports import Lease, WorkerClient
from lavenderstall.pools.workers import LEASE_MS, Worker

if TYPE_CHECKING:
    from lavenderstall.pools.owner import PoolOwner

logger = logging.getLogger(__name__)

# A look waits this long at the worker for an end; less if runs are short, so that one that stands
# still is noticed.
LOOK_WAIT_MS = 1600
SHORT_LOOK_WAIT_MS = 800
SHORT_RUN_MS = 2500
# A worker whose ends are not durable yet is looked at again after this long.
COMMIT_WAIT_S = 0.25
# Pause between looks that find out about a run in doubt.
DOUBT_PAUSE_S = 0.02
# Pause before a worker that left a look unanswered is looked at again.
LOOK_RETRY_S = 0.15


class Observer:
    """Look at each worker that runs something, again and again, for as long as a pool is owned."""

    def __init__(
        self,
        owner: "PoolOwner",
        client: WorkerClient,
        clock: Clock,
        read_uptime: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._owner = owner
        self._pool = owner.pool
        self._client = client
        self._clock = clock
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._looking: set[WorkerKey] = set()
        self._awaiting_commit: list[Deferred[None]] = []

    def note_recorded(self) -> None:
        """Let the looks that waited for a commit go on."""
        waiting, self._awaiting_commit = self._awaiting_commit, []
        for each in waiting:
            each.callback(None)

    def look_around(self) -> None:
        """Begin to look at each worker that needs it."""
        for worker in list(self._pool.workers.values()):
            if worker.key not in self._looking and self._pool.needs_look(worker):
                self._looking.add(worker.key)
                launch(self._look(worker))

    async def _look(self, worker: Worker) -> None:
        try:
            while (
                self._owner.running
                and self._pool.workers.get(worker.key) is worker
                and self._pool.needs_look(worker)
            ):
                await self._look_once(worker)
        finally:
            self._looking.discard(worker.key)

    async def _look_once(self, worker: Worker) -> None:
        asked_at = self._read_uptime()
        immediate = (
            not worker.claimed
            or not self._pool.is_reached(worker)
            or any(run.lost_at >= 0 for run in worker.runs.values())
        )
        lease = self._make_lease(worker, asked_at)
        try:
            answer = await self._client.poll(
                worker.entry,
                self._pool.term,
                worker.get_seen_seq(asked_at),
                lease,
                0 if immediate else self._choose_wait_ms(worker),
            )
        except LavenderstallError as error:
            self._owner.advance()
            self._pool.note_silence(worker.key)
            self._metrics.count("looks_failed")
            logger.info("look failed", extra={"worker": worker.key.id, "error": str(error)})
            await sleep(self._clock, LOOK_RETRY_S)
            return
        if isinstance(answer, Refusal):
            self._owner.advance()
            self._owner.check_refusal(answer)
            self._pool.note_look_refused(worker.key, answer)
            await sleep(self._clock, LOOK_RETRY_S)
            return
        if not self._owner.running:
            return
        self._owner.advance()
        self._pool.note_look(worker.key, answer, asked_at)
        self._metrics.record("look", self._pool.now - asked_at)
        self._owner.schedule()
        if worker.applied_seq > worker.committed_seq:
            # Until its ends are acknowledged, a worker answers every look at once.
            await self._wait_for_commit()
        elif immediate:
            await sleep(self._clock, DOUBT_PAUSE_S)

    def _choose_wait_ms(self, worker: Worker) -> int:
        short = any(self._pool.is_short(run, SHORT_RUN_MS) for run in worker.runs.values())
        return SHORT_LOOK_WAIT_MS if short else LOOK_WAIT_MS

    def _wait_for_commit(self) -> Deferred[None]:
        """Return a deferred that fires with the next commit, or after a time."""
        waiting: Deferred[None] = Deferred()
        self._awaiting_commit.append(waiting)
        timer = self._clock.callLater(COMMIT_WAIT_S, self._end_wait, waiting)
        waiting.addCallback(lambda _: timer.cancel() if timer.active() else None)
        return waiting

    def _end_wait(self, waiting: Deferred[None]) -> None:
        if waiting in self._awaiting_commit:
            self._awaiting_commit.remove(waiting)
            waiting.callback(None)

    def _make_lease(self, worker: Worker, now: float) -> Lease | None:
        """Return the lease to ask for, none while ownership, clock or contact is in doubt.

        Looks that a silent worker may still carry out would put off the end of its leases.
        """
        if not self._owner.may_act() or worker.clock_at < 0 or worker.silent_since >= 0:
            return None
        deadline = int(worker.estimate_clock(now)) + LEASE_MS
        worker.note_lease(deadline)
        return Lease(deadline)
