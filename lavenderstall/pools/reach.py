"""Whether the store is reached, learnt from the calls that are made anyway."""

from collections.abc import Callable
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.errors import StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.pools.ports import Change, Committed, Page, RowStore

T = TypeVar("T")

# With no call answered for this long after one that failed, the store counts as lost.
LOST_S = 0.3


class ReachedStore:
    """Pass calls to a store and note which of them it answers."""

    def __init__(self, store: RowStore, read_uptime: Callable[[], float]) -> None:
        self._store = store
        self._read_uptime = read_uptime
        self._answered_at = read_uptime()
        self._failed_at = -1.0

    def is_lost(self) -> bool:
        """Tell whether calls have failed lately and none was answered since."""
        return (
            self._failed_at > self._answered_at and self._read_uptime() - self._answered_at > LOST_S
        )

    def commit(self, change: Change) -> "Deferred[Committed]":
        """Apply all of a change or nothing of it."""
        return self._watch(self._store.commit(change))

    def read(self, table: str, part: str, first: str = "", limit: int = 0) -> "Deferred[Page]":
        """Return rows of a part in the order of their keys, from a key on."""
        return self._watch(self._store.read(table, part, first, limit))

    def follow(self, table: str, version: int, wait_ms: int) -> "Deferred[Page]":
        """Return rows of all parts changed after a version."""
        return self._watch(self._store.follow(table, version, wait_ms))

    def _watch(self, call: "Deferred[T]") -> "Deferred[T]":
        return call.addCallbacks(self._note_answer, self._note_failure)

    def _note_answer(self, result: T) -> T:
        self._answered_at = self._read_uptime()
        return result

    def _note_failure(self, failure: Failure) -> Failure:
        if failure.check(StoreUnavailableError, StoreOutcomeUnknownError):
            self._failed_at = self._read_uptime()
        else:
            self._answered_at = self._read_uptime()
        return failure
