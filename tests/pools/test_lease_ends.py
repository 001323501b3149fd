"""Tests of what is told of the ends of leases on silent workers."""

import unittest

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.lease_ends import list_lease_ends
from lavenderstall.pools.takeover import FIRST_ANSWER_S, EarlierLeases
from lavenderstall.pools.workers import WorkerState
from tests.pools.builders import Bench, make_entry, make_job, make_step

ENTRY = make_entry("w1")
KEY = WorkerKey("w1", 1)
# A lease of 6 s was sent as the worker answered last, on a clock that may be 2% slow.
LEASE_S = 6.0 / 0.98


class LeaseEndsTest(unittest.TestCase):
    """Workers of which a successor is told when their leases end."""

    def make_silent_worker(
        self, *, registered: bool = False, draining: bool = False, answered: bool = True
    ) -> Bench:
        """Return a pool with a run on a worker that refuses connections."""
        bench = Bench(ENTRY)
        bench.pool.add_job(make_job(make_step(long_running=True)))
        if answered:
            bench.start()
        else:
            bench.dispatch()
        state = WorkerState.DRAINING if draining else WorkerState.READY
        bench.pool.set_workers([make_entry("w1", state=state)])
        bench.pool.set_workers([make_entry("w1", state=state)] if registered else [])
        bench.pool.note_unresponsive(KEY, unreachable=True)
        return bench

    def list_ends(self, bench: Bench) -> dict[WorkerKey, float]:
        """Return the ends of leases, as seconds from now."""
        entries = [worker.entry for worker in bench.pool.workers.values()]
        ends = list_lease_ends(bench.pool, entries)
        return {key: end - bench.now for key, end in ends.items()}

    def test_ends_are_told_of_workers_that_are_silent_and_about_to_leave_or_gone(self) -> None:
        """Fails if a worker gets no leases although its silence may end soon."""
        table = (
            ({"registered": False}, True),
            ({"registered": True, "draining": True}, True),
            ({"registered": True}, False),
        )
        for fields, told in table:
            with self.subTest(fields=fields):
                self.assertEqual(KEY in self.list_ends(self.make_silent_worker(**fields)), told)

    def test_ends_are_told_of_workers_that_do_not_answer_a_new_owner(self) -> None:
        """Fails if the next owner waits for leases that this one can't have extended."""
        for waited_s, answered, told in (
            (FIRST_ANSWER_S, False, False),
            (FIRST_ANSWER_S + 0.1, False, True),
            (FIRST_ANSWER_S + 0.1, True, False),
        ):
            with self.subTest(waited_s=waited_s, answered=answered):
                bench = Bench()
                takeover = bench.pool.takeover
                takeover.add_earlier_owners([EarlierLeases(EntryId("e1"), 1, bench.now + LEASE_S)])
                takeover.add_workers([ENTRY])
                bench.pool.set_workers([ENTRY])
                takeover.note_loaded()
                if answered:
                    bench.poll(ENTRY)
                bench.advance(waited_s)
                expected = {KEY: LEASE_S - waited_s} if told else {}
                found = self.list_ends(bench)
                self.assertEqual(found.keys(), expected.keys())
                for key, left_s in expected.items():
                    self.assertAlmostEqual(found[key], left_s)

    def test_the_end_is_that_of_the_last_lease(self) -> None:
        """Fails if a successor starts the task while its lease may last, or much later."""
        bench = self.make_silent_worker()
        for waited_s in (0.0, 2.0):
            bench.advance(waited_s)
            self.assertAlmostEqual(self.list_ends(bench)[KEY], LEASE_S - waited_s, delta=0.3)

    def test_no_end_is_told_of_a_worker_that_answers(self) -> None:
        bench = self.make_silent_worker()
        bench.poll(ENTRY)
        self.assertEqual(self.list_ends(bench), {})

    def test_no_end_is_told_of_a_start_that_may_be_executed_late(self) -> None:
        self.assertEqual(self.list_ends(self.make_silent_worker(answered=False)), {})

    def test_nothing_starts_on_a_worker_while_an_end_may_be_told(self) -> None:
        """Fails if a task starts where a successor does not expect it any more."""
        bench = Bench(ENTRY)
        bench.pool.add_job(make_job(make_step(2)))
        bench.dispatcher.dispatch(4, 4)
        bench.pool.workers[KEY].lease_end_noted = True
        bench.record()
        self.assertEqual(bench.pool.pop_effects(), [])
        self.assertEqual(bench.dispatch(), [])
        bench.pool.workers[KEY].lease_end_noted = False
        self.assertEqual(len(bench.dispatch()), 2)


if __name__ == "__main__":
    unittest.main()
