"""Group commit: many writes in few transactions, at a rate that the whole fleet shares."""

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
    Finding,
    Write,
    examine_rows,
    get_witness,
    merge_writes,
    select_writes,
    stamp_put,
)

logger = logging.getLogger(__name__)

# Transactions a second of all entry instances together; liveness rows take another 50, and the
# table sustains several hundred.
FLEET_RATE = 150
INSTANCE_RATE = 20
TRANSACTION_ROWS = 100
QUEUE_WRITES = 5_000
# With a store that answers in 1 s, this many transactions in flight still use half of the rate.
IN_FLIGHT = 10
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 2.0
REASON_BUSY = "store_busy"
STEP = "commit"


class GroupCommit:
    """Merge writes into transactions and send them at the rate of this entry instance.

    `make_nonce` returns a text that was never used before; it is set as `nonce` in each row
    that is put, whose value has to be a JSON object. `count_live_entries` must not shrink
    because the store is unreachable, or the fleet exceeds its rate when the store returns.
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
        # Keys are in the order in which the writes are to be sent.
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
        put without a condition may be sent twice and overwrite what another writer put between.
        """
        if len(self._queue) >= QUEUE_WRITES:
            return fail(self._make_busy())
        nonce = self._make_nonce()
        try:
            stamped = [stamp_put(put, nonce) for put in puts]
        except msgspec.DecodeError as error:
            return fail(BadRequestError(f"value is not a JSON object: {error}", step=STEP))
        write = Write(Transaction(list(conditions), stamped, list(deletes)), nonce)
        write.timer = self._clock.callLater(timeout, self._expire, write)
        self._queue[write] = None
        write.deferred.addBoth(self._drop, write)
        self._schedule()
        return write.deferred

    def flush(self) -> Deferred[None]:
        """Return once no write is left whose outcome is awaited."""
        flushed: Deferred[None] = Deferred()
        self._flushes.append(flushed)
        self._finish_flushes()
        return flushed

    def get_depth(self) -> int:
        """Return the number of writes that wait to be sent."""
        return len(self._queue)

    def is_stalled(self) -> bool:
        """Tell whether writes wait because the table service took none of late.

        Without waiting writes nothing would notice its recovery, so that one more is let in.
        """
        return self._backoff_s > 0 and bool(self._queue or self._in_flight)

    def compute_rate(self) -> float:
        """Return the transactions a second that this entry instance may send.

        Above one a second the rate is a whole number, so that instances in step with each other
        stay within the fleet's rate in each second, not only on average.
        """
        share = FLEET_RATE / max(1, self._count_live_entries())
        return min(INSTANCE_RATE, int(share)) if share >= 1 else share

    def _make_busy(self) -> RefusedError:
        """Return the error for a full queue."""
        wait_s = QUEUE_WRITES / TRANSACTION_ROWS / self.compute_rate()
        return RefusedError(
            f"{len(self._queue)} writes wait for the table service",
            step=STEP,
            reason=REASON_BUSY,
            retry_after_ms=int(wait_s * 1_000),
        )

    def _drop(self, result: Any, write: Write) -> Any:
        """Forget a write whose outcome was reported, and pass the outcome on."""
        self._queue.pop(write, None)
        self._finish_flushes()
        return result

    def _expire(self, write: Write) -> None:
        """Fail a write whose time is over."""
        if write.uncertain or write.in_flight:
            detail = "sent, and no answer came in time"
            write.fail(StoreOutcomeUnknownError(detail, step=STEP))
        else:
            detail = "not taken by the table service in time"
            write.fail(StoreUnavailableError(detail, step=STEP))

    def _finish_flushes(self) -> None:
        """Report flushes as finished if no outcome is awaited."""
        if not self._flushes or self._queue:
            return
        if not all(write.closed for write in chain(*self._in_flight)):
            return
        flushes, self._flushes = self._flushes, []
        for flushed in flushes:
            flushed.callback(None)

    def _schedule(self) -> None:
        """Send now if the rate allows it, or else once it does."""
        if not self._queue or (self._timer is not None and self._timer.active()):
            return
        delay = self._next_at - self._clock.seconds()
        if delay > 0:
            self._timer = self._clock.callLater(delay, self._schedule)
        else:
            self._send()

    def _send(self) -> None:
        """Send one transaction of the writes that need not wait for an earlier one."""
        if len(self._in_flight) >= IN_FLIGHT:
            return
        batch = select_writes(self._queue, chain(*self._in_flight), TRANSACTION_ROWS)
        if not batch:
            return
        for write in batch:
            del self._queue[write]
            write.in_flight = True
        self._next_at = self._clock.seconds() + 1 / self.compute_rate()
        self._in_flight.append(batch)
        sent = maybeDeferred(self._store.transact, merge_writes(batch))
        sent.addCallback(self._settle, batch)
        sent.addErrback(self._handle_failure, batch)
        sent.addErrback(self._fail_batch, batch)
        self._schedule()

    def _release(self, batch: list[Write], again: Iterable[Write] = ()) -> None:
        """End the flight of a batch and put what is to be sent again ahead of the queue."""
        self._in_flight.remove(batch)
        for write in batch:
            write.in_flight = False
        ahead = dict.fromkeys(write for write in again if not write.closed)
        if ahead:
            self._queue = ahead | self._queue
        self._finish_flushes()
        self._schedule()

    def _settle(self, committed: Committed, batch: list[Write]) -> None:
        """Report a batch that took effect."""
        self._backoff_s = 0.0
        for write in batch:
            write.succeed(committed.revision)
        self._release(batch)

    def _handle_failure(self, failure: Failure, batch: list[Write]) -> Any:
        """Resend, look up or fail the writes of a batch that was not acknowledged."""
        match failure.value:
            case StoreUnavailableError():
                self._back_off()
                self._release(batch, again=batch)
            case ConflictError() as error:
                self._backoff_s = 0.0
                return self._handle_conflict(error, batch)
            case StoreOutcomeUnknownError():
                return self._look_up(batch)
            case _:
                return failure
        return None

    def _fail_batch(self, failure: Failure, batch: list[Write]) -> None:
        """Fail a batch with an error that resending does not cure."""
        logger.error("transaction of %d writes failed: %s", len(batch), failure.value)
        error = failure.value
        if not isinstance(error, LavenderstallError):
            error = StoreOutcomeUnknownError(f"{type(error).__name__}: {error}", step=STEP)
        for write in batch:
            write.fail(error)
        if batch in self._in_flight:
            self._release(batch)

    def _back_off(self) -> None:
        """Delay the next transaction, longer each time until the store answers."""
        now = self._clock.seconds()
        if now >= self._backoff_until:
            self._backoff_s = min(max(2 * self._backoff_s, BACKOFF_FIRST_S), BACKOFF_LIMIT_S)
            self._backoff_until = now + self._backoff_s
        self._next_at = max(self._next_at, self._backoff_until)

    @inlineCallbacks
    def _handle_conflict(
        self, error: ConflictError, batch: list[Write]
    ) -> Generator[Deferred[Any], Any, None]:
        """Fail the writes concerned and resend the rest."""
        concerned = [write for write in batch if write.conditioned & error.keys]
        if not concerned:
            raise error
        for write in concerned:
            if not write.uncertain:
                write.fail_conflict(error)
                continue
            # The row may differ because an earlier attempt of the same write took effect.
            finding = yield self._find(write)
            if finding.revision:
                write.succeed(finding.revision)
            else:
                detail = "an earlier attempt may have taken effect and been overwritten"
                write.fail(StoreOutcomeUnknownError(detail, step=STEP))
        self._release(batch, again=batch)

    @inlineCallbacks
    def _look_up(self, batch: list[Write]) -> Generator[Deferred[Any], Any, None]:
        """Read back a batch with unknown outcome, then report it or send it again.

        One row of a write that was sent for the first time tells about the whole transaction;
        a write that was uncertain before may have taken effect with an earlier one.
        """
        fresh = [write for write in batch if not write.uncertain]
        repeated = [write for write in batch if write.uncertain]
        for write in batch:
            write.uncertain = True
        for write in fresh:
            finding = yield self._find(write)
            if finding.revision:
                self._settle(Committed(finding.revision), batch)
                return
            if finding.absent:
                break
        for write in repeated:
            finding = yield self._find(write)
            if finding.revision:
                write.succeed(finding.revision)
        self._release(batch, again=batch)

    @inlineCallbacks
    def _find(self, write: Write) -> Generator[Deferred[Any], Any, Finding]:
        """Read back one write, again and again while the store is unavailable."""
        key = get_witness(write)
        while key and not write.closed:
            try:
                rows: Rows = yield self._store.scan(key)
            except StoreUnavailableError:
                self._back_off()
                yield self._wait(max(self._backoff_s, BACKOFF_FIRST_S))
            else:
                self._backoff_s = 0.0
                return examine_rows(write, rows)
        return Finding()

    def _wait(self, delay: float) -> Deferred[None]:
        """Return after a delay in seconds."""
        waited: Deferred[None] = Deferred()
        self._clock.callLater(delay, waited.callback, None)
        return waited
