"""Tests of starts ahead of their record, and of what a later owner expects of them."""

import unittest
from collections import Counter
from collections.abc import Sequence
from functools import partial

from lavenderstall.callbacks import do_nothing
from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import OTHER_PROCESS, Refusal, StartRun
from lavenderstall.pools.progress import JobProgress, RecordedRuns, StepProgress
from lavenderstall.pools.records import OWNER_KEY, OWNERS, decode_owner
from lavenderstall.pools.run_numbers import get_first_number, get_next_number
from lavenderstall.pools.unrecorded_starts import (
    CONFIRMED_S,
    LATEST_ARRIVAL_S,
    DesignatedWorker,
    Designation,
    UnrecordedStarts,
)
from lavenderstall.pools.work import EndCause, Step, Task
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S, WorkerEntry
from lavenderstall.pools.writer import SLOW_COMMIT_S
from lavenderstall.resources import Resources
from tests.pools.builders import (
    ADVISED,
    CAPACITY,
    JOB,
    POOL,
    Bench,
    make_entry,
    make_job,
    make_queue,
    make_step,
)
from tests.pools.rowstore import FakeRowStore
from tests.pools.test_writer import Owner

ENTRIES = tuple(make_entry(f"w{number}") for number in range(1, 5))
OTHER = JobId("00000000000000b2")
LATE_S = 10.0


def designate(entries: Sequence[WorkerEntry] = ENTRIES, weight: int = 1) -> Designation:
    """Return the designation of some workers."""
    return Designation(
        [DesignatedWorker(e.id, e.capacity, weight, e.rack, e.labels) for e in entries]
    )


def make_task(number: int = 0, job: JobId = JOB) -> Task:
    """Return a task of the first step of a job."""
    return Task(job, 0, 0, number)


class DesignationTest(unittest.TestCase):
    """Which worker may get the start of a task ahead of its record."""

    def test_kinds_of_steps_with_designated_workers(self) -> None:
        """Fails if tasks that can't wait for one worker start ahead of their record."""
        rows = (
            ("plain", {}, True),
            ("gang", {"gang": True}, False),
            ("lasting", {"long_running": True}, False),
            ("best effort", {"best_effort": True}, False),
            ("same rack", {"same_rack": True}, False),
            ("too large", {"need": Resources(cores_milli=5000)}, False),
            ("label of none", {"label": "c"}, False),
        )
        for name, fields, found in rows:
            with self.subTest(name=name):
                worker = designate().find_worker(make_step(**fields), make_task())
                self.assertEqual(worker is not None, found)

    def test_only_workers_that_suit_a_step_are_designated(self) -> None:
        """Fails if a later owner awaits a worker that can't run the task."""
        large = make_entry("w5", capacity=Resources(9000, 9000), rack="r2", labels=("b",))
        rows = (
            ({"need": Resources(cores_milli=5000)}, {"w5"}),
            ({"label": "b"}, {"w5"}),
            ({"data_rack": "r2"}, {"w5"}),
            ({"data_rack": "r1"}, {"w1", "w2", "w3", "w4"}),
            ({"data_rack": "r9"}, {"w1", "w2", "w3", "w4", "w5"}),
        )
        designation = designate((*ENTRIES, large))
        for fields, expected in rows:
            with self.subTest(fields=fields):
                step = make_step(**fields)
                found = {designation.find_worker(step, make_task(number)) for number in range(99)}
                self.assertEqual(found, expected)

    def test_tasks_are_spread_by_weight(self) -> None:
        """Fails if a small worker is designated as often as a large one."""
        workers = [DesignatedWorker(f"w{weight}", CAPACITY, weight) for weight in (1, 3)]
        designation = Designation(workers)
        found = Counter(
            designation.find_worker(make_step(), make_task(number, JobId(f"{job:016x}")))
            for job in range(40)
            for number in range(10)
        )
        self.assertAlmostEqual(found["w3"] / found["w1"], 3.0, delta=0.5)

    def test_run_numbers_rise_with_terms(self) -> None:
        rows = ((1, 0, 1), (1, 1, 2), (3, 0, 2001), (3, 7, 2001), (3, 2001, 2002))
        for term, last, expected in rows:
            with self.subTest(term=term, last=last):
                self.assertEqual(get_next_number(term, last), expected)
                self.assertEqual(get_next_number(term, 0), get_first_number(term))


