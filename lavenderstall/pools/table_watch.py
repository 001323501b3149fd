"""A local copy of a table, kept up to date by the store's feed, and by reads if it is overdue."""

import logging
from collections.abc import Callable, Iterable, Mapping
from math import inf
from typing import Any

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.pools.coroutines import launch
from lavenderstall.pools.ports import HistoryLostError, Page, Row, RowStore
from lavenderstall.pools.table_reads import read_partition

logger = logging.getLogger(__name__)

RETRY_DELAY_S = 0.2
# A feed is overdue if it isn't answered so long after its wait; the rows are read then.
OVERDUE_S = 0.4
READ_INTERVAL_S = 1.0
# After a failed poll the rows are read; if reads fail too, the feed is polled at this interval.
FALLBACK_POLL_INTERVAL_S = 30.0
# Interval at which the feed looks whether rows are still being read.
READING_CHECK_S = 0.05
# After a lost history reads may be behind for some seconds, so the rows are read again and again.
VERIFICATION_PERIOD_S = 7.5
VERIFICATION_INTERVAL_S = 1.5
# Seconds of this host per second of the store's clock, at least.
MIN_CLOCK_RATE = 0.95
# Larger tables would keep a slow link busy.
MAX_VERIFIED_BYTES = 32 * 1024
# Rows are read in place of the feed if its answer holds more of superseded versions.
MAX_SUPERSEDED_BYTES = 32 * 1024


