"""A lower bound of the p99 wait of gangs that follows from the draws alone.

If a gang starts within some seconds of its arrival, it holds its accelerators for a part of any
interval that no choice of its start avoids. Where these parts exceed all accelerators, some
gangs must start later. The bound knows all run times, and neither workers nor other resources.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence

import msgspec

from bench.draws import LONGEST_RUN_S
from bench.events import Arrival

LENGTHS_S = (2.0, 4.0, 6.0, 8.0, 10.0, 15.0, 20.0, 30.0, 45.0, 60.0, 90.0)
STEP_S = 1.0
PRECISION_S = 0.1
HIGHEST_S = 16.0
ROUNDING = 1e-6


class Excess(msgspec.Struct, frozen=True):
    """An interval that gangs overfill: by how much, and the least part of each gang in it."""

    amount: float
    parts: dict[int, float]


def compute_part(arrival: Arrival, wait: float, begin: float, end: float) -> float:
    """Return the least accelerator-seconds of a gang in an interval if it waits no longer.

    The overlap rises, stays and falls with the start, so it is least at the first or last start.
    """
    first, last = (
        max(min(start + arrival.run_s, end) - max(start, begin), 0.0)
        for start in (arrival.at, arrival.at + wait)
    )
    request = arrival.request
    return min(first, last) * len(request.tasks) * request.resources.accelerators


def list_excesses(
    arrivals: Sequence[Arrival], capacity: int, wait: float, until: float
) -> list[Excess]:
    """Return the intervals up to a time that gangs overfill if none waits longer."""
    found = []
    times = [arrival.at for arrival in arrivals]
    for length in LENGTHS_S:
        for number in range(int((until - length) / STEP_S)):
            begin = number * STEP_S
            end = begin + length
            parts = {
                index: part
                for index in range(
                    bisect_left(times, begin - LONGEST_RUN_S - wait), bisect_left(times, end)
                )
                if (part := compute_part(arrivals[index], wait, begin, end))
            }
            amount = sum(parts.values()) - capacity * length
            if amount > ROUNDING:
                found.append(Excess(amount, parts))
    return found


def count_needed(amount: float, parts: Iterable[float]) -> int:
    """Return how many of the largest parts make up an amount."""
    count = 0
    for part in sorted(parts, reverse=True):
        if amount <= ROUNDING:
            break
        amount -= part
        count += 1
    return count


def count_late(arrivals: Sequence[Arrival], capacity: int, wait: float, until: float) -> int:
    """Return a number of gangs that at least have to wait longer.

    Intervals are taken in turn; gangs of earlier ones count as late without being counted again.
    """
    excesses = list_excesses(arrivals, capacity, wait, until)
    excesses.sort(key=lambda item: len(item.parts) / count_needed(item.amount, item.parts.values()))
    used: set[int] = set()
    late = 0
    for item in excesses:
        amount = item.amount - sum(part for index, part in item.parts.items() if index in used)
        if amount > ROUNDING:
            fresh = (part for index, part in item.parts.items() if index not in used)
            late += count_needed(amount, fresh)
            used.update(item.parts)
    return late


def find_least_p99(arrivals: Sequence[Arrival], capacity: int, until: float) -> float:
    """Return a p99 wait that no order of starts on so many accelerators goes below."""
    allowed = len(arrivals) - 1 - int(0.99 * len(arrivals))
    low, high = 0.0, HIGHEST_S
    while high - low > PRECISION_S:
        wait = (low + high) / 2
        # What still waits at the end of the run counts only up to then.
        timely = [arrival for arrival in arrivals if arrival.at + wait <= until]
        if count_late(timely, capacity, wait, until) > allowed:
            low = wait
        else:
            high = wait
    return low
