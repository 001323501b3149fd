"""Straight lines through measured points, and the counters that the points come from."""

import re
from collections.abc import Mapping, Sequence

import msgspec

LEAST_POINTS = 3


class Slope(msgspec.Struct, frozen=True):
    """A straight line through points; `spread` is the largest distance of a point from it."""

    base: float
    per_unit: float
    spread: float

    def extrapolate(self, size: float) -> float:
        """Return the value on the line at a size."""
        return self.base + self.per_unit * size


class Usage(msgspec.Struct, frozen=True):
    """Processor seconds since the start of a process and its resident memory in MB."""

    cpu_s: float
    rss_mb: float


def fit_slope(points: Sequence[tuple[float, float]]) -> Slope:
    """Return the line of least squares through (size, value) points.

    Raises `ValueError` with fewer than three different sizes, which would hide a bend.
    """
    if len({size for size, _ in points}) < LEAST_POINTS:
        raise ValueError(f"a slope needs {LEAST_POINTS} sizes, got {len(points)} points")
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_value = sum(value for _, value in points) / count
    variance = sum((size - mean_size) ** 2 for size, _ in points)
    covariance = sum((size - mean_size) * (value - mean_value) for size, value in points)
    per_unit = covariance / variance
    base = mean_value - per_unit * mean_size
    spread = max(abs(value - base - per_unit * size) for size, value in points)
    return Slope(base, per_unit, spread)


def read_cpu_seconds(stat: str, ticks_per_second: int) -> float:
    """Return user and system time from the text of /proc/<pid>/stat.

    The second field holds the program's name in parentheses and may contain spaces.
    """
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / ticks_per_second


def read_rss_mb(status: str) -> float:
    """Return the resident memory from the text of /proc/<pid>/status."""
    match = re.search(r"^VmRSS:\s+(\d+) kB$", status, re.MULTILINE)
    if match is None:
        raise ValueError("no line VmRSS")
    return int(match[1]) / 1024


def read_metrics(page: str) -> dict[str, float]:
    """Return the values without labels of a /metrics page."""
    values: dict[str, float] = {}
    for line in page.splitlines():
        name, _, value = line.partition(" ")
        if value and "{" not in name:
            values[name.removeprefix("lavenderstall_")] = float(value)
    return values


def find_rates(counts: Mapping[int, int], skip: int = 0) -> tuple[float, int]:
    """Return the mean and the peak of counts by second, without the first and last seconds.

    The last second is not over yet; `skip` leaves out seconds at the start.
    """
    seconds = sorted(counts)[skip:-1]
    if not seconds:
        return 0.0, 0
    total = sum(counts[second] for second in seconds)
    return total / (seconds[-1] - seconds[0] + 1), max(counts[second] for second in seconds)
