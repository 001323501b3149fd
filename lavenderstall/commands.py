"""Subcommands of the command line; each returns an exit status."""

import time
import uuid
from argparse import Namespace
from collections.abc import Callable, Iterable
from enum import IntEnum
from pathlib import Path
from typing import BinaryIO, TextIO

import msgspec

from lavenderstall.access import make_token
from lavenderstall.bodies import (
    ApplyAnswer,
    ApplyRequest,
    JobAnswer,
    JobRequest,
    SpanInfo,
    TraceAnswer,
)
from lavenderstall.client import Client
from lavenderstall.declarations import (
    LocatedDeclaration,
    Source,
    list_dangling_references,
    read_declarations,
)
from lavenderstall.errors import BadRequestError
from lavenderstall.identifiers import JobId, RequestId, ServiceName
from lavenderstall.inventory import Answer, JobInfo
from lavenderstall.query.formatters import get_formatter
from lavenderstall.query.formatters.table import format_differences
from lavenderstall.query.parser import parse_statement
from lavenderstall.query.routing import get_required_right
from lavenderstall.schemas import Batch, Gang, Right, export_schema, get_kind

CLEAR_SCREEN = "\x1b[H\x1b[2J"
WAIT_INTERVAL_S = 0.5


class Status(IntEnum):
    """Exit statuses; `STATUS_HELP` documents them."""

    OK = 0
    DIFFERENT = 1
    INVALID = 2
    REFUSED = 3
    UNREACHABLE = 4
    DENIED = 5
    UNKNOWN = 6
    PARTIAL = 7


STATUS_HELP: dict[Status, str] = {
    Status.OK: "done; nothing differs",
    Status.DIFFERENT: "diff: the declarations differ from the cell",
    Status.INVALID: "an option, declaration or statement is invalid; nothing was sent or changed",
    Status.REFUSED: "refused, such as after another operator's change; nothing was changed",
    Status.UNREACHABLE: "no entry instance answered; nothing was changed",
    Status.DENIED: "the token is missing, not known or lacks the right",
    Status.UNKNOWN: "the answer was lost; the request may have been carried out",
    Status.PARTIAL: "parts of the answer are missing, or a change is not in effect everywhere yet",
}


class Session(msgspec.Struct):
    """Client, streams and output format of a subcommand; tests replace `sleep` and `make_id`."""

    client: Client
    out: TextIO
    err: TextIO
    raw_out: BinaryIO
    output: str = "table"
    colour: bool = False
    sleep: Callable[[float], None] = time.sleep
    make_id: Callable[[], str] = lambda: uuid.uuid4().hex

    def print(self, value: object, text: str) -> None:
        """Print a value as JSON or as text, depending on the output option."""
        if self.output == "json":
            text = msgspec.json.format(msgspec.json.encode(value), indent=2).decode() + "\n"
        self.out.write(text)

    def print_answer(self, answer: Answer) -> Status:
        """Print an answer and return the exit status, which is partial if parts are missing."""
        self.out.write(get_formatter(self.output).format(answer, colour=self.colour))
        return Status.PARTIAL if answer.missing else Status.OK


def read_sources(files: Iterable[str]) -> list[Source]:
    """Return the names and contents of files, or raise `BadRequestError`."""
    sources = []
    for file in files:
        try:
            sources.append(Source(file, Path(file).read_text(encoding="utf-8")))
        except (OSError, UnicodeDecodeError) as error:
            detail = getattr(error, "strerror", None) or str(error)
            raise BadRequestError(f"{file}: {detail.lower()}", step="files") from None
    return sources


def _join_documents(sources: Iterable[Source]) -> str:
    return "\n---\n".join(source.text for source in sources)


def check(session: Session, options: Namespace) -> Status:
    """Check declarations without an entry instance."""
    declared = read_declarations(read_sources(options.files))
    for sentence in list_dangling_references(each.value for each in declared):
        session.err.write(f"note: {sentence} in these files\n")
    session.print([each.value for each in declared], f"{len(declared)} declarations are valid\n")
    return Status.OK


