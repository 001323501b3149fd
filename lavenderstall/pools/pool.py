"""State of one pool: its jobs and workers, and the effects to perform."""

import logging
from collections import Counter, defaultdict, deque
from collections.abc import Collection, Iterable, Iterator
from math import inf

import msgspec

from lavenderstall.identifiers import JobId
from lavenderstall.pools.archive import Archive
from lavenderstall.pools.crashes import CrashTracker
from lavenderstall.pools.early_reports import EarlyReports
from lavenderstall.pools.effects import (
    OTHER_PROCESS,
    Advice,
    Effect,
    PollResponse,
    Refusal,
    RunEnd,
    StopRun,
)
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import (
    AcceptedJob,
    Copies,
    Job,
    Run,
    describe_run,
)
from lavenderstall.pools.late_starts import LateStart, LateStarts
from lavenderstall.pools.objectives import get_objective_s
from lavenderstall.pools.occurrence_opening import OccurrenceOpener
from lavenderstall.pools.progress import JobProgress
from lavenderstall.pools.reconciliation import apply_poll_response
from lavenderstall.pools.recording import ProgressRecorder
from lavenderstall.pools.room_demand import RoomDemand
from lavenderstall.pools.running_totals import RunningTotals
from lavenderstall.pools.slowdown import SlowdownEstimator
from lavenderstall.pools.startable_steps import StartableSteps
from lavenderstall.pools.step_advice import StepAdvice
from lavenderstall.pools.takeover import Takeover
from lavenderstall.pools.team_shares import LocalShares, TeamShares
from lavenderstall.pools.team_usage import TeamUsage
from lavenderstall.pools.urgency import rate_step
from lavenderstall.pools.work import (
    FINAL_STATES,
    EndCause,
    JobState,
    PoolName,
    Queue,
    QueueName,
    Settings,
    StepKey,
    Task,
    get_step_key,
)
from lavenderstall.pools.workers import Worker, WorkerEntry
from lavenderstall.resources import NOTHING, Resources

logger = logging.getLogger(__name__)

# A stop is sent again after this long while the run has not ended.
STOP_RETRY_S = 0.3
# Default slowdown of a task on a rack without its data.
REMOTE_FACTOR = 1.5
# Backoff of a worker that refused starts, left them unanswered, or failed or stalled runs.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# A worker that gave no cause for a backoff for this long after one starts with the shortest again.
BACKOFF_MEMORY_S = 16.0
# Fencing tokens reserved per term, so that they exceed those of earlier terms.
TOKENS_PER_TERM = 1 << 20
# A worker gets no new tasks once its polls have been unanswered for this long.
UNRESPONSIVE_S = 1.2
# In an unresponsive zone, a worker gets no new tasks this long after its last answer.
RECENT_ANSWER_S = 0.7
# Capacities count as changing for this long after a change.
CAPACITY_CHANGE_S = 600.0
# Limit on remembered incarnations that have ended.
MAX_ENDED_INCARNATIONS = 100
# Limit on remembered cancellations of jobs whose submission has not arrived.
MAX_EARLY_CANCELS = 20_000


