"""State of peer entry instances from their heartbeats, readiness and broadcast intervals."""

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

import msgspec

from lavenderstall.clocks import Clock
from lavenderstall.identifiers import EntryId, Version, ZoneName
from lavenderstall.messages import Heartbeat
from lavenderstall.records import EntryRow

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

READY_TIMEOUT_SECONDS = 3.0
# With fewer than twice this many peers, every broadcast goes to all of them.
FULL_BROADCAST_PEERS = 16


class Peer(msgspec.Struct):
    """The latest heartbeat of a peer, and the time of its last message in seconds."""

    heartbeat: Heartbeat
    last_contact: float


class Peers:
    """The peers that sent a heartbeat since this instance started."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._peers: dict[EntryId, Peer] = {}

    def record_contact(self, entry: EntryId) -> None:
        """Record that a peer sent a message."""
        peer = self._peers.get(entry)
        if peer is not None:
            peer.last_contact = self._clock.seconds()

    def update(self, heartbeat: Heartbeat) -> None:
        """Store the heartbeat of a peer."""
        self._peers[heartbeat.entry] = Peer(heartbeat, self._clock.seconds())

    def list_versions(self) -> dict[EntryId, Version]:
        """Return the configuration version of each peer."""
        return {entry: peer.heartbeat.version for entry, peer in self._peers.items()}

    def list_peers(self) -> dict[EntryId, Peer]:
        """Return all peers."""
        return dict(self._peers)


class Readiness:
    """Decide whether an entry instance knows enough of its cell to serve callers.

    It starts without slices and tokens, and used to reject requests in its first second. It is
    ready after `READY_TIMEOUT_SECONDS` in any case, so that an outage of the store or a silent
    peer does not keep a cell from serving.
    """

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry
        self._started = entry.clock.seconds()
        self._was_complete = False
        self._ready = False

    def update(self) -> None:
        """Check in each round of summaries whether tokens and all peers are known.

        A peer's summaries may arrive after its first heartbeat, so two rounds are required.
        """
        entry = self._entry
        known = entry.peers.list_peers().keys() | {entry.entry}
        alive = entry.ownership.peers.keys()
        complete = entry.view.age_ms is not None and entry.entry in alive and alive <= known
        self._ready = self._ready or (complete and self._was_complete)
        self._was_complete = complete

    def is_ready(self) -> bool:
        """Return whether this entry instance may receive requests."""
        return self._ready or self._entry.clock.seconds() - self._started >= READY_TIMEOUT_SECONDS


class BroadcastSchedule:
    """Select the recipients of a periodic message.

    The number of messages grows with the square of the number of entry instances. Peers in
    other zones need the state of a slice less often, so with many peers they are included only
    once in several rounds.
    """

    def __init__(self, zone: ZoneName, max_rounds: int) -> None:
        self._zone = zone
        self._max_rounds = max_rounds
        self._round = 0

    def next_peers(self, peers: Mapping[EntryId, EntryRow]) -> Collection[EntryId] | None:
        """Return the recipients in this round, or none for all peers."""
        self._round += 1
        rounds = min(self._max_rounds, max(1, len(peers) // FULL_BROADCAST_PEERS))
        if self._round % rounds == 0:
            return None
        return {entry for entry, row in peers.items() if row.zone == self._zone}
