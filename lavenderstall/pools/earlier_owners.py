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
# Longest time from a renewal until the leases have expired that rest on it.
OWNED_LEASES_LIFETIME_S = OWNED_LEASES_S / MIN_CLOCK_RATE + SAFETY_MARGIN_S
# Longest time until leases have expired that are extended in an outage of the store.
OUTAGE_LEASES_LIFETIME_S = OWNERSHIP_TIMEOUT_S + LEASE_LIFETIME_S
# After this long without the store, and if all instances miss it, an owner extends leases for the
# whole of their length. A long poll returns before those that rest on the renewal end.
OUTAGE_LEASES_DELAY_S = 4.2
# A claim so soon after a renewal reaches an owner before it extends such leases, with a time in
# which its peers count as heard between the two.
MAX_SHORT_OUTAGE_MS = 3200.0
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


def had_short_outage(previous: OwnerRow | None, store_ms: float) -> bool:
    """Tell whether an owner had no time to extend leases beyond its ownership."""
    return previous is not None and store_ms - previous.renewed_ms <= MAX_SHORT_OUTAGE_MS


def list_earlier_owners(
    previous: OwnerRow | None, store_ms: float, *, short_outage: bool = False
) -> list[EarlierOwner]:
    """Return the owners before a claim whose leases may last, by the owner row read before it.

    The owner of that row had sent its last renewal before, and the row says when the leases that
    rest on it end. Without a `short_outage`, it may have extended more of them until then.
    """
    if previous is None:
        return []
    end_ms = store_ms + get_old_run_lifetime_s(previous) * 1000
    if previous.leases_end_ms:
        outage_s = 0.0 if short_outage else OUTAGE_LEASES_LIFETIME_S - OWNED_LEASES_LIFETIME_S
        end_ms = min(end_ms, previous.leases_end_ms + outage_s * 1000)
        if previous.released:
            end_ms = previous.leases_end_ms
    earlier = previous.earlier
    if earlier is None:
        longest_ms = store_ms + OUTAGE_LEASES_LIFETIME_S * 1000
        earlier = [EarlierOwner(UNKNOWN_ENTRY, previous.term - 1, longest_ms)]
    lasting = [each for each in earlier if each.leases_end_ms > store_ms]
    return [*lasting, EarlierOwner(previous.entry, previous.term, end_ms)]
