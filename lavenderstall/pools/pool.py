"""State of one pool: its jobs, its workers and what is to be done next."""

import logging
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice

import msgspec

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import (
    Advice,
    Effect,
    EndRow,
    LookAnswer,
    PaceRun,
    Refusal,
    RunningRow,
    StopRun,
)
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import AcceptedJob, Job, JobProgress, Run
from lavenderstall.pools.pacing import Serving, list_changes
from lavenderstall.pools.speeds import Speeds
from lavenderstall.pools.suspicion import is_stalled, is_straggling
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
# Run numbers of one term start above those of earlier terms.
RUNS_PER_TERM = 1000
# How long a worker that refused or left orders unanswered gets nothing new.
AVOID_S = 1.0
MOST_AVOID_S = 8.0
# How long the state of an ended job is told; a repeated submission comes much sooner.
RETENTION_S = 600.0
# Rows of ends in one answer; a full answer may not be the last one.
END_ROWS = 500


class Pool:
    """Decide what runs on the workers of a pool; all times are seconds of uptime."""

    def __init__(self, name: PoolName, term: int, settle_at: float) -> None:
        self.name = name
        self.term = term
        self.settle_at = settle_at
        self.settled = False
        self.roster: set[WorkerKey] = set()
        self.jobs: dict[JobId, Job] = {}
        self.active: dict[JobId, Job] = {}
        self.workers: dict[WorkerKey, Worker] = {}
        self.latest: dict[str, WorkerKey] = {}
        self.open_groups: set[Group] = set()
        self.timed: set[JobId] = set()
        self.advice: dict[Group, StepAdvice] = {}
        self.speeds = Speeds()
        self.effects: list[Effect] = []
        self.dirty: set[JobId] = set()
        self.settings = Settings(0)
        self.certain_until = float("inf")
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
        if row.id in self.jobs:
            return False
        age = max(0.0, self.unix_ms - row.accepted_ms) / 1000 if inherited else 0.0
        job = Job(row, self.now - age, progress)
        job.inherited = inherited
        self.jobs[row.id] = job
        if job.ended:
            job.ended_at = self.now
        else:
            self.active[row.id] = job
        if row.spec.repeat is not None:
            self.timed.add(row.id)
        self.refresh(job)
        return True

    def cancel_job(self, job_id: JobId) -> bool:
        """Cancel a job and tell whether it is known."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        if not job.cancelling:
            if job.state not in ENDED:
                self.dirty.add(job_id)
            job.cancel()
            self._close(job)
        return True

    def refresh(self, job: Job) -> None:
        """Find the steps of a job whose tasks may start now."""
        if job.ended or (job.inherited and not self.settled):
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
            job.ended_at = self.now
            self.open_groups = {group for group in self.open_groups if group.job != job.id}
            self.timed.discard(job.id)
            for occurrence, step in job.steps:
                self.advice.pop(Group(job.id, occurrence, step), None)
        for run in job.list_runs():
            self.stop(run)

    def count_pending(self) -> Counter[QueueName]:
        """Return how many jobs of each queue have not started."""
        return Counter(QueueName(job.row.queue) for job in self.active.values() if not job.started)

    def list_expired(self, limit: int) -> list[JobId]:
        """Return jobs whose state need not be told any longer."""
        old = (
            job.id
            for job in self.jobs.values()
            if job.id not in self.active
            and job.durable_state in ENDED
            and self.now - job.ended_at > RETENTION_S
            and not job.list_runs()
        )
        return list(islice(old, limit))

    def forget_jobs(self, jobs: Iterable[JobId]) -> None:
        """Forget jobs whose rows were deleted."""
        for job in jobs:
            self.jobs.pop(job, None)
            self.dirty.discard(job)

    def get_state(self, job_id: JobId) -> JobState | None:
        """Return the state that a caller may be told, or none if the job is not known."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.state in ENDED and job.durable_state not in ENDED:
            return JobState.RUNNING if job.started else JobState.QUEUED
        return job.state

    # Commits

    def take_dirty(self, limit: int) -> tuple[dict[JobId, JobProgress], dict[WorkerKey, int]]:
        """Return progress to be made durable, and the ends that it covers by worker."""
        taken = sorted(self.dirty)[:limit]
        self.dirty.difference_update(taken)
        ends = (
            {} if self.dirty else {key: worker.applied_seq for key, worker in self.workers.items()}
        )
        return {job_id: self.jobs[job_id].make_progress() for job_id in taken}, ends

    def note_committed(self, states: dict[JobId, JobState], ends: dict[WorkerKey, int]) -> None:
        """Note what has become durable."""
        for key, seq in ends.items():
            worker = self.workers.get(key)
            if worker is not None:
                worker.committed_seq = max(worker.committed_seq, seq)
        for job_id, state in states.items():
            self.jobs[job_id].durable_state = state

    def note_uncommitted(self, jobs: Iterable[JobId]) -> None:
        """Note that progress has not become durable as far as is known."""
        self.dirty.update(jobs)

    # Workers

    def set_workers(self, entries: Iterable[WorkerEntry]) -> None:
        """Take the list of workers as the registry shows it."""
        shown = {WorkerKey(entry.id, entry.born): entry for entry in entries}
        for key, entry in shown.items():
            self._show_worker(key, entry)
        for key, worker in list(self.workers.items()):
            worker.listed = key in shown
            if not worker.listed and not worker.runs and key not in self.roster:
                self._forget(key)

    def _show_worker(self, key: WorkerKey, entry: WorkerEntry) -> None:
        known = self.workers.get(key)
        if known is not None:
            known.entry = entry
            return
        latest = self.latest.get(key.id)
        if latest is not None and latest.born > key.born:
            return
        if latest is not None:
            self._succeed(latest, entry, "a newer life is registered")
        else:
            self.add_worker(entry)

    def add_worker(self, entry: WorkerEntry) -> Worker:
        """Track a worker, which gets no work before it has been looked at."""
        worker = Worker(entry)
        self.workers[worker.key] = worker
        self.latest[entry.id] = worker.key
        logger.info("worker found", extra={"worker": entry.id, "born": entry.born})
        return worker

    def _succeed(self, key: WorkerKey, entry: WorkerEntry, reason: str) -> None:
        """Replace a life of a worker by a newer one.

        The newer life may have carried out an order that was sent to the older one, or may yet do
        so. A run that no look has shown is in doubt there, even if its start was answered.
        """
        older = self.workers[key]
        doubtful = [run for run in older.runs.values() if run.seen_at < 0]
        for run in doubtful:
            older.drop_run(run.task, run.number, self._get_charge(run.task))
        self.lose_worker(key, reason)
        worker = self.add_worker(entry)
        for run in doubtful:
            run.worker = worker.key
            run.confirmed_at = -1.0
            run.lost_at = self.now
            run.deadline_ms = 0.0
            worker.add_run(run, self._get_charge(run.task))

    def _get_charge(self, task: Task) -> Resources:
        """Return what a run of a task takes of its worker."""
        job = self.jobs.get(task.job)
        if job is None or task.step >= len(job.spec.steps):
            return NOTHING
        return job.spec.steps[task.step].charge

    def lose_worker(self, key: WorkerKey, reason: str) -> None:
        """Note that nothing runs on a life of a worker any more."""
        worker = self.workers.get(key)
        if worker is None:
            return
        for run in list(worker.runs.values()):
            self.counts["runs_lost"] += 1
            logger.info(
                "run lost",
                extra={**describe_run(run), "reason": reason},
            )
            self._end(worker, run.task, run.number, Cause.LOST, "")
        self._forget(key)
        self.roster.discard(key)

    def _forget(self, key: WorkerKey) -> None:
        self.workers.pop(key, None)
        if self.latest.get(key.id) == key:
            del self.latest[key.id]

    def needs_look(self, worker: Worker) -> bool:
        """Tell whether a worker is to be looked at all the time."""
        return bool(worker.runs) or not worker.claimed or worker.applied_seq > worker.committed_seq

    # What workers answer

    def note_look(self, key: WorkerKey, answer: LookAnswer, asked_at: float) -> None:
        """Apply what a worker says of its runs and their ends."""
        worker = self.workers.get(key)
        if worker is None:
            return
        if answer.born and answer.born != key.born:
            self._replace_life(worker, answer.born)
            return
        worker.set_clock(answer.clock_ms, self.now)
        worker.looked_at = self.now
        worker.silent_since = -1.0
        if not worker.claimed:
            worker.claimed = True
            worker.claimed_at = self.now
            self._check_settled()
        ended = [end for end in answer.ended if end.seq > worker.applied_seq]
        for end in ended:
            self._apply_end(worker, end)
        for row in answer.running:
            self._apply_running(worker, row)
        present = {(row.task, row.number) for row in answer.running}
        if len(answer.ended) < END_ROWS:
            self._drop_absent(worker, present, asked_at)
        self._pace(worker)
        self._stop_stalled(worker)

    def _replace_life(self, worker: Worker, born: int) -> None:
        if born < worker.entry.born:
            return
        entry = msgspec.structs.replace(worker.entry, born=born)
        self._succeed(worker.key, entry, "a newer life answered")
        self._check_settled()

    def _apply_end(self, worker: Worker, end: EndRow) -> None:
        worker.applied_seq = max(worker.applied_seq, end.seq)
        run = worker.runs.get((end.task, end.number))
        if run is not None and end.cause is Cause.DONE:
            worker.strikes = 0
            self._learn(worker, run)
        logger.info(
            "run ended",
            extra={
                "job": end.task.job,
                "task": list(end.task),
                "run": end.number,
                "worker": worker.key.id,
                "cause": end.cause.value,
                "seq": end.seq,
                "took_ms": round((self.now - run.ordered_at) * 1000) if run else None,
            },
        )
        self.counts[f"ended_{end.cause.value}"] += 1
        self._judge(worker, end)
        self._end(worker, end.task, end.number, end.cause, end.checkpoint)

    def _judge(self, worker: Worker, end: EndRow) -> None:
        """Avoid a worker for a while that fails tasks of several jobs."""
        worker.record.note(self.now, end.task.job, end.cause)
        if end.cause is not Cause.FAILED:
            return
        job = self.jobs.get(end.task.job)
        if job is not None and end.task.step < len(job.spec.steps):
            state = job.get_step(end.task.occurrence, end.task.step)
            state.failed_on.setdefault(end.task.number, set()).add(worker.key.id)
        if worker.record.is_suspect(self.now):
            worker.record.clear()
            self._avoid(worker)
            self.counts["workers_suspected"] += 1
            logger.warning(
                "worker suspected",
                extra={"worker": worker.key.id, "until_s": round(worker.avoid_until - self.now, 1)},
            )

    def _stop_stalled(self, worker: Worker) -> None:
        """Stop runs that stand still or straggle, so that they start elsewhere."""
        for run in list(worker.runs.values()):
            job = self.jobs.get(run.task.job)
            if job is None:
                continue
            if not is_stalled(run, job.spec.steps[run.task.step], self.now):
                self._move_straggler(worker, run, job)
                continue
            self.counts["runs_stalled"] += 1
            logger.warning(
                "run stalled",
                extra={
                    **describe_run(run),
                    "percent": run.percent,
                    "still_ms": round((run.seen_at - run.percent_at) * 1000),
                },
            )
            if not job.spec.steps[run.task.step].gang:
                self._avoid(worker)
            self.stop(run)

    def _move_straggler(self, worker: Worker, run: Run, job: Job) -> None:
        """Stop a run that would end sooner elsewhere, once a task."""
        step = job.spec.steps[run.task.step]
        state = job.get_step(run.task.occurrence, run.task.step)
        if run.task.number in state.moved or not is_straggling(run, step):
            return
        state.moved.add(run.task.number)
        state.failed_on.setdefault(run.task.number, set()).add(worker.key.id)
        self.counts["runs_moved"] += 1
        worked_s = run.seen_at - run.confirmed_at
        if step.expected_ms > 0:
            projected_s = worked_s * 100 / max(run.percent - run.first_percent, 1.0)
            ratio = projected_s * 1000 / step.expected_ms
            self.speeds.learn(step.image, worker.entry.kind, worker.key.id, ratio)
        logger.warning(
            "run moved",
            extra={
                **describe_run(run),
                "percent": run.percent,
                "worked_ms": round(worked_s * 1000),
                "expected_ms": step.expected_ms,
            },
        )
        self.stop(run)

    def _learn(self, worker: Worker, run: Run) -> None:
        job = self.jobs.get(run.task.job)
        if job is None:
            return
        step = job.spec.steps[run.task.step]
        if step.expected_ms > 0 and not step.lasting and not run.checkpoint:
            ratio = (self.now - run.ordered_at) * 1000 / step.expected_ms
            self.speeds.learn(step.image, worker.entry.kind, worker.key.id, ratio)

    def _end(self, worker: Worker, task: Task, number: int, cause: Cause, checkpoint: str) -> None:
        job = self.jobs.get(task.job)
        if job is None or task.step >= len(job.spec.steps):
            worker.drop_run(task, number, Resources())
            return
        step = job.spec.steps[task.step]
        worker.drop_run(task, number, step.charge)
        job.keep_checkpoint(task, number, checkpoint)
        before = job.state
        if job.end_run(task, number, cause, self.get_queue(job)):
            self.dirty.add(job.id)
        if job.state is not before:
            self.dirty.add(job.id)
            logger.info("job changed", extra={"job": job.id, "state": job.state.value})
        if job.ended:
            self._close(job)
        else:
            self._stop_copies(job, task)
            self.refresh(job)

    def _stop_copies(self, job: Job, task: Task) -> None:
        state = job.get_step(task.occurrence, task.step)
        if task.number in state.progress.done and not job.spec.steps[task.step].gang:
            for run in state.live.get(task.number, []):
                self.stop(run)

    def _apply_running(self, worker: Worker, row: RunningRow) -> None:
        run = worker.runs.get((row.task, row.number))
        job = self.jobs.get(row.task.job)
        if run is None:
            run = self._adopt(worker, row, job)
        if run.confirmed_at < 0:
            run.confirmed_at = self.now
            run.percent_at = self.now
            run.first_percent = row.percent
        if row.percent != run.percent:
            run.percent_at = self.now
        run.percent = row.percent
        run.load = row.load
        run.seen_at = self.now
        run.checkpoint = row.checkpoint
        if job is not None and row.checkpoint and not job.ended:
            job.keep_checkpoint(row.task, row.number, row.checkpoint)
        if job is None or job.ended:
            self.stop(run)

    def _adopt(self, worker: Worker, row: RunningRow, job: Job | None) -> Run:
        """Track a run that an earlier owner started, or stop it where it has no place."""
        run = Run(row.task, row.number, worker.key, self.now, percent_at=self.now)
        if job is None or row.task.step >= len(job.spec.steps):
            worker.add_run(run, Resources())
            self.stop(run)
            return run
        step = job.spec.steps[row.task.step]
        worker.add_run(run, step.charge)
        state = job.get_step(row.task.occurrence, row.task.step)
        taken = row.task.number in state.progress.done or (
            bool(state.live.get(row.task.number)) and not step.speculative
        )
        job.add_run(run)
        logger.info("run adopted", extra={**describe_run(run), "superfluous": taken})
        if taken:
            self.stop(run)
        return run

    def _drop_absent(self, worker: Worker, present: set[tuple[Task, int]], asked_at: float) -> None:
        """End the runs that a worker neither runs nor lists as ended."""
        for key, run in list(worker.runs.items()):
            if key in present:
                continue
            confirmed = 0 <= run.confirmed_at < asked_at
            void = 0 <= run.void_at < asked_at
            late = run.confirmed_at < 0 and worker.clock_ms > run.deadline_ms > 0
            if confirmed or void or late:
                logger.info("run is absent", extra={**describe_run(run), "void": void})
                self._end(worker, run.task, run.number, Cause.LOST, "")
            elif 0 <= run.lost_at < asked_at and not run.stopping:
                self.stop(run)

    def _pace(self, worker: Worker) -> None:
        serving: list[Serving] = []
        fills: list[Run] = []
        for run in worker.runs.values():
            job = self.jobs.get(run.task.job)
            if job is None or run.stopping or run.confirmed_at < 0:
                continue
            step = job.spec.steps[run.task.step]
            if step.lasting and step.target_ms > 0:
                serving.append(Serving(run.load, step.target_ms))
            elif step.fills and not step.lasting:
                fills.append(run)
        for run, percent in list_changes(serving, fills):
            run.pace = percent
            self.effects.append(PaceRun(worker.key, run.task, run.number, percent))

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
            self._avoid(worker)
        self._end(worker, task, number, Cause.LOST, "")
        job = self.jobs.get(task.job)
        if job is not None and job.spec.steps[task.step].gang:
            for run in job.list_runs():
                if get_group(run.task) == get_group(task):
                    self.stop(run)

    def _avoid(self, worker: Worker) -> None:
        if worker.avoid_until > self.now:
            return
        worker.strikes += 1
        worker.avoid_until = self.now + min(MOST_AVOID_S, AVOID_S * 2 ** (worker.strikes - 1))

    def note_unanswered(self, key: WorkerKey, task: Task, number: int) -> None:
        """Note that an order to start may or may not be carried out, even later."""
        worker = self.workers.get(key)
        if worker is None:
            return
        self._avoid(worker)
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
            if worker.runs and worker.clock_at >= 0 and self.now > worker.get_lapse():
                self._lapse(worker)
            for run in list(worker.runs.values()):
                if run.stopping:
                    self.stop(run)
            gone = not worker.listed and not worker.runs
            if gone and (key not in self.roster or self.settled):
                self._forget(key)
        for job_id in list(self.timed):
            self.refresh(self.jobs[job_id])
        self._check_settled()

    def _lapse(self, worker: Worker) -> None:
        for run in list(worker.runs.values()):
            self.counts["runs_lapsed"] += 1
            logger.info("lease lapsed", extra=describe_run(run))
            self._end(worker, run.task, run.number, Cause.LOST, "")

    def _check_settled(self) -> None:
        """Let inherited work start once it is known what earlier owners left running."""
        if self.settled:
            return
        unknown = [
            key for key in self.roster if key in self.workers and not self.workers[key].claimed
        ]
        if unknown and self.now < self.settle_at:
            return
        self.settled = True
        logger.info(
            "pool settled",
            extra={"pool": self.name, "term": self.term, "unknown": [key.id for key in unknown]},
        )
        for job in self.active.values():
            self.refresh(job)

    def list_waiting(self) -> Iterator[tuple[Group, Job]]:
        """Yield the steps that have tasks to start, and forget those that have none."""
        for group in list(self.open_groups):
            job = self.jobs.get(group.job)
            if job is None or job.ended or not job.get_step(*group[1:]).waiting:
                self.open_groups.discard(group)
            else:
                yield group, job

    def take_effects(self) -> list[Effect]:
        """Return and clear what is to be done."""
        effects, self.effects = self.effects, []
        return effects


def describe_run(run: Run) -> dict[str, object]:
    """Return the fields that name a run in a log line."""
    return {
        "job": run.task.job,
        "task": list(run.task),
        "run": run.number,
        "worker": run.worker.id,
    }
