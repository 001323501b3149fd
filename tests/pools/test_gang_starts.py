"""Tests of gangs of which some members can't be started any more once they are recorded."""

import unittest
from collections.abc import Callable

from lavenderstall.pools.effects import Advice, RequestAdvice, StartRun
from lavenderstall.resources import NOTHING, Resources
from tests.pools.builders import (
    ADVISED,
    CAPACITY,
    JOB,
    Bench,
    make_entry,
    make_job,
    make_queue,
    make_step,
)

ENTRIES = tuple(make_entry(f"w{number}") for number in (1, 2, 3))
# One member on each worker.
WHOLE = Resources(CAPACITY.cores_milli, 1000)


def lose_ticket(bench: Bench) -> None:
    """Let the ticket of one worker expire, which was got earlier than the others."""
    bench.advance(0.6)


def restart_worker(bench: Bench) -> None:
    """Let one worker start again."""
    bench.pool.set_workers([make_entry("w1", incarnation=2), *ENTRIES[1:]])


def stop_member(bench: Bench) -> None:
    """Stop one member."""
    run = next(iter(bench.pool.workers[next(iter(bench.pool.workers))].runs.values()))
    bench.pool.stop(run)


class GangStartTest(unittest.TestCase):
    """All members of a gang start, or none."""

    def decide(self, **fields: object) -> Bench:
        """Return a pool that has placed a gang on three workers, and recorded nothing yet."""
        bench = Bench(*ENTRIES, queue=make_queue(advising=ADVISED))
        bench.pool.add_job(make_job(make_step(3, need=WHOLE, **fields)))
        bench.dispatcher.dispatch(4, 4)
        requests = [e for e in bench.pool.pop_effects() if isinstance(e, RequestAdvice)]
        for valid_ms, names in ((500.0, ("w1",)), (4000.0, ("w2", "w3"))):
            rows = tuple((name, f"t-{name}") for name in names)
            bench.pool.note_advice(requests[0].step_key, Advice(rows, valid_ms), names)
        bench.dispatcher.dispatch(4, 4)
        self.assertEqual(sum(len(w.runs) for w in bench.pool.workers.values()), 3)
        bench.pool.pop_effects()
        return bench

    def test_a_gang_of_which_a_member_can_not_start_does_not_start(self) -> None:
        """Fails if the others start and wait in vain, so that their runs end alone."""
        changes: tuple[Callable[[Bench], None], ...] = (
            lose_ticket,
            restart_worker,
            stop_member,
        )
        for change in changes:
            with self.subTest(change=change.__name__):
                bench = self.decide(gang=True)
                batch = bench.pool.recorder.take_batch(10)
                change(bench)
                bench.pool.pop_effects()
                bench.pool.recorder.note_recorded(batch)
                effects = bench.pool.pop_effects()
                self.assertEqual([e for e in effects if isinstance(e, StartRun)], [])
                used = [worker.used for worker in bench.pool.workers.values()]
                self.assertEqual(set(used), {NOTHING})

    def test_other_tasks_of_a_step_start_without_one_that_can_not(self) -> None:
        bench = self.decide()
        batch = bench.pool.recorder.take_batch(10)
        lose_ticket(bench)
        bench.pool.recorder.note_recorded(batch)
        starts = [e for e in bench.pool.pop_effects() if isinstance(e, StartRun)]
        self.assertEqual({start.worker.id for start in starts}, {"w2", "w3"})

    def test_a_gang_that_was_dropped_starts_again(self) -> None:
        """Fails if a gang whose ticket expired counts as started or failed."""
        bench = self.decide(gang=True)
        batch = bench.pool.recorder.take_batch(10)
        lose_ticket(bench)
        bench.pool.recorder.note_recorded(batch)
        bench.pool.pop_effects()
        (step_key,) = bench.pool.advice
        bench.pool.note_advice(step_key, Advice((("w1", "new"),), 4000.0), ("w1",))
        starts = [e for e in bench.dispatch() if isinstance(e, StartRun)]
        self.assertEqual({start.worker.id for start in starts}, {"w1", "w2", "w3"})
        self.assertEqual(len({start.number for start in starts}), 1)
        self.assertEqual(bench.pool.jobs[JOB].steps[0, 0].progress.failures, {})


if __name__ == "__main__":
    unittest.main()