class GoAheadTest(unittest.TestCase):
    """Which pending starts go ahead of their record."""

    def send(self, step: Step, designation: Designation, **queue: object) -> list[StartRun]:
        """Return the starts that go ahead of the record of a new job."""
        bench = Bench(*ENTRIES, queue=make_queue(**queue))
        bench.pool.add_job(make_job(step))
        bench.dispatcher.dispatch(1, 1, designation)
        bench.pool.recorder.send_unrecorded_starts(bench.pool.workers.keys(), designation)
        return [effect for effect in bench.pool.pop_effects() if isinstance(effect, StartRun)]

    def test_starts_go_ahead_to_designated_workers_alone(self) -> None:
        """Fails if a later owner can't tell where a start may arrive that is in no row."""
        rows = (
            ("all have room", make_step(8), designate(), 8),
            ("no worker", make_step(8), Designation(()), 0),
            ("one without enough room", make_step(8), designate(ENTRIES[:1]), 4),
            ("gang", make_step(2, gang=True), designate(), 0),
            ("lasting", make_step(2, long_running=True), designate(), 0),
            ("copies may run in parallel", make_step(2, speculative=True), Designation(()), 2),
        )
        for name, step, designation, count in rows:
            with self.subTest(name=name):
                starts = self.send(step, designation)
                self.assertEqual(len(starts), count)
                if designation.workers:
                    self.assertEqual(
                        [each.worker.id for each in starts],
                        [designation.find_worker(step, each.task) for each in starts],
                    )

    def test_only_first_starts_go_ahead(self) -> None:
        """Fails if a row names a run of a task, so that no start of it is expected elsewhere."""
        bench = Bench(ENTRIES[0])
        designation = designate(ENTRIES[:1])
        bench.pool.add_job(make_job())
        (start,) = bench.start()
        bench.end(start, EndCause.FAILED, 1, ENTRIES[0])
        bench.dispatcher.dispatch(1, 1, designation)
        bench.pool.recorder.send_unrecorded_starts(bench.pool.workers.keys(), designation)
        self.assertEqual(bench.pool.pop_effects(), [])
        self.assertEqual(len(bench.dispatch()), 1)

    def test_runs_count_as_unrecorded_until_a_row_names_them(self) -> None:
        """Fails if a queued start is sent later than the owner row tells."""
        bench = Bench(*ENTRIES)
        bench.pool.add_job(make_job(make_step(2)))
        bench.dispatcher.dispatch(1, 1, designate())
        bench.pool.recorder.send_unrecorded_starts(bench.pool.workers.keys(), designate())
        runs = bench.pool.jobs[JOB].list_runs()
        failed = bench.pool.recorder.take_batch(9)
        bench.pool.recorder.requeue(failed)
        self.assertEqual([run.unrecorded for run in runs], [True, True])
        bench.record()
        self.assertEqual([run.unrecorded for run in runs], [False, False])


