"""Work that nobody waits for."""

import logging
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

logger = logging.getLogger(__name__)


def launch(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine; an error that it lets pass is logged."""
    Deferred.fromCoroutine(work).addErrback(_log)


def _log(failure: Failure) -> None:
    logger.error("unexpected error", extra={"error": failure.getTraceback()})
