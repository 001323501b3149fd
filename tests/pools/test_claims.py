"""Tests of when a pool may be claimed."""

import unittest

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.claims import (
    LEASE_LIFETIME_S,
    OLD_OWNER_TIMEOUT_S,
    SUSPECTED_EXPIRY_REDUCTION_MS,
    UNKNOWN_ENTRY,
    OwnerEvidence,
    OwnershipSnapshot,
    list_earlier_owners,
)
from lavenderstall.pools.records import BASE_EXPIRY_MS, EarlierOwner, OwnerRow

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


class EarlierOwnersTest(unittest.TestCase):
    """The owners before a claim, and for how long their leases may last."""

    def test_all_owners_are_listed_whose_leases_may_last(self) -> None:
        """Fails if a pool that changes owners twice forgets a frozen owner that may wake up."""
        released_ms = RENEWED_MS + LEASE_LIFETIME_S * 1000
        longest_ms = released_ms + OLD_OWNER_TIMEOUT_S * 1000
        older = EarlierOwner(EntryId("e0"), 2, RENEWED_MS + 9000)
        expired = EarlierOwner(EntryId("e0"), 2, RENEWED_MS)
        unknown = EarlierOwner(UNKNOWN_ENTRY, 2, longest_ms)
        table = (
            ("first", [], False, [], longest_ms),
            ("older one may act", [older], False, [older], longest_ms),
            ("older one is over", [expired], False, [], longest_ms),
            ("released", [older], True, [older], released_ms),
            ("written by an earlier release", None, False, [unknown], longest_ms),
        )
        for name, earlier, released, before, end_ms in table:
            with self.subTest(name=name):
                owner = OwnerRow(
                    EntryId("e1"), Incarnation("i"), 3, released=released, earlier=earlier
                )
                self.assertEqual(
                    list_earlier_owners(owner, RENEWED_MS),
                    [*before, EarlierOwner(EntryId("e1"), 3, end_ms)],
                )

    def test_a_pool_without_an_owner_has_no_earlier_ones(self) -> None:
        self.assertEqual(list_earlier_owners(None, RENEWED_MS), [])


if __name__ == "__main__":
    unittest.main()
