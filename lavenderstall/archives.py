"""Archive of old configuration changes in the object store."""

from itertools import groupby
from zlib import crc32

import msgspec

from lavenderstall.changes import Change, ChangeState, make_change_key
from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import ConflictError
from lavenderstall.protocol import Condition, Row, Transaction
from lavenderstall.records import PREFIX_CHANGE, UnreadableRowError, decode_rows
from lavenderstall.set_aside import SetAside
from lavenderstall.snapshots import make_number_key
from lavenderstall.storage import ObjectStore, TableStore

# Changes are archived in blocks of consecutive numbers, one object per block. A block fits into
# one transaction.
BLOCK_SIZE = 100


def make_block_name(number: int) -> str:
    """Return the name of the object that holds a change once it is archived."""
    return f"changes-{number // BLOCK_SIZE:010d}"


def list_blocks(pairs: list[tuple[Row, Change]], keep: int) -> list[list[tuple[Row, Change]]]:
    """Return the rows of each block, oldest first, leaving out the `keep` newest changes.

    Open proposals stay in the table, where they can still be approved or rejected.
    """
    newest = max((change.number for _, change in pairs), default=0)
    closed = [
        (row, change)
        for row, change in pairs
        if change.state is not ChangeState.PROPOSED
        and (change.number // BLOCK_SIZE + 1) * BLOCK_SIZE <= newest - keep
    ]
    closed.sort(key=lambda pair: pair[1].number)
    return [list(block) for _, block in groupby(closed, lambda pair: pair[1].number // BLOCK_SIZE)]


class ChangeArchive:
    """Archive changes in the object store, and read them back.

    The object is written before the rows are deleted, so that a failure in between leaves a
    change in both places and the next run completes the move. One entry instance at a time
    should archive.
    """

    def __init__(
        self, store: TableStore, objects: ObjectStore, set_aside: SetAside | None = None
    ) -> None:
        self._store = store
        self._objects = objects
        self._set_aside = set_aside or SetAside()

    async def read_block(self, number: int) -> dict[int, Change]:
        """Return the archived changes of the block that contains a number.

        Raises `UnreadableRowError` if they can't be read.
        """
        name = make_block_name(number)
        body = await self._objects.get(name)
        if not body:
            return {}
        try:
            return {change.number: change for change in decode_json(body, list[Change])}
        except UnreadableError as error:
            failure = UnreadableRowError(str(error), step="read block", peer=name)
            self._set_aside.add(name, crc32(body), failure)
            raise failure from error

    async def find_change(self, number: int) -> Change | None:
        """Return an archived change, or none."""
        return (await self.read_block(number)).get(number)

    async def archive(self, keep: int) -> int:
        """Archive the oldest block before the `keep` newest changes; return how many were moved.

        Changes that can't be read stay in the table, and blocks that can't be read as they are.
        """
        rows = await self._store.scan(PREFIX_CHANGE)
        pairs, _ = decode_rows(rows.rows, Change, make_number_key, self._set_aside)
        for selected in list_blocks(pairs, keep):
            try:
                block = await self.read_block(selected[0][1].number)
            except UnreadableRowError:
                continue
            return await self._move(selected, block)
        return 0

    async def _move(self, selected: list[tuple[Row, Change]], block: dict[int, Change]) -> int:
        """Move changes from the table into a block; return how many were moved."""
        number = selected[0][1].number
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
