"""Dispatch of waiting tasks to the workers of a pool."""

import logging
from collections import defaultdict
from collections.abc import Iterable
from functools import reduce

from lavenderstall.pools.advice_requests import AdviceRequester
from lavenderstall.pools.blocked_quota import BlockedQuota
from lavenderstall.pools.effects import StartRun
from lavenderstall.pools.gang_reservations import GangReservations
from lavenderstall.pools.job import Run
from lavenderstall.pools.kept_room import Demand, KeptRoom, scale
from lavenderstall.pools.placement import Candidate, Placement
from lavenderstall.pools.pool import MIN_BACKOFF_S, Pool
from lavenderstall.pools.preemption import MIN_PREEMPTION_WAIT_S, Preemptor
from lavenderstall.pools.quarantine import Assignments, Quarantine
from lavenderstall.pools.run_numbers import get_next_number
from lavenderstall.pools.shortages import ShortageTracker
from lavenderstall.pools.team_usage import count_startable
from lavenderstall.pools.teams import NO_TEAM
from lavenderstall.pools.unrecorded_starts import Designation, may_go_ahead
from lavenderstall.pools.waiting_steps import (
    WaitingStep,
    is_plain,
    list_waiting_steps,
    order_by_runs,
)
from lavenderstall.pools.work import Task
from lavenderstall.pools.workers import MIN_RETRY_S, Worker
from lavenderstall.resources import NOTHING, Resources

logger = logging.getLogger(__name__)

# The reason why a step waits is logged at most this often.
EXPLAIN_S = 1.0
# Occurrences of repeated jobs start while fewer starts than this are under way, in all or a worker,
# so that a backlog of them does not hold up the starts of other jobs.
MIN_STARTING = 64
STARTING_PER_WORKER = 2


