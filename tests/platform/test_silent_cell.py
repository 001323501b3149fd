"""Tests of a cell in which all connections to store and workers stay open and carry nothing."""

import unittest
from collections.abc import Callable
from functools import partial
from itertools import permutations, product

from lavenderstall.pools.work import PoolName
from tests.platform.fake_platform import STORE
from tests.platform.loopback import Direction
from tests.platform.persistent_http_client import PersistentHttpClient
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import measure_ownership_gaps

POOL = PoolName(POOLS[0])
EARLIER_JOB = f"{1:016x}"
JOB = f"{2:016x}"
# One task on each worker of the pool.
TASKS = 2
# So many that their stops leave as many connections to a worker as are kept.
EARLIER_TASKS = 24
LASTING = {"cpu": 100, "taskMemoryMb": 50, "longRunning": True}
SERVICES: dict[str, Callable[[str], bool]] = {
    "all": lambda address: True,
    "store": lambda address: address == STORE,
    "workers": lambda address: address != STORE,
}
# Time from the acknowledgement of a cancellation until its tasks have to be gone.
CANCEL_S = 3.0 + 0.4
# Longest lease of a task.
LEASE_S = 6.0
# Time of one wait on a silent connection, and of a new one.
CONFIG_S = 2.0 + 0.5
# Time of one unanswered renewal, and of the next one through a peer or a new connection.
OWNED_S = 1.2
# Time in which a cancellation has to be acknowledged.
ACKNOWLEDGED_S = 4.0


class PersistentCell(SimulatedCell):
    """A simulated cell whose instances keep connections to store and workers open."""

    http_client_type = PersistentHttpClient

    def silence(self, direction: Direction, services: Callable[[str], bool]) -> None:
        """Let all open connections to some addresses, and between instances, fall silent."""
        for node in self.nodes.values():
            node.http_client.silence(direction, services)
        self.silent_links = set(permutations(self.nodes, 2))

    def count_running(self) -> int:
        """Return how many tasks run."""
        workers = list(self.platform.workers.values())
        for worker in workers:
            worker.advance()
        return sum(len(worker.running) for worker in workers)

    def list_runs(self) -> list[tuple[str, int]]:
        """Return the tasks that run, with the numbers of their runs."""
        self.count_running()
        return sorted(
            (task.name, task.run)
            for worker in self.platform.workers.values()
            for task in worker.running.values()
        )

    def is_in_force(self, version: int) -> bool:
        """Tell whether all instances have a version of the configuration."""
        return all(node.instance.settings.version == version for node in self.nodes.values())

    def make_call(self, call: Callable[[], list[bool | None]]) -> list[bool | None]:
        """Make a call, and repeat it on a failure; return its answers."""
        for _ in range(4):
            found = call()
            self.run_until(lambda found=found: found, ACKNOWLEDGED_S)
            if found == [True]:
                return found
        return found


def start_cell() -> PersistentCell:
    """Return a settled cell that has many idle connections to each worker and runs a job."""
    cell = PersistentCell(3, 4, advice=False)
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 4.0)
    cell.run(1.5)
    cell.submit("entry-0", POOL, EARLIER_JOB, [{"count": EARLIER_TASKS, **LASTING}])
    assert cell.run_until(lambda: cell.count_running() == EARLIER_TASKS, 4.0)
    cell.cancel("entry-0", POOL, EARLIER_JOB)
    assert cell.run_until(lambda: not cell.count_running(), CANCEL_S)
    cell.submit("entry-0", POOL, JOB, [{"count": TASKS, "maxPerServer": 1, **LASTING}])
    assert cell.run_until(lambda: cell.count_running() == TASKS, 4.0)
    cell.run(1.0)
    return cell


class CancellationTest(unittest.TestCase):
    """Cancellations near the moment at which open connections fall silent."""

    def test_a_cancelled_job_stops_in_time(self) -> None:
        """Fails if stops go out on one silent connection after another."""
        for direction, name, wait_s in product(Direction, SERVICES, (0.0, 0.5)):
            with self.subTest(direction=direction, services=name, wait_s=wait_s):
                cell = start_cell()
                cell.silence(direction, SERVICES[name])
                cell.run(wait_s)
                answers = cell.make_call(lambda cell=cell: cell.cancel("entry-1", POOL, JOB))
                self.assertEqual(answers, [True])
                self.assert_stops(cell)

    def test_a_job_cancelled_just_before_stops_in_time(self) -> None:
        """Fails if an acknowledged cancellation waits for one silent connection after another."""
        for direction, name, feed_age_s in product(Direction, SERVICES, (0.0, 0.8)):
            with self.subTest(direction=direction, services=name, feed_age_s=feed_age_s):
                cell = start_cell()
                cell.run(feed_age_s)
                answers = cell.cancel("entry-1", POOL, JOB)
                self.assertTrue(cell.run_until(lambda answers=answers: answers, ACKNOWLEDGED_S))
                cell.silence(direction, SERVICES[name])
                self.assert_stops(cell)

    def assert_stops(self, cell: PersistentCell) -> None:
        """Assert that all tasks are gone in time."""
        self.assertTrue(cell.run_until(lambda: not cell.count_running(), CANCEL_S))


class ServiceTest(unittest.TestCase):
    """What goes on while all open connections are silent."""

    def test_tasks_keep_their_leases(self) -> None:
        """Fails if polls go out on one silent connection after another until leases lapse."""
        for direction, name in product(Direction, SERVICES):
            with self.subTest(direction=direction, services=name):
                cell = start_cell()
                before = cell.list_runs()
                cell.silence(direction, SERVICES[name])
                cell.run(LEASE_S + 2.0)
                self.assertEqual(cell.list_runs(), before)

    def test_a_pool_is_owned_again_in_time(self) -> None:
        """Fails if renewals go out on one silent connection after another."""
        for direction in Direction:
            with self.subTest(direction=direction):
                cell = start_cell()
                silence = partial(cell.silence, direction, SERVICES["all"])
                gaps = measure_ownership_gaps(cell, POOL, silence, 10.0)
                self.assertLess(max(gaps), OWNED_S)

    def test_the_configuration_is_in_force_in_time(self) -> None:
        """Fails if the operator's feed waits on one silent connection after another."""
        for direction in Direction:
            with self.subTest(direction=direction):
                cell = start_cell()
                cell.silence(direction, SERVICES["all"])
                cell.put_settings(2, advice=False)
                self.assertTrue(cell.run_until(lambda cell=cell: cell.is_in_force(2), CONFIG_S))


if __name__ == "__main__":
    unittest.main()
