"""Measurements of the scheduler against plain baselines on the same draws."""

from bench.modules import BENCHES, get_bench

__all__ = ["BENCHES", "get_bench"]
