"""Measured figures and their targets."""

from collections.abc import Callable, Iterator, Sequence
from typing import TypeAlias

import msgspec

SEED = 20260401


class Figure(msgspec.Struct):
    """One measured value; `target` is what the design page asks for, `met` whether it holds.

    `previous` is the value of an earlier run, left out if none was given.
    """

    name: str
    value: float
    unit: str
    baseline: float | None
    ratio: float | None
    seed: int
    target: str | None = None
    met: bool | None = None
    previous: float | None | msgspec.UnsetType = msgspec.UNSET


Bench: TypeAlias = Callable[[int], Iterator[Figure]]


def make_figure(
    name: str,
    value: float,
    unit: str,
    seed: int,
    *,
    baseline: float | None = None,
    target: str = "",
    met: bool | None = None,
) -> Figure:
    """Return a figure with its ratio to the baseline, rounded for print."""
    ratio = round(value / baseline, 4) if baseline else None
    shown = None if baseline is None else round(baseline, 4)
    return Figure(name, round(value, 4), unit, shown, ratio, seed, target or None, met)


def find_percentile(values: Sequence[float], part: float) -> float:
    """Return the value that this part of all values does not exceed, 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
