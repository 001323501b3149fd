"""Tests of jobs whose queue leaves its pool, or is removed, after they were accepted."""

import unittest
from itertools import product

from twisted.internet.defer import Deferred

from lavenderstall.pools.archive import ROW_REPLACEMENT_DELAY_S
from lavenderstall.pools.owner import CLEANUP_INTERVAL_S
from lavenderstall.pools.records import Presence
from lavenderstall.pools.work import JobState, PoolName, QueueName
from tests.platform.simulated_cell import POOLS, SimulatedCell

FIRST, OTHER = POOLS
JOB = f"{1:016x}"
SHORT = {"count": 3, "cpu": 2000, "taskMemoryMb": 500, "estimatedDurationMs": 400}
LONG = {"count": 4, "cpu": 4000, "taskMemoryMb": 500, "estimatedDurationMs": 4000}
NEXT = {**SHORT, "after": [0]}
LASTING = {"count": 2, "cpu": 1000, "taskMemoryMb": 500, "longRunning": True}
# Time in which a configuration takes effect everywhere.
APPLY_S = 2.0
# Versions that move the queue of the first pool to the other one, or remove it.
MOVES = {
    "its service changes": [{FIRST: OTHER}],
    "it is removed and added again": [{FIRST: ""}, {FIRST: OTHER}],
}
REMOVAL = {"it is removed": [{FIRST: ""}]}


def start_cell() -> SimulatedCell:
    """Return a settled cell."""
    cell = SimulatedCell(3, 4)
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 3.0)
    cell.run(1.5)
    return cell


def apply_versions(cell: SimulatedCell, versions: list[dict[str, str]]) -> None:
    """Put each configuration into effect."""
    for number, moved in enumerate(versions, start=2):
        cell.put_settings(number, moved=moved)
        cell.run(APPLY_S)