class ExpectedStartTest(unittest.TestCase):
    """What an owner expects of starts that earlier ones may have sent ahead of their record."""

    STEP = make_step(expected_ms=600_000)

    def make_bench(
        self,
        step: Step = STEP,
        progress: StepProgress | None = None,
        *,
        inherited: bool = True,
        **queue: object,
    ) -> Bench:
        """Return an owner of a second term that has read a job."""
        bench = Bench(*ENTRIES, term=2, queue=make_queue(**queue))
        starts = UnrecordedStarts(designate().workers, 1, 0.0)
        bench.pool.late_starts.expect_unrecorded(starts, bench.now + LATE_S)
        found = JobProgress(steps={"0.0": progress}) if progress else None
        bench.pool.add_job(make_job(step), found, inherited=inherited)
        return bench

    def find_designated(self, step: Step = STEP) -> WorkerEntry:
        """Return the worker that the first task may have been sent to."""
        name = designate().find_worker(step, make_task())
        return next(entry for entry in ENTRIES if entry.id == name)

    def list_starts(self, bench: Bench) -> list[StartRun]:
        """Dispatch and return the starts."""
        return [effect for effect in bench.dispatch() if isinstance(effect, StartRun)]

    def test_tasks_wait_for_their_designated_worker(self) -> None:
        """Fails if a task starts elsewhere that the worker's next process may start."""
        failed = StepProgress(failures={0: [1]})
        ran = StepProgress(runs=[RecordedRuns("w9", 1, [(0, 1)])])
        lasting = make_step(long_running=True)
        parallel = make_step(speculative=True)
        rows = (
            ("in no row", partial(self.make_bench), 0),
            ("read later", partial(self.make_bench, inherited=False), 0),
            ("a failure is in its row", partial(self.make_bench, progress=failed), 1),
            ("a run is in its row", partial(self.make_bench, progress=ran), 0),
            ("lasting", partial(self.make_bench, lasting), 1),
            ("copies may run in parallel", partial(self.make_bench, parallel), 1),
        )
        for name, make_bench, count in rows:
            with self.subTest(name=name):
                bench = make_bench()
                gone = self.find_designated()
                bench.pool.set_workers([entry for entry in ENTRIES if entry is not gone])
                self.assertEqual(len(self.list_starts(bench)), count)

    def test_a_task_starts_on_its_designated_worker_at_once(self) -> None:
        """Fails if a task waits although the worker that may start it has room."""
        bench = self.make_bench()
        (start,) = self.list_starts(bench)
        self.assertEqual(start.worker.id, self.find_designated().id)

    def test_a_task_starts_elsewhere_once_no_start_may_arrive(self) -> None:
        """Fails if a task waits for longer than a start may be late."""
        bench = self.make_bench()
        gone = self.find_designated()
        others = [entry for entry in ENTRIES if entry is not gone]
        bench.pool.set_workers(others)
        bench.advance(LATE_S + 0.1)
        for entry in others:
            bench.poll(entry)
        self.assertEqual(len(self.list_starts(bench)), 1)

    def test_a_task_does_not_wait_for_a_worker_without_a_further_process(self) -> None:
        bench = self.make_bench()
        gone = self.find_designated()
        key = bench.pool.latest_incarnations[gone.id]
        bench.pool.note_poll_refused(key, Refusal(OTHER_PROCESS))
        self.assertEqual(len(self.list_starts(bench)), 1)

    def test_jobs_that_no_earlier_owner_knew_do_not_wait(self) -> None:
        """Fails if all jobs wait for their designated workers after a change of owners."""
        bench = self.make_bench()
        late_starts = bench.pool.late_starts
        self.assertFalse(late_starts.is_sending_over(bench.now + LATE_S - MAX_COMMAND_DELAY_S))
        late_starts.note_earlier_jobs_known()
        bench.pool.set_workers(ENTRIES[:1])
        bench.pool.add_job(make_job(self.STEP, job=OTHER))
        starts = self.list_starts(bench)
        self.assertIn(OTHER, [start.task.job for start in starts])

    def test_ends_are_held_while_a_start_may_arrive(self) -> None:
        """Fails if a task whose end is acknowledged is started by the next process."""
        for advance_s, acknowledged in ((0.0, 0), (LATE_S + 0.1, 1)):
            with self.subTest(advance_s=advance_s):
                bench = self.make_bench()
                (start,) = bench.start()
                bench.end(start, EndCause.DONE, 1, self.find_designated())
                bench.advance(advance_s)
                bench.record()
                self.assertEqual(bench.pool.workers[start.worker].committed_seq, acknowledged)

    def test_a_started_task_tells_the_next_owner_of_the_former_start(self) -> None:
        """Fails if the row names the run of this owner only, and that ends."""
        bench = self.make_bench()
        self.list_starts(bench)
        (late,) = bench.pool.jobs[JOB].make_progress().steps["0.0"].late
        self.assertEqual(late.worker, self.find_designated().id)
        self.assertEqual(late.run, get_first_number(1))

    def test_designated_workers_are_polled(self) -> None:
        """Fails if nobody asks a worker that may start a task of a cancelled job."""
        bench = self.make_bench()
        bench.pool.cancel_job(JOB)
        worker = bench.pool.workers[bench.pool.latest_incarnations["w1"]]
        self.assertTrue(bench.pool.needs_polling(worker))
        bench.advance(LATE_S + 0.1)
        bench.poll(ENTRIES[0])
        self.assertFalse(bench.pool.needs_polling(worker))

    def test_tickets_hold_for_one_process(self) -> None:
        bench = self.make_bench(advising=ADVISED)
        self.assertEqual(
            bench.pool.late_starts.list_pinned(bench.pool.jobs[JOB], [make_task()]), {}
        )


