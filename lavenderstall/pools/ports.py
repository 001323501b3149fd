"""Interfaces of the pool scheduler to store, workers, registry and adviser."""

from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.errors import LavenderstallError
from lavenderstall.pools.effects import Advice, LookAnswer, PaceRun, Refusal, StartRun, StopRun
from lavenderstall.pools.work import Settings, Task
from lavenderstall.pools.workers import WorkerEntry


class Row(msgspec.Struct, frozen=True):
    """Hold a row; version 0 means that it is absent."""

    table: str
    partition: str
    key: str
    value: bytes = b""
    version: int = 0


class Page(msgspec.Struct, frozen=True):
    """Hold rows as of one moment: the newest version and the store's steady clock."""

    rows: tuple[Row, ...]
    version: int
    store_clock_ms: float
    has_more: bool = False


class Condition(msgspec.Struct, frozen=True):
    """Ask that a row has a version, 0 for a row that must be absent."""

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
    """Describe a transaction over rows of one part."""

    partition: str
    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


class Committed(msgspec.Struct, frozen=True):
    """Hold the version of a transaction and the store's steady clock."""

    version: int
    store_clock_ms: float


class RowConflictError(LavenderstallError):
    """A condition of a transaction did not hold; `rows` are those it names, as they are."""

    def __init__(self, detail: str, *, step: str, peer: str = "", rows: tuple[Row, ...]) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.rows = rows


class HistoryLostError(LavenderstallError):
    """The store no longer knows what changed after a version."""


class RowStore(Protocol):
    """Keep rows in parts of tables.

    Calls fail with `StoreUnavailableError` when nothing took effect, `RowConflictError` when a
    condition did not hold, and `StoreOutcomeUnknownError` when a write may have or may yet take
    effect.
    """

    def commit(self, transaction: Transaction) -> "Deferred[Committed]":
        """Apply all of a change or nothing of it."""

    def read(
        self, table: str, partition: str, start_key: str = "", limit: int = 0
    ) -> "Deferred[Page]":
        """Return rows of a part in the order of their keys, from a key on."""

    def poll_changes(self, table: str, version: int, wait_ms: int) -> "Deferred[Page]":
        """Return rows of all parts changed after a version, or fail with `HistoryLostError`."""


class Registry(Protocol):
    """List the workers that have registered."""

    def list_workers(self) -> "Deferred[list[WorkerEntry]]":
        """Return all workers that may be used."""


class Lease(msgspec.Struct, frozen=True):
    """Extend the lease of all runs on a worker to a time on its clock."""

    deadline_ms: int


class WorkerClient(Protocol):
    """Give orders to workers under a fencing token.

    Calls fail with `PeerUnavailableError` when nothing was sent and `AnswerLostError` when the
    order may have been or may yet be carried out.
    """

    def poll(
        self,
        worker: WorkerEntry,
        fencing_token: int,
        acknowledged_seq: int,
        lease: Lease | None,
        wait_ms: int,
    ) -> "Deferred[LookAnswer | Refusal]":
        """Return what runs and what has ended after `seen_seq`, at latest after a wait."""

    def start(
        self, worker: WorkerEntry, fencing_token: int, order: StartRun
    ) -> "Deferred[float | Refusal]":
        """Start a run; returns the worker's clock in milliseconds."""

    def stop(
        self, worker: WorkerEntry, fencing_token: int, order: StopRun
    ) -> "Deferred[float | Refusal]":
        """Stop a run; returns the worker's clock in milliseconds."""

    def throttle(
        self, worker: WorkerEntry, fencing_token: int, order: PaceRun
    ) -> "Deferred[float | Refusal]":
        """Slow a run down; returns the worker's clock in milliseconds."""


class Adviser(Protocol):
    """Ask the placement service which workers may run a step."""

    def ask(self, step: Task, workers: tuple[str, ...], timeout_s: float) -> "Deferred[Advice]":
        """Return tickets; the index of the task is not used."""


class SettingsDecoder(Protocol):
    """Decode the operator's configuration."""

    def decode(self, value: bytes) -> Settings:
        """Return the configuration in a row, or raise `ValueError`."""
