"""Tests of persistent connections of a cell's clients that stay open and carry nothing any more."""

import unittest
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, DeferredList

from lavenderstall.connections import ConnectionPool, PersistentAgent
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, Epoch, Incarnation, RequestId, WorkerId
from lavenderstall.platform_clients import (
    IDLE_TIMEOUT_S,
    MAX_CONNECTIONS,
    AddressEndpoints,
    HttpMemberList,
    HttpObjectStore,
    HttpTableStore,
)
from lavenderstall.protocol import Transaction
from lavenderstall.worker_client import MAX_IDLE_CONNECTIONS, HttpWorkerClient, VoidRequest
from tests.platform.loopback import Direction, LoopbackReactor, LoopbackService

TIMEOUT_S = 0.4
# Room for the work of the test's own processes.
SLACK_S = 0.4
# How long a service takes to answer the calls that open its connections.
ANSWER_S = 0.05
WORKER = WorkerId("w1")
VOID = VoidRequest(EntryId("e1"), Epoch(1), Incarnation("i"))


class Case(NamedTuple):
    """A call at a URL, the body of its answer, and how many connections are kept."""

    name: str
    answer: bytes
    connections: int
    make_call: Callable[[LoopbackReactor, str], Callable[[], "Deferred[Any]"]]


def make_agent(reactor: LoopbackReactor) -> Any:
    """Return an agent that connects to addresses without a look-up of names."""
    pool = ConnectionPool(reactor, MAX_CONNECTIONS, IDLE_TIMEOUT_S)
    endpoints = AddressEndpoints(reactor, TIMEOUT_S)
    return PersistentAgent.usingEndpointFactory(reactor, endpoints, pool)


def make_transact(reactor: LoopbackReactor, url: str) -> Callable[[], "Deferred[Any]"]:
    """Return a call that commits a transaction."""
    store = HttpTableStore(make_agent(reactor), reactor, url, TIMEOUT_S)
    return lambda: store.transact(Transaction([], []))


def make_scan(reactor: LoopbackReactor, url: str) -> Callable[[], "Deferred[Any]"]:
    """Return a call that reads rows."""
    store = HttpTableStore(make_agent(reactor), reactor, url, TIMEOUT_S)
    return lambda: store.scan("a")


def make_members(reactor: LoopbackReactor, url: str) -> Callable[[], "Deferred[Any]"]:
    """Return a call that reads the list of members."""
    return HttpMemberList(make_agent(reactor), reactor, url, TIMEOUT_S).list_members


def make_get(reactor: LoopbackReactor, url: str) -> Callable[[], "Deferred[Any]"]:
    """Return a call that reads an object."""
    store = HttpObjectStore(make_agent(reactor), reactor, url, TIMEOUT_S)
    return lambda: store.get("o")


def make_void(reactor: LoopbackReactor, url: str) -> Callable[[], "Deferred[Any]"]:
    """Return a call to a worker."""
    client = HttpWorkerClient(reactor, TIMEOUT_S)
    return lambda: client.void_request(WORKER, url, RequestId("r"), VOID)


CASES = (
    Case("transaction", b'{"revision":1}', MAX_CONNECTIONS, make_transact),
    Case("scan", b'{"revision":1,"rows":[]}', MAX_CONNECTIONS, make_scan),
    Case("members", b'{"as_of":1,"entries":[],"workers":[]}', MAX_CONNECTIONS, make_members),
    Case("object", b"object", MAX_CONNECTIONS, make_get),
    Case("worker", b'{"state":"void"}', MAX_IDLE_CONNECTIONS, make_void),
)


class SilentTest(unittest.TestCase):
    """Connections on which what is sent, or what is answered, is dropped for good."""

    def setUp(self) -> None:
        self.reactor = LoopbackReactor()

    def call(self, make_call: Callable[[], "Deferred[Any]"], calls: int = 1) -> list[Any]:
        """Return the results of calls made at one time, or their exceptions."""
        made = [make_call().addErrback(lambda failure: failure.value) for _ in range(calls)]
        return [result for _, result in self.reactor.await_result(DeferredList(made))]

    def test_only_one_call_fails(self) -> None:
        """Fails if a silence costs one timeout after another, or keeps a descriptor."""
        for case in CASES:
            for direction in Direction:
                with self.subTest(case=case.name, direction=direction):
                    service = LoopbackService(self.reactor, case.answer)
                    make_call = case.make_call(self.reactor, f"http://{service.address}")
                    service.delay_s = ANSWER_S
                    self.call(make_call, case.connections)
                    service.delay_s = 0.0
                    self.assertEqual(len(service.connections), case.connections)
                    service.silence(direction)
                    self.assertIsInstance(self.call(make_call)[0], LavenderstallError)
                    self.assertNotIsInstance(self.call(make_call)[0], Exception)
                    self.assertTrue(self.reactor.run_until(service.is_sound, SLACK_S))
                    self.reactor.await_result(service.stop())


if __name__ == "__main__":
    unittest.main()
