"""Tests of whole cells with leases that outlast a wait, and waits that are too long."""

import unittest
from base64 import b64decode
from collections.abc import Callable
from typing import Any

from lavenderstall.pools.records import OWNER_KEY, OWNERS, PROGRESS, OwnerRow, decode_owner
from tests.platform.simulated_cell import SimulatedCell
from tests.platform.test_lasting_tasks import (
    JOB,
    LASTING,
    POOL,
    list_running,
)
from tests.platform.test_lease_bounds import hide_worker
from tests.platform.test_owners_gone_for_good import (
    SLOWEST_CLOCK_RATE,
    start_lasting_task,
)

WATCH_S = 16.0
# Between the moment at which a commit is applied and that at which its answer is sent.
ANSWER_DELAY_S = 0.0005
# After an answer has arrived.
ANSWERED_S = 0.006
OUTAGE_S = 1.5

# Called with each transaction that the store has applied.
NoteCommit = Callable[[list[dict[str, Any]]], None]


def watch_commits(cell: SimulatedCell, note: NoteCommit) -> None:
    """Call a function with the puts of each transaction that the store applies from now on."""
    transact = cell.platform.transact

    def watch(body: Any) -> tuple[int, Any]:
        found = transact(body)
        if found[0] == 200:
            note(body["writes"])
        return found

    cell.platform.transact = watch  # type: ignore[method-assign]


def find_owner_row(puts: list[dict[str, Any]]) -> OwnerRow | None:
    """Return the owner row of the pool that a transaction writes, if any."""
    for put in puts:
        if (put["table"], put["part"], put["key"]) == (OWNERS, POOL, OWNER_KEY):
            return decode_owner(b64decode(put["value"]))
    return None


def lose_answer(cell: SimulatedCell, mode: str) -> None:
    """Lose the answer to the transaction that is applied now; the store goes on in a mode."""
    cell.platform.store_mode = "mute"
    cell.clock.callLater(ANSWER_DELAY_S, setattr, cell.platform, "store_mode", mode)


def isolate(cell: SimulatedCell, owner: str) -> None:
    """Disconnect an instance from all others."""
    for name in cell.nodes.keys() - {owner}:
        cell.disconnect(owner, name)


class LeaseReviewCase(unittest.TestCase):
    """The worker of a task has a slow clock and is reached by its owner alone."""

    def start(self) -> tuple[SimulatedCell, str]:
        """Return a cell with a task that lasts, and the owner of its pool."""
        cell, worker = start_lasting_task(planned=False)
        cell.run(2.0)
        owner = cell.find_owner(POOL)
        assert owner is not None
        hide_worker(cell, worker, owner)
        return cell, owner

    def check(self, cell: SimulatedCell) -> None:
        """Check that no task has run twice, and that the task runs."""
        self.assertEqual(cell.platform.checker.violations, [])
        self.assertEqual(len(list_running(cell)), 1)


class OldClockTest(LeaseReviewCase):
    """A worker without runs is not polled, so the estimate of its slow clock runs ahead."""

    IDLE_S = 200.0

    def test_no_task_starts_twice_on_a_worker_whose_clock_was_read_long_ago(self) -> None:
        """Fails if the lease of a start outlasts the ownership by the error of the estimate.

        The owner is frozen when its row names the run, and sends the start when it wakes up.
        """
        for frozen_s, isolated in ((1.5, False), (2.2, False), (3.0, True)):
            with self.subTest(frozen_s=frozen_s, isolated=isolated):
                cell = self.start_idle()
                owner = cell.find_owner(POOL)
                assert owner is not None
                self.submit_and_freeze(cell, owner)
                pool = cell.nodes[owner].instance.owned_pools[POOL].pool  # type: ignore[index]
                (chosen,) = (each for each in pool.workers.values() if each.runs)
                hide_worker(cell, cell.platform.workers[chosen.entry.address], owner)
                if isolated:
                    isolate(cell, owner)
                cell.run(frozen_s)
                cell.thaw(owner)
                cell.run(WATCH_S)
                self.check(cell)

    def start_idle(self) -> SimulatedCell:
        """Return a cell whose workers have been idle for long."""
        cell = SimulatedCell(3, 8, advice=False)
        for worker in cell.platform.workers.values():
            worker.clock_rate = SLOWEST_CLOCK_RATE
        cell.run(self.IDLE_S)
        return cell

    def submit_and_freeze(self, cell: SimulatedCell, owner: str) -> None:
        """Submit a job, and freeze the owner at the moment at which its run is recorded."""

        def freeze(puts: list[dict[str, Any]]) -> None:
            if any(put["table"] == PROGRESS for put in puts):
                cell.freeze(owner)

        watch_commits(cell, freeze)
        cell.submit(next(name for name in cell.nodes if name != owner), POOL, JOB, [dict(LASTING)])
        frozen = cell.run_until(lambda: cell.nodes[owner].clock.frozen, 3.0)
        self.assertTrue(frozen)


if __name__ == "__main__":
    unittest.main()
