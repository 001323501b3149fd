"""Interfaces to the platform's table service, object store and membership list."""

from typing import Protocol

from twisted.internet.defer import Deferred

from lavenderstall.protocol import Committed, Members, Row, Rows, Transaction


class TableStore(Protocol):
    """Transact on rows.

    Calls fail with `StoreUnavailableError` when nothing took effect, `ConflictError` when a
    condition did not hold, and `StoreOutcomeUnknownError` when a write may have taken effect.
    """

    def transact(self, transaction: Transaction) -> "Deferred[Committed]":
        """Write rows together if all conditions hold."""

    def scan(self, prefix: str) -> "Deferred[Rows]":
        """Return the rows below a prefix, never older than in an earlier answer."""

    def read(self, key: str) -> "Deferred[Row | None]":
        """Return one row, or none if it is absent."""


class ObjectStore(Protocol):
    """Keep whole objects by name."""

    def put(self, name: str, body: bytes) -> "Deferred[None]":
        """Store an object."""

    def get(self, name: str) -> "Deferred[bytes | None]":
        """Return an object, or none if it is absent."""


class MemberList(Protocol):
    """Read the platform's list of instances, which may lag."""

    def list_members(self) -> "Deferred[Members]":
        """Return the list as the platform sees it."""


def find_row(rows: Rows, key: str) -> Row | None:
    """Return the row with a key, or none if it is absent."""
    return next((row for row in rows.rows if row.key == key), None)
