"""Deadlines, leases and retry budgets."""

import math

import msgspec

# A tenth of the duration covers the transit time of a renewal and the drift between two clocks;
# it is 3 s at the default task lease of 30 s.
LEASE_MARGIN_RATIO = 0.1

RETRY_RATIO = 0.1
# Allows retries for a service with few calls: ten calls in ten minutes add only one retry.
RETRY_FLOOR_PER_S = 0.2
# Bounds the retries that accumulate while there are no failures.
RETRY_BURST = 20.0


class Deadline(msgspec.Struct, frozen=True, order=True):
    """Hold the time by which work must be complete, in seconds of this process's clock."""

    at: float

    @classmethod
    def from_remaining(cls, remaining_ms: int, now: float) -> "Deadline":
        """Return the deadline of work that arrived at `now` with `remaining_ms` left."""
        return cls(now + remaining_ms / 1000)

    def get_remaining_ms(self, now: float) -> int:
        """Return the milliseconds left, rounded down; 0 after the deadline."""
        return max(0, math.floor((self.at - now) * 1000))

    def is_expired(self, now: float) -> bool:
        """Tell whether no time is left."""
        return now >= self.at

    def allows(self, seconds: float, now: float) -> bool:
        """Tell whether work of this duration, started at `now`, would finish in time."""
        return now + seconds <= self.at


class Lease(msgspec.Struct, frozen=True):
    """Hold the sender's view of a lease; `margin` is a fraction of the duration.

    The receiver's lease starts later, on receipt. Between `duration - margin` and
    `duration + margin` after sending, the lease is neither valid nor certainly expired.
    """

    sent: float
    duration_s: float
    margin: float = LEASE_MARGIN_RATIO

    def is_valid(self, now: float) -> bool:
        """Tell whether the lease is still valid at the receiver, if it arrived."""
        return now < self.sent + self.duration_s * (1 - self.margin)

    def has_certainly_expired(self, now: float) -> bool:
        """Tell whether the lease can no longer be valid at the receiver."""
        return now >= self.sent + self.duration_s * (1 + self.margin)

    def renew(self, sent: float) -> "Lease":
        """Return the renewed lease; a renewal that was sent earlier does not shorten it."""
        return Lease(max(sent, self.sent), self.duration_s, self.margin)


class RetryBudget:
    """Token bucket for retries, filled by a fraction of calls and at a small constant rate."""

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
        self._refilled_at = now

    def record_call(self, now: float) -> None:
        """Record the first attempt of a call, which adds to the budget."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def can_retry(self, now: float) -> bool:
        """Tell whether `spend_retry` would succeed."""
        self._refill(now)
        return self._tokens >= 1

    def spend_retry(self, now: float) -> bool:
        """Spend one retry or hedged call; return False if the budget is exhausted."""
        if not self.can_retry(now):
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._refilled_at) * self._floor_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = max(self._refilled_at, now)
