"""Reads of all rows of a partition, page by page."""

from collections.abc import Callable

from lavenderstall.callbacks import do_nothing
from lavenderstall.errors import StoreUnavailableError
from lavenderstall.pools.ports import Row, RowStore


async def read_partition(
    store: RowStore,
    table: str,
    partition: str,
    page_rows: int = 0,
    on_progress: Callable[[], None] = do_nothing,
) -> tuple[list[Row], int]:
    """Return all rows of a partition and the version of the first page.

    A feed that starts at that version returns all rows that have changed since.
    """
    page = await store.read(table, partition, "", page_rows, on_progress)
    rows, version = list(page.rows), page.version
    while page.has_more:
        if not page.rows:
            raise StoreUnavailableError("an empty page is not the last one", step="read")
        page = await store.read(table, partition, page.rows[-1].key + "\0", page_rows, on_progress)
        rows.extend(page.rows)
    return rows, version
