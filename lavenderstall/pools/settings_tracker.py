"""The configuration in force at an instance, and when it was last known to be the newest one."""

import logging
from collections.abc import Callable, Mapping

from lavenderstall.clocks import Clock
from lavenderstall.metrics import Metrics
from lavenderstall.pools.ports import Row, RowStore, SettingsDecoder
from lavenderstall.pools.table_watch import TableWatch
from lavenderstall.pools.work import Settings

logger = logging.getLogger(__name__)

# Long-poll timeout of the feed; a new configuration must apply within two seconds.
FEED_WAIT_MS = 1000
OPERATOR_TABLE = "op"
SETTINGS_KEY = "config"


class SettingsTracker:
    """Follow the operator's configuration.

    `on_change` is called with each version once it applies here.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        read_uptime: Callable[[], float],
        decoder: SettingsDecoder,
        on_change: Callable[[Settings], None],
        metrics: Metrics,
    ) -> None:
        self.settings = Settings(0)
        self._read_uptime = read_uptime
        self._decoder = decoder
        self._on_change = on_change
        self._metrics = metrics
        self._watch = TableWatch(
            store, clock, read_uptime, OPERATOR_TABLE, self._apply_rows, FEED_WAIT_MS
        )
        metrics.register_gauge("settings_version", lambda: self.settings.version)
        metrics.register_gauge("settings_unconfirmed_seconds", self.get_unconfirmed_s)

    def start(self) -> None:
        """Start following the configuration."""
        self._watch.start()

    def stop(self) -> None:
        """Stop following the configuration."""
        self._watch.stop()

    def get_unconfirmed_s(self) -> float:
        """Return for how long a newer version may have been in the store, in seconds."""
        return self._read_uptime() - self._watch.confirmed_at

    def _apply_rows(self, rows: Mapping[str, Row]) -> None:
        others = sorted(rows.keys() - {SETTINGS_KEY})
        if others:
            logger.info("unknown operator rows ignored", extra={"keys": others[:10]})
        row = rows.get(SETTINGS_KEY)
        if row is None:
            return
        try:
            settings = self._decoder.decode(row.value)
        except ValueError as error:
            self._metrics.count("settings_rejected")
            logger.warning("invalid configuration rejected", extra={"error": str(error)})
            return
        if settings.version <= self.settings.version:
            return
        unconfirmed_s = self._watch.confirmed_at - self._watch.confirmed_before
        logger.info(
            "configuration applied",
            extra={
                "version": settings.version,
                "before": self.settings.version,
                "unconfirmed_ms": round(unconfirmed_s * 1000),
            },
        )
        self._metrics.record("settings_unconfirmed", unconfirmed_s)
        self.settings = settings
        self._on_change(settings)
