"""Time as an interface, so that tests advance it by hand."""

from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall


class DelayedCall(Protocol):
    """Stand for a call that was scheduled."""

    def cancel(self) -> None:
        """Drop the call."""

    def active(self) -> bool:
        """Tell whether the call is still to come."""


class Clock(Protocol):
    """Tell monotonic time and schedule calls, as a reactor or a test's clock does."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802  (name set by IReactorTime)
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> DelayedCall:
        """Schedule a call after a delay in seconds."""


def sleep(clock: Clock, seconds: float) -> "Deferred[None]":
    """Return a deferred that fires after a delay."""
    waiting: Deferred[None] = Deferred(lambda _: timer.cancel())
    timer = clock.callLater(seconds, waiting.callback, None)
    return waiting


def make_loop(clock: Clock, step: Callable[[], Any]) -> LoopingCall:
    """Return a loop that calls a function on a clock once it is started."""
    loop = LoopingCall(step)
    loop.clock = cast("Any", clock)
    return loop


def call_after(clock: Clock, delay: float, function: Callable[..., Any], *arguments: Any) -> None:
    """Call a function after a delay in seconds, or at once if there is none."""
    if delay > 0:
        clock.callLater(delay, function, *arguments)
    else:
        function(*arguments)
