"""Tests of when a pool may be claimed."""

import unittest

from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.metrics import Metrics
from lavenderstall.pools.claims import (
    SUSPECTED_EXPIRY_REDUCTION_MS,
    Claim,
    Claimer,
    OwnerEvidence,
    OwnershipSnapshot,
)
from lavenderstall.pools.earlier_owners import (
    LEASE_LIFETIME_S,
    MAX_SHORT_OUTAGE_MS,
    OUTAGE_LEASES_DELAY_S,
    OUTAGE_LEASES_LIFETIME_S,
    OWNERSHIP_TIMEOUT_S,
    UNKNOWN_ENTRY,
    get_leases_end_ms,
    had_short_outage,
    list_earlier_owners,
)
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.peers import LIVENESS_TIMEOUT_S
from lavenderstall.pools.ports import Put, Transaction
from lavenderstall.pools.records import (
    BASE_EXPIRY_MS,
    OWNER_KEY,
    OWNERS,
    EarlierOwner,
    OwnerRow,
    decode_owner,
    encode,
)
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import PoolName
from tests.pools.rowstore import FakeRowStore

POOL = PoolName("routing")
RENEWED_MS = 50_000.0
OWNER = OwnerRow(EntryId("e1"), Incarnation("i"), 3, RENEWED_MS, earlier=[])
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
        longest_ms = released_ms + OWNERSHIP_TIMEOUT_S * 1000
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

    def test_leases_end_as_the_row_says_unless_the_store_was_away_for_long(self) -> None:
        """Fails if a successor waits for more than its owner may have done, or for less."""
        read_ms = RENEWED_MS + 1000.0
        longest_ms = read_ms + OUTAGE_LEASES_LIFETIME_S * 1000
        rests_ms = get_leases_end_ms(RENEWED_MS)
        table = (
            ("short outage", rests_ms, True, False, rests_ms),
            ("long outage", rests_ms, False, False, RENEWED_MS + OUTAGE_LEASES_LIFETIME_S * 1000),
            ("released", rests_ms, True, True, rests_ms),
            ("released late", rests_ms, False, True, rests_ms),
            ("odd figure", 1e15, True, False, longest_ms),
            ("written by an earlier release", 0.0, True, False, longest_ms),
        )
        for name, leases_end_ms, short_outage, released, end_ms in table:
            with self.subTest(name=name):
                owner = replace(OWNER, released=released, leases_end_ms=leases_end_ms)
                found = list_earlier_owners(owner, read_ms, short_outage=short_outage)
                self.assertAlmostEqual(found[-1].leases_end_ms, min(end_ms, longest_ms))

    def test_a_short_outage_is_over_before_leases_are_extended_in_it(self) -> None:
        """Fails if a claim and such a lease may fall within the time in which peers are heard."""
        self.assertGreater(
            OUTAGE_LEASES_DELAY_S * 1000, MAX_SHORT_OUTAGE_MS + LIVENESS_TIMEOUT_S * 1000
        )
        for silent_ms, short in ((MAX_SHORT_OUTAGE_MS, True), (MAX_SHORT_OUTAGE_MS + 1, False)):
            with self.subTest(silent_ms=silent_ms):
                self.assertEqual(had_short_outage(OWNER, RENEWED_MS + silent_ms), short)
        self.assertFalse(had_short_outage(None, RENEWED_MS))

    def test_only_an_instance_that_the_owner_knows_counts_on_the_end_of_its_leases(self) -> None:
        """Fails if a claimant waits less though the owner may not know that it reaches the store.

        The row that it writes tells the longer wait, as the claim may be applied late.
        """
        for known in (True, False):
            with self.subTest(known=known):
                rows = FakeRowStore()
                rows.store_clock_ms = RENEWED_MS
                owner = replace(OWNER, earlier=[], leases_end_ms=get_leases_end_ms(RENEWED_MS))
                rows.apply(Transaction(POOL, (), (Put(OWNERS, OWNER_KEY, encode(owner)),)))
                claim = self.claim(rows, known_to_owner=known)
                (left,) = claim.owner.earlier or ()
                written = decode_owner(rows.rows[OWNERS, POOL, OWNER_KEY].value)
                (told,) = written.earlier or ()
                self.assertEqual(left.leases_end_ms == owner.leases_end_ms, known)
                self.assertGreater(told.leases_end_ms, owner.leases_end_ms)
                self.assertGreaterEqual(written.leases_end_ms, get_leases_end_ms(RENEWED_MS))

    def claim(self, rows: FakeRowStore, *, known_to_owner: bool) -> Claim:
        """Claim the pool 0.5 s after its row was read."""
        uptimes = iter((10.0, 10.5))
        claimer = Claimer(
            MonitoredStore(rows, lambda: 0.0),
            Clock(),
            EntryId("e2"),
            Incarnation("j"),
            lambda: next(uptimes),
            UnreadableRows(Metrics()),
        )
        found: list[Claim | None] = []

        async def claim() -> None:
            snapshot = await claimer.read_ownership(POOL)
            found.append(await claimer.claim(POOL, snapshot, known_to_owner=known_to_owner))

        Deferred.fromCoroutine(claim())
        assert found
        assert found[0] is not None
        return found[0]

    def test_a_pool_without_an_owner_has_no_earlier_ones(self) -> None:
        self.assertEqual(list_earlier_owners(None, RENEWED_MS), [])


if __name__ == "__main__":
    unittest.main()
