"""Model of instances that decide on one pool, with links, a store and workers."""

from random import Random
from typing import NamedTuple

from twisted.internet.task import Clock

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.claims import OwnerEvidence, OwnershipSnapshot, get_claim_rank
from lavenderstall.pools.messages import OwnerHeartbeat
from lavenderstall.pools.ownership_policy import (
    ClaimantKnowledge,
    ClaimDecision,
    OwnerKnowledge,
    choose_release_reason,
    decide_claim,
)
from lavenderstall.pools.peers import PeerState, PeerTracker
from lavenderstall.pools.records import OwnerRow
from lavenderstall.pools.work import PoolName

POOL = PoolName("p")
TICK_S = 0.1
# Intervals of heartbeats, renewals and claim checks, in ticks.
INTERVAL_TICKS = 2
RECORD_INTERVAL_S = 10.0
# How long an owner acts without a confirmed renewal, and how soon the store counts as lost.
OWNERSHIP_TIMEOUT_S = 7.0
LOSS_TIMEOUT_S = 0.3
RECENT_S = 0.6
CLAIM_DELAY_PER_RANK_S = 0.06
MAX_CLAIM_RANK = 6
ZONES = ("z0", "z1", "z2")
CAPACITIES = {f"e{number}": 4.0 if number == 4 else 1.0 for number in range(6)}


class Heartbeat(NamedTuple):
    """A heartbeat of an instance, with the term of the pool if it owns it, else 0."""

    term: int
    cannot_commit: bool
    store_lost: bool


class Released(NamedTuple):
    """Notice that the owner of a term has released the pool."""

    term: int


class Record(NamedTuple):
    """The row of an instance."""

    version: int
    isolated: bool


class Claiming(NamedTuple):
    """A claim check: the row is read at a time, and claimed one tick later."""

    read_at: float
    ownership: OwnershipSnapshot | None = None


class Store:
    """Rows with versions."""

    def __init__(self) -> None:
        self.version = 0
        self.owner: OwnerRow | None = None
        self.owner_version = 0
        self.records: dict[str, Record] = {}

    def write_owner(self, owner: OwnerRow, expected: int) -> int | None:
        """Write the owner row if it has the expected version; return the new one."""
        if self.owner_version != expected:
            return None
        self.version += 1
        self.owner_version = self.version
        self.owner = owner
        return self.version

    def write_record(self, name: str, isolated: bool) -> None:
        """Write the row of an instance."""
        self.version += 1
        self.records[name] = Record(self.version, isolated)


