"""Tests of an owner's writes and of pool claims."""

import unittest
from copy import copy
from functools import partial
from itertools import product
from unittest.mock import patch

from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lavenderstall.callbacks import do_nothing
from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.archive import RETENTION_S, ROW_REPLACEMENT_DELAY_S
from lavenderstall.pools.claims import (
    COMPLETE_RECORDS_MS,
    Claim,
    Claimer,
    get_claim_rank,
    has_complete_records,
)
from lavenderstall.pools.commit_relay import RELAY_CHECK_INTERVAL_S, CommitRelay
from lavenderstall.pools.earlier_owners import (
    LEASE_S,
    OWNERSHIP_TIMEOUT_S,
    get_old_run_lifetime_s,
)
from lavenderstall.pools.effects import RunEnd, RunStatus, StartRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import EndedJob
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.owner import UNRECORDED_START_DELAY_S
from lavenderstall.pools.ports import Put, Row, StoreLimits, Transaction
from lavenderstall.pools.recording import ProgressBatch
from lavenderstall.pools.records import (
    BASE_EXPIRY_MS,
    JOBS,
    OWNER_KEY,
    OWNERS,
    PROGRESS,
    ROSTER_KEY,
    EarlierOwner,
    OwnerRow,
    decode_job,
    decode_owner,
    decode_progress,
    decode_roster,
    encode,
    get_shard,
)
from lavenderstall.pools.takeover import Takeover
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.unrecorded_starts import DesignatedWorker, Designation
from lavenderstall.pools.work import EndCause, JobState, Task
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S
from lavenderstall.pools.writer import (
    FAST_COMMIT_S,
    RENEW_INTERVAL_S,
    SLOW_COMMIT_S,
    SLOW_STORE_OUTAGE_S,
    OwnershipLostError,
    OwnerWriter,
)
from tests.pools.builders import JOB, POOL, Bench, make_entry, make_job, make_step
from tests.pools.commit_peers import FakeCommitPeers
from tests.pools.rowstore import FakeRowStore

ENTRY = make_entry("w1")
DESIGNATION = Designation((DesignatedWorker(ENTRY.id, ENTRY.capacity),))
# Long after any renewal in a test, on the store's clock.
LATER_MS = 60_000.0
KEY = WorkerKey("w1", 1)
OTHER = JobId("00000000000000b2")


def make_claimer(rows: FakeRowStore, name: str) -> Claimer:
    """Return a claimer of an instance whose time stands still."""
    store = MonitoredStore(rows, lambda: 0.0)
    unreadable_rows = UnreadableRows(Metrics())
    return Claimer(store, Clock(), EntryId(name), Incarnation(name), lambda: 0.0, unreadable_rows)


class Owner:
    """Owner of a claimed pool with its writer."""

    def __init__(
        self, rows: FakeRowStore, name: str = "entry-1", limits: StoreLimits | None = None
    ) -> None:
        self.clock = Clock()
        self.uptime = 100.0
        self.claimer = Claimer(
            MonitoredStore(rows, lambda: self.uptime),
            self.clock,
            EntryId(name),
            Incarnation(name),
            lambda: self.uptime,
            UnreadableRows(Metrics()),
        )
        self.bench = Bench()
        self.peers = FakeCommitPeers(rows)
        claim = self.claim()
        assert claim is not None
        self.writer = OwnerWriter(
            MonitoredStore(rows, lambda: self.uptime),
            self.clock,
            self.bench.pool,
            claim.owner,
            claim.version,
            claim.committed,
            lambda: self.uptime,
            Metrics(),
            claim.sent_at,
            CommitRelay(self.peers, lambda: self.uptime, Metrics()),
            limits or rows.limits,
        )

    def claim(self) -> Claim | None:
        """Claim the pool if it is claimable."""
        found: list[Claim | None] = []

        async def claim() -> None:
            snapshot = await self.claimer.read_ownership(POOL)
            found.append(
                await self.claimer.claim(POOL, snapshot) if snapshot.is_claimable() else None
            )

        Deferred.fromCoroutine(claim())
        return found[0]

    def step(self, seconds: float = 1.0) -> BaseException | None:
        """Advance the clock, write once, and return the error if there was one."""
        self.uptime += seconds
        failures: list[BaseException] = []
        done = Deferred.fromCoroutine(self.writer.write_due())
        done.addCallbacks(self.note_batch, lambda failure: failures.append(failure.value))
        self.clock.advance(seconds)
        return failures[0] if failures else None

    def wait_for_commits(self, seconds: float) -> None:
        """Begin a write, and let time pass in the steps in which a peer is considered."""
        self.uptime += RENEW_INTERVAL_S
        Deferred.fromCoroutine(self.writer.write_due()).addCallback(self.note_batch)
        for _ in range(round(seconds / RELAY_CHECK_INTERVAL_S)):
            self.uptime += RELAY_CHECK_INTERVAL_S
            self.clock.advance(RELAY_CHECK_INTERVAL_S)

    def note_batch(self, batch: ProgressBatch | None) -> None:
        """Mark a batch as durable in the pool."""
        if batch is not None:
            self.bench.pool.recorder.note_recorded(batch)

    def spend(self, seconds: float) -> None:
        """Let time pass during a call."""
        self.uptime += seconds

    def finish_task(self, index: int, seq: int) -> None:
        """Report that a task of the job has run and is done."""
        task = Task(JOB, 0, 0, index)
        self.bench.poll(ENTRY, [RunStatus(task, 1, "", 1.0)])
        self.bench.poll(ENTRY, [], [RunEnd(seq, task, 1, EndCause.DONE)])


