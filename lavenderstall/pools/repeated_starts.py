"""Starts that are sent again while they have no response.

A worker takes repeated starts of one run for one, also those that it executes late.
"""

import logging
from collections.abc import Callable, Sequence

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock
from lavenderstall.errors import AnswerLostError, LavenderstallError, PeerUnavailableError
from lavenderstall.pools.effects import FENCE, Refusal
from lavenderstall.pools.job import Copies

logger = logging.getLogger(__name__)

# Several times as long as a healthy worker takes to respond.
REPEAT_DELAY_S = 0.1
MAX_ATTEMPTS = 3
# The outcome of a start is unknown after this long without a response.
START_TIMEOUT_S = 0.5


class Attempt(msgspec.Struct):
    """One attempt to start a run, sent at `sent_at` seconds of uptime.

    The response is the worker's clock in milliseconds or a refusal.
    """

    sent_at: float
    response: float | Refusal | None = None
    error: LavenderstallError | None = None

    @property
    def pending(self) -> bool:
        """Tell whether a response may still arrive."""
        return self.response is None and self.error is None

    @property
    def unanswered(self) -> bool:
        """Tell whether the worker may execute the attempt although it has not responded."""
        return self.response is None and not isinstance(self.error, PeerUnavailableError)


class StartOutcome(msgspec.Struct, frozen=True):
    """What is known of a start; without a response, `error` tells why it is unknown or not sent.

    `copies` are the attempts that have no response. The worker may execute them late, although
    another one has succeeded.
    """

    response: float | Refusal | None = None
    error: LavenderstallError | None = None
    copies: Copies = Copies()

    @property
    def accepted(self) -> bool:
        """Tell whether the worker has started the run, or had done so before."""
        return self.response is not None and not isinstance(self.response, Refusal)


def find_outcome(attempts: Sequence[Attempt], *, expired: bool) -> StartOutcome | None:
    """Return the outcome of a start, or none while it has to be awaited.

    A refusal counts only if no other attempt may be executed.
    """
    unanswered = [each.sent_at for each in attempts if each.unanswered]
    copies = Copies(len(unanswered), max(unanswered)) if unanswered else Copies()
    for each in attempts:
        if _is_accepted(each) or _is_fenced(each):
            return StartOutcome(each.response, None, copies)
    if not expired and any(each.pending for each in attempts):
        return None
    if unanswered:
        return StartOutcome(None, _describe_loss(attempts), copies)
    refusal = next((each.response for each in attempts if each.response is not None), None)
    return StartOutcome(refusal, None if refusal else attempts[0].error)


def _is_accepted(attempt: Attempt) -> bool:
    return attempt.response is not None and not isinstance(attempt.response, Refusal)


def _is_fenced(attempt: Attempt) -> bool:
    return isinstance(attempt.response, Refusal) and attempt.response.reason == FENCE


def _describe_loss(attempts: Sequence[Attempt]) -> LavenderstallError:
    found = (each.error for each in attempts if each.unanswered and each.error is not None)
    return next(found, AnswerLostError("no response in time", step="start"))


class RepeatedStart:
    """Send a start, and send it again while it has no response and may be repeated.

    `note_settled` gets the outcome by all attempts, if some were pending when it was known.
    """

    def __init__(
        self,
        clock: Clock,
        read_uptime: Callable[[], float],
        send: Callable[[], "Deferred[float | Refusal]"],
        may_repeat: Callable[[], bool],
        note_settled: Callable[[StartOutcome], None],
    ) -> None:
        self.attempts: list[Attempt] = []
        self._clock = clock
        self._read_uptime = read_uptime
        self._send = send
        self._may_repeat = may_repeat
        self._note_settled = note_settled
        self._outcome: Deferred[StartOutcome] = Deferred()
        self._started_at = clock.seconds()
        self._schedule(1)

    def run(self) -> "Deferred[StartOutcome]":
        """Send the first attempt and return the outcome once it is known."""
        self._send_attempt()
        return self._outcome

    def _schedule(self, number: int) -> None:
        """Schedule the attempt of a number, counted from 0, or the end of the last one."""
        after_s = START_TIMEOUT_S if number == MAX_ATTEMPTS else REPEAT_DELAY_S * number
        delay_s = max(0.0, self._started_at + after_s - self._clock.seconds())
        self._timer = self._clock.callLater(delay_s, self._repeat_due, number)

    def _repeat_due(self, number: int) -> None:
        """Send another attempt unless as many were sent already, and wait for the next one."""
        if number == MAX_ATTEMPTS:
            self._finish(expired=True)
            return
        self._schedule(number + 1)
        if len(self.attempts) <= number and self._may_send_another():
            self._send_attempt()

    def _send_attempt(self) -> None:
        attempt = Attempt(self._read_uptime())
        self.attempts.append(attempt)
        self._send().addCallbacks(
            self._note_response, self._note_error, (attempt,), errbackArgs=(attempt,)
        )

    def _note_response(self, response: float | Refusal, attempt: Attempt) -> None:
        attempt.response = response
        self._finish()

    def _note_error(self, failure: Failure, attempt: Attempt) -> None:
        if not isinstance(failure.value, LavenderstallError):
            logger.error("unexpected error of a start", exc_info=failure.value)
        attempt.error = _get_error(failure)
        if attempt.unanswered and self._may_send_another():
            self._send_attempt()
        self._finish()

    def _may_send_another(self) -> bool:
        is_open = not self._outcome.called and len(self.attempts) < MAX_ATTEMPTS
        return is_open and self._may_repeat()

    def _finish(self, *, expired: bool = False) -> None:
        if self._outcome.called:
            self._settle()
            return
        outcome = find_outcome(self.attempts, expired=expired)
        if outcome is None:
            return
        if self._timer.active():
            self._timer.cancel()
        self._outcome.callback(outcome)

    def _settle(self) -> None:
        """Report the outcome once no response may arrive any more."""
        outcome = find_outcome(self.attempts, expired=False)
        if outcome is not None and not any(each.pending for each in self.attempts):
            self._note_settled(outcome)


def _get_error(failure: Failure) -> LavenderstallError:
    """Return a typed error; after an unexpected one the outcome is unknown."""
    if isinstance(failure.value, LavenderstallError):
        return failure.value
    return AnswerLostError(failure.getErrorMessage(), step="start")