class ModelInstance:
    """One instance: what it has heard, and its ownership if it has any."""

    def __init__(self, model: "OwnershipModel", name: str, number: int) -> None:
        self.name = EntryId(name)
        self.zone = ZONES[number % len(ZONES)]
        self.frozen = False
        self.reaches_store = True
        self.able_since = 0.0
        self.owned: OwnerRow | None = None
        self.inbox: list[tuple[float, EntryId, Heartbeat | Released]] = []
        self._model = model
        self._number = number
        self._version = 0
        self._confirmed_at = 0.0
        self._relayed_at = -RECENT_S
        self._claimed_at = 0.0
        self._answered_at = 0.0
        self._available_since = 0.0
        self._isolation_version = 0
        self._recorded_at = 0.0
        self._claiming: Claiming | None = None
        self.peers = PeerTracker(
            self.name,
            Incarnation(self.name),
            self.zone,
            None,  # type: ignore[arg-type]
            Clock(),
            Random(number),
            lambda: model.now,
        )

    def step(self) -> None:
        """Handle messages, then decide and act."""
        self._receive()
        if self.reaches_store:
            if self._is_store_lost():
                self._available_since = self._model.now
            self._answered_at = self._model.now
            self._follow_records()
        if self.owned is not None:
            self._serve()
        elif self.reaches_store:
            self._check_claim()
        else:
            self._claiming = None
        if (self._model.ticks + self._number) % INTERVAL_TICKS == 0:
            self._send_heartbeat()

    def may_act(self) -> bool:
        """Tell whether it owns the pool by what it knows itself."""
        confirmed_s = self._model.now - self._confirmed_at
        return self.owned is not None and confirmed_s < OWNERSHIP_TIMEOUT_S

    def has_renewed(self) -> bool:
        """Tell whether the store has confirmed lately that it owns the pool."""
        return self._model.now - self._confirmed_at < RECENT_S

    def _is_store_lost(self) -> bool:
        return self._model.now - self._answered_at > LOSS_TIMEOUT_S

    def _receive(self) -> None:
        due = [each for each in self.inbox if each[0] <= self._model.now]
        self.inbox = [each for each in self.inbox if each[0] > self._model.now]
        for _, sender, message in due:
            if isinstance(message, Released):
                self.peers.forget_owner(POOL, message.term)
                continue
            if sender in self.peers.peers:
                self.peers.peers[sender].last_contact_at = self._model.now
            self.peers.record_store_state(sender, lost=message.store_lost)
            if message.term:
                self.peers.record_owner(
                    sender, OwnerHeartbeat(POOL, message.term, {}, message.cannot_commit)
                )
            if self.owned is not None and message.term > self.owned.term:
                self.owned = None

    def _follow_records(self) -> None:
        """Read the rows of all instances and rewrite the own one if it is due."""
        store, isolated = self._model.store, self.peers.is_isolated()
        answers = False
        for name, record in store.records.items():
            state = self.peers.peers.setdefault(
                EntryId(name), PeerState(self._model.instances[name].zone, CAPACITIES[name])
            )
            newly_isolated = record.isolated and record.version > state.record_version
            state.isolated, state.record_version = record.isolated, record.version
            known = self.peers.owners.get(POOL)
            answers |= newly_isolated and known is not None and known.entry == name != self.name
        own = store.records.get(self.name)
        overdue = self._model.now - self._recorded_at > RECORD_INTERVAL_S
        if own is None or own.isolated != isolated or overdue or (answers and not isolated):
            store.write_record(self.name, isolated)
            self._recorded_at = self._model.now
        own = store.records[self.name]
        self._isolation_version = own.version if own.isolated else 0

    def _serve(self) -> None:
        """Renew the ownership, or release the pool."""
        assert self.owned is not None
        reason = choose_release_reason(
            OwnerKnowledge(
                owned_s=self._model.now - self._claimed_at,
                store_lost_s=self._model.now - self._answered_at if self._is_store_lost() else 0.0,
                relayed=self._model.now - self._relayed_at < RECENT_S,
                isolated_until_answered=(
                    self.peers.is_isolated()
                    and not self._is_store_lost()
                    and self._isolation_version > 0
                    and self.peers.has_connected_peer_elsewhere(since=self._isolation_version)
                ),
                knows_stronger_idle_peer=self.peers.has_stronger_idle_peer(CAPACITIES[self.name]),
            )
        )
        if reason is None and (self._model.ticks + self._number) % INTERVAL_TICKS:
            return
        self._write_owner(released=reason is not None)
        if reason is not None:
            self._release()

    def _release(self) -> None:
        """Stop acting, whether or not the release was recorded."""
        term = self.peers.get_terms()[POOL]
        self.owned = None
        self.peers.forget_owner(POOL, term)
        self._model.released_at = self._model.now
        self._model.broadcast(self.name, Released(term))

    def _write_owner(self, *, released: bool) -> None:
        """Write the owner row, through a peer if the store is lost."""
        assert self.owned is not None
        relay = self._find_relay() if self._is_store_lost() else None
        if not self.reaches_store and relay is None:
            return
        row = self._make_row(self.owned.term, released)
        version = self._model.store.write_owner(row, self._version)
        if version is None:
            self.owned = None
            return
        self.owned, self._version, self._confirmed_at = row, version, self._model.now
        if not self.reaches_store:
            self._relayed_at = self._model.now

    def _make_row(self, term: int, released: bool = False) -> OwnerRow:
        now_ms = self._model.now * 1000
        return OwnerRow(self.name, Incarnation("i"), term, now_ms, released=released)

    def _find_relay(self) -> EntryId | None:
        """Return a peer that commits for this instance."""
        proxies = (
            self._model.instances[name]
            for name in self.peers.list_live_peers()
            if not self.peers.peers[name].store_lost
        )
        return next(
            (
                peer.name
                for peer in proxies
                if peer.reaches_store
                and not peer.frozen
                and not {(self.name, peer.name), (peer.name, self.name)} & self._model.silent
            ),
            None,
        )

    def _check_claim(self) -> None:
        """Start a claim check, read the row after the delay of the rank, then claim."""
        now, checked = self._model.now, self._claiming
        if checked is None:
            if not self.peers.is_owner_active(POOL):
                self._claiming = Claiming(now + self._get_rank() * CLAIM_DELAY_PER_RANK_S)
        elif checked.ownership is not None:
            self._claiming = None
            self._claim(checked.ownership)
        elif now >= checked.read_at:
            ownership = OwnershipSnapshot(None, self._model.store.owner, now * 1000)
            self._version = self._model.store.owner_version
            claims = self._decide(ownership) is ClaimDecision.CLAIM
            self._claiming = Claiming(now, ownership) if claims else None

    def _get_rank(self) -> int:
        capacities = {**self.peers.get_claimant_capacities(), self.name: CAPACITIES[self.name]}
        return min(get_claim_rank(self.name, capacities, {}, 0), MAX_CLAIM_RANK)

    def _decide(self, ownership: OwnershipSnapshot) -> ClaimDecision:
        owner = ownership.owner
        evidence = self.peers.find_owner_evidence(POOL, owner) if owner else OwnerEvidence.NONE
        return decide_claim(
            ClaimantKnowledge(
                ownership,
                evidence,
                hears_owner=self.peers.get_live_owner(POOL) is not None,
                store_available_s=self._model.now - self._available_since,
                isolated=self.peers.is_isolated(),
                knows_connected_peer=self.peers.has_connected_peer_elsewhere(),
                knows_stronger_idle_peer=self.peers.has_stronger_idle_peer(CAPACITIES[self.name]),
            )
        )

    def _claim(self, ownership: OwnershipSnapshot) -> None:
        row = self._make_row(ownership.owner.term + 1 if ownership.owner else 1)
        version = self._model.store.write_owner(row, self._version)
        if version is not None:
            self.owned, self._version = row, version
            self._claimed_at = self._confirmed_at = self._model.now
            self.peers.record_owner(self.name, OwnerHeartbeat(POOL, row.term, {}))

    def _send_heartbeat(self) -> None:
        term = self.owned.term if self.owned else 0
        age_s = self._model.now - self._confirmed_at
        expired = self.owned is not None and age_s * 1000 > self.owned.expiry_ms
        lost = self._is_store_lost()
        heartbeat = Heartbeat(term, expired or (lost and age_s > RECENT_S), lost)
        if term:
            self.peers.record_owner(
                self.name, OwnerHeartbeat(POOL, term, {}, heartbeat.cannot_commit)
            )
        self._model.broadcast(self.name, heartbeat)


