"""Claims of pool ownership and takeover from an earlier owner."""

import logging
from collections.abc import Callable, Mapping
from enum import Enum
from functools import partial
from zlib import crc32

import msgspec

from lavenderstall.clocks import Clock
from lavenderstall.decoding import UnreadableError
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.commits import commit_and_verify
from lavenderstall.pools.earlier_owners import (
    get_latest_renewal_ms,
    get_leases_end_ms,
    list_earlier_owners,
    shorten_leases,
)
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.ports import (
    Committed,
    Condition,
    Put,
    Row,
    RowConflictError,
    Transaction,
)
from lavenderstall.pools.records import (
    OWNER_KEY,
    OWNERS,
    EarlierOwner,
    OwnerRow,
    decode_owner,
    encode,
)
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import PoolName

logger = logging.getLogger(__name__)

# Records of an owner that renewed within this time are complete, as it starts unrecorded runs
# only after `owner.UNRECORDED_START_DELAY_S`.
COMPLETE_RECORDS_MS = 3500.0
# Two intervals of renewal remain.
SUSPECTED_EXPIRY_REDUCTION_MS = 500.0
# An owner estimates the store's clock since its last answer; a later renewal is none.
MAX_RENEWAL_LEAD_MS = 60_000.0
# An owner whose row can't be read has no time in which its ownership may not be claimed.
UNKNOWN_EXPIRY_MS = -1.0


class Claim(msgspec.Struct, frozen=True):
    """A successful claim.

    With `records_complete`, progress rows list all runs of earlier owners.
    """

    owner: OwnerRow
    version: int
    committed: Committed
    sent_at: float
    records_complete: bool


# Tells whether an earlier owner can't have extended leases in an outage, by when it renewed at the
# earliest and at the latest, in seconds of uptime.
RulesOutOutage = Callable[[EarlierOwner, float, float], bool]


class OwnerEvidence(Enum):
    """What an instance knows of a pool's owner besides its row."""

    NONE = "none"
    # No heartbeat arrives, or a new process has its name.
    SUSPECTED = "suspected"
    # Its process has ended.
    ENDED = "ended"


class OwnershipSnapshot(msgspec.Struct, frozen=True):
    """The owner row of a pool and the store's clock at one moment.

    It was asked for at `asked_at`, in seconds of uptime.
    """

    row: Row | None
    owner: OwnerRow | None
    store_ms: float
    asked_at: float = 0.0

    def is_claimable(self, evidence: OwnerEvidence = OwnerEvidence.NONE) -> bool:
        """Tell whether the pool has no owner, or one that has released it, ended or expired.

        An owner that is suspected too expires `SUSPECTED_EXPIRY_REDUCTION_MS` earlier.
        """
        if self.owner is None or self.owner.released or evidence is OwnerEvidence.ENDED:
            return True
        expiry_ms = self.owner.expiry_ms
        if evidence is OwnerEvidence.SUSPECTED:
            expiry_ms -= SUSPECTED_EXPIRY_REDUCTION_MS
        return self.store_ms - self.owner.renewed_ms > expiry_ms


