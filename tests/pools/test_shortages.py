"""Tests of dispatch past steps that can't start."""

import unittest
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstall.identifiers import JobId
from lavenderstall.pools.effects import Advice, Effect, RequestAdvice, RunStatus, StartRun, StopRun
from lavenderstall.pools.preemption import MIN_PREEMPTION_WAIT_S
from lavenderstall.pools.waiting_steps import STARVATION_S
from lavenderstall.pools.work import Queue, QueueName, Settings, Step
from lavenderstall.resources import Resources
from tests.pools.builders import ADVISED, POOL, QUEUE, Bench, make_entry, make_job, make_queue
from tests.pools.builders import make_step as step

URGENT = QueueName("urgent")
LOW = QueueName("background")
BLOCKED = 30
STARTABLE = 8
SMALL = Resources(memory_mb=100)
IDLE = [make_entry(f"w{number}", labels=("a",)) for number in range(16)]
FULL = make_entry("full", labels=("full",))


class Kind(NamedTuple):
    """A kind of blocked step; `answer` gives advice on it, if its queue has any."""

    make: Callable[[int], Step]
    advised: bool = False
    answer: Advice | None = None


KINDS = {
    "a label that no worker has": Kind(lambda _: step(label="none")),
    "labels that no worker has": Kind(lambda n: step(label=f"none-{n}")),
    "too large": Kind(lambda n: step(need=Resources(cores_milli=9000 - n))),
    "too large, in other dimensions": Kind(
        lambda n: step(need=Resources(cores_milli=9000 + n, memory_mb=90_000 - n))
    ),
    "no room": Kind(lambda n: step(label="full", need=Resources(1 + n))),
    "gangs without a label": Kind(lambda n: step(2 + n, label="none", gang=True)),
    "gangs that are too large": Kind(lambda n: step(200 - n, gang=True)),
    "tasks per worker": Kind(lambda _: step(2, label="full", need=SMALL, max_per_worker=1)),
    "lasting": Kind(lambda n: step(label="full", need=Resources(1 + n), long_running=True)),
    "advised, no label": Kind(lambda _: step(label="none"), advised=True),
    "advised, too large": Kind(lambda n: step(need=Resources(9000 - n)), advised=True),
    "advised, no answer": Kind(lambda _: step(need=SMALL), advised=True),
    "advised, denied": Kind(lambda _: step(need=SMALL), advised=True, answer=Advice((), 2000.0)),
}


def make_bench(*, advised: bool) -> Bench:
    """Return idle workers and a full one, and queues of two priorities."""
    bench = Bench(*IDLE, FULL)
    urgent = make_queue(name=URGENT, priority=1, advising=ADVISED if advised else None)
    queues = (make_queue(priority=0), urgent, make_queue(name=LOW, priority=5))
    bench.pool.set_settings(Settings(1, queues, frozenset(), frozenset({POOL})))
    bench.pool.add_job(make_job(step(4, label="full"), job=JobId("f" * 16)))
    bench.start()
    return bench


def add_blocked(bench: Bench, kinds: list[Kind]) -> None:
    """Add blocked steps of some kinds, and let advice on them arrive."""
    for number in range(BLOCKED):
        kind = kinds[number % len(kinds)]
        bench.pool.add_job(make_job(kind.make(number), job=JobId(f"{number:016x}"), queue=URGENT))
    answer = kinds[0].answer
    for effect in bench.dispatch(BLOCKED):
        if answer is not None and isinstance(effect, RequestAdvice):
            bench.pool.note_advice(effect.step_key, answer, effect.workers)


def add_startable(bench: Bench) -> None:
    """Add steps of low priority that fit on the idle workers."""
    for number in range(STARTABLE):
        bench.pool.add_job(make_job(step(), job=JobId(f"a{number:015x}"), queue=LOW))


