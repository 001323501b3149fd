"""State of one accepted job: its steps, runs, attempts and durable progress."""

from collections.abc import Callable
from itertools import chain
from typing import NamedTuple

import msgspec

from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.pools.crash_records import Crash, confirm_crashes, count_runs, drop_crashes
from lavenderstall.pools.effects import StartRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.occurrences import Occurrences
from lavenderstall.pools.progress import (
    JobProgress,
    RecordedLateStart,
    RecordedRuns,
    StepProgress,
)
from lavenderstall.pools.ranges import RangeSet
from lavenderstall.pools.running_totals import RunGroup, RunningTotals
from lavenderstall.pools.team_usage import TeamUsage
from lavenderstall.pools.teams import NO_TEAM
from lavenderstall.pools.work import (
    FINAL_STATES,
    EndCause,
    JobSpec,
    JobState,
    PoolName,
    Queue,
    Step,
    StepKey,
    Task,
)

# A job starts no further tasks while its progress takes this much, until others are done.
MAX_PROGRESS_BYTES = 400 * 1024
# Room that a task which has started takes at most, unless its checkpoint is a long one.
STARTED_TASK_BYTES = 80


class AcceptedJob(msgspec.Struct, tag="accepted", frozen=True, omit_defaults=True):
    """A stored job: what was submitted, by which team, and when (Unix milliseconds).

    `queue` is its queue as it was configured then. The job stays in that queue's pool, whatever
    later configurations say of the queue.
    """

    id: JobId
    queue: Queue
    spec: JobSpec
    accepted_ms: int = 0
    team: TeamName = NO_TEAM

    @property
    def pool(self) -> PoolName:
        """Return the pool that the job was accepted for."""
        return self.queue.pool


class EndedJob(msgspec.Struct, tag="ended", frozen=True):
    """What is kept of a stored job that has ended, so that its ID names no other job."""

    id: JobId
    pool: PoolName


class Copies(NamedTuple):
    """Starts of one run of which it is unknown whether the worker has executed them.

    The last one was sent at `sent_at` seconds of uptime.
    """

    left: int = 0
    sent_at: float = -1.0

    def without_one(self) -> "Copies":
        """Return those that are left once the worker has executed one."""
        return Copies(max(0, self.left - 1), self.sent_at)


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
    # When the worker is known to have begun the run, and when it has answered the start.
    confirmed_at: float = -1.0
    answered_at: float = -1.0
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
    # The worker takes all copies of a start for one, but its next process may execute any of them.
    copies: Copies = Copies()
    # Whether the start went ahead of its record, and no row is known to name the run yet.
    unrecorded: bool = False
    # Whether the start carries a ticket, without which no next process of the worker executes it.
    ticketed: bool = False
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

    def may_run(self) -> bool:
        """Tell whether a task runs, or may be started late."""
        return bool(self.active_runs or self.progress.late)


