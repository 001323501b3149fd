"""Claims of pools: who owns which, and when another instance takes over."""

import logging
from collections.abc import Callable, Mapping
from zlib import crc32

import msgspec

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.ports import (
    Committed,
    Condition,
    Put,
    Row,
    RowConflictError,
    RowStore,
    Transaction,
)
from lavenderstall.pools.records import OWNER_KEY, OWNERS, OwnerRow, decode_owner, encode
from lavenderstall.pools.work import PoolName

logger = logging.getLogger(__name__)

# An owner starts tasks without recording them only after `owner.UNRECORDED_S` without the store.
RECORDED_MS = 3500.0
# An owner that still acts without the store stops after `owner.ACT_S`; runs lapse after a lease.
OLD_OWNER_S = 7.0
LEASE_S = 6.0
SLOWEST_CLOCK = 0.98
MARGIN_S = 0.3


class Claim(msgspec.Struct, frozen=True):
    """Hold an ownership that was gained; `settle_s` is how long older runs may last.

    With `recorded`, progress rows tell of all of them.
    """

    owner: OwnerRow
    version: int
    committed: Committed
    sent_at: float
    settle_s: float
    recorded: bool


class Sight(msgspec.Struct, frozen=True):
    """Hold what the owner row of a pool says."""

    row: Row | None
    owner: OwnerRow | None
    store_ms: float

    def is_vacant(self) -> bool:
        """Tell whether the pool may be claimed."""
        if self.owner is None or self.owner.released:
            return True
        return self.store_ms - self.owner.renewed_ms > self.owner.expiry_ms


class Claimer:
    """Read and write owner rows on behalf of one entry instance."""

    def __init__(
        self,
        store: RowStore,
        entry: EntryId,
        incarnation: Incarnation,
        read_uptime: Callable[[], float],
    ) -> None:
        self._store = store
        self._entry = entry
        self._incarnation = incarnation
        self._read_uptime = read_uptime

    async def look(self, pool: PoolName) -> Sight:
        """Read the owner row of a pool."""
        page = await self._store.read(OWNERS, pool, OWNER_KEY, 1)
        row = next((row for row in page.rows if row.key == OWNER_KEY), None)
        owner = decode_owner(row.value) if row else None
        return Sight(row, owner, page.store_clock_ms)

    async def claim(self, pool: PoolName, sight: Sight) -> Claim | None:
        """Take a vacant pool; returns none if another instance was faster."""
        before = sight.owner
        recorded = is_recorded(before, sight.store_ms)
        owner = OwnerRow(
            self._entry,
            self._incarnation,
            (before.term if before else 0) + 1,
            sight.store_ms,
            unrecorded=not recorded,
        )
        condition = Condition(OWNERS, OWNER_KEY, sight.row.version if sight.row else 0)
        put = Put(OWNERS, OWNER_KEY, encode(owner))
        sent_at = self._read_uptime()
        try:
            committed = await self._store.commit(Transaction(pool, (condition,), (put,)))
        except RowConflictError:
            return None
        except LavenderstallError as error:
            logger.info("claim failed", extra={"pool": pool, "error": str(error)})
            return None
        logger.info(
            "pool claimed",
            extra={
                "pool": pool,
                "term": owner.term,
                "before": before.entry if before else None,
                "released": bool(before and before.released),
                "silent_ms": round(sight.store_ms - before.renewed_ms) if before else None,
                "recorded": recorded,
            },
        )
        recorded = recorded and is_recorded(before, committed.store_clock_ms)
        return Claim(owner, committed.version, committed, sent_at, get_settle_s(before), recorded)


def get_rank(
    entry: EntryId, powers: Mapping[EntryId, float], owned: Mapping[EntryId, int], number: int
) -> int:
    """Return how many instances suit a pool better, by its number among all pools.

    Those that own fewer pools and are stronger go first, and each pool has another favourite.
    """
    order = sorted(powers, key=lambda e: (owned.get(e, 0), -powers[e], crc32(e.encode()), e))
    return (order.index(entry) - number) % len(order)


def is_recorded(before: OwnerRow | None, store_ms: float) -> bool:
    """Tell whether progress rows tell of all runs that an earlier owner may have started.

    One that is replaced soon after its last renewal had no time to start any without the store.
    """
    if before is None or before.unrecorded:
        return before is None
    return before.released or store_ms - before.renewed_ms <= RECORDED_MS


def get_settle_s(before: OwnerRow | None) -> float:
    """Return for how long runs of an earlier owner may last on workers that are not reached."""
    if before is None:
        return 0.0
    lapse = LEASE_S / SLOWEST_CLOCK + MARGIN_S
    return lapse if before.released else OLD_OWNER_S + lapse