class BlockedStepsTest(unittest.TestCase):
    """Steps that can't start, in front of others that can."""

    def test_blocked_steps_do_not_delay_those_behind_them(self) -> None:
        """Fails if a dispatch ends at some number of steps that can't start."""
        mixed = [kind for kind in KINDS.values() if not kind.advised]
        mixed_advised = [kind for kind in KINDS.values() if kind.advised and not kind.answer]
        rows = {name: [kind] for name, kind in KINDS.items()}
        for name, kinds in (rows | {"mixed": mixed, "mixed, advised": mixed_advised}).items():
            with self.subTest(name):
                bench = make_bench(advised=kinds[0].advised)
                add_blocked(bench, kinds)
                bench.advance(0.1)
                add_startable(bench)
                effects = bench.dispatch(0)
                started = {each.task.job for each in effects if isinstance(each, StartRun)}
                self.assertEqual(len([job for job in started if job.startswith("a")]), STARTABLE)

    def test_steps_start_once_what_they_wait_for_has_come(self) -> None:
        """Fails if a shortage outlives the dispatch that has found it."""
        bench = make_bench(advised=False)
        add_blocked(bench, [KINDS["a label that no worker has"]])
        entries = [make_entry(f"new{number}", labels=("none",)) for number in range(BLOCKED)]
        bench.pool.set_workers([*IDLE, FULL, *entries])
        for entry in entries:
            bench.poll(entry)
        started = [effect for effect in bench.dispatch() if isinstance(effect, StartRun)]
        self.assertEqual(len(started), BLOCKED)


WHOLE = Resources(cores_milli=4000)
LIGHT = Resources(memory_mb=100)
# Queues from the most urgent on.
ORDER = (QUEUE, URGENT, LOW)
DIFFERENCES = {
    # What runs, the steps that are blocked, and one that isn't, although much is the same.
    "label": ((), (step(label="none"),), step()),
    "size": ((), (step(need=Resources(9000)),), step()),
    "other size": ((), (step(need=Resources(9000, 1)),), step(need=Resources(1, 9000))),
    "tasks of a gang": ((), (step(9, gang=True),), step(2, gang=True)),
    "gang": ((), (step(9, gang=True),), step()),
    "tasks per worker": ((), (step(3, need=LIGHT, max_per_worker=1),), step(need=LIGHT)),
    "best effort": (
        (step(2, need=LIGHT, long_running=True, target_ms=9, max_per_worker=1),),
        (step(need=LIGHT, best_effort=True),),
        step(need=LIGHT),
    ),
    "sensitive": (
        (step(2, need=LIGHT, best_effort=True, max_per_worker=1),),
        (step(need=LIGHT, long_running=True, target_ms=9),),
        step(need=LIGHT, long_running=True),
    ),
    "duration": (
        (step(need=WHOLE, expected_ms=9000),),
        (step(2, need=WHOLE, gang=True), step(expected_ms=90_000)),
        step(expected_ms=100),
    ),
    "lasting": (
        (step(need=WHOLE, expected_ms=9000),),
        (step(2, need=WHOLE, gang=True), step(expected_ms=100, long_running=True)),
        step(expected_ms=100),
    ),
}


class DifferenceTest(unittest.TestCase):
    """A step that can start, behind one that can't and needs nearly the same."""

    def test_a_shortage_covers_only_steps_that_need_as_much(self) -> None:
        """Fails if a step is passed over for a shortage that doesn't concern it."""
        for row, (running, blocked, startable) in DIFFERENCES.items():
            with self.subTest(row):
                bench = Bench(make_entry("w1"), make_entry("w2"))
                for number, each in enumerate(running):
                    bench.pool.add_job(make_job(each, job=JobId(f"a{number:015x}")))
                bench.start()
                declared = [make_queue(name=name, priority=n) for n, name in enumerate(ORDER)]
                bench.pool.set_settings(
                    Settings(1, tuple(declared), frozenset(), frozenset({POOL}))
                )
                for number, each in enumerate(blocked):
                    name = ORDER[number]
                    bench.pool.add_job(make_job(each, job=JobId(f"b{number:015x}"), queue=name))
                last = JobId("c" * 16)
                bench.pool.add_job(make_job(startable, job=last, queue=LOW))
                started = [each for each in bench.dispatch() if isinstance(each, StartRun)]
                self.assertEqual(
                    [order.task.number for order in started if order.task.job == last],
                    list(range(startable.count)),
                )
                blocked_jobs = {JobId(f"b{number:015x}") for number in range(len(blocked))}
                waiting = {key.job for key, _ in bench.pool.list_startable_steps()}
                self.assertEqual(waiting, blocked_jobs)


