"""Tests of the bounded queue of messages for one peer."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

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
from lavenderstall.links import Outbox
from lavenderstall.messages import CallAnswer, Heartbeat, Message, WorkAssigned

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
