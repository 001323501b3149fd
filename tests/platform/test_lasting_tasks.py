"""Tests of whole cells in which a task that lasts loses its worker, and then its owner."""

import unittest
from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred

from lavenderstall.pools.crashes import MAX_START_INTERVAL_S
from lavenderstall.pools.work import JobState
from tests.platform.fake_platform import STORE, FakeWorker
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import STEP, make_name

POOL = "routing"
JOB = make_name(1)
LASTING = {**STEP, "count": 1, "longRunning": True}
# The rule: a task that lasts is broken off for good if it is away for 3 s, from 6 s after its last
# run, once nothing has been impaired for 4 s.
REST_S = 6.0
AWAY_S = 3.0
CALM_S = 4.0
# Longest lease, on a clock that is 2% slow, and time to notice that it is over and to start again.
LEASE_S = 6.0 / 0.98
REACTION_S = 0.7
DRAIN_S = 2.0
RESTART_S = 0.5
FREEZE_S = 3.0
SECOND_KILL_S = 1.0
WATCH_S = 22.0
# Before the owner may know anything, while it waits for answers, and once it knows all.
DELAYS_S = (0.1, 0.7, 4.0)
KNOWN_S = 4.0
# Longest time from a start to a crash, and until that is noticed.
CRASH_S = 2.0
# The age of runs that may have crashed their worker.
JUST_STARTED_S = 0.3

# Ends the worker of a task, or cuts it off.
EndWorker = Callable[[SimulatedCell, FakeWorker], None]
# Disturbs the owner of the pool, and returns for how many seconds.
DisturbOwner = Callable[[SimulatedCell], float]


