"""Graceful shutdown of an entry instance: requests end, slices are released, in a bounded time."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.defer import DeferredList

from lavenderstall.clocks import sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import SliceName
from lavenderstall.messages import Handover

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

logger = logging.getLogger(__name__)

DRAIN_SECONDS = 15.0
FLUSH_SECONDS = 3.0
POLL_SECONDS = 0.05
# Time in which the last answers leave the buffers of their connections.
LINGER_SECONDS = 0.1


async def shut_down(entry: "Entry") -> None:
    """Finish requests in flight, hand over the slices and stop."""
    entry.begin_drain()
    await _wait_for(entry, lambda: entry.requests == 0 and entry.router.in_flight == 0)
    for server in entry.slices.values():
        server.calls.draining = True
    await _wait_for(entry, lambda: _is_idle(entry))
    await _flush(entry)
    for name in list(entry.slices):
        await _release(entry, name)
    try:
        await entry.ownership.leave()
    except LavenderstallError as error:
        logger.warning("liveness row stays: %s", error)
    entry.stop()


async def finish_requests(entry: "Entry") -> None:
    """Wait for the answers to requests that came during the shutdown."""
    await _wait_for(entry, lambda: entry.requests == 0, FLUSH_SECONDS)
    await sleep(entry.clock, LINGER_SECONDS)


async def _wait_for(
    entry: "Entry", is_done: Callable[[], bool], seconds: float = DRAIN_SECONDS
) -> None:
    limit = entry.clock.seconds() + seconds
    while not is_done() and entry.clock.seconds() < limit:
        await sleep(entry.clock, POLL_SECONDS)


def _is_idle(entry: "Entry") -> bool:
    return all(server.calls.in_flight == 0 for server in entry.slices.values())


async def _flush(entry: "Entry") -> None:
    for server in entry.slices.values():
        await DeferredList(server.book.flush(), consumeErrors=True)
    flushing = entry.commits.flush()
    flushing.addTimeout(FLUSH_SECONDS, cast("Any", entry.clock))
    await DeferredList([flushing], consumeErrors=True)


async def _release(entry: "Entry", name: SliceName) -> None:
    tenure = entry.slices[name].tenure
    try:
        await entry.ownership.release(name)
    except LavenderstallError as error:
        logger.warning("slice %s is left to its takeover: %s", name, error)
        return
    entry.links.broadcast(Handover(name, tenure.epoch))
