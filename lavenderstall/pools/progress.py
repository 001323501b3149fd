"""Durable progress of a job, in a form that grows with what is going on, not with what is done."""

from collections.abc import Iterator
from itertools import chain

import msgspec

from lavenderstall.decoding import UnreadableError
from lavenderstall.pools.crash_records import Crash
from lavenderstall.pools.ranges import are_ranges
from lavenderstall.pools.work import FINAL_STATES, JobSpec, JobState

MAX_DIGITS = 16
# More indexes of tasks than this take less room as bits.
MAX_LISTED = 16


class RecordedRuns(msgspec.Struct, frozen=True, array_like=True):
    """Runs that may exist on one worker, as pairs of a task's index and a run number."""

    worker: str
    incarnation: int
    runs: list[tuple[int, int]]


class RecordedLateStart(msgspec.Struct, frozen=True, array_like=True):
    """Copies of the start of a run that a next process of a worker may execute late."""

    worker: str
    index: int
    run: int
    copies: int


class StepProgress(msgspec.Struct, omit_defaults=True):
    """Durable progress of one step of one occurrence.

    `done` holds indexes of tasks, a row may have them as `done_bits`, and for a step that is
    `complete` it has none of them. `failures` maps an index to the runs that failed, and `crashes`
    to the crashes of workers that nothing explains, both with index 0 for a gang. `checkpoints`
    maps an index to run and checkpoint. `runs` lists every run that may exist, and `late` starts
    that may be executed late. `allowed` and `denied` list workers that advice allows or denies.
    `placed` holds indexes of tasks that last and have had a run, and a row may have them as
    `placed_bits`.
    """

    done: set[int] = set()
    failures: dict[int, list[int]] = {}
    checkpoints: dict[int, tuple[int, str]] = {}
    runs: list[RecordedRuns] = []
    allowed: set[str] = set()
    denied: set[str] = set()
    crashes: dict[int, list[Crash]] = {}
    done_bits: bytes = b""
    complete: bool = False
    placed: set[int] = set()
    placed_bits: bytes = b""
    late: list[RecordedLateStart] = []

    def make_row(self, count: int) -> "StepProgress":
        """Return the progress as recorded, of a step of so many tasks."""
        if len(self.done) >= count:
            return StepProgress(runs=self.runs, complete=True, late=self.late)
        row = self
        if len(self.done) > MAX_LISTED:
            row = msgspec.structs.replace(row, done=set(), done_bits=encode_indexes(self.done))
        if len(self.placed) > MAX_LISTED:
            bits = encode_indexes(self.placed)
            row = msgspec.structs.replace(row, placed=set(), placed_bits=bits)
        return row

    def read_row(self, count: int) -> "StepProgress":
        """Return the progress of a recorded step of so many tasks, with all indexes listed."""
        listed = {*self.done, *decode_indexes(self.done_bits)}
        return msgspec.structs.replace(
            self,
            done=set(range(count)) if self.complete else listed,
            done_bits=b"",
            complete=False,
            placed={*self.placed, *decode_indexes(self.placed_bits)},
            placed_bits=b"",
        )

    def iterate_tasks(self) -> Iterator[int]:
        """Yield the index of each task that the progress names, some more than once."""
        bits = chain(decode_indexes(self.done_bits), decode_indexes(self.placed_bits))
        return chain(self.done, self.placed, self.iterate_attempts(), bits)

    def iterate_attempts(self) -> Iterator[int]:
        """Yield the index of each task of which the progress names a run that isn't done."""
        runs = (index for recorded in self.runs for index, _ in recorded.runs)
        late = (start.index for start in self.late)
        return chain(self.failures, self.checkpoints, self.crashes, runs, late)

    def forget_attempts(self, index: int) -> None:
        """Forget what is needed only to run a task again."""
        for kept in (self.failures, self.checkpoints, self.crashes):
            kept.pop(index, None)


class JobProgress(msgspec.Struct, omit_defaults=True):
    """Durable progress of a job, with steps keyed by `occurrence.step`.

    Steps of `done_occurrences`, which are ranges, aren't kept. A row with `parts` has only the
    state, and the whole lies in so many rows beside it. It was recorded at `recorded_ms` on the
    store's clock.
    """

    state: str = JobState.QUEUED.value
    steps: dict[str, StepProgress] = {}
    done_occurrences: list[tuple[int, int]] = []
    parts: int = 0
    recorded_ms: float = 0.0

    def is_final(self) -> bool:
        """Tell whether the job has ended and no run of it may exist."""
        ended = JobState(self.state) in FINAL_STATES
        return ended and not self.parts and not any(step.runs for step in self.steps.values())


def encode_indexes(indexes: set[int]) -> bytes:
    """Return a bit for each index."""
    bits = sum(1 << index for index in indexes)
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def decode_indexes(data: bytes) -> Iterator[int]:
    """Yield the indexes whose bits are set."""
    bits = int.from_bytes(data, "little")
    return (index for index in range(bits.bit_length()) if bits >> index & 1)


def check_progress(progress: JobProgress | None, spec: JobSpec) -> None:
    """Raise `UnreadableError` if an occurrence, a step or a task isn't one of the job."""
    if progress is None:
        return
    if not are_ranges(progress.done_occurrences, spec.occurrences):
        raise UnreadableError("the done occurrences are none of the job")
    for key, found in progress.steps.items():
        occurrence, _, step = key.partition(".")
        if not (
            is_index(occurrence, spec.occurrences)
            and is_index(step, len(spec.steps))
            and key == f"{int(occurrence)}.{int(step)}"
        ):
            raise UnreadableError(f"{key[:20]!r} is no step of the job")
        count = spec.steps[int(step)].count
        if not all(0 <= index < count for index in found.iterate_tasks()):
            raise UnreadableError(f"step {key} has a task that is none of its {count}")


def is_index(text: str, count: int) -> bool:
    """Tell whether a text is a number from 0 below a count."""
    return len(text) <= MAX_DIGITS and text.isdecimal() and int(text) < count
