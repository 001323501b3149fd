"""Supervision of the links to peers: which are silent, in which direction, and when to replace one.

An instance sends on connections that it makes itself, so a peer has to replace those that this one
receives on. Nothing here sends or waits; all times are in seconds of uptime.
"""

from collections import deque
from collections.abc import Collection, Iterable, Iterator
from enum import Enum
from random import Random

import msgspec

from lavenderstall.identifiers import EntryId

# A link is silent if nothing came through for this long, three heartbeats.
SILENCE_TIMEOUT_S = 0.75
# A peer had no chance yet to report a message that was sent more recently.
REPORT_DELAY_S = 0.5
# A silent link is replaced again after this interval. The kernel repeats a connection attempt after
# 1 s, so that a path that works again is found within about a second.
MIN_REPLACEMENT_INTERVAL_S = 2.0
REPLACEMENT_JITTER = 0.1
# After this many replacements the peer is likely gone, and the interval grows up to a maximum.
STEADY_REPLACEMENTS = 10
REPLACEMENT_BACKOFF = 1.25
MAX_REPLACEMENT_INTERVAL_S = 6.0
# A peer that is heard again, but doesn't hear this instance, accepts connections, so that none of
# the intervals above is waited for.
RECOVERY_INTERVAL_S = 0.5
# Peers get heartbeats for this long after their link was replaced or works again.
ATTENTION_S = 1.0
# Interval at which one of the links that carry nothing is probed.
PROBE_INTERVAL_S = 0.5
# After a longer pause between two checks the messages of the pause may not have been read yet.
PAUSE_S = 0.6
# Times of messages are remembered at this resolution, the latest ones only.
SEND_RESOLUTION_S = 0.1
MAX_SEND_TIMES = 32


class Direction(Enum):
    """The direction of a link, as seen from this instance."""

    INCOMING = "incoming"
    OUTGOING = "outgoing"


class LinkChange(msgspec.Struct, frozen=True):
    """A change of a link; `age_s` is the time since something came through."""

    peer: EntryId
    direction: Direction
    age_s: float


class LinkFellSilent(LinkChange, frozen=True):
    """Nothing comes through any more."""


class LinkReplaced(LinkChange, frozen=True):
    """The link is silent and due for replacement now."""


class LinkRestored(LinkChange, frozen=True):
    """Something came through again; `age_s` is the length of the silence."""


class LinkState(msgspec.Struct):
    """Traffic with a peer; times of things that have not happened are none.

    `received_at` and `confirmed_at` are the latest times at which something came through, first the
    time since when the peer is known. `sent_at` holds times of messages that the peer has not
    confirmed; it is asked to if `needs_confirmation`. Heartbeats are expected since
    `expected_since`, an answer since `asked_at`. A link `is_recovering` if the peer is heard again
    and hasn't reported yet whether it hears this instance.
    """

    received_at: float
    confirmed_at: float
    sent_at: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=MAX_SEND_TIMES))
    needs_confirmation: bool = False
    expected_since: float | None = None
    asked_at: float | None = None
    silent_since: dict[Direction, float] = msgspec.field(default_factory=dict)
    unreported: list[LinkChange] = msgspec.field(default_factory=list)
    attended_until: float = 0.0
    is_recovering: bool = False
    replaced_at: float | None = None
    replace_at: float = 0.0
    replacements: int = 0


