"""Tests of the bounded queue of messages for one peer."""

import unittest

import msgspec
import pynng
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from lavenderstall.errors import Outcome, PeerUnavailableError
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Incarnation,
    JobId,
    SliceName,
    Version,
    ZoneName,
)
from lavenderstall.links import NngLinks, Outbox
from lavenderstall.messages import CallAnswer, Envelope, Heartbeat, Message, WorkAssigned

PEER = EntryId("peer")
HINTS = st.sampled_from(
    [
        Heartbeat(EntryId("e"), Incarnation("i"), ZoneName("z"), Version(1)),
        WorkAssigned(SliceName("z/0"), JobId("j")),
    ]
)
ANSWERS = st.integers(0, 999).map(
    lambda number: CallAnswer(AttemptId(str(number)), Outcome.DONE, body=b"x")
)


SOUND = [
    Heartbeat(EntryId(f"e{number}"), Incarnation("i"), ZoneName("z"), Version(number))
    for number in range(3)
]
DEEP = b"\x91" * 5_000 + b"\x90"


class FakeReactor(Clock):
    """A clock that nothing is read from."""

    def addReader(self, reader) -> None:
        pass

    def removeReader(self, reader) -> None:
        pass

    def callFromThread(self, function, *arguments) -> None:
        pass


class FakeSocket:
    """Hold envelopes that have arrived."""

    def __init__(self, envelopes: list[bytes]) -> None:
        self._envelopes = envelopes

    def recv(self, block: bool) -> bytes:
        if not self._envelopes:
            raise pynng.exceptions.TryAgain("nothing left", 0)
        return self._envelopes.pop(0)


class OddMessageTest(unittest.TestCase):
    """Envelopes and addresses that peers or another writer left."""

    def setUp(self) -> None:
        self.links = NngLinks(
            FakeReactor(), EntryId("me"), Incarnation("1"), f"inproc://{self.id()}"
        )
        self.addCleanup(self.links.close)
        self.received: list[Message] = []
        self.links.set_receiver(lambda sender, message: self.received.append(message))

    def receive(self, *envelopes: bytes) -> list[Message]:
        """Return the messages that are delivered from envelopes."""
        real, self.links._socket = self.links._socket, FakeSocket(list(envelopes))
        try:
            self.links._receive()
        finally:
            self.links._socket = real
        received, self.received = self.received, []
        return received

    def test_odd_message_costs_no_other(self) -> None:
        """Fails if the messages beside one that can't be read are lost."""
        whole = msgspec.msgpack.encode(Envelope(EntryId("e"), Incarnation("i"), SOUND))
        encoded = [msgspec.msgpack.encode(message) for message in SOUND]
        for odd in (
            msgspec.msgpack.encode(None),
            msgspec.msgpack.encode({"type": "nothing"}),
            msgspec.msgpack.encode({"type": "heartbeat"}),
            msgspec.msgpack.encode({"type": "heartbeat", "entry": 1}),
            msgspec.msgpack.encode([]),
        ):
            with self.subTest(odd=odd), self.assertLogs("lavenderstall.links") as logs:
                before = self.links.messages_discarded
                self.assertEqual(self.receive(whole.replace(encoded[1], odd)), SOUND[::2])
                self.assertEqual(self.links.messages_discarded - before, 1)
                self.assertIn("message from e", logs.output[0])

    def test_odd_envelope_does_not_deafen(self) -> None:
        """Fails if an envelope that can't be read ends the reading of the socket."""
        whole = msgspec.msgpack.encode(Envelope(EntryId("e"), Incarnation("i"), SOUND))
        with_field = msgspec.to_builtins(SOUND[1]) | {"odd": "@"}
        deep_field = msgspec.msgpack.encode(with_field).replace(b"\xa1@", DEEP)
        deep = whole.replace(msgspec.msgpack.encode(SOUND[1]), deep_field)
        for odd in (deep, DEEP, whole[:-1], b"", b"\xc1", msgspec.msgpack.encode({"sender": "e"})):
            with self.subTest(odd=odd[:9]), self.assertLogs("lavenderstall.links"):
                self.assertEqual(self.receive(odd, whole), SOUND)

    def test_odd_address_costs_no_other_link(self) -> None:
        """Fails if an address that can't be dialled keeps links to other peers from opening."""
        sound = {EntryId(f"s{number}"): "inproc://nobody" for number in range(9)}
        for url in ("", "nonsense", "tcp://127.0.0.1", "tcp://a\x00b:1", "http://127.0.0.1:1"):
            with self.subTest(url=url):
                addresses = {EntryId("odd"): url} | sound
                with self.assertLogs("lavenderstall.links") as logs:
                    for _ in range(3):
                        self.links.set_peers(addresses)
                self.assertEqual(len(logs.output), 1)
                self.assertEqual(self.links._dialers.keys(), sound.keys())
                with self.assertRaises(PeerUnavailableError):
                    self.links.send(EntryId("odd"), SOUND[0])
                self.links.set_peers(addresses | {EntryId("odd"): "inproc://nobody"})
                self.assertEqual(self.links._dialers.keys(), addresses.keys())
                self.links.set_peers({})


class OutboxTest(unittest.TestCase):
    """Guards against an unbounded queue for a slow peer, and against lost answers."""

    @given(st.lists(st.one_of(HINTS, ANSWERS), max_size=40), st.integers(1, 8))
    def test_only_hints_are_dropped(self, messages: list[Message], limit: int) -> None:
        outbox = Outbox(PEER, limit)
        accepted = []
        for message in messages:
            try:
                outbox.push(message)
            except PeerUnavailableError:
                # Only answers are queued, so the sender gets an error instead of a silent drop.
                self.assertTrue(all(isinstance(each, CallAnswer) for each in accepted))
                continue
            accepted.append(message)
            if len(accepted) > limit:
                hint = next(each for each in accepted if not isinstance(each, CallAnswer))
                accepted.remove(hint)
            self.assertLessEqual(len(outbox), limit)
        self.assertEqual(outbox.pop_batch(limit + 1), accepted)

    @given(st.lists(ANSWERS, min_size=1, max_size=8), st.integers(1, 8))
    def test_requeued_messages_come_first(self, messages: list[Message], count: int) -> None:
        outbox = Outbox(PEER)
        for message in messages:
            outbox.push(message)
        outbox.requeue(outbox.pop_batch(count))
        self.assertEqual(outbox.pop_batch(len(messages)), messages)
