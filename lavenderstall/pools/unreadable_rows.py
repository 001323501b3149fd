"""Rows from outside this process that can't be read."""

import logging

from lavenderstall.metrics import Metrics

logger = logging.getLogger(__name__)

# Limit on remembered rows, each of which is logged once.
MAX_REMEMBERED = 10_000
MAX_DETAIL_LENGTH = 200


class UnreadableRows:
    """Log each row that can't be read once per version, and count it."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._noted: dict[tuple[str, str, int], None] = {}

    def note(self, table: str, key: str, version: int, error: Exception | str) -> None:
        """Note that a row is set aside; rows without a version are told apart by their key."""
        row = (table, key, version)
        if row in self._noted:
            return
        self._noted[row] = None
        if len(self._noted) > MAX_REMEMBERED:
            del self._noted[next(iter(self._noted))]
        self._metrics.count("rows_unreadable")
        logger.error(
            "unreadable row ignored",
            extra={
                "table": table,
                "key": key[:MAX_DETAIL_LENGTH],
                "version": version,
                "error": str(error)[:MAX_DETAIL_LENGTH],
            },
        )
