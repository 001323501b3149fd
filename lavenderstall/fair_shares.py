"""Division of room between teams by their weights."""

from collections.abc import Mapping
from typing import TypeVar

T = TypeVar("T")

TEAM_EXCESS_FACTOR = 2.0
"""A team floods the others at this many times its fair share."""


def divide_room(demands: Mapping[T, float], weights: Mapping[T, float]) -> dict[T, float]:
    """Return the part of the room, 1 in all, that each demand may use.

    What some leave of their parts is lent to the others by weight. A weight that is not given is 1.
    """
    left, weight_left = 1.0, sum(weights.get(name, 1.0) for name in demands)
    parts: dict[T, float] = {}
    for name in sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0)):
        weight = weights.get(name, 1.0)
        parts[name] = min(demands[name], left * weight / weight_left)
        left -= parts[name]
        weight_left -= weight
    return parts
