"""Tests of the decisions on who owns a pool."""

import unittest
from itertools import product

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.claims import OwnerEvidence, OwnershipSnapshot
from lavenderstall.pools.ownership_policy import (
    DEFERRAL_MS,
    HANDOVER_DELAY_S,
    MIN_OWNERSHIP_S,
    RENEWAL_GRACE_S,
    ClaimantKnowledge,
    ClaimDecision,
    OwnerKnowledge,
    ReleaseReason,
    choose_release_reason,
    decide_claim,
)
from lavenderstall.pools.records import BASE_EXPIRY_MS, OwnerRow

RENEWED_MS = 50_000.0


def make_ownership(
    age_ms: float, released: bool = False, expiry_ms: float = BASE_EXPIRY_MS
) -> OwnershipSnapshot:
    """Return an owner row that was written `age_ms` ago."""
    owner = OwnerRow(
        EntryId("e1"), Incarnation("i"), 3, RENEWED_MS, released=released, expiry_ms=expiry_ms
    )
    return OwnershipSnapshot(None, owner, RENEWED_MS + age_ms)


class ReleaseTest(unittest.TestCase):
    """Pools that their owner hands over."""

    def test_each_combination(self) -> None:
        """Fails if an owner gives its pool up to nobody, or keeps one that others serve better."""
        lost_s = HANDOVER_DELAY_S + 0.1
        for old, lost, relayed, answered, stronger in product((False, True), repeat=5):
            known = OwnerKnowledge(
                owned_s=MIN_OWNERSHIP_S + (0.1 if old else 0.0),
                store_lost_s=lost_s if lost else 0.0,
                relayed=relayed,
                isolated_until_answered=answered,
                knows_stronger_idle_peer=stronger,
            )
            expected = None
            if old and answered:
                expected = ReleaseReason.ISOLATED
            elif old and lost and relayed:
                expected = ReleaseReason.STORE_LOST
            elif old and stronger:
                expected = ReleaseReason.LOW_CAPACITY
            with self.subTest(known=known):
                self.assertIs(choose_release_reason(known), expected)


class ClaimTest(unittest.TestCase):
    """Pools that an instance claims."""

    def test_pools_that_are_not_to_be_claimed(self) -> None:
        """Fails if an instance claims from an owner that lives, or while it shuts down."""
        fresh, expired = make_ownership(900.0), make_ownership(1100.0)
        none = OwnershipSnapshot(None, None, RENEWED_MS)
        away_s = RENEWAL_GRACE_S - 0.1
        table = (
            (ClaimantKnowledge(fresh), ClaimDecision.WAIT_FOR_OWNER),
            (ClaimantKnowledge(expired), ClaimDecision.CLAIM),
            (ClaimantKnowledge(fresh, OwnerEvidence.SUSPECTED), ClaimDecision.CLAIM),
            (ClaimantKnowledge(expired, draining=True), ClaimDecision.DRAINING),
            (
                ClaimantKnowledge(expired, hears_owner=True, store_available_s=away_s),
                ClaimDecision.WAIT_FOR_OWNER,
            ),
            (ClaimantKnowledge(expired, hears_owner=True), ClaimDecision.CLAIM),
            (ClaimantKnowledge(expired, store_available_s=away_s), ClaimDecision.CLAIM),
            (
                ClaimantKnowledge(none, isolated=True, knows_connected_peer=True),
                ClaimDecision.CLAIM,
            ),
        )
        for known, expected in table:
            with self.subTest(known=known):
                self.assertIs(decide_claim(known), expected)

    def test_an_instance_defers_to_better_placed_ones(self) -> None:
        """Fails if instances take a pool that its owner released for others, or nobody does."""
        table = (
            (True, BASE_EXPIRY_MS, DEFERRAL_MS),
            (False, BASE_EXPIRY_MS, BASE_EXPIRY_MS + DEFERRAL_MS),
            # A claim takes longer if commits do.
            (True, BASE_EXPIRY_MS + 500, DEFERRAL_MS + 500),
        )
        for (released, expiry_ms, free_ms), late, isolated, others, stronger in product(
            table, *[(False, True)] * 4
        ):
            known = ClaimantKnowledge(
                make_ownership(free_ms + late, released, expiry_ms),
                isolated=isolated,
                knows_connected_peer=others,
                knows_stronger_idle_peer=stronger,
            )
            waits = ((isolated and others) or stronger) and not late
            expected = ClaimDecision.WAIT_FOR_BETTER_PLACED if waits else ClaimDecision.CLAIM
            with self.subTest(known=known):
                self.assertIs(decide_claim(known), expected)


if __name__ == "__main__":
    unittest.main()
