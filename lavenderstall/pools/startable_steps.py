"""Steps of a pool that have tasks to start."""

from collections.abc import Iterator

from lavenderstall.identifiers import JobId
from lavenderstall.pools.work import StepKey


class StartableSteps:
    """Keep the steps by job, so that those of one job are found without a look at all."""

    def __init__(self) -> None:
        self._steps: dict[JobId, dict[StepKey, None]] = {}

    def __contains__(self, step_key: object) -> bool:
        return isinstance(step_key, StepKey) and step_key in self._steps.get(step_key.job, {})

    def __iter__(self) -> Iterator[StepKey]:
        """Yield all steps; they may be discarded meanwhile."""
        for steps in list(self._steps.values()):
            yield from list(steps)

    def add(self, step_key: StepKey) -> None:
        """Add a step."""
        self._steps.setdefault(step_key.job, {})[step_key] = None

    def discard(self, step_key: StepKey) -> None:
        """Remove a step, if it is there."""
        steps = self._steps.get(step_key.job, {})
        steps.pop(step_key, None)
        if not steps:
            self._steps.pop(step_key.job, None)

    def discard_job(self, job: JobId) -> None:
        """Remove the steps of a job."""
        self._steps.pop(job, None)

    def iterate_job(self, job: JobId) -> Iterator[StepKey]:
        """Yield the steps of a job."""
        yield from self._steps.get(job, {})
