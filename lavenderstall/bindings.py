"""Bindings of non-idempotent requests to the only worker that may run them."""

import re

import msgspec

from lavenderstall.errors import BadRequestError
from lavenderstall.identifiers import Incarnation, RequestId, SliceName, WorkerId

ID_SEPARATOR = "~"
RETENTION_SECONDS = 3600
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:~/-]{1,200}")


class Binding(msgspec.Struct, frozen=True):
    """Represent the worker incarnation that a request is bound to."""

    slice: SliceName
    worker: WorkerId
    incarnation: Incarnation
    issued_unix: int = 0


def check_request_id(text: str) -> RequestId:
    """Return a request id; raise `BadRequestError` if its characters or length are invalid."""
    if not REQUEST_ID_PATTERN.fullmatch(text):
        raise BadRequestError(
            f"request id {text[:40]!r} must match {REQUEST_ID_PATTERN.pattern}",
            step="check request",
        )
    return RequestId(text)


def issue_request_id(binding: Binding, nonce: str) -> RequestId:
    """Return a new request id that encodes its binding, so that no table row is needed."""
    parts = ("", binding.slice, binding.worker, binding.incarnation, str(binding.issued_unix))
    return RequestId(ID_SEPARATOR.join((*parts, nonce)))


def parse_binding(request: RequestId) -> Binding | None:
    """Return the binding encoded in an issued id, or None for an id that a client chose."""
    if not request.startswith(ID_SEPARATOR):
        return None
    parts = request.split(ID_SEPARATOR)
    if len(parts) != 6 or not parts[4].isdigit():
        raise BadRequestError(
            f"request id {request[:40]!r} was not issued by this system", step="read request id"
        )
    return Binding(SliceName(parts[1]), WorkerId(parts[2]), Incarnation(parts[3]), int(parts[4]))


def is_expired(binding: Binding, unix: float) -> bool:
    """Return whether the worker may have discarded its record of an issued id."""
    return bool(binding.issued_unix) and unix - binding.issued_unix > RETENTION_SECONDS
