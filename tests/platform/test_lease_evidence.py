"""Tests of whole cells in which leases outlast the wait for them, or the wait is too long."""

import unittest
from base64 import b64decode
from collections.abc import Callable
from itertools import product
from random import Random
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from lavenderstall.pools.records import OWNER_KEY, OWNERS, PROGRESS, OwnerRow, decode_owner
from tests.platform.fake_platform import STORE
from tests.platform.simulated_cell import SimulatedCell
from tests.platform.test_lasting_tasks import (
    AWAY_S,
    CALM_S,
    JOB,
    LASTING,
    POOL,
    REST_S,
    EndWorker,
    cut_off,
    leave,
    list_running,
)
from tests.platform.test_lease_bounds import hide_worker
from tests.platform.test_owners_gone_for_good import (
    SLOWEST_CLOCK_RATE,
    EndInstance,
    kill,
    remove,
    start_lasting_task,
)

WATCH_S = 16.0
# Between the moment at which a commit is applied and that at which its answer is sent.
ANSWER_DELAY_S = 0.0005
# After an answer has arrived.
ANSWERED_S = 0.006
OUTAGE_S = 1.5

# How late messages are, when the store is back, and when the outage begins.
LATE_MESSAGES = (
    (3.0, 2.5, 0.0),
    (2.5, 2.9, 0.0),
    (2.5, 2.9, 1.2),
    (2.0, 2.4, 0.8),
    (2.5, 2.0, 0.8),
)

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


class HiddenWorkerCase(unittest.TestCase):
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


class OutageLeaseTest(HiddenWorkerCase):
    """An owner takes old reports of its peers for present ones, and extends full leases."""

    RESTART_SEEDS = range(24)

    def test_no_task_starts_twice_whose_owner_is_frozen_at_the_end_of_an_outage(self) -> None:
        """Fails if an owner that wakes up trusts reports that were sent before a claim."""
        for frozen_at_s, back_s, thawed_s in product((1.2, 1.6), (2.0, 2.4, 3.0), (4.5, 5.5)):
            with self.subTest(frozen_at_s=frozen_at_s, back_s=back_s, thawed_s=thawed_s):
                cell, owner = self.start()
                cell.platform.store_mode = "silent"
                cell.run(frozen_at_s)
                cell.freeze(owner)
                cell.run(back_s - frozen_at_s)
                cell.platform.store_mode = "up"
                cell.run(thawed_s - back_s)
                cell.thaw(owner)
                cell.run(WATCH_S)
                self.check(cell)

    def test_no_task_starts_twice_if_other_instances_restart_in_an_outage(self) -> None:
        """Fails if a process that has started since rules out leases that the owner extends."""
        for seed in self.RESTART_SEEDS:
            with self.subTest(seed=seed):
                random = Random(seed)
                cell, owner = self.start()
                others = sorted(cell.nodes.keys() - {owner})
                cell.platform.store_mode = random.choice(("silent", "busy"))
                back_s = random.uniform(3.0, 8.5)
                cell.clock.callLater(back_s, setattr, cell.platform, "store_mode", "up")
                for other in others:
                    at_s, down_s = random.uniform(0.1, back_s + 1.0), random.choice((0.1, 0.5, 1.2))
                    cell.clock.callLater(at_s, cell.kill, other)
                    cell.clock.callLater(at_s + down_s, cell.start, other)
                if random.random() < 0.7:
                    cell.clock.callLater(random.uniform(0.1, back_s + 0.5), isolate, cell, owner)
                    cell.nodes[owner].http_client.unreachable.add(STORE)
                cell.run(WATCH_S)
                cell.run(WATCH_S)
                self.check(cell)

    def test_no_task_starts_twice_if_messages_to_its_owner_are_late(self) -> None:
        """Fails if reports count from their arrival, so that a late one outlasts a claim."""
        for late_s, back_s, phase_s in LATE_MESSAGES:
            for deaf in (False, True):
                with self.subTest(late_s=late_s, back_s=back_s, phase_s=phase_s, deaf=deaf):
                    cell, owner = self.start()
                    cell.run(phase_s)
                    deaf_at = cell.clock.seconds() + back_s - 0.5 if deaf else None
                    delay_messages(cell, owner, late_s, deaf_at)
                    cell.nodes[owner].http_client.unreachable.add(STORE)
                    cell.platform.store_mode = "silent"
                    cell.run(back_s)
                    cell.platform.store_mode = "up"
                    cell.run(WATCH_S)
                    self.check(cell)


