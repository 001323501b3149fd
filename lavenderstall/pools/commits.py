"""Commit of a transaction whose response may be lost."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError, StoreOutcomeUnknownError
from lavenderstall.pools.coroutines import launch
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.ports import Committed, Transaction

# A store that answers a read this quickly commits as quickly, unless the response was lost.
QUICK_READ_S = 0.1
# If such a store still doesn't show the transaction after this long, the wait for it ends.
ABANDON_AFTER_S = 0.3
NOT_FOUND = "no response, and the transaction isn't in the store yet"

CommitLookup = Callable[[], Awaitable[Committed | None]]


async def commit_and_verify(
    store: MonitoredStore, clock: Clock, transaction: Transaction, look_up: CommitLookup
) -> Committed:
    """Commit a transaction, and poll the store for its result while no response arrives.

    `look_up` reads whether the transaction was applied. Errors are those of the store; after
    `StoreOutcomeUnknownError` the transaction may still be applied.
    """
    verification = CommitVerification(store, clock, store.commit(transaction), look_up)
    return await verification.outcome


class CommitVerification:
    """Determine the outcome of one transaction from its response or by reading the store."""

    def __init__(
        self, store: MonitoredStore, clock: Clock, call: Deferred[Committed], look_up: CommitLookup
    ) -> None:
        self._store = store
        self._clock = clock
        self._call = call
        self._look_up = look_up
        self.outcome: Deferred[Committed] = Deferred()
        call.addCallbacks(self.handle_answer, self.handle_failure)
        if not call.called:
            launch(self._poll())

    def handle_answer(self, committed: Committed) -> None:
        """Report the result of the commit call."""
        if not self.outcome.called:
            self.outcome.callback(committed)

    def handle_failure(self, failure: Failure) -> None:
        """Read the store once if the response was lost; pass on any other error."""
        if self.outcome.called:
            return
        if failure.check(StoreOutcomeUnknownError):
            launch(self._look_up_once(failure))
        else:
            self.outcome.errback(failure)

    async def _look_up_once(self, failure: Failure) -> None:
        try:
            found = await self._look_up()
        except LavenderstallError:
            found = None
        if self.outcome.called:
            return
        if found is None:
            self.outcome.errback(failure)
        else:
            self.outcome.callback(found)

    async def _poll(self) -> None:
        """Look the transaction up repeatedly until its outcome is known."""
        started_at = self._clock.seconds()
        while not self.outcome.called:
            await sleep(self._clock, self._store.get_commit_wait_s())
            if self.outcome.called:
                return
            read_at = self._clock.seconds()
            try:
                found = await self._look_up()
            except LavenderstallError:
                continue
            quick_read = self._clock.seconds() - read_at < QUICK_READ_S
            if found is not None:
                self._finish(found)
            elif quick_read and self._clock.seconds() - started_at > ABANDON_AFTER_S:
                self._finish(Failure(StoreOutcomeUnknownError(NOT_FOUND, step="commit")))

    def _finish(self, outcome: Committed | Failure) -> None:
        """Report the outcome and cancel the call, unless its response has arrived meanwhile."""
        if self.outcome.called:
            return
        if isinstance(outcome, Failure):
            self.outcome.errback(outcome)
        else:
            self.outcome.callback(outcome)
        self._call.cancel()
