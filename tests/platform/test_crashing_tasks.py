"""Tests of whole cells with tasks that crash the workers that start them."""

import unittest
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.pools.crashes import MAX_CRASHES, MAX_START_INTERVAL_S
from lavenderstall.pools.records import Presence
from lavenderstall.pools.work import JobState
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import GANG, LONG, NEXT, STEP, make_name

POOL = "routing"
FIRST_DEADLY = 0xDEAD
# Time between jobs beside the one that crashes workers, and how many there are.
JOB_INTERVAL_S = 0.3
JOBS = 40
SETTLE_S = 25.0
SPECULATIVE = {**STEP, "speculative": True}
LASTING = {**STEP, "longRunning": True}
SHORT = {"count": 6, "cpu": 2000, "taskMemoryMb": 500, "estimatedDurationMs": 500}
Inject = Callable[[SimulatedCell, int], None]


def do_nothing(cell: SimulatedCell, number: int) -> None:
    """Inject no fault."""


def kill_owner(cell: SimulatedCell, number: int) -> None:
    """Kill the owner of the pool every 2.4 s, and restart it."""
    if number % 8 == 4:
        cell.restart_owner(POOL)


def hand_over(cell: SimulatedCell, number: int) -> None:
    """Let the owner release its pools every 2.4 s, and restart it a second later."""
    owner = cell.find_owner(POOL)
    if number % 8 == 4 and owner is not None:
        Deferred.fromCoroutine(cell.nodes[owner].instance.release_pools())
    for name, node in list(cell.nodes.items()):
        if number % 8 == 7 and node.instance.draining:
            cell.kill(name)
            cell.start(name)


def silence_store(cell: SimulatedCell, number: int) -> None:
    """Silence the store for 4.8 s."""
    if number in {4, 20}:
        cell.platform.store_mode = "silent" if number == 4 else "up"


def silence_store_and_kill_owner(cell: SimulatedCell, number: int) -> None:
    """Silence the store for 4.8 s, and kill the owner as it returns."""
    silence_store(cell, number)
    if number == 20:
        cell.restart_owner(POOL)


def slow_store(cell: SimulatedCell, number: int) -> None:
    """Slow the store, and kill owners meanwhile."""
    cell.platform.store_delay_s = 0.25 if 4 <= number < 30 else 0.004
    kill_owner(cell, number)


def restart_all(cell: SimulatedCell, number: int) -> None:
    """Kill all instances at once, twice."""
    if number in {8, 20}:
        for name in list(cell.nodes):
            cell.kill(name)
            cell.start(name)


def play(
    inject: Inject,
    deadly_step: dict[str, Any],
    *,
    deadly_jobs: int = 1,
    renames_workers: bool = True,
    advice: bool = False,
) -> SimulatedCell:
    """Play jobs beside others whose first task crashes each worker that starts it."""
    cell = SimulatedCell(3, 16, advice=advice)
    cell.platform.renames_workers = renames_workers
    assert cell.run_until(lambda: all(cell.find_owner(pool) for pool in POOLS), 3.0)
    cell.run(1.5)
    steps = ([SHORT], [STEP, NEXT], [LONG], [GANG])
    for number in range(JOBS):
        live = next(iter(cell.nodes))
        if number % 2 == 1 and number // 2 < deadly_jobs:
            job = make_name(FIRST_DEADLY + number // 2)
            cell.platform.deadly_tasks.add(f"{job}.0.0.0")
            cell.submit(live, POOL, job, [dict(deadly_step)])
        cell.submit(live, POOL, make_name(number), [dict(s) for s in steps[number % 4]])
        inject(cell, number)
        cell.run(JOB_INTERVAL_S)
    cell.run(SETTLE_S)
    return cell


def get_states(cell: SimulatedCell, jobs: list[str]) -> list[JobState]:
    """Return the states of jobs as told to callers."""
    found = [cell.get_state("entry-0", POOL, job) for job in jobs]
    cell.run(0.5)
    return [each[0] for each in found]


class CrashingTaskTest(unittest.TestCase):
    """A task crashes each worker that starts it."""

    def check(
        self, cell: SimulatedCell, deadly_jobs: int = 1, state: JobState = JobState.FAILED
    ) -> None:
        """Check the state of the jobs that crash workers, and that all others are completed."""
        checker = cell.platform.checker
        self.assertEqual(checker.violations, [])
        deadly = [make_name(FIRST_DEADLY + number) for number in range(deadly_jobs)]
        self.assertEqual(set(get_states(cell, deadly)), {state})
        others = [
            job
            for job, outcome in cell.outcomes.items()
            if outcome == [Presence.ADDED] and job not in deadly
        ]
        self.assertGreater(len(others), JOBS // 2)
        self.assertEqual(set(get_states(cell, others)), {JobState.COMPLETED})
        self.assertGreaterEqual(min(checker.crashes.values()), 2)

    def test_a_task_that_crashes_workers_is_given_up(self) -> None:
        """Fails if a task of any kind is started again and again, and a worker falls each time."""
        for name, step in (
            ("plain", STEP),
            ("speculative", SPECULATIVE),
            ("gang", GANG),
            ("checkpoints", {**STEP, "checkpointing": True}),
        ):
            for renames_workers in (True, False):
                with self.subTest(step=name, renames_workers=renames_workers):
                    self.check(play(do_nothing, step, renames_workers=renames_workers))

    def test_a_task_that_lasts_and_crashes_workers_starts_more_rarely(self) -> None:
        """Fails if it is given up, is started again at once, or is blamed on others."""
        played_s = JOBS * JOB_INTERVAL_S + SETTLE_S
        for renames_workers in (True, False):
            with self.subTest(renames_workers=renames_workers):
                cell = play(do_nothing, LASTING, renames_workers=renames_workers)
                self.check(cell, state=JobState.RUNNING)
                (crashes,) = cell.platform.checker.crashes.values()
                self.assertLessEqual(crashes, MAX_CRASHES + played_s / MAX_START_INTERVAL_S)

    def test_an_advised_task_that_crashes_workers_is_given_up(self) -> None:
        self.check(play(do_nothing, STEP, advice=True))

    def test_crashes_are_remembered_by_later_owners(self) -> None:
        """Fails if an owner's end, a hand-over or an absent store forgets crashes."""
        for inject in (
            kill_owner,
            hand_over,
            silence_store,
            silence_store_and_kill_owner,
            slow_store,
            restart_all,
        ):
            for step in (STEP, SPECULATIVE):
                with self.subTest(inject=inject.__name__, speculative="speculative" in step):
                    self.check(play(inject, step))

    def test_tasks_beside_several_crashing_ones_are_not_given_up(self) -> None:
        """Fails if tasks are blamed for the crashes of others that ran on the same workers."""
        for inject in (do_nothing, kill_owner):
            with self.subTest(inject=inject.__name__):
                self.check(play(inject, STEP, deadly_jobs=6), deadly_jobs=6)


if __name__ == "__main__":
    unittest.main()
