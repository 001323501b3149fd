"""Automatic actions of a slice: quarantine, charges by measured use, corrections, preemption."""

import logging
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Protocol

import msgspec

from lavenderstall import preemption, usage
from lavenderstall.health import (
    ClearBadJob,
    FailJob,
    HealthAction,
    HealthMonitor,
    HealthReason,
    MarkJobBad,
    Quarantine,
    Release,
    WithheldQuarantine,
)
from lavenderstall.identifiers import JobId, TaskId, WorkerId
from lavenderstall.preemption import Preemption, PreemptionBudget, PreemptionMethod, RunningTask
from lavenderstall.protocol import Kind, TaskState
from lavenderstall.reasons import Reason, Record
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import Resources
from lavenderstall.schemas import Action, Mode, Policy
from lavenderstall.usage import UsageShape, UsageTracker

if TYPE_CHECKING:
    from lavenderstall.slices import SliceServer
    from lavenderstall.tasks import Task

logger = logging.getLogger(__name__)

# Declarations count until a sibling has been measured: a larger estimate would delay short
# tasks of new jobs on workers that run services.
UNOBSERVED_FACTOR = 1.0
URGENT_WAIT_S = 0.3
MAX_CANDIDATE_WORKERS = 32


class QuarantineJournal(Protocol):
    """Record automatic quarantines in the change history for operators."""

    def record_quarantine(self, worker: WorkerId, *, quarantined: bool, reason: str) -> None:
        """Record that a worker was quarantined or released."""

    def propose_quarantine(self, worker: WorkerId, reason: str) -> None:
        """Propose a quarantine for approval by operators."""


