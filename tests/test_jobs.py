"""Tests of accepting and cancelling jobs."""

import unittest

from lavenderstall.errors import Outcome
from lavenderstall.identifiers import JobId
from lavenderstall.records import make_job_key
from tests.cells import Cell, make_job, read_open


class AcceptTest(unittest.TestCase):
    """A job is accepted once, and one reported as not run never runs."""

    def test_acknowledgement_is_lost(self) -> None:
        # The writer reads the row back and answers, or dies and the caller's retry finds the job.
        for dies in (False, True):
            for lost in (1, 2):
                for delay in (0.0, 0.05, 0.3):
                    with self.subTest(dies=dies, lost=lost, delay=delay):
                        cell = Cell(entries=2, zones=1)
                        cell.run(3)
                        node = cell.list_ready()[0]
                        cell.table.faults.lose_next = lost
                        cell.table.faults.delay_s = delay
                        told = cell.submit(make_job("job", 4), node, retries=5)
                        if dies:
                            cell.run(delay / 2)
                            cell.kill(node)
                        cell.run(20)
                        self.assertIs(told.outcome, Outcome.DONE)
                        self.assertEqual(read_open(cell, "job"), [])
                        self.assertEqual(set(cell.checks.starts.values()), {1})

    def test_refused_retry_after_acceptance(self) -> None:
        # The first attempt is accepted, but its writer dies before the answer; the retry reaches
        # an instance that cannot accept jobs.
        for fault in ("down", "no summaries"):
            with self.subTest(fault=fault):
                cell = Cell(entries=2, zones=1)
                cell.run(3)
                one, other = cell.list_ready()
                cell.table.faults.delay_s = 0.2
                told = cell.submit(make_job("job", 4, run_ms=60_000), one, retries=1)
                cell.run(0.15)
                cell.kill(one)
                cell.table.faults.delay_s = 0.0
                if fault == "down":
                    cell.table.faults.down = True
                else:
                    other.entry.directory._summaries.clear()
                    other.entry._send_summaries = lambda: None
                cell.run(10)
                self.assertIsNotNone(cell.table._rows.get(make_job_key(JobId("job"))))
                cell.table.faults.down = False
                cell.run(10)
                self.assertIsNot(told.outcome, Outcome.NOT_RUN)

    def test_store_is_down(self) -> None:
        cell = Cell(entries=2, zones=2)
        cell.run(3)
        cell.table.faults.down = True
        calls = [cell.submit(make_job(f"job{n}")) for n in range(10)]
        cell.run(10)
        self.assertEqual({told.outcome for told in calls}, {Outcome.NOT_RUN})
        cell.table.faults.down = False
        cell.run(20)
        self.assertEqual(cell.checks.jobs_started, set())

    def test_outcome_is_not_known(self) -> None:
        # The store applies the write and goes down before it answers: accepted or unknown.
        cell = Cell(entries=2, zones=2)
        cell.run(3)
        cell.table.faults.delay_s = 4.0
        calls = [cell.submit(make_job(f"job{n}")) for n in range(10)]
        cell.run(3)
        cell.table.faults.down = True
        cell.run(10)
        cell.table.faults.down = False
        cell.table.faults.delay_s = 0.0
        cell.run(20)
        self.assertNotIn(None, {told.outcome for told in calls})
        self.assertEqual(len(cell.checks.jobs_started), 10)


class NeverTest(unittest.TestCase):
    """A job that fits no worker is refused at once."""

    def test_refused(self) -> None:
        cell = Cell(entries=1, zones=1)
        cell.run(3)
        big = make_job(
            "big", resources=cell.workers["z0w0"].shape.capacity.add(make_job("").resources)
        )
        told = cell.submit(big)
        cell.run(2)
        self.assertEqual((told.outcome, told.reason), (Outcome.NOT_RUN, "never_fits"))


if __name__ == "__main__":
    unittest.main()
