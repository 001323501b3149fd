"""Tests of the HTTP client of the workers, against an in-memory stand-in."""

import unittest

from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from lavenderstall.errors import PeerUnavailableError, RefusedError
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    RequestId,
    ServiceName,
    WorkerId,
)
from lavenderstall.protocol import LeaseRequest, TasksRequest
from lavenderstall.resources import Resources
from lavenderstall.worker_client import HttpWorkerClient, VoidRequest, WorkerCall
from standins.web import WorkerService
from standins.workers import Worker, WorkerShape
from tests.memory import MemoryNetwork
from tests.oddities import ODD_URLS

OWNER, EPOCH, WORKER = EntryId("e1"), Epoch(1000), WorkerId("w1")


class AddressTest(unittest.TestCase):
    """Requests to addresses that another writer left in the list."""

    def test_nothing_is_sent_to_an_odd_address(self) -> None:
        """Fails if a request that can't be sent raises at once, or counts as one that may run."""
        lease = LeaseRequest(OWNER, EPOCH, 3000, 30000)
        call = WorkerCall(
            OWNER,
            EPOCH,
            Incarnation("i"),
            ServiceName("s"),
            RequestId("r"),
            AttemptId("a"),
            False,
            1000,
            b"",
        )
        requests = {
            "renew": lambda client, url: client.renew(WORKER, url, lease),
            "start": lambda client, url: client.change_tasks(
                WORKER, url, TasksRequest(OWNER, EPOCH)
            ),
            "call": lambda client, url: client.call(WORKER, url, call),
            "void": lambda client, url: client.void_request(
                WORKER, url, RequestId("r"), VoidRequest(OWNER, EPOCH)
            ),
        }
        for url in ODD_URLS:
            for name, send in requests.items():
                with self.subTest(url=url, name=name):
                    clock = MemoryReactorClock()
                    found: list = []
                    send(HttpWorkerClient(clock), url).addBoth(found.append)
                    clock.advance(5)
                    self.assertIsInstance(found[0].value, PeerUnavailableError)

    def test_service_that_fits_no_address(self) -> None:
        """Fails if a name that a peer forwarded ends a call as one that may run."""
        for service in ("a b", "a\n", "é", "a\x00"):
            with self.subTest(service=service):
                clock = MemoryReactorClock()
                found: list = []
                call = WorkerCall(
                    OWNER,
                    EPOCH,
                    Incarnation("i"),
                    ServiceName(service),
                    RequestId("r"),
                    AttemptId("a"),
                    False,
                    1000,
                    b"",
                )
                HttpWorkerClient(clock).call(WORKER, "http://127.0.0.1:1", call).addBoth(
                    found.append
                )
                clock.advance(5)
                self.assertIsInstance(found[0].value, PeerUnavailableError)


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
