"""Dispatch of the waiting tasks of one slice and their starts on workers."""

import logging

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.crashes import may_crash
from lavenderstall.decisions import Never, Plan
from lavenderstall.errors import FencedError, LavenderstallError, PeerUnavailableError
from lavenderstall.identifiers import JobId, TaskId, WorkerId, make_run_id
from lavenderstall.protocol import TaskState
from lavenderstall.reasons import Reason
from lavenderstall.tasks import LIVE_STATES, StopMode, Task, make_start
from lavenderstall.tracking import TaskTracker

logger = logging.getLogger(__name__)


class TaskStarter(TaskTracker):
    """Dispatch waiting tasks and start them on workers."""

    def start_probe(self, task: Task, worker: WorkerId) -> None:
        """Start one waiting task on a quarantined worker."""
        self._dequeue(task)
        self.state.charge(worker, task.id, self._make_request([task]), self._clock.seconds())
        self._assign(task, worker)
        Deferred.fromCoroutine(self._start_on(worker, [task]))

    def request_schedule(self) -> None:
        """Schedule a dispatch of the waiting tasks."""
        if not self._scheduled and not self.stopped:
            self._scheduled = True
            self._clock.callLater(0, self._schedule)

    def _schedule(self) -> None:
        self._scheduled = False
        if self.stopped or self.tenure.local:
            return
        age = self._clock.seconds() - self.tenure.confirmed
        if age >= self._env.terms.outage_limit:
            return
        starts: dict[WorkerId, list[Task]] = {}
        decided = 0
        for dispatched in self._dispatcher.dispatch(self._clock.seconds()):
            decided += 1
            self._apply_decision(dispatched.decision, starts)
        for worker, tasks in starts.items():
            Deferred.fromCoroutine(self._start_on(worker, tasks))
        if decided:
            # The dispatcher limits the work of one pass; another pass handles the rest.
            self.request_schedule()

    def _apply_decision(self, decision: object, starts: dict[WorkerId, list[Task]]) -> None:
        if isinstance(decision, Plan):
            for placement in decision.placements:
                task = self.tasks[placement.task]
                self._assign(task, placement.worker)
                starts.setdefault(placement.worker, []).append(task)
                self._explain("placed", decision.reason, task)
        elif isinstance(decision, Never):
            for name in decision.request.tasks:
                task = self.tasks[name]
                task.queued = False
                task.never_reason = decision.reason
                self._explain("never", decision.reason, task)

    def _assign(self, task: Task, worker: WorkerId) -> None:
        task.queued = False
        task.state = TaskState.STARTING
        task.worker = worker
        task.started = self._clock.seconds()
        task.run = make_run_id(task.id, self.tenure.term, next(self._run_numbers))

    def _requeue_never_fitting(self) -> None:
        for task in list(self.tasks.values()):
            if task.never_reason is not None:
                task.never_reason = None
                self._enqueue(task)

    async def _start_on(self, worker: WorkerId, tasks: list[Task]) -> None:
        """Start tasks on a worker and handle each result."""
        runs = {task.run: task for task in tasks}
        link = self.fleet.links.get(worker)
        try:
            tasks = await self._bind(worker, tasks)
            if link is None or not link.usable:
                raise PeerUnavailableError("the worker is silent", step="start", peer=worker)
            results = await link.change_tasks(starts=[make_start(task) for task in tasks])
        except (PeerUnavailableError, FencedError) as error:
            for task in tasks:
                self._handle_refused_start(task, str(error))
            return
        except LavenderstallError as error:
            # A start still in flight is refused once the stop has arrived.
            logger.info("no answer to task starts on worker %s: %s", worker, error)
            return
        now = self._clock.seconds()
        for result in results:
            if result.task not in runs:
                logger.warning("worker %s answers for %.80r, not asked", worker, result.task)
                continue
            task = runs[result.task]
            if self.tasks.get(task.id) is not task or task.run != result.task:
                continue
            if result.accepted:
                task.started = now
                task.accepted_at = min(task.accepted_at, now)
                if task.state is TaskState.STARTING:
                    self._mark_running(task)
            else:
                reason = result.reason.value if result.reason else ""
                self._handle_refused_start(task, f"{reason} {result.detail}".strip())

    def _mark_running(self, task: Task) -> None:
        task.state = TaskState.RUNNING
        self._record_start(task)
        self.started[task.spec.kind] += 1
        self.automation.handle_task_start(task, self._clock.seconds())

    async def _bind(self, worker: WorkerId, tasks: list[Task]) -> list[Task]:
        """Commit the worker of non-idempotent tasks and return the tasks that may start.

        The start of a suspected task is committed too, as its owner may end with its worker.
        """
        ready = [task for task in tasks if task.spec.idempotent and not task.crashes.total]
        for task in tasks:
            if task.spec.idempotent and task.crashes.total and await self._commit_start(task):
                ready.append(task)
        once: dict[JobId, list[Task]] = {}
        for task in tasks:
            if not task.spec.idempotent:
                once.setdefault(task.spec.id, []).append(task)
        for job, listed in once.items():
            if await self.work.bind(job, [task.index for task in listed], worker):
                ready += listed
            else:
                for task in listed:
                    self._handle_refused_start(task, "the binding could not be committed")
        return [task for task in ready if task.state is TaskState.STARTING]

    def _record_start(self, task: Task) -> None:
        """Record with the next commit that a run has begun, as it may be lost with its owner."""
        if not task.spec.idempotent or task.crashes.started:
            return
        if may_crash(task, self._clock.seconds()):
            task.crashes = msgspec.structs.replace(task.crashes, started=True)
            self.work.record_crashes(task.spec.id, task.index, task.crashes)

    async def _commit_start(self, task: Task) -> bool:
        self._record_start(task)
        if await self.work.commit(task.spec.id):
            return True
        self._handle_refused_start(task, "its crashes could not be committed")
        return False

    def _handle_refused_start(self, task: Task, detail: str) -> None:
        """Requeue a task that its worker certainly did not start."""
        if self.tasks.get(task.id) is not task or task.state not in LIVE_STATES:
            return
        self._release_allocation(task)
        self._record_end_of_run(task)
        if not task.spec.idempotent:
            self.work.unbind(task.spec.id, task.index)
        if task.stop_mode is StopMode.CANCEL:
            self._end_task(task, "stopped")
            return
        self._explain("refused", Reason("worker refused the start", detail), task)
        self._clock.callLater(0.05, self._enqueue_if_waiting, task)
        task.state = TaskState.WAITING
        task.run = TaskId("")

    def _enqueue_if_waiting(self, task: Task) -> None:
        if self.tasks.get(task.id) is task and task.state is TaskState.WAITING:
            self._enqueue(task)

    def _expire_waiting(self) -> None:
        unix_ms = self._env.read_unix() * 1000
        expired = [
            task
            for task in self.tasks.values()
            if task.state is TaskState.WAITING and 0 < task.spec.deadline_unix_ms < unix_ms
        ]
        self.cancel_tasks(expired, "the deadline passed")
