"""Time as an interface, so that tests advance it by hand."""

from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall


class DelayedCall(Protocol):
    """A call that has been scheduled."""

    def cancel(self) -> None:
        """Remove the call."""

    def active(self) -> bool:
        """Tell whether the call is still to come."""


class Clock(Protocol):
    """Monotonic time in seconds and scheduled calls; a reactor or a test's clock."""

    def seconds(self) -> float:
        """Return the time."""

    def callLater(  # noqa: N802  (name set by IReactorTime)
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> Any:
        """Call a function after a delay."""


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
