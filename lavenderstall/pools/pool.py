"""State of one pool: its jobs, its workers and what is to be done next."""

import logging
from collections import Counter, deque
from collections.abc import Collection, Iterable, Iterator

import msgspec

from lavenderstall.identifiers import JobId
from lavenderstall.pools.archive import Archive
from lavenderstall.pools.effects import (
    OTHER_PROCESS,
    Advice,
    Effect,
    LookAnswer,
    Refusal,
    StopRun,
)
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import AcceptedJob, Job, JobProgress, Run, describe_run
from lavenderstall.pools.looks import apply_look
from lavenderstall.pools.objectives import get_objective_s
from lavenderstall.pools.recording import ProgressRecorder
from lavenderstall.pools.speeds import Speeds
from lavenderstall.pools.takeover import Takeover
from lavenderstall.pools.tickets import StepAdvice
from lavenderstall.pools.work import (
    ENDED,
    Cause,
    Group,
    JobState,
    PoolName,
    Queue,
    QueueName,
    Settings,
    Task,
    get_group,
)
from lavenderstall.pools.workers import Worker, WorkerEntry
from lavenderstall.resources import NOTHING, Resources

logger = logging.getLogger(__name__)

# A stop that has shown no effect is sent again after this long.
STOP_RETRY_S = 0.3
# What a rack without the data costs if the platform tells nothing else.
REMOTE_FACTOR = 1.5
# Run numbers of one term start above those of earlier terms.
RUNS_PER_TERM = 1000
# How long a worker that refused or left orders unanswered gets nothing new.
AVOID_S = 1.0
MOST_AVOID_S = 8.0
# A worker that has left looks unanswered for this long gets nothing new.
SILENCE_S = 1.2
# A worker of a zone of which no instance is heard gets nothing new this long after an answer.
ANSWERED_S = 0.7
# Ended incarnations of workers that are remembered.
MOST_GONE = 100
# Cancelled jobs that are remembered until their submission is heard of.
MOST_EARLY = 1000


