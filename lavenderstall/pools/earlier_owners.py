"""Bounds on the leases that earlier owners of a pool have extended."""

from lavenderstall.identifiers import EntryId
from lavenderstall.pools.records import EarlierOwner, OwnerRow
from lavenderstall.pools.workers import MAX_LEASE_MS, MIN_CLOCK_RATE

# An owner that has not confirmed its ownership for this long does not act as one.
OWNERSHIP_TIMEOUT_S = 7.0
# No lease lasts longer after the renewal that it rests on. With what a successor adds to it, a task
# starts again within 7 s of its owner's end.
OWNED_LEASES_S = 6.2
LEASE_S = MAX_LEASE_MS / 1000
SAFETY_MARGIN_S = 0.3
# Longest time from the moment at which a lease is extended until it has expired.
LEASE_LIFETIME_S = LEASE_S / MIN_CLOCK_RATE + SAFETY_MARGIN_S
# Longest time from a renewal until the leases have expired that rest on it, by any clock.
OWNED_LEASES_LIFETIME_S = OWNED_LEASES_S + SAFETY_MARGIN_S
# Longest time until leases have expired that are extended in an outage of the store.
OUTAGE_LEASES_LIFETIME_S = OWNERSHIP_TIMEOUT_S + LEASE_LIFETIME_S
# Once the first transaction without an answer is this old, and if all instances miss the store, an
# owner extends leases for the whole of their length.
OUTAGE_LEASES_DELAY_S = 5.0
# Stands for owners of which nothing is known.
UNKNOWN_ENTRY = EntryId("")


def get_leases_end_ms(store_ms: float) -> float:
    """Return when the leases have expired that rest on a renewal, by the store's clock."""
    return store_ms + OWNED_LEASES_LIFETIME_S * 1000


def get_old_run_lifetime_s(previous: OwnerRow | None) -> float:
    """Return how long runs of an earlier owner may last on unreachable workers."""
    if previous is None:
        return 0.0
    return LEASE_LIFETIME_S if previous.released else OUTAGE_LEASES_LIFETIME_S


def list_earlier_owners(previous: OwnerRow | None, store_ms: float) -> list[EarlierOwner]:
    """Return the owners before a claim whose leases may last, by the owner row read before it.

    The owner of that row had sent its last renewal before, and extends none before its first one.
    While it holds the pool it may extend more leases in an outage than the row says.
    """
    if previous is None:
        return []
    earlier = previous.earlier
    if earlier is None:
        longest_ms = store_ms + OUTAGE_LEASES_LIFETIME_S * 1000
        earlier = [EarlierOwner(UNKNOWN_ENTRY, previous.term - 1, longest_ms)]
    lasting = [each for each in earlier if each.leases_end_ms > store_ms]
    if previous.leases_end_ms and not previous.sequence:
        return lasting
    return [*lasting, _bound_leases(previous, store_ms)]


def _bound_leases(owner: OwnerRow, store_ms: float) -> EarlierOwner:
    """Return when the leases of an owner end, by its row."""
    end_ms = store_ms + get_old_run_lifetime_s(owner) * 1000
    if not owner.leases_end_ms:
        return EarlierOwner(owner.entry, owner.term, end_ms)
    if owner.released:
        return EarlierOwner(owner.entry, owner.term, owner.leases_end_ms)
    outage_ms = (OUTAGE_LEASES_LIFETIME_S - OWNED_LEASES_LIFETIME_S) * 1000
    end_ms = min(end_ms, owner.leases_end_ms + outage_ms)
    return EarlierOwner(
        owner.entry, owner.term, end_ms, owner.leases_end_ms, owner.renewed_ms, owner.heard
    )


def shorten_leases(owner: EarlierOwner) -> EarlierOwner:
    """Return an earlier owner that can't have extended leases in an outage."""
    return EarlierOwner(owner.entry, owner.term, min(owner.leases_end_ms, owner.owned_end_ms))


def get_latest_renewal_ms(owner: EarlierOwner) -> float:
    """Return when an earlier owner renewed at the latest, by the store's clock."""
    return owner.owned_end_ms - OWNED_LEASES_LIFETIME_S * 1000