class Dispatcher:
    """Start the waiting tasks of a pool, most urgent first."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self._placement = Placement(pool)
        self._gang_reservations = GangReservations(pool, self._placement)
        self._preemptor = Preemptor(pool)
        self._quarantine = Quarantine(pool, self._placement)
        self._advice_requester = AdviceRequester(pool, self._placement, self._gang_reservations)
        # Workers that back off, on which tasks that last may start if they fit nowhere else.
        self._retriable_workers: list[Worker] = []
        self._sound_workers: dict[str, Worker] = {}
        self._usable_workers: dict[str, Worker] = {}
        # Workers on which starts of their designated tasks need not wait for their record.
        self._designation = Designation(())
        self._shortages = ShortageTracker(self._gang_reservations)
        self._quota = BlockedQuota()
        self._kept_room = KeptRoom()
        # Whether the last dispatch has started tasks, and has not looked at all that wait.
        self.may_start_more = False
        # Whether the last dispatch has held occurrences back.
        self._holds_back = False

    def dispatch(
        self, short_calls: int, long_calls: int, designation: Designation | None = None
    ) -> None:
        """Start the tasks that fit, and request advice within limits on short and long calls.

        Tasks whose starts need not wait for their record on a designated worker go there, if it has
        room for them.
        """
        self._designation = designation or Designation(())
        self.pool.occurrences.open_due()
        self._gang_reservations.clear()
        self._preemptor.clear()
        self._placement.clear()
        self._advice_requester.clear(short_calls, long_calls)
        sound_workers = [w for w in self.pool.workers.values() if self.pool.may_take_tasks(w)]
        usable_workers = [w for w in sound_workers if w.backoff_until <= self.pool.now]
        self._retriable_workers = [w for w in sound_workers if self._is_retriable(w)]
        self._sound_workers = {worker.key.id: worker for worker in sound_workers}
        self._usable_workers = {worker.key.id: worker for worker in usable_workers}
        self._quarantine.clear(usable_workers)
        self._shortages.clear(self.pool.workers.values())
        self._quota.clear()
        self.pool.team_shares.begin_dispatch()
        starting = len(self.pool.starting)
        waiting_steps = list_waiting_steps(self.pool)
        if self.pool.orders_overload:
            self._keep_room(waiting_steps, usable_workers)
        self._consider_all(waiting_steps, usable_workers)
        self.may_start_more = (
            len(self.pool.startable_steps) > len(waiting_steps)
            and len(self.pool.starting) > starting
        )
        self._quota.end_dispatch()
        self.pool.team_shares.end_dispatch()
        self._advice_requester.prefetch_advice(usable_workers)

    def _keep_room(self, waiting_steps: list[WaitingStep], usable_workers: list[Worker]) -> None:
        """Measure the room that each priority leaves free for more urgent work."""
        held: defaultdict[int, Resources] = defaultdict(lambda: NOTHING)
        for group, amounts in self.pool.running_totals:
            queue = self.pool.settings.find_queue_by_name(group.queue)
            priority = queue.priority if queue is not None else 0
            held[priority] = held[priority].add(amounts)
        waiting = (
            Demand(each.queue.priority, scale(each.step.allocation, len(each.state.waiting)))
            for each in waiting_steps
            if not each.expired
        )
        capacity = reduce(Resources.add, (w.entry.capacity for w in usable_workers), NOTHING)
        self._kept_room.clear(held, waiting, capacity, self.pool.now)

    def _limit_to_kept_room(self, waiting_step: WaitingStep, waiting: list[int]) -> list[int]:
        """Return the waiting tasks that leave room for more urgent queues; of a gang all or none.

        Tasks that last are not held back, nor are gangs that starve, which may need more than the
        room that is left.
        """
        step = waiting_step.step
        exempt = step.long_running or (step.gang and waiting_step.starving)
        if exempt or not self.pool.orders_overload:
            return waiting
        kept = self._kept_room.limit(waiting_step.queue.priority, step.allocation, waiting)
        self.pool.counts["starts_held_for_urgent_work"] += len(waiting) - len(kept)
        return [] if step.gang and len(kept) < len(waiting) else kept

    def _consider_all(self, waiting_steps: list[WaitingStep], usable_workers: list[Worker]) -> None:
        """Serve the steps, but those of repeated jobs only while few of their starts are under way.

        If some were held back in the last dispatch, the jobs with the fewest runs go first.
        """
        max_starting = max(MIN_STARTING, STARTING_PER_WORKER * len(usable_workers))
        starting = self.pool.count_starting_occurrences()
        if self._holds_back:
            waiting_steps = order_by_runs(waiting_steps)
        self._holds_back = False
        for waiting_step in waiting_steps:
            repeated = waiting_step.job.spec.repeat is not None
            if repeated and starting >= max_starting and waiting_step.job.run_count:
                self._holds_back = True
                continue
            before = len(self.pool.starting)
            self._consider(waiting_step, usable_workers)
            starting += (len(self.pool.starting) - before) * repeated

    def _consider(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Serve a step unless it is known to be blocked, or too many others are."""
        step = waiting_step.step
        self._start_pinned(waiting_step, usable_workers)
        self._start_designated(waiting_step)
        if waiting_step.state.progress.crashes:
            self._serve_within_quota(waiting_step, usable_workers)
        elif self._shortages.is_unsuited(step):
            self._explain_shortage(waiting_step, usable_workers)
        elif waiting_step.queue.advising is not None:
            self._serve_within_quota(waiting_step, usable_workers)
        elif self._shortages.lacks_room(step, returning=bool(self._list_returning(waiting_step))):
            self._explain_shortage(waiting_step, usable_workers)
            self._make_room(waiting_step, usable_workers)
        elif is_plain(waiting_step):
            self._serve(waiting_step, usable_workers)
        else:
            self._serve_within_quota(waiting_step, usable_workers)

    def _start_pinned(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Start the tasks that may start on one worker alone, as far as it may start any.

        They heed neither reservations nor a backoff, as they can't start elsewhere. A gang waits
        until all of its members may start anywhere.
        """
        pinned = self._list_pinned(waiting_step, waiting_step.state.waiting)
        if not pinned:
            return
        startable = [] if waiting_step.step.gang else self._list_ready(waiting_step, pinned)
        startable = self._limit_to_quota(waiting_step, startable)
        started = 0
        for index in startable:
            worker = self._sound_workers.get(pinned[index])
            if worker is not None and self.pool.now - worker.refused_at >= MIN_RETRY_S:
                started += self._start_tasks(waiting_step, [index], [worker])
        self.pool.counts["starts_pinned"] += started
        if started < len(pinned):
            self._explain(waiting_step, usable_workers)

    def _start_designated(self, waiting_step: WaitingStep) -> None:
        """Start the tasks that fit on their designated workers, ahead of their record."""
        step, job = waiting_step.step, waiting_step.job
        if not self._designation.workers or waiting_step.queue.advising is not None:
            return
        if not may_go_ahead(step) or waiting_step.state.progress.crashes:
            return
        for index in self._list_recordable(waiting_step):
            task = Task(*waiting_step.step_key, index)
            found = self._usable_workers.get(self._designation.find_worker(step, task) or "")
            if found is not None and not job.get_last_run(task):
                available = self._gang_reservations.list_available(step, [found])
                started = self._start_tasks(waiting_step, [index], available)
                self.pool.counts["starts_designated"] += started

    def _list_pinned(self, waiting_step: WaitingStep, waiting: Iterable[int]) -> dict[int, str]:
        """Return the waiting tasks that may start on one worker alone, with its name."""
        tasks = (Task(*waiting_step.step_key, index) for index in waiting)
        pinned = self.pool.late_starts.list_pinned(waiting_step.job, tasks)
        return {task.number: worker for task, worker in pinned.items()}

    def _serve_within_quota(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Serve a step that may be blocked for reasons of its own, if it is its turn."""
        if self._quota.has_turn(waiting_step):
            if not self._serve(waiting_step, usable_workers):
                self._quota.note_blocked(waiting_step)
        elif waiting_step.queue.advising is not None:
            self._use_tickets(waiting_step, usable_workers)

    def _use_tickets(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Start the tasks of a step that fit on the workers it has tickets for."""
        advice = self.pool.advice.get(waiting_step.step_key)
        if advice is None or not advice.tickets or waiting_step.state.progress.crashes:
            return
        step = waiting_step.step
        if step.gang and any(waiting_step.state.active_runs.values()):
            return
        waiting = self._list_recordable(waiting_step)
        allowed = [worker for worker in usable_workers if worker.key.id in advice.tickets]
        if waiting:
            available_workers = self._gang_reservations.list_available(step, allowed)
            self._start_tasks(waiting_step, waiting, available_workers)

    def _make_room(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Reserve or preempt for a step that has no room now."""
        step, state = waiting_step.step, waiting_step.state
        if step.gang and any(state.active_runs.values()):
            return
        preempting = self._may_preempt_for(waiting_step) and self._quota.may_preempt(waiting_step)
        reserving = step.gang and not self._shortages.lacks_reservation(step)
        waiting = self._list_recordable(waiting_step) if preempting or reserving else []
        if not waiting:
            return
        available_workers = self._gang_reservations.list_available(step, usable_workers)
        if reserving:
            self._reserve(waiting_step, usable_workers)
        if preempting:
            self._quota.note_preempting(waiting_step)
            self._preempt_for(waiting_step, available_workers, len(waiting))

    def _is_retriable(self, worker: Worker) -> bool:
        """Tell whether a worker backs off, but has had no fault lately."""
        now = self.pool.now
        return worker.backoff_until > now and now - worker.backed_off_at >= MIN_BACKOFF_S

    def _serve(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> bool:
        """Start the tasks of a step that fit, and tell whether none is left waiting."""
        step, state = waiting_step.step, waiting_step.state
        if step.gang and any(state.active_runs.values()):
            return True
        waiting = self._list_recordable(waiting_step)
        if not waiting:
            return True
        available_workers = self._gang_reservations.list_available(step, usable_workers)
        missing = len(waiting) - self._start_tasks(waiting_step, waiting, available_workers)
        returning = self._list_returning(waiting_step)
        missing_returning = len(returning)
        if returning:
            available_workers = [*usable_workers, *self._retriable_workers]
            started = self._start_tasks(waiting_step, returning, available_workers)
            missing_returning -= started
            missing = missing_returning if step.gang else missing - started
        if not missing:
            return True
        self._note_shortage(waiting_step, returning=missing_returning > 0)
        self._explain(waiting_step, usable_workers)
        self._advice_requester.request_advice(
            waiting_step, available_workers, len(waiting) if step.gang else missing
        )
        if step.gang:
            self._reserve(waiting_step, usable_workers)
        if self._may_preempt_for(waiting_step):
            self._preempt_for(waiting_step, available_workers, missing)
        return False

    def _note_shortage(self, waiting_step: WaitingStep, *, returning: bool) -> None:
        """Note what a blocked step shows about others of the same needs."""
        self._shortages.check_suited(waiting_step.step)
        if not is_plain(waiting_step):
            return
        self._shortages.note_no_room(waiting_step.step, returning=False)
        if returning:
            self._shortages.note_no_room(waiting_step.step, returning=True)

    def _reserve(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Reserve workers for a waiting gang."""
        open_workers = self._quarantine.list_open(usable_workers)
        if not self._gang_reservations.reserve(waiting_step, open_workers) and is_plain(
            waiting_step
        ):
            self._shortages.note_no_reservation(waiting_step.step)

    def _list_recordable(self, waiting_step: WaitingStep) -> list[int]:
        """Return the waiting tasks whose runs can be recorded; others wait for tasks to end."""
        step, state, job = waiting_step.step, waiting_step.state, waiting_step.job
        waiting = self._list_startable(
            waiting_step, (state.waiting | state.copies) - state.progress.done
        )
        allowance = job.get_start_allowance()
        if len(waiting) <= allowance:
            return self._limit(waiting_step, waiting)
        fresh = [
            index for index in waiting if not job.get_last_run(Task(*waiting_step.step_key, index))
        ]
        if step.gang:
            held = set(waiting if fresh and not allowance else ())
        else:
            held = set(fresh[allowance:])
        self.pool.counts["starts_held_for_progress"] += len(held)
        return self._limit(waiting_step, [i for i in waiting if i not in held])

    def _limit(self, waiting_step: WaitingStep, waiting: list[int]) -> list[int]:
        """Return the waiting tasks that neither a quota nor more urgent work holds back."""
        return self._limit_to_kept_room(waiting_step, self._limit_to_quota(waiting_step, waiting))

    def _limit_to_quota(self, waiting_step: WaitingStep, waiting: list[int]) -> list[int]:
        """Return as many of the waiting tasks as their team may start; of a gang all or none."""
        step, team = waiting_step.step, waiting_step.job.row.team
        if team == NO_TEAM:
            return waiting
        shares = self.pool.team_shares
        limit, quota = shares.get_limit(team), shares.get_quota(team)
        startable = count_startable(self.pool.team_usage.get(team), limit, quota, step.need)
        if startable is None or startable >= len(waiting):
            return waiting
        kept = [] if step.gang else waiting[:startable]
        shares.note_wish(
            team, waiting_step.step_key, step.need, len(waiting), len(kept), gang=step.gang
        )
        self.pool.counts["starts_held_for_quota"] += len(waiting) - len(kept)
        self._explain_quota(waiting_step, len(waiting) - len(kept), limit)
        return kept

    def _explain_quota(self, waiting_step: WaitingStep, held: int, limit: Resources | None) -> None:
        """Log that tasks wait for their team's quota, at most once per `EXPLAIN_S` and step."""
        now, state = self.pool.now, waiting_step.state
        if now - state.wait_logged_at < EXPLAIN_S or now - state.ready_at < EXPLAIN_S:
            return
        state.wait_logged_at = now
        team = waiting_step.job.row.team
        logger.info(
            "tasks of a step are waiting",
            extra={
                "job": waiting_step.job.id,
                "step": waiting_step.step_key.step,
                "waiting": len(state.waiting),
                "quota": held,
                "team": team,
                "share": limit,
                "used": self.pool.team_usage.get(team),
            },
        )

    def _list_startable(self, waiting_step: WaitingStep, waiting: set[int]) -> list[int]:
        """Return the waiting tasks that may start now, on any worker."""
        pinned = self._list_pinned(waiting_step, waiting)
        if pinned and waiting_step.step.gang:
            return []
        return self._list_ready(waiting_step, waiting - pinned.keys())

    def _list_ready(self, waiting_step: WaitingStep, waiting: Iterable[int]) -> list[int]:
        """Return the waiting tasks that don't back off after crashes of workers under them."""
        job, backs_off = waiting_step.job, self.pool.crashes.backs_off
        tasks = [Task(*waiting_step.step_key, index) for index in sorted(waiting)]
        return [task.number for task in tasks if not backs_off(job, task)]

    def _list_returning(self, waiting_step: WaitingStep) -> list[int]:
        """Return the waiting tasks that last and have run before.

        As they are to run again wherever there is room, they heed neither reservations for gangs,
        which their earlier runs preceded, nor a backoff beyond the shortest one. Of a gang all
        return, or none.
        """
        step, job = waiting_step.step, waiting_step.job
        if not step.long_running:
            return []
        found = [
            index
            for index in self._list_startable(waiting_step, waiting_step.state.waiting)
            if job.has_lasted(Task(*waiting_step.step_key, index))
        ]
        found = self._limit_to_quota(waiting_step, found)
        return [] if step.gang and len(found) < step.count else found

    def _start_tasks(
        self, waiting_step: WaitingStep, waiting: list[int], workers: list[Worker]
    ) -> int:
        """Start the tasks that fit, those that may crash workers apart; return how many."""
        groups = self._quarantine.split(waiting_step, waiting)
        if waiting_step.step.gang and groups.isolated:
            assignments = self._quarantine.isolate(waiting_step, waiting, workers)
            return self._start_all(waiting_step, assignments)
        started = 0
        for index in groups.isolated:
            assignments = self._quarantine.isolate(waiting_step, [index], workers)
            started += self._start_all(waiting_step, assignments)
        open_workers = self._quarantine.list_open(workers)
        if waiting_step.step.gang:
            assignments = self._placement.place(waiting_step, waiting, open_workers)
            complete = len(assignments) == len(waiting)
            return self._start_all(waiting_step, assignments) if complete else len(assignments)
        for index in groups.suspected:
            assignments = self._quarantine.spread(waiting_step, index, open_workers)
            started += self._start_all(waiting_step, assignments)
        assignments = self._placement.place(waiting_step, groups.unsuspected, open_workers)
        return started + self._start_all(waiting_step, assignments)

    def _start_all(self, waiting_step: WaitingStep, assignments: Assignments) -> int:
        for index, candidate in assignments:
            self._start(waiting_step, index, candidate)
        return len(assignments)

    def _may_preempt_for(self, waiting_step: WaitingStep) -> bool:
        """Tell whether a step has waited for long enough and may find runs to preempt."""
        return (
            not waiting_step.expired
            and not waiting_step.yields
            and self.pool.now - waiting_step.state.ready_at >= MIN_PREEMPTION_WAIT_S
            and not self._shortages.lacks_victims(waiting_step.step, waiting_step.queue.priority)
        )

    def _preempt_for(
        self, waiting_step: WaitingStep, available_workers: list[Worker], missing: int
    ) -> None:
        """Preempt less urgent runs for a step."""
        step, queue = waiting_step.step, waiting_step.queue
        allowed = self._list_allowed(waiting_step, self._quarantine.list_open(available_workers))
        limits = self._placement.get_task_limits(step, waiting_step.state, allowed)
        allowed.sort(key=lambda worker: self._placement.get_score(step, worker))
        sufficient = self._preemptor.preempt_for(queue, step, allowed, limits, missing)
        if not sufficient and is_plain(waiting_step):
            self._shortages.note_no_victims(step, queue.priority)

    def _list_allowed(self, waiting_step: WaitingStep, workers: list[Worker]) -> list[Worker]:
        """Return the workers that the advice received so far allows for a step."""
        if waiting_step.queue.advising is None:
            return list(workers)
        advice = self.pool.advice.get(waiting_step.step_key)
        allowed = advice.allowed if advice else set()
        return [worker for worker in workers if worker.key.id in allowed]

    def _explain(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Log why tasks of a step wait, at most once per `WAIT_LOG_INTERVAL_S` and step."""
        now, step, state = self.pool.now, waiting_step.step, waiting_step.state
        if now - state.wait_logged_at < EXPLAIN_S or now - state.ready_at < EXPLAIN_S:
            return
        state.wait_logged_at = now
        advice = self.pool.advice.get(waiting_step.step_key)
        allowed = self._list_allowed(waiting_step, usable_workers)
        get_unreserved = self._placement.get_unreserved_capacity
        logger.info(
            "tasks of a step are waiting",
            extra={
                "job": waiting_step.job.id,
                "step": waiting_step.step_key.step,
                "waiting": len(state.waiting),
                "pinned": len(self._list_pinned(waiting_step, state.waiting)),
                "expired": waiting_step.expired,
                **_describe_order(waiting_step),
                "usable": len(usable_workers),
                **self._count_set_aside(),
                "allowed": len(allowed),
                "asked": len(advice.requested_workers) if advice else 0,
                "held": sum(not self._gang_reservations.may_start_on(step, w) for w in allowed),
                "unsuited": sum(not self._placement.is_eligible(step, w) for w in allowed),
                "without_room": sum(
                    not step.allocation.fits(w.get_free_capacity()) for w in allowed
                ),
                "promised": sum(not step.allocation.fits(get_unreserved(w)) for w in allowed),
            },
        )

    def _explain_shortage(self, waiting_step: WaitingStep, usable_workers: list[Worker]) -> None:
        """Log why a step waits that is passed over, for the most urgent ones."""
        if self._quota.take_explanation():
            self._explain(waiting_step, usable_workers)

    def _count_set_aside(self) -> dict[str, int]:
        """Return how many registered workers get no tasks, by the reasons that end by themselves.

        A worker may count under several reasons.
        """
        workers = [worker for worker in self.pool.workers.values() if worker.registered]
        return {
            "unheard": sum(not worker.accepted_term for worker in workers),
            "backing_off": sum(worker.backoff_until > self.pool.now for worker in workers),
            "unresponsive": sum(not self.pool.is_responsive(worker) for worker in workers),
            "draining": sum(worker.draining for worker in workers),
            "kept_apart": self._quarantine.count_kept(),
        }

    def _start(self, waiting_step: WaitingStep, index: int, candidate: Candidate) -> None:
        """Create a run, whose start is sent once the run is recorded."""
        pool, worker, step = self.pool, candidate.worker, waiting_step.step
        task = Task(*waiting_step.step_key, index)
        last = waiting_step.job.get_last_run(task)
        together = step.gang and any(waiting_step.state.active_runs.values())
        number = last if together else get_next_number(pool.term, last)
        run = Run(task, number, worker.key, pool.now, start_sent=False)
        run.checkpoint = waiting_step.job.get_checkpoint(task)
        waiting_step.job.add_run(run)
        worker.add_run(run, step.allocation)
        self._kept_room.note_started(waiting_step.queue.priority, step.allocation)
        self._placement.subtract_allocation(worker, step)
        pool.starting[task, number] = pool.now
        pool.counts["starts"] += 1
        payload = waiting_step.job.spec.payload
        start = StartRun(worker.key, task, number, payload, 0, run.checkpoint, candidate.ticket)
        pool.recorder.defer_start(start)
        logger.info(
            "task placed",
            extra={
                "job": task.job,
                "task": list(task),
                "run": number,
                "worker": worker.key.id,
                "score": candidate.score,
                "waited_ms": round((pool.now - waiting_step.state.ready_at) * 1000),
                "clock_age_ms": round((pool.now - worker.clock_at) * 1000),
            },
        )


def _describe_order(waiting_step: WaitingStep) -> dict[str, str]:
    """Return why others go first, if the pool has too little room."""
    return {"order": waiting_step.rank.reason.value} if waiting_step.rank else {}
