"""Tests of the HTTP clients of the platform, against in-memory stand-ins."""

import unittest

import msgspec
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from lavenderstall.errors import ConflictError, StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.identifiers import EntryId, ZoneName
from lavenderstall.platform_clients import (
    HttpMemberList,
    HttpObjectStore,
    HttpTableStore,
    make_agent,
)
from lavenderstall.protocol import Condition, EntryMember, Put, Transaction
from standins.cell import Cell, CellShape
from standins.faults import FaultRequest
from standins.web import ControlService, Reply, Service
from tests.memory import MemoryNetwork
from tests.oddities import DEEP_LISTS, MANY_DIGITS, ODD_URLS, ODD_VALUES, list_odd_objects

URL = "http://127.0.0.1:1"
ENTRY = EntryMember(EntryId("e1"), ZoneName("z1"), "tcp://127.0.0.1:2", "http://127.0.0.1:3")


def make_put(key: str, number: int = 1) -> Put:
    """Return a put of a small value."""
    return Put(key, msgspec.Raw(msgspec.json.encode({"number": number})))


def make_transaction(key: str, version: int = 0) -> Transaction:
    """Return a transaction on one row."""
    return Transaction([Condition(key, version)], [make_put(key)])


class TruncatingService(Service):
    """Answer with a body shorter than its declared length."""

    def handle(self, method, path, request):
        return succeed(Reply(200, b'{"revision":1}', 20))


class FixedService(Service):
    """Answer with a status and bodies in turn; the last one is repeated."""

    def __init__(self, status: int, *bodies: bytes) -> None:
        super().__init__()
        self._status = status
        self._bodies = list(bodies)

    def handle(self, method, path, request):
        body = self._bodies.pop(0) if len(self._bodies) > 1 else self._bodies[0]
        return succeed(Reply(self._status, body))


