"""Tests of workers that crash again and again and restart under their names."""

import unittest
from itertools import product
from random import Random
from typing import NamedTuple

from tests.platform.simulated_cell import POOLS, SimulatedCell

POOL = POOLS[0]
WORKERS = 12
FIRST_CRASH_S = 1.0


class Crashes(NamedTuple):
    """Crashes of the workers of a pool, in any order, beside jobs whose tasks work for so long."""

    work_s: float
    count: int
    interval_s: float
    down_s: float


class Play(NamedTuple):
    """The jobs beside crashes, and the time after that in which they should end."""

    jobs: int
    interval_s: float
    settle_s: float


def submit_jobs(cell: SimulatedCell, play: Play, work_s: float) -> None:
    """Submit jobs of one task each, one after the other."""
    step = {"count": 1, "cpu": 1000, "taskMemoryMb": 100, "estimatedDurationMs": work_s * 1000}
    for number in range(play.jobs):
        submit = (cell.submit, "entry-0", POOL, f"{number + 1:016x}", [dict(step)])
        cell.clock.callLater(number * play.interval_s, *submit)


def crash_workers(cell: SimulatedCell, crashes: Crashes, seed: int) -> None:
    """Crash the workers of the pool that are up, each time any one."""
    random = Random(seed)
    workers = [each for each in cell.platform.workers.values() if each.pool == POOL]

    def crash() -> None:
        found = [each for each in workers if each.up]
        if found:
            random.choice(found).crash(crashes.down_s)

    for number in range(crashes.count):
        cell.clock.callLater(FIRST_CRASH_S + number * crashes.interval_s, crash)


def run_play(play: Play, crashes: Crashes, seed: int) -> SimulatedCell:
    """Return a cell after all jobs should have ended."""
    cell = SimulatedCell(3, WORKERS, advice=False)
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0)
    cell.run(1.0)
    submit_jobs(cell, play, crashes.work_s)
    crash_workers(cell, crashes, seed)
    cell.run(play.settle_s)
    return cell


class QuickRestartTest(unittest.TestCase):
    """Workers restart before their owner can know, and run short tasks before it polls them."""

    PLAY = Play(jobs=240, interval_s=0.05, settle_s=15.0)
    CRASHES = (
        Crashes(work_s=0.1, count=60, interval_s=0.2, down_s=0.06),
        Crashes(work_s=0.06, count=60, interval_s=0.2, down_s=0.08),
        Crashes(work_s=0.15, count=60, interval_s=0.2, down_s=0.12),
    )
    SEEDS = range(4)

    def test_ends_of_the_next_process_are_not_acknowledged_unread(self) -> None:
        """Fails if a poll acknowledges, to a process just started, ends of the one before."""
        for crashes, seed in product(self.CRASHES, self.SEEDS):
            with self.subTest(crashes=crashes, seed=seed):
                cell = run_play(self.PLAY, crashes, seed)
                self.assertEqual(cell.platform.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
