"""A local copy of a table, kept up to date through the store's feed."""

import logging
from collections.abc import Callable, Mapping

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.pools.coroutines import launch
from lavenderstall.pools.ports import HistoryLostError, Row, RowStore
from lavenderstall.pools.table_reads import read_partition

logger = logging.getLogger(__name__)

RETRY_DELAY_S = 0.2


class TableWatch:
    """Follow the rows of one table whose part is empty.

    `wait_ms` is the long-poll timeout; a shorter one detects a dead connection sooner.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        read_uptime: Callable[[], float],
        table: str,
        on_change: Callable[[Mapping[str, Row]], None],
        wait_ms: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._read_uptime = read_uptime
        self._table = table
        self._on_change = on_change
        self._wait_ms = wait_ms
        self._rows: dict[str, Row] = {}
        self._version = -1
        # Whether rows have changed since the listener last handled them.
        self._changed = False
        self._running = False
        self._feed_lost = False
        # When the copy was last known to be up to date, and when it was before that.
        self.confirmed_at = read_uptime()
        self.confirmed_before = self.confirmed_at

    def start(self) -> None:
        """Start following the table."""
        self._running = True
        launch(self._run())

    def stop(self) -> None:
        """Stop following the table."""
        self._running = False

    async def _run(self) -> None:
        while self._running:
            try:
                await self._read_changes()
            except HistoryLostError:
                self._version = -1
                await sleep(self._clock, RETRY_DELAY_S)
            except LavenderstallError as error:
                self._log_feed_loss(error)
                await sleep(self._clock, RETRY_DELAY_S)
            except Exception:
                logger.exception("processing rows failed", extra={"table": self._table})
                await sleep(self._clock, RETRY_DELAY_S)

    async def _read_changes(self) -> None:
        """Read changes and pass all rows on, again if the listener failed with them before."""
        asked_at = self._read_uptime()
        if self._version < 0:
            self._rows, self._version = await self._read_all()
            self._changed = True
            self._confirm(asked_at)
        else:
            page = await self._store.poll_changes(self._table, self._version, self._wait_ms)
            changed = [row for row in page.rows if not row.partition]
            for row in changed:
                self._update_row(row)
            self._version = page.version
            self._changed = self._changed or bool(changed)
            self._confirm(min(self._read_uptime(), asked_at + self._wait_ms / 1000))
        if self._changed:
            self._on_change(self._rows)
            self._changed = False
        if self._feed_lost:
            self._feed_lost = False
            logger.info("feed restored", extra={"table": self._table, "version": self._version})

    def _confirm(self, at: float) -> None:
        """Note that the copy had all changes made until some time."""
        self.confirmed_before = self.confirmed_at
        self.confirmed_at = max(self.confirmed_at, at)

    async def _read_all(self) -> tuple[dict[str, Row], int]:
        rows, version = await read_partition(self._store, self._table, "")
        return {row.key: row for row in rows}, version

    def _update_row(self, row: Row) -> None:
        if row.version:
            self._rows[row.key] = row
        else:
            self._rows.pop(row.key, None)

    def _log_feed_loss(self, error: LavenderstallError) -> None:
        if not self._feed_lost:
            self._feed_lost = True
            logger.warning("feed lost", extra={"table": self._table, "error": str(error)})
