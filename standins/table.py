"""In-memory table service with conditions, revisions, limited rates and faults."""

import bisect
from collections import Counter, deque
from collections.abc import Callable
from typing import TypeVar

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock, call_after
from lavenderstall.errors import ConflictError, StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.protocol import Committed, Row, Rows, Transaction
from lavenderstall.storage import find_row
from standins.faults import TableFaults

T = TypeVar("T")

WRITES_PER_SECOND = 300
READS_PER_SECOND = 2_000
# Stale scans go back at most this many revisions; older ones are not kept.
HISTORY_REVISIONS = 256
# Times of accepted writes are kept for measurements, about ten minutes at 200 writes/s.
WRITE_TIMES = 120_000
ABSENT = msgspec.Raw(b"null")


class OverRateError(StoreUnavailableError):
    """The rate of the table service is used up; nothing took effect."""


class RowsDifferError(ConflictError):
    """A condition did not hold; `rows` are the rows that differ."""

    def __init__(self, rows: list[Row]) -> None:
        keys = frozenset(row.key for row in rows)
        super().__init__(f"rows differ: {', '.join(sorted(keys))}", step="transact", keys=keys)
        self.rows = rows


class RateMeter:
    """Count calls in each second of the clock and refuse those over a limit."""

    def __init__(self, clock: Clock, limit: int) -> None:
        self._clock = clock
        self.limit = limit
        self.accepted: Counter[int] = Counter()
        self.refused: Counter[int] = Counter()

    def admit(self) -> bool:
        """Count a call and tell whether it is within the rate."""
        second = int(self._clock.seconds())
        if self.accepted[second] >= self.limit:
            self.refused[second] += 1
            return False
        self.accepted[second] += 1
        return True


class Table:
    """Hold rows; transactions are atomic and each has the next revision.

    With `delay_s`, an operation takes effect after half of the delay and is answered after all
    of it. Failures are those of `TableStore`; a scan under `stale_revisions` is answered from
    an older revision, which `TableView` and the HTTP client discard.
    """

    def __init__(
        self,
        clock: Clock,
        writes_per_second: int = WRITES_PER_SECOND,
        reads_per_second: int = READS_PER_SECOND,
    ) -> None:
        self._clock = clock
        self.faults = TableFaults()
        self.revision = 0
        self.writes = RateMeter(clock, writes_per_second)
        self.reads = RateMeter(clock, reads_per_second)
        self.write_times: deque[float] = deque(maxlen=WRITE_TIMES)
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._undo: deque[dict[str, Row | None]] = deque(maxlen=HISTORY_REVISIONS)

    def transact(self, transaction: Transaction) -> Deferred[Committed]:
        """Write rows together if all conditions hold."""
        return self._run(lambda: self.commit(transaction), self._acknowledge)

    def scan(self, prefix: str) -> Deferred[Rows]:
        """Return the rows below a prefix."""
        return self._run(lambda: self._scan(prefix), lambda rows: rows)

    def read(self, key: str) -> Deferred[Row | None]:
        """Return one row, or none if it is absent."""
        return self._run(lambda: self._read(key), lambda row: row)

    def find_busiest_second(self) -> int:
        """Return the highest number of accepted writes within any one second."""
        busiest = 0
        window: deque[float] = deque()
        for time in self.write_times:
            window.append(time)
            while time - window[0] >= 1.0:
                window.popleft()
            busiest = max(busiest, len(window))
        return busiest

    def _run(self, operation: Callable[[], T], finish: Callable[[T], T]) -> Deferred[T]:
        """Apply an operation and answer it, each after half of the delay."""
        answer: Deferred[T] = Deferred()

        def apply() -> None:
            try:
                result = operation()
            except StoreUnavailableError as error:
                call_after(self._clock, delay, answer.errback, error)
            except ConflictError as error:
                call_after(self._clock, delay, answer.errback, error)
            else:
                call_after(self._clock, delay, respond, result)

        def respond(result: T) -> None:
            try:
                answer.callback(finish(result))
            except StoreOutcomeUnknownError as error:
                answer.errback(error)

        delay = self.faults.delay_s / 2
        call_after(self._clock, delay, apply)
        return answer

    def _check(self, meter: RateMeter, step: str) -> None:
        """Raise an error if the table is down or the rate is used up."""
        if self.faults.down:
            raise StoreUnavailableError("table service is down", step=step, peer="table")
        if not meter.admit():
            raise OverRateError(f"over {meter.limit} a second", step=step, peer="table")

    def commit(self, transaction: Transaction) -> Committed:
        """Apply a transaction at once; raise where `transact` fails."""
        self._check(self.writes, "transact")
        self.write_times.append(self._clock.seconds())
        differing = [
            self._rows.get(condition.key, Row(condition.key, 0, ABSENT))
            for condition in transaction.conditions
            if self._get_version(condition.key) != condition.version
        ]
        if differing:
            raise RowsDifferError(differing)
        self.revision += 1
        before: dict[str, Row | None] = {}
        for put in transaction.puts:
            before.setdefault(put.key, self._rows.get(put.key))
            self._set(put.key, Row(put.key, self.revision, put.value))
        for key in transaction.deletes:
            before.setdefault(key, self._rows.get(key))
            self._set(key, None)
        self._undo.append(before)
        return Committed(self.revision)

    def _acknowledge(self, committed: Committed) -> Committed:
        """Return the acknowledgement unless it is to be lost."""
        if self.faults.lose_next > 0:
            self.faults.lose_next -= 1
            raise StoreOutcomeUnknownError(
                "acknowledgement lost after the write took effect", step="transact", peer="table"
            )
        return committed

    def _get_version(self, key: str) -> int:
        """Return the version of a row, 0 if it is absent."""
        row = self._rows.get(key)
        return row.version if row else 0

    def _set(self, key: str, row: Row | None) -> None:
        """Replace or remove a row and keep the keys sorted."""
        if row is None:
            if self._rows.pop(key, None) is not None:
                del self._keys[bisect.bisect_left(self._keys, key)]
            return
        if key not in self._rows:
            bisect.insort(self._keys, key)
        self._rows[key] = row

    def _scan(self, prefix: str) -> Rows:
        """Return the rows below a prefix, from an older revision if reads are stale."""
        self._check(self.reads, "scan")
        stale = min(self.faults.stale_revisions, len(self._undo))
        if stale:
            return self._scan_past(prefix, stale)
        rows = []
        for key in self._keys[bisect.bisect_left(self._keys, prefix) :]:
            if not key.startswith(prefix):
                break
            rows.append(self._rows[key])
        return Rows(self.revision, rows)

    def _scan_past(self, prefix: str, revisions: int) -> Rows:
        """Return the rows below a prefix as they were some revisions ago."""
        past: dict[str, Row | None] = dict(self._rows)
        for before in list(self._undo)[: -revisions - 1 : -1]:
            past.update(before)
        kept = (row for row in past.values() if row is not None and row.key.startswith(prefix))
        return Rows(self.revision - revisions, sorted(kept, key=lambda row: row.key))

    def _read(self, key: str) -> Row | None:
        """Return one row."""
        return find_row(self._scan(key), key)


