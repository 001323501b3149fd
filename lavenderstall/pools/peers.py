"""Peer entry instances: liveness, pool ownership and requests to them."""

import logging
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

import msgspec

from lavenderstall.clocks import Clock
from lavenderstall.errors import PeerUnavailableError
from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.links import NngLinks
from lavenderstall.pools.claims import OwnerEvidence
from lavenderstall.pools.coroutines import gather
from lavenderstall.pools.earlier_owners import OUTAGE_LEASES_DELAY_S
from lavenderstall.pools.effects import RequestAdvice
from lavenderstall.pools.heartbeat_ring import list_predecessors, list_probed, list_successors
from lavenderstall.pools.link_supervision import LinkChange, LinkSupervisor
from lavenderstall.pools.messages import (
    AdviceAnswer,
    AdviceRequest,
    CancelHint,
    CommitAnswer,
    CommitRequest,
    JobHint,
    Message,
    OwnerHeartbeat,
    SettingsAnswer,
    SettingsRequest,
    StateAnswer,
    StateRequest,
    WriteAnswer,
    WriteRequest,
)
from lavenderstall.pools.peer_requests import PeerRequests
from lavenderstall.pools.ports import Transaction
from lavenderstall.pools.records import PRESENCES, STATES, EarlierOwner, OwnerRow, Presence
from lavenderstall.pools.work import JobState, PoolName

T = TypeVar("T")

logger = logging.getLogger(__name__)

# A peer or owner is live if heard within this time.
LIVENESS_TIMEOUT_S = 0.8
# An owner is active if heard within this time, two heartbeats.
OWNER_TIMEOUT_S = 0.55
# An instance is isolated if it hears no peer of another zone for this long.
ISOLATION_TIMEOUT_S = 0.8
# If no instance of a zone is heard for this long, two heartbeats, its workers may be cut off.
ZONE_TIMEOUT_S = 0.6
# A live process accepts a new connection well within this time after one was lost.
RECONNECT_TIMEOUT_S = 0.2
# A peer that was heard before, but not for this long, does not claim pools.
CLAIMANT_TIMEOUT_S = 2.0
# A pool moves to an instance with this multiple of the owner's CPU capacity.
STRONGER_CAPACITY_FACTOR = 1.5
STATE_TIMEOUT_S = 0.35
WRITE_TIMEOUT_S = 0.7
SETTINGS_TIMEOUT_S = 0.5
# A peer that was not heard for this long when the store was lost need not confirm that it is lost
# everywhere.
ABSENCE_S = 4.0
# An owner tells all instances in its heartbeats of those that it has not heard for this long.
ABSENCE_NOTICE_S = 1.0
# An owner that was heard so shortly before its last renewal would have told of an absence.
RECENT_HEARTBEAT_S = 1.0
# Limit on the instances that an owner row names as heard.
MAX_HEARD = 64
# Peers that are asked to add the same row.
MAX_WRITE_PROXIES = 2


class OwnerState(msgspec.Struct):
    """The owner of a pool as of its last heartbeat."""

    entry: EntryId
    term: int
    last_contact_at: float
    pending: dict[str, int]
    store_lost: bool = False
    absent: frozenset[EntryId] = frozenset()


class PeerState(msgspec.Struct):
    """A peer as of its last message; times are in seconds of uptime.

    `reported_contact_age_ms` is how long ago the peer last heard this instance, as it reported.
    `disconnected_at` is -1 while there is a connection and before the first one. `record_version`
    is the version of the peer's row in the store, which says whether it is `isolated`. At
    `heard_ms`, on its clock, it sent its last heartbeat as an owner. It has said that it misses the
    store since this instance sent a heartbeat at `loss_confirmed_ms`, -1 if it has not.
    """

    zone: str
    cpu_capacity: float = 1.0
    incarnation: Incarnation = Incarnation("")
    last_contact_at: float = -1.0
    draining: bool = False
    store_lost: bool = True
    store_reported_at: float = -1.0
    reported_contact_age_ms: float = float("inf")
    disconnected_at: float = -1.0
    isolated: bool = False
    record_version: int = 0
    heard_ms: int = 0
    loss_confirmed_ms: int = -1

    def is_in_contact(self, since: float) -> bool:
        """Tell whether each heard the other, and the peer told of its store, after a time."""
        heard = self.store_reported_at > since
        return heard and self.reported_contact_age_ms < LIVENESS_TIMEOUT_S * 1000


