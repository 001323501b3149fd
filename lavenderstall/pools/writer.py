"""Writes of a pool's owner: one transaction at a time, each conditional on its owner row."""

import logging
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby
from math import inf
from typing import NamedTuple

from twisted.internet.defer import DeferredLock

from lavenderstall.clocks import Clock, sleep
from lavenderstall.decoding import UnreadableError
from lavenderstall.errors import (
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TransactionRejectedError,
)
from lavenderstall.identifiers import EntryId, JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.commit_relay import CommitRelay, HedgedCommit
from lavenderstall.pools.commits import commit_and_verify
from lavenderstall.pools.earlier_owners import get_leases_end_ms
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import EndedJob
from lavenderstall.pools.lease_ends import list_lease_ends
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.ports import (
    Committed,
    Condition,
    Delete,
    Put,
    Row,
    RowConflictError,
    StoreLimits,
    Transaction,
)
from lavenderstall.pools.recording import ProgressBatch
from lavenderstall.pools.records import (
    BASE_EXPIRY_MS,
    CANCELS,
    JOBS,
    OWNER_KEY,
    OWNERS,
    PROGRESS,
    ROSTER_KEY,
    EarlierOwner,
    LeaseEnd,
    OwnerRow,
    RosterRow,
    decode_owner,
    encode,
    encode_progress,
    encode_roster,
    get_shard,
)
from lavenderstall.pools.row_parts import PartCounts, is_part_key
from lavenderstall.pools.unrecorded_starts import (
    CONFIRMED_S,
    LATEST_ARRIVAL_S,
    MAX_DESIGNATED,
    DesignatedWorker,
    Designation,
    UnrecordedStarts,
)
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S, WorkerEntry

logger = logging.getLogger(__name__)

# Interval between renewals of the owner row.
RENEW_INTERVAL_S = 0.25
# A store that was slow counts as slow for this long without an answer, and then as lost.
SLOW_STORE_OUTAGE_S = 1.0
# After a commit slower than this, starts don't wait for commits until one is fast again.
SLOW_COMMIT_S = 0.15
FAST_COMMIT_S = 0.06
# An owner that confirmed its ownership within this time can commit.
RECENT_COMMIT_S = 0.6
# The time after which an owner may be replaced includes this many typical commit durations.
EXPIRY_COMMIT_FACTOR = 5.0
# Each job needs a condition and a write; the store accepts 100 entries per transaction.
MAX_BATCH_JOBS = 45
# The roster lists at most this many workers, so that a transaction can hold it.
MAX_ROSTER_WORKERS = 2000
# Progress that ends no job is delayed this long, so that one transaction carries more of it.
BATCH_DELAY_S = 0.04
# Jobs whose rows are replaced or deleted at a time; each has up to two in one partition.
MAX_DELETED_JOBS = 50
# Delay after a failed transaction.
RETRY_DELAY_S = 0.2
POLL_INTERVAL_S = 0.02
# Ends of leases on silent workers are written at most this often, and again if they are earlier
# by this much.
LEASE_END_INTERVAL_S = 0.2
LEASE_END_TOLERANCE_S = 0.5
# Estimates of the store's clock by one owner differ by less.
CLOCK_MARGIN_MS = 100.0


class OwnershipLostError(Exception):
    """Another entry instance owns the pool."""


class Roster(NamedTuple):
    """The workers in use, and when leases on the silent ones of them end (seconds of uptime)."""

    workers: tuple[WorkerEntry, ...]
    lease_ends: dict[WorkerKey, float]


