"""Tests of the platform adapter: settings, store, workers and HTTP API."""

import json
import tempfile
import unittest
from base64 import b64encode
from pathlib import Path
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, fail, succeed

from adapter.http_api import JobsResource, Response
from adapter.settings import SettingsError, read_node_settings
from adapter.store import PlatformStore
from adapter.wire import PlatformSettingsDecoder, decode_job_body
from adapter.worker_wire import (
    MAX_CAPACITY,
    MAX_UNIX_MS,
    WireWorker,
    WireWorkerStatus,
    decode_worker,
    format_task_name,
    parse_task_name,
)
from adapter.workers import PlatformAdviser, PlatformRegistry, PlatformWorkerClient
from lavenderstall.decoding import UnreadableError, decode_msgpack
from lavenderstall.errors import (
    AnswerLostError,
    PeerUnavailableError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import JobId
from lavenderstall.metrics import Metrics
from lavenderstall.platform_clients import Reply
from lavenderstall.pools.effects import Advice, Refusal, StartRun
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.ports import (
    Condition,
    HistoryLostError,
    Put,
    RowConflictError,
    Transaction,
)
from lavenderstall.pools.records import RosterRow, decode_job, encode
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import MAX_FIGURE, EndCause, Task
from lavenderstall.resources import MAX_AMOUNT
from tests.platform.simulated_cell import SimulatedCell
from tests.pools.builders import make_entry, make_queue


def make_json_values() -> st.SearchStrategy[Any]:
    """Return values of JSON, among them objects with the fields of a worker's entry."""
    leaves = st.one_of(
        st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8), st.just(10**400)
    )
    names = st.sampled_from(["service", "address", "state", "capacity", "labels", "born", "x"])
    return st.recursive(
        leaves,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3), st.dictionaries(names, inner, max_size=7)
        ),
        max_leaves=12,
    )


SETTINGS = """
node = "entry-1"
ip = "10.1.0.30"
zone = "quito-a"
internalPortRange = [7380, 7395]
unknownLater = 7
[listen]
front = "10.1.0.30:8149"
ready = "10.1.0.30:8141"
[platform]
address = "10.200.1.7:8142"
"""


class FixedHttpClient:
    """Answer each call with the same reply or error, and record the requests."""

    def __init__(self, answer: Reply | Exception) -> None:
        self.answer = answer
        self.sent: list[tuple[Any, ...]] = []

    def request(self, *arguments: Any, **more: Any) -> Deferred[Reply]:
        """Record a request and answer it."""
        self.sent.append(arguments)
        return fail(self.answer) if isinstance(self.answer, Exception) else succeed(self.answer)


def get_result(call: Deferred[Any]) -> Any:
    """Return the result of a completed call, or raise its error."""
    found: list[Any] = []
    call.addBoth(found.append)
    if hasattr(found[0], "raiseException"):
        found[0].raiseException()
    return found[0]


def make_store(answer: Reply | Exception, metrics: Metrics | None = None) -> PlatformStore:
    """Return a store that answers each call in the same way."""
    client: Any = FixedHttpClient(answer)
    return PlatformStore(client, "store", UnreadableRows(metrics or Metrics()))


def make_client(reply: Reply, metrics: Metrics | None = None) -> PlatformWorkerClient:
    """Return a client of workers that all answer in the same way."""
    client: Any = FixedHttpClient(reply)
    return PlatformWorkerClient(client, UnreadableRows(metrics or Metrics()))


class NodeSettingsTest(unittest.TestCase):
    """The settings file."""

    def read(self, text: str) -> Any:
        """Read settings from a text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.toml"
            path.write_text(text, encoding="utf-8")
            return read_node_settings(str(path))

    def test_fields_are_read_and_unknown_ones_ignored(self) -> None:
        settings = self.read(SETTINGS)
        self.assertEqual((settings.node, settings.internal_port_range), ("entry-1", (7380, 7395)))

    def test_what_is_not_needed_to_serve_may_be_odd(self) -> None:
        """Fails if an instance doesn't start for the lack of what it can do without."""
        settings = self.read(SETTINGS.replace("unknownLater = 7", 'recommendation = "a:-1"'))
        self.assertEqual(settings.recommendation, "a:-1")

    def test_errors_name_what_is_invalid(self) -> None:
        rows = (
            (SETTINGS.replace('zone = "quito-a"', ""), "zone"),
            (SETTINGS.replace("[7380, 7395]", '"many"'), "internalPortRange"),
            (SETTINGS.replace('ready = "10.1.0.30:8141"', ""), "ready"),
            ("= nothing", "TOML"),
            ("a = " + "[" * 5000 + "]" * 5000, "TOML"),
            (SETTINGS.replace("7380, 7395", "0, 7395"), "internalPortRange"),
            (SETTINGS.replace("7380, 7395", "7380, 99999"), "internalPortRange"),
            (SETTINGS.replace("10.1.0.30:8149", "10.1.0.30:99999"), "front"),
            (SETTINGS.replace("10.1.0.30:8141", "10.1.0.30"), "ready"),
            (SETTINGS.replace("10.200.1.7:8142", "10.200.1.7 :8142"), "platform.address"),
            (SETTINGS + "[limits]\ncpuShare = nan", "cpuShare"),
            (SETTINGS + "[limits]\ncpuShare = -1.0", "cpuShare"),
            (SETTINGS + "[limits]\ncores = inf", "cores"),
            (SETTINGS + "[bounds]\nremoteFactor = -1", "remoteFactor"),
            (SETTINGS + "[bounds]\nconfigApplyMs = -1", "configApplyMs"),
        )
        for text, expected in rows:
            with self.subTest(expected=expected), self.assertRaisesRegex(SettingsError, expected):
                self.read(text)
        with self.assertRaisesRegex(SettingsError, "cannot be read"):
            read_node_settings("/nowhere/boot.toml")


