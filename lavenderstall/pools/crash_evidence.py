"""Evidence that a task, and not chance, has crashed the workers that ran it."""

from collections.abc import Collection, Iterable
from math import prod

from lavenderstall.pools.crash_records import (
    Crash,
    Suspicion,
    count_runs,
    group_by_run,
    is_last_sole,
)
from lavenderstall.pools.identity import WorkerKey

# Assumed, as nothing states it: a task that crashes workers does so this soon after its start was
# answered. One that does so later is not found.
QUICK_CRASH_S = 0.06
# Density of the crashes that a task causes, in 1/s, by how long after that they are noticed, in
# seconds. Those that come later say little about it.
CRASH_DENSITIES = ((QUICK_CRASH_S, 10.0), (0.2, 1.8))
LATE_ODDS = 0.1
# Crashes under runs that were not known to have begun, or that others may have caused, count only
# if there are so many, and for so much each.
MIN_UNSURE_RUNS = 4
MAX_UNSTARTED_ODDS = 10.0
MAX_LIKELY_ODDS = 30.0
# A task is given up once its crashes are this many times as likely if it causes them than by
# chance. So at most one in this many of the tasks under which workers crash is given up wrongly.
REQUIRED_ODDS = 10_000.0
MIN_RUNS = 2
# Crashes by chance are counted for this long. Several are taken for as frequent as they are since
# the first, over this long at least, and one or none as over a longer time.
MEMORY_S = 60.0
MIN_BURST_S = 2.0
CALM_SPAN_S = 30.0
# A worker that crashes by chance has seldom just begun a run, so that these crashes count little.
QUICK_WEIGHT = 0.1
OTHER_WEIGHT = 1.2
# The next owner learns of so many crashes.
MAX_PASSED_ON = 24
# Stands for workers whose crashes an earlier owner has seen.
EARLIER = ""


class CrashRate:
    """Estimate how often a worker crashes for reasons that have nothing to do with its tasks."""

    def __init__(self) -> None:
        # When each incarnation of a worker crashed, and whether it had just begun a run.
        self._crashes: dict[WorkerKey, tuple[float, bool]] = {}

    def note(self, worker: WorkerKey, at: float, *, quick: bool) -> None:
        """Note when an incarnation of a worker has crashed, and whether it had just begun a run."""
        first_at, known = self._crashes.get(worker, (at, False))
        self._crashes[worker] = (first_at, known or quick)

    def add_earlier(self, times: Iterable[float]) -> None:
        """Add the crashes that an earlier owner has seen."""
        for number, at in enumerate(times):
            self.note(WorkerKey(EARLIER, number), at, quick=False)

    def list_latest(self, now: float) -> list[float]:
        """Return when the latest crashes happened that no run explains, for the next owner."""
        found = (at for at, quick in self._crashes.values() if not quick and now - at <= MEMORY_S)
        return sorted(found)[-MAX_PASSED_ON:]

    def withdraw(self, worker: WorkerKey) -> None:
        """Withdraw a crash that did not happen, or that a task is certain to have caused."""
        self._crashes.pop(worker, None)

    def estimate(self, workers: int, now: float, excluded: Collection[WorkerKey] = ()) -> float:
        """Return the crashes of one of so many workers per second, as an upper estimate.

        `excluded` are crashes that tasks may explain.
        """
        for worker, (at, _) in list(self._crashes.items()):
            if now - at > MEMORY_S:
                del self._crashes[worker]
        found = [crash for worker, crash in self._crashes.items() if worker not in excluded]
        first_at = min((at for at, _ in found), default=now)
        span_s = max(MIN_BURST_S, now - first_at) if len(found) > 1 else CALM_SPAN_S
        count = sum(QUICK_WEIGHT if quick else OTHER_WEIGHT for _, quick in found)
        return (count + 1) / (max(1, workers) * span_s)


def weigh_crashes(crashes: Iterable[Crash], rate: float) -> float:
    """Return how many times as likely the crashes are if their task causes them than by chance.

    `rate` is that of crashes by chance, in 1/s for a worker.
    """
    runs = group_by_run(crashes)
    return prod(max(_weigh_crash(crash, rate) for crash in found) for found in runs.values())


def _weigh_crash(crash: Crash, rate: float) -> float:
    if crash.suspicion is Suspicion.POSSIBLE:
        return 1.0
    age_s = crash.age_ms / 1000
    densities = (density for limit_s, density in CRASH_DENSITIES if age_s <= limit_s)
    density = next(densities, None)
    odds = LATE_ODDS if density is None else density / rate
    if crash.suspicion is Suspicion.LIKELY:
        odds = min(odds, MAX_LIKELY_ODDS)
    return odds if crash.started else min(odds, MAX_UNSTARTED_ODDS)


def is_quick(crash: Crash) -> bool:
    """Tell whether a crash came right after a start, and nothing else explains it."""
    return crash.suspicion is not Suspicion.POSSIBLE and crash.age_ms <= QUICK_CRASH_S * 1000


def convict(crashes: list[Crash], rate: float) -> bool:
    """Tell whether the crashes show that their task causes them."""
    weighed = crashes
    if count_runs([crash for crash in crashes if is_quick(crash)]) < MIN_UNSURE_RUNS:
        weighed = [crash for crash in crashes if crash.started]
        if count_runs(weighed) < MIN_RUNS or not is_last_sole(crashes):
            return False
    return weigh_crashes(weighed, rate) >= REQUIRED_ODDS
