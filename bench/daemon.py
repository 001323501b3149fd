"""What control costs on entry instances that run as processes, and the sizes that follow."""

import argparse
import sys
import time
from collections.abc import Iterator

import msgspec

from bench import control_costs, fanout, store_writes
from bench.figures import SEED, Figure, make_figure
from bench.loads import declare_service, fill, measure, start_tasks
from bench.processes import ProcessCell
from bench.slopes import Slope, find_rates, fit_slope
from lavenderstall.client import Client

# The size of two years, and what one entry instance of it carries.
NODES = 12_000
ENTRIES = 150
TASKS = 320_000
ZONES = 6
USAGE_SECONDS = 6.0

RSS_LIMIT_MB = 64
WORKER_BYTES_LIMIT = 7_000
NODE_CPU_LIMIT = 0.011
FORCE_LIMIT_S = 3.0

TODAY_WORKERS = 28
TODAY_TASKS = 27
TODAY_ENTRIES = 8
TODAY_ZONES = 4


class Sizes(msgspec.Struct, frozen=True):
    """Sizes at which slopes are measured, and the length of each measurement in seconds."""

    workers: tuple[int, ...] = (28, 100, 300)
    tasks: tuple[int, ...] = (0, 10, 20)
    peers: tuple[int, ...] = (2, 4, 8)
    starts: tuple[int, ...] = ()
    calls: tuple[int, ...] = ()
    seconds: float = 3.0
    settle: float = 1.5
    task_seconds: float = 1.0


QUICK = Sizes()
FULL = Sizes(
    peers=(2, 4, 8, 16),
    tasks=(0, 10, 18, 27),
    starts=(0, 50, 150, 300),
    calls=(0, 50, 100, 200),
    seconds=8.0,
    settle=6.0,
    task_seconds=8.0,
)


class Slopes(msgspec.Struct, frozen=True):
    """Slopes of memory in MB, of processor time in cores and of traffic in bytes a second."""

    worker_rss: Slope
    worker_cpu: Slope
    worker_bytes: Slope
    task_rss: Slope
    task_cpu: Slope
    peer_rss: Slope
    peer_cpu: Slope
    peer_bytes: Slope


def show(name: str, **values: float) -> None:
    """Print one measurement to standard error."""
    text = " ".join(f"{key}={value:.6g}" for key, value in values.items())
    print(f"{name} {text}", file=sys.stderr, flush=True)


def measure_workers(sizes: Sizes) -> dict[str, Slope]:
    """Return slopes over workers, idle, on one entry instance."""
    points = []
    for workers in sizes.workers:
        with ProcessCell(workers, 1) as cell:
            time.sleep(sizes.settle)
            found = measure(cell, sizes.seconds)
        points.append((workers, found.rss_mean, found.cpu, found.worker_bytes))
        show(
            "workers",
            workers=workers,
            rss_mb=found.rss_mean,
            cpu=found.cpu,
            bytes_per_s=found.worker_bytes,
            standins_cpu=found.standins_cpu,
        )
    return {
        "worker_rss": fit_slope([(p[0], p[1]) for p in points]),
        "worker_cpu": fit_slope([(p[0], p[2]) for p in points]),
        "worker_bytes": fit_slope([(p[0], p[3]) for p in points]),
    }


def measure_tasks(sizes: Sizes, workers: int = 100) -> dict[str, Slope]:
    """Return slopes over running tasks on one entry instance."""
    points = []
    with ProcessCell(workers, 1) as cell:
        time.sleep(sizes.settle)
        running = 0
        for each in sizes.tasks:
            fill(cell, each * workers - running)
            running = each * workers
            # What is learned from the first reports of usage, after 5 s, takes memory too.
            time.sleep(USAGE_SECONDS if running else 0)
            found = measure(cell, sizes.task_seconds)
            points.append((running, found.rss_mean, found.cpu))
            show(
                "tasks",
                tasks=running,
                workers=workers,
                rss_mb=found.rss_mean,
                cpu=found.cpu,
                bytes_per_s=found.worker_bytes,
            )
    return {
        "task_rss": fit_slope([(p[0], p[1]) for p in points]),
        "task_cpu": fit_slope([(p[0], p[2]) for p in points]),
    }


def measure_peers(sizes: Sizes) -> dict[str, Slope]:
    """Return slopes over peers of one entry instance; each owns the slice of one rack."""
    points = []
    for entries in sizes.peers:
        # The shape deals racks out over zones, so that each entry instance owns one slice.
        with ProcessCell(4 * entries, entries, zones=entries) as cell:
            time.sleep(sizes.settle)
            found = measure(cell, sizes.seconds)
        each = found.cpu / entries
        points.append((entries - 1, found.rss_mean, each, found.link_bytes / entries))
        show(
            "peers",
            peers=entries - 1,
            rss_mb=found.rss_mean,
            cpu_each=each,
            link_bytes_each=found.link_bytes / entries,
            link_messages_each=found.link_messages / entries,
        )
    return {
        "peer_rss": fit_slope([(p[0], p[1]) for p in points]),
        "peer_cpu": fit_slope([(p[0], p[2]) for p in points]),
        "peer_bytes": fit_slope([(p[0], p[3]) for p in points]),
    }


def measure_slopes(sizes: Sizes) -> Slopes:
    """Return all slopes that memory and idle cost follow from."""
    return Slopes(**measure_workers(sizes), **measure_tasks(sizes), **measure_peers(sizes))


