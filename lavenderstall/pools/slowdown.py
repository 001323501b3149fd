"""Estimates of slowdown: the ratio of a run's actual to its declared duration."""

from collections import defaultdict

# Weight of a new measurement in a running mean, at least.
MIN_NEW_WEIGHT = 0.2
# Runs after which a mean has full weight; with fewer, it is blended with a fallback.
FULL_WEIGHT_RUNS = 4


class RunningMean:
    """Exponentially weighted mean and the number of its values."""

    def __init__(self) -> None:
        self.value = 1.0
        self.count = 0

    def add(self, value: float) -> None:
        """Add a value."""
        self.count += 1
        weight = max(MIN_NEW_WEIGHT, 1 / self.count)
        self.value += (value - self.value) * weight

    def blend(self, fallback: float) -> float:
        """Return the mean, blended with a fallback while it has few values."""
        weight = min(1.0, self.count / FULL_WEIGHT_RUNS)
        return self.value * weight + fallback * (1 - weight)


class SlowdownEstimator:
    """Estimate slowdown by image and kind of worker, corrected by worker."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], RunningMean] = defaultdict(RunningMean)
        self._workers: dict[str, RunningMean] = defaultdict(RunningMean)
        self._images: dict[str, RunningMean] = defaultdict(RunningMean)

    def record(self, image: str, kind: str, worker: str, slowdown: float) -> None:
        """Record the slowdown of one run."""
        kind_mean = self._kinds[image, kind]
        kind_value = kind_mean.value if kind_mean.count else slowdown
        kind_mean.add(slowdown)
        self._workers[worker].add(slowdown / max(kind_value, 0.01))
        self._images[image].add(slowdown)

    def estimate(self, image: str, kind: str, worker: str) -> float:
        """Return the expected slowdown on a worker."""
        kind_mean = self._kinds.get((image, kind))
        kind_slowdown = kind_mean.blend(1.0) if kind_mean else 1.0
        worker_mean = self._workers.get(worker)
        return kind_slowdown * (worker_mean.blend(1.0) if worker_mean else 1.0)

    def estimate_image(self, image: str) -> float:
        """Return the expected slowdown on the workers that have run an image lately."""
        mean = self._images.get(image)
        return mean.blend(1.0) if mean else 1.0
