"""Tests of the HTTP client of the workers, against an in-memory stand-in."""

import unittest

from twisted.internet.task import Clock

from lavenderstall.errors import RefusedError
from lavenderstall.identifiers import EntryId, Epoch, Incarnation, WorkerId
from lavenderstall.protocol import LeaseRequest
from lavenderstall.resources import Resources
from lavenderstall.worker_client import HttpWorkerClient, VoidRequest
from standins.web import WorkerService
from standins.workers import Worker, WorkerShape
from tests.memory import MemoryNetwork

OWNER, EPOCH, WORKER = EntryId("e1"), Epoch(1000), WorkerId("w1")


class VoidTest(unittest.TestCase):
    """A request is voided over HTTP."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.clock.advance(10)
        self.worker = Worker(WorkerShape(WORKER, Resources(slots=8)), self.clock)
        self.worker.lease(LeaseRequest(OWNER, EPOCH, 3000, 30000))
        self.network = MemoryNetwork(self.clock, WorkerService(self.worker))
        self.client = HttpWorkerClient(self.clock)
        self.client._agent = self.network.agent

    def _void(self, request: str, incarnation: str):
        found: list = []
        void = VoidRequest(OWNER, EPOCH, Incarnation(incarnation))
        self.client.void_request(WORKER, "http://127.0.0.1:1", request, void).addBoth(found.append)
        self.network.run()
        return found[0]

    def test_issued_id(self) -> None:
        # An issued id contains the name of its slice, which includes a slash.
        request = "~z0/0~w1~w1.1~1700000000~aa"
        self.assertEqual(self._void(request, "w1.1"), "void")
        self.assertIn(request, self.worker.calls.records)

    def test_another_incarnation(self) -> None:
        failure = self._void("once", "w1.0")
        self.assertIsInstance(failure.value, RefusedError)
        self.assertEqual(failure.value.reason, "incarnation")


if __name__ == "__main__":
    unittest.main()
