"""Tests of requests that must run at most once."""

import unittest

import msgspec

from lavenderstall.errors import Outcome, RefusedError
from lavenderstall.identifiers import RequestId, WorkerId
from lavenderstall.protocol import Put, Transaction
from lavenderstall.records import make_binding_key
from tests.cells import ECHO, TEAM, Cell, Node
from tests.oddities import list_odd_objects
from tests.test_call_routing import make_cell


class RetryTest(unittest.TestCase):
    """A client sends the same request again."""

    def test_zones_are_cut_off_from_each_other(self) -> None:
        # Both zones receive the same request, with and without the table service.
        for cut_store in ((), ("z1",), ("z0", "z1")):
            with self.subTest(cut_store=cut_store):
                cell = make_cell(entries=2, zones=2)
                self._separate(cell, cut_store)
                calls = []
                for number in range(12):
                    name = f"pair-{number}"
                    for zone in cell.zones:
                        node = cell.list_ready(zone)[number % 2]
                        again = zone != cell.zones[0]
                        calls.append(
                            cell.call(
                                node,
                                name=name,
                                idempotent=False,
                                seconds=3,
                                retries=2,
                                again=again,
                            )
                        )
                        cell.run(0.03 * (number % 3))
                cell.run(5)
                if len(cut_store) == 2:
                    self.assertEqual(cell.checks.calls_started, {})
                cell.hub.cuts.clear()
                for node in cell.list_ready():
                    node.store.view.cut_off = False
                cell.run(15)
                for told in calls:
                    self.assertIsNotNone(told.outcome)
                done = {told.name for told in calls if told.outcome is Outcome.DONE}
                self.assertEqual(len(done), 12)

    def _separate(self, cell: Cell, cut_store: tuple[str, ...]) -> None:
        for one in cell.list_ready("z0"):
            for other in cell.list_ready("z1"):
                cell.set_cut(one, other)
        for zone in cut_store:
            for node in cell.list_ready(zone):
                node.store.view.cut_off = True

    def test_acknowledgement_of_the_binding_is_lost(self) -> None:
        for dies in (False, True):
            for lost in (1, 2):
                with self.subTest(dies=dies, lost=lost):
                    cell = make_cell(entries=2, zones=2)
                    cell.table.faults.lose_next = lost
                    node = cell.list_ready()[0]
                    told = cell.call(node, idempotent=False, seconds=8, retries=3)
                    if dies:
                        cell.run(0.002)
                        cell.kill(cell.get_owner("z0/0"))
                        cell.kill(cell.get_owner("z1/0"))
                    cell.run(30)
                    self.assertIs(told.outcome, Outcome.DONE)

    def test_binding_cannot_be_read(self) -> None:
        """Fails if the caller waits until the deadline, or is told that the call did not run."""
        cell = Cell(entries=1, zones=1)
        cell.run(4)
        cell.declare_service(1)
        cell.run(6)
        key = make_binding_key(TEAM, RequestId("stop-1"))
        for name, value in list_odd_objects(b'{"request":"stop-1"}'):
            with self.subTest(name=name):
                cell.table.commit(Transaction(puts=[Put(key, msgspec.Raw(value))]))
                told = cell.call(name="stop-1", idempotent=False)
                cell.run(0.5)
                self.assertIs(told.outcome, Outcome.UNKNOWN)
                self.assertEqual(told.reason, "unreadable_row")

    def test_worker_restarts_between(self) -> None:
        # The new incarnation has no record of what the old one ran, so its answer proves nothing.
        for delay in (0.0, 0.2, 0.9, 1.1, 2.0):
            with self.subTest(delay=delay):
                cell = make_cell(entries=2, zones=1, workers=1)
                told = cell.call(idempotent=False, run_ms=100, seconds=3, name="once")
                cell.run(0.05)
                self.assertEqual(cell.checks.calls_started["once"], 1)
                cell.workers[WorkerId("z0w0")].crash()
                cell.run(delay)
                again = cell.call(idempotent=False, seconds=3, name="once", again=True)
                cell.run(10)
                self.assertIs(told.outcome, Outcome.UNKNOWN)
                self.assertIs(again.outcome, Outcome.UNKNOWN)

    def test_new_incarnation_is_not_known_yet(self) -> None:
        # The new incarnation was claimed, but its answer has not reached the owner.
        cell = make_cell(entries=1, zones=1, workers=1)
        worker = cell.workers[WorkerId("z0w0")]
        told = cell.call(idempotent=False, run_ms=100, seconds=3, name="once")
        cell.run(0.05)
        worker.crash()
        worker.faults.answer_delay_s = 0.8
        self.assertTrue(cell.run(2, until=lambda: worker.epoch))
        worker.faults.answer_delay_s = 0.0
        cell.run(5)
        self.assertIs(told.outcome, Outcome.UNKNOWN)

    def test_delayed_dispatch(self) -> None:
        # The owner is paused with the call in its socket buffer, so a retry finds it not run.
        for delay in (1.0, 4.0, 8.0):
            with self.subTest(delay=delay):
                cell = make_cell(entries=3, zones=1)
                owner = cell.get_owner("z0/0")
                node = next(n for n in cell.list_ready() if n is not owner)
                cell.roads.holding.add(owner.name)
                told = cell.call(node, idempotent=False, seconds=3, retries=4)
                cell.run(0.05)
                cell.pause(owner)
                cell.run(delay)
                cell.roads.let_go(owner.name)
                cell.run(1)
                cell.resume(owner)
                cell.run(20)
                self.assertIn(told.outcome, (Outcome.DONE, Outcome.NOT_RUN))


