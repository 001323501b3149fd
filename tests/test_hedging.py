"""Tests of hedged requests."""

import unittest

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.call_routing import CallRequest
from lavenderstall.deadlines import Deadline
from lavenderstall.errors import Outcome
from lavenderstall.identifiers import RequestId
from tests.cells import ECHO, TEAM, Cell


class HedgeTest(unittest.TestCase):
    """Guards against a slow worker delaying calls that another one could answer."""

    def send_call(self, cell: Cell, name: str, *, idempotent: bool = True) -> list:
        """Send a hedged call; the returned list gets its answer and duration once it ends."""
        node = cell.list_ready()[0]
        started = cell.clock.seconds()
        call = CallRequest(
            ECHO,
            TEAM,
            RequestId(name),
            Deadline(node.gate.seconds() + 5),
            b'{"run_ms": 20}',
            idempotent,
            hedged=True,
        )
        result: list = []
        sent = Deferred.fromCoroutine(node.entry.call(call))
        sent.addCallback(lambda answer: result.extend([answer, cell.clock.seconds() - started]))
        return result

    def make_cell(self) -> Cell:
        cell = Cell(entries=1, zones=2, workers=1)
        cell.run(4)
        cell.declare_service(2)
        cell.run(10)
        for number in range(60):
            self.send_call(cell, f"warm-{number}")
            cell.run(0.1)
        return cell

    def test_second_attempt_wins(self) -> None:
        cell = self.make_cell()
        router = cell.list_ready()[0].entry.router
        server = next(iter(cell.list_ready()[0].entry.slices.values()))
        (slow,) = server.fleet.links
        cell.set_worker(slow, answer_delay_s=2.0)
        result = self.send_call(cell, "slow")
        cell.run(4)
        answer, took = result
        self.assertIs(answer.outcome, Outcome.DONE)
        self.assertLess(took, 0.5)
        self.assertEqual(router.hedges.sent, 1)
        self.assertGreaterEqual(router.late_answers + cell.checks.calls_started["slow"], 2)

    def test_non_idempotent_calls_are_never_hedged(self) -> None:
        cell = self.make_cell()
        for worker in cell.workers:
            cell.set_worker(worker, answer_delay_s=0.5)
        result = self.send_call(cell, "once", idempotent=False)
        cell.run(6)
        self.assertIs(result[0].outcome, Outcome.DONE)
        self.assertEqual(cell.checks.calls_started["once"], 1)
        self.assertEqual(cell.list_ready()[0].entry.router.hedges.sent, 0)

    def test_fast_calls_send_one_attempt(self) -> None:
        cell = self.make_cell()
        result = self.send_call(cell, "fast")
        cell.run(2)
        self.assertEqual(msgspec.json.decode(result[0].body)["request"], "fast")
        self.assertEqual(cell.checks.calls_started["fast"], 1)