class StoreTest(unittest.TestCase):
    """Statuses of the store."""

    def commit(self, answer: Reply | Exception) -> Any:
        """Commit one row."""
        store = make_store(answer)
        return get_result(
            store.commit(Transaction("p", (Condition("t", "k", 0),), (Put("t", "k", b"v"),)))
        )

    def test_outcomes_of_a_transaction(self) -> None:
        rows: tuple[tuple[Reply | Exception, type[Exception]], ...] = (
            (Reply(503, b"{}"), StoreUnavailableError),
            (Reply(429, b"{}"), StoreUnavailableError),
            (Reply(500, b"{}"), StoreOutcomeUnknownError),
            (Reply(200, b"not json"), StoreOutcomeUnknownError),
            (Reply(200, b'{"schemaVersion":"x"}'), StoreOutcomeUnknownError),
            (PeerUnavailableError("", step=""), StoreUnavailableError),
            (AnswerLostError("", step=""), StoreOutcomeUnknownError),
        )
        for answer, error in rows:
            with self.subTest(answer=answer), self.assertRaises(error):
                self.commit(answer)
        self.assertEqual(self.commit(Reply(200, b'{"schemaVersion":7,"nowMs":3}')).version, 7)

    def test_a_conflict_carries_the_rows(self) -> None:
        row = {"table": "t", "part": "p", "key": "k", "value": "dg==", "schemaVersion": 4}
        with self.assertRaises(RowConflictError) as caught:
            self.commit(Reply(412, json.dumps({"rows": [row]}).encode()))
        self.assertEqual(
            [(r.key, r.value, r.version) for r in caught.exception.rows], [("k", b"v", 4)]
        )

    def test_outcomes_of_a_feed(self) -> None:
        rows = ((410, HistoryLostError), (503, StoreUnavailableError), (500, StoreUnavailableError))
        for status, error in rows:
            store = make_store(Reply(status, b"{}"))
            with self.subTest(status=status), self.assertRaises(error):
                get_result(store.poll_changes("t", 1, 10))

    def test_a_row_that_cannot_be_read_costs_no_other_row_of_its_page(self) -> None:
        """Fails if a page of the store can't be read because of one of its rows."""
        sound = [
            {"table": "t", "part": "p", "key": key, "value": "dg==", "schemaVersion": 4}
            for key in ("a", "c")
        ]
        named = {"table": "t", "part": "p", "key": "b", "schemaVersion": 5}
        odd_rows: tuple[tuple[Any, list[bytes]], ...] = (
            ({**named, "value": "dg="}, [b"v", b"", b"v"]),
            ({**named, "value": "\u00e4"}, [b"v", b"", b"v"]),
            ({**named, "value": 7}, [b"v", b"", b"v"]),
            ({**named, "value": None}, [b"v", b"", b"v"]),
            ({**named, "key": 7}, [b"v", b"v"]),
            ({**named, "schemaVersion": -1}, [b"v", b"v"]),
            ({**named, "schemaVersion": 10**400}, [b"v", b"v"]),
            ([named], [b"v", b"v"]),
            (None, [b"v", b"v"]),
            ("row", [b"v", b"v"]),
        )
        for odd, values in odd_rows:
            rows = [sound[0], odd, sound[1]]
            with self.subTest(odd=str(odd)[:60]):
                body = json.dumps({"rows": rows, "schemaVersion": 9, "nowMs": 1}).encode()
                metrics = Metrics()
                store = make_store(Reply(200, body), metrics)
                for _ in range(2):
                    page = get_result(store.read("t", "p"))
                    self.assertEqual([row.value for row in page.rows], values)
                self.assertEqual(metrics.counters["rows_unreadable"], 3 - len(values))
                with self.assertRaises(RowConflictError) as caught:
                    transaction = Transaction("p", (Condition("t", "k", 0),))
                    get_result(make_store(Reply(412, body)).commit(transaction))
                self.assertEqual([row.value for row in caught.exception.rows], values)

    @given(st.lists(make_json_values(), max_size=5))
    @settings(max_examples=60, deadline=None)
    def test_any_rows_between_sound_ones_leave_all_sound_ones(self, odd: list[Any]) -> None:
        """Fails if a row of any form hides a sound row of its page."""
        sound = {"table": "t", "part": "p", "key": "a", "value": "dg==", "schemaVersion": 4}
        rows = [sound, *(row for each in odd for row in (each, sound))]
        body = json.dumps({"rows": rows, "schemaVersion": 9, "nowMs": 1})
        body = body.replace("NaN", "7").replace("Infinity", "7")
        page = get_result(make_store(Reply(200, body.encode())).read("t", "p"))
        self.assertEqual([r.value for r in page.rows if r.key == "a"], [b"v"] * (len(odd) + 1))

    def test_a_page_that_is_no_page_counts_as_no_answer(self) -> None:
        """Fails if such an answer is an unexpected error, or is read on and on."""
        bodies = (
            b"",
            b"[]",
            b"7",
            b"null",
            b'{"rows":7}',
            b'{"rows":[' + b"[" * 5000 + b"]" * 5000 + b"]}",
            b'{"rows":[],"schemaVersion":-1}',
            b'{"rows":[],"schemaVersion":' + b"9" * 400 + b"}",
            b'{"rows":[],"nowMs":1e999}',
            b'{"rows":[7],"hasMore":true}',
            b'{"rows":[],"hasMore":true}',
        )
        for body in bodies:
            with self.subTest(body=body[:40]):
                with self.assertRaises(StoreUnavailableError):
                    get_result(make_store(Reply(200, body)).read("t", "p"))
                with self.assertRaises(StoreOutcomeUnknownError):
                    self.commit(Reply(200, body))

    def test_a_deleted_row_has_no_version(self) -> None:
        body = b'{"rows":[{"table":"t","key":"k","deleted":true,"schemaVersion":9}]}'
        store = make_store(Reply(200, body))
        self.assertEqual(get_result(store.poll_changes("t", 1, 10)).rows[0].version, 0)


