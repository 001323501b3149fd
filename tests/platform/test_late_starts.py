"""Tests of starts that a worker executes late, after it has restarted under its name."""

import unittest
from itertools import product

from tests.platform.simulated_cell import POOLS, SimulatedCell

JOB = f"{1:016x}"
TASK = {"count": 1, "cpu": 4000, "taskMemoryMb": 500, "estimatedDurationMs": 20000}
LASTING = {"count": 1, "cpu": 4000, "taskMemoryMb": 500, "longRunning": True}
# A task that was started late has to be gone this long after its start if its job is cancelled.
MAX_LIFE_S = 3.4
# For how long starts have no answer: all attempts of a start, or the first one alone.
SILENCES_S = (0.6, 0.16)


class LateStartTest(unittest.TestCase):
    """A start or its first attempt has no answer, and its worker restarts."""

    def start_late(
        self, delay_s: float, step: dict[str, object], silence_s: float
    ) -> SimulatedCell:
        """Return a cell with a job of which starts sent in a time without answers arrive late."""
        cell = SimulatedCell(3, 4, advice=False)
        self.assertTrue(cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0))
        # The clocks of restarted workers begin anew, so that the deadline of the start is far.
        cell.run(15.0)
        cell.platform.start_delay_s = delay_s
        cell.submit("entry-0", "routing", JOB, [dict(step)])
        cell.run(silence_s)
        cell.platform.start_delay_s = 0.0
        cell.run(SILENCES_S[0] - silence_s)
        return cell

    def crash_all(self, cell: SimulatedCell) -> None:
        """Crash all workers, which come back under their names."""
        for worker in cell.platform.workers.values():
            worker.crash()

    def measure_life(self, cell: SimulatedCell, seconds: float) -> float:
        """Return for how long a task runs at most."""
        lives = [0.0]
        while cell.clock.seconds() < seconds:
            cell.run(0.1)
            for worker in cell.platform.workers.values():
                worker.advance()
                lives += [
                    cell.clock.seconds() - task.started_at for task in worker.running.values()
                ]
        return max(lives)

    def test_a_task_of_a_cancelled_job_does_not_run_on_at_a_restarted_worker(self) -> None:
        for silence_s, cancelled_s, crashed_s, delay_s in product(
            SILENCES_S, (0.0, 0.7), (0.1, 1.0, 3.0), (6.0, 12.0)
        ):
            with self.subTest(
                silence_s=silence_s,
                cancelled_s=cancelled_s,
                crashed_s=crashed_s,
                delay_s=delay_s,
            ):
                cell = self.start_late(delay_s, TASK, silence_s)
                cell.run(cancelled_s)
                answer = cell.cancel("entry-1", "routing", JOB)
                cell.run(crashed_s)
                self.crash_all(cell)
                self.assertEqual(answer, [True])
                self.assertLess(self.measure_life(cell, cell.clock.seconds() + 14.0), MAX_LIFE_S)

    def test_a_task_is_not_started_twice_by_a_restarted_worker(self) -> None:
        for silence_s, crashed_s, delay_s in product(SILENCES_S, (0.1, 1.0, 3.0), (6.0, 12.0)):
            with self.subTest(silence_s=silence_s, crashed_s=crashed_s, delay_s=delay_s):
                cell = self.start_late(delay_s, LASTING, silence_s)
                cell.run(crashed_s)
                self.crash_all(cell)
                cell.run(20.0)
                self.assertEqual(cell.platform.checker.violations, [])
                running = [w for w in cell.platform.workers.values() if w.running]
                self.assertEqual(len(running), 1)


if __name__ == "__main__":
    unittest.main()
