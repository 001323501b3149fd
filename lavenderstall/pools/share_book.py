"""What one owner knows of the shares of teams, may use of them, and is to write."""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from lavenderstall.identifiers import TeamName
from lavenderstall.pools.share_decisions import (
    Share,
    SharesRow,
    TeamDemand,
    add_all,
    choose_ceiling,
    choose_raise,
    compute_limit,
    is_within,
    multiply,
    subtract_floored,
    take_higher,
    take_lower,
)
from lavenderstall.pools.team_usage import LIMITED, TeamUsage
from lavenderstall.pools.work import PoolName, Settings, StepKey
from lavenderstall.resources import MAX_AMOUNT, NOTHING, Resources

# For this long a request of another pool holds back the starts that it concerns.
REQUEST_LIFETIME_S = 1.0
NO_ROW = SharesRow(0, NOTHING)


class KnownRow(NamedTuple):
    """The shares of a team as of a version of their row, 0 if it is absent."""

    version: int
    row: SharesRow


class PlannedRow(NamedTuple):
    """A row to write in place of one of a version."""

    team: TeamName
    version: int
    row: SharesRow


class Wish(msgspec.Struct):
    """What waits for a share since the last dispatch, by step."""

    chunk: Resources
    waiting: dict[StepKey, Resources] = {}


class Request(NamedTuple):
    """A demand of another pool, and when it was received."""

    demand: TeamDemand
    received_at: float