def delay_messages(
    cell: SimulatedCell, owner: str, late_s: float, deaf_at: float | None = None
) -> None:
    """Delay all messages to an instance, and lose those from it from a time on, if any."""
    deliver = cell.deliver

    def deliver_late(sender: str, peer: str, data: bytes) -> None:
        if peer == owner:
            cell.clock.callLater(late_s, deliver, sender, peer, data)
        elif sender != owner or deaf_at is None or cell.clock.seconds() < deaf_at:
            deliver(sender, peer, data)

    cell.deliver = deliver_late  # type: ignore[method-assign]


class OldClockTest(HiddenWorkerCase):
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


class ReleasedPoolTest(HiddenWorkerCase):
    """An isolated owner releases its pool, and loses the store with the answer."""

    def test_no_task_starts_twice_whose_owner_does_not_know_that_the_pool_is_free(self) -> None:
        """Fails if a successor counts on the end of leases that the owner goes on extending."""
        for phase_s in (0.0, 0.4, 0.8, 1.2):
            with self.subTest(phase_s=phase_s):
                cell, owner = self.start()
                isolate(cell, owner)
                cell.run(1.0 + phase_s)
                self.lose_release(cell, owner)
                Deferred.fromCoroutine(cell.nodes[owner].instance.release_pools())
                cell.run(WATCH_S)
                self.check(cell)

    def lose_release(self, cell: SimulatedCell, owner: str) -> None:
        """Cut the owner off from the store once its release is applied."""

        def lose(puts: list[dict[str, Any]]) -> None:
            row = find_owner_row(puts)
            if row is not None and row.released:
                cell.nodes[owner].http_client.unreachable.add(STORE)
                lose_answer(cell, "up")

        watch_commits(cell, lose)


class LateStartTest(HiddenWorkerCase):
    """A start is on its way for seconds; its worker has restarted, and the owner is gone."""

    WARM_UP_S = 30.0

    def test_no_task_starts_twice_whose_start_a_restarted_worker_executes_late(self) -> None:
        """Fails if a successor knows less of starts that may be executed late than the owner did.

        The owner, which the restarted worker does not answer, reckons with them for 13 s.
        """
        for late_s, gone_s in ((6.0, 1.6), (8.0, 1.6), (8.0, 2.5)):
            with self.subTest(late_s=late_s, gone_s=gone_s):
                cell = SimulatedCell(3, 8, advice=False)
                cell.run(self.WARM_UP_S)
                owner = cell.find_owner(POOL)
                assert owner is not None
                self.restart_worker(cell, owner, late_s)
                cell.run(gone_s)
                cell.kill(owner)
                cell.run(2 * WATCH_S)
                self.check(cell)

    def restart_worker(self, cell: SimulatedCell, owner: str, late_s: float) -> None:
        """Start a task, on a worker that restarts before, and is then reached by no instance."""
        pool = cell.nodes[owner].instance.owned_pools[POOL].pool  # type: ignore[index]
        cell.platform.start_delay_s = late_s
        cell.submit(next(name for name in cell.nodes if name != owner), POOL, JOB, [dict(LASTING)])
        self.assertTrue(
            cell.run_until(lambda: any(each.runs for each in pool.workers.values()), 3.0)
        )
        cell.run(0.1)
        (chosen,) = (each for each in pool.workers.values() if each.runs)
        worker = cell.platform.workers[chosen.entry.address]
        cell.unreachable_workers.add(worker.address)
        for node in cell.nodes.values():
            node.http_client.unreachable.add(worker.address)
        worker.crash()
        cell.run(0.5)
        cell.platform.start_delay_s = 0.0


class Interruption(NamedTuple):
    """Claims after which the store falls silent, or else their owners go for good."""

    silent: bool
    claims: int = 1


