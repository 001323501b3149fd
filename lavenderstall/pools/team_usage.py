"""What the teams of a pool have running, and how much more they may start."""

from collections.abc import Iterator

from lavenderstall.identifiers import TeamName
from lavenderstall.pools.teams import NO_TEAM
from lavenderstall.resources import NOTHING, Resources

# The amounts that quotas limit.
LIMITED = ("cores_milli", "memory_mb", "accelerators")


class TeamUsage:
    """Count what the runs of each team need, from when they are placed until they have ended.

    A run counts with all that its task asks for, also where it reserves no cores on its worker.
    """

    def __init__(self) -> None:
        self._used: dict[TeamName, Resources] = {}

    def __iter__(self) -> Iterator[TeamName]:
        """Yield the teams that have anything running."""
        return iter(self._used)

    def get(self, team: TeamName) -> Resources:
        """Return what a team has running."""
        return self._used.get(team, NOTHING)

    def add(self, team: TeamName, need: Resources) -> None:
        """Count a run of a team."""
        if team != NO_TEAM:
            self._used[team] = self.get(team).add(need)

    def subtract(self, team: TeamName, need: Resources) -> None:
        """Count a run of a team as ended."""
        if team == NO_TEAM:
            return
        left = self.get(team).subtract(need)
        if left == NOTHING:
            # Runs that need nothing may be left.
            self._used.pop(team, None)
        else:
            self._used[team] = left


def count_startable(
    used: Resources, limit: Resources | None, quota: Resources | None, need: Resources
) -> int | None:
    """Return how many more tasks of a need a team may start, or none if there is no limit.

    The limit is a pool's share of the quota. A task that exceeds the quota by itself starts while
    nothing else of the team runs, in a pool that has the whole quota. While any amount exceeds the
    limit, as after a change, nothing starts.
    """
    if limit is None or quota is None:
        return None
    if any(getattr(used, name) > getattr(limit, name) for name in LIMITED):
        return 0
    counts = [
        max(0, getattr(limit, name) - getattr(used, name)) // getattr(need, name)
        for name in LIMITED
        if getattr(need, name)
    ]
    if not counts:
        return None
    may_exceed = used == NOTHING and all(
        min(getattr(need, name), getattr(quota, name)) <= getattr(limit, name) for name in LIMITED
    )
    return max(min(counts), int(may_exceed))
