"""Measurements of decisions against a plain scheduler on the same draws."""

from importlib import import_module

from bench.figures import Bench

BENCHES = {
    "cancel": "bench.cancel",
    "daemon": "bench.daemon",
    "decide": "bench.decide",
    "floods": "bench.floods",
    "packing": "bench.packing",
    "waits": "bench.waits",
}
"""Module of each bench; it defines `run`, which yields figures."""


def get_bench(name: str) -> Bench:
    """Return the function of a bench; raise `KeyError` if there is none."""
    bench: Bench = import_module(BENCHES[name]).run
    return bench
