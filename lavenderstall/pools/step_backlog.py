"""Steps of one kind that wait, in the order in which they become late."""

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import NamedTuple

from lavenderstall.pools.urgency import Urgency
from lavenderstall.pools.work import StepKey

# So much of what a dispatch looks at are the most urgent steps; the others get their turn.
URGENT_SHARE = 0.75


class Entry(NamedTuple):
    """A step in the order of its deadline."""

    deadline: float
    step_key: StepKey
    expires_at: float


class StepBacklog:
    """Keep steps by deadline, those whose results are worthless apart.

    They count as such from the moment at which they are come across.
    """

    def __init__(self) -> None:
        self._fresh: list[Entry] = []
        self._expired: list[Entry] = []
        # The first step of the next turn.
        self._next_fresh: Entry | None = None
        self._next_expired: Entry | None = None

    def __len__(self) -> int:
        return len(self._fresh) + len(self._expired)

    def add(self, step_key: StepKey, urgency: Urgency) -> None:
        """Add a step."""
        insort(self._fresh, _make_entry(step_key, urgency))

    def remove(self, step_key: StepKey, urgency: Urgency) -> None:
        """Remove a step."""
        entry = _make_entry(step_key, urgency)
        for entries in (self._fresh, self._expired):
            position = bisect_left(entries, entry)
            if position < len(entries) and entries[position] == entry:
                del entries[position]
                return

    def select(self, count: int, now: float, keep: Callable[[StepKey], bool]) -> list[StepKey]:
        """Return up to so many steps to look at: the most urgent ones, and others in turn.

        Of the former, those that are not to be kept are removed.
        """
        self._expire(count, now)
        expired_count = min(len(self._expired), max(count // 4, count - len(self._fresh)))
        fresh, self._next_fresh = _take(self._fresh, count - expired_count, self._next_fresh, keep)
        expired, self._next_expired = _take(self._expired, expired_count, self._next_expired, keep)
        return [entry.step_key for entry in (*fresh, *expired)]

    def _expire(self, count: int, now: float) -> None:
        """Set the most urgent steps apart whose results are worthless by now."""
        while any(entry.expires_at < now for entry in self._fresh[:count]):
            first = self._fresh[:count]
            self._fresh[:count] = [entry for entry in first if entry.expires_at >= now]
            for entry in first:
                if entry.expires_at < now:
                    insort(self._expired, entry)


def _make_entry(step_key: StepKey, urgency: Urgency) -> Entry:
    return Entry(urgency.deadline, step_key, urgency.expires_at)


def _take(
    entries: list[Entry],
    count: int,
    following: Entry | None,
    keep: Callable[[StepKey], bool],
) -> tuple[list[Entry], Entry | None]:
    """Return the first entries that are kept, and some from the following one on, and the next."""
    most_urgent = min(count, int(count * URGENT_SHARE) + 1)
    kept: list[Entry] = []
    position = 0
    while position < len(entries) and len(kept) < most_urgent:
        if keep(entries[position].step_key):
            kept.append(entries[position])
        position += 1
    entries[:position] = kept
    start = len(kept) if following is None else max(len(kept), bisect_left(entries, following))
    end = start + count - len(kept)
    return [*kept, *entries[start:end]], entries[end] if end < len(entries) else None
