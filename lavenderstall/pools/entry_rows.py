"""Rows of entry instances that have left without removing them."""

from collections.abc import Mapping

from lavenderstall.pools.ports import Condition, Delete, Row, Transaction
from lavenderstall.pools.records import ENTRIES

# A live instance rewrites its row several times within this time.
STALE_ENTRY_S = 60.0


class EntryRowTracker:
    """Track when each row was last rewritten; times are seconds of uptime."""

    def __init__(self) -> None:
        self._written: dict[str, tuple[int, float]] = {}

    def note_rows(self, rows: Mapping[str, Row], now: float) -> None:
        """Record the present rows."""
        known, self._written = self._written, {}
        for key, row in rows.items():
            version, written_at = known.get(key, (0, now))
            self._written[key] = (row.version, written_at if row.version == version else now)

    def list_removals(self, now: float, available_s: float) -> list[Transaction]:
        """Return transactions that delete stale rows, unless they are rewritten meanwhile.

        Rows are not known to be stale if the store was not reached for all of the time.
        """
        if available_s < STALE_ENTRY_S:
            return []
        return [
            Transaction("", (Condition(ENTRIES, key, version),), (), (Delete(ENTRIES, key),))
            for key, (version, written_at) in self._written.items()
            if now - written_at > STALE_ENTRY_S
        ]
