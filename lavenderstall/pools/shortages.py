"""Needs that no worker can meet for the rest of a dispatch, so that each is looked at once."""

from collections import defaultdict
from collections.abc import Hashable, Iterable
from math import inf
from typing import NamedTuple

from lavenderstall.pools.gang_reservations import GangReservations
from lavenderstall.pools.work import Step
from lavenderstall.pools.workers import Worker
from lavenderstall.resources import Resources


class Needs(NamedTuple):
    """What a step needs; a step of the same kind that needs no less of anything fits nowhere else.

    `duration_ms` is what its workers must be free for, 0 if that doesn't matter.
    """

    kind: Hashable
    allocation: Resources
    tasks: int = 1
    duration_ms: float = 0.0

    def exceed(self, other: "Needs") -> bool:
        """Tell whether these needs of the same kind are nowhere below the other ones."""
        return (
            self.tasks >= other.tasks
            and self.duration_ms >= other.duration_ms
            and other.allocation.fits(self.allocation)
        )


class Shortages:
    """Needs that were found unmet; room only shrinks during a dispatch, so that they stay so."""

    def __init__(self) -> None:
        self._unmet: defaultdict[Hashable, list[Needs]] = defaultdict(list)

    def clear(self) -> None:
        """Forget all needs."""
        self._unmet.clear()

    def note(self, needs: Needs) -> None:
        """Note needs that are unmet, in place of those that exceed them."""
        kept = [other for other in self._unmet[needs.kind] if not other.exceed(needs)]
        self._unmet[needs.kind] = [*kept, needs]

    def include(self, needs: Needs) -> bool:
        """Tell whether needs are unmet, as those are that they exceed."""
        found = self._unmet.get(needs.kind)
        return found is not None and any(needs.exceed(other) for other in found)


class ShortageTracker:
    """Track during one dispatch which steps no worker suits, has room for or can make room for."""

    def __init__(self, gang_reservations: GangReservations) -> None:
        self._gang_reservations = gang_reservations
        self._workers: list[Worker] = []
        self._labels: frozenset[str] | None = None
        self._unsuited = Shortages()
        self._without_room = Shortages()
        self._without_victims = Shortages()
        self._without_reservation = Shortages()

    def clear(self, workers: Iterable[Worker]) -> None:
        """Reset for a dispatch to workers, whether or not tasks may start there now."""
        self._workers = list(workers)
        self._labels = None
        for shortages in (
            self._unsuited,
            self._without_room,
            self._without_victims,
            self._without_reservation,
        ):
            shortages.clear()

    def _has_label(self, label: str) -> bool:
        if self._labels is None:
            self._labels = frozenset().union(*(worker.entry.labels for worker in self._workers))
        return not label or label in self._labels

    # Steps that no worker suits

    def is_unsuited(self, step: Step) -> bool:
        """Tell whether a step is known to fit on no worker, even an idle one."""
        return self._unsuited.include(self._get_size(step))

    def check_suited(self, step: Step) -> None:
        """Note a step that fits on no worker, even an idle one."""
        suited = any(
            step.allocation.fits(worker.entry.capacity)
            and (not step.label or step.label in worker.entry.labels)
            for worker in self._workers
        )
        if not suited:
            self._unsuited.note(self._get_size(step))

    def _get_size(self, step: Step) -> Needs:
        """Return the needs of one task; labels that no worker has count as the same."""
        if self._has_label(step.label):
            return Needs(step.label, step.allocation)
        return Needs(None, Resources())

    # Steps that have no room

    def lacks_room(self, step: Step, *, returning: bool) -> bool:
        """Tell whether a step is known to have no room; one that returns may use more workers."""
        kind = _get_kind(step, returning=returning)
        return self._includes(self._without_room, step, kind)

    def note_no_room(self, step: Step, *, returning: bool) -> None:
        """Note that a step has no room."""
        self._note(self._without_room, step, _get_kind(step, returning=returning))

    def lacks_victims(self, step: Step, priority: int) -> bool:
        """Tell whether preemption is known to make no room for a step of some priority."""
        return self._includes(self._without_victims, step, (_get_kind(step), priority))

    def note_no_victims(self, step: Step, priority: int) -> None:
        """Note that preemption makes no room for a step of some priority."""
        self._note(self._without_victims, step, (_get_kind(step), priority))

    def lacks_reservation(self, step: Step) -> bool:
        """Tell whether there is known to be no capacity to reserve for a gang."""
        return self._includes(self._without_reservation, step, _get_kind(step))

    def note_no_reservation(self, step: Step) -> None:
        """Note that there is no capacity to reserve for a gang."""
        self._note(self._without_reservation, step, _get_kind(step))

    def _includes(self, shortages: Shortages, step: Step, kind: Hashable) -> bool:
        return shortages.include(_get_needs(step, kind)) or (
            self._gang_reservations.exist() and shortages.include(_get_timed_needs(step, kind))
        )

    def _note(self, shortages: Shortages, step: Step, kind: Hashable) -> None:
        """Note unmet needs, with their duration if workers are reserved for gangs by now."""
        timed = self._gang_reservations.exist()
        shortages.note(_get_timed_needs(step, kind) if timed else _get_needs(step, kind))


def _get_kind(step: Step, *, returning: bool = False) -> Hashable:
    """Return what makes a step's tasks eligible on a worker, besides its room."""
    sensitive = step.long_running and step.target_ms > 0
    return step.label, step.best_effort, sensitive, returning


def _get_needs(step: Step, kind: Hashable) -> Needs:
    return Needs(kind, step.allocation, step.count if step.gang else 1)


def _get_timed_needs(step: Step, kind: Hashable) -> Needs:
    """Return needs that heed how long a task may use a worker that is reserved for a gang."""
    duration_ms = inf if step.gang or step.long_running else step.expected_ms
    return _get_needs(step, (kind, step.image))._replace(duration_ms=duration_ms)
