"""Tests of the records of decisions."""

import unittest

from lavenderstall.identifiers import JobId, TaskId, WorkerId
from lavenderstall.reasons import Reason, ReasonLog, Record


def make_record(number: int) -> Record:
    """Return a record about a task of its own and a common job and worker."""
    task = TaskId(f"j.{number}")
    return Record(float(number), "placed", Reason("rule"), (task,), JobId("j"), (WorkerId("w"),))


class ReasonLogTest(unittest.TestCase):
    """Guards against records that are kept without bound or lost too early."""

    def test_bound(self) -> None:
        """Only the latest records may be kept, in each index too."""
        cases = (("below", 10, 10, 4), ("at once", 3, 3, 9), ("limited later", 10, 2, 9))
        for name, first, later, added in cases:
            with self.subTest(name):
                log = ReasonLog(first)
                for number in range(added):
                    log.add(make_record(number))
                log.limit(later)
                kept = [float(number) for number in range(added)][-later:]
                self.assertEqual(len(log), len(kept))
                self.assertEqual([r.at for r in log.find_job(JobId("j"))], kept)
                self.assertEqual([r.at for r in log.find_worker(WorkerId("w"))], kept)
                found = [r.at for n in range(added) for r in log.find_task(TaskId(f"j.{n}"))]
                self.assertEqual(found, kept)
                log.limit(0)
                self.assertEqual(log.find_job(JobId("j")), ())


if __name__ == "__main__":
    unittest.main()
