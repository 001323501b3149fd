"""Whether the store is reached and how long it takes, learnt from the calls that are made."""

from collections.abc import Callable
from itertools import count
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.errors import StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.pools.ports import Committed, Page, RowStore, Transaction

T = TypeVar("T")

# With no call answered for this long after one that failed, the store counts as lost.
LOST_S = 0.3
# A call that is not answered this long after its answer may come is overdue.
OVERDUE_S = 0.7
# A transaction is waited for this many times as long as usual, and not for less than this.
PATIENCE_FACTOR = 6.0
LEAST_PATIENCE_S = 0.1
# Duration of a transaction that is expected before one was answered.
FIRST_S = 0.03
# Share of a new duration in the mean.
NEW_SHARE = 0.2


class ReachedStore:
    """Pass calls to a store and note which of them it answers, and how soon."""

    def __init__(self, store: RowStore, read_uptime: Callable[[], float]) -> None:
        self._store = store
        self._read_uptime = read_uptime
        self._answered_at = read_uptime()
        self._failed_at = -1.0
        self._regained_at = read_uptime()
        self._usual_s = FIRST_S
        # Calls under way, with the time of each after which it is overdue.
        self._overdue: dict[int, float] = {}
        self._numbers = count()

    def is_lost(self) -> bool:
        """Tell whether calls have failed or are overdue, and none was answered since."""
        now = self._read_uptime()
        if now - self._answered_at <= LOST_S:
            return False
        return self._failed_at > self._answered_at or any(
            at < now and at - OVERDUE_S >= self._answered_at for at in self._overdue.values()
        )

    def get_uptime(self) -> float:
        """Return for how long calls have been answered, in seconds; 0 while they are not."""
        return 0.0 if self.is_lost() else self._read_uptime() - self._regained_at

    def get_downtime(self) -> float:
        """Return for how long no call was answered, in seconds."""
        return self._read_uptime() - self._answered_at

    def get_patience(self) -> float:
        """Return how long to wait for a transaction before it is looked for, in seconds."""
        return max(LEAST_PATIENCE_S, PATIENCE_FACTOR * self._usual_s)

    def get_usual(self) -> float:
        """Return how long transactions usually take, in seconds."""
        return self._usual_s

    def commit(self, transaction: Transaction) -> "Deferred[Committed]":
        """Apply all of a change or nothing of it."""
        call = self._watch(self._store.commit(transaction), 0.0)
        return call.addCallback(self._note_duration, self._read_uptime())

    def read(
        self, table: str, partition: str, start_key: str = "", limit: int = 0
    ) -> "Deferred[Page]":
        """Return rows of a part in the order of their keys, from a key on."""
        return self._watch(self._store.read(table, partition, start_key, limit), 0.0)

    def poll_changes(self, table: str, version: int, wait_ms: int) -> "Deferred[Page]":
        """Return rows of all parts changed after a version."""
        return self._watch(self._store.poll_changes(table, version, wait_ms), wait_ms / 1000)

    def _watch(self, call: "Deferred[T]", wait_s: float) -> "Deferred[T]":
        if not call.called:
            number = next(self._numbers)
            self._overdue[number] = self._read_uptime() + wait_s + OVERDUE_S
            call.addBoth(self._forget, number)
        return call.addCallbacks(self._note_answer, self._note_failure)

    def _forget(self, result: T, number: int) -> T:
        del self._overdue[number]
        return result

    def _note_answer(self, result: T) -> T:
        self._note_reached()
        return result

    def _note_reached(self) -> None:
        if self.is_lost():
            self._regained_at = self._read_uptime()
        self._answered_at = self._read_uptime()

    def _note_failure(self, failure: Failure) -> Failure:
        if failure.check(StoreUnavailableError, StoreOutcomeUnknownError):
            self._failed_at = self._read_uptime()
        else:
            self._note_reached()
        return failure

    def _note_duration(self, result: T, sent_at: float) -> T:
        self._usual_s += (self._read_uptime() - sent_at - self._usual_s) * NEW_SHARE
        return result
