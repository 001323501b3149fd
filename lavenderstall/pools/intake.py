"""Jobs at an entry instance: accepting, cancelling and telling their state."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import (
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.background import gather, launch
from lavenderstall.pools.commits import commit_and_verify
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.peers import PeerRequests
from lavenderstall.pools.ports import (
    Committed,
    Condition,
    Put,
    Row,
    RowConflictError,
    Transaction,
)
from lavenderstall.pools.reach import ReachedStore
from lavenderstall.pools.records import (
    CANCELS,
    JOBS,
    PROGRESS,
    Presence,
    decode_progress,
    encode,
    get_shard,
)
from lavenderstall.pools.work import ENDED, JobSpec, JobState, PoolName, Queue

logger = logging.getLogger(__name__)

# A write that takes longer, as with a silent store, is tried through peers as well.
PATIENCE_S = 0.7
PATIENCE_STEP_S = 0.05
# A write of which the store shows no trace is tried again for this long.
TRY_S = 1.2
RACERS = 2


class Intake:
    """Accept jobs into the store and pass them to the owners of their pools."""

    def __init__(
        self,
        store: ReachedStore,
        peers: PeerRequests,
        clock: Clock,
        read_unix_ms: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._read_unix_ms = read_unix_ms
        self._metrics = metrics

    async def submit(self, queue: Queue, job: JobId, spec: JobSpec) -> Presence:
        """Make a job durable and hand it to the owner of its pool."""
        row = AcceptedJob(job, queue.name, spec, int(self._read_unix_ms()))
        value = encode(row)
        outcome = await self._add(JOBS, queue.pool, job, value)
        logger.info("job submitted", extra={"job": job, "queue": queue.name,
                    "pool": queue.pool, "outcome": outcome.value})  # fmt: skip
        if outcome is Presence.PRESENT:
            self._peers.hint_job(queue.pool, value)
        return outcome

    async def _add(self, table: str, pool: PoolName, job: JobId, value: bytes) -> Presence:
        """Add a row here, and through peers if that takes long; a lost store is not tried."""
        part = get_shard(pool, job)
        if self._store.is_lost():
            return await self._pass_on(table, part, job, value)
        race = Race(RACERS)
        launch(race.run(self.add_row(table, part, job, value)))
        launch(race.run(self._pass_on_later(race, table, part, job, value)))
        return await race.outcome

    async def _pass_on_later(
        self, race: "Race", table: str, part: str, key: str, value: bytes
    ) -> Presence:
        """Ask peers for a write that is slow or has failed here."""
        limit = self._clock.seconds() + PATIENCE_S
        while race.open == RACERS and self._clock.seconds() < limit:
            await sleep(self._clock, PATIENCE_STEP_S)
        if race.outcome.called:
            return Presence.PRESENT
        found = await self._pass_on(table, part, key, value)
        if race.open == RACERS and found is not Presence.PRESENT and self._store.is_lost():
            race.give_up()
        return found

    async def add_row(self, table: str, part: str, key: str, value: bytes) -> Presence:
        """Add a row that may be there already, again while the store shows no trace of it."""
        transaction = Transaction(part, (Condition(table, key, 0),), (Put(table, key, value),))
        limit = self._clock.seconds() + TRY_S
        found = await self._try_add(transaction)
        doubtful = found is Presence.UNKNOWN
        while found is Presence.UNKNOWN and not self._store.is_lost():
            if self._clock.seconds() > limit:
                break
            found = await self._try_add(transaction)
        return Presence.UNKNOWN if doubtful and found is Presence.ABSENT else found

    async def _try_add(self, transaction: Transaction) -> Presence:
        """Add a row once; the write may come later if the outcome is unknown."""
        (put,) = transaction.puts
        key = put.key

        async def find() -> Committed | None:
            page = await self._store.read(put.table, transaction.partition, key, 1)
            row = next((row for row in page.rows if row.key == key), None)
            return Committed(row.version, page.store_clock_ms) if row else None

        try:
            await commit_and_verify(self._store, self._clock, transaction, find)
        except RowConflictError:
            return Presence.PRESENT
        except StoreUnavailableError as error:
            logger.info("row not added", extra={"job": key, "error": str(error)})
            return Presence.ABSENT
        except StoreOutcomeUnknownError as error:
            logger.info("row in doubt", extra={"job": key, "error": str(error)})
            return Presence.UNKNOWN
        return Presence.PRESENT

    async def read_row(self, table: str, part: str, key: str) -> Row | None:
        """Return one row, or none if it is absent."""
        page = await self._store.read(table, part, key, 1)
        return next((row for row in page.rows if row.key == key), None)

    async def _pass_on(self, table: str, part: str, key: str, value: bytes) -> Presence:
        """Ask peers that reach the store to add a row."""
        answers = await gather(
            [
                self._peers.ask_write(peer, table, part, key, value)
                for peer in self._peers.choose_writers()
            ]
        )
        if Presence.PRESENT in answers:
            self._metrics.count("rows_passed_on")
            return Presence.PRESENT
        return Presence.UNKNOWN if Presence.UNKNOWN in answers else Presence.ABSENT

    async def cancel(self, queue: Queue, job: JobId) -> bool | None:
        """Cancel a job; returns false if there is none, and none if that is not known."""
        try:
            known = await self.read_row(JOBS, get_shard(queue.pool, job), job)
            if known is None:
                # The submission of a job that has ended may be deleted.
                return await self.read_row(PROGRESS, queue.pool, job) is not None
        except LavenderstallError as error:
            logger.info("job not read", extra={"job": job, "error": str(error)})
            state = await self._peers.ask_state(queue.pool, job)
            if state is None:
                return None
        outcome = await self._add(CANCELS, queue.pool, job, b"\x01")
        logger.info("job cancelled", extra={"job": job, "outcome": outcome.value})
        if outcome is Presence.PRESENT:
            self._peers.hint_cancel(queue.pool, job)
            return True
        return None

    async def get_state(self, queue: Queue, job: JobId) -> JobState | None:
        """Return the state of a job, or none if there is no such job."""
        state = await self._peers.ask_state(queue.pool, job)
        if state is not None:
            return state
        return await self._read_state(queue, job)

    async def _read_state(self, queue: Queue, job: JobId) -> JobState | None:
        """Return the state that the rows of a job tell."""
        shard = get_shard(queue.pool, job)
        row, progress, cancel = await gather(
            [
                self.read_row(JOBS, shard, job),
                self.read_row(PROGRESS, queue.pool, job),
                self.read_row(CANCELS, shard, job),
            ]
        )
        state = JobState(decode_progress(progress.value).state) if progress else JobState.QUEUED
        if row is None:
            return state if progress else None
        self._peers.hint_job(queue.pool, row.value)
        if state not in ENDED and cancel is not None:
            return JobState.CANCELLED
        return state


class Race:
    """Take the outcomes of several attempts at one write; the first success decides."""

    def __init__(self, count: int) -> None:
        self.open = count
        self.outcome: Deferred[Presence] = Deferred()
        self._doubtful = False

    async def run(self, attempt: Coroutine[Any, Any, Presence]) -> None:
        """Wait for one attempt."""
        try:
            found = await attempt
        except Exception:
            logger.exception("attempt at a write failed")
            found = Presence.UNKNOWN
        self.open -= 1
        self._doubtful = self._doubtful or found is Presence.UNKNOWN
        if not self.outcome.called and (found is Presence.PRESENT or not self.open):
            self.outcome.callback(self._conclude(found))

    def give_up(self) -> None:
        """Wait no longer for attempts that may yet succeed."""
        if not self.outcome.called:
            self.outcome.callback(Presence.UNKNOWN)

    def _conclude(self, last: Presence) -> Presence:
        if last is Presence.PRESENT:
            return last
        return Presence.UNKNOWN if self._doubtful else Presence.ABSENT
