"""Tests of the steps that a dispatch looks at."""

import unittest
from collections.abc import Iterable
from itertools import count

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.identifiers import JobId
from lavenderstall.pools.startable_steps import MAX_SELECTED, StartableSteps
from lavenderstall.pools.urgency import Urgency
from lavenderstall.pools.work import JobState, Step, StepKey
from lavenderstall.resources import Resources
from tests.pools.builders import Bench, make_entry, make_job, make_step
from tests.pools.test_occurrences import WORKERS, Backlog, count_calls

NOW = 1000.0
SMALL = Resources(100, 100)
ROUNDS = 12
# Of four kinds each has 256 of the steps that a dispatch looks at, the worthless ones of a kind 64
# of these, and a quarter of them, less one, follow in turn.
MIN_TURN = MAX_SELECTED // 4 // 4 // 4 - 1


def make_key(number: int) -> StepKey:
    """Return the key of the only step of a job."""
    return StepKey(JobId(f"{number:016x}"), 0, 0)


def fill(urgencies: Iterable[Urgency]) -> StartableSteps:
    """Return steps of as many jobs."""
    steps = StartableSteps()
    for number, urgency in enumerate(urgencies):
        steps.add(make_key(number), urgency)
    return steps


class SelectionTest(unittest.TestCase):
    """Which steps are looked at if there are very many."""

    @given(
        st.lists(st.tuples(st.integers(0, 3), st.integers(0, 50)), min_size=1, max_size=40),
        st.sets(st.integers(0, 2 * MAX_SELECTED)),
    )
    def test_all_have_their_turn_and_the_most_urgent_ones_always(
        self, patterns: list[tuple[int, int]], idle: set[int]
    ) -> None:
        """Fails if a step is left out for ever, or one of its kind is preferred that is later."""
        rows = [patterns[number % len(patterns)] for number in range(3 * MAX_SELECTED)]
        urgencies = [Urgency(kind, NOW + 90 - late, NOW + 100 - late) for kind, late in rows]
        steps = fill(urgencies)
        waiting = {make_key(number) for number in range(len(rows))} - {make_key(n) for n in idle}
        seen: set[StepKey] = set()
        for _ in range(len(rows) // MIN_TURN + 1):
            found = steps.select(NOW + 60, lambda step_key: step_key in waiting)
            self.assertLessEqual(len(found), MAX_SELECTED)
            self.assertEqual(len(found), len(set(found)))
            seen |= set(found)
            if waiting <= seen:
                break
        self.assertLessEqual(waiting, seen)
        for kind in {kind for kind, _ in rows}:
            of_kind = sorted(
                (urgency.deadline, make_key(number))
                for number, urgency in enumerate(urgencies)
                if urgency.kind == kind and make_key(number) in waiting
            )
            fresh = [key for deadline, key in of_kind if deadline >= NOW + 50]
            self.assertLessEqual(set((fresh or [key for _, key in of_kind])[:64]), set(found))

    def test_results_that_are_worthless_do_not_crowd_out_others(self) -> None:
        """Fails if a job waits behind a backlog of which nobody needs the results any more."""
        late = [Urgency("a", NOW - 90, NOW - 1)] * (3 * MAX_SELECTED)
        steps = fill([*late, Urgency("a", NOW + 1, NOW + 2)])
        self.assertIn(make_key(len(late)), steps.select(NOW, lambda _: True))

    def test_each_of_many_kinds_is_looked_at(self) -> None:
        steps = fill(Urgency(number % 3_000, NOW, NOW + 9) for number in range(9_000))
        found = steps.select(NOW, lambda _: True)
        self.assertEqual(len(found), 3_000)

    def test_steps_that_are_discarded_are_gone(self) -> None:
        """Fails if a job that is cancelled goes on to cost something."""
        steps = fill(Urgency(number % 5, NOW, NOW + 9) for number in range(2 * MAX_SELECTED))
        steps.select(NOW + 10, lambda step_key: int(step_key.job, 16) % 2 == 0)
        for number in range(2 * MAX_SELECTED):
            steps.discard(make_key(number))
            steps.discard_job(make_key(number).job)
        self.assertEqual((len(steps), list(steps)), (0, []))
        self.assertEqual(steps.select(NOW, lambda _: True), [])


class ManyJobsTest(unittest.TestCase):
    """What an owner does while far more jobs wait than can run."""

    def fill_pool(self, jobs: int, *steps: Step) -> Backlog:
        """Return a pool in which so many jobs wait."""
        rows = (make_job(*steps, job=make_key(number).job) for number in range(jobs))
        return Backlog(*rows)

    def measure(self, jobs: int, *, orders_overload: bool = False) -> int:
        """Return the calls of some rounds, once as much runs as fits."""
        first = make_step(need=SMALL, expected_ms=100)
        backlog = self.fill_pool(jobs, first, make_step(after=(0,), need=SMALL))
        backlog.bench.pool.orders_overload = orders_overload
        for _ in range(ROUNDS):
            backlog.run_round()
        return count_calls(lambda: [self.run_round(backlog) for _ in range(ROUNDS)])

    def run_round(self, backlog: Backlog) -> None:
        backlog.run_round()
        backlog.bench.pool.run_periodic_checks()
        backlog.bench.pool.count_pending()

    def test_a_round_costs_the_same_however_many_jobs_wait(self) -> None:
        """Fails if an owner is busy for longer the more jobs wait."""
        self.assertLess(self.measure(20_000), 1.1 * self.measure(4_000))

    def test_the_order_for_too_little_room_costs_little(self) -> None:
        """Fails if an owner is busy with the order rather than with starts."""
        plain = self.measure(4_000)
        ordered = self.measure(4_000, orders_overload=True)
        self.assertLess(ordered, 1.5 * plain)
        self.assertLess(self.measure(8_000, orders_overload=True), 1.1 * ordered)

    def test_all_jobs_are_done_in_the_end(self) -> None:
        """Fails if a job that was left out once is forgotten."""
        backlog = self.fill_pool(6_000, make_step(need=SMALL, expected_ms=100))
        rounds = count()
        while backlog.bench.pool.active and next(rounds) < 400:
            backlog.run_round()
        states = {job.state for job in backlog.bench.pool.jobs.values()}
        self.assertEqual(states, {JobState.COMPLETED})

    def test_jobs_with_other_needs_start_at_once(self) -> None:
        """Fails if a job that fits waits behind thousands that don't."""
        rows = (
            {},
            {"label": "other"},
            {"long_running": True},
            {"best_effort": True},
        )
        huge = make_step(need=Resources(9_000, 9_000), label="other", expected_ms=1)
        wide = make_step(need=Resources(16_000, 1_000), expected_ms=100)
        for fields in rows:
            with self.subTest(fields=fields):
                bench = Bench(*WORKERS, make_entry("w9", labels=("other",)))
                for number in range(6_000):
                    step = huge if number % 2 else wide
                    bench.pool.add_job(make_job(step, job=make_key(number).job))
                bench.start()
                bench.now += 5.0
                bench.pool.advance(bench.now, 0.0)
                job = make_key(99_999).job
                values = {"expected_ms": 100, "need": Resources(10, 10)} | fields
                bench.pool.add_job(make_job(make_step(**values), job=job))
                bench.start()
                self.assertEqual(bench.pool.jobs[job].run_count, 1)

    def test_the_dispatcher_tells_that_more_may_start(self) -> None:
        """Fails if workers stay idle until something else happens."""
        bench = Bench(*WORKERS)
        for number in range(3 * MAX_SELECTED):
            bench.pool.add_job(make_job(make_step(need=Resources(1, 1)), job=make_key(number).job))
        told = []
        for _ in range(4):
            bench.start()
            told.append(bench.dispatcher.may_start_more)
        self.assertTrue(told[0])
        self.assertEqual(sum(len(worker.runs) for worker in bench.pool.workers.values()), 3 * 1024)
        self.assertFalse(bench.dispatcher.may_start_more)


if __name__ == "__main__":
    unittest.main()
