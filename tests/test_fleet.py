"""Tests of the links to the workers of a slice."""

import unittest

from lavenderstall.errors import Outcome
from tests.cells import ECHO, Cell, make_job


class RestartTest(unittest.TestCase):
    """A worker restarts without its state."""

    def test_keeps_slice(self) -> None:
        # A restarted worker has no owner, which must not be taken for another owner's claim.
        cell = Cell(entries=1, zones=1, services=[ECHO])
        cell.run(3)
        cell.submit(make_job("busy", 2, run_ms=60_000))
        cell.run(2)
        owner = cell.get_owner("z0/0")
        server = owner.entry.slices["z0/0"]
        cell.workers["z0w0"].crash()
        told = cell.submit(make_job("more", 4, run_ms=60_000))
        cell.run(5, until=lambda: len(cell.find_runs("more")) == 4)
        self.assertEqual(told.outcome, Outcome.DONE)
        self.assertIs(owner.entry.slices.get("z0/0"), server)
        self.assertTrue(cell.run(3, until=lambda: len(cell.find_runs("busy")) == 2))


class StoppedLinkTest(unittest.TestCase):
    """Answers to a former tenure arrive during the next one."""

    def test_ignores_answers(self) -> None:
        # A heartbeat at the old epoch is fenced by the same owner's new epoch.
        cell = Cell(entries=1, zones=1)
        cell.run(3)
        owner = cell.get_owner("z0/0")
        for worker in cell.workers:
            cell.roads.delays[(owner.name, worker)] = 0.9
        cell.run(1.1)
        cell.roads.delays.clear()
        owner.entry.ownership.report_fenced("z0/0", 5, owner.name)
        cell.run(10)
        self.assertEqual(owner.entry.ownership.tenures["z0/0"].term, 6)


class LocalTakeoverTest(unittest.TestCase):
    """A slice is taken over while the table cannot be read."""

    def test_claims_again_after_fencing(self) -> None:
        # The first candidate is fenced after a pause; when the second one dies, the first must
        # claim the workers again.
        cell = Cell(entries=3, zones=1)
        cell.run(3)
        cell.kill(cell.get_owner("z0/0"))
        cell.table.faults.down = True
        self.assertTrue(cell.run(15, until=lambda: cell.list_owners("z0/0")))
        cell.run(3)
        first = cell.get_owner("z0/0")
        cell.pause(first)
        cell.run(10)
        cell.resume(first)
        cell.run(2)
        (second,) = [node for node in cell.list_ready() if node is not first]
        self.assertEqual({worker.owner for worker in cell.workers.values()}, {second.name})
        cell.kill(second)
        cell.run(10)
        self.assertEqual({worker.owner for worker in cell.workers.values()}, {first.name})


class PausedOwnerTest(unittest.TestCase):
    """An owner resumes after a pause in which its workers changed."""

    def test_sends_nothing_to_a_leaving_worker(self) -> None:
        # The state of its links still dates from before the pause.
        cell = Cell(entries=1, zones=1, workers=1, services=[ECHO])
        cell.run(3)
        cell.declare_service(1)
        cell.run(3)
        owner = cell.get_owner("z0/0")
        cell.pause(owner)
        cell.run(1)
        cell.set_worker("z0w0", leaving=True)
        cell.run(20)
        link = owner.entry.slices["z0/0"].fleet.links["z0w0"]
        cell.resume(owner)
        self.assertFalse(link.usable)
        cell.run(5)


if __name__ == "__main__":
    unittest.main()