def make_owner(rows: FakeRowStore, tasks: int = 3) -> Owner:
    """Return the owner of a pool with one worker and one job."""
    owner = Owner(rows)
    owner.bench.register(ENTRY)
    owner.bench.pool.add_job(make_job(make_step(tasks)))
    owner.step()
    return owner


def read_done(rows: FakeRowStore) -> set[int]:
    """Return the tasks of the job that are durably done."""
    return decode_progress(rows.rows[PROGRESS, POOL, JOB].value).steps["0.0"].done


class CommitTest(unittest.TestCase):
    """Progress under store faults."""

    def test_finished_tasks_become_durable(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.finish_task(0, 1)
        owner.step()
        self.assertEqual(read_done(rows), {0})

    def test_no_progress_is_lost_by_lost_responses_or_outages(self) -> None:
        for fault in ("drop_responses", "unavailable"):
            with self.subTest(fault=fault):
                rows = FakeRowStore()
                owner = make_owner(rows)
                setattr(rows, fault, True)
                owner.finish_task(0, 1)
                owner.step()
                owner.step()
                setattr(rows, fault, False)
                owner.finish_task(1, 2)
                for _ in range(4):
                    self.assertIsNone(owner.step())
                self.assertEqual(read_done(rows), {0, 1})

    def test_no_progress_is_lost_by_an_unexpected_error(self) -> None:
        """Fails if tasks are never started, as their batch was dropped by an error."""
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.bench.dispatcher.dispatch(1, 1)
        rows.error = ZeroDivisionError("odd answer")
        self.assertIsInstance(owner.step(), ZeroDivisionError)
        rows.error = None
        self.assertIsNone(owner.step())
        starts = [e for e in owner.bench.pool.pop_effects() if isinstance(e, StartRun)]
        self.assertEqual(len(starts), 3)

    def test_a_delayed_write_does_not_overwrite_a_later_one(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows, tasks=4)
        rows.defer_writes = True
        owner.finish_task(0, 1)
        owner.step()
        rows.defer_writes = False
        owner.finish_task(1, 2)
        owner.step()
        for change in rows.deferred:
            try:
                rows.apply(change)
            except Exception as error:
                self.assertIn("row versions differ", str(error))
        self.assertEqual(read_done(rows), {0, 1})
        owner.finish_task(2, 3)
        for _ in range(4):
            self.assertIsNone(owner.step())
        self.assertEqual(read_done(rows), {0, 1, 2})

    def test_a_replaced_owner_writes_nothing(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        rows.store_clock_ms = LATER_MS
        self.assertIsNotNone(Owner(rows, "entry-2"))
        owner.finish_task(0, 1)
        self.assertIsInstance(owner.step(), OwnershipLostError)
        self.assertNotIn((PROGRESS, POOL, JOB), rows.rows)

    def test_a_final_state_is_visible_only_after_its_commit(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows, tasks=1)
        rows.unavailable = True
        owner.finish_task(0, 1)
        owner.step()
        self.assertIs(owner.bench.pool.get_state(JOB), JobState.RUNNING)
        rows.unavailable = False
        owner.step()
        owner.step()
        self.assertIs(owner.bench.pool.get_state(JOB), JobState.COMPLETED)

    def test_ownership_is_not_confirmed_while_the_store_is_unavailable(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        confirmed = owner.writer.confirmed_at
        rows.unavailable = True
        owner.step()
        self.assertEqual(owner.writer.confirmed_at, confirmed)


class RosterTest(unittest.TestCase):
    """The row that lists the workers of a pool."""

    def test_an_unreadable_roster_stays_while_it_may_list_workers_with_tasks(self) -> None:
        """Fails if a later owner would take a new roster for a complete one."""
        rows = FakeRowStore()
        owner = Owner(rows)
        owner.bench.pool.takeover = Takeover(owner.bench.pool, owner.bench.now + 5, recorded=False)
        owner.bench.pool.takeover.note_unknown_workers()
        owner.bench.register(ENTRY)
        owner.step()
        self.assertNotIn((OWNERS, POOL, ROSTER_KEY), rows.rows)
        owner.bench.advance(6.0)
        owner.step()
        (worker,) = decode_roster(rows.rows[OWNERS, POOL, ROSTER_KEY].value).workers
        self.assertEqual(worker, ENTRY)


class CleaningTest(unittest.TestCase):
    """Deletion of rows of ended jobs."""

    def test_rows_are_deleted_only_after_their_retention_time(self) -> None:
        table = (
            (ROW_REPLACEMENT_DELAY_S - 1, {JOBS, PROGRESS}),
            (ROW_REPLACEMENT_DELAY_S + 1, {JOBS, PROGRESS}),
            (RETENTION_S - 10, {JOBS, PROGRESS}),
            (RETENTION_S + 10, set()),
        )
        for passed, kept in table:
            with self.subTest(passed=passed):
                rows = FakeRowStore()
                owner = make_owner(rows, tasks=1)
                rows.rows[JOBS, get_shard(JOB), JOB] = Row(JOBS, "", JOB, b"", 1)
                owner.finish_task(0, 1)
                owner.step()
                owner.bench.advance(0.1)
                archived_at = owner.bench.now
                owner.uptime = archived_at + passed
                owner.step()
                Deferred.fromCoroutine(owner.writer.delete_obsolete_rows())
                found = {table for table, _, key in rows.rows if key == JOB}
                self.assertEqual(found, kept)
                if kept and passed > ROW_REPLACEMENT_DELAY_S:
                    row = rows.rows[JOBS, get_shard(JOB), JOB]
                    self.assertEqual(decode_job(row.value), EndedJob(JOB, POOL))
                self.assertEqual(owner.bench.pool.get_state(JOB) is not None, bool(kept))


class ClaimTest(unittest.TestCase):
    """Claims of pools and what a successor knows of earlier runs."""

    def test_only_a_claimable_pool_is_claimed(self) -> None:
        rows = FakeRowStore()
        make_owner(rows)
        row = decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value)
        self.assertGreaterEqual(row.expiry_ms, BASE_EXPIRY_MS)
        table = ((0.0, False), (row.expiry_ms, False), (row.expiry_ms + 1, True))
        for passed_ms, claimable in table:
            with self.subTest(passed_ms=passed_ms):
                other = make_claimer(rows, "e2")
                rows.store_clock_ms = row.renewed_ms + passed_ms
                seen: list[bool] = []
                Deferred.fromCoroutine(other.read_ownership(POOL)).addCallback(
                    lambda snapshot, seen=seen: seen.append(snapshot.is_claimable())
                )
                self.assertEqual(seen, [claimable])

    def test_a_pool_whose_owner_row_cannot_be_read_is_claimed_above_all_terms(self) -> None:
        """Fails if such a pool has no owner for ever, or workers would refuse the next one."""
        sound = OwnerRow(EntryId("e"), Incarnation("i"), 3, LATER_MS)
        odd_rows = (
            b"",
            b"text",
            b"\x91" * 5000 + b"\x90",
            *(
                encode(replace(sound, **{field: value}))
                for field in ("renewed_ms", "expiry_ms")
                for value in (float("nan"), float("inf"), -1.0)
            ),
            encode(replace(sound, term=-1)),
            encode(replace(sound, term=2**64 - 1)),
            encode(replace(sound, earlier=[EarlierOwner(EntryId("f"), 1, float("nan"))])),
            encode(replace(sound, earlier=[EarlierOwner(EntryId("f"), -1, 5.0)])),
            encode(replace(sound, expiry_ms=1e12)),
            encode(replace(sound, renewed_ms=1e12)),
        )
        for value in odd_rows:
            with self.subTest(value=value[:60]):
                rows = FakeRowStore()
                first = make_owner(rows)
                for _ in range(3):
                    first.step()
                rows.apply(Transaction(POOL, (), (Put(OWNERS, OWNER_KEY, value),)))
                self.assertIsInstance(first.step(), OwnershipLostError)
                claim = first.claim()
                assert claim is not None
                self.assertEqual(claim.owner.term, rows.version)
                self.assertTrue(claim.owner.unrecorded)
                self.assertFalse(claim.records_complete)
                ends_ms = [each.leases_end_ms for each in claim.owner.earlier or ()]
                last_s = (max(ends_ms) - rows.store_clock_ms) / 1000
                self.assertGreater(last_s, OWNERSHIP_TIMEOUT_S + LEASE_S)

    def test_a_successor_is_told_when_leases_on_a_silent_worker_end(self) -> None:
        """Fails if the successor waits for longer, or not for as long as leases may last.

        An owner between the two may not have heeded what the row tells.
        """
        for term, told in ((1, True), (2, False)):
            with self.subTest(term=term):
                rows = FakeRowStore()
                owner = make_owner(rows)
                expiry = self.silence_worker(owner)
                owner.step()
                roster = decode_roster(rows.rows[OWNERS, POOL, ROSTER_KEY].value)
                rows.store_clock_ms += LATER_MS
                successor = Owner(rows, "entry-2")
                successor.bench.pool.term = 1 + term
                successor.bench.pool.takeover.add_workers(roster.workers)
                successor.writer.set_roster(roster)
                ends = successor.bench.pool.takeover.noted_lease_ends
                self.assertEqual(list(ends), [KEY] if told else [])
                if told:
                    left_s = ends[KEY] - successor.uptime + LATER_MS / 1000
                    self.assertGreaterEqual(left_s, expiry - owner.uptime)
                    self.assertLess(left_s, expiry - owner.uptime + 1.1)

    def silence_worker(self, owner: Owner) -> float:
        """Let the worker leave in silence, and return when the leases there end."""
        owner.bench.advance(0.0)
        owner.bench.pool.add_job(make_job(make_step(long_running=True), job=OTHER))
        owner.bench.start()
        owner.bench.pool.set_workers([])
        owner.bench.pool.note_unresponsive(KEY, unreachable=True)
        return owner.bench.pool.workers[KEY].get_lease_expiry()

    def test_no_lease_is_extended_while_a_row_may_tell_of_its_end(self) -> None:
        """Fails if an owner extends a lease before the row that tells of its end is withdrawn."""
        rows = FakeRowStore()
        owner = make_owner(rows)
        self.silence_worker(owner)
        worker = owner.bench.pool.workers[KEY]
        rows.defer_writes = True
        owner.step()
        rows.defer_writes = False
        self.assertTrue(worker.lease_end_noted, "the row may tell of it although no answer came")
        owner.bench.pool.set_workers([ENTRY])
        owner.bench.poll(ENTRY)
        self.assertTrue(worker.lease_end_noted)
        owner.step()
        owner.step()
        self.assertFalse(worker.lease_end_noted)
        roster = decode_roster(rows.rows[OWNERS, POOL, ROSTER_KEY].value)
        self.assertEqual(roster.lease_ends, [])

    def test_one_of_two_claims_wins(self) -> None:
        rows = FakeRowStore()
        claimers = [make_claimer(rows, name) for name in ("e1", "e2")]
        snapshots: list[object] = []
        for claimer in claimers:
            Deferred.fromCoroutine(claimer.read_ownership(POOL)).addCallback(snapshots.append)
        won: list[Claim | None] = []
        for claimer, snapshot in zip(claimers, snapshots, strict=True):
            Deferred.fromCoroutine(claimer.claim(POOL, snapshot)).addCallback(won.append)  # type: ignore[arg-type]
        self.assertEqual([claim is not None for claim in won], [True, False])

    def test_a_claim_waits_for_leases_of_earlier_runs(self) -> None:
        owner = OwnerRow(EntryId("e"), Incarnation("i"), 1)
        released = OwnerRow(EntryId("e"), Incarnation("i"), 1, released=True)
        table = ((None, 0.0, 0.0), (released, 6.1, 7.0), (owner, 13.1, 14.0))
        for before, low, high in table:
            with self.subTest(before=before):
                self.assertTrue(low <= get_old_run_lifetime_s(before) <= high)

    def test_instances_with_more_cpu_capacity_and_no_pool_claim_first(self) -> None:
        def rank(entry: str, number: int) -> int:
            return get_claim_rank(EntryId(entry), cpu_capacities, owned, number)

        cpu_capacities = {
            EntryId(name): cpu_capacity
            for name, cpu_capacity in (("a", 1.0), ("b", 2.0), ("c", 2.0))
        }
        owned: dict[EntryId, int] = {}
        first = {min("abc", key=lambda e: rank(e, number)) for number in (0, 1)}
        self.assertEqual(first, {"b", "c"})
        self.assertEqual(sorted(rank(e, 0) for e in "abc"), [0, 1, 2])
        owned = {EntryId("b"): 1, EntryId("c"): 1}
        self.assertEqual(rank("a", 0), 0)

    def test_all_runs_of_a_quickly_replaced_owner_are_recorded(self) -> None:
        def make(**fields: object) -> OwnerRow:
            return OwnerRow(EntryId("e"), Incarnation("i"), 1, 1000.0, **fields)  # type: ignore[arg-type]

        table = (
            (None, 9000.0, True),
            (make(), 1000.0 + COMPLETE_RECORDS_MS, True),
            (make(), 1001.0 + COMPLETE_RECORDS_MS, False),
            (make(released=True), 9000.0, True),
            (make(released=True, unrecorded=True), 1000.0, False),
            (make(unrecorded=True), 1000.0, False),
        )
        for before, store_ms, recorded in table:
            with self.subTest(before=before, store_ms=store_ms):
                self.assertEqual(has_complete_records(before, store_ms), recorded)

    def test_recorded_limit_is_below_the_delay_of_unrecorded_starts(self) -> None:
        self.assertLess(COMPLETE_RECORDS_MS / 1000, UNRECORDED_START_DELAY_S)

    def test_unrecorded_earlier_runs_stay_marked_in_the_owner_row(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.bench.pool.takeover = Takeover(owner.bench.pool, 999.0, recorded=False)
        owner.bench.pool.takeover.add_workers([make_entry("w9")])
        owner.bench.pool.add_job(make_job(job=JobId("b2")), inherited=True)
        owner.bench.pool.takeover.note_loaded()
        owner.step()
        row = decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value)
        self.assertTrue(row.unrecorded)
        owner.bench.poll(make_entry("w9"))
        owner.step()
        row = decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value)
        self.assertFalse(row.unrecorded)

    def test_unrecorded_earlier_runs_stay_marked_while_rows_are_loaded(self) -> None:
        """Fails if the owner after one that could not load the rows starts tasks twice."""
        rows = FakeRowStore()
        owner = Owner(rows)
        for recorded in (True, False):
            with self.subTest(recorded=recorded):
                takeover = Takeover(owner.bench.pool, 999.0, recorded=recorded)
                owner.bench.pool.takeover = takeover
                for loaded in (False, True):
                    if loaded:
                        takeover.note_loaded()
                    owner.step()
                    row = decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value)
                    self.assertEqual(row.unrecorded, not recorded and not loaded)

    def test_renewal_time_does_not_advance_while_commits_are_unanswered(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        rows.defer_writes = True
        for _ in range(4):
            owner.step()
        times = {
            decode_owner(put.value).renewed_ms
            for change in rows.deferred
            for put in change.puts
            if put.key == OWNER_KEY
        }
        self.assertEqual(len(times), 1)
        self.assertGreaterEqual(owner.writer.get_store_outage(), 3.0)

    def test_unrecorded_starts_are_reported_until_they_are_recorded(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.bench.dispatcher.dispatch(1, 1)
        owner.bench.pool.recorder.send_unrecorded_starts(owner.writer.list_roster(), DESIGNATION)
        self.assertTrue(owner.bench.pool.has_unrecorded(()))
        owner.step()
        self.assertFalse(owner.bench.pool.has_unrecorded(()))
        (recorded,) = decode_progress(rows.rows[PROGRESS, POOL, JOB].value).steps["0.0"].runs
        self.assertEqual(len(recorded.runs), 3)

    def test_starts_sent_during_a_transaction_are_reported_after_it(self) -> None:
        """Fails if a successor starts a task again that was sent beside the record of its job."""
        for starts, fails in product((False, True), (False, True)):
            with self.subTest(starts=starts, fails=fails):
                owner = make_owner(FakeRowStore(), tasks=5)
                recorder, listed = owner.bench.pool.recorder, owner.writer.list_roster()
                owner.bench.dispatcher.dispatch(1, 1)
                recorder.send_unrecorded_starts(listed, DESIGNATION)
                batch = recorder.take_batch(1)
                if starts:
                    owner.finish_task(0, 1)
                    owner.bench.dispatcher.dispatch(1, 1)
                    recorder.send_unrecorded_starts(listed, DESIGNATION)
                if fails:
                    recorder.requeue(batch)
                else:
                    recorder.note_recorded(batch)
                self.assertEqual(owner.bench.pool.has_unrecorded(()), starts or fails)

    def test_a_store_that_seems_lost_still_gets_the_direct_commit(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        rows.unavailable = True
        owner.step()
        rows.unavailable = False
        owner.peers.reached, owner.peers.answers = True, False
        owner.step()
        self.assertEqual(owner.writer.get_store_outage(), 0.0)

    def test_peers_commit_for_an_owner_unless_the_store_is_slow(self) -> None:
        # Duration of the last commit, seconds without an answer, whether a peer is asked.
        for duration_s, outage_s, relayed in (
            (0.02, 0.4, True),
            (SLOW_COMMIT_S + 0.1, 0.4, False),
            (SLOW_COMMIT_S + 0.1, SLOW_STORE_OUTAGE_S + 0.5, True),
        ):
            with self.subTest(duration_s=duration_s, outage_s=outage_s):
                rows = FakeRowStore()
                owner = make_owner(rows)
                rows.advance = partial(owner.spend, duration_s)
                owner.step()
                rows.advance = lambda: None
                rows.unavailable = True
                owner.step()
                owner.peers.reached = True
                owner.step(outage_s)
                self.assertEqual(bool(owner.peers.requests), relayed)

    def test_the_wait_for_a_peer_does_not_count_as_a_slow_store(self) -> None:
        """Fails if an owner that a peer has helped asks no peer for its next commits."""
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.peers.store, owner.peers.reached = copy(rows), True
        rows.unavailable = True
        with patch.object(rows, "commit", lambda transaction: Deferred()):
            owner.wait_for_commits(2 * SLOW_COMMIT_S)
            self.assertEqual(owner.peers.requests, 1)
            owner.wait_for_commits(0.0)
        self.assertEqual(owner.peers.requests, 2)
        row = decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value)
        self.assertFalse(row.unrecorded)

    def test_a_slow_store_is_told_that_runs_may_not_be_recorded(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        # Duration of a commit, number of commits, announced in the row, starts may go ahead.
        table = (
            (0.02, 1, False),
            (SLOW_COMMIT_S + 0.2, 1, False),
            (SLOW_COMMIT_S + 0.2, 1, True),
            (FAST_COMMIT_S + 0.02, 1, True),
            (0.02, 1, True),
            (0.02, 1, False),
        )
        for duration_s, commits, announced in table:
            with self.subTest(duration_s=duration_s, commits=commits):
                for _ in range(commits):
                    rows.advance = partial(owner.spend, duration_s)
                    owner.step()
                row = decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value)
                self.assertEqual(row.unrecorded, announced)
                self.assertEqual(owner.writer.may_start_unrecorded(), announced)

    def test_starts_go_ahead_only_on_workers_of_the_durable_roster(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.bench.register(ENTRY, make_entry("w2"))
        owner.bench.dispatcher.dispatch(1, 1)
        recorder = owner.bench.pool.recorder
        for roster, sent in ((frozenset(), 0), (owner.writer.list_roster(), 3)):
            with self.subTest(roster=roster):
                recorder.send_unrecorded_starts(roster, DESIGNATION)
                self.assertEqual(len(owner.bench.pool.pop_effects()), sent)

    def test_a_released_pool_is_claimable_at_once(self) -> None:
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.finish_task(0, 1)
        owner.writer.releasing = True
        owner.step()
        self.assertTrue(owner.writer.released)
        self.assertEqual(read_done(rows), {0})
        successor = Owner(rows, "entry-2")
        self.assertEqual(successor.claim(), None)

    def test_a_pool_is_released_only_once_the_store_says_so(self) -> None:
        """Fails if an owner stops after a conflict, with its last progress unrecorded."""
        rows = FakeRowStore()
        owner = make_owner(rows)
        owner.finish_task(0, 1)
        owner.step()
        owner.finish_task(1, 2)
        row = rows.rows[PROGRESS, POOL, JOB]
        rows.version += 1
        rows.rows[PROGRESS, POOL, JOB] = replace(row, version=rows.version)
        owner.writer.releasing = True
        owner.step()
        self.assertFalse(owner.writer.released)
        self.assertFalse(decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value).released)
        owner.step()
        self.assertTrue(owner.writer.released)
        self.assertTrue(decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value).released)
        self.assertEqual(read_done(rows), {0, 1})


class SettledStartsTest(unittest.TestCase):
    """Until when the rows tell the next owner of all starts that have no answer."""

    def setUp(self) -> None:
        """Claim a pool and let the time pass in which the rows of earlier owners count."""
        self.rows = FakeRowStore()
        self.owner = self.follow_clock(Owner(self.rows))
        self.owner.step(MAX_COMMAND_DELAY_S + 1.0)

    def follow_clock(self, owner: Owner) -> Owner:
        """Let the store's clock follow that of an owner."""
        before_ms = self.rows.store_clock_ms - owner.uptime * 1000

        def advance() -> None:
            self.rows.store_clock_ms = before_ms + owner.uptime * 1000

        self.rows.advance = advance
        return owner

    def read_settled_age_s(self) -> float:
        """Return how long before its last renewal the owner has settled all starts."""
        row = decode_owner(self.rows.rows[OWNERS, POOL, OWNER_KEY].value)
        return (row.renewed_ms - row.settled_ms) / 1000

    def test_it_is_the_time_of_the_oldest_start_under_way(self) -> None:
        """Fails if the next owner takes a start for settled that may have been sent again."""
        self.owner.step()
        self.assertLess(self.read_settled_age_s(), 0.3)
        starting = self.owner.bench.pool.starting
        starting[Task(JOB, 0, 0, 0), 1] = self.owner.uptime
        starting[Task(JOB, 0, 0, 1), 1] = self.owner.uptime + 0.5
        for _ in range(3):
            self.owner.step()
        self.assertGreater(self.read_settled_age_s(), 2.9)
        del starting[Task(JOB, 0, 0, 0), 1]
        self.owner.step()
        self.assertGreater(self.read_settled_age_s(), 3.4)
        starting.clear()
        self.owner.step()
        self.assertLess(self.read_settled_age_s(), 0.3)

    def test_it_stays_while_changes_are_not_recorded(self) -> None:
        """Fails if starts count as settled whose copies are known to no row."""
        self.owner.step()
        self.rows.unavailable = True
        self.owner.bench.pool.add_job(make_job())
        self.owner.bench.pool.recorder.mark_changed(JOB)
        self.owner.step()
        self.rows.unavailable = False
        for _ in range(2):
            self.owner.writer._batch_jobs = 0
            self.owner.step()
        self.assertGreater(self.read_settled_age_s(), 1.9)

    def test_a_successor_heeds_that_of_the_owner_before_it(self) -> None:
        """Fails if a third owner takes starts of the first one for settled."""
        self.owner.bench.pool.starting[Task(JOB, 0, 0, 0), 1] = self.owner.uptime
        self.owner.step()
        self.rows.advance = do_nothing
        self.rows.store_clock_ms += LATER_MS
        successor = self.follow_clock(Owner(self.rows, "entry-2"))
        successor.step()
        self.assertGreater(self.read_settled_age_s(), LATER_MS / 1000)
        successor.step(MAX_COMMAND_DELAY_S)
        self.assertLess(self.read_settled_age_s(), 0.3)


if __name__ == "__main__":
    unittest.main()