INTERRUPTIONS = (Interruption(True), Interruption(False), Interruption(False, 2))


class InterruptedClaimTest(unittest.TestCase):
    """A task that lasts loses its worker, then its owner, and the next claims are interrupted."""

    def test_a_task_that_lasts_is_not_away_for_too_long_after_a_claim_without_effect(self) -> None:
        """Fails if the row of a claim tells more of earlier owners than the claimant knows."""
        for end_worker in (leave, cut_off):
            for end in (kill, remove):
                for interruption in INTERRUPTIONS:
                    with self.subTest(
                        worker=end_worker.__name__, owner=end.__name__, interruption=interruption
                    ):
                        self.play(end_worker, end, interruption)

    def play(self, end_worker: EndWorker, end: EndInstance, interruption: Interruption) -> None:
        """End a worker and its owner, interrupt claims, and check when the task is back."""
        cell, worker = start_lasting_task(planned=end_worker is leave)
        impaired_at = self.interrupt(cell, end, interruption)
        end_worker(cell, worker)
        cell.run(0.1)
        owner = cell.find_owner(POOL)
        assert owner is not None
        end(cell, owner)
        self.assertTrue(cell.run_until(lambda: not list_running(cell), WATCH_S))
        ended_at = cell.clock.seconds()
        self.assertTrue(cell.run_until(lambda: bool(list_running(cell)), 2 * WATCH_S))
        self.assertEqual(len(impaired_at), interruption.claims)
        calm_at = max(ended_at + REST_S, impaired_at[-1] + CALM_S)
        self.assertLess(cell.clock.seconds() - calm_at, AWAY_S)
        self.assertEqual(cell.platform.checker.violations, [])

    def interrupt(
        self, cell: SimulatedCell, end: EndInstance, interruption: Interruption
    ) -> list[float]:
        """Interrupt the first claims once they are applied; the list gets when that is over."""
        over_at: list[float] = []
        terms: set[int] = {1}

        def note(puts: list[dict[str, Any]]) -> None:
            row = find_owner_row(puts)
            if row is None or row.term in terms or len(over_at) == interruption.claims:
                return
            terms.add(row.term)
            if interruption.silent:
                lose_answer(cell, "silent")
                cell.clock.callLater(OUTAGE_S, setattr, cell.platform, "store_mode", "up")
                over_at.append(cell.clock.seconds() + OUTAGE_S)
            else:
                cell.clock.callLater(ANSWERED_S, end, cell, row.entry)
                over_at.append(cell.clock.seconds() + ANSWERED_S)

        watch_commits(cell, note)
        return over_at


class OwnerGoneInOutageTest(unittest.TestCase):
    """A worker leaves as planned and its owner is gone for good, both as an outage begins."""

    def test_a_task_that_lasts_is_not_away_for_too_long_after_an_outage(self) -> None:
        """Fails if a successor waits for leases of an outage in which the owner was gone."""
        for outage_s in (2.5, 3.0, 4.0, 5.0, 6.0):
            for end in (kill, remove):
                with self.subTest(outage_s=outage_s, owner=end.__name__):
                    away_s = self.measure_absence(outage_s, end)
                    self.assertLess(away_s, max(REST_S, outage_s + CALM_S) + AWAY_S)

    def measure_absence(self, outage_s: float, end: EndInstance) -> float:
        """End a worker and its owner in an outage, and return when the task runs again."""
        cell, worker = start_lasting_task(planned=True)
        began_at = cell.clock.seconds()
        owner = cell.find_owner(POOL)
        assert owner is not None
        cell.platform.store_mode = "silent"
        cell.clock.callLater(outage_s, setattr, cell.platform, "store_mode", "up")
        leave(cell, worker)
        cell.run(0.3)
        end(cell, owner)
        cell.run(0.1)
        self.assertTrue(cell.run_until(lambda: bool(list_running(cell)), 2 * WATCH_S))
        self.assertEqual(cell.platform.checker.violations, [])
        return cell.clock.seconds() - began_at


if __name__ == "__main__":
    unittest.main()
