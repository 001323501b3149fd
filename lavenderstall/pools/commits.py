"""Transactions whose answers may be lost."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError, StoreOutcomeUnknownError
from lavenderstall.pools.background import launch
from lavenderstall.pools.ports import Committed, Transaction
from lavenderstall.pools.reach import ReachedStore

# A store that answers a read within this time answers transactions as soon, or has lost the answer.
QUICK_S = 0.1
# A transaction that such a store shows no trace of after this long is given up.
GIVE_UP_S = 0.3
NO_TRACE = "no answer, and no trace in the store yet"

Find = Callable[[], Awaitable[Committed | None]]


async def commit_surely(
    store: ReachedStore, clock: Clock, transaction: Transaction, find: Find
) -> Committed:
    """Commit a change, and look for it in the store while no answer comes.

    `find` reads whether the change has been applied. Errors are those of the store; after
    `StoreOutcomeUnknownError` the change may still be applied.
    """
    search = Search(store, clock, store.commit(transaction), find)
    return await search.outcome


class Search:
    """Find out what became of one transaction, by its answer or by reading."""

    def __init__(
        self, store: ReachedStore, clock: Clock, call: Deferred[Committed], find: Find
    ) -> None:
        self._store = store
        self._clock = clock
        self._call = call
        self._find = find
        self.outcome: Deferred[Committed] = Deferred()
        call.addCallbacks(self.note_answer, self.note_failure)
        if not call.called:
            launch(self._run())

    def note_answer(self, committed: Committed) -> None:
        """Take the answer."""
        if not self.outcome.called:
            self.outcome.callback(committed)

    def note_failure(self, failure: Failure) -> None:
        """Look once more if the answer was lost; pass on any other error."""
        if self.outcome.called:
            return
        if failure.check(StoreOutcomeUnknownError):
            launch(self._look_last(failure))
        else:
            self.outcome.errback(failure)

    async def _look_last(self, failure: Failure) -> None:
        try:
            found = await self._find()
        except LavenderstallError:
            found = None
        if self.outcome.called:
            return
        if found is None:
            self.outcome.errback(failure)
        else:
            self.outcome.callback(found)

    async def _run(self) -> None:
        """Look for the transaction again and again until its outcome is known."""
        began = self._clock.seconds()
        while not self.outcome.called:
            await sleep(self._clock, self._store.get_patience())
            if self.outcome.called:
                return
            asked_at = self._clock.seconds()
            try:
                found = await self._find()
            except LavenderstallError:
                continue
            quick = self._clock.seconds() - asked_at < QUICK_S
            if found is not None:
                self._conclude(found)
            elif quick and self._clock.seconds() - began > GIVE_UP_S:
                self._conclude(Failure(StoreOutcomeUnknownError(NO_TRACE, step="commit")))

    def _conclude(self, outcome: Committed | Failure) -> None:
        """End the wait for the answer, unless it has come meanwhile."""
        if self.outcome.called:
            return
        if isinstance(outcome, Failure):
            self.outcome.errback(outcome)
        else:
            self.outcome.callback(outcome)
        self._call.cancel()