class Job:
    """Track the progress of one accepted job."""

    def __init__(
        self,
        row: AcceptedJob,
        submitted_at: float,
        progress: JobProgress | None,
        team_usage: TeamUsage | None = None,
        running_totals: RunningTotals | None = None,
    ) -> None:
        self.row = row
        self._team_usage = TeamUsage() if team_usage is None else team_usage
        self._running_totals = RunningTotals() if running_totals is None else running_totals
        self.id = row.id
        self.spec = row.spec
        self.submitted_at = submitted_at
        self.progress = progress or JobProgress()
        self.state = JobState(self.progress.state)
        self.steps: dict[tuple[int, int], StepState] = {}
        done = RangeSet(self.progress.done_occurrences)
        self.occurrences = Occurrences(self.spec.repeat, done)
        # Occurrences that are done and whose steps are still kept.
        self._obsolete: set[int] = set()
        # Steps of which starts that may be executed late are recorded.
        self._late_steps: set[tuple[int, int]] = set()
        self.lasts = any(step.long_running for step in self.spec.steps)
        # Runs that have not ended.
        self.run_count = 0
        # Whether tasks were placed, and whether a worker is known to have started one.
        self.started = bool(self.progress.steps or done)
        self.begun = bool(done) or any(
            step.done or step.done_bits or step.complete or step.failures
            for step in self.progress.steps.values()
        )
        # What the recorded progress leaves out if it can't be recorded otherwise.
        self.omits_checkpoints = False
        self.records_state_only = False
        # Size of the recorded progress, and the tasks that have started first since.
        self.progress_bytes = len(msgspec.msgpack.encode(progress)) if progress else 0
        self._unrecorded_starts = 0
        # Whether no earlier owner of the pool can have known of the job.
        self.unknown_earlier = False
        self.durable_state = self.state
        # Number of changes of the crashes recorded for tasks, and of those that are durable.
        self.crash_changes = 0
        self.durable_crash_changes = 0
        self.cancelling = self.state is JobState.CANCELLED
        for key, progress_row in list(self.progress.steps.items()):
            occurrence, _, step = key.partition(".")
            count = self.spec.steps[int(step)].count
            self._make_step(int(occurrence), int(step), progress_row.read_row(count))
            if progress_row.late:
                self._late_steps.add((int(occurrence), int(step)))
        for number in {occurrence for occurrence, _ in self.steps}:
            self._note_occurrence(number)

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

    def is_task_done(self, task: Task) -> bool:
        """Tell whether a task is known to be done."""
        if self.occurrences.is_done(task.occurrence):
            return True
        progress = self.progress.steps.get(f"{task.occurrence}.{task.step}")
        return progress is not None and task.number in progress.done

    def get_step(self, occurrence: int, step: int) -> StepState:
        """Return the state of a step, created on first use."""
        found = self.steps.get((occurrence, step))
        return found or self._make_step(occurrence, step, None)

    def _make_step(self, occurrence: int, step: int, found: StepProgress | None) -> StepState:
        key = f"{occurrence}.{step}"
        count = self.spec.steps[step].count
        progress = found or self.progress.steps.get(key) or StepProgress()
        if self.occurrences.is_done(occurrence):
            progress.done = set(range(count))
            self._obsolete.add(occurrence)
        self.occurrences.note_open(occurrence)
        self.progress.steps[key] = progress
        step_key = StepKey(self.id, occurrence, step)
        state = StepState(step_key, progress, count)
        self.steps[occurrence, step] = state
        return state

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step are done."""
        if self.occurrences.is_done(occurrence):
            return True
        progress = self.progress.steps.get(f"{occurrence}.{step}")
        return progress is not None and len(progress.done) >= self.spec.steps[step].count

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Tell whether all dependencies of a step are done."""
        return all(
            self.is_step_done(occurrence, earlier) for earlier in self.spec.steps[step].after
        )

    def count_open_tasks(self) -> int:
        """Return the tasks of the occurrences that are open; a job that runs once has none."""
        if self.spec.repeat is None:
            return 0
        return self.occurrences.count_open() * sum(step.count for step in self.spec.steps)

    def get_due_at(self, occurrence: int) -> float:
        """Return when an occurrence was due, in seconds of uptime."""
        if self.spec.repeat is None:
            return self.submitted_at
        due_ms = self.occurrences.get_due_ms(occurrence)
        return self.submitted_at + (due_ms - self.row.accepted_ms) / 1000

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
        self.run_count += 1
        declared = self.spec.steps[run.task.step]
        self._team_usage.add(self.row.team, declared.need)
        self._running_totals.add(self._get_run_group(declared), declared.allocation)
        self._unrecorded_starts += 1
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
        if self.is_lasting(task):
            step.progress.placed.add(task.number)

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
        self._note_occurrence(task.occurrence)
        self._check_completed()
        return changed

    def _note_occurrence(self, occurrence: int) -> None:
        """Note whether all steps of an occurrence are done."""
        if all(self.is_step_done(occurrence, step) for step in range(len(self.spec.steps))):
            self.occurrences.note_done(occurrence)
            self._obsolete.add(occurrence)

    def set_late_starts(self, found: dict[tuple[int, int], list[RecordedLateStart]]) -> None:
        """Set the starts to record by step; steps that are not named have none."""
        for key in self._late_steps - found.keys():
            if key in self.steps:
                self.steps[key].progress.late = []
        for key, late in found.items():
            self.get_step(*key).progress.late = late
        self._late_steps = set(found)

    def drop_done_occurrences(self) -> list[StepKey]:
        """Drop the steps of repeated occurrences that are done and can't run; return them."""
        if self.spec.repeat is None:
            return []
        dropped: list[StepKey] = []
        for occurrence in list(self._obsolete):
            keys = [(occurrence, number) for number in range(len(self.spec.steps))]
            found = [key for key in keys if key in self.steps]
            if any(self.steps[key].may_run() for key in found):
                continue
            self._obsolete.discard(occurrence)
            for key in found:
                del self.steps[key]
                del self.progress.steps[f"{key[0]}.{key[1]}"]
            dropped += [StepKey(self.id, *key) for key in found]
        return dropped

    def _drop_run(self, step: StepState, index: int, number: int) -> None:
        before = step.active_runs.get(index, [])
        runs = [run for run in before if run.number != number]
        self.run_count -= len(before) - len(runs)
        declared = self.spec.steps[step.step_key.step]
        for _ in range(len(before) - len(runs)):
            self._team_usage.subtract(self.row.team, declared.need)
            self._running_totals.subtract(self._get_run_group(declared), declared.allocation)
        if runs:
            step.active_runs[index] = runs
        else:
            step.active_runs.pop(index, None)

    def _get_run_group(self, declared: Step) -> RunGroup:
        return RunGroup(self.row.queue.name, self.row.team, declared.long_running)

    def _note_done(self, step: StepState, index: int, *, gang: bool, count: int) -> bool:
        before = len(step.progress.done)
        step.progress.done |= set(range(count)) if gang else {index}
        step.progress.forget_attempts(0 if gang else index)
        step.waiting -= step.progress.done
        return len(step.progress.done) > before

    def _note_failure(self, step: StepState, index: int, number: int, *, gang: bool) -> bool:
        if index in step.progress.done:
            return False
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
        if not self.lasts and self.occurrences.are_done():
            self.state = JobState.COMPLETED

    def record_checkpoint(self, task: Task, number: int, checkpoint: str) -> None:
        """Record the checkpoint of a task, or of its gang, unless a later run has saved one."""
        if not checkpoint:
            return
        key = self.get_attempt_key(task)
        progress = self.get_step(task.occurrence, task.step).progress
        if key in progress.done:
            return
        kept = progress.checkpoints
        if key not in kept or kept[key][0] <= number:
            kept[key] = (number, checkpoint)

    def get_checkpoint(self, task: Task) -> str:
        """Return the checkpoint that the next run of a task resumes from, or an empty string."""
        key = self.get_attempt_key(task)
        found = self.get_step(task.occurrence, task.step).progress.checkpoints.get(key)
        return found[1] if found else ""

    def is_lasting(self, task: Task) -> bool:
        """Tell whether a task runs until its job is cancelled."""
        return self.spec.steps[task.step].long_running

    def has_lasted(self, task: Task) -> bool:
        """Tell whether a task that lasts has had a run, under this owner or an earlier one."""
        return task.number in self.get_step(task.occurrence, task.step).progress.placed

    def list_crashes(self, task: Task) -> list[Crash]:
        """Return the crashes of workers under a task, or under its gang."""
        step = self.steps.get((task.occurrence, task.step))
        return step.progress.crashes.get(self.get_attempt_key(task), []) if step else []

    def count_crashes(self, task: Task) -> int:
        """Return how many runs of a task, or of its gang, have ended in a crash."""
        return count_runs(self.list_crashes(task))

    def record_crash(self, task: Task, crash: Crash) -> bool:
        """Record a crash under a run, and tell whether it is new."""
        progress = self.get_step(task.occurrence, task.step).progress
        if task.number in progress.done:
            return False
        kept = progress.crashes
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

        For a job that has ended and has no runs left, it holds only the state and late starts.
        """
        if self.records_state_only or (self.ended and not self.list_runs()):
            late = {
                f"{occurrence}.{number}": StepProgress(late=step.progress.late)
                for (occurrence, number), step in self.steps.items()
                if step.progress.late
            }
            return JobProgress(self.state.value, late)
        steps: dict[str, StepProgress] = {}
        for (occurrence, number), step in self.steps.items():
            found: dict[WorkerKey, list[tuple[int, int]]] = {}
            for run in chain.from_iterable(step.active_runs.values()):
                found.setdefault(run.worker, []).append((run.task.number, run.number))
            step.progress.runs = [RecordedRuns(*key, runs) for key, runs in found.items()]
            row = step.progress.make_row(self.spec.steps[number].count)
            if self.omits_checkpoints:
                row = msgspec.structs.replace(row, checkpoints={}, allowed=set(), denied=set())
            if row != StepProgress():
                steps[f"{occurrence}.{number}"] = row
        return JobProgress(self.state.value, steps, self.occurrences.list_done())

    def note_progress_size(self, size: int) -> None:
        """Note how many bytes the progress takes that is being recorded."""
        self.progress_bytes = size
        self._unrecorded_starts = 0

    def get_start_allowance(self) -> int:
        """Return how many tasks may start that haven't before, so that the progress fits.

        A task that has started before may start again, as it takes little more room.
        """
        room = MAX_PROGRESS_BYTES - self.progress_bytes
        return max(0, room // STARTED_TASK_BYTES - self._unrecorded_starts)

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


def describe_run(run: Run | StartRun) -> dict[str, object]:
    """Return the fields that identify a run, or the start of one, in a log line."""
    return {
        "job": run.task.job,
        "task": list(run.task),
        "run": run.number,
        "worker": run.worker.id,
    }
