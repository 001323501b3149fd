"""Coroutines run in the background or concurrently."""

import logging
from collections.abc import Coroutine, Iterable
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, DeferredList, FirstError, gatherResults
from twisted.python.failure import Failure

T = TypeVar("T")

logger = logging.getLogger(__name__)


def launch(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in the background and log an error it raises."""
    Deferred.fromCoroutine(coroutine).addErrback(_log)


def _log(failure: Failure) -> None:
    logger.error(
        "unexpected error in a background coroutine", extra={"error": failure.getTraceback()}
    )


async def gather(coroutines: "Iterable[Coroutine[Any, Any, T]]") -> list[T]:
    """Run coroutines concurrently and return their results, or raise the first error."""
    running = [Deferred.fromCoroutine(coroutine) for coroutine in coroutines]
    return await gatherResults(running, consumeErrors=True).addErrback(_unwrap)


async def gather_all(
    coroutines: "Iterable[Coroutine[Any, Any, T]]",
) -> tuple[list[T], list[BaseException]]:
    """Run coroutines concurrently and return the results and the errors once all have ended."""
    running = [Deferred.fromCoroutine(coroutine) for coroutine in coroutines]
    outcomes: list[tuple[bool, Any]] = await DeferredList(running, consumeErrors=True)
    results = [result for succeeded, result in outcomes if succeeded]
    errors = [failure.value for succeeded, failure in outcomes if not succeeded]
    return results, errors


def _unwrap(failure: Failure) -> Failure:
    """Return the first failure."""
    error = failure.value
    return error.subFailure if isinstance(error, FirstError) else failure
