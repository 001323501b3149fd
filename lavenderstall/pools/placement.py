"""Choice of the workers that take the tasks of a step."""

from itertools import groupby
from typing import NamedTuple

from lavenderstall.pools.job import StepState
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.waiting_steps import WaitingStep
from lavenderstall.pools.work import Step
from lavenderstall.pools.workers import Worker
from lavenderstall.resources import Resources


class Offer(NamedTuple):
    """Hold a worker that may take a task, ordered by how well it suits."""

    score: float
    room: int
    worker: Worker
    ticket: str


class Placement:
    """Place tasks where they fit, and keep room free that more urgent steps are about to use."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self._promised: dict[str, Resources] = {}

    def clear(self) -> None:
        """Begin a dispatch, with no room promised."""
        self._promised = {}

    def get_room(self, worker: Worker) -> Resources:
        """Return the room of a worker that no more urgent step is about to use."""
        found = self._promised.get(worker.key.id)
        return worker.get_room() if found is None else found

    def note_start(self, worker: Worker, step: Step) -> None:
        """Take the room of a task that is about to start."""
        if worker.key.id in self._promised:
            self._promised[worker.key.id] = self._promised[worker.key.id].subtract(step.charge)

    def promise_room(self, step: Step, workers: list[Worker], missing: int) -> None:
        """Count on a step to use room, so that less urgent ones leave it free.

        Room for gangs is held back apart, and only for as long as it takes.
        """
        if step.gang:
            return
        for worker in workers:
            room = self.get_room(worker)
            while missing > 0 and step.charge.fits(room):
                room = room.subtract(step.charge)
                missing -= 1
            self._promised[worker.key.id] = room
            if missing <= 0:
                return

    def place(
        self, waiting_step: WaitingStep, waiting: list[int], free: list[Worker]
    ) -> list[tuple[int, Offer]]:
        """Choose a worker for each waiting task, as far as they fit."""
        offers = self._list_offers(waiting_step, free)
        if waiting_step.step.gang and len(waiting) > 1:
            return self._place_gang(waiting_step.step, waiting, offers)
        return self._fill(waiting_step.step, waiting_step.state, waiting, offers)

    def _list_offers(self, waiting_step: WaitingStep, free: list[Worker]) -> list[Offer]:
        """Return the workers that may run a task of a step now, best first."""
        advice = self.pool.advice.get(waiting_step.step_key)
        offers = []
        for worker in free:
            room = self.get_room(worker)
            if not waiting_step.step.charge.fits(room) or not self.suits(waiting_step.step, worker):
                continue
            ticket: str | None = ""
            if waiting_step.queue.advising is not None:
                ticket = advice.get_ticket(worker.key.id, self.pool.now) if advice else None
            if ticket is not None:
                score = self.get_score(waiting_step.step, worker)
                offers.append(Offer(score, room.cores_milli, worker, ticket))
        return sorted(offers, key=lambda offer: offer[:2])

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
            room = self.get_room(offer.worker)
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
        if any(run.worker.id == worker for run in state.active_runs.get(index, ())):
            return True
        failed_on = state.failed_on.get(index)
        if not failed_on or worker not in failed_on:
            return False
        return any(offer.worker.key.id not in failed_on for offer in offers)

    def suits(self, step: Step, worker: Worker) -> bool:
        """Tell whether a worker has the label of a step and runs nothing that it would disturb."""
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

    def get_score(self, step: Step, worker: Worker) -> float:
        """Return how long a task is expected to run on a worker, over its declared duration."""
        entry = worker.entry
        score = self.pool.speeds.estimate(step.image, entry.kind, entry.id)
        if step.data_rack and step.data_rack != entry.rack:
            score *= self.pool.remote_factor
        return round(score, 1)


def count_beside(state: StepState | None) -> dict[str, int]:
    """Return how many tasks of a step run on each worker."""
    counts: dict[str, int] = {}
    if state is not None:
        for runs in state.active_runs.values():
            for run in runs:
                counts[run.worker.id] = counts.get(run.worker.id, 0) + 1
    return counts
