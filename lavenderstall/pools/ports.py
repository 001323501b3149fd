"""Interfaces of the pool scheduler to the store, workers, registry and placement service."""

from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.callbacks import do_nothing
from lavenderstall.errors import LavenderstallError
from lavenderstall.pools.effects import Advice, PaceRun, PollResponse, Refusal, StartRun, StopRun
from lavenderstall.pools.work import Settings, Task
from lavenderstall.pools.workers import WorkerEntry

# Room for the table, the partition, the key and the version of an entry of a transaction.
ENTRY_BYTES = 512


class Row(msgspec.Struct, frozen=True):
    """A row of a table; version 0 means that it is absent."""

    table: str
    partition: str
    key: str
    value: bytes = b""
    version: int = 0


class Page(msgspec.Struct, frozen=True):
    """Result of a read: rows, the store's newest version and its monotonic clock."""

    rows: tuple[Row, ...]
    version: int
    store_clock_ms: float
    has_more: bool = False


class Condition(msgspec.Struct, frozen=True):
    """Require that a row has a version, 0 for a row that must be absent."""

    table: str
    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """Write a row."""

    table: str
    key: str
    value: bytes


class Delete(msgspec.Struct, frozen=True):
    """Delete a row."""

    table: str
    key: str


class Transaction(msgspec.Struct, frozen=True):
    """Conditions, writes and deletions of one transaction over rows of one partition."""

    partition: str
    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


class StoreLimits(msgspec.Struct, frozen=True):
    """What a store accepts: the size of a row's value, and of a transaction and its entries."""

    value_bytes: int = 48 * 1024
    transaction_bytes: int = 750_000
    entries: int = 100

    def accepts(self, transaction: Transaction) -> bool:
        """Tell whether a transaction keeps the limits."""
        rows = [*transaction.conditions, *transaction.puts, *transaction.deletes]
        values = [len(put.value) for put in transaction.puts]
        size = sum(values) + ENTRY_BYTES * len(rows)
        return (
            len(rows) <= self.entries
            and size <= self.transaction_bytes
            and max(values, default=0) <= self.value_bytes
        )


class Committed(msgspec.Struct, frozen=True):
    """Result of a commit: its version and the store's monotonic clock."""

    version: int
    store_clock_ms: float


class RowConflictError(LavenderstallError):
    """A condition of a transaction failed; `rows` are the current rows of all its conditions."""

    def __init__(self, detail: str, *, step: str, peer: str = "", rows: tuple[Row, ...]) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.rows = rows


class HistoryLostError(LavenderstallError):
    """The store has discarded the changes after a version."""


class RowStore(Protocol):
    """A store of rows in partitions of tables.

    Calls fail with `StoreUnavailableError` if nothing took effect, `RowConflictError` if a
    condition failed, and `StoreOutcomeUnknownError` if a write may have taken or may yet take
    effect.
    """

    def commit(self, transaction: Transaction) -> "Deferred[Committed]":
        """Apply a transaction atomically."""

    def read(
        self,
        table: str,
        partition: str,
        start_key: str = "",
        limit: int = 0,
        on_progress: Callable[[], None] = do_nothing,
    ) -> "Deferred[Page]":
        """Return rows of a partition in key order, beginning at a key.

        `on_progress` is called for each part of the answer that arrives.
        """

    def poll_changes(
        self,
        table: str,
        version: int,
        wait_ms: int,
        on_progress: Callable[[], None] = do_nothing,
    ) -> "Deferred[Page]":
        """Wait for rows changed after a version, or fail with `HistoryLostError`."""


class Registry(Protocol):
    """Registry of workers."""

    def list_workers(self) -> "Deferred[list[WorkerEntry]]":
        """Return all workers with a valid entry."""


class Lease(msgspec.Struct, frozen=True):
    """Extension of the leases of all runs on a worker, to a time on its clock."""

    deadline_ms: int


class WorkerClient(Protocol):
    """Send commands to workers under a fencing token.

    Calls fail with `PeerUnavailableError` if nothing was sent and `AnswerLostError` if the command
    may have been or may yet be executed, in the form of `DisconnectedError` if the connection was
    reset, and of `PeerClosedError` if the worker's host closed it.
    """

    def poll(
        self,
        worker: WorkerEntry,
        fencing_token: int,
        acknowledged_seq: int,
        lease: Lease | None,
        wait_ms: int,
    ) -> "Deferred[PollResponse | Refusal]":
        """Return live runs and ends after `acknowledged_seq`; wait up to `wait_ms` for an end."""

    def start(
        self, worker: WorkerEntry, fencing_token: int, command: StartRun
    ) -> "Deferred[float | Refusal]":
        """Start a run and return the worker's clock in milliseconds."""

    def stop(
        self, worker: WorkerEntry, fencing_token: int, command: StopRun
    ) -> "Deferred[float | Refusal]":
        """Stop a run and return the worker's clock in milliseconds."""

    def throttle(
        self, worker: WorkerEntry, fencing_token: int, command: PaceRun
    ) -> "Deferred[float | Refusal]":
        """Limit the speed of a run and return the worker's clock in milliseconds."""


class Adviser(Protocol):
    """Client of the placement service, which decides which workers may run a step."""

    def request_advice(
        self, step: Task, workers: tuple[str, ...], timeout_s: float
    ) -> "Deferred[Advice]":
        """Return tickets for a step; the index of the task isn't used."""


class SettingsDecoder(Protocol):
    """Decoder of the operator's configuration."""

    def decode(self, value: bytes, before: Settings) -> Settings:
        """Return the configuration in a row's value, or raise `ValueError`.

        What can't be read of a queue stays as in the configuration `before`.
        """
