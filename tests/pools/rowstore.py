"""In-memory row store with fault injection."""

from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed

from lavenderstall.callbacks import do_nothing
from lavenderstall.errors import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TransactionRejectedError,
)
from lavenderstall.pools.ports import (
    Committed,
    HistoryLostError,
    Page,
    Row,
    RowConflictError,
    StoreLimits,
    Transaction,
)


class FakeRowStore:
    """Row store; `unavailable` fails calls, `drop_responses` hides the results of commits."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.version = 0
        self.store_clock_ms = 1000.0
        self.unavailable = False
        self.drop_responses = False
        self.limits = StoreLimits()
        # An error that each commit raises instead of being applied.
        self.error: Exception | None = None
        self.deferred: list[Transaction] = []
        self.defer_writes = False
        self.oldest_version = 0
        self.changed_rows: list[Row] = []
        self.commits = 0
        # Called in each commit, to let time pass.
        self.advance: Callable[[], None] = lambda: None

    def commit(self, transaction: Transaction) -> Deferred[Committed]:
        """Apply a transaction atomically."""
        self.commits += 1
        self.advance()
        if self.error is not None:
            return fail(self.error)
        if not self.limits.accepts(transaction):
            return fail(TransactionRejectedError("a limit is exceeded", step="commit"))
        if self.unavailable:
            return fail(StoreUnavailableError("store is unavailable", step="commit"))
        if self.defer_writes:
            self.deferred.append(transaction)
            return fail(StoreOutcomeUnknownError("write is delayed", step="commit"))
        try:
            committed = self.apply(transaction)
        except RowConflictError as error:
            return fail(error)
        if self.drop_responses:
            return fail(StoreOutcomeUnknownError("no response", step="commit"))
        return succeed(committed)

    def apply(self, transaction: Transaction) -> Committed:
        """Apply a transaction now, or raise `RowConflictError`."""
        found = [
            self.rows.get(
                (c.table, transaction.partition, c.key), Row(c.table, transaction.partition, c.key)
            )
            for c in transaction.conditions
        ]
        if any(
            row.version != condition.version
            for row, condition in zip(found, transaction.conditions, strict=True)
        ):
            raise RowConflictError("row versions differ", step="commit", rows=tuple(found))
        self.version += 1
        for put in transaction.puts:
            row = Row(put.table, transaction.partition, put.key, put.value, self.version)
            self.rows[put.table, transaction.partition, put.key] = row
            self.changed_rows.append(row)
        for delete in transaction.deletes:
            self.rows.pop((delete.table, transaction.partition, delete.key), None)
            self.changed_rows.append(Row(delete.table, transaction.partition, delete.key))
        return Committed(self.version, self.store_clock_ms)

    def read(
        self,
        table: str,
        partition: str,
        start_key: str = "",
        limit: int = 0,
        on_progress: Callable[[], None] = do_nothing,
    ) -> Deferred[Page]:
        """Return rows of a partition in key order, beginning at a key."""
        if self.unavailable:
            return fail(StoreUnavailableError("store is unavailable", step="read"))
        rows = sorted(
            (
                row
                for (t, p, key), row in self.rows.items()
                if t == table and p == partition and key >= start_key
            ),
            key=lambda row: row.key,
        )
        return succeed(Page(tuple(rows[: limit or None]), self.version, self.store_clock_ms))

    def poll_changes(
        self,
        table: str,
        version: int,
        wait_ms: int,
        on_progress: Callable[[], None] = do_nothing,
    ) -> Deferred[Page]:
        """Return rows changed after a version."""
        if self.unavailable:
            return fail(StoreUnavailableError("store is unavailable", step="follow"))
        if version < self.oldest_version:
            return fail(HistoryLostError("changes were discarded", step="follow"))
        rows = tuple(
            row for row in self.changed_rows if row.table == table and row.version > version
        )
        return succeed(Page(rows, self.version, self.store_clock_ms))
