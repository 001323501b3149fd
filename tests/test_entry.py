"""Tests of whole entry instances: shutdown, replacement and loss under load."""

import unittest

from lavenderstall.errors import Outcome
from tests.cells import Cell, Node, make_job, read_open
from tests.test_call_routing import find_entry_without_slices, make_cell

SHUTDOWN_SECONDS = 20.0


class Load:
    """Send a steady load of calls and jobs to all entry instances."""

    def __init__(self, cell: Cell, *, retries: int = 0, persist: bool = True) -> None:
        self._cell = cell
        self._retries = retries
        self._persist = persist
        self._number = 0

    def run(self, seconds: float, step: float = 0.1) -> None:
        for _ in range(round(seconds / step)):
            self._number += 1
            for idempotent in (True, False):
                self._cell.call(
                    idempotent=idempotent,
                    run_ms=20 + self._number % 7 * 100,
                    seconds=4,
                    retries=self._retries,
                    persist=self._persist,
                )
            if self._number % 10 == 0:
                job = make_job(f"load-{self._number}", 2)
                self._cell.submit(job, retries=self._retries, persist=self._persist)
            self._cell.run(step)


class ShutdownTest(unittest.TestCase):
    """An entry instance shuts down."""

    def test_owner_under_load(self) -> None:
        # No request in flight is lost, at the instance or at its peers.
        cell = make_cell(entries=2, zones=2)
        load = Load(cell)
        load.run(2)
        node = cell.get_owner("z0/0")
        before = [told for told in cell.calls if told.outcome is None]
        self.assertGreater(len(before), 0)
        cell.shut_down(node)
        load.run(10)
        self.assertFalse(node.alive)
        cell.run(10)
        self.assertEqual({told.outcome for told in before}, {Outcome.DONE})
        self.assertNotIn(Outcome.UNKNOWN, {told.outcome for told in cell.calls})

    def test_next_owner_is_fast(self) -> None:
        # The slice is handed over, so that work is placed without waiting for its lease to expire.
        cell = Cell(entries=2, zones=1)
        cell.run(3)
        cell.shut_down(cell.get_owner("z0/0"))
        cell.submit(make_job("job", 4), retries=10)
        self.assertTrue(cell.run(2.5, until=lambda: len(cell.find_runs("job")) == 4))

    def test_places_work_while_calls_end(self) -> None:
        # The slice must keep placing work while long calls of other clients end.
        cell = make_cell(entries=2, zones=1)
        owner = cell.get_owner("z0/0")
        told = cell.call(owner, run_ms=9000, seconds=12)
        cell.run(0.1)
        cell.shut_down(owner)
        cell.submit(make_job("job", 4, run_ms=60_000), find_entry_without_slices(cell))
        self.assertTrue(cell.run(5, until=lambda: len(cell.find_runs("job")) == 4))
        cell.run(12)
        self.assertIs(told.outcome, Outcome.DONE)
        self.assertEqual(len(cell.find_runs("job")), 4)

    def test_job_in_flight(self) -> None:
        # The store is unreachable, so the job is refused only after a timeout.
        cell = Cell(entries=2, zones=1)
        cell.run(3)
        owner = cell.get_owner("z0/0")
        owner.store.view.cut_off = True
        told = cell.submit(make_job("job"), owner)
        cell.shut_down(owner)
        cell.run(20)
        self.assertEqual((told.outcome, told.reason), (Outcome.NOT_RUN, "store_unavailable"))

    def test_ends_within_time_limit(self) -> None:
        for fault in ("long call", "store down", "store slow"):
            with self.subTest(fault=fault):
                cell = make_cell(entries=2, zones=1)
                owner = cell.get_owner("z0/0")
                other = find_entry_without_slices(cell)
                cell.call(owner, run_ms=60_000, seconds=90)
                cell.call(other, run_ms=60_000, seconds=90)
                cell.run(1)
                cell.table.faults.down = fault == "store down"
                cell.table.faults.delay_s = 8.0 if fault == "store slow" else 0.0
                cell.shut_down(owner)
                self.assertTrue(
                    cell.run(SHUTDOWN_SECONDS, until=lambda: not owner.alive)  # noqa: B023
                )

    def test_does_not_reclaim_slices(self) -> None:
        # A read of the slice rows is in flight while the slices are released.
        for delay in (0.05, 0.2, 0.6):
            for wait in (0.0, 0.3, 0.7):
                with self.subTest(delay=delay, wait=wait):
                    cell = Cell(entries=2, zones=1)
                    cell.run(3 + wait)
                    owner = cell.get_owner("z0/0")
                    (other,) = [node for node in cell.list_ready() if node is not owner]
                    cell.table.faults.delay_s = delay
                    cell.run(3)
                    cell.shut_down(owner)
                    self.assertTrue(
                        cell.run(12, until=lambda: "z0/0" in other.entry.slices)  # noqa: B023
                    )
                    cell.run(5, until=lambda: not owner.alive)  # noqa: B023
                    self.assertFalse(owner.alive)
                    cell.run(2)
                    self.assertNotIn(owner.name, {w.owner for w in cell.workers.values()})


class ReplacementTest(unittest.TestCase):
    """Entry instances are replaced under load."""

    def _check(self, cell: Cell) -> None:
        cell.run(20)
        # A voided request is refused permanently; its client sends a new id.
        told = {(each.outcome, each.reason) for each in cell.calls}
        self.assertLessEqual(told, {(Outcome.DONE, ""), (Outcome.NOT_RUN, "void")})
        done = sum(each.outcome is Outcome.DONE for each in cell.calls)
        self.assertGreater(done, 0.95 * len(cell.calls))
        for told in cell.jobs:
            self.assertIs(told.outcome, Outcome.DONE)
            self.assertEqual(read_open(cell, told.name), [], told.name)

    def _replace(self, cell: Cell, load: Load, node: Node, *, kill: bool) -> None:
        cell.start(node.zone)
        load.run(1)
        if kill:
            cell.kill(node)
        else:
            cell.shut_down(node)
        load.run(6)
        self.assertFalse(node.alive)

    def test_one_after_another(self) -> None:
        # No request is lost: the instance that received it answers, or refuses it at once so that
        # the client retries at another one.
        for kill in (False, True):
            with self.subTest(kill=kill):
                cell = make_cell(entries=2, zones=2)
                load = Load(cell, retries=20)
                load.run(2)
                for node in cell.list_ready():
                    self._replace(cell, load, node, kill=kill)
                self._check(cell)
                if not kill:
                    retried = [told for told in cell.calls if told.attempts > 2]
                    self.assertLess(len(retried), len(cell.calls) / 20)

    def test_all_at_once(self) -> None:
        # The cell recovers by itself, and clients that retry get their answers.
        for same_names in (False, True):
            with self.subTest(same_names=same_names):
                cell = make_cell(entries=2, zones=2)
                load = Load(cell, retries=200)
                load.run(2)
                nodes = cell.list_ready()
                for node in nodes:
                    cell.kill(node)
                cell.run(1)
                for node in nodes:
                    cell.start(node.zone, node.name if same_names else "")
                load.run(10)
                self._check(cell)
                services = [t for t in cell.checks.starts if t.startswith("declared.")]
                self.assertEqual({cell.checks.starts[task] for task in services}, {1})


if __name__ == "__main__":
    unittest.main()
