"""Choice of the entry instances that call the placement service for a pool owner.

The service handles the calls of one instance serially, so calls are spread over instances.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.step_advice import SHORT_CALL_S

# One instance in this many is reserved for short calls, with this many of them at a time.
INSTANCES_PER_RESERVED = 3
MAX_SHORT_CALLS = 3
# An instance that gave no answer receives no calls for this long.
NO_ANSWER_PENALTY_S = 1.5


class IdleAdviserCount(NamedTuple):
    """Numbers of instances that can accept a short and a long call."""

    short: int
    long: int


class AdviserLoad(msgspec.Struct):
    """Pending calls of an instance, and until when (uptime) it accepts none."""

    calls: int = 0
    busy_until: float = 0.0


class AdviceBalancer:
    """Spread calls over live instances; all owners reserve the same ones for short calls."""

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
        self._loads: dict[EntryId, AdviserLoad] = {}

    def count_idle(self) -> IdleAdviserCount:
        """Return how many instances can accept a short and a long call now."""
        return IdleAdviserCount(len(self._list_idle(short=True)), len(self._list_idle(short=False)))

    def _list_idle(self, *, short: bool) -> list[EntryId]:
        live = sorted({*self._list_live_peers(), self._entry})
        reserved_count = len(live) // INSTANCES_PER_RESERVED
        reserved = set(live[:reserved_count])
        now = self._read_uptime()
        idle = []
        for entry in live if short else live[reserved_count:]:
            load = self._get_load(entry)
            max_calls = MAX_SHORT_CALLS if entry in reserved else 1
            if load.busy_until <= now and load.calls < max_calls:
                idle.append(entry)
        return idle

    def _get_load(self, entry: EntryId) -> AdviserLoad:
        return self._loads.setdefault(entry, AdviserLoad())

    def acquire(self, expected_s: float) -> EntryId | None:
        """Acquire an instance for a call; returns none if all are busy."""
        idle = self._list_idle(short=expected_s <= SHORT_CALL_S)
        if not idle:
            return None
        chosen = min(
            idle,
            key=lambda entry: (
                self._get_load(entry).calls,
                not self._is_in_same_zone(entry),
                entry != self._entry,
            ),
        )
        self._get_load(chosen).calls += 1
        return chosen

    def release(self, entry: EntryId) -> None:
        """Release an instance after its call has ended."""
        load = self._get_load(entry)
        load.calls = max(0, load.calls - 1)

    def mark_busy(self, entry: EntryId, busy_s: float = NO_ANSWER_PENALTY_S) -> None:
        """Send no calls to an instance for `busy_s`, as it is busy or gave no answer."""
        load = self._get_load(entry)
        load.busy_until = max(load.busy_until, self._read_uptime() + busy_s)

    def retain(self, entries: Iterable[EntryId]) -> None:
        """Forget all instances but these."""
        known = set(entries)
        self._loads = {e: a for e, a in self._loads.items() if e in known}
