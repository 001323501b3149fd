"""Ownership of slices: claims through the table, takeovers without it, and handovers."""

import logging
from collections.abc import Callable, Iterable
from itertools import islice
from math import ceil
from typing import Any
from zlib import crc32

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, make_loop
from lavenderstall.errors import (
    ConflictError,
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import EntryId, RackName, SliceName, WorkerId, make_slice_name
from lavenderstall.protocol import Condition, Put, Row, Rows, Transaction
from lavenderstall.records import (
    PREFIX_ENTRY,
    PREFIX_SLICE,
    EntryRow,
    RacksRow,
    SliceRow,
    decode_row,
    decode_rows,
    encode_row,
    make_entry_key,
    make_racks_key,
    make_slice_key,
)
from lavenderstall.set_aside import SetAside
from lavenderstall.storage import TableStore
from lavenderstall.tenures import (
    Identity,
    OwnershipObserver,
    Tenure,
    assign_slices,
    extend_racks,
    rank_candidates,
)

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5
RENEWAL_SECONDS = 1.0
# Keeps the reads of all entry instances below 400 per second: each makes two in a tick.
TICKS_PER_SECOND = 200
# Group commit uses up to 150 of 200 writes; uneven renewals peak a fifth above their mean.
LIVENESS_WRITES_PER_SECOND = 40
MISSED_RENEWALS = 3
# A peer of the zone whose link is silent as well counts as dead one renewal earlier.
SILENT_RENEWALS = 2
LINK_SILENCE_SECONDS = 1.5
ORPHAN_CLAIM_DELAY_SECONDS = 1.5
PEER_SILENCE_SECONDS = 3.0


class _EntryObservation(msgspec.Struct):
    row: EntryRow
    last_change: float


class Ownership:
    """Claim, confirm, take over and release the slices of one zone."""

    def __init__(
        self,
        identity: Identity,
        store: TableStore,
        clock: Clock,
        observer: OwnershipObserver,
        make_nonce: Callable[[], str],
        racks_per_slice: int = 4,
        set_aside: SetAside | None = None,
    ) -> None:
        self.identity = identity
        self.tenures: dict[SliceName, Tenure] = {}
        self.peers: dict[EntryId, EntryRow] = {}
        self.racks: dict[RackName, int] = {}
        self.draining = False
        self.last_contact = clock.seconds()
        self._store = store
        self._clock = clock
        self._observer = observer
        self._make_nonce = make_nonce
        self._racks_per_slice = racks_per_slice
        self._set_aside = set_aside or SetAside()
        self._observations: dict[EntryId, _EntryObservation] = {}
        self._last_peer_contact: dict[EntryId, float] = {}
        self._slice_rows: dict[SliceName, tuple[SliceRow, int]] = {}
        self._orphaned_since: dict[SliceName, float] = {}
        self._racks_version = 0
        self._listed_racks: frozenset[RackName] = frozenset()
        self._renewals = 0
        self._renewals_spread = False
        self._last_renewal = float("-inf")
        self._last_observation = clock.seconds()
        self._running = False
        self._last_step = float("-inf")
        self._loop = make_loop(clock, self.step)

    def start(self) -> None:
        """Start the periodic steps."""
        self._loop.start(TICK_SECONDS, now=True)

    def stop(self) -> None:
        """Stop the periodic steps."""
        if self._loop.running:
            self._loop.stop()

    def set_listed_racks(self, racks: Iterable[RackName]) -> None:
        """Set the racks of the zone that the membership list names."""
        self._listed_racks = frozenset(racks)

    def note_peer_contact(self, entry: EntryId) -> None:
        """Record that a message of a peer of the zone arrived over a link."""
        self._last_peer_contact[entry] = self._clock.seconds()

    def find_slice(self, rack: RackName) -> SliceName | None:
        """Return the slice of a rack, or None if it is not assigned yet."""
        index = self.racks.get(rack)
        return None if index is None else make_slice_name(self.identity.zone, index)

    def get_renewal_interval(self) -> float:
        """Return the whole seconds between renewals, which grow with the entry instances."""
        return max(RENEWAL_SECONDS, ceil(len(self._observations) / LIVENESS_WRITES_PER_SECOND))

    def get_store_age(self) -> float:
        """Return the seconds since the table was last read."""
        return self._clock.seconds() - self.last_contact

    def step(self) -> "Deferred[None] | None":
        """Renew, read the rows and apply them, unless the last step still runs."""
        if self._running:
            self._take_over_locally()
            return None
        now = self._clock.seconds()
        if now - self._last_step < len(self._observations) / TICKS_PER_SECOND - TICK_SECONDS / 2:
            return None
        self._last_step = now
        self._running = True
        return Deferred.fromCoroutine(self._step())

    async def _step(self) -> None:
        try:
            await self._renew()
            await self._read_rows()
            await self._assign_racks()
            await self._claim_assigned()
        except StoreUnavailableError as error:
            logger.info("table service is unavailable: %s", error)
            self._take_over_locally()
        except LavenderstallError as error:
            logger.info("ownership step failed: %s", error)
        finally:
            self._running = False

    async def _renew(self) -> None:
        if (now := self._clock.seconds()) - self._last_renewal < self._get_renewal_delay():
            return
        self._renewals += 1
        me = self.identity
        row = EntryRow(me.entry, me.incarnation, me.zone, me.link, me.http, self._renewals)
        put = Put(make_entry_key(me.entry), encode_row(row))
        try:
            await self._store.transact(Transaction(puts=[put]))
        except StoreOutcomeUnknownError as error:
            # Renewals are idempotent, so the next tick renews again.
            logger.info("outcome of the renewal is unknown: %s", error)
            return
        self._renewals_spread = self.get_renewal_interval() > RENEWAL_SECONDS
        self._last_renewal = now

    def _get_renewal_delay(self) -> float:
        """Return the seconds to the next renewal, spread by hash once after a common start."""
        interval = self.get_renewal_interval()
        if self._renewals and not self._renewals_spread and interval > RENEWAL_SECONDS:
            ranked = sorted(self._observations, key=lambda entry: crc32(entry.encode()))
            part = (ranked.index(self.identity.entry) + 0.5) / len(ranked)
            return TICK_SECONDS + interval * part
        return interval - TICK_SECONDS / 2

    async def _read_rows(self) -> None:
        entries = await self._store.scan(PREFIX_ENTRY)
        # The slice rows are at least as new as anything read before this time.
        asked = self._clock.seconds()
        rows = await self._store.scan(f"{PREFIX_SLICE}{self.identity.zone}/")
        self.last_contact = asked
        self._observe_entries(entries)
        self._observe_slices(rows, asked)

    def _observe_entries(self, rows: Rows) -> None:
        now = self._clock.seconds()
        # Peers cannot renew during an outage, so the time between two reads counts as one
        # interval at most.
        unobserved = max(0.0, now - self._last_observation - self.get_renewal_interval())
        self._last_observation = now
        for observation in self._observations.values():
            observation.last_change += unobserved
        found = self._decode_entries(rows)
        for entry, row in found.items():
            last = self._observations.get(entry)
            if last is None or last.row != row:
                self._observations[entry] = _EntryObservation(row, now)
        for entry in self._observations.keys() - found.keys():
            del self._observations[entry]
        peers = {
            entry: observation.row
            for entry, observation in self._observations.items()
            if now - observation.last_change < self._get_liveness_timeout(entry, now)
        }
        if peers != self.peers:
            self.peers = peers
            self._observer.change_peers(peers)

    def _decode_entries(self, rows: Rows) -> dict[EntryId, EntryRow]:
        """Return the liveness rows; one that can't be read counts as unchanged."""
        readable, unreadable = decode_rows(
            rows.rows, EntryRow, lambda row: make_entry_key(row.id), self._set_aside
        )
        found = {row.id: row for _, row in readable}
        for row in unreadable:
            entry = EntryId(row.key.removeprefix(PREFIX_ENTRY))
            if entry in self._observations:
                found[entry] = self._observations[entry].row
        return found

    def _get_liveness_timeout(self, entry: EntryId, now: float) -> float:
        """Return the seconds for which a liveness row may stay unchanged.

        Rows change rarely with many entry instances, so a peer of the zone whose link is silent
        as well counts as dead sooner. If it is alive, the epochs of its workers fence it.
        """
        interval = self.get_renewal_interval()
        silence = now - self._last_peer_contact.get(entry, now)
        if silence >= min(LINK_SILENCE_SECONDS * interval, PEER_SILENCE_SECONDS):
            return SILENT_RENEWALS * RENEWAL_SECONDS
        return MISSED_RENEWALS * interval

    def _observe_slices(self, rows: Rows, asked: float) -> None:
        racks_key = make_racks_key(self.identity.zone)
        readable, _ = decode_rows(
            (row for row in rows.rows if row.key != racks_key),
            SliceRow,
            lambda row: make_slice_key(row.slice),
            self._set_aside,
        )
        racks, _ = decode_rows(
            (row for row in rows.rows if row.key == racks_key),
            RacksRow,
            lambda _: racks_key,
            self._set_aside,
        )
        for row, found in racks:
            self.racks = found.racks
            self._racks_version = row.version
        for row, slice_row in readable:
            self._observe_slice(slice_row, row, asked)

    def _observe_slice(self, found: SliceRow, row: Row, asked: float) -> None:
        self._slice_rows[found.slice] = (found, row.version)
        held = self.tenures.get(found.slice)
        mine = found.owner == self.identity.entry and found.incarnation == self.identity.incarnation
        if not mine:
            if held is not None and (not held.local or found.owner in self.peers):
                self._end_tenure(found.slice, f"the table names {found.owner or 'no owner'}")
            return
        if held is None or held.local:
            # Claimed next with a higher term, as runs started under this one may be unknown.
            return
        if held.term == found.term:
            held.confirmed = asked
            held.workers = frozenset(found.workers)
        else:
            self._end_tenure(found.slice, f"superseded by term {found.term}")

    def _start_tenure(self, row: SliceRow, version: int) -> None:
        now = self._clock.seconds()
        tenure = Tenure(row.slice, row.term, version, now, now, frozenset(row.workers))
        self.tenures[row.slice] = tenure
        logger.info("gained slice %s at term %d", row.slice, row.term)
        self._observer.gain_slice(tenure)

    def _end_tenure(self, name: SliceName, reason: str) -> None:
        if self.tenures.pop(name, None) is not None:
            logger.info("lost slice %s: %s", name, reason)
            self._observer.lose_slice(name, reason)

    async def _assign_racks(self) -> None:
        if self._listed_racks <= self.racks.keys():
            return
        racks = extend_racks(self.racks, self._listed_racks, self._racks_per_slice)
        key = make_racks_key(self.identity.zone)
        value = encode_row(RacksRow(racks, self._make_nonce()))
        try:
            done = await self._store.transact(
                Transaction([Condition(key, self._racks_version)], [Put(key, value)])
            )
        except (ConflictError, StoreOutcomeUnknownError):
            return  # The next step reads the row again.
        self.racks = racks
        self._racks_version = done.revision

    def list_slices(self) -> list[SliceName]:
        """Return the slices of the zone."""
        return [make_slice_name(self.identity.zone, i) for i in sorted(set(self.racks.values()))]

    def _list_candidates(self) -> list[EntryId]:
        """Return the live entry instances of the zone, without new ones if there are others.

        A new one still counts instances that just died as alive and so claims nothing.
        """
        zone = self.identity.zone
        found = {entry: row.beat for entry, row in self.peers.items() if row.zone == zone}
        known = [entry for entry, beat in found.items() if beat > MISSED_RENEWALS + 1]
        return known or list(found)

    async def _claim_assigned(self) -> None:
        if self.draining:
            return
        now = self._clock.seconds()
        wanted = assign_slices(self.list_slices(), self._list_candidates())
        for name, candidate in wanted.items():
            if not self._is_claimable(name):
                self._orphaned_since.pop(name, None)
                continue
            since = self._orphaned_since.setdefault(name, now)
            mine = self.identity.entry in {candidate, self._find_owner(name)}
            # Any candidate may claim a slice that its assigned owner does not claim in time.
            if mine or now - since >= ORPHAN_CLAIM_DELAY_SECONDS:
                await self._claim(name)

    def _is_claimable(self, name: SliceName) -> bool:
        entry = self._slice_rows.get(name)
        if entry is None or not entry[0].owner:
            return True
        row = entry[0]
        if row.owner == self.identity.entry:
            held = self.tenures.get(name)
            return held is None or held.local
        owner = self.peers.get(row.owner)
        return owner is None or owner.incarnation != row.incarnation

    def _find_owner(self, name: SliceName) -> EntryId:
        """Return the owner that the slice row names, if any."""
        return self._slice_rows[name][0].owner if name in self._slice_rows else EntryId("")

    async def _claim(self, name: SliceName, min_term: int = 0) -> None:
        last, version = self._slice_rows.get(name, (None, 0))
        term = max((last.term if last else 0) + 1, min_term)
        row = SliceRow(
            name,
            self.identity.entry,
            self.identity.incarnation,
            term,
            self._make_nonce(),
            list(last.workers) if last else [],
        )
        key = make_slice_key(name)
        try:
            done = await self._store.transact(
                Transaction([Condition(key, version)], [Put(key, encode_row(row))])
            )
        except (ConflictError, StoreOutcomeUnknownError) as error:
            # The next step reads from the row who owns the slice.
            logger.info("claim of %s failed or is uncertain: %s", name, error)
            return
        self._slice_rows[name] = (row, done.revision)
        self._end_tenure(name, f"superseded by term {term}")
        self._start_tenure(row, done.revision)

    async def confirm(self, name: SliceName) -> bool:
        """Read the slice row and return whether it still names this owner."""
        asked = self._clock.seconds()
        row = await self._store.read(make_slice_key(name))
        if row is None:
            return False
        self.last_contact = asked
        self._observe_slice(decode_row(row, SliceRow), row, asked)
        held = self.tenures.get(name)
        return held is not None and not held.local

    def report_fenced(self, name: SliceName, term: int, owner: EntryId) -> None:
        """Handle a worker's report that another owner or a higher epoch has claimed it."""
        held = self.tenures.get(name)
        if held is None:
            return
        if owner != self.identity.entry:
            self._end_tenure(name, f"a worker was claimed by {owner}")
        if not held.local and not self.draining:
            Deferred.fromCoroutine(self._reclaim(name, term + 1))

    async def _reclaim(self, name: SliceName, min_term: int) -> None:
        """Claim again with a higher term if the table still names this owner."""
        try:
            row = await self._store.read(make_slice_key(name))
            if row is None:
                return
            found = decode_row(row, SliceRow)
            if found.incarnation != self.identity.incarnation:
                self._slice_rows[name] = (found, row.version)
                return
            self._slice_rows[name] = (found, row.version)
            await self._claim(name, min_term)
        except LavenderstallError as error:
            logger.info("reclaim of %s failed: %s", name, error)

    async def add_workers(self, name: SliceName, workers: Iterable[WorkerId]) -> bool:
        """Add workers to the roster of an owned slice; return whether they are committed."""
        return await self._change_roster(name, lambda roster: roster | frozenset(workers))

    async def remove_workers(self, name: SliceName, workers: Iterable[WorkerId]) -> bool:
        """Remove workers that certainly run nothing from the roster of an owned slice."""
        return await self._change_roster(name, lambda roster: roster - frozenset(workers))

    async def _change_roster(
        self, name: SliceName, change: Callable[[frozenset[WorkerId]], frozenset[WorkerId]]
    ) -> bool:
        held = self.tenures.get(name)
        if held is None or held.local:
            return False
        last, version = self._slice_rows[name]
        roster = change(frozenset(last.workers))
        if roster == frozenset(last.workers):
            return await self.confirm(name)
        row = msgspec.structs.replace(last, workers=sorted(roster), nonce=self._make_nonce())
        key = make_slice_key(name)
        try:
            done = await self._store.transact(
                Transaction([Condition(key, version)], [Put(key, encode_row(row))])
            )
        except LavenderstallError as error:
            logger.info("cannot commit the roster of %s: %s", name, error)
            return False
        self._slice_rows[name] = (row, done.revision)
        held.workers = roster
        return True

    def _take_over_locally(self) -> None:
        """Take over slices without the table when their owners are silent."""
        now = self._clock.seconds()
        if self.draining or now - self.last_contact < PEER_SILENCE_SECONDS:
            return
        alive = {e for e, at in self._last_peer_contact.items() if now - at < PEER_SILENCE_SECONDS}
        alive.add(self.identity.entry)
        zone = self.identity.zone
        known = {e for e, s in self._observations.items() if s.row.zone == zone}
        candidates = (alive & known) | {self.identity.entry}
        for name in self.list_slices():
            owner = self._find_owner(name)
            first = next(islice(rank_candidates(name, candidates), 1))
            dropped = owner == self.identity.entry
            orphaned = owner not in alive and first == self.identity.entry
            if name not in self.tenures and (dropped or orphaned):
                self._start_local_tenure(name, now)

    def _start_local_tenure(self, name: SliceName, now: float) -> None:
        tenure = Tenure(name, 0, 0, self.last_contact, now, local=True)
        self.tenures[name] = tenure
        logger.warning("took over slice %s without the table", name)
        self._observer.gain_slice(tenure)

    async def release(self, name: SliceName) -> None:
        """Release a slice, so that another entry instance can claim it at once."""
        held = self.tenures.get(name)
        self._end_tenure(name, "released")
        if held is None or held.local or name not in self._slice_rows:
            return
        last, version = self._slice_rows[name]
        row = msgspec.structs.replace(last, owner=EntryId(""), nonce=self._make_nonce())
        key = make_slice_key(name)
        await self._store.transact(
            Transaction([Condition(key, version)], [Put(key, encode_row(row))])
        )

    async def deregister(self) -> None:
        """Remove the liveness row, so that peers need not wait for missed renewals."""
        self.stop()
        key = make_entry_key(self.identity.entry)
        await self._store.transact(Transaction(deletes=[key]))

    def describe(self) -> dict[str, Any]:
        """Return the state that operators see."""
        return {
            "slices": {str(name): tenure.term for name, tenure in self.tenures.items()},
            "peers": sorted(self.peers),
            "store_age_s": round(self.get_store_age(), 3),
        }
