"""Tests of the graceful shutdown of an entry instance."""

import unittest
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.access import Caller
from lavenderstall.bodies import JobAnswer
from lavenderstall.errors import Outcome
from lavenderstall.identifiers import JobId
from lavenderstall.operations import Operations
from lavenderstall.protocol import TaskState
from tests.cells import TEAM, Cell, Node, make_job

LIMIT_SECONDS = 20.0


class ShutdownTest(unittest.TestCase):
    """An owner shuts down while callers wait for responses."""

    def setUp(self) -> None:
        self.cell = Cell(entries=2, zones=1)
        self.cell.run(5)
        self.cell.declare_service(2)
        self.cell.run(5)
        self.owner = self.cell.get_owner("z0/0")

    def _await_job(self, node: Node, seconds: float) -> list[Any]:
        """Ask for the end of a job as the HTTP interface does."""
        operations = Operations(node.entry)
        caller = Caller("drivers", None, TEAM)
        answers: list[Any] = []
        waiting = Deferred.fromCoroutine(operations.read_job(JobId("job"), caller, seconds))
        node.entry.track_request(waiting)
        node.watch(waiting, answers.append)
        return answers

    def test_callers_that_await_a_job_are_answered(self) -> None:
        # The process used to exit while callers waited for a job, which cut their connections.
        told = self.cell.submit(make_job("job", 2, run_ms=60_000))
        self.cell.run(2)
        self.assertIs(told.outcome, Outcome.DONE)
        answers = self._await_job(self.owner, 30.0)
        self.cell.run(1)
        self.assertEqual(answers, [])
        self.cell.shut_down(self.owner)
        self.cell.run(5)
        self.assertTrue(self.owner.left)
        (answer,) = answers
        self.assertIsInstance(answer, JobAnswer)
        self.assertIs(answer.job.state, TaskState.WAITING)

    def test_call_in_flight_is_answered(self) -> None:
        told = self.cell.call(self.owner, run_ms=3_000, seconds=10.0)
        self.cell.run(0.5)
        self.cell.shut_down(self.owner)
        self.cell.run(2)
        self.assertFalse(self.owner.left)
        self.cell.run(5)
        self.assertTrue(self.owner.left)
        self.assertIs(told.outcome, Outcome.DONE)

    def test_shutdown_is_bounded(self) -> None:
        self.owner.entry.track_request(Deferred())
        self.cell.shut_down(self.owner)
        self.cell.run(LIMIT_SECONDS)
        self.assertTrue(self.owner.left)


if __name__ == "__main__":
    unittest.main()
