"""Sets of whole numbers from 0, kept as ranges."""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import pairwise


class RangeSet:
    """A set of numbers that takes room by its gaps, not by its size."""

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._ranges: list[tuple[int, int]] = list(ranges)
        self._count = sum(end - start for start, end in self._ranges)

    def __contains__(self, number: object) -> bool:
        if not isinstance(number, int):
            return False
        index = bisect_right(self._ranges, (number, float("inf"))) - 1
        return index >= 0 and number < self._ranges[index][1]

    def __len__(self) -> int:
        return self._count

    def add(self, number: int) -> None:
        """Add one number, and join the ranges beside it."""
        if number in self:
            return
        self._count += 1
        index = bisect_right(self._ranges, (number, float("inf")))
        start, end = number, number + 1
        if index < len(self._ranges) and self._ranges[index][0] == end:
            end = self._ranges.pop(index)[1]
        if index and self._ranges[index - 1][1] == start:
            index -= 1
            start = self._ranges.pop(index)[0]
        self._ranges.insert(index, (start, end))

    def list_ranges(self) -> list[tuple[int, int]]:
        """Return the ranges in order, each without its end."""
        return list(self._ranges)

    def find_missing(self, number: int) -> int:
        """Return the first number from one on that is not in the set."""
        index = bisect_right(self._ranges, (number, float("inf"))) - 1
        return max(number, self._ranges[index][1]) if index >= 0 else number


def are_ranges(ranges: list[tuple[int, int]], count: int) -> bool:
    """Tell whether these are ranges below a count, in order and apart from each other."""
    bounds = [bound for each in ranges for bound in each]
    in_order = all(earlier < later for earlier, later in pairwise(bounds))
    return in_order and all(0 <= bound <= count for bound in bounds)