class WorkerTest(unittest.TestCase):
    """Commands to workers and their responses."""

    def test_refusals(self) -> None:
        entry = make_entry("w1")
        command = StartRun(("w1", 1), Task(JobId("a" * 16), 0, 0, 0), 1, "spec", 5)  # type: ignore[arg-type]
        rows = (
            (Reply(409, b'{"clockMs":5,"reason":"room"}'), Refusal("room", 5.0)),
            (Reply(409, b'{"clockMs":-1,"reason":"fence"}'), Refusal("fence")),
            (Reply(409, b'{"clockMs":' + b"9" * 400 + b',"reason":"late"}'), Refusal("late")),
            (Reply(421, b""), Refusal("instance")),
            (Reply(503, b""), Refusal("unhealthy")),
            (Reply(200, b'{"clockMs":5}'), 5.0),
        )
        for reply, expected in rows:
            with self.subTest(reply=reply):
                workers = make_client(reply)
                self.assertEqual(get_result(workers.start(entry, 1, command)), expected)

    def test_a_command_with_an_unreadable_response_has_an_unknown_outcome(self) -> None:
        command = StartRun(("w1", 1), Task(JobId("a" * 16), 0, 0, 0), 1, "spec", 5)  # type: ignore[arg-type]
        for reply in (Reply(500, b""), Reply(200, b"{}"), Reply(200, b"[")):
            with self.subTest(reply=reply), self.assertRaises(AnswerLostError):
                workers = make_client(reply)
                get_result(workers.start(make_entry("w1"), 1, command))

    def test_rows_of_runs_with_and_without_load(self) -> None:
        body = (
            b'{"clockMs":1,"born":2,"running":[["a.0.1.2",3,"cp",40],["a.0.1.3",3,"",41,9]],'
            b'"finished":[[5,"a.0.0.0",1,"done",""]]}'
        )
        response = msgspec.json.decode(body, type=WireWorkerStatus).decode()
        self.assertEqual([row.load for row in response.running], [0.0, 9.0])
        self.assertEqual(response.ended[0].task, Task(JobId("a"), 0, 0, 0))

    def test_invalid_run_rows_are_rejected(self) -> None:
        for row in ('["a.0.1",3,"",1]', '["a.0.1.2","x","",1]', "[]", '["a.0.1.2",3]'):
            with self.subTest(row=row), self.assertRaises(ValueError):
                body = f'{{"clockMs":1,"running":[{row}]}}'
                msgspec.json.decode(body, type=WireWorkerStatus).decode()

    def poll(self, body: bytes, metrics: Metrics | None = None, seen: int = 0) -> Any:
        """Poll a worker that answers with a body."""
        client = make_client(Reply(200, body), metrics)
        return get_result(client.poll(make_entry("w1"), 1, seen, None, 0))

    def test_an_odd_running_row_costs_itself_alone(self) -> None:
        """Fails if a poll is lost by one row, or the row's run would count as missing."""
        sound = '["a.0.0.1",1,"cp",40,9]'
        rows: tuple[tuple[str, bool], ...] = (
            ('["a.0.0.2",2,"cp",1e999,9]', True),
            ('["a.0.0.2",2,"cp",' + "9" * 400 + ",9]", True),
            ('["a.0.0.2",2,"cp","x",9]', True),
            ('["a.0.0.2",2,"cp",-1,9]', True),
            ('["a.0.0.2",2,7,40,9]', True),
            ('["a.0.0.2",2,"' + "c" * 10**6 + '",40,9]', True),
            ('["a.0.0.2",2,"",40,[1]]', True),
            ('["a.0.0.2",2]', True),
            ('["a.0.0.2",-2,"",40,9]', False),
            ('["a.0.0.2",' + "9" * 400 + ',"",40,9]', False),
            ('["a.0.0.2",2.5,"",40,9]', False),
            ('["a.0.0.-2",2,"",40,9]', False),
            ('["a.0.0",2,"",40,9]', False),
            ('["a. 0.0.2",2,"",40,9]', False),
            ('["a.0.0.' + "9" * 400 + '",2,"",40,9]', False),
            ('[7,2,"",40,9]', False),
            ("[]", False),
            ("{}", False),
            ("null", False),
        )
        for row, named in rows:
            with self.subTest(row=row[:40]):
                body = f'{{"clockMs":5,"running":[{sound},{row},{sound}],"finished":[]}}'.encode()
                metrics = Metrics()
                client = make_client(Reply(200, body), metrics)
                for _ in range(2):
                    found = get_result(client.poll(make_entry("w1"), 1, 0, None, 0))
                tasks = [(status.task.number, status.number) for status in found.running]
                self.assertEqual(tasks, [(1, 1), *([(2, 2)] if named else []), (1, 1)])
                self.assertEqual(found.incomplete, not named)
                self.assertLess(max(len(status.checkpoint) for status in found.running), 10)
                self.assertEqual(metrics.counters["rows_unreadable"], 1)

    def test_an_odd_end_costs_itself_alone(self) -> None:
        """Fails if another end is lost by it, or no end behind it can be acknowledged."""
        rows: tuple[tuple[str, EndCause | None, int], ...] = (
            ('[7,"a.0.0.2",2,"exploded",""]', EndCause.LOST, 7),
            ('[7,"a.0.0.2",2,7,""]', EndCause.LOST, 7),
            ('[7,"a.0.0.2",2,"done",7]', EndCause.DONE, 7),
            ('[7,"a.0.0.2",2,"done"]', EndCause.DONE, 7),
            ('[7,"a.0.0.2",2,"done","' + "c" * 10**6 + '"]', EndCause.DONE, 7),
            ('["7","a.0.0.2",2,"done",""]', EndCause.DONE, 7),
            ('[-7,"a.0.0.2",2,"done",""]', EndCause.DONE, 7),
            ("[" + "9" * 400 + ',"a.0.0.2",2,"done",""]', EndCause.DONE, 7),
            ('[70000000,"a.0.0.2",2,"exploded",""]', EndCause.LOST, 7),
            ('[70000000,"a.0.0",2,"done",""]', None, 7),
            ('[7,"a.0.0",2,"done",""]', None, 7),
            ('[7,"a.0.0.2",-2,"done",""]', None, 7),
            ('[7,"a.0.0.2",1e999,"done",""]', None, 7),
            ('[7,["a.0.0.2"],2,"done",""]', None, 7),
            ("[7]", None, 7),
            ("[]", None, 7),
            ("null", None, 7),
        )
        for row, cause, seq in rows:
            for before, behind in ((True, True), (True, False), (False, False)):
                with self.subTest(row=row[:40], before=before, behind=behind):
                    listed = [
                        *(['[6,"a.0.0.1",1,"done",""]'] if before else []),
                        row,
                        *(['[8,"a.0.0.3",1,"failed",""]'] if behind else []),
                    ]
                    body = f'{{"clockMs":5,"finished":[{",".join(listed)}]}}'.encode()
                    found = self.poll(body, seen=5 if before else 6)
                    expected = [(6, EndCause.DONE)] if before else []
                    expected += [(seq, cause)] if cause else []
                    expected += [(8, EndCause.FAILED)] if behind else []
                    self.assertEqual([(end.seq, end.cause) for end in found.ended], expected)
                    self.assertEqual(found.skipped_seq, 0 if cause else seq)
                    self.assertEqual({end.checkpoint for end in found.ended} - {""}, set())
                    self.assertEqual(found.incomplete, cause is None)

    @given(st.lists(make_json_values(), max_size=5), st.lists(make_json_values(), max_size=5))
    @settings(max_examples=60, deadline=None)
    def test_any_rows_between_sound_ones_leave_all_runs_and_ends(
        self, odd_running: list[Any], odd_ended: list[Any]
    ) -> None:
        """Fails if a row of any form loses a run or an end."""
        running, ended = [["a.0.0.0", 1, "", 1]], [[1, "a.0.0.1", 1, "done", ""]]
        for number, row in enumerate(odd_running, 1):
            running += [row, ["a.0.0.0", 1 + number, "", 1]]
        for number, row in enumerate(odd_ended, 1):
            ended += [row, [1 + 2 * number, "a.0.0.1", 1 + number, "done", ""]]
        body = json.dumps({"clockMs": 5, "running": running, "finished": ended})
        found = self.poll(body.replace("NaN", "7").replace("Infinity", "7").encode())
        numbers = [run.number for run in found.running if run.task == Task(JobId("a"), 0, 0, 0)]
        self.assertEqual(numbers, list(range(1, 2 + len(odd_running))))
        seqs = [end.seq for end in found.ended if end.task == Task(JobId("a"), 0, 0, 1)]
        self.assertEqual(seqs, list(range(1, 2 + 2 * len(odd_ended), 2)))

    def test_a_status_that_cannot_be_read_counts_as_no_answer(self) -> None:
        """Fails if such an answer is an unexpected error, which would end the worker's polls."""
        deep = b"[" * 5000 + b"]" * 5000
        clocks = (b"NaN", b"1e999", b"9" * 400, b"-1", b'"5"', b"null")
        bodies = (
            *(b'{"clockMs":' + clock + b',"running":[],"finished":[]}' for clock in clocks),
            *(b'{"clockMs":5,"born":' + born + b"}" for born in (b"-1", b"9" * 400, b"1.5")),
            b'{"clockMs":5,"running":' + deep + b"}",
            b'{"clockMs":5,"running":[' + deep + b"]}",
            b'{"clockMs":5,"running":7}',
            b'{"clockMs":5,"finished":{}}',
            b"[]",
            b"",
            deep,
        )
        command = StartRun(("w1", 1), Task(JobId("a" * 16), 0, 0, 0), 1, "spec", 5)  # type: ignore[arg-type]
        for body in bodies:
            with self.subTest(body=body[:40]), self.assertRaises(AnswerLostError):
                self.poll(body)
            with self.subTest(body=body[:40], refused=True), self.assertRaises(AnswerLostError):
                get_result(make_client(Reply(409, body)).start(make_entry("w1"), 1, command))
        for body in (deep, b'{"clockMs":' + b"9" * 400 + b"}", b'{"clockMs":-1}'):
            with self.subTest(body=body[:40], started=True), self.assertRaises(AnswerLostError):
                get_result(make_client(Reply(200, body)).start(make_entry("w1"), 1, command))

    def test_task_names(self) -> None:
        task = Task(JobId("5c0e7a21d94b36f8"), 0, 1, 17)
        self.assertEqual(format_task_name(task), "5c0e7a21d94b36f8.0.1.17")
        self.assertEqual(parse_task_name("5c0e7a21d94b36f8.0.1.17"), task)


