"""Tests of decoding rows that anybody may have written."""

import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstall.decoding import UnreadableError
from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.pools.progress import JobProgress, RecordedRuns, StepProgress, check_progress
from lavenderstall.pools.records import (
    EntryRecord,
    OwnerRow,
    RosterRow,
    decode_entry,
    decode_job,
    decode_owner,
    decode_progress,
    decode_roster,
    encode,
)
from tests.pools.builders import Bench, make_entry, make_job, make_step

FIRST = make_entry("w1")
SOUND_JOB = make_job(make_step(2, checkpointing=True), make_step(2, after=(0,), gang=True))
SOUND_PROGRESS = JobProgress(
    "running",
    {
        "0.0": StepProgress(
            done={0},
            failures={1: [3]},
            checkpoints={1: (3, "c")},
            runs=[RecordedRuns("w1", 1, [(1, 4)])],
            allowed={"w1"},
            placed={1},
        )
    },
)


def make_changes(sound: bytes) -> st.SearchStrategy[bytes]:
    """Return the value of a sound row of which some bytes are others."""
    positions = st.integers(0, len(sound) - 1)
    changes = st.dictionaries(positions, st.integers(0, 255), min_size=1, max_size=3)
    return changes.map(
        lambda found: bytes(found.get(index, byte) for index, byte in enumerate(sound))
    )


def try_decode(decode: Callable[[bytes], Any], value: bytes) -> Any:
    """Return what a decoder finds, or none if it finds the value unreadable."""
    try:
        return decode(value)
    except UnreadableError:
        return None


class DecodingTest(unittest.TestCase):
    """Rows of any content, and sound rows with some bytes changed."""

    SOUND: tuple[tuple[Callable[[bytes], Any], Any], ...] = (
        (decode_job, SOUND_JOB),
        (decode_progress, SOUND_PROGRESS),
        (decode_owner, OwnerRow(EntryId("e1"), Incarnation("i"), 3, 5.0)),
        (decode_roster, RosterRow([FIRST])),
        (
            lambda value: decode_entry("e1", value),
            EntryRecord(EntryId("e1"), Incarnation("i"), "z", "tcp://e1:1"),
        ),
    )

    def test_sound_rows_are_read(self) -> None:
        for decode, row in self.SOUND:
            with self.subTest(row=type(row).__name__):
                self.assertEqual(decode(encode(row)), row)
        check_progress(SOUND_PROGRESS, SOUND_JOB.spec)

    @given(st.data())
    @settings(max_examples=200, deadline=None)
    def test_any_row_is_read_or_unreadable(self, data: st.DataObject) -> None:
        """Fails if a row raises an error that its reader doesn't expect."""
        for decode, row in self.SOUND:
            value = data.draw(st.one_of(st.binary(max_size=40), make_changes(encode(row))))
            try_decode(decode, value)

    @given(make_changes(encode(SOUND_JOB)), make_changes(encode(SOUND_PROGRESS)), st.booleans())
    @settings(max_examples=300, deadline=None)
    def test_a_job_that_is_read_can_be_placed(
        self, job_value: bytes, progress_value: bytes, inherited: bool
    ) -> None:
        """Fails if a row that was read ends the dispatch of its pool, for all other jobs too."""
        job = try_decode(decode_job, job_value) or SOUND_JOB
        progress = try_decode(decode_progress, progress_value)
        try:
            check_progress(progress, job.spec)
        except UnreadableError:
            progress = None
        bench = Bench(FIRST)
        bench.pool.add_job(job, progress, inherited=inherited)
        other = make_job(make_step(), job=JobId("00000000000000ff"))
        bench.pool.add_job(other)
        for _ in range(3):
            bench.start()
            bench.advance(1.0)
            bench.poll(FIRST)
        bench.record()


if __name__ == "__main__":
    unittest.main()
