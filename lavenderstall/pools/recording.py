"""Progress of a pool that isn't durable yet, and starts deferred until it is."""

from collections.abc import Callable, Collection, Iterable
from itertools import chain, islice
from typing import TYPE_CHECKING

import msgspec

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import StartRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Copies, Job, Run
from lavenderstall.pools.progress import JobProgress
from lavenderstall.pools.run_numbers import get_first_number
from lavenderstall.pools.step_advice import StepAdvice
from lavenderstall.pools.unrecorded_starts import Designation
from lavenderstall.pools.work import FINAL_STATES, EndCause, JobState, StepKey, get_step_key

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

# Initial lease of a run; the polls of its worker extend it while the owner is alive.
START_LEASE_MS = 2500
# Advice on more workers isn't recorded, as it is rewritten with every change of its job.
MAX_RECORDED_ADVICE = 40
# Nor is advice on jobs whose progress takes more than this.
MAX_ADVISED_BYTES = 32 * 1024


def partition(
    commands: list[StartRun], predicate: Callable[[StartRun], bool]
) -> tuple[list[StartRun], list[StartRun]]:
    """Return the commands that fulfil a predicate, and those that don't."""
    found = [(predicate(command), command) for command in commands]
    return [c for fulfils, c in found if fulfils], [c for fulfils, c in found if not fulfils]


class ProgressBatch(msgspec.Struct):
    """Progress that one transaction makes durable.

    `starts` are the start commands that may be sent after it; `end_seqs` holds the sequence number
    of the last run end that it covers for each worker, `crash_changes` the number of changes of
    crashes that it covers for each job. Starts of `unrecorded` jobs were sent before it, and
    `named` holds their runs that went ahead of their record.
    """

    progress: dict[JobId, JobProgress]
    states: dict[JobId, JobState]
    starts: list[StartRun]
    end_seqs: dict[WorkerKey, int]
    crash_changes: dict[JobId, int]
    unrecorded: frozenset[JobId]
    named: list[Run]