class TableView:
    """Reach a table as one client does: cut off at will, and never reading backwards."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._seen = 0
        self.cut_off = False

    def transact(self, transaction: Transaction) -> Deferred[Committed]:
        """Write rows together if all conditions hold."""
        sent = self._reach("transact", lambda: self._table.transact(transaction))
        return sent.addCallbacks(self._note_commit, self._note_conflict)

    def scan(self, prefix: str) -> Deferred[Rows]:
        """Return the rows below a prefix, never older than an answer seen before."""
        return self._reach("scan", lambda: self._table.scan(prefix)).addCallback(self._check)

    def read(self, key: str) -> Deferred[Row | None]:
        """Return one row, or none if it is absent."""
        return self.scan(key).addCallback(find_row, key)

    def _reach(self, step: str, operation: Callable[[], Deferred[T]]) -> Deferred[T]:
        """Run an operation unless the client is cut off from the table."""
        if not self.cut_off:
            return operation()
        failed: Deferred[T] = Deferred()
        failed.errback(StoreUnavailableError("table not reached", step=step, peer="table"))
        return failed

    def _note_commit(self, committed: Committed) -> Committed:
        """Take the revision of a commit as seen."""
        self._seen = max(self._seen, committed.revision)
        return committed

    def _note_conflict(self, failure: Failure) -> Failure:
        """Take the versions of the rows that differ as seen."""
        if isinstance(failure.value, RowsDifferError):
            self._seen = max([self._seen, *(row.version for row in failure.value.rows)])
        return failure

    def _check(self, rows: Rows) -> Rows:
        """Discard an answer from a lower revision than one seen before."""
        if rows.revision < self._seen:
            raise StoreUnavailableError(
                f"read at revision {rows.revision} after {self._seen}", step="scan", peer="table"
            )
        self._seen = rows.revision
        return rows
