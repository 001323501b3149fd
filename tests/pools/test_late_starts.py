"""Tests of tasks of which a start may still be executed by the next process of its worker."""

import unittest
from collections.abc import Callable

from lavenderstall.pools.effects import OTHER_PROCESS, Refusal, RunEnd, RunStatus, StartRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Copies
from lavenderstall.pools.reconciliation import MAX_HELD_ENDS
from lavenderstall.pools.work import EndCause, Step
from lavenderstall.pools.workers import MAX_COMMAND_DELAY_S, WorkerEntry
from tests.pools.builders import ADVISED, JOB, Bench, allow, make_entry, make_job, make_queue
from tests.pools.builders import make_step as make_plain_step

FIRST, SECOND = make_entry("w1"), make_entry("w2")
ENTRIES = {entry.id: entry for entry in (FIRST, SECOND)}


def make_step(**fields: object) -> Step:
    """Return a step of one task that is not moved for being slow."""
    return make_plain_step(expected_ms=600_000, **fields)


def list_starts(bench: Bench) -> list[StartRun]:
    """Dispatch and return the starts."""
    return [effect for effect in bench.dispatch() if isinstance(effect, StartRun)]


class Unanswered:
    """A start that has had no answer and that its worker will refuse, as it has taken a stop."""

    def __init__(self, step: Step, copies: int = 1, *, advised: bool = False) -> None:
        queue = make_queue(advising=ADVISED) if advised else None
        self.bench = bench = Bench(FIRST, SECOND, queue=queue)
        bench.pool.add_job(make_job(step))
        if advised:
            allow(bench, bench.dispatch(), "w1", "w2", valid_ms=60_000.0)
        (self.start,) = list_starts(bench)
        self.entry = ENTRIES[self.start.worker.id]
        key, task, number = self.start.worker, self.start.task, self.start.number
        bench.pool.note_unanswered(key, task, number)
        sent = Copies(copies, bench.now)
        bench.pool.note_copies(
            key, task, number, sent, answered=False, ticketed=bool(self.start.ticket)
        )
        bench.advance(0.05)
        bench.poll(self.entry)
        bench.pool.note_stopped(key, task, number, bench.clock_ms())
        bench.advance(0.05)
        bench.poll(self.entry)

    @property
    def other(self) -> WorkerEntry:
        """Return the worker that the start was not sent to."""
        return SECOND if self.entry is FIRST else FIRST


class PinnedTaskTest(unittest.TestCase):
    """Where a task starts again of which a start may still be executed."""

    def test_it_starts_on_the_same_worker_alone(self) -> None:
        """Fails if it runs elsewhere while the next process of its worker may start it."""
        rows: tuple[tuple[str, Step, bool, bool], ...] = (
            ("plain", make_step(), False, True),
            ("lasting", make_plain_step(long_running=True), False, True),
            ("with a ticket of the former process", make_step(), True, False),
            ("copies may run in parallel", make_step(speculative=True), False, False),
        )
        for name, step, advised, pinned in rows:
            with self.subTest(name=name):
                case = Unanswered(step, advised=advised)
                (again,) = list_starts(case.bench)
                expected = case.entry.id if pinned else case.other.id
                self.assertEqual(again.worker.id, expected)

    def test_it_waits_while_that_worker_may_start_nothing(self) -> None:
        """Fails if it starts elsewhere, or waits for longer than a start may be late."""

        def leave(case: Unanswered) -> None:
            case.bench.pool.set_workers([case.other])

        def fall_silent(case: Unanswered) -> None:
            case.bench.pool.note_unresponsive(case.start.worker, unreachable=True)

        def refuse(case: Unanswered) -> None:
            (again,) = list_starts(case.bench)
            case.bench.pool.note_refused(again.worker, again.task, again.number, Refusal("room"))

        events: tuple[Callable[[Unanswered], None], ...] = (leave, fall_silent, refuse)
        for event in events:
            with self.subTest(event=event.__name__):
                case = Unanswered(make_step())
                event(case)
                self.assertEqual(list_starts(case.bench), [])
                case.bench.advance(MAX_COMMAND_DELAY_S)
                case.bench.poll(case.other)
                self.assertEqual(len(list_starts(case.bench)), 1)

    def test_it_starts_elsewhere_once_another_worker_has_the_address(self) -> None:
        """Fails if it waits for a process that can't come back."""
        case = Unanswered(make_step())
        case.bench.pool.note_poll_refused(case.start.worker, Refusal(OTHER_PROCESS))
        (again,) = list_starts(case.bench)
        self.assertEqual(again.worker.id, case.other.id)

    def test_each_copy_of_a_start_may_be_executed(self) -> None:
        """Fails if a task is free once one copy of several has been executed."""
        for copies, pinned in ((1, False), (2, True), (3, True)):
            with self.subTest(copies=copies):
                case = Unanswered(make_step(), copies)
                bench, start, entry = case.bench, case.start, case.entry
                newer = make_entry(entry.id, incarnation=2)
                bench.pool.set_workers([newer, case.other])
                bench.poll(newer, [RunStatus(start.task, start.number, "", 1.0)])
                run = bench.pool.workers[WorkerKey(newer.id, 2)].runs[start.task, start.number]
                self.assertEqual(run.copies.left, copies - 1)
                job = bench.pool.jobs[JOB]
                self.assertEqual(bench.pool.late_starts.is_pinned(job, run), pinned)

    def test_a_gang_waits_until_its_members_may_start_anywhere(self) -> None:
        """Fails if a gang starts while a former start of a member may still arrive."""
        bench = Bench(FIRST, SECOND)
        bench.pool.add_job(make_job(make_plain_step(2, gang=True)))
        first, second = list_starts(bench)
        for start in (first, second):
            bench.pool.note_started(start.worker, start.task, start.number, bench.clock_ms())
        sent = Copies(1, bench.now)
        bench.pool.note_copies(
            first.worker, first.task, first.number, sent, answered=True, ticketed=False
        )
        for seq, start in enumerate((first, second), 1):
            bench.end(start, EndCause.BROKEN, seq, ENTRIES[start.worker.id])
        self.assertEqual(list_starts(bench), [])
        bench.advance(MAX_COMMAND_DELAY_S)
        for entry in (FIRST, SECOND):
            bench.poll(entry)
        self.assertEqual(len(list_starts(bench)), 2)


