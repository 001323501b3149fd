"""State of one accepted job: its steps, runs, attempts and durable progress."""

from collections.abc import Callable, Iterator
from itertools import chain

import msgspec

from lavenderstall.decoding import UnreadableError
from lavenderstall.identifiers import JobId
from lavenderstall.pools.crash_records import Crash, confirm_crashes, count_runs, drop_crashes
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.work import (
    FINAL_STATES,
    EndCause,
    JobSpec,
    JobState,
    PoolName,
    Queue,
    StepKey,
    Task,
)

MAX_DIGITS = 10


class AcceptedJob(msgspec.Struct, tag="accepted", frozen=True, omit_defaults=True):
    """A stored job: what was submitted and when (Unix milliseconds).

    `queue` is its queue as it was configured then. The job stays in that queue's pool, whatever
    later configurations say of the queue.
    """

    id: JobId
    queue: Queue
    spec: JobSpec
    accepted_ms: int = 0

    @property
    def pool(self) -> PoolName:
        """Return the pool that the job was accepted for."""
        return self.queue.pool


class EndedJob(msgspec.Struct, tag="ended", frozen=True):
    """What is kept of a stored job that has ended, so that its ID names no other job."""

    id: JobId
    pool: PoolName


class RecordedRuns(msgspec.Struct, frozen=True, array_like=True):
    """Runs that may exist on one worker, as pairs of a task's index and a run number."""

    worker: str
    incarnation: int
    runs: list[tuple[int, int]]


class StepProgress(msgspec.Struct, omit_defaults=True):
    """Durable progress of one step of one occurrence.

    `done` holds indexes of tasks; `failures` maps an index to the runs that failed, and `crashes`
    to the crashes of workers that nothing explains, both with index 0 for a gang. `checkpoints`
    maps an index to run and checkpoint. `runs` lists every run that may exist. `allowed` and
    `denied` list workers that advice allows or denies.
    """

    done: set[int] = set()
    failures: dict[int, list[int]] = {}
    checkpoints: dict[int, tuple[int, str]] = {}
    runs: list[RecordedRuns] = []
    allowed: set[str] = set()
    denied: set[str] = set()
    crashes: dict[int, list[Crash]] = {}


class JobProgress(msgspec.Struct, omit_defaults=True):
    """Durable progress of a job, with steps keyed by `occurrence.step`."""

    state: str = JobState.QUEUED.value
    steps: dict[str, StepProgress] = {}

    def is_final(self) -> bool:
        """Tell whether the job has ended and no run of it may exist."""
        ended = JobState(self.state) in FINAL_STATES
        return ended and not any(step.runs for step in self.steps.values())


def check_progress(progress: JobProgress | None, spec: JobSpec) -> None:
    """Raise `UnreadableError` if a step or a task isn't one of the job."""
    for key, found in progress.steps.items() if progress else ():
        occurrence, _, step = key.partition(".")
        if not (
            is_index(occurrence, spec.occurrences)
            and is_index(step, len(spec.steps))
            and key == f"{int(occurrence)}.{int(step)}"
        ):
            raise UnreadableError(f"{key[:20]!r} is no step of the job")
        runs = (index for recorded in found.runs for index, _ in recorded.runs)
        named = (found.done, found.failures, found.checkpoints, found.crashes, runs)
        count = spec.steps[int(step)].count
        if not all(0 <= index < count for index in chain.from_iterable(named)):
            raise UnreadableError(f"step {key} has a task that is none of its {count}")


def is_index(text: str, count: int) -> bool:
    """Tell whether a text is a number from 0 below a count."""
    return len(text) <= MAX_DIGITS and text.isdecimal() and int(text) < count


