"""Order of jobs that wait while a pool has too little room for all of them."""

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum
from heapq import heappop, heappush
from itertools import groupby
from math import inf
from typing import NamedTuple

from lavenderstall.identifiers import TeamName
from lavenderstall.pools.fair_shares import divide_room
from lavenderstall.pools.work import QueueName

# Declared durations are rough: a result counts as worthless beforehand only if it would be so
# although the job took this part of its declared duration.
CERTAIN_PART = 0.5
# Below this, differences between a team's use and its part of the room are rounding.
EPSILON = 1e-9


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

    `held` lists the parts that the running tasks of each team hold, with their priorities, and
    `turnover` is the part that tasks hold which end by themselves or may still start.
    """

    turnover: float = 1.0
    held: Mapping[TeamName, Sequence[tuple[int, float]]] = {}
    weights: Mapping[TeamName, float] = {}


class Outlook(IntEnum):
    """What a job can still reach if those before it in the order start first."""

    IN_TIME = 0
    LATE = 1
    UNLIKELY = 2


class Rank(NamedTuple):
    """Place in the order; the lowest goes first.

    A job that is `above_share` belongs to a team that uses its part of the room without it.
    """

    worthless: bool
    above_share: bool
    priority: int
    outlook: Outlook
    position: float


def rank_work(pending: Sequence[PendingWork], room: PoolRoom, now: float) -> list[Rank]:
    """Return the ranks of jobs that wait, so that what is delayed costs callers least.

    Results that are worthless come last, then what teams have beyond their parts of the room, then
    lower priorities. Of the rest as many jobs are kept in time as there is room for, those first
    that give most for their work. Others follow, first those whose results come late but in time
    to be of use.
    """
    above = _find_above_share(pending, room, now)
    densities = _measure_densities(pending)
    classes = [
        (_is_worthless(work, now), above[number], 0 if work.starving else work.priority)
        for number, work in enumerate(pending)
    ]
    ranks: dict[int, Rank] = {}
    ahead_s = 0.0
    numbers = sorted(range(len(pending)), key=classes.__getitem__)
    for (worthless, above_share, priority), group in groupby(numbers, classes.__getitem__):
        members = list(group)
        if worthless:
            for number in members:
                position = pending[number].deadline
                ranks[number] = Rank(True, above_share, priority, Outlook.UNLIKELY, position)
            continue
        selection = _Selection(pending, densities, room, now)
        for outlook, get_limit in _LIMITS:
            chosen, members, ahead_s = selection.choose(members, get_limit, ahead_s)
            for number, start_by in chosen:
                ranks[number] = Rank(False, above_share, priority, outlook, start_by)
        for number in members:
            position = -densities[number]
            ranks[number] = Rank(False, above_share, priority, Outlook.UNLIKELY, position)
    return [ranks[number] for number in range(len(pending))]


_LIMITS: tuple[tuple[Outlook, Callable[[PendingWork], float]], ...] = (
    (Outlook.IN_TIME, lambda work: work.deadline),
    (Outlook.LATE, lambda work: work.expires_at),
)


class _Selection:
    """Choose the jobs that can keep a limit, by the algorithm of Moore and Hodgson.

    A wide job takes as long as the whole pool needs for it, if that is longer than its path.
    """

    def __init__(
        self, pending: Sequence[PendingWork], densities: Sequence[float], room: PoolRoom, now: float
    ) -> None:
        self._pending = pending
        self._densities = densities
        self._rate = max(room.turnover, EPSILON)
        self._now = now

    def choose(
        self, members: list[int], get_limit: Callable[[PendingWork], float], ahead_s: float
    ) -> tuple[list[tuple[int, float]], list[int], float]:
        """Return the chosen jobs with their latest starts, the others, and the work ahead."""
        rows = sorted(
            (get_limit(self._pending[n]) - self._get_span_s(self._pending[n]), n) for n in members
        )
        # The jobs chosen so far, those first that give least for their work.
        chosen: list[tuple[float, int, float]] = []
        rejected: list[int] = []
        for start_by, number in rows:
            work = self._pending[number]
            exempt = work.lasts or work.starving
            if start_by < self._now and not exempt:
                rejected.append(number)
                continue
            heappush(chosen, (inf if exempt else self._densities[number], number, start_by))
            starts_at = self._now + ahead_s
            ahead_s += work.left / self._rate
            while starts_at > start_by and chosen[0][0] < inf:
                _, dropped, _ = heappop(chosen)
                rejected.append(dropped)
                dropped_s = self._pending[dropped].left / self._rate
                ahead_s -= dropped_s
                if dropped == number:
                    break
                starts_at -= dropped_s
        return [(number, start_by) for _, number, start_by in chosen], rejected, ahead_s

    def _get_span_s(self, work: PendingWork) -> float:
        return 0.0 if work.lasts else max(work.path_s, work.left / self._rate)


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


def _find_above_share(pending: Sequence[PendingWork], room: PoolRoom, now: float) -> list[bool]:
    """Tell of each job whether its team uses its part of the room without it.

    What a team holds at lower priorities doesn't count, as it gives way.
    """
    rows: defaultdict[TeamName, list[int]] = defaultdict(list)
    for number, work in enumerate(pending):
        rows[work.team].append(number)
    demands = {team: sum(part for _, part in held) for team, held in room.held.items()}
    for team, numbers in rows.items():
        demands[team] = demands.get(team, 0.0) + sum(pending[n].room for n in numbers)
    parts = divide_room(demands, room.weights)
    above = [False] * len(pending)
    for team, numbers in rows.items():
        if demands[team] <= parts[team] + EPSILON:
            continue
        taken = 0.0
        for number in sorted(numbers, key=lambda n: _get_turn(pending[n], now)):
            work = pending[number]
            held = sum(
                part for priority, part in room.held.get(team, ()) if priority <= work.priority
            )
            above[number] = held + taken >= parts[team] - EPSILON
            taken += work.room
    return above


def _get_turn(work: PendingWork, now: float) -> tuple[bool, bool, int, bool, float]:
    """Return the order in which a team's jobs take its part of the room."""
    start_by = work.deadline - work.path_s
    late = start_by < now and not work.lasts
    return not work.starving, _is_worthless(work, now), work.priority, late, start_by
