"""Tests of the HTTP client of the workers, against an in-memory stand-in."""

import unittest

import msgspec
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from lavenderstall.errors import AnswerLostError, PeerUnavailableError, RefusedError
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    JobId,
    RequestId,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
    get_term,
    make_epoch,
)
from lavenderstall.protocol import (
    MAX_FENCED_EPOCH,
    Kind,
    LeaseAnswer,
    LeaseRequest,
    TaskReport,
    TasksRequest,
    TaskState,
)
from lavenderstall.resources import Resources
from lavenderstall.worker_client import HttpWorkerClient, VoidRequest, WorkerCall
from standins.web import Reply, Service, WorkerService
from standins.workers import Worker, WorkerShape
from tests.memory import MemoryNetwork
from tests.oddities import MANY_DIGITS, ODD_URLS, NoText, list_odd_objects

OWNER, EPOCH, WORKER = EntryId("e1"), Epoch(1000), WorkerId("w1")


CALL = WorkerCall(
    OWNER,
    EPOCH,
    Incarnation("i"),
    ServiceName("s"),
    RequestId("r"),
    AttemptId("a"),
    idempotent=False,
    remaining_ms=1000,
    body=b"",
)
REQUESTS = {
    "renew": lambda client, url: client.renew(WORKER, url, LeaseRequest(OWNER, EPOCH, 3000, 30000)),
    "start": lambda client, url: client.change_tasks(WORKER, url, TasksRequest(OWNER, EPOCH)),
    "call": lambda client, url: client.call(WORKER, url, CALL),
    "void": lambda client, url: client.void_request(
        WORKER, url, RequestId("r"), VoidRequest(OWNER, EPOCH)
    ),
}
REPORT = TaskReport(
    TaskId("j.0~1.1"),
    JobId("j"),
    TeamName("t"),
    Kind.BATCH,
    TaskState.RUNNING,
    Resources(1, 71),
    used=Resources(1, 72),
    age_ms=70,
)
SOUND_LEASE = LeaseAnswer(
    WORKER,
    Incarnation("i"),
    EPOCH,
    Resources(4000, 4096, 0, 8, 64),
    sequence=5,
    full=True,
    clock_ms=9,
    tasks=[REPORT],
    foreign_calls=1,
)


class AddressTest(unittest.TestCase):
    """Requests to addresses that another writer left in the list."""

    def test_nothing_is_sent_to_an_odd_address(self) -> None:
        """Fails if a request that can't be sent raises at once, or counts as one that may run."""
        for url in ODD_URLS:
            for name, send in REQUESTS.items():
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
                call = msgspec.structs.replace(CALL, service=ServiceName(service))
                HttpWorkerClient(clock).call(WORKER, "http://127.0.0.1:1", call).addBoth(
                    found.append
                )
                clock.advance(5)
                self.assertIsInstance(found[0].value, PeerUnavailableError)


class FixedService(Service):
    """Answer with a status, a body and the digest of another body."""

    def __init__(self, status: int, body: bytes, digest: str = "0") -> None:
        super().__init__()
        self._reply = Reply(status, body, digest=digest)

    def handle(self, method, path, request):
        return succeed(self._reply)


class OddAnswerTest(unittest.TestCase):
    """Answers of workers that can't be read."""

    def send(self, service: Service, name: str):
        """Return the result of a request to a service."""
        clock = Clock()
        network = MemoryNetwork(clock, service)
        client = HttpWorkerClient(clock)
        client._agent = network.agent
        found: list = []
        REQUESTS[name](client, "http://127.0.0.1:1").addBoth(found.append)
        network.run(0.1)
        return found[0].value

    def test_odd_answer_may_have_run(self) -> None:
        """Fails if an answer that can't be read raises an error that the owner does not expect."""
        sound = {
            "renew": msgspec.json.encode(SOUND_LEASE),
            "start": b'{"results":[]}',
            "void": b'{"state":"void"}',
        }
        for name, body in sound.items():
            for what, odd in list_odd_objects(body):
                with self.subTest(name=name, what=what):
                    answer = self.send(FixedService(200, odd), name)
                    self.assertIsInstance(answer, AnswerLostError)

    def test_odd_refusal_may_have_run(self) -> None:
        """Fails if a refusal that can't be read counts as one, or ends the link to the worker."""
        refusals = {
            409: b'{"error":"fenced","owner":"e2","epoch":7}',
            503: b'{"outcome":"not_run","reason":"full"}',
        }
        for status, body in refusals.items():
            for what, odd in list_odd_objects(body):
                for name in REQUESTS:
                    with self.subTest(status=status, name=name, what=what):
                        answer = self.send(FixedService(status, odd), name)
                        self.assertIsInstance(answer, AnswerLostError)

    def test_odd_figures(self) -> None:
        """Fails if a figure that no worker can have reaches the placement of tasks."""
        sound = msgspec.json.encode(SOUND_LEASE)
        for old in (
            b'"cores_milli":4000',
            b'"slots":8',
            b'"epoch":1000',
            b'"sequence":5',
            b'"clock_ms":9',
            b'"foreign_calls":1',
            b'"age_ms":70',
            b'"memory_mb":71',
            b'"memory_mb":72',
        ):
            for figure in (MANY_DIGITS, b"-1", b"1e999"):
                with self.subTest(old=old, figure=figure[:5]):
                    self.assertIn(old, sound)
                    text = sound.replace(old, old.partition(b":")[0] + b":" + figure)
                    answer = self.send(FixedService(200, text), "renew")
                    self.assertIsInstance(answer, AnswerLostError)

    def test_odd_epoch_of_a_refusal(self) -> None:
        """Fails if one worker can raise the term of its slice until none is left."""
        for epoch in (10**400, -1, 2**53, MAX_FENCED_EPOCH + 1):
            with self.subTest(epoch=str(epoch)[:9]):
                body = b'{"error":"fenced","owner":"e2","epoch":%d}' % epoch
                answer = self.send(FixedService(409, body), "renew")
                self.assertIsInstance(answer, AnswerLostError)
        self.assertLess(make_epoch(get_term(MAX_FENCED_EPOCH) * 2), 2**53)

    def test_odd_headers_of_an_answer(self) -> None:
        """Fails if a digest that is no text raises an error that the router does not expect."""
        for digest in ("é", NoText("x"), "0" * 9999):
            with self.subTest(digest=digest[:9]):
                answer = self.send(FixedService(200, b"", digest), "call")
                self.assertIsInstance(answer, AnswerLostError)


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
