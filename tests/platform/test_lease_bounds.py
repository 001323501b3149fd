"""Tests of whole cells in which an owner without the store goes on extending leases."""

import unittest
from itertools import product
from typing import NamedTuple

from lavenderstall.pools.earlier_owners import (
    OUTAGE_LEASES_DELAY_S,
    OWNED_LEASES_S,
    OWNERSHIP_TIMEOUT_S,
)
from lavenderstall.pools.peers import ABSENCE_S
from lavenderstall.pools.worker_poller import OUTAGE_POLL_MARGIN_S
from lavenderstall.pools.writer import RENEW_INTERVAL_S
from tests.platform.fake_platform import STORE, FakeWorker
from tests.platform.simulated_cell import SimulatedCell
from tests.platform.test_lasting_tasks import LEASE_S, POOL, list_running
from tests.platform.test_owners_gone_for_good import SLOWEST_CLOCK_RATE, start_lasting_task

WATCH_S = 30.0
# Before, while and after an owner may extend leases beyond its ownership.
OUTAGES_S = (1.5, 3.5, 4.5, 5.5, 6.5, 7.5, 10.0)
# When an owner goes, in seconds before the store answers again.
LEFT_S = (0.0, 0.4, 1.2, 3.0)
# An outage that tasks survive if all instances miss the store.
LONG_OUTAGE_S = OWNERSHIP_TIMEOUT_S + LEASE_S - 3.0


def hide_worker(cell: SimulatedCell, worker: FakeWorker, owner: str) -> None:
    """Cut a worker off from all instances but the owner, and from the registry."""
    for name, node in cell.nodes.items():
        if name != owner:
            node.http_client.unreachable.add(worker.address)
    cell.platform.rows.pop(("servers", "", worker.name), None)


def part_cell(cell: SimulatedCell, first: set[str]) -> None:
    """Disconnect some instances from all others, and from the store."""
    for name in first:
        cell.nodes[name].http_client.unreachable.add(STORE)
        for other in cell.nodes.keys() - first:
            cell.disconnect(name, other)


class Outage(NamedTuple):
    """An outage of the store for all, and when the owner goes for good before its end."""

    outage_s: float
    left_s: float


