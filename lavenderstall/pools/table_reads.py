"""Reads of all rows of a partition, page by page."""

from lavenderstall.errors import StoreUnavailableError
from lavenderstall.pools.ports import Row, RowStore


async def read_partition(
    store: RowStore, table: str, partition: str, page_rows: int = 0
) -> tuple[list[Row], int]:
    """Return all rows of a partition and the version of the first page.

    A feed that starts at that version returns all rows that have changed since.
    """
    page = await store.read(table, partition, "", page_rows)
    rows, version = list(page.rows), page.version
    while page.has_more:
        if not page.rows:
            raise StoreUnavailableError("an empty page is not the last one", step="read")
        page = await store.read(table, partition, page.rows[-1].key + "\0", page_rows)
        rows.extend(page.rows)
    return rows, version