class HttpCase(unittest.TestCase):
    """Serve a cell in memory."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.cell = Cell(CellShape(entries=[ENTRY], zones={"z1": 0}), self.clock)
        self.network = MemoryNetwork(self.clock, ControlService(self.cell))
        self.table = HttpTableStore(self.network.agent, self.clock, URL)

    def wait(self, deferred, seconds: float = 0.0):
        """Return the result of a deferred after some seconds, or raise its error."""
        found: list = []
        deferred.addBoth(found.append)
        self.network.run(seconds)
        self.assertEqual(len(found), 1, "no result yet")
        if hasattr(found[0], "raiseException"):
            found[0].raiseException()
        return found[0]

    def set_faults(self, target: str, **settings) -> None:
        """Set faults on a stand-in."""
        self.cell.apply(FaultRequest(target, settings))


class HttpTableStoreTest(HttpCase):
    """Guards against a wrong outcome of a write, and against stale reads."""

    def test_commit_and_read(self) -> None:
        committed = self.wait(self.table.transact(make_transaction("a/é&b")))
        row = self.wait(self.table.read("a/é&b"))
        self.assertEqual(row.version, committed.revision)
        self.assertEqual(msgspec.json.decode(row.value), {"number": 1})
        self.assertIsNone(self.wait(self.table.read("a/")))
        self.assertEqual(self.network.connections, 1, "the connection is not kept open")

    def test_conflict_names_the_rows(self) -> None:
        self.wait(self.table.transact(make_transaction("a")))
        with self.assertRaises(ConflictError) as caught:
            self.wait(self.table.transact(make_transaction("a")))
        self.assertEqual(caught.exception.keys, frozenset({"a"}))

    def test_write_failures(self) -> None:
        cases = (
            ({"down": True}, StoreUnavailableError, 0),
            ({"lose_next": 1}, StoreOutcomeUnknownError, 1),
            ({"delay_s": 10.0}, StoreOutcomeUnknownError, 1),
        )
        for settings, kind, revisions in cases:
            with self.subTest(settings=settings):
                self.setUp()
                self.set_faults("table", **settings)
                with self.assertRaises(kind):
                    self.wait(self.table.transact(make_transaction("a")), 6)
                self.assertEqual(self.cell.table.revision, revisions)

    def test_write_over_the_rate(self) -> None:
        self.cell.table.writes.limit = 0
        with self.assertRaisesRegex(StoreUnavailableError, "429"):
            self.wait(self.table.transact(make_transaction("a")))

    def test_write_not_sent(self) -> None:
        for name in ("refusing", "hanging"):
            with self.subTest(name):
                self.setUp()
                setattr(self.network, name, True)
                with self.assertRaises(StoreUnavailableError):
                    self.wait(self.table.transact(make_transaction("a")), 3)

    def test_truncated_response(self) -> None:
        self.network = MemoryNetwork(self.clock, TruncatingService())
        table = HttpTableStore(self.network.agent, self.clock, URL)
        with self.assertRaises(StoreOutcomeUnknownError):
            self.wait(table.transact(make_transaction("a")), 1)
        with self.assertRaises(StoreUnavailableError):
            self.wait(table.scan("a"), 1)

    def serve(self, status: int, *bodies: bytes) -> HttpTableStore:
        """Return a store whose answers have these bodies."""
        self.network = MemoryNetwork(self.clock, FixedService(status, *bodies))
        return HttpTableStore(self.network.agent, self.clock, URL)

    def test_odd_row_hides_no_other(self) -> None:
        """Fails if a scan fails as a whole for the value of one row."""
        for value in (*ODD_VALUES.values(), b"null"):
            with self.subTest(value=value[:9]):
                odd = b'{"key":"a/1","version":3,"value":' + value + b"}"
                sound = b'{"key":"a/2","version":4,"value":{}}'
                table = self.serve(200, b'{"revision":5,"rows":[' + odd + b"," + sound + b"]}")
                rows = self.wait(table.scan("a/")).rows
                self.assertEqual([row.key for row in rows], ["a/1", "a/2"])

    def test_odd_conflicting_row_is_a_conflict(self) -> None:
        """Fails if a write that took no effect has an unknown outcome."""
        row = b'{"key":"a","version":3,"value":' + DEEP_LISTS + b"}"
        table = self.serve(409, b'{"conflicts":[' + row + b"]}")
        with self.assertRaises(ConflictError) as caught:
            self.wait(table.transact(make_transaction("a")))
        self.assertEqual(caught.exception.keys, frozenset({"a"}))

    def test_odd_revision_leaves_later_reads_alone(self) -> None:
        """Fails if one odd revision makes all later answers count as stale."""
        sound = b'{"revision":5,"rows":[]}'
        for revision in (MANY_DIGITS, b"9" * 18, b"-1", b"1e999", DEEP_LISTS):
            with self.subTest(revision=revision[:9]):
                table = self.serve(200, b'{"revision":' + revision + b',"rows":[]}', sound)
                with self.assertRaises(StoreUnavailableError):
                    self.wait(table.scan("a/"))
                self.assertEqual(self.wait(table.scan("a/")).revision, 5)
                table = self.serve(200, b'{"revision":' + revision + b"}", sound)
                with self.assertRaises(StoreOutcomeUnknownError):
                    self.wait(table.transact(make_transaction("a")))
                self.assertEqual(self.wait(table.scan("a/")).revision, 5)

    def test_nothing_is_sent_to_an_odd_address(self) -> None:
        """Fails if a write that can't be sent raises at once, or has an unknown outcome."""
        for url in ODD_URLS:
            with self.subTest(url=url):
                clock = MemoryReactorClock()
                table = HttpTableStore(make_agent(clock), clock, url)
                objects = HttpObjectStore(make_agent(clock), clock, url)
                found: list = []
                table.transact(make_transaction("a")).addBoth(found.append)
                table.scan("a").addBoth(found.append)
                objects.put("a", b"").addBoth(found.append)
                clock.advance(5)
                kinds = [type(each.value) for each in found]
                self.assertEqual(kinds, [StoreUnavailableError] * 3)

    def test_answer_that_is_no_rows(self) -> None:
        """Fails if an odd answer raises an error that readers do not expect."""
        for body in (*ODD_VALUES.values(), b"", b"[]", b"null", b"{}"):
            with self.subTest(body=body[:9]):
                with self.assertRaises(StoreUnavailableError):
                    self.wait(self.serve(200, body).scan("a/"))
                with self.assertRaises(StoreOutcomeUnknownError):
                    self.wait(self.serve(200, body).transact(make_transaction("a")))
                with self.assertRaises(StoreOutcomeUnknownError):
                    self.wait(self.serve(409, body).transact(make_transaction("a")))

    def test_read_failures(self) -> None:
        for settings in ({"down": True}, {"delay_s": 10.0}):
            with self.subTest(settings=settings):
                self.setUp()
                self.set_faults("table", **settings)
                with self.assertRaises(StoreUnavailableError):
                    self.wait(self.table.scan(""), 3)

    def test_stale_read_is_discarded(self) -> None:
        self.wait(self.table.transact(make_transaction("a")))
        self.set_faults("table", stale_revisions=1)
        with self.assertRaisesRegex(StoreUnavailableError, "revision 0 after 1"):
            self.wait(self.table.scan(""))

    def test_stale_read_after_conflict_is_discarded(self) -> None:
        other = HttpTableStore(self.network.agent, self.clock, URL)
        self.wait(other.transact(make_transaction("a")))
        with self.assertRaises(ConflictError):
            self.wait(self.table.transact(make_transaction("a")))
        self.set_faults("table", stale_revisions=1)
        with self.assertRaises(StoreUnavailableError):
            self.wait(self.table.read("a"))


class HttpObjectStoreTest(HttpCase):
    """Guards against truncated or mixed-up objects, or ones reported absent in an outage."""

    def test_objects(self) -> None:
        store = HttpObjectStore(self.network.agent, self.clock, URL)
        body = bytes(range(256)) * 1_000
        self.wait(store.put("a/b c", body))
        self.assertEqual(self.wait(store.get("a/b c")), body)
        self.assertIsNone(self.wait(store.get("a/c")))
        self.set_faults("objects", down=True)
        with self.assertRaises(StoreUnavailableError):
            self.wait(store.get("a/c"))
        with self.assertRaises(StoreUnavailableError):
            self.wait(store.put("a/c", b""))


class HttpMemberListTest(HttpCase):
    """Guards against a list that cannot be read, or that seems empty in an outage."""

    def test_odd_member_hides_no_other(self) -> None:
        """Fails if the list can't be read for one of its entries."""
        sound = msgspec.json.encode(ENTRY)
        for name, odd in list_odd_objects(sound):
            if not odd:
                continue
            with self.subTest(name=name), self.assertLogs("lavenderstall.set_aside"):
                body = b'{"as_of":1.0,"entries":[' + odd + b"," + sound + b"]}"
                self.network = MemoryNetwork(self.clock, FixedService(200, body))
                members = HttpMemberList(self.network.agent, self.clock, URL)
                self.assertEqual(self.wait(members.list_members()).entries, [ENTRY])

    def test_members(self) -> None:
        members = HttpMemberList(self.network.agent, self.clock, URL)
        self.assertEqual(self.wait(members.list_members(), 0.1).entries, [ENTRY])
        self.set_faults("members", down=True)
        with self.assertRaises(StoreUnavailableError):
            self.wait(members.list_members())
