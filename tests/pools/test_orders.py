"""Tests of how orders are given to workers."""

import unittest
from typing import Any

from twisted.internet.defer import Deferred

from lavenderstall.errors import AnswerLostError, PeerUnavailableError
from lavenderstall.metrics import Metrics
from lavenderstall.pools.effects import FENCE, OTHER_PROCESS, Refusal, StartRun, StopRun
from lavenderstall.pools.orders import MOST_STARTS, Orders
from tests.pools.builders import JOB, Bench, make_entry, make_job, make_step

FIRST = make_entry("w1")


class Client:
    """Keep orders until a test answers them."""

    def __init__(self) -> None:
        self.starts: list[tuple[StartRun, Deferred[Any]]] = []
        self.stops: list[tuple[StopRun, Deferred[Any]]] = []

    def start(self, worker: Any, fencing_token: int, order: StartRun) -> Deferred[Any]:
        """Keep a start."""
        self.starts.append((order, Deferred()))
        return self.starts[-1][1]

    def stop(self, worker: Any, fencing_token: int, order: StopRun) -> Deferred[Any]:
        """Keep a stop."""
        self.stops.append((order, Deferred()))
        return self.stops[-1][1]


class OrdersTest(unittest.TestCase):
    """Starts and stops of one worker."""

    def setUp(self) -> None:
        """Decide on more starts than may be under way."""
        self.client = Client()
        self.bench = Bench(FIRST, make_entry("w2", capacity=FIRST.capacity))
        self.bench.pool.set_workers([FIRST])
        self.fenced: list[Refusal] = []
        self.orders = Orders(
            self.bench.pool,
            self.client,  # type: ignore[arg-type]
            lambda: self.bench.now,
            Metrics(),
            lambda: None,
            self.check,
        )
        self.bench.pool.add_job(make_job(make_step(4)))
        for effect in self.bench.dispatch():
            self.orders.give(effect)
        self.worker = next(w for w in self.bench.pool.workers.values() if w.entry is FIRST)

    def check(self, refusal: Refusal) -> bool:
        """Note a refusal by a worker that has seen a later owner."""
        self.fenced.append(refusal)
        return refusal.reason == FENCE

    def test_few_starts_are_under_way_at_a_time(self) -> None:
        self.assertEqual(len(self.client.starts), MOST_STARTS)
        self.client.starts[0][1].callback(self.bench.clock_ms())
        self.assertEqual(len(self.client.starts), MOST_STARTS + 1)
        self.assertGreaterEqual(self.get_run(0).confirmed_at, 0)

    def get_run(self, number: int) -> Any:
        """Return the run of the start that was sent as such."""
        order = self.client.starts[number][0]
        return self.worker.runs[order.task, order.number]

    def test_what_waits_behind_a_start_without_an_answer_starts_elsewhere(self) -> None:
        rows = (
            (AnswerLostError("late", step="start"), MOST_STARTS, 1),
            (PeerUnavailableError("refused", step="start"), MOST_STARTS - 1, 2),
        )
        for error, live, waiting in rows:
            with self.subTest(error=type(error).__name__):
                self.setUp()
                self.client.starts[0][1].errback(error)
                self.assertEqual(len(self.worker.runs), live)
                state = self.bench.pool.jobs[JOB].get_step(0, 0)
                self.assertEqual(len(state.waiting), waiting)
                self.assertEqual(len(self.client.starts), MOST_STARTS)

    def test_refusals_are_passed_on(self) -> None:
        rows = (("room", 1), (FENCE, 0), (OTHER_PROCESS, 4))
        for reason, waiting in rows:
            with self.subTest(reason=reason):
                self.setUp()
                self.client.starts[0][1].callback(Refusal(reason))
                state = self.bench.pool.jobs[JOB].get_step(0, 0)
                self.assertEqual(len(state.waiting), waiting)
                self.assertEqual([refusal.reason for refusal in self.fenced], [reason])

    def test_stops_do_not_wait_for_starts(self) -> None:
        for _, answer in self.client.starts:
            answer.callback(self.bench.clock_ms())
        self.bench.pool.cancel_job(JOB)
        for effect in self.bench.pool.take_effects():
            self.orders.give(effect)
        self.assertEqual(len(self.client.stops), 4)
        order, answer = self.client.stops[0]
        answer.callback(self.bench.clock_ms())
        run = self.worker.runs[order.task, order.number]
        self.assertTrue(run.stopping)

    def test_anything_else_is_no_order(self) -> None:
        with self.assertRaisesRegex(TypeError, "str is no order"):
            self.orders.give("start")


if __name__ == "__main__":
    unittest.main()
