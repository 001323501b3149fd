"""Estimates of how long a task runs on a worker, learnt from ends."""

from collections import defaultdict

# Share of a new measurement in a running mean.
NEW_SHARE = 0.2
# Runs after which a mean stands by itself; before, it leans on the next coarser one.
SURE_RUNS = 4


class Mean:
    """Keep a running mean and how many values it has seen."""

    def __init__(self) -> None:
        self.value = 1.0
        self.count = 0

    def add(self, value: float) -> None:
        """Take one more value."""
        self.count += 1
        share = max(NEW_SHARE, 1 / self.count)
        self.value += (value - self.value) * share

    def blend(self, fallback: float) -> float:
        """Return the mean, drawn towards a fallback while few values were seen."""
        weight = min(1.0, self.count / SURE_RUNS)
        return self.value * weight + fallback * (1 - weight)


class Speeds:
    """Estimate real over expected duration by image and kind, then by image and worker."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], Mean] = defaultdict(Mean)
        self._workers: dict[str, Mean] = defaultdict(Mean)

    def learn(self, image: str, kind: str, worker: str, ratio: float) -> None:
        """Take the ratio of one run's duration to what was expected."""
        mean = self._kinds[image, kind]
        usual = mean.value if mean.count else ratio
        mean.add(ratio)
        self._workers[worker].add(ratio / max(usual, 0.01))

    def estimate(self, image: str, kind: str, worker: str) -> float:
        """Return the ratio to be expected of a worker."""
        kind_mean = self._kinds.get((image, kind))
        base = kind_mean.blend(1.0) if kind_mean else 1.0
        own = self._workers.get(worker)
        return base * (own.blend(1.0) if own else 1.0)
