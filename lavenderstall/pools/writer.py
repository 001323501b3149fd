"""Writes of a pool's owner, one transaction at a time, all under its ownership."""

import logging
from collections.abc import Callable
from itertools import groupby

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import (
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.ports import (
    Change,
    Committed,
    Condition,
    Delete,
    Put,
    Row,
    RowConflictError,
    RowStore,
)
from lavenderstall.pools.records import (
    CANCELS,
    JOBS,
    OWNER_KEY,
    OWNERS,
    PROGRESS,
    ROSTER_KEY,
    OwnerRow,
    RosterRow,
    decode_owner,
    encode,
    get_shard,
)
from lavenderstall.pools.work import ENDED, JobState
from lavenderstall.pools.workers import WorkerEntry

logger = logging.getLogger(__name__)

# The owner row is renewed this often.
RENEW_S = 0.5
# Jobs in one transaction; each takes a condition and a write of the store's hundred entries.
BATCH_JOBS = 45
# Progress that ends no job waits this long for more of its kind.
GATHER_S = 0.015
# Jobs whose rows are deleted in one transaction; each has up to three.
CLEAN_JOBS = 30
# Pause after a failed transaction.
RETRY_S = 0.2
POLL_S = 0.02


class DeposedError(Exception):
    """Another entry instance owns the pool now."""


class OwnerWriter:
    """Renew an ownership and make progress durable, until another instance takes over."""

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        pool: Pool,
        owner: OwnerRow,
        version: int,
        committed: Committed,
        read_uptime: Callable[[], float],
        metrics: Metrics,
        sent_at: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._pool = pool
        self._owner = owner
        self._version = version
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._store_ms = committed.store_ms
        self._store_at = read_uptime()
        self._versions: dict[str, int] = {}
        self._roster_version = 0
        self._roster: tuple[WorkerEntry, ...] = ()
        self.confirmed_at = sent_at
        self.renewed_at = sent_at
        self._gathered_at = 0.0
        self._lost_store = False
        self.listeners: list[Callable[[], None]] = []

    def learn_versions(self, rows: tuple[Row, ...]) -> None:
        """Note the versions of rows that were read."""
        for row in rows:
            if row.table == PROGRESS:
                self._versions[row.key] = row.version
            elif row.table == OWNERS and row.key == ROSTER_KEY:
                self._roster_version = row.version

    def set_roster(self, workers: tuple[WorkerEntry, ...]) -> None:
        """Note what the roster row holds."""
        self._roster = workers

    async def step(self) -> None:
        """Write what is due, if anything; raise `DeposedError` if the pool has another owner."""
        now = self._read_uptime()
        renew = now - self.renewed_at >= RENEW_S
        roster = self._find_roster()
        urgent = any(self._pool.jobs[job].state in ENDED for job in self._pool.dirty)
        gathered = bool(self._pool.dirty) and now - self._gathered_at >= GATHER_S
        if not (renew or roster or urgent or gathered):
            await sleep(self._clock, POLL_S)
            return
        await self._write(now, renew, roster)

    def _find_roster(self) -> tuple[WorkerEntry, ...] | None:
        """Return the roster to be written if workers have come or gone."""
        pool = self._pool
        workers = tuple(
            sorted(
                (
                    worker.entry
                    for worker in pool.workers.values()
                    if worker.claimed or worker.key in pool.roster
                ),
                key=lambda entry: entry.id,
            )
        )
        known = {(entry.id, entry.incarnation) for entry in self._roster}
        return workers if {(entry.id, entry.incarnation) for entry in workers} != known else None

    async def _write(self, now: float, renew: bool, roster: tuple[WorkerEntry, ...] | None) -> None:
        progress, ends = self._pool.take_dirty(BATCH_JOBS)
        states = {job: self._pool.jobs[job].state for job in progress}
        conditions = [Condition(OWNERS, OWNER_KEY, self._version)]
        puts = []
        for job, value in progress.items():
            conditions.append(Condition(PROGRESS, job, self._versions.get(job, 0)))
            puts.append(Put(PROGRESS, job, encode(value)))
        if renew or not puts:
            self._owner.store_ms = self._store_ms + (now - self._store_at) * 1000
            puts.append(Put(OWNERS, OWNER_KEY, encode(self._owner)))
        if roster is not None:
            conditions.append(Condition(OWNERS, ROSTER_KEY, self._roster_version))
            puts.append(Put(OWNERS, ROSTER_KEY, encode(RosterRow(list(roster)))))
        change = Change(self._pool.name, tuple(conditions), tuple(puts))
        try:
            committed = await self._store.commit(change)
        except RowConflictError as error:
            self._pool.note_uncommitted(progress)
            self._resolve(error)
            return
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._pool.note_uncommitted(progress)
            self._note_failure(error)
            await sleep(self._clock, RETRY_S)
            return
        self._note_success(now, change, committed)
        if roster is not None:
            self._use_roster(roster)
        self._finish(states, ends)

    def _note_success(self, now: float, change: Change, committed: Committed) -> None:
        self.confirmed_at = now
        self._gathered_at = now
        self._store_ms = committed.store_ms
        self._store_at = self._read_uptime()
        self._metrics.record("commit", self._store_at - now)
        if self._lost_store:
            self._lost_store = False
            logger.info("store regained", extra={"pool": self._pool.name})
        for put in change.puts:
            if put.table == PROGRESS:
                self._versions[put.key] = committed.version
            elif put.key == OWNER_KEY:
                self._version = committed.version
                self.renewed_at = now
            elif put.key == ROSTER_KEY:
                self._roster_version = committed.version

    def _use_roster(self, roster: tuple[WorkerEntry, ...]) -> None:
        self._roster = roster
        present = {(entry.id, entry.incarnation) for entry in roster}
        self._pool.roster = {key for key in self._pool.workers if tuple(key) in present}

    def _finish(self, states: dict[JobId, JobState], ends: dict[WorkerKey, int]) -> None:
        self._pool.note_committed(states, ends)
        for listener in self.listeners:
            listener()

    def _note_failure(self, error: LavenderstallError) -> None:
        self._metrics.count("commits_failed")
        if not self._lost_store:
            self._lost_store = True
            logger.warning(
                "store lost",
                extra={"pool": self._pool.name, "error": str(error)},
            )

    def _resolve(self, error: RowConflictError) -> None:
        """Learn the versions of rows after a conflict, or find that ownership is lost."""
        for row in error.rows:
            if row.table == OWNERS and row.key == OWNER_KEY:
                self._check_owner(row)
        self.learn_versions(error.rows)
        self._metrics.count("commit_conflicts")
        logger.info("commit conflict", extra={"pool": self._pool.name, "error": str(error)})

    def _check_owner(self, row: Row) -> None:
        owner = decode_owner(row.value) if row.version else None
        mine = (
            owner is not None
            and owner.entry == self._owner.entry
            and owner.incarnation == self._owner.incarnation
            and owner.term == self._owner.term
            and not owner.released
        )
        if not mine:
            raise DeposedError(f"pool {self._pool.name} is owned by {owner and owner.entry}")
        self._version = row.version

    async def clean(self) -> None:
        """Delete the rows of jobs that ended long ago."""
        jobs = self._pool.list_expired(CLEAN_JOBS)
        if not jobs:
            return
        name = self._pool.name
        try:
            for shard, members in groupby(
                sorted(jobs, key=lambda job: get_shard(name, job)),
                key=lambda job: get_shard(name, job),
            ):
                deletes = tuple(Delete(table, job) for job in members for table in (JOBS, CANCELS))
                await self._store.commit(Change(shard, (), (), deletes))
            condition = Condition(OWNERS, OWNER_KEY, self._version)
            deletes = tuple(Delete(PROGRESS, job) for job in jobs)
            await self._store.commit(Change(name, (condition,), (), deletes))
        except LavenderstallError as error:
            logger.info("rows not cleaned", extra={"pool": name, "error": str(error)})
            return
        for job in jobs:
            self._versions.pop(job, None)
        self._pool.forget_jobs(jobs)
        self._metrics.count("jobs_forgotten", len(jobs))

    async def release(self) -> None:
        """Make the rest durable and give the pool up."""
        self._owner.released = True
        self._owner.store_ms = self._store_ms + (self._read_uptime() - self._store_at) * 1000
        for _ in range(3):
            progress, ends = self._pool.take_dirty(BATCH_JOBS)
            last = not self._pool.dirty
            conditions = [Condition(OWNERS, OWNER_KEY, self._version)]
            conditions += [Condition(PROGRESS, job, self._versions.get(job, 0)) for job in progress]
            puts = [Put(PROGRESS, job, encode(value)) for job, value in progress.items()]
            if last:
                puts.append(Put(OWNERS, OWNER_KEY, encode(self._owner)))
            change = Change(self._pool.name, tuple(conditions), tuple(puts))
            try:
                committed = await self._store.commit(change)
            except RowConflictError as error:
                self._pool.note_uncommitted(progress)
                self._resolve(error)
                continue
            except LavenderstallError as error:
                logger.warning("release failed", extra={"error": str(error)})
                return
            self._note_success(self._read_uptime(), change, committed)
            if last:
                return
