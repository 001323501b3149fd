"""Tests of when a pool may be claimed."""

import unittest

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.claims import (
    SUSPECTED_EXPIRY_REDUCTION_MS,
    OwnerEvidence,
    OwnershipSnapshot,
)
from lavenderstall.pools.records import BASE_EXPIRY_MS, OwnerRow

RENEWED_MS = 50_000.0
REDUCED_MS = BASE_EXPIRY_MS - SUSPECTED_EXPIRY_REDUCTION_MS


class ClaimableTest(unittest.TestCase):
    """Claims after a kill, a loss of power, a partition and a planned release."""

    def test_an_owner_expires_sooner_the_more_is_known_of_its_end(self) -> None:
        rows = (
            (OwnerEvidence.NONE, BASE_EXPIRY_MS, False),
            (OwnerEvidence.NONE, BASE_EXPIRY_MS + 1, True),
            (OwnerEvidence.SUSPECTED, REDUCED_MS, False),
            (OwnerEvidence.SUSPECTED, REDUCED_MS + 1, True),
            (OwnerEvidence.ENDED, 0.0, True),
        )
        for evidence, silent_ms, claimable in rows:
            with self.subTest(evidence=evidence, silent_ms=silent_ms):
                owner = OwnerRow(EntryId("e1"), Incarnation("i"), 3, RENEWED_MS)
                snapshot = OwnershipSnapshot(None, owner, RENEWED_MS + silent_ms)
                self.assertEqual(snapshot.is_claimable(evidence), claimable)

    def test_an_owner_of_a_slow_store_has_longer(self) -> None:
        owner = OwnerRow(EntryId("e1"), Incarnation("i"), 3, RENEWED_MS, expiry_ms=2500.0)
        snapshot = OwnershipSnapshot(None, owner, RENEWED_MS + BASE_EXPIRY_MS + 1)
        self.assertFalse(snapshot.is_claimable(OwnerEvidence.SUSPECTED))

    def test_a_released_pool_and_one_without_owner_are_claimable(self) -> None:
        released = OwnerRow(EntryId("e1"), Incarnation("i"), 3, RENEWED_MS, released=True)
        for owner in (None, released):
            with self.subTest(owner=owner):
                self.assertTrue(OwnershipSnapshot(None, owner, RENEWED_MS).is_claimable())


if __name__ == "__main__":
    unittest.main()
