"""Decisions on how the pools of a cell divide the quota of a team."""

from collections.abc import Callable, Iterable, Mapping
from operator import attrgetter, le

import msgspec

from lavenderstall.identifiers import TeamName
from lavenderstall.pools.team_usage import LIMITED
from lavenderstall.pools.work import PoolName
from lavenderstall.resources import MAX_AMOUNT, NOTHING, Resources

get_limited = attrgetter(*LIMITED)
# A pool that could start no task of a team for this long may exceed its part by one.
MIN_STARVED_MS = 500


class Share(msgspec.Struct, frozen=True, array_like=True):
    """What a team may have running in a pool, as written by the pool's owner of a term."""

    term: int
    amounts: Resources = NOTHING


class SharesRow(msgspec.Struct, frozen=True, array_like=True):
    """The shares of a team, and its quota in the newest configuration that a writer knew.

    A share is raised only while the sum of all stays within that quota.
    """

    settings_version: int
    quota: Resources
    shares: dict[PoolName, Share] = {}

    def get_amounts(self, pool: PoolName) -> Resources:
        """Return the share of a pool."""
        share = self.shares.get(pool)
        return share.amounts if share is not None else NOTHING

    def sum_others(self, pool: PoolName) -> Resources:
        """Return the sum of the shares of all other pools."""
        return add_all(share.amounts for name, share in self.shares.items() if name != pool)


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a pool has running of a team, and could have if it had the share for it.

    `chunk` is what it needs to start any further task, and `starved_ms` the time for which it could
    start none. `row_version` is the version of the row of shares that it knows.
    """

    team: TeamName
    used: Resources
    demand: Resources
    chunk: Resources
    starved_ms: int
    row_version: int


def combine(function: Callable[..., int], *amounts: Resources) -> Resources:
    """Return the results of a function of each limited amount."""
    values = map(function, *map(get_limited, amounts))
    return Resources(**dict(zip(LIMITED, values, strict=True)))


def take_lower(*amounts: Resources) -> Resources:
    """Return the lower of each amount."""
    return combine(min, *amounts)


def take_higher(*amounts: Resources) -> Resources:
    """Return the higher of each amount."""
    return combine(max, *amounts)


def subtract_floored(amounts: Resources, other: Resources) -> Resources:
    """Return each difference, at least 0."""
    return combine(lambda one, two: max(0, one - two), amounts, other)


def add_all(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of the limited amounts."""
    found = tuple(amounts)
    return combine(lambda *values: sum(values), *found) if found else NOTHING


def multiply(need: Resources, count: int) -> Resources:
    """Return what a number of tasks need, at most `MAX_AMOUNT` of each."""
    return combine(lambda amount: min(MAX_AMOUNT, amount * count), need)


def is_within(amounts: Resources, limit: Resources) -> bool:
    """Tell whether no limited amount exceeds a limit."""
    return all(map(le, get_limited(amounts), get_limited(limit)))


def compute_limit(row: SharesRow, pool: PoolName, quota: Resources) -> Resources:
    """Return what a pool may use: its share, but no more of the quota than others leave.

    It is nothing while the others exceed the quota in any amount.
    """
    others = row.sum_others(pool)
    if not is_within(others, quota):
        return NOTHING
    return take_lower(row.get_amounts(pool), subtract_floored(quota, others))


def divide(quota: Resources, demands: Mapping[PoolName, Resources]) -> dict[PoolName, Resources]:
    """Divide a quota evenly, where a pool with a lower demand leaves the rest to the others."""
    divided = {
        name: divide_amount(
            getattr(quota, name), {pool: getattr(each, name) for pool, each in demands.items()}
        )
        for name in LIMITED
    }
    return {pool: Resources(**{name: divided[name][pool] for name in LIMITED}) for pool in demands}


def divide_amount(amount: int, demands: Mapping[PoolName, int]) -> dict[PoolName, int]:
    """Divide one amount; what is left over after all demands is in no part."""
    divided: dict[PoolName, int] = {}
    by_demand = sorted(demands, key=lambda pool: (demands[pool], pool))
    for position, pool in enumerate(by_demand):
        even = amount // (len(by_demand) - position)
        divided[pool] = min(demands[pool], even)
        amount -= divided[pool]
    return divided


def choose_raise(held: Resources, demand: Resources, free: Resources) -> Resources:
    """Return a share that covers a demand as far as free, with half of what is free then.

    The surplus spares a write for each further start. Amounts that suffice stay as they are.
    """

    def choose(held: int, demand: int, free: int) -> int:
        if demand <= held:
            return held
        surplus = max(0, free - demand) // 2
        return max(held, min(free, demand + surplus))

    return combine(choose, held, demand, free)


def choose_ceiling(
    row: SharesRow,
    quota: Resources,
    pool: PoolName,
    own: TeamDemand,
    asked: Mapping[PoolName, TeamDemand],
) -> Resources:
    """Return what a pool may go on to use of a quota for which other pools ask.

    A pool that doesn't ask counts with its share. One that has long been unable to start a task
    within its part gets room for one more, the one that waited longest first, so that parts that
    are too small for a task each don't leave the quota unused.
    """
    demands = {name: share.amounts for name, share in row.shares.items()}
    demands.update({name: each.demand for name, each in asked.items()})
    demands[pool] = own.demand
    parts = divide(quota, demands)
    first = _find_most_starved({**asked, pool: own}, parts)
    if first is None:
        return parts[pool]
    demand = own if first == pool else asked[first]
    needed = take_lower(add_all([demand.used, demand.chunk]), quota)
    if first == pool:
        return take_higher(parts[pool], needed)
    others = (row.get_amounts(name) for name in row.shares if name not in {pool, first})
    return take_lower(parts[pool], subtract_floored(quota, add_all([needed, *others])))


def _find_most_starved(
    demands: Mapping[PoolName, TeamDemand], parts: Mapping[PoolName, Resources]
) -> PoolName | None:
    """Return the pool that has starved longest within its part, or none."""
    starved = [
        (demand.starved_ms, pool)
        for pool, demand in demands.items()
        if demand.starved_ms >= MIN_STARVED_MS and is_within(demand.used, parts[pool])
    ]
    return max(starved)[1] if starved else None
