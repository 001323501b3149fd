"""Reachability and latency of the store, measured by the calls made to it."""

from collections.abc import Callable
from itertools import count
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.callbacks import do_nothing
from lavenderstall.errors import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TransactionRejectedError,
)
from lavenderstall.pools.ports import Committed, Page, RowStore, Transaction

T = TypeVar("T")

# The store counts as lost once a call failed and none was answered for this long.
LOSS_TIMEOUT_S = 0.3
# A call is overdue if not answered within this time, plus the wait of a long poll.
OVERDUE_S = 0.7
# Wait for a commit, as a multiple of the mean duration, and its minimum.
COMMIT_WAIT_FACTOR = 6.0
MIN_COMMIT_WAIT_S = 0.1
# Assumed duration of a commit before the first one is measured.
INITIAL_COMMIT_S = 0.03
# Weight of a new duration in the exponential moving average.
SMOOTHING_FACTOR = 0.2


class MonitoredStore:
    """Forward calls to a store and monitor its answers and the duration of commits."""

    def __init__(self, store: RowStore, read_uptime: Callable[[], float]) -> None:
        self._store = store
        self._read_uptime = read_uptime
        self._answered_at = read_uptime()
        self._failed_at = -1.0
        self._recovered_at = read_uptime()
        self._mean_commit_s = INITIAL_COMMIT_S
        # Pending calls, each with the time at which it becomes overdue.
        self._overdue_at: dict[int, float] = {}
        self._call_ids = count()

    def is_lost(self) -> bool:
        """Tell whether a call failed or is overdue and none was answered since."""
        now = self._read_uptime()
        if now - self._answered_at <= LOSS_TIMEOUT_S:
            return False
        return self._failed_at > self._answered_at or any(
            at < now and at - OVERDUE_S >= self._answered_at for at in self._overdue_at.values()
        )

    def get_available_s(self) -> float:
        """Return how long the store has been reachable, in seconds; 0 while it is lost."""
        return 0.0 if self.is_lost() else self._read_uptime() - self._recovered_at

    def get_lost_s(self) -> float:
        """Return for how long the store has been lost, in seconds; 0 while it is reachable."""
        return self.get_outage_s() if self.is_lost() else 0.0

    def get_outage_s(self) -> float:
        """Return the time since the last answer, in seconds."""
        return self._read_uptime() - self._answered_at

    def get_commit_wait_s(self) -> float:
        """Return how long to wait for a commit before checking its outcome, in seconds."""
        return max(MIN_COMMIT_WAIT_S, COMMIT_WAIT_FACTOR * self._mean_commit_s)

    def get_mean_commit_s(self) -> float:
        """Return the mean duration of a commit, in seconds."""
        return self._mean_commit_s

    def commit(self, transaction: Transaction) -> "Deferred[Committed]":
        """Apply a transaction atomically."""
        sent_at = self._read_uptime()
        call = self._track(self._store.commit(transaction), 0.0)
        return call.addCallback(self._record_duration, sent_at)

    def read(
        self,
        table: str,
        partition: str,
        start_key: str = "",
        limit: int = 0,
        on_progress: Callable[[], None] = do_nothing,
    ) -> "Deferred[Page]":
        """Return rows of a partition in key order, beginning at a key."""
        call = self._store.read(table, partition, start_key, limit, on_progress)
        return self._track(call, 0.0)

    def poll_changes(
        self,
        table: str,
        version: int,
        wait_ms: int,
        on_progress: Callable[[], None] = do_nothing,
    ) -> "Deferred[Page]":
        """Return rows of all partitions changed after a version."""
        call = self._store.poll_changes(table, version, wait_ms, on_progress)
        return self._track(call, wait_ms / 1000)

    def _track(self, call: "Deferred[T]", wait_s: float) -> "Deferred[T]":
        if not call.called:
            call_id = next(self._call_ids)
            self._overdue_at[call_id] = self._read_uptime() + wait_s + OVERDUE_S
            call.addBoth(self._forget, call_id)
        return call.addCallbacks(self._handle_answer, self._handle_failure)

    def _forget(self, result: T, call_id: int) -> T:
        del self._overdue_at[call_id]
        return result

    def _handle_answer(self, result: T) -> T:
        self._mark_answered()
        return result

    def _mark_answered(self) -> None:
        if self.is_lost():
            self._recovered_at = self._read_uptime()
        self._answered_at = self._read_uptime()

    def _handle_failure(self, failure: Failure) -> Failure:
        if failure.check(TransactionRejectedError):
            self._mark_answered()
        elif failure.check(StoreUnavailableError, StoreOutcomeUnknownError):
            self._failed_at = self._read_uptime()
        else:
            self._mark_answered()
        return failure

    def _record_duration(self, result: T, sent_at: float) -> T:
        self._mean_commit_s += (
            self._read_uptime() - sent_at - self._mean_commit_s
        ) * SMOOTHING_FACTOR
        return result
