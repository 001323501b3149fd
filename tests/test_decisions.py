"""Tests of placement decisions."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.decisions import Never, Plan, PlanStaleError, Wait, apply, decide
from lavenderstall.requests import Constraints, Scope
from lavenderstall.resources import NOTHING, Resources
from tests.fixtures import ACCELERATED, SIZE, make_request, make_state, make_worker


class DecideTest(unittest.TestCase):
    """Guards against wrong decisions and plans beyond a worker's capacity."""

    def test_outcomes(self) -> None:
        table = [
            ("fits", make_request(16000), Plan),
            ("too many cores", make_request(16001), Never),
            ("accelerator", make_request(accelerators=1), Never),
            ("gang fits", make_request(8000, tasks=4), Plan),
            ("gang too large", make_request(8000, tasks=5), Never),
            ("label", make_request(constraints=Constraints(labels=frozenset({"ssd"}))), Never),
            ("rack", make_request(constraints=Constraints(racks=frozenset({"none"}))), Never),
        ]
        for name, request, outcome in table:
            with self.subTest(name):
                self.assertIsInstance(decide(make_state(2), request, 0.0), outcome)

    def test_wait_reports_the_shortage(self) -> None:
        state = make_state(1)
        apply(state, decide(state, make_request(15000), 0.0))
        decision = decide(state, make_request(3000), 0.0)
        self.assertIsInstance(decision, Wait)
        self.assertEqual(decision.reason.shortage, Resources(2000))
        self.assertIn("cores_milli by 2000", decision.reason.alternatives[0].explanation)

    def test_never_reports_what_to_change(self) -> None:
        decision = decide(make_state(1), make_request(20000), 0.0)
        self.assertIn("cores_milli from 20000 to 16000", decision.reason.detail)

    def test_slice_without_workers_waits(self) -> None:
        """A new owner must not reject jobs before it has read the inventories."""
        self.assertIsInstance(decide(make_state(0), make_request(), 0.0), Wait)

    def test_stale_plan_charges_nothing(self) -> None:
        state = make_state(2)
        plan = decide(state, make_request(8000, tasks=4), 0.0)
        state.charge(plan.placements[-1].worker, "other", Resources(1))
        used = state.used
        with self.assertRaises(PlanStaleError):
            apply(state, plan)
        self.assertEqual(state.used, used)

    def test_plan_applies_once(self) -> None:
        state = make_state(2)
        plan = decide(state, make_request(10), 0.0)
        apply(state, plan)
        with self.assertRaises(PlanStaleError):
            apply(state, plan)

    def test_no_plan_for_workers_out_of_service(self) -> None:
        for flag in ("leaving", "quarantined", "draining"):
            with self.subTest(flag):
                state = make_state(1)
                state.update_worker("w0", **{flag: True})
                self.assertIsInstance(decide(state, make_request(), 0.0), Wait)

    def test_accelerator_workers_are_kept_for_accelerator_work(self) -> None:
        state = make_state(1)
        state.add_worker(make_worker("a", ACCELERATED))
        full = make_request(16000)
        apply(state, decide(state, full, 0.0))
        state.accelerators_waiting = 1
        self.assertIsInstance(decide(state, make_request(), 0.0), Wait)
        state.accelerators_waiting = 0
        self.assertEqual(decide(state, make_request(), 0.0).placements[0].worker, "a")

    def test_anti_affinity_holds_in_both_directions(self) -> None:
        anti_affinity = Constraints(anti_affinity=frozenset({"a"}))
        for first, second in (
            (make_request(service="a"), make_request(service="b", constraints=anti_affinity)),
            (make_request(service="b", constraints=anti_affinity), make_request(service="a")),
        ):
            state = make_state(1)
            apply(state, decide(state, first, 0.0))
            self.assertIsInstance(decide(state, second, 0.0), Wait)

    def test_task_without_service_excludes_services(self) -> None:
        state = make_state(1)
        anti_affinity = Constraints(anti_affinity=frozenset({"a"}))
        apply(state, decide(state, make_request(constraints=anti_affinity), 0.0))
        self.assertIsInstance(decide(state, make_request(service="a"), 0.0), Wait)

    def test_affinity_with_rack_scope(self) -> None:
        affinity = Constraints(affinity=frozenset({"a"}), scope=Scope.RACK)
        state = make_state(4)
        state.charge("w2", "t", make_request(16000, service="a"))
        plan = decide(state, make_request(service="b", constraints=affinity), 0.0)
        self.assertEqual(plan.placements[0].worker, "w3")

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 20000),
                st.integers(0, 70000),
                st.integers(1, 4),
                st.booleans(),
            ),
            max_size=60,
        )
    )
    def test_plans_stay_within_workers(self, draws: list[tuple[int, int, int, bool]]) -> None:
        """A plan applies cleanly and whole; Wait is only returned if no worker has room."""
        state = make_state(4)
        for cores, memory, tasks, release in draws:
            request = make_request(cores, memory, tasks=tasks)
            decision = decide(state, request, 0.0)
            if isinstance(decision, Plan):
                apply(state, decision)
                self.assertEqual(tuple(p.task for p in decision.placements), request.tasks)
                if release:
                    state.release(decision.placements[0].worker, decision.placements[0].task)
            elif isinstance(decision, Wait) and tasks == 1:
                rooms = [worker.available for worker in state.workers.values()]
                self.assertFalse(any(request.resources.fits(room) for room in rooms))
            for worker in state.workers.values():
                self.assertTrue(NOTHING.fits(worker.available))
                charged = SIZE.subtract(worker.available)
                total = NOTHING
                for charge in worker.tasks.values():
                    total = total.add(charge.resources)
                self.assertEqual(total, charged)
