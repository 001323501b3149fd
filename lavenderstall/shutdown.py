"""Graceful shutdown of an entry instance: requests end, slices are released, in a bounded time."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.defer import Deferred, DeferredList

from lavenderstall.clocks import sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import SliceName
from lavenderstall.messages import Handover

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

logger = logging.getLogger(__name__)

# The steps of a shutdown, which takes 20 s at most in all.
DRAIN_SECONDS = 13.0
FLUSH_SECONDS = 3.0
RELEASE_SECONDS = 2.0
LEAVE_GRACE_S = 1.0
ANSWER_SECONDS = 0.5
# Time in which the last answers leave the buffers of their connections.
LINGER_SECONDS = 0.1
POLL_SECONDS = 0.05


async def shut_down(entry: "Entry") -> None:
    """Finish requests in flight, hand over the slices and stop."""
    entry.begin_drain()
    limit = entry.clock.seconds() + DRAIN_SECONDS
    await _wait_until(entry, lambda: _is_answered(entry), limit)
    for server in entry.slices.values():
        server.calls.draining = True
    await _wait_until(entry, lambda: _is_idle(entry), limit)
    ends = [flush for server in entry.slices.values() for flush in server.work.flush()]
    await _finish(entry, [*ends, entry.commits.flush()], FLUSH_SECONDS)
    releases = [Deferred.fromCoroutine(_release(entry, name)) for name in list(entry.slices)]
    await _finish(entry, releases, RELEASE_SECONDS)
    await _finish(entry, [Deferred.fromCoroutine(_leave(entry))], LEAVE_GRACE_S)
    entry.stop()


async def finish_requests(entry: "Entry") -> None:
    """Wait for the answers to requests that came during the shutdown."""
    limit = entry.clock.seconds() + ANSWER_SECONDS
    await _wait_until(entry, lambda: entry.requests == 0, limit)
    await sleep(entry.clock, LINGER_SECONDS)


async def _wait_until(entry: "Entry", is_done: Callable[[], bool], limit: float) -> None:
    while not is_done() and entry.clock.seconds() < limit:
        await sleep(entry.clock, POLL_SECONDS)


async def _finish(entry: "Entry", steps: "list[Deferred[None]]", seconds: float) -> None:
    """Wait for steps of the shutdown, but not longer than their share of its time."""
    done = DeferredList(steps, consumeErrors=True)
    done.addTimeout(seconds, cast("Any", entry.clock))
    await DeferredList([done], consumeErrors=True)


def _is_answered(entry: "Entry") -> bool:
    return entry.requests + entry.router.in_flight + entry.jobs.in_flight == 0


def _is_idle(entry: "Entry") -> bool:
    return all(server.calls.in_flight == 0 for server in entry.slices.values())


async def _leave(entry: "Entry") -> None:
    try:
        await entry.ownership.deregister()
    except LavenderstallError as error:
        logger.warning("liveness row stays: %s", error)


async def _release(entry: "Entry", name: SliceName) -> None:
    tenure = entry.slices[name].tenure
    try:
        await entry.ownership.release(name)
    except LavenderstallError as error:
        logger.warning("slice %s is left to its takeover: %s", name, error)
        return
    entry.links.broadcast(Handover(name, tenure.epoch))
