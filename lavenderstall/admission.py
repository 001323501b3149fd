"""Quotas per team and bounded waiting counts per kind, with early refusal."""

import math
from collections.abc import Mapping
from enum import Enum

import msgspec

from lavenderstall.errors import RefusedError
from lavenderstall.identifiers import TeamName
from lavenderstall.protocol import Kind
from lavenderstall.resources import NOTHING, Resources

STEP = "admission"

UNLIMITED = 1 << 60
KIND_BOUND = 200_000
TEAM_BOUND = 100_000
# A team over its share of a kind's bound may fill the queue to this fraction; the rest is left
# for teams below their share.
OVER_SHARE_FRACTION = 0.75

DRAIN_WINDOW_S = 30.0
MINIMUM_RETRY_MS = 100
# Also used before anything has started, when no drain rate is known.
MAXIMUM_RETRY_MS = 60_000


class AdmissionReason(Enum):
    """Reasons for which work is refused before it waits, or held back before it starts."""

    UNKNOWN_TEAM = "unknown_team"
    LARGER_THAN_QUOTA = "larger_than_team_quota"
    TEAM_WAITING_QUOTA = "team_waiting_quota"
    TEAM_QUEUE_FULL = "team_queue_full"
    KIND_QUEUE_FULL = "kind_queue_full"
    TEAM_RUNNING_QUOTA = "team_running_quota"


class Quota(msgspec.Struct, frozen=True):
    """Limits on what a team runs and how many of its tasks wait; None is unlimited."""

    running: Resources | None = None
    waiting: int | None = None


def make_running_limit(amounts: Resources) -> Resources | None:
    """Return the limit on what a team runs; an amount of 0 means no limit, all 0 means none."""
    if amounts == NOTHING:
        return None
    fields = amounts.__struct_fields__
    return Resources(**{name: getattr(amounts, name) or UNLIMITED for name in fields})


class DrainRate:
    """Measure events per second with exponential decay over `DRAIN_WINDOW_S`."""

    def __init__(self, now: float) -> None:
        self._created = now
        self._updated = now
        self._decayed_count = 0.0

    def record(self, count: int, now: float) -> None:
        """Add events that happened now."""
        self._decay(now)
        self._decayed_count += count

    def get(self, now: float) -> float:
        """Return the rate per second, corrected for a window that is not yet full."""
        self._decay(now)
        elapsed = max(1.0, now - self._created)
        window_fraction = 1 - math.exp(-elapsed / DRAIN_WINDOW_S)
        return self._decayed_count / (DRAIN_WINDOW_S * window_fraction)

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._decayed_count *= math.exp(-elapsed / DRAIN_WINDOW_S)
        self._updated = max(self._updated, now)


class _KindQueue:
    """Waiting counts and drain rate of one kind."""

    def __init__(self, now: float) -> None:
        self.waiting = 0
        self.waiting_by_team: dict[TeamName, int] = {}
        self.rate = DrainRate(now)

    def add(self, team: TeamName, count: int) -> None:
        self.waiting += count
        self.waiting_by_team[team] = self.waiting_by_team.get(team, 0) + count

    def remove(self, team: TeamName, count: int) -> None:
        waiting = self.waiting_by_team.get(team, 0)
        if count > waiting:
            raise ValueError(f"team {team} has {waiting} waiting tasks, not {count}")
        self.waiting -= count
        self.waiting_by_team[team] = waiting - count
        if not self.waiting_by_team[team]:
            del self.waiting_by_team[team]


