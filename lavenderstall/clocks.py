"""Clock interface, so that tests can advance time, and the reactor that provides it."""

import logging
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from lavenderstall.system_time import read_uptime

logger = logging.getLogger(__name__)


class DelayedCall(Protocol):
    """Handle of a scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Tell whether the call is still pending."""


class Clock(Protocol):
    """Provide monotonic time and scheduled calls, like a reactor or a test clock."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802  (name set by IReactorTime)
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> DelayedCall:
        """Schedule a call after a delay in seconds."""


def get_reactor() -> Any:
    """Return the reactor of the process, whose timers follow the time since boot.

    Those of a reactor as installed follow the time of day, which may be set back or ahead.
    """
    from twisted.internet import reactor  # noqa: PLC0415  (importing it installs it)

    steady_reactor: Any = reactor
    steady_reactor.seconds = read_uptime
    return steady_reactor


def sleep(clock: Clock, seconds: float) -> "Deferred[None]":
    """Return a deferred that fires after a delay; cancelling it cancels the timer."""
    delayed: Deferred[None] = Deferred(lambda _: timer.cancel())
    timer = clock.callLater(seconds, delayed.callback, None)
    return delayed


def cancel_if_active(call: DelayedCall) -> None:
    """Cancel a scheduled call that is still pending."""
    if call.active():
        call.cancel()


def make_loop(clock: Clock, step: Callable[[], Any]) -> LoopingCall:
    """Return a looping call that uses the clock; the caller starts it.

    A step that fails is logged, and the next one follows at its time.
    """

    def run_step() -> Deferred[Any]:
        return maybeDeferred(step).addErrback(_log_failure)

    loop = LoopingCall(run_step)
    loop.clock = cast("Any", clock)
    return loop


def _log_failure(failure: Failure) -> None:
    """Log the failure of a step with its traceback."""
    logger.error("periodic work failed", exc_info=failure.value)


def call_after(clock: Clock, delay: float, function: Callable[..., Any], *arguments: Any) -> None:
    """Call a function after a delay in seconds, or immediately if it is not positive."""
    if delay > 0:
        clock.callLater(delay, function, *arguments)
    else:
        function(*arguments)