def schema(session: Session, options: Namespace) -> Status:
    """Print the JSON Schema of declarations."""
    session.out.write(msgspec.json.format(msgspec.json.encode(export_schema())).decode() + "\n")
    return Status.OK


def token(session: Session, options: Namespace) -> Status:
    """Make a token for an operator or team, and the hash that declares it."""
    made, hashed = make_token(options.name)
    session.print({"token": made, "hash": hashed}, f"token: {made}\nhash: {hashed}\n")
    return Status.OK


def _preview(session: Session, options: Namespace) -> tuple[str, ApplyAnswer]:
    """Return the declarations as one text, and a preview of applying it."""
    sources = read_sources(options.files)
    read_declarations(sources)
    documents = _join_documents(sources)
    request = ApplyRequest(documents, preview=True, seen=getattr(options, "seen", None))
    return documents, session.client.apply(request)


def diff(session: Session, options: Namespace) -> Status:
    """Show how declarations differ from the cell."""
    _, answer = _preview(session, options)
    text = format_differences(answer.differences, colour=session.colour)
    session.print(answer, f"{text}{_count_differences(answer)} from version {answer.version}\n")
    return Status.DIFFERENT if answer.differences else Status.OK


def _count_differences(answer: ApplyAnswer) -> str:
    number = len(answer.differences)
    if number > 1:
        return f"{number} items differ"
    return f"{number or 'no'} item differs"


def apply(session: Session, options: Namespace) -> Status:
    """Apply declarations to the version that was previewed."""
    documents, preview = _preview(session, options)
    if not preview.differences:
        session.print(preview, f"nothing to change from version {preview.version}\n")
        return Status.OK
    seen = preview.version if options.seen is None else options.seen
    answer = session.client.apply(ApplyRequest(documents, options.reason, seen))
    text = format_differences(answer.differences, colour=session.colour)
    text += f"accepted as change {answer.change.id}\n" if answer.change else "nothing to change\n"
    text += "".join(f"note: {sentence}\n" for sentence in answer.dangling)
    if options.wait:
        session.print(answer, text)
        return _wait_until_in_effect(session, answer, options.wait_timeout)
    if answer.pending:
        text += f"not yet in effect at {', '.join(answer.pending)}\n"
    session.print(answer, text)
    return Status.OK


def _wait_until_in_effect(session: Session, answer: ApplyAnswer, timeout_s: float) -> Status:
    """Wait until a change is in effect on every live entry instance."""
    text = f"show entries where version < {answer.version} and state != suspect"
    for _ in range(max(1, round(timeout_s / WAIT_INTERVAL_S))):
        behind = session.client.query(text, reads=True)
        if not behind.rows and not behind.missing:
            session.err.write(f"version {answer.version} is in effect everywhere\n")
            return Status.OK
        session.sleep(WAIT_INTERVAL_S)
    session.err.write(f"version {answer.version} is not in effect everywhere yet\n")
    session.print_answer(behind)
    return Status.PARTIAL


def query(session: Session, options: Namespace) -> Status:
    """Send a statement, after a check here that it can be parsed."""
    reads = get_required_right(parse_statement(options.text)) is Right.READ
    return session.print_answer(session.client.query(options.text, reads=reads, seen=options.seen))


def watch(session: Session, options: Namespace) -> Status:
    """Repeat a query until interrupted, or a number of times."""
    if get_required_right(parse_statement(options.text)) is not Right.READ:
        raise BadRequestError("a command cannot be watched", step="watch")
    status = Status.OK
    remaining = options.times
    while remaining is None or remaining > 0:
        answer = session.client.query(options.text, reads=True)
        if session.colour:
            session.out.write(CLEAR_SCREEN)
        status = session.print_answer(answer)
        session.out.flush()
        remaining = None if remaining is None else remaining - 1
        if remaining != 0:
            session.sleep(options.interval)
    return status


