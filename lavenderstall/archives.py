"""Archive of old configuration changes in the object store."""

import msgspec

from lavenderstall.changes import Change, ChangeState, make_change_key
from lavenderstall.errors import ConflictError
from lavenderstall.protocol import Condition, Row, Transaction
from lavenderstall.records import PREFIX_CHANGE, decode_row
from lavenderstall.storage import ObjectStore, TableStore

# Changes are archived in blocks of consecutive numbers, one object per block. A block fits into
# one transaction.
BLOCK_SIZE = 100


def make_block_name(number: int) -> str:
    """Return the name of the object that holds a change once it is archived."""
    return f"changes-{number // BLOCK_SIZE:010d}"


def select_oldest_block(rows: list[Row], keep: int) -> list[tuple[Row, Change]]:
    """Return the rows of the oldest block, leaving out the `keep` newest changes.

    Open proposals stay in the table, where they can still be approved or rejected.
    """
    pairs = [(row, decode_row(row, Change)) for row in rows]
    newest = max((change.number for _, change in pairs), default=0)
    closed = [
        (row, change)
        for row, change in pairs
        if change.state is not ChangeState.PROPOSED
        and (change.number // BLOCK_SIZE + 1) * BLOCK_SIZE <= newest - keep
    ]
    first = min((change.number // BLOCK_SIZE for _, change in closed), default=0)
    return [pair for pair in closed if pair[1].number // BLOCK_SIZE == first]


class ChangeArchive:
    """Archive changes in the object store, and read them back.

    The object is written before the rows are deleted, so that a failure in between leaves a
    change in both places and the next run completes the move. One entry instance at a time
    should archive.
    """

    def __init__(self, store: TableStore, objects: ObjectStore) -> None:
        self._store = store
        self._objects = objects

    async def read_block(self, number: int) -> dict[int, Change]:
        """Return the archived changes of the block that contains a number."""
        body = await self._objects.get(make_block_name(number))
        changes = msgspec.json.decode(body, type=list[Change]) if body else []
        return {change.number: change for change in changes}

    async def find_change(self, number: int) -> Change | None:
        """Return an archived change, or none."""
        return (await self.read_block(number)).get(number)

    async def archive(self, keep: int) -> int:
        """Archive the oldest block before the `keep` newest changes; return how many were moved."""
        rows = await self._store.scan(PREFIX_CHANGE)
        selected = select_oldest_block(rows.rows, keep)
        if not selected:
            return 0
        number = selected[0][1].number
        block = await self.read_block(number)
        block |= {change.number: change for _, change in selected}
        changes = [block[each] for each in sorted(block)]
        await self._objects.put(make_block_name(number), msgspec.json.encode(changes))
        conditions = [Condition(row.key, row.version) for row, _ in selected]
        deletes = [make_change_key(change.number) for _, change in selected]
        try:
            await self._store.transact(Transaction(conditions, [], deletes))
        except ConflictError:
            # Another entry instance archived them first.
            return 0
        return len(selected)
