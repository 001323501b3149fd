"""Tests of the HTTP interface: invalid requests are rejected and change nothing."""

import unittest
from itertools import repeat

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from lavenderstall.access import hash_token
from lavenderstall.bodies import Rejection
from lavenderstall.changes import ItemKey
from lavenderstall.errors import Outcome
from lavenderstall.protocol import Put, Transaction
from lavenderstall.schemas import Operator, Quota, Right, Team
from lavenderstall.web import MAX_BODY_BYTES, ApiResource, BoundedRequest, make_site
from tests.callers import IDLE_S, UNREAD_S, CallerConnection
from tests.cells import TEAM, Cell, make_job
from tests.memory import MemoryNetwork, Response
from tests.oddities import ODD_VALUES, NoText, list_odd_objects

SALT = b"0" * 16
TEAM_TOKEN = f"{TEAM}.example"
CELL_SECONDS = 8


def make_job_body(**changes) -> bytes:
    """Return the body of a valid job with some fields changed."""
    job = {
        "kind": "batch",
        "name": "photos",
        "team": TEAM,
        "tasks": 2,
        "resources": {"cores_milli": 100, "memory_mb": 10},
    }
    return msgspec.json.encode({"id": "job-1", "job": job | changes})


class HttpCell:
    """A small cell whose first entry instance serves HTTP on an in-memory network."""

    def __init__(self) -> None:
        self.cell = Cell(entries=1, zones=1, workers=1)
        self.cell.run(4)
        self.node = self.cell.list_ready()[0]
        quota = Quota(self.cell.workers["z0w0"].shape.capacity, 100)
        items = [
            Team(TEAM, 1, quota, (hash_token(TEAM_TOKEN, SALT),)),
            Team("other", tokens=(hash_token("other.example", SALT),)),
            Operator("admin", hash_token("admin.example", SALT), Right.CHANGE),
            Operator("auditor", hash_token("auditor.example", SALT), Right.READ),
        ]
        kinds = {Team: "team", Operator: "operator"}
        self.cell.declare(self.node, {ItemKey(kinds[type(i)], i.name): i for i in items})
        self.cell.run(1)
        self.cell.declare_service(1)
        self.cell.run(CELL_SECONDS)
        resource = ApiResource(self.node.entry)
        self.network = MemoryNetwork(self.cell.clock, resource, BoundedRequest)

    def fetch(
        self, method: str, path: str, body: bytes | None = b"", token: str = TEAM_TOKEN, **headers
    ) -> Response:
        """Send one request and return its response."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        fields["Authorization"] = f"Bearer {token}"
        response = self.network.fetch(method, path, body, fields, 7.0)
        if response is None:
            raise AssertionError(f"{method} {path} got no response")
        return response

    def count_effects(self) -> tuple[int, int, int]:
        """Return the counts of worker records and job rows, and the configuration version."""
        records = sum(len(worker.truth.records) for worker in self.cell.workers.values())
        rows = self.cell.table.scan("job/").result.rows
        return records, len(rows), self.node.entry.view.version


class InvalidRequestTest(unittest.TestCase):
    """Guards against invalid requests that are misread or partly executed."""

    site: HttpCell

    @classmethod
    def setUpClass(cls) -> None:
        cls.site = HttpCell()

    CASES = (
        # method, path, body, token, headers, status, words of the detail
        ("POST", "/v1/calls/echo", b"", TEAM_TOKEN, {}, 400, ["X-Request-Id"]),
        ("POST", "/v1/calls/ecko", b"", TEAM_TOKEN, {"X-Idempotent": "yes"}, 400, ["echo"]),
        ("POST", "/v1/calls/echo", b"", TEAM_TOKEN, {"X-Idempotent": "maybe"}, 400, ["maybe"]),
        ("POST", "/v1/calls/echo", b"", TEAM_TOKEN, {"X-Deadline-Ms": "x"}, 400, ["X-Deadline-Ms"]),
        ("POST", "/v1/calls/echo", b"", TEAM_TOKEN, {"X-Attempt": "0"}, 400, ["X-Attempt"]),
        ("POST", "/v1/calls/echo", b"", TEAM_TOKEN, {"X-Request-Id": "a b"}, 400, ["request id"]),
        ("POST", "/v1/calls/echo", b"", "drivers.wrong", {}, 401, ["token"]),
        ("POST", "/v1/calls/echo", b"", "admin.example", {}, 403, ["team"]),
        ("GET", "/v1/calls/echo", None, TEAM_TOKEN, {}, 400, ["GET", "POST"]),
        ("GET", "/v1/nothing", None, TEAM_TOKEN, {}, 400, ["/v1/jobs"]),
        ("POST", "/v1/jobs", b"{", TEAM_TOKEN, {}, 400, ["truncated"]),
        ("POST", "/v1/jobs", b"[]", TEAM_TOKEN, {}, 400, ["object"]),
        ("POST", "/v1/jobs", make_job_body(tasks="2"), TEAM_TOKEN, {}, 400, ["tasks"]),
        ("POST", "/v1/jobs", make_job_body(tasks=0), TEAM_TOKEN, {}, 400, ["tasks"]),
        ("POST", "/v1/jobs", make_job_body(team="other"), TEAM_TOKEN, {}, 403, ["other"]),
        (
            "POST",
            "/v1/jobs",
            make_job_body(resources={"cores_milli": -1}),
            TEAM_TOKEN,
            {},
            400,
            ["cores_milli"],
        ),
        (
            "POST",
            "/v1/jobs",
            b'{"id": "a", "nothing": 1, "job": {}}',
            TEAM_TOKEN,
            {},
            400,
            ["nothing"],
        ),
        (
            "POST",
            "/v1/jobs",
            make_job_body(resources={"cores_milli": 10**6}),
            TEAM_TOKEN,
            {},
            422,
            ["exceed"],
        ),
        ("POST", "/v1/jobs", make_job_body(tasks=101), TEAM_TOKEN, {}, 429, ["101"]),
        ("GET", "/v1/jobs/unknown", None, TEAM_TOKEN, {}, 400, ["unknown"]),
        ("GET", "/v1/jobs/unknown?wait_ms=%C2%B2", None, TEAM_TOKEN, {}, 400, ["wait_ms"]),
        ("GET", f"/v1/jobs/unknown?wait_ms={'9' * 5000}", None, TEAM_TOKEN, {}, 400, ["wait_ms"]),
        ("GET", "/v1/jobs/unknown?wait_ms=-1", None, TEAM_TOKEN, {}, 400, ["wait_ms"]),
        ("GET", "/v1/jobs/unknown?wait_ms=nan", None, TEAM_TOKEN, {}, 400, ["wait_ms"]),
        (
            "POST",
            "/v1/calls/echo",
            b"",
            TEAM_TOKEN,
            {"X-Idempotent": NoText("x")},
            400,
            ["yes or no"],
        ),
        (
            "POST",
            "/v1/calls/echo",
            b"",
            TEAM_TOKEN,
            {"X-Request-Id": NoText("x")},
            400,
            ["request id"],
        ),
        ("POST", "/v1/calls/echo", b"", TEAM_TOKEN, {"X-Deadline-Ms": NoText("x")}, 400, ["1 to"]),
        ("POST", "/v1/calls/echo", b"", TEAM_TOKEN, {"X-Attempt": "9" * 400}, 400, ["1 to 1000"]),
        ("POST", "/v1/calls/echo", b"", NoText("x"), {}, 401, ["token"]),
        ("GET", "/v1/jobs/unknown?wait_ms=x", None, TEAM_TOKEN, {}, 400, ["wait_ms"]),
        ("POST", "/v1/query", b'{"text": "shw tasks"}', "admin.example", {}, 400, ["shw"]),
        ("POST", "/v1/query", b'{"text": 7}', "admin.example", {}, 400, ["text"]),
        ("POST", "/v1/query", b'{"text": "show tasks"}', TEAM_TOKEN, {}, 403, ["right"]),
        (
            "POST",
            "/v1/query",
            b'{"text": "drain worker z0w0 because \\"x\\""}',
            "auditor.example",
            {},
            403,
            ["change"],
        ),
        (
            "POST",
            "/v1/apply",
            b'{"documents": "kind: team\\nnam: x"}',
            "admin.example",
            {},
            400,
            ["nam"],
        ),
        (
            "POST",
            "/v1/apply",
            b'{"documents": "kind: team"}',
            "auditor.example",
            {},
            403,
            ["right"],
        ),
        ("GET", "/v1/config", None, TEAM_TOKEN, {}, 403, ["right"]),
    )

    def test_refusals(self) -> None:
        for method, path, body, token, headers, status, words in self.CASES:
            with self.subTest(method=method, path=path, body=body, headers=headers):
                before = self.site.count_effects()
                response = self.site.fetch(method, path, body, token, **headers)
                rejection = msgspec.json.decode(response.body, type=Rejection)
                self.assertEqual(response.status, status, rejection)
                self.assertIs(rejection.outcome, Outcome.NOT_RUN)
                text = f"{rejection.detail} {rejection.problems}"
                for word in words:
                    self.assertIn(word, text)
                self.assertNotIn("example", text)
                self.assertEqual(self.site.count_effects(), before)

    def test_odd_bodies(self) -> None:
        """Fails if a body that can't be read counts as a fault, or has an effect."""
        before = self.site.count_effects()
        job = make_job_body(payload={"a": 1}, constraints={"zones": []})
        bodies = [(what, odd, "/v1/jobs") for what, odd in list_odd_objects(job)]
        for path, body in (
            ("/v1/query", b'{"text":"show tasks"}'),
            ("/v1/apply", b'{"documents":"kind: team","reason":"x"}'),
            ("/v1/requests", b'{"service":"echo"}'),
        ):
            bodies += [(what, odd, path) for what, odd in list_odd_objects(body)]
        for field in (b'"payload":{"a":1', b'"constraints":{"zones":[]', b'"cores_milli":100'):
            self.assertIn(field, job)
            for what, value in ODD_VALUES.items():
                odd = field + b',"odd":' + value
                bodies.append((f"{what} beside {field}", job.replace(field, odd), "/v1/jobs"))
        for what, body, path in bodies:
            with self.subTest(what=what, path=path):
                token = TEAM_TOKEN if path in ("/v1/jobs", "/v1/requests") else "admin.example"
                response = self.site.fetch("POST", path, body, token)
                rejection = msgspec.json.decode(response.body, type=Rejection)
                self.assertEqual((response.status, rejection.reason), (400, "bad_request"))
                self.assertIs(rejection.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.site.count_effects(), before)

    def test_nested_statements_and_documents(self) -> None:
        """Fails if a text that is nested deep counts as a fault."""
        statements = (
            "show tasks where " + "not " * 900 + "id = a",
            "show tasks where " + "(not " * 700 + "id = a" + ")" * 700,
            "show tasks where " + "(" * 5_000 + "id = a" + ")" * 5_000,
            "show tasks where age > " + "9" * 3_000,
            "show tasks where age > nan",
            "show tasks where age > \u00b2",
            "show tasks limit " + "9" * 3_000,
            'set team other weight = 1e999 because "x"',
        )
        documents = (
            "[" * 5_000 + "]" * 5_000,
            "{a: " * 5_000 + "}" * 5_000,
            "- " * 5_000,
            "kind: team\nname: x\nweight: " + "9" * 5_000,
            "kind: team\nname: x\nweight: 1e999",
            "kind: team\nname: x\nweight: .nan",
        )
        requests = [("/v1/query", {"text": text}) for text in statements]
        requests += [("/v1/apply", {"documents": text, "reason": "x"}) for text in documents]
        for path, body in requests:
            with self.subTest(path=path, body=str(body)[:60]):
                data = msgspec.json.encode(body)
                response = self.site.fetch("POST", path, data, "admin.example")
                self.assertEqual(response.status, 400, response.body[:200])
        self.assertEqual(self.site.fetch("GET", "/healthz", None).status, 200)

    def test_oversized_body(self) -> None:
        before = self.site.count_effects()
        body = b"x" * (MAX_BODY_BYTES + 1)
        response = self.site.fetch("POST", "/v1/calls/echo", body, X_Idempotent="yes")
        self.assertEqual(response.status, 400)
        self.assertIn(b"larger than", response.body)
        self.assertEqual(self.site.count_effects(), before)

    @settings(max_examples=60)
    @given(
        st.sampled_from([row[1] for row in ApiResource.routes if "{" not in row[1]]),
        st.sampled_from(["GET", "POST", "DELETE", "PUT"]),
        st.one_of(
            st.binary(max_size=60),
            st.recursive(
                st.one_of(st.none(), st.integers(-9, 9), st.text(max_size=5)),
                lambda inner: st.dictionaries(st.sampled_from(["id", "job", "text"]), inner),
                max_leaves=4,
            ).map(msgspec.json.encode),
        ),
        st.sampled_from([TEAM_TOKEN, "auditor.example"]),
    )
    def test_any_body(self, path: str, method: str, body: bytes, token: str) -> None:
        before = self.site.count_effects()
        response = self.site.fetch(method, path, body, token)
        self.assertNotEqual(response.status, 500, response.body)
        self.assertEqual(self.site.count_effects(), before)