class RegistryTest(unittest.TestCase):
    """Worker entries, some of them invalid."""

    GOOD: dict[str, Any] = {
        "service": "s",
        "address": "10.1.0.1:80",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1, "taskMemoryMb": 2, "gpu": 3},
        "labels": ["a", "r1-3"],
        "born": 7,
    }

    def test_invalid_worker_entries_are_ignored(self) -> None:
        values: tuple[Any, ...] = (
            self.GOOD,
            {**self.GOOD, "state": "asleep"},
            {key: value for key, value in self.GOOD.items() if key != "address"},
            {**self.GOOD, "capacity": "all"},
            "text",
        )
        rows = [
            {
                "table": "servers",
                "key": f"w{number}",
                "value": b64encode(json.dumps(value).encode()).decode(),
                "schemaVersion": 1,
            }
            for number, value in enumerate(values)
        ]
        rows.append({"table": "servers", "key": "w9", "value": "/w==", "schemaVersion": 1})
        body = json.dumps({"rows": rows, "schemaVersion": 1, "nowMs": 1}).encode()
        store = make_store(Reply(200, body))
        (entry,) = get_result(PlatformRegistry(store, UnreadableRows(Metrics())).list_workers())
        self.assertEqual(
            (entry.id, entry.kind, entry.rack, entry.incarnation), ("w0", "a", "r1-3", 7)
        )

    def test_an_entry_with_figures_or_texts_out_of_bounds_names_no_worker(self) -> None:
        """Fails if a worker is used that can't be reached, or whose figures fit in no row."""
        huge = 10**400
        cases: tuple[tuple[str, Any], ...] = (
            *(
                ("capacity", {**self.GOOD["capacity"], "cpu": cpu})
                for cpu in (-1, huge, 2**63, 10**12)
            ),
            *(("capacity", {**self.GOOD["capacity"], "taskMemoryMb": n}) for n in (-1, huge)),
            *(("capacity", {**self.GOOD["capacity"], "gpu": gpu}) for gpu in (-1, huge)),
            *(("born", born) for born in (-1, huge, 2**64, 10**15, 1e30, "7")),
            *(("remainingMs", left) for left in (-1, huge, "soon")),
            *(("labels", labels) for labels in ([1], "a", [["a"]], ["x" * 201], ["x"] * 65)),
            *(("service", name) for name in (7, "s" * 201)),
            *(("address", "10.1.0.1" + port) for port in ("", ":", ":0", ":99999", ":-1", ":8x")),
            *(("address", text) for text in (":80", "a b:80", "a\n:80", "a:80 ", "ä:80", "a/b:80")),
            ("address", "a" * 400 + ":80"),
        )
        for field, value in cases:
            with self.subTest(field=field, value=str(value)[:30]):
                data = json.dumps({**self.GOOD, field: value}).encode()
                with self.assertRaises(UnreadableError):
                    decode_worker("w1", data)
        for literal in (b"NaN", b"1e999", b"-Infinity"):
            data = json.dumps({**self.GOOD, "remainingMs": 1}).encode()
            with self.subTest(literal=literal), self.assertRaises(UnreadableError):
                decode_worker("w1", data.replace(b'"remainingMs": 1', b'"remainingMs": ' + literal))
        for name in ("", "w" * 201, "w 1", "w\r\nx: 1"):
            with self.subTest(name=name[:10]), self.assertRaises(UnreadableError):
                decode_worker(name, json.dumps(self.GOOD).encode())

    def test_the_largest_figures_of_an_entry_fit_in_the_roster(self) -> None:
        """Fails if an entry is accepted with which no later commit of its owner succeeds."""
        capacity = dict.fromkeys(("cpu", "taskMemoryMb", "gpu"), MAX_CAPACITY)
        value = {**self.GOOD, "capacity": capacity, "born": MAX_UNIX_MS, "remainingMs": MAX_FIGURE}
        entry = decode_worker("w" * 200, json.dumps(value).encode())
        self.assertEqual(decode_msgpack(encode(RosterRow([entry])), RosterRow).workers, [entry])

    @given(st.lists(st.one_of(st.binary(max_size=40), make_json_values()), max_size=6))
    @settings(max_examples=60, deadline=None)
    def test_any_entries_between_sound_ones_leave_all_sound_ones(self, odd: list[Any]) -> None:
        """Fails if one entry of another writer hides one of a worker."""
        values = [each if isinstance(each, bytes) else json.dumps(each).encode() for each in odd]
        sound = json.dumps(self.GOOD).encode()
        rows = [
            {
                "table": "servers",
                "key": f"{number:02}{'' if value is sound else '-odd'}",
                "value": b64encode(value).decode(),
                "schemaVersion": number + 1,
            }
            for number, value in enumerate([sound, *(v for o in values for v in (o, sound))])
        ]
        body = json.dumps({"rows": rows, "schemaVersion": 99, "nowMs": 1}).encode()
        store = make_store(Reply(200, body))
        found = get_result(PlatformRegistry(store, UnreadableRows(Metrics())).list_workers())
        names = [row["key"] for row in rows if "-odd" not in str(row["key"])]
        self.assertEqual([entry.id for entry in found if "-odd" not in entry.id], names)

    def test_labels_may_be_missing(self) -> None:
        entry = msgspec.convert({**self.GOOD, "labels": []}, WireWorker).decode("w")
        self.assertEqual((entry.kind, entry.rack), ("", ""))


