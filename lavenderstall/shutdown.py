"""Graceful shutdown of an entry instance within a time limit: drain requests, release slices."""

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

# Time limits of the steps of a shutdown, which takes at most 20 s in total.
DRAIN_SECONDS = 13.0
FLUSH_SECONDS = 3.0
RELEASE_SECONDS = 2.0
LEAVE_SECONDS = 1.0
ANSWER_SECONDS = 0.5
# Delay in which the connections flush the last responses.
LINGER_SECONDS = 0.1
POLL_SECONDS = 0.05


async def shut_down(entry: "Entry") -> None:
    """Drain requests in flight, release the slices and stop."""
    entry.begin_drain()
    deadline = entry.clock.seconds() + DRAIN_SECONDS
    await _wait_until(entry, lambda: _has_no_requests(entry), deadline)
    for server in entry.slices.values():
        server.calls.draining = True
    await _wait_until(entry, lambda: _has_no_calls(entry), deadline)
    flushes = [flush for server in entry.slices.values() for flush in server.work.flush()]
    await _await_steps(entry, [*flushes, entry.commits.flush()], FLUSH_SECONDS)
    releases = [Deferred.fromCoroutine(_release(entry, name)) for name in list(entry.slices)]
    await _await_steps(entry, releases, RELEASE_SECONDS)
    await _await_steps(entry, [Deferred.fromCoroutine(_leave(entry))], LEAVE_SECONDS)
    entry.stop()


async def finish_requests(entry: "Entry") -> None:
    """Wait for the responses to requests that arrived during the shutdown."""
    deadline = entry.clock.seconds() + ANSWER_SECONDS
    await _wait_until(entry, lambda: entry.open_requests == 0, deadline)
    await sleep(entry.clock, LINGER_SECONDS)


async def _wait_until(entry: "Entry", is_done: Callable[[], bool], deadline: float) -> None:
    while not is_done() and entry.clock.seconds() < deadline:
        await sleep(entry.clock, POLL_SECONDS)


async def _await_steps(entry: "Entry", steps: "list[Deferred[None]]", seconds: float) -> None:
    """Wait for steps of the shutdown, up to a time limit in seconds."""
    done = DeferredList(steps, consumeErrors=True)
    done.addTimeout(seconds, cast("Any", entry.clock))
    await DeferredList([done], consumeErrors=True)


def _has_no_requests(entry: "Entry") -> bool:
    return entry.open_requests + entry.router.in_flight + entry.jobs.in_flight == 0


def _has_no_calls(entry: "Entry") -> bool:
    return all(server.calls.in_flight == 0 for server in entry.slices.values())


async def _leave(entry: "Entry") -> None:
    try:
        await entry.ownership.deregister()
    except LavenderstallError as error:
        logger.warning("deleting the liveness row failed: %s", error)


async def _release(entry: "Entry", name: SliceName) -> None:
    tenure = entry.slices[name].tenure
    try:
        await entry.ownership.release(name)
    except LavenderstallError as error:
        logger.warning("releasing slice %s failed, leaving it to a takeover: %s", name, error)
        return
    entry.links.broadcast(Handover(name, tenure.epoch))
