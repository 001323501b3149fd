"""Choice of what starts next and where, and of when to ask for advice."""

import logging
from collections.abc import Iterator
from itertools import groupby
from typing import NamedTuple

from lavenderstall.pools.effects import AskAdvice, StartRun
from lavenderstall.pools.eviction import LEAST_WAIT_S, Evictions
from lavenderstall.pools.holds import Holds, count_fitting
from lavenderstall.pools.job import Job, Run, StepState
from lavenderstall.pools.objectives import EXPIRED_FACTOR, get_objective_s
from lavenderstall.pools.pool import RUNS_PER_TERM, Pool
from lavenderstall.pools.tickets import MOST_NAMED, SHORT_S, StepAdvice, get_duration
from lavenderstall.pools.work import Group, Queue, Step, Task
from lavenderstall.pools.workers import Worker
from lavenderstall.resources import Resources

logger = logging.getLogger(__name__)

# Steps for which advice is renewed or sought while they wait for room, at most.
MOST_BLOCKED = 24
# A step that waits is explained in the log this often.
EXPLAIN_S = 1.0
# Tickets beyond the tasks that wait, to allow for workers that fill up meanwhile.
SPARE_TICKETS = 4
# Advice for a step is sought this long before its turn, beyond the duration of the call.
AHEAD_S = 0.25
# A run is expected to need this multiple of its declared duration while nothing is known.
USUAL_RATIO = 1.3


class Turn(NamedTuple):
    """Hold a step whose tasks wait, with what its place in the order depends on."""

    expired: bool
    priority: int
    deadline: float
    group: Group
    job: Job
    queue: Queue


class Offer(NamedTuple):
    """Hold a worker that may take a task, ordered by how well it suits."""

    score: float
    room: int
    worker: Worker
    ticket: str


def get_deadline(job: Job, queue: Queue) -> tuple[float, float]:
    """Return when a job is late and when it has lost all benefit."""
    objective_s = get_objective_s(job.spec, queue)
    return job.seen_at + objective_s, job.seen_at + EXPIRED_FACTOR * objective_s


