"""Tests of the removal of rows of instances that have left."""

import unittest

from lavenderstall.pools.entry_rows import STALE_ENTRY_S, EntryRowTracker
from lavenderstall.pools.ports import Row
from lavenderstall.pools.records import ENTRIES


def make_rows(**versions: int) -> dict[str, Row]:
    """Return rows of instances with their versions."""
    return {key: Row(ENTRIES, "", key, b"", version) for key, version in versions.items()}


class EntryRowTest(unittest.TestCase):
    """Rows that are rewritten, abandoned or not known for long."""

    def test_only_rows_that_were_not_rewritten_for_long_are_removed(self) -> None:
        # Seconds of the second reading, of the check, seconds the store was reached, removed.
        table = (
            (30.0, STALE_ENTRY_S - 1, 500.0, []),
            (30.0, STALE_ENTRY_S + 1, 500.0, ["gone"]),
            (30.0, STALE_ENTRY_S + 31, 500.0, ["gone", "live"]),
            (30.0, STALE_ENTRY_S + 1, 20.0, []),
        )
        for rewritten_s, checked_s, available_s, removed in table:
            with self.subTest(checked_s=checked_s, available_s=available_s):
                tracker = EntryRowTracker()
                tracker.note_rows(make_rows(gone=1, live=2), 0.0)
                tracker.note_rows(make_rows(gone=1, live=3), rewritten_s)
                found = tracker.list_removals(checked_s, available_s)
                self.assertEqual([each.deletes[0].key for each in found], removed)

    def test_a_removal_gives_way_to_a_rewritten_row(self) -> None:
        tracker = EntryRowTracker()
        tracker.note_rows(make_rows(gone=7), 0.0)
        (removal,) = tracker.list_removals(STALE_ENTRY_S + 1, 500.0)
        self.assertEqual(removal.conditions[0].version, 7)


if __name__ == "__main__":
    unittest.main()
