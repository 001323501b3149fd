"""Tests of the slice state and the worker index."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.protocol import Kind
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.slice_state import Reservation, SliceState, StateError
from lavenderstall.worker_index import DIMENSIONS, count_fits, quantise
from tests.fixtures import ACCELERATED, SIZE, make_request, make_state, make_worker


class SliceStateTest(unittest.TestCase):
    """Guards against totals that differ from the charges and against undetected misuse."""

    def test_misuse_raises(self) -> None:
        state = make_state(1)
        state.charge("w0", "t", Resources(1))
        misuses = [
            lambda: state.add_worker(make_worker("w0")),
            lambda: state.remove_worker("w1"),
            lambda: state.charge("w0", "t", Resources(1)),
            lambda: state.release("w0", "other"),
            lambda: state.change_charge("w0", "other", Resources(1)),
            lambda: state.get_available("w1"),
        ]
        for misuse in misuses:
            with self.assertRaises(StateError):
                misuse()
        self.assertEqual(state.used, Resources(1))

    def test_change_charge_replaces_the_charge(self) -> None:
        state = make_state(1)
        state.charge("w0", "t", make_request(1000, 100))
        state.change_charge("w0", "t", Resources(3000, 100))
        self.assertEqual(state.get_available("w0"), SIZE.subtract(Resources(3000, 100)))
        self.assertEqual(state.team_used["t"], Resources(3000, 100))

    def test_smaller_capacity_keeps_the_charges(self) -> None:
        state = make_state(1)
        state.charge("w0", "t", Resources(9000))
        state.update_worker("w0", capacity=Resources(8000, 1024))
        self.assertEqual(state.get_available("w0").cores_milli, -1000)
        state.release("w0", "t")
        self.assertEqual(state.get_available("w0"), Resources(8000, 1024))

    def test_removed_worker_leaves_no_state(self) -> None:
        state = make_state(1)
        state.charge("w0", "t", make_request(service="s", kind=Kind.SERVICE))
        worker = state.remove_worker("w0")
        self.assertEqual(list(worker.tasks), ["t"])
        self.assertEqual((state.used, state.capacity), (NOTHING, NOTHING))
        for mapping in (
            state.groups,
            state.racks,
            state.service_workers,
            state.team_used,
            state.freed_workers,
        ):
            self.assertFalse(mapping)

    def test_cancelled_reservation_frees_its_workers(self) -> None:
        state = make_state(2)
        list(state.pop_freed_workers())
        reservation = Reservation(make_request(tasks=2), frozenset({"w0"}), 1.0, 0.0)
        state.reserve(Kind.GANG, reservation)
        state.cancel_reservation(Kind.GANG)
        self.assertFalse(state.reserved)
        self.assertEqual([worker.id for worker in state.pop_freed_workers()], ["w0"])

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["charge", "release", "recharge", "update", "remove"]),
                st.integers(0, 5),
                st.integers(0, 9000),
                st.integers(0, 30000),
            ),
            max_size=80,
        )
    )
    def test_sums_and_index_match_the_charges(self, steps: list[tuple[str, int, int, int]]) -> None:
        state = SliceState(
            make_worker(f"w{n}", ACCELERATED if n % 3 == 0 else SIZE) for n in range(6)
        )
        for number, (step, worker, cores, memory) in enumerate(steps):
            name = f"w{worker}"
            if name not in state.workers:
                state.add_worker(make_worker(name))
            tasks = list(state.workers[name].tasks)
            if step == "charge":
                state.charge(name, f"t{number}", make_request(cores, memory, service="s"))
            elif step == "update":
                state.update_worker(name, draining=cores % 2 == 0)
            elif step == "remove":
                state.remove_worker(name)
            elif tasks and step == "release":
                state.release(name, tasks[0])
            elif tasks:
                state.change_charge(name, tasks[0], Resources(cores, memory))
        self.check_sums(state)
        self.check_index(state, Resources(5000, 20000))

    def check_sums(self, state: SliceState) -> None:
        total = NOTHING
        for worker in state.workers.values():
            used = NOTHING
            for charge in worker.tasks.values():
                used = used.add(charge.resources)
            self.assertEqual(worker.available, worker.capacity.subtract(used))
            self.assertEqual(worker.id in state.service_workers.get("s", {}), bool(worker.tasks))
            total = total.add(used)
        self.assertEqual(state.used, total)
        self.assertEqual(state.kind_used.get(Kind.BATCH, NOTHING), total)

    def check_index(self, state: SliceState, need: Resources) -> None:
        expected = {
            worker.id
            for worker in state.workers.values()
            if worker.in_service and need.fits(worker.available)
        }
        for name in DIMENSIONS:
            for most_available_first in (False, True):
                found = [
                    worker.id
                    for group in state.groups.values()
                    for worker in group.index.find_fitting(
                        need, name, 100, most_available_first=most_available_first
                    )
                ]
                self.assertCountEqual(found, expected)


class AmountsTest(unittest.TestCase):
    """Guards against unordered buckets and against counts above the available resources."""

    @given(st.integers(0, 2**40), st.integers(0, 2**40))
    def test_buckets_keep_the_order(self, first: int, second: int) -> None:
        low, high = sorted((first, second))
        self.assertLessEqual(quantise(low), quantise(high))

    @given(st.integers(0, 50), st.integers(0, 50), st.integers(-5, 500), st.integers(-5, 500))
    def test_count_fits(self, cores: int, memory: int, room: int, rest: int) -> None:
        need, free = Resources(cores, memory), Resources(room, rest)
        count = count_fits(need, free, 20)
        self.assertTrue(count == 0 or Resources(cores * count, memory * count).fits(free))
        self.assertTrue(
            count == 20 or not Resources(cores * count + cores, memory * count + memory).fits(free)
        )
