"""Tenures of slices, identities of their owners, and the assignment of slices to owners."""

from collections.abc import Iterable, Mapping
from zlib import crc32

import msgspec

from lavenderstall.identifiers import (
    EntryId,
    Epoch,
    Incarnation,
    RackName,
    SliceName,
    WorkerId,
    ZoneName,
    make_epoch,
)
from lavenderstall.records import EntryRow


class Identity(msgspec.Struct, frozen=True):
    """Name an entry instance, its zone and its addresses."""

    entry: EntryId
    incarnation: Incarnation
    zone: ZoneName
    link: str
    http: str


class Tenure(msgspec.Struct):
    """Represent the right to send work to a slice.

    `revision` is the version of the slice row at the claim, `confirmed` the time in seconds of
    the last read that named this owner; `local` tenures were claimed without the table.
    """

    slice: SliceName
    term: int
    revision: int
    confirmed: float
    started: float
    workers: frozenset[WorkerId] = frozenset()
    local: bool = False

    @property
    def epoch(self) -> Epoch:
        """Return the first epoch of the term."""
        return make_epoch(self.term)


class OwnershipObserver:
    """Receive the changes of ownership; the entry instance implements it."""

    def gain_slice(self, tenure: Tenure) -> None:
        """Handle a new tenure."""

    def lose_slice(self, name: SliceName, reason: str) -> None:
        """Handle the end of a tenure; serving has to stop at once."""

    def change_peers(self, peers: Mapping[EntryId, EntryRow]) -> None:
        """Handle a change of the live entry instances."""


def rank_candidates(name: SliceName, entries: Iterable[EntryId]) -> list[EntryId]:
    """Return entry instances in order of preference for a slice, by rendezvous hashing."""
    return sorted(entries, key=lambda entry: crc32(f"{name}:{entry}".encode()))


def assign_slices(
    slices: Iterable[SliceName], entries: Iterable[EntryId]
) -> dict[SliceName, EntryId]:
    """Return the preferred owner of each slice, the same on every entry instance."""
    names = sorted(slices)
    candidates = sorted(entries)
    if not candidates:
        return {}
    limit = -(-len(names) // len(candidates))
    counts = dict.fromkeys(candidates, 0)
    wanted: dict[SliceName, EntryId] = {}
    for name in names:
        ranked = rank_candidates(name, candidates)
        owner = next(entry for entry in ranked if counts[entry] < limit)
        counts[owner] += 1
        wanted[name] = owner
    return wanted


def extend_racks(
    known: Mapping[RackName, int], racks: Iterable[RackName], per_slice: int
) -> dict[RackName, int]:
    """Return the assignment of racks to slices with new racks added at the end."""
    assigned = dict(known)
    for rack in sorted(set(racks) - known.keys()):
        last = max(assigned.values(), default=0)
        full = sum(index == last for index in assigned.values()) >= per_slice
        assigned[rack] = last + 1 if full else last
    return assigned
