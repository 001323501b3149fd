"""The configuration in force at an instance, and when it was last known to be the newest one."""

import logging
from collections.abc import Callable, Mapping
from math import inf

import msgspec

from lavenderstall.clocks import Clock
from lavenderstall.identifiers import EntryId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.coroutines import launch
from lavenderstall.pools.messages import SettingsAnswer, SettingsRequest
from lavenderstall.pools.peers import PeerTracker
from lavenderstall.pools.ports import Row, RowStore, SettingsDecoder
from lavenderstall.pools.table_watch import OVERDUE_S, TableWatch
from lavenderstall.pools.work import Settings

logger = logging.getLogger(__name__)

# Long-poll timeout of the feed; a new configuration must apply within two seconds.
FEED_WAIT_MS = 1000
# A peer is asked if the feed doesn't return within this time what the peer has.
PEER_LAG_S = 0.3
# A peer is asked once the store hasn't told for this long that the version is the newest.
UNCONFIRMED_S = FEED_WAIT_MS / 1000 + OVERDUE_S
PEER_REQUEST_INTERVAL_S = 0.5
MAX_UNCONFIRMED_S = 3600.0
OPERATOR_TABLE = "op"
SETTINGS_KEY = "config"


class PeerVersion(msgspec.Struct, frozen=True):
    """A version of the configuration that a peer has, and when it was first heard of, in uptime."""

    version: int = 0
    heard_at: float = 0.0
    peer: EntryId | None = None


class SettingsTracker:
    """Follow the operator's configuration by the store, and by peers that know a newer version.

    `on_change` is called with each version once it applies here.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        read_uptime: Callable[[], float],
        decoder: SettingsDecoder,
        on_change: Callable[[Settings], None],
        peers: PeerTracker,
        metrics: Metrics,
    ) -> None:
        self.settings = Settings(0)
        self._row: Row | None = None
        self._peers = peers
        self._peer_confirmed_at = -inf
        # The newest version that a peer has told of, when it was first heard of, and from whom.
        self._newer = PeerVersion()
        self._asked_at = -PEER_REQUEST_INTERVAL_S
        self._read_uptime = read_uptime
        self._decoder = decoder
        self._on_change = on_change
        self._metrics = metrics
        self._watch = TableWatch(
            store, clock, read_uptime, OPERATOR_TABLE, self._apply_rows, FEED_WAIT_MS
        )
        metrics.register_gauge("settings_version", lambda: self.settings.version)
        metrics.register_gauge("settings_unconfirmed_seconds", self.get_unconfirmed_s)
        metrics.register_gauge("settings_teams", lambda: len(self.settings.teams))
        metrics.register_gauge("settings_keys", self._count_keys)

    def start(self) -> None:
        """Start following the configuration."""
        self._watch.start()

    def stop(self) -> None:
        """Stop following the configuration."""
        self._watch.stop()

    def get_unconfirmed_s(self) -> float:
        """Return for how long a newer version may have been in the store, in seconds.

        Before anything was confirmed, or long after, it is `MAX_UNCONFIRMED_S`.
        """
        confirmed_at = max(self._watch.confirmed_at, self._peer_confirmed_at)
        return min(self._read_uptime() - confirmed_at, MAX_UNCONFIRMED_S)

    def _count_keys(self) -> int:
        """Return the number of keys in force."""
        return 0 if self.settings.keys is None else self.settings.keys.count

    def note_peer_version(self, peer: EntryId, version: int) -> None:
        """Note the version that a peer has."""
        if version > max(self._newer.version, self.settings.version):
            self._newer = PeerVersion(version, self._read_uptime(), peer)

    def ask_if_behind(self) -> None:
        """Ask a peer if one has a newer version, or if the store hasn't answered for too long."""
        now = self._read_uptime()
        peer = self._choose_peer(now)
        if peer is not None:
            self._asked_at = now
            launch(self._ask(peer))

    def _choose_peer(self, now: float) -> EntryId | None:
        """Return the peer to ask now, if any."""
        if now - self._asked_at < PEER_REQUEST_INTERVAL_S or self._watch.is_receiving():
            return None
        if self._newer.version > self.settings.version:
            return self._newer.peer if now - self._newer.heard_at >= PEER_LAG_S else None
        if self.get_unconfirmed_s() > UNCONFIRMED_S:
            return self._peers.choose_peer_with_store()
        return None

    async def _ask(self, peer: EntryId) -> None:
        asked_at = self._read_uptime()
        answer = await self._peers.request_settings(peer, self.settings.version)
        # Heartbeats tell the version again, perhaps of another peer.
        self._newer = PeerVersion()
        if answer is None:
            return
        if answer.row is not None and self._is_newer(answer.row):
            logger.info(
                "configuration learnt from a peer", extra={"peer": peer, "version": answer.version}
            )
            self._metrics.count("settings_learnt_from_peers")
            self._watch.add_row(answer.row)
        if answer.version == self.settings.version:
            confirmed_at = asked_at - answer.unconfirmed_ms / 1000
            self._peer_confirmed_at = max(self._peer_confirmed_at, confirmed_at)

    def _is_newer(self, row: Row) -> bool:
        """Tell whether a peer's row has a newer version; one that can't be read has none."""
        try:
            return self._decoder.decode(row.value, self.settings).version > self.settings.version
        except ValueError as error:
            logger.warning("invalid configuration rejected", extra={"error": str(error)})
            return False

    def answer(self, request: SettingsRequest) -> SettingsAnswer:
        """Answer a peer."""
        version = self.settings.version
        unconfirmed_ms = max(0, round(self.get_unconfirmed_s() * 1000))
        row = self._row if version > request.version else None
        return SettingsAnswer(request.request_id, version, unconfirmed_ms, row)

    def _apply_rows(self, rows: Mapping[str, Row]) -> None:
        others = sorted(rows.keys() - {SETTINGS_KEY})
        if others:
            logger.info("unknown operator rows ignored", extra={"keys": others[:10]})
        row = rows.get(SETTINGS_KEY)
        if row is None:
            return
        try:
            settings = self._decoder.decode(row.value, self.settings)
        except ValueError as error:
            self._metrics.count("settings_rejected")
            logger.warning("invalid configuration rejected", extra={"error": str(error)})
            return
        if settings.version <= self.settings.version:
            return
        unconfirmed_s = self.get_unconfirmed_s()
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
        self._row = row
        self._on_change(settings)