class PeerTracker:
    """Track peers and pool owners, and send requests to peers."""

    def __init__(
        self,
        entry: EntryId,
        incarnation: Incarnation,
        zone: str,
        links: NngLinks,
        clock: Clock,
        random: Random,
        read_uptime: Callable[[], float],
    ) -> None:
        self.entry = entry
        self.zone = zone
        self.links = links
        self.owners: dict[PoolName, OwnerState] = {}
        self._started_at = read_uptime()
        # Instances that have sent this process a heartbeat as an owner.
        self._heard_owners: set[EntryId] = set()
        # The highest terms heard of, also those of owners that have released their pools since.
        self._terms: dict[PoolName, int] = {}
        self.peers: dict[EntryId, PeerState] = {}
        self.link_supervisor = LinkSupervisor(random)
        self._random = random
        self._read_uptime = read_uptime
        self._requests = PeerRequests(incarnation, clock)
        self.get_local_state: Callable[[PoolName, JobId], StateAnswer] = lambda pool, job: (
            StateAnswer(0, owned=False)
        )

    def record_store_state(self, peer: EntryId, *, lost: bool) -> None:
        """Record whether a peer reaches the store."""
        state = self.peers.get(peer)
        if state is not None:
            state.store_lost = lost
            state.store_reported_at = self._read_uptime()

    # Owners

    def record_owner(self, sender: EntryId, heartbeat: OwnerHeartbeat) -> None:
        """Record the owner of a pool unless one with a higher term is known."""
        self._heard_owners.add(sender)
        state = self.peers.get(sender)
        if state is not None:
            state.heard_ms = heartbeat.sent_ms
        highest = max(heartbeat.term, self._terms.get(heartbeat.pool, 0))
        self._terms[heartbeat.pool] = highest
        known = self.owners.get(heartbeat.pool)
        if known is None or known.term <= heartbeat.term:
            if known is None or known.entry != sender:
                logger.info(
                    "new pool owner",
                    extra={"pool": heartbeat.pool, "owner": sender, "term": heartbeat.term},
                )
            self.owners[heartbeat.pool] = OwnerState(
                sender,
                heartbeat.term,
                self._read_uptime(),
                heartbeat.pending,
                heartbeat.store_lost,
                heartbeat.absent,
            )

    def forget_owner(self, pool: PoolName, term: int) -> None:
        """Forget an owner that has released its pool."""
        known = self.owners.get(pool)
        if known is not None and known.term <= term:
            del self.owners[pool]

    def get_live_owner(self, pool: PoolName) -> EntryId | None:
        """Return the owner of a pool, or none unless it is live and connected."""
        known = self.owners.get(pool)
        if known is None or self._read_uptime() - known.last_contact_at > LIVENESS_TIMEOUT_S:
            return None
        return None if self.is_disconnected(known.entry) else known.entry

    def get_terms(self) -> dict[PoolName, int]:
        """Return the highest known term of each pool.

        An instance that knows a term does not act as an owner of a lower one any more.
        """
        return dict(self._terms)

    def is_owner_active(self, pool: PoolName) -> bool:
        """Tell whether the owner of a pool is heard and reaches the store."""
        return (
            self.get_live_owner(pool) is not None
            and not self.is_owner_unheard(pool)
            and not self.owners[pool].store_lost
        )

    def is_owner_unheard(self, pool: PoolName) -> bool:
        """Tell whether the heartbeats of a known owner have stopped."""
        known = self.owners.get(pool)
        return known is not None and self._read_uptime() - known.last_contact_at > OWNER_TIMEOUT_S

    def find_owner_evidence(self, pool: PoolName, owner: OwnerRow) -> OwnerEvidence:
        """Return what is known of the process that an owner row names."""
        if self.is_disconnected(owner.entry):
            return OwnerEvidence.ENDED
        known = self.owners.get(pool)
        heard_before = known is not None and known.term == owner.term
        if heard_before and self.is_owner_unheard(pool):
            return OwnerEvidence.SUSPECTED
        state = self.peers.get(owner.entry)
        if state is not None and state.incarnation not in {"", owner.incarnation}:
            return OwnerEvidence.SUSPECTED
        return OwnerEvidence.NONE

    def is_disconnected(self, peer: EntryId) -> bool:
        """Tell whether the connection to a peer was lost and not restored in time."""
        state = self.peers.get(peer)
        if (
            state is None
            or state.disconnected_at < 0
            or state.last_contact_at > state.disconnected_at + RECONNECT_TIMEOUT_S
        ):
            return False
        return self._read_uptime() - state.disconnected_at > RECONNECT_TIMEOUT_S

    def list_unresponsive_zones(self) -> frozenset[str]:
        """Return the other zones of which instances were heard before, but none recently."""
        heard = [s for s in self.peers.values() if s.last_contact_at >= 0 and s.zone != self.zone]
        limit = self._read_uptime() - ZONE_TIMEOUT_S
        return frozenset(s.zone for s in heard) - frozenset(
            s.zone for s in heard if s.last_contact_at > limit
        )

    def get_pending(self, pool: PoolName, queue: str, max_age_s: float) -> int | None:
        """Return how many jobs of a queue wait, or none if unknown or too old.

        Some may wait in pools that the queue belonged to before.
        """
        limit = self._read_uptime() - max_age_s
        owners = [
            owner for name, owner in self.owners.items() if name == pool or queue in owner.pending
        ]
        if pool not in self.owners or any(owner.last_contact_at < limit for owner in owners):
            return None
        return sum(owner.pending.get(queue, 0) for owner in owners)

    def list_heartbeat_recipients(self) -> list[EntryId]:
        """Return the peers to send heartbeats to: pool owners and a few others.

        The others follow in a hash ring of all instances, so that each instance hears some. Peers
        whose link needs attention get some too, which tell since when they weren't heard.
        """
        attended = self.link_supervisor.list_attended(self._read_uptime())
        return list(dict.fromkeys([*self.list_regular_recipients(), *attended]))

    def list_regular_recipients(self) -> list[EntryId]:
        """Return the peers that always get heartbeats: pool owners and the next in the ring."""
        return self._add_owners(list_successors(self.entry, self.peers))

    def _list_regular_senders(self) -> list[EntryId]:
        return self._add_owners(list_predecessors(self.entry, self.peers))

    def _add_owners(self, peers: list[EntryId]) -> list[EntryId]:
        owners = [state.entry for state in self.owners.values()]
        return [peer for peer in dict.fromkeys([*owners, *peers]) if peer != self.entry]

    def check_links(self, *, owns_pools: bool) -> list[LinkChange]:
        """Return what has changed of the links; an owner and its peers all send heartbeats."""
        everyone = self.peers.keys() - {self.entry}
        senders = everyone if owns_pools else set(self._list_regular_senders())
        recipients = everyone if owns_pools else set(self.list_regular_recipients())
        probed = list_probed(self.entry, self.peers)
        return self.link_supervisor.check(senders, recipients, probed, self._read_uptime())

    def is_isolated(self) -> bool:
        """Tell whether no peer of another zone was heard recently.

        False with fewer than three zones, as neither side of a partition can tell which it is.
        """
        remote_peers = [state for state in self.peers.values() if state.zone != self.zone]
        limit = self._read_uptime() - ISOLATION_TIMEOUT_S
        several = len({state.zone for state in remote_peers}) > 1
        return several and all(state.last_contact_at < limit for state in remote_peers)

    def has_connected_peer_elsewhere(self, since: int = 0) -> bool:
        """Tell whether an instance of another zone has recorded that it is not isolated.

        Its record must be newer than a version of the store, and its process not known to be gone.
        """
        return any(
            state.zone != self.zone
            and not state.isolated
            and not state.draining
            and state.record_version > since
            and not self.is_disconnected(peer)
            for peer, state in self.peers.items()
        )

    def is_store_down(self) -> bool:
        """Tell whether a majority in mutual contact with this instance all miss the store."""
        limit = self._read_uptime() - LIVENESS_TIMEOUT_S
        others = [
            state for peer, state in self.peers.items() if peer != self.entry and not state.draining
        ]
        heard = [state for state in others if state.is_in_contact(limit)]
        return 2 * (len(heard) + 1) > len(others) + 1 and all(s.store_lost for s in heard)

    def is_store_down_everywhere(self, since: float) -> bool:
        """Tell whether all other instances have answered just now that they miss the store.

        Those count for none that were not heard for `ABSENCE_S` when the store was lost.
        """
        now = self._read_uptime()
        limit = now - LIVENESS_TIMEOUT_S
        return all(
            state.last_contact_at < since - ABSENCE_S
            or limit < state.loss_confirmed_ms / 1000 <= now
            for peer, state in self.peers.items()
            if peer != self.entry
        )

    def get_echo_ms(self, peer: EntryId) -> int:
        """Return when a peer sent its last heartbeat as an owner, on its clock; 0 without any."""
        state = self.peers.get(peer)
        return state.heard_ms if state is not None else 0

    def list_absent(self) -> frozenset[EntryId]:
        """Return the instances that may soon count as absent, as they are told in heartbeats."""
        limit = self._read_uptime() - ABSENCE_NOTICE_S
        others = ((peer, state) for peer, state in self.peers.items() if peer != self.entry)
        return frozenset(peer for peer, state in others if state.last_contact_at < limit)

    def list_heard(self) -> tuple[EntryId, ...]:
        """Return instances that were heard lately, as the owner row tells them."""
        limit = self._read_uptime() - ABSENCE_NOTICE_S
        heard = (
            peer
            for peer, state in self.peers.items()
            if peer != self.entry and state.last_contact_at > limit
        )
        return tuple(sorted(heard)[:MAX_HEARD])

    def rules_out_outage_leases(
        self, pool: PoolName, owner: EarlierOwner, earliest: float, latest: float
    ) -> bool:
        """Tell whether an owner can't have extended leases in an outage of the store.

        It needs the answer of this instance to a recent heartbeat for that, unless this instance is
        absent for it. `earliest` and `latest` are when it may have renewed last.
        """
        known = self.owners.get(pool)
        if known is None or (known.entry, known.term) != (owner.entry, owner.term):
            return self._has_answered_nothing(owner, earliest)
        answered_until = known.last_contact_at + LIVENESS_TIMEOUT_S
        return (
            self.entry not in known.absent
            and known.last_contact_at > latest - RECENT_HEARTBEAT_S
            and answered_until < earliest + OUTAGE_LEASES_DELAY_S
        )

    def _has_answered_nothing(self, owner: EarlierOwner, earliest: float) -> bool:
        """Tell whether an owner needs an answer of this process that it doesn't have.

        The answers of a former process count no longer by the time that such leases begin.
        """
        answered_until = self._started_at + LIVENESS_TIMEOUT_S
        return (
            self.entry in owner.heard
            and owner.entry not in self._heard_owners
            and answered_until < earliest + OUTAGE_LEASES_DELAY_S
        )

    def note_term(self, pool: PoolName, term: int) -> None:
        """Note the term of a claim, so that earlier owners hear of it at once."""
        self._terms[pool] = max(term, self._terms.get(pool, 0))

    def list_live_peers(self) -> list[EntryId]:
        """Return the peers that are live and not draining."""
        limit = self._read_uptime() - LIVENESS_TIMEOUT_S
        return [
            peer
            for peer, state in self.peers.items()
            if state.last_contact_at > limit and not state.draining
        ]

    def get_claimant_capacities(self) -> dict[EntryId, float]:
        """Return the CPU capacity of peers that may claim pools, or were not heard yet."""
        limit = self._read_uptime() - CLAIMANT_TIMEOUT_S
        return {
            peer: state.cpu_capacity
            for peer, state in self.peers.items()
            if peer != self.entry
            and not state.draining
            and (state.last_contact_at < 0 or state.last_contact_at > limit)
            and not self.is_disconnected(peer)
        }

    def has_stronger_idle_peer(self, cpu_capacity: float, besides: int = 0) -> bool:
        """Tell whether a much larger live peer reaches the store and owns no pool.

        One that is isolated would hand a pool over to others. With `besides`, there must be one
        more than so many.
        """
        owners = {state.entry for state in self.owners.values()}
        stronger = [
            peer
            for peer in self.list_live_peers()
            if self.peers[peer].cpu_capacity > STRONGER_CAPACITY_FACTOR * cpu_capacity
            and peer not in owners
            and not self.peers[peer].store_lost
            and not self.peers[peer].isolated
        ]
        return len(stronger) > besides

    def is_in_same_zone(self, peer: EntryId) -> bool:
        """Tell whether a peer is in the same zone."""
        state = self.peers.get(peer)
        return peer == self.entry or (state is not None and state.zone == self.zone)

    # Hints

    def send_job_hint(self, pool: PoolName, value: bytes) -> None:
        """Send a job row to the owner of its pool."""
        self.send_to_owner(pool, JobHint(pool, value))

    def send_cancel_hint(self, pool: PoolName, job: JobId) -> None:
        """Tell the owner of a pool that a job was cancelled."""
        self.send_to_owner(pool, CancelHint(pool, job))

    def send_to_owner(self, pool: PoolName, message: Message) -> None:
        """Send a message to the owner of a pool, if one is known."""
        owner = self.owners.get(pool)
        if owner is not None:
            self.send(owner.entry, message)

    def send(self, peer: EntryId, message: Any) -> bool:
        """Send a message that is to be confirmed, and tell whether it was queued for the peer."""
        sent = self.answer(peer, message)
        if sent:
            self.link_supervisor.require_confirmation(peer)
        return sent

    def answer(self, peer: EntryId, message: Any) -> bool:
        """Send a message whose loss the peer notices, and tell whether it was queued."""
        try:
            self.links.send(peer, message)
        except PeerUnavailableError as error:
            logger.info("message dropped", extra={"peer": peer, "error": str(error)})
            return False
        self.link_supervisor.note_sent([peer], self._read_uptime())
        return True

    # Requests

    def handle_answer(self, sender: EntryId, message: Any) -> None:
        """Match an answer to its request."""
        self._requests.handle_answer(sender, message)

    async def _request(
        self, peer: EntryId, message: Any, answer_type: type[T], timeout_s: float
    ) -> T | None:
        """Send a request; the answer is none after a timeout or if sending fails."""
        number = message.request_id
        answer = self._requests.expect(peer, number, answer_type, timeout_s)
        if not self.send(peer, message):
            self._requests.abandon(number)
        return await answer

    async def request_state(self, pool: PoolName, job: JobId) -> JobState | None:
        """Return the state of a job as known to the pool owner, or none."""
        owner = self.get_live_owner(pool)
        if owner is None:
            return None
        if owner == self.entry:
            answer: StateAnswer | None = self.get_local_state(pool, job)
        else:
            message = StateRequest(self._requests.make_number(), pool, job)
            answer = await self._request(owner, message, StateAnswer, STATE_TIMEOUT_S)
        if answer is None or not answer.owned or answer.state not in STATES:
            return None
        return JobState(answer.state)

    async def find_pool(self, likely: PoolName, job: JobId) -> PoolName | None:
        """Return the pool whose owner knows a job, or none; the likely one is asked first."""
        if await self.request_state(likely, job) is not None:
            return likely
        others = [pool for pool in self.owners if pool != likely]
        states = await gather([self.request_state(pool, job) for pool in others])
        return next(
            (pool for pool, state in zip(others, states, strict=True) if state is not None), None
        )

    def choose_write_proxies(self) -> list[EntryId]:
        """Return random live peers that reach the store and are not draining."""
        live = self._list_peers_with_store()
        return self._random.sample(live, min(MAX_WRITE_PROXIES, len(live)))

    def choose_peer_with_store(self) -> EntryId | None:
        """Return a random live peer that reaches the store and is not draining, or none."""
        live = self._list_peers_with_store()
        return self._random.choice(live) if live else None

    def _list_peers_with_store(self) -> list[EntryId]:
        limit = self._read_uptime() - LIVENESS_TIMEOUT_S
        return [
            peer
            for peer, state in self.peers.items()
            if state.store_reported_at > limit and not state.store_lost and not state.draining
        ]

    async def request_settings(self, peer: EntryId, version: int) -> SettingsAnswer | None:
        """Ask a peer for a configuration newer than a version; returns none without an answer."""
        message = SettingsRequest(self._requests.make_number(), version)
        return await self._request(peer, message, SettingsAnswer, SETTINGS_TIMEOUT_S)

    async def request_write(
        self, peer: EntryId, table: str, part: str, key: str, value: bytes
    ) -> Presence:
        """Ask a peer to add a row to the store."""
        message = WriteRequest(self._requests.make_number(), table, part, key, value)
        answer = await self._request(peer, message, WriteAnswer, WRITE_TIMEOUT_S)
        if answer is None or answer.outcome not in PRESENCES:
            return Presence.UNKNOWN
        return Presence(answer.outcome)

    async def request_commit(self, peer: EntryId, transaction: Transaction) -> CommitAnswer | None:
        """Ask a peer to commit a transaction; returns none without an answer."""
        message = CommitRequest(self._requests.make_number(), transaction)
        return await self._request(peer, message, CommitAnswer, WRITE_TIMEOUT_S)

    async def request_advice(
        self, peer: EntryId, request: RequestAdvice, timeout_s: float
    ) -> AdviceAnswer | None:
        """Ask a peer to call the placement service; returns none without an answer."""
        message = AdviceRequest(
            self._requests.make_number(),
            request.step_key.job,
            request.step_key.occurrence,
            request.step_key.step,
            request.workers,
            request.expected_ms / 1000,
        )
        return await self._request(peer, message, AdviceAnswer, timeout_s)


def encode_pending_counts(counts: Counter[Any]) -> dict[str, int]:
    """Return pending counts in the form sent to peers."""
    return {str(queue): number for queue, number in counts.items()}
