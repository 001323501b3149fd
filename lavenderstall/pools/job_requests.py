"""Job requests of callers: submission, cancellation and state."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, sleep
from lavenderstall.decoding import UnreadableError
from lavenderstall.errors import (
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.metrics import Metrics
from lavenderstall.pools.commits import commit_and_verify
from lavenderstall.pools.coroutines import gather, launch
from lavenderstall.pools.job import AcceptedJob, EndedJob
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.peers import PeerTracker
from lavenderstall.pools.ports import (
    Committed,
    Condition,
    Put,
    Row,
    RowConflictError,
    StoreLimits,
    Transaction,
)
from lavenderstall.pools.records import (
    CANCELS,
    JOBS,
    PROGRESS,
    STORED,
    Presence,
    decode_job,
    decode_progress,
    encode,
    encode_cancellation,
    get_shard,
)
from lavenderstall.pools.teams import NO_TEAM
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import (
    FINAL_STATES,
    InvalidJobError,
    JobSpec,
    JobState,
    PoolName,
    Queue,
)

logger = logging.getLogger(__name__)

# A write that takes longer, as with an unresponsive store, is hedged through peers.
HEDGE_DELAY_S = 0.7
HEDGE_POLL_INTERVAL_S = 0.05
# A write that is not found in the store is retried for this long.
RETRY_PERIOD_S = 1.2
HEDGED_ATTEMPTS = 2


class JobRequestHandler:
    """Write submissions and cancellations to the store and notify pool owners."""

    def __init__(
        self,
        store: MonitoredStore,
        peers: PeerTracker,
        clock: Clock,
        read_unix_ms: Callable[[], float],
        metrics: Metrics,
        limits: StoreLimits,
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._read_unix_ms = read_unix_ms
        self._metrics = metrics
        self._limits = limits
        self._unreadable_rows = UnreadableRows(metrics)

    async def submit(
        self, queue: Queue, job: JobId, spec: JobSpec, team: TeamName = NO_TEAM
    ) -> Presence:
        """Write a job of a team to the store and send it to the owner of its pool.

        A job with this ID that is stored already stays as it is, in whichever pool. Raises
        `InvalidJobError` for a job that is too large to be stored.
        """
        row = AcceptedJob(job, queue, spec, int(self._read_unix_ms()), team)
        value = encode(row)
        if len(value) > self._limits.value_bytes:
            raise InvalidJobError(
                f"the job takes {len(value)} bytes as stored, at most {self._limits.value_bytes}"
            )
        outcome = await self._add_hedged(JOBS, job, value)
        logger.info("job submitted", extra={"job": job, "queue": queue.name, "team": team,
                    "pool": queue.pool, "outcome": outcome.value})  # fmt: skip
        if outcome is Presence.ADDED:
            self._peers.send_job_hint(queue.pool, value)
        return outcome

    async def _add_hedged(self, table: str, job: JobId, value: bytes) -> Presence:
        """Add a row, hedged through peers if slow; only through peers while the store is lost."""
        part = get_shard(job)
        if self._store.is_lost():
            return await self._add_through_peers(table, part, job, value)
        hedged_write = HedgedWrite(HEDGED_ATTEMPTS)
        launch(hedged_write.run(self.add_row(table, part, job, value)))
        launch(hedged_write.run(self._hedge_through_peers(hedged_write, table, part, job, value)))
        return await hedged_write.outcome

    async def _hedge_through_peers(
        self, hedged_write: "HedgedWrite", table: str, part: str, key: str, value: bytes
    ) -> Presence:
        """Ask peers to write once the own attempt is slow or has failed."""
        limit = self._clock.seconds() + HEDGE_DELAY_S
        while hedged_write.attempts_left == HEDGED_ATTEMPTS and self._clock.seconds() < limit:
            await sleep(self._clock, HEDGE_POLL_INTERVAL_S)
        if hedged_write.outcome.called:
            return Presence.UNKNOWN
        found = await self._add_through_peers(table, part, key, value)
        if (
            hedged_write.attempts_left == HEDGED_ATTEMPTS
            and found not in STORED
            and self._store.is_lost()
        ):
            hedged_write.abandon()
        return found

    async def add_row(self, table: str, part: str, key: str, value: bytes) -> Presence:
        """Add a row unless it exists; retry while the outcome is unknown."""
        transaction = Transaction(part, (Condition(table, key, 0),), (Put(table, key, value),))
        limit = self._clock.seconds() + RETRY_PERIOD_S
        found = await self._add_row_once(transaction)
        may_be_applied = found is Presence.UNKNOWN
        while found is Presence.UNKNOWN and not self._store.is_lost():
            if self._clock.seconds() > limit:
                break
            found = await self._add_row_once(transaction)
        return Presence.UNKNOWN if may_be_applied and found is Presence.ABSENT else found

    async def _add_row_once(self, transaction: Transaction) -> Presence:
        """Try once to add a row; after an unknown outcome it may still appear."""
        (put,) = transaction.puts
        key = put.key
        found_values: set[bytes] = set()

        async def find() -> Committed | None:
            page = await self._store.read(put.table, transaction.partition, key, 1)
            row = next((row for row in page.rows if row.key == key), None)
            found_values.update([row.value] if row else [])
            return Committed(row.version, page.store_clock_ms) if row else None

        try:
            await commit_and_verify(self._store, self._clock, transaction, find)
        except RowConflictError as error:
            own = bool(error.rows) and all(row.value == put.value for row in error.rows)
            return Presence.ADDED if own else Presence.PRESENT
        except StoreUnavailableError as error:
            logger.info("writing the row failed", extra={"job": key, "error": str(error)})
            return Presence.ABSENT
        except StoreOutcomeUnknownError as error:
            logger.info(
                "outcome of writing the row is unknown", extra={"job": key, "error": str(error)}
            )
            return Presence.UNKNOWN
        return Presence.ADDED if found_values <= {put.value} else Presence.PRESENT

    async def read_row(self, table: str, part: str, key: str) -> Row | None:
        """Return one row, or none if it is absent."""
        page = await self._store.read(table, part, key, 1)
        return next((row for row in page.rows if row.key == key), None)

    async def _add_through_peers(self, table: str, part: str, key: str, value: bytes) -> Presence:
        """Ask peers that reach the store to add a row."""
        answers = await gather(
            [
                self._peers.request_write(peer, table, part, key, value)
                for peer in self._peers.choose_write_proxies()
            ]
        )
        for stored in (Presence.ADDED, Presence.PRESENT):
            if stored in answers:
                self._metrics.count("rows_passed_on")
                return stored
        return Presence.UNKNOWN if Presence.UNKNOWN in answers else Presence.ABSENT

    async def cancel(self, queue: Queue, job: JobId) -> bool | None:
        """Cancel a job; returns false if there is no such job, and none if unknown."""
        pool: PoolName | None
        try:
            row = await self.read_row(JOBS, get_shard(job), job)
            if row is None:
                return False
            known = self._decode_job(row)
            if isinstance(known, EndedJob):
                return True
            pool = known.pool if known else queue.pool
        except LavenderstallError as error:
            logger.info("reading the job row failed", extra={"job": job, "error": str(error)})
            pool = await self._peers.find_pool(queue.pool, job)
            if pool is None:
                return None
        outcome = await self._add_hedged(CANCELS, job, encode_cancellation(pool))
        logger.info("job cancelled", extra={"job": job, "pool": pool, "outcome": outcome.value})
        if outcome in STORED:
            self._peers.send_cancel_hint(pool, job)
            return True
        return None

    async def get_state(self, queue: Queue, job: JobId) -> JobState | None:
        """Return the state of a job, or none if there is no such job."""
        state = await self._peers.request_state(queue.pool, job)
        if state is not None:
            return state
        return await self._read_state(queue, job)

    async def _read_state(self, queue: Queue, job: JobId) -> JobState | None:
        """Return the state of a job from its rows, or none if there are none."""
        shard = get_shard(job)
        row, progress, cancel = await gather(
            [
                self.read_row(JOBS, shard, job),
                self.read_row(PROGRESS, queue.pool, job),
                self.read_row(CANCELS, shard, job),
            ]
        )
        if row is None:
            return self._decode_state(progress) if progress else None
        known = self._decode_job(row)
        pool = known.pool if known else queue.pool
        if pool != queue.pool:
            state = await self._peers.request_state(pool, job)
            if state is not None:
                return state
            progress = await self.read_row(PROGRESS, pool, job)
        if isinstance(known, EndedJob):
            # Without a progress row, the time for which its state is kept has just ended.
            return self._decode_state(progress) if progress else None
        state = self._decode_state(progress) if progress else JobState.QUEUED
        self._peers.send_job_hint(pool, row.value)
        if state not in FINAL_STATES and cancel is not None:
            return JobState.CANCELLED
        return state

    def _decode_job(self, row: Row) -> AcceptedJob | EndedJob | None:
        """Return the job of a row, or none if it can't be read."""
        try:
            return decode_job(row.value)
        except UnreadableError as error:
            self._unreadable_rows.note(row.table, row.key, row.version, error)
            return None

    def _decode_state(self, row: Row) -> JobState:
        try:
            return JobState(decode_progress(row.value).state)
        except UnreadableError as error:
            self._unreadable_rows.note(row.table, row.key, row.version, error)
            raise StoreUnavailableError(
                "the progress row can't be read", step="read state", peer=row.key
            ) from error


class HedgedWrite:
    """A write attempted in several ways at once; the first success decides."""

    def __init__(self, count: int) -> None:
        self.attempts_left = count
        self.outcome: Deferred[Presence] = Deferred()
        self._any_unknown = False

    async def run(self, attempt: Coroutine[Any, Any, Presence]) -> None:
        """Run one attempt and count its outcome."""
        try:
            found = await attempt
        except Exception:
            logger.exception("write attempt raised an unexpected error")
            found = Presence.UNKNOWN
        self.attempts_left -= 1
        self._any_unknown = self._any_unknown or found is Presence.UNKNOWN
        if not self.outcome.called and (found in STORED or not self.attempts_left):
            self.outcome.callback(self._combine(found))

    def abandon(self) -> None:
        """Stop waiting for attempts that may still succeed."""
        if not self.outcome.called:
            self.outcome.callback(Presence.UNKNOWN)

    def _combine(self, last: Presence) -> Presence:
        if last in STORED:
            return last
        return Presence.UNKNOWN if self._any_unknown else Presence.ABSENT
