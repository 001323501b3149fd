"""Decisions on who owns a pool: when an owner releases it, and when another instance claims it."""

from enum import Enum

import msgspec

from lavenderstall.pools.claims import OwnerEvidence, OwnershipSnapshot
from lavenderstall.pools.records import BASE_EXPIRY_MS

# An owner keeps a pool at least this long before it hands it over.
MIN_OWNERSHIP_S = 3.0
# An owner whose commits go through peers hands its pools over after this long without the store.
HANDOVER_DELAY_S = 0.6
# A live owner has this long to renew after a store outage.
RENEWAL_GRACE_S = 1.0
# Time in which a better placed instance claims a pool: a check of each rank, and a commit.
DEFERRAL_MS = 600.0


class ReleaseReason(Enum):
    """Why an owner releases a pool."""

    ISOLATED = "isolated from other zones"
    STORE_LOST = "peers reach the store, this instance does not"
    LOW_CAPACITY = "an instance with more CPU capacity owns no pool"
    SHUTDOWN = "shutdown"


class ClaimDecision(Enum):
    """Whether an instance claims a pool now."""

    CLAIM = "claim"
    # The pool has an owner, or the store was away until just now and the owner may renew.
    WAIT_FOR_OWNER = "wait for the owner"
    # Another instance is better placed and has not had the time to claim yet.
    WAIT_FOR_BETTER_PLACED = "wait for a better placed instance"
    DRAINING = "draining"


class OwnerKnowledge(msgspec.Struct, frozen=True):
    """What the owner of a pool knows of itself and its peers.

    `isolated_until_answered` is true if it is isolated and reaches the store, and an instance of
    another zone has recorded since that it isn't. `relayed` tells whether a peer has just committed
    for it.
    """

    owned_s: float
    store_lost_s: float = 0.0
    relayed: bool = False
    isolated_until_answered: bool = False
    knows_stronger_idle_peer: bool = False


class ClaimantKnowledge(msgspec.Struct, frozen=True):
    """What an instance knows that may claim a pool.

    `hears_owner` tells whether it heard the owner just now, though perhaps without the store.
    """

    ownership: OwnershipSnapshot
    evidence: OwnerEvidence = OwnerEvidence.NONE
    draining: bool = False
    hears_owner: bool = False
    store_available_s: float = RENEWAL_GRACE_S
    isolated: bool = False
    knows_connected_peer: bool = False
    knows_stronger_idle_peer: bool = False


def choose_release_reason(known: OwnerKnowledge) -> ReleaseReason | None:
    """Return why an owner hands its pool over, or none if it keeps it.

    Each reason names another instance that serves the pool better.
    """
    if known.owned_s <= MIN_OWNERSHIP_S:
        return None
    if known.isolated_until_answered:
        return ReleaseReason.ISOLATED
    if known.relayed and known.store_lost_s > HANDOVER_DELAY_S:
        return ReleaseReason.STORE_LOST
    return ReleaseReason.LOW_CAPACITY if known.knows_stronger_idle_peer else None


def decide_claim(known: ClaimantKnowledge) -> ClaimDecision:
    """Decide whether an instance claims a pool.

    It defers to instances for which an owner like it would release the pool, but only for a time:
    what it knows of them may be out of date.
    """
    ownership = known.ownership
    if known.draining:
        return ClaimDecision.DRAINING
    if not ownership.is_claimable(known.evidence):
        return ClaimDecision.WAIT_FOR_OWNER
    if known.hears_owner and known.store_available_s < RENEWAL_GRACE_S:
        return ClaimDecision.WAIT_FOR_OWNER
    isolated = known.isolated and known.knows_connected_peer
    if not isolated and not known.knows_stronger_idle_peer:
        return ClaimDecision.CLAIM
    if get_ownerless_ms(ownership) > get_deferral_ms(ownership):
        return ClaimDecision.CLAIM
    return ClaimDecision.WAIT_FOR_BETTER_PLACED


def get_ownerless_ms(ownership: OwnershipSnapshot) -> float:
    """Return for how long a pool has been free for any instance, infinite if it had no owner."""
    owner = ownership.owner
    if owner is None:
        return float("inf")
    expiry_ms = 0.0 if owner.released else owner.expiry_ms
    return ownership.store_ms - owner.renewed_ms - expiry_ms


def get_deferral_ms(ownership: OwnershipSnapshot) -> float:
    """Return how long to defer to better placed instances, which is longer if the store is slow."""
    owner = ownership.owner
    slowness_ms = max(0.0, owner.expiry_ms - BASE_EXPIRY_MS) if owner is not None else 0.0
    return DEFERRAL_MS + slowness_ms