def _choose_job(declared: Iterable[LocatedDeclaration], name: str | None) -> Batch | Gang:
    jobs = [each.value for each in declared if isinstance(each.value, Batch | Gang)]
    chosen = [job for job in jobs if name in (None, job.name)]
    if len(chosen) != 1:
        names = ", ".join(f"{get_kind(job)} {job.name}" for job in jobs) or "none"
        detail = f"name one job with --name; the file declares: {names}"
        raise BadRequestError(detail, step="submit")
    return chosen[0]


def submit(session: Session, options: Namespace) -> Status:
    """Submit a job; submitting the printed id again finds it."""
    job = _choose_job(read_declarations(read_sources([options.file])), options.name)
    job_id = JobId(options.id or f"{job.name}-{session.make_id()[:12]}")
    session.err.write(f"submitting job {job_id}\n")
    answer = session.client.submit(JobRequest(job_id, job))
    session.print(answer, f"accepted job {answer.id}\n")
    return Status.OK


def describe_unfinished_tasks(answer: JobAnswer) -> str:
    """Return a note on unfinished tasks, since the store records only the ends of tasks."""
    if answer.job is None:
        return f"job {answer.id} is accepted; no owner reports on it yet"
    if not answer.job.waiting:
        return ""
    return (
        f"{answer.job.waiting} have not ended; to see which run: show jobs where id = {answer.id}"
    )


def status(session: Session, options: Namespace) -> Status:
    """Show the state of a job."""
    answer = session.client.get_job(JobId(options.job))
    rows = (answer.job,) if answer.job else ()
    note = describe_unfinished_tasks(answer)
    table = Answer(
        JobInfo.COLUMNS, rows, len(rows), parts=answer.parts, missing=answer.missing, note=note
    )
    return session.print_answer(table)


def _read_body(options: Namespace) -> bytes:
    if not options.data:
        return b""
    try:
        body: bytes = (
            options.stdin.read() if options.data == "-" else Path(options.data).read_bytes()
        )
    except OSError as error:
        raise BadRequestError(f"{options.data}: {error.strerror}", step="files") from None
    return body


def call(session: Session, options: Namespace) -> Status:
    """Call a service and print its response unchanged."""
    body = _read_body(options)
    request_id = RequestId(options.id or session.make_id())
    session.err.write(f"request {request_id}\n")
    response = session.client.call(
        ServiceName(options.service),
        body,
        request_id=request_id,
        idempotent=not options.once,
        deadline_ms=options.deadline_ms,
    )
    session.out.flush()
    session.raw_out.write(response)
    return Status.OK


def _format_spans(trace: TraceAnswer) -> str:
    """Return one line for each span, indented below its parent."""
    known = {span.span_id for span in trace.spans}
    children: dict[str, list[SpanInfo]] = {}
    for span in sorted(trace.spans, key=lambda each: each.start_unix_us):
        parent = span.parent_id if span.parent_id in known else ""
        children.setdefault(parent, []).append(span)
    lines: list[str] = []
    stack = [(0, span) for span in reversed(children.pop("", []))]
    while stack:
        depth, span = stack.pop()
        details = " ".join(f"{name}={value}" for name, value in span.attributes.items() if value)
        where = f" {span.owner}" if span.owner else ""
        line = f"{'  ' * depth}{span.name}{where} {span.duration_us / 1000:.2f}ms {details}"
        lines.append(line.rstrip())
        stack += [(depth + 1, child) for child in reversed(children.pop(span.span_id, []))]
    return "".join(f"{line}\n" for line in lines) or "no hop of the request is held\n"


def trace(session: Session, options: Namespace) -> Status:
    """Show the hops of a request."""
    answer = session.client.get_trace(RequestId(options.request))
    missing = "".join(f"missing: {each.owner}: {each.reason}\n" for each in answer.missing)
    session.print(answer, _format_spans(answer) + missing)
    return Status.PARTIAL if answer.missing else Status.OK