class MovedQueueTest(unittest.TestCase):
    """A queue is sent to another pool while it has jobs in the first one."""

    def assert_state(self, cell: SimulatedCell, state: JobState | None) -> None:
        """Assert what all instances report of the job."""
        found = [cell.get_state(name, FIRST, JOB) for name in cell.nodes]
        cell.run(0.5)
        self.assertEqual(found, [[state]] * len(cell.nodes))

    def resubmit(self, cell: SimulatedCell) -> None:
        """Submit the job again at each instance, and assert that nothing starts."""
        starts = cell.platform.checker.starts
        steps = cell.platform.checker.jobs[JOB]["steps"]
        outcomes = [cell.submit(name, FIRST, JOB, steps) for name in cell.nodes]
        cell.run(1.0)
        self.assertEqual(outcomes, [[Presence.PRESENT]] * len(cell.nodes))
        self.assertEqual(cell.platform.checker.starts, starts)

    def test_a_running_job_stays_one_job(self) -> None:
        """Fails if a job is unknown, or runs twice, once its queue belongs to another pool."""
        for (name, versions), successor in product(MOVES.items(), (False, True)):
            with self.subTest(move=name, successor=successor):
                cell = start_cell()
                cell.submit("entry-0", FIRST, JOB, [dict(LASTING)])
                cell.run(1.0)
                apply_versions(cell, versions)
                if successor:
                    cell.restart_owner(FIRST)
                    cell.run(3.0)
                self.assert_state(cell, JobState.RUNNING)
                self.resubmit(cell)
                cancelled = cell.cancel("entry-1", FIRST, JOB)
                cell.run(1.0)
                self.assertEqual(cancelled, [True])
                self.assertFalse(any(w.running for w in cell.platform.workers.values()))
                self.assert_state(cell, JobState.CANCELLED)
                self.assertEqual(cell.platform.checker.violations, [])

    def test_an_ended_job_is_not_run_again(self) -> None:
        """Fails if what was kept of an ended job is found in its former pool alone."""
        for name, versions in MOVES.items():
            with self.subTest(move=name):
                cell = start_cell()
                cell.submit("entry-0", FIRST, JOB, [dict(SHORT)])
                cell.run(2.0 + ROW_REPLACEMENT_DELAY_S + CLEANUP_INTERVAL_S)
                apply_versions(cell, versions)
                self.assert_state(cell, JobState.COMPLETED)
                self.resubmit(cell)
                self.assertEqual(cell.platform.checker.violations, [])

    def test_the_waiting_tasks_of_accepted_jobs_start(self) -> None:
        """Fails if accepted work stops for ever where its queue is removed or moved."""
        for (name, versions), successor in product((MOVES | REMOVAL).items(), (False, True)):
            with self.subTest(move=name, successor=successor):
                cell = start_cell()
                cell.submit("entry-0", FIRST, JOB, [dict(LONG), dict(NEXT)])
                cell.run(0.5)
                apply_versions(cell, versions)
                if successor:
                    cell.restart_owner(FIRST)
                cell.run(12.0)
                self.assertEqual(cell.platform.checker.list_unfinished(), [])
                self.assertEqual(cell.platform.checker.violations, [])

    def test_a_pool_whose_service_is_removed_keeps_an_owner(self) -> None:
        """Fails if accepted jobs of such a pool end with the process that owned it."""
        cell = start_cell()
        cell.submit("entry-0", FIRST, JOB, [dict(LONG), dict(NEXT)])
        cell.run(0.5)
        cell.put_settings(2, moved={FIRST: ""}, removes_services=True)
        cell.run(APPLY_S)
        cell.restart_owner(FIRST)
        cell.run(12.0)
        self.assertEqual(cell.platform.checker.list_unfinished(), [])

    def test_a_removed_pool_has_an_owner_after_all_instances_were_killed(self) -> None:
        """Fails if a pool out of the configuration is known to its owners' peers alone."""
        cell = start_cell()
        cell.submit("entry-0", FIRST, JOB, [dict(LASTING)])
        cell.run(1.0)
        cell.put_settings(2, moved={FIRST: ""}, removes_services=True)
        cell.run(APPLY_S)
        for name in list(cell.nodes):
            cell.kill(name)
        for number in range(3):
            cell.start(f"entry-{number}")
        self.assertTrue(cell.run_until(lambda: cell.find_owner(FIRST), 4.0))
        cell.run(4.0)
        running = [worker.running for worker in cell.platform.workers.values() if worker.running]
        self.assertTrue(running)

    def test_a_job_can_be_cancelled_while_the_store_is_away(self) -> None:
        """Fails if only the owner of the queue's present pool is asked which pool has the job."""
        cell = start_cell()
        cell.submit("entry-0", FIRST, JOB, [dict(LASTING)])
        cell.run(1.0)
        apply_versions(cell, MOVES["its service changes"])
        instance = cell.nodes["entry-0"].instance
        pools: list[PoolName | None] = []
        cell.platform.store_mode = "silent"
        found = instance.peers.find_pool(PoolName(OTHER), JOB)  # type: ignore[arg-type]
        Deferred.fromCoroutine(found).addCallback(pools.append)
        cell.run(0.5)
        self.assertEqual(pools, [FIRST])

    def test_waiting_jobs_of_the_former_pool_count_as_pending(self) -> None:
        """Fails if a queue that was moved seems to have no waiting jobs."""
        cell = start_cell()
        huge = {"count": 1, "cpu": 16000, "taskMemoryMb": 500, "longRunning": True}
        for number in range(4):
            cell.submit("entry-0", FIRST, f"{number + 1:016x}", [dict(huge)])
        cell.run(1.0)
        before = self.count_pending(cell, FIRST)
        self.assertGreater(before, 0)
        apply_versions(cell, MOVES["its service changes"])
        self.assertEqual(self.count_pending(cell, OTHER), before)

    def count_pending(self, cell: SimulatedCell, pool: str) -> int | None:
        """Return the count that an instance gives for the queue in a pool."""
        peers = cell.nodes["entry-0"].instance.peers
        return peers.get_pending(PoolName(pool), QueueName(f"q-{FIRST}"), 1.6)


if __name__ == "__main__":
    unittest.main()
