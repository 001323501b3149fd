"""Tests of the log of reasons."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.reasons import Alternative, Reason, ReasonLog, Record
from lavenderstall.resources import Resources


def make_record(at: float, task: str = "t", worker: str = "w") -> Record:
    """Return a record about one task on one worker."""
    return Record(at, "placed", Reason("rule"), (task,), "job", (worker,), "request")


class ReasonLogTest(unittest.TestCase):
    """Guards against a log that grows without bound or is not indexed by a subject."""

    def test_lookup_by_each_subject(self) -> None:
        log = ReasonLog()
        record = make_record(1.0)
        log.add(record)
        for found in (
            log.find_by_task("t"),
            log.find_by_job("job"),
            log.find_by_worker("w"),
            log.find_by_request("request"),
        ):
            self.assertEqual(found, (record,))
        self.assertEqual(log.find_by_task("job"), ())

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"))), st.integers(1, 5))
    def test_latest_records_are_kept(self, draws: list[tuple[str, str]], size: int) -> None:
        log = ReasonLog(size)
        records = [make_record(float(at), *draw) for at, draw in enumerate(draws)]
        for record in records:
            log.add(record)
        kept = records[-size:]
        self.assertEqual((len(log), log.dropped), (len(kept), len(records) - len(kept)))
        for task in "abc":
            expected = tuple(record for record in kept if record.tasks == (task,))
            self.assertEqual(log.find_by_task(task), expected)

    def test_alternative_states_its_shortage(self) -> None:
        text = Alternative("w", shortage=Resources(2000, 5), tasks=3).explanation
        self.assertEqual(text, "short of cores_milli by 2000, memory_mb by 5; tasks there: 3")

    def test_bound(self) -> None:
        """The log and each index keep only the latest records."""
        cases = (("below", 10, 10, 4), ("at once", 3, 3, 9), ("limited later", 10, 2, 9))
        for name, first, later, added in cases:
            with self.subTest(name):
                log = ReasonLog(first)
                for number in range(added):
                    log.add(make_record(float(number), f"j.{number}"))
                log.set_capacity(later)
                kept = [float(number) for number in range(added)][-later:]
                self.assertEqual(len(log), len(kept))
                self.assertEqual([r.at for r in log.find_by_job("job")], kept)
                self.assertEqual([r.at for r in log.find_by_worker("w")], kept)
                found = [r.at for n in range(added) for r in log.find_by_task(f"j.{n}")]
                self.assertEqual(found, kept)
                log.set_capacity(0)
                self.assertEqual(log.find_by_job("job"), ())
