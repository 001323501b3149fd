"""Request and response bodies of the HTTP interface for callers and operators."""

from typing import Any

import msgspec

from lavenderstall.changes import Difference
from lavenderstall.declarations import Problem
from lavenderstall.errors import Outcome
from lavenderstall.identifiers import ChangeNumber, EntryId, JobId, RequestId, Version, ZoneName
from lavenderstall.inventory import ChangeInfo, JobInfo, MissingPart, Part
from lavenderstall.protocol import Figure
from lavenderstall.schemas import Batch, Gang

PATH_QUERY = "/v1/query"
PATH_APPLY = "/v1/apply"
PATH_CHANGES = "/v1/changes"
PATH_CONFIG = "/v1/config"
PATH_JOBS = "/v1/jobs"
PATH_CALLS = "/v1/calls"
PATH_TRACES = "/v1/traces"


def list_unknown_fields(value: Any, kind: Any, path: str = "$") -> list[str]:
    """Return the paths of fields that are unknown to a type from `msgspec.inspect`.

    Structs ignore them, so that rows written by a newer version stay readable; in a request they
    are mistakes, such as a misspelt `idempotent` that leaves a job idempotent.
    """
    if isinstance(kind, msgspec.inspect.UnionType) and isinstance(value, dict):
        structs = [each for each in kind.types if isinstance(each, msgspec.inspect.StructType)]
        tagged = [each for each in structs if value.get(each.tag_field) == each.tag]
        return list_unknown_fields(value, tagged[0], path) if tagged else []
    if isinstance(kind, msgspec.inspect.StructType) and isinstance(value, dict):
        known = {field.encode_name: field.type for field in kind.fields}
        found = [f"{path}.{name}" for name in value.keys() - known.keys() - {kind.tag_field}]
        for name in value.keys() & known.keys():
            found += list_unknown_fields(value[name], known[name], f"{path}.{name}")
        return sorted(found)
    return []


class QueryRequest(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """Request the execution of a statement; `seen` is the version that a command is based on."""

    text: str
    seen: Version | None = None


class ApplyRequest(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """Request that declarations in YAML are applied, or a preview of that."""

    documents: str
    reason: str = ""
    seen: Version | None = None
    preview: bool = False


class ApplyAnswer(msgspec.Struct, omit_defaults=True):
    """Describe an accepted change or a preview.

    `in_effect` and `pending` list the live entry instances that have and have not yet applied the
    change. `dangling` lists references to undeclared items.
    """

    version: Version
    change: ChangeInfo | None = None
    differences: tuple[Difference, ...] = ()
    committed: bool = False
    in_effect: tuple[EntryId, ...] = ()
    pending: tuple[EntryId, ...] = ()
    dangling: tuple[str, ...] = ()


class ChangesAnswer(msgspec.Struct, omit_defaults=True):
    """List changes, newest first."""

    version: Version
    changes: tuple[ChangeInfo, ...] = ()


class ConfigAnswer(msgspec.Struct, omit_defaults=True):
    """Hold all configuration items as plain values, with token hashes shortened."""

    version: Version
    age_ms: int | None = None
    items: tuple[dict[str, Any], ...] = ()


class JobRequest(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """Submit a job; its id is the request id, which makes retries idempotent."""

    id: JobId
    job: Batch | Gang


class JobAnswer(msgspec.Struct, omit_defaults=True):
    """Describe a job; in the answer to a submission only `id` is set."""

    id: JobId
    job: JobInfo | None = None
    parts: tuple[Part, ...] = ()
    missing: tuple[MissingPart, ...] = ()


class SpanInfo(msgspec.Struct, omit_defaults=True):
    """Describe one span of a request; times are in microseconds."""

    name: str
    span_id: str
    parent_id: str = ""
    owner: EntryId = EntryId("")
    zone: ZoneName = ZoneName("")
    start_unix_us: int = 0
    duration_us: int = 0
    attributes: dict[str, str] = {}


class TraceAnswer(msgspec.Struct, omit_defaults=True):
    """List the spans of a request that are still in memory."""

    request_id: RequestId
    spans: tuple[SpanInfo, ...] = ()
    missing: tuple[MissingPart, ...] = ()


class Rejection(msgspec.Struct, omit_defaults=True):
    """Explain why a request failed, and whether it may have run.

    `problems` are those of declarations; `line`, `column`, `expected` and `nearest` refer to the
    text of a statement; `overtaken_by` is the conflicting change that was accepted first.
    """

    outcome: Outcome
    reason: str
    detail: str
    retry_after_ms: Figure = 0
    request_id: str = ""
    step: str = ""
    peer: str = ""
    problems: tuple[Problem, ...] = ()
    line: int = 0
    column: int = 0
    expected: tuple[str, ...] = ()
    nearest: str | None = None
    overtaken_by: ChangeNumber = ChangeNumber(0)
