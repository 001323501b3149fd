"""Admission of jobs from what the owners of all slices report."""

from collections.abc import Iterable
from functools import reduce

from lavenderstall.admission import Admission, Quota
from lavenderstall.clocks import Clock
from lavenderstall.configuration import ConfigurationView
from lavenderstall.errors import Outcome, RefusedError
from lavenderstall.identifiers import SliceName, TeamName
from lavenderstall.messages import SliceSummary
from lavenderstall.protocol import Kind
from lavenderstall.records import JobSpec
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.schemas import Demand, Policy, Team

UNBOUNDED = 1 << 60
OBSERVE_SECONDS = 1.0


def make_quota(team: Team) -> Quota:
    """Return the bounds of a team; a component of 0 is not bounded."""
    bound = team.quota.resources
    amounts = {name: getattr(bound, name) or UNBOUNDED for name in bound.__struct_fields__}
    running = None if bound == NOTHING else Resources(**amounts)
    return Quota(running, team.quota.waiting or None)


def make_unit(spec: JobSpec) -> Resources:
    """Return what must fit a quota at once: one task, or all tasks of a gang."""
    if spec.kind is not Kind.GANG:
        return spec.resources
    return reduce(Resources.add, [spec.resources] * spec.tasks)


class AdmissionController:
    """Refuse jobs early that exceed a bound, on any entry instance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._admission = Admission({}, clock.seconds())
        self._declared = False
        self._tasks_per_job = 0
        self._waiting_bounds: dict[Demand, int] = {}
        self._started: dict[tuple[SliceName, str], int] = {}
        self._observed = clock.seconds()

    def use_configuration(self, view: ConfigurationView) -> None:
        """Take the quotas and limits in force."""
        teams: list[Team] = view.list_kind("team")
        self._declared = bool(teams)
        self._admission.set_quotas({TeamName(team.name): make_quota(team) for team in teams})
        policies: list[Policy] = view.list_kind("policy")
        default = next((policy for policy in policies if policy.name == "default"), None)
        self._waiting_bounds = dict(default.limits.waiting) if default else {}
        self._tasks_per_job = default.limits.tasks_per_job if default else 0

    def observe(self, summaries: Iterable[SliceSummary]) -> None:
        """Take what the owners report, once a second."""
        now = self._clock.seconds()
        if now - self._observed < OBSERVE_SECONDS:
            return
        self._observed = now
        known = list(summaries)
        for kind in Kind:
            waiting: dict[TeamName, int] = {}
            started = 0
            for summary in known:
                for team, number in summary.waiting_teams.get(kind.value, {}).items():
                    waiting[team] = waiting.get(team, 0) + number
                key = (summary.slice, kind.value)
                total = summary.started.get(kind.value, 0)
                # A new owner of a slice counts from zero.
                started += max(total - self._started.get(key, total), 0)
                self._started[key] = total
            self._admission.update_counts(kind, waiting, started, now)
            bound = self._waiting_bounds.get(Demand(kind.value))
            if bound:
                self._admission.set_bounds({kind: bound * max(len(known), 1)})

    def admit(self, spec: JobSpec, *, retry: bool = False) -> None:
        """Count a job's tasks as waiting, or raise `RefusedError`.

        A refused retry is unknown, because an earlier attempt may have been accepted.
        """
        outcome = Outcome.UNKNOWN if retry else Outcome.NOT_RUN
        if self._tasks_per_job and spec.tasks > self._tasks_per_job:
            raise RefusedError(
                f"the job has {spec.tasks} tasks, at most {self._tasks_per_job} are allowed",
                step="admission",
                reason="tasks_per_job",
                outcome=outcome,
            )
        if not self._declared:
            return
        try:
            self._admission.admit(
                spec.kind, spec.team, spec.tasks, make_unit(spec), self._clock.seconds()
            )
        except RefusedError as error:
            error.outcome = outcome
            raise
