"""An entry instance of a cell that schedules pools, and its messages."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial, singledispatchmethod
from math import inf
from random import Random
from typing import Any

import msgspec

from lavenderstall.clocks import Clock, sleep
from lavenderstall.decoding import UnreadableError
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.links import NngLinks
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advice_balancer import AdviceBalancer
from lavenderstall.pools.advice_client import AdviceClient, LocalAdviceClient
from lavenderstall.pools.claims import (
    Claim,
    Claimer,
    OwnerEvidence,
    OwnershipSnapshot,
    get_claim_rank,
)
from lavenderstall.pools.commit_relay import CommitRelay, answer_commit
from lavenderstall.pools.coroutines import gather, launch
from lavenderstall.pools.earlier_owners import LEASE_LIFETIME_S
from lavenderstall.pools.effects import RequestAdvice
from lavenderstall.pools.entry_rows import EntryRowTracker
from lavenderstall.pools.job_requests import JobRequestHandler
from lavenderstall.pools.link_maintenance import LinkMaintainer
from lavenderstall.pools.messages import (
    AdviceAnswer,
    AdviceRequest,
    CancelHint,
    CommitAnswer,
    CommitRequest,
    EntryHeartbeat,
    JobHint,
    Message,
    OwnerHeartbeat,
    PoolReleased,
    SettingsAnswer,
    SettingsRequest,
    ShareRequest,
    SharesHint,
    StateAnswer,
    StateRequest,
    WriteAnswer,
    WriteRequest,
    decode_message,
)
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.objectives import choose_retry_after_s, get_objective_s
from lavenderstall.pools.owner import PoolOwner
from lavenderstall.pools.ownership_policy import (
    ClaimantKnowledge,
    ClaimDecision,
    OwnerKnowledge,
    ReleaseReason,
    choose_release_reason,
    decide_claim,
)
from lavenderstall.pools.peers import (
    RECONNECT_TIMEOUT_S,
    PeerState,
    PeerTracker,
    encode_pending_counts,
)
from lavenderstall.pools.pool import REMOTE_FACTOR, Pool
from lavenderstall.pools.ports import (
    Adviser,
    Put,
    Registry,
    Row,
    RowConflictError,
    RowStore,
    SettingsDecoder,
    StoreLimits,
    Transaction,
    WorkerClient,
)
from lavenderstall.pools.records import (
    ENTRIES,
    EntryRecord,
    OwnerRow,
    decode_entry,
    encode,
)
from lavenderstall.pools.settings_tracker import SettingsTracker
from lavenderstall.pools.share_keeper import ShareKeeper
from lavenderstall.pools.table_watch import TableWatch
from lavenderstall.pools.takeover import EarlierLeases
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import JobSpec, PoolName, Queue, Settings
from lavenderstall.pools.writer import OwnerWriter

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.25
CLAIM_CHECK_INTERVAL_S = 0.2
# Instances claim a pool in order of rank, this much after each other.
CLAIM_DELAY_PER_RANK_S = 0.06
MAX_CLAIM_RANK = 6
# Instances that answer an isolated owner, those of the lowest claim ranks.
MAX_ANSWERS = 3
# Timeouts of writes to the store when a pool is released at shutdown or handed over.
SHUTDOWN_TIMEOUT_S = 3.0
HANDOVER_TIMEOUT_S = 1.0
# Interval at which an instance rewrites its row, so that peers keep it.
RECORD_INTERVAL_S = 10.0
RETRY_DELAY_S = 0.5
# Time in which a request that was sent is handled.
CONFIRMATION_MARGIN_S = 0.2
# Long-poll timeout of the feed of instances.
ENTRIES_FEED_WAIT_MS = 4000


class InstanceIdentity(msgspec.Struct, frozen=True):
    """Identify an entry instance and its peer address.

    `cpu_capacity` is its share of processors; instances with more of it own pools first. A task
    takes `remote_factor` times as long on another rack than that of its data. Callers may rely on a
    configuration `config_apply_s` after it was stored. If set, no key may work for longer than
    `revocation_s` after a configuration without it was stored. Owners with `orders_overload` order
    jobs that wait for room by what their delay costs.
    """

    entry: EntryId
    incarnation: Incarnation
    zone: str
    link: str
    cpu_capacity: float = 1.0
    remote_factor: float = REMOTE_FACTOR
    config_apply_s: float = 2.0
    revocation_s: float | None = None
    orders_overload: bool = False


class Dependencies(msgspec.Struct):
    """External services, clocks, links and metrics of an entry instance."""

    clock: Clock
    random: Random
    store: RowStore
    registry: Registry
    workers: WorkerClient
    adviser: Adviser
    settings: SettingsDecoder
    links: NngLinks
    read_uptime: Callable[[], float]
    read_unix_ms: Callable[[], float]
    metrics: Metrics = msgspec.field(default_factory=Metrics)
    limits: StoreLimits = StoreLimits()


class EntryInstance:
    """Accept jobs from callers and own pools."""

    def __init__(self, identity: InstanceIdentity, dependencies: Dependencies) -> None:
        self.identity = identity
        self.metrics = dependencies.metrics
        self.owned_pools: dict[PoolName, PoolOwner] = {}
        self.draining = False
        self.requests_in_flight = 0
        self._store = MonitoredStore(dependencies.store, dependencies.read_uptime)
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self.read_uptime = dependencies.read_uptime
        self.peers = PeerTracker(
            identity.entry,
            identity.incarnation,
            identity.zone,
            dependencies.links,
            dependencies.clock,
            dependencies.random,
            dependencies.read_uptime,
        )
        self.peers.get_local_state = self.get_local_state
        self._link_maintainer = LinkMaintainer(
            self.peers, dependencies.links, dependencies.read_uptime, self.metrics
        )
        self._advice_balancer = AdviceBalancer(
            identity.entry,
            self.peers.list_live_peers,
            self.peers.is_in_same_zone,
            dependencies.read_uptime,
        )
        self._advice_client = AdviceClient(
            identity.entry,
            LocalAdviceClient(dependencies.adviser, dependencies.read_uptime, self.metrics),
            self._advice_balancer,
            self.peers,
            dependencies.read_uptime,
            self.metrics,
        )
        self.job_requests = JobRequestHandler(
            self._store,
            self.peers,
            dependencies.clock,
            dependencies.read_unix_ms,
            self.metrics,
            dependencies.limits,
        )
        self._unreadable_rows = UnreadableRows(self.metrics)
        self._claimer = Claimer(
            self._store,
            dependencies.clock,
            identity.entry,
            identity.incarnation,
            dependencies.read_uptime,
            self._unreadable_rows,
        )
        self.settings_tracker = SettingsTracker(
            self._store,
            dependencies.clock,
            dependencies.read_uptime,
            dependencies.settings,
            self._apply_settings,
            self.peers,
            self.metrics,
        )
        self._entries_watch = TableWatch(
            self._store,
            dependencies.clock,
            dependencies.read_uptime,
            ENTRIES,
            self._update_peers,
            ENTRIES_FEED_WAIT_MS,
        )
        self._entry_rows = EntryRowTracker()
        self._entry_records: dict[EntryId, EntryRecord] = {}
        self._recorded_isolated = False
        self._writes_record = False
        # Version of this instance's row since it says that the instance is isolated, else 0.
        self._isolation_version = 0
        self._claims_in_progress: set[PoolName] = set()
        self._claimed_at: dict[PoolName, float] = {}
        self._running = False

    # Lifecycle

    def start(self) -> None:
        """Start feeds, heartbeats, claims and record writes."""
        self._running = True
        self._dependencies.links.set_receiver(self.receive)
        self._dependencies.links.set_connection_listener(self._handle_link_change)
        self.settings_tracker.start()
        self._entries_watch.start()
        for step in (self._run_heartbeats, self._claim_ownerless_pools, self._write_entry_record):
            launch(self._repeat(step))

    async def _repeat(self, step: Callable[[], Any]) -> None:
        while self._running:
            try:
                await step()
            except LavenderstallError as error:
                logger.info("periodic step failed; retrying", extra={"error": str(error)})
                await sleep(self._clock, RETRY_DELAY_S)
            except Exception:
                logger.exception("periodic step failed; retrying")
                await sleep(self._clock, RETRY_DELAY_S)

    async def release_pools(self) -> None:
        """Release all pools and report draining; callers are still served."""
        self.draining = True
        self._send_heartbeats()
        await gather(
            [
                self._release_pool(pool, owner, ReleaseReason.SHUTDOWN, SHUTDOWN_TIMEOUT_S)
                for pool, owner in list(self.owned_pools.items())
            ]
        )

    def stop(self) -> None:
        """Stop feeds and periodic steps."""
        self._running = False
        self.settings_tracker.stop()
        self._entries_watch.stop()

    def is_ready(self) -> bool:
        """Tell whether to accept callers; other zones serve those of a partitioned instance."""
        return not self.draining and self.settings.version > 0 and not self.is_partitioned()

    def is_configuration_current(self) -> bool:
        """Tell whether callers can't rely on a newer configuration yet, if there is one."""
        unconfirmed_s = self.settings_tracker.get_unconfirmed_s()
        return unconfirmed_s <= self.identity.config_apply_s - CONFIRMATION_MARGIN_S

    def may_trust_keys(self) -> bool:
        """Tell whether no key that is known here can have been removed for too long."""
        bound_s = self.identity.revocation_s
        if bound_s is None:
            return True
        return self.settings_tracker.get_unconfirmed_s() <= bound_s - CONFIRMATION_MARGIN_S

    def choose_retry_after_s(self, spec: JobSpec, queue: Queue) -> int:
        """Return the seconds after which a caller whose job was not accepted should retry."""
        return choose_retry_after_s(
            get_objective_s(spec, queue), self._store.get_outage_s(), cut_off=self.is_partitioned()
        )

    def is_partitioned(self) -> bool:
        """Tell whether both the store and all other zones are unreachable."""
        return self._store.is_lost() and self.peers.is_isolated()

    async def _write_entry_record(self) -> None:
        await self._write_record()
        if self.owned_pools:
            await self._remove_stale_entry_rows()
        await sleep(self._clock, RECORD_INTERVAL_S)

    async def _write_record(self) -> None:
        identity = self.identity
        isolated = self.peers.is_isolated()
        record = EntryRecord(
            identity.entry,
            identity.incarnation,
            identity.zone,
            identity.link,
            self.draining,
            identity.cpu_capacity,
            isolated,
        )
        put = Put(ENTRIES, identity.entry, encode(record))
        await self._store.commit(Transaction("", (), (put,)))
        self._recorded_isolated = isolated

    def _update_record(self) -> None:
        """Rewrite the record now, unless that is under way."""
        if not self._writes_record:
            self._writes_record = True
            launch(self._rewrite_record())

    async def _rewrite_record(self) -> None:
        try:
            await self._write_record()
        except LavenderstallError as error:
            logger.info("record not rewritten; retrying", extra={"error": str(error)})
            await sleep(self._clock, RETRY_DELAY_S)
        finally:
            self._writes_record = False

    async def _remove_stale_entry_rows(self) -> None:
        """Remove rows of instances that have left, which a restarted instance would count."""
        removals = self._entry_rows.list_removals(self.read_uptime(), self._store.get_available_s())
        for removal in removals:
            try:
                await self._store.commit(removal)
            except RowConflictError:
                continue
            logger.info("row of a departed instance removed", extra={"key": removal.deletes[0].key})

    # Configuration and peers

    @property
    def settings(self) -> Settings:
        """Return the configuration in force here."""
        return self.settings_tracker.settings

    def _apply_settings(self, settings: Settings) -> None:
        """Pass the configuration to all owners before anything follows that may fail."""
        for owner in self.owned_pools.values():
            owner.pool.set_settings(settings)
        for owner in self.owned_pools.values():
            owner.schedule_dispatch()
        for pool in settings.pools:
            self._start_claim_check(pool)

    def _update_peers(self, rows: Mapping[str, Row]) -> None:
        self._entry_rows.note_rows(rows, self.read_uptime())
        known = self._entry_records
        found = {EntryId(row.key): self._decode_entry(row) for row in rows.values()}
        # An instance whose row can't be read now is reached as before, until it rewrites the row.
        kept = {name: record or known.get(name) for name, record in found.items()}
        records = {name: record for name, record in kept.items() if record is not None}
        self._entry_records = records
        self._dependencies.links.set_peers({name: record.link for name, record in records.items()})
        for name, record in records.items():
            peer_state = self.peers.peers.setdefault(name, PeerState(record.zone))
            peer_state.cpu_capacity = record.power
            peer_state.incarnation = record.incarnation
            newly_isolated = record.isolated and rows[name].version > peer_state.record_version
            peer_state.isolated = record.isolated
            peer_state.record_version = rows[name].version
            if newly_isolated and name != self.identity.entry:
                self._answer_isolated_owner(name)
        own = records.get(self.identity.entry)
        own_version = rows[self.identity.entry].version if own else 0
        self._isolation_version = own_version if own and own.isolated else 0
        for name in self.peers.peers.keys() - records.keys() - {self.identity.entry}:
            del self.peers.peers[name]
        self.peers.link_supervisor.retain(
            self.peers.peers.keys() - {self.identity.entry}, self.read_uptime()
        )
        self._advice_balancer.retain({*self.peers.peers, self.identity.entry})

    def _answer_isolated_owner(self, owner: EntryId) -> None:
        """Record anew that this instance is not isolated, if it would claim the owner's pools.

        An isolated owner hands its pools over only to instances that have said so since.
        """
        if self.peers.is_isolated() or self.draining:
            return
        pools = [pool for pool, state in self.peers.owners.items() if state.entry == owner]
        if any(self._get_claim_rank(pool) < MAX_ANSWERS for pool in pools):
            self._update_record()

    def _decode_entry(self, row: Row) -> EntryRecord | None:
        try:
            return decode_entry(row.key, row.value)
        except UnreadableError as error:
            self._unreadable_rows.note(row.table, row.key, row.version, error)
            return None

    async def _run_heartbeats(self) -> None:
        self._link_maintainer.replace_silent_links(owns_pools=bool(self.owned_pools))
        self._send_heartbeats()
        self.settings_tracker.ask_if_behind()
        if self.peers.is_isolated() != self._recorded_isolated and not self._store.is_lost():
            self._update_record()
        self._hand_over_pools()
        await sleep(self._clock, HEARTBEAT_INTERVAL_S)

    def _is_better_placed_peer_known(self) -> bool:
        """Tell whether this instance is isolated, and one of another zone that isn't lives.

        Where all instances are isolated, as when their connections are silent, none serves a pool
        better than its owner.
        """
        return (
            self.peers.is_isolated()
            and not self._store.is_lost()
            and self._isolation_version > 0
            and self.peers.has_connected_peer_elsewhere(since=self._isolation_version)
        )

    def _send_heartbeats(self) -> None:
        lost = self._store.is_lost()
        for name, owner in self.owned_pools.items():
            pending = encode_pending_counts(owner.pool.count_pending())
            cannot_commit = owner.writer.has_expired() or (
                lost and not owner.writer.has_recent_commit()
            )
            owner_heartbeat = OwnerHeartbeat(
                name,
                owner.pool.term,
                pending,
                cannot_commit,
                self.peers.list_absent(),
                int(self.read_uptime() * 1000),
            )
            self._dependencies.links.broadcast(owner_heartbeat)  # type: ignore[arg-type]
            self.peers.link_supervisor.note_sent(self.peers.peers, self.read_uptime())
            self.peers.record_owner(self.identity.entry, owner_heartbeat)
        for entry in self.peers.list_heartbeat_recipients():
            wants_answer = self.peers.link_supervisor.wants_answer(entry)
            self.peers.send(entry, self._make_heartbeat(entry, wants_answer=wants_answer))

    def _make_heartbeat(self, peer: EntryId, *, wants_answer: bool = False) -> EntryHeartbeat:
        age_s = self.peers.link_supervisor.get_contact_age_s(peer, self.read_uptime())
        return EntryHeartbeat(
            self.identity.zone,
            int(age_s * 1000),
            self.draining,
            self._store.is_lost(),
            self.peers.get_terms(),
            wants_answer,
            self.settings.version,
            self.peers.get_echo_ms(peer),
        )

    def _hand_over_pools(self) -> None:
        """Release pools that other instances serve better."""
        for pool, owner in list(self.owned_pools.items()):
            reason = choose_release_reason(self._gather_owner_knowledge(pool))
            if reason is not None and not owner.writer.releasing:
                launch(self._release_pool(pool, owner, reason, HANDOVER_TIMEOUT_S))

    def _gather_owner_knowledge(self, pool: PoolName) -> OwnerKnowledge:
        return OwnerKnowledge(
            owned_s=self.read_uptime() - self._claimed_at.get(pool, 0.0),
            store_lost_s=self._store.get_lost_s(),
            relayed=any(owner.writer.has_recent_relay() for owner in self.owned_pools.values()),
            isolated_until_answered=self._is_better_placed_peer_known(),
            knows_stronger_idle_peer=self.peers.has_stronger_idle_peer(self.identity.cpu_capacity),
        )

    # Ownership

    async def _claim_ownerless_pools(self) -> None:
        for pool in self._list_pools():
            self._start_claim_check(pool)
        await sleep(self._clock, CLAIM_CHECK_INTERVAL_S)

    def _list_pools(self) -> set[PoolName]:
        """Return the configured pools, and former ones that may have unfinished jobs."""
        of_jobs = [owner.pools_of_jobs for owner in self.owned_pools.values()]
        return {*self.settings.pools, *self.peers.get_terms()}.union(*of_jobs)

    def _start_claim_check(self, pool: PoolName) -> None:
        if (
            pool in self._list_pools()
            and pool not in self._claims_in_progress
            and pool not in self.owned_pools
            and not self.draining
        ):
            self._claims_in_progress.add(pool)
            launch(self._claim_if_ownerless(pool))

    async def _claim_if_ownerless(self, pool: PoolName) -> None:
        try:
            if self.peers.is_owner_active(pool):
                return
            await sleep(self._clock, self._get_claim_rank(pool) * CLAIM_DELAY_PER_RANK_S)
            if self.peers.is_owner_active(pool) or self.draining:
                return
            snapshot = await self._claimer.read_ownership(pool)
            known = self._gather_claimant_knowledge(pool, snapshot)
            if decide_claim(known) is ClaimDecision.CLAIM:
                await self._claim(pool, snapshot)
        except LavenderstallError as error:
            logger.info("reading the pool owner failed", extra={"pool": pool, "error": str(error)})
        finally:
            self._claims_in_progress.discard(pool)

    def _gather_claimant_knowledge(
        self, pool: PoolName, snapshot: OwnershipSnapshot
    ) -> ClaimantKnowledge:
        return ClaimantKnowledge(
            snapshot,
            self._find_owner_evidence(pool, snapshot.owner),
            draining=self.draining,
            hears_owner=self.peers.get_live_owner(pool) is not None,
            store_available_s=self._store.get_available_s(),
            isolated=self.peers.is_isolated(),
            knows_connected_peer=self.peers.has_connected_peer_elsewhere(),
            knows_stronger_idle_peer=self.peers.has_stronger_idle_peer(
                self.identity.cpu_capacity, besides=self._get_index_to_claim(pool)
            ),
        )

    def _find_owner_evidence(self, pool: PoolName, owner: OwnerRow | None) -> OwnerEvidence:
        if owner is None:
            return OwnerEvidence.NONE
        if owner.entry == self.identity.entry and owner.incarnation != self.identity.incarnation:
            return OwnerEvidence.ENDED
        return self.peers.find_owner_evidence(pool, owner)

    def _get_claim_rank(self, pool: PoolName) -> int:
        """Return how many possibly live instances precede this one in claiming the pool."""
        cpu_capacities = self.peers.get_claimant_capacities()
        cpu_capacities[self.identity.entry] = self.identity.cpu_capacity
        owned = Counter(owner_state.entry for owner_state in self.peers.owners.values())
        index = self._get_index_to_claim(pool)
        rank = get_claim_rank(self.identity.entry, cpu_capacities, owned, index)
        return min(rank, MAX_CLAIM_RANK)

    def _get_index_to_claim(self, pool: PoolName) -> int:
        """Return how many configured pools without an active owner precede a pool."""
        return sum(
            name < pool and not self.peers.is_owner_active(name) for name in self.settings.pools
        )

    async def _claim(self, pool: PoolName, snapshot: OwnershipSnapshot) -> None:
        rules_out_outage = partial(self.peers.rules_out_outage_leases, pool)
        claim = await self._claimer.claim(pool, snapshot, rules_out_outage)
        if claim is None:
            return
        self.peers.note_term(pool, claim.owner.term)
        owner = self._make_owner(pool, claim)
        owner.start_renewal()
        try:
            await owner.load()
        except Exception:
            await owner.release(HANDOVER_TIMEOUT_S)
            raise
        deposed = self.peers.get_terms().get(pool, 0) > claim.owner.term
        if self.draining or not self._running or not owner.running or deposed:
            await owner.release(HANDOVER_TIMEOUT_S)
            return
        # A newer configuration may have arrived while rows were read.
        owner.pool.set_settings(self.settings)
        self.owned_pools[pool] = owner
        self._claimed_at[pool] = self.read_uptime()
        self.metrics.count("pools_claimed")
        owner.start()
        self._send_heartbeats()

    def _make_owner(self, name: PoolName, claim: Claim) -> PoolOwner:
        dependencies = self._dependencies
        pool = Pool(
            name,
            claim.owner.term,
            self.read_uptime(),
            recorded=claim.records_complete,
            remote_factor=self.identity.remote_factor,
            counts=self.metrics.counters,
            orders_overload=self.identity.orders_overload,
        )
        shares = ShareKeeper(
            pool,
            self._store,
            dependencies.clock,
            self.read_uptime,
            self.metrics,
            self._send_to_pool_owner,
        )
        pool.team_shares = shares
        pool.set_settings(self.settings)
        pool.takeover.add_earlier_owners(self._list_earlier_leases(claim))
        pool.takeover.settled_ms = claim.owner.settled_ms
        if claim.owner.unrecorded_starts is not None:
            store_ms = claim.committed.store_clock_ms
            left_s = (claim.owner.unrecorded_starts.arrive_by_ms - store_ms) / 1000
            pool.late_starts.expect_unrecorded(
                claim.owner.unrecorded_starts, self.read_uptime() + left_s
            )
        pool.crashes.rate.add_earlier(
            self.read_uptime() - (claim.committed.store_clock_ms - crashed_ms) / 1000
            for crashed_ms in claim.owner.crashed_ms
        )
        writer = OwnerWriter(
            self._store,
            dependencies.clock,
            pool,
            claim.owner,
            claim.version,
            claim.committed,
            dependencies.read_uptime,
            self.metrics,
            claim.sent_at,
            CommitRelay(self.peers, dependencies.read_uptime, self.metrics),
            dependencies.limits,
            self.peers.list_heard,
        )
        owner = PoolOwner(
            pool,
            writer,
            self._store,
            dependencies.registry,
            dependencies.workers,
            dependencies.clock,
            dependencies.read_uptime,
            dependencies.read_unix_ms,
            lambda request: self._start_advice_request(owner, request),
            self._advice_balancer.count_idle,
            self.peers.is_store_down,
            self.peers.is_store_down_everywhere,
            self.peers.list_unresponsive_zones,
            self.metrics,
        )
        owner.shares = shares
        shares.is_running = lambda: owner.running
        shares.on_change = owner.schedule_dispatch
        owner.on_ownership_lost = lambda reason: self._handle_ownership_loss(name, owner, reason)
        return owner

    def _list_earlier_leases(self, claim: Claim) -> list[EarlierLeases]:
        """Return when the leases of earlier owners expire; this instance acts for none of them."""
        now = self.read_uptime()
        store_ms = claim.committed.store_clock_ms
        return [
            EarlierLeases(
                owner.entry,
                owner.term,
                min(
                    now + (owner.leases_end_ms - store_ms) / 1000,
                    now + LEASE_LIFETIME_S if owner.entry == self.identity.entry else inf,
                ),
            )
            for owner in claim.owner.earlier or ()
        ]

    def _handle_ownership_loss(self, pool: PoolName, owner: PoolOwner, reason: str) -> None:
        if self.owned_pools.get(pool) is owner:
            del self.owned_pools[pool]
        self.metrics.count("pools_lost")
        logger.warning("pool lost", extra={"pool": pool, "term": owner.pool.term, "reason": reason})

    async def _release_pool(
        self, pool: PoolName, owner: PoolOwner, reason: ReleaseReason, limit_s: float
    ) -> None:
        await owner.release(limit_s)
        self._handle_ownership_loss(pool, owner, reason.value)
        self._dependencies.links.broadcast(PoolReleased(pool, owner.pool.term))  # type: ignore[arg-type]
        self.peers.forget_owner(pool, owner.pool.term)

    def _send_to_pool_owner(self, pool: PoolName, message: Message) -> None:
        """Send a message to the owner of a pool, which may be this instance."""
        if pool in self.owned_pools:
            self._clock.callLater(0.0, self.handle, message, self.identity.entry)
        else:
            self.peers.send_to_owner(pool, message)

    def _start_advice_request(self, owner: PoolOwner, request: RequestAdvice) -> None:
        launch(self._request_advice(owner, request))

    async def _request_advice(self, owner: PoolOwner, request: RequestAdvice) -> None:
        advice = await self._advice_client.fetch(request)
        if owner.running:
            owner.handle_advice(request, advice)

    # Messages

    def _handle_link_change(self, peer: EntryId, up: bool) -> None:
        """Handle a connection made or lost; claim pools of a peer that stays disconnected."""
        peer_state = self.peers.peers.get(peer)
        if peer_state is None:
            return
        peer_state.disconnected_at = -1.0 if up else self.read_uptime()
        if not up:
            self._clock.callLater(RECONNECT_TIMEOUT_S + 0.01, self._claim_pools_of_lost_peer, peer)

    def _claim_pools_of_lost_peer(self, peer: EntryId) -> None:
        if not self._running or not self.peers.is_disconnected(peer):
            return
        for pool, owner_state in list(self.peers.owners.items()):
            if owner_state.entry == peer:
                logger.info("pool owner disconnected", extra={"pool": pool, "owner": peer})
                self._start_claim_check(pool)

    def receive(self, sender: EntryId, message: Any) -> None:
        """Record that a peer was heard and handle its message."""
        peer_state = self.peers.peers.get(sender)
        if peer_state is not None:
            peer_state.last_contact_at = self.read_uptime()
            self.peers.link_supervisor.note_received(sender, self.read_uptime())
        if isinstance(message, msgspec.Raw):
            try:
                message = decode_message(message)
            except UnreadableError as error:
                self._unreadable_rows.note("messages", f"{sender}: {error}", 0, error)
                return
        self.handle(message, sender)

    @singledispatchmethod
    def handle(self, message: Any, sender: EntryId) -> None:
        """Handle one type of message."""
        raise TypeError(f"{type(message).__name__} is not a peer message")

    @handle.register
    def _(self, message: OwnerHeartbeat, sender: EntryId) -> None:
        self.peers.record_owner(sender, message)
        self.peers.record_store_state(sender, lost=message.store_lost)
        self._check_terms({message.pool: message.term})

    @handle.register
    def _(self, message: EntryHeartbeat, sender: EntryId) -> None:
        peer_state = self.peers.peers.get(sender)
        if peer_state is None:
            return
        peer_state.draining = message.draining
        peer_state.reported_contact_age_ms = message.last_contact_age_ms
        self.peers.record_store_state(sender, lost=message.store_lost)
        peer_state.loss_confirmed_ms = message.echo_ms if message.store_lost else -1
        self.settings_tracker.note_peer_version(sender, message.settings_version)
        self._check_terms(message.terms)
        for pool, owner in self.owned_pools.items():
            owner.update_time()
            owner.pool.takeover.note_owner_stopped(sender, message.terms.get(pool, 0))
        contact_age_s = message.last_contact_age_ms / 1000
        self.peers.link_supervisor.note_report(sender, contact_age_s, self.read_uptime())
        if message.wants_answer:
            self.peers.answer(sender, self._make_heartbeat(sender))

    def _check_terms(self, terms: Mapping[PoolName, int]) -> None:
        """Stop owning pools for which a peer reports a higher term."""
        for pool, owner in list(self.owned_pools.items()):
            if terms.get(pool, 0) > owner.pool.term:
                owner.lose_ownership("a peer reports an owner with a higher term")

    @handle.register
    def _(self, message: PoolReleased, sender: EntryId) -> None:
        self.peers.forget_owner(message.pool, message.term)
        self._start_claim_check(message.pool)

    @handle.register
    def _(self, message: ShareRequest, sender: EntryId) -> None:
        owner = self.owned_pools.get(message.pool)
        if owner is not None and owner.shares is not None:
            owner.shares.handle_request(message)

    @handle.register
    def _(self, message: SharesHint, sender: EntryId) -> None:
        owner = self.owned_pools.get(message.pool)
        if owner is not None and owner.shares is not None:
            owner.shares.handle_rows(message.rows)

    @handle.register
    def _(self, message: JobHint, sender: EntryId) -> None:
        owner = self.owned_pools.get(message.pool)
        if owner is not None:
            owner.add_hinted_job(message.row, sender)

    @handle.register
    def _(self, message: CancelHint, sender: EntryId) -> None:
        owner = self.owned_pools.get(message.pool)
        if owner is not None:
            owner.cancel_job(message.job)

    @handle.register
    def _(self, message: StateRequest, sender: EntryId) -> None:
        found = self.get_local_state(message.pool, message.job)
        self.peers.send(sender, msgspec.structs.replace(found, request_id=message.request_id))

    @handle.register
    def _(self, message: SettingsRequest, sender: EntryId) -> None:
        self.peers.answer(sender, self.settings_tracker.answer(message))

    @handle.register
    def _(self, message: AdviceRequest, sender: EntryId) -> None:
        launch(self._advice_client.answer_peer(message, sender))

    @handle.register
    def _(self, message: WriteRequest, sender: EntryId) -> None:
        launch(self._answer_write(message, sender))

    async def _answer_write(self, message: WriteRequest, sender: EntryId) -> None:
        outcome = await self.job_requests.add_row(
            message.table, message.partition, message.key, message.value
        )
        self.peers.send(sender, WriteAnswer(message.request_id, outcome.value))

    @handle.register
    def _(self, message: CommitRequest, sender: EntryId) -> None:
        launch(self._answer_commit(message, sender))

    async def _answer_commit(self, message: CommitRequest, sender: EntryId) -> None:
        self.peers.send(sender, await answer_commit(self._store, message))

    @handle.register(CommitAnswer)
    @handle.register(StateAnswer)
    @handle.register(SettingsAnswer)
    @handle.register(AdviceAnswer)
    @handle.register(WriteAnswer)
    def _(self, message: Any, sender: EntryId) -> None:
        self.peers.handle_answer(sender, message)

    def get_local_state(self, pool: PoolName, job: JobId) -> StateAnswer:
        """Return the state of a job of an owned pool."""
        owner = self.owned_pools.get(pool)
        if owner is None:
            return StateAnswer(0, owned=False)
        state = owner.pool.get_state(job)
        return StateAnswer(0, owned=True, state=state.value if state else "")
