"""Estimates of how long a task runs on a worker, learnt from ends."""

from collections import defaultdict

# Share of a new measurement in a running mean.
MIN_NEW_WEIGHT = 0.2
# Runs after which a mean stands by itself; before, it leans on the next coarser one.
FULL_WEIGHT_RUNS = 4


class RunningMean:
    """Keep a running mean and how many values it has seen."""

    def __init__(self) -> None:
        self.value = 1.0
        self.count = 0

    def add(self, value: float) -> None:
        """Take one more value."""
        self.count += 1
        weight = max(MIN_NEW_WEIGHT, 1 / self.count)
        self.value += (value - self.value) * weight

    def blend(self, fallback: float) -> float:
        """Return the mean, drawn towards a fallback while few values were seen."""
        weight = min(1.0, self.count / FULL_WEIGHT_RUNS)
        return self.value * weight + fallback * (1 - weight)


class SlowdownEstimator:
    """Estimate real over expected duration by image and kind, then by image and worker."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], RunningMean] = defaultdict(RunningMean)
        self._workers: dict[str, RunningMean] = defaultdict(RunningMean)

    def record(self, image: str, kind: str, worker: str, slowdown: float) -> None:
        """Take the ratio of one run's duration to what was expected."""
        kind_mean = self._kinds[image, kind]
        kind_value = kind_mean.value if kind_mean.count else slowdown
        kind_mean.add(slowdown)
        self._workers[worker].add(slowdown / max(kind_value, 0.01))

    def estimate(self, image: str, kind: str, worker: str) -> float:
        """Return the ratio to be expected of a worker."""
        kind_mean = self._kinds.get((image, kind))
        kind_slowdown = kind_mean.blend(1.0) if kind_mean else 1.0
        worker_mean = self._workers.get(worker)
        return kind_slowdown * (worker_mean.blend(1.0) if worker_mean else 1.0)