class Pool:
    """Decide what runs on the workers of a pool; all times are seconds of uptime."""

    def __init__(
        self,
        name: PoolName,
        term: int,
        settle_at: float,
        *,
        recorded: bool = True,
        remote_factor: float = REMOTE_FACTOR,
    ) -> None:
        self.name = name
        self.term = term
        # A task takes so many times as long on another rack than that of its data.
        self.remote_factor = remote_factor
        self.takeover = Takeover(self, settle_at, recorded=recorded)
        self.recorder = ProgressRecorder(self)
        self.jobs: dict[JobId, Job] = {}
        self.active: dict[JobId, Job] = {}
        self.archive = Archive()
        self._closing: set[JobId] = set()
        # Jobs that were cancelled before their submission was heard of.
        self._early_cancels: deque[JobId] = deque(maxlen=MOST_EARLY)
        self.workers: dict[WorkerKey, Worker] = {}
        self.latest: dict[str, WorkerKey] = {}
        # Incarnations that have ended, as the registry may show them a while longer.
        self.gone: deque[WorkerKey] = deque(maxlen=MOST_GONE)
        self.open_groups: set[Group] = set()
        self.timed: set[JobId] = set()
        self.advice: dict[Group, StepAdvice] = {}
        self.speeds = Speeds()
        self.effects: list[Effect] = []
        self.settings = Settings(0)
        # Zones of which no entry instance is heard; they may be cut off.
        self.silent_zones: frozenset[str] = frozenset()
        self.now = 0.0
        self.unix_ms = 0.0
        self.counts: Counter[str] = Counter()

    # Jobs

    def set_settings(self, settings: Settings) -> None:
        """Use a newer version of the configuration."""
        self.settings = settings

    def get_queue(self, job: Job) -> Queue | None:
        """Return the queue of a job as it is configured now."""
        return self.settings.find_named(QueueName(job.row.queue))

    def add_job(
        self, row: AcceptedJob, progress: JobProgress | None = None, *, inherited: bool = False
    ) -> bool:
        """Take an accepted job and tell whether it is new."""
        if row.id in self.jobs or row.id in self.archive:
            return False
        age = max(0.0, self.unix_ms - row.accepted_ms) / 1000 if inherited else 0.0
        job = Job(row, self.now - age, progress)
        self.jobs[row.id] = job
        if inherited:
            self.takeover.add_job(job)
        if job.ended:
            self._closing.add(row.id)
            return True
        self.active[row.id] = job
        if row.spec.repeat is not None:
            self.timed.add(row.id)
        if row.id in self._early_cancels:
            self._early_cancels.remove(row.id)
            self.cancel_job(row.id)
        self.refresh(job)
        return True

    def cancel_job(self, job_id: JobId) -> bool:
        """Cancel a job and tell whether it is known."""
        job = self.jobs.get(job_id)
        if job is None:
            if job_id not in self.archive:
                self._early_cancels.append(job_id)
            return False
        if not job.cancelling:
            if job.state not in ENDED:
                self.recorder.mark_changed(job_id)
            job.cancel()
            self._close(job)
        return True

    def refresh(self, job: Job) -> None:
        """Find the steps of a job whose tasks may start now."""
        if job.ended or self.takeover.holds(job.id):
            return
        for occurrence in job.list_due(self.unix_ms):
            for number in range(len(job.spec.steps)):
                if job.is_step_done(occurrence, number) or not job.is_step_open(occurrence, number):
                    continue
                state = job.get_step(occurrence, number)
                if state.waiting:
                    if state.ready_at < 0:
                        state.ready_at = self.now
                    self.open_groups.add(state.group)

    def _close(self, job: Job) -> None:
        """Stop all that runs for a job that has ended."""
        if self.active.pop(job.id, None) is not None:
            self._closing.add(job.id)
            self.open_groups = {group for group in self.open_groups if group.job != job.id}
            self.timed.discard(job.id)
            for occurrence, step in job.steps:
                self.advice.pop(Group(job.id, occurrence, step), None)
        for run in job.list_runs():
            self.stop(run)

    def count_pending(self) -> Counter[QueueName]:
        """Return how many jobs of each queue have not started."""
        return Counter(QueueName(job.row.queue) for job in self.active.values() if not job.started)

    def _archive_ended(self) -> None:
        """Keep only the state of jobs that have ended for good."""
        for job_id in list(self._closing):
            job = self.jobs[job_id]
            waits = job.durable_state not in ENDED or job_id in self.recorder.changed_jobs
            if not waits and not job.list_runs():
                self._closing.discard(job_id)
                del self.jobs[job_id]
                self.archive.add(job_id, job.state, self.now)

    def get_state(self, job_id: JobId) -> JobState | None:
        """Return the state that a caller may be told, or none if the job is not known."""
        job = self.jobs.get(job_id)
        if job is None:
            return self.archive.get_state(job_id)
        if job.state in ENDED and job.durable_state not in ENDED:
            return JobState.RUNNING if job.started else JobState.QUEUED
        return job.state

    def has_unrecorded(self, recorded: Collection[JobId]) -> bool:
        """Tell whether tasks may be at work that neither rows nor these jobs' progress tell of."""
        return self.takeover.is_holding() or self.recorder.has_unrecorded(recorded)

    # Workers

    def set_workers(self, entries: Iterable[WorkerEntry]) -> None:
        """Take the list of workers as the registry shows it."""
        shown = {WorkerKey(entry.id, entry.incarnation): entry for entry in entries}
        for key, entry in shown.items():
            self._show_worker(key, entry)
        for key, worker in list(self.workers.items()):
            worker.listed = key in shown
            if not worker.listed and not worker.runs and not self.takeover.needs(key):
                self._forget(key)

    def _show_worker(self, key: WorkerKey, entry: WorkerEntry) -> None:
        known = self.workers.get(key)
        if known is not None:
            known.entry = entry
            return
        if key in self.gone:
            return
        latest = self.latest.get(key.id)
        if latest is not None and latest.incarnation > key.incarnation:
            return
        if latest is not None:
            self._succeed(latest, entry, "a newer incarnation is registered")
        else:
            self.add_worker(entry)

    def add_worker(self, entry: WorkerEntry) -> Worker:
        """Track a worker, which gets no work before it has been looked at."""
        worker = Worker(entry)
        self.workers[worker.key] = worker
        self.latest[entry.id] = worker.key
        logger.info("worker found", extra={"worker": entry.id, "incarnation": entry.incarnation})
        return worker

    def _succeed(self, key: WorkerKey, entry: WorkerEntry, reason: str) -> None:
        """Replace an incarnation of a worker by a newer one.

        The newer one may have carried out an order that was sent to the older one, or may yet
        do so. A run that no look has shown is in doubt there, even if its start was answered.
        """
        older = self.workers[key]
        doubtful = [run for run in older.runs.values() if run.ordered and run.seen_at < 0]
        for run in doubtful:
            older.drop_run(run.task, run.number, self.get_charge(run.task))
        self.lose_worker(key, reason)
        worker = self.add_worker(entry)
        for run in doubtful:
            run.worker = worker.key
            run.confirmed_at = -1.0
            run.lost_at = self.now
            run.deadline_ms = 0.0
            worker.add_run(run, self.get_charge(run.task))

    def get_charge(self, task: Task) -> Resources:
        """Return what a run of a task takes of its worker."""
        job = self.jobs.get(task.job)
        if job is None or task.step >= len(job.spec.steps):
            return NOTHING
        return job.spec.steps[task.step].charge

    def is_short(self, run: Run, bound_ms: int) -> bool:
        """Tell whether a run is of a task that ends by itself and soon."""
        job = self.jobs.get(run.task.job)
        if job is None or run.task.step >= len(job.spec.steps):
            return True
        step = job.spec.steps[run.task.step]
        return not step.lasting and step.expected_ms < bound_ms

    def lose_worker(self, key: WorkerKey, reason: str) -> None:
        """Note that nothing runs on an incarnation of a worker any more."""
        worker = self.workers.get(key)
        if worker is None:
            return
        for run in list(worker.runs.values()):
            self.counts["runs_lost"] += 1
            logger.info(
                "run lost",
                extra={**describe_run(run), "reason": reason},
            )
            self.end_run(worker, run.task, run.number, Cause.LOST, "")
        self._forget(key)
        self.takeover.note_known(key)

    def _forget(self, key: WorkerKey) -> None:
        self.workers.pop(key, None)
        if self.latest.get(key.id) == key:
            del self.latest[key.id]

    def needs_look(self, worker: Worker) -> bool:
        """Tell whether a worker is to be looked at all the time.

        A silent one gets nothing new before it answers, even if nothing runs there.
        """
        if not worker.entry.address:
            return False
        silent = worker.listed and (worker.silent_since >= 0 or not self.is_reached(worker))
        unacknowledged = worker.applied_seq > worker.committed_seq
        return bool(worker.runs) or not worker.claimed or unacknowledged or silent

    def is_reached(self, worker: Worker) -> bool:
        """Tell whether a worker may be counted on to answer.

        One in a zone that may be cut off has to have answered a moment ago.
        """
        if worker.entry.zone in self.silent_zones and self.now - worker.answered_at > ANSWERED_S:
            return False
        return worker.silent_since < 0 or self.now - worker.silent_since < SILENCE_S

    def request_copies(self) -> None:
        """Let speculative tasks on workers that do not answer start elsewhere as well."""
        for worker in self.workers.values():
            if worker.runs and not self.is_reached(worker):
                for run in worker.runs.values():
                    self.request_copy(run)

    def request_copy(self, run: Run) -> bool:
        """Let a task start once more beside its only run, and tell whether it may."""
        job = self.jobs.get(run.task.job)
        if job is None or job.ended or not job.spec.steps[run.task.step].speculative:
            return False
        state = job.get_step(run.task.occurrence, run.task.step)
        done = run.task.number in state.progress.done
        if done or len(state.live.get(run.task.number, ())) != 1:
            return False
        if run.task.number not in state.copies:
            logger.info("copy requested", extra=describe_run(run))
            state.copies.add(run.task.number)
            self.open_groups.add(state.group)
        return True

    # What workers answer

    def note_look(self, key: WorkerKey, answer: LookAnswer, asked_at: float) -> None:
        """Apply what a worker says of its runs and their ends."""
        worker = self.workers.get(key)
        if worker is None:
            return
        if answer.incarnation and answer.incarnation != key.incarnation:
            self._replace_incarnation(worker, answer.incarnation)
            return
        worker.set_clock(answer.clock_ms, self.now)
        worker.looked_at = self.now
        worker.silent_since = -1.0
        worker.claimed = True
        self.takeover.note_known(key)
        apply_look(self, worker, answer, asked_at)
        self.takeover.check()

    def _replace_incarnation(self, worker: Worker, incarnation: int) -> None:
        if incarnation < worker.entry.incarnation:
            return
        entry = msgspec.structs.replace(worker.entry, incarnation=incarnation)
        self._succeed(worker.key, entry, "a newer incarnation answered")
        self.takeover.check()

    def end_run(
        self, worker: Worker, task: Task, number: int, cause: Cause, checkpoint: str
    ) -> None:
        """Free the room of a run and apply its end to its job."""
        job = self.jobs.get(task.job)
        if job is None or task.step >= len(job.spec.steps):
            worker.drop_run(task, number, Resources())
            return
        step = job.spec.steps[task.step]
        worker.drop_run(task, number, step.charge)
        job.keep_checkpoint(task, number, checkpoint)
        before = job.state
        job.end_run(task, number, cause, self.get_queue(job))
        self.recorder.mark_changed(job.id)
        if job.state is not before:
            self._log_state(job)
        if job.ended:
            self._close(job)
        else:
            self._stop_copies(job, task)
            self.refresh(job)

    def _log_state(self, job: Job) -> None:
        queue = self.get_queue(job)
        objective_s = get_objective_s(job.spec, queue) if queue else 0.0
        logger.info(
            "job changed",
            extra={
                "job": job.id,
                "state": job.state.value,
                "age_ms": round((self.now - job.seen_at) * 1000),
                "objective_ms": round(objective_s * 1000),
            },
        )

    def _stop_copies(self, job: Job, task: Task) -> None:
        state = job.get_step(task.occurrence, task.step)
        if task.number not in state.live:
            state.copies.discard(task.number)
        if task.number in state.progress.done and not job.spec.steps[task.step].gang:
            for run in state.live.get(task.number, []):
                self.stop(run)

    def note_look_refused(self, key: WorkerKey, refusal: Refusal) -> None:
        """Note that a look was refused, by the worker or by another process in its place."""
        if refusal.reason == OTHER_PROCESS:
            self._note_gone(key)
        else:
            self.note_silence(key)

    def _note_gone(self, key: WorkerKey) -> None:
        self.gone.append(key)
        self.lose_worker(key, "another process has its address")

    def note_silence(self, key: WorkerKey) -> None:
        """Note that a worker left a look unanswered."""
        worker = self.workers.get(key)
        if worker is not None and worker.silent_since < 0:
            worker.silent_since = self.now

    def note_started(self, key: WorkerKey, task: Task, number: int, clock_ms: float) -> None:
        """Note that a worker has started a run."""
        worker = self.workers.get(key)
        if worker is None:
            return
        worker.set_clock(clock_ms, self.now)
        run = worker.runs.get((task, number))
        if run is not None and run.confirmed_at < 0:
            run.confirmed_at = self.now
            run.percent_at = self.now

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
            advice = self.advice.get(get_group(task))
            if advice is not None:
                advice.drop_ticket(key.id)
        elif refusal.reason not in {"late", "old"}:
            self.avoid(worker)
        self.end_run(worker, task, number, Cause.LOST, "")
        if refusal.reason == OTHER_PROCESS:
            self._note_gone(key)
        job = self.jobs.get(task.job)
        if job is not None and job.spec.steps[task.step].gang:
            for run in job.list_runs():
                if get_group(run.task) == get_group(task):
                    self.stop(run)

    def avoid(self, worker: Worker) -> None:
        """Start nothing on a worker for a while, longer each time until a task of it is done."""
        if worker.avoid_until > self.now:
            return
        worker.strikes += 1
        worker.avoid_until = self.now + min(MOST_AVOID_S, AVOID_S * 2 ** (worker.strikes - 1))

    def note_unanswered(self, key: WorkerKey, task: Task, number: int) -> None:
        """Note that an order to start may or may not be carried out, even later."""
        worker = self.workers.get(key)
        if worker is None:
            return
        self.avoid(worker)
        run = worker.runs.get((task, number))
        if run is not None and run.confirmed_at < 0:
            run.lost_at = self.now

    def note_stopped(self, key: WorkerKey, task: Task, number: int, clock_ms: float) -> None:
        """Note that a worker has taken a stop."""
        worker = self.workers.get(key)
        if worker is None:
            return
        worker.set_clock(clock_ms, self.now)
        run = worker.runs.get((task, number))
        if run is not None and run.confirmed_at < 0 and run.void_at < 0:
            run.void_at = self.now

    def note_advice(self, group: Group, advice: Advice, named: Iterable[str]) -> None:
        """Take advice on a step."""
        found = self.advice.get(group)
        if found is not None:
            found.note_advice(advice, named, self.now)

    def note_no_advice(self, group: Group) -> None:
        """Note that advice on a step did not come."""
        found = self.advice.get(group)
        if found is not None:
            found.note_failure()

    def stop(self, run: Run) -> None:
        """Order a run to stop, again if it has not ended since the last order."""
        if not run.ordered:
            run.stopping = True
            return
        if run.stopping and self.now - run.stop_sent_at < STOP_RETRY_S:
            return
        run.stopping = True
        run.stop_sent_at = self.now
        self.effects.append(StopRun(run.worker, run.task, run.number))

    # Time

    def advance(self, now: float, unix_ms: float) -> None:
        """Let time pass."""
        self.now = now
        self.unix_ms = unix_ms

    def review(self) -> None:
        """Do what is due: lapsed leases, stops to repeat, occurrences of timed jobs."""
        for key, worker in list(self.workers.items()):
            if worker.runs and self.now > self._get_lapse(worker):
                self._lapse(worker)
            for run in list(worker.runs.values()):
                if run.stopping:
                    self.stop(run)
            if not worker.listed and not worker.runs and not self.takeover.needs(key):
                self._forget(key)
        self.request_copies()
        for job_id in list(self.timed):
            self.refresh(self.jobs[job_id])
        self._archive_ended()
        self.takeover.check()

    def _get_lapse(self, worker: Worker) -> float:
        """Return when all leases on a worker have lapsed at the latest."""
        return worker.get_lapse() if worker.clock_at >= 0 else self.takeover.settle_at

    def _lapse(self, worker: Worker) -> None:
        for run in list(worker.runs.values()):
            if not run.ordered:
                continue
            self.counts["runs_lapsed"] += 1
            logger.info("lease lapsed", extra=describe_run(run))
            self.end_run(worker, run.task, run.number, Cause.LOST, "")

    def list_waiting(self) -> Iterator[tuple[Group, Job]]:
        """Yield the steps that have tasks to start, and forget those that have none."""
        for group in list(self.open_groups):
            job = self.jobs.get(group.job)
            state = None if job is None or job.ended else job.get_step(*group[1:])
            if job is None or state is None or not (state.waiting or state.copies):
                self.open_groups.discard(group)
            else:
                yield group, job

    def take_effects(self) -> list[Effect]:
        """Return and clear what is to be done."""
        effects, self.effects = self.effects, []
        return effects
