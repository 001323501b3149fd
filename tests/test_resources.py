"""Tests of resources."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.resources import Resources

amounts = st.builds(Resources, *(st.integers(0, 10**6) for _ in range(5)))


class ResourcesTest(unittest.TestCase):
    """Guards against a component that is left out of the arithmetic."""

    @given(amounts, amounts)
    def test_subtract_undoes_add(self, first: Resources, second: Resources) -> None:
        self.assertEqual(first.add(second).subtract(second), first)

    @given(amounts, amounts)
    def test_fit_has_no_shortage(self, need: Resources, room: Resources) -> None:
        self.assertEqual(need.fits(room), not need.find_shortages(room))
