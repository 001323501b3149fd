"""Deadlines, leases and retry budgets."""

import math

import msgspec

# A tenth of the duration covers the transit time of a renewal and the difference between the
# rates of two clocks; at the default task lease of 30 s this is 3 s.
LEASE_MARGIN = 0.1

RETRY_RATIO = 0.1
# Lets a service with few calls retry at all: ten calls in ten minutes earn only one retry.
RETRY_FLOOR_PER_S = 0.2
# Bounds the retries that a quiet period saves up for the next failure.
RETRY_BURST = 20.0


class Deadline(msgspec.Struct, frozen=True, order=True):
    """Hold the instant, in seconds on this process's clock, by which work must be done."""

    at: float

    @classmethod
    def from_remaining(cls, remaining_ms: int, now: float) -> "Deadline":
        """Return the deadline of work that arrived now with that many milliseconds left."""
        return cls(now + remaining_ms / 1000)

    def get_remaining_ms(self, now: float) -> int:
        """Return the whole milliseconds left, rounded down; 0 once the deadline is past."""
        return max(0, math.floor((self.at - now) * 1000))

    def is_past(self, now: float) -> bool:
        """Tell whether no time is left."""
        return now >= self.at

    def allows(self, seconds: float, now: float) -> bool:
        """Tell whether work of that length would finish in time if it started now."""
        return now + seconds <= self.at


class Lease(msgspec.Struct, frozen=True):
    """Hold a lease as its sender sees it: time sent, duration in seconds, margin as a share.

    The receiver counts from the later time of receipt. Between `duration - margin` and
    `duration + margin` after sending, the lease is neither valid nor surely lapsed.
    """

    sent: float
    duration_s: float
    margin: float = LEASE_MARGIN

    def is_valid(self, now: float) -> bool:
        """Tell whether the receiver still honours the lease, if it received it."""
        return now < self.sent + self.duration_s * (1 - self.margin)

    def is_surely_lapsed(self, now: float) -> bool:
        """Tell whether the receiver can no longer honour the lease."""
        return now >= self.sent + self.duration_s * (1 + self.margin)

    def renew(self, sent: float) -> "Lease":
        """Return the lease after a renewal; a renewal sent earlier does not shorten it."""
        return Lease(max(sent, self.sent), self.duration_s, self.margin)


class RetryBudget:
    """Allow retries as a share of calls plus a small rate that does not depend on calls."""

    def __init__(
        self,
        now: float,
        *,
        ratio: float = RETRY_RATIO,
        floor_per_s: float = RETRY_FLOOR_PER_S,
        burst: float = RETRY_BURST,
    ) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._burst = burst
        self._tokens = min(1.0, burst)
        self._refilled = now

    def record_call(self, now: float) -> None:
        """Count one first attempt."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def can_retry(self, now: float) -> bool:
        """Tell whether `take_retry` would succeed."""
        self._refill(now)
        return self._tokens >= 1

    def take_retry(self, now: float) -> bool:
        """Take one retry or hedge from the budget; return whether it was there."""
        if not self.can_retry(now):
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._refilled) * self._floor_per_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._refilled = max(self._refilled, now)
