"""Capacity reserved for gangs until all of their tasks fit."""

from operator import itemgetter

import msgspec

from lavenderstall.pools.job import Run
from lavenderstall.pools.placement import Placement
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.waiting_steps import WaitingStep
from lavenderstall.pools.work import Step, StepKey
from lavenderstall.pools.workers import Worker
from lavenderstall.resources import Resources

# Gangs that may reserve capacity at a time.
MAX_RESERVING_GANGS = 2
# Progress since the first report from which the end of a run is extrapolated, in percent.
MIN_ESTIMATE_PERCENT = 10.0
# Assumed time until a run that is being stopped has ended.
STOP_DURATION_S = 0.4
# Limit on the number of tasks of one step that are counted on one worker.
MAX_COUNTED_TASKS = 64
# A gang that doesn't start although its reserved workers have room for this long reserves none for
# a while, which doubles each time.
MAX_UNUSED_S = 2.0
MIN_PAUSE_S = 8.0
MAX_PAUSE_S = 120.0


class UnusedRoom(msgspec.Struct):
    """Since when a gang has left its reserved room unused, and when it may reserve again.

    Times are seconds of uptime; `since` is -1 while the room isn't free yet.
    """

    since: float = -1.0
    paused_until: float = 0.0
    pause_s: float = MIN_PAUSE_S

    def note_room(self, now: float, *, free: bool) -> None:
        """Note whether all reserved room is free; pause if that has lasted for too long."""
        if not free:
            self.since = -1.0
        elif self.since < 0:
            self.since = now
        elif now - self.since >= MAX_UNUSED_S:
            self.since = -1.0
            self.paused_until = now + self.pause_s
            self.pause_s = min(2 * self.pause_s, MAX_PAUSE_S)


class GangReservations:
    """Reserve workers for waiting gangs during one dispatch; times are seconds of uptime."""

    def __init__(self, pool: Pool, placement: Placement) -> None:
        self.pool = pool
        self._placement = placement
        self._reserved_until: dict[str, float] = {}
        self._reserving_gangs = 0
        self._unused: dict[StepKey, UnusedRoom] = {}

    def clear(self) -> None:
        """Drop all reservations."""
        self._reserved_until = {}
        self._reserving_gangs = 0
        self._unused = {
            key: unused for key, unused in self._unused.items() if key in self.pool.startable_steps
        }

    def exist(self) -> bool:
        """Tell whether any worker is reserved."""
        return bool(self._reserved_until)

    def may_start_on(self, step: Step, worker: Worker) -> bool:
        """Tell whether a worker is unreserved, or a task can backfill it in time."""
        until = self._reserved_until.get(worker.key.id)
        if until is None:
            return True
        slowdown = self.pool.slowdowns.estimate(step.image, worker.entry.kind, worker.key.id)
        ends = self.pool.now + step.expected_ms / 1000 * slowdown
        return not step.long_running and not step.gang and ends <= until

    def list_available(self, step: Step, workers: list[Worker]) -> list[Worker]:
        """Return the workers on which a task may start."""
        if not self._reserved_until:
            return workers
        return [worker for worker in workers if self.may_start_on(step, worker)]

    def reserve(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> bool:
        """Reserve the workers on which a waiting gang can start soonest, if there are enough.

        Nothing is reserved for a gang that does not fit on the workers that it may use, nor for
        one that has left its reserved room unused, for whatever reason. Return false if another
        gang of the same needs would not get any workers either.
        """
        step, step_key = waiting_step.step, waiting_step.step_key
        unused = self._unused.setdefault(step_key, UnusedRoom())
        if self._reserving_gangs >= MAX_RESERVING_GANGS:
            return False
        if self.pool.now < unused.paused_until:
            return True
        advised = waiting_step.queue.advising is not None
        advice = self.pool.advice.get(step_key)
        limits = self._placement.get_task_limits(step, waiting_step.state, usable_workers)
        eligible = (
            worker
            for worker in usable_workers
            if step.allocation.fits(worker.entry.capacity)
            and worker.key.id not in self._reserved_until
            and (not advised or (advice and worker.key.id in advice.allowed))
        )
        slot_times = sorted(
            (slot_time, worker.key.id)
            for worker in eligible
            for slot_time in self._list_slot_times(step, worker)[: limits[worker.key.id]]
        )
        if len(slot_times) < step.count:
            return False
        chosen = slot_times[: step.count]
        unused.note_room(self.pool.now, free=chosen[-1][0] <= self.pool.now)
        self._reserved_until.update(dict.fromkeys((name for _, name in chosen), chosen[-1][0]))
        self._reserving_gangs += 1
        return True

    def count_slots(self, step: Step, worker: Worker, lead_time_s: float) -> int:
        """Return for how many tasks of a step a worker will have room after some time."""
        limit = self.pool.now + lead_time_s
        return sum(slot_time <= limit for slot_time in self._list_slot_times(step, worker))

    def _list_slot_times(self, step: Step, worker: Worker) -> list[float]:
        """Return the times from which one, two and more tasks of a step fit on a worker."""
        free_capacity = worker.get_free_capacity()
        slot_times = [self.pool.now] * count_fitting_tasks(step.allocation, free_capacity)
        ends = sorted(
            (
                (self._estimate_end(worker, run), self.pool.get_allocation(run.task))
                for run in worker.runs.values()
            ),
            key=itemgetter(0),
        )
        for end, allocation in ends:
            if end == float("inf"):
                break
            free_capacity = free_capacity.add(allocation)
            slot_times += [end] * (
                count_fitting_tasks(step.allocation, free_capacity) - len(slot_times)
            )
        return slot_times

    def _estimate_end(self, worker: Worker, run: Run) -> float:
        """Estimate when a run will end, from its progress or its declared duration."""
        job = self.pool.find_job(run.task)
        if job is None or run.stopping:
            return self.pool.now + STOP_DURATION_S
        step = job.spec.steps[run.task.step]
        if step.long_running:
            return float("inf")
        worked = run.reported_at - run.confirmed_at
        gained = run.percent - run.initial_percent
        if run.reported_at >= 0 and gained >= MIN_ESTIMATE_PERCENT:
            return run.reported_at + worked * (100.0 - run.percent) / gained
        slowdown = self.pool.slowdowns.estimate(step.image, worker.entry.kind, worker.key.id)
        return max(self.pool.now, run.start_sent_at + step.expected_ms / 1000 * slowdown)


def count_fitting_tasks(allocation: Resources, free_capacity: Resources) -> int:
    """Return how many equal allocations fit into a free capacity."""
    count = 0
    while allocation.fits(free_capacity) and count < MAX_COUNTED_TASKS:
        free_capacity = free_capacity.subtract(allocation)
        count += 1
    return count