class ProgressRecorder:
    """Record runs before they are started, so that the next owner knows where tasks may run."""

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        self.changed_jobs: dict[JobId, None] = {}
        self._pending_starts: dict[JobId, list[StartRun]] = {}
        self._unrecorded_jobs: set[JobId] = set()

    def mark_changed(self, job: JobId) -> None:
        """Mark a job's progress as changed since it was last recorded."""
        self.changed_jobs[job] = None

    def note_found(self, job: JobId) -> None:
        """Note that a run of a job was found on a worker that may be in no row."""
        self._unrecorded_jobs.add(job)
        self.mark_changed(job)

    def defer_start(self, command: StartRun) -> None:
        """Keep a start command until its run is recorded."""
        self._pool.late_starts.note_placed(command.task)
        self._pending_starts.setdefault(command.task.job, []).append(command)
        self.mark_changed(command.task.job)

    def forget(self, job: JobId) -> None:
        """Drop the pending progress and starts of a job."""
        self.changed_jobs.pop(job, None)
        self._pending_starts.pop(job, None)
        self._unrecorded_jobs.discard(job)

    def is_urgent(self) -> bool:
        """Tell whether starts or final states are waiting for a transaction."""
        return bool(self._pending_starts) or any(
            self._pool.jobs[job].state in FINAL_STATES for job in self.changed_jobs
        )

    def take_batch(self, limit: int) -> ProgressBatch:
        """Remove and return the next batch to record; jobs with pending starts go first."""
        jobs = list(islice(dict.fromkeys(chain(self._pending_starts, self.changed_jobs)), limit))
        for job in jobs:
            del self.changed_jobs[job]
        starts = chain.from_iterable(self._pending_starts.pop(job, []) for job in jobs)
        jobs_by_id = self._pool.jobs
        covered_workers = {} if self.changed_jobs else self._pool.workers
        held_seqs = self._list_held_seqs()
        # Starts that are sent during the transaction are in no record after it.
        unrecorded = self._unrecorded_jobs.intersection(jobs)
        self._unrecorded_jobs -= unrecorded
        return ProgressBatch(
            {job: self._make_progress(jobs_by_id[job]) for job in jobs},
            {job: jobs_by_id[job].state for job in jobs},
            list(starts),
            {
                key: min(worker.applied_seq, held_seqs.get(key, worker.applied_seq + 1) - 1)
                for key, worker in covered_workers.items()
            },
            {job: jobs_by_id[job].crash_changes for job in jobs},
            frozenset(unrecorded),
            [run for job in unrecorded for run in jobs_by_id[job].list_runs() if run.unrecorded],
        )

    def _list_held_seqs(self) -> dict[WorkerKey, int]:
        """Return the first end of each worker that must not be acknowledged yet."""
        held = self._pool.early_reports.list_held_seqs()
        for worker, seq in self._pool.late_starts.list_held_seqs().items():
            held[worker] = min(seq, held.get(worker, seq))
        return held

    def _make_progress(self, job: Job) -> JobProgress:
        """Return a job's progress row, including late starts and the advice for its steps."""
        job.set_late_starts(self._pool.late_starts.list_recorded(job))
        for step_key in job.drop_done_occurrences():
            self._pool.advice.pop(step_key, None)
        if self._pool.get_queue(job).advising is not None:
            self._set_advice(job)
        return job.make_progress()

    def _set_advice(self, job: Job) -> None:
        for key, step in job.steps.items():
            advice = self._pool.advice.get(StepKey(job.id, *key))
            recorded = advice if advice and self._is_worth_recording(job, advice) else StepAdvice()
            step.progress.allowed = recorded.allowed
            step.progress.denied = recorded.denied

    def _is_worth_recording(self, job: Job, advice: StepAdvice) -> bool:
        few = len(advice.allowed | advice.denied) <= MAX_RECORDED_ADVICE
        return few and job.progress_bytes <= MAX_ADVISED_BYTES

    def note_recorded(self, batch: ProgressBatch) -> None:
        """Mark a batch as durable and send the starts that were waiting for it."""
        pool = self._pool
        for run in batch.named:
            run.unrecorded = False
        for key, seq in batch.end_seqs.items():
            worker = pool.workers.get(key)
            if worker is not None:
                worker.committed_seq = max(worker.committed_seq, seq)
        for job_id, state in batch.states.items():
            if job_id in pool.jobs:
                pool.jobs[job_id].durable_state = state
                pool.jobs[job_id].durable_crash_changes = batch.crash_changes[job_id]
        self._send_starts(batch.starts)

    def has_unrecorded(self, recorded: Collection[JobId]) -> bool:
        """Tell whether jobs other than those being recorded may have runs that are in no row."""
        return not self._unrecorded_jobs <= set(recorded)

    def requeue(self, batch: ProgressBatch) -> None:
        """Put a batch back whose transaction failed or has an unknown outcome."""
        for job in batch.progress:
            if job in self._pool.jobs:
                self.mark_changed(job)
        self._unrecorded_jobs.update(job for job in batch.unrecorded if job in self._pool.jobs)
        pending, self._pending_starts = self._pending_starts, {}
        for command in chain(batch.starts, chain.from_iterable(pending.values())):
            if command.task.job in self._pool.jobs:
                self.defer_start(command)

    def send_unrecorded_starts(
        self, listed_workers: Collection[WorkerKey], designation: Designation
    ) -> None:
        """Send pending starts on workers that the durable roster lists, without recording them.

        The next owner learns of their runs from these workers alone. It would not learn of crashes,
        so jobs with crashes that are not durable wait. Nor would it learn of starts that the next
        process of a worker may execute, so these go to the designated worker of their task alone.
        """
        sendable: list[StartRun] = []
        for job in list(self._pending_starts):
            starts, waiting = self._split_pending(job, listed_workers, designation)
            if not starts:
                continue
            self._unrecorded_jobs.add(job)
            sendable += starts
            if waiting:
                self._pending_starts[job] = waiting
            else:
                del self._pending_starts[job]
        self._pool.counts["starts_ahead_of_record"] += len(sendable)
        self._mark_unrecorded(sendable)
        self._send_starts(sendable)

    def _split_pending(
        self, job: JobId, listed_workers: Collection[WorkerKey], designation: Designation
    ) -> tuple[list[StartRun], list[StartRun]]:
        """Return the pending starts of a job that go ahead of their record, and the others."""
        starts = self._pending_starts[job]
        if not self._pool.jobs[job].has_durable_crashes():
            return [], starts
        if any(self._binds(start) for start in starts):
            return partition(
                starts,
                lambda start: (
                    start.worker in listed_workers and self._is_designated(start, designation)
                ),
            )
        listed = all(start.worker in listed_workers for start in starts)
        return (starts, []) if listed else ([], starts)

    def _binds(self, start: StartRun) -> bool:
        """Tell whether the next process of its worker may execute a start."""
        return self._pool.late_starts.may_bind(start.task, ticketed=bool(start.ticket))

    def _is_designated(self, start: StartRun, designation: Designation) -> bool:
        """Tell whether later owners expect a start by its task, as the first one of it."""
        job = self._pool.jobs[start.task.job]
        worker = designation.find_worker(job.spec.steps[start.task.step], start.task)
        first = start.number == get_first_number(self._pool.term)
        named = self._pool.late_starts.is_named(start.task)
        return worker == start.worker.id and first and not named

    def _mark_unrecorded(self, starts: Iterable[StartRun]) -> None:
        for start in starts:
            worker = self._pool.workers.get(start.worker)
            run = worker.runs.get((start.task, start.number)) if worker else None
            if run is not None:
                run.unrecorded = self._binds(start)

    def _send_starts(self, commands: Iterable[StartRun]) -> None:
        """Send starts, and end runs that can't start now; of a gang all start or none."""
        startable, others = partition(list(commands), self._may_start)
        incomplete = {get_step_key(each.task) for each in others if self._is_of_gang(each)}
        for command in others:
            self._drop_start(command)
        for command in startable:
            # The end of another run may have stopped this one.
            if get_step_key(command.task) in incomplete or not self._may_start(command):
                self._drop_start(command)
            else:
                self._send_start(command)

    def _may_start(self, command: StartRun) -> bool:
        """Tell whether a run is still wanted, has a ticket and fits its worker.

        Nothing is sent while the roster may tell when the leases on the worker end.
        """
        worker = self._pool.workers.get(command.worker)
        run = worker.runs.get((command.task, command.number)) if worker else None
        if worker is None or run is None or run.stopping:
            return False
        full = worker.is_overcommitted() or worker.unsized_runs
        return not full and not worker.lease_end_noted and self._get_ticket(command) is not None

    def _is_of_gang(self, command: StartRun) -> bool:
        job = self._pool.jobs.get(command.task.job)
        return job is not None and job.spec.steps[command.task.step].gang

    def _drop_start(self, command: StartRun) -> None:
        """End a run whose start is not sent."""
        worker = self._pool.workers.get(command.worker)
        if worker is not None and (command.task, command.number) in worker.runs:
            self._pool.end_run(worker, command.task, command.number, EndCause.LOST, "")

    def _send_start(self, command: StartRun) -> None:
        pool = self._pool
        worker = pool.workers[command.worker]
        run = worker.runs[command.task, command.number]
        run.start_sent = True
        run.start_sent_at = pool.now
        run.copies = Copies(1, pool.now)
        run.ticketed = bool(command.ticket)
        run.deadline_ms = worker.choose_deadline_ms(pool.now, START_LEASE_MS, pool.lease_limit)
        worker.note_lease(run.deadline_ms)
        ticket = self._get_ticket(command) or ""
        pool.effects.append(
            msgspec.structs.replace(command, deadline_ms=run.deadline_ms, ticket=ticket)
        )

    def _get_ticket(self, command: StartRun) -> str | None:
        """Return the current ticket of a start, "" if it needs none, or None if it has expired."""
        if not command.ticket:
            return command.ticket
        advice = self._pool.advice.get(get_step_key(command.task))
        return advice.get_ticket(command.worker.id, self._pool.now) if advice else None
