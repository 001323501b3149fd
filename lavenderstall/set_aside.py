"""Rows and entries that can't be read: each is set aside by name, logged once and counted."""

import logging
from collections import OrderedDict

logger = logging.getLogger(__name__)

# Bounds the memory for names; an older one would be logged once more.
MAX_NAMES = 10_000
MAX_DETAIL_CHARACTERS = 300


class SeenVersions:
    """Remember the last version of each of up to `MAX_NAMES` names."""

    def __init__(self) -> None:
        self._versions: OrderedDict[str, int] = OrderedDict()

    def add(self, name: str, version: int) -> bool:
        """Remember a version, and tell whether it differs from the last one of its name."""
        known = self._versions.get(name)
        self._versions[name] = version
        self._versions.move_to_end(name)
        if len(self._versions) > MAX_NAMES:
            self._versions.popitem(last=False)
        return known != version


class SetAside:
    """Log what can't be read once per name and version; `total` counts these."""

    def __init__(self) -> None:
        self.total = 0
        self._seen = SeenVersions()

    def add(self, name: str, version: int, error: Exception) -> None:
        """Set aside one version of a row, while the others are applied."""
        if not self._seen.add(name, version):
            return
        self.total += 1
        logger.warning(
            "%s, version %d, is set aside: %s", name, version, str(error)[:MAX_DETAIL_CHARACTERS]
        )
