"""Pending writes to the table service, and how they merge into transactions."""

from collections.abc import Iterable

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.clocks import DelayedCall
from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import ConflictError
from lavenderstall.protocol import Committed, Put, Row, Rows, Transaction

NONCE_FIELD = "nonce"


class Write:
    """Hold one atomic write until its outcome is reported."""

    def __init__(self, transaction: Transaction, nonce: str) -> None:
        self.transaction = transaction
        self.nonce = nonce
        self.condition_keys = frozenset(condition.key for condition in transaction.conditions)
        self.written_keys = frozenset(
            [*(put.key for put in transaction.puts), *transaction.deletes]
        )
        self.keys = self.condition_keys | self.written_keys
        self.deferred: Deferred[Committed] = Deferred(self._cancel)
        self.timer: DelayedCall | None = None
        self.closed = False
        self.in_flight = False
        # Whether an earlier attempt may have been committed.
        self.maybe_committed = False

    def close(self) -> bool:
        """Mark the write as closed; return false if its outcome was already reported."""
        if self.closed:
            return False
        self.closed = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        return True

    def _cancel(self, _: Deferred[Committed]) -> None:
        """Close the write after its caller cancelled the deferred."""
        self.close()

    def succeed(self, revision: int) -> None:
        """Report that the write was committed."""
        if self.close():
            self.deferred.callback(Committed(revision))

    def fail(self, error: BaseException) -> None:
        """Report that the write failed."""
        if self.close():
            self.deferred.errback(error)

    def fail_conflict(self, error: ConflictError) -> None:
        """Report that conditions of this write did not hold."""
        keys = self.condition_keys & error.keys
        detail = f"rows differ: {', '.join(sorted(keys))}"
        self.fail(ConflictError(detail, step="commit", peer=error.peer, keys=keys))


class ReadBack(msgspec.Struct, frozen=True):
    """Result of reading back a write; `absent` means that it was certainly not committed."""

    revision: int = 0
    absent: bool = False


class KeySet:
    """Keys of earlier writes, used to keep dependent writes in order."""

    def __init__(self, writes: Iterable[Write] = ()) -> None:
        self._condition_keys: set[str] = set()
        self._written_keys: set[str] = set()
        for write in writes:
            self.add(write)

    def add(self, write: Write) -> None:
        """Add the keys of a write."""
        self._condition_keys |= write.condition_keys
        self._written_keys |= write.written_keys

    def blocks(self, write: Write) -> bool:
        """Return whether a write depends on one of the earlier writes."""
        return not (
            self._written_keys.isdisjoint(write.keys)
            and self._condition_keys.isdisjoint(write.written_keys)
        )


def stamp_put(put: Put, nonce: str) -> Put:
    """Return a put with a nonce in its value; raise `msgspec.DecodeError` if not an object."""
    fields = msgspec.json.decode(put.value, type=dict[str, msgspec.Raw])
    fields[NONCE_FIELD] = msgspec.Raw(msgspec.json.encode(nonce))
    return Put(put.key, msgspec.Raw(msgspec.json.encode(fields)))


def read_nonce(row: Row) -> str:
    """Return the nonce of the write that wrote a row, or an empty string."""
    try:
        fields = decode_json(bytes(row.value), dict[str, msgspec.Raw])
        return decode_json(bytes(fields[NONCE_FIELD]), str)
    except (UnreadableError, KeyError):
        return ""


def merge_writes(writes: Iterable[Write]) -> Transaction:
    """Combine writes into one transaction."""
    parts = [write.transaction for write in writes]
    conditions = dict.fromkeys(condition for part in parts for condition in part.conditions)
    return Transaction(
        list(conditions),
        [put for part in parts for put in part.puts],
        [key for part in parts for key in part.deletes],
    )


def select_writes(
    queue: Iterable[Write], in_flight: Iterable[Write], limit_rows: int
) -> list[Write]:
    """Return the next writes to merge, in order, skipping those that depend on earlier ones.

    A write with more rows than the limit is returned alone.
    """
    earlier = KeySet(in_flight)
    chosen: list[Write] = []
    rows = 0
    for write in queue:
        if chosen and rows + len(write.keys) > limit_rows:
            break
        if not earlier.blocks(write):
            chosen.append(write)
            rows += len(write.keys)
        earlier.add(write)
    return chosen


def get_probe_key(write: Write) -> str:
    """Return the key to read back to check a write, or an empty string."""
    transaction = write.transaction
    keys = [*(put.key for put in transaction.puts), *transaction.deletes]
    return keys[0] if keys else ""


def check_read_back(write: Write, rows: Rows) -> ReadBack:
    """Determine from rows read after a write whether it was committed."""
    key = get_probe_key(write)
    row = next((row for row in rows.rows if row.key == key), None)
    if row is not None and read_nonce(row) == write.nonce:
        return ReadBack(revision=row.version)
    if row is None and not write.transaction.puts:
        return ReadBack(revision=rows.revision)
    version = row.version if row is not None else 0
    required = {condition.key: condition.version for condition in write.transaction.conditions}
    return ReadBack(absent=required.get(key) == version)
