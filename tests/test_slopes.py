"""Tests of the lines through measured points and of the counters they come from."""

import unittest

from bench.slopes import find_rates, fit_slope, read_cpu_seconds, read_metrics, read_rss_mb
from bench.store_writes import find_peak

FIELDS = "S 1 1 1 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 4 0 1000 1 1"


class SlopeTest(unittest.TestCase):
    """Guard against wrong sizes in the capacity page."""

    def test_fit(self) -> None:
        """A line must pass through its points and report how far the others are from it."""
        cases = (
            ("exact", [(1, 3.0), (2, 5.0), (4, 9.0)], 1.0, 2.0, 0.0),
            ("flat", [(1, 7.0), (5, 7.0), (9, 7.0)], 7.0, 0.0, 0.0),
            ("noisy", [(0, 0.0), (1, 3.0), (2, 0.0)], 1.0, 0.0, 2.0),
        )
        for name, points, base, per_unit, spread in cases:
            with self.subTest(name):
                slope = fit_slope(points)
                self.assertAlmostEqual(slope.base, base)
                self.assertAlmostEqual(slope.per_unit, per_unit)
                self.assertAlmostEqual(slope.spread, spread)
                self.assertAlmostEqual(slope.extrapolate(100), base + 100 * per_unit)

    def test_too_few_sizes(self) -> None:
        """Two sizes always give a line and hide that the cost bends."""
        for points in ([], [(1, 1.0), (2, 2.0)], [(1, 1.0), (1, 2.0), (2, 3.0)]):
            with self.subTest(points=points), self.assertRaises(ValueError):
                fit_slope(points)


class CounterTest(unittest.TestCase):
    """Guard against reading another field or an unfinished second."""

    def test_cpu(self) -> None:
        """A program's name with spaces and parentheses must not shift the fields."""
        for name in ("python", "a program", "odd) name ("):
            with self.subTest(name):
                self.assertEqual(read_cpu_seconds(f"42 ({name}) {FIELDS}", 100), 3.0)

    def test_rss(self) -> None:
        """The peak must not be taken for the present size."""
        self.assertEqual(read_rss_mb("VmHWM:\t 9999 kB\nVmRSS:\t  2048 kB\n"), 2.0)
        with self.assertRaises(ValueError):
            read_rss_mb("VmHWM: 9999 kB\n")

    def test_metrics(self) -> None:
        """Large counters must keep their digits, and quantiles are not counters."""
        page = 'lavenderstall_a_total 12345678\nlavenderstall_b{quantile="0.5"} 1\n'
        self.assertEqual(read_metrics(page), {"a_total": 12345678.0})

    def test_rates(self) -> None:
        """The second that is not over must not lower the mean; idle seconds count."""
        cases = (
            ({}, 0, (0.0, 0)),
            ({5: 9}, 0, (0.0, 0)),
            ({1: 10, 2: 20, 3: 1}, 0, (15.0, 20)),
            ({1: 90, 2: 10, 4: 20, 5: 1}, 1, (10.0, 20)),
        )
        for counts, skip, expected in cases:
            with self.subTest(counts=counts):
                self.assertEqual(find_rates(counts, skip), expected)

    def test_peak(self) -> None:
        """Writes on both sides of a full second must be found together."""
        cases = (([], 0), ([1.0], 1), ([0.9, 1.1, 1.8, 1.95], 3), ([0.0, 1.0, 2.0], 1))
        for times, expected in cases:
            with self.subTest(times=times):
                self.assertEqual(find_peak(times), expected)
