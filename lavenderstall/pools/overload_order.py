"""Order of jobs that wait while a pool has too little room for all of them."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from enum import Enum, IntEnum
from heapq import heappop, heappush
from itertools import groupby
from math import inf
from typing import NamedTuple

from lavenderstall.fair_shares import TEAM_EXCESS_FACTOR, divide_room
from lavenderstall.identifiers import TeamName
from lavenderstall.pools.work import QueueName

# Declared durations are rough: a job counts as late beforehand only if it would be although it took
# this part of its declared duration, and its result as worthless for a smaller part.
LIKELY_PART = 0.7
CERTAIN_PART = 0.5
# Below this, differences between a team's use and its part of the room are rounding.
EPSILON = 1e-9
# A single team has nobody to share the room with.
MIN_TEAMS = 2


class PendingWork(NamedTuple):
    """What is left of an occurrence of a job of which tasks wait.

    Times are seconds of uptime. `room` is the part of the pool that the waiting tasks would take,
    `left` and `total` the part times seconds of all tasks that are to start, and of the whole job.
    `path_s` is how long the job takes at least once its tasks start. A job that `lasts` has no end,
    one that is `starving` has waited for too long.
    """

    queue: QueueName
    team: TeamName
    priority: int
    deadline: float
    expires_at: float
    path_s: float
    room: float
    left: float
    total: float
    lasts: bool = False
    starving: bool = False


class PoolRoom(NamedTuple):
    """Room of a pool.

    `held` lists the parts that the running tasks of each team hold, with their priorities.
    `turnover` is the part that tasks without an end leave to others.
    """

    turnover: float = 1.0
    held: Mapping[TeamName, Sequence[tuple[int, float]]] = {}
    weights: Mapping[TeamName, float] = {}


class Outlook(IntEnum):
    """What a job can still reach if those before it in the order start first."""

    IN_TIME = 0
    LATE = 1
    UNLIKELY = 2


class Excess(IntEnum):
    """How a team's use without a job compares to its part of the room."""

    BELOW = 0
    ABOVE = 1
    FLOODING = 2


class WaitReason(Enum):
    """Why others go first while there is too little room."""

    WORTHLESS = "the result is of no use any more"
    FLOODING = "the team is far above its share"
    ABOVE_SHARE = "the team is above its share"
    LATE = "others can still be in time"
    UNLIKELY = "others can still be of use, or need less work"
    ROOM = "no room"


class Rank(NamedTuple):
    """Place in the order; the lowest goes first."""

    worthless: bool
    flooding: bool
    priority: int
    above_share: bool
    outlook: Outlook
    position: float

    @property
    def reason(self) -> WaitReason:
        """Return the first reason for which others go first."""
        if self.worthless:
            return WaitReason.WORTHLESS
        if self.flooding:
            return WaitReason.FLOODING
        if self.above_share:
            return WaitReason.ABOVE_SHARE
        if self.outlook is Outlook.IN_TIME:
            return WaitReason.ROOM
        return WaitReason.LATE if self.outlook is Outlook.LATE else WaitReason.UNLIKELY


def rank_work(pending: Sequence[PendingWork], room: PoolRoom, now: float) -> list[Rank]:
    """Return the ranks of jobs that wait, so that what is delayed costs callers least.

    Results that are worthless come last, then what teams have far beyond their parts of the room,
    then lower priorities, and of a priority what is beyond the parts. Of the rest as many jobs are
    kept in time as there is room for, those first that give most for their work. Others follow,
    first those whose results come late but in time to be of use.
    """
    ranker = _Ranker(pending, room, now)
    ranks = ranker.rank([Excess.BELOW] * len(pending))
    excesses = _measure_excesses(pending, room, ranks)
    return ranker.rank(excesses) if any(excesses) else ranks


