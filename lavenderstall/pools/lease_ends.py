"""Ends of the leases on silent workers, as durable knowledge for the next owner."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Run
from lavenderstall.pools.workers import Worker, WorkerEntry

if TYPE_CHECKING:
    from lavenderstall.pools.pool import Pool


def list_lease_ends(pool: "Pool", entries: Iterable[WorkerEntry]) -> dict[WorkerKey, float]:
    """Return when all leases end on those of the workers that are silent, in seconds of uptime.

    No lease is extended on a worker that does not answer, so that the next owner need not wait for
    longer. As a worker of which an end is told gets no lease before that is withdrawn, only those
    are told of that have never answered this owner, are leaving or not in the registry any more,
    and none that may execute a start without an answer late.
    """
    workers = (pool.workers[WorkerKey(entry.id, entry.incarnation)] for entry in entries)
    return {worker.key: pool.get_lease_expiry(worker) for worker in workers if _ends(pool, worker)}


def _ends(pool: "Pool", worker: Worker) -> bool:
    """Tell whether the leases on a worker end at a time that is known."""
    if worker.clock_at < 0:
        return pool.takeover.is_overdue() or worker.key in pool.takeover.noted_lease_ends
    leaving = worker.draining or not worker.registered
    if not leaving or worker.unresponsive_since < 0 or pool.is_responsive(worker):
        return False
    return all(map(_is_certain, worker.runs.values()))


def _is_certain(run: Run) -> bool:
    """Tell whether a run was not sent, or has begun."""
    return not run.start_sent or run.confirmed_at >= 0
