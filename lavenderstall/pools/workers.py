"""State of a worker: its clock, lease, free capacity and runs."""

from enum import Enum

import msgspec

from lavenderstall.pools.fault_detection import EndHistory
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import Run
from lavenderstall.pools.work import PoolName, Task
from lavenderstall.resources import NOTHING, Resources

# Lower bound on the rate of a worker's clock relative to the local one.
MIN_CLOCK_RATE = 0.98
# Longest lease on a run, on the worker's clock.
MAX_LEASE_MS = 6000
# A poll answered this recently shows that a worker's incarnation is the same; a new process takes
# longer to start, and to end a run.
FRESH_POLL_S = 0.05
# A restarted worker may execute a command sent to its earlier incarnation this much later. The
# command's deadline does not prevent it, as the clock of the worker has started again.
MAX_COMMAND_DELAY_S = 13.0
# Age of a clock reading, 1.2 s off by then at the slowest rate, at which an idle worker is polled.
MAX_CLOCK_AGE_S = 60.0
# A worker that has refused a start because of its own state gets none for this long.
MIN_RETRY_S = 1.0
# Time for the worker to notice that a lease has expired and to end the process.
LEASE_EXPIRY_MARGIN_S = 0.15


class WorkerState(Enum):
    """Whether a worker accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(msgspec.Struct, frozen=True):
    """A worker as it reports itself to the registry."""

    id: str
    incarnation: int
    pool: PoolName
    address: str
    zone: str
    state: WorkerState
    capacity: Resources
    kind: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    remaining_ms: float | None = None


class Worker:
    """State of one incarnation of a worker; times are in seconds of uptime.

    Its fencing token exceeds those of commands to earlier incarnations, which it refuses once it
    has answered.
    """

    def __init__(self, entry: WorkerEntry, fencing_token: int) -> None:
        self.entry = entry
        self.fencing_token = fencing_token
        self.key = WorkerKey(entry.id, entry.incarnation)
        self.runs: dict[tuple[Task, int], Run] = {}
        self.used = NOTHING
        # Runs whose allocation is unknown, as their jobs are.
        self.unsized_runs: set[tuple[Task, int]] = set()
        # Free capacity, and the capacity and use that it was calculated from.
        self._free_capacity = entry.capacity
        self._free_capacity_of = (entry.capacity, NOTHING)
        self.accepted_term = False
        self.clock_ms = 0.0
        self.clock_at = -1.0
        self.lease_ms = 0.0
        # Until when runs may last while the clock was not read, as for a restarted worker.
        self.unread_lease_expiry = -1.0
        self.answered_at = -1.0
        self.polled_at = -1.0
        self.applied_seq = 0
        self.committed_seq = 0
        self.backoff_until = 0.0
        # When the last of the faults was noted for which the worker backs off.
        self.backed_off_at = 0.0
        # When it last refused a start because of its own state.
        self.refused_at = -MIN_RETRY_S
        self.registered = True
        self.listed_at = 0.0
        self.backoff_count = 0
        self.end_history = EndHistory()
        self.unresponsive_since = -1.0
        # Whether a connection was refused since the last answer.
        self.unreachable = False
        # When a connection on which an answer was awaited was reset or closed, and when closed.
        self.connected_until = -1.0
        self.closed_at = -1.0
        # Whether the roster row may tell when the leases here end, so that none is extended.
        self.lease_end_noted = False

    @property
    def draining(self) -> bool:
        """Tell whether the worker is about to leave."""
        return self.entry.state is WorkerState.DRAINING

    @property
    def alive_at(self) -> float:
        """Return when the worker's process last existed for certain."""
        return max(self.answered_at, self.connected_until)

    def has_ended(self) -> bool:
        """Tell whether the process has ended: its host closed a connection, and refuses others.

        A connection that is cut on the way is reset or falls silent, but is not closed.
        """
        return self.unreachable and self.closed_at >= max(0.0, self.answered_at)

    def set_clock(self, clock_ms: float, now: float) -> None:
        """Record a reading of the worker's clock that has just arrived.

        At the first reading, earlier owners may have extended leases by `MAX_LEASE_MS`.
        """
        if self.clock_at < 0:
            self.note_lease(clock_ms + MAX_LEASE_MS)
        self.clock_ms = clock_ms
        self.clock_at = now
        self.answered_at = now

    def get_acknowledged_seq(self, now: float) -> int:
        """Return the last end to acknowledge, 0 unless the incarnation is certain.

        A worker that has restarted under the same name numbers its ends from 1 again.
        """
        return self.committed_seq if now - self.polled_at < FRESH_POLL_S else 0

    def estimate_clock(self, now: float) -> float:
        """Estimate the worker's clock in milliseconds from its last reading."""
        return self.clock_ms + max(0.0, now - self.clock_at) * 1000

    def choose_deadline_ms(self, now: float, lease_ms: float, limit: float) -> int:
        """Return the deadline of a lease on the worker's clock, which it reaches before `limit`."""
        passed_s = max(0.0, limit - self.clock_at) * MIN_CLOCK_RATE
        return int(min(self.estimate_clock(now) + lease_ms, self.clock_ms + passed_s * 1000))

    def has_old_clock(self, now: float) -> bool:
        """Tell whether the clock was read so long ago that its estimate is far off."""
        return self.clock_at >= 0 and now - self.clock_at > MAX_CLOCK_AGE_S

    def note_lease(self, deadline_ms: float) -> None:
        """Record a lease that was sent, with its deadline on the worker's clock."""
        self.lease_ms = max(self.lease_ms, deadline_ms)

    def note_possible_starts(self, now: float) -> None:
        """Record that starts sent to an earlier incarnation may be executed here."""
        lease_s = MAX_LEASE_MS / 1000 / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
        self.unread_lease_expiry = now + MAX_COMMAND_DELAY_S + lease_s

    def get_lease_expiry(self) -> float:
        """Return when all leases on the worker have expired at the latest."""
        remaining_ms = max(0.0, self.lease_ms - self.clock_ms)
        return self.clock_at + remaining_ms / 1000 / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S

    def add_run(self, run: Run, allocation: Resources) -> None:
        """Add a run and its allocation."""
        self.runs[run.task, run.number] = run
        self.used = self.used.add(allocation)

    def add_unsized_run(self, run: Run) -> None:
        """Add a run whose allocation is not known."""
        self.add_run(run, NOTHING)
        self.unsized_runs.add((run.task, run.number))

    def size_run(self, run: Run, allocation: Resources) -> None:
        """Add the allocation of a run, which is known now."""
        self.unsized_runs.discard((run.task, run.number))
        self.used = self.used.add(allocation)

    def drop_run(self, task: Task, number: int, allocation: Resources) -> Run | None:
        """Remove a run that has ended and release its allocation."""
        run = self.runs.pop((task, number), None)
        self.unsized_runs.discard((task, number))
        if run is not None:
            self.used = self.used.subtract(allocation)
        return run

    def is_overcommitted(self) -> bool:
        """Tell whether the runs need more than the capacity, as after it has shrunk."""
        return not self.used.fits(self.entry.capacity)

    def get_free_capacity(self) -> Resources:
        """Return the capacity that no run occupies."""
        capacity, used = self._free_capacity_of
        if capacity is not self.entry.capacity or used is not self.used:
            self._free_capacity_of = (self.entry.capacity, self.used)
            self._free_capacity = self.entry.capacity.subtract(self.used)
        return self._free_capacity
