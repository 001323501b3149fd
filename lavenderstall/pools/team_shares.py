"""What of a team's quota a pool may use."""

from typing import TYPE_CHECKING, Protocol

from lavenderstall.identifiers import TeamName
from lavenderstall.resources import Resources

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool


class TeamShares(Protocol):
    """Tell how much of its quota a team may have running in one pool."""

    def get_limit(self, team: TeamName) -> Resources | None:
        """Return what a team may have running in the pool, or none if it has no limit."""


class LocalShares:
    """Give a pool the whole quota of each team, as if there were no other pool."""

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool

    def get_limit(self, team: TeamName) -> Resources | None:
        """Return the quota of a team, or none if it has none."""
        found = self._pool.settings.find_team(team)
        return found.running_limit if found is not None else None
