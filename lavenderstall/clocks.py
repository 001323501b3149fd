"""Interface of the clock that code with timers takes as an argument."""

from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """Stand for a call that was scheduled."""

    def cancel(self) -> None:
        """Drop the call."""

    def active(self) -> bool:
        """Tell whether the call is still to come."""


class Clock(Protocol):
    """Tell the time and schedule calls, as Twisted's `IReactorTime` does."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> DelayedCall:
        """Schedule a call after a delay in seconds."""


def call_after(clock: Clock, delay: float, function: Callable[..., Any], *arguments: Any) -> None:
    """Call a function after a delay in seconds, or at once if there is none."""
    if delay > 0:
        clock.callLater(delay, function, *arguments)
    else:
        function(*arguments)
