"""Tests of the choice of tasks to preempt."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.identifiers import JobId, TaskId, WorkerId
from lavenderstall.preemption import (
    PreemptionBudget,
    PreemptionMethod,
    PreemptionPlan,
    PreemptionReason,
    RunningTask,
    choose_plan,
    choose_victims,
)
from lavenderstall.resources import NOTHING, Resources

WORKER = WorkerId("w")
TASKS = st.lists(
    st.builds(
        RunningTask,
        task=st.integers(0, 99).map(lambda number: TaskId(f"j.{number}")),
        job=st.sampled_from("pqrs").map(JobId),
        priority=st.integers(0, 5),
        charge=st.builds(Resources, st.integers(0, 4000), st.integers(0, 4000)),
        started=st.floats(0, 100),
        idempotent=st.booleans(),
        has_checkpoint=st.booleans(),
        is_throttled=st.booleans(),
    ),
    max_size=10,
    unique_by=lambda task: task.task,
)


def make_task(name: str, priority: int = 0, started: float = 0.0, **changes: bool) -> RunningTask:
    """Return a task of two cores and 1000 MB in a job of its own."""
    charge = Resources(2000, 1000)
    defaults = {"idempotent": True}
    return RunningTask(TaskId(name), JobId(name), priority, charge, started, **(defaults | changes))


def choose(
    tasks: list[RunningTask],
    needed: Resources,
    budget: PreemptionBudget | None = None,
    now: float = 100.0,
) -> PreemptionPlan:
    """Choose victims for a request of priority 4 on a full worker."""
    budget = budget or PreemptionBudget()
    return choose_victims(WORKER, needed, NOTHING, priority=4, tasks=tasks, budget=budget, now=now)


class ChooseVictimsTest(unittest.TestCase):
    """Guards against preempting protected tasks, or more than needed."""

    @given(TASKS, st.integers(0, 9000), st.integers(0, 9000), st.integers(0, 6))
    def test_victims_are_permitted_needed_and_enough(
        self, tasks: list[RunningTask], cores: int, memory: int, per_minute: int
    ) -> None:
        needed = Resources(cores, memory)
        budget = PreemptionBudget(per_minute, per_job=2)
        plan = choose(tasks, needed, budget)
        by_id = {task.task: task for task in tasks}
        freed = [preemption.freed for preemption in plan.preemptions]
        total = NOTHING
        for each in freed:
            total = total.add(each)
        if plan.preemptions:
            self.assertTrue(needed.fits(total))
        for preemption in plan.preemptions:
            victim = by_id[preemption.task]
            self.assertTrue(victim.idempotent and victim.priority < 4)
            self.assertTrue(preemption.freed.fits(victim.charge))
            self.assertFalse(needed.fits(total.subtract(preemption.freed)))
        budget.record(plan, 100.0)
        self.assertGreaterEqual(budget.get_remaining(100.0), 0)
        for job in "pqrs":
            self.assertGreaterEqual(budget.get_remaining_for_job(JobId(job), 100.0), 0)

    def test_order_of_methods(self) -> None:
        saved = make_task("saved", priority=3, has_checkpoint=True)
        plain = make_task("plain")
        for tasks, needed, expected in [
            ([plain, saved], Resources(1000), [("saved", PreemptionMethod.CHECKPOINT)]),
            ([plain], Resources(1000), [("plain", PreemptionMethod.THROTTLE)]),
            ([plain], Resources(1000, 500), [("plain", PreemptionMethod.STOP)]),
            (
                [plain, saved],
                Resources(1000, 1500),
                [("plain", PreemptionMethod.STOP), ("saved", PreemptionMethod.CHECKPOINT)],
            ),
        ]:
            with self.subTest(needed=needed):
                preemptions = choose(tasks, needed).preemptions
                found = sorted(((each.task, each.method) for each in preemptions), key=str)
                self.assertEqual(found, expected)

    def test_lowest_priority_and_shortest_run_first(self) -> None:
        tasks = [make_task("a", 2, 99.0), make_task("b", 1, 10.0), make_task("c", 1, 90.0)]
        plan = choose(tasks, Resources(0, 1000))
        self.assertEqual([each.task for each in plan.preemptions], ["c"])

    def test_reasons_for_no_preemption(self) -> None:
        task = make_task("a")
        fixed = make_task("b", idempotent=False)
        for tasks, needed, per_minute, reason in [
            ([task], NOTHING, 9, PreemptionReason.ALREADY_FITS),
            ([task], Resources(1000), 0, PreemptionReason.RATE_LIMIT),
            ([fixed], Resources(1000), 9, PreemptionReason.NOT_ENOUGH_LOWER_PRIORITY),
        ]:
            with self.subTest(reason=reason):
                plan = choose(tasks, needed, PreemptionBudget(per_minute))
                self.assertEqual((plan.preemptions, plan.reason), ((), reason))

    def test_limits_expire(self) -> None:
        budget = PreemptionBudget(per_minute=1, per_job=1)
        plan = choose([make_task("a")], Resources(1000), budget)
        budget.record(plan, 100.0)
        self.assertFalse(choose([make_task("b")], Resources(1000), budget, 159.0).preemptions)
        self.assertTrue(choose([make_task("b")], Resources(1000), budget, 161.0).preemptions)
        self.assertFalse(choose([make_task("a")], Resources(1000), budget, 161.0).preemptions)

    def test_least_disruptive_plan(self) -> None:
        high = choose([make_task("a", 3)], Resources(1000))
        low = choose([make_task("b", 1)], Resources(1000, 1000))
        self.assertEqual(choose_plan([high, low]), low)


if __name__ == "__main__":
    unittest.main()