class ShareBook:
    """Track the shares of one pool; times are seconds of uptime.

    The pool never uses more than its share by any write that may have been or may yet be applied.
    """

    def __init__(self, pool: PoolName, term: int, usage: TeamUsage) -> None:
        self.pool = pool
        self.term = term
        self._uncertain = False
        self.now = 0.0
        self._usage = usage
        self._settings = Settings(0)
        self._rows: dict[TeamName, KnownRow] = {}
        # The lowest share that a write may have left, and the version that it was to replace.
        self._pending: dict[TeamName, tuple[int, Resources]] = {}
        self._inherited: dict[TeamName, Resources] = {}
        # Those of the last dispatch, and of the present one.
        self._wishes: dict[TeamName, Wish] = {}
        self._next_wishes: dict[TeamName, Wish] = {}
        self._starved_since: dict[TeamName, float] = {}
        self._requests: dict[TeamName, dict[PoolName, Request]] = {}
        # Versions of the configuration that a row must know before its share is used.
        self._required: dict[TeamName, int] = {}
        # Teams whose shares may have to be written.
        self._unsettled: set[TeamName] = set()

    def set_uncertain(self, uncertain: bool) -> None:
        """Set whether earlier owners may have started runs that this one doesn't know."""
        if self._uncertain and not uncertain:
            self._unsettled.update(self._inherited)
        self._uncertain = uncertain

    # Configuration and rows

    def set_settings(self, settings: Settings) -> None:
        """Replace the configuration.

        After a quota was lowered, or may have been, its row has to know that before more starts.
        """
        before, self._settings = self._settings, settings
        if settings.version <= before.version:
            return
        skipped = settings.version > before.version + 1
        for team in self._list_limited():
            quota = self.get_quota(team)
            known = _get_quota(before, team)
            if quota is not None and (skipped or known is None or not is_within(known, quota)):
                self._required[team] = settings.version
                self._unsettled.add(team)

    def _list_limited(self) -> set[TeamName]:
        return {team.name for team in self._settings.teams if team.running_limit is not None}

    def has_limits(self) -> bool:
        """Tell whether any team has a quota."""
        return any(team.running_limit is not None for team in self._settings.teams)

    def get_quota(self, team: TeamName) -> Resources | None:
        """Return the quota of a team in the configuration in force, or none if it has none."""
        return _get_quota(self._settings, team)

    def note_row(self, team: TeamName, version: int, row: SharesRow) -> None:
        """Note a row that was read, unless a later one is known."""
        known = self._rows.get(team)
        if known is not None and known.version >= version:
            return
        self._rows[team] = KnownRow(version, row)
        pending = self._pending.get(team)
        if pending is not None and pending[0] < version:
            del self._pending[team]
        if row.get_amounts(self.pool) != NOTHING or self._usage.get(team) != NOTHING:
            self._unsettled.add(team)

    def list_rows(self, teams: Iterable[TeamName]) -> list[PlannedRow]:
        """Return the known rows of teams."""
        found = ((team, self._rows.get(team)) for team in teams)
        return [PlannedRow(team, *known) for team, known in found if known and known.version]

    def _get_lowest_quota(self, row: SharesRow, quota: Resources) -> Resources:
        """Return a quota, or a lower one of a configuration that is not known here yet."""
        newer = row.settings_version >= self._settings.version
        return take_lower(quota, row.quota) if newer else quota

    # Use

    def get_limit(self, team: TeamName) -> Resources | None:
        """Return what a team may have running in the pool, or none if it has no quota."""
        quota = self.get_quota(team)
        if quota is None:
            return None
        known = self._rows.get(team)
        if known is None or not self._is_confirmed(team, known.row):
            return NOTHING
        limit = compute_limit(known.row, self.pool, self._get_lowest_quota(known.row, quota))
        if team in self._pending:
            limit = take_lower(limit, self._pending[team][1])
        ceiling = self._find_ceiling(team, known.row, quota)
        if ceiling is not None:
            limit = take_lower(limit, ceiling)
        if self._uncertain:
            limit = subtract_floored(limit, self._inherited.get(team, NOTHING))
        return limit

    def _is_confirmed(self, team: TeamName, row: SharesRow) -> bool:
        """Tell whether the share is this owner's, and the row knows the latest lower quota."""
        share = row.shares.get(self.pool)
        owned = share is not None and share.term == self.term
        return owned and row.settings_version >= self._required.get(team, 0)

    # Demand

    def end_dispatch(self) -> None:
        """Replace what waited at the last dispatch by what waits now."""
        self._wishes, self._next_wishes = self._next_wishes, {}
        for team in self._starved_since.keys() - self._wishes.keys():
            del self._starved_since[team]

    def note_wish(
        self,
        team: TeamName,
        step: StepKey,
        need: Resources,
        count: int,
        startable: int,
        *,
        gang: bool = False,
    ) -> None:
        """Note that tasks of a step wait for a share, and how many may start without."""
        total = multiply(need, count)
        chunk = total if gang else multiply(need, 1)
        self._next_wishes.setdefault(team, Wish(chunk)).waiting[step] = total
        if startable:
            self._starved_since[team] = self.now
        else:
            self._starved_since.setdefault(team, self.now)

    def get_waiting_teams(self) -> set[TeamName]:
        """Return the teams of which tasks wait for a share."""
        return set(self._wishes)

    def _describe_demand(self, team: TeamName, quota: Resources) -> TeamDemand:
        wish = self._wishes.get(team)
        used = self._usage.get(team)
        waiting = wish.waiting.values() if wish else ()
        demand = take_lower(add_all([used, *waiting]), quota)
        chunk = take_lower(wish.chunk, quota) if wish else NOTHING
        starved_s = self.now - self._starved_since.get(team, self.now)
        known = self._rows.get(team)
        version = known.version if known else 0
        return TeamDemand(team, used, demand, chunk, round(starved_s * 1000), version)

    def list_demands(self) -> list[TeamDemand]:
        """Return the demands that exceed the share, and that other pools could meet."""
        found = []
        for team in self._wishes:
            quota, known = self.get_quota(team), self._rows.get(team)
            if quota is None or known is None:
                continue
            demand = self._describe_demand(team, quota)
            lacking = not is_within(demand.demand, known.row.get_amounts(self.pool))
            if lacking and known.row.sum_others(self.pool) != NOTHING:
                found.append(demand)
        return found

    def list_others(self, team: TeamName) -> list[PoolName]:
        """Return the other pools that may have, or soon get, a share of a team."""
        known = self._rows.get(team)
        return [name for name in known.row.shares if name != self.pool] if known else []

    def note_request(self, pool: PoolName, demand: TeamDemand) -> None:
        """Note the demand of another pool, which holds back starts here for a while."""
        self._requests.setdefault(demand.team, {})[pool] = Request(demand, self.now)
        self._unsettled.add(demand.team)

    def _find_ceiling(self, team: TeamName, row: SharesRow, quota: Resources) -> Resources | None:
        requests = self._requests.get(team)
        if requests is None:
            return None
        asked = {
            pool: request.demand
            for pool, request in requests.items()
            if self.now - request.received_at < REQUEST_LIFETIME_S
        }
        if not asked:
            del self._requests[team]
            return None
        own = self._describe_demand(team, quota)
        return choose_ceiling(row, quota, self.pool, own, asked)

    # Writes

    def plan_rows(self, limit: int) -> list[PlannedRow]:
        """Return the rows to write, at most `limit`; from now on the lower shares count."""
        planned: list[PlannedRow] = []
        for team in [*self._wishes, *(self._unsettled - self._wishes.keys())]:
            if len(planned) == limit:
                break
            found = self._plan_row(team)
            if found is not None:
                planned.append(found)
                self._note_pending(found)
            elif not self._is_excessive(team):
                self._unsettled.discard(team)
        return planned

    def _note_pending(self, planned: PlannedRow) -> None:
        amounts = planned.row.get_amounts(self.pool)
        pending = self._pending.get(planned.team)
        if pending is not None and pending[0] == planned.version:
            amounts = take_lower(amounts, pending[1])
        self._pending[planned.team] = (planned.version, amounts)

    def _is_excessive(self, team: TeamName) -> bool:
        """Tell whether the share is to be lowered further, as runs end."""
        quota, known = self.get_quota(team), self._rows.get(team)
        if quota is None or known is None:
            return False
        total = add_all(share.amounts for share in known.row.shares.values())
        return team in self._requests or not is_within(total, quota)

    def _plan_row(self, team: TeamName) -> PlannedRow | None:
        quota = self.get_quota(team)
        version, row = self._rows.get(team, KnownRow(0, NO_ROW))
        if quota is None:
            return None
        share = row.shares.get(self.pool)
        if share is not None and share.term > self.term:
            return None
        lowest = self._get_lowest_quota(row, quota)
        amounts = self._choose_amounts(team, row, lowest)
        if amounts == NOTHING and row.get_amounts(self.pool) == NOTHING:
            return None
        current = share == Share(self.term, amounts) and self._may_use(team, amounts)
        if current and row.settings_version >= self._required.get(team, 0):
            return None
        if share is not None and share.term != self.term:
            self._inherited[team] = share.amounts
        newer = row.settings_version > self._settings.version
        return PlannedRow(
            team,
            version,
            SharesRow(
                max(row.settings_version, self._settings.version),
                row.quota if newer else quota,
                {**row.shares, self.pool: Share(self.term, amounts)},
            ),
        )

    def _may_use(self, team: TeamName, amounts: Resources) -> bool:
        """Tell whether no write that has failed, or of unknown outcome, leaves less."""
        pending = self._pending.get(team)
        return pending is None or is_within(amounts, pending[1])

    def _choose_amounts(self, team: TeamName, row: SharesRow, quota: Resources) -> Resources:
        """Return the share that the pool is to have, never below what it runs."""
        held = row.get_amounts(self.pool)
        used = self._usage.get(team)
        others = row.sum_others(self.pool)
        free = subtract_floored(quota, others)
        demand = self._describe_demand(team, quota).demand
        if self._uncertain:
            demand = add_all([demand, self._inherited.get(team, held)])
        ceiling = self._find_ceiling(team, row, quota)
        if ceiling is not None:
            demand = take_lower(demand, ceiling)
        target = choose_raise(held, demand, free)
        if ceiling is not None:
            target = take_lower(target, ceiling)
        floor = take_higher(held, used) if self._uncertain else used
        return take_higher(take_lower(target, free), floor)

    def note_written(self, planned: Iterable[PlannedRow], version: int) -> None:
        """Note that rows were written, with this version."""
        for team, _, row in planned:
            self.note_row(team, version, row)


_UNBOUNDED = Resources(**dict.fromkeys(LIMITED, MAX_AMOUNT))


def _get_quota(settings: Settings, team: TeamName) -> Resources | None:
    found = settings.find_team(team)
    limit = found.running_limit if found is not None else None
    return None if limit is None else take_lower(limit, _UNBOUNDED)
