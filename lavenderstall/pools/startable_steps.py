"""Steps of a pool that have tasks to start."""

from collections.abc import Callable, Hashable, Iterator

from lavenderstall.identifiers import JobId
from lavenderstall.pools.step_backlog import StepBacklog
from lavenderstall.pools.urgency import Urgency
from lavenderstall.pools.work import StepKey

# A dispatch looks at all steps up to this number, and at no more of them, unless they are of more
# kinds.
MAX_SELECTED = 1_024


class StartableSteps:
    """Keep the steps by job and by kind, so that few are looked at however many there are."""

    def __init__(self) -> None:
        self._steps: dict[JobId, dict[StepKey, Urgency]] = {}
        self._backlogs: dict[Hashable, StepBacklog] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, step_key: object) -> bool:
        return isinstance(step_key, StepKey) and step_key in self._steps.get(step_key.job, {})

    def __iter__(self) -> Iterator[StepKey]:
        """Yield all steps; they may be discarded meanwhile."""
        for steps in list(self._steps.values()):
            yield from list(steps)

    def add(self, step_key: StepKey, urgency: Urgency) -> None:
        """Add a step that is not there yet."""
        self._steps.setdefault(step_key.job, {})[step_key] = urgency
        self._backlogs.setdefault(urgency.kind, StepBacklog()).add(step_key, urgency)
        self._count += 1

    def discard(self, step_key: StepKey) -> None:
        """Remove a step, if it is there."""
        urgency = self._forget(step_key)
        if urgency is not None:
            self._backlogs[urgency.kind].remove(step_key, urgency)
            self._drop_if_empty(urgency.kind)

    def discard_job(self, job: JobId) -> None:
        """Remove the steps of a job."""
        for step_key in list(self._steps.get(job, {})):
            self.discard(step_key)

    def iterate_job(self, job: JobId) -> Iterator[StepKey]:
        """Yield the steps of a job."""
        yield from self._steps.get(job, {})

    def select(self, now: float, is_waiting: Callable[[StepKey], bool]) -> list[StepKey]:
        """Return the steps that a dispatch is to look at, of each kind the most urgent ones.

        If there are very many, others of them follow in turn.
        """
        if self._count <= MAX_SELECTED:
            return list(self)

        def keep(step_key: StepKey) -> bool:
            kept = is_waiting(step_key)
            if not kept:
                self._forget(step_key)
            return kept

        found: list[StepKey] = []
        kinds = sorted(self._backlogs, key=lambda kind: len(self._backlogs[kind]))
        for number, kind in enumerate(kinds):
            share = max(1, (MAX_SELECTED - len(found)) // (len(kinds) - number))
            found += self._backlogs[kind].select(share, now, keep)
            self._drop_if_empty(kind)
        return found

    def _forget(self, step_key: StepKey) -> Urgency | None:
        steps = self._steps.get(step_key.job, {})
        urgency = steps.pop(step_key, None)
        if urgency is not None:
            self._count -= 1
        if not steps:
            self._steps.pop(step_key.job, None)
        return urgency

    def _drop_if_empty(self, kind: Hashable) -> None:
        if not self._backlogs[kind]:
            del self._backlogs[kind]
