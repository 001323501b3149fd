"""Rows from outside this process that can't be read."""

import logging

from lavenderstall.metrics import Metrics
from lavenderstall.set_aside import SeenVersions

logger = logging.getLogger(__name__)

MAX_DETAIL_LENGTH = 200


class UnreadableRows:
    """Log each row that can't be read once per version, and count it."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._seen = SeenVersions()

    def note(self, table: str, key: str, version: int, error: Exception | str) -> None:
        """Note that a row is set aside; rows without a version are told apart by their key."""
        if not self._seen.add(f"{table}/{key}", version):
            return
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
