"""Choice of the entry instances that ask the placement service on behalf of an owner.

The service handles the calls of one instance in turn, so calls are spread over instances.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.tickets import SHORT_S

# One instance in so many is kept for short calls, and takes so many of them at a time.
KEPT_SHARE = 3
SHORT_CALLS = 3
# An instance that gave no answer gets no call for this long.
PENALTY_S = 1.5


class AdviserCount(NamedTuple):
    """Hold how many instances may take a short and a long call."""

    short: int
    long: int


class Adviser(msgspec.Struct):
    """Hold the calls that were sent to an instance, and until when it takes none (uptime)."""

    calls: int = 0
    busy_until: float = 0.0


class Advisers:
    """Spread calls over the instances that live; all owners keep the same ones for short calls."""

    def __init__(
        self,
        entry: EntryId,
        list_live_peers: Callable[[], Iterable[EntryId]],
        is_in_same_zone: Callable[[EntryId], bool],
        read_uptime: Callable[[], float],
    ) -> None:
        self._entry = entry
        self._list_live_peers = list_live_peers
        self._is_in_same_zone = is_in_same_zone
        self._read_uptime = read_uptime
        self._advisers: dict[EntryId, Adviser] = {}

    def count_idle(self) -> AdviserCount:
        """Return how many instances may take a short and a long call now."""
        return AdviserCount(len(self._list_idle(short=True)), len(self._list_idle(short=False)))

    def _list_idle(self, *, short: bool) -> list[EntryId]:
        live = sorted({*self._list_live_peers(), self._entry})
        kept = len(live) // KEPT_SHARE
        kept_ones = set(live[:kept])
        now = self._read_uptime()
        idle = []
        for entry in live if short else live[kept:]:
            adviser = self._get(entry)
            most = SHORT_CALLS if entry in kept_ones else 1
            if adviser.busy_until <= now and adviser.calls < most:
                idle.append(entry)
        return idle

    def _get(self, entry: EntryId) -> Adviser:
        return self._advisers.setdefault(entry, Adviser())

    def choose(self, expected_s: float) -> EntryId | None:
        """Take an instance for a call; returns none if all are busy."""
        idle = self._list_idle(short=expected_s <= SHORT_S)
        if not idle:
            return None
        chosen = min(
            idle,
            key=lambda entry: (
                self._get(entry).calls,
                not self._is_in_same_zone(entry),
                entry != self._entry,
            ),
        )
        self._get(chosen).calls += 1
        return chosen

    def free(self, entry: EntryId) -> None:
        """Note that a call has ended."""
        adviser = self._get(entry)
        adviser.calls = max(0, adviser.calls - 1)

    def note_busy(self, entry: EntryId, busy_s: float = PENALTY_S) -> None:
        """Send no call to an instance for a while, as it is busy or gave no answer."""
        adviser = self._get(entry)
        adviser.busy_until = max(adviser.busy_until, self._read_uptime() + busy_s)

    def retain(self, entries: Iterable[EntryId]) -> None:
        """Forget all other instances."""
        known = set(entries)
        self._advisers = {e: a for e, a in self._advisers.items() if e in known}
