"""Rows and entries that can't be read: each is set aside by name, logged once and counted."""

import logging
from collections import OrderedDict

logger = logging.getLogger(__name__)

# Bounds the memory for names; an older one would be logged once more.
MAX_NAMES = 10_000
MAX_DETAIL_CHARACTERS = 300


class SetAside:
    """Log what can't be read once per name and version; `total` counts these."""

    def __init__(self) -> None:
        self.total = 0
        self._versions: OrderedDict[str, int] = OrderedDict()

    def add(self, name: str, version: int, error: Exception) -> None:
        """Set aside one version of a row, while the others are applied."""
        known = self._versions.get(name)
        self._versions[name] = version
        self._versions.move_to_end(name)
        if known == version:
            return
        self.total += 1
        if len(self._versions) > MAX_NAMES:
            self._versions.popitem(last=False)
        logger.warning(
            "%s, version %d, is set aside: %s", name, version, str(error)[:MAX_DETAIL_CHARACTERS]
        )
