"""Tests of sending commands to workers."""

import unittest
from typing import Any

from twisted.internet import task
from twisted.internet.defer import Deferred

from lavenderstall.errors import AnswerLostError, LavenderstallError, PeerUnavailableError
from lavenderstall.metrics import Metrics
from lavenderstall.pools.effects import FENCE, OTHER_PROCESS, Refusal, StartRun, StopRun
from lavenderstall.pools.repeated_starts import REPEAT_DELAY_S
from lavenderstall.pools.worker_commands import MAX_CONCURRENT_STARTS, CommandSender
from lavenderstall.pools.workers import Worker
from tests.pools.builders import JOB, Bench, make_entry, make_job, make_step

FIRST = make_entry("w1")


class Client:
    """Worker client that records commands until a test answers them."""

    def __init__(self) -> None:
        self.starts: list[tuple[StartRun, Deferred[Any]]] = []
        self.stops: list[tuple[StopRun, Deferred[Any]]] = []

    def start(self, worker: Any, fencing_token: int, command: StartRun) -> Deferred[Any]:
        """Record a start."""
        self.starts.append((command, Deferred()))
        return self.starts[-1][1]

    def stop(self, worker: Any, fencing_token: int, command: StopRun) -> Deferred[Any]:
        """Record a stop."""
        self.stops.append((command, Deferred()))
        return self.stops[-1][1]


class CommandSenderTest(unittest.TestCase):
    """Start and stop commands to one worker."""

    def setUp(self) -> None:
        """Dispatch one start more than may be in flight."""
        self.client = Client()
        self.clock = task.Clock()
        self.bench = Bench(FIRST, make_entry("w2", capacity=FIRST.capacity))
        self.bench.pool.set_workers([FIRST])
        self.fenced: list[Refusal] = []
        self.owned = True
        self.commands = CommandSender(
            self.bench.pool,
            self.client,  # type: ignore[arg-type]
            self.clock,
            lambda: self.bench.now,
            Metrics(),
            lambda: None,
            self.check,
            lambda command: self.owned,
        )
        self.bench.pool.add_job(make_job(make_step(4)))
        for effect in self.bench.dispatch():
            self.commands.send(effect)
        self.worker = next(w for w in self.bench.pool.workers.values() if w.entry is FIRST)

    def check(self, worker: Worker, refusal: Refusal) -> bool:
        """Record a refusal; return whether the worker has seen a later owner."""
        self.fenced.append(refusal)
        return refusal.reason == FENCE

    def test_concurrent_starts_are_limited(self) -> None:
        self.assertEqual(len(self.client.starts), MAX_CONCURRENT_STARTS)
        self.client.starts[0][1].callback(self.bench.clock_ms())
        self.assertEqual(len(self.client.starts), MAX_CONCURRENT_STARTS + 1)
        self.assertGreaterEqual(self.get_run(0).confirmed_at, 0)

    def test_a_start_queued_while_ownership_ran_out_is_not_sent(self) -> None:
        self.owned = False
        self.client.starts[0][1].callback(self.bench.clock_ms())
        self.assertEqual(len(self.client.starts), MAX_CONCURRENT_STARTS)
        self.assertEqual(self.bench.pool.jobs[JOB].get_step(0, 0).waiting, {3})

    def get_run(self, number: int) -> Any:
        """Return the run of the start that was sent at this position."""
        command = self.client.starts[number][0]
        return self.worker.runs[command.task, command.number]

    def fail_start(self, number: int, error: LavenderstallError) -> None:
        """Fail all attempts of the start that was sent at this position."""
        command = self.client.starts[number][0]
        for sent, answer in iter(self.client.starts):
            if sent is command and not answer.called:
                answer.errback(error)

    def test_starts_queued_behind_a_failed_start_are_dropped(self) -> None:
        rows = (
            (AnswerLostError("late", step="start"), MAX_CONCURRENT_STARTS, 1),
            (PeerUnavailableError("refused", step="start"), MAX_CONCURRENT_STARTS - 1, 2),
        )
        for error, live, waiting in rows:
            with self.subTest(error=type(error).__name__):
                self.setUp()
                self.fail_start(0, error)
                self.assertEqual(len(self.worker.runs), live)
                state = self.bench.pool.jobs[JOB].get_step(0, 0)
                self.assertEqual(len(state.waiting), waiting)
                started = {command.task for command, _ in self.client.starts}
                self.assertEqual(len(started), MAX_CONCURRENT_STARTS)

    def test_a_start_without_a_response_is_sent_again(self) -> None:
        # Else its task waits for the timeout, a stop and another worker.
        command, first = self.client.starts[0]
        self.clock.advance(REPEAT_DELAY_S)
        again = [answer for sent, answer in self.client.starts if sent is command]
        self.assertEqual(len(again), 2)
        again[1].callback(self.bench.clock_ms())
        run = self.get_run(0)
        self.assertGreaterEqual(run.confirmed_at, 0)
        self.assertEqual(run.copies.left, 1)
        self.assertEqual(self.worker.backoff_until, 0)
        first.errback(AnswerLostError("late", step="start"))
        self.assertIn((command.task, command.number), self.worker.runs)

    def test_a_start_that_is_stopped_or_may_not_be_sent_is_not_repeated(self) -> None:
        def stop(run: Any) -> None:
            run.stopping = True

        def lose_ownership(run: Any) -> None:
            self.owned = False

        for change in (stop, lose_ownership):
            with self.subTest(change=change.__name__):
                self.setUp()
                command = self.client.starts[0][0]
                change(self.get_run(0))
                self.clock.advance(REPEAT_DELAY_S)
                sent = [found for found, _ in self.client.starts if found is command]
                self.assertEqual(len(sent), 1)

    def test_refusals_reach_the_pool_and_the_owner(self) -> None:
        rows = (("room", 1), (FENCE, 0), (OTHER_PROCESS, 4))
        for reason, waiting in rows:
            with self.subTest(reason=reason):
                self.setUp()
                self.client.starts[0][1].callback(Refusal(reason))
                state = self.bench.pool.jobs[JOB].get_step(0, 0)
                self.assertEqual(len(state.waiting), waiting)
                self.assertEqual([refusal.reason for refusal in self.fenced], [reason])

    def test_stops_are_sent_at_once(self) -> None:
        for _, answer in self.client.starts:
            answer.callback(self.bench.clock_ms())
        self.bench.pool.cancel_job(JOB)
        for effect in self.bench.pool.pop_effects():
            self.commands.send(effect)
        self.assertEqual(len(self.client.stops), 4)
        command, answer = self.client.stops[0]
        answer.callback(self.bench.clock_ms())
        run = self.worker.runs[command.task, command.number]
        self.assertTrue(run.stopping)

    def test_other_values_are_rejected(self) -> None:
        with self.assertRaisesRegex(TypeError, "str is not a worker command"):
            self.commands.send("start")


if __name__ == "__main__":
    unittest.main()