class OwnershipModel:
    """Instances, the links between them, the store and the worker that their orders go to."""

    def __init__(self) -> None:
        self.now = 0.0
        self.ticks = 0
        self.store = Store()
        self.silent: set[tuple[EntryId, EntryId]] = set()
        self.delays_s: dict[EntryId, float] = {}
        self.lost_messages: dict[EntryId, int] = {}
        self.instances = {
            name: ModelInstance(self, name, number) for number, name in enumerate(CAPACITIES)
        }
        self.fence = 0
        # Terms whose orders the worker took in the last tick, and when and from whom it last took
        # some of an owner that reaches the store, as only that learns of jobs and cancellations.
        self.accepted: list[int] = []
        self.served_at = 0.0
        self.served_by: EntryId | None = None
        self.changed_at = 0.0
        self.released_at = -1.0
        # Time from a release until orders come again, if nothing else changed meanwhile.
        self.release_gaps_s: list[float] = []

    def broadcast(self, sender: EntryId, message: Heartbeat | Released) -> None:
        """Send a message to all others, unless it is lost."""
        if self.lost_messages.get(sender):
            self.lost_messages[sender] -= 1
            return
        due = self.now + self.delays_s.get(sender, 0.0)
        for peer in self.instances.values():
            if peer.name != sender and (sender, peer.name) not in self.silent:
                peer.inbox.append((due, sender, message))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def tick(self) -> None:
        """Let all instances decide once, and the worker take the orders of owners."""
        self.ticks += 1
        self.now = self.ticks * TICK_S
        for instance in self.instances.values():
            if not instance.frozen:
                instance.step()
        owners = [i for i in self.instances.values() if not i.frozen and i.may_act()]
        terms = [owner.owned.term for owner in owners if owner.owned]
        self.fence = max([self.fence, *terms])
        self.accepted = [term for term in terms if term == self.fence]
        if self.accepted:
            owner = owners[terms.index(self.fence)]
            if owner.has_renewed():
                self._note_served(owner.name)

    def _note_served(self, owner: EntryId) -> None:
        if self.released_at > self.changed_at:
            self.release_gaps_s.append(self.now - self.released_at)
        self.released_at = -1.0
        self.served_at = self.now
        self.served_by = owner

    def note_change(self) -> None:
        """Note that a fault begins or ends; an owner may be lost by it."""
        self.changed_at = self.now

    def set_frozen(self, name: str, *, frozen: bool) -> None:
        """Freeze or resume an instance."""
        instance = self.instances[name]
        if instance.frozen != frozen:
            instance.frozen = frozen
            self._note_ability(instance)

    def set_store_reached(self, name: str, *, reached: bool) -> None:
        """Let an instance reach the store or not."""
        instance = self.instances[name]
        if instance.reaches_store != reached:
            instance.reaches_store = reached
            self._note_ability(instance)

    def _note_ability(self, instance: ModelInstance) -> None:
        instance.able_since = self.now
        if self.store.owner is not None and self.store.owner.entry == instance.name:
            self.served_at = self.now

    def get_longest_wait_s(self) -> float:
        """Return for how long the pool had no owner while some instance could have claimed it."""
        waits = (
            self.now - max(self.served_at, instance.able_since)
            for instance in self.instances.values()
            if instance.reaches_store and not instance.frozen
        )
        return max(waits, default=0.0)
