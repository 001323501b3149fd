"""Links between entry instances of one process, with cuts."""

from collections.abc import Collection, Mapping

from lavenderstall.clocks import Clock
from lavenderstall.errors import PeerUnavailableError
from lavenderstall.identifiers import EntryId
from lavenderstall.links import Receiver
from lavenderstall.messages import Message


class LocalLinks:
    """Deliver messages between entry instances of one process, with cuts for tests."""

    def __init__(self, clock: Clock, hub: "LocalHub", entry: EntryId) -> None:
        self._clock = clock
        self._hub = hub
        self._entry = entry
        self.receiver: Receiver = lambda sender, message: None

    def set_receiver(self, receiver: Receiver) -> None:
        """Deliver messages to a function."""
        self.receiver = receiver

    def set_peers(self, addresses: Mapping[EntryId, str]) -> None:
        """Accept any addresses; the hub knows its members."""

    def send(self, peer: EntryId, message: Message) -> None:
        """Queue a message, or raise `PeerUnavailableError` when the peer takes no more."""
        if peer not in self._hub.members:
            raise PeerUnavailableError("the peer is not known", step="send", peer=peer)
        self._hub.deliver(self._clock, self._entry, peer, message)

    def broadcast(self, message: Message, peers: Collection[EntryId] | None = None) -> None:
        """Queue a hint for every peer that takes it, or for some peers."""
        for peer in list(self._hub.members):
            if peer != self._entry and (peers is None or peer in peers):
                self._hub.deliver(self._clock, self._entry, peer, message)


class LocalHub:
    """Connect `LocalLinks`; pairs in `cuts` lose their messages."""

    def __init__(self, delay_seconds: float = 0.0015) -> None:
        self.members: dict[EntryId, LocalLinks] = {}
        self.cuts: set[frozenset[EntryId]] = set()
        self._delay = delay_seconds

    def join(self, clock: Clock, entry: EntryId) -> LocalLinks:
        """Return the links of a new member."""
        links = LocalLinks(clock, self, entry)
        self.members[entry] = links
        return links

    def deliver(self, clock: Clock, sender: EntryId, peer: EntryId, message: Message) -> None:
        """Deliver a message after the delay unless the pair is cut by then."""
        delay = 0.0 if sender == peer else self._delay
        clock.callLater(delay, self._arrive, sender, peer, message)

    def _arrive(self, sender: EntryId, peer: EntryId, message: Message) -> None:
        if frozenset((sender, peer)) not in self.cuts and peer in self.members:
            self.members[peer].receiver(sender, message)
