"""Tests of kept connections to services that stay open and carry nothing any more."""

import unittest
from collections.abc import Callable
from itertools import repeat
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from adapter.http_client import (
    CONNECT_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_IDLE_CONNECTIONS,
    HttpClient,
)
from adapter.store import READ_TIMEOUT_S, PlatformStore
from adapter.workers import PlatformAdviser, PlatformWorkerClient
from lavenderstall.errors import AnswerLostError, LavenderstallError, StoreUnavailableError
from lavenderstall.identifiers import JobId
from lavenderstall.metrics import Metrics
from lavenderstall.platform_clients import Reply
from lavenderstall.pools import settings_tracker
from lavenderstall.pools.effects import PaceRun, StartRun, StopRun
from lavenderstall.pools.entry_instance import ENTRIES_FEED_WAIT_MS
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.owner import FEED_WAIT_MS
from lavenderstall.pools.ports import Page, Transaction
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import Task
from tests.platform.fake_http_client import PausableClock
from tests.platform.fake_platform import STORE, FakePlatform
from tests.platform.loopback import Direction, LoopbackReactor, LoopbackService
from tests.platform.persistent_http_client import PersistentHttpClient
from tests.pools.builders import make_entry

TIMEOUT_S = 0.3
# Room for the work of the test's own processes.
SLACK_S = 0.4
TASK = Task(JobId("0" * 16), 0, 0, 0)
RUN = (WorkerKey("w-1", 1), TASK, 1)
COMMITTED = b'{"schemaVersion":1,"nowMs":1}'
PAGE = b'{"rows":[],"schemaVersion":1,"nowMs":1}'
STATUS = b'{"clockMs":1,"running":[],"finished":[]}'
ALLOWED = b'{"allowed":[],"validityMs":1}'


class Case(NamedTuple):
    """A call on kept connections, and the time in which a silence must be noticed, in seconds."""

    name: str
    answer: bytes
    noticed_s: float
    call: Callable[[HttpClient, str], "Deferred[Any]"]


def make_store(client: HttpClient, address: str) -> PlatformStore:
    """Return the client of a store."""
    return PlatformStore(client, address, UnreadableRows(Metrics()))


def make_worker_client(client: HttpClient) -> PlatformWorkerClient:
    """Return a client of workers."""
    return PlatformWorkerClient(client, UnreadableRows(Metrics()))


def read(client: HttpClient, address: str) -> "Deferred[Any]":
    """Read a partition."""
    return make_store(client, address).read("jobs", "p")


def commit(client: HttpClient, address: str) -> "Deferred[Any]":
    """Commit a transaction."""
    return make_store(client, address).commit(Transaction("p"))


def follow(client: HttpClient, address: str) -> "Deferred[Any]":
    """Wait for changes of a table."""
    return make_store(client, address).poll_changes("jobs", 1, 1000)


def poll(client: HttpClient, address: str) -> "Deferred[Any]":
    """Poll a worker at once."""
    return make_worker_client(client).poll(make_entry("w-1", address=address), 1, 0, None, 0)


def wait(client: HttpClient, address: str) -> "Deferred[Any]":
    """Wait for an end of a run on a worker."""
    return make_worker_client(client).poll(make_entry("w-1", address=address), 1, 0, None, 800)


def start(client: HttpClient, address: str) -> "Deferred[Any]":
    """Start a run."""
    command = StartRun(*RUN, payload="", deadline_ms=1)
    return make_worker_client(client).start(make_entry("w-1", address=address), 1, command)


def stop(client: HttpClient, address: str) -> "Deferred[Any]":
    """Stop a run."""
    entry = make_entry("w-1", address=address)
    return make_worker_client(client).stop(entry, 1, StopRun(*RUN))


def throttle(client: HttpClient, address: str) -> "Deferred[Any]":
    """Limit the speed of a run."""
    entry = make_entry("w-1", address=address)
    return make_worker_client(client).throttle(entry, 1, PaceRun(*RUN, percent=50))


def advise(client: HttpClient, address: str) -> "Deferred[Any]":
    """Request advice."""
    adviser = PlatformAdviser(client, address, UnreadableRows(Metrics()))
    return adviser.request_advice(TASK, ("w-1",), TIMEOUT_S)


CASES = (
    Case("read of the store", PAGE, 1.0, read),
    Case("commit", COMMITTED, 1.4, commit),
    Case("feed of the store", PAGE, 2.0, follow),
    Case("poll of a worker at once", STATUS, 0.7, poll),
    Case("long poll of a worker", STATUS, 1.5, wait),
    Case("start", STATUS, 0.5, start),
    Case("stop", STATUS, 0.5, stop),
    Case("throttle", STATUS, 0.5, throttle),
    Case("placement service", ALLOWED, TIMEOUT_S, advise),
)


