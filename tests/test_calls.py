"""Tests of calls: answers late, out of order or cut, and refusals that are true."""

import unittest

from lavenderstall.errors import Outcome
from lavenderstall.identifiers import WorkerId
from tests.cells import ECHO, Cell, Node


def make_cell(**options) -> Cell:
    """Return a cell whose workers serve calls."""
    cell = Cell(**options)
    cell.run(4)
    cell.declare_service(len(cell.workers))
    wanted = len(cell.workers)
    if not cell.run(10, until=lambda: len(cell.find_runs(f"declared.{ECHO}")) == wanted):
        raise AssertionError("the service does not run")
    cell.run(1)
    return cell


def find_stranger(cell: Cell) -> Node:
    """Return an entry instance that owns no slice."""
    return next(node for node in cell.list_ready() if not node.entry.slices)


class AnswerTest(unittest.TestCase):
    """Each caller gets its own whole answer."""

    def test_out_of_order_on_one_link(self) -> None:
        cell = make_cell(entries=2, zones=1)
        node = find_stranger(cell)
        calls = [cell.call(node, run_ms=400 - 30 * number) for number in range(12)]
        cell.run(2)
        self.assertEqual({told.outcome for told in calls}, {Outcome.DONE})
        ends = [told.ended_at for told in calls]
        self.assertEqual(ends, sorted(ends, reverse=True))

    def test_late_after_another_attempt(self) -> None:
        # The owner is paused while the worker runs the call; its answer comes after the caller's
        # entry instance gave the attempt up and sent another one elsewhere.
        for idempotent in (True, False):
            with self.subTest(idempotent=idempotent):
                cell = make_cell(entries=2, zones=2)
                owner = cell.get_owner("z0/0")
                (node,) = [n for n in cell.list_ready("z0") if n is not owner]
                told = cell.call(node, idempotent=idempotent, run_ms=300, seconds=20)
                cell.run(0.1)
                cell.pause(owner)
                cell.run(2.8)
                cell.resume(owner)
                cell.run(18)
                self.assertIs(told.outcome, Outcome.DONE)
                self.assertGreaterEqual(node.entry.router.late_answers, 1)
                self.assertEqual(cell.checks.calls_started[told.name], 2 if idempotent else 1)

    def test_cut_in_the_middle(self) -> None:
        for idempotent in (True, False):
            for cut in (1, 2):
                with self.subTest(idempotent=idempotent, cut=cut):
                    cell = make_cell(entries=1, zones=1, workers=1)
                    # A service earns its retry budget from its first call on.
                    cell.call()
                    cell.run(10)
                    cell.set_worker("z0w0", truncate_next=cut)
                    told = cell.call(idempotent=idempotent)
                    cell.run(6)
                    # A cut answer is never passed on; the call is tried again within the budget.
                    self.assertIs(told.outcome, Outcome.DONE)
                    wanted = cut + 1 if idempotent else 1
                    self.assertEqual(cell.checks.calls_started[told.name], wanted)

    def test_worker_answers_late(self) -> None:
        # Answers that come after the deadline go to nobody else.
        cell = make_cell(entries=2, zones=1, workers=1)
        cell.set_worker("z0w0", answer_delay_s=0.9)
        late = [cell.call(idempotent=i % 2 == 0, seconds=0.5) for i in range(4)]
        cell.run(0.6)
        cell.set_worker("z0w0", answer_delay_s=0.0)
        calls = [cell.call(idempotent=i % 2 == 0) for i in range(4)]
        cell.run(5)
        self.assertEqual({told.outcome for told in late}, {Outcome.UNKNOWN})
        self.assertEqual({told.outcome for told in calls}, {Outcome.DONE})


class RefusalTest(unittest.TestCase):
    """A call that is told `not_run` never runs."""

    def test_floods(self) -> None:
        # Slots are full, deadlines pass in queues, and some workers go away meanwhile.
        cell = make_cell(entries=2, zones=2)
        calls = []
        for round_ in range(20):
            for number in range(60):
                idempotent = number % 3 > 0
                calls.append(cell.call(idempotent=idempotent, run_ms=300, seconds=0.8))
            cell.run(0.2)
            if round_ == 8:
                cell.workers[WorkerId("z0w0")].crash()
            if round_ == 12:
                cell.set_worker("z1w0", leaving=True)
        cell.run(5)
        outcomes = {told.outcome for told in calls}
        self.assertIn(Outcome.DONE, outcomes)
        self.assertIn(Outcome.NOT_RUN, outcomes)
        self.assertNotIn(None, outcomes)


if __name__ == "__main__":
    unittest.main()
