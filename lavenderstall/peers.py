"""What an entry instance knows about the others from their heartbeats."""

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

import msgspec

from lavenderstall.clocks import Clock
from lavenderstall.identifiers import EntryId, Version, ZoneName
from lavenderstall.messages import Heartbeat
from lavenderstall.records import EntryRow

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

READY_SECONDS = 3.0
# Up to twice this size, a fleet sends everything to all in each turn.
EACH_TURN_PEERS = 16


class Peer(msgspec.Struct):
    """Hold the latest heartbeat of a peer and when anything was last heard from it."""

    heartbeat: Heartbeat
    heard: float


class Peers:
    """Hold the peers that were heard since the start."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._peers: dict[EntryId, Peer] = {}

    def hear(self, entry: EntryId) -> None:
        """Note that a peer was heard."""
        peer = self._peers.get(entry)
        if peer is not None:
            peer.heard = self._clock.seconds()

    def update(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat."""
        self._peers[heartbeat.entry] = Peer(heartbeat, self._clock.seconds())

    def list_versions(self) -> dict[EntryId, Version]:
        """Return the configuration version of each peer."""
        return {entry: peer.heartbeat.version for entry, peer in self._peers.items()}

    def list_peers(self) -> dict[EntryId, Peer]:
        """Return all peers."""
        return dict(self._peers)


class Readiness:
    """Tell whether an entry instance knows enough of its cell to serve callers.

    It starts without slices and tokens, and rejected what callers sent it in its first second.
    `READY_SECONDS` after the start it is ready all the same, so that an outage of the store or a
    silent peer does not keep a cell from serving.
    """

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry
        self._started = entry.clock.seconds()
        self._complete = False
        self._ready = False

    def review(self) -> None:
        """Note once a round of summaries whether tokens and all peers are known.

        A peer's summaries may come after its first heartbeat, so that two rounds are needed.
        """
        entry = self._entry
        known = entry.peers.list_peers().keys() | {entry.entry}
        alive = entry.ownership.peers.keys()
        complete = entry.view.age_ms is not None and entry.entry in alive and alive <= known
        self._ready = self._ready or (complete and self._complete)
        self._complete = complete

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self._ready or self._entry.clock.seconds() - self._started >= READY_SECONDS


class Pace:
    """Choose the peers that get a message sent at intervals.

    The messages of a fleet grow with the square of its size. Peers of other zones need the
    state of a slice less often, and get each message only in every few turns of a large fleet.
    """

    def __init__(self, zone: ZoneName, most_turns: int) -> None:
        self._zone = zone
        self._most_turns = most_turns
        self._turn = 0

    def next_peers(self, peers: Mapping[EntryId, EntryRow]) -> Collection[EntryId] | None:
        """Return the peers of this turn, or none for all."""
        self._turn += 1
        turns = min(self._most_turns, max(1, len(peers) // EACH_TURN_PEERS))
        if self._turn % turns == 0:
            return None
        return {entry for entry, row in peers.items() if row.zone == self._zone}
