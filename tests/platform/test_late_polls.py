"""Tests of polls that a worker executes late, after it has restarted under its name."""

import unittest
from itertools import product

from lavenderstall.pools.effects import FENCE, Refusal
from lavenderstall.pools.work import JobState, PoolName
from tests.platform.fake_platform import FakeWorker
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import make_name

POOL = "routing"
SHORT = {"count": 8, "cpu": 1000, "taskMemoryMb": 100, "estimatedDurationMs": 150}
JOBS_BEFORE = 20
JOBS_AFTER = 45
JOB_INTERVAL_S = 0.1
RESTART_S = 3.0
SETTLE_S = 10.0
# Time in which a poll of the worker acknowledges ends.
POLL_LIMIT_S = 2.0


def start_cell() -> tuple[SimulatedCell, FakeWorker]:
    """Return a cell, and the only worker of the pool."""
    cell = SimulatedCell(3, 2, advice=False)
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0)
    cell.run(1.5)
    (worker,) = (each for each in cell.platform.workers.values() if each.pool == POOL)
    return cell, worker


class LatePollTest(unittest.TestCase):
    """A poll that acknowledges ends has no answer, and its worker restarts."""

    def play(self, delay_s: float, restart_delay_s: float) -> SimulatedCell:
        """Play short jobs, and execute a poll late on a worker that has restarted."""
        cell, worker = start_cell()
        self.submit(cell, range(JOBS_BEFORE))
        cell.platform.late_polls[worker.address] = delay_s
        self.assertTrue(cell.run_until(lambda: not cell.platform.late_polls, POLL_LIMIT_S))
        worker.crash(restart_delay_s)
        self.submit(cell, range(JOBS_BEFORE, JOBS_BEFORE + JOBS_AFTER))
        cell.run(SETTLE_S)
        return cell

    def submit(self, cell: SimulatedCell, numbers: range) -> None:
        """Submit jobs one after the other."""
        for number in numbers:
            cell.submit("entry-0", POOL, make_name(number), [dict(SHORT)])
            cell.run(JOB_INTERVAL_S)

    def list_states(self, cell: SimulatedCell) -> set[JobState]:
        """Return the states of all jobs as told to callers."""
        found = [cell.get_state("entry-0", POOL, job) for job in cell.outcomes]
        cell.run(0.5)
        return {each[0] for each in found}

    def test_ends_that_nobody_has_read_are_not_acknowledged(self) -> None:
        """Fails if a poll of the earlier process makes the new one forget ends of its own."""
        for delay_s, restart_delay_s in product((2.5, 3.03, 3.55, 4.07), (0.2, 0.7)):
            with self.subTest(delay_s=delay_s, restart_delay_s=restart_delay_s):
                cell = self.play(delay_s, restart_delay_s)
                self.assertEqual(cell.platform.checker.violations, [])
                self.assertEqual(self.list_states(cell), {JobState.COMPLETED})


class EarlierProcessTest(unittest.TestCase):
    """Commands to the process that a worker had before it restarted under its name."""

    def test_the_new_process_refuses_them(self) -> None:
        """Fails if ends, runs, speeds or leases of a process are changed by late commands."""
        cell, worker = start_cell()
        token = worker.token
        worker.crash()
        cell.run(RESTART_S)
        task = f"{make_name(1)}.0.0.0"
        command = {"task": task, "run": 1, "spec": "", "deadlineMs": 9e9, "fencingToken": token}
        for path in ("/v1/hold", "/v1/run-start", "/v1/run-stop", "/v1/pace"):
            with self.subTest(path=path):
                status, answer = worker.serve(path, command)
                self.assertEqual((status, answer["reason"]), (409, "fence"))

    def test_the_owner_goes_on_if_they_are_refused(self) -> None:
        """Fails if an owner takes the refusal of its own earlier token for a later owner."""
        for restarts, goes_on in ((True, True), (False, False)):
            with self.subTest(restarts=restarts):
                cell, worker = start_cell()
                name = cell.find_owner(POOL)
                assert name is not None
                owner = cell.nodes[name].instance.owned_pools[PoolName(POOL)]
                (addressed,) = owner.pool.workers.values()
                if restarts:
                    worker.crash()
                    cell.run(RESTART_S)
                self.assertTrue(owner.check_fenced(addressed, Refusal(FENCE)))
                self.assertEqual(owner.running, goes_on)


if __name__ == "__main__":
    unittest.main()
