"""The benches by name, and the figures that each must yield."""

from importlib import import_module

import msgspec

from bench.figures import Bench


class BenchModule(msgspec.Struct, frozen=True):
    """A module that defines `run`, and the names that a complete run yields."""

    path: str
    required: tuple[str, ...]


WAIT_NAMES = tuple(
    f"wait_{part}_{kind}_{load}"
    for load in (70, 95)
    for kind in ("service", "batch", "gang")
    for part in ("p50", "p99")
)
FLOOD_NAMES = tuple(
    name
    for label in ("low", "high")
    for name in (f"flood_{label}_kept", f"flood_wait_ratio_{label}", f"urgent_start_p99_{label}")
)
DECIDE_NAMES = (
    "decide_rate_28",
    "decide_rate_2000",
    "decide_rate_12000",
    "decide_p99_2000",
    "gang_p99_2000",
)
DAEMON_NAMES = (
    "entry_rss",
    "entry_cpu_per_placement",
    "bytes_per_worker_s",
    "store_writes_peak_9",
    "store_writes_peak_150",
)
BLOCKED_NAMES = tuple(
    f"blocked_{part}_{count}" for count in (0, 24, 1000, 20_000) for part in ("dispatch", "starts")
)

BENCHES = {
    "decide": BenchModule("bench.decide", DECIDE_NAMES),
    "blocked": BenchModule("bench.blocked_steps", BLOCKED_NAMES),
    "cancel": BenchModule("bench.cancel", ("cancel_wave",)),
    "waits": BenchModule("bench.waits", (*WAIT_NAMES, "wait_p99_gang_95_bound")),
    "packing": BenchModule("bench.packing", ("packing",)),
    "floods": BenchModule("bench.floods", FLOOD_NAMES),
    "health": BenchModule("bench.health_bench", ("bad_worker_share",)),
    "retry": BenchModule("bench.retry_bench", ("retry_amplification",)),
    "usage": BenchModule("bench.usage_bench", ("misdeclared_overrun",)),
    "limits": BenchModule("bench.limits_bench", ("call_flood_kept",)),
    "daemon": BenchModule("bench.daemon", DAEMON_NAMES),
}


def get_bench(name: str) -> Bench:
    """Return the function of a bench; raise `KeyError` if there is none."""
    bench: Bench = import_module(BENCHES[name].path).run
    return bench