class ValidRequestTest(unittest.TestCase):
    """Guards against responses that lose a field or header in the HTTP layer."""

    def test_calls_jobs_and_traces(self) -> None:
        site = HttpCell()
        call = site.fetch("POST", "/v1/calls/echo", b"{}", X_Request_Id="stop-1")
        again = site.fetch("POST", "/v1/calls/echo", b"{}", X_Request_Id="stop-1", X_Attempt="2")
        self.assertEqual((call.status, call.headers["X-Outcome"]), (200, "done"))
        self.assertEqual(call.body, again.body)
        issued = site.fetch("POST", "/v1/requests", b'{"service": "echo"}')
        name = msgspec.json.decode(issued.body)["request_id"]
        bound = site.fetch("POST", "/v1/calls/echo", b"{}", X_Request_Id=name)
        self.assertEqual(bound.status, 200)
        accepted = site.fetch("POST", "/v1/jobs", make_job_body(payload={"run_ms": 10}))
        self.assertEqual(accepted.status, 202)
        done = site.fetch("GET", "/v1/jobs/job-1?wait_ms=5000", None)
        self.assertEqual(msgspec.json.decode(done.body)["job"]["done"], 2)
        other = site.fetch("GET", "/v1/jobs/job-1", None, "other.example")
        self.assertEqual(other.status, 403)
        trace = site.fetch("GET", "/v1/traces/stop-1", None, "admin.example")
        names = [span["name"] for span in msgspec.json.decode(trace.body)["spans"]]
        self.assertEqual(sorted(set(names)), ["receive call", "serve call"])
        config = site.fetch("GET", "/v1/config", None, "auditor.example")
        self.assertNotIn(hash_token(TEAM_TOKEN, SALT).encode(), config.body)
        health = site.fetch("GET", "/healthz", None)
        self.assertEqual(health.status, 200)

    def test_unreadable_job(self) -> None:
        """Fails if an odd row is reported as a fault of this system, or as a caller's mistake."""
        site = HttpCell()
        body = make_job_body()
        self.assertEqual(site.fetch("POST", "/v1/jobs", body).status, 202)
        for key in ("work/z0/0/job-1", "job/job-1"):
            for name, value in list_odd_objects(b'{"spec":{}}'):
                site.cell.table.commit(Transaction(puts=[Put(key, msgspec.Raw(value))]))
                for method in ("GET", "DELETE"):
                    with self.subTest(key=key, value=name, method=method):
                        response = site.fetch(method, "/v1/jobs/job-1", None)
                        rejection = msgspec.json.decode(response.body, type=Rejection)
                        found = (response.status, rejection.reason, rejection.peer)
                        self.assertEqual(found, (500, "unreadable_row", key))
                        self.assertIs(rejection.outcome, Outcome.UNKNOWN)

    def test_store_down(self) -> None:
        site = HttpCell()
        site.cell.table.faults = msgspec.structs.replace(site.cell.table.faults, down=True)
        refused = site.fetch("POST", "/v1/jobs", make_job_body())
        rejection = msgspec.json.decode(refused.body, type=Rejection)
        self.assertIs(rejection.outcome, Outcome.NOT_RUN)
        self.assertEqual(rejection.reason, "store_unavailable")
        served = site.fetch("POST", "/v1/calls/echo", b"{}", X_Idempotent="yes")
        self.assertEqual(served.status, 200)
        not_idempotent = site.fetch("POST", "/v1/calls/echo", b"{}", X_Request_Id="stop-2")
        rejection = msgspec.json.decode(not_idempotent.body, type=Rejection)
        self.assertIs(rejection.outcome, Outcome.NOT_RUN)

    def test_job_submitted_within_the_cell_is_readable(self) -> None:
        site = HttpCell()
        site.cell.submit(make_job("night"))
        site.cell.run(3)
        found = site.fetch("GET", "/v1/jobs/night", None)
        self.assertEqual(msgspec.json.decode(found.body)["job"]["state"], "done")


class SilentCallerTest(unittest.TestCase):
    """Connections on which the caller says nothing any more."""

    def test_a_silent_connection_is_closed(self) -> None:
        """Fails if a caller that says nothing any more, or reads nothing, holds a descriptor."""
        entry = HttpCell().node.entry
        head = b"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"
        page = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
        for name, sent, reading, answers, closed_after_s in (
            ("silent within a head", head[:20], True, 0, IDLE_S),
            ("silent within a body", head + b"{", True, 0, IDLE_S),
            ("silent after an answer", page, True, 1, IDLE_S),
            ("answer not read", page, False, 1, IDLE_S + UNREAD_S),
        ):
            with self.subTest(name=name):
                clock = Clock()
                connection = CallerConnection(make_site(entry), clock, reading=reading)
                connection.send(sent)
                self.assertEqual(connection.get_answers(), answers)
                clock.pump(repeat(1.0, round(closed_after_s) - 1))
                self.assertFalse(connection.is_closed())
                clock.pump([1.0, 1.0])
                self.assertTrue(connection.is_closed())
