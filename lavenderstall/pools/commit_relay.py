"""Commits through peers, for an owner that the store turns away."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock
from lavenderstall.errors import (
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import EntryId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.messages import CommitAnswer, CommitOutcome, CommitRequest
from lavenderstall.pools.ports import Committed, RowConflictError, RowStore, Transaction

T = TypeVar("T")

logger = logging.getLogger(__name__)

# Interval at which a commit without an answer is checked for whether a peer may help.
RELAY_CHECK_INTERVAL_S = 0.1
# If a peer committed within this time, and may help again, it is asked without that wait.
RECENT_RELAY_S = 0.6


class CommitPeers(Protocol):
    """Peers that reach the store."""

    def choose_write_proxies(self) -> list[EntryId]:
        """Return live peers that reach the store."""

    async def request_commit(self, peer: EntryId, transaction: Transaction) -> CommitAnswer | None:
        """Ask a peer to commit; returns none without an answer."""


class CommitRelay:
    """Commit transactions through a peer; their conditions hold whoever sends them."""

    def __init__(
        self, peers: CommitPeers, read_uptime: Callable[[], float], metrics: Metrics
    ) -> None:
        self._peers = peers
        self._read_uptime = read_uptime
        self._metrics = metrics
        # When a peer last committed, in seconds of uptime, and how long that took.
        self._committed_at = float("-inf")
        self._commit_s = 0.0

    def is_available(self) -> bool:
        """Tell whether a peer reaches the store."""
        return bool(self._peers.choose_write_proxies())

    async def commit(self, transaction: Transaction) -> Committed:
        """Commit through a peer; errors are those of `RowStore.commit`."""
        proxies = self._peers.choose_write_proxies()
        if not proxies:
            raise StoreUnavailableError("no peer reaches the store", step="relay commit")
        peer = proxies[0]
        sent_at = self._read_uptime()
        answer = await self._peers.request_commit(peer, transaction)
        if answer is None:
            raise StoreOutcomeUnknownError("no answer", step="relay commit", peer=peer)
        self._metrics.count(f"commits_relayed_{answer.outcome.value}")
        committed = read_answer(answer, peer)
        self._committed_at = self._read_uptime()
        self._commit_s = self._committed_at - sent_at
        return committed

    def get_commit_s(self, since: float) -> float | None:
        """Return how long a commit through a peer took, or none if there was none since then."""
        return self._commit_s if self._committed_at >= since else None

    def has_recent_commit(self) -> bool:
        """Tell whether a peer has committed lately."""
        return self._read_uptime() - self._committed_at < RECENT_RELAY_S


class HedgedCommit:
    """Commit directly, and through a peer too if that fails or is slow and a peer may help.

    At most one attempt is applied, as both have the same conditions; the other one conflicts.
    """

    def __init__(
        self,
        clock: Clock,
        direct: Coroutine[Any, Any, Committed],
        relay: CommitRelay,
        transaction: Transaction,
        may_relay: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._relay = relay
        self._may_relay = may_relay
        self._transaction = transaction
        self._pending = 1
        self._relayed = False
        self._unknown: Failure | None = None
        self.outcome: Deferred[Committed] = Deferred()
        Deferred.fromCoroutine(direct).addCallbacks(self._finish, self._handle_direct_failure)
        if relay.has_recent_commit():
            self._relay_if_useful()
        self._schedule_check()

    def _finish(self, committed: Committed) -> None:
        if not self.outcome.called:
            self.outcome.callback(committed)

    def _handle_direct_failure(self, failure: Failure) -> None:
        if failure.check(StoreUnavailableError):
            self._relay_if_useful()
        self._handle_failure(failure)

    def _schedule_check(self) -> None:
        if not self.outcome.called and not self._relayed:
            timer = self._clock.callLater(RELAY_CHECK_INTERVAL_S, self._check)
            self.outcome.addBoth(_cancel_timer, timer)

    def _check(self) -> None:
        self._relay_if_useful()
        self._schedule_check()

    def _relay_if_useful(self) -> None:
        if (
            self.outcome.called
            or self._relayed
            or not self._may_relay()
            or not self._relay.is_available()
        ):
            return
        self._relayed = True
        self._pending += 1
        relayed = Deferred.fromCoroutine(self._relay.commit(self._transaction))
        relayed.addCallbacks(self._finish, self._handle_failure)

    def _handle_failure(self, failure: Failure) -> None:
        """Report a conflict at once, and any other error once no attempt is left."""
        self._pending -= 1
        if self.outcome.called:
            return
        if failure.check(StoreOutcomeUnknownError):
            self._unknown = failure
        if failure.check(RowConflictError):
            self.outcome.errback(failure)
        elif not self._pending:
            self.outcome.errback(self._unknown or failure)


def _cancel_timer(result: T, timer: Any) -> T:
    if timer.active():
        timer.cancel()
    return result


def read_answer(answer: CommitAnswer, peer: EntryId) -> Committed:
    """Return the result of a relayed commit, or raise the error that the peer met."""
    if answer.outcome is CommitOutcome.APPLIED:
        return Committed(answer.version, answer.store_clock_ms)
    if answer.outcome is CommitOutcome.CONFLICT:
        raise RowConflictError(answer.detail, step="relay commit", peer=peer, rows=answer.rows)
    kind = (
        StoreUnavailableError
        if answer.outcome is CommitOutcome.UNAVAILABLE
        else StoreOutcomeUnknownError
    )
    raise kind(answer.detail, step="relay commit", peer=peer)


async def answer_commit(store: RowStore, request: CommitRequest) -> CommitAnswer:
    """Commit a peer's transaction and return the outcome."""
    answer = CommitAnswer(request.request_id, CommitOutcome.UNKNOWN)
    try:
        committed = await store.commit(request.transaction)
    except RowConflictError as error:
        return msgspec.structs.replace(
            answer, outcome=CommitOutcome.CONFLICT, detail=str(error), rows=error.rows
        )
    except StoreUnavailableError as error:
        return msgspec.structs.replace(answer, outcome=CommitOutcome.UNAVAILABLE, detail=str(error))
    except LavenderstallError as error:
        logger.info("outcome of a relayed commit is unknown", extra={"error": str(error)})
        return msgspec.structs.replace(answer, detail=str(error))
    return msgspec.structs.replace(
        answer,
        outcome=CommitOutcome.APPLIED,
        version=committed.version,
        store_clock_ms=committed.store_clock_ms,
    )