class ConnectionsTest(unittest.TestCase):
    """Connections of one client to services on loopback sockets."""

    def setUp(self) -> None:
        self.reactor = LoopbackReactor()
        self.client = HttpClient(self.reactor)
        self.services: list[LoopbackService] = []

    def tearDown(self) -> None:
        self.reactor.await_result(DeferredList([service.stop() for service in self.services]))
        self.reactor.disconnectAll()

    def make_service(self, body: bytes = b"{}") -> LoopbackService:
        """Return a service to which the client keeps as many connections as it may."""
        service = LoopbackService(self.reactor, body)
        self.services.append(service)
        service.delay_s = 0.02
        calls = [self.request(service) for _ in range(MAX_IDLE_CONNECTIONS)]
        self.reactor.await_result(DeferredList(calls))
        service.delay_s = 0.0
        self.assertEqual(len(service.connections), MAX_IDLE_CONNECTIONS)
        return service

    def request(self, service: LoopbackService, timeout_s: float = TIMEOUT_S) -> "Deferred[Any]":
        return self.client.request("GET", service.address, "/", timeout_s=timeout_s)

    def call_all(self, calls: "list[Deferred[Any]]", limit_s: float) -> list[Any]:
        """Return the results of calls at one time, or the exceptions with which they failed."""
        for call in calls:
            call.addErrback(lambda failure: failure.value)
        results = self.reactor.await_result(DeferredList(calls), limit_s)
        return [result for _, result in results]


class SilentTest(ConnectionsTest):
    """Connections on which what is sent, or what is answered, is dropped for good."""

    def test_only_one_call_of_each_kind_fails(self) -> None:
        """Fails if the call after one that found the silence waits on another silent connection."""
        for direction in Direction:
            services = [self.make_service(case.answer) for case in CASES]
            for service in services:
                service.silence(direction)
            self.assert_second_calls_work(direction, services, lambda: None)

    def test_calls_in_flight_fail_in_time(self) -> None:
        """Fails if a call waits for good, or its successor does, as its answer was dropped."""
        for direction in (Direction.ANSWERS, Direction.REST_OF_ANSWERS, Direction.BOTH):
            services = [self.make_service(case.answer) for case in CASES]
            for service in services:
                service.delay_s = TIMEOUT_S / 2

            def silence(direction: Direction = direction, services: Any = services) -> None:
                self.reactor.run_until(lambda: False, TIMEOUT_S / 4)
                for service in services:
                    service.silence(direction)

            self.assert_second_calls_work(direction, services, silence)

    def assert_second_calls_work(
        self, direction: Direction, services: list[LoopbackService], inject: Callable[[], None]
    ) -> None:
        """Assert that one call of each kind fails in time, and that the next one succeeds."""
        pairs = list(zip(CASES, services, strict=True))
        limit_s = max(case.noticed_s for case in CASES) + SLACK_S
        calls = [case.call(self.client, service.address) for case, service in pairs]
        started_at = self.reactor.seconds()
        ends = [0.0] * len(calls)
        for index, call in enumerate(calls):
            call.addBoth(self.note_end, ends, index)
        inject()
        found = self.call_all(calls, limit_s)
        again = [case.call(self.client, service.address) for case, service in pairs]
        repeated = self.call_all(again, limit_s)
        for index, case in enumerate(CASES):
            with self.subTest(case=case.name, direction=direction):
                self.assertIsInstance(found[index], LavenderstallError)
                self.assertLess(ends[index] - started_at, case.noticed_s + SLACK_S)
                self.assertNotIsInstance(repeated[index], Exception)
                self.assertTrue(self.reactor.run_until(services[index].is_sound, SLACK_S))

    def note_end(self, result: Any, ends: list[float], index: int) -> Any:
        """Record when a call ended."""
        ends[index] = self.reactor.seconds()
        return result

    def test_a_request_that_is_not_answered_is_not_repeated(self) -> None:
        """Fails if a command that may have been executed is sent a second time."""
        service = self.make_service()
        service.silence(Direction.ANSWERS)
        executed = service.executed
        error = self.reactor.await_result(self.request(service))
        self.assertIsInstance(error, AnswerLostError)
        self.reactor.run_until(lambda: False, TIMEOUT_S)
        self.assertEqual(service.executed, executed + 1)

    def test_a_call_that_is_given_up_shows_the_silence(self) -> None:
        """Fails if a commit whose row was read back leaves its neighbours in use."""
        service = self.make_service()
        service.silence(Direction.BOTH)
        self.reactor.run_until(lambda: False, TIMEOUT_S)
        call = self.request(service, timeout_s=5.0)
        self.reactor.run_until(lambda: False, TIMEOUT_S)
        call.addErrback(lambda _: None)
        call.cancel()
        self.assertIsInstance(self.reactor.await_result(self.request(service)), Reply)

    def test_connections_in_use_elsewhere_are_kept(self) -> None:
        """Fails if a slow answer closes connections that carry others, or a silence many."""
        service = self.make_service()
        service.connections[0].silent = Direction.BOTH
        opened = service.opened
        results: list[Any] = []

        def use(_: Any = None) -> None:
            """Use all connections but the silent one without a pause."""
            if not results:
                self.request(service).addBoth(use)

        slow = self.request(service).addErrback(lambda failure: failure.value)
        for _ in range(MAX_IDLE_CONNECTIONS - 1):
            use()
        slow.addCallback(results.append)
        self.assertTrue(self.reactor.run_until(lambda: results, TIMEOUT_S + SLACK_S))
        self.assertIsInstance(results[0], AnswerLostError)
        self.assertEqual(service.opened, opened)
        self.assertTrue(self.reactor.run_until(service.is_sound, SLACK_S))
        self.assertEqual(len(service.connections), MAX_IDLE_CONNECTIONS - 1)

    def test_few_connections_are_opened_after_a_silence(self) -> None:
        """Fails if a silence leads to more new connections than there are requests at a time."""
        service = self.make_service()
        service.silence(Direction.BOTH)
        opened = service.opened
        for _ in range(20):
            self.reactor.await_result(self.request(service))
        self.assertEqual(service.opened, opened + 1)
        self.assertTrue(self.reactor.run_until(service.is_sound, SLACK_S))

    def test_other_addresses_are_not_affected(self) -> None:
        """Fails if a silent worker costs new connections to all others."""
        service, other = self.make_service(), self.make_service()
        service.silence(Direction.BOTH)
        opened = other.opened
        self.reactor.await_result(self.request(service))
        self.reactor.await_result(self.request(other))
        self.assertEqual(other.opened, opened)