class Dispatcher:
    """Start the tasks of a pool that may start, most urgent first."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self._holds = Holds(pool)
        self._evictions = Evictions(pool)
        self._short_calls = 0
        self._long_calls = 0
        self._promised: dict[str, Resources] = {}
        self._blocked = 0

    def dispatch(self, short_calls: int, long_calls: int) -> None:
        """Start what fits, and make as many short and long advice calls as may be made now."""
        self._holds.clear()
        self._evictions.clear()
        self._short_calls = short_calls
        self._long_calls = long_calls
        self._promised = {}
        self._blocked = 0
        usable = [worker for worker in self.pool.workers.values() if self._is_usable(worker)]
        for turn in sorted(self._list_turns(), key=lambda turn: turn[:4]):
            self._serve(turn, usable)
            if self._blocked >= MOST_BLOCKED:
                break
        self._look_ahead(usable)

    def _list_turns(self) -> Iterator[Turn]:
        for group, job in self.pool.list_waiting():
            queue = self.pool.get_queue(job)
            if queue is None or queue.pool != self.pool.name:
                continue
            deadline, end = get_deadline(job, queue)
            lasting = job.spec.steps[group.step].lasting
            expired = end < self.pool.now and not lasting
            yield Turn(expired, queue.priority, deadline, group, job, queue)

    def _is_usable(self, worker: Worker) -> bool:
        """Tell whether tasks may start on a worker."""
        now = self.pool.now
        return (
            worker.claimed
            and worker.listed
            and not worker.draining
            and worker.avoid_until <= now
            and self.pool.is_reached(worker)
        )

    def _serve(self, turn: Turn, usable: list[Worker]) -> None:
        step = turn.job.spec.steps[turn.group.step]
        state = turn.job.get_step(turn.group.occurrence, turn.group.step)
        if step.gang and any(state.live.values()):
            return
        waiting = sorted(state.waiting | state.copies)
        free = [worker for worker in usable if self._holds.may_use(step, worker)]
        placed = self._place(turn, step, state, waiting, free)
        missing = len(waiting) - len(placed)
        if step.gang and missing:
            self._blocked += 1
            self._explain(turn, step, state, usable)
            self._seek_advice(turn, step, state, free, len(waiting))
            advised = turn.queue.advising is not None
            self._holds.reserve(turn.group, step, usable, advised=advised)
            self._make_room(turn, step, state, free, missing)
            return
        for index, offer in placed:
            self._start(turn, step, state, index, offer)
        if missing:
            self._blocked += 1
            self._explain(turn, step, state, usable)
            self._seek_advice(turn, step, state, free, missing)
            self._make_room(turn, step, state, free, missing)

    def _make_room(
        self, turn: Turn, step: Step, state: StepState, free: list[Worker], missing: int
    ) -> None:
        """Preempt less urgent runs on workers that may run a step which has waited a while."""
        if turn.expired or self.pool.now - state.ready_at < LEAST_WAIT_S:
            return
        if turn.queue.advising is not None:
            advice = self.pool.advice.get(turn.group)
            allowed = advice.allowed if advice else set()
            free = [worker for worker in free if worker.key.id in allowed]
        suited = [worker for worker in free if self._suits(step, worker)]
        suited.sort(key=lambda worker: self._score(step, worker))
        self._evictions.make_room(turn.queue, step, suited, missing)

    def _explain(self, turn: Turn, step: Step, state: StepState, usable: list[Worker]) -> None:
        """Log why tasks of a step wait, at most once a while for each step."""
        now = self.pool.now
        if now - state.explained_at < EXPLAIN_S or now - state.ready_at < EXPLAIN_S:
            return
        state.explained_at = now
        advice = self.pool.advice.get(turn.group)
        allowed = advice.allowed if advice else set()
        needs = turn.queue.advising is not None
        candidates = [w for w in usable if not needs or w.key.id in allowed]
        logger.info(
            "step waits",
            extra={
                "job": turn.job.id,
                "step": turn.group.step,
                "waiting": len(state.waiting),
                "expired": turn.expired,
                "usable": len(usable),
                "allowed": len(candidates) if needs else None,
                "asked": len(advice.asked) if advice else 0,
                "held": sum(not self._holds.may_use(step, w) for w in candidates),
                "unsuited": sum(not self._suits(step, w) for w in candidates),
                "without_room": sum(not step.charge.fits(w.get_room()) for w in candidates),
                "promised": sum(not step.charge.fits(self._get_unpromised(w)) for w in candidates),
            },
        )

    def _place(
        self, turn: Turn, step: Step, state: StepState, waiting: list[int], free: list[Worker]
    ) -> list[tuple[int, Offer]]:
        """Choose a worker for each waiting task, as far as they fit."""
        offers = self._list_offers(turn, step, free)
        if step.gang and len(waiting) > 1:
            return self._place_gang(step, waiting, offers)
        return self._fill(step, state, waiting, offers)

    def _place_gang(
        self, step: Step, waiting: list[int], offers: list[Offer]
    ) -> list[tuple[int, Offer]]:
        """Choose workers of one rack if one holds the gang, else of as few as possible."""
        racks = [
            list(members)
            for _, members in groupby(
                sorted(offers, key=lambda offer: offer.worker.entry.rack),
                key=lambda offer: offer.worker.entry.rack,
            )
        ]
        choices = [
            self._fill(step, None, waiting, sorted(rack, key=lambda offer: offer[:2]))
            for rack in racks
        ]
        whole = [choice for choice in choices if len(choice) == len(waiting)]
        if whole:
            return min(whole, key=lambda choice: sum(offer.score for _, offer in choice))
        return self._fill(step, None, waiting, offers)

    def _fill(
        self, step: Step, state: StepState | None, waiting: list[int], offers: list[Offer]
    ) -> list[tuple[int, Offer]]:
        beside = count_beside(state)
        placed: list[tuple[int, Offer]] = []
        left = list(waiting)
        for offer in offers:
            name = offer.worker.key.id
            room = self._get_unpromised(offer.worker)
            for index in list(left):
                if not step.charge.fits(room):
                    break
                if step.max_per_worker and beside.get(name, 0) >= step.max_per_worker:
                    break
                if state is not None and self._is_barred(state, index, name, offers):
                    continue
                placed.append((index, offer))
                beside[name] = beside.get(name, 0) + 1
                room = room.subtract(step.charge)
                left.remove(index)
            if not left:
                break
        return placed

    def _is_barred(self, state: StepState, index: int, worker: str, offers: list[Offer]) -> bool:
        """Tell whether a task runs on a worker, or has failed there while another is on offer."""
        if any(run.worker.id == worker for run in state.live.get(index, ())):
            return True
        failed_on = state.failed_on.get(index)
        if not failed_on or worker not in failed_on:
            return False
        return any(offer.worker.key.id not in failed_on for offer in offers)

    def _list_offers(self, turn: Turn, step: Step, free: list[Worker]) -> list[Offer]:
        """Return the workers that may run a task of a step now, best first."""
        advice = self.pool.advice.get(turn.group)
        offers = []
        for worker in free:
            room = self._get_unpromised(worker)
            if not step.charge.fits(room) or not self._suits(step, worker):
                continue
            ticket = ""
            if turn.queue.advising is not None:
                found = advice.get_ticket(worker.key.id, self.pool.now) if advice else None
                if found is None:
                    continue
                ticket = found
            offers.append(Offer(self._score(step, worker), room.cores_milli, worker, ticket))
        return sorted(offers, key=lambda offer: offer[:2])

    def _suits(self, step: Step, worker: Worker) -> bool:
        if step.label and step.label not in worker.entry.labels:
            return False
        if not step.fills and not (step.lasting and step.target_ms):
            return True
        return not self._disturbs(step, worker)

    def _disturbs(self, step: Step, worker: Worker) -> bool:
        """Tell whether filling and serving tasks would meet on a worker."""
        for run in worker.runs.values():
            job = self.pool.jobs.get(run.task.job)
            if job is None:
                continue
            other = job.spec.steps[run.task.step]
            if step.fills and other.lasting and other.target_ms:
                return True
            if step.lasting and other.fills:
                return True
        return False

    def _score(self, step: Step, worker: Worker) -> float:
        entry = worker.entry
        score = self.pool.speeds.estimate(step.image, entry.kind, entry.id)
        if step.data_rack and step.data_rack != entry.rack:
            score *= 1.5
        return round(score, 1)

    def _start(self, turn: Turn, step: Step, state: StepState, index: int, offer: Offer) -> None:
        pool = self.pool
        worker = offer.worker
        task = Task(turn.job.id, turn.group.occurrence, turn.group.step, index)
        last = turn.job.get_last_run(task)
        together = step.gang and any(state.live.values())
        number = last if together else max(last, (pool.term - 1) * RUNS_PER_TERM) + 1
        run = Run(task, number, worker.key, pool.now, ordered=False)
        run.checkpoint = turn.job.get_checkpoint(task)
        turn.job.add_run(run)
        worker.add_run(run, step.charge)
        if worker.key.id in self._promised:
            self._promised[worker.key.id] = self._promised[worker.key.id].subtract(step.charge)
        pool.counts["starts"] += 1
        payload = turn.job.spec.payload
        order = StartRun(worker.key, task, number, payload, 0, run.checkpoint, offer.ticket)
        pool.recorder.add_start(order)
        logger.info(
            "start decided",
            extra={
                "job": task.job,
                "task": list(task),
                "run": number,
                "worker": worker.key.id,
                "score": offer.score,
                "waited_ms": round((pool.now - state.ready_at) * 1000),
                "clock_age_ms": round((pool.now - worker.clock_at) * 1000),
            },
        )

    # Advice

    def _seek_advice(
        self, turn: Turn, step: Step, state: StepState, free: list[Worker], missing: int
    ) -> None:
        """Ask for tickets of workers that have room, unless an answer is on its way."""
        advising = turn.queue.advising
        if advising is None:
            return
        pool = self.pool
        advice = pool.advice.setdefault(turn.group, StepAdvice())
        if advice.asked:
            asked = set(advice.asked)
            self._promise_room(step, [w for w in free if w.key.id in asked], missing)
            return
        candidates = self._list_candidates(step, state, advice, free)
        if not candidates or (step.gang and not self._may_fit(step, advice, free)):
            return
        known = [worker for worker in candidates if worker.key.id in advice.allowed]
        known.sort(key=lambda worker: self._score(step, worker))
        chosen = known if step.gang else known[: missing + SPARE_TICKETS]
        if len(known) < missing + SPARE_TICKETS:
            unknown = [worker for worker in candidates if worker.key.id not in advice.allowed]
            unknown.sort(key=lambda worker: self._score(step, worker))
            chosen = [*chosen, *unknown]
        chosen = chosen[:MOST_NAMED]
        self._promise_room(step, chosen, missing)
        duration_s = get_duration(advising, len(chosen))
        if not self._take_call(duration_s):
            return
        named = tuple(worker.key.id for worker in chosen)
        advice.note_asked(named)
        pool.effects.append(AskAdvice(turn.group, named, duration_s * 1000))

    def _may_fit(self, step: Step, advice: StepAdvice, free: list[Worker]) -> bool:
        """Tell whether a gang may have room now, as far as is known which workers it may use."""
        room = sum(
            count_fitting(step.charge, worker.get_room())
            for worker in free
            if worker.key.id in advice.allowed
        )
        known = advice.allowed | advice.denied
        return room >= step.count or any(worker.key.id not in known for worker in free)

    def _take_call(self, duration_s: float) -> bool:
        """Count an advice call, and tell whether it may be made now."""
        self._short_calls -= 1
        if duration_s <= SHORT_S:
            return self._short_calls >= 0
        self._long_calls -= 1
        return self._long_calls >= 0

    def _list_candidates(
        self, step: Step, state: StepState, advice: StepAdvice, free: list[Worker]
    ) -> list[Worker]:
        """Return the workers of which a ticket is missing: those with room, and unknown ones.

        Which workers are allowed never changes, so it is found out for all of them at once.
        """
        beside = count_beside(state)
        candidates = []
        for worker in free:
            name = worker.key.id
            if name in advice.denied or advice.get_ticket(name, self.pool.now) is not None:
                continue
            if step.max_per_worker and beside.get(name, 0) >= step.max_per_worker:
                continue
            if not self._suits(step, worker):
                continue
            whole = step.gang or name not in advice.allowed
            room = worker.entry.capacity if whole else self._get_unpromised(worker)
            if step.charge.fits(room):
                candidates.append(worker)
        return candidates

    def _get_unpromised(self, worker: Worker) -> Resources:
        """Return the room of a worker that no more urgent step is about to use."""
        found = self._promised.get(worker.key.id)
        return worker.get_room() if found is None else found

    def _promise_room(self, step: Step, workers: list[Worker], missing: int) -> None:
        """Count on a step to use room, so that less urgent ones leave it free.

        Room for gangs is held back apart, and only for as long as it takes.
        """
        if step.gang:
            return
        for worker in workers:
            room = self._get_unpromised(worker)
            while missing > 0 and step.charge.fits(room):
                room = room.subtract(step.charge)
                missing -= 1
            self._promised[worker.key.id] = room
            if missing <= 0:
                return

    def _look_ahead(self, usable: list[Worker]) -> None:
        """Ask for advice on steps whose turn comes soon."""
        pool = self.pool
        for job in pool.active.values():
            if not job.started or len(job.spec.steps) == 1:
                continue
            queue = pool.get_queue(job)
            if queue is None or queue.advising is None:
                continue
            for occurrence in job.list_due(pool.unix_ms):
                self._look_ahead_in(job, occurrence, queue, usable)

    def _look_ahead_in(self, job: Job, occurrence: int, queue: Queue, usable: list[Worker]) -> None:
        for number, step in enumerate(job.spec.steps):
            if not step.after or job.is_step_open(occurrence, number):
                continue
            group = Group(job.id, occurrence, number)
            advice = self.pool.advice.get(group)
            if advice is not None and (advice.tickets or advice.asked):
                continue
            assert queue.advising is not None
            ahead = get_duration(queue.advising, len(usable)) + AHEAD_S
            if self._estimate_turn(job, occurrence, step) > ahead:
                continue
            turn = Turn(False, queue.priority, 0.0, group, job, queue)
            self._seek_advice(turn, step, job.get_step(occurrence, number), usable, step.count)

    def _estimate_turn(self, job: Job, occurrence: int, step: Step) -> float:
        """Return in how many seconds a step's turn is expected, from the runs before it."""
        latest = 0.0
        for earlier in step.after:
            state = job.steps.get((occurrence, earlier))
            spec = job.spec.steps[earlier]
            if state is None or state.waiting:
                return float("inf")
            expected_s = spec.expected_ms / 1000 * USUAL_RATIO
            for runs in state.live.values():
                left = min(run.ordered_at + expected_s - self.pool.now for run in runs)
                latest = max(latest, left)
        return latest


def count_beside(state: StepState | None) -> dict[str, int]:
    """Return how many tasks of a step run on each worker."""
    counts: dict[str, int] = {}
    if state is not None:
        for runs in state.live.values():
            for run in runs:
                counts[run.worker.id] = counts.get(run.worker.id, 0) + 1
    return counts