class OwnerRowTest(unittest.TestCase):
    """What the owner row tells of starts that are in no row."""

    def setUp(self) -> None:
        """Make an owner with some workers in its roster."""
        self.rows = FakeRowStore()
        self.owner = Owner(self.rows)
        self.offset_ms = self.rows.store_clock_ms - self.owner.uptime * 1000
        self.owner.bench.register(*ENTRIES)
        self.owner.step()

    def answer(self, duration_s: float) -> None:
        """Let time pass during a call, by the store's clock too."""
        self.owner.spend(duration_s)
        self.rows.store_clock_ms = self.owner.uptime * 1000 + self.offset_ms

    def step(self, duration_s: float = SLOW_COMMIT_S + 0.2) -> UnrecordedStarts | None:
        """Commit, which takes some time, and return what the row tells then."""
        self.rows.advance = partial(self.answer, duration_s)
        self.owner.step()
        row = decode_owner(self.rows.rows[OWNERS, POOL, OWNER_KEY].value)
        return row.unrecorded_starts

    def test_no_start_goes_ahead_before_the_row_tells_its_worker(self) -> None:
        """Fails if an owner is lost whose row doesn't tell where its starts may arrive."""
        self.assertIsNone(self.step())
        self.assertEqual(self.owner.writer.get_designation().workers, ())
        told = self.step()
        assert told is not None
        self.assertEqual({worker.id for worker in told.workers}, {e.id for e in ENTRIES})
        self.assertEqual(self.owner.writer.get_designation().workers, told.workers)

    def test_no_start_goes_ahead_long_after_a_renewal(self) -> None:
        """Fails if a start arrives later than the row tells."""
        self.step()
        self.step()
        self.assertTrue(self.owner.writer.covers_unrecorded())
        self.owner.spend(CONFIRMED_S)
        self.assertFalse(self.owner.writer.covers_unrecorded())
        self.assertEqual(self.owner.writer.get_designation().workers, ())

    def test_the_row_tells_until_when_starts_may_arrive(self) -> None:
        """Fails if a start that goes ahead after a commit arrives later than its row tells."""
        self.step()
        for _ in range(3):
            told = self.step()
            assert told is not None
            last_ms = (self.owner.writer.confirmed_at + LATEST_ARRIVAL_S) * 1000 + self.offset_ms
            self.assertGreaterEqual(told.arrive_by_ms, last_ms)

    def test_designated_workers_stay_while_starts_may_go_ahead(self) -> None:
        """Fails if the row tells another worker than the one that has got a start."""
        self.step()
        told = self.step()
        assert told is not None
        self.owner.bench.register(*ENTRIES, make_entry("w9"))
        self.owner.step()
        later = self.step()
        assert later is not None
        self.assertEqual(later.workers, told.workers)

    def test_the_row_tells_nothing_once_all_is_recorded(self) -> None:
        self.step()
        self.step()
        self.step(0.01)
        self.assertIsNone(self.step(0.01))

    def test_a_successor_passes_on_what_it_inherits(self) -> None:
        """Fails if the owner after the next one doesn't know of a start of the first."""
        self.step()
        told = self.step()
        assert told is not None
        self.rows.advance = do_nothing
        self.rows.store_clock_ms += 5000.0
        successor = Owner(self.rows, "entry-2")
        for _ in range(3):
            row = decode_owner(self.rows.rows[OWNERS, POOL, OWNER_KEY].value)
            self.assertEqual(row.unrecorded_starts, told)
            successor.step()


if __name__ == "__main__":
    unittest.main()