class _Ranker:
    """Rank jobs by class, and those of a class by what they can still reach.

    A wide job takes as long as the whole pool needs for it, if that is longer than its path.
    """

    def __init__(self, pending: Sequence[PendingWork], room: PoolRoom, now: float) -> None:
        rate = max(room.turnover, EPSILON)
        densities = _measure_densities(pending)
        spans_s = [
            0.0 if work.lasts else LIKELY_PART * max(work.path_s, work.left / rate)
            for work in pending
        ]
        self._now = now
        self._pending = pending
        self._worthless = [_is_worthless(work, now) for work in pending]
        self._densities = [
            inf if work.lasts or work.starving else density
            for work, density in zip(pending, densities, strict=True)
        ]
        # How long the whole pool needs for each job, and the latest starts by outlook.
        self._loads_s = [work.left / rate for work in pending]
        self._latest_starts = {
            Outlook.IN_TIME: [
                work.deadline - span_s for work, span_s in zip(pending, spans_s, strict=True)
            ],
            Outlook.LATE: [
                work.expires_at - span_s for work, span_s in zip(pending, spans_s, strict=True)
            ],
        }

    def rank(self, excesses: Sequence[Excess]) -> list[Rank]:
        """Return the ranks of all jobs."""
        classes = [
            (
                worthless,
                excess is Excess.FLOODING,
                0 if work.starving else work.priority,
                excess is not Excess.BELOW,
            )
            for work, worthless, excess in zip(
                self._pending, self._worthless, excesses, strict=True
            )
        ]
        ranks: dict[int, Rank] = {}
        ahead_s = 0.0
        numbers = sorted(range(len(classes)), key=classes.__getitem__)
        for key, group in groupby(numbers, classes.__getitem__):
            members = list(group)
            if self._worthless[members[0]]:
                for number in members:
                    ranks[number] = Rank(*key, Outlook.UNLIKELY, self._pending[number].deadline)
                continue
            for outlook, latest_starts in self._latest_starts.items():
                chosen, members, ahead_s = self._choose(members, latest_starts, ahead_s)
                for number in chosen:
                    ranks[number] = Rank(*key, outlook, latest_starts[number])
            for number in members:
                ranks[number] = Rank(*key, Outlook.UNLIKELY, -self._densities[number])
        return [ranks[number] for number in range(len(classes))]

    def _choose(
        self, members: list[int], latest_starts: Sequence[float], ahead_s: float
    ) -> tuple[list[int], list[int], float]:
        """Return the jobs that can start in time, the others, and the work ahead of later ones.

        Jobs are added in the order of their latest starts. Once one would start too late, those
        that give least for their work are left out, as in the algorithm of Moore and Hodgson.
        """
        densities, loads_s = self._densities, self._loads_s
        chosen: list[tuple[float, int]] = []
        rejected: list[int] = []
        for number in sorted(members, key=latest_starts.__getitem__):
            delay_s = latest_starts[number] - self._now
            if delay_s < 0 and densities[number] < inf:
                rejected.append(number)
                continue
            heappush(chosen, (densities[number], number))
            starts_after_s = ahead_s
            ahead_s += loads_s[number]
            while starts_after_s > delay_s and chosen[0][0] < inf:
                _, dropped = heappop(chosen)
                rejected.append(dropped)
                ahead_s -= loads_s[dropped]
                if dropped == number:
                    break
                starts_after_s -= loads_s[dropped]
        return [number for _, number in chosen], rejected, ahead_s


def _is_worthless(work: PendingWork, now: float) -> bool:
    return not work.lasts and now + CERTAIN_PART * work.path_s > work.expires_at


def _measure_densities(pending: Sequence[PendingWork]) -> list[float]:
    """Return what jobs give for the work that is left.

    Half of what jobs of a queue give is the same for each, and half is in proportion to its work.
    """
    totals: defaultdict[QueueName, list[float]] = defaultdict(list)
    for work in pending:
        totals[work.queue].append(work.total)
    means = {queue: sum(values) / len(values) for queue, values in totals.items()}
    return [
        (1 + work.total / max(means[work.queue], EPSILON)) / max(work.left, EPSILON)
        for work in pending
    ]


def _measure_excesses(
    pending: Sequence[PendingWork], room: PoolRoom, ranks: Sequence[Rank]
) -> list[Excess]:
    """Return how each team's use without a job, and without its later ones, exceeds its part.

    What a team holds at lower priorities doesn't count, as it gives way.
    """
    rows: defaultdict[TeamName, list[int]] = defaultdict(list)
    for number in sorted(range(len(pending)), key=ranks.__getitem__):
        rows[pending[number].team].append(number)
    demands = {team: sum(part for _, part in held) for team, held in room.held.items()}
    for team, numbers in rows.items():
        demands[team] = demands.get(team, 0.0) + sum(pending[n].room for n in numbers)
    parts = divide_room(demands, room.weights)
    excesses = [Excess.BELOW] * len(pending)
    if len(demands) < MIN_TEAMS:
        return excesses
    for team, numbers in rows.items():
        if demands[team] <= parts[team] + EPSILON:
            continue
        taken = 0.0
        for number in numbers:
            work = pending[number]
            held = room.held.get(team, ())
            used = taken + sum(part for priority, part in held if priority <= work.priority)
            excesses[number] = _compare(used, parts[team])
            taken += work.room
    return excesses


def _compare(used: float, part: float) -> Excess:
    if used < part - EPSILON:
        return Excess.BELOW
    return Excess.FLOODING if used >= TEAM_EXCESS_FACTOR * part else Excess.ABOVE
