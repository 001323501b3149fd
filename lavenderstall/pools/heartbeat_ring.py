"""The hash ring that decides which instances send each other heartbeats in a large cell."""

from collections.abc import Iterable
from zlib import crc32

from lavenderstall.identifiers import EntryId

# Peers, besides pool owners, that an instance sends heartbeats to.
HEARTBEAT_PEERS = 4


def list_successors(entry: EntryId, peers: Iterable[EntryId]) -> list[EntryId]:
    """Return the peers after an instance in the ring, the nearest ones only."""
    return _list_others(entry, peers)[:HEARTBEAT_PEERS]


def list_predecessors(entry: EntryId, peers: Iterable[EntryId]) -> list[EntryId]:
    """Return the peers before an instance in the ring, the nearest ones only."""
    return _list_others(entry, peers)[::-1][:HEARTBEAT_PEERS]


def list_probed(entry: EntryId, peers: Iterable[EntryId]) -> list[EntryId]:
    """Return the half of the peers whose links an instance probes; the others probe it."""
    others = _list_others(entry, peers)
    return others[: (len(others) + 1) // 2]


def _list_others(entry: EntryId, peers: Iterable[EntryId]) -> list[EntryId]:
    """Return all other instances in the order of the ring, beginning after one."""
    ring = sorted({*peers, entry}, key=lambda name: (crc32(name.encode()), name))
    own = ring.index(entry)
    return [*ring[own + 1 :], *ring[:own]]
