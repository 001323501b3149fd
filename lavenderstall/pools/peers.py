"""Other entry instances: who lives, who owns which pool, and requests to them."""

import logging
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any
from zlib import crc32

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock
from lavenderstall.errors import PeerUnavailableError
from lavenderstall.identifiers import EntryId, JobId
from lavenderstall.links import NngLinks
from lavenderstall.pools.effects import AskAdvice
from lavenderstall.pools.messages import (
    AdviceAnswer,
    AdviceRequest,
    CancelHint,
    JobHint,
    Message,
    OwnerHeartbeat,
    StateAnswer,
    StateRequest,
    WriteAnswer,
    WriteRequest,
)
from lavenderstall.pools.records import Presence
from lavenderstall.pools.work import JobState, PoolName

logger = logging.getLogger(__name__)

# An owner or peer that was not heard for this long is not relied on.
SILENCE_S = 0.8
# With no peer of another zone heard for this long, an instance takes itself for cut off.
ISOLATION_S = 0.8
# With no instance of a zone heard for this long, two beats, its workers may be cut off.
ZONE_SILENCE_S = 0.6
# A live process takes a new connection well within this time after one was lost.
DOWN_S = 0.2
# A peer that was heard and then not for this long does not claim pools.
GONE_S = 2.0
# A pool moves to an instance of so many times the power.
STRONGER_FACTOR = 1.5
# Peers beside owners that an instance tells that it lives.
WATCHED_PEERS = 4
STATE_TIMEOUT_S = 0.35
WRITE_TIMEOUT_S = 0.7
# Peers that are asked to add a row, one after the other.
MOST_WRITERS = 2
# Requests that a peer may leave unanswered before its connection is replaced.
MOST_UNANSWERED = 2


class OwnerSight(msgspec.Struct):
    """Hold the owner of a pool as last heard."""

    entry: EntryId
    term: int
    heard_at: float
    pending: dict[str, int]
    store_lost: bool = False


class PeerSight(msgspec.Struct):
    """Hold an entry instance as last heard.

    `deaf_ms` is how long ago the peer last heard this instance, as it has told; `down_at` is when
    the connection to it was lost, and -1 while there is one or none was made yet.
    """

    zone: str
    power: float = 1.0
    heard_at: float = -1.0
    draining: bool = False
    unanswered: int = 0
    redialed_at: float = -10.0
    store_lost: bool = True
    told_at: float = -1.0
    deaf_ms: float = float("inf")
    down_at: float = -1.0


