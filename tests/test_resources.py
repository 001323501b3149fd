"""Tests of resources."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.resources import Resources

amounts = st.builds(Resources, *(st.integers(0, 10**6) for _ in range(5)))


class ResourcesTest(unittest.TestCase):
    """Guards against arithmetic that omits a component."""

    @given(amounts, amounts)
    def test_subtract_undoes_add(self, first: Resources, second: Resources) -> None:
        self.assertEqual(first.add(second).subtract(second), first)

    @given(amounts, amounts)
    def test_fit_has_no_shortage(self, need: Resources, available: Resources) -> None:
        self.assertEqual(need.fits(available), not need.find_shortages(available))