class PreemptionTest(unittest.TestCase):
    """Steps without room, for which less urgent runs are to make some."""

    def make_bench(self) -> Bench:
        """Return two workers that less urgent runs with checkpoints occupy."""
        entries = (make_entry("w1"), make_entry("w2"))
        bench = Bench(*entries)
        declared = (make_queue(priority=0), make_queue(name=LOW, priority=5))
        bench.pool.set_settings(Settings(1, declared, frozenset(), frozenset({POOL})))
        bench.pool.add_job(
            make_job(step(2, need=WHOLE, checkpointing=True), job=JobId("a" * 16), queue=LOW)
        )
        for order, entry in zip(bench.start(), entries, strict=True):
            bench.poll(entry, [RunStatus(order.task, order.number, "", 10.0)])
        return bench

    def count_stops(self, bench: Bench) -> int:
        """Dispatch after the least wait and return how many runs are stopped."""
        bench.advance(2 * MIN_PREEMPTION_WAIT_S)
        return sum(isinstance(effect, StopRun) for effect in bench.dispatch())

    def test_each_of_the_same_needs_preempts(self) -> None:
        """Fails if only the first of several steps without room makes some."""
        bench = self.make_bench()
        for number in range(3):
            bench.pool.add_job(make_job(step(need=WHOLE), job=JobId(f"b{number:015x}")))
        self.assertEqual(self.count_stops(bench), 2)

    def test_a_less_urgent_step_does_not_speak_for_a_more_urgent_one(self) -> None:
        """Fails if a step that starves and finds nothing to preempt keeps others from it."""
        bench = self.make_bench()
        bench.pool.add_job(make_job(step(need=WHOLE), job=JobId("b" * 16), queue=LOW))
        bench.pool.jobs[JobId("b" * 16)].get_step(0, 0).ready_at -= 2 * STARVATION_S
        bench.pool.add_job(make_job(step(need=WHOLE), job=JobId("c" * 16)))
        bench.dispatch()
        self.assertEqual(self.count_stops(bench), 1)


steps = st.builds(
    step,
    st.integers(1, 4),
    need=st.builds(
        Resources,
        cores_milli=st.integers(0, 5).map(lambda n: n * 1000),
        memory_mb=st.sampled_from((100, 5000, 9000, 20_000)),
    ),
    expected_ms=st.sampled_from((100, 500, 5000)),
    gang=st.booleans(),
    best_effort=st.booleans(),
    long_running=st.booleans(),
    target_ms=st.sampled_from((0, 100)),
    max_per_worker=st.integers(0, 2),
    label=st.sampled_from(("", "a", "b", "none")),
)
queues = st.sampled_from((make_queue(priority=0), make_queue(name=LOW, priority=5)))


def run_dispatches(entries: int, background: Step, drawn: list[tuple[Step, Queue]]) -> list[Effect]:
    """Return the effects of two dispatches of drawn steps, while others run."""
    workers = [make_entry(f"w{n}", labels=("ab"[n % 2],)) for n in range(entries)]
    bench = Bench(*workers)
    all_queues = (make_queue(priority=0), make_queue(name=LOW, priority=5))
    bench.pool.set_settings(Settings(1, all_queues, frozenset(), frozenset({POOL})))
    bench.pool.add_job(make_job(background, job=JobId("b" * 16), queue=LOW))
    orders = bench.start()
    for entry in workers:
        own = [order for order in orders if order.worker.id == entry.id]
        bench.poll(entry, [RunStatus(order.task, order.number, "", 10.0) for order in own])
    for number, (each, queue) in enumerate(drawn):
        bench.pool.add_job(make_job(each, job=JobId(f"{number:016x}"), queue=queue.name))
    first = bench.dispatch()
    bench.advance(2 * MIN_PREEMPTION_WAIT_S)
    return [*first, *bench.dispatch()]


class EquivalenceTest(unittest.TestCase):
    """What a dispatch does, with and without knowledge of shortages."""

    @settings(deadline=None, max_examples=200)
    @given(
        st.integers(1, 4),
        st.builds(step, st.integers(1, 8), checkpointing=st.booleans()),
        st.lists(st.tuples(steps, queues), min_size=2, max_size=12),
    )
    def test_known_shortages_change_nothing_but_the_cost(
        self, entries: int, background: Step, drawn: list[tuple[Step, Queue]]
    ) -> None:
        """Fails if a step is passed over that would have started, preempted or reserved."""
        found = run_dispatches(entries, background, drawn)
        with ExitStack() as stack:
            for name in ("is_unsuited", "lacks_room", "lacks_victims", "lacks_reservation"):
                path = f"lavenderstall.pools.shortages.ShortageTracker.{name}"
                stack.enter_context(patch(path, return_value=False))
            self.assertEqual(found, run_dispatches(entries, background, drawn))
