"""Rows of a table kept up to date through the store's feed."""

import logging
from collections.abc import Callable, Mapping

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.pools.background import launch
from lavenderstall.pools.ports import HistoryLostError, Row, RowStore

logger = logging.getLogger(__name__)

RETRY_S = 0.2


class TableWatch:
    """Follow the rows without a part of one table.

    A call waits `wait_ms` for a change; the shorter, the sooner a silent connection is noticed.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        table: str,
        receive: Callable[[Mapping[str, Row]], None],
        wait_ms: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._table = table
        self._receive = receive
        self._wait_ms = wait_ms
        self._rows: dict[str, Row] = {}
        self._version = -1
        self._running = False
        self._lost = False

    def start(self) -> None:
        """Begin to follow."""
        self._running = True
        launch(self._run())

    def stop(self) -> None:
        """Follow no longer."""
        self._running = False

    async def _run(self) -> None:
        while self._running:
            try:
                await self._step()
            except HistoryLostError:
                self._version = -1
            except LavenderstallError as error:
                self._note_loss(error)
                await sleep(self._clock, RETRY_S)
            except Exception:
                logger.exception("rows not used", extra={"table": self._table})
                await sleep(self._clock, RETRY_S)

    async def _step(self) -> None:
        if self._version < 0:
            await self._read_all()
        else:
            page = await self._store.poll_changes(self._table, self._version, self._wait_ms)
            self._version = page.version
            changed = [row for row in page.rows if not row.partition]
            for row in changed:
                self._apply(row)
            if changed:
                self._receive(self._rows)
        if self._lost:
            self._lost = False
            logger.info("feed regained", extra={"table": self._table, "version": self._version})

    async def _read_all(self) -> None:
        page = await self._store.read(self._table, "")
        version = page.version
        rows = {row.key: row for row in page.rows}
        while page.has_more:
            page = await self._store.read(self._table, "", page.rows[-1].key + "\0")
            rows |= {row.key: row for row in page.rows}
        self._rows = rows
        self._version = version
        self._receive(self._rows)

    def _apply(self, row: Row) -> None:
        if row.version:
            self._rows[row.key] = row
        else:
            self._rows.pop(row.key, None)

    def _note_loss(self, error: LavenderstallError) -> None:
        if not self._lost:
            self._lost = True
            logger.warning("feed lost", extra={"table": self._table, "error": str(error)})
