"""HTTP statuses and bodies of error responses."""

import logging
from functools import singledispatch

import msgspec

from lavenderstall.admission import AdmissionReason
from lavenderstall.bearer_tokens import AccessError
from lavenderstall.bodies import Rejection
from lavenderstall.changes import ChangeRefusedError, VersionConflictError
from lavenderstall.declarations import DeclarationError
from lavenderstall.errors import (
    LavenderstallError,
    Outcome,
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.query.statements import QueryError
from lavenderstall.records import REASON_UNREADABLE, UnreadableRowError

logger = logging.getLogger(__name__)

STORE_RETRY_MS = 1000
REASON_STATUS = {
    "never_fits": 422,
    "expired": 504,
    "tasks_per_job": 422,
    AdmissionReason.LARGER_THAN_QUOTA.value: 422,
    AdmissionReason.UNKNOWN_TEAM.value: 403,
    AdmissionReason.TEAM_WAITING_QUOTA.value: 429,
    AdmissionReason.TEAM_QUEUE_FULL.value: 429,
    AdmissionReason.KIND_QUEUE_FULL.value: 429,
}
OUTCOME_STATUS = {
    Outcome.DONE: 200,
    Outcome.FAILED: 502,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}


@singledispatch
def describe_error(error: Exception) -> tuple[int, Rejection]:
    """Return the HTTP status and the body of the response to an error."""
    logger.error("request failed", exc_info=error)
    detail = "internal error; see the log"
    return 500, Rejection(Outcome.UNKNOWN, "internal", detail, step="handle")


@describe_error.register
def _(error: LavenderstallError) -> tuple[int, Rejection]:
    rejection = Rejection(Outcome.NOT_RUN, "bad_request", error.detail)
    return 400, msgspec.structs.replace(rejection, step=error.step, peer=error.peer)


@describe_error.register
def _(error: UnreadableRowError) -> tuple[int, Rejection]:
    rejection = Rejection(Outcome.UNKNOWN, REASON_UNREADABLE, error.detail)
    return 500, msgspec.structs.replace(rejection, step=error.step, peer=error.peer)


@describe_error.register
def _(error: RefusedError) -> tuple[int, Rejection]:
    status = REASON_STATUS.get(error.reason, OUTCOME_STATUS[error.outcome])
    return status, Rejection(
        error.outcome,
        error.reason,
        error.detail,
        error.retry_after_ms,
        step=error.step,
        peer=error.peer,
    )


@describe_error.register
def _(error: AccessError) -> tuple[int, Rejection]:
    return error.status, Rejection(Outcome.NOT_RUN, "access", error.detail, step=error.step)


@describe_error.register
def _(error: StoreUnavailableError) -> tuple[int, Rejection]:
    rejection = Rejection(Outcome.NOT_RUN, "store_unavailable", error.detail, STORE_RETRY_MS)
    return 503, msgspec.structs.replace(rejection, step=error.step)


@describe_error.register
def _(error: StoreOutcomeUnknownError) -> tuple[int, Rejection]:
    rejection = Rejection(Outcome.UNKNOWN, "store_unavailable", error.detail, STORE_RETRY_MS)
    return 504, msgspec.structs.replace(rejection, step=error.step)


@describe_error.register
def _(error: DeclarationError) -> tuple[int, Rejection]:
    problems = tuple(error.problems)
    rejection = Rejection(Outcome.NOT_RUN, "bad_declaration", error.detail, problems=problems)
    return 400, msgspec.structs.replace(rejection, step=error.step)


@describe_error.register
def _(error: QueryError) -> tuple[int, Rejection]:
    return 400, Rejection(
        Outcome.NOT_RUN,
        "bad_query",
        error.problem,
        step=error.step,
        line=error.line,
        column=error.column,
        expected=error.expected,
        nearest=error.nearest,
    )


@describe_error.register
def _(error: VersionConflictError) -> tuple[int, Rejection]:
    rejection = Rejection(Outcome.NOT_RUN, "overtaken", error.detail, overtaken_by=error.number)
    return 409, msgspec.structs.replace(rejection, step=error.step)


@describe_error.register
def _(error: ChangeRefusedError) -> tuple[int, Rejection]:
    return 409, Rejection(Outcome.NOT_RUN, "change_refused", error.detail, step=error.step)
