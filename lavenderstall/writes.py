"""Writes that wait for the table service, and the rules for merging them."""

from collections.abc import Iterable

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.clocks import DelayedCall
from lavenderstall.errors import ConflictError
from lavenderstall.protocol import Committed, Put, Row, Rows, Transaction

FIELD_NONCE = "nonce"


class Write:
    """Hold one atomic write until its outcome is reported."""

    def __init__(self, transaction: Transaction, nonce: str) -> None:
        self.transaction = transaction
        self.nonce = nonce
        self.conditioned = frozenset(condition.key for condition in transaction.conditions)
        self.written = frozenset([*(put.key for put in transaction.puts), *transaction.deletes])
        self.keys = self.conditioned | self.written
        self.deferred: Deferred[Committed] = Deferred(self._cancel)
        self.timer: DelayedCall | None = None
        self.closed = False
        self.in_flight = False
        # An earlier attempt may have taken effect.
        self.uncertain = False

    def close(self) -> bool:
        """Take the right to report the outcome; false if it was taken before."""
        if self.closed:
            return False
        self.closed = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        return True

    def _cancel(self, _: Deferred[Committed]) -> None:
        """Close the write, whose caller no longer waits."""
        self.close()

    def succeed(self, revision: int) -> None:
        """Report that the write took effect."""
        if self.close():
            self.deferred.callback(Committed(revision))

    def fail(self, error: BaseException) -> None:
        """Report that the write failed."""
        if self.close():
            self.deferred.errback(error)

    def fail_conflict(self, error: ConflictError) -> None:
        """Report that conditions of this write did not hold."""
        keys = self.conditioned & error.keys
        detail = f"rows differ: {', '.join(sorted(keys))}"
        self.fail(ConflictError(detail, step="commit", peer=error.peer, keys=keys))


class Finding(msgspec.Struct, frozen=True):
    """Tell whether a row shows a write; `absent` means that it certainly took no effect."""

    revision: int = 0
    absent: bool = False


class KeySet:
    """Hold the keys of earlier writes, which a later write must not overtake."""

    def __init__(self, writes: Iterable[Write] = ()) -> None:
        self._conditioned: set[str] = set()
        self._written: set[str] = set()
        for write in writes:
            self.add(write)

    def add(self, write: Write) -> None:
        """Add the keys of a write."""
        self._conditioned |= write.conditioned
        self._written |= write.written

    def blocks(self, write: Write) -> bool:
        """Tell whether a write has to wait for one of the earlier writes."""
        return not (
            self._written.isdisjoint(write.keys) and self._conditioned.isdisjoint(write.written)
        )


def stamp_put(put: Put, nonce: str) -> Put:
    """Return a put whose value carries a nonce; raise `msgspec.DecodeError` if not an object."""
    fields = msgspec.json.decode(put.value, type=dict[str, msgspec.Raw])
    fields[FIELD_NONCE] = msgspec.Raw(msgspec.json.encode(nonce))
    return Put(put.key, msgspec.Raw(msgspec.json.encode(fields)))


def read_nonce(row: Row) -> str:
    """Return the nonce of the write that wrote a row, or an empty text."""
    try:
        fields = msgspec.json.decode(row.value, type=dict[str, msgspec.Raw])
        return msgspec.json.decode(fields[FIELD_NONCE], type=str)
    except (msgspec.DecodeError, KeyError):
        return ""


def merge_writes(writes: Iterable[Write]) -> Transaction:
    """Return one transaction that stands for all writes."""
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
    """Return the next writes to merge, in order, none of which overtakes one on the same key.

    A write that alone concerns more rows than the limit is returned alone.
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


def get_witness(write: Write) -> str:
    """Return the key whose row shows whether a write took effect, or an empty text."""
    transaction = write.transaction
    keys = [*(put.key for put in transaction.puts), *transaction.deletes]
    return keys[0] if keys else ""


def examine_rows(write: Write, rows: Rows) -> Finding:
    """Tell whether rows that were read after a write show it."""
    key = get_witness(write)
    row = next((row for row in rows.rows if row.key == key), None)
    if row is not None and read_nonce(row) == write.nonce:
        return Finding(revision=row.version)
    if row is None and not write.transaction.puts:
        return Finding(revision=rows.revision)
    version = row.version if row is not None else 0
    required = {condition.key: condition.version for condition in write.transaction.conditions}
    return Finding(absent=required.get(key) == version)
