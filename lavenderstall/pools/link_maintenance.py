"""Replacement of silent links, with its log lines and metrics."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod

from lavenderstall.links import NngLinks
from lavenderstall.metrics import Metrics
from lavenderstall.pools.link_supervision import (
    Direction,
    LinkChange,
    LinkFellSilent,
    LinkReplaced,
    LinkRestored,
)
from lavenderstall.pools.peers import PeerTracker

logger = logging.getLogger(__name__)


class LinkMaintainer:
    """Replace the silent links of an instance and report what becomes of them."""

    def __init__(
        self,
        peers: PeerTracker,
        links: NngLinks,
        read_uptime: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._links = links
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._register_gauges()

    def replace_silent_links(self, *, owns_pools: bool) -> None:
        """Replace the links that are silent now; heartbeats tell the peers."""
        for change in self._peers.check_links(owns_pools=owns_pools):
            self._handle(change)

    @singledispatchmethod
    def _handle(self, change: LinkChange) -> None:
        raise TypeError(f"{type(change).__name__} is not a change of a link")

    @_handle.register
    def _(self, change: LinkFellSilent) -> None:
        self._metrics.count("links_fallen_silent")
        logger.info("link is silent", extra=make_log_fields(change))

    @_handle.register
    def _(self, change: LinkReplaced) -> None:
        self._metrics.count("silent_links_replaced")
        logger.info("silent link replaced", extra=make_log_fields(change))
        self._links.redial(change.peer)

    @_handle.register
    def _(self, change: LinkRestored) -> None:
        self._metrics.count("links_restored")
        logger.info("link works again", extra=make_log_fields(change))

    def _register_gauges(self) -> None:
        supervisor = self._peers.link_supervisor
        gauges: dict[str, Callable[[], float]] = {
            "silent_links_incoming": lambda: supervisor.count_silent(Direction.INCOMING),
            "silent_links_outgoing": lambda: supervisor.count_silent(Direction.OUTGOING),
            "longest_link_silence_seconds": lambda: supervisor.get_longest_silence_s(
                self._read_uptime()
            ),
        }
        for name, read in gauges.items():
            self._metrics.register_gauge(name, read)


def make_log_fields(change: LinkChange) -> dict[str, str | int]:
    """Return the fields of a log line about a link."""
    return {
        "peer": change.peer,
        "direction": change.direction.value,
        "age_ms": round(change.age_s * 1000),
    }
