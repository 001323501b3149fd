"""Moves of waiting tasks from a full slice to one with free resources."""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.call_server import Commits
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import JobId, SliceName
from lavenderstall.jobs import find_fitting_slices
from lavenderstall.messages import SliceSummary
from lavenderstall.protocol import Condition, Kind, Put
from lavenderstall.records import (
    JobRow,
    JobSpec,
    UnreadableRowError,
    WorkRow,
    decode_row,
    encode_row,
    make_job_key,
    make_work_key,
)
from lavenderstall.storage import TableStore

if TYPE_CHECKING:
    from lavenderstall.slices import SliceServer
    from lavenderstall.tasks import Task
    from lavenderstall.work_rows import CachedWorkRow

logger = logging.getLogger(__name__)

MOVE_INTERVAL_S = 1.0
# A shorter wait would move tasks that could start here as soon as the next task ends.
MIN_WAIT_S = 2.0
MAX_TASKS_PER_MOVE = 256
COMMIT_TIMEOUT_S = 5.0
# Until then other jobs may move, as one is tried at a time.
UNREADABLE_RETRY_S = 60.0


def choose_destination(
    spec: JobSpec, count: int, own: SliceName, summaries: Sequence[SliceSummary]
) -> tuple[SliceName, int] | None:
    """Return the slice with room for most further tasks and how many to move there."""
    other_summaries = [summary for summary in summaries if summary.slice != own]
    fits = [fit for fit in find_fitting_slices(spec, other_summaries) if fit.fits_now > fit.waiting]
    if spec.kind is Kind.GANG:
        fits = [fit for fit in fits if fit.fits_now >= spec.tasks]
    if not fits:
        return None
    best = max(fits, key=lambda fit: (fit.fits_now - fit.waiting, fit.slice))
    return best.slice, min(count, best.fits_now - best.waiting, MAX_TASKS_PER_MOVE)


class TaskMover:
    """Move waiting tasks out of a slice; only its owner may do so."""

    def __init__(
        self,
        server: "SliceServer",
        store: TableStore,
        commits: Commits,
        make_nonce: Callable[[], str],
        list_summaries: Callable[[], list[SliceSummary]],
        hint: Callable[[JobId, Iterable[SliceName]], None],
    ) -> None:
        self._server = server
        self._store = store
        self._commits = commits
        self._make_nonce = make_nonce
        self._list_summaries = list_summaries
        self._hint = hint
        self._running = False
        # Jobs with a row that can't be read, and when their move is tried again.
        self._retry_at: dict[JobId, float] = {}

    def step(self) -> "Deferred[None] | None":
        """Start moving tasks of one job, unless a move is still running."""
        server = self._server
        if self._running or server.paused or server.draining or not server.loaded:
            return None
        movable = self._find_movable()
        if movable is None:
            return None
        self._running = True
        return Deferred.fromCoroutine(self._move(*movable))

    def _find_movable(self) -> "tuple[CachedWorkRow, list[Task], SliceName] | None":
        """Return waiting tasks of a job that fit in another slice."""
        cutoff = self._server.now() - MIN_WAIT_S
        waiting: dict[JobId, list[Task]] = {}
        for task in self._server.list_waiting():
            if task.waiting_since <= cutoff:
                waiting.setdefault(task.spec.id, []).append(task)
        if not waiting:
            return None
        summaries = self._list_summaries()
        for job_id, tasks in waiting.items():
            job = self._server.work.jobs.get(job_id)
            spec = tasks[0].spec
            is_complete = spec.kind is not Kind.GANG or len(tasks) == spec.tasks
            if job is None or job.committing or job.row.cancelled or not is_complete:
                continue
            if self._server.now() < self._retry_at.get(job_id, 0.0):
                continue
            choice = choose_destination(spec, len(tasks), self._server.name, summaries)
            if choice is not None:
                return job, tasks[: choice[1]], choice[0]
        return None

    async def _move(
        self, job: "CachedWorkRow", tasks: "list[Task]", destination: SliceName
    ) -> None:
        """Update both work rows and the job row in one transaction."""
        server = self._server
        indices = {task.index for task in tasks}
        job.committing = True
        for task in tasks:
            server.withdraw(task)
        try:
            await self._commit(job, indices, destination)
        except LavenderstallError as error:
            if isinstance(error, UnreadableRowError):
                self._retry_at[job.row.spec.id] = server.now() + UNREADABLE_RETRY_S
            # The write may still take effect. A later commit of the source row rules that out, as
            # the move depends on that row's version; only then do the tasks wait here again.
            logger.info(
                "move of tasks of job %s to slice %s not confirmed: %s",
                job.row.spec.id,
                destination,
                error,
            )
            server.work.call_after_next_commit(job, lambda: server.return_tasks(tasks))
            return
        finally:
            job.committing = False
            self._running = False
        server.forget_tasks(tasks, f"moved to {destination}")
        self._hint(job.row.spec.id, [destination])

    async def _commit(
        self, job: "CachedWorkRow", indices: set[int], destination: SliceName
    ) -> None:
        spec, nonce = job.row.spec, self._make_nonce()
        job_key, destination_key = make_job_key(spec.id), make_work_key(destination, spec.id)
        stored_job = await self._store.read(job_key)
        stored_destination = await self._store.read(destination_key)
        if stored_job is None:
            raise LavenderstallError("the job row no longer exists", step="move", peer=spec.id)
        job_row = decode_row(stored_job, JobRow)
        source_row = msgspec.structs.replace(
            job.row,
            tasks=[i for i in job.row.tasks if i not in indices],
            nonce=nonce,
            rewritten=True,
        )
        destination_row = (
            decode_row(stored_destination, WorkRow)
            if stored_destination
            else WorkRow(spec, destination, [], nonce)
        )
        destination_row.rewritten = stored_destination is not None
        destination_row.tasks = sorted({*destination_row.tasks, *indices})
        destination_row.crashes = destination_row.crashes | {
            index: crashes for index, crashes in job.row.crashes.items() if index in indices
        }
        job_row.slices = sorted({*job_row.slices, destination})
        source_key = make_work_key(self._server.name, spec.id)
        committed = await self._commits.submit(
            [
                Condition(source_key, job.version),
                Condition(destination_key, stored_destination.version if stored_destination else 0),
                Condition(job_key, stored_job.version),
            ],
            [
                Put(source_key, encode_row(source_row)),
                Put(destination_key, encode_row(destination_row)),
                Put(job_key, encode_row(job_row)),
            ],
            timeout=COMMIT_TIMEOUT_S,
        )
        # Ends of tasks recorded during the commit are kept.
        job.row.tasks = source_row.tasks
        job.version = committed.revision
