"""Tests of what an entry instance sends to the others."""

import unittest

from lavenderstall.identifiers import EntryId, Incarnation, ZoneName
from lavenderstall.peers import Pace
from lavenderstall.records import EntryRow

ZONES = 6


def make_peers(count: int) -> dict[EntryId, EntryRow]:
    """Return the rows of some entry instances, dealt out over the zones."""
    return {
        EntryId(f"e{n}"): EntryRow(
            EntryId(f"e{n}"), Incarnation("i"), ZoneName(f"z{n % ZONES}"), "", "", 1
        )
        for n in range(count)
    }


class PaceTest(unittest.TestCase):
    """Guards against peers that hear too seldom, or messages that grow without bound."""

    def test_turns(self) -> None:
        """Small fleets must hear each turn; far peers of large ones often enough."""
        for count, most, to_all in ((0, 5, 10), (9, 5, 10), (31, 5, 10), (32, 5, 5), (150, 5, 2)):
            with self.subTest(count=count):
                peers = make_peers(count)
                pace = Pace(ZoneName("z1"), most)
                found = [pace.next_peers(peers) for _ in range(10)]
                self.assertEqual(sum(each is None for each in found), to_all)
                near = {entry for entry, row in peers.items() if row.zone == "z1"}
                self.assertTrue(all(each == near for each in found if each is not None))


if __name__ == "__main__":
    unittest.main()
