"""Long polls of the workers of a pool, which renew leases and return ended runs."""

import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import (
    DisconnectedError,
    LavenderstallError,
    PeerClosedError,
    PeerUnavailableError,
)
from lavenderstall.metrics import Metrics
from lavenderstall.pools.coroutines import launch
from lavenderstall.pools.earlier_owners import OUTAGE_LEASES_DELAY_S
from lavenderstall.pools.effects import Refusal
from lavenderstall.pools.hedged_polls import HedgedPoll
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.ports import Lease, WorkerClient
from lavenderstall.pools.workers import MAX_LEASE_MS, Worker

if TYPE_CHECKING:
    from lavenderstall.pools.owner import PoolOwner

logger = logging.getLogger(__name__)

# Long-poll timeouts at a worker; short for short runs, so that one without progress is noticed.
POLL_WAIT_MS = 1600
SHORT_POLL_WAIT_MS = 800
SHORT_RUN_MS = 2500
# While polls get lost they wait no longer than this, as the ends that they should tell of wait too.
LOSSY_POLL_WAIT_MS = 200
# Polls return this long after leases may be extended in an outage of the store.
OUTAGE_POLL_MARGIN_S = 0.1
# They wait longer if there are so many that more would return without an end.
MAX_IDLE_POLLS_PER_S = 100
# Polls count as getting lost for this long after a live worker has left one unanswered.
LOSS_MEMORY_S = 3.0
# Timeout of the commit of ended runs, after which their worker is polled again.
COMMIT_TIMEOUT_S = 0.25
# Pause between polls that return at once, as those about a lost run.
IMMEDIATE_POLL_PAUSE_S = 0.02
POLL_RETRY_DELAY_S = 0.15
# The same if the next process of a worker may execute a start late, which its first poll prevents.
URGENT_RETRY_DELAY_S = 0.03
# Pause between polls of a worker that lists ends which must not be acknowledged yet.
HELD_POLL_PAUSE_S = 0.1