class Automation:
    """Monitor the tasks of a slice and act within the policy in force."""

    def __init__(
        self, server: "SliceServer", journal: QuarantineJournal, read_unix: Callable[[], float]
    ) -> None:
        self.policy: Policy | None = None
        self.health = HealthMonitor(())
        self.usage = UsageTracker(unobserved_factor=UNOBSERVED_FACTOR)
        self.budget = PreemptionBudget()
        self._server = server
        self._journal = journal
        self._read_unix = read_unix
        self._proposed: set[WorkerId] = set()

    # Queries of the scheduler

    def is_start_blocked(self, worker: WorkerId, request: TaskRequest, now: float) -> bool:
        """Return whether a worker should not start a task of a job now."""
        if worker not in self._server.state.workers:
            return False
        return (
            self.health.find_start_obstacle(worker, request.job, request.idempotent, now)
            is not None
        )

    def compute_charge(self, task: "Task") -> Resources:
        """Return the charge of a task to start."""
        spec = task.spec
        if spec.kind is Kind.GANG:
            return spec.resources
        capacity = self._server.state.capacity
        return self.usage.compute_start_charge(
            make_usage_shape(task), spec.resources, capacity
        ).resources

    # Events

    def set_workers(self, workers: Iterable[WorkerId]) -> None:
        """Replace the workers of the slice."""
        self.health.set_workers(list(workers))

    def handle_task_start(self, task: "Task", now: float) -> None:
        """Record that a worker started a task."""
        worker = self._server.state.workers.get(task.worker)
        if worker is None:
            return
        self.health.record_start(task.worker, task.spec.id, now)
        self.usage.record_start(
            task.id, make_usage_shape(task), task.spec.resources, worker.capacity, now
        )

    def handle_task_report(self, task: "Task", now: float) -> None:
        """Record a worker's report on a running task."""
        if any(msgspec.structs.astuple(task.used)):
            self.usage.record_usage(task.id, task.used, now)
            self._update_charge(task)
        if task.worker in self._server.state.workers:
            ran = now - task.started
            self._execute_actions(self.health.record_progress(task.worker, task.spec.id, ran, now))

    def handle_task_end(self, task: "Task", state: TaskState, now: float) -> None:
        """Record that a task ended by itself."""
        self.usage.record_end(task.id, done=state is TaskState.DONE, now=now)
        if task.worker not in self._server.state.workers:
            return
        if state is TaskState.DONE:
            self._execute_actions(self.health.record_success(task.worker, task.spec.id, now))
        elif state is TaskState.FAILED:
            ran = now - task.started
            self._execute_actions(self.health.record_failure(task.worker, task.spec.id, ran, now))

    def handle_operator_release(self, worker: WorkerId, now: float) -> None:
        """Record that an operator lifted a quarantine."""
        if worker in self._server.state.workers and self.health.is_quarantined(worker):
            self.health.apply_action(Release(worker, HealthReason.OPERATOR), now)

    def run_periodic_actions(self, now: float) -> None:
        """Reopen the queue, start probes, correct overcommitted workers and preempt."""
        if self._server.paused:
            return
        self._reopen_queue()
        self._start_probes(now)
        self._correct_overcommitted(now)
        self._preempt_for_urgent_task(now)

    # Health

    def _reopen_queue(self) -> None:
        """Retry blocked tasks, since some blocks end with time alone."""
        if self._server.state.is_start_blocked is not None:
            for shape in list(self._server.queue.closed_shapes):
                self._server.queue.open(shape)

    def _find_mode(self, action: Action, worker: WorkerId) -> Mode:
        if self._server.paused:
            return Mode.PROPOSE
        if self.policy is None:
            return Mode.DO
        scopes = (f"worker/{worker}", f"slice/{self._server.name}", f"zone/{self._server.zone}")
        return self.policy.find_mode(action, scopes)

    def _execute_actions(self, actions: Iterable[HealthAction]) -> None:
        for action in actions:
            self._execute(action)

    @singledispatchmethod
    def _execute(self, action: object) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_execute.register
    def _(self, action: Quarantine) -> None:
        reason = f"{action.reason.value}: {', '.join(action.jobs)}"
        if self._find_mode(Action.QUARANTINE, action.worker) is Mode.PROPOSE:
            if action.worker not in self._proposed:
                self._proposed.add(action.worker)
                self._record_worker_reason(action.worker, "proposed", "quarantine", reason)
                self._journal.propose_quarantine(action.worker, reason)
            return
        self.health.apply_action(action, self._server.now())
        self._record_worker_reason(
            action.worker, "quarantined", "worker fails what it starts", reason
        )
        self._server.set_local_quarantine(action.worker, quarantined=True)
        self._journal.record_quarantine(action.worker, quarantined=True, reason=reason)

    @_execute.register
    def _(self, action: WithheldQuarantine) -> None:
        self._record_worker_reason(action.worker, "withheld", "quarantine", action.reason.value)

    @_execute.register
    def _(self, action: Release) -> None:
        self.health.apply_action(action, self._server.now())
        self._record_worker_reason(
            action.worker, "released", "probes succeeded", action.reason.value
        )
        self._server.set_local_quarantine(action.worker, quarantined=False)
        self._journal.record_quarantine(
            action.worker, quarantined=False, reason=action.reason.value
        )

    @_execute.register
    def _(self, action: MarkJobBad) -> None:
        self.health.apply_action(action, self._server.now())
        workers = f"failed on {', '.join(action.workers)}"
        self._record_job_reason(action.job, "backs off", action.reason.value, workers)

    @_execute.register
    def _(self, action: ClearBadJob) -> None:
        self.health.apply_action(action, self._server.now())
        self._record_job_reason(action.job, "cleared", action.reason.value, "")

    @_execute.register
    def _(self, action: FailJob) -> None:
        self._record_job_reason(
            action.job, "failed", action.reason.value, f"{action.failures} failures"
        )
        self._server.fail_job(action.job)

    def _start_probes(self, now: float) -> None:
        """Start one waiting task on each quarantined worker whose probe is due."""
        for name, worker in list(self._server.state.workers.items()):
            if not worker.quarantined or worker.tasks or not self.health.is_quarantined(name):
                continue
            for task in self._server.list_probes(worker):
                request = task.spec
                if self.health.find_start_obstacle(name, request.id, request.idempotent, now):
                    continue
                self._record_worker_reason(
                    name, "probed", "quarantined worker gets one task", task.id
                )
                self._server.start_probe(task, name)
                break

    # Measured use

    def _update_charge(self, task: "Task") -> None:
        """Charge a task by its measured use."""
        state = self._server.state
        worker = state.workers.get(task.worker)
        charge = worker.tasks.get(task.id) if worker is not None else None
        if charge is None or not self.usage.is_tracked(task.id):
            return
        wanted = self.usage.get_charge(task.id).resources
        if charge.resources != wanted:
            state.change_charge(task.worker, task.id, wanted)

    def _correct_overcommitted(self, now: float) -> None:
        state = self._server.state
        for name, worker in list(state.workers.items()):
            if worker.available.cores_milli >= 0 and worker.available.memory_mb >= 0:
                continue
            tasks = [task for task in worker.tasks if self.usage.is_tracked(task)]
            idempotent = [
                task
                for task in tasks
                if task in self._server.tasks and self._server.tasks[task].spec.idempotent
            ]
            for correction in self.usage.find_corrections(tasks, idempotent, worker.capacity, now):
                self._execute_correction(name, correction, now)

    def _execute_correction(
        self, worker: WorkerId, correction: usage.Correction, now: float
    ) -> None:
        task = self._server.tasks.get(correction.task)
        if task is None:
            return
        action = Action.THROTTLE if isinstance(correction, usage.Throttle) else Action.MOVE
        proposed = self._find_mode(action, worker) is Mode.PROPOSE
        outcome = "proposed" if proposed else action.value
        if isinstance(correction, usage.OperatorNotice):
            outcome = "reported"
        self._record_task_reason(task, outcome, correction.reason.value)
        if proposed:
            return
        self.usage.record_correction(correction, now)
        if isinstance(correction, usage.Throttle):
            self._server.throttle_task(task, correction.cores_milli)
        elif isinstance(correction, usage.Move):
            self._server.move_tasks([task], correction.reason.value)

    # Preemption

    def _preempt_for_urgent_task(self, now: float) -> None:
        """Free resources for the most urgent waiting task."""
        urgent = self._server.find_urgent(now - URGENT_WAIT_S)
        if urgent is None:
            return
        plans = []
        state = self._server.state
        for name, worker in list(state.workers.items()):
            if not worker.in_service or urgent.spec.pool not in {"", worker.pool}:
                continue
            running = [self._make_running_task(t) for t in self._server.list_running(name)]
            plans.append(
                preemption.choose_victims(
                    name,
                    urgent.spec.resources,
                    worker.available,
                    priority=urgent.spec.priority,
                    tasks=running,
                    budget=self.budget,
                    now=now,
                )
            )
            if len(plans) >= MAX_CANDIDATE_WORKERS:
                break
        plan = preemption.choose_plan(plans)
        if not plan.preemptions:
            return
        if self._find_mode(Action.PREEMPT, plan.preemptions[0].worker) is Mode.PROPOSE:
            self._record_task_reason(urgent, "proposed", f"preempt {plan.preemptions[0].task}")
            return
        self.budget.record(plan, now)
        for chosen in plan.preemptions:
            self._execute_preemption(chosen, urgent)

    def _make_running_task(self, task: "Task") -> RunningTask:
        return RunningTask(
            task.id,
            task.spec.id,
            task.spec.priority,
            task.spec.resources,
            task.started,
            task.spec.idempotent,
            has_checkpoint=True,
        )

    def _execute_preemption(self, chosen: Preemption, urgent: "Task") -> None:
        task = self._server.tasks[chosen.task]
        self._record_task_reason(task, "preempted", f"{chosen.reason.value} for {urgent.id}")
        if chosen.method is PreemptionMethod.THROTTLE and chosen.cores_milli is not None:
            self._server.throttle_task(task, chosen.cores_milli)
        else:
            self._server.move_tasks([task], f"preempted for {urgent.id}")

    # Reasons

    def _record_worker_reason(self, worker: WorkerId, outcome: str, rule: str, detail: str) -> None:
        logger.warning("worker %s %s: %s", worker, outcome, detail)
        record = Record(self._read_unix(), outcome, Reason(rule, detail), workers=(worker,))
        self._server.reasons.add(record)

    def _record_job_reason(self, job: JobId, outcome: str, rule: str, detail: str) -> None:
        logger.warning("job %s %s: %s %s", job, outcome, rule, detail)
        self._server.reasons.add(Record(self._read_unix(), outcome, Reason(rule, detail), job=job))

    def _record_task_reason(self, task: "Task", outcome: str, detail: str) -> None:
        self._server.reasons.add(
            Record(
                self._read_unix(),
                outcome,
                Reason(outcome, detail),
                (TaskId(task.id),),
                task.spec.id,
                (task.worker,) if task.worker else (),
            )
        )


def make_usage_shape(task: "Task") -> UsageShape:
    """Return the key under which measured use is shared."""
    spec = task.spec
    service = spec.service if spec.kind is Kind.SERVICE else None
    return UsageShape(spec.team, spec.id, service) if service else UsageShape(spec.team, spec.id)