class IssuedIdTest(unittest.TestCase):
    """Issued ids encode their binding, so they need no table row."""

    def _issue(self, node: Node) -> str:
        return node.entry.issue_request(ECHO)

    def test_runs_without_the_table(self) -> None:
        cell = make_cell(entries=2, zones=2)
        cell.table.faults.down = True
        cell.run(1)
        owner = cell.get_owner("z0/0")
        names = [self._issue(owner) for _ in range(6)]
        calls = [
            cell.call(node, name=name, idempotent=False, seconds=3, again=True)
            for name in names
            for node in cell.list_ready()
        ]
        cell.run(5)
        self.assertEqual({told.outcome for told in calls}, {Outcome.DONE})
        self.assertEqual({cell.checks.calls_started[name] for name in names}, {1})

    def test_after_a_restart(self) -> None:
        # A request reported as `not_run` must never run; one that may have run is never `not_run`.
        for before in (False, True):
            with self.subTest(called_before=before):
                cell = make_cell(entries=1, zones=1, workers=1)
                name = self._issue(cell.get_owner("z0/0"))
                if before:
                    cell.call(name=name, idempotent=False, run_ms=50)
                    cell.run(0.02)
                cell.workers[WorkerId("z0w0")].crash()
                cell.run(0.5)
                told = cell.call(name=name, idempotent=False, seconds=2, again=before)
                cell.run(10)
                again = cell.call(name=name, idempotent=False, seconds=2, again=True)
                cell.run(10)
                if before:
                    self.assertIs(told.outcome, Outcome.UNKNOWN)
                    self.assertIs(again.outcome, Outcome.UNKNOWN)

    def test_expired(self) -> None:
        cell = make_cell(entries=1, zones=1, workers=1)
        node = cell.get_owner("z0/0")
        name = self._issue(node)
        node.entry.router._read_unix = lambda: 1_700_000_000.0 + 10_000
        told = cell.call(name=name, idempotent=False)
        cell.run(1)
        self.assertEqual((told.outcome, told.reason), (Outcome.UNKNOWN, "expired"))

    def test_needs_a_replica(self) -> None:
        cell = Cell(entries=1, zones=1)
        cell.run(4)
        with self.assertRaises(RefusedError):
            self._issue(cell.list_ready()[0])


if __name__ == "__main__":
    unittest.main()