class LinkSupervisor:
    """Decide from the times of messages which links are silent and which to replace."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._links: dict[EntryId, LinkState] = {}
        self._checked_at = 0.0
        self._resumed_at = 0.0
        self._probed_at = 0.0
        self._probes = 0

    def retain(self, peers: Collection[EntryId], now: float) -> None:
        """Supervise the links to these peers and to no others."""
        self._links = {peer: self._links.get(peer) or LinkState(now, now) for peer in peers}

    # Evidence

    def note_received(self, peer: EntryId, now: float) -> None:
        """Record that a message of a peer has arrived."""
        link = self._links.get(peer)
        if link is None:
            return
        link.received_at = now
        if self._note_restored(peer, link, Direction.INCOMING, now):
            link.is_recovering = True

    def note_sent(self, peers: Iterable[EntryId], now: float) -> None:
        """Record that messages were sent to peers."""
        for link in filter(None, map(self._links.get, peers)):
            if not link.sent_at or now - link.sent_at[-1] >= SEND_RESOLUTION_S:
                link.sent_at.append(now)

    def require_confirmation(self, peer: EntryId) -> None:
        """Require that a peer confirms what was sent to it."""
        link = self._links.get(peer)
        if link is not None:
            link.needs_confirmation = True

    def note_report(self, peer: EntryId, contact_age_s: float, now: float) -> None:
        """Record how long ago a peer has heard this instance, as it reports."""
        link = self._links.get(peer)
        if link is None:
            return
        heard_at = now - contact_age_s
        link.confirmed_at = max(link.confirmed_at, heard_at)
        while link.sent_at and link.sent_at[0] <= heard_at:
            link.sent_at.popleft()
        link.needs_confirmation = link.needs_confirmation and bool(link.sent_at)
        if link.asked_at is not None and link.asked_at <= heard_at:
            link.asked_at = None
        if contact_age_s <= SILENCE_TIMEOUT_S:
            self._note_restored(peer, link, Direction.OUTGOING, now)
            link.is_recovering = False
        elif link.sent_at and now - link.sent_at[0] > REPORT_DELAY_S:
            self._note_silent(peer, link, Direction.OUTGOING, now)
            self._advance_replacement(link)

    # Decisions

    def check(
        self,
        senders: Collection[EntryId],
        recipients: Collection[EntryId],
        probed: Iterable[EntryId],
        now: float,
    ) -> list[LinkChange]:
        """Return what has changed since the last check, with the links to replace now.

        `senders` are the peers that send heartbeats to this instance all the time, and
        `recipients` those that expect them from it. Other peers are asked for an answer if they
        are to confirm something, and those of `probed` in turn.
        """
        if now - self._checked_at > PAUSE_S:
            self._resumed_at = now
        self._checked_at = now
        for peer, link in self._links.items():
            self._expect(link, now, sends=peer in senders, watches=peer in recipients)
        if now - self._probed_at >= PROBE_INTERVAL_S:
            regular = {*senders, *recipients}
            self._probe_next([peer for peer in probed if peer not in regular], now)
        return [change for peer in self._links for change in self._check_link(peer, now)]

    def list_attended(self, now: float) -> list[EntryId]:
        """Return the peers that need heartbeats because of the state of their link."""
        return [
            peer
            for peer, link in self._links.items()
            if link.silent_since or link.asked_at is not None or link.attended_until > now
        ]

    def wants_answer(self, peer: EntryId) -> bool:
        """Tell whether a peer is to confirm the next heartbeat."""
        link = self._links.get(peer)
        return link is not None and (link.asked_at is not None or bool(link.silent_since))

    def get_contact_age_s(self, peer: EntryId, now: float) -> float:
        """Return the time since something came from a peer, or since it is known."""
        link = self._links.get(peer)
        return 0.0 if link is None else now - link.received_at

    def count_silent(self, direction: Direction) -> int:
        """Return the number of links that are silent in a direction."""
        return sum(direction in link.silent_since for link in self._links.values())

    def get_longest_silence_s(self, now: float) -> float:
        """Return the age of the longest silence, or 0."""
        starts = [start for link in self._links.values() for start in link.silent_since.values()]
        return now - min(starts, default=now)

    def _expect(self, link: LinkState, now: float, *, sends: bool, watches: bool) -> None:
        if not sends:
            link.expected_since = None
        elif link.expected_since is None:
            link.expected_since = now
        if link.needs_confirmation and not watches and link.asked_at is None:
            link.asked_at = now

    def _probe_next(self, idle: list[EntryId], now: float) -> None:
        """Ask the next peer in turn of those whose links carry nothing."""
        self._probed_at = now
        self._probes += 1
        link = self._links.get(idle[self._probes % len(idle)]) if idle else None
        if link is not None and link.asked_at is None and not link.silent_since:
            link.asked_at = now

    def _check_link(self, peer: EntryId, now: float) -> Iterator[LinkChange]:
        link = self._links[peer]
        if self._resumed_at < now - SILENCE_TIMEOUT_S:
            self._note_overdue(peer, link, now)
        changes, link.unreported = link.unreported, []
        yield from changes
        if link.silent_since and now >= link.replace_at:
            yield self._replace(peer, link, now)

    def _note_overdue(self, peer: EntryId, link: LinkState, now: float) -> None:
        """Note the silence of a link on which heartbeats or an answer are overdue."""
        limit = now - SILENCE_TIMEOUT_S
        expected = link.expected_since
        if expected is not None and max(link.received_at, expected) < limit:
            self._note_silent(peer, link, Direction.INCOMING, now)
        if link.asked_at is not None and link.asked_at < limit:
            self._note_silent(peer, link, Direction.OUTGOING, now)
            if link.received_at < link.asked_at:
                self._note_silent(peer, link, Direction.INCOMING, now)

    def _replace(self, peer: EntryId, link: LinkState, now: float) -> LinkReplaced:
        link.replace_at = now + self._choose_interval_s(link.replacements)
        link.replaced_at = now
        link.replacements += 1
        link.attended_until = now + ATTENTION_S
        # What was sent on the replaced connection is lost.
        link.sent_at.clear()
        direction, since = min(link.silent_since.items(), key=lambda item: item[1])
        return LinkReplaced(peer, direction, now - since)

    def _advance_replacement(self, link: LinkState) -> None:
        """Replace the link to a peer that is heard again, but doesn't hear this instance, soon."""
        if link.is_recovering and link.replaced_at is not None:
            link.replace_at = min(link.replace_at, link.replaced_at + RECOVERY_INTERVAL_S)
        link.is_recovering = False

    def _choose_interval_s(self, replacements: int) -> float:
        growth = REPLACEMENT_BACKOFF ** max(0, replacements - STEADY_REPLACEMENTS)
        interval_s = min(MIN_REPLACEMENT_INTERVAL_S * growth, MAX_REPLACEMENT_INTERVAL_S)
        return interval_s * (1 + REPLACEMENT_JITTER * self._random.random())

    def _note_silent(
        self, peer: EntryId, link: LinkState, direction: Direction, now: float
    ) -> None:
        if direction in link.silent_since:
            return
        incoming = direction is Direction.INCOMING
        since = link.received_at if incoming else link.confirmed_at
        link.silent_since[direction] = since
        link.unreported.append(LinkFellSilent(peer, direction, now - since))

    def _note_restored(
        self, peer: EntryId, link: LinkState, direction: Direction, now: float
    ) -> bool:
        since = link.silent_since.pop(direction, None)
        if since is None:
            return False
        link.attended_until = now + ATTENTION_S
        link.unreported.append(LinkRestored(peer, direction, now - since))
        if not link.silent_since:
            link.replacements = 0
        return True
