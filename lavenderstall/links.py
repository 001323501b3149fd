"""Links between entry instances: batched messages with bounded queues."""

import logging
from collections import deque
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Any, Protocol, get_args, get_type_hints

import msgspec

from lavenderstall.decoding import UnreadableError, decode_msgpack
from lavenderstall.errors import PeerUnavailableError
from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.messages import HINTS, Envelope, Message

logger = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 1000
MAX_BATCH_MESSAGES = 64
# Messages of one reactor iteration share an envelope; a longer delay would slow every call.
FLUSH_SECONDS = 0.0
RETRY_SECONDS = 0.02
SOCKET_BUFFER_MESSAGES = 64
MAX_MESSAGE_BYTES = 32 * 1024 * 1024

Receiver = Callable[[EntryId, Message], None]
ConnectionListener = Callable[[EntryId, bool], None]


class Links(Protocol):
    """Send messages to peers; delivery is not confirmed."""

    def send(self, peer: EntryId, message: Message) -> None:
        """Queue a message, or raise `PeerUnavailableError` if the queue is full."""

    def broadcast(self, message: Message, peers: Collection[EntryId] | None = None) -> None:
        """Queue a hint for all or some peers, skipping those whose queue is full."""

    def set_peers(self, addresses: Mapping[EntryId, str]) -> None:
        """Open links to new peers and close those to peers that left."""

    def set_receiver(self, receiver: Receiver) -> None:
        """Deliver messages to a function."""


class Outbox:
    """Bounded queue of messages to one peer, which drops the oldest hints when full."""

    def __init__(
        self, peer: EntryId, limit: int = MAX_QUEUED_MESSAGES, hints: tuple[type, ...] = HINTS
    ) -> None:
        self.peer = peer
        self._limit = limit
        self._hints = hints
        self._messages: deque[Message] = deque()

    def __len__(self) -> int:
        return len(self._messages)

    def push(self, message: Message) -> None:
        """Add a message."""
        if len(self._messages) >= self._limit and not self._drop_hint():
            raise PeerUnavailableError(
                f"{self._limit} messages are queued", step="send", peer=self.peer
            )
        self._messages.append(message)

    def pop_batch(self, count: int) -> list[Message]:
        """Remove and return the oldest messages."""
        return [self._messages.popleft() for _ in range(min(count, len(self._messages)))]

    def requeue(self, messages: list[Message]) -> None:
        """Put unsent messages back at the front."""
        self._messages.extendleft(reversed(messages))

    def _drop_hint(self) -> bool:
        for index, message in enumerate(self._messages):
            if isinstance(message, self._hints):
                del self._messages[index]
                return True
        return False


def make_raw_envelope(envelope: type) -> type[msgspec.Struct]:
    """Return the type of an envelope whose messages are kept as bytes."""
    fields = [("sender", EntryId), ("incarnation", Incarnation), ("messages", list[msgspec.Raw])]
    array_like = envelope.__struct_config__.array_like  # type: ignore[attr-defined]
    return msgspec.defstruct("RawEnvelope", fields, array_like=array_like)


