"""Tests of the table, the cell and the HTTP interface of the stand-ins."""

import hashlib
import unittest

import msgspec
from twisted.internet.task import Clock

from lavenderstall.errors import (
    BadRequestError,
    ConflictError,
    StoreUnavailableError,
)
from lavenderstall.protocol import (
    Condition,
    MemberState,
    Put,
    Transaction,
)
from lavenderstall.records import encode_row
from standins.faults import FaultRequest
from standins.table import OverRateError, Table, TableView
from standins.tasks import Payload, read_payload
from standins.truth import TaskStarted
from standins.web import ControlService, PlatformService, WorkerService
from tests.memory import MemoryNetwork
from tests.oddities import list_odd_objects
from tests.test_standins_workers import OWNER, WorkerCase, get_result


class TableTest(unittest.TestCase):
    """Guards against a table that is kinder to its clients than the platform's."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.table = Table(self.clock, writes_per_second=5, reads_per_second=3)

    def write(self, key: str, version: int | None = None, table=None):
        """Write a row, with a condition on its version unless that is none."""
        conditions = [] if version is None else [Condition(key, version)]
        put = Put(key, encode_row({"key": key}))
        return get_result((table or self.table).transact(Transaction(conditions, [put])))

    def test_conditions_and_versions(self) -> None:
        self.assertEqual(self.write("a", 0).revision, 1)
        self.assertEqual(self.write("a", 1).revision, 2)
        with self.assertRaises(ConflictError) as caught:
            self.write("a", 1)
        self.assertEqual([(row.key, row.version) for row in caught.exception.rows], [("a", 2)])
        rows = get_result(self.table.scan("a"))
        self.assertEqual((rows.revision, rows.rows[0].version), (2, 2))

    def test_failed_transaction_changes_nothing(self) -> None:
        self.write("a")
        mixed = Transaction([Condition("b", 3)], [Put("c", encode_row({}))], ["a"])
        with self.assertRaises(ConflictError):
            get_result(self.table.transact(mixed))
        self.assertEqual([row.key for row in get_result(self.table.scan("")).rows], ["a"])

    def test_rates_are_limited_in_each_second(self) -> None:
        for limit, operate in ((5, lambda: self.write("a")), (3, self.read)):
            for _ in range(limit):
                operate()
            with self.assertRaises(OverRateError):
                operate()
            self.clock.advance(1)
            operate()

    def read(self):
        """Scan all rows."""
        return get_result(self.table.scan(""))

    def test_faults(self) -> None:
        self.table.faults.down = True
        with self.assertRaises(StoreUnavailableError):
            self.write("a")
        self.table.faults.down = False
        self.table.faults.delay_s = 2.0
        answer = self.table.transact(Transaction([], [Put("a", encode_row({}))]))
        self.clock.advance(1.0)
        self.assertEqual((self.table.revision, answer.called), (1, False))
        self.clock.advance(1.0)
        self.assertTrue(answer.called)

    def test_stale_scan_is_an_older_revision(self) -> None:
        for key in ("a", "b", "c"):
            self.write(key)
        self.table.faults.stale_revisions = 2
        rows = self.read()
        self.assertEqual((rows.revision, [row.key for row in rows.rows]), (1, ["a"]))

    def test_view_can_be_cut_off(self) -> None:
        view = TableView(self.table)
        view.cut_off = True
        with self.assertRaises(StoreUnavailableError):
            self.write("a", table=view)
        self.assertEqual(self.table.revision, 0)


class CellTest(WorkerCase):
    """Guards against faults that do not reach their target and a list that does not lag."""

    def list_workers(self):
        """Return the workers on the membership list."""
        return get_result(self.cell.members.list_members()).workers

    def test_leaving_shows_up_after_the_lag(self) -> None:
        self.set_faults(leaving=True)
        self.assertIs(self.list_workers()[0].state, MemberState.LIVE)
        self.clock.advance(self.cell.shape.member_lag_s)
        self.assertIs(self.list_workers()[0].state, MemberState.LEAVING)

    def test_targets(self) -> None:
        for target in ("worker/w1", "rack/r1", "zone/z1"):
            with self.subTest(target):
                self.setUp()
                self.cell.apply(FaultRequest(target, {"slow": 3.0}, crash=True))
                self.assertEqual(self.worker.faults.slow, 3.0)
                self.assertEqual(self.worker.incarnation, "w1.2")

    def test_unknown_targets_and_settings_are_refused(self) -> None:
        for target, settings in (("rack/r9", {}), ("tabel", {}), ("table", {"dwon": True})):
            with self.subTest(target), self.assertRaises(BadRequestError):
                self.cell.apply(FaultRequest(target, settings))


class WebTest(WorkerCase):
    """Guards against an HTTP interface that differs from the design page."""

    def send(self, service, method: str, path: str, body=None, headers=None):
        """Send a request and return status, headers and body, or none without an answer."""
        network = MemoryNetwork(self.clock, service)
        return network.fetch(method, path, body, headers or {}, 1.0)

    def send_call(self, request: str, epoch: int = 1000, path: str = "routing"):
        """Send a non-idempotent call to the worker."""
        headers = {
            "X-Owner": OWNER,
            "X-Epoch": str(epoch),
            "X-Request-Id": request,
            "X-Attempt-Id": "a",
            "X-Idempotent": "false",
            "X-Deadline-Ms": "500",
        }
        service = WorkerService(self.worker)
        return self.send(service, "POST", f"/v1/calls/{path}", b'{"x":1}', headers)

    def test_odd_bodies_are_refused(self) -> None:
        """Fails if a body that can't be read counts as a fault of the stand-in."""
        for name, odd in list_odd_objects(b'{"owner":"e","epoch":1,"ownership_ms":1,"tasks_ms":1}'):
            for path in ("/v1/lease", "/v1/tasks", "/v1/requests/q/void"):
                with self.subTest(name=name, path=path):
                    answer = self.send(WorkerService(self.worker), "POST", path, odd)
                    self.assertEqual(answer.status, 400)

    def test_odd_payload_is_ignored(self) -> None:
        """Fails if a call or task whose opaque body is odd ends with a fault of the stand-in."""
        for name, odd in list_odd_objects(b'{"run_ms":1}'):
            with self.subTest(name=name):
                self.assertEqual(read_payload(odd), Payload())

    def test_call(self) -> None:
        answer = self.send_call("q/1")
        body = msgspec.json.decode(answer.body)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["X-Digest"], hashlib.sha256(answer.body).hexdigest())
        self.assertEqual(answer.headers["Content-Length"], str(len(answer.body)))
        expected = {"request": "q/1", "service": "routing", "worker": "w1", "body": '{"x":1}'}
        self.assertEqual(body, body | expected)

    def test_call_errors(self) -> None:
        fenced = self.send_call("q", epoch=999)
        self.assertEqual(fenced.status, 409)
        expected = {"error": "fenced", "owner": "e1", "epoch": 1000}
        self.assertEqual(msgspec.json.decode(fenced.body), expected)
        refused = self.send_call("q", path="vision")
        self.assertEqual(refused.status, 503)
        self.assertEqual(msgspec.json.decode(refused.body)["reason"], "no_replica")
        self.set_faults(cut_off=True)
        self.assertIsNone(self.send_call("q"))

    def test_void(self) -> None:
        body = b'{"owner":"e1","epoch":1000}'
        service = WorkerService(self.worker)
        answer = self.send(service, "POST", "/v1/requests/z1%2F0.7/void", body)
        self.assertEqual((answer.status, answer.body), (200, b'{"state":"void"}'))
        self.assertIn("z1/0.7", self.worker.calls.records)

    def test_control(self) -> None:
        service = ControlService(self.cell)
        fault = b'{"target":"table","settings":{"down":true}}'
        cases = (
            ("POST", "/v1/transact", b"{}", 200),
            ("POST", "/v1/transact", b'{"conditions":[{"key":"a","version":9}]}', 409),
            ("POST", "/v1/transact", b"[", 400),
            ("GET", "/truth", None, 200),
            ("GET", "/counters", None, 200),
            ("GET", "/nothing", None, 404),
            ("POST", "/faults", fault, 200),
            ("POST", "/v1/transact", b"{}", 503),
        )
        for method, path, body, status in cases:
            with self.subTest(path=path, status=status):
                self.assertEqual(self.send(service, method, path, body).status, status)

    def test_zone_cut_off_from_the_platform(self) -> None:
        self.cell.apply(FaultRequest("platform/z1", {"cut_off": True}))
        self.assertIsNone(self.send(PlatformService(self.cell, "z1"), "GET", "/v1/rows"))
        self.assertEqual(self.send(ControlService(self.cell), "GET", "/v1/rows").status, 200)

    def test_started_task_is_in_the_truth_log(self) -> None:
        self.start("j.0")
        answer = self.send(ControlService(self.cell), "GET", "/truth")
        records = msgspec.json.decode(answer.body)[0]["records"]
        self.assertEqual(records[0]["type"], "task_started")
        self.assertEqual(len(self.list_truth(TaskStarted)), 1)
