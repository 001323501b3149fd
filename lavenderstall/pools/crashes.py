"""Crashes of workers, and the tasks that may have caused them."""

import logging
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import TYPE_CHECKING, NamedTuple

from lavenderstall.identifiers import JobId
from lavenderstall.pools.crash_evidence import MIN_RUNS, QUICK_CRASH_S, CrashRate, convict, is_quick
from lavenderstall.pools.crash_records import Crash, Suspicion, count_runs
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Job, Run, describe_run
from lavenderstall.pools.work import Task
from lavenderstall.pools.workers import Worker

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool

logger = logging.getLogger(__name__)

# A task with this many crashes runs isolated, as does one that has likely caused its first.
ISOLATED_CRASHES = 2
# Crashes are kept of so many last runs of a task that lasts, and of one that ends by itself.
MAX_CRASHES = 4
MAX_CRASHES_ENDING = 8
# From its second crash on, the runs of a task that lasts start at least so far apart, twice as far
# with each further crash up to the longest interval, which is below the time for which such a task
# may be away. Those of one that ends by itself keep the shortest interval.
MIN_START_INTERVAL_S = 1.5
MAX_START_INTERVAL_S = 6.0
# A run that has been at work for this long is no likely cause of a crash.
SETTLED_S = 1.0
# Runs that were started within this time of the youngest are as likely to have caused a crash.
SAME_START_S = 0.1
# Workers that crash within this time of each other, so many of them, have a cause in common.
SAME_CRASH_S = 0.1
MIN_MASS_CRASH = 3
# A crash under a run that has been at work for longer is not attributed to it.
MAX_ATTRIBUTED_AGE_S = 60.0
# A later run that lives this much longer than those that ended in crashes clears its task.
SURVIVAL_MARGIN_MS = 500.0


class Attempts(NamedTuple):
    """Identity of what is attempted: a task, or with number 0 a gang."""

    job: JobId
    occurrence: int
    step: int
    number: int


