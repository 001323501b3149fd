"""Tests of the fair queue and the dispatcher."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.decisions import Never, Plan
from lavenderstall.dispatcher import GANG_BYPASS_S, Dispatcher
from lavenderstall.protocol import Kind
from lavenderstall.queues import DuplicateRequestError, FairQueue
from lavenderstall.reasons import ReasonLog
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import Resources
from tests.fixtures import make_request, make_state, make_worker


def fill(queue: FairQueue, *requests: TaskRequest, now: float = 0.0) -> None:
    """Push requests in order."""
    for request in requests:
        queue.push(request, now)


class OrderTest(unittest.TestCase):
    """Guards against requests that are served out of order, twice or not at all."""

    def pop_all(self, queue: FairQueue, now: float = 0.0) -> list[TaskRequest]:
        state = make_state(1)
        found = iter(lambda: queue.pop_next(now, state), None)
        return [waiting.request for waiting in found]

    def test_priority_then_order_of_arrival(self) -> None:
        queue = FairQueue()
        requests = [make_request(priority=priority) for priority in (0, 1, 0, 1)]
        fill(queue, *requests)
        self.assertEqual(self.pop_all(queue), [requests[index] for index in (1, 3, 0, 2)])

    def test_age_outweighs_priority(self) -> None:
        queue = FairQueue(aging_s=10.0)
        old, urgent = make_request(), make_request(priority=1)
        queue.push(old, 0.0)
        queue.push(urgent, 11.0)
        self.assertEqual(self.pop_all(queue, 11.0), [old, urgent])

    def test_paused_requests_wait_until_they_are_resumed(self) -> None:
        for scope in ("kind/batch", "team/t", "service/s"):
            with self.subTest(scope=scope):
                queue, state = FairQueue(), make_state(1)
                paused = make_request(team="t", service="s")
                other = make_request(kind=Kind.GANG, team="u")
                fill(queue, paused, other)
                self.assertTrue(queue.set_paused(frozenset({scope})))
                self.assertEqual(queue.pop_next(0.0, state).request, other)
                self.assertIsNone(queue.pop_next(0.0, state))
                self.assertEqual(queue.get_passed_over_reason("t").detail, scope)
                queue.set_paused(frozenset())
                self.assertEqual(queue.pop_next(0.0, state).request, paused)

    def test_duplicate_is_rejected(self) -> None:
        queue = FairQueue()
        request = make_request()
        queue.push(request, 0.0)
        with self.assertRaises(DuplicateRequestError):
            queue.push(request, 0.0)

    def test_cancel_of_a_job_and_of_a_gang(self) -> None:
        queue = FairQueue()
        gang = make_request(tasks=3)
        fill(queue, make_request(job="x"), make_request(job="x"), gang, make_request())
        self.assertEqual(len(queue.cancel("x")), 2)
        self.assertEqual(queue.cancel(gang.tasks[1]), (gang,))
        self.assertEqual(queue.cancel(gang.tasks[1]), ())
        self.assertEqual(len(queue), 1)
        self.assertEqual(queue.count_by_kind()[Kind.GANG], 0)

    def test_oldest_wait(self) -> None:
        queue = FairQueue()
        first, second = make_request(), make_request()
        queue.push(first, 1.0)
        queue.push(second, 3.0)
        self.assertEqual(queue.measure_oldest_wait(5.0), 4.0)
        queue.cancel(first.tasks[0])
        self.assertEqual(queue.measure_oldest_wait(5.0, Kind.BATCH), 2.0)

    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 2), st.integers(0, 9))))
    def test_cancel_removes_exactly_one(self, draws: list[tuple[str, int, int]]) -> None:
        queue = FairQueue()
        requests = [make_request(team=team, priority=level) for team, level, _ in draws]
        fill(queue, *requests)
        gone = [request for request, draw in zip(requests, draws, strict=True) if draw[2] < 5]
        for request in gone:
            self.assertEqual(queue.cancel(request.tasks[0]), (request,))
        left = {request.tasks for request in requests} - {request.tasks for request in gone}
        self.assertEqual({request.tasks for request in self.pop_all(queue)}, left)
        self.assertEqual(len(queue), 0)


class DispatcherTest(unittest.TestCase):
    """Guards against lost or starved requests and use beyond a share or quota."""

    def dispatch(self, queue: FairQueue, dispatcher: Dispatcher, now: float) -> list[TaskRequest]:
        return [done.decision.request for done in dispatcher.dispatch(now)]

    def test_infeasible_request_is_rejected_once(self) -> None:
        queue = FairQueue()
        fill(queue, make_request(10**6))
        found = list(Dispatcher(queue, make_state(1)).dispatch(0.0))
        self.assertIsInstance(found[0].decision, Never)
        self.assertEqual(len(queue), 0)

    def test_decisions_are_logged_by_job_and_worker(self) -> None:
        queue, log = FairQueue(), ReasonLog()
        placed, delayed, infeasible = make_request(16000), make_request(), make_request(10**6)
        fill(queue, placed, delayed, infeasible)
        list(Dispatcher(queue, make_state(1), log).dispatch(0.0))
        for request, outcome in ((placed, "plan"), (delayed, "wait"), (infeasible, "never")):
            self.assertEqual([record.outcome for record in log.find_by_job(request.job)], [outcome])
        self.assertEqual([record.job for record in log.find_by_worker("w0")], [placed.job])

    def test_request_that_no_longer_fits_the_slice_is_rejected(self) -> None:
        """A request must not wait for a worker that was removed."""
        queue, state = FairQueue(), make_state(1)
        state.add_worker(make_worker("large", Resources(64000, 65536)))
        state.charge("large", "x", Resources(64000))
        fill(queue, make_request(32000))
        dispatcher = Dispatcher(queue, state)
        self.assertEqual(list(dispatcher.dispatch(0.0)), [])
        state.remove_worker("large")
        found = list(dispatcher.dispatch(1.0))
        self.assertIsInstance(found[0].decision, Never)

    def test_team_at_quota_is_skipped_with_a_reason(self) -> None:
        queue, state = FairQueue(), make_state(1)
        queue.set_team("a", quota=Resources(1000, 4096))
        dispatcher = Dispatcher(queue, state)
        requests = [make_request(team=team) for team in "aab"]
        fill(queue, *requests)
        self.assertCountEqual(self.dispatch(queue, dispatcher, 0.0), [requests[0], requests[2]])
        self.assertIn("quota", queue.get_passed_over_reason("a").rule)
        state.release("w0", requests[0].tasks[0])
        self.assertEqual(self.dispatch(queue, dispatcher, 1.0), [requests[1]])

    def test_teams_share_by_weight(self) -> None:
        queue, state = FairQueue(), make_state(1)
        queue.set_team("b", weight=3.0)
        fill(queue, *(make_request(team=team) for team in "ab" for _ in range(20)))
        teams = [request.team for request in self.dispatch(queue, Dispatcher(queue, state), 0.0)]
        self.assertEqual((teams.count("a"), teams.count("b")), (4, 12))

    def test_kinds_get_their_share_and_may_use_idle_shares(self) -> None:
        queue, state = FairQueue({Kind.BATCH: 0.25, Kind.SERVICE: 0.75}), make_state(1)
        dispatcher = Dispatcher(queue, state)
        fill(queue, *(make_request(priority=9) for _ in range(30)))
        flood = self.dispatch(queue, dispatcher, 0.0)
        self.assertEqual(len(flood), 16)
        fill(queue, *(make_request(kind=Kind.SERVICE, service="s") for _ in range(30)))
        for request in flood:
            state.release("w0", request.tasks[0])
        kinds = [request.kind for request in self.dispatch(queue, dispatcher, 1.0)]
        self.assertEqual((kinds.count(Kind.BATCH), kinds.count(Kind.SERVICE)), (4, 12))

    def test_flood_of_one_team_leaves_headroom_for_others(self) -> None:
        """Tasks of other teams must start at once while one team floods the slice."""
        for priority in (0, 9):
            with self.subTest(priority):
                queue, state = FairQueue(), make_state(10)
                dispatcher = Dispatcher(queue, state)
                fill(queue, *(make_request(team=f"t{n % 4}", kind=Kind.BATCH) for n in range(64)))
                self.assertEqual(len(self.dispatch(queue, dispatcher, 0.0)), 64)
                fill(queue, *(make_request(team="flood", priority=priority) for _ in range(500)))
                flood = self.dispatch(queue, dispatcher, 1.0)
                self.assertGreater(len(flood), 70)
                fill(queue, *(make_request(team=f"t{n}") for n in range(4)))
                self.assertEqual(len(self.dispatch(queue, dispatcher, 2.0)), 4)

    def test_no_headroom_is_kept_if_no_other_kind_runs(self) -> None:
        """A kind that runs alone may use the whole slice, however many teams it has."""
        queue, state = FairQueue(), make_state(4)
        fill(queue, *(make_request(team=f"t{number % 20}") for number in range(400)))
        self.assertEqual(len(self.dispatch(queue, Dispatcher(queue, state), 0.0)), 64)

    def test_small_request_overtakes_large_one_that_does_not_fit(self) -> None:
        queue, state = FairQueue(), make_state(1)
        dispatcher = Dispatcher(queue, state)
        state.charge("w0", "x", Resources(8000))
        large, small = make_request(12000), make_request(1000)
        fill(queue, large, small)
        self.assertEqual(self.dispatch(queue, dispatcher, 0.0), [small])

    def test_request_is_not_blocked_by_a_slightly_larger_one(self) -> None:
        """A request that does not fit must not close a smaller one of the same size bucket."""
        queue, state = FairQueue(), make_state(1)
        dispatcher = Dispatcher(queue, state)
        state.charge("w0", "x", Resources(8000))
        large, small = make_request(8100), make_request(8000)
        fill(queue, large, small)
        self.assertEqual(self.dispatch(queue, dispatcher, 0.0), [small])

    def test_gang_is_not_starved_and_short_tasks_are_backfilled(self) -> None:
        queue, state = FairQueue(), make_state(1)
        dispatcher = Dispatcher(queue, state)
        running = make_request(8000, expected_ms=10_000)
        gang = make_request(4000, tasks=4)
        fill(queue, running)
        self.dispatch(queue, dispatcher, 0.0)
        fill(queue, gang)
        self.dispatch(queue, dispatcher, 1.0)
        short, long = make_request(expected_ms=1000), make_request(expected_ms=60_000)
        fill(queue, short, long)
        self.assertEqual(self.dispatch(queue, dispatcher, 2.0), [short])
        state.release("w0", short.tasks[0])
        state.release("w0", running.tasks[0])
        self.assertEqual(self.dispatch(queue, dispatcher, 10.0), [gang])

    def test_gang_bypasses_a_reservation_for_a_limited_time(self) -> None:
        """Other gangs may use reserved workers at first, but must not do so forever."""
        queue, state = FairQueue(), make_state(1)
        dispatcher = Dispatcher(queue, state)
        state.charge("w0", "x", Resources(8000))
        large = make_request(4000, tasks=4)
        early, late = (make_request(1000, tasks=2, expected_ms=600_000) for _ in range(2))
        fill(queue, large)
        self.assertEqual(self.dispatch(queue, dispatcher, 0.0), [])
        fill(queue, early)
        self.assertEqual(self.dispatch(queue, dispatcher, 1.0), [early])
        self.dispatch(queue, dispatcher, GANG_BYPASS_S + 0.5)
        for task in early.tasks:
            state.release("w0", task)
        fill(queue, late)
        self.assertEqual(self.dispatch(queue, dispatcher, GANG_BYPASS_S + 1.0), [])
        state.release("w0", "x")
        self.assertEqual(self.dispatch(queue, dispatcher, GANG_BYPASS_S + 1.5), [large])

    def test_gangs_do_not_deadlock(self) -> None:
        queue, state = FairQueue(), make_state(2)
        dispatcher = Dispatcher(queue, state)
        gangs = [make_request(8000, tasks=4, team=team) for team in "abc"]
        fill(queue, *gangs)
        for now in range(3):
            started = self.dispatch(queue, dispatcher, float(now))
            self.assertEqual(len(started), 1)
            for worker in list(state.workers.values()):
                for task in list(worker.tasks):
                    state.release(worker.id, task)
        self.assertEqual(len(queue), 0)

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 16000),
                st.integers(1, 3),
                st.sampled_from("abc"),
                st.integers(0, 20_000),
            ),
            max_size=40,
        )
    )
    def test_no_request_is_forgotten(self, draws: list[tuple[int, int, str, int]]) -> None:
        """Whatever waits is placed once enough has ended."""
        queue, state = FairQueue(), make_state(3)
        dispatcher = Dispatcher(queue, state)
        for cores, tasks, team, run in draws:
            fill(queue, make_request(cores, tasks=tasks, team=team, expected_ms=run))
        for turn in range(2 * len(draws) + 2):
            for done in dispatcher.dispatch(turn * 30.0):
                self.assertIsInstance(done.decision, Plan)
            for worker in list(state.workers.values()):
                for task in list(worker.tasks):
                    state.release(worker.id, task)
        self.assertEqual(len(queue), 0)