class WorkerPoller:
    """Poll each worker with runs repeatedly while the pool is owned."""

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
        self._polled_workers: set[WorkerKey] = set()
        self._awaiting_commit: list[Deferred[None]] = []
        self._lost_at = -LOSS_MEMORY_S

    def resume_after_commit(self) -> None:
        """Resume polls that wait for a commit."""
        waiting, self._awaiting_commit = self._awaiting_commit, []
        for each in waiting:
            each.callback(None)

    def poll_workers(self) -> None:
        """Start polling each worker that needs it and is not polled yet."""
        for worker in list(self._pool.workers.values()):
            if worker.key not in self._polled_workers and self._pool.needs_polling(worker):
                self._polled_workers.add(worker.key)
                launch(self._poll_worker(worker))

    async def _poll_worker(self, worker: Worker) -> None:
        try:
            while (
                self._owner.running
                and self._pool.workers.get(worker.key) is worker
                and self._pool.needs_polling(worker)
            ):
                await self._poll_once(worker)
        finally:
            self._polled_workers.discard(worker.key)

    async def _poll_once(self, worker: Worker) -> None:
        asked_at = self._read_uptime()
        immediate = (
            not worker.accepted_term
            or not self._pool.is_responsive(worker)
            or worker.lease_end_noted
            or worker.has_old_clock(asked_at)
            or any(run.unanswered_at >= 0 for run in worker.runs.values())
        )
        lease = self._make_lease(worker, asked_at)
        wait_ms = 0 if immediate else self._choose_wait_ms(worker)
        poll = partial(self._client.poll, worker.entry, worker.fencing_token)
        acknowledged_seq = worker.get_acknowledged_seq(asked_at)
        hedged_poll = HedgedPoll(
            self._clock,
            self._read_uptime,
            partial(poll, acknowledged_seq, lease, wait_ms),
            partial(poll, 0, None, 0),
            wait_ms,
            self._note_loss,
        )
        try:
            outcome = await hedged_poll.run()
        except LavenderstallError as error:
            self._owner.update_time()
            self._pool.note_unresponsive(
                worker.key,
                unreachable=isinstance(error, PeerUnavailableError),
                disconnected=isinstance(error, DisconnectedError),
                closed=isinstance(error, PeerClosedError),
            )
            self._metrics.count("looks_failed")
            logger.info("poll failed", extra={"worker": worker.key.id, "error": str(error)})
            urgent = self._pool.late_starts.concern(worker.key.id)
            await sleep(self._clock, URGENT_RETRY_DELAY_S if urgent else POLL_RETRY_DELAY_S)
            return
        answer = outcome.answer
        if isinstance(answer, Refusal):
            self._owner.update_time()
            if not self._owner.check_fenced(worker, answer):
                self._pool.note_poll_refused(worker.key, answer)
            await sleep(self._clock, POLL_RETRY_DELAY_S)
            return
        if not self._owner.running:
            return
        self._owner.update_time()
        self._pool.note_poll(worker.key, answer, outcome.asked_at)
        self._metrics.record("look", self._pool.now - outcome.asked_at)
        self._owner.schedule_dispatch()
        if self._pool.late_starts.holds_end(worker.key):
            # What may be acknowledged is so by a poll that follows the answer at once.
            if not any(end.seq <= worker.committed_seq for end in answer.ended):
                await sleep(self._clock, HELD_POLL_PAUSE_S)
        elif worker.applied_seq > worker.committed_seq or worker.lease_end_noted:
            # A worker answers every poll at once until its ended runs are acknowledged, and gets no
            # lease until the roster does not tell of its end any more.
            await self._wait_for_commit()
        elif immediate:
            await sleep(self._clock, IMMEDIATE_POLL_PAUSE_S)

    def _note_loss(self) -> None:
        """Note that a live worker has left a poll unanswered."""
        self._metrics.count("looks_lost")
        self._lost_at = self._read_uptime()

    def _choose_wait_ms(self, worker: Worker) -> int:
        short = any(self._pool.is_short_run(run, SHORT_RUN_MS) for run in worker.runs.values())
        wait_ms = SHORT_POLL_WAIT_MS if short else POLL_WAIT_MS
        wait_ms = min(wait_ms, self._get_outage_wait_ms())
        if self._read_uptime() - self._lost_at > LOSS_MEMORY_S:
            return wait_ms
        shortest_ms = len(self._polled_workers) * 1000 // MAX_IDLE_POLLS_PER_S
        return min(wait_ms, max(LOSSY_POLL_WAIT_MS, shortest_ms))

    def _get_outage_wait_ms(self) -> int:
        """Return the longest wait after which leases can be extended in an outage in time."""
        outage_s = self._owner.writer.get_store_outage()
        left_s = OUTAGE_LEASES_DELAY_S + OUTAGE_POLL_MARGIN_S - outage_s
        return int(left_s * 1000) if left_s > OUTAGE_POLL_MARGIN_S else POLL_WAIT_MS

    def _wait_for_commit(self) -> Deferred[None]:
        """Return a deferred that fires at the next commit or after `COMMIT_TIMEOUT_S`."""
        waiting: Deferred[None] = Deferred()
        self._awaiting_commit.append(waiting)
        timer = self._clock.callLater(COMMIT_TIMEOUT_S, self._end_commit_wait, waiting)
        waiting.addCallback(lambda _: timer.cancel() if timer.active() else None)
        return waiting

    def _end_commit_wait(self, waiting: Deferred[None]) -> None:
        if waiting in self._awaiting_commit:
            self._awaiting_commit.remove(waiting)
            waiting.callback(None)

    def _make_lease(self, worker: Worker, now: float) -> Lease | None:
        """Return the lease to request, or none if ownership, clock or contact is uncertain.

        An unresponsive worker may still process polls later, which would extend its leases.
        """
        if (
            not self._owner.has_confirmed_ownership()
            or worker.clock_at < 0
            or worker.unresponsive_since >= 0
            or worker.lease_end_noted
        ):
            return None
        deadline = worker.choose_deadline_ms(now, MAX_LEASE_MS, self._owner.get_lease_limit())
        worker.note_lease(deadline)
        return Lease(deadline)
