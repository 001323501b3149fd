"""What the workers of one slice report: inventories, ends, losses."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from itertools import chain
from math import inf

from twisted.internet.defer import Deferred

from lavenderstall.errors import FencedError, LavenderstallError
from lavenderstall.fleet import LEASE_MARGIN, WorkerLink, describe_fence
from lavenderstall.identifiers import ServiceName, TaskId, WorkerId, get_task
from lavenderstall.protocol import Kind, LeaseAnswer, TaskReport, TaskState, WorkerMember
from lavenderstall.reasons import Reason
from lavenderstall.starts import TaskStarter
from lavenderstall.tasks import LIVE, Ending, Task
from lavenderstall.worker_index import WorkerState

logger = logging.getLogger(__name__)

LEAVE_GRACE_SECONDS = 5.0
RESTART_SECONDS = 0.5
RESTART_MAXIMUM_SECONDS = 60.0


class TaskAdopter(TaskStarter):
    """Compare the tasks of a slice with what its workers report."""

    def set_members(self, members: Mapping[WorkerId, WorkerMember]) -> None:
        """Take the workers that the membership list names for this slice."""
        unlisted = self.fleet.set_members(members)
        for link in unlisted:
            if link.lost and not link.calls:
                self._forget_worker(link)

    def set_leaving(self, leaving: Collection[WorkerId]) -> None:
        """Take the workers that the membership list names as leaving."""
        for name, worker in list(self.state.workers.items()):
            if name in leaving and not worker.leaving:
                self._leave(name)

    def _leave(self, name: WorkerId) -> None:
        self.state.update_worker(name, leaving=True)
        self._clock.callLater(LEAVE_GRACE_SECONDS, self._empty_worker, name)

    def _forget_worker(self, link: WorkerLink) -> None:
        """Drop a worker that is neither listed nor answering, once its lease has lapsed.

        One that never answered this owner may obey a former owner that keeps its tasks running.
        """
        if link.id in self.state.workers or not (link.claimed or self._is_past_outages()):
            return
        self.fleet.forget(link.id)
        Deferred.fromCoroutine(self._env.ownership.remove_workers(self.name, [link.id]))

    def apply_inventory(self, worker: WorkerLink, answer: LeaseAnswer) -> None:
        """Take over a full inventory or the changes since the last one."""
        known = self.state.workers.get(worker.id)
        if known is None:
            self._add_worker(worker)
        else:
            if known.capacity != answer.capacity:
                self.state.update_worker(worker.id, capacity=answer.capacity)
            if answer.leaving and not known.leaving:
                self._leave(worker.id)
            if known.silent:
                self.state.update_worker(worker.id, silent=False)
        if answer.full:
            self._compare_full(worker, answer)
        for report in answer.tasks:
            self._take_report(worker, report)
        for report in answer.finished:
            self._take_end(worker, report)
        self._end_gone(worker)
        self.calls.update_total()
        self._release_unresolved()
        self.request_schedule()

    def _add_worker(self, link: WorkerLink) -> None:
        """Take a worker into service, once the table has confirmed the tenure after its claim.

        A worker that restarted has forgotten its epoch and accepts the claim of a former owner.
        """
        if link.incarnation not in self._admitted and not self.tenure.local:
            self._request_roster()
            return
        member = link.member
        self.state.add_worker(
            WorkerState(
                id=link.id,
                zone=member.zone,
                rack=member.rack,
                pool=member.pool,
                labels=frozenset(),
                capacity=link.capacity,
                incarnation=link.incarnation,
                leaving=link.leaving,
            )
        )
        self.automation.set_workers(self.state.workers)
        for task in self.tasks.values():
            if task.worker == link.id and task.state in LIVE:
                self.state.charge(link.id, task.id, self._make_request([task]))
        self._reconsider_never()

    def _request_roster(self) -> None:
        if not self._rostering:
            self._rostering = True
            Deferred.fromCoroutine(self._extend_roster())

    async def _extend_roster(self) -> None:
        try:
            claimed = [link for link in self.fleet.links.values() if link.claimed]
            incarnations = {link.incarnation for link in claimed}
            held = [link.id for link in claimed]
            if not await self._env.ownership.add_workers(self.name, held) or self.stopped:
                return
            self._admitted = incarnations
            for link in claimed:
                if link.incarnation in incarnations and link.id not in self.state.workers:
                    self._add_worker(link)
            self.request_schedule()
        except LavenderstallError as error:
            logger.info("workers of %s wait for the table: %s", self.name, error)
        finally:
            self._rostering = False

    def _compare_full(self, link: WorkerLink, answer: LeaseAnswer) -> None:
        """Find tasks that a full inventory no longer lists."""
        listed = {report.task for report in (*answer.tasks, *answer.finished)}
        for task in list(self.tasks.values()):
            if task.worker != link.id or task.run in listed:
                continue
            # A run that began after the worker was asked is missing for that reason only.
            if task.state in LIVE and task.accepted < link.asked:
                self._end_run(task, "the worker no longer lists the task")
        self._drop_unmatched(link.id, listed)

    def _drop_unmatched(self, worker: WorkerId, listed: Collection[TaskId] = ()) -> None:
        """Forget reports of a worker that it would not make now."""
        self.unmatched = {
            run: found
            for run, found in self.unmatched.items()
            if found[0] != worker or run in listed
        }

    def _end_gone(self, link: WorkerLink) -> None:
        """End runs that the worker denied before it was asked for its inventory.

        Until then a run may have ended by itself, and its report may be on its way.
        """
        for task in list(self.tasks.values()):
            if task.worker == link.id and task.gone < link.asked and task.state in LIVE:
                self._end_run(task, "stopped before it ran")

    def _take_report(self, link: WorkerLink, report: TaskReport) -> None:
        """Adopt or update a task that a worker runs."""
        name = get_task(report.task)
        task = self.tasks.get(name)
        if task is None or (task.run and task.run != report.task):
            self.unmatched[report.task] = (link.id, report)
            if self.loaded:
                self.request_reload()
            return
        task.used = report.used
        task.accepted = min(task.accepted, self._clock.seconds())
        if task.state in LIVE:
            if task.state is TaskState.STARTING:
                self._note_running(task)
            self.automation.handle_task_report(task, self._clock.seconds())
            return
        self._adopt(task, link.id, report)

    def _adopt(self, task: Task, worker: WorkerId, report: TaskReport) -> None:
        """Take over a task that was started by an earlier owner."""
        if task.queued:
            self._withdraw(task)
        self._unresolved.discard(task.id)
        task.worker = worker
        task.run = report.task
        task.state = report.state
        task.started = self._clock.seconds() - report.age_ms / 1000
        if report.state is TaskState.RUNNING:
            self.automation.handle_task_start(task, task.started)
        task.accepted = self._clock.seconds()
        task.gone = inf
        if worker in self.state.workers:
            self.state.charge(worker, task.id, self._make_request([task]))
        self._explain("adopted", Reason("task runs on the worker"), task)
        if not self._is_wanted(task):
            self.stop_tasks([task], Ending.CANCEL, "no longer wanted")
        elif task.spec.kind is Kind.GANG:
            self._complete_gang(task.spec.id)

    def _take_end(self, link: WorkerLink, report: TaskReport) -> None:
        """Handle a task that has ended on a worker."""

        def acknowledge() -> None:
            link.acknowledged.add(report.task)

        task = self.tasks.get(get_task(report.task))
        if task is None:
            if self.loaded:
                # The end may be noted and not committed yet.
                self.work.call_after(report.job, acknowledge)
            else:
                self.unmatched[report.task] = (link.id, report)
        elif task.run == report.task:
            self._finish(task, report, acknowledge)
        elif task.run:
            acknowledge()
        else:
            self._take_former_end(task, report, acknowledge)

    def _take_former_end(
        self, task: Task, report: TaskReport, acknowledge: Callable[[], None]
    ) -> None:
        """Handle the end of an earlier run of a task that waits.

        The task goes on waiting unless the end is final, because a later run of it may exist on
        a worker that has not answered yet.
        """
        if report.state is TaskState.DONE:
            self._close(task, "done", acknowledge)
            return
        if report.state is TaskState.FAILED:
            task.attempts += 1
        if not task.spec.idempotent:
            failed = report.state is TaskState.FAILED
            self._close(task, "failed" if failed else "unknown", acknowledge)
        elif report.state is TaskState.FAILED and task.attempts >= task.spec.max_attempts:
            self._close(task, "failed", acknowledge)
        else:
            acknowledge()

    def _finish(self, task: Task, report: TaskReport, acknowledge: Callable[[], None]) -> None:
        self._release_room(task)
        self.automation.handle_task_end(task, report.state, self._clock.seconds())
        if report.state is TaskState.DONE:
            self._close(task, "done", acknowledge)
        elif report.state is TaskState.FAILED:
            task.attempts += 1
            retry = task.spec.idempotent and task.attempts < task.spec.max_attempts
            if task.ending is Ending.CANCEL:
                self._close(task, "failed", acknowledge)
            elif task.spec.kind is Kind.SERVICE:
                acknowledge()
                self._restart_replica(task)
            elif retry:
                acknowledge()
                self._wait(task, f"failed: {report.detail}")
            else:
                self._close(task, "failed", acknowledge)
        elif task.ending is Ending.CANCEL:
            self._close(task, "stopped", acknowledge)
        elif task.spec.idempotent:
            acknowledge()
            self._wait(task, report.detail)
        else:
            self._close(task, "unknown", acknowledge)

    def _restart_replica(self, task: Task) -> None:
        """Let a replica that failed start again after a delay that doubles each time."""
        delay = min(RESTART_SECONDS * 2.0 ** min(task.attempts, 10), RESTART_MAXIMUM_SECONDS)
        self._explain("waits", Reason("replica failed", f"starts again in {delay:g} s"), task)
        task.state, task.run = TaskState.WAITING, TaskId("")
        task.since = self._clock.seconds()
        self._clock.callLater(delay, self._queue_again, task)

    def lose_worker(self, worker: WorkerLink) -> None:
        """Handle a worker whose task lease has surely lapsed."""
        Deferred.fromCoroutine(self._lose_worker(worker))

    async def _lose_worker(self, link: WorkerLink) -> None:
        try:
            confirmed = await self._env.ownership.confirm(self.name)
        except LavenderstallError as error:
            # Without the table another owner may keep the worker's tasks alive.
            logger.info("worker %s stays charged: %s", link.id, error)
            link.lost = False
            return
        if not confirmed or self.stopped or not link.lost:
            return
        logger.warning("worker %s is lost", link.id)
        self._drop_unmatched(link.id)
        for task in self._list_live(link):
            self._end_run(task, "the worker is lost")
        if link.id in self.state.workers:
            self.state.remove_worker(link.id)
        self.request_schedule()

    def restart_worker(self, worker: WorkerLink) -> None:
        """Handle a worker that came back with a new incarnation."""
        runs = self._list_live(worker)
        for task in runs:
            if task.accepted < worker.asked:
                self._end_run(task, "the worker restarted")
        if any(task.accepted < inf for task in self._list_live(worker)):
            # Either incarnation may have accepted these; the next inventory tells.
            worker.request_full()
        # The worker has forgotten its epoch, so it is admitted anew.
        if worker.id in self.state.workers:
            self.state.remove_worker(worker.id)

    def silence_worker(self, worker: WorkerLink) -> None:
        """Place nothing on a worker that does not answer."""
        known = self.state.workers.get(worker.id)
        if known is not None and not known.silent:
            self.state.update_worker(worker.id, silent=True)

    def report_fenced(self, worker: WorkerLink, error: FencedError) -> None:
        """Tell the ownership that a worker obeys another owner."""
        term, owner = describe_fence(error)
        self._env.ownership.report_fenced(self.name, term, owner)

    def _empty_worker(self, name: WorkerId) -> None:
        """Move the tasks of a service away from a leaving worker."""
        worker = self.state.workers.get(name)
        if self.stopped or worker is None or worker.in_service:
            return
        leaving = [
            task
            for task in self.tasks.values()
            if task.worker == name and task.spec.kind is Kind.SERVICE
        ]
        self.stop_tasks(leaving, Ending.RETRY, "the worker leaves")

    def hold_worker(self, name: WorkerId, *, held: bool) -> None:
        """Quarantine a worker until its change is in force, or lift that."""
        if held:
            self._held.add(name)
        else:
            self._held.discard(name)
            self._lifted.add(name)
        worker = self.state.workers.get(name)
        if worker is not None:
            self.state.update_worker(name, quarantined=held)
        self.request_schedule()

    def set_service(self, name: WorkerId, *, draining: bool, quarantined: bool) -> None:
        """Take a worker out of service or back; services move away from a drained worker."""
        worker = self.state.workers[name]
        quarantined = self._merge_hold(name, quarantined)
        if (worker.draining, worker.quarantined) == (draining, quarantined):
            return
        self.state.update_worker(name, draining=draining, quarantined=quarantined)
        if draining:
            self._clock.callLater(LEAVE_GRACE_SECONDS, self._empty_worker, name)
        self.request_schedule()

    def _merge_hold(self, name: WorkerId, commanded: bool) -> bool:
        """Return whether a worker is quarantined while its change is not yet in force."""
        if name in self._held:
            if commanded:
                self._held.discard(name)
            return True
        if name in self._lifted:
            if not commanded:
                self._lifted.discard(name)
            return False
        if not commanded:
            self.automation.handle_operator_release(name, self._clock.seconds())
        return commanded

    def find_worker_reason(self, name: WorkerId) -> str:
        """Return the latest decision about a worker's service."""
        records = [r for r in self.reasons.find_worker(name) if not r.tasks]
        return records[-1].reason.detail if records else ""

    def _is_out_of_service(self, name: WorkerId) -> bool:
        worker = self.state.workers.get(name)
        return worker is not None and not worker.in_service

    def find_replicas(self, service: ServiceName) -> frozenset[WorkerId]:
        """Return the workers that run a replica of a service."""
        running = self.replicas.get(service, {}).values()
        known = {task.worker for task in running if task.state is TaskState.RUNNING}
        unmatched = {
            worker
            for worker, report in self.unmatched.values()
            if report.service == service and report.state is TaskState.RUNNING
        }
        return frozenset(known | unmatched)

    def _list_replicas(self) -> Iterable[tuple[ServiceName, WorkerId]]:
        """Yield the service and the worker of each replica that runs.

        Replicas whose rows were not read yet serve calls as well, as after a takeover without
        the table.
        """
        for task in chain.from_iterable(each.values() for each in self.replicas.values()):
            if task.state is TaskState.RUNNING:
                yield task.spec.service, task.worker
        for worker, report in self.unmatched.values():
            if report.kind is Kind.SERVICE and report.state is TaskState.RUNNING:
                yield report.service, worker

    def _is_roster_claimed(self) -> bool:
        links = self.fleet.links
        if all(name in links and links[name].claimed for name in self.tenure.workers):
            return True
        return self._is_past_outages()

    def _is_past_outages(self) -> bool:
        """Tell whether no former owner can keep tasks running any more."""
        terms = self._env.terms
        limit = terms.outage_limit + terms.tasks * LEASE_MARGIN
        return self._clock.seconds() - self.tenure.started >= limit