class IdleTest(ConnectionsTest):
    """Connections that are kept without a request."""

    def test_connections_that_the_server_closed_are_not_used(self) -> None:
        """Fails if a request is sent on a connection that its server has closed while idle."""
        service = self.make_service()
        service.close_connections()
        self.reactor.run_until(lambda: False, SLACK_S)
        self.assertIsInstance(self.reactor.await_result(self.request(service)), Reply)

    def test_an_idle_connection_is_closed(self) -> None:
        """Fails if a connection that nothing uses is kept, silent or not."""
        clock = Clock()
        platform = FakePlatform(clock)
        client = PersistentHttpClient(platform, PausableClock(clock))
        client.request("GET", STORE, "/v1/rows-get?table=jobs&part=")
        clock.pump(repeat(0.1, 10))
        self.assertEqual(len(client.connections), 1)
        client.silence(Direction.BOTH, lambda _: True)
        clock.pump(repeat(1.0, IDLE_TIMEOUT_S))
        self.assertEqual(client.connections, [])


class FeedTest(unittest.TestCase):
    """Feeds of the store on a clock of the test."""

    def test_a_silent_feed_is_followed_again(self) -> None:
        """Fails if a feed is waited for longer than its own wait and the timeout of a read."""
        for wait_ms in (settings_tracker.FEED_WAIT_MS, FEED_WAIT_MS, ENTRIES_FEED_WAIT_MS):
            for direction in Direction:
                with self.subTest(wait_ms=wait_ms, direction=direction):
                    clock = Clock()
                    client = PersistentHttpClient(FakePlatform(clock), PausableClock(clock))
                    store = make_store(client, STORE)
                    store.read("entries", "")
                    clock.pump(repeat(0.1, 10))
                    client.silence(direction, lambda _: True)
                    results: list[Any] = []
                    store.poll_changes("entries", 0, wait_ms).addBoth(results.append)
                    clock.pump(repeat(0.1, wait_ms // 100 + round(READ_TIMEOUT_S * 10) + 1))
                    self.assertIsInstance(results[0].value, StoreUnavailableError)
                    self.assertEqual(client.connections, [])
                    store.poll_changes("entries", 0, wait_ms).addBoth(results.append)
                    clock.pump(repeat(0.1, wait_ms // 100 + 2))
                    self.assertIsInstance(results[1], Page)


class ConnectingTest(unittest.TestCase):
    """Connections that are not made."""

    def test_an_attempt_to_connect_ends(self) -> None:
        """Fails if a host that doesn't answer is waited for as long as the system tries."""
        reactor = MemoryReactorClock()
        HttpClient(reactor).request("GET", "10.1.0.1:80", "/").addErrback(lambda _: None)
        self.assertEqual([client[3] for client in reactor.tcpClients], [CONNECT_TIMEOUT_S])
        reactor.advance(TIMEOUT_S * 10)


if __name__ == "__main__":
    unittest.main()
