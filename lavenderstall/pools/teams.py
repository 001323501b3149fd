"""Teams whose jobs the pools run."""

import msgspec

from lavenderstall.admission import make_running_limit
from lavenderstall.identifiers import TeamName
from lavenderstall.resources import NOTHING, Resources

# Jobs of routes that need no key belong to no team, and count towards no quota.
NO_TEAM = TeamName("")


class Team(msgspec.Struct, frozen=True):
    """Declare a team.

    `weight` is its share if there is too little room, in proportion to those of others; `quota` is
    what it may have running over all pools, where an amount of 0 means no limit.
    """

    name: TeamName
    weight: float = 1.0
    quota: Resources = NOTHING

    @property
    def running_limit(self) -> Resources | None:
        """Return what the team may have running over all pools, none without a limit."""
        return make_running_limit(self.quota)