class AdviceTest(unittest.TestCase):
    """Answers of the placement service."""

    def ask(self, body: bytes) -> Advice:
        """Ask a service that answers with a body."""
        client: Any = FixedHttpClient(Reply(200, body))
        adviser = PlatformAdviser(client, "adviser", UnreadableRows(Metrics()))
        found = get_result(adviser.request_advice(Task(JobId("a"), 0, 0, 0), ("w1",), 1.0))
        assert isinstance(found, Advice)
        return found

    def test_an_odd_row_costs_its_worker_alone(self) -> None:
        """Fails if no worker is allowed, or one is denied for good, by one odd row."""
        rows = (
            ('["w2",7]', [("w2", "")]),
            ('["w2"]', [("w2", "")]),
            ('["w2",1e999]', [("w2", "")]),
            ('["w2","t2",3]', [("w2", "t2")]),
            ('[7,"t2"]', []),
            ('["' + "w" * 10**6 + '","t2"]', []),
            ("[]", []),
            ("null", []),
            ('{"w2":"t2"}', []),
        )
        for row, expected in rows:
            with self.subTest(row=row):
                body = f'{{"allowed":[["w1","t1"],{row},["w3","t3"]],"validityMs":5}}'
                found = self.ask(body.encode())
                self.assertEqual(found.allowed, (("w1", "t1"), *expected, ("w3", "t3")))
                self.assertEqual(found.valid_ms, 5)

    def test_an_answer_that_cannot_be_read_is_lost(self) -> None:
        """Fails if a step waits for ever for the advice of such an answer."""
        deep = b"[" * 5000 + b"]" * 5000
        for body in (
            b"",
            deep,
            b'{"allowed":' + deep + b"}",
            b'{"allowed":7}',
            b'{"validityMs":-1}',
        ):
            with self.subTest(body=body[:30]), self.assertRaises(AnswerLostError):
                self.ask(body)


