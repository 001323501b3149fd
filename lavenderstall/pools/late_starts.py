"""Starts without an answer, which a next process of their worker may still execute."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import TYPE_CHECKING, NamedTuple

from lavenderstall.identifiers import JobId
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Copies, Job, Run
from lavenderstall.pools.progress import JobProgress, RecordedLateStart
from lavenderstall.pools.repeated_starts import MAX_ATTEMPTS
from lavenderstall.pools.run_numbers import get_first_number
from lavenderstall.pools.unrecorded_starts import Designation, UnrecordedStarts
from lavenderstall.pools.work import EndCause, Task
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S, Worker

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

# A task that lasts awaits the worker that may still start it for this long after the worker's last
# sign of life; with the time to start elsewhere, that is below the longest time it may be away.
MAX_LASTING_WAIT_S = 6.0
# Ends after which a task must not run again once they are acknowledged.
FINAL_CAUSES = frozenset({EndCause.DONE, EndCause.FAILED})


class LateStart(NamedTuple):
    """A start of which copies have had no answer.

    One that `binds` its task is executed by a next process of the worker, which refuses others.
    `heard_at` is when the worker last gave a sign of life before the run was dropped, in seconds of
    uptime.
    """

    worker: str
    task: Task
    number: int
    copies: Copies
    binds: bool = True
    heard_at: float = -1.0


class LateStarts:
    """Remember starts that a worker was proven never to execute, while they may arrive.

    The proof ends with the worker's process: one that starts again under the same name knows
    neither the stop of a run nor the fencing token or the clock by which it was refused. Nothing
    sent to it in time can make it refuse them. So until then their tasks are pinned: they start on
    that worker alone, and ends of them are not acknowledged.
    """

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        self._starts: dict[JobId, dict[Task, list[LateStart]]] = {}
        # Runs that have not ended of which further copies of the start may arrive.
        self._copied: dict[JobId, dict[tuple[Task, int], Run]] = {}
        # Until when such a start may arrive at a worker and is not refused.
        self._expected_until: dict[str, float] = {}
        # Ends that are not acknowledged yet, with their numbers.
        self._held_ends: defaultdict[WorkerKey, list[tuple[int, Task]]] = defaultdict(list)
        # Tasks of which rows of earlier owners name a run, so that they tell of all their starts.
        self._named: dict[JobId, set[Task]] = {}
        # Where earlier owners may have sent starts of other tasks, which arrive until some time, by
        # an owner of some term; workers of them that have no further process.
        self._designation = Designation(())
        self._unrecorded_until = -1.0
        self._unrecorded_term = 0
        # Whether all jobs of which earlier owners may have known are known here.
        self._knows_earlier_jobs = False
        self._ended_workers: set[str] = set()

    # Starts

    def note_dropped(self, worker: Worker, run: Run) -> None:
        """Remember a run that has ended or is given up, if a start of it may still arrive."""
        self._forget_copied(run)
        if run.copies.left:
            binds = self.may_bind(run.task, ticketed=run.ticketed)
            start = LateStart(
                worker.key.id, run.task, run.number, run.copies, binds, worker.alive_at
            )
            self.note(start)

    def note_copied(self, run: Run) -> None:
        """Note that copies of a run's start have no response, or that all have one by now."""
        if run.copies.left and self.may_bind(run.task, ticketed=run.ticketed):
            self._copied.setdefault(run.task.job, {})[run.task, run.number] = run
        else:
            self._forget_copied(run)

    def _forget_copied(self, run: Run) -> None:
        runs = self._copied.get(run.task.job, {})
        runs.pop((run.task, run.number), None)
        if not runs:
            self._copied.pop(run.task.job, None)

    def note_placed(self, task: Task) -> None:
        """Remember a start of an earlier owner by itself, as the row of the task will name a run.

        The next owner finds it in that row then.
        """
        found = self._list_of_task(task)
        if found:
            self._keep(task, found)

    def is_named(self, task: Task) -> bool:
        """Tell whether rows of earlier owners name a run of a task."""
        return task in self._named.get(task.job, ())

    def forget_job(self, job: JobId) -> None:
        """Forget what rows tell of the tasks of a job that has ended."""
        self._named.pop(job, None)

    def note_copies(
        self, worker: str, task: Task, number: int, copies: Copies, *, ticketed: bool
    ) -> None:
        """Remember copies of the start of a run that has ended or is given up."""
        binds = self.may_bind(task, ticketed=ticketed)
        self.note(LateStart(worker, task, number, copies, binds))

    def expect_unrecorded(self, starts: UnrecordedStarts, until: float) -> None:
        """Expect starts of earlier owners that are in no row, until some seconds of uptime."""
        self._designation = Designation(starts.workers)
        self._unrecorded_term = starts.term
        self._unrecorded_until = until

    def is_sending_over(self, uptime: float) -> bool:
        """Tell whether earlier owners send no start ahead of its record from some time on."""
        return uptime > self._unrecorded_until - MAX_COMMAND_DELAY_S

    def note_earlier_jobs_known(self) -> None:
        """Note that jobs that become known from now on were stored after `is_sending_over`."""
        self._knows_earlier_jobs = True

    def note_added(self, job: Job) -> None:
        """Note whether an earlier owner may have sent starts of a new job ahead of their record."""
        job.unknown_earlier = self._knows_earlier_jobs

    def add_recorded(self, job_id: JobId, progress: JobProgress) -> None:
        """Remember the starts that an earlier owner has recorded, as if they had just been sent."""
        for key, step in progress.steps.items():
            occurrence, _, number = key.partition(".")
            named = {
                Task(job_id, int(occurrence), int(number), index)
                for index in step.iterate_attempts()
            }
            if named:
                self._named.setdefault(job_id, set()).update(named)
            for late in step.late:
                task = Task(job_id, int(occurrence), int(number), late.index)
                run = self._find_run(task, late)
                if run is None:
                    copies = Copies(late.copies, self._pool.now)
                    self.note(LateStart(late.worker, task, late.run, copies))
                else:
                    run.copies = Copies(run.copies.left + late.copies, self._pool.now)
                    self.note_copied(run)

    def _find_run(self, task: Task, late: RecordedLateStart) -> Run | None:
        """Return the run that is known to exist of a recorded start, or none."""
        job = self._pool.find_job(task)
        runs = job.get_step(task.occurrence, task.step).active_runs if job else {}
        found = (run for run in runs.get(task.number, ()) if run.number == late.run)
        return next((run for run in found if run.worker.id == late.worker), None)

    def list_recorded(self, job: Job) -> dict[tuple[int, int], list[RecordedLateStart]]:
        """Return the starts of a job's tasks to record for the next owner, by step."""
        found: dict[tuple[int, int], list[RecordedLateStart]] = defaultdict(list)
        for start in chain(self._list_of_job(job), self._iterate_copied_runs(job)):
            late = RecordedLateStart(
                start.worker, start.task.number, start.number, start.copies.left
            )
            found[start.task.occurrence, start.task.step].append(late)
        return found

    def _list_of_job(self, job: Job) -> list[LateStart]:
        starts = chain.from_iterable(self._starts.get(job.id, {}).values())
        return [start for start in starts if self._binds(start)]

    def _iterate_copied_runs(self, job: Job) -> Iterator[LateStart]:
        """Yield the late starts of runs that haven't ended."""
        for run in self._copied.get(job.id, {}).values():
            if self._may_execute(run.copies):
                yield LateStart(run.worker.id, run.task, run.number, run.copies)

    def may_bind(self, task: Task, *, ticketed: bool) -> bool:
        """Tell whether a start binds its task; copies of speculative ones may run in parallel."""
        job = self._pool.find_job(task)
        return not ticketed and not (job and job.spec.steps[task.step].speculative)

    def note(self, start: LateStart) -> None:
        """Remember a start that may still arrive."""
        self.forget(start.worker, start.task, start.number)
        tasks = self._starts.setdefault(start.task.job, {})
        tasks.setdefault(start.task, []).append(start)
        if start.binds:
            until = start.copies.sent_at + MAX_COMMAND_DELAY_S
            self._expected_until[start.worker] = max(
                until, self._expected_until.get(start.worker, until)
            )

    def take(self, worker: str, task: Task, number: int) -> Copies:
        """Remove and return the copies of a start that a worker has executed after all."""
        starts = (s for s in self._list_of_task(task) if (s.worker, s.number) == (worker, number))
        copies = next((start.copies for start in starts), Copies())
        self.forget(worker, task, number)
        return copies

    def forget(self, worker: str, task: Task, number: int) -> None:
        """Forget a start that was answered after all."""
        found = self._list_of_task(task)
        self._keep(task, [s for s in found if (s.worker, s.number) != (worker, number)])

    def forget_worker(self, worker: str) -> None:
        """Forget the starts of a worker that has no further process."""
        self._pool.counts["late_starts_void"] += len(self.take_for(worker))
        self._expected_until.pop(worker, None)
        self._ended_workers.add(worker)

    def forget_old(self) -> None:
        """Forget the starts that can't arrive any more."""
        for start in self._list_all():
            if not self._may_execute(start.copies):
                self.forget(*start[:3])
        self._expected_until = {
            worker: until
            for worker, until in self._expected_until.items()
            if until >= self._pool.now
        }

    def take_for(self, worker: str) -> list[LateStart]:
        """Remove and return the starts that a new process of a worker may execute.

        They are tracked as runs of it from then on, and remembered again if those are given up.
        """
        self.forget_old()
        found = [start for start in self._list_all() if start.worker == worker]
        for start in found:
            self.forget(*start[:3])
        return found

    def concern(self, worker: str) -> bool:
        """Tell whether a next process of a worker may execute a start and not refuse it."""
        if worker in self._designation.ids and self._expects_unrecorded():
            return True
        return self._pool.now <= self._expected_until.get(worker, -1.0)

    def _keep(self, task: Task, starts: list[LateStart]) -> None:
        tasks = self._starts.setdefault(task.job, {})
        if starts:
            tasks[task] = starts
        else:
            tasks.pop(task, None)
        if not tasks:
            del self._starts[task.job]

    def _list_all(self) -> list[LateStart]:
        tasks = chain.from_iterable(tasks.values() for tasks in self._starts.values())
        return list(chain.from_iterable(tasks))

    def _list_of_task(self, task: Task) -> list[LateStart]:
        return self._starts.get(task.job, {}).get(task) or self._list_unrecorded(task)

    def _expects_unrecorded(self) -> bool:
        """Tell whether starts of earlier owners that are in no row may still arrive."""
        return self._pool.now <= self._unrecorded_until

    def _list_unrecorded(self, task: Task) -> list[LateStart]:
        """Return the start of a task that an earlier owner may have sent ahead of its record."""
        job = self._pool.find_job(task) if self._expects_unrecorded() else None
        if job is None or job.unknown_earlier:
            return []
        if self.is_named(task) or job.is_task_done(task):
            return []
        if not self.may_bind(task, ticketed=self._pool.get_queue(job).advising is not None):
            return []
        worker = self._designation.find_worker(job.spec.steps[task.step], task)
        if worker is None or worker in self._ended_workers:
            return []
        copies = Copies(MAX_ATTEMPTS, self._unrecorded_until - MAX_COMMAND_DELAY_S)
        return [LateStart(worker, task, get_first_number(self._unrecorded_term), copies)]

    def _may_execute(self, copies: Copies) -> bool:
        """Tell whether a next process of the worker may execute a copy."""
        return copies.left > 0 and self._pool.now - copies.sent_at <= MAX_COMMAND_DELAY_S

    def _binds(self, start: LateStart) -> bool:
        return start.binds and self._may_execute(start.copies)

    # Tasks

    def list_pinned(self, job: Job, tasks: Iterable[Task]) -> dict[Task, str]:
        """Return those of a job's tasks that may start on one worker alone, with its name."""
        if job.id not in self._starts and not self._expects_unrecorded():
            return {}
        found = ((task, self._find_worker(job, task)) for task in tasks)
        return {task: worker for task, worker in found if worker is not None}

    def is_pinned(self, job: Job, run: Run) -> bool:
        """Tell whether the task of a run could start again on the same worker alone."""
        binds = self.may_bind(run.task, ticketed=run.ticketed) and self._may_execute(run.copies)
        return binds or self._find_worker(job, run.task) is not None

    def _find_worker(self, job: Job, task: Task) -> str | None:
        """Return the worker that a task is pinned to, or none."""
        starts = [start for start in self._list_of_task(task) if self._binds(start)]
        if job.is_lasting(task):
            starts = [start for start in starts if self._is_awaited(start)]
        return max(starts, key=lambda start: start.copies.sent_at).worker if starts else None

    def _is_awaited(self, start: LateStart) -> bool:
        """Tell whether a task that lasts still awaits the worker that may start it."""
        key = self._pool.latest_incarnations.get(start.worker)
        worker = self._pool.workers.get(key) if key else None
        heard_at = max(start.heard_at, worker.alive_at if worker else -1.0)
        return self._pool.now - heard_at <= MAX_LASTING_WAIT_S

    # Ends

    def note_end(self, worker: WorkerKey, seq: int, task: Task, cause: EndCause) -> None:
        """Hold the acknowledgement of an end while its task may be started late."""
        job = self._pool.find_job(task)
        lasts = job is not None and job.is_lasting(task)
        if seq and cause in FINAL_CAUSES and not lasts and self._may_be_started(task):
            self.note_placed(task)
            self._held_ends[worker].append((seq, task))
            self._pool.counts["ends_held"] += 1

    def list_held_seqs(self) -> dict[WorkerKey, int]:
        """Return the first end of each worker that must not be acknowledged yet."""
        for worker, ends in list(self._held_ends.items()):
            held = [(seq, task) for seq, task in ends if self._may_be_started(task)]
            if held and worker in self._pool.workers:
                self._held_ends[worker] = held
            else:
                del self._held_ends[worker]
        return {worker: min(ends)[0] for worker, ends in self._held_ends.items()}

    def release_ends(self, worker: WorkerKey) -> None:
        """Let all ends of a worker be acknowledged, as it can't list more of them at a time."""
        if self._held_ends.pop(worker, None) is not None:
            self._pool.counts["ends_released"] += 1

    def holds_end(self, worker: WorkerKey) -> bool:
        """Tell whether an end of a worker must not be acknowledged yet."""
        return worker in self._held_ends

    def _may_be_started(self, task: Task) -> bool:
        return any(self._binds(start) for start in self._list_of_task(task))
