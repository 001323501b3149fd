"""Tests of placement policies."""

import unittest
from collections import Counter

from lavenderstall.decisions import Plan, apply, decide
from lavenderstall.placement import POLICIES, UnknownPolicyError, find_policy, get_policy
from lavenderstall.protocol import Kind
from lavenderstall.requests import Constraints, Scope, TaskRequest
from lavenderstall.resources import Resources
from lavenderstall.slice_state import SliceState
from tests.fixtures import ACCELERATED, make_request, make_state, make_worker


def place(state: SliceState, request: TaskRequest) -> list[str]:
    """Apply the plan of a request that fits and return its workers."""
    plan = decide(state, request, 0.0)
    assert isinstance(plan, Plan), plan.reason
    apply(state, plan)
    return [str(placement.worker) for placement in plan.placements]


class MappingTest(unittest.TestCase):
    """Guards against a kind without a policy and against unclear errors."""

    def test_each_kind_has_a_policy(self) -> None:
        for kind in Kind:
            self.assertIs(get_policy(kind.value).kind, kind)

    def test_unknown_name(self) -> None:
        self.assertIsNone(find_policy("other"))
        with self.assertRaises(UnknownPolicyError) as caught:
            get_policy("other")
        for name in (*POLICIES, "other"):
            self.assertIn(name, str(caught.exception))


class PolicyTest(unittest.TestCase):
    """Guards against services in one rack and against scattered batch tasks and gangs."""

    def test_services_spread_over_racks_and_workers(self) -> None:
        state = make_state(8)
        requests = [make_request(kind=Kind.SERVICE, service="s") for _ in range(8)]
        racks = [state.workers[place(state, request)[0]].rack for request in requests]
        self.assertEqual(set(Counter(racks[:4]).values()), {1})
        self.assertEqual({len(worker.tasks) for worker in state.workers.values()}, {1})

    def test_services_spread_over_more_racks_than_are_compared(self) -> None:
        state = make_state(80)
        for _ in range(40):
            place(state, make_request(kind=Kind.SERVICE, service="s"))
        self.assertEqual({rack.services["s"] for rack in state.racks.values()}, {1})

    def test_service_uses_another_rack_if_the_first_is_full(self) -> None:
        state = make_state(4)
        for worker in ("w2", "w3"):
            state.charge(worker, f"x{worker}", Resources(16000))
        for _ in range(3):
            self.assertIn(
                place(state, make_request(kind=Kind.SERVICE, service="s"))[0], ("w0", "w1")
            )

    def test_batch_prefers_the_fullest_worker(self) -> None:
        state = make_state(4)
        state.charge("w2", "x", Resources(14000, 1024))
        self.assertEqual(place(state, make_request(2000)), ["w2"])
        self.assertNotEqual(place(state, make_request(2000)), ["w2"])

    def test_gang_uses_the_fullest_rack_that_fits(self) -> None:
        state = make_state(4)
        state.charge("w0", "x", Resources(4000))
        workers = place(state, make_request(4000, tasks=7))
        self.assertEqual({state.workers[worker].rack for worker in workers}, {"r0"})

    def test_gang_with_anti_affinity_to_itself_is_spread(self) -> None:
        for scope, expected in ((Scope.WORKER, 4), (Scope.RACK, 2)):
            state = make_state(4)
            anti_affinity = Constraints(anti_affinity=frozenset({"g"}), scope=scope)
            request = make_request(tasks=expected, service="g", constraints=anti_affinity)
            self.assertEqual(len(set(place(state, request))), expected)

    def test_batch_avoids_accelerators(self) -> None:
        state = SliceState([make_worker("a", ACCELERATED), make_worker("b")])
        self.assertEqual(place(state, make_request()), ["b"])
        self.assertEqual(place(state, make_request(accelerators=1)), ["a"])

    def test_constraints_are_met(self) -> None:
        state = SliceState(
            [
                make_worker("a", rack="r0", zone="z0"),
                make_worker("b", rack="r1", zone="z1"),
                make_worker("c", rack="r2", zone="z1", labels=frozenset({"ssd"})),
            ]
        )
        table = [
            (Constraints(labels=frozenset({"ssd"})), "c"),
            (Constraints(zones=frozenset({"z0"})), "a"),
            (Constraints(racks=frozenset({"r1"})), "b"),
        ]
        for kind in (Kind.BATCH, Kind.SERVICE):
            for constraints, worker in table:
                with self.subTest(kind=kind, constraints=constraints):
                    request = make_request(kind=kind, service="s", constraints=constraints)
                    self.assertEqual(place(state, request), [worker])
