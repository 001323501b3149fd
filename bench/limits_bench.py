"""Measures what a flood of one service's calls costs another, and the cost of a refusal."""

import heapq
from collections import deque
from collections.abc import Iterator
from random import Random
from time import perf_counter

import msgspec

from bench.figures import Figure, make_figure
from lavenderstall.deadlines import Deadline
from lavenderstall.errors import RefusedError
from lavenderstall.identifiers import AttemptId, ServiceName, TeamName
from lavenderstall.limits import Call, CallOutcome, ServiceLimits

FLOODED, OTHER = ServiceName("vision"), ServiceName("routing")
TOTAL = 256
RATES_PER_S = {FLOODED: 100.0, OTHER: 200.0}
RUN_S = {FLOODED: 0.15, OTHER: 0.1}
# Beyond this many concurrent calls, a service serves them all more slowly.
CAPACITY = {FLOODED: 24, OTHER: 40}
DEADLINE_S = 1.0
FLOOD_FACTOR = 10
DURATION_S = 60.0
FLOOD_START_S = 20.0
FLOOD_END_S = 40.0
REFUSALS = 20_000
KEPT = 0.98


class Arrival(msgspec.Struct, frozen=True):
    """Hold one drawn call."""

    call: Call
    at: float
    run_s: float


def draw_arrivals(random: Random) -> list[Arrival]:
    """Return the calls of a run in order of arrival."""
    arrivals: list[Arrival] = []
    for service, rate in RATES_PER_S.items():
        now = 0.0
        while now < DURATION_S:
            floods = service == FLOODED and FLOOD_START_S <= now < FLOOD_END_S
            now += random.expovariate(rate * (FLOOD_FACTOR if floods else 1))
            attempt = AttemptId(f"{service}-{len(arrivals)}")
            call = Call(attempt, service, TeamName("t"), Deadline(now + DEADLINE_S))
            run_s = RUN_S[service] * random.uniform(0.5, 1.5)
            arrivals.append(Arrival(call, now, run_s))
    return sorted(arrivals, key=lambda arrival: arrival.at)


class PlainQueue:
    """Start calls in order of arrival while slots are free; refuse nothing."""

    def __init__(self) -> None:
        self.free = TOTAL
        self.waiting: deque[Call] = deque()

    def admit(self, call: Call, now: float) -> bool:
        """Return whether a call starts now; it waits otherwise."""
        if self.free:
            self.free -= 1
            return True
        self.waiting.append(call)
        return False

    def finish(self, call: Call, latency_s: float, now: float) -> list[Call]:
        """Return the calls that start in place of a finished one."""
        if self.waiting:
            return [self.waiting.popleft()]
        self.free += 1
        return []


class LimitedQueue:
    """Admit calls through `ServiceLimits`."""

    def __init__(self) -> None:
        self.limits = ServiceLimits(TOTAL)

    def admit(self, call: Call, now: float) -> bool:
        """Return whether a call starts now; it waits or is refused otherwise."""
        try:
            return self.limits.admit(call, now).starts
        except RefusedError:
            return False

    def finish(self, call: Call, latency_s: float, now: float) -> list[Call]:
        """Return the calls that start in place of a finished one."""
        return self.limits.finish(call.service, CallOutcome.COMPLETE, latency_s, now).started


def simulate(arrivals: list[Arrival], queue: PlainQueue | LimitedQueue) -> list[tuple[str, float]]:
    """Return the service and time of arrival of each call that met its deadline."""
    run_s = {arrival.call.attempt: arrival.run_s for arrival in arrivals}
    met: list[tuple[str, float]] = []
    running: list[tuple[float, str, float, Call]] = []
    in_flight = dict.fromkeys(CAPACITY, 0)

    def start(call: Call, now: float) -> None:
        in_flight[call.service] += 1
        slowdown = max(1.0, in_flight[call.service] / CAPACITY[call.service])
        end = now + run_s[call.attempt] * slowdown
        heapq.heappush(running, (end, call.attempt, now, call))

    def end_until(limit: float) -> None:
        while running and running[0][0] <= limit:
            end, _, started, call = heapq.heappop(running)
            in_flight[call.service] -= 1
            if end <= call.deadline.at:
                met.append((call.service, call.deadline.at - DEADLINE_S))
            for next_call in queue.finish(call, end - started, end):
                start(next_call, end)

    for arrival in arrivals:
        end_until(arrival.at)
        if queue.admit(arrival.call, arrival.at):
            start(arrival.call, arrival.at)
    end_until(float("inf"))
    return met


def compute_kept(arrivals: list[Arrival], met: list[tuple[str, float]]) -> float:
    """Return the other service's share of calls met during the flood over that before."""

    def share(start: float, end: float) -> float:
        offered = sum(a.call.service == OTHER and start <= a.at < end for a in arrivals)
        return sum(service == OTHER and start <= at < end for service, at in met) / offered

    return share(FLOOD_START_S, FLOOD_END_S) / share(0.0, FLOOD_START_S)


def count_flooded(met: list[tuple[str, float]]) -> int:
    """Return how many calls of the flooded service met their deadline."""
    return sum(service == FLOODED for service, _ in met)


def measure_refusal_us() -> float:
    """Return the time of one refusal by a full queue, in microseconds."""
    limits = ServiceLimits(TOTAL)
    call = Call(AttemptId("x"), FLOODED, TeamName("t"), Deadline(1e9))
    for number in range(100_000):
        try:
            limits.admit(msgspec.structs.replace(call, attempt=AttemptId(str(number))), 0.0)
        except RefusedError:
            break
    refused = 0
    begin = perf_counter()
    for _ in range(REFUSALS):
        try:
            limits.admit(call, 0.0)
        except RefusedError:
            refused += 1
    elapsed = perf_counter() - begin
    if refused != REFUSALS:
        raise RuntimeError(f"{REFUSALS - refused} of {REFUSALS} calls were not refused")
    return elapsed / REFUSALS * 1e6


def run(seed: int) -> Iterator[Figure]:
    """Yield what another service keeps, and the cost of a refusal."""
    arrivals = draw_arrivals(Random(seed))
    plain = simulate(arrivals, PlainQueue())
    limited = simulate(arrivals, LimitedQueue())
    kept, plain_kept = compute_kept(arrivals, limited), compute_kept(arrivals, plain)
    flooded, plain_flooded = count_flooded(limited), count_flooded(plain)
    yield make_figure(
        "call_flood_kept",
        kept,
        "ratio",
        seed,
        baseline=plain_kept,
        target=f"at least {KEPT}",
        met=kept >= KEPT,
    )
    yield make_figure("flooded_calls_met", flooded, "calls", seed, baseline=plain_flooded)
    yield make_figure("refusal_cost", measure_refusal_us(), "us", seed)
