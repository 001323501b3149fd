"""Tests of statements and submissions through the HTTP handlers of a simulated cell."""

import unittest
from io import BytesIO
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from lavenderstall.access import hash_token
from lavenderstall.bodies import Rejection, TraceAnswer
from lavenderstall.changes import ItemKey
from lavenderstall.handlers import handle
from lavenderstall.identifiers import EntryId
from lavenderstall.inventory import Answer
from lavenderstall.messages import ConfigPart, QueryPart
from lavenderstall.schemas import Operator, Right, Team
from lavenderstall.web import ApiResource, Reply
from tests.cells import Cell
from tests.oddities import list_odd_objects

SALT = bytes(16)
OPERATOR = Operator("ana", hash_token("ana.a", SALT), Right.CHANGE)
TEAM = Team("t", weight=2, tokens=(hash_token("t.t", SALT),))
ITEMS = {ItemKey("operator", "ana"): OPERATOR, ItemKey("team", "t"): TEAM}
BATCH = {"kind": "batch", "name": "b", "team": "t", "tasks": 1, "resources": {}}


class FakeRequest:
    """The attributes of a Twisted request that `ApiResource` reads."""

    def __init__(self, method: str, path: str, body: bytes, token: str) -> None:
        self.method = method.encode()
        self.path = path.encode()
        self.content = BytesIO(body)
        self.args: dict[bytes, list[bytes]] = {}
        self.oversized = False
        self.requestHeaders = Headers({"Authorization": [f"Bearer {token}"]})


class WebTestCase(unittest.TestCase):
    """Send requests to one entry instance of a simulated cell of two zones."""

    def setUp(self) -> None:
        self.cell = Cell(entries=1)
        self.assertTrue(self.cell.run(20, lambda: len(self.cell.list_ready()) == 2))
        self.node = self.cell.list_ready("z0")[0]
        self.cell.run(5)
        self.cell.declare(self.node, dict(ITEMS))
        self.cell.run(5)
        self.api = ApiResource(self.node.entry)

    def send(self, method: str, path: str, body: Any = None, token: str = "ana.a") -> Reply:
        request: Any = FakeRequest(method, path, msgspec.json.encode(body), token)
        replies: list[Reply] = []
        Deferred.fromCoroutine(self.api._answer(request)).addCallback(replies.append)
        self.cell.run(10, lambda: bool(replies))
        return replies[0]

    def query(self, text: str) -> tuple[int, Any]:
        reply = self.send("POST", "/v1/query", {"text": text})
        kind: type = Answer if reply.status == 200 else Rejection
        return reply.status, msgspec.json.decode(reply.body, type=kind)