class PeerRequests:
    """Send requests to peers and match their answers."""

    def __init__(
        self,
        entry: EntryId,
        zone: str,
        links: NngLinks,
        clock: Clock,
        random: Random,
        read_uptime: Callable[[], float],
    ) -> None:
        self.entry = entry
        self.zone = zone
        self.links = links
        self.owners: dict[PoolName, OwnerSight] = {}
        self.peers: dict[EntryId, PeerSight] = {}
        self._clock = clock
        self._random = random
        self._read_uptime = read_uptime
        self._numbers = count(1)
        self._waiting: dict[int, tuple[EntryId, Deferred[Any]]] = {}
        self.local_state: Callable[[PoolName, JobId], StateAnswer] = lambda pool, job: StateAnswer(
            0, owned=False
        )

    def note_store(self, peer: EntryId, *, lost: bool) -> None:
        """Note whether a peer reaches the store, as it tells with each beat."""
        sight = self.peers.get(peer)
        if sight is not None:
            sight.store_lost = lost
            sight.told_at = self._read_uptime()

    # Owners

    def note_owner(self, sender: EntryId, beat: OwnerHeartbeat) -> None:
        """Note the owner of a pool unless a later one is known."""
        known = self.owners.get(beat.pool)
        if known is None or known.term <= beat.term:
            if known is None or known.entry != sender:
                logger.info(
                    "owner known",
                    extra={"pool": beat.pool, "owner": sender, "term": beat.term},
                )
            self.owners[beat.pool] = OwnerSight(
                sender, beat.term, self._read_uptime(), beat.pending, beat.store_lost
            )

    def forget_owner(self, pool: PoolName, term: int) -> None:
        """Forget an owner that has given its pool up."""
        known = self.owners.get(pool)
        if known is not None and known.term <= term:
            del self.owners[pool]

    def find_owner(self, pool: PoolName) -> EntryId | None:
        """Return the owner of a pool that was heard lately."""
        known = self.owners.get(pool)
        if known is None or self._read_uptime() - known.heard_at > SILENCE_S:
            return None
        return None if self.is_down(known.entry) else known.entry

    def get_terms(self) -> dict[PoolName, int]:
        """Return the latest term known of each pool."""
        return {pool: sight.term for pool, sight in self.owners.items()}

    def is_owner_at_work(self, pool: PoolName) -> bool:
        """Tell whether the owner of a pool was heard lately and reaches the store."""
        return self.find_owner(pool) is not None and not self.owners[pool].store_lost

    def is_down(self, peer: EntryId) -> bool:
        """Tell whether the connection to a peer was lost and could not be made again."""
        sight = self.peers.get(peer)
        if sight is None or sight.down_at < 0 or sight.heard_at > sight.down_at + DOWN_S:
            return False
        return self._read_uptime() - sight.down_at > DOWN_S

    def list_silent_zones(self) -> frozenset[str]:
        """Return the other zones whose instances were heard before and are all silent now."""
        heard = [s for s in self.peers.values() if s.heard_at >= 0 and s.zone != self.zone]
        limit = self._read_uptime() - ZONE_SILENCE_S
        return frozenset(s.zone for s in heard) - frozenset(
            s.zone for s in heard if s.heard_at > limit
        )

    def get_pending(self, pool: PoolName, queue: str, age_s: float) -> int | None:
        """Return how many jobs of a queue wait, or none if that is not known well enough."""
        known = self.owners.get(pool)
        if known is None or self._read_uptime() - known.heard_at > age_s:
            return None
        return known.pending.get(queue, 0)

    def list_watched(self) -> list[EntryId]:
        """Return the peers that this instance tells that it lives: owners and a few others.

        In a ring of all instances each tells those that follow, so that each hears some.
        """
        ring = sorted({*self.peers, self.entry}, key=lambda entry: (crc32(entry.encode()), entry))
        own = ring.index(self.entry)
        others = [*ring[own + 1 :], *ring[:own]][:WATCHED_PEERS]
        owners = {sight.entry for sight in self.owners.values()} - {self.entry}
        return [*owners, *(peer for peer in others if peer not in owners)]

    def is_isolated(self) -> bool:
        """Tell whether no peer of another zone has been heard lately.

        With fewer than three zones, neither side of a cut can tell which one is cut off.
        """
        far = [sight for sight in self.peers.values() if sight.zone != self.zone]
        limit = self._read_uptime() - ISOLATION_S
        several = len({sight.zone for sight in far}) > 1
        return several and all(sight.heard_at < limit for sight in far)

    def is_store_away(self) -> bool:
        """Tell whether most instances were heard lately, hear this one, and all miss the store."""
        limit = self._read_uptime() - SILENCE_S
        others = [
            sight for peer, sight in self.peers.items() if peer != self.entry and not sight.draining
        ]
        heard = [s for s in others if s.told_at > limit and s.deaf_ms < SILENCE_S * 1000]
        return 2 * (len(heard) + 1) > len(others) + 1 and all(s.store_lost for s in heard)

    def list_live(self) -> list[EntryId]:
        """Return the peers that were heard lately and are not shutting down."""
        limit = self._read_uptime() - SILENCE_S
        return [
            peer
            for peer, sight in self.peers.items()
            if sight.heard_at > limit and not sight.draining
        ]

    def get_powers(self) -> dict[EntryId, float]:
        """Return the power of the peers that may live, heard or not heard of yet."""
        limit = self._read_uptime() - GONE_S
        return {
            peer: sight.power
            for peer, sight in self.peers.items()
            if peer != self.entry
            and (sight.heard_at < 0 or sight.heard_at > limit)
            and not self.is_down(peer)
        }

    def has_stronger(self, power: float) -> bool:
        """Tell whether an instance of much more power is heard that owns no pool."""
        owners = {sight.entry for sight in self.owners.values()}
        return any(
            self.peers[peer].power > STRONGER_FACTOR * power
            for peer in self.list_live()
            if peer not in owners and not self.peers[peer].store_lost
        )

    def is_near(self, peer: EntryId) -> bool:
        """Tell whether a peer is in the same zone."""
        sight = self.peers.get(peer)
        return peer == self.entry or (sight is not None and sight.zone == self.zone)

    # Hints

    def hint_job(self, pool: PoolName, value: bytes) -> None:
        """Hand a job row to the owner of its pool."""
        self._hint(pool, JobHint(pool, value))

    def hint_cancel(self, pool: PoolName, job: JobId) -> None:
        """Tell the owner of a pool that a job was cancelled."""
        self._hint(pool, CancelHint(pool, job))

    def _hint(self, pool: PoolName, message: Message) -> None:
        owner = self.owners.get(pool)
        if owner is not None:
            self.send(owner.entry, message)

    def send(self, peer: EntryId, message: Any) -> bool:
        """Send a message and tell whether the peer's queue took it."""
        try:
            self.links.send(peer, message)
        except PeerUnavailableError as error:
            logger.info("message dropped", extra={"peer": peer, "error": str(error)})
            return False
        return True

    # Requests

    def _ask(self, peer: EntryId, message: Any, timeout_s: float) -> Deferred[Any]:
        """Send a request; the answer is none if it does not come in time."""
        answer: Deferred[Any] = Deferred()
        self._waiting[message.request_id] = (peer, answer)
        timer = self._clock.callLater(timeout_s, self._give_up, message.request_id)

        def finish(result: Any) -> Any:
            if timer.active():
                timer.cancel()
            return result

        answer.addBoth(finish)
        if not self.send(peer, message):
            self._give_up(message.request_id)
        return answer

    def _give_up(self, number: int) -> None:
        peer, answer = self._waiting.pop(number, (None, None))
        if peer is None or answer is None:
            return
        sight = self.peers.get(peer)
        if sight is not None:
            sight.unanswered += 1
            if sight.unanswered >= MOST_UNANSWERED:
                sight.unanswered = 0
                logger.info("connection replaced", extra={"peer": peer})
                self.links.redial(peer)
        answer.callback(None)

    def note_answer(self, sender: EntryId, message: Any) -> None:
        """Match an answer with its request."""
        sight = self.peers.get(sender)
        if sight is not None:
            sight.unanswered = 0
        _, answer = self._waiting.pop(message.request_id, (None, None))
        if answer is not None:
            answer.callback(message)

    async def ask_state(self, pool: PoolName, job: JobId) -> JobState | None:
        """Return the state of a job as its owner knows it, or none."""
        owner = self.find_owner(pool)
        if owner is None:
            return None
        number = next(self._numbers)
        if owner == self.entry:
            answer: StateAnswer | None = self.local_state(pool, job)
        else:
            answer = await self._ask(owner, StateRequest(number, pool, job), STATE_TIMEOUT_S)
        if answer is None or not answer.owned or not answer.state:
            return None
        return JobState(answer.state)

    def choose_writers(self) -> list[EntryId]:
        """Return live peers that reach the store, at random."""
        limit = self._read_uptime() - SILENCE_S
        live = [
            peer
            for peer, sight in self.peers.items()
            if sight.told_at > limit and not sight.store_lost and not sight.draining
        ]
        return self._random.sample(live, min(MOST_WRITERS, len(live)))

    async def ask_write(
        self, peer: EntryId, table: str, part: str, key: str, value: bytes
    ) -> Presence:
        """Ask a peer to add a row."""
        number = next(self._numbers)
        message = WriteRequest(number, table, part, key, value)
        answer: WriteAnswer | None = await self._ask(peer, message, WRITE_TIMEOUT_S)
        return Presence(answer.outcome) if answer else Presence.UNKNOWN

    async def ask_advice(
        self, peer: EntryId, order: AskAdvice, timeout_s: float
    ) -> AdviceAnswer | None:
        """Ask a peer to call the placement service; returns none if it does not answer."""
        message = AdviceRequest(
            next(self._numbers),
            order.group.job,
            order.group.occurrence,
            order.group.step,
            order.workers,
            order.expected_ms / 1000,
        )
        answer: AdviceAnswer | None = await self._ask(peer, message, timeout_s)
        return answer


def make_pending(counts: Counter[Any]) -> dict[str, int]:
    """Return counts as they are sent to peers."""
    return {str(queue): number for queue, number in counts.items()}
