"""Admission control of jobs, based on the summaries of all slices."""

from collections.abc import Iterable
from functools import reduce

from lavenderstall.admission import Admission, Quota, make_running_limit
from lavenderstall.clocks import Clock
from lavenderstall.configuration import ConfigurationView
from lavenderstall.errors import Outcome, RefusedError
from lavenderstall.identifiers import SliceName, TeamName
from lavenderstall.messages import SliceSummary
from lavenderstall.protocol import Kind
from lavenderstall.records import JobSpec
from lavenderstall.resources import Resources
from lavenderstall.schemas import Demand, Policy, Team

OBSERVE_INTERVAL_SECONDS = 1.0


def make_quota(team: Team) -> Quota:
    """Return the quota of a team; an amount of 0 means no limit."""
    return Quota(make_running_limit(team.quota.resources), team.quota.waiting or None)


def compute_unit_resources(spec: JobSpec) -> Resources:
    """Return what has to fit a quota at once: one task, or all tasks of a gang."""
    if spec.kind is not Kind.GANG:
        return spec.resources
    return reduce(Resources.add, [spec.resources] * spec.tasks)


class AdmissionController:
    """Reject jobs that exceed a quota or queue limit, on any entry instance."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._admission = Admission({}, clock.seconds())
        self._teams_declared = False
        self._tasks_per_job = 0
        self._waiting_bounds: dict[Demand, int] = {}
        self._started: dict[tuple[SliceName, str], int] = {}
        self._observed = clock.seconds()

    def apply_configuration(self, view: ConfigurationView) -> None:
        """Apply the quotas and limits in force."""
        teams: list[Team] = view.list_kind("team")
        self._teams_declared = bool(teams)
        self._admission.set_quotas({TeamName(team.name): make_quota(team) for team in teams})
        policies: list[Policy] = view.list_kind("policy")
        default = next((policy for policy in policies if policy.name == "default"), None)
        self._waiting_bounds = dict(default.limits.waiting) if default else {}
        self._tasks_per_job = default.limits.tasks_per_job if default else 0

    def observe(self, summaries: Iterable[SliceSummary]) -> None:
        """Update the waiting and started counts from summaries, at most once a second."""
        now = self._clock.seconds()
        if now - self._observed < OBSERVE_INTERVAL_SECONDS:
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
                # A new owner of a slice restarts its count at zero.
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
        if not self._teams_declared:
            return
        try:
            self._admission.admit(
                spec.kind,
                spec.team,
                spec.tasks,
                compute_unit_resources(spec),
                self._clock.seconds(),
            )
        except RefusedError as error:
            error.outcome = outcome
            raise