class Claimer:
    """Read owner rows and claim pools for one entry instance."""

    def __init__(
        self,
        store: MonitoredStore,
        clock: Clock,
        entry: EntryId,
        incarnation: Incarnation,
        read_uptime: Callable[[], float],
        unreadable_rows: UnreadableRows,
    ) -> None:
        self._store = store
        self._clock = clock
        self._unreadable_rows = unreadable_rows
        self._entry = entry
        self._incarnation = incarnation
        self._read_uptime = read_uptime

    async def read_ownership(self, pool: PoolName) -> OwnershipSnapshot:
        """Read the owner row of a pool."""
        asked_at = self._read_uptime()
        page = await self._store.read(OWNERS, pool, OWNER_KEY, 1)
        row = next((row for row in page.rows if row.key == OWNER_KEY), None)
        owner = self._decode_owner(row, page.store_clock_ms) if row else None
        return OwnershipSnapshot(row, owner, page.store_clock_ms, asked_at)

    def _decode_owner(self, row: Row, store_ms: float) -> OwnerRow:
        try:
            owner = decode_owner(row.value)
            if owner.renewed_ms > store_ms + MAX_RENEWAL_LEAD_MS:
                raise UnreadableError("it was renewed in the future")
            return owner
        except UnreadableError as error:
            self._unreadable_rows.note(row.table, f"{row.partition}/{row.key}", row.version, error)
            return make_unknown_owner(row)

    async def claim(
        self,
        pool: PoolName,
        snapshot: OwnershipSnapshot,
        rules_out_outage: RulesOutOutage = lambda owner, earliest, latest: False,
    ) -> Claim | None:
        """Claim a pool; returns none on a conflict or failed write.

        An earlier owner of which leases in an outage are ruled out has extended none beyond its
        ownership. The row tells the longer time, as it may be written late.
        """
        previous = snapshot.owner
        sent_at = self._read_uptime()
        records_complete = has_complete_records(previous, snapshot.store_ms)
        owner = self._make_owner_row(snapshot, sent_at, unrecorded=not records_complete)
        condition = Condition(OWNERS, OWNER_KEY, snapshot.row.version if snapshot.row else 0)
        put = Put(OWNERS, OWNER_KEY, encode(owner))
        try:
            committed = await commit_and_verify(
                self._store,
                self._clock,
                Transaction(pool, (condition,), (put,)),
                partial(self._find_claim, pool, owner),
            )
        except RowConflictError:
            return None
        except LavenderstallError as error:
            logger.info("claim failed", extra={"pool": pool, "error": str(error)})
            return None
        uptimes = (sent_at, self._read_uptime())
        owner.earlier = [
            _bound_by_evidence(each, committed.store_clock_ms, uptimes, rules_out_outage)
            for each in owner.earlier or ()
        ]
        _log_claim(pool, owner, snapshot)
        records_complete = records_complete and has_complete_records(
            previous, committed.store_clock_ms
        )
        return Claim(
            owner,
            committed.version,
            committed,
            sent_at,
            records_complete,
        )

    def _make_owner_row(
        self, snapshot: OwnershipSnapshot, sent_at: float, *, unrecorded: bool
    ) -> OwnerRow:
        """Return the row of a claim that is sent now.

        The ownership counts from the time of the snapshot, its leases from that of the claim.
        """
        previous = snapshot.owner
        latest_store_ms = snapshot.store_ms + (sent_at - snapshot.asked_at) * 1000
        return OwnerRow(
            self._entry,
            self._incarnation,
            (previous.term if previous else 0) + 1,
            snapshot.store_ms,
            unrecorded=unrecorded,
            earlier=list_earlier_owners(previous, snapshot.store_ms),
            leases_end_ms=get_leases_end_ms(latest_store_ms),
            settled_ms=previous.settled_ms if previous else 0.0,
            crashed_ms=previous.crashed_ms if previous else [],
            unrecorded_starts=previous.unrecorded_starts if previous else None,
        )

    async def _find_claim(self, pool: PoolName, claimed: OwnerRow) -> Committed | None:
        """Return the result of a claim if its owner row is in the store."""
        found = await self.read_ownership(pool)
        if found.row is None or found.owner != claimed:
            return None
        logger.info("claim without a response was applied", extra={"pool": pool})
        return Committed(found.row.version, found.store_ms)


def _log_claim(pool: PoolName, owner: OwnerRow, snapshot: OwnershipSnapshot) -> None:
    previous = snapshot.owner
    logger.info(
        "pool claimed",
        extra={
            "pool": pool,
            "term": owner.term,
            "before": previous.entry if previous else None,
            "released": bool(previous and previous.released),
            "silent_ms": round(snapshot.store_ms - previous.renewed_ms) if previous else None,
            "recorded": not owner.unrecorded,
            "leases_left_ms": [
                [each.entry, each.term, round(each.leases_end_ms - snapshot.store_ms)]
                for each in owner.earlier or ()
            ],
        },
    )


def _bound_by_evidence(
    owner: EarlierOwner,
    store_ms: float,
    uptimes: tuple[float, float],
    rules_out_outage: RulesOutOutage,
) -> EarlierOwner:
    """Return an earlier owner with the leases that it may have extended.

    The store's clock was read between two times of uptime.
    """
    if not owner.owned_end_ms:
        return owner
    earliest = uptimes[0] - (store_ms - owner.renewed_ms) / 1000
    latest = uptimes[1] - (store_ms - get_latest_renewal_ms(owner)) / 1000
    return shorten_leases(owner) if rules_out_outage(owner, earliest, latest) else owner


def make_unknown_owner(row: Row) -> OwnerRow:
    """Return what is certain of the owner whose row can't be read; it may be replaced at once.

    Its term is at most the version of the row, as each term was claimed by a transaction. It may
    have started tasks that are in no record until just now.
    """
    return OwnerRow(
        EntryId(""), Incarnation(""), row.version, 0.0, unrecorded=True, expiry_ms=UNKNOWN_EXPIRY_MS
    )


def get_claim_rank(
    entry: EntryId,
    cpu_capacities: Mapping[EntryId, float],
    owned: Mapping[EntryId, int],
    pool_index: int,
) -> int:
    """Return how many instances precede this one in claiming a pool.

    Those that own fewer pools, then those with more CPU capacity, go first, rotated by the pool's
    index among those without an owner, so that they differ in their first claimant.
    """
    order = sorted(
        cpu_capacities, key=lambda e: (owned.get(e, 0), -cpu_capacities[e], crc32(e.encode()), e)
    )
    return (order.index(entry) - pool_index) % len(order)


def has_complete_records(previous: OwnerRow | None, store_ms: float) -> bool:
    """Tell whether progress rows list all runs that an earlier owner may have started.

    An owner replaced soon after its last renewal had no time to start unrecorded runs.
    """
    if previous is None or previous.unrecorded:
        return previous is None
    return previous.released or store_ms - previous.renewed_ms <= COMPLETE_RECORDS_MS
