"""Tests of the command line, its subcommands and completion."""

import io
import itertools
import os
import subprocess
import sys
import tempfile
import unittest
from functools import partial
from pathlib import Path
from unittest import mock

import msgspec
from twisted.internet.task import Clock

from lavenderstall import cmdline
from lavenderstall.access import matches_hash
from lavenderstall.bodies import (
    ApplyAnswer,
    ApplyRequest,
    JobAnswer,
    JobRequest,
    QueryRequest,
    Rejection,
    SpanInfo,
    TraceAnswer,
)
from lavenderstall.changes import ChangeRefusedError, ItemKey, VersionConflictError
from lavenderstall.cmdline import join_words, main, make_parsers
from lavenderstall.commands import STATUS_HELP, Session, Status, describe_unfinished_tasks
from lavenderstall.configuration import ChangeDraft, Configuration, ConfigurationView
from lavenderstall.declarations import Source, read_declarations
from lavenderstall.errors import Outcome
from lavenderstall.identifiers import EntryId, JobId, RequestId, TeamName, ZoneName
from lavenderstall.inventory import (
    Answer,
    EntryInfo,
    EntryState,
    Inventory,
    JobInfo,
    MissingPart,
    make_change_info,
)
from lavenderstall.protocol import Kind, TaskState
from lavenderstall.query.evaluation import evaluate
from lavenderstall.query.execution import execute
from lavenderstall.query.parser import parse_statement
from lavenderstall.query.routing import get_required_right
from lavenderstall.schemas import Right, Team, get_kind
from tests.entries import FakeEntry, Reply, Seen
from tests.support import FakeTable, run

TEAM = "kind: team\nname: t\nweight: {}\n"
JOBS = "kind: batch\nname: {}\nteam: t\ntasks: 1\nresources: {{}}\n"
TRACE = TraceAnswer(
    RequestId("q"),
    (
        SpanInfo("forward", "2", "1", EntryId("e2"), start_unix_us=5, duration_us=1500),
        SpanInfo(
            "call",
            "1",
            "",
            EntryId("e1"),
            duration_us=2500,
            attributes={"service": "s", "reason": ""},
        ),
    ),
)


class FakeServer:
    """Fake entry instance with a configuration stored in one table."""

    def __init__(self) -> None:
        nonces = map(str, itertools.count())
        view = ConfigurationView(Clock())
        self.configuration = Configuration(
            FakeTable(), view, Clock(), lambda: 9, lambda: next(nonces)
        )
        self.missing: tuple[MissingPart, ...] = ()
        self.behind = 0

    def query(self, body: bytes) -> Answer:
        request = msgspec.json.decode(body, type=QueryRequest)
        statement = parse_statement(request.text)
        if get_required_right(statement) is Right.CHANGE or "preview" in request.text:
            coroutine = execute(
                statement, self.configuration, author="ana", unix_ms=lambda: 9, seen=request.seen
            )
            return run(coroutine)
        changes = [make_change_info(each, 9) for each in run(self.configuration.list_changes())]
        entry = EntryInfo(EntryId("e1"), ZoneName("z"), EntryState.LIVE)
        self.behind -= 1
        inventory = Inventory(changes=changes, entries=[entry] if self.behind >= 0 else [])
        answer = evaluate(statement, inventory)
        return msgspec.structs.replace(answer, missing=self.missing)

    def apply(self, body: bytes) -> ApplyAnswer:
        request = msgspec.json.decode(body, type=ApplyRequest)
        declared = [each.value for each in read_declarations([Source("", request.documents)])]
        wanted = {ItemKey(get_kind(each), each.name): each for each in declared}
        draft = ChangeDraft("ana", request.reason, wanted)
        applied = run(self.configuration.apply(draft, seen=request.seen, preview=request.preview))
        change = make_change_info(applied.change, 9) if applied.change else None
        return ApplyAnswer(applied.version, change, applied.differences, applied.committed)

    def answer(self, request: Seen) -> Reply:
        try:
            if request.headers.get("Authorization") != "Bearer ana.secret":
                return self.reject(401, "denied")
            if request.path == "/v1/query":
                return Reply(200, msgspec.json.encode(self.query(request.body)))
            if request.path == "/v1/apply":
                return Reply(200, msgspec.json.encode(self.apply(request.body)))
            if request.path == "/v1/jobs":
                job = msgspec.json.decode(request.body, type=JobRequest)
                return Reply(202, msgspec.json.encode(JobAnswer(job.id)))
            if request.path == "/v1/traces/q":
                return Reply(200, msgspec.json.encode(TRACE))
            if request.path == "/v1/calls/echo":
                return Reply(200, request.body[::-1])
        except (VersionConflictError, ChangeRefusedError) as error:
            return self.reject(409, str(error))
        return self.reject(404, "not found")

    def reject(self, status: int, detail: str) -> Reply:
        rejection = Rejection(Outcome.NOT_RUN, "refused", detail, retry_after_ms=1500)
        return Reply(status, msgspec.json.encode(rejection))


