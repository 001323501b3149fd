"""Tests of the reconciliation of jobs with declarations."""

import unittest

import msgspec

from lavenderstall.changes import ItemKey, VersionConflictError
from lavenderstall.configuration import ChangeResult
from lavenderstall.errors import Outcome
from lavenderstall.protocol import Put, Transaction
from lavenderstall.schemas import Service
from tests.cells import SMALL, TEAM, Cell, make_job, read_open
from tests.oddities import DEEP_LISTS

JOB = "declared.echo"


def make_service(replicas: int) -> Service:
    """Return the declaration of a service."""
    return Service("echo", TEAM, "pool", replicas, SMALL)


class ServiceTest(unittest.TestCase):
    """Guards against replica counts that differ from the declaration."""

    def test_replicas_follow_changes(self) -> None:
        # Removed replicas must come back when they are declared again.
        cell = Cell(entries=2, zones=2, workers=3)
        cell.run(4)
        for replicas in (4, 1, 6, 0, 3, 5, 2, 0, 1, 8):
            with self.subTest(replicas=replicas):
                cell.declare_service(replicas)
                cell.run(8)
                self.assertEqual(len(cell.find_runs(JOB)), replicas)

    def test_changes_in_quick_succession(self) -> None:
        # Each change comes while replicas of the one before still start or stop.
        cell = Cell(entries=2, zones=2, workers=3, stop_s=1.0)
        cell.run(4)
        for replicas in (6, 2, 7, 0, 5, 1, 4):
            cell.declare_service(replicas)
            cell.run(0.7)
        cell.run(12)
        self.assertEqual(len(cell.find_runs(JOB)), 4)

    def test_writer_is_killed(self) -> None:
        # The instance that writes the job is killed at some point; another one must finish.
        for delay in (0.0, 0.3, 0.6, 0.9, 1.2):
            with self.subTest(delay=delay):
                cell = Cell(entries=3, zones=1)
                cell.run(4)
                cell.declare_service(3)
                cell.table.faults.lose_next = 2
                cell.run(delay)
                for node in cell.list_ready()[:2]:
                    cell.kill(node)
                self.assertTrue(
                    cell.run(12, until=lambda: len(cell.find_runs(JOB)) == 3)  # noqa: B023
                )
                cell.run(5)
                self.assertEqual(len(cell.find_runs(JOB)), 3)


class UnreadableTest(unittest.TestCase):
    """Declarations that can't be read."""

    def test_unreadable_declaration_is_not_taken_for_a_removed_one(self) -> None:
        """Fails if a new instance stops a service because it can't read its declaration."""
        cell = Cell(entries=1, zones=1)
        cell.run(4)
        cell.declare_service(2)
        cell.declare_service(1, "other")
        cell.run(6)
        put = Put("config/service/echo", msgspec.Raw(b'{"odd":' + DEEP_LISTS + b"}"))
        cell.table.commit(Transaction(puts=[put]))
        cell.kill(cell.list_ready()[0])
        cell.start(cell.zones[0])
        with self.assertLogs("lavenderstall.set_aside"):
            cell.run(12)
        cell.declare_service(2, "other")
        cell.run(8)
        found = [len(cell.find_runs(job)) for job in (JOB, "declared.other")]
        self.assertEqual(found, [2, 2])


class RaceTest(unittest.TestCase):
    """Guards against accepting two concurrent changes to one declaration."""

    def _race(self, cell: Cell, delay: float, lost: int) -> None:
        key = ItemKey("service", "echo")
        one, other = cell.list_ready()[:2]
        seen = one.entry.view.version
        cell.table.faults.lose_next = lost
        first = cell.declare(one, {key: make_service(2)}, author="one", seen=seen)
        cell.run(delay)
        second = cell.declare(other, {key: make_service(3)}, author="two", seen=seen)
        cell.run(15)
        results = first + second
        self.assertEqual(len(results), 2)
        (accepted,) = [result for result in results if isinstance(result, ChangeResult)]
        (overtaken,) = [result for result in results if isinstance(result, VersionConflictError)]
        self.assertTrue(accepted.committed)
        self.assertEqual(overtaken.number, accepted.version)
        self.assertEqual(overtaken.change.author, accepted.change.author)
        expected = {2, 3} & {accepted.change.items[0].after.replicas}
        self.assertEqual({len(cell.find_runs(JOB))}, expected)
        for node in cell.list_ready():
            self.assertEqual(node.entry.view.version, accepted.version)

    def test_only_one_change_is_accepted(self) -> None:
        # Also if the store is slow or loses acknowledgements of the changes.
        for delay in (0.0, 0.01, 0.15):
            for slow in (0.0, 0.2):
                for lost in (0, 1, 2):
                    with self.subTest(delay=delay, slow=slow, lost=lost):
                        cell = Cell(entries=2, zones=2)
                        cell.run(4)
                        cell.table.faults.delay_s = slow
                        cell.run(2)
                        self._race(cell, delay, lost)


class OutageTest(unittest.TestCase):
    """Guards against exceeding the write limit after a store outage."""

    def test_write_limit_after_outage(self) -> None:
        # The outage has delayed bindings of calls, ends of tasks, and jobs.
        for count in (2, 6):
            with self.subTest(entries=count * 2):
                cell = Cell(entries=count, zones=2, workers=4)
                cell.run(5)
                cell.declare_service(8)
                cell.run(3)
                for number in range(20):
                    cell.submit(make_job(f"before-{number}", 2, run_ms=8000))
                cell.run(2)
                cell.table.faults.down = True
                for second in range(20):
                    self._send_requests(cell, f"down-{second}")
                    cell.run(1)
                outcomes = {each.outcome for each in cell.calls if each.outcome}
                self.assertEqual(outcomes, {Outcome.NOT_RUN})
                cell.table.faults.down = False
                for second in range(10):
                    self._send_requests(cell, f"up-{second}")
                    cell.run(0.5)
                cell.run(20)
                self.assertEqual(len(cell.find_runs(JOB)), 8)
                self.assertLessEqual(cell.table.find_busiest_second(), 200)
                self.assertEqual(sum(cell.table.writes.refused.values()), 0)
                for job in cell.jobs:
                    if job.outcome is Outcome.DONE:
                        self.assertEqual(read_open(cell, job.name), [], job.name)

    def _send_requests(self, cell: Cell, name: str) -> None:
        for node in cell.list_ready():
            for _ in range(3):
                cell.call(node, idempotent=False, seconds=1.5)
            cell.submit(make_job(f"{name}-{node.name}", run_ms=100), node)


if __name__ == "__main__":
    unittest.main()
