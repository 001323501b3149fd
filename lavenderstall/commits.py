"""Group commit: batch writes into transactions, rate-limited across all entry instances."""

import logging
from collections.abc import Callable, Generator, Iterable
from itertools import chain
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, fail, inlineCallbacks, maybeDeferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock, DelayedCall
from lavenderstall.errors import (
    BadRequestError,
    ConflictError,
    LavenderstallError,
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.protocol import Committed, Condition, Put, Rows, Transaction
from lavenderstall.storage import TableStore
from lavenderstall.writes import (
    ReadBack,
    Write,
    check_read_back,
    get_probe_key,
    merge_writes,
    select_writes,
    stamp_put,
)

logger = logging.getLogger(__name__)

# Total of all entry instances. Liveness rows add another 50 writes per second, and the table
# sustains several hundred.
FLEET_TRANSACTIONS_PER_SECOND = 150
INSTANCE_TRANSACTIONS_PER_SECOND = 20
MAX_TRANSACTION_ROWS = 100
MAX_QUEUED_WRITES = 5_000
# At a store latency of 1 s, this limit still allows half of the rate of an instance.
MAX_TRANSACTIONS_IN_FLIGHT = 10
BACKOFF_INITIAL_S = 0.1
BACKOFF_MAX_S = 2.0
REASON_BUSY = "store_busy"
STEP = "commit"


class GroupCommit:
    """Merge writes into transactions and send them within the rate of this entry instance.

    `make_nonce` returns a unique string, which is stored as `nonce` in each row that is put;
    row values must be JSON objects. `count_live_entries` must not drop while the store is
    unreachable, or the entry instances together exceed their rate when it recovers.
    """

    def __init__(
        self,
        store: TableStore,
        clock: Clock,
        make_nonce: Callable[[], str],
        count_live_entries: Callable[[], int],
    ) -> None:
        self._store = store
        self._clock = clock
        self._make_nonce = make_nonce
        self._count_live_entries = count_live_entries
        # An ordered set: the writes in sending order.
        self._queue: dict[Write, None] = {}
        self._in_flight: list[list[Write]] = []
        self._timer: DelayedCall | None = None
        self._next_at = clock.seconds()
        self._backoff_s = 0.0
        self._backoff_until = clock.seconds()
        self._flushes: list[Deferred[None]] = []

    def submit(
        self,
        conditions: Iterable[Condition] = (),
        puts: Iterable[Put] = (),
        deletes: Iterable[str] = (),
        *,
        timeout: float,
    ) -> Deferred[Committed]:
        """Queue one atomic write for at most `timeout` seconds.

        Fails with `ConflictError` or `StoreUnavailableError` if it took no effect, with
        `StoreOutcomeUnknownError` if it may have, with `RefusedError` if the queue is full. A
        put without a condition may be sent twice and overwrite a concurrent write of the row.
        """
        if len(self._queue) >= MAX_QUEUED_WRITES:
            return fail(self._make_queue_full_error())
        nonce = self._make_nonce()
        try:
            stamped = [stamp_put(put, nonce) for put in puts]
        except msgspec.DecodeError as error:
            return fail(BadRequestError(f"value is not a JSON object: {error}", step=STEP))
        write = Write(Transaction(list(conditions), stamped, list(deletes)), nonce)
        write.timer = self._clock.callLater(timeout, self._expire, write)
        self._queue[write] = None
        write.deferred.addBoth(self._remove_write, write)
        self._schedule()
        return write.deferred

    def flush(self) -> Deferred[None]:
        """Return once the outcome of every submitted write is reported."""
        flushed: Deferred[None] = Deferred()
        self._flushes.append(flushed)
        self._finish_flushes()
        return flushed

    def get_depth(self) -> int:
        """Return the number of queued writes."""
        return len(self._queue)

    def is_stalled(self) -> bool:
        """Return whether writes are held up because the table service is unavailable.

        False if no write is pending, so that the next one is accepted and probes for recovery.
        """
        return self._backoff_s > 0 and bool(self._queue or self._in_flight)

    def compute_rate(self) -> float:
        """Return the transactions per second that this entry instance may send.

        Rates above 1 are rounded down to a whole number, so that synchronized instances stay
        within the total rate in each second, not only on average.
        """
        share = FLEET_TRANSACTIONS_PER_SECOND / max(1, self._count_live_entries())
        return min(INSTANCE_TRANSACTIONS_PER_SECOND, int(share)) if share >= 1 else share

    def _make_queue_full_error(self) -> RefusedError:
        """Return the error for a full queue."""
        wait_s = MAX_QUEUED_WRITES / MAX_TRANSACTION_ROWS / self.compute_rate()
        return RefusedError(
            f"{len(self._queue)} writes wait for the table service",
            step=STEP,
            reason=REASON_BUSY,
            retry_after_ms=int(wait_s * 1_000),
        )

    def _remove_write(self, result: Any, write: Write) -> Any:
        """Remove a write whose outcome was reported, and pass the outcome on."""
        self._queue.pop(write, None)
        self._finish_flushes()
        return result

    def _expire(self, write: Write) -> None:
        """Fail a write that timed out."""
        if write.maybe_committed or write.in_flight:
            detail = "sent, and no answer came in time"
            write.fail(StoreOutcomeUnknownError(detail, step=STEP))
        else:
            detail = "not taken by the table service in time"
            write.fail(StoreUnavailableError(detail, step=STEP))

    def _finish_flushes(self) -> None:
        """Complete pending flushes if no outcome is outstanding."""
        if not self._flushes or self._queue:
            return
        if not all(write.closed for write in chain(*self._in_flight)):
            return
        flushes, self._flushes = self._flushes, []
        for flushed in flushes:
            flushed.callback(None)

    def _schedule(self) -> None:
        """Send now, or as soon as the rate limit allows."""
        if not self._queue or (self._timer is not None and self._timer.active()):
            return
        delay = self._next_at - self._clock.seconds()
        if delay > 0:
            self._timer = self._clock.callLater(delay, self._schedule)
        else:
            self._send()

    def _send(self) -> None:
        """Send one transaction of queued writes that do not depend on earlier ones."""
        if len(self._in_flight) >= MAX_TRANSACTIONS_IN_FLIGHT:
            return
        batch = select_writes(self._queue, chain(*self._in_flight), MAX_TRANSACTION_ROWS)
        if not batch:
            return
        for write in batch:
            del self._queue[write]
            write.in_flight = True
        self._next_at = self._clock.seconds() + 1 / self.compute_rate()
        self._in_flight.append(batch)
        sent = maybeDeferred(self._store.transact, merge_writes(batch))
        sent.addCallback(self._report_committed, batch)
        sent.addErrback(self._handle_failure, batch)
        sent.addErrback(self._fail_batch, batch)
        self._schedule()

    def _finish_batch(self, batch: list[Write], resend: Iterable[Write] = ()) -> None:
        """Remove a batch from those in flight and requeue writes to resend."""
        self._in_flight.remove(batch)
        for write in batch:
            write.in_flight = False
        ahead = dict.fromkeys(write for write in resend if not write.closed)
        if ahead:
            self._queue = ahead | self._queue
        self._finish_flushes()
        self._schedule()

    def _report_committed(self, committed: Committed, batch: list[Write]) -> None:
        """Report a batch as committed."""
        self._backoff_s = 0.0
        for write in batch:
            write.succeed(committed.revision)
        self._finish_batch(batch)

    def _handle_failure(self, failure: Failure, batch: list[Write]) -> Any:
        """Resend, read back or fail the writes of a batch that was not acknowledged."""
        match failure.value:
            case StoreUnavailableError():
                self._back_off()
                self._finish_batch(batch, resend=batch)
            case ConflictError() as error:
                self._backoff_s = 0.0
                return self._handle_conflict(error, batch)
            case StoreOutcomeUnknownError():
                return self._resolve_unknown_outcome(batch)
            case _:
                return failure
        return None

    def _fail_batch(self, failure: Failure, batch: list[Write]) -> None:
        """Fail a batch with a permanent error."""
        logger.error("transaction of %d writes failed: %s", len(batch), failure.value)
        error = failure.value
        if not isinstance(error, LavenderstallError):
            error = StoreOutcomeUnknownError(f"{type(error).__name__}: {error}", step=STEP)
        for write in batch:
            write.fail(error)
        if batch in self._in_flight:
            self._finish_batch(batch)

    def _back_off(self) -> None:
        """Delay the next transaction with exponential backoff until the store answers."""
        now = self._clock.seconds()
        if now >= self._backoff_until:
            self._backoff_s = min(max(2 * self._backoff_s, BACKOFF_INITIAL_S), BACKOFF_MAX_S)
            self._backoff_until = now + self._backoff_s
        self._next_at = max(self._next_at, self._backoff_until)

    @inlineCallbacks
    def _handle_conflict(
        self, error: ConflictError, batch: list[Write]
    ) -> Generator[Deferred[Any], Any, None]:
        """Fail the conflicting writes and resend the rest."""
        conflicting = [write for write in batch if write.condition_keys & error.keys]
        if not conflicting:
            raise error
        for write in conflicting:
            if not write.maybe_committed:
                write.fail_conflict(error)
                continue
            # An earlier attempt of the same write may have changed the row.
            read_back = yield self._read_back(write)
            if read_back.revision:
                write.succeed(read_back.revision)
            else:
                detail = "an earlier attempt may have taken effect and been overwritten"
                write.fail(StoreOutcomeUnknownError(detail, step=STEP))
        self._finish_batch(batch, resend=batch)

    @inlineCallbacks
    def _resolve_unknown_outcome(self, batch: list[Write]) -> Generator[Deferred[Any], Any, None]:
        """Read back a batch with unknown outcome, then report or resend it.

        One row of a write that was sent for the first time shows whether the transaction was
        committed; a resent write may have been committed by an earlier transaction instead.
        """
        fresh = [write for write in batch if not write.maybe_committed]
        repeated = [write for write in batch if write.maybe_committed]
        for write in batch:
            write.maybe_committed = True
        for write in fresh:
            read_back = yield self._read_back(write)
            if read_back.revision:
                self._report_committed(Committed(read_back.revision), batch)
                return
            if read_back.absent:
                break
        for write in repeated:
            read_back = yield self._read_back(write)
            if read_back.revision:
                write.succeed(read_back.revision)
        self._finish_batch(batch, resend=batch)

    @inlineCallbacks
    def _read_back(self, write: Write) -> Generator[Deferred[Any], Any, ReadBack]:
        """Read back one write, retrying while the store is unavailable."""
        key = get_probe_key(write)
        while key and not write.closed:
            try:
                rows: Rows = yield self._store.scan(key)
            except StoreUnavailableError:
                self._back_off()
                yield self._wait(max(self._backoff_s, BACKOFF_INITIAL_S))
            else:
                self._backoff_s = 0.0
                return check_read_back(write, rows)
        return ReadBack()

    def _wait(self, delay: float) -> Deferred[None]:
        """Return after a delay in seconds."""
        waited: Deferred[None] = Deferred()
        self._clock.callLater(delay, waited.callback, None)
        return waited