class NngLinks:
    """Send envelopes over pynng PUSH and PULL sockets, with one dialer per peer.

    `envelope` is the envelope type; `hints` are the message types that may be dropped.
    """

    def __init__(
        self,
        reactor: Any,
        entry: EntryId,
        incarnation: Incarnation,
        listen: str,
        envelope: type = Envelope,
        hints: tuple[type, ...] = HINTS,
    ) -> None:
        # Imported here so that tests of other modules need no sockets.
        import pynng  # noqa: PLC0415  (import on first use)

        self._pynng = pynng
        self._reactor = reactor
        self._entry = entry
        self._incarnation = incarnation
        self._receiver: Receiver = lambda sender, message: None
        self._connection_listener: ConnectionListener = lambda peer, up: None
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope = envelope
        self._hints = hints
        # Both are known only at run time.
        (message,) = get_args(get_type_hints(envelope)["messages"])
        self._message: Any = message
        self._raw_envelope: Any = make_raw_envelope(envelope)
        self._dialers: dict[EntryId, tuple[str, Any]] = {}
        self._outboxes: dict[EntryId, Outbox] = {}
        # Peers and the addresses that no connection can be made to.
        self._unreachable: dict[EntryId, str] = {}
        self._flush_call: Any = None
        self._socket = pynng.Pull0(listen=listen, recv_max_size=MAX_MESSAGE_BYTES)
        self._reader = _Reader(self._socket.recv_fd, self._receive)
        reactor.addReader(self._reader)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.messages_received = 0
        self.messages_discarded = 0

    def set_receiver(self, receiver: Receiver) -> None:
        """Deliver messages to a function."""
        self._receiver = receiver

    def set_connection_listener(self, listener: ConnectionListener) -> None:
        """Call a function whenever the connection to a peer is made or lost."""
        self._connection_listener = listener

    def set_peers(self, addresses: Mapping[EntryId, str]) -> None:
        """Open links to new peers and close those to peers that left."""
        wanted = {peer: url for peer, url in addresses.items() if peer != self._entry}
        self._unreachable = {p: url for p, url in self._unreachable.items() if p in wanted}
        for peer in [p for p, (url, _) in self._dialers.items() if wanted.get(p) != url]:
            _, dialer = self._dialers.pop(peer)
            self._outboxes.pop(peer, None)
            dialer.close()
        for peer in wanted.keys() - self._dialers.keys():
            if self._unreachable.get(peer) != wanted[peer]:
                self._open(peer, wanted[peer])

    def _open(self, peer: EntryId, url: str) -> None:
        """Open a link, unless no connection can be made to its address."""
        try:
            self._dialers[peer] = (url, self._dial(peer, url))
        except (self._pynng.exceptions.NNGException, ValueError) as error:
            logger.warning("no link to %s at %.200r: %s", peer, url, error)
            self._unreachable[peer] = url
            return
        self._outboxes[peer] = Outbox(peer, hints=self._hints)

    def _dial(self, peer: EntryId, url: str) -> Any:
        dialer = self._pynng.Push0(send_buffer_size=SOCKET_BUFFER_MESSAGES)
        dialer.reconnect_time_min = 50
        dialer.reconnect_time_max = 1000
        # pynng calls these from its own thread.
        dialer.add_post_pipe_connect_cb(
            lambda pipe: self._schedule_connection_report(peer, dialer, up=True)
        )
        dialer.add_post_pipe_remove_cb(
            lambda pipe: self._schedule_connection_report(peer, dialer, up=False)
        )
        try:
            dialer.dial(url, block=False)
        except (self._pynng.exceptions.NNGException, ValueError):
            dialer.close()
            raise
        return dialer

    def _schedule_connection_report(self, peer: EntryId, dialer: Any, *, up: bool) -> None:
        self._reactor.callFromThread(self._report_connection, peer, dialer, up)

    def _report_connection(self, peer: EntryId, dialer: Any, up: bool) -> None:
        if peer in self._dialers and self._dialers[peer][1] is dialer:
            self._connection_listener(peer, up)

    def redial(self, peer: EntryId) -> None:
        """Replace the connection to a peer, which may be dead without having been reset."""
        if peer in self._dialers:
            url, dialer = self._dialers[peer]
            dialer.close()
            self._dialers[peer] = (url, self._dial(peer, url))

    def send(self, peer: EntryId, message: Message) -> None:
        """Queue a message, or raise `PeerUnavailableError`."""
        if peer == self._entry:
            self._reactor.callLater(0, self._receiver, peer, message)
            return
        outbox = self._outboxes.get(peer)
        if outbox is None:
            raise PeerUnavailableError("the peer is not known", step="send", peer=peer)
        outbox.push(message)
        self._schedule()

    def broadcast(self, message: Message, peers: Collection[EntryId] | None = None) -> None:
        """Queue a hint for all or some peers, skipping those whose queue is full."""
        for peer, outbox in self._outboxes.items():
            if peers is not None and peer not in peers:
                continue
            try:
                outbox.push(message)
            except PeerUnavailableError as error:
                logger.debug("hint dropped: %s", error)
        self._schedule()

    def close(self) -> None:
        """Send what is queued and close all sockets."""
        self._flush()
        self._reactor.removeReader(self._reader)
        self._socket.close()
        for _, dialer in self._dialers.values():
            dialer.close()

    def _schedule(self) -> None:
        if self._flush_call is None:
            self._flush_call = self._reactor.callLater(FLUSH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flush_call = None
        for peer, outbox in self._outboxes.items():
            while outbox and self._send_batch(peer, outbox):
                pass
        if any(self._outboxes.values()):
            self._flush_call = self._reactor.callLater(RETRY_SECONDS, self._flush)

    def _send_batch(self, peer: EntryId, outbox: Outbox) -> bool:
        batch = outbox.pop_batch(MAX_BATCH_MESSAGES)
        data = self._encoder.encode(self._envelope(self._entry, self._incarnation, batch))
        try:
            self._dialers[peer][1].send(data, block=False)
        except self._pynng.exceptions.NNGException:
            # The socket's buffer is full or the peer is not connected; retry the batch later.
            outbox.requeue(batch)
            return False
        self.bytes_sent += len(data)
        self.messages_sent += len(batch)
        return True

    def _receive(self) -> None:
        while True:
            try:
                data = self._socket.recv(block=False)
            except self._pynng.exceptions.NNGException:
                return
            self.bytes_received += len(data)
            try:
                sender, messages = self._decode(data)
            except UnreadableError as error:
                self.messages_discarded += 1
                logger.warning("envelope discarded: %s", error)
                continue
            self.messages_received += len(messages)
            for message in messages:
                self._deliver(sender, message)

    def _decode(self, data: bytes) -> tuple[EntryId, list[Any]]:
        """Return the sender and the messages that can be read, or raise `UnreadableError`."""
        try:
            envelope: Any = decode_msgpack(data, self._envelope)
            return envelope.sender, envelope.messages
        except UnreadableError:
            raw: Any = decode_msgpack(data, self._raw_envelope)
        return raw.sender, [*self._decode_each(raw.sender, raw.messages)]

    def _decode_each(self, sender: EntryId, messages: list[msgspec.Raw]) -> Iterator[Any]:
        for message in messages:
            try:
                yield decode_msgpack(bytes(message), self._message)
            except UnreadableError as error:
                self.messages_discarded += 1
                logger.warning("message from %s discarded: %s", sender, error)

    def _deliver(self, sender: EntryId, message: Message) -> None:
        try:
            self._receiver(sender, message)
        except Exception:
            # An error in one message must not block the following ones.
            logger.exception("handling a message from %s failed", sender)


class _Reader:
    """Reactor reader for a socket's file descriptor."""

    def __init__(self, descriptor: int, read: Callable[[], None]) -> None:
        self._descriptor = descriptor
        self._read = read

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    def doRead(self) -> None:  # noqa: N802  (name set by IReadDescriptor)
        """Read all available data."""
        self._read()

    def connectionLost(self, reason: object) -> None:  # noqa: N802  (IReadDescriptor)
        """Ignore the loss, as the socket reconnects by itself."""

    def logPrefix(self) -> str:  # noqa: N802  (IReadDescriptor)
        """Return the name used in logs."""
        return "links"
