"""Room that work beyond its fair part leaves free for the arrivals of others."""

from collections.abc import Mapping

from lavenderstall.identifiers import TeamName
from lavenderstall.lanes import measure_dominant
from lavenderstall.machines import SliceState
from lavenderstall.protocol import Kind
from lavenderstall.reasons import Reason
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.rooms import DIMENSIONS, Group

HEADROOM = 0.08
"""Largest part kept free: about three standard deviations of half a second of arrivals."""
PART_OF_OTHERS = 0.25
"""Headroom in proportion to what others use, so that little work of others keeps little free."""
TEAM_OVER = 2.0
"""A team is beyond its fair part at this many times the mean of the other teams of its kind."""
KIND_OVER = 1.5
"""A kind is beyond its fair part at this many times its share."""

FLOOD_WAITING = 8
"""Waiting requests from which a team may be flooding; few large gangs are no flood."""


def is_beyond(
    state: SliceState, kind: Kind, team: TeamName, weights: Mapping[TeamName, float], share: float
) -> bool:
    """Tell whether a team, or its kind as a whole, uses far more than others that are active."""
    used = measure_dominant(state.kind_used.get(kind, NOTHING), state.capacity)
    if used > share * KIND_OVER:
        return True
    mine = measure_dominant(state.lane_used.get((kind, team), NOTHING), state.capacity)
    weight = weights.get(team, 0.0)
    others = sum(weights.values()) - weight
    if not weight or others <= 0:
        return False
    return mine / weight > TEAM_OVER * max(used - mine, 0.0) / others


def check_headroom(state: SliceState, request: TaskRequest) -> Reason | None:
    """Return why a request beyond its fair part has to wait for others, or none."""
    lane = (request.kind, request.team)
    mine = state.lane_used.get(lane, NOTHING)
    others = measure_dominant(state.used.subtract(mine), state.capacity)
    kept = min(HEADROOM, PART_OF_OTHERS * others)
    free = measure_free(request.resources, list_groups(state, request))
    if free >= kept:
        return None
    return Reason("room is kept for others", numbers={"free": free, "kept": kept})


def list_groups(state: SliceState, request: TaskRequest) -> list[Group]:
    """Return the groups that a request goes to first."""
    groups = state.match_groups(request)
    accelerated = request.resources.accelerators > 0
    return [group for group in groups if group.key.accelerated is accelerated] or groups


def measure_free(need: Resources, groups: list[Group]) -> float:
    """Return the free part of the scarcest needed resource, 1 without groups."""
    free = 1.0
    for name in DIMENSIONS:
        capacity = sum(getattr(group.capacity, name) for group in groups)
        if capacity and getattr(need, name):
            used = sum(getattr(group.used, name) for group in groups)
            free = min(free, 1 - used / capacity)
    return free
