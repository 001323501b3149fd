"""Checks of a configuration before it is put in force, and what differs from the one in force."""

from collections.abc import Callable, Hashable, Iterable, Iterator
from enum import Enum
from itertools import chain, permutations
from typing import TypeVar

import msgspec

from lavenderstall.changes import (
    Difference,
    DifferenceAction,
    FieldChange,
    ItemKey,
    diff_items,
)
from lavenderstall.identifiers import TeamName
from lavenderstall.pools.teams import Team
from lavenderstall.pools.work import PoolName, Queue, Settings

CORE_MILLI = 1000
# What ends a path in a URL.
PATH_ENDS = ("?", "#")
T = TypeVar("T")


class Severity(Enum):
    """Whether a part of a configuration is not in force as written, or hardly meant so."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True):
    """Describe what is wrong with one item of a configuration."""

    severity: Severity
    key: ItemKey
    detail: str

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.key}: {self.detail}"


class ConfiguredPool(msgspec.Struct, frozen=True):
    """A pool as it is configured."""

    name: PoolName
    enforces_capacity: bool = False


def check_settings(settings: Settings, may_begin_id: Callable[[str], bool]) -> list[Finding]:
    """Return what can never take effect in a configuration, or contradicts itself.

    `may_begin_id` tells whether an ID of a job may begin with a text.
    """
    return [
        *_check_names(settings),
        *chain.from_iterable(_check_queue(queue, settings) for queue in settings.queues),
        *_check_prefixes(settings.queues, may_begin_id),
        *_check_pools(settings),
        *chain.from_iterable(_check_team(team, settings) for team in settings.teams),
    ]


def check_version(current: Settings, wanted: Settings) -> list[Finding]:
    """Return whether a configuration is too old to replace the one in force."""
    if wanted.version > current.version:
        return []
    detail = f"version {wanted.version} never applies after version {current.version}"
    return [Finding(Severity.ERROR, ItemKey("configuration", "version"), detail)]


def diff_settings(current: Settings, wanted: Settings) -> tuple[Difference, ...]:
    """Return the queues, pools and teams that differ; of keys only how many."""
    before, after = _list_items(current), _list_items(wanted)
    removed = dict.fromkeys(before.keys() - after.keys())
    found = {each.key: each for each in diff_items(before, {**removed, **after})}
    for name in sorted({team.name for team in (*current.teams, *wanted.teams)}):
        change = _diff_keys(current, wanted, name)
        if change is not None:
            key = ItemKey("team", name)
            difference = found.get(key) or Difference(key, DifferenceAction.CHANGE)
            fields = (*difference.fields, change)
            found[key] = msgspec.structs.replace(difference, fields=fields)
    return tuple(found[key] for key in sorted(found))


def _list_items(settings: Settings) -> dict[ItemKey, msgspec.Struct]:
    """Return the queues, pools and teams of a configuration by kind and name."""
    items: dict[ItemKey, msgspec.Struct] = {
        ItemKey("pool", name): ConfiguredPool(name, name in settings.guarded)
        for name in settings.pools
    }
    # Of items with the same name the first one counts.
    items |= {ItemKey("queue", queue.name): queue for queue in reversed(settings.queues)}
    items |= {ItemKey("team", team.name): team for team in reversed(settings.teams)}
    return items


def _diff_keys(current: Settings, wanted: Settings, team: TeamName) -> FieldChange | None:
    """Return how many keys of a team differ, or none."""
    before = frozenset() if current.keys is None else current.keys.list_digests(team)
    after = frozenset() if wanted.keys is None else wanted.keys.list_digests(team)
    if before == after:
        return None
    change = f"{len(after)} ({len(after - before)} new, {len(before - after)} removed)"
    return FieldChange("keys", str(len(before)), change)


def _warn(kind: str, name: str, detail: str) -> Finding:
    return Finding(Severity.WARNING, ItemKey(kind, name), detail)


def _list_repeated(values: Iterable[T], get_key: Callable[[T], Hashable]) -> Iterator[T]:
    """Yield the values whose key an earlier value has."""
    seen: set[Hashable] = set()
    for value in values:
        if get_key(value) in seen:
            yield value
        seen.add(get_key(value))


def _check_names(settings: Settings) -> Iterator[Finding]:
    for queue in _list_repeated(settings.queues, lambda queue: queue.name):
        key = ItemKey("queue", queue.name)
        yield Finding(Severity.ERROR, key, "another queue before it has the same name")


def _check_queue(queue: Queue, settings: Settings) -> Iterator[Finding]:
    """Yield what keeps calls of a queue from being served, or its jobs from being in time."""
    advising = queue.advising
    rows = (
        (queue.pool not in settings.pools, f"its pool {queue.pool!r} is not there"),
        (not queue.prefix.startswith("/"), "its prefix matches no path, as it begins without /"),
        (
            any(end in queue.prefix for end in PATH_ENDS),
            "its prefix matches no path, as it holds ? or #",
        ),
        (not queue.host or ":" in queue.host, "its host matches no call: it is empty or holds :"),
        (queue.max_attempts == 0, "max_attempts is 0, which acts as 1"),
        (
            queue.slack < 1 and queue.objective_ms == 0,
            "no job can meet its objective, which is shorter than the job's own duration",
        ),
        (
            advising is not None and advising.valid_ms == 0,
            "its tickets have expired when they are issued, so no task starts",
        ),
        (
            advising is not None
            and queue.objective_ms > 0
            and advising.base_ms + advising.per_worker_ms > queue.objective_ms,
            "a call for advice takes longer than objective_ms",
        ),
        (
            not queue.public and settings.keys is not None and not settings.keys.count,
            "no call can be let in: it is not public, and there are no keys",
        ),
    )
    return (_warn("queue", queue.name, detail) for applies, detail in rows if applies)


def _check_prefixes(
    queues: Iterable[Queue], may_begin_id: Callable[[str], bool]
) -> Iterator[Finding]:
    """Yield the queues that get no calls, or not all, as another one matches them."""
    listed = list(queues)
    for queue in _list_repeated(listed, lambda queue: (queue.host, queue.prefix)):
        yield _warn("queue", queue.name, "no call matches it: one before it has its prefix")
    for queue, other in permutations(listed, 2):
        rest = other.prefix.removeprefix(queue.prefix)
        longer = other.host == queue.host and 0 < len(rest) < len(other.prefix)
        if longer and may_begin_id(rest):
            detail = f"calls of jobs whose IDs begin with {rest} go to queue {other.name}"
            yield _warn("queue", queue.name, detail)


def _check_pools(settings: Settings) -> Iterator[Finding]:
    used = {queue.pool for queue in settings.queues}
    for pool in sorted(settings.pools - used):
        yield _warn("pool", pool, "no queue sends jobs to it")


def _check_team(team: Team, settings: Settings) -> Iterator[Finding]:
    """Yield what keeps a team from calling, or from running anything."""
    has_key = settings.keys is not None and bool(settings.keys.list_digests(team.name))
    below_core = 0 < team.quota.cores_milli < CORE_MILLI
    rows = (
        (not has_key, "it has no key, so no call is its own"),
        (below_core, "its quota is less than one core: larger tasks run one at a time"),
    )
    return (_warn("team", team.name, detail) for applies, detail in rows if applies)
