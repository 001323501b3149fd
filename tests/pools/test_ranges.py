"""Tests of sets of numbers kept as ranges."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.pools.ranges import RangeSet, are_ranges

COUNT = 40


class RangeSetTest(unittest.TestCase):
    """Comparison with a plain set."""

    @given(st.lists(st.integers(0, COUNT - 1)))
    def test_it_holds_what_was_added(self, numbers: list[int]) -> None:
        found, model = RangeSet(), set(numbers)
        for number in numbers:
            found.add(number)
        self.assertEqual({n for n in range(-1, COUNT + 1) if n in found}, model)
        self.assertEqual(len(found), len(model))
        for number in range(COUNT):
            missing = min(set(range(number, COUNT + 1)) - model)
            self.assertEqual(found.find_missing(number), missing)
        self.assertTrue(are_ranges(found.list_ranges(), COUNT))
        again = RangeSet(found.list_ranges())
        self.assertEqual(again.list_ranges(), found.list_ranges())
        self.assertEqual(len(again), len(found))

    def test_odd_ranges_are_told(self) -> None:
        rows = (
            ([], True),
            ([(0, 2), (3, 5)], True),
            ([(0, 2), (2, 5)], False),
            ([(3, 5), (0, 2)], False),
            ([(2, 2)], False),
            ([(-1, 2)], False),
            ([(0, 6)], False),
        )
        for ranges, sound in rows:
            with self.subTest(ranges=ranges):
                self.assertEqual(are_ranges(ranges, 5), sound)


if __name__ == "__main__":
    unittest.main()
