"""Headroom that work above its fair share leaves free for arrivals of others."""

from lavenderstall.fair_shares import TEAM_EXCESS_FACTOR
from lavenderstall.identifiers import TeamName
from lavenderstall.protocol import Kind
from lavenderstall.reasons import Reason
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import NOTHING, Resources, measure_dominant_share
from lavenderstall.slice_state import SliceState
from lavenderstall.worker_index import DIMENSIONS, WorkerGroup

MAX_HEADROOM = 0.08
"""Largest fraction kept free: about three standard deviations of half a second of arrivals."""
HEADROOM_PER_USE = 0.25
"""Headroom in proportion to what others use, so that it stays small while they use little."""
KIND_EXCESS_FACTOR = 1.5
"""A kind is above its fair share at this many times its guaranteed share."""

FLOOD_MIN_USE = 0.05
"""Share of the slice from which a team may flood it; one task each of many teams is no flood."""
FLOOD_MIN_WAITING = 8
"""Waiting requests from which a team may flood the slice; a few large gangs do not."""


def measure_headroom(
    state: SliceState, kind: Kind, team: TeamName, weights: tuple[float, float], share: float
) -> float:
    """Return the fraction that a team leaves free for others, 0 within its fair share.

    Its share is measured against the mean of the other teams of its kind.
    The weights are that of the team and the sum of those of all active teams of the kind.
    """
    kind_used = state.kind_used.get(kind, NOTHING)
    kind_share = measure_dominant_share(kind_used, state.capacity)
    headroom = 0.0
    if kind_share > share * KIND_EXCESS_FACTOR:
        headroom = measure_headroom_for_others(state, kind_used)
    team_used = state.kind_team_used.get((kind, team), NOTHING)
    team_share = measure_dominant_share(team_used, state.capacity)
    weight, other_weights = weights[0], weights[1] - weights[0]
    if team_share >= FLOOD_MIN_USE and other_weights > 0:
        mean_share = max(kind_share - team_share, 0.0) / other_weights
        if team_share / weight > TEAM_EXCESS_FACTOR * mean_share:
            headroom = max(headroom, measure_headroom_for_others(state, team_used))
    return headroom


def measure_headroom_for_others(state: SliceState, used: Resources) -> float:
    """Return the headroom in proportion to what others use."""
    others_share = measure_dominant_share(state.used.subtract(used), state.capacity)
    return min(MAX_HEADROOM, HEADROOM_PER_USE * others_share)


def check_headroom(state: SliceState, request: TaskRequest, headroom: float) -> Reason | None:
    """Return why a request must wait to leave headroom for others, or None."""
    free = measure_free(request.resources, list_groups(state, request))
    if free >= headroom:
        return None
    return Reason("room is kept for others", numbers={"free": free, "kept": headroom})


def list_groups(state: SliceState, request: TaskRequest) -> list[WorkerGroup]:
    """Return the groups where a request is placed first."""
    groups = state.match_groups(request)
    accelerated = request.resources.accelerators > 0
    return [group for group in groups if group.key.accelerated is accelerated] or groups


def measure_free(need: Resources, groups: list[WorkerGroup]) -> float:
    """Return the free fraction of the scarcest needed resource, 1 without groups."""
    free = 1.0
    for name in DIMENSIONS:
        capacity = sum(getattr(group.capacity, name) for group in groups)
        if capacity and getattr(need, name):
            used = sum(getattr(group.used, name) for group in groups)
            free = min(free, 1 - used / capacity)
    return free