class Admission:
    """Count waiting and running work by kind and team and refuse what exceeds a bound."""

    def __init__(
        self,
        quotas: dict[TeamName, Quota],
        now: float,
        *,
        kind_bound: int = KIND_BOUND,
        team_bound: int = TEAM_BOUND,
    ) -> None:
        self._quotas = quotas
        self._kind_bounds = dict.fromkeys(Kind, kind_bound)
        self._team_bound = team_bound
        self._queues = {kind: _KindQueue(now) for kind in Kind}
        self._running: dict[TeamName, Resources] = {}

    def set_quotas(self, quotas: dict[TeamName, Quota]) -> None:
        """Replace all quotas; work that is already accepted stays."""
        self._quotas = quotas

    def set_bounds(self, bounds: Mapping[Kind, int]) -> None:
        """Replace the bounds of some kinds."""
        self._kind_bounds |= bounds

    def update_counts(
        self, kind: Kind, waiting: Mapping[TeamName, int], started: int, now: float
    ) -> None:
        """Replace the counts of a kind with those that the owners of all slices report.

        `started` is how many tasks of the kind they started since the last observation.
        """
        queue = self._queues[kind]
        queue.waiting_by_team = dict(waiting)
        queue.waiting = sum(waiting.values())
        queue.rate.record(started, now)

    def count_waiting(self, kind: Kind, team: TeamName | None = None) -> int:
        """Return the waiting tasks of a kind, of one team or of all."""
        queue = self._queues[kind]
        return queue.waiting if team is None else queue.waiting_by_team.get(team, 0)

    def get_running(self, team: TeamName) -> Resources:
        """Return what the running tasks of a team are charged."""
        return self._running.get(team, NOTHING)

    def admit(self, kind: Kind, team: TeamName, count: int, demand: Resources, now: float) -> None:
        """Count tasks as waiting, or raise `RefusedError` with a reason of `AdmissionReason`.

        `demand` is what must fit the quota at once: one task, or all tasks of a gang.
        """
        refusal = self._find_refusal(kind, team, count, demand)
        if refusal is not None:
            reason, excess = refusal
            raise RefusedError(
                self._describe_refusal(kind, team, count, demand, refusal),
                step=STEP,
                reason=reason.value,
                retry_after_ms=self._estimate_retry_ms(kind, reason, excess, now),
            )
        self._queues[kind].add(team, count)

    def find_start_obstacle(self, team: TeamName, charge: Resources) -> AdmissionReason | None:
        """Return why a waiting task of a team may not start now."""
        quota = self._quotas.get(team)
        if quota is None:
            return AdmissionReason.UNKNOWN_TEAM
        if quota.running is None or self.get_running(team).add(charge).fits(quota.running):
            return None
        return AdmissionReason.TEAM_RUNNING_QUOTA

    def record_start(self, kind: Kind, team: TeamName, charge: Resources, now: float) -> None:
        """Count one waiting task as running."""
        self._queues[kind].remove(team, 1)
        self._queues[kind].rate.record(1, now)
        self._running[team] = self.get_running(team).add(charge)

    def record_end(self, team: TeamName, charge: Resources) -> None:
        """Count one running task as ended; `charge` is what it was charged last."""
        self._running[team] = self.get_running(team).subtract(charge)

    def change_charge(self, team: TeamName, before: Resources, after: Resources) -> None:
        """Count a running task at a new charge."""
        self._running[team] = self.get_running(team).subtract(before).add(after)

    def record_cancel(self, kind: Kind, team: TeamName, count: int) -> None:
        """Remove cancelled tasks; they do not count in the drain rate."""
        self._queues[kind].remove(team, count)

    def _describe_refusal(
        self,
        kind: Kind,
        team: TeamName,
        count: int,
        demand: Resources,
        refusal: tuple[AdmissionReason, int],
    ) -> str:
        """Return which bound is exceeded and by how much."""
        reason, excess = refusal
        tasks = f"{count} {kind.value} tasks of team {team}"
        if reason is AdmissionReason.UNKNOWN_TEAM:
            return f"team {team} is not declared"
        if reason is AdmissionReason.LARGER_THAN_QUOTA:
            bound = self._quotas[team].running or NOTHING
            parts = (
                f"{name} is {getattr(demand, name)}, at most {getattr(bound, name)}"
                for name in demand.find_shortages(bound)
            )
            what = "all tasks of the gang" if kind is Kind.GANG else "one task"
            return f"{what} would exceed the quota of team {team}: {', '.join(parts)}"
        bounds = {
            AdmissionReason.TEAM_WAITING_QUOTA: "the waiting quota of the team",
            AdmissionReason.TEAM_QUEUE_FULL: f"what may wait of one team and kind {kind.value}",
            AdmissionReason.KIND_QUEUE_FULL: f"what may wait of kind {kind.value}",
        }
        return f"{tasks} exceed {bounds[reason]} by {excess}"

    def _find_refusal(
        self, kind: Kind, team: TeamName, count: int, demand: Resources
    ) -> tuple[AdmissionReason, int] | None:
        """Return the first bound that is exceeded and by how many tasks."""
        quota = self._quotas.get(team)
        if quota is None:
            return AdmissionReason.UNKNOWN_TEAM, count
        if quota.running is not None and not demand.fits(quota.running):
            return AdmissionReason.LARGER_THAN_QUOTA, count
        queue = self._queues[kind]
        team_waiting = queue.waiting_by_team.get(team, 0) + count
        if quota.waiting is not None:
            total = sum(each.waiting_by_team.get(team, 0) for each in self._queues.values()) + count
            if total > quota.waiting:
                return AdmissionReason.TEAM_WAITING_QUOTA, total - quota.waiting
        if team_waiting > self._team_bound:
            return AdmissionReason.TEAM_QUEUE_FULL, team_waiting - self._team_bound
        # One more team is counted, so that a single team leaves space for another.
        teams = len(queue.waiting_by_team) + (team not in queue.waiting_by_team) + 1
        is_over_share = team_waiting > self._kind_bounds[kind] / teams
        bound = int(self._kind_bounds[kind] * (OVER_SHARE_FRACTION if is_over_share else 1))
        if queue.waiting + count > bound:
            return AdmissionReason.KIND_QUEUE_FULL, queue.waiting + count - bound
        return None

    def _estimate_retry_ms(
        self, kind: Kind, reason: AdmissionReason, excess: int, now: float
    ) -> int:
        """Return when the excess will have drained; 0 if waiting does not help."""
        if reason in (AdmissionReason.UNKNOWN_TEAM, AdmissionReason.LARGER_THAN_QUOTA):
            return 0
        rate = self._queues[kind].rate.get(now)
        if excess * 1000 >= rate * MAXIMUM_RETRY_MS:
            return MAXIMUM_RETRY_MS
        return max(MINIMUM_RETRY_MS, int(excess * 1000 / rate))
