"""Choice of what starts next and where."""

import logging

from lavenderstall.pools.effects import StartRun
from lavenderstall.pools.eviction import LEAST_WAIT_S, Evictions
from lavenderstall.pools.holds import Holds
from lavenderstall.pools.job import Run
from lavenderstall.pools.placement import Offer, Placement
from lavenderstall.pools.pool import RUNS_PER_TERM, Pool
from lavenderstall.pools.seeking import Seeker
from lavenderstall.pools.turns import Turn, list_turns
from lavenderstall.pools.work import Task
from lavenderstall.pools.workers import Worker

logger = logging.getLogger(__name__)

# Steps for which advice is renewed or sought while they wait for room, at most.
MOST_BLOCKED = 24
# A step that waits is explained in the log this often.
EXPLAIN_S = 1.0


class Dispatcher:
    """Start the tasks of a pool that may start, most urgent first."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self._holds = Holds(pool)
        self._evictions = Evictions(pool)
        self._placement = Placement(pool)
        self._seeker = Seeker(pool, self._placement, self._holds)

    def dispatch(self, short_calls: int, long_calls: int) -> None:
        """Start what fits, and make as many short and long advice calls as may be made now."""
        self._holds.clear()
        self._evictions.clear()
        self._placement.clear()
        self._seeker.clear(short_calls, long_calls)
        usable = [worker for worker in self.pool.workers.values() if self._is_usable(worker)]
        blocked = 0
        for turn in list_turns(self.pool):
            blocked += not self._serve(turn, usable)
            if blocked >= MOST_BLOCKED:
                break
        self._seeker.look_ahead(usable)

    def _is_usable(self, worker: Worker) -> bool:
        """Tell whether tasks may start on a worker."""
        return (
            worker.claimed
            and worker.listed
            and not worker.draining
            and worker.avoid_until <= self.pool.now
            and self.pool.is_reached(worker)
        )

    def _serve(self, turn: Turn, usable: list[Worker]) -> bool:
        """Start what fits of a step, and tell whether that is all that waits."""
        step, state = turn.step, turn.state
        if step.gang and any(state.live.values()):
            return True
        waiting = sorted((state.waiting | state.copies) - state.progress.done)
        free = [worker for worker in usable if self._holds.may_use(step, worker)]
        placed = self._placement.place(turn, waiting, free)
        missing = len(waiting) - len(placed)
        if not step.gang or not missing:
            for index, offer in placed:
                self._start(turn, index, offer)
        if not missing:
            return True
        self._explain(turn, usable)
        self._seeker.seek(turn, free, len(waiting) if step.gang else missing)
        if step.gang:
            advised = turn.queue.advising is not None
            self._holds.reserve(turn.group, step, usable, advised=advised)
        self._make_room(turn, free, missing)
        return False

    def _make_room(self, turn: Turn, free: list[Worker], missing: int) -> None:
        """Preempt less urgent runs on workers that may run a step which has waited a while."""
        if turn.expired or self.pool.now - turn.state.ready_at < LEAST_WAIT_S:
            return
        suited = [
            worker
            for worker in self._list_allowed(turn, free)
            if self._placement.suits(turn.step, worker)
        ]
        suited.sort(key=lambda worker: self._placement.get_score(turn.step, worker))
        self._evictions.make_room(turn.queue, turn.step, suited, missing)

    def _list_allowed(self, turn: Turn, workers: list[Worker]) -> list[Worker]:
        """Return the workers that advice is known to allow for a step."""
        if turn.queue.advising is None:
            return workers
        advice = self.pool.advice.get(turn.group)
        allowed = advice.allowed if advice else set()
        return [worker for worker in workers if worker.key.id in allowed]

    def _explain(self, turn: Turn, usable: list[Worker]) -> None:
        """Log why tasks of a step wait, at most once a while for each step."""
        now, step, state = self.pool.now, turn.step, turn.state
        if now - state.explained_at < EXPLAIN_S or now - state.ready_at < EXPLAIN_S:
            return
        state.explained_at = now
        advice = self.pool.advice.get(turn.group)
        allowed = self._list_allowed(turn, usable)
        room = self._placement.get_room
        logger.info(
            "step waits",
            extra={
                "job": turn.job.id,
                "step": turn.group.step,
                "waiting": len(state.waiting),
                "expired": turn.expired,
                "usable": len(usable),
                "allowed": len(allowed),
                "asked": len(advice.asked) if advice else 0,
                "held": sum(not self._holds.may_use(step, w) for w in allowed),
                "unsuited": sum(not self._placement.suits(step, w) for w in allowed),
                "without_room": sum(not step.charge.fits(w.get_room()) for w in allowed),
                "promised": sum(not step.charge.fits(room(w)) for w in allowed),
            },
        )

    def _start(self, turn: Turn, index: int, offer: Offer) -> None:
        """Decide on a run, which is ordered once it is recorded."""
        pool, worker, step = self.pool, offer.worker, turn.step
        task = Task(*turn.group, index)
        last = turn.job.get_last_run(task)
        together = step.gang and any(turn.state.live.values())
        number = last if together else max(last, (pool.term - 1) * RUNS_PER_TERM) + 1
        run = Run(task, number, worker.key, pool.now, ordered=False)
        run.checkpoint = turn.job.get_checkpoint(task)
        turn.job.add_run(run)
        worker.add_run(run, step.charge)
        self._placement.note_start(worker, step)
        pool.counts["starts"] += 1
        payload = turn.job.spec.payload
        order = StartRun(worker.key, task, number, payload, 0, run.checkpoint, offer.ticket)
        pool.recorder.defer_start(order)
        logger.info(
            "start decided",
            extra={
                "job": task.job,
                "task": list(task),
                "run": number,
                "worker": worker.key.id,
                "score": offer.score,
                "waited_ms": round((pool.now - turn.state.ready_at) * 1000),
                "clock_age_ms": round((pool.now - worker.clock_at) * 1000),
            },
        )