class Run(msgspec.Struct, eq=False):
    """One execution of a task on a worker; times are in seconds of uptime.

    A run is `inherited` while it is known only from an earlier owner's record. Its start is sent
    once it is recorded; until then `start_sent` is false and `start_sent_at` is when it was placed.
    """

    task: Task
    number: int
    worker: WorkerKey
    start_sent_at: float
    start_sent: bool = True
    inherited: bool = False
    deadline_ms: float = 0.0
    confirmed_at: float = -1.0
    unanswered_at: float = -1.0
    stopping: bool = False
    stop_sent_at: float = -1.0
    percent: float = 0.0
    percent_changed_at: float = 0.0
    initial_percent: float = 0.0
    pace: int = 100
    checkpoint: str = ""
    load: float = 0.0
    reported_at: float = -1.0
    voided_at: float = -1.0
    # Whether the crash of its worker that lasts at present was recorded, even if cleared since.
    crash_noted: bool = False


class StepState:
    """State of the tasks of one step of one occurrence."""

    def __init__(self, step_key: StepKey, progress: StepProgress, count: int) -> None:
        self.step_key = step_key
        self.progress = progress
        self.active_runs: dict[int, list[Run]] = {}
        self.last_runs: dict[int, int] = {}
        self.waiting: set[int] = set(range(count)) - progress.done
        self.ready_at = -1.0
        self.failed_on: dict[int, set[str]] = {}
        self.moved: set[int] = set()
        self.preemptions: dict[int, int] = {}
        # Tasks that are to get a second, speculative run.
        self.copies: set[int] = set()
        self.wait_logged_at = -10.0


