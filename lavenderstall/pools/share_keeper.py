"""The shares of one pool's owner: reads and writes their rows, and asks other owners for more."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from lavenderstall.clocks import Clock
from lavenderstall.decoding import UnreadableError
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import TeamName
from lavenderstall.metrics import Metrics
from lavenderstall.pools.coroutines import launch
from lavenderstall.pools.messages import ShareRequest, SharesHint
from lavenderstall.pools.ports import Row, RowConflictError, RowStore
from lavenderstall.pools.share_book import NO_ROW, PlannedRow, ShareBook
from lavenderstall.pools.share_decisions import TeamDemand
from lavenderstall.pools.share_rows import (
    PARTITION,
    SHARES,
    decode_shares,
    get_team,
    make_row,
    make_transaction,
)
from lavenderstall.pools.table_reads import read_partition
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import PoolName, Settings, StepKey
from lavenderstall.resources import Resources

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

logger = logging.getLogger(__name__)

# Rows a transaction, each with a condition and a write.
TRANSACTION_ROWS = 40
PAGE_ROWS = 150
# Pause between a change of demand and the check whether rows are to be written.
CHECK_DELAY_S = 0.003
# Interval of such checks that have found nothing to write.
CHECK_INTERVAL_S = 0.02
RETRY_DELAY_S = 0.2
# Interval at which other owners are asked for the share that a team still lacks.
REQUEST_INTERVAL_S = 0.3
# Interval at which all rows are read while a team lacks a share, as answers may be lost.
READ_INTERVAL_S = 2.0


class ShareKeeper:
    """Keep the shares of one pool while this instance owns it."""

    def __init__(
        self,
        pool: "Pool",
        store: RowStore,
        clock: Clock,
        read_uptime: Callable[[], float],
        metrics: Metrics,
        send: Callable[[PoolName, Any], None],
    ) -> None:
        self._pool = pool
        self._store = store
        self._clock = clock
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._send = send
        self._unreadable_rows = UnreadableRows(metrics)
        self._book = ShareBook(pool.name, pool.term, pool.team_usage)
        # Limits of the present dispatch, in which no share changes.
        self._limits: dict[TeamName, Resources | None] = {}
        self._loaded_at = -1.0
        self._busy = False
        self._check: Any = None
        self._checked_at = -1.0
        # Versions of the rows that owners know who asked and have no answer yet, by pool.
        self._unanswered: defaultdict[PoolName, dict[TeamName, int]] = defaultdict(dict)
        self._asked_at: dict[TeamName, float] = {}
        self.is_running: Callable[[], bool] = lambda: True
        self.on_change: Callable[[], None] = lambda: None

    # Use by dispatches

    def set_settings(self, settings: Settings) -> None:
        """Replace the configuration."""
        self._book.set_settings(settings)
        self._limits.clear()
        self.schedule_check()

    def get_limit(self, team: TeamName) -> Resources | None:
        """Return what a team may have running in the pool, or none if it has no quota."""
        if team not in self._limits:
            self._limits[team] = self._book.get_limit(team)
        return self._limits[team]

    def get_quota(self, team: TeamName) -> Resources | None:
        """Return what a team may have running over all pools, or none if it has no quota."""
        return self._book.get_quota(team)

    def begin_dispatch(self) -> None:
        """Compute all limits anew."""
        self._update()

    def note_wish(
        self,
        team: TeamName,
        step: StepKey,
        need: Resources,
        count: int,
        startable: int,
        *,
        gang: bool,
    ) -> None:
        """Note that tasks of a step wait for a share, and how many may start without."""
        self._book.note_wish(team, step, need, count, startable, gang=gang)

    def end_dispatch(self) -> None:
        """Get the shares that were lacking."""
        self._book.end_dispatch()
        self.schedule_check()

    def _update(self) -> None:
        self._book.now = self._read_uptime()
        self._book.set_uncertain(self._pool.takeover.may_lack_runs())
        self._limits.clear()

    # Messages of other owners

    def handle_request(self, request: ShareRequest) -> None:
        """Hold back starts for which another pool lacks a share, and lend what isn't used."""
        self._update()
        for demand in request.demands:
            self._book.note_request(request.asking, demand)
            self._unanswered[request.asking][demand.team] = demand.row_version
        self._start_write()

    def handle_rows(self, rows: Iterable[Row]) -> None:
        """Note rows that another owner has written."""
        self._note_rows(rows)
        self._start_write()

    # Rows

    def schedule_check(self) -> None:
        """Schedule a check whether rows are to be written, unless one is pending."""
        if self._check is None and self._book.has_limits() and self.is_running():
            now = self._read_uptime()
            delay_s = max(CHECK_DELAY_S, self._checked_at + CHECK_INTERVAL_S - now)
            self._check = self._clock.callLater(delay_s, self._run_check)

    def _run_check(self) -> None:
        self._check = None
        self._start_write()

    def _start_write(self) -> None:
        if not self._busy and self._book.has_limits() and self.is_running():
            self._busy = True
            launch(self._write_due())

    async def _write_due(self) -> None:
        """Write all rows that are due, then answer and ask other owners."""
        changed = False
        try:
            if self._loaded_at < 0 or self._is_read_due():
                await self._read_rows()
                changed = True
            while self.is_running():
                self._update()
                planned = self._book.plan_rows(TRANSACTION_ROWS)
                if not planned:
                    break
                await self._write(planned)
                changed = True
            self._checked_at = self._read_uptime()
        except LavenderstallError as error:
            logger.info(
                "shares not written; retrying", extra={"pool": self._pool.name, "error": str(error)}
            )
            self._checked_at = self._read_uptime() + RETRY_DELAY_S
        finally:
            self._busy = False
        if self.is_running():
            self._answer()
            self._ask()
            if changed:
                self.on_change()

    def _is_read_due(self) -> bool:
        """Tell whether rows that lent shares may be unknown here."""
        asked = bool(self._asked_at) and bool(self._book.list_demands())
        return asked and self._read_uptime() - self._loaded_at > READ_INTERVAL_S

    async def _read_rows(self) -> None:
        asked_at = self._read_uptime()
        rows, _ = await read_partition(self._store, SHARES, PARTITION, PAGE_ROWS)
        self._note_rows(rows)
        self._loaded_at = asked_at

    def _note_rows(self, rows: Iterable[Row]) -> None:
        for row in rows:
            try:
                found = decode_shares(row)
            except UnreadableError as error:
                # It is replaced; other owners then write what they run.
                self._unreadable_rows.note(row.table, row.key, row.version, error)
                found = NO_ROW
            self._book.note_row(get_team(row), row.version, found)

    async def _write(self, planned: list[PlannedRow]) -> None:
        try:
            committed = await self._store.commit(make_transaction(planned))
        except RowConflictError as error:
            self._metrics.count("share_conflicts")
            self._note_rows(error.rows)
            return
        self._book.note_written(planned, committed.version)
        self._metrics.count("shares_written", len(planned))
        for each in planned:
            logger.info(
                "share of a team written",
                extra={
                    "pool": self._pool.name,
                    "team": each.team,
                    "share": _describe(each.row.get_amounts(self._pool.name)),
                    "others": _describe(each.row.sum_others(self._pool.name)),
                    "used": _describe(self._pool.team_usage.get(each.team)),
                },
            )

    def _answer(self) -> None:
        """Send owners that have asked the rows that they don't know."""
        for pool, versions in self._unanswered.items():
            rows = [
                make_row(known)
                for known in self._book.list_rows(versions)
                if known.version > versions[known.team]
            ]
            if rows:
                self._send(pool, SharesHint(pool, tuple(rows)))
        self._unanswered.clear()

    def _ask(self) -> None:
        """Ask the owners of other pools for what teams still lack."""
        now = self._read_uptime()
        waiting = self._book.get_waiting_teams()
        self._asked_at = {team: at for team, at in self._asked_at.items() if team in waiting}
        requests: defaultdict[PoolName, list[TeamDemand]] = defaultdict(list)
        for demand in self._book.list_demands():
            if now - self._asked_at.get(demand.team, -REQUEST_INTERVAL_S) < REQUEST_INTERVAL_S:
                continue
            self._asked_at[demand.team] = now
            for pool in self._book.list_others(demand.team):
                requests[pool].append(demand)
        for pool, demands in requests.items():
            self._metrics.count("share_requests")
            self._send(pool, ShareRequest(pool, self._pool.name, tuple(demands)))


def _describe(amounts: Resources) -> list[int]:
    return [amounts.cores_milli, amounts.memory_mb, amounts.accelerators]
