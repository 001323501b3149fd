"""Counters, gauges and latency histograms, and their text format."""

import re
from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def make_metric_name(name: str) -> str:
    """Return the exported name of a metric."""
    return f"lavenderstall_{re.sub(r'[^A-Za-z0-9_]', '_', name)}"


class Metrics:
    """Hold the metrics of one entry instance."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def record(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        value = min(max(int(seconds * 1e6), MIN_MICROSECONDS), MAX_MICROSECONDS)
        histogram.record_value(value)

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read on each export."""
        self._gauges[name] = read

    def get_percentile(self, name: str, percentile: float) -> float:
        """Return a percentile of a histogram in seconds, 0 when it is empty."""
        histogram = self._histograms.get(name)
        return histogram.get_value_at_percentile(percentile) / 1e6 if histogram else 0.0

    def render_page(self) -> str:
        """Return all metrics in the Prometheus text format.

        Names contain service names and reasons, so characters that collectors reject are replaced.
        """
        return "\n".join([*self._list_lines(), ""])

    def _list_lines(self) -> Iterator[str]:
        for name, amount in sorted(self.counters.items()):
            yield f"{make_metric_name(name)}_total {amount}"
        for name, read in sorted(self._gauges.items()):
            yield f"{make_metric_name(name)} {read():.12g}"
        for key, histogram in sorted(self._histograms.items()):
            name = make_metric_name(key)
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                label = f'quantile="{percentile / 100:g}"'
                yield f"{name}_seconds{{{label}}} {value:g}"
            yield f"{name}_seconds_count {histogram.get_total_count()}"
