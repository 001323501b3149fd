"""Tests of the room that less urgent work leaves free."""

import unittest

from lavenderstall.identifiers import JobId
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.kept_room import MIN_PART, Demand, DemandPeaks, KeptRoom, count_fitting
from lavenderstall.pools.work import EndCause, JobSpec, QueueName, Settings
from lavenderstall.resources import NOTHING, Resources
from tests.pools.builders import POOL, Bench, make_entry, make_queue, make_step

CAPACITY = Resources(100_000, 100_000, 10)
URGENT, BULK = 0, 2


def make_cores(number: int) -> Resources:
    """Return a number of cores."""
    return Resources(cores_milli=number * 1000)


class DemandPeaksTest(unittest.TestCase):
    """Room that is kept for urgent work of late."""

    def test_kept_room_follows_the_peaks_of_more_urgent_work(self) -> None:
        """Fails if urgent work finds no room, or keeps room for ever or from itself."""
        rows = (
            ("nothing urgent", [(BULK, 50)], 0.0, BULK, 0),
            ("what it needs and a quarter more", [(URGENT, 20)], 0.0, BULK, 25),
            ("not from itself", [(URGENT, 20)], 0.0, URGENT, 0),
            ("not from more urgent work", [(BULK, 20)], 0.0, URGENT, 0),
            ("less after a while", [(URGENT, 20)], 8.0, BULK, 9),
            ("nothing after long", [(URGENT, 20)], 100.0, BULK, 0),
            ("never all", [(URGENT, 400)], 0.0, BULK, round(100 * (1 - MIN_PART))),
        )
        for name, demands, later_s, priority, expected in rows:
            with self.subTest(name):
                peaks = DemandPeaks()
                peaks.update([Demand(each, make_cores(cores)) for each, cores in demands], 100.0)
                peaks.update([], 100.0 + later_s)
                kept = peaks.get_kept(priority, CAPACITY)
                self.assertEqual(round(kept.cores_milli / 1000), expected)


class KeptRoomTest(unittest.TestCase):
    """Limits on what may start in one dispatch."""

    def test_less_urgent_work_starts_in_the_room_that_is_left(self) -> None:
        """Fails if long tasks take the room in which urgent ones are to start."""
        rows = (
            ("no urgent work", {BULK: 40}, [], BULK, 100),
            ("room for urgent work", {BULK: 40}, [(URGENT, 20)], BULK, 35),
            ("its runs are in that room", {BULK: 40, URGENT: 20}, [], BULK, 35),
            ("more runs than are left", {BULK: 90}, [(URGENT, 20)], BULK, 0),
            ("urgent work itself", {BULK: 90}, [(URGENT, 20)], URGENT, 100),
        )
        for name, held, waiting, priority, expected in rows:
            with self.subTest(name):
                room = KeptRoom()
                room.clear(
                    {each: make_cores(cores) for each, cores in held.items()},
                    [Demand(each, make_cores(cores)) for each, cores in waiting],
                    CAPACITY,
                    100.0,
                )
                found = room.limit(priority, make_cores(1), list(range(100)))
                self.assertEqual(len(found), expected)

    def test_what_starts_in_a_dispatch_counts(self) -> None:
        """Fails if several steps of one dispatch each take the room that is left."""
        room = KeptRoom()
        room.clear({}, [Demand(URGENT, make_cores(20)), Demand(BULK, make_cores(1))], CAPACITY, 1.0)
        for _ in range(70):
            room.note_started(BULK, make_cores(1))
        self.assertEqual(len(room.limit(BULK, make_cores(1), list(range(100)))), 5)

    def test_tasks_that_need_nothing_always_fit(self) -> None:
        """Fails if a task without needs is held back, or divides by zero."""
        self.assertEqual(count_fitting(NOTHING, NOTHING, 3), 3)


class UrgentBurstTest(unittest.TestCase):
    """A pool that long tasks fill while urgent jobs come at intervals."""

    def run_load(self, *, orders_overload: bool) -> int:
        """Return how many urgent tasks wait right after the last of three bursts."""
        urgent = make_queue(name=QueueName("urgent"), prefix="/urgent/", priority=URGENT)
        bulk = make_queue(name=QueueName("bulk"), prefix="/bulk/", priority=BULK, slack=20.0)
        bench = Bench(*(make_entry(f"w{number}") for number in range(10)))
        bench.pool.orders_overload = orders_overload
        bench.pool.set_settings(Settings(2, (urgent, bulk), frozenset(), frozenset({POOL})))
        long_job = JobSpec("p", (make_step(200, expected_ms=30_000),))
        short_job = JobSpec("p", (make_step(10, expected_ms=500),))
        for burst in range(3):
            job = JobId(f"{burst:016x}")
            bench.pool.add_job(AcceptedJob(job, urgent, short_job))
            bench.dispatcher.dispatch(0, 0)
            if burst == 0:
                bench.pool.add_job(AcceptedJob(JobId("b" * 16), bulk, long_job))
                bench.dispatcher.dispatch(0, 0)
            waiting = len(bench.pool.jobs[job].get_step(0, 0).waiting)
            bench.pool.cancel_job(job)
            for worker in bench.pool.workers.values():
                for run in [run for run in worker.runs.values() if run.task.job == job]:
                    bench.pool.end_run(worker, run.task, run.number, EndCause.STOPPED, "")
            bench.advance(1.0)
            bench.dispatcher.dispatch(0, 0)
        return waiting

    def test_urgent_tasks_find_room_beside_long_ones(self) -> None:
        """Fails if an urgent job that comes each second waits for long tasks to end."""
        self.assertEqual(self.run_load(orders_overload=True), 0)
        self.assertEqual(self.run_load(orders_overload=False), 10)
