"""Slopes of starts, calls, peers and changes over longer runs at more sizes."""

import time

from bench import control_costs
from bench.daemon import FULL, NODES, Sizes, extrapolate_rss, measure_slopes, show
from bench.loads import declare_service, fill, make_calls, measure, start_tasks
from bench.processes import ProcessCell
from bench.slopes import Slope, find_rates, fit_slope

WORKERS = 100
ROUNDS = 3
CHANGE_ENTRIES = (2, 4, 8, 16)
TEAM_COUNTS = (1, 100, 470)
SIZES_OF_FLEETS = (9, 60, 100, 150)


def show_slope(name: str, slope: Slope) -> None:
    """Print a slope with the largest distance of a point from it."""
    show(name, base=slope.base, per_unit=slope.per_unit, spread=slope.spread)


def measure_starts(sizes: Sizes) -> dict[str, Slope]:
    """Return the processor time and the bytes of task starts on one entry instance."""
    points = []
    with ProcessCell(WORKERS, 1) as cell:
        fill(cell, 10 * WORKERS)
        time.sleep(sizes.settle)
        for rate in sizes.starts:
            found = measure(cell, sizes.seconds, start_tasks(cell, rate) if rate else None)
            real = found.done / found.seconds
            points.append((real, found.cpu, found.worker_bytes))
            writes, peak = find_rates(cell.read_counters().writes)
            show(
                "starts",
                starts_per_s=real,
                cpu=found.cpu,
                bytes_per_s=found.worker_bytes,
                rss_mb=found.rss_mean,
                standins_cpu=found.standins_cpu,
                writes_mean=writes,
                writes_peak=peak,
            )
    return {
        "start_cpu": fit_slope([(p[0], p[1]) for p in points]),
        "start_bytes": fit_slope([(p[0], p[2]) for p in points]),
    }


def measure_calls(sizes: Sizes, entries: int) -> dict[str, Slope]:
    """Return the processor time of calls; with two entry instances half of them cross a link."""
    points = []
    with ProcessCell(28, entries, zones=entries) as cell:
        declare_service(cell, 20)
        for rate in sizes.calls:
            found = measure(cell, sizes.seconds, make_calls(cell, rate) if rate else None)
            real = found.done / found.seconds
            points.append((real, found.cpu, found.link_bytes))
            show(
                "calls",
                entries=entries,
                calls_per_s=real,
                cpu=found.cpu,
                link_bytes=found.link_bytes,
                standins_cpu=found.standins_cpu,
            )
    return {
        f"call_cpu_{entries}": fit_slope([(p[0], p[1]) for p in points]),
        f"call_link_bytes_{entries}": fit_slope([(p[0], p[2]) for p in points]),
    }


def measure_changes(sizes: Sizes) -> dict[str, Slope]:
    """Return the longest of some times until a change is in force, over entry instances."""
    points = []
    for entries in CHANGE_ENTRIES:
        with ProcessCell(2 * entries, entries, zones=min(entries, 4)) as cell:
            time.sleep(sizes.settle)
            took = [
                cell.apply(f"kind: team\nname: team-x\nweight: {2 + turn}") for turn in range(6)
            ]
            mean, peak = find_rates(cell.read_counters().reads, skip=5)
        points.append((entries, max(took)))
        show(
            "changes",
            entries=entries,
            longest_s=max(took),
            shortest_s=min(took),
            reads_mean=mean,
            reads_peak=peak,
        )
    return {"change_force": fit_slope(points)}


def measure_teams(sizes: Sizes) -> dict[str, Slope]:
    """Return the processor time of an idle entry instance over teams with quotas."""
    points = []
    for teams in TEAM_COUNTS:
        with ProcessCell(80, 1, teams=teams) as cell:
            time.sleep(sizes.settle)
            found = measure(cell, sizes.seconds)
        points.append((teams, found.cpu))
        show("teams", teams=teams, cpu=found.cpu, rss_mb=found.rss_mean)
    return {"team_cpu": fit_slope(points)}


def show_costs(costs: control_costs.Costs) -> None:
    """Print the costs of data about the whole cell."""
    show_slope("list_cpu", costs.list_cpu)
    show_slope("list_bytes", costs.list_bytes)
    show_slope("list_wire", costs.list_wire)
    show_slope("summary_cpu_per_team", costs.summary_cpu)
    show_slope("summary_wire_per_team", costs.summary_wire)
    show_slope("liveness_cpu", costs.liveness_cpu)
    show_slope("liveness_wire", costs.liveness_wire)
    show("list_12000", cpu_ms=costs.list_cpu.extrapolate(NODES) * 1e3)
    for teams, slices, cpu in costs.quotas:
        show("quotas", teams=teams, slices=slices, cpu_ms=cpu * 1e3)


def show_slopes(*, short: bool = False) -> None:
    """Print all measurements and slopes, or those that need no processes."""
    costs = control_costs.measure_costs()
    show_costs(costs)
    if short:
        return
    slopes = measure_slopes(FULL)
    for name in slopes.__struct_fields__:
        show_slope(name, getattr(slopes, name))
    for entries in SIZES_OF_FLEETS:
        show("rss_two_years", entries=entries, mb=extrapolate_rss(slopes, costs, entries))
    found = measure_starts(FULL)
    for entries in (1, 2):
        found |= measure_calls(FULL, entries)
    found |= measure_teams(FULL)
    found |= measure_changes(FULL)
    for name, slope in found.items():
        show_slope(name, slope)
