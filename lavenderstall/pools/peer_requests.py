"""Requests to peers that await their answers."""

import logging
from hashlib import blake2b
from itertools import count
from typing import Any, NamedTuple, TypeVar

from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock
from lavenderstall.identifiers import EntryId, Incarnation

T = TypeVar("T")

logger = logging.getLogger(__name__)

# Numbers have 63 bits, the most that every encoding of integers keeps. The upper ones differ
# between processes, and the lower ones count the requests of one.
PROCESS_BYTES = 5
COUNT_BITS = 63 - 8 * PROCESS_BYTES


class PendingRequest(NamedTuple):
    """A request that a peer has to answer with a message of a certain type."""

    peer: EntryId
    answer_type: type[Any]
    answer: Deferred[Any]


class PeerRequests:
    """Match answers of peers to the requests of this process.

    A peer that was slow may still answer those of an earlier process of the same instance.
    """

    def __init__(self, incarnation: Incarnation, clock: Clock) -> None:
        self._clock = clock
        self._numbers = count(get_first_number(incarnation))
        self._pending: dict[int, PendingRequest] = {}

    def make_number(self) -> int:
        """Return a number that no other request of an instance has, of whichever process."""
        return next(self._numbers)

    def expect(
        self, peer: EntryId, number: int, answer_type: type[T], timeout_s: float
    ) -> Deferred[T | None]:
        """Return the answer to a request that is about to be sent, or none after a timeout."""
        answer: Deferred[T | None] = Deferred()
        self._pending[number] = PendingRequest(peer, answer_type, answer)
        timer = self._clock.callLater(timeout_s, self.abandon, number)

        def finish(result: T | None) -> T | None:
            if timer.active():
                timer.cancel()
            return result

        return answer.addBoth(finish)

    def abandon(self, number: int) -> None:
        """Await the answer to a request no longer."""
        request = self._pending.pop(number, None)
        if request is not None:
            request.answer.callback(None)

    def handle_answer(self, sender: EntryId, message: Any) -> None:
        """Match an answer to its request; one that is late or to another process is dropped."""
        request = self._pending.get(message.request_id)
        if request is None:
            return
        if request.peer != sender or not isinstance(message, request.answer_type):
            logger.warning(
                "answer to another request",
                extra={"peer": sender, "asked": request.peer, "answer": type(message).__name__},
            )
            return
        del self._pending[message.request_id]
        request.answer.callback(message)


def get_first_number(incarnation: Incarnation) -> int:
    """Return the number of the first request of a process."""
    digest = blake2b(incarnation.encode(), digest_size=PROCESS_BYTES).digest()
    return int.from_bytes(digest) << COUNT_BITS