class OwnerWriter:
    """Renew the ownership of a pool and persist its progress until another instance takes over."""

    def __init__(
        self,
        store: MonitoredStore,
        clock: Clock,
        pool: Pool,
        owner: OwnerRow,
        version: int,
        committed: Committed,
        read_uptime: Callable[[], float],
        metrics: Metrics,
        sent_at: float,
        relay: CommitRelay,
        limits: StoreLimits | None = None,
        list_heard: Callable[[], tuple[EntryId, ...]] = tuple,
    ) -> None:
        self._store = store
        self._list_heard = list_heard
        self._clock = clock
        self._pool = pool
        self._relay = relay
        self._limits = limits or StoreLimits()
        # Jobs of a batch, fewer after the store has rejected one.
        self._batch_jobs = MAX_BATCH_JOBS
        # Held during a transaction with a condition on the owner row, whose version it may change.
        self._lock = DeferredLock()
        self._part_counts = PartCounts()
        self._owner = owner
        self._version = version
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._store_clock_ms = committed.store_clock_ms
        self._store_clock_asked_at = sent_at
        self._store_clock_read_at = read_uptime()
        self._versions: dict[str, int] = {}
        self._roster_version = 0
        self._roster: tuple[WorkerEntry, ...] = ()
        # When leases on silent workers end by the durable roster row, in seconds of uptime.
        self._lease_ends: dict[WorkerKey, float] = {}
        self._lease_ends_changed_at = -LEASE_END_INTERVAL_S
        # Whether the durable roster row is that of the owner before this one, and tells of some.
        self._inherits_lease_ends = False
        self.confirmed_at = sent_at
        # Whether the ownership was renewed since the claim.
        self.renewed = False
        # Whether to release the pool in the next transaction that leaves no progress unrecorded.
        self.releasing = False
        # Whether the pool is known in part, so that only the ownership is renewed.
        self.loading = False
        self._written_at = 0.0
        self._last_commit_s = 0.0
        self._unanswered_since = -1.0
        # Until when recorded progress tells of all starts without an answer, by the durable owner
        # row, and until when that of the owner before this one holds (seconds of uptime).
        self._settled_ms = owner.settled_ms
        self._inherited_settled_ms = owner.settled_ms
        self._inherited_until = sent_at + MAX_COMMAND_DELAY_S
        # Whether the owner row allows unrecorded runs: as last built, and as last made durable.
        self._announces_unrecorded = False
        self._may_start_unrecorded = False
        # What earlier owners may have sent ahead of its record, and the workers that the durable
        # owner row designates.
        self._inherited_starts = owner.unrecorded_starts
        # Version of the first transaction after earlier owners have sent the last of it.
        self.sending_over_version: int | None = None
        self._designation = Designation(())

    @property
    def released(self) -> bool:
        """Tell whether the store has confirmed the release of the pool."""
        return self.releasing and self._owner.released and self._unanswered_since < 0

    def has_recent_commit(self) -> bool:
        """Tell whether the ownership was confirmed lately, by the store or through a peer."""
        return self._read_uptime() - self.confirmed_at < RECENT_COMMIT_S

    def has_expired(self) -> bool:
        """Tell whether no renewal was confirmed for so long that the pool may be claimed."""
        return (self._read_uptime() - self.confirmed_at) * 1000 > self._owner.expiry_ms

    def has_recent_relay(self) -> bool:
        """Tell whether a peer has committed for this owner lately."""
        return self._relay.has_recent_commit()

    def get_store_outage(self) -> float:
        """Return for how many seconds no transaction was answered, 0 if the last one was."""
        if self._unanswered_since < 0:
            return 0.0
        return self._read_uptime() - self._unanswered_since

    def note_row_versions(self, rows: tuple[Row, ...]) -> None:
        """Remember the versions of rows that were read, for the conditions of later writes."""
        self._part_counts.note_possible(row.key for row in rows)
        for row in rows:
            if row.table == PROGRESS and not is_part_key(row.key):
                self._versions[row.key] = row.version
            elif row.table == OWNERS and row.key == ROSTER_KEY:
                self._roster_version = row.version

    def set_roster(self, roster: RosterRow) -> None:
        """Set the roster row, and tell the pool when leases on silent workers end."""
        self._roster = tuple(roster.workers)
        if roster.term != self._pool.term - 1:
            return
        self._inherits_lease_ends = bool(roster.lease_ends)
        for each in roster.lease_ends:
            # The store's clock had read this much at least when its reading arrived.
            left_s = (each.end_ms - self._store_clock_ms) / 1000
            key = WorkerKey(each.worker, each.incarnation)
            self._lease_ends[key] = self._store_clock_read_at + left_s
            if key in self._pool.workers:
                self._pool.workers[key].lease_end_noted = True
        self._pool.takeover.noted_lease_ends.update(self._lease_ends)

    async def write_due(self) -> ProgressBatch | None:
        """Write what is due and return what was made durable, if anything.

        Raises `OwnershipLostError` if the pool has another owner.
        """
        await self._lock.acquire()
        try:
            return await self._write_due()
        finally:
            self._lock.release()

    async def _write_due(self) -> ProgressBatch | None:
        now = self._read_uptime()
        renewal_due = not self.renewed or now - self.confirmed_at >= RENEW_INTERVAL_S
        if self.loading and not renewal_due:
            await sleep(self._clock, POLL_INTERVAL_S)
            return None
        roster = None if self.loading else self._get_changed_roster(now)
        batch_due = (
            bool(self._pool.recorder.changed_jobs) and now - self._written_at >= BATCH_DELAY_S
        )
        urgent = self.releasing or self._pool.recorder.is_urgent()
        if not (renewal_due or roster or batch_due or urgent):
            await sleep(self._clock, POLL_INTERVAL_S)
            return None
        return await self._write(now, roster)

    def _get_changed_roster(self, now: float) -> Roster | None:
        """Return the workers in use, and ends of leases, if they differ from the roster row.

        A row that can't be read stays while it may list workers with tasks, for later owners.
        """
        if self._pool.takeover.has_unknown_workers():
            return None
        known = {(entry.id, entry.incarnation) for entry in self._roster}
        in_use = [
            worker
            for worker in self._pool.workers.values()
            if worker.entry.address and (worker.accepted_term or worker.runs or worker.key in known)
        ]
        in_use.sort(key=lambda worker: (not worker.runs, worker.key not in known, worker.key))
        workers = tuple(
            sorted(
                (worker.entry for worker in in_use[:MAX_ROSTER_WORKERS]),
                key=lambda entry: entry.id,
            )
        )
        lease_ends = list_lease_ends(self._pool, workers)
        same = {(entry.id, entry.incarnation) for entry in workers} == known
        if same and not self._have_changed(lease_ends, now):
            return None
        return Roster(workers, lease_ends)

    def _have_changed(self, lease_ends: dict[WorkerKey, float], now: float) -> bool:
        """Tell whether ends of leases need to be written.

        A worker that answers again needs it at once, and so does the next successor; others share a
        write.
        """
        if self._inherits_lease_ends or any(
            worker.lease_end_noted and key not in lease_ends
            for key, worker in self._pool.workers.items()
        ):
            return True
        sooner = any(
            end < self._lease_ends.get(key, inf) - LEASE_END_TOLERANCE_S
            for key, end in lease_ends.items()
        )
        return sooner and now - self._lease_ends_changed_at >= LEASE_END_INTERVAL_S

    def _make_roster(self, roster: Roster) -> RosterRow:
        ends = [
            LeaseEnd(*key, self._get_latest_store_ms(end)) for key, end in roster.lease_ends.items()
        ]
        return RosterRow(list(roster.workers), ends, self._pool.term)

    def _get_latest_store_ms(self, uptime: float) -> float:
        """Return what the store's clock reads at a time of uptime at the latest."""
        return self._store_clock_ms + (uptime - self._store_clock_asked_at) * 1000

    def _note_roster_sent(self, roster: Roster) -> None:
        """Extend no lease from now on whose end the row may tell."""
        for key in roster.lease_ends:
            self._pool.workers[key].lease_end_noted = True

    def _note_roster_durable(self, roster: Roster, now: float) -> None:
        self._roster = roster.workers
        if roster.lease_ends != self._lease_ends:
            self._lease_ends_changed_at = now
        self._lease_ends = roster.lease_ends
        self._inherits_lease_ends = False
        for key, worker in self._pool.workers.items():
            if key not in roster.lease_ends:
                worker.lease_end_noted = False

    async def _write(self, now: float, roster: Roster | None) -> ProgressBatch | None:
        batch, transaction = self._take_acceptable_batch(now, roster)
        self._part_counts.note_possible(put.key for put in transaction.puts)
        if roster is not None:
            self._note_roster_sent(roster)
        try:
            committed = await self._commit(transaction)
        except TransactionRejectedError as error:
            self._pool.recorder.requeue(batch)
            self._handle_rejection(now, batch, error)
            await sleep(self._clock, RETRY_DELAY_S)
            return None
        except RowConflictError as error:
            self._pool.recorder.requeue(batch)
            self._handle_conflict(error)
            return None
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._pool.recorder.requeue(batch)
            self._note_failure(now, error)
            await sleep(self._clock, RETRY_DELAY_S)
            return None
        except Exception:
            self._pool.recorder.requeue(batch)
            raise
        self._note_success(now, transaction, committed)
        if roster is not None:
            self._note_roster_durable(roster, now)
        return batch

    def _take_acceptable_batch(
        self, now: float, roster: Roster | None
    ) -> tuple[ProgressBatch, Transaction]:
        """Return the next batch, of as many jobs as the store accepts in one transaction."""
        jobs = 0 if self.loading else self._batch_jobs
        while True:
            batch = self._pool.recorder.take_batch(jobs)
            transaction = self._build_transaction(now, roster, batch)
            if self._limits.accepts(transaction) or self._is_minimal(batch):
                return batch, transaction
            self._pool.recorder.requeue(batch)
            if len(batch.progress) == 1:
                self._shrink_job(next(iter(batch.progress)), "a transaction can't hold it")
            jobs = max(1, len(batch.progress) // 2)

    def _is_minimal(self, batch: ProgressBatch) -> bool:
        """Tell whether a batch can't be made smaller."""
        jobs = [self._pool.jobs[job] for job in batch.progress]
        return not jobs or (len(jobs) == 1 and jobs[0].records_state_only)

    def _handle_rejection(
        self, now: float, batch: ProgressBatch, error: TransactionRejectedError
    ) -> None:
        """Find the job whose progress the store rejects, so that it stops no other job."""
        self._note_failure(now, error)
        logger.error(
            "transaction rejected",
            extra={"pool": self._pool.name, "jobs": len(batch.progress), "error": str(error)},
        )
        if len(batch.progress) == 1:
            self._shrink_job(next(iter(batch.progress)), str(error))
        self._batch_jobs = max(1, len(batch.progress) // 2)

    def _shrink_job(self, job_id: JobId, reason: str) -> None:
        """Record a job without its checkpoints, or fail it if that was done before."""
        job = self._pool.jobs[job_id]
        self._metrics.count("progress_too_large")
        logger.error(
            "progress of a job can't be recorded",
            extra={
                "job": job_id,
                "bytes": job.progress_bytes,
                "fails": job.omits_checkpoints,
                "reason": reason,
            },
        )
        if job.omits_checkpoints:
            job.records_state_only = True
            self._pool.fail_job(job)
        job.omits_checkpoints = True

    def _build_transaction(
        self, now: float, roster: Roster | None, batch: ProgressBatch
    ) -> Transaction:
        """Return the transaction that records a batch, and the roster if it is to be written."""
        rows = {PROGRESS: self._encode_progress(batch), OWNERS: {}}
        conditions = [Condition(OWNERS, OWNER_KEY, self._version)]
        conditions += [
            Condition(PROGRESS, job, self._versions.get(job, 0)) for job in batch.progress
        ]
        heads: dict[str, set[str]] = {PROGRESS: {*batch.progress}, OWNERS: set()}
        if roster is not None:
            conditions.append(Condition(OWNERS, ROSTER_KEY, self._roster_version))
            rows[OWNERS] = encode_roster(self._make_roster(roster), self._limits.value_bytes)
            heads[OWNERS] = {ROSTER_KEY}
        puts = [
            Put(table, key, value) for table, found in rows.items() for key, value in found.items()
        ]
        puts.append(self._build_owner_put(now, batch))
        deletes = [
            Delete(table, part)
            for table, keys in heads.items()
            for key in keys
            for part in self._part_counts.list_obsolete(key, rows[table].keys())
        ]
        return Transaction(self._pool.name, tuple(conditions), tuple(puts), tuple(deletes))

    def _encode_progress(self, batch: ProgressBatch) -> dict[str, bytes]:
        """Return the values of all progress rows of a batch by key."""
        values: dict[str, bytes] = {}
        for job_id, progress in batch.progress.items():
            progress.recorded_ms = self._get_latest_store_ms(self._read_uptime())
            rows = encode_progress(job_id, progress, self._limits.value_bytes)
            self._pool.jobs[job_id].note_progress_size(sum(map(len, rows.values())))
            values |= rows
        return values

    async def _commit(self, transaction: Transaction) -> Committed:
        """Commit a transaction; the owner row that it writes shows whether it was applied.

        Peers commit it too if the store turns this instance away or is silent.
        """
        direct = commit_and_verify(self._store, self._clock, transaction, self._find_own_commit)
        hedged = HedgedCommit(self._clock, direct, self._relay, transaction, self._may_relay)
        return await hedged.outcome

    def _may_relay(self) -> bool:
        """Tell whether a peer may reach the store better than this instance.

        A slow store is as slow for a peer, and a second attempt is a further load on it.
        """
        if self._last_commit_s > SLOW_COMMIT_S and self.get_store_outage() < SLOW_STORE_OUTAGE_S:
            return False
        return self._store.is_lost()

    async def _find_own_commit(self) -> Committed | None:
        """Return the result of the last transaction if its owner row is in the store."""
        page = await self._store.read(OWNERS, self._pool.name, OWNER_KEY, 1)
        row = next((row for row in page.rows if row.key == OWNER_KEY), None)
        if row is None or self._decode_owner(row) != self._owner:
            return None
        logger.info(
            "commit without a response was applied",
            extra={"pool": self._pool.name, "version": row.version},
        )
        return Committed(row.version, page.store_clock_ms)

    def _build_owner_put(self, now: float, batch: ProgressBatch) -> Put:
        """Return the next owner row.

        While transactions are unanswered, its renewal time is that of the first of them, as any
        may still be applied; a successor derives from it how long this owner had no store.
        """
        self._owner.sequence += 1
        self._owner.released = self.releasing and not self._pool.recorder.changed_jobs
        renewed_at = now if self._unanswered_since < 0 else self._unanswered_since
        self._owner.renewed_ms = (
            self._store_clock_ms + (renewed_at - self._store_clock_read_at) * 1000
        )
        self._owner.expiry_ms = (
            BASE_EXPIRY_MS + EXPIRY_COMMIT_FACTOR * 1000 * self._store.get_mean_commit_s()
        )
        self._announces_unrecorded = self._is_store_slow() and not self.releasing
        if not self._announces_unrecorded:
            self._may_start_unrecorded = False
        self._owner.earlier = self._list_earlier_owners(now)
        self._owner.heard = self._list_heard()
        self._owner.leases_end_ms = get_leases_end_ms(self._get_latest_store_ms(now))
        self._owner.settled_ms = self._get_settled_ms(now)
        self._owner.crashed_ms = [
            max(0.0, self._get_latest_store_ms(at))
            for at in self._pool.crashes.rate.list_latest(now)
        ]
        self._owner.unrecorded = self._announces_unrecorded or self._pool.has_unrecorded(
            batch.progress
        )
        self._owner.unrecorded_starts = self._make_unrecorded_starts(now, batch)
        return Put(OWNERS, OWNER_KEY, encode(self._owner))

    def _make_unrecorded_starts(self, now: float, batch: ProgressBatch) -> UnrecordedStarts | None:
        """Return where starts that are in no row may arrive once a batch is recorded.

        The designated workers change only while no such start of a former list can arrive, and none
        is sent during the transaction.
        """
        inherited = self._inherited_starts
        earliest_ms = self._store_clock_ms + (now - self._store_clock_read_at) * 1000
        if inherited is not None and inherited.arrive_by_ms < earliest_ms:
            inherited = self._inherited_starts = None
        unrecorded = self._pool.recorder.has_unrecorded(batch.progress)
        if not self._announces_unrecorded and not unrecorded:
            return inherited
        workers = self._designation.workers
        if not (unrecorded or self._may_start_unrecorded or inherited):
            workers = self._designate_workers()
        elif inherited is not None:
            workers = inherited.workers
        arrive_by_ms = self._get_latest_store_ms(now) + LATEST_ARRIVAL_S * 1000
        return UnrecordedStarts(workers, self._pool.term, arrive_by_ms)

    def _designate_workers(self) -> tuple[DesignatedWorker, ...]:
        """Return the listed workers that may get starts, those with the most free cores first."""
        listed = self.list_roster()
        workers = [
            worker
            for worker in self._pool.workers.values()
            if worker.key in listed and self._pool.may_take_tasks(worker)
        ]
        workers.sort(key=lambda worker: -worker.get_free_capacity().cores_milli)
        return tuple(
            DesignatedWorker(
                worker.key.id,
                worker.entry.capacity,
                worker.get_free_capacity().cores_milli,
                worker.entry.rack,
                worker.entry.labels,
            )
            for worker in workers[:MAX_DESIGNATED]
        )

    def get_designation(self) -> Designation:
        """Return the workers that may get starts ahead of their record, none if nothing may."""
        covered = self.covers_unrecorded() and self.may_start_unrecorded()
        return self._designation if covered else Designation(())

    def covers_unrecorded(self) -> bool:
        """Tell whether starts that are sent now arrive by the time that the owner row tells."""
        return self._read_uptime() - self.confirmed_at < CONFIRMED_S

    def _list_earlier_owners(self, now: float) -> list[EarlierOwner]:
        return [
            EarlierOwner(each.entry, each.term, self._get_latest_store_ms(each.expire_at))
            for each in self._pool.takeover.earlier_owners
            if each.expire_at > now
        ]

    def _get_settled_ms(self, now: float) -> float:
        """Return until when progress recorded so far tells of all starts without an answer.

        What is recorded later may name runs of which the start has been sent again since.
        """
        if self._pool.recorder.changed_jobs:
            return self._settled_ms
        oldest = next(iter(self._pool.starting.values()), now)
        settled_ms = self._get_latest_store_ms(min(now, oldest)) - CLOCK_MARGIN_MS
        if now < self._inherited_until:
            settled_ms = min(settled_ms, self._inherited_settled_ms)
        return max(settled_ms, self._settled_ms)

    def _is_store_slow(self) -> bool:
        """Tell whether commits take so long that starts should not wait for them."""
        limit_s = FAST_COMMIT_S if self._announces_unrecorded else SLOW_COMMIT_S
        return self._last_commit_s > limit_s

    def may_start_unrecorded(self) -> bool:
        """Tell whether the store's owner row says that runs may not be recorded."""
        return self._may_start_unrecorded and not self.releasing

    def list_roster(self) -> frozenset[WorkerKey]:
        """Return the workers that the durable roster row lists."""
        return frozenset(WorkerKey(entry.id, entry.incarnation) for entry in self._roster)

    def _note_success(self, now: float, transaction: Transaction, committed: Committed) -> None:
        self.confirmed_at = now
        self.renewed = True
        self._written_at = now
        relayed_s = self._relay.get_commit_s(now)
        # The wait before a peer was asked does not tell how fast the store is.
        self._last_commit_s = self._read_uptime() - now if relayed_s is None else relayed_s
        self._may_start_unrecorded = self._announces_unrecorded
        self._store_clock_ms = committed.store_clock_ms
        self._store_clock_asked_at = now
        self._store_clock_read_at = self._read_uptime()
        self._metrics.record("commit", self._store_clock_read_at - now)
        if self._unanswered_since >= 0:
            self._unanswered_since = -1.0
            logger.info("store answers again", extra={"pool": self._pool.name})
        self._batch_jobs = min(2 * self._batch_jobs, MAX_BATCH_JOBS)
        self._settled_ms = self._owner.settled_ms
        self._note_designated(self._owner.unrecorded_starts)
        if self.sending_over_version is None and self._pool.late_starts.is_sending_over(now):
            self.sending_over_version = committed.version
        self._part_counts.note_written([put.key for put in transaction.puts])
        for put in transaction.puts:
            if put.table == PROGRESS and not is_part_key(put.key):
                self._versions[put.key] = committed.version
            elif put.key == OWNER_KEY:
                self._version = committed.version
            elif put.key == ROSTER_KEY:
                self._roster_version = committed.version

    def _note_designated(self, starts: UnrecordedStarts | None) -> None:
        workers = starts.workers if starts is not None else ()
        if workers != self._designation.workers:
            self._designation = Designation(workers)

    def _note_failure(self, now: float, error: LavenderstallError) -> None:
        self._metrics.count("commits_failed")
        if self._unanswered_since < 0:
            self._unanswered_since = now
            logger.warning(
                "transaction failed; the store may be unavailable",
                extra={"pool": self._pool.name, "error": str(error)},
            )

    def _handle_conflict(self, error: RowConflictError) -> None:
        """Update the row versions after a conflict, or raise if the ownership is lost."""
        self._unanswered_since = -1.0
        # The row that says so was not written.
        self._owner.released = False
        for row in error.rows:
            if row.table == OWNERS and row.key == OWNER_KEY:
                self._check_owner(row)
        self.note_row_versions(error.rows)
        self._metrics.count("commit_conflicts")
        logger.info(
            "transaction conflict; retrying with the current row versions",
            extra={"pool": self._pool.name, "error": str(error)},
        )

    def _check_owner(self, row: Row) -> None:
        owner = self._decode_owner(row) if row.version else None
        still_owned = (
            owner is not None
            and owner.entry == self._owner.entry
            and owner.incarnation == self._owner.incarnation
            and owner.term == self._owner.term
            and not owner.released
        )
        if not still_owned:
            raise OwnershipLostError(f"pool {self._pool.name} is owned by {owner and owner.entry}")
        self._version = row.version

    def _decode_owner(self, row: Row) -> OwnerRow | None:
        """Decode the owner row; one that can't be read is not this owner's."""
        try:
            return decode_owner(row.value)
        except UnreadableError as error:
            logger.warning(
                "owner row can't be read", extra={"pool": self._pool.name, "error": str(error)}
            )
            return None

    async def delete_obsolete_rows(self) -> None:
        """Delete the rows of ended jobs that are no longer needed."""
        archive = self._pool.archive
        now = self._read_uptime()
        try:
            await self._replace_submissions(
                archive.list_obsolete_submissions(now, MAX_DELETED_JOBS)
            )
            await self._delete_progress(archive.list_expired(now, MAX_DELETED_JOBS))
        except LavenderstallError as error:
            logger.info(
                "obsolete rows not deleted; retrying later",
                extra={"pool": self._pool.name, "error": str(error)},
            )

    async def _replace_submissions(self, jobs: list[JobId]) -> None:
        """Keep of jobs that have ended only that they have, one transaction per shard."""
        for shard, shard_jobs in group_by_shard(jobs):
            puts = [Put(JOBS, job, encode(EndedJob(job, self._pool.name))) for job in shard_jobs]
            deletes = [Delete(CANCELS, job) for job in shard_jobs]
            await self._store.commit(Transaction(shard, (), tuple(puts), tuple(deletes)))
            self._pool.archive.note_replaced(shard_jobs)

    async def _delete_submissions(self, jobs: list[JobId]) -> None:
        """Delete the submission and cancellation rows of jobs, one transaction per shard."""
        for shard, shard_jobs in group_by_shard(jobs):
            deletes = tuple(Delete(table, job) for job in shard_jobs for table in (JOBS, CANCELS))
            await self._store.commit(Transaction(shard, (), (), deletes))

    async def _delete_progress(self, jobs: list[JobId]) -> None:
        """Delete the progress rows of jobs whose retention time is over."""
        if not jobs:
            return
        await self._delete_submissions(jobs)
        deletes = tuple(Delete(PROGRESS, job) for job in jobs)
        await self._lock.acquire()
        try:
            condition = Condition(OWNERS, OWNER_KEY, self._version)
            await self._store.commit(Transaction(self._pool.name, (condition,), (), deletes))
        finally:
            self._lock.release()
        for job in jobs:
            self._versions.pop(job, None)
        self._pool.archive.remove(jobs)
        self._metrics.count("jobs_forgotten", len(jobs))


def group_by_shard(jobs: Iterable[JobId]) -> Iterator[tuple[str, list[JobId]]]:
    """Yield each shard with its jobs."""
    for shard, group in groupby(sorted(jobs, key=get_shard), key=get_shard):
        yield shard, list(group)
