"""Measures attempts per call while a tenth of the workers fails each call."""

import heapq
from collections.abc import Iterator
from random import Random

import msgspec

from bench.figures import Figure, make_figure
from lavenderstall.balancing import CallTarget, choose_target
from lavenderstall.deadlines import Deadline, RetryBudget
from lavenderstall.identifiers import WorkerId

WORKERS = 30
SLOTS = 8
CONNECTIONS = 64
FAILING_SHARE = 0.1
RATE_PER_S = 1200.0
RUN_S = 0.1
FAIL_AFTER_S = 0.005
DEADLINE_S = 1.0
DURATION_S = 30.0
AMPLIFICATION = 1.1


class Call(msgspec.Struct):
    """Hold one drawn call and how it went."""

    arrived: float
    run_s: float
    deadline: Deadline
    attempts: int = 0
    done: bool = False
    tried: set[WorkerId] = msgspec.field(default_factory=set)


class Fleet:
    """Send calls to workers, of which the failing ones answer at once with a failure."""

    def __init__(self, failing: set[int]) -> None:
        self.targets = [
            CallTarget(WorkerId(str(index)), SLOTS, SLOTS, CONNECTIONS) for index in range(WORKERS)
        ]
        self.failing = failing

    def choose(self, call: Call, now: float) -> CallTarget | None:
        """Return the first worker with a free slot."""
        return next((target for target in self.targets if target.free_slots), None)

    def may_retry(self, now: float) -> bool:
        """Tell whether a failed call is sent again."""
        return True

    def record_first(self, now: float) -> None:
        """Note the first attempt of a call."""

    def record(self, target: CallTarget, latency_s: float, failed: bool, now: float) -> None:
        """Note the outcome of an attempt."""


class BalancedFleet(Fleet):
    """Choose workers by `choose_target` and retry within a `RetryBudget`."""

    def __init__(self, failing: set[int], random: Random) -> None:
        super().__init__(failing)
        self.random = random
        self.budget = RetryBudget(0.0)

    def choose(self, call: Call, now: float) -> CallTarget | None:
        """Return the cheaper of two random workers."""
        return choose_target(self.targets, self.random, now, call.tried)

    def may_retry(self, now: float) -> bool:
        """Tell whether the budget allows a retry."""
        return self.budget.spend_retry(now)

    def record_first(self, now: float) -> None:
        """Note the first attempt of a call."""
        self.budget.record_call(now)

    def record(self, target: CallTarget, latency_s: float, failed: bool, now: float) -> None:
        """Note the outcome of an attempt."""
        if failed:
            target.latency.record_failure(latency_s, now)
        else:
            target.latency.record(latency_s, now)


def draw_calls(random: Random) -> list[Call]:
    """Return the calls of a run in order of arrival."""
    calls: list[Call] = []
    now = 0.0
    while now < DURATION_S:
        now += random.expovariate(RATE_PER_S)
        run_s = RUN_S * random.uniform(0.5, 1.5)
        calls.append(Call(now, run_s, Deadline(now + DEADLINE_S)))
    return calls


def simulate(calls: list[Call], fleet: Fleet) -> None:
    """Run the calls; one that finds no free slot is not sent."""
    running: list[tuple[float, int, float, CallTarget, Call]] = []
    sent = 0

    def send(call: Call, now: float) -> None:
        nonlocal sent
        target = fleet.choose(call, now)
        if target is None:
            return
        sent += 1
        call.attempts += 1
        call.tried.add(target.worker)
        target.free_slots -= 1
        run_s = FAIL_AFTER_S if int(target.worker) in fleet.failing else call.run_s
        heapq.heappush(running, (now + run_s, sent, now, target, call))

    def end_until(limit: float) -> None:
        while running and running[0][0] <= limit:
            end, _, started, target, call = heapq.heappop(running)
            target.free_slots += 1
            failed = int(target.worker) in fleet.failing
            fleet.record(target, end - started, failed, end)
            call.done = not failed and end <= call.deadline.at
            if failed and not call.deadline.is_expired(end) and fleet.may_retry(end):
                send(call, end)

    for call in calls:
        end_until(call.arrived)
        fleet.record_first(call.arrived)
        send(call, call.arrived)
    end_until(float("inf"))


def run(seed: int) -> Iterator[Figure]:
    """Yield the attempts of a call and the part of calls done."""
    random = Random(seed)
    failing = set(random.sample(range(WORKERS), int(WORKERS * FAILING_SHARE)))
    plain_calls = draw_calls(Random(seed))
    simulate(plain_calls, Fleet(failing))
    calls = draw_calls(Random(seed))
    simulate(calls, BalancedFleet(failing, random))
    amplification, plain_amplification = (count_attempts(each) for each in (calls, plain_calls))
    yield make_figure(
        "retry_amplification",
        amplification,
        "attempts/call",
        seed,
        baseline=plain_amplification,
        target=f"at most {AMPLIFICATION}",
        met=amplification <= AMPLIFICATION,
    )
    done, plain_done = (
        sum(call.done for call in each) / len(each) for each in (calls, plain_calls)
    )
    yield make_figure("retry_calls_done", done, "ratio", seed, baseline=plain_done)


def count_attempts(calls: list[Call]) -> float:
    """Return the mean attempts of a call."""
    return sum(call.attempts for call in calls) / len(calls)