class QueryTest(WebTestCase):
    """Guards against statements that parse but fail on an entry instance."""

    def test_preview_of_an_undo(self) -> None:
        status, answer = self.query('set team t weight = 3 because "x"')
        self.assertEqual(status, 200, answer)
        status, answer = self.query(f"undo change {answer.change.id} preview")
        self.assertEqual((status, answer.committed), (200, False), answer)
        self.assertEqual([str(each.key) for each in answer.differences], ["team/t"])

    def test_odd_part_of_one_owner_costs_no_other(self) -> None:
        """Fails if one answer that can't be read ends the query, or is not reported as missing."""
        other = self.cell.list_ready("z1")[0]
        queries = other.entry.queries
        # What is sound in this place is left out.
        for name, sound in (("serve_query", "no fields"), ("serve_trace", "nothing")):
            serve = getattr(queries, name)
            for what, odd in list_odd_objects(b'{"columns":[]}'):
                if what == sound:
                    continue
                body = b"[" + odd + b"]" if name == "serve_trace" else odd
                setattr(
                    queries,
                    name,
                    lambda ask, body=body: QueryPart(
                        ask.query, other.name, list(getattr(ask, "slices", [])), body
                    ),
                )
                with self.subTest(name=name, what=what):
                    if name == "serve_query":
                        status, answer = self.query("show workers")
                        self.assertEqual({row.zone for row in answer.rows}, {"z0"})
                    else:
                        reply = self.send("GET", "/v1/traces/r")
                        status = reply.status
                        answer = msgspec.json.decode(reply.body, type=TraceAnswer)
                    self.assertEqual(status, 200)
                    self.assertEqual([each.owner for each in answer.missing], [other.name])
                    self.assertIn("cannot be read", answer.missing[0].reason)
            setattr(queries, name, serve)

    def test_odd_configuration_of_a_peer_is_discarded(self) -> None:
        """Fails if a configuration that can't be read raises, or takes effect."""
        entry = self.node.entry
        before = entry.view.snapshot
        for what, odd in list_odd_objects(b'{"version":1,"head":1,"items":[]}'):
            with self.subTest(what=what), self.assertLogs("lavenderstall.handlers"):
                handle(ConfigPart(odd), entry, EntryId("peer"))
                self.assertIs(entry.view.snapshot, before)

    def test_workers_and_racks_of_other_zones_are_known(self) -> None:
        for text in ("drain worker z1w0", "drain rack z1r0"):
            status, answer = self.query(f'{text} because "x"')
            self.assertEqual((status, answer.committed), (200, True), answer)
        status, answer = self.query('drain worker z1w9 because "x"')
        self.assertEqual((status, answer.detail), (400, "no worker is named 'z1w9'"))

    def test_directive_while_the_membership_list_is_unavailable(self) -> None:
        self.cell.members.faults.down = True
        status, answer = self.query('drain worker z1w0 because "x"')
        self.assertEqual((status, getattr(answer, "committed", answer)), (200, True))

    def test_why_without_a_record_suggests_another_statement(self) -> None:
        status, answer = self.query("why job j")
        self.assertEqual(status, 200)
        self.assertIn("nothing is recorded about job j", answer.note)
        self.assertIn("why request j", answer.note)

    def test_why_a_job_waits(self) -> None:
        job = {**BATCH, "tasks": 40, "resources": {"cores_milli": 1000}}
        reply = self.send("POST", "/v1/jobs", {"id": "j", "job": job}, "t.t")
        self.assertEqual(reply.status, 202, reply.body)
        self.cell.run(3)
        _, answer = self.query("why job j")
        waits = [row for row in answer.rows if row.outcome == "waiting"]
        self.assertTrue(waits, answer)
        self.assertIn("no room; the nearest worker is short of cores_milli by", waits[0].reason)
        self.assertTrue(waits[0].alternatives)

    def test_paused_kind_does_not_start(self) -> None:
        self.assertEqual(self.query('pause kind batch because "x"')[0], 200)
        self.cell.run(3)
        self.send("POST", "/v1/jobs", {"id": "j", "job": BATCH}, "t.t")
        self.cell.run(5)
        self.assertIn("paused by an operator; kind/batch", self.query("why task j.0")[1].note)
        self.query('resume kind batch because "x"')
        self.assertTrue(self.cell.run(5, lambda: self.cell.find_runs("j")))

    def test_misspelt_fields_of_a_job(self) -> None:
        for job, path in (
            ({**BATCH, "idempotant": False}, "$.job.idempotant"),
            ({**BATCH, "resources": {"cors_milli": 5}}, "$.job.resources.cors_milli"),
            ({**BATCH, "constraints": {"zone": ["z1"]}}, "$.job.constraints.zone"),
        ):
            with self.subTest(path=path):
                reply = self.send("POST", "/v1/jobs", {"id": "j", "job": job}, "t.t")
                rejection = msgspec.json.decode(reply.body, type=Rejection)
                self.assertEqual((reply.status, rejection.detail), (400, f"unknown fields: {path}"))
        job = {**BATCH, "payload": {"any": {"thing": 1}}}
        self.assertEqual(self.send("POST", "/v1/jobs", {"id": "j", "job": job}, "t.t").status, 202)

    def test_job_of_another_team(self) -> None:
        reply = self.send("POST", "/v1/jobs", {"id": "j", "job": BATCH}, "ana.a")
        self.assertEqual(reply.status, 403)
        self.assertIn(b"of team 't', but the token is that of 'ana'", reply.body)


if __name__ == "__main__":
    unittest.main()