class Job:
    """Track the progress of one accepted job."""

    def __init__(self, row: AcceptedJob, submitted_at: float, progress: JobProgress | None) -> None:
        self.row = row
        self.id = row.id
        self.spec = row.spec
        self.submitted_at = submitted_at
        self.progress = progress or JobProgress()
        self.state = JobState(self.progress.state)
        self.steps: dict[tuple[int, int], StepState] = {}
        # Whether tasks were placed, and whether a worker is known to have started one.
        self.started = bool(self.progress.steps)
        self.begun = any(step.done or step.failures for step in self.progress.steps.values())
        self.durable_state = self.state
        # Number of changes of the crashes recorded for tasks, and of those that are durable.
        self.crash_changes = 0
        self.durable_crash_changes = 0
        self.cancelling = self.state is JobState.CANCELLED
        for key, progress_row in self.progress.steps.items():
            occurrence, _, step = key.partition(".")
            self._make_step(int(occurrence), int(step), progress_row)

    @property
    def ended(self) -> bool:
        """Tell whether no task of the job may start any more."""
        return self.cancelling or self.state in FINAL_STATES

    def has_task(self, task: Task) -> bool:
        """Tell whether a task is one of the job."""
        return (
            0 <= task.occurrence < self.spec.occurrences
            and 0 <= task.step < len(self.spec.steps)
            and 0 <= task.number < self.spec.steps[task.step].count
        )

    def get_step(self, occurrence: int, step: int) -> StepState:
        """Return the state of a step, created on first use."""
        found = self.steps.get((occurrence, step))
        return found or self._make_step(occurrence, step, None)

    def _make_step(self, occurrence: int, step: int, found: StepProgress | None) -> StepState:
        key = f"{occurrence}.{step}"
        progress = found or self.progress.steps.get(key) or StepProgress()
        self.progress.steps[key] = progress
        step_key = StepKey(self.id, occurrence, step)
        state = StepState(step_key, progress, self.spec.steps[step].count)
        self.steps[occurrence, step] = state
        return state

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step are done."""
        progress = self.progress.steps.get(f"{occurrence}.{step}")
        return progress is not None and len(progress.done) >= self.spec.steps[step].count

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Tell whether all dependencies of a step are done."""
        return all(
            self.is_step_done(occurrence, earlier) for earlier in self.spec.steps[step].after
        )

    def list_due_occurrences(self, unix_ms: float) -> Iterator[int]:
        """Yield the occurrences whose start time has passed."""
        repeat = self.spec.repeat
        if repeat is None:
            yield 0
            return
        for number in range(repeat.count):
            if repeat.start_ms + number * repeat.interval_ms > unix_ms:
                return
            yield number

    def list_runs(self) -> list[Run]:
        """Return all runs that have not ended."""
        return [
            run
            for step in self.steps.values()
            for runs in step.active_runs.values()
            for run in runs
        ]

    def add_run(self, run: Run) -> None:
        """Add a run that was placed, inherited or found on a worker."""
        step = self.get_step(run.task.occurrence, run.task.step)
        step.active_runs.setdefault(run.task.number, []).append(run)
        self._note_run_number(step, run.task, run.number)
        step.waiting.discard(run.task.number)
        step.copies.discard(run.task.number)
        self.started = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    def get_attempt_key(self, task: Task) -> int:
        """Return the index of a task's attempts; the members of a gang share one."""
        return 0 if self.spec.steps[task.step].gang else task.number

    def _note_run_number(self, step: StepState, task: Task, number: int) -> None:
        key = self.get_attempt_key(task)
        step.last_runs[key] = max(step.last_runs.get(key, 0), number)

    def get_last_run(self, task: Task) -> int:
        """Return the highest run number of a task, or of its gang."""
        step = self.get_step(task.occurrence, task.step)
        return step.last_runs.get(self.get_attempt_key(task), 0)

    def end_run(self, task: Task, number: int, cause: EndCause, queue: Queue) -> bool:
        """Apply the end of a run, idempotently, and tell whether durable progress changed."""
        spec = self.spec.steps[task.step]
        step = self.get_step(task.occurrence, task.step)
        self._drop_run(step, task.number, number)
        self._note_run_number(step, task, number)
        changed = False
        if cause is EndCause.DONE and not spec.long_running:
            changed = self._note_done(step, task.number, gang=spec.gang, count=spec.count)
        elif cause is EndCause.FAILED and not spec.long_running:
            changed = self._note_failure(step, task.number, number, gang=spec.gang)
            self._check_max_attempts(step, task.number, queue, gang=spec.gang)
        if (
            not spec.gang
            and task.number not in step.progress.done
            and not step.active_runs.get(task.number)
        ):
            step.waiting.add(task.number)
        if spec.gang and not any(step.active_runs.values()) and not step.progress.done:
            step.waiting = set(range(spec.count))
        self._check_completed()
        return changed

    def _drop_run(self, step: StepState, index: int, number: int) -> None:
        runs = [run for run in step.active_runs.get(index, []) if run.number != number]
        if runs:
            step.active_runs[index] = runs
        else:
            step.active_runs.pop(index, None)

    def _note_done(self, step: StepState, index: int, *, gang: bool, count: int) -> bool:
        before = len(step.progress.done)
        step.progress.done |= set(range(count)) if gang else {index}
        step.waiting -= step.progress.done
        return len(step.progress.done) > before

    def _note_failure(self, step: StepState, index: int, number: int, *, gang: bool) -> bool:
        runs = step.progress.failures.setdefault(0 if gang else index, [])
        if number in runs:
            return False
        runs.append(number)
        return True

    def _check_max_attempts(self, step: StepState, index: int, queue: Queue, *, gang: bool) -> None:
        if index in step.progress.done or self.state in FINAL_STATES:
            return
        runs = step.progress.failures.get(0 if gang else index, [])
        if len(runs) >= queue.max_attempts:
            self.state = JobState.FAILED

    def _check_completed(self) -> None:
        if self.state in FINAL_STATES or self.cancelling:
            return
        if any(step.long_running for step in self.spec.steps):
            return
        if all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.spec.occurrences)
            for step in range(len(self.spec.steps))
        ):
            self.state = JobState.COMPLETED

    def record_checkpoint(self, task: Task, number: int, checkpoint: str) -> None:
        """Record the checkpoint of a task, or of its gang, unless a later run has saved one."""
        if not checkpoint:
            return
        key = self.get_attempt_key(task)
        kept = self.get_step(task.occurrence, task.step).progress.checkpoints
        if key not in kept or kept[key][0] <= number:
            kept[key] = (number, checkpoint)

    def get_checkpoint(self, task: Task) -> str:
        """Return the checkpoint that the next run of a task resumes from, or an empty string."""
        key = self.get_attempt_key(task)
        found = self.get_step(task.occurrence, task.step).progress.checkpoints.get(key)
        return found[1] if found else ""

    def list_crashes(self, task: Task) -> list[Crash]:
        """Return the crashes of workers under a task, or under its gang."""
        step = self.steps.get((task.occurrence, task.step))
        return step.progress.crashes.get(self.get_attempt_key(task), []) if step else []

    def count_crashes(self, task: Task) -> int:
        """Return how many runs of a task, or of its gang, have ended in a crash."""
        return count_runs(self.list_crashes(task))

    def record_crash(self, task: Task, crash: Crash) -> bool:
        """Record a crash under a run, and tell whether it is new."""
        kept = self.get_step(task.occurrence, task.step).progress.crashes
        crashes = kept.setdefault(self.get_attempt_key(task), [])
        if any((each.key, each.run) == (crash.key, crash.run) for each in crashes):
            return False
        crashes.append(crash)
        self.crash_changes += 1
        return True

    def confirm_crash(self, attempts: tuple[int, int, int], key: WorkerKey) -> bool:
        """Confirm the crash of a worker under a task, and tell whether that is new.

        `attempts` are the occurrence, the step and the index, for `drop_crash` too.
        """
        return self._replace_crashes(attempts, lambda crashes: confirm_crashes(crashes, key))

    def drop_crash(self, attempts: tuple[int, int, int], key: WorkerKey) -> bool:
        """Drop the crash of a worker from a task, and tell whether it was recorded."""
        return self._replace_crashes(attempts, lambda crashes: drop_crashes(crashes, key))

    def _replace_crashes(
        self, attempts: tuple[int, int, int], change: Callable[[list[Crash]], list[Crash]]
    ) -> bool:
        occurrence, step, index = attempts
        kept = self.get_step(occurrence, step).progress.crashes
        before = kept.pop(index, [])
        after = change(before)
        if after:
            kept[index] = after
        return after != before

    def has_durable_crashes(self) -> bool:
        """Tell whether all crashes recorded for the job's tasks are durable."""
        return self.durable_crash_changes == self.crash_changes

    def fail(self) -> None:
        """Fail the job, so that no task starts any more."""
        if self.state not in FINAL_STATES:
            self.state = JobState.FAILED

    def cancel(self) -> None:
        """Cancel the job, so that no task starts any more."""
        self.cancelling = True
        if self.state not in FINAL_STATES:
            self.state = JobState.CANCELLED

    def make_progress(self) -> JobProgress:
        """Return the durable progress with the current state and runs.

        For a job that has ended and has no runs left, it holds only the state.
        """
        self.progress.state = self.state.value
        if self.ended and not self.list_runs():
            return JobProgress(self.state.value)
        for step in self.steps.values():
            found: dict[WorkerKey, list[tuple[int, int]]] = {}
            for run in chain.from_iterable(step.active_runs.values()):
                found.setdefault(run.worker, []).append((run.task.number, run.number))
            step.progress.runs = [RecordedRuns(*key, runs) for key, runs in found.items()]
        return self.progress

    def list_recorded_runs(self) -> list[Run]:
        """Return the runs that an earlier owner has recorded."""
        return [
            Run(
                Task(self.id, *key, index),
                number,
                WorkerKey(recorded.worker, recorded.incarnation),
                self.submitted_at,
                inherited=True,
            )
            for key, step in self.steps.items()
            for recorded in step.progress.runs
            for index, number in recorded.runs
        ]


def describe_run(run: Run) -> dict[str, object]:
    """Return the fields that identify a run in a log line."""
    return {
        "job": run.task.job,
        "task": list(run.task),
        "run": run.number,
        "worker": run.worker.id,
    }