def extrapolate_rss(slopes: Slopes, costs: control_costs.Costs, entries: int = ENTRIES) -> float:
    """Return the memory in MB of one of some entry instances at the size of two years.

    A few peers take less than the noise, so that a negative slope counts as none. The workers
    of the own zone stay in memory while the next membership list is read.
    """
    kept = costs.list_bytes.extrapolate(NODES / ZONES)
    listed = kept + costs.list_bytes.extrapolate(NODES) + costs.list_wire.extrapolate(NODES)
    return (
        slopes.worker_rss.extrapolate(NODES / entries)
        + slopes.task_rss.per_unit * TASKS / entries
        + max(slopes.peer_rss.per_unit, 0.0) * (entries - 1)
        + listed / 2**20
    )


def list_today(seed: int) -> Iterator[Figure]:
    """Yield the figures of today's size."""
    with ProcessCell(TODAY_WORKERS, TODAY_ENTRIES, TODAY_ZONES) as cell:
        declare_service(cell, 8)
        fill(cell, TODAY_WORKERS * TODAY_TASKS)
        # The first reports of usage come with a lag of five seconds.
        time.sleep(6)
        idle = measure(cell, 5.0)
        rss = max(idle.rss_mb)
        yield make_figure(
            "entry_rss", rss, "MB", seed, target=f"at most {RSS_LIMIT_MB}", met=rss <= RSS_LIMIT_MB
        )
        each = idle.worker_bytes / TODAY_WORKERS
        target = f"at most {WORKER_BYTES_LIMIT}"
        yield make_figure(
            "bytes_per_worker_s", each, "B/s", seed, target=target, met=each <= WORKER_BYTES_LIMIT
        )
        yield from list_node_cpu("idle", idle.cpu, seed)
        loaded = measure(cell, 5.0, start_tasks(cell, 100))
        extra = (loaded.cpu - idle.cpu) * loaded.seconds / loaded.done
        yield make_figure("entry_cpu_per_placement", extra * 1e3, "ms", seed)
        each = loaded.worker_bytes / TODAY_WORKERS
        yield make_figure(
            "bytes_per_worker_s_starts",
            each,
            "B/s",
            seed,
            target=target,
            met=each <= WORKER_BYTES_LIMIT,
        )
        yield from list_node_cpu("starts", loaded.cpu, seed)
        yield from list_changes(cell, seed)
        yield from list_queries(cell, seed)
        mean, peak = find_rates(cell.read_counters().writes, skip=5)
        yield make_figure("store_writes_mean_today", mean, "1/s", seed)
        yield make_figure("store_writes_peak_today", peak, "1/s", seed)


def list_node_cpu(load: str, cpu: float, seed: int) -> Iterator[Figure]:
    """Yield the processor time for control in both readings, in percent of a core."""
    target = f"at most {NODE_CPU_LIMIT * 100:g}"
    for reading, cores in (("entry", cpu / TODAY_ENTRIES), ("served", cpu / TODAY_WORKERS)):
        name = f"control_cpu_per_node_{reading}_{load}"
        met = cores <= NODE_CPU_LIMIT
        yield make_figure(name, cores * 100, "%", seed, target=target, met=met)


def list_changes(cell: ProcessCell, seed: int) -> Iterator[Figure]:
    """Yield the longest time of some changes until in force everywhere."""
    took = [cell.apply(f"kind: team\nname: team-x\nweight: {2 + turn}") for turn in range(5)]
    name = f"change_in_force_{len(cell.entries)}"
    target, met = f"at most {FORCE_LIMIT_S:g}", max(took) <= FORCE_LIMIT_S
    yield make_figure(name, max(took), "s", seed, target=target, met=met)


def list_queries(cell: ProcessCell, seed: int) -> Iterator[Figure]:
    """Yield the instances asked and the time of queries over sockets."""
    client = Client(cell.urls[:1], cell.operator)

    def ask(text: str) -> tuple[float, float]:
        before = cell.read_pages()[0].get("query_parts_asked_total", 0.0)
        begin = time.perf_counter()
        client.query(text, reads=True)
        took = time.perf_counter() - begin
        return cell.read_pages()[0]["query_parts_asked_total"] - before, took

    ask("show workers")
    asked_all, time_all = min(ask("show workers") for _ in range(5))
    asked, took = min(ask("show workers where zone = 'z1'") for _ in range(5))
    yield make_figure("query_asked_zone_processes", asked, "instances", seed, baseline=asked_all)
    yield make_figure("query_time_zone_processes", took * 1e3, "ms", seed, baseline=time_all * 1e3)


def run(seed: int) -> Iterator[Figure]:
    """Yield all figures; slopes are measured at three sizes for a few seconds each."""
    yield from list_today(seed)
    slopes, costs = measure_slopes(QUICK), control_costs.measure_costs()
    rss = extrapolate_rss(slopes, costs)
    yield make_figure(
        "entry_rss_two_years",
        rss,
        "MB",
        seed,
        target=f"at most {RSS_LIMIT_MB}",
        met=rss <= RSS_LIMIT_MB,
    )
    yield from store_writes.run(seed)
    yield from fanout.run(seed)


def main() -> int:
    """Print figures, or with `--slopes` the measurements at all sizes."""
    parser = argparse.ArgumentParser(prog="python -m bench.daemon", description=__doc__)
    parser.add_argument("--slopes", action="store_true", help="longer runs at more sizes")
    parser.add_argument("--costs", action="store_true", help="slopes that need no processes")
    parser.add_argument("--seed", type=int, default=SEED)
    options = parser.parse_args()
    if options.slopes or options.costs:
        from bench import daemon_slopes  # noqa: PLC0415  (it imports this module)

        daemon_slopes.show_slopes(short=options.costs)
        return 0
    for figure in run(options.seed):
        print(msgspec.json.encode(figure).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
