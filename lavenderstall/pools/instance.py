"""One entry instance of a cell that schedules pools: its parts and the messages between them."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from random import Random
from typing import Any

import msgspec

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.links import NngLinks
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advisers import Advisers
from lavenderstall.pools.advising import AdviceDesk, AdviceRequests
from lavenderstall.pools.background import gather, launch
from lavenderstall.pools.claims import Claim, Claimer, Sight, get_rank
from lavenderstall.pools.effects import AskAdvice
from lavenderstall.pools.intake import Intake
from lavenderstall.pools.messages import (
    AdviceAnswer,
    AdviceRequest,
    CancelHint,
    EntryHeartbeat,
    JobHint,
    OwnerHeartbeat,
    PoolReleased,
    StateAnswer,
    StateRequest,
    WriteAnswer,
    WriteRequest,
)
from lavenderstall.pools.objectives import choose_retry_s, get_objective_s
from lavenderstall.pools.owner import PoolOwner
from lavenderstall.pools.peers import DOWN_S, PeerRequests, PeerSight, make_pending
from lavenderstall.pools.pool import REMOTE_FACTOR, Pool
from lavenderstall.pools.ports import (
    Adviser,
    Put,
    Registry,
    Row,
    RowStore,
    SettingsDecoder,
    Transaction,
    WorkerClient,
)
from lavenderstall.pools.reach import ReachedStore
from lavenderstall.pools.records import ENTRIES, EntryRecord, decode_job, encode
from lavenderstall.pools.watch import TableWatch
from lavenderstall.pools.work import JobSpec, PoolName, Queue, Settings
from lavenderstall.pools.writer import OwnerWriter

logger = logging.getLogger(__name__)

# Owners and peers tell that they live this often.
BEAT_S = 0.25
# A pool without an owner that is heard is looked after this often.
CLAIM_S = 0.2
# The instance that a pool suits best claims first; each other waits this much longer.
CLAIM_STEP_S = 0.15
MOST_CLAIM_STEPS = 6
# An instance that is cut off from other zones claims only what nobody renews for this long.
ISOLATED_WAIT_MS = 6000.0
# An owner that is heard gets this long to renew after the store was away.
REGAINED_S = 1.0
# A pool is kept at least this long before it is given up to another zone.
TENURE_S = 3.0
# Giving a pool up waits this long for the store, at a shutdown and when cut off.
SHUTDOWN_S = 3.0
YIELD_S = 1.0
# An instance's row is written again this often, so that others do not forget it.
RECORD_S = 10.0
RECORD_RETRY_S = 0.5
# A peer that has not heard this instance for this long needs a new connection.
LOST_MS = 1500
REDIAL_S = 2.0
# Feeds wait this long for a change; the configuration is in force within two seconds.
OPERATOR_WAIT_MS = 1000
ENTRIES_WAIT_MS = 4000
OPERATOR = "op"
SETTINGS_KEY = "config"


class Identity(msgspec.Struct, frozen=True):
    """Name an entry instance and where peers reach it.

    `power` is its share of processors; stronger instances own pools first. A task takes
    `remote_factor` times as long on another rack than that of its data.
    """

    entry: EntryId
    incarnation: Incarnation
    zone: str
    link: str
    power: float = 1.0
    remote_factor: float = REMOTE_FACTOR


class Outside(msgspec.Struct):
    """Hold all that an instance reaches outside itself."""

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


class Instance:
    """Accept jobs for callers and own pools."""

    def __init__(self, identity: Identity, outside: Outside) -> None:
        self.identity = identity
        self.metrics = Metrics()
        self.settings = Settings(0)
        self.owned: dict[PoolName, PoolOwner] = {}
        self.draining = False
        self.requests = 0
        self._store = ReachedStore(outside.store, outside.read_uptime)
        self._outside = outside
        self._clock = outside.clock
        self.read_uptime = outside.read_uptime
        self.peers = PeerRequests(
            identity.entry,
            identity.zone,
            outside.links,
            outside.clock,
            outside.random,
            outside.read_uptime,
        )
        self.peers.local_state = self.get_local_state
        self._advisers = Advisers(
            identity.entry, self.peers.list_live, self.peers.is_near, outside.read_uptime
        )
        self._advice = AdviceRequests(
            identity.entry,
            AdviceDesk(outside.adviser, outside.read_uptime, self.metrics),
            self._advisers,
            self.peers,
            outside.read_uptime,
            self.metrics,
        )
        self.intake = Intake(
            self._store, self.peers, outside.clock, outside.read_unix_ms, self.metrics
        )
        self._claimer = Claimer(
            self._store, identity.entry, identity.incarnation, outside.read_uptime
        )
        self._watches = [
            TableWatch(
                self._store, outside.clock, OPERATOR, self._use_operator_rows, OPERATOR_WAIT_MS
            ),
            TableWatch(self._store, outside.clock, ENTRIES, self._use_entries, ENTRIES_WAIT_MS),
        ]
        self._claiming: set[PoolName] = set()
        self._claimed_at: dict[PoolName, float] = {}
        self._running = False

    # Life

    def start(self) -> None:
        """Begin all work."""
        self._running = True
        self._outside.links.set_receiver(self.receive)
        self._outside.links.set_watcher(self._note_link)
        for watch in self._watches:
            watch.start()
        for step in (self._beat, self._look_after_pools, self._write_record):
            launch(self._repeat(step))

    async def _repeat(self, step: Callable[[], Any]) -> None:
        while self._running:
            try:
                await step()
            except LavenderstallError as error:
                logger.info("step failed", extra={"error": str(error)})
                await sleep(self._clock, RECORD_RETRY_S)
            except Exception:
                logger.exception("step failed")
                await sleep(self._clock, RECORD_RETRY_S)

    async def give_up_pools(self) -> None:
        """Own nothing any more and tell the balancer and peers; callers are still served."""
        self.draining = True
        self._send_beats()
        await gather(
            [
                self._give_up(pool, owner, "shutdown", SHUTDOWN_S)
                for pool, owner in list(self.owned.items())
            ]
        )

    def stop(self) -> None:
        """Stop all periodic work."""
        self._running = False
        for watch in self._watches:
            watch.stop()

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here; other zones serve those of one that is cut off."""
        return not self.draining and self.settings.version > 0 and not self.is_cut_off()

    def choose_retry_s(self, spec: JobSpec, queue: Queue) -> int:
        """Return after how many seconds a caller whose job was not accepted should come back."""
        return choose_retry_s(
            get_objective_s(spec, queue), self._store.get_downtime(), cut_off=self.is_cut_off()
        )

    def is_cut_off(self) -> bool:
        """Tell whether neither the store nor instances of other zones are reached."""
        return self._store.is_lost() and self.peers.is_isolated()

    async def _write_record(self) -> None:
        identity = self.identity
        record = EntryRecord(
            identity.entry,
            identity.incarnation,
            identity.zone,
            identity.link,
            self.draining,
            identity.power,
        )
        put = Put(ENTRIES, identity.entry, encode(record))
        await self._store.commit(Transaction("", (), (put,)))
        await sleep(self._clock, RECORD_S)

    # Configuration and peers

    def _use_operator_rows(self, rows: Mapping[str, Row]) -> None:
        others = sorted(rows.keys() - {SETTINGS_KEY})
        if others:
            logger.info("operator rows without a use", extra={"keys": others[:10]})
        row = rows.get(SETTINGS_KEY)
        if row is None:
            return
        try:
            settings = self._outside.settings.decode(row.value)
        except ValueError as error:
            self.metrics.count("settings_rejected")
            logger.warning("configuration not used", extra={"error": str(error)})
            return
        if settings.version <= self.settings.version:
            return
        logger.info(
            "configuration in force",
            extra={"version": settings.version, "before": self.settings.version},
        )
        self.settings = settings
        for owner in self.owned.values():
            owner.pool.set_settings(settings)
            owner.schedule()

    def _use_entries(self, rows: Mapping[str, Row]) -> None:
        records = {}
        for row in rows.values():
            try:
                record = msgspec.msgpack.decode(row.value, type=EntryRecord)
            except msgspec.MsgspecError as error:
                logger.warning("entry row not used", extra={"key": row.key, "error": str(error)})
                continue
            records[record.entry] = record
        self._outside.links.set_peers({name: record.link for name, record in records.items()})
        for name, record in records.items():
            self.peers.peers.setdefault(name, PeerSight(record.zone)).power = record.power
        for name in self.peers.peers.keys() - records.keys() - {self.identity.entry}:
            del self.peers.peers[name]
        self._advisers.retain({*self.peers.peers, self.identity.entry})

    async def _beat(self) -> None:
        self._send_beats()
        if self.owned and self.peers.is_isolated() and not self._store.is_lost():
            self._yield_pools("cut off from other zones")
        elif self.owned and self.peers.has_stronger(self.identity.power):
            self._yield_pools("a stronger instance owns no pool")
        await sleep(self._clock, BEAT_S)

    def _send_beats(self) -> None:
        now = self.read_uptime()
        lost = self._store.is_lost()
        for name, owner in self.owned.items():
            pending = make_pending(owner.pool.count_pending())
            claim = OwnerHeartbeat(name, owner.pool.term, pending, lost)
            self._outside.links.broadcast(claim)  # type: ignore[arg-type]
            self.peers.note_owner(self.identity.entry, claim)
        for entry in self.peers.list_watched():
            sight = self.peers.peers.get(entry)
            age_ms = int((now - sight.heard_at) * 1000) if sight and sight.heard_at >= 0 else 0
            beat = EntryHeartbeat(
                self.identity.zone, age_ms, self.draining, lost, self.peers.get_terms()
            )
            self.peers.send(entry, beat)

    def _yield_pools(self, reason: str) -> None:
        """Give up pools that other instances serve better."""
        for pool, owner in list(self.owned.items()):
            kept_s = self.read_uptime() - self._claimed_at.get(pool, 0.0)
            if kept_s > TENURE_S and not owner.writer.releasing:
                launch(self._give_up(pool, owner, reason, YIELD_S))

    # Ownership

    async def _look_after_pools(self) -> None:
        for pool in self.settings.pools:
            self._look_after_soon(pool)
        await sleep(self._clock, CLAIM_S)

    def _look_after_soon(self, pool: PoolName) -> None:
        known = pool in self.settings.pools
        if known and pool not in self._claiming and pool not in self.owned and not self.draining:
            self._claiming.add(pool)
            launch(self._look_after(pool))

    async def _look_after(self, pool: PoolName) -> None:
        try:
            if self.peers.is_owner_at_work(pool):
                return
            sight = await self._claimer.look(pool)
            if not self._is_vacant(sight) or not self._may_claim(pool, sight):
                return
            await sleep(self._clock, self._get_rank(pool) * CLAIM_STEP_S)
            if self.peers.is_owner_at_work(pool) or self.draining:
                return
            await self._claim(pool, sight)
        except LavenderstallError as error:
            logger.info("owner not read", extra={"pool": pool, "error": str(error)})
        finally:
            self._claiming.discard(pool)

    def _is_vacant(self, sight: Sight) -> bool:
        """Tell whether a pool has no owner, or one whose process is gone."""
        owner = sight.owner
        return sight.is_vacant() or (owner is not None and self.peers.is_down(owner.entry))

    def _may_claim(self, pool: PoolName, sight: Sight) -> bool:
        """Tell whether this instance may claim.

        One that is cut off lets others go first, and an owner that lost the store with all others
        may renew first once the store is back.
        """
        if self.peers.find_owner(pool) and self._store.get_uptime() < REGAINED_S:
            return False
        if sight.owner is None or not self.peers.is_isolated():
            return True
        return sight.store_ms - sight.owner.renewed_ms > ISOLATED_WAIT_MS

    def _get_rank(self, pool: PoolName) -> int:
        """Return how many instances that may live the pool suits better than this one."""
        powers = self.peers.get_powers()
        powers[self.identity.entry] = self.identity.power
        owned = Counter(sight.entry for sight in self.peers.owners.values())
        pools = sorted(self.settings.pools)
        number = pools.index(pool) if pool in pools else 0
        rank = get_rank(self.identity.entry, powers, owned, number)
        return min(rank, MOST_CLAIM_STEPS)

    async def _claim(self, pool: PoolName, sight: Sight) -> None:
        claim = await self._claimer.claim(pool, sight)
        if claim is None:
            return
        owner = self._make_owner(pool, claim)
        owner.renew()
        try:
            await owner.load()
        except LavenderstallError:
            await owner.release(YIELD_S)
            raise
        if self.draining or not self._running or not owner.running:
            await owner.release(YIELD_S)
            return
        # A newer version may have come while rows were read.
        owner.pool.set_settings(self.settings)
        self.owned[pool] = owner
        self._claimed_at[pool] = self.read_uptime()
        self.metrics.count("pools_claimed")
        owner.start()
        self._send_beats()

    def _make_owner(self, name: PoolName, claim: Claim) -> PoolOwner:
        outside = self._outside
        settle_at = self.read_uptime() + claim.settle_s
        pool = Pool(
            name,
            claim.owner.term,
            settle_at,
            recorded=claim.recorded,
            remote_factor=self.identity.remote_factor,
        )
        pool.set_settings(self.settings)
        writer = OwnerWriter(
            self._store,
            outside.clock,
            pool,
            claim.owner,
            claim.version,
            claim.committed,
            outside.read_uptime,
            self.metrics,
            claim.sent_at,
        )
        owner = PoolOwner(
            pool,
            writer,
            self._store,
            outside.registry,
            outside.workers,
            outside.clock,
            outside.read_uptime,
            outside.read_unix_ms,
            lambda order: self._ask_advice(owner, order),
            self._advisers.count_idle,
            self.peers.is_store_away,
            self.peers.list_silent_zones,
            self.metrics,
        )
        owner.deposed = lambda reason: self._note_deposed(name, owner, reason)
        return owner

    def _note_deposed(self, pool: PoolName, owner: PoolOwner, reason: str) -> None:
        if self.owned.get(pool) is owner:
            del self.owned[pool]
        self.metrics.count("pools_lost")
        logger.warning("pool lost", extra={"pool": pool, "term": owner.pool.term, "reason": reason})

    async def _give_up(self, pool: PoolName, owner: PoolOwner, reason: str, limit_s: float) -> None:
        await owner.release(limit_s)
        self._note_deposed(pool, owner, reason)
        self._outside.links.broadcast(PoolReleased(pool, owner.pool.term))  # type: ignore[arg-type]
        self.peers.forget_owner(pool, owner.pool.term)

    def _ask_advice(self, owner: PoolOwner, order: AskAdvice) -> None:
        launch(self._fetch_advice(owner, order))

    async def _fetch_advice(self, owner: PoolOwner, order: AskAdvice) -> None:
        advice = await self._advice.fetch(order)
        if owner.running:
            owner.note_advice(order, advice)

    # Messages

    def _note_link(self, peer: EntryId, up: bool) -> None:
        """Note that a connection to a peer was made or lost; look after its pools if it is gone."""
        sight = self.peers.peers.get(peer)
        if sight is None:
            return
        sight.down_at = -1.0 if up else self.read_uptime()
        if not up:
            self._clock.callLater(DOWN_S + 0.01, self._check_owner, peer)

    def _check_owner(self, peer: EntryId) -> None:
        if not self._running or not self.peers.is_down(peer):
            return
        for pool, sight in list(self.peers.owners.items()):
            if sight.entry == peer:
                logger.info("owner is gone", extra={"pool": pool, "owner": peer})
                self._look_after_soon(pool)

    def receive(self, sender: EntryId, message: Any) -> None:
        """Handle a message from a peer."""
        sight = self.peers.peers.get(sender)
        if sight is not None:
            sight.heard_at = self.read_uptime()
        self.handle(message, sender)

    @singledispatchmethod
    def handle(self, message: Any, sender: EntryId) -> None:
        """Act on a message."""
        raise TypeError(f"{type(message).__name__} is no message")

    @handle.register
    def _(self, message: OwnerHeartbeat, sender: EntryId) -> None:
        self.peers.note_owner(sender, message)
        self.peers.note_store(sender, lost=message.store_lost)
        self._check_terms({message.pool: message.term})

    @handle.register
    def _(self, message: EntryHeartbeat, sender: EntryId) -> None:
        sight = self.peers.peers.get(sender)
        if sight is None:
            return
        sight.draining = message.draining
        sight.deaf_ms = message.receiver_silent_ms
        self.peers.note_store(sender, lost=message.store_lost)
        self._check_terms(message.terms)
        if (
            message.receiver_silent_ms > LOST_MS
            and self.read_uptime() - sight.redialed_at > REDIAL_S
        ):
            sight.redialed_at = self.read_uptime()
            logger.info(
                "connection replaced", extra={"peer": sender, "age_ms": message.receiver_silent_ms}
            )
            self._outside.links.redial(sender)

    def _check_terms(self, terms: Mapping[PoolName, int]) -> None:
        """Give up the pools of which a later owner is known."""
        for pool, owner in list(self.owned.items()):
            if terms.get(pool, 0) > owner.pool.term:
                owner.depose("a later owner is known")

    @handle.register
    def _(self, message: PoolReleased, sender: EntryId) -> None:
        self.peers.forget_owner(message.pool, message.term)
        self._look_after_soon(message.pool)

    @handle.register
    def _(self, message: JobHint, sender: EntryId) -> None:
        owner = self.owned.get(message.pool)
        if owner is not None:
            owner.take_job(decode_job(message.row))

    @handle.register
    def _(self, message: CancelHint, sender: EntryId) -> None:
        owner = self.owned.get(message.pool)
        if owner is not None:
            owner.take_cancel(message.job)

    @handle.register
    def _(self, message: StateRequest, sender: EntryId) -> None:
        found = self.get_local_state(message.pool, message.job)
        self.peers.send(sender, msgspec.structs.replace(found, request_id=message.request_id))

    @handle.register
    def _(self, message: AdviceRequest, sender: EntryId) -> None:
        launch(self._advice.answer(message, sender))

    @handle.register
    def _(self, message: WriteRequest, sender: EntryId) -> None:
        launch(self._answer_write(message, sender))

    async def _answer_write(self, message: WriteRequest, sender: EntryId) -> None:
        outcome = await self.intake.add_row(
            message.table, message.partition, message.key, message.value
        )
        self.peers.send(sender, WriteAnswer(message.request_id, outcome.value))

    @handle.register(StateAnswer)
    @handle.register(AdviceAnswer)
    @handle.register(WriteAnswer)
    def _(self, message: Any, sender: EntryId) -> None:
        self.peers.note_answer(sender, message)

    def get_local_state(self, pool: PoolName, job: JobId) -> StateAnswer:
        """Return the state of a job of an owned pool."""
        owner = self.owned.get(pool)
        if owner is None:
            return StateAnswer(0, owned=False)
        state = owner.pool.get_state(job)
        return StateAnswer(0, owned=True, state=state.value if state else "")