class TableWatch:
    """Follow the rows of one table whose part is empty.

    `wait_ms` is the long-poll timeout. Rows are told apart by their versions, so that answers may
    arrive in any order, and none replaces a row by an older one.
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
        self._wait_s = wait_ms / 1000
        self._rows: dict[str, Row] = {}
        # Version after which the feed goes on; -1 while its history is lost, and at the start.
        self._feed_version = -1
        # Newest version of any answer.
        self._newest_version = -1
        # Newest version at which all rows were read; a row that wasn't there then is gone.
        self._snapshot_version = -1
        # Whether rows have changed since the listener last handled them.
        self._changed = True
        self._running = False
        self._feed_lost = False
        self._reading = False
        self._read_at = -inf
        # When rows were last asked for that have been read.
        self._snapshot_at = -inf
        self._polled_at = -inf
        # Whether rows are to be read before the feed goes on, which may return each missed version.
        self._missed_changes = False
        # Whether large rows change faster than the feed's answers arrive.
        self._outpaced = False
        # When the last part of any answer arrived, and of one of the feed.
        self._progress_at = -inf
        self._feed_heard_at = read_uptime()
        self._history_lost_at = -inf
        # The store's clock in the last answer of the feed, which was made no earlier than this.
        self._dated_at = -inf
        self._dated_clock_ms = 0.0
        # When the listener last had all changes.
        self.confirmed_at = -inf

    def start(self) -> None:
        """Start following the table."""
        self._running = True
        launch(self._repeat(self._follow_feed))
        launch(self._repeat(self._read_if_overdue))

    def stop(self) -> None:
        """Stop following the table."""
        self._running = False

    def add_row(self, row: Row) -> None:
        """Take over a row that was learnt otherwise, if it is newer than the known one."""
        self._update_row(row)
        self._notify()

    async def _repeat(self, step: Callable[[], Any]) -> None:
        while self._running:
            try:
                await step()
            except LavenderstallError as error:
                self._log_feed_loss(error)
                await sleep(self._clock, RETRY_DELAY_S)
            except Exception:
                logger.exception("processing rows failed", extra={"table": self._table})
                await sleep(self._clock, RETRY_DELAY_S)

    async def _follow_feed(self) -> None:
        """Apply the next changes; read all rows if many may have been missed."""
        if self._reading:
            # Both answers would share the link.
            await sleep(self._clock, READING_CHECK_S)
        elif self._feed_version < 0:
            await self._read_rows()
        elif self._missed_changes:
            await self._catch_up()
        else:
            await self._poll_feed()

    async def _catch_up(self) -> None:
        """Read all rows, as the feed may return each missed version; poll it if that fails."""
        try:
            await self._read_rows()
            self._feed_heard_at = self._read_uptime()
        except LavenderstallError:
            if self._read_uptime() - self._polled_at < FALLBACK_POLL_INTERVAL_S:
                raise
            await self._poll_feed()

    async def _poll_feed(self) -> None:
        self._polled_at = asked_at = self._read_uptime()
        try:
            wait_ms = round(self._wait_s * 1000)
            page = await self._store.poll_changes(
                self._table, self._feed_version, wait_ms, self._note_feed_progress
            )
        except HistoryLostError:
            self._feed_version = -1
            self._history_lost_at = self._feed_heard_at = self._read_uptime()
            await sleep(self._clock, RETRY_DELAY_S)
            return
        except LavenderstallError:
            self._missed_changes = self._snapshot_at <= asked_at
            raise
        self._feed_heard_at = self._read_uptime()
        self._missed_changes = self._outpaced = _count_superseded_bytes(page) > MAX_SUPERSEDED_BYTES
        self._apply_changes(page)
        self._feed_version = max(self._feed_version, page.version)
        self._note_restored()
        self._notify()
        self._confirm(page.version, self._estimate_made_at(page, asked_at))

    async def _read_if_overdue(self) -> None:
        due_in_s = self._get_read_due_at() - self._read_uptime()
        if self._reading:
            await sleep(self._clock, READING_CHECK_S)
        elif due_in_s > 0:
            await sleep(self._clock, due_in_s)
        else:
            await self._read_rows()

    def _get_read_due_at(self) -> float:
        due_at = self._feed_heard_at + self._wait_s + OVERDUE_S
        verifies = self._read_at < self._history_lost_at + VERIFICATION_PERIOD_S
        if verifies and self._get_size() <= MAX_VERIFIED_BYTES:
            due_at = min(due_at, self._read_at + VERIFICATION_INTERVAL_S)
        # An answer that arrives slowly would arrive more slowly beside a second one.
        return max(due_at, self._read_at + READ_INTERVAL_S, self._progress_at + OVERDUE_S)

    def _get_size(self) -> int:
        """Return the size of all values in bytes."""
        return sum(len(row.value) for row in self._rows.values())

    def is_receiving(self) -> bool:
        """Tell whether a part of an answer has arrived just now."""
        return self._read_uptime() - self._progress_at < OVERDUE_S

    def _note_progress(self) -> None:
        self._progress_at = self._read_uptime()

    def _note_feed_progress(self) -> None:
        self._feed_heard_at = self._progress_at = self._read_uptime()

    async def _read_rows(self) -> None:
        """Read all rows; the feed goes on after their version."""
        self._read_at = asked_at = self._read_uptime()
        self._reading = True
        try:
            rows, version = await read_partition(
                self._store, self._table, "", on_progress=self._note_progress
            )
        finally:
            self._reading = False
        self._snapshot_at = asked_at
        self._apply_snapshot(rows, version)
        self._missed_changes = self._outpaced = self._outpaced and self._changed
        self._feed_version = max(self._feed_version, version)
        self._notify()
        self._confirm(version, asked_at)

    def _apply_snapshot(self, rows: Iterable[Row], version: int) -> None:
        """Take newer rows over; drop those that are gone, unless others knew a newer version."""
        found = {row.key: row for row in rows}
        for row in found.values():
            self._update_row(row)
        if version >= self._newest_version:
            for key in self._rows.keys() - found.keys():
                self._remove_row(key, version)
            self._snapshot_version = version

    def _apply_changes(self, page: Page) -> None:
        for row in page.rows:
            if row.partition:
                continue
            if not row.version:
                self._remove_row(row.key, page.version)
            elif row.key in self._rows or row.version > self._snapshot_version:
                self._update_row(row)

    def _update_row(self, row: Row) -> None:
        known = self._rows.get(row.key)
        if known is None or known.version < row.version:
            self._rows[row.key] = row
            self._changed = True

    def _remove_row(self, key: str, version: int) -> None:
        """Remove a row that was gone at some version."""
        known = self._rows.get(key)
        if known is not None and known.version <= version:
            del self._rows[key]
            self._changed = True

    def _confirm(self, version: int, at: float) -> None:
        """Note that the listener has all changes until some time, unless the answer is behind."""
        if version < self._newest_version:
            return
        self._newest_version = version
        self.confirmed_at = max(self.confirmed_at, at)

    def _estimate_made_at(self, page: Page, asked_at: float) -> float:
        """Return a time before which an answer of the feed was not made, in seconds of uptime.

        An answer without rows was made after the wait; one with rows may be made at once and be on
        its way for long, so it is dated by the store's clock since the answer before.
        """
        passed_s = (page.store_clock_ms - self._dated_clock_ms) / 1000 * MIN_CLOCK_RATE
        dated_at = self._dated_at + max(0.0, passed_s)
        earliest_at = asked_at if page.rows else asked_at + self._wait_s
        made_at = min(self._read_uptime(), max(earliest_at, dated_at))
        self._dated_at, self._dated_clock_ms = made_at, page.store_clock_ms
        return made_at

    def _notify(self) -> None:
        """Pass all rows on if they changed, or if the listener failed with them before."""
        if self._changed:
            self._on_change(self._rows)
            self._changed = False

    def _note_restored(self) -> None:
        if self._feed_lost:
            self._feed_lost = False
            logger.info(
                "feed restored", extra={"table": self._table, "version": self._feed_version}
            )

    def _log_feed_loss(self, error: LavenderstallError) -> None:
        if not self._feed_lost:
            self._feed_lost = True
            logger.warning("feed lost", extra={"table": self._table, "error": str(error)})


def _count_superseded_bytes(page: Page) -> int:
    """Return the size of the values that later ones on the page replace, in bytes."""
    rows = [row for row in page.rows if not row.partition]
    newest = {row.key: row for row in rows}
    return sum(len(row.value) for row in rows if newest[row.key] is not row)
