"""Bindings of non-idempotent requests to the one worker that may run them."""

import re

import msgspec

from lavenderstall.errors import BadRequestError
from lavenderstall.identifiers import Incarnation, RequestId, SliceName, WorkerId

SEPARATOR = "~"
RETENTION_SECONDS = 3600
REQUEST_PATTERN = re.compile(r"[A-Za-z0-9_.:~/-]{1,200}")


class Binding(msgspec.Struct, frozen=True):
    """Name the worker incarnation that a request is bound to."""

    slice: SliceName
    worker: WorkerId
    incarnation: Incarnation
    issued_unix: int = 0


def check_request_id(text: str) -> RequestId:
    """Return a request id, or raise if it has characters or a length that are not allowed."""
    if not REQUEST_PATTERN.fullmatch(text):
        raise BadRequestError(
            f"request id {text[:40]!r} must match {REQUEST_PATTERN.pattern}", step="check request"
        )
    return RequestId(text)


def issue_request_id(binding: Binding, nonce: str) -> RequestId:
    """Return a new request id that names its worker, so that no table row is needed."""
    parts = ("", binding.slice, binding.worker, binding.incarnation, str(binding.issued_unix))
    return RequestId(SEPARATOR.join((*parts, nonce)))


def find_binding(request: RequestId) -> Binding | None:
    """Return the binding that an issued id names, or none for a caller's own id."""
    if not request.startswith(SEPARATOR):
        return None
    parts = request.split(SEPARATOR)
    if len(parts) != 6 or not parts[4].isdigit():
        raise BadRequestError(
            f"request id {request[:40]!r} was not issued by this system", step="read request id"
        )
    return Binding(SliceName(parts[1]), WorkerId(parts[2]), Incarnation(parts[3]), int(parts[4]))


def is_expired(binding: Binding, unix: float) -> bool:
    """Tell whether the worker may have forgotten an issued id."""
    return bool(binding.issued_unix) and unix - binding.issued_unix > RETENTION_SECONDS