class SettingsTest(unittest.TestCase):
    """The operator's configuration."""

    def test_the_longest_prefix_wins(self) -> None:
        routes = [
            {"name": name, "host": "h", "prefix": prefix, "service": "s"}
            for name, prefix in (("short", "/a/"), ("long", "/a/b/"))
        ]
        value = json.dumps({"version": 3, "routes": routes, "services": [{"name": "s"}]}).encode()
        settings = PlatformSettingsDecoder(UnreadableRows(Metrics())).decode(value)
        rows = (
            ("h", "/a/1", "short"),
            ("h", "/a/b/1", "long"),
            ("h", "/c", None),
            ("x", "/a/", None),
        )
        for host, path, name in rows:
            with self.subTest(path=path):
                queue = settings.find_queue(host, path)
                self.assertEqual(queue.name if queue else None, name)

    def test_an_invalid_configuration_is_an_error(self) -> None:
        deep = b"[" * 5000 + b"]" * 5000
        values = (
            b"",
            b"{}",
            b"[]",
            deep,
            b'{"version":"x"}',
            b'{"version":-1}',
            b'{"version":1e999}',
            b'{"version":' + b"9" * 400 + b"}",
            b'{"version":1,"routes":{}}',
            b'{"version":1,"services":7}',
            b'{"version":1,"other":' + deep + b"}",
        )
        for value in values:
            with self.subTest(value=value), self.assertRaises(ValueError):
                PlatformSettingsDecoder(UnreadableRows(Metrics())).decode(value)

    def test_an_odd_route_or_service_costs_itself_alone(self) -> None:
        """Fails if a configuration is not in force, for all queues, because of one of them."""
        route = {"name": "q", "host": "h", "prefix": "/a/", "service": "s"}
        odd_routes: tuple[Any, ...] = (
            {},
            None,
            "q",
            {**route, "name": 7},
            {**route, "priority": 10**400},
            {**route, "maxAttempts": -1},
            {**route, "targetDurationMs": "soon"},
            {**route, "recommendation": {"periodMs": -1}},
        )
        for odd in odd_routes:
            with self.subTest(odd=str(odd)[:60]):
                metrics = Metrics()
                value = {
                    "version": 3,
                    "routes": [odd, route],
                    "services": [{"name": 7}, {"name": "s", "enforcesCapacity": True}, "s2"],
                }
                decoder = PlatformSettingsDecoder(UnreadableRows(metrics))
                found = decoder.decode(json.dumps(value).encode())
                self.assertEqual([queue.name for queue in found.queues], ["q"])
                self.assertEqual((found.pools, found.guarded), ({"s"}, {"s"}))
                self.assertEqual(metrics.counters["rows_unreadable"], 3)


