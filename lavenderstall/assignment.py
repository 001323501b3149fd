"""Reading of the work rows that assign tasks to one slice."""

import logging
from collections.abc import Iterable

from twisted.internet.defer import Deferred

from lavenderstall.adoption import TaskAdopter
from lavenderstall.crashes import is_given_up, record_missing_run
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import get_task_id, make_task_id
from lavenderstall.protocol import Kind, TaskState, TaskStop
from lavenderstall.records import NO_CRASHES, PREFIX_WORK
from lavenderstall.tasks import Task
from lavenderstall.work_rows import CachedWorkRow

logger = logging.getLogger(__name__)


class AssignmentReader(TaskAdopter):
    """Read the work rows of a slice and apply their changes."""

    def request_reload(self) -> None:
        """Schedule a read of the work rows."""
        if self.tenure.local or self.stopped:
            return
        if self._reloading:
            self._reload_again = True
            return
        self._reloading = True
        Deferred.fromCoroutine(self._reload())

    async def _reload(self) -> None:
        try:
            rows = await self._env.store.scan(f"{PREFIX_WORK}{self.name}/")
            # Ownership is read after the rows, so a row written after the slice was lost is
            # never applied.
            if not await self._env.ownership.confirm(self.name) or self.stopped:
                return
            changed, removed = self.work.load(rows)
            first, self.loaded = not self.loaded, True
            self._apply_changed_jobs(changed, first=first)
            self._cancel_removed_jobs(removed)
            self._match_reports()
            self._release_unresolved()
            self.request_schedule()
        except LavenderstallError as error:
            logger.info("cannot read the work rows of %s: %s", self.name, error)
        finally:
            self._reloading = False
            if self._reload_again:
                self._reload_again = False
                self.request_reload()

    def _apply_changed_jobs(self, jobs: Iterable[CachedWorkRow], *, first: bool) -> None:
        for job in jobs:
            spec, row = job.row.spec, job.row
            added: list[Task] = []
            for index in row.list_open():
                name = make_task_id(spec.id, index)
                task = self.tasks.get(name)
                if task is not None:
                    task.spec = spec
                    continue
                now = self._clock.seconds()
                crashes = row.crashes.get(index, NO_CRASHES)
                task = Task(name, index, spec, TaskState.WAITING, now, now, crashes=crashes)
                self.tasks[name] = task
                if crashes.total:
                    self._suspects.add(name)
                if spec.kind is Kind.SERVICE:
                    self.replicas.setdefault(spec.service, {})[name] = task
                added.append(task)
            # All members of a gang must be known before any is queued.
            if self._is_certainly_new(job, first=first):
                for task in added:
                    self._enqueue(task)
            else:
                self._unresolved.update(task.id for task in added)
            listed = set(row.tasks)
            mine = [task for task in self.tasks.values() if task.spec.id == spec.id]
            moved = [task for task in mine if task.index not in listed]
            self.forget_tasks([task for task in moved if self._is_unstarted(task)], "moved away")
            surplus = [task for task in mine if row.cancelled or task.index not in listed]
            self.cancel_tasks(
                [task for task in surplus if task.id in self.tasks],
                "cancelled" if row.cancelled else "no longer assigned",
            )

    def _is_certainly_new(self, job: CachedWorkRow, *, first: bool) -> bool:
        """Tell whether no earlier owner can have started the tasks that a row adds.

        A write of an earlier owner that took effect after the claim makes its row newer than its
        starts. What the first reading did not list was assigned after the claim.
        """
        return job.version > self.tenure.revision and not (first and job.row.rewritten)

    def _cancel_removed_jobs(self, jobs: Iterable[CachedWorkRow]) -> None:
        names = {job.row.spec.id for job in jobs}
        surplus = [task for task in self.tasks.values() if task.spec.id in names]
        self.cancel_tasks(surplus, "the job was removed")

    def _match_reports(self) -> None:
        """Match reported tasks with rows and stop those that no row lists."""
        unmatched_reports, self.unmatched_reports = self.unmatched_reports, {}
        for run, (worker, report) in unmatched_reports.items():
            link = self.fleet.links.get(worker)
            if link is None:
                continue
            task = self.tasks.get(get_task_id(run))
            if task is None and report.job in self.work.unreadable:
                # The row may ask for the task.
                self.unmatched_reports[run] = (worker, report)
                continue
            if report.state in {TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED}:
                self._handle_end(link, report)
            elif task is not None and not task.run:
                self._adopt(task, worker, report)
            elif task is None or task.run != run:
                self._send_stops(link, [TaskStop(run, "no row asks for the task")])

    def _release_unresolved(self) -> None:
        """Queue tasks of former owners once it is certain that no worker runs them."""
        if not self._unresolved or not self.loaded or not self._is_roster_claimed():
            return
        unresolved, self._unresolved = self._unresolved, set()
        for name in unresolved:
            task = self.tasks.get(name)
            if task is not None and not task.run:
                self._resolve_task(task)

    def _resolve_task(self, task: Task) -> None:
        job = self.work.jobs.get(task.spec.id)
        if job is not None and task.index in job.row.bound:
            # A former owner bound the task, so it may have run.
            self._end_task(task, "unknown")
            return
        if task.crashes.started:
            record_missing_run(task)
            self._suspects.add(task.id)
            self.work.record_crashes(task.spec.id, task.index, task.crashes)
            logger.info(
                "the run of task %s was lost with its owner; crashes: %d, %d by it alone",
                task.id,
                task.crashes.total,
                task.crashes.sole,
            )
        if is_given_up(task):
            self._give_up(task)
        else:
            self._enqueue(task)
