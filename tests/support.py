"""Fakes shared by tests."""

from collections import deque
from collections.abc import Coroutine
from enum import Enum
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from lavenderstall.errors import ConflictError, StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.protocol import Committed, Row, Rows, Transaction

T = TypeVar("T")


class Fault(Enum):
    """What happens to one write."""

    NONE = "none"
    DOWN = "down"
    REQUEST_LOST = "request lost"
    ACKNOWLEDGEMENT_LOST = "acknowledgement lost"
    DELAYED = "delayed"


class FakeTable:
    """Keep rows in memory, and apply one planned fault to each write."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.faults: deque[Fault] = deque()
        self.delayed: list[Transaction] = []
        self.failing_reads = 0
        self.writes = 0

    def _take(self, transaction: Transaction) -> "Deferred[Committed]":
        differing = frozenset(
            each.key
            for each in transaction.conditions
            if (self.rows[each.key].version if each.key in self.rows else 0) != each.version
        )
        if differing:
            return fail(ConflictError("rows differ", step="fake table", keys=differing))
        self.revision += 1
        self.writes += 1
        self.rows |= {
            each.key: Row(each.key, self.revision, each.value) for each in transaction.puts
        }
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return succeed(Committed(self.revision))

    def transact(self, transaction: Transaction) -> "Deferred[Committed]":
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.DOWN:
            return fail(StoreUnavailableError("down", step="fake table"))
        if fault is Fault.DELAYED:
            self.delayed.append(transaction)
        if fault is Fault.ACKNOWLEDGEMENT_LOST:
            self._take(transaction).addErrback(lambda _: None)
        if fault is not Fault.NONE:
            return fail(StoreOutcomeUnknownError(fault.value, step="fake table"))
        return self._take(transaction)

    def deliver(self) -> None:
        """Let delayed writes reach the table."""
        while self.delayed:
            self._take(self.delayed.pop(0)).addErrback(lambda _: None)

    def scan(self, prefix: str) -> "Deferred[Rows]":
        found = [self.rows[key] for key in sorted(self.rows) if key.startswith(prefix)]
        return succeed(Rows(self.revision, found))

    def read(self, key: str) -> "Deferred[Row | None]":
        if self.failing_reads:
            self.failing_reads -= 1
            return fail(StoreUnavailableError("down", step="fake table"))
        return succeed(self.rows.get(key))


def run(coroutine: Coroutine[Any, Any, T], clock: Clock | None = None) -> T:
    """Return the result of a coroutine that waits on nothing but the clock."""
    results: list[Any] = []
    deferred = Deferred.fromCoroutine(coroutine)
    deferred.addBoth(results.append)
    for _ in range(100):
        if results or clock is None:
            break
        clock.advance(1)
    if not results:
        raise AssertionError("the coroutine did not finish")
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]