class Body:
    """Hold the body of a request."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def read(self) -> bytes:
        """Return the whole body."""
        return self._data


class FakeRequest:
    """Request of a caller."""

    def __init__(self, method: str, path: str, body: bytes = b"", host: str = "h") -> None:
        self.method = method.encode()
        self.path = path.encode()
        self.content = Body(body)
        self._host = host

    def getHeader(self, name: str) -> str:
        """Return the host."""
        return self._host


class JobsResourceTest(unittest.TestCase):
    """Responses to callers."""

    def setUp(self) -> None:
        """Start a cell."""
        self.cell = SimulatedCell(2, 2)
        self.cell.run(2.0)

    def send(self, method: str, path: str, body: Any = b"", host: str = "h") -> Response:
        """Send a request and return its response."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        resource = JobsResource(self.cell.nodes["entry-0"].instance)
        request: Any = FakeRequest(method, path, data, host)
        found: list[Response] = []
        Deferred.fromCoroutine(resource._route(request)).addCallback(found.append)
        self.cell.run(1.0)
        return found[0]

    def test_statuses(self) -> None:
        job = {"spec": "x", "steps": [{"count": 1, "estimatedDurationMs": 50}]}
        name = "0123456789abcdef"
        self.cell.platform.checker.jobs[name] = job
        rows: tuple[tuple[str, str, Any, int], ...] = (
            ("POST", f"/routing/{name}", b"{", 400),
            ("POST", f"/routing/{name}", {"spec": "x", "steps": []}, 400),
            ("POST", f"/routing/{name}", {"spec": 1, "steps": job["steps"]}, 400),
            ("GET", f"/routing/{name}", b"", 410),
            ("DELETE", f"/routing/{name}", b"", 410),
            ("POST", f"/routing/{name}", job, 200),
            ("POST", f"/routing/{name}", job, 200),
            ("GET", f"/routing/{name}", b"", 200),
            ("DELETE", f"/routing/{name}", b"", 200),
            ("GET", "/routing/", b"", 200),
            ("GET", "/nowhere/", b"", 404),
            ("GET", "/routing/NOT-AN-ID", b"", 404),
            ("PUT", f"/routing/{name}", b"", 405),
        )
        for method, path, body, status in rows:
            with self.subTest(method=method, path=path, status=status):
                self.assertEqual(self.send(method, path, body).status, status)
        self.assertEqual(self.send("GET", "/routing/", host="other").status, 404)

    def test_a_job_with_figures_out_of_bounds_is_refused_at_once(self) -> None:
        """Fails if such a job gets a 504, is repeated for ever, or stops the process."""
        deep = b"[" * 5000 + b"]" * 5000
        step = {"count": 1, "estimatedDurationMs": 50}
        figures = ("count", "cpu", "taskMemoryMb", "gpu", "estimatedDurationMs", "maxPerServer")
        more_figures = ("targetMs", "maxMissing")
        texts = (b"-1", b"NaN", b"1e999", b"9" * 400, b"9223372036854775808", b'"1"', b"null")
        bodies = [
            b'{"spec":"x","steps":[{'
            + b",".join([b'"count":1', b'"%s":%s' % (name, text)])
            + b"}]}"
            for name in map(str.encode, (*figures, *more_figures))
            for text in texts
        ]
        bodies += [
            b'{"spec":"x","steps":[{"count":1,"%s":%d}]}' % (name, MAX_AMOUNT + 1)
            for name in (b"cpu", b"taskMemoryMb", b"gpu")
        ]
        whole = json.dumps({"spec": "x", "steps": [step]}).encode()[:-1]
        bodies += [
            whole + b',"%s":%s}' % (name, text)
            for name in (b"repeatCount", b"startAtMs", b"intervalMs")
            for text in texts
        ]
        bodies += [
            whole + b',"repeatCount":%d}' % (MAX_FIGURE + 1),
            whole + b',"other":' + deep + b"}",
            b'{"spec":"x","steps":' + deep + b"}",
            b'{"spec":"x","steps":[{"count":1,"after":[-1]}]}',
            b'{"spec":"x","steps":[{"count":1,"after":[' + b"9" * 400 + b"]}]}",
            b'{"spec":"\\ud800","steps":[{"count":1}]}',
            b'{"spec":"x","steps":[{"count":1,"image":"\\udfff"}]}',
            deep,
            b"\xff",
        ]
        for body in bodies:
            with self.subTest(body=body[:90]):
                answer = self.send("POST", "/routing/0123456789abcdef", body)
                self.assertEqual(answer.status, 400)
                self.assertTrue(answer.body["error"])
                msgspec.json.encode(answer.body)
        self.assertNotIn("0123456789abcdef", str(self.cell.platform.rows))

    def test_the_largest_figures_of_a_job_fit_in_its_row(self) -> None:
        """Fails if a job is accepted that no owner can read."""
        needs = ("cpu", "taskMemoryMb", "gpu")
        figures = ("estimatedDurationMs", "maxPerServer", "targetMs", "maxMissing")
        step = {
            "count": 5000,
            **dict.fromkeys(needs, MAX_AMOUNT),
            **dict.fromkeys(figures, MAX_FIGURE),
        }
        times = {"startAtMs": MAX_FIGURE, "intervalMs": MAX_FIGURE}
        body = {"spec": "x", "steps": [step], "repeatCount": MAX_FIGURE, **times}
        spec = decode_job_body(json.dumps(body).encode())
        job = AcceptedJob(JobId("a"), make_queue(), spec, 1)
        self.assertEqual(decode_job(encode(job)), job)

    def test_a_rejection_has_a_retry_delay(self) -> None:
        self.cell.platform.store_mode = "busy"
        self.cell.run(1.0)
        answer = self.send(
            "POST", "/routing/0123456789abcdef", {"spec": "", "steps": [{"count": 1}]}
        )
        self.assertEqual(answer.status, 503)
        self.assertGreater(answer.retry_after_s, 0)


if __name__ == "__main__":
    unittest.main()
