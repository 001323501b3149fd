"""Tests of what teams have running, and of their quotas within one pool."""

import unittest
from collections.abc import Iterable, Sequence

import msgspec

from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.pools.effects import RunStatus, StartRun
from lavenderstall.pools.team_usage import TeamUsage, count_startable
from lavenderstall.pools.teams import NO_TEAM, Team
from lavenderstall.pools.work import EndCause, Settings, Step
from lavenderstall.pools.workers import WorkerEntry
from lavenderstall.resources import NOTHING, Resources
from tests.pools.builders import CORE, POOL, Bench, make_entry, make_job, make_queue, make_step

WATER, ROADS = TeamName("water"), TeamName("roads")
TWO_CORES = Resources(cores_milli=2000)
WORKERS = [make_entry(f"w{number}") for number in range(4)]


class UsageTest(unittest.TestCase):
    """Sums of what runs."""

    def test_what_ended_no_longer_counts(self) -> None:
        """Fails if a team keeps a use, loses that of another run, or an end raises an error."""
        need = Resources(cores_milli=500, accelerators=1)
        rows: tuple[tuple[list[Resources], list[Resources], Resources], ...] = (
            ([need], [], need),
            ([need], [need], NOTHING),
            ([need, CORE], [need], CORE),
            ([NOTHING, NOTHING], [NOTHING, NOTHING], NOTHING),
            ([need, NOTHING], [need, NOTHING], NOTHING),
            ([NOTHING, need], [NOTHING], need),
        )
        for started, ended, expected in rows:
            with self.subTest(started=started, ended=ended):
                usage = TeamUsage()
                for each in started:
                    usage.add(WATER, each)
                for each in ended:
                    usage.subtract(WATER, each)
                self.assertEqual(usage.get(WATER), expected)
                self.assertEqual(usage.get(ROADS), NOTHING)

    def test_jobs_without_a_team_are_not_counted(self) -> None:
        """Fails if jobs of public queues or of earlier releases count as those of one team."""
        usage = TeamUsage()
        usage.add(NO_TEAM, CORE)
        usage.subtract(NO_TEAM, CORE)
        self.assertEqual((usage.get(NO_TEAM), list(usage)), (NOTHING, []))

    def test_how_many_tasks_may_start(self) -> None:
        """Fails if a quota is exceeded by more than a task that never fits, or holds others."""
        gpu = Resources(accelerators=2)
        limit = Resources(4000, 1 << 60, 5, 1 << 60, 1 << 60)
        rows = (
            ("no limit", NOTHING, None, CORE, None),
            ("nothing needed", CORE, limit, NOTHING, None),
            ("amount without limit", CORE, limit, Resources(memory_mb=10**9), (1 << 60) // 10**9),
            ("empty", NOTHING, limit, CORE, 4),
            ("some", Resources(2500), limit, CORE, 1),
            ("full", Resources(4000), limit, CORE, 0),
            ("lowered below use", Resources(9000), limit, CORE, 0),
            ("scarcest amount", NOTHING, limit, Resources(100, 0, 2), 2),
            ("other amount is full", Resources(4000), limit, gpu, 2),
            ("larger than the quota", NOTHING, limit, Resources(5000), 1),
            ("larger than the quota, beside others", CORE, limit, Resources(5000), 0),
        )
        for name, used, bound, need, expected in rows:
            with self.subTest(name=name):
                self.assertEqual(count_startable(used, bound, bound, need), expected)


class QuotaTest(unittest.TestCase):
    """Starts of teams with quotas in one pool."""

    def setUp(self) -> None:
        self.bench = Bench(*WORKERS)
        self.version = 1
        self.jobs = 0
        self.set_quotas({WATER: TWO_CORES})

    def set_quotas(self, quotas: dict[TeamName, Resources]) -> None:
        """Put a version with teams in force."""
        self.version += 1
        teams = tuple(Team(name, 1.0, quota) for name, quota in quotas.items())
        settings = Settings(self.version, (make_queue(),), frozenset(), frozenset({POOL}), teams)
        self.bench.pool.set_settings(settings)

    def submit(self, team: TeamName, *steps: Step) -> JobId:
        """Add a job of a team."""
        self.jobs += 1
        job = make_job(*steps, job=JobId(f"{self.jobs:016x}"))
        self.bench.pool.add_job(msgspec.structs.replace(job, team=team))
        return job.id

    def start(self) -> dict[JobId, int]:
        """Dispatch, and return how many tasks of each job were started."""
        starts = [effect for effect in self.bench.dispatch() if isinstance(effect, StartRun)]
        self.starts: Sequence[StartRun] = starts
        names = [start.task.job for start in starts]
        return {name: names.count(name) for name in names}

    def get_used(self) -> int:
        """Return the cores that the team has running."""
        return self.bench.pool.team_usage.get(WATER).cores_milli // 1000

    def test_a_team_starts_no_more_than_its_quota(self) -> None:
        """Fails if a team exceeds its quota, or if one without a quota is held."""
        rows: tuple[tuple[TeamName, Iterable[Step], list[int]], ...] = (
            (WATER, [make_step(9)], [2]),
            (WATER, [make_step(1), make_step(9)], [1, 1]),
            (ROADS, [make_step(9)], [9]),
            (NO_TEAM, [make_step(9)], [9]),
            (WATER, [make_step(9, need=Resources(cores_milli=3000))], [1]),
            (WATER, [make_step(9, long_running=True)], [2]),
        )
        for team, steps, expected in rows:
            with self.subTest(team=team, expected=expected):
                self.setUp()
                for step in steps:
                    self.submit(team, step)
                self.assertEqual(list(self.start().values()), expected)
                self.assertEqual(self.start(), {})

    def test_a_gang_starts_whole_or_not(self) -> None:
        """Fails if a part of a gang starts, or a gang that fits its quota doesn't."""
        for count, expected in ((2, 2), (3, 0)):
            with self.subTest(count=count):
                self.setUp()
                gang = self.submit(WATER, make_step(count, gang=True))
                self.assertEqual(self.start().get(gang, 0), expected)

    def test_a_gang_waits_for_what_its_team_runs(self) -> None:
        """Fails if a gang starts in part, or beside other tasks of its team above the quota."""
        self.submit(WATER, make_step(1))
        (order,) = self.bench.start()
        gang = self.submit(WATER, make_step(2, gang=True))
        self.assertEqual(self.start(), {})
        self.bench.end(order, EndCause.DONE, 1, self.find_entry(order))
        self.assertEqual(self.start(), {gang: 2})

    def test_a_run_counts_until_its_end_is_known(self) -> None:
        """Fails if a run that may still work makes room for another one."""
        for name, disturb in (
            ("not confirmed", lambda run: None),
            ("unanswered", self.leave_unanswered),
            ("stopping", self.stop),
            ("cancelled", lambda run: self.bench.pool.cancel_job(run.task.job)),
            ("worker is silent", self.silence),
        ):
            with self.subTest(name=name):
                self.setUp()
                first = self.submit(WATER, make_step(2, expected_ms=60_000))
                self.assertEqual(self.start(), {first: 2})
                self.submit(WATER, make_step(2))
                for run in self.starts:
                    disturb(run)
                self.assertEqual(self.get_used(), 2)
                self.assertEqual(self.start(), {})
                self.bench.advance(0.5)
                self.assertEqual(self.start(), {})
                self.assertEqual(self.get_used(), 2)

    def test_a_run_that_is_found_after_a_takeover_counts(self) -> None:
        """Fails if the next owner starts a team's whole quota beside what runs already."""
        job = self.submit(WATER, make_step(2))
        orders = self.bench.start()
        row = self.bench.pool.jobs[job].row
        progress = self.bench.pool.jobs[job].make_progress()
        self.bench = Bench(term=2)
        self.set_quotas({WATER: TWO_CORES})
        self.bench.pool.add_job(row, progress, inherited=True)
        self.submit(WATER, make_step(9))
        self.bench.pool.set_workers(WORKERS)
        for entry in WORKERS:
            own = [order for order in orders if order.worker.id == entry.id]
            running = [RunStatus(order.task, order.number, "", 10.0) for order in own]
            self.bench.poll(entry, running)
        self.assertEqual(self.get_used(), 2)
        self.assertEqual(self.start(), {})

    def test_a_start_that_the_next_process_of_a_worker_executes_counts(self) -> None:
        """Fails if a start that may be executed late isn't counted, or is counted twice."""
        job = self.submit(WATER, make_step(2, expected_ms=60_000))
        self.assertEqual(self.start(), {job: 2})
        for order in self.starts:
            self.leave_unanswered(order)
        others = [entry for entry in WORKERS if entry not in map(self.find_entry, self.starts)]
        later = {
            order.worker.id: msgspec.structs.replace(self.find_entry(order), incarnation=2)
            for order in self.starts
        }
        self.bench.pool.set_workers([*others, *later.values()])
        self.assertEqual(self.get_used(), 2)
        for name, entry in later.items():
            own = [order for order in self.starts if order.worker.id == name]
            running = [RunStatus(order.task, order.number, "", 10.0) for order in own]
            self.bench.poll(entry, running)
        self.assertEqual(self.get_used(), 2)
        self.submit(WATER, make_step(2))
        self.assertEqual(self.start(), {})

    def leave_unanswered(self, order: StartRun) -> None:
        """Let a start get no answer."""
        self.bench.pool.note_unanswered(order.worker, order.task, order.number)

    def stop(self, order: StartRun) -> None:
        """Stop a run that was confirmed."""
        pool = self.bench.pool
        pool.note_started(order.worker, order.task, order.number, self.bench.clock_ms())
        run = pool.workers[order.worker].runs[order.task, order.number]
        pool.stop(run)

    def silence(self, order: StartRun) -> None:
        """Let a worker fall silent that may run on until its lease ends."""
        pool = self.bench.pool
        pool.note_started(order.worker, order.task, order.number, self.bench.clock_ms())
        pool.note_unresponsive(order.worker)

    def find_entry(self, order: StartRun) -> WorkerEntry:
        """Return the worker of a start."""
        return next(entry for entry in WORKERS if entry.id == order.worker.id)

    def test_a_lowered_quota_starts_nothing_and_stops_nothing(self) -> None:
        """Fails if tasks are stopped, or further ones start, once a quota is below what runs."""
        job = self.submit(WATER, make_step(9))
        self.assertEqual(self.start(), {job: 2})
        self.set_quotas({WATER: Resources(cores_milli=1000)})
        before = len(self.starts)
        effects = self.bench.dispatch()
        self.assertEqual((before, effects), (2, []))
        self.assertEqual(self.get_used(), 2)
        self.set_quotas({WATER: Resources(cores_milli=5000)})
        self.assertEqual(self.start(), {job: 3})

    def test_a_small_team_starts_beside_a_flood(self) -> None:
        """Fails if a team of one job waits behind all jobs of one that is at its quota."""
        for _ in range(50):
            self.submit(WATER, make_step(9))
        small = self.submit(ROADS, make_step(1))
        found = self.start()
        self.assertEqual(found.pop(small), 1)
        self.assertEqual(sum(found.values()), 2)
        self.assertLessEqual(self.get_used(), 2)


if __name__ == "__main__":
    unittest.main()
