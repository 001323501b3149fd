"""Requests for advice: when to ask for a step, and about which workers."""

from lavenderstall.pools.effects import RequestAdvice
from lavenderstall.pools.gang_reservations import GangReservations, count_fitting_tasks
from lavenderstall.pools.job import Job
from lavenderstall.pools.placement import Placement, count_runs_per_worker
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.step_advice import (
    MAX_WORKERS_PER_CALL,
    SHORT_CALL_S,
    StepAdvice,
    get_call_duration_s,
)
from lavenderstall.pools.waiting_steps import WaitingStep
from lavenderstall.pools.work import Advising, Queue, Step, StepKey
from lavenderstall.pools.workers import Worker

# Tickets requested beyond the number of waiting tasks, as workers may fill up meanwhile.
SPARE_TICKETS = 4
# Advice is requested this long before it is needed, in addition to the duration of the call.
LEAD_TIME_S = 0.25
# Assumed ratio of actual to declared duration of the runs that a later step depends on.
DEFAULT_SLOWDOWN = 1.3


class AdviceRequester:
    """Request the tickets that steps need next, within limits on short and long calls."""

    def __init__(
        self, pool: Pool, placement: Placement, gang_reservations: GangReservations
    ) -> None:
        self._pool = pool
        self._placement = placement
        self._gang_reservations = gang_reservations
        self._short_calls = 0
        self._long_calls = 0
        self._assigned_slots: dict[str, int] = {}

    def clear(self, short_calls: int, long_calls: int) -> None:
        """Reset for a dispatch with limits on its short and long calls."""
        self._short_calls = short_calls
        self._long_calls = long_calls
        self._assigned_slots = {}

    def request_advice(
        self, waiting_step: WaitingStep, available_workers: list[Worker], missing: int
    ) -> None:
        """Request tickets for workers with capacity now or soon, unless a request is pending."""
        advising = waiting_step.queue.advising
        if advising is None:
            return
        step = waiting_step.step
        advice = self._pool.advice.setdefault(waiting_step.step_key, StepAdvice())
        if advice.requested_workers:
            requested_workers = set(advice.requested_workers)
            self._placement.reserve_capacity(
                step,
                waiting_step.state,
                [w for w in available_workers if w.key.id in requested_workers],
                missing,
            )
            return
        soon_available = self._list_soon_available(
            waiting_step, advising, advice, available_workers, missing
        )
        candidates = self._list_candidates(waiting_step, advice, available_workers, soon_available)
        if not candidates or (
            step.gang and not self._may_fit_gang(waiting_step, advice, available_workers)
        ):
            return
        chosen = self._choose_workers(step, advice, candidates, missing)
        self._placement.reserve_capacity(step, waiting_step.state, chosen, missing)
        duration_s = get_call_duration_s(advising, len(chosen))
        if not self._try_use_call(duration_s):
            return
        requested = tuple(worker.key.id for worker in chosen)
        advice.note_requested(requested)
        self._pool.effects.append(
            RequestAdvice(waiting_step.step_key, requested, duration_s * 1000)
        )

    def _choose_workers(
        self, step: Step, advice: StepAdvice, candidates: list[Worker], missing: int
    ) -> list[Worker]:
        """Return allowed workers, and others too if there are not enough of them."""
        candidates = sorted(candidates, key=lambda w: self._placement.get_score(step, w))
        allowed = [worker for worker in candidates if worker.key.id in advice.allowed]
        chosen = allowed if step.gang else allowed[: missing + SPARE_TICKETS]
        if len(allowed) < missing + SPARE_TICKETS:
            chosen += [worker for worker in candidates if worker.key.id not in advice.allowed]
        return chosen[:MAX_WORKERS_PER_CALL]

    def _may_fit_gang(
        self, waiting_step: WaitingStep, advice: StepAdvice, available_workers: list[Worker]
    ) -> bool:
        """Tell whether a gang may fit now: on allowed workers, or if some have no advice yet."""
        step = waiting_step.step
        limits = self._placement.get_task_limits(step, waiting_step.state, available_workers)
        free_slots = sum(
            min(
                limits[worker.key.id],
                count_fitting_tasks(step.allocation, worker.get_free_capacity()),
            )
            for worker in available_workers
            if worker.key.id in advice.allowed
        )
        known = advice.allowed | advice.denied
        return free_slots >= step.count or any(
            worker.key.id not in known and limits[worker.key.id] for worker in available_workers
        )

    def _try_use_call(self, duration_s: float) -> bool:
        """Count a call against the limits, and tell whether it may be made."""
        self._short_calls -= 1
        if duration_s <= SHORT_CALL_S:
            return self._short_calls >= 0
        self._long_calls -= 1
        return self._long_calls >= 0

    def _list_soon_available(
        self,
        waiting_step: WaitingStep,
        advising: Advising,
        advice: StepAdvice,
        available_workers: list[Worker],
        missing: int,
    ) -> set[str]:
        """Return the allowed workers that will have capacity when a long call is answered.

        A slot is counted for one step only, the most urgent one.
        """
        duration_s = get_call_duration_s(advising, 1)
        if duration_s <= SHORT_CALL_S or waiting_step.step.gang:
            return set()
        soon_available = set()
        limits = self._placement.get_task_limits(
            waiting_step.step, waiting_step.state, available_workers
        )
        for worker in available_workers:
            name = worker.key.id
            if missing <= 0 or name not in advice.allowed:
                continue
            slots = self._gang_reservations.count_slots(
                waiting_step.step, worker, duration_s + LEAD_TIME_S
            )
            slots = min(slots, limits[name])
            slots -= self._assigned_slots.get(name, 0)
            if slots > 0:
                assigned = min(slots, missing)
                self._assigned_slots[name] = self._assigned_slots.get(name, 0) + assigned
                missing -= assigned
                soon_available.add(name)
        return soon_available

    def _list_candidates(
        self,
        waiting_step: WaitingStep,
        advice: StepAdvice,
        available_workers: list[Worker],
        soon_available: set[str],
    ) -> list[Worker]:
        """Return the workers without a valid ticket that have capacity or no advice yet.

        Advice on a worker never changes, so the first call also names workers that are full.
        """
        step = waiting_step.step
        runs_per_worker = count_runs_per_worker(waiting_step.state)
        candidates = []
        for worker in available_workers:
            name = worker.key.id
            if name in advice.denied or advice.get_ticket(name, self._pool.now) is not None:
                continue
            if step.max_per_worker and runs_per_worker.get(name, 0) >= step.max_per_worker:
                continue
            if not self._placement.is_eligible(step, worker):
                continue
            ignores_runs = step.gang or name not in advice.allowed or name in soon_available
            free_capacity = (
                worker.entry.capacity
                if ignores_runs
                else self._placement.get_unreserved_capacity(worker)
            )
            if step.allocation.fits(free_capacity):
                candidates.append(worker)
        return candidates

    def prefetch_advice(self, usable_workers: list[Worker]) -> None:
        """Request advice on steps whose dependencies are about to end."""
        for job in self._pool.active.values():
            if not job.started or len(job.spec.steps) == 1:
                continue
            queue = self._pool.get_queue(job)
            if queue.advising is None:
                continue
            for occurrence in job.occurrences.list_open():
                self._prefetch_occurrence(job, occurrence, queue, queue.advising, usable_workers)

    def _prefetch_occurrence(
        self,
        job: Job,
        occurrence: int,
        queue: Queue,
        advising: Advising,
        usable_workers: list[Worker],
    ) -> None:
        for number, step in enumerate(job.spec.steps):
            if not step.after or job.is_step_ready(occurrence, number):
                continue
            step_key = StepKey(job.id, occurrence, number)
            advice = self._pool.advice.get(step_key)
            if advice is not None and (advice.tickets or advice.requested_workers):
                continue
            lead_time_s = get_call_duration_s(advising, len(usable_workers)) + LEAD_TIME_S
            if self._estimate_start_delay_s(job, occurrence, step) <= lead_time_s:
                waiting_step = WaitingStep(False, queue.priority, 0.0, step_key, job, queue)
                self.request_advice(waiting_step, usable_workers, step.count)

    def _estimate_start_delay_s(self, job: Job, occurrence: int, step: Step) -> float:
        """Return in how many seconds the dependencies of a step are expected to be done."""
        max_remaining_s = 0.0
        for earlier in step.after:
            state = job.steps.get((occurrence, earlier))
            spec = job.spec.steps[earlier]
            if state is None or state.waiting:
                return float("inf")
            expected_s = spec.expected_ms / 1000 * DEFAULT_SLOWDOWN
            for runs in state.active_runs.values():
                remaining_s = min(run.start_sent_at + expected_s - self._pool.now for run in runs)
                max_remaining_s = max(max_remaining_s, remaining_s)
        return max_remaining_s