class CrashTracker:
    """Find the tasks that crash workers among all that were running on them.

    A task keeps the crashes under which it was running in its durable progress, until a later run
    of it lives longer or another task is found to have caused them. It is given up only if crashes
    by chance are out of the question, as the end of a worker is no failure of its tasks.
    """

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        self._suspects: dict[WorkerKey, set[Attempts]] = {}
        # When the last run that ended in a crash was started.
        self._started_at: dict[Attempts, float] = {}
        self.rate = CrashRate()

    def add_job(self, job: Job) -> None:
        """Add the crashes that earlier owners have recorded, and give up what they would have."""
        for attempts, crashes in list_crashes(job):
            for crash in crashes:
                self._add_suspect(crash.key, attempts)
        for attempts, _ in list_crashes(job):
            if not job.ended:
                self._check_limit(job, Task(*attempts))

    def forget_job(self, job: Job) -> None:
        """Forget the crashes of a job that has ended."""
        for attempts, crashes in list_crashes(job):
            for crash in crashes:
                self._drop_suspect(crash.key, attempts)
        self._started_at = {
            attempts: at for attempts, at in self._started_at.items() if attempts.job != job.id
        }

    def list_suspects(self) -> set[Attempts]:
        """Return what has crashes that nothing else explains."""
        return set(chain.from_iterable(self._suspects.values()))

    def is_suspected(self, task: Task) -> bool:
        """Tell whether a worker has crashed under a task, or under its gang."""
        job = self._pool.find_job(task) if self._suspects else None
        return job is not None and job.count_crashes(task) > 0

    def needs_isolation(self, job: Job, task: Task) -> bool:
        """Tell whether a task has likely caused a crash, or was there at several."""
        crashes = job.list_crashes(task)
        return job.count_crashes(task) >= ISOLATED_CRASHES or any(
            crash.suspicion is not Suspicion.POSSIBLE for crash in crashes
        )

    def awaits_verdict(self, job: Job, task: Task) -> bool:
        """Tell whether a task is given up if a worker that does not answer has crashed."""
        if job.is_lasting(task):
            return False
        crashes = [crash for crash in job.list_crashes(task) if crash.started]
        uncertain = any(self._is_uncertain(job, task, crash) for crash in crashes)
        return uncertain and self._convict(crashes)

    def backs_off(self, job: Job, task: Task) -> bool:
        """Tell whether a task may not start yet, as workers have crashed under it."""
        if not self._started_at:
            return False
        started_at = self._started_at.get(make_attempts(job, task))
        if started_at is None:
            return False
        interval_s = get_start_interval(job.count_crashes(task))
        if not job.is_lasting(task):
            interval_s = min(interval_s, MIN_START_INTERVAL_S)
        return self._pool.now - started_at < interval_s

    def _convict(self, crashes: list[Crash]) -> bool:
        """Tell whether the crashes under a task are no chance, by how often those happen."""
        if count_runs(crashes) < MIN_RUNS:
            return False
        workers = sum(worker.registered for worker in self._pool.workers.values())
        explained = {crash.key for crash in crashes} | self._list_explained()
        return convict(crashes, self.rate.estimate(workers, self._pool.now, explained))

    def _list_explained(self) -> set[WorkerKey]:
        """Return the crashes that a task has likely caused, as several came at once after it."""
        found: set[WorkerKey] = set()
        for attempts in self.list_suspects():
            job = self._pool.jobs.get(attempts.job)
            crashes = job.list_crashes(Task(*attempts)) if job else []
            quick = [crash for crash in crashes if is_quick(crash)]
            if count_runs(quick) >= MIN_RUNS:
                found |= {crash.key for crash in quick}
        return found

    # Events

    def note_unresponsive(self, worker: Worker, runs: Iterable[Run]) -> None:
        """Record a crash for runs on a worker that may have crashed, until it answers."""
        if worker.draining:
            return
        crashed_at = worker.unresponsive_since if worker.unresponsive_since >= 0 else self._pool.now
        found = [
            (run, self._rate_run(worker, run))
            for run in list(runs)
            if (run.start_sent or run.inherited) and not run.crash_noted
        ]
        for run, suspicion in found:
            run.crash_noted = True
            age_s = get_age_s(run, crashed_at)
            self._note_start(run, crashed_at - age_s)
            if age_s <= MAX_ATTRIBUTED_AGE_S:
                crash = Crash(
                    *worker.key,
                    run.number,
                    round(age_s * 1000),
                    suspicion,
                    started=run.confirmed_at >= 0,
                )
                self._record(run, crash)
        if found or not worker.runs:
            quick = any(
                get_age_s(run, crashed_at) <= QUICK_CRASH_S and suspicion is not Suspicion.POSSIBLE
                for run, suspicion in found
            )
            self.rate.note(worker.key, crashed_at, quick=quick)

    def note_worker_lost(self, worker: Worker, *, restarted: bool) -> None:
        """Record a crash for all runs on a worker that is lost, unless it was about to leave.

        Only a worker that has restarted shows that it has crashed, and was not cut off.
        """
        runs = list(worker.runs.values())
        self.note_unresponsive(worker, runs)
        if restarted:
            self._confirm_all(worker.key)
        for run in runs:
            job = self._pool.find_job(run.task)
            if job is not None and not job.ended:
                self._check_limit(job, run.task, worker.key)

    def note_ended(self, worker: Worker) -> None:
        """Record and confirm a crash for all runs on a worker whose process has ended."""
        self.note_unresponsive(worker, list(worker.runs.values()))
        self._confirm_all(worker.key)

    def _confirm_all(self, key: WorkerKey) -> None:
        """Confirm the crash of a worker, and give up tasks that it convicts."""
        suspects = list(self._suspects.get(key, ()))
        for attempts in suspects:
            self._confirm(attempts, key)
        for attempts in suspects:
            job = self._pool.jobs.get(attempts.job)
            if job is not None and not job.ended:
                self._check_limit(job, Task(*attempts))

    def note_earlier_incarnation(self, job: Job, run: Run, key: WorkerKey) -> None:
        """Record a crash for an inherited run whose worker has restarted since it was recorded."""
        self._record(run, Crash(*key, run.number, 0, Suspicion.POSSIBLE))
        self._confirm(make_attempts(job, run.task), key)

    def note_answered(self, worker: Worker) -> None:
        """Withdraw the crash of a worker that answers after all."""
        self.withdraw(worker.key)
        self.rate.withdraw(worker.key)
        if worker.unresponsive_since >= 0:
            for run in worker.runs.values():
                run.crash_noted = False

    def withdraw(self, key: WorkerKey) -> None:
        """Withdraw a crash that did not happen, or that a task given up explains."""
        for attempts in self._suspects.pop(key, set()):
            self._drop_crash(attempts, key)

    def note_alive(self, run: Run) -> None:
        """Clear a task whose run has lived longer than those that ended in crashes.

        A member of a gang may wait for the one that crashes, so it has to live longer than any
        crash is attributed.
        """
        if not self.is_suspected(run.task):
            return
        job = self._pool.jobs[run.task.job]
        gang = job.spec.steps[run.task.step].gang
        crashed_ms = max(crash.age_ms for crash in job.list_crashes(run.task))
        required_ms = MAX_ATTRIBUTED_AGE_S * 1000 if gang else crashed_ms
        age_ms = (self._pool.now - run.start_sent_at) * 1000
        if age_ms > required_ms + SURVIVAL_MARGIN_MS:
            self.clear(job, run.task)

    def clear(self, job: Job, task: Task) -> None:
        """Clear a task of all crashes."""
        attempts = make_attempts(job, task)
        self._started_at.pop(attempts, None)
        for crash in list(job.list_crashes(task)):
            self._drop_suspect(crash.key, attempts)
            self._drop_crash(attempts, crash.key)

    # Decisions

    def _rate_run(self, worker: Worker, run: Run) -> Suspicion:
        """Rate how likely a run has caused the loss of its worker.

        Runs that had settled when the worker last existed for certain are no likely cause.
        """
        job = self._pool.find_job(run.task)
        if job is None or has_settled(run, worker.alive_at):
            return Suspicion.POSSIBLE
        own_runs = list(list_runs(job, make_attempts(job, run.task)))
        if self._is_mass_crash(worker, {own.worker for own in own_runs}):
            return Suspicion.POSSIBLE
        own = set(map(id, own_runs))
        others = [
            other for other in worker.runs.values() if other.start_sent and id(other) not in own
        ]
        if any(other.start_sent_at > run.start_sent_at + SAME_START_S for other in others):
            return Suspicion.POSSIBLE
        alive_at = max(worker.alive_at, run.start_sent_at)
        if all(self._is_harmless(other, alive_at) for other in others):
            return Suspicion.SOLE
        return Suspicion.LIKELY

    def _is_mass_crash(self, worker: Worker, explained: set[WorkerKey]) -> bool:
        """Tell whether others than the workers explained fell silent together with this one."""
        together = [
            other
            for other in self._pool.workers.values()
            if other.unresponsive_since >= 0
            and other.key not in explained
            and abs(other.unresponsive_since - worker.unresponsive_since) <= SAME_CRASH_S
        ]
        return len(together) + 1 >= MIN_MASS_CRASH

    def _is_harmless(self, run: Run, at: float) -> bool:
        return not run.inherited and has_settled(run, at) and not self.is_suspected(run.task)

    def _record(self, run: Run, crash: Crash) -> None:
        job = self._pool.find_job(run.task)
        if job is None or job.ended:
            return
        if not job.record_crash(run.task, crash):
            return
        attempts = make_attempts(job, run.task)
        self._add_suspect(crash.key, attempts)
        kept = MAX_CRASHES if job.is_lasting(run.task) else MAX_CRASHES_ENDING
        self._drop_oldest(job, run.task, attempts, kept)
        self._pool.recorder.mark_changed(job.id)
        logger.info(
            "worker crashed under a task",
            extra={
                **describe_run(run),
                "crashes": job.count_crashes(run.task),
                "suspicion": crash.suspicion.name,
            },
        )

    def _note_start(self, run: Run, started_at: float) -> None:
        job = self._pool.find_job(run.task)
        if job is not None and not job.ended:
            self._started_at[make_attempts(job, run.task)] = started_at

    def _drop_oldest(self, job: Job, task: Task, attempts: Attempts, count: int) -> None:
        """Drop the crashes of all runs of a task but the last ones."""
        crashes = job.list_crashes(task)
        kept = sorted({crash.run for crash in crashes})[-count:]
        for key in {crash.key for crash in crashes if crash.run < kept[0]}:
            self._drop_suspect(key, attempts)
            self._drop_crash(attempts, key)

    def _confirm(self, attempts: Attempts, key: WorkerKey) -> None:
        job = self._pool.jobs.get(attempts.job)
        if job is not None and job.confirm_crash(attempts[1:], key):
            self._pool.recorder.mark_changed(job.id)

    def _is_uncertain(self, job: Job, task: Task, crash: Crash) -> bool:
        """Tell whether the run that a worker may have crashed under may still exist there."""
        attempts = make_attempts(job, task)
        return any(run.worker == crash.key for run in list_runs(job, attempts))

    def _check_limit(self, job: Job, task: Task, lost: WorkerKey | None = None) -> None:
        """Give a task up if it is certain to crash its workers.

        The crashes of a task that lasts are no attempts of it, but may explain those of others.
        """
        certain = [
            crash
            for crash in job.list_crashes(task)
            if crash.confirmed or (crash.key == lost and not crash.started)
        ]
        convicted = self._convict(certain)
        if job.is_lasting(task):
            self._clear_others(make_attempts(job, task), certain if convicted else [])
        elif convicted:
            self._give_up(job, task, count_runs(certain))

    def _give_up(self, job: Job, task: Task, count: int) -> None:
        """Fail the job of a task, and clear others of the crashes that it explains."""
        explained = [crash.key for crash in job.list_crashes(task)]
        logger.warning(
            "task given up: it crashes workers",
            extra={
                "job": job.id,
                "task": list(task),
                "crashes": count,
                "workers": [key.id for key in explained],
            },
        )
        self._pool.counts["tasks_given_up"] += 1
        self._pool.fail_job(job)
        for key in explained:
            self.withdraw(key)
            self.rate.withdraw(key)

    def _clear_others(self, attempts: Attempts, crashes: list[Crash]) -> None:
        """Clear others of the crashes for which one alone is to blame."""
        for crash in crashes:
            if crash.suspicion is not Suspicion.SOLE:
                continue
            self.rate.withdraw(crash.key)
            for other in self._suspects.get(crash.key, set()) - {attempts}:
                self._drop_suspect(crash.key, other)
                self._drop_crash(other, crash.key)

    # Bookkeeping

    def _add_suspect(self, key: WorkerKey, attempts: Attempts) -> None:
        self._suspects.setdefault(key, set()).add(attempts)

    def _drop_suspect(self, key: WorkerKey, attempts: Attempts) -> None:
        found = self._suspects.get(key, set())
        found.discard(attempts)
        if not found:
            self._suspects.pop(key, None)

    def _drop_crash(self, attempts: Attempts, key: WorkerKey) -> None:
        job = self._pool.jobs.get(attempts.job)
        if job is not None and job.drop_crash(attempts[1:], key):
            self._pool.recorder.mark_changed(job.id)