class CommandLineTest(unittest.TestCase):
    """Guards against wrong exit statuses, lost arguments, and secrets in the output."""

    def setUp(self) -> None:
        self.server = FakeServer()
        self.entry = FakeEntry(self.server.answer)
        self.addCleanup(self.entry.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.environment = {
            "LAVENDERSTALL_ENTRY": f"http://127.0.0.1:9, {self.entry.url}",
            "LAVENDERSTALL_TOKEN_FILE": self.write("token", "ana.secret\n"),
        }

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return str(path)

    def main(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.TextIOWrapper(io.BytesIO(), "utf-8", newline=""), io.StringIO()
        with (
            mock.patch.dict(os.environ, self.environment),
            mock.patch.multiple(sys, stdout=out, stderr=err),
            mock.patch("time.sleep", side_effect=AssertionError),
        ):
            status = main(arguments)
            out.flush()
        text = out.buffer.getvalue().decode()
        self.assertNotIn("ana.secret", text + err.getvalue())
        self.assertNotIn("Traceback", err.getvalue())
        return status, text, err.getvalue()

    def test_change_is_previewed_applied_and_undone(self) -> None:
        file = self.write("team.yaml", TEAM.format(1))
        for arguments, status, words in (
            (("check", file), 0, "1 declarations are valid"),
            (("diff", file), 1, "+ team/t"),
            (("diff", file), 1, "1 item differs from version 0"),
            (("apply", file, "--reason", "new team"), 0, "accepted as change 1"),
            (("apply", file), 0, "nothing to change from version 1"),
            (("diff", file), 0, "no item differs from version 1"),
            (("show", "changes", "where", "author", "=", "ana"), 0, "new team"),
            (
                ("set", "team", "t", "weight", "=", "3", "because", "it", "grows"),
                0,
                "weight: 1 -> 3",
            ),
            (("query", "show change 2"), 0, "reason: it grows"),
            (("undo", "2", "--preview"), 0, "would be change 3\n~ team/t"),
            (("undo", "2", "--preview"), 0, "preview: nothing was changed"),
            (("undo", "1", "--reason", "x"), 3, "change 2 by ana (it grows) touches team/t"),
            (("undo", "2", "--reason", "too early"), 0, "weight: 3 -> 1"),
            (("undo", "9", "--reason", "x"), 3, "does not exist"),
            (("drain", "worker", "w", "because", "x", "--seen", "1"), 3, "overtaken by change 2"),
            (("apply", self.write("b.yaml", TEAM.format(7)), "--seen", "2"), 3, "change 3 by ana"),
        ):
            with self.subTest(arguments=arguments):
                found, out, err = self.main(*arguments)
                self.assertEqual(found, status, err)
                self.assertIn(words, out + err)

    def test_apply_changes_what_the_preview_showed(self) -> None:
        file = self.write("team.yaml", TEAM.format(1))
        preview, other = self.server.apply, {ItemKey("team", "u"): Team("u")}

        def overtake(body: bytes) -> ApplyAnswer:
            answer = preview(body)
            run(self.server.configuration.apply(ChangeDraft("ben", "first", other)))
            return answer

        with mock.patch.object(self.server, "apply", overtake):
            status, _, err = self.main("apply", file)
        self.assertEqual((status, "overtaken by change 1 by ben" in err), (Status.REFUSED, True))

    def test_invalid_input_sends_nothing(self) -> None:
        bad = self.write("bad.yaml", "kind: team\nname: t\nwieght: 1\n")
        two = self.write("two.yaml", JOBS.format("a") + "---\n" + JOBS.format("b"))
        for arguments, words in (
            (("check", bad), f"{bad}:3: field 'wieght'"),
            (("apply", bad), "did you mean 'weight'"),
            (("diff", str(self.folder / "none")), "no such file"),
            (("show", "taks"), "did you mean 'tasks'"),
            (("query", "show", "tasks", "where", "zne", "=", "a"), "                 ^"),
            (("watch", 'drain worker w because "x"'), "cannot be watched"),
            (("submit", two), "batch a, batch b"),
            (("call", "echo", "--data", str(self.folder / "none")), "No such file"),
            (("show", "tasks", "--output", "xml"), "must be one of table, json"),
            (("show", "tasks", "--entry", "ftp://x"), "must look like http://"),
            (("show", "tasks", "--token-file", bad), "does not hold one token"),
            (("frobnicate",), "no command 'frobnicate' (known: check,"),
            (("shw",), "did you mean 'show'?"),
            ((), "required: COMMAND; see lavenderstall --help"),
        ):
            with self.subTest(arguments=arguments):
                status, _, err = self.main(*arguments)
                self.assertEqual((status, self.entry.seen), (Status.INVALID, []), err)
                self.assertIn(words, err)

    def test_other_statuses(self) -> None:
        self.server.missing = (MissingPart("timeout", EntryId("e9")),)
        status, out, _ = self.main("show", "entries")
        self.assertEqual((status, "missing: e9: timeout" in out), (Status.PARTIAL, True))
        denied = self.write("other", "ben.secret")
        self.assertEqual(self.main("show", "tasks", "--token-file", denied)[0], Status.DENIED)
        status, _, err = self.main("show", "tasks", "--entry", "http://127.0.0.1:9")
        self.assertEqual((status, "connection refused" in err), (Status.UNREACHABLE, True))
        self.assertIn("try again in 1.5 s", self.main("status", "x")[2])
        entry = FakeEntry(lambda _: Reply(length=None))
        self.addCleanup(entry.close)
        found = self.main("undo", "1", "--reason", "x", "--entry", entry.url)
        self.assertEqual((found[0], "may have been carried out" in found[2]), (6, True))
        self.assertEqual(set(STATUS_HELP), set(Status))

    def test_work(self) -> None:
        job = self.write("job.yaml", JOBS.format("nightly"))
        self.assertEqual(self.main("submit", job, "--id", "n1")[:2], (0, "accepted job n1\n"))
        body = self.write("body", "abc")
        self.assertEqual(self.main("call", "echo", "--data", body, "--once")[:2], (0, "cba"))
        self.assertEqual(self.entry.seen[-1].headers["X-Idempotent"], "no")
        self.assertEqual(
            self.main("trace", "q")[1].splitlines(),
            ["call e1 2.50ms service=s", "  forward e2 1.50ms"],
        )

    def test_status_of_a_job_that_has_not_ended(self) -> None:
        job = JobInfo(JobId("n1"), TeamName("t"), Kind.BATCH, TaskState.WAITING, tasks=3, waiting=2)
        text = describe_unfinished_tasks(JobAnswer(job.id, job))
        self.assertIn("2 have not ended", text)
        parse_statement(text.partition(": ")[2])
        ended = msgspec.structs.replace(job, waiting=0)
        self.assertEqual(describe_unfinished_tasks(JobAnswer(job.id, ended)), "")

    def test_token_matches_its_hash(self) -> None:
        status, out, _ = self.main("token", "ana")
        token, hashed = (line.partition(": ")[2] for line in out.splitlines())
        self.assertEqual((status, matches_hash(token, hashed)), (Status.OK, True))
        self.assertTrue(token.startswith("ana."))

    def test_wait_and_watch(self) -> None:
        file = self.write("team.yaml", TEAM.format(1))
        status, _, err = self.main("apply", file, "--wait")
        self.assertEqual((status, "in effect everywhere" in err), (0, True))
        self.server.behind = 1
        file = self.write("team.yaml", TEAM.format(2))
        with mock.patch.object(cmdline, "Session", partial(Session, sleep=lambda _: None)):
            status, _, err = self.main("apply", file, "--wait", "--wait-timeout", "0.5")
        self.assertEqual((status, "not in effect" in err), (Status.PARTIAL, True))
        out = self.main("watch", "count changes", "--times", "1")[1]
        self.assertEqual(out, "COUNT\n2\n")

    def test_json_is_an_answer(self) -> None:
        out = self.main("show", "entries", "--output", "json")[1]
        self.assertEqual(msgspec.json.decode(out, type=Answer).total, 0)

    def test_help_of_a_verb(self) -> None:
        self.assertIn("example: drain rack", self.main("drain", "--help")[1])
        self.assertIn("fields of slices: ", self.main("show", "--help")[1])

    def test_every_argument_has_help(self) -> None:
        _, children = make_parsers()
        bare = [
            f"{name} {action.dest}"
            for name, child in children.items()
            for action in child._actions
            if not action.help and action.choices is None
        ]
        self.assertEqual(bare, [])


class JoinWordsTest(unittest.TestCase):
    """Guards against statements that change when the shell removes their quotes."""

    def test_join(self) -> None:
        for words, expected in (
            (["show tasks"], "show tasks"),
            (["show", "tasks where age > 5m"], "show tasks where age > 5m"),
            (["a", "because", "b c", "d"], 'a because "b c d"'),
            (["a", "because", '"b"'], 'a because "b"'),
            (["a", "because", 'b"c\\'], 'a because "b\\"c\\\\"'),
            (["a", "because"], "a because"),
        ):
            with self.subTest(words=words):
                self.assertEqual(join_words(words), expected)


class CompletionTest(unittest.TestCase):
    """Guards against completion scripts that a shell cannot run."""

    def test_scripts(self) -> None:
        for shell in ("bash", "zsh"):
            with mock.patch.object(sys, "stdout", io.StringIO()) as out:
                self.assertEqual(main(["completion", shell]), 0)
            for word in ("quarantine", "--token-file", "oldest_wait"):
                self.assertIn(word, out.getvalue())
        script = out.getvalue().split("\n", 2)[2] + (
            "\nCOMP_WORDS=(lavenderstall show ta) COMP_CWORD=2"
            "\n_lavenderstall; echo ${COMPREPLY[@]}"
        )
        done = subprocess.run(
            ["bash", "-c", script], capture_output=True, text=True, timeout=20, check=True
        )
        self.assertEqual(done.stdout.split(), ["tasks", "task"])