class Pool:
    """Track the jobs and workers of a pool; all times are seconds of uptime."""

    def __init__(
        self,
        name: PoolName,
        term: int,
        leases_expire_at: float,
        *,
        recorded: bool = True,
        remote_factor: float = REMOTE_FACTOR,
        counts: Counter[str] | None = None,
        orders_overload: bool = False,
    ) -> None:
        self.name = name
        # Whether jobs that wait for room are ordered by what their delay costs.
        self.orders_overload = orders_overload
        self.room_demand = RoomDemand(self)
        self.term = term
        # Slowdown of a task on a rack without its data.
        self.remote_factor = remote_factor
        self.takeover = Takeover(self, leases_expire_at, recorded=recorded)
        self.recorder = ProgressRecorder(self)
        self.crashes = CrashTracker(self)
        self.early_reports = EarlyReports(self)
        self.late_starts = LateStarts(self)
        self.jobs: dict[JobId, Job] = {}
        self.active: dict[JobId, Job] = {}
        # Those of them of which no task has been started by a worker.
        self._pending: defaultdict[QueueName, set[JobId]] = defaultdict(set)
        self.archive = Archive()
        self._unarchived: set[JobId] = set()
        # Jobs that were cancelled before their submission arrived.
        self._early_cancels: dict[JobId, None] = {}
        self.workers: dict[WorkerKey, Worker] = {}
        self.latest_incarnations: dict[str, WorkerKey] = {}
        self._last_token = term * TOKENS_PER_TERM
        # Incarnations that have ended; the registry may still list them for a while.
        self.ended_incarnations: deque[WorkerKey] = deque(maxlen=MAX_ENDED_INCARNATIONS)
        # Runs that were placed and of whose start the outcome isn't known, with the time.
        self.starting: dict[tuple[Task, int], float] = {}
        self.startable_steps = StartableSteps()
        self.occurrences = OccurrenceOpener(self)
        self.advice: dict[StepKey, StepAdvice] = {}
        self.slowdowns = SlowdownEstimator()
        # What each team has running in this pool, and what it may start here of its quota.
        self.team_usage = TeamUsage()
        self.running_totals = RunningTotals()
        self.team_shares: TeamShares = LocalShares(self)
        self.effects: list[Effect] = []
        self.settings = Settings(0)
        # Zones in which no entry instance responds; they may be partitioned.
        self.unresponsive_zones: frozenset[str] = frozenset()
        # Until when leases may last, in seconds of uptime.
        self.lease_limit = inf
        self._capacity_changed_at = -CAPACITY_CHANGE_S
        self.now = 0.0
        self.unix_ms = 0.0
        self.counts: Counter[str] = Counter() if counts is None else counts

    # Jobs

    def set_settings(self, settings: Settings) -> None:
        """Replace the configuration."""
        self.settings = settings
        self.team_shares.set_settings(settings)

    def get_queue(self, job: Job) -> Queue:
        """Return the queue of a job as configured now, or as accepted if it has left the pool."""
        accepted = job.row.queue
        found = self.settings.find_queue_by_name(accepted.name)
        return found if found is not None and found.pool == self.name else accepted

    def add_job(
        self, row: AcceptedJob, progress: JobProgress | None = None, *, inherited: bool = False
    ) -> bool:
        """Add an accepted job and tell whether it is new."""
        if row.id in self.jobs or row.id in self.archive:
            return False
        age = max(0.0, self.unix_ms - row.accepted_ms) / 1000 if inherited else 0.0
        job = Job(row, self.now - age, progress, self.team_usage, self.running_totals)
        self.jobs[row.id] = job
        if inherited:
            self.takeover.add_job(job)
        else:
            self.takeover.add_new_job(job)
            self.late_starts.note_added(job)
        if job.ended:
            self._unarchived.add(row.id)
            return True
        self.active[row.id] = job
        if not job.begun:
            self._pending[row.queue.name].add(row.id)
        self.crashes.add_job(job)
        if row.id in self._early_cancels:
            del self._early_cancels[row.id]
            self.cancel_job(row.id)
        self.early_reports.add_to(job)
        self.update_startable_steps(job)
        return True

    def cancel_job(self, job_id: JobId) -> bool:
        """Cancel a job and tell whether it is known."""
        job = self.jobs.get(job_id)
        if job is None:
            if job_id not in self.archive:
                self._note_early_cancel(job_id)
            return False
        if not job.cancelling:
            if job.state not in FINAL_STATES:
                self.recorder.mark_changed(job_id)
            job.cancel()
            self._close_job(job)
        return True

    def _note_early_cancel(self, job_id: JobId) -> None:
        """Remember the cancellation of a job that is not known yet."""
        self._early_cancels[job_id] = None
        if len(self._early_cancels) > MAX_EARLY_CANCELS:
            dropped = next(iter(self._early_cancels))
            del self._early_cancels[dropped]
            self.counts["early_cancels_dropped"] += 1
            logger.warning("cancellation of an unknown job dropped", extra={"job": dropped})

    def fail_job(self, job: Job) -> None:
        """Fail a job that cannot be done."""
        job.fail()
        self.recorder.mark_changed(job.id)
        self._log_state_change(job)
        self._close_job(job)

    def update_startable_steps(self, job: Job) -> None:
        """Find the steps of a job whose tasks may start now."""
        if job.ended or self.takeover.blocks_job(job.id):
            return
        for occurrence in job.occurrences.list_open():
            self.update_occurrence(job, occurrence)
        self.occurrences.add_job(job)

    def update_occurrence(self, job: Job, occurrence: int) -> int:
        """Find the steps of an open occurrence whose tasks may start now; return how many wait."""
        waiting = 0
        if job.ended or self.takeover.blocks_job(job.id):
            return waiting
        for number in range(len(job.spec.steps)):
            if job.is_step_done(occurrence, number) or not job.is_step_ready(occurrence, number):
                continue
            state = job.get_step(occurrence, number)
            if state.waiting:
                if state.ready_at < 0:
                    state.ready_at = self.now
                self._add_startable_step(job, state.step_key)
                waiting += len(state.waiting)
        return waiting

    def _add_startable_step(self, job: Job, step_key: StepKey) -> None:
        if step_key not in self.startable_steps:
            self.startable_steps.add(step_key, rate_step(job, self.get_queue(job), step_key))

    def count_starting_occurrences(self) -> int:
        """Return how many runs of repeated jobs were placed and are not known to have started."""
        jobs = (self.jobs.get(task.job) for task, _ in self.starting)
        return sum(job is not None and job.spec.repeat is not None for job in jobs)

    def count_waiting_tasks(self, job: Job, limit: int) -> int:
        """Return how many tasks of a job may start now and wait, counted up to a limit."""
        count = 0
        for step_key in self.startable_steps.iterate_job(job.id):
            count += len(job.get_step(*step_key[1:]).waiting)
            if count >= limit:
                break
        return count

    def _close_job(self, job: Job) -> None:
        """Stop all runs of a job that has ended."""
        self._pending[job.row.queue.name].discard(job.id)
        if self.active.pop(job.id, None) is not None:
            self._unarchived.add(job.id)
            self.crashes.forget_job(job)
            self.occurrences.forget_job(job.id)
            self.startable_steps.discard_job(job.id)
            for occurrence, step in job.steps:
                self.advice.pop(StepKey(job.id, occurrence, step), None)
        for run in job.list_runs():
            self.stop(run)

    def count_pending(self) -> Counter[QueueName]:
        """Return how many jobs of each queue have no task that a worker has started."""
        return Counter({queue: len(jobs) for queue, jobs in self._pending.items() if jobs})

    def note_begun(self, job: Job) -> None:
        """Note that a worker has started a task of a job."""
        job.begun = True
        self._pending[job.row.queue.name].discard(job.id)

    def _archive_ended(self) -> None:
        """Archive jobs whose final state is durable and that have no runs left."""
        for job_id in list(self._unarchived):
            job = self.jobs[job_id]
            waits = job.durable_state not in FINAL_STATES or job_id in self.recorder.changed_jobs
            if not waits and not job.run_count:
                self._unarchived.discard(job_id)
                del self.jobs[job_id]
                self.late_starts.forget_job(job_id)
                self.archive.add(job_id, job.state, self.now)

    def get_state(self, job_id: JobId) -> JobState | None:
        """Return the state to report, final ones only once durable, or none if it is unknown."""
        job = self.jobs.get(job_id)
        if job is None:
            return self.archive.get_state(job_id)
        if job.state in FINAL_STATES and job.durable_state not in FINAL_STATES:
            return JobState.RUNNING if job.started else JobState.QUEUED
        return job.state

    def has_unrecorded(self, recorded: Collection[JobId]) -> bool:
        """Tell whether runs may exist that neither rows nor these jobs' progress list."""
        return self.takeover.is_blocking() or self.recorder.has_unrecorded(recorded)

    # Workers

    def set_workers(self, entries: Iterable[WorkerEntry], *, incomplete: bool = False) -> None:
        """Update the workers from the registry's list.

        An incomplete list does not show that a worker has left.
        """
        listed = {WorkerKey(entry.id, entry.incarnation): entry for entry in entries}
        for key, entry in listed.items():
            self._update_worker(key, entry)
        for key, worker in list(self.workers.items()):
            worker.registered = key in listed or (incomplete and worker.registered)
            if self._is_obsolete(worker):
                self._remove_worker(key)

    def _update_worker(self, key: WorkerKey, entry: WorkerEntry) -> None:
        known = self.workers.get(key)
        if known is not None:
            if known.entry.capacity not in {entry.capacity, NOTHING}:
                self._capacity_changed_at = self.now
            known.entry = entry
            return
        if key in self.ended_incarnations:
            return
        latest = self.latest_incarnations.get(key.id)
        if latest is not None and latest.incarnation > key.incarnation:
            return
        if latest is not None:
            self._replace_worker(latest, entry, "a newer incarnation is registered")
        else:
            self.add_worker(entry)

    def has_changing_capacities(self) -> bool:
        """Tell whether a worker has changed its capacity within `CAPACITY_CHANGE_S`."""
        return self.now - self._capacity_changed_at < CAPACITY_CHANGE_S

    def add_worker(self, entry: WorkerEntry) -> Worker:
        """Add a worker, which gets no tasks before it has answered a poll."""
        worker = Worker(entry, self._take_fencing_token())
        self.workers[worker.key] = worker
        self.latest_incarnations[entry.id] = worker.key
        logger.info("worker added", extra={"worker": entry.id, "incarnation": entry.incarnation})
        for start in self.late_starts.take_for(entry.id):
            self._expect_late_start(worker, start)
        return worker

    def _take_fencing_token(self) -> int:
        """Return a token above all earlier ones, unless those of the term are used up."""
        highest = (self.term + 1) * TOKENS_PER_TERM - 1
        self._last_token = min(self._last_token + 1, highest)
        return self._last_token

    def _expect_late_start(self, worker: Worker, start: LateStart) -> None:
        """Track a start that a new process of a worker may still execute, and have it refused."""
        run = Run(
            start.task,
            start.number,
            worker.key,
            start.copies.sent_at,
            unanswered_at=self.now,
            copies=start.copies,
            ticketed=not start.binds,
        )
        job = self.find_job(start.task)
        if job is None:
            worker.add_unsized_run(run)
        else:
            worker.add_run(run, self.get_allocation(run.task))
            job.add_run(run)
        worker.note_possible_starts(self.now)
        self.counts["late_starts_expected"] += 1
        logger.info("late start expected", extra=describe_run(run))
        self.stop(run)

    def _replace_worker(self, key: WorkerKey, entry: WorkerEntry, reason: str) -> None:
        """Replace an incarnation of a worker by a newer one.

        The newer one may execute a start that was sent to the older one, now or later. So a run
        that no poll has reported may run there, even if its start was answered, and one of which
        a copy of the start has no response.
        """
        older = self.workers[key]
        self.crashes.note_worker_lost(older, restarted=True)
        uncertain_runs = [
            run
            for run in older.runs.values()
            if run.start_sent and (run.reported_at < 0 or run.copies.left)
        ]
        for run in uncertain_runs:
            older.drop_run(run.task, run.number, self.get_allocation(run.task))
        newer = WorkerKey(entry.id, entry.incarnation)
        worker = self.workers.get(newer) or self.add_worker(entry)
        self.takeover.note_worker_replaced(key, worker)
        self.note_worker_lost(key, reason)
        if uncertain_runs:
            worker.note_possible_starts(self.now)
        for run in uncertain_runs:
            run.worker = worker.key
            run.confirmed_at = -1.0
            run.answered_at = -1.0
            run.reported_at = -1.0
            run.unanswered_at = self.now
            run.deadline_ms = 0.0
            run.voided_at = -1.0
            run.crash_noted = False
            worker.add_run(run, self.get_allocation(run.task))

    def find_job(self, task: Task) -> Job | None:
        """Return the job of a task, or none if it is not known or has no such task."""
        job = self.jobs.get(task.job)
        return job if job is not None and job.has_task(task) else None

    def get_allocation(self, task: Task) -> Resources:
        """Return the resources that a run of a task occupies on its worker."""
        job = self.find_job(task)
        if job is None:
            return NOTHING
        return job.spec.steps[task.step].allocation

    def is_short_run(self, run: Run, bound_ms: int) -> bool:
        """Tell whether a run's task ends by itself and within a bound."""
        job = self.find_job(run.task)
        if job is None:
            return True
        step = job.spec.steps[run.task.step]
        return not step.long_running and step.expected_ms < bound_ms

    def note_worker_lost(self, key: WorkerKey, reason: str) -> None:
        """End all runs of an incarnation of a worker as lost, and remove it."""
        worker = self.workers.get(key)
        if worker is None:
            return
        self._log_worker_lost(worker, reason)
        self.crashes.note_worker_lost(worker, restarted=True)
        for run in list(worker.runs.values()):
            self.counts["runs_lost"] += 1
            age_ms = round((self.now - run.start_sent_at) * 1000)
            logger.info("run lost", extra={**describe_run(run), "reason": reason, "age_ms": age_ms})
            self.end_run(worker, run.task, run.number, EndCause.LOST, "")
        self._remove_worker(key)
        self.takeover.note_worker_reported(key, reason)

    def _log_worker_lost(self, worker: Worker, reason: str) -> None:
        self.counts["workers_lost"] += 1
        since = worker.unresponsive_since
        logger.info(
            "worker lost",
            extra={
                "worker": worker.key.id,
                "incarnation": worker.key.incarnation,
                "reason": reason,
                "draining": worker.draining,
                "runs": len(worker.runs),
                "silent_ms": round((self.now - since) * 1000) if since >= 0 else 0,
            },
        )

    def _is_obsolete(self, worker: Worker) -> bool:
        """Tell whether a worker isn't registered and nothing that it may still do matters."""
        return not (
            worker.registered
            or worker.runs
            or self.takeover.awaits_worker(worker.key)
            or self.late_starts.concern(worker.key.id)
        )

    def _remove_worker(self, key: WorkerKey) -> None:
        self.workers.pop(key, None)
        if self.latest_incarnations.get(key.id) == key:
            del self.latest_incarnations[key.id]

    def needs_polling(self, worker: Worker) -> bool:
        """Tell whether a worker is to be polled continuously.

        An unresponsive one is polled even without runs, as it gets no tasks before it answers, and
        one whose clock was read long ago, as leases end by its clock, or whose next process may
        execute a start late.
        """
        if not worker.entry.address:
            return False
        if self.late_starts.concern(worker.key.id):
            return True
        if worker.registered and worker.has_old_clock(self.now):
            return True
        unresponsive = worker.registered and (
            worker.unresponsive_since >= 0 or not self.is_responsive(worker)
        )
        unacknowledged = worker.applied_seq > worker.committed_seq
        return bool(worker.runs) or not worker.accepted_term or unacknowledged or unresponsive

    def may_take_tasks(self, worker: Worker) -> bool:
        """Tell whether tasks may start on a worker, unless it backs off."""
        return (
            worker.accepted_term
            and worker.registered
            and not worker.draining
            and not worker.unsized_runs
            and not worker.lease_end_noted
            and self.is_responsive(worker)
        )

    def is_responsive(self, worker: Worker) -> bool:
        """Tell whether a worker is expected to answer.

        It must not have refused a connection since its last answer, and in a zone that may be
        partitioned, it must have answered within `RECENT_ANSWER_S`.
        """
        if worker.unreachable:
            return False
        if (
            worker.entry.zone in self.unresponsive_zones
            and self.now - worker.answered_at > RECENT_ANSWER_S
        ):
            return False
        return (
            worker.unresponsive_since < 0 or self.now - worker.unresponsive_since < UNRESPONSIVE_S
        )

    def request_copies(self) -> None:
        """Request copies of the speculative tasks on unresponsive workers."""
        for worker in self.workers.values():
            if worker.runs and not self.is_responsive(worker):
                copied = [run for run in worker.runs.values() if self.request_copy(run)]
                suspected = worker.runs.values() if worker.unreachable else copied
                self.crashes.note_unresponsive(worker, suspected)

    def request_copy(self, run: Run) -> bool:
        """Request a second run of a speculative task, and tell whether it may have one."""
        job = self.find_job(run.task)
        if job is None or job.ended or not job.spec.steps[run.task.step].speculative:
            return False
        state = job.get_step(run.task.occurrence, run.task.step)
        done = run.task.number in state.progress.done
        if done or len(state.active_runs.get(run.task.number, ())) != 1:
            return False
        if run.task.number not in state.copies:
            logger.info("speculative copy requested", extra=describe_run(run))
            state.copies.add(run.task.number)
            self._add_startable_step(job, state.step_key)
        return True

    # Answers of workers

    def note_poll(self, key: WorkerKey, answer: PollResponse, asked_at: float) -> None:
        """Apply a worker's report of its runs and their ends."""
        worker = self.workers.get(key)
        if worker is None:
            return
        if answer.incarnation and answer.incarnation != key.incarnation:
            self._note_newer_incarnation(worker, answer.incarnation)
            return
        worker.set_clock(answer.clock_ms, self.now)
        worker.polled_at = self.now
        self.crashes.note_answered(worker)
        worker.unreachable = False
        worker.unresponsive_since = -1.0
        worker.accepted_term = True
        self.takeover.note_worker_reported(key, "reported")
        apply_poll_response(self, worker, answer, asked_at)
        self.takeover.check()

    def _note_newer_incarnation(self, worker: Worker, incarnation: int) -> None:
        if incarnation < worker.entry.incarnation:
            return
        # The newer incarnation may be of another size; the registry will tell.
        entry = msgspec.structs.replace(worker.entry, incarnation=incarnation, capacity=NOTHING)
        self._replace_worker(worker.key, entry, "a newer incarnation answered")
        self.takeover.check()

    def end_run(
        self,
        worker: Worker,
        task: Task,
        number: int,
        cause: EndCause,
        checkpoint: str,
        seq: int = 0,
    ) -> None:
        """Release the allocation of a run and apply its end to its job, now or once it is read.

        `seq` is the number of the end at its worker, 0 if the worker has not reported it.
        """
        self.starting.pop((task, number), None)
        if task.job not in self.jobs:
            end = RunEnd(seq, task, number, cause, checkpoint)
            self.early_reports.note_end(worker.key, end)
        run = worker.drop_run(task, number, self.get_allocation(task))
        if run is not None:
            if cause is not EndCause.LOST and run.confirmed_at < 0:
                run.copies = run.copies.without_one()
            self.late_starts.note_dropped(worker, run)
        self.late_starts.note_end(worker.key, seq, task, cause)
        job = self.find_job(task)
        if job is not None:
            self.apply_end(job, task, number, cause, checkpoint)

    def apply_end(
        self, job: Job, task: Task, number: int, cause: EndCause, checkpoint: str
    ) -> None:
        """Apply the end of a run to its job."""
        if cause is not EndCause.LOST:
            self.note_begun(job)
        job.record_checkpoint(task, number, checkpoint)
        before = job.state
        if cause is EndCause.DONE:
            self.crashes.clear(job, task)
        job.end_run(task, number, cause, self.get_queue(job))
        self.recorder.mark_changed(job.id)
        if job.state is not before:
            self._log_state_change(job)
        if job.ended:
            self._close_job(job)
        else:
            self._stop_superfluous_copies(job, task)
            self.update_occurrence(job, task.occurrence)

    def _log_state_change(self, job: Job) -> None:
        objective_s = get_objective_s(job.spec, self.get_queue(job))
        logger.info(
            "job state changed",
            extra={
                "job": job.id,
                "state": job.state.value,
                "age_ms": round((self.now - job.submitted_at) * 1000),
                "objective_ms": round(objective_s * 1000),
            },
        )

    def _stop_superfluous_copies(self, job: Job, task: Task) -> None:
        state = job.get_step(task.occurrence, task.step)
        if task.number not in state.active_runs:
            state.copies.discard(task.number)
        if task.number in state.progress.done and not job.spec.steps[task.step].gang:
            for run in state.active_runs.get(task.number, []):
                self.stop(run)

    def note_poll_refused(self, key: WorkerKey, refusal: Refusal) -> None:
        """Handle a refused poll, by the worker or by another process at its address."""
        if refusal.reason == OTHER_PROCESS:
            self._note_process_gone(key)
        else:
            self.note_unresponsive(key)

    def _note_process_gone(self, key: WorkerKey) -> None:
        """Note that another worker has the address, which refuses commands to this one."""
        self.ended_incarnations.append(key)
        self.note_worker_lost(key, "another process has its address")
        self.late_starts.forget_worker(key.id)

    def note_unresponsive(
        self,
        key: WorkerKey,
        *,
        unreachable: bool = False,
        disconnected: bool = False,
        closed: bool = False,
    ) -> None:
        """Note that a worker left a poll unanswered, or refused, reset or closed its connection."""
        worker = self.workers.get(key)
        if worker is None:
            return
        if disconnected:
            worker.connected_until = self.now
        if closed and worker.unresponsive_since < 0:
            worker.closed_at = self.now
        worker.unreachable = worker.unreachable or unreachable
        if worker.unresponsive_since < 0:
            worker.unresponsive_since = self.now
        if worker.has_ended():
            self._end_begun_runs(worker)

    def _end_begun_runs(self, worker: Worker) -> None:
        """End the runs that had begun on a worker that has ended.

        Its next process may execute the other starts. One that was answered later than the
        connection was closed may run there already.
        """
        self.crashes.note_ended(worker)
        begun = [
            run
            for run in worker.runs.values()
            if run.reported_at >= 0 or 0 <= run.confirmed_at <= worker.closed_at
        ]
        for run in begun:
            self.counts["runs_lost"] += 1
            logger.info("run lost", extra={**describe_run(run), "reason": "its worker has ended"})
            self.end_run(worker, run.task, run.number, EndCause.LOST, "")

    def note_started(self, key: WorkerKey, task: Task, number: int, clock_ms: float) -> None:
        """Note that a worker has started a run."""
        self.starting.pop((task, number), None)
        worker = self.workers.get(key)
        if worker is None:
            return
        worker.set_clock(clock_ms, self.now)
        run = worker.runs.get((task, number))
        if run is not None:
            run.copies = Copies()
            run.answered_at = self.now
        if run is not None and run.confirmed_at < 0:
            run.confirmed_at = self.now
            run.percent_changed_at = self.now
            job = self.jobs.get(task.job)
            if job is not None:
                self.note_begun(job)

    def note_refused(self, key: WorkerKey, task: Task, number: int, refusal: Refusal) -> None:
        """Note that a worker has not started a run and never will."""
        worker = self.workers.get(key)
        if worker is None:
            return
        if refusal.clock_ms is not None:
            worker.set_clock(refusal.clock_ms, self.now)
        self.counts[f"refused_{refusal.reason}"] += 1
        logger.info(
            "start refused",
            extra={"job": task.job, "task": list(task), "run": number, "worker": key.id,
                   "reason": refusal.reason},
        )  # fmt: skip
        if refusal.reason == "ticket":
            advice = self.advice.get(get_step_key(task))
            if advice is not None:
                advice.drop_ticket(key.id)
        elif refusal.reason not in {"late", "old"}:
            worker.refused_at = self.now
            self.back_off(worker)
        self.end_run(worker, task, number, EndCause.LOST, "")
        self.late_starts.forget(key.id, task, number)
        if refusal.reason == OTHER_PROCESS:
            self._note_process_gone(key)
        job = self.jobs.get(task.job)
        if job is not None and job.spec.steps[task.step].gang:
            for run in job.list_runs():
                if get_step_key(run.task) == get_step_key(task):
                    self.stop(run)

    def back_off(self, worker: Worker) -> None:
        """Start nothing on a worker for an exponential backoff.

        It is reset when the worker completes a task, or has given no cause for some time.
        """
        worker.backed_off_at = self.now
        if worker.backoff_until > self.now:
            return
        if self.now - worker.backoff_until > BACKOFF_MEMORY_S:
            worker.backoff_count = 0
        worker.backoff_count += 1
        worker.backoff_until = self.now + min(
            MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (worker.backoff_count - 1)
        )

    def note_unanswered(self, key: WorkerKey, task: Task, number: int) -> None:
        """Note that a start was not answered; the worker may still execute it, even later."""
        self.starting.pop((task, number), None)
        worker = self.workers.get(key)
        if worker is None:
            return
        self.back_off(worker)
        run = worker.runs.get((task, number))
        if run is not None and run.confirmed_at < 0:
            run.unanswered_at = self.now

    def note_copies(
        self,
        key: WorkerKey,
        task: Task,
        number: int,
        copies: Copies,
        *,
        answered: bool,
        ticketed: bool,
    ) -> None:
        """Note the copies of a start that have no response; others may have been `answered`."""
        worker = self.workers.get(self.latest_incarnations.get(key.id, key))
        run = worker.runs.get((task, number)) if worker else None
        if run is not None:
            executed = not answered and run.confirmed_at >= 0
            run.copies = copies.without_one() if executed else copies
            self.late_starts.note_copied(run)
            if run.copies.left and not ticketed and task.job in self.jobs:
                self.recorder.mark_changed(task.job)
        elif copies.left:
            self.late_starts.note_copies(key.id, task, number, copies, ticketed=ticketed)
        else:
            self.late_starts.forget(key.id, task, number)

    def note_stopped(self, key: WorkerKey, task: Task, number: int, clock_ms: float) -> None:
        """Note that a worker has acknowledged a stop; an unconfirmed run can no longer start."""
        worker = self.workers.get(key)
        if worker is None:
            return
        worker.set_clock(clock_ms, self.now)
        run = worker.runs.get((task, number))
        if run is not None and run.confirmed_at < 0 and run.voided_at < 0:
            run.voided_at = self.now

    def note_advice(self, step_key: StepKey, advice: Advice, named: Iterable[str]) -> None:
        """Record advice on a step."""
        found = self.advice.get(step_key)
        if found is not None:
            found.note_advice(advice, named, self.now)

    def note_advice_failed(self, step_key: StepKey) -> None:
        """Note that a request for advice on a step failed."""
        found = self.advice.get(step_key)
        if found is not None:
            found.note_failure()

    def stop(self, run: Run) -> None:
        """Send a stop for a run, unless one was sent within `STOP_RETRY_S`."""
        if not run.start_sent:
            run.stopping = True
            return
        if run.stopping and self.now - run.stop_sent_at < STOP_RETRY_S:
            return
        run.stopping = True
        run.stop_sent_at = self.now
        self.effects.append(StopRun(run.worker, run.task, run.number))

    # Time

    def advance(self, now: float, unix_ms: float) -> None:
        """Set the current time."""
        self.now = now
        self.unix_ms = unix_ms

    def run_periodic_checks(self) -> None:
        """Expire leases, repeat stops, start due occurrences and archive ended jobs."""
        for key, worker in list(self.workers.items()):
            if worker.runs and self.now > self.get_lease_expiry(worker):
                self._expire_leases(worker)
            for run in list(worker.runs.values()):
                if run.stopping:
                    self.stop(run)
            if self._is_obsolete(worker):
                self._remove_worker(key)
        self.late_starts.forget_old()
        self.request_copies()
        self.occurrences.count_tasks()
        self.occurrences.open_due()
        self._archive_ended()
        self.takeover.check()

    def get_lease_expiry(self, worker: Worker) -> float:
        """Return when all leases on a worker have expired at the latest."""
        if worker.clock_at >= 0:
            return worker.get_lease_expiry()
        return max(self.takeover.get_lease_expiry(worker.key), worker.unread_lease_expiry)

    def _expire_leases(self, worker: Worker) -> None:
        self.crashes.note_worker_lost(worker, restarted=False)
        for run in list(worker.runs.values()):
            if not run.start_sent:
                continue
            self.counts["runs_lapsed"] += 1
            logger.info("run lost as its lease expired", extra=describe_run(run))
            self.end_run(worker, run.task, run.number, EndCause.LOST, "")
        self.takeover.note_worker_reported(worker.key, "leases expired")

    def list_startable_steps(self) -> Iterator[tuple[StepKey, Job]]:
        """Yield the steps to look at that have tasks to start, and drop those that have none."""
        for step_key in self.startable_steps.select(self.now, self._has_tasks_to_start):
            if self._has_tasks_to_start(step_key):
                yield step_key, self.jobs[step_key.job]
            else:
                self.startable_steps.discard(step_key)

    def _has_tasks_to_start(self, step_key: StepKey) -> bool:
        job = self.jobs.get(step_key.job)
        if job is None or job.ended:
            return False
        state = job.get_step(*step_key[1:])
        return bool(state.waiting or state.copies)

    def pop_effects(self) -> list[Effect]:
        """Return and clear the effects to perform."""
        effects, self.effects = self.effects, []
        return effects
