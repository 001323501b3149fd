"""Reconciliation of a slice's tasks with the reports of its workers."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from itertools import chain
from math import inf

from twisted.internet.defer import Deferred

from lavenderstall.crashes import is_cleared, record_crash
from lavenderstall.errors import FencedError, LavenderstallError
from lavenderstall.fleet import LEASE_MARGIN_FACTOR, WorkerLink, get_fencing_owner
from lavenderstall.identifiers import ServiceName, TaskId, WorkerId, get_task_id
from lavenderstall.protocol import Kind, LeaseAnswer, TaskReport, TaskState, WorkerMember
from lavenderstall.reasons import Reason
from lavenderstall.records import NO_CRASHES
from lavenderstall.starts import TaskStarter
from lavenderstall.tasks import LIVE_STATES, StopMode, Task
from lavenderstall.worker_index import WorkerState

logger = logging.getLogger(__name__)

LEAVE_GRACE_SECONDS = 5.0
RESTART_DELAY_SECONDS = 0.5
MAX_RESTART_DELAY_SECONDS = 60.0


def get_restart_delay(failures: int) -> float:
    """Return how long a replica waits before it starts again, in seconds."""
    return min(RESTART_DELAY_SECONDS * 2.0 ** min(failures, 10), MAX_RESTART_DELAY_SECONDS)


class TaskAdopter(TaskStarter):
    """Compare the tasks of a slice with what its workers report."""

    def set_members(self, members: Mapping[WorkerId, WorkerMember]) -> None:
        """Set the workers that the membership list names for this slice."""
        unlisted = self.fleet.set_members(members)
        for link in unlisted:
            if link.lost and not link.calls:
                self._forget_worker(link)

    def set_leaving(self, leaving: Collection[WorkerId]) -> None:
        """Mark the workers that the membership list names as leaving."""
        for name, worker in list(self.state.workers.items()):
            if name in leaving and not worker.leaving:
                self._mark_leaving(name)

    def _mark_leaving(self, name: WorkerId) -> None:
        self.state.update_worker(name, leaving=True)
        self._clock.callLater(LEAVE_GRACE_SECONDS, self._evict_services, name)

    def _forget_worker(self, link: WorkerLink) -> None:
        """Remove a worker that is neither listed nor answering, once its lease has expired.

        A former owner may still run tasks on a worker that never answered this owner.
        """
        if link.id in self.state.workers or not (link.claimed or self._are_former_leases_expired()):
            return
        self.fleet.forget(link.id)
        Deferred.fromCoroutine(self._env.ownership.remove_workers(self.name, [link.id]))

    def apply_inventory(self, worker: WorkerLink, answer: LeaseAnswer) -> None:
        """Apply a full inventory or the changes since the last one."""
        known = self.state.workers.get(worker.id)
        if known is None:
            self._add_worker(worker)
        else:
            if known.capacity != answer.capacity:
                self.state.update_worker(worker.id, capacity=answer.capacity)
            if answer.leaving and not known.leaving:
                self._mark_leaving(worker.id)
            if known.silent:
                self.state.update_worker(worker.id, silent=False)
        if answer.full:
            self._reconcile_full_inventory(worker, answer)
        for report in answer.tasks:
            self._handle_report(worker, report)
        for report in answer.finished:
            self._handle_end(worker, report)
        self._end_absent_runs(worker)
        self.calls.update_call_limit()
        self._release_unresolved()
        self.request_schedule()

    def _add_worker(self, link: WorkerLink) -> None:
        """Make a worker available, once the table has confirmed the tenure after its claim.

        A restarted worker has lost its epoch and would accept the claim of a former owner.
        """
        if link.incarnation not in self._admitted_incarnations and not self.tenure.local:
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
            if task.worker == link.id and task.state in LIVE_STATES:
                self.state.charge(link.id, task.id, self._make_request([task]))
        self._requeue_never_fitting()

    def _request_roster(self) -> None:
        if not self._extending_roster:
            self._extending_roster = True
            Deferred.fromCoroutine(self._extend_roster())

    async def _extend_roster(self) -> None:
        try:
            claimed = [link for link in self.fleet.links.values() if link.claimed]
            incarnations = {link.incarnation for link in claimed}
            claimed_ids = [link.id for link in claimed]
            if not await self._env.ownership.add_workers(self.name, claimed_ids) or self.stopped:
                return
            self._admitted_incarnations = incarnations
            for link in claimed:
                if link.incarnation in incarnations and link.id not in self.state.workers:
                    self._add_worker(link)
            self.request_schedule()
        except LavenderstallError as error:
            logger.info("cannot add workers to the roster of %s yet: %s", self.name, error)
        finally:
            self._extending_roster = False

    def _reconcile_full_inventory(self, link: WorkerLink, answer: LeaseAnswer) -> None:
        """End runs that a full inventory no longer lists."""
        listed = {report.task for report in (*answer.tasks, *answer.finished)}
        for task in list(self.tasks.values()):
            if task.worker != link.id or task.run in listed:
                continue
            # The inventory cannot list a run that began after it was requested.
            if task.state in LIVE_STATES and task.accepted_at < link.inventory_requested_at:
                self._end_run(task, "the worker no longer lists the task")
        self._drop_unmatched(link.id, listed)

    def _drop_unmatched(self, worker: WorkerId, listed: Collection[TaskId] = ()) -> None:
        """Drop outdated reports of a worker."""
        self.unmatched_reports = {
            run: found
            for run, found in self.unmatched_reports.items()
            if found[0] != worker or run in listed
        }

    def _end_absent_runs(self, link: WorkerLink) -> None:
        """End runs that the worker reported absent before its inventory was requested.

        Earlier, the report of a run that ended by itself may still be in flight.
        """
        for task in list(self.tasks.values()):
            if (
                task.worker == link.id
                and task.absent_at < link.inventory_requested_at
                and task.state in LIVE_STATES
            ):
                self._end_run(task, "stopped before it ran")

    def _handle_report(self, link: WorkerLink, report: TaskReport) -> None:
        """Adopt or update a task that a worker runs, or keep its report until rows are read."""
        name = get_task_id(report.task)
        task = self.tasks.get(name)
        if task is None or (task.run and task.run != report.task):
            self.unmatched_reports[report.task] = (link.id, report)
            if self.loaded:
                self.request_reload()
            return
        task.used = report.used
        task.accepted_at = min(task.accepted_at, self._clock.seconds())
        if task.state in LIVE_STATES:
            if task.state is TaskState.STARTING:
                self._mark_running(task)
            self.automation.handle_task_report(task, self._clock.seconds())
            return
        self._adopt(task, link.id, report)

    def _clear_crashes(self, task: Task) -> None:
        if is_cleared(task, self._clock.seconds()):
            task.crashes = NO_CRASHES
            self.work.record_crashes(task.spec.id, task.index, task.crashes)

    def _adopt(self, task: Task, worker: WorkerId, report: TaskReport) -> None:
        """Take over a task that was started by an earlier owner."""
        if task.queued:
            self._dequeue(task)
        self._unresolved.discard(task.id)
        task.worker = worker
        task.run = report.task
        task.state = report.state
        task.started = self._clock.seconds() - report.age_ms / 1000
        if report.state is TaskState.RUNNING:
            self._record_start(task)
            self.automation.handle_task_start(task, task.started)
        task.accepted_at = self._clock.seconds()
        task.absent_at = inf
        if worker in self.state.workers:
            self.state.charge(worker, task.id, self._make_request([task]))
        self._explain("adopted", Reason("task runs on the worker"), task)
        if not self._is_wanted(task):
            self.stop_tasks([task], StopMode.CANCEL, "no longer wanted")
        elif task.spec.kind is Kind.GANG:
            self._complete_gang(task.spec.id)

    def _handle_end(self, link: WorkerLink, report: TaskReport) -> None:
        """Handle the end of a run on a worker."""

        def acknowledge() -> None:
            link.acknowledged.add(report.task)

        task = self.tasks.get(get_task_id(report.task))
        if task is None:
            if self.loaded and report.job not in self.work.unreadable:
                # The end may be recorded but not committed yet.
                self.work.call_after(report.job, acknowledge)
            else:
                self.unmatched_reports[report.task] = (link.id, report)
        elif task.run == report.task:
            self._handle_run_end(task, report, acknowledge)
        elif task.run:
            acknowledge()
        else:
            self._handle_earlier_run_end(task, report, acknowledge)

    def _handle_earlier_run_end(
        self, task: Task, report: TaskReport, acknowledge: Callable[[], None]
    ) -> None:
        """Handle the end of an earlier run of a waiting task.

        The task keeps waiting unless the end is final, because a later run may exist on a worker
        that has not answered yet.
        """
        if report.state is TaskState.DONE:
            self._end_task(task, "done", acknowledge)
            return
        if report.state is TaskState.FAILED:
            task.attempts += 1
        if not task.spec.idempotent:
            failed = report.state is TaskState.FAILED
            self._end_task(task, "failed" if failed else "unknown", acknowledge)
        elif report.state is TaskState.FAILED and task.attempts >= task.spec.max_attempts:
            self._end_task(task, "failed", acknowledge)
        else:
            self._record_end_of_run(task)
            acknowledge()

    def _handle_run_end(
        self, task: Task, report: TaskReport, acknowledge: Callable[[], None]
    ) -> None:
        self._release_allocation(task)
        self.automation.handle_task_end(task, report.state, self._clock.seconds())
        if report.state is TaskState.DONE:
            self._end_task(task, "done", acknowledge)
        elif report.state is TaskState.FAILED:
            task.attempts += 1
            retry = task.spec.idempotent and task.attempts < task.spec.max_attempts
            if task.stop_mode is StopMode.CANCEL:
                self._end_task(task, "failed", acknowledge)
            elif task.spec.kind is Kind.SERVICE:
                acknowledge()
                self._restart_replica(task)
            elif retry:
                acknowledge()
                self._retry(task, f"failed: {report.detail}")
            else:
                self._end_task(task, "failed", acknowledge)
        elif task.stop_mode is StopMode.CANCEL:
            self._end_task(task, "stopped", acknowledge)
        elif task.spec.idempotent:
            acknowledge()
            self._retry(task, report.detail)
        else:
            self._end_task(task, "unknown", acknowledge)

    def _restart_replica(self, task: Task) -> None:
        """Restart a failed replica after an exponential delay."""
        delay = get_restart_delay(task.attempts)
        self._explain("waits", Reason("replica failed", f"starts again in {delay:g} s"), task)
        task.state, task.run = TaskState.WAITING, TaskId("")
        task.waiting_since = self._clock.seconds()
        self._record_end_of_run(task)
        self._clock.callLater(delay, self._enqueue_if_waiting, task)

    def _restart_suspect(self, task: Task) -> None:
        if task.spec.kind is not Kind.SERVICE:
            self._enqueue_if_waiting(task)
            return
        delay = get_restart_delay(task.attempts + task.crashes.total - 1)
        self._clock.callLater(delay, self._enqueue_if_waiting, task)

    def _record_crash(self, link: WorkerLink, *, restarted: bool) -> None:
        """Record the loss of a worker that was not leaving for the tasks that may have caused it.

        Runs whose end is not certain yet are recorded too, as they may have crashed it.
        """
        if link.leaving:
            return
        now = self._clock.seconds()
        for task in record_crash(self._list_live(link), now, restarted=restarted):
            self._suspects.add(task.id)
            self.work.record_crashes(task.spec.id, task.index, task.crashes)
            logger.info(
                "worker %s was lost under task %s, %.1f s old; crashes: %d, %d by it alone",
                link.id,
                task.id,
                now - task.started,
                task.crashes.total,
                task.crashes.sole,
            )
        self.work.flush()

    def handle_lost_worker(self, worker: WorkerLink) -> None:
        """Handle a worker whose task lease has certainly expired."""
        Deferred.fromCoroutine(self._confirm_loss(worker))

    async def _confirm_loss(self, link: WorkerLink) -> None:
        try:
            confirmed = await self._env.ownership.confirm(self.name)
        except LavenderstallError as error:
            # Without the table another owner may keep the worker's tasks alive.
            logger.info("loss of worker %s is not confirmed: %s", link.id, error)
            link.lost = False
            return
        if not confirmed or self.stopped or not link.lost:
            return
        logger.warning("worker %s is lost", link.id)
        self._drop_unmatched(link.id)
        self._record_crash(link, restarted=False)
        for task in self._list_live(link):
            self._end_run(task, "the worker is lost")
        if link.id in self.state.workers:
            self.state.remove_worker(link.id)
        self.request_schedule()

    def handle_worker_restart(self, worker: WorkerLink) -> None:
        """Handle a worker that came back with a new incarnation."""
        self._record_crash(worker, restarted=True)
        for task in self._list_live(worker):
            if task.accepted_at < worker.inventory_requested_at:
                self._end_run(task, "the worker restarted")
        if any(task.accepted_at < inf for task in self._list_live(worker)):
            # Either incarnation may have accepted these; a full inventory shows which.
            worker.request_full_inventory()
        # The worker has lost its epoch, so it must be confirmed and added again.
        if worker.id in self.state.workers:
            self.state.remove_worker(worker.id)

    def handle_silent_worker(self, worker: WorkerLink) -> None:
        """Place nothing on a worker that does not answer."""
        known = self.state.workers.get(worker.id)
        if known is not None and not known.silent:
            self.state.update_worker(worker.id, silent=True)

    def report_fenced(self, worker: WorkerLink, error: FencedError) -> None:
        """Report to the ownership that a worker was claimed by another owner."""
        term, owner = get_fencing_owner(error)
        self._env.ownership.report_fenced(self.name, term, owner)

    def _evict_services(self, name: WorkerId) -> None:
        """Evict service replicas from an unavailable worker."""
        worker = self.state.workers.get(name)
        if self.stopped or worker is None or worker.in_service:
            return
        leaving = [
            task
            for task in self.tasks.values()
            if task.worker == name and task.spec.kind is Kind.SERVICE
        ]
        self.stop_tasks(leaving, StopMode.RETRY, "the worker leaves")

    def set_local_quarantine(self, name: WorkerId, *, quarantined: bool) -> None:
        """Quarantine or release a worker before the configuration change is in force."""
        if quarantined:
            self._quarantined_locally.add(name)
        else:
            self._quarantined_locally.discard(name)
            self._released_locally.add(name)
        worker = self.state.workers.get(name)
        if worker is not None:
            self.state.update_worker(name, quarantined=quarantined)
        self.request_schedule()

    def set_worker_state(self, name: WorkerId, *, draining: bool, quarantined: bool) -> None:
        """Set whether a worker drains or is quarantined; draining evicts its services."""
        worker = self.state.workers[name]
        quarantined = self._merge_local_quarantine(name, quarantined)
        if (worker.draining, worker.quarantined) == (draining, quarantined):
            return
        self.state.update_worker(name, draining=draining, quarantined=quarantined)
        if draining:
            self._clock.callLater(LEAVE_GRACE_SECONDS, self._evict_services, name)
        self.request_schedule()

    def _merge_local_quarantine(self, name: WorkerId, commanded: bool) -> bool:
        """Return whether a worker is quarantined, counting local changes not yet in force."""
        if name in self._quarantined_locally:
            if commanded:
                self._quarantined_locally.discard(name)
            return True
        if name in self._released_locally:
            if not commanded:
                self._released_locally.discard(name)
            return False
        if not commanded:
            self.automation.handle_operator_release(name, self._clock.seconds())
        return commanded

    def find_worker_reason(self, name: WorkerId) -> str:
        """Return the latest decision about a worker's service."""
        records = [r for r in self.reasons.find_by_worker(name) if not r.tasks]
        return records[-1].reason.detail if records else ""

    def _is_out_of_service(self, name: WorkerId) -> bool:
        worker = self.state.workers.get(name)
        return worker is not None and not worker.in_service

    def find_replicas(self, service: ServiceName) -> frozenset[WorkerId]:
        """Return the workers that run a replica of a service."""
        running = self.replicas.get(service, {}).values()
        known = {task.worker for task in running if task.state is TaskState.RUNNING}
        unmatched_reports = {
            worker
            for worker, report in self.unmatched_reports.values()
            if report.service == service and report.state is TaskState.RUNNING
        }
        return frozenset(known | unmatched_reports)

    def _list_replicas(self) -> Iterable[tuple[ServiceName, WorkerId]]:
        """Yield the service and the worker of each replica that runs.

        Replicas whose rows were not read yet, as after a takeover without the table, serve calls
        as well.
        """
        for task in chain.from_iterable(each.values() for each in self.replicas.values()):
            if task.state is TaskState.RUNNING:
                yield task.spec.service, task.worker
        for worker, report in self.unmatched_reports.values():
            if report.kind is Kind.SERVICE and report.state is TaskState.RUNNING:
                yield report.service, worker

    def _is_roster_claimed(self) -> bool:
        links = self.fleet.links
        if all(name in links and links[name].claimed for name in self.tenure.workers):
            return True
        return self._are_former_leases_expired()

    def _are_former_leases_expired(self) -> bool:
        """Return whether the task leases of all former owners have expired."""
        terms = self._env.terms
        limit = terms.outage_limit + terms.tasks * LEASE_MARGIN_FACTOR
        return self._clock.seconds() - self.tenure.started >= limit