def get_start_interval(crashes: int) -> float:
    """Return the least seconds between the starts of a task that lasts after some crashes."""
    if crashes < ISOLATED_CRASHES:
        return 0.0
    return min(MAX_START_INTERVAL_S, MIN_START_INTERVAL_S * 2.0 ** (crashes - ISOLATED_CRASHES))


def get_age_s(run: Run, at: float) -> float:
    """Return how long ago a worker had answered a start, or else was sent it; 0 if inherited."""
    began_at = run.answered_at if run.answered_at >= 0 else run.start_sent_at
    return 0.0 if run.inherited else max(0.0, at - began_at)


def has_settled(run: Run, at: float) -> bool:
    """Tell whether a run has been at work for `SETTLED_S`; of an inherited one none is known."""
    return run.inherited or at - run.start_sent_at >= SETTLED_S


def make_attempts(job: Job, task: Task) -> Attempts:
    """Return the identity of what is attempted with a task."""
    return Attempts(task.job, task.occurrence, task.step, job.get_attempt_key(task))


def list_crashes(job: Job) -> list[tuple[Attempts, list[Crash]]]:
    """Return the crashes recorded for a job."""
    return [
        (Attempts(job.id, *key, index), list(crashes))
        for key, step in job.steps.items()
        for index, crashes in step.progress.crashes.items()
    ]


def list_runs(job: Job, attempts: Attempts) -> Iterator[Run]:
    """Yield the runs of a task, or of all members of a gang."""
    state = job.get_step(attempts.occurrence, attempts.step)
    gang = job.spec.steps[attempts.step].gang
    for index, runs in state.active_runs.items():
        if gang or index == attempts.number:
            yield from runs