class HeldEndTest(unittest.TestCase):
    """Ends of tasks that the next process of their worker may start again."""

    def play(self, cause: EndCause, copies: int = 1) -> tuple[Bench, StartRun]:
        """Return a pool in which a run has ended of which copies of the start may arrive."""
        bench = Bench(FIRST)
        bench.pool.add_job(make_job())
        (start,) = bench.start()
        bench.pool.note_copies(
            start.worker,
            start.task,
            start.number,
            Copies(copies, bench.now),
            answered=True,
            ticketed=False,
        )
        bench.end(start, cause, 1, FIRST)
        bench.record()
        return bench, start

    def get_acknowledged(self, bench: Bench, start: StartRun) -> int:
        """Return the last end that may be acknowledged."""
        return bench.pool.workers[start.worker].committed_seq

    def test_ends_that_count_are_held_while_a_copy_may_arrive(self) -> None:
        """Fails if a task whose end is acknowledged may be started again."""
        rows = (
            (EndCause.DONE, 1, 0),
            (EndCause.FAILED, 1, 0),
            (EndCause.STOPPED, 1, 1),
            (EndCause.DONE, 0, 1),
        )
        for cause, copies, acknowledged in rows:
            with self.subTest(cause=cause, copies=copies):
                bench, start = self.play(cause, copies)
                self.assertEqual(self.get_acknowledged(bench, start), acknowledged)
                bench.advance(MAX_COMMAND_DELAY_S + 0.1)
                bench.record()
                self.assertEqual(self.get_acknowledged(bench, start), 1)

    def test_ends_are_held_no_longer_once_all_copies_are_answered(self) -> None:
        """Fails if a slow answer counts as one that never comes."""
        bench, start = self.play(EndCause.DONE)
        bench.pool.note_copies(
            start.worker, start.task, start.number, Copies(), answered=True, ticketed=False
        )
        bench.record()
        self.assertEqual(self.get_acknowledged(bench, start), 1)

    def test_held_ends_do_not_hide_later_ones(self) -> None:
        """Fails if a worker lists as many held ends as fit into a response."""
        bench, start = self.play(EndCause.DONE)
        ends = [
            RunEnd(seq, start.task, start.number, EndCause.DONE)
            for seq in range(1, MAX_HELD_ENDS + 2)
        ]
        bench.poll(FIRST, ended=ends)
        bench.record()
        self.assertEqual(self.get_acknowledged(bench, start), MAX_HELD_ENDS + 1)


if __name__ == "__main__":
    unittest.main()