def leave(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Let a worker exit as planned, with its connections closed."""
    worker.leave()


def leave_and_reset(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Let a worker exit as planned, with its connections reset."""
    worker.disconnection = "reset"
    worker.leave()


def leave_with_host(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Let a worker exit as planned with its host, so that it refuses no connections."""
    worker.disconnection = "reset"
    worker.host_gone = True
    worker.leave()


def cut_off(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Cut a worker off from all instances and from the store."""
    cell.cut_off(worker)


def kill(cell: SimulatedCell) -> float:
    """Kill the owner, which restarts as an instance without pools."""
    owner = cell.find_owner(POOL)
    assert owner is not None
    cell.kill(owner)
    cell.clock.callLater(RESTART_S, cell.start, owner)
    return RESTART_S


def kill_twice(cell: SimulatedCell) -> float:
    """Kill the owner, and then its successor."""
    kill(cell)
    cell.clock.callLater(SECOND_KILL_S, kill, cell)
    return SECOND_KILL_S + RESTART_S


def freeze(cell: SimulatedCell) -> float:
    """Freeze the owner for a while."""
    owner = cell.find_owner(POOL)
    assert owner is not None
    cell.freeze(owner)
    cell.clock.callLater(FREEZE_S, cell.thaw, owner)
    return FREEZE_S


def release(cell: SimulatedCell) -> float:
    """Let the owner release its pools, as before a planned shutdown."""
    owner = cell.find_owner(POOL)
    assert owner is not None
    Deferred.fromCoroutine(cell.nodes[owner].instance.release_pools())
    return 0.0


def do_nothing(cell: SimulatedCell) -> float:
    """Leave the owner alone."""
    return 0.0


class Absence(NamedTuple):
    """When the last run of a task ended, and when the next one began, after its worker's end."""

    ended_s: float
    returned_s: float


def start_lasting_task(planned: bool) -> tuple[SimulatedCell, FakeWorker]:
    """Return a cell with a task that lasts, and its worker, which is about to leave if planned."""
    cell = SimulatedCell(3, 8, advice=False)
    return cell, submit_lasting_task(cell, planned)


def submit_lasting_task(cell: SimulatedCell, planned: bool) -> FakeWorker:
    """Run a task that lasts once all pools have owners, and return its worker."""
    assert cell.run_until(lambda: all(cell.find_owner(pool) for pool in POOLS), 3.0)
    cell.run(1.5)
    cell.submit("entry-0", POOL, JOB, [dict(LASTING)])
    assert cell.run_until(lambda: bool(list_running(cell)), 2.0)
    cell.run(1.0)
    (worker,) = list_running(cell)
    if planned:
        worker.drain(DRAIN_S + WATCH_S)
        cell.run(DRAIN_S)
    return worker


def list_running(cell: SimulatedCell) -> list[FakeWorker]:
    """Return the workers on which the task runs."""
    found = []
    for worker in cell.platform.workers.values():
        worker.advance()
        if worker.up and any(name.startswith(JOB) for name in worker.running):
            found.append(worker)
    return found


def measure_absence(cell: SimulatedCell, delay_s: float, disturb: DisturbOwner) -> Absence:
    """Disturb the owner after a delay, and return how long the task is away."""
    began_at = cell.clock.seconds()
    cell.clock.callLater(delay_s, disturb, cell)
    assert cell.run_until(lambda: not list_running(cell), WATCH_S)
    ended_at = cell.clock.seconds()
    returned = cell.run_until(lambda: bool(list_running(cell)), WATCH_S)
    returned_at = cell.clock.seconds() if returned else inf
    cell.run(2.0)
    return Absence(ended_at - began_at, returned_at - began_at)


ENDS: tuple[EndWorker, ...] = (leave, leave_and_reset, leave_with_host, cut_off)
DISTURBANCES: tuple[tuple[DisturbOwner, float], ...] = (
    (do_nothing, 0.0),
    (kill, RESTART_S),
    (kill_twice, SECOND_KILL_S + RESTART_S),
    (freeze, FREEZE_S),
    (release, 0.0),
)


class LastingTaskTest(unittest.TestCase):
    """A task that lasts loses its worker, and its owner is disturbed soon after."""

    def test_a_task_that_lasts_is_not_away_for_too_long(self) -> None:
        """Fails if a successor waits for leases that nobody has extended since the worker's end."""
        for end_worker in ENDS:
            for disturb, disturbed_s in DISTURBANCES:
                for delay_s in DELAYS_S:
                    with self.subTest(
                        end=end_worker.__name__, disturb=disturb.__name__, delay_s=delay_s
                    ):
                        cell, worker = start_lasting_task(end_worker is not cut_off)
                        end_worker(cell, worker)
                        absence = measure_absence(cell, delay_s, disturb)
                        calm_s = max(absence.ended_s + REST_S, delay_s + disturbed_s + CALM_S)
                        self.assertLess(absence.returned_s, calm_s + AWAY_S)
                        if delay_s >= KNOWN_S:
                            self.assertLess(absence.returned_s, LEASE_S + REACTION_S)
                        self.assertEqual(cell.platform.checker.violations, [])

    def test_a_task_returns_at_once_if_its_worker_has_certainly_ended(self) -> None:
        """Fails if the end of a run is not durable before its owner's end."""
        for disturb, _ in DISTURBANCES:
            with self.subTest(disturb=disturb.__name__):
                cell, worker = start_lasting_task(planned=True)
                leave(cell, worker)
                absence = measure_absence(cell, REACTION_S, disturb)
                self.assertLess(absence.returned_s, 2 * REACTION_S)
                self.assertEqual(cell.platform.checker.violations, [])


def count_running(cell: SimulatedCell) -> Counter[str]:
    """Return how many runs each task has on workers that are up."""
    found: Counter[str] = Counter()
    for worker in cell.platform.workers.values():
        worker.advance()
        found.update(list(worker.running) if worker.up else [])
    return found


def crash_busiest_worker(cell: SimulatedCell) -> None:
    """Crash the worker with the most tasks."""
    up = [worker for worker in cell.platform.workers.values() if worker.up]
    max(up, key=lambda worker: len(worker.running)).crash()


class SuspectedTaskTest(unittest.TestCase):
    """Workers crash just after several tasks that last have started there."""

    def test_suspected_tasks_that_last_are_not_away_for_too_long(self) -> None:
        """Fails if tasks wait for isolation one after another while there is room."""
        for jobs, tasks, crashes, workers, killed in (
            (1, 8, 1, 8, False),
            (30, 1, 1, 8, True),
            (30, 1, 2, 8, False),
            (14, 1, 2, 4, False),
        ):
            with self.subTest(jobs=jobs, tasks=tasks, crashes=crashes, workers=workers):
                cell = SimulatedCell(3, workers, advice=False)
                cell.platform.renames_workers = True
                cell.run(4.5)
                step = {**LASTING, "count": tasks, "cpu": 1000}
                for number in range(jobs):
                    cell.submit("entry-0", POOL, make_name(number), [step])
                self.await_all(cell, jobs * tasks)
                for _ in range(crashes):
                    cell.run(JUST_STARTED_S)
                    crash_busiest_worker(cell)
                    if killed:
                        kill(cell)
                    self.await_all(cell, jobs * tasks)
                self.assertEqual(cell.platform.checker.violations, [])

    def await_all(self, cell: SimulatedCell, count: int) -> None:
        """Check that all tasks run again soon enough."""
        self.assertTrue(cell.run_until(lambda: len(count_running(cell)) == count, REST_S))


class CrashingWorkersTest(unittest.TestCase):
    """Workers crash again and again while tasks that last run on them."""

    JOBS, TASKS, WORKERS = 3, 6, 16
    CRASHES, INTERVAL_S, DOWN_S = 40, 1.6, 0.8

    def play(self, *, deadly: bool = False, gang: bool = False) -> SimulatedCell:
        """Crash workers chosen at random, or let one of the tasks crash each that starts it."""
        cell = SimulatedCell(3, self.WORKERS, advice=False)
        cell.run(4.5)
        step = {**LASTING, "count": self.TASKS, "cpu": 2000, "gang": gang}
        if deadly:
            cell.platform.deadly_tasks.add(f"{make_name(0)}.0.0.0")
        for number in range(self.JOBS):
            cell.submit("entry-0", POOL, make_name(number), [step])
        random = Random(28)
        workers = [each for each in cell.platform.workers.values() if each.pool == POOL]
        for _ in range(self.CRASHES):
            chosen = random.choice(workers)
            if chosen.up and not deadly:
                chosen.crash(self.DOWN_S)
            cell.run(self.INTERVAL_S)
        return cell

    def list_states(self, cell: SimulatedCell) -> set[JobState]:
        """Return the states of all jobs as told to callers."""
        found = [cell.get_state("entry-0", POOL, job) for job in cell.outcomes]
        cell.run(0.5)
        return {each[0] for each in found}

    def await_tasks(self, cell: SimulatedCell, count: int) -> None:
        """Check that as many tasks run again soon enough."""
        self.assertTrue(cell.run_until(lambda: len(count_running(cell)) >= count, REST_S))

    def test_no_job_is_given_up_for_crashes_that_it_has_not_caused(self) -> None:
        """Fails if crashes of workers count as attempts of a task that lasts."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                cell = self.play(gang=gang)
                self.assertEqual(self.list_states(cell), {JobState.RUNNING})
                self.await_tasks(cell, self.JOBS * self.TASKS)
                self.assertEqual(cell.platform.checker.violations, [])

    def test_a_task_that_crashes_workers_starts_rarely_and_harms_no_others(self) -> None:
        """Fails if such a task starts again at once, or others are given up beside it."""
        cell = self.play(deadly=True)
        played_s = self.CRASHES * self.INTERVAL_S
        (crashes,) = cell.platform.checker.crashes.values()
        self.assertLess(crashes, 4 + played_s / MAX_START_INTERVAL_S)
        self.assertGreater(crashes, played_s / (REST_S + AWAY_S + CRASH_S))
        self.assertEqual(self.list_states(cell), {JobState.RUNNING})
        self.await_tasks(cell, self.JOBS * self.TASKS - 1)


def isolate_owner(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Cut an owner off from the store and all peers, but not from a worker that they miss."""
    owner = cell.find_owner(POOL)
    assert owner is not None
    cell.nodes[owner].http_client.unreachable.add(STORE)
    for name, node in cell.nodes.items():
        if name != owner:
            cell.disconnect(owner, name)
            node.http_client.unreachable.add(worker.address)
    cell.platform.rows.pop(("servers", "", worker.name), None)


class SilentWorkerTest(unittest.TestCase):
    """A worker is silent for a while, and its task runs on."""

    def test_no_task_starts_twice_whose_worker_is_silent_to_some(self) -> None:
        """Fails if a lease is extended after the end of leases was noted, or a wait is too short.

        The worker is cut off, comes back, and is then reached by an isolated owner alone.
        """
        for cut_s in (0.0, 2.5, 4.0):
            for back_s in (0.1, 1.0):
                for frozen_s in (0.0, 1.5):
                    with self.subTest(cut_s=cut_s, back_s=back_s, frozen_s=frozen_s):
                        cell, worker = start_lasting_task(planned=False)
                        self.play(cell, worker, cut_s, back_s, frozen_s)
                        self.assertEqual(cell.platform.checker.violations, [])
                        self.assertEqual(len(list_running(cell)), 1)

    def play(
        self,
        cell: SimulatedCell,
        worker: FakeWorker,
        cut_s: float,
        back_s: float,
        frozen_s: float,
    ) -> None:
        """Cut a worker off, restore it, and then isolate the owner, which may be frozen first."""
        cell.cut_off(worker)
        cell.run(cut_s)
        cell.restore(worker)
        cell.run(back_s)
        owner = cell.find_owner(POOL)
        assert owner is not None
        if frozen_s:
            cell.freeze(owner)
            cell.run(frozen_s)
        isolate_owner(cell, worker)
        if frozen_s:
            cell.thaw(owner)
        cell.run(20.0)

    def test_a_worker_that_answers_again_keeps_its_task(self) -> None:
        """Fails if leases are not extended again after the end of leases was noted."""
        cases = ((1.0, True, 1.0), (2.5, True, 1.0), (4.0, True, 1.0), (1.0, False, 1.0))
        for cut_s, listed, outage_s in (*cases, (2.5, False, 1.0), (4.0, False, 0.0)):
            with self.subTest(cut_s=cut_s, listed=listed, outage_s=outage_s):
                cell, worker = start_lasting_task(planned=False)
                cell.cut_off(worker)
                if listed:
                    cell.platform.register()
                cell.run(cut_s)
                cell.platform.store_mode = "silent" if outage_s else "up"
                cell.restore(worker)
                cell.run(outage_s)
                cell.platform.store_mode = "up"
                for _ in range(100):
                    cell.run(0.1)
                    self.assertEqual(list_running(cell), [worker])


if __name__ == "__main__":
    unittest.main()