class LeaseBoundsTest(unittest.TestCase):
    """The worker of a task has a slow clock and is reached by its owner alone."""

    def start(self) -> tuple[SimulatedCell, FakeWorker, str]:
        """Return a cell with a task that lasts, its worker and the owner of its pool."""
        cell, worker = start_lasting_task(planned=False)
        cell.run(2.0)
        owner = cell.find_owner(POOL)
        assert owner is not None
        hide_worker(cell, worker, owner)
        return cell, worker, owner

    def test_no_task_starts_twice_whose_owner_is_parted_from_the_store(self) -> None:
        """Fails if an owner extends leases for longer than a successor elsewhere waits."""
        for others in range(5):
            for frozen_s in (0.0, 2.0, 5.0):
                with self.subTest(others=others, frozen_s=frozen_s):
                    cell, _, owner = self.start()
                    beside = [name for name in cell.nodes if name != owner][:others]
                    if frozen_s:
                        cell.freeze(owner)
                    part_cell(cell, {owner, *beside})
                    cell.run(frozen_s)
                    cell.thaw(owner)
                    cell.run(WATCH_S)
                    self.assertEqual(cell.platform.checker.violations, [])
                    self.assertEqual(len(list_running(cell)), 1)

    def test_no_task_starts_twice_after_an_outage_of_the_store(self) -> None:
        """Fails if a successor does not wait for leases that were extended in an outage."""
        for outage in (Outage(long_s, left_s) for long_s in OUTAGES_S for left_s in LEFT_S):
            with self.subTest(outage=outage):
                cell, _, owner = self.start()
                cell.platform.store_mode = "silent"
                cell.run(max(0.0, outage.outage_s - outage.left_s))
                cell.remove(owner)
                cell.run(outage.left_s)
                cell.platform.store_mode = "up"
                cell.run(WATCH_S)
                self.assertEqual(cell.platform.checker.violations, [])
                self.assertEqual(len(list_running(cell)), 1)

    def test_no_task_starts_twice_whose_worker_answers_a_successor_late(self) -> None:
        """Fails if leases are extended while the roster may tell of their end.

        The worker comes back to the first successor alone, which is then parted from all others.
        """
        for cut_s in (0.5, 0.8, 1.5, 3.0):
            for back_s in (0.02, 0.1, 1.0):
                for store_mode in ("up", "silent"):
                    with self.subTest(cut_s=cut_s, back_s=back_s, store_mode=store_mode):
                        cell, worker, owner = self.start()
                        cell.remove(owner)
                        cell.run(cut_s)
                        self.answer_successor(cell, worker, back_s, store_mode)
                        cell.run(WATCH_S)
                        self.assertEqual(cell.platform.checker.violations, [])
                        self.assertEqual(len(list_running(cell)), 1)

    def answer_successor(
        self, cell: SimulatedCell, worker: FakeWorker, back_s: float, store_mode: str
    ) -> None:
        """Let a worker answer the owner that is there now, and part that owner from all others."""
        successor = cell.find_owner(POOL)
        if successor is None:
            return
        cell.nodes[successor].http_client.unreachable.discard(worker.address)
        cell.platform.store_mode = store_mode
        cell.run(back_s)
        part_cell(cell, {successor})
        cell.platform.store_mode = "up"

    def test_no_task_starts_twice_if_an_instance_parted_for_long_takes_over(self) -> None:
        """Fails if an owner asks only those that it hears, and one of the others counts on it."""
        for parted_s in (0.5, 2.0, 4.0, 9.0, 12.0):
            for leaves_store in (True, False):
                with self.subTest(parted_s=parted_s, leaves_store=leaves_store):
                    cell, _, owner = self.start()
                    parted = next(name for name in cell.nodes if name != owner)
                    for name in cell.nodes.keys() - {parted}:
                        cell.disconnect(name, parted)
                    cell.run(parted_s)
                    for name, node in cell.nodes.items():
                        if name != parted or leaves_store:
                            node.http_client.unreachable.add(STORE)
                    cell.run(0.5)
                    cell.nodes[parted].http_client.unreachable.discard(STORE)
                    cell.run(WATCH_S)
                    self.assertEqual(cell.platform.checker.violations, [])
                    self.assertEqual(len(list_running(cell)), 1)

    def test_tasks_survive_an_outage_that_all_instances_see(self) -> None:
        """Fails if leases end with the ownership although nobody can take the pool over.

        An instance that has gone long before does not count.
        """
        modes, rates = ("silent", "busy"), (1.0, SLOWEST_CLOCK_RATE)
        for mode, gone, rate in product(modes, (False, True), rates):
            with self.subTest(mode=mode, gone=gone, rate=rate):
                cell, worker = start_lasting_task(planned=False, clock_rate=rate)
                if gone:
                    cell.remove(next(name for name in cell.nodes if name != cell.find_owner(POOL)))
                    cell.run(ABSENCE_S + 1.0)
                cell.platform.store_mode = mode
                for _ in range(round(LONG_OUTAGE_S)):
                    cell.run(1.0)
                    self.assertEqual(list_running(cell), [worker])
                cell.platform.store_mode = "up"
                cell.run(WATCH_S)
                self.assertEqual(list_running(cell), [worker])
                self.assertEqual(cell.platform.checker.violations, [])

    def test_the_leases_of_an_outage_begin_before_the_ownership_is_over(self) -> None:
        """Fails if a poll returns too late to extend leases in an outage, by an accurate clock."""
        extended_s = RENEW_INTERVAL_S + OUTAGE_LEASES_DELAY_S + OUTAGE_POLL_MARGIN_S
        self.assertLess(extended_s, SLOWEST_CLOCK_RATE * OWNED_LEASES_S)


if __name__ == "__main__":
    unittest.main()
