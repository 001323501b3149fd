"""What of a team's quota a pool may use."""

from typing import TYPE_CHECKING, Protocol

from lavenderstall.identifiers import TeamName
from lavenderstall.pools.work import Settings, StepKey
from lavenderstall.resources import Resources

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool


class TeamShares(Protocol):
    """Tell how much of its quota a team may have running in one pool."""

    def set_settings(self, settings: Settings) -> None:
        """Replace the configuration."""

    def get_limit(self, team: TeamName) -> Resources | None:
        """Return what a team may have running in the pool, or none if it has no quota."""

    def get_quota(self, team: TeamName) -> Resources | None:
        """Return what a team may have running over all pools, or none if it has no quota."""

    def begin_dispatch(self) -> None:
        """Note that a dispatch begins, in which limits don't change."""

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

    def end_dispatch(self) -> None:
        """Note that a dispatch has ended."""


class LocalShares:
    """Give a pool the whole quota of each team, as if there were no other pool."""

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool

    def set_settings(self, settings: Settings) -> None:
        """Do nothing, as the pool's configuration is used."""

    def get_limit(self, team: TeamName) -> Resources | None:
        """Return the quota of a team, or none if it has none."""
        found = self._pool.settings.find_team(team)
        return found.running_limit if found is not None else None

    def get_quota(self, team: TeamName) -> Resources | None:
        """Return the quota of a team, or none if it has none."""
        return self.get_limit(team)

    def begin_dispatch(self) -> None:
        """Do nothing."""

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
        """Do nothing, as there is no more to get."""

    def end_dispatch(self) -> None:
        """Do nothing."""
