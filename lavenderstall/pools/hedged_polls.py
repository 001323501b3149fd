"""Polls that are sent again once a worker should have answered them."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock
from lavenderstall.errors import DisconnectedError, PeerClosedError, PeerUnavailableError
from lavenderstall.pools.effects import PollResponse, Refusal

# Time beyond its wait in which a healthy worker answers a poll, several times as long as needed.
ANSWER_MARGIN_S = 0.1
# Errors that tell of the worker's process or host, whichever attempt meets them.
CONNECTION_ERRORS = (DisconnectedError, PeerClosedError, PeerUnavailableError)


class PollOutcome(msgspec.Struct, frozen=True):
    """The first answer to a poll, and when the attempt that it answers was sent."""

    answer: PollResponse | Refusal
    asked_at: float


class HedgedPoll:
    """Send a poll, and a second one if the first one has no answer in time.

    The second one must neither wait nor acknowledge ends nor extend leases, as the worker may have
    restarted meanwhile. A worker may execute both in any order. If only the second one is answered,
    `note_loss` is called, as the worker lives and the first one got lost.
    """

    def __init__(
        self,
        clock: Clock,
        read_uptime: Callable[[], float],
        send_first: "Callable[[], Deferred[PollResponse | Refusal]]",
        send_second: "Callable[[], Deferred[PollResponse | Refusal]]",
        wait_ms: int,
        note_loss: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._read_uptime = read_uptime
        self._send_first = send_first
        self._send_second = send_second
        self._wait_ms = wait_ms
        self._note_loss = note_loss
        self._outcome: Deferred[PollOutcome] = Deferred()

    def run(self) -> "Deferred[PollOutcome]":
        """Return the first answer, or raise the error that decides."""
        self._timer = self._clock.callLater(
            self._wait_ms / 1000 + ANSWER_MARGIN_S, self._send_attempt, repeated=True
        )
        self._send_attempt(repeated=False)
        return self._outcome

    def _send_attempt(self, *, repeated: bool) -> None:
        asked_at = self._read_uptime()
        send = self._send_second if repeated else self._send_first
        send().addCallbacks(
            self._note_answer, self._note_error, (asked_at, repeated), errbackArgs=(repeated,)
        )

    def _note_answer(self, answer: PollResponse | Refusal, asked_at: float, repeated: bool) -> None:
        if not self._close():
            return
        if repeated:
            self._note_loss()
        self._outcome.callback(PollOutcome(answer, asked_at))

    def _note_error(self, failure: Failure, repeated: bool) -> None:
        """Fail with the first attempt; the second one decides only if it finds no process."""
        decides = not repeated or failure.check(*CONNECTION_ERRORS)
        if decides and self._close():
            self._outcome.errback(failure)

    def _close(self) -> bool:
        """Stop the timer, and tell whether the outcome was still open."""
        if self._timer.active():
            self._timer.cancel()
        return not self._outcome.called
