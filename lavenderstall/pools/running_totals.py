"""What the running tasks of a pool hold of its workers, by queue, team and whether they last."""

from collections.abc import Iterator
from typing import NamedTuple

from lavenderstall.identifiers import TeamName
from lavenderstall.pools.work import QueueName
from lavenderstall.resources import NOTHING, Resources


class RunGroup(NamedTuple):
    """Runs that count together."""

    queue: QueueName
    team: TeamName
    lasts: bool


class RunningTotals:
    """Sum what runs hold, from when they are placed until they have ended."""

    def __init__(self) -> None:
        self._held: dict[RunGroup, Resources] = {}

    def __iter__(self) -> Iterator[tuple[RunGroup, Resources]]:
        """Yield the groups that have anything running, with what they hold."""
        return iter(self._held.items())

    def add(self, group: RunGroup, allocation: Resources) -> None:
        """Count a run."""
        self._held[group] = self._held.get(group, NOTHING).add(allocation)

    def subtract(self, group: RunGroup, allocation: Resources) -> None:
        """Count a run as ended."""
        left = self._held.get(group, NOTHING).subtract(allocation)
        if left == NOTHING:
            self._held.pop(group, None)
        else:
            self._held[group] = left
