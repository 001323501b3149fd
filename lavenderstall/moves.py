"""Moves of waiting tasks from a full slice to one with room."""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import JobId, SliceName
from lavenderstall.jobs import measure_places
from lavenderstall.messages import SliceSummary
from lavenderstall.protocol import Condition, Kind, Put
from lavenderstall.records import (
    JobRow,
    JobSpec,
    WorkRow,
    decode_row,
    encode_row,
    make_job_key,
    make_work_key,
)
from lavenderstall.slots import Commits
from lavenderstall.storage import TableStore

if TYPE_CHECKING:
    from lavenderstall.slices import SliceServer
    from lavenderstall.tasks import Task
    from lavenderstall.work import Job

logger = logging.getLogger(__name__)

STEP_SECONDS = 1.0
# A shorter wait would move tasks that the next end of a task lets start.
PATIENCE_SECONDS = 2.0
MOVED_AT_ONCE = 256
COMMIT_SECONDS = 5.0


def choose_target(
    spec: JobSpec, count: int, own: SliceName, summaries: Sequence[SliceSummary]
) -> tuple[SliceName, int] | None:
    """Return the slice with most room for waiting tasks and how many fit there now."""
    others = [summary for summary in summaries if summary.slice != own]
    places = [place for place in measure_places(spec, others) if place.now > place.waiting]
    if spec.kind is Kind.GANG:
        places = [place for place in places if place.now >= spec.tasks]
    if not places:
        return None
    best = max(places, key=lambda place: (place.now - place.waiting, place.slice))
    return best.slice, min(count, best.now - best.waiting, MOVED_AT_ONCE)


class Mover:
    """Move tasks of one owned slice; only its owner may move them out."""

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

    def step(self) -> "Deferred[None] | None":
        """Move the tasks of one job, unless the last move still runs."""
        server = self._server
        if self._running or server.paused or server.draining or not server.loaded:
            return None
        found = self._find_stuck()
        if found is None:
            return None
        self._running = True
        return Deferred.fromCoroutine(self._move(*found))

    def _find_stuck(self) -> "tuple[Job, list[Task], SliceName] | None":
        """Return tasks of a job that wait here and fit elsewhere."""
        before = self._server.now() - PATIENCE_SECONDS
        stuck: dict[JobId, list[Task]] = {}
        for task in self._server.list_waiting():
            if task.since <= before:
                stuck.setdefault(task.spec.id, []).append(task)
        if not stuck:
            return None
        summaries = self._list_summaries()
        for job_id, tasks in stuck.items():
            job = self._server.work.jobs.get(job_id)
            spec = tasks[0].spec
            whole = spec.kind is not Kind.GANG or len(tasks) == spec.tasks
            if job is None or job.committing or job.row.cancelled or not whole:
                continue
            target = choose_target(spec, len(tasks), self._server.name, summaries)
            if target is not None:
                return job, tasks[: target[1]], target[0]
        return None

    async def _move(self, job: "Job", tasks: "list[Task]", target: SliceName) -> None:
        """Rewrite both work rows and the job row in one transaction."""
        server = self._server
        indices = {task.index for task in tasks}
        job.committing = True
        for task in tasks:
            server.withdraw(task)
        try:
            await self._commit(job, indices, target)
        except LavenderstallError as error:
            # The write may still take effect. A later commit of the own row rules that out, since
            # the move depends on the row's version; only then do the tasks wait here again.
            logger.info("move of %s to %s: %s", job.row.spec.id, target, error)
            server.work.commit_before(job, lambda: server.return_tasks(tasks))
            return
        finally:
            job.committing = False
            self._running = False
        server.forget_tasks(tasks, f"moved to {target}")
        self._hint(job.row.spec.id, [target])

    async def _commit(self, job: "Job", indices: set[int], target: SliceName) -> None:
        spec, nonce = job.row.spec, self._make_nonce()
        job_key, key = make_job_key(spec.id), make_work_key(target, spec.id)
        stored = await self._store.read(job_key)
        other = await self._store.read(key)
        if stored is None:
            raise LavenderstallError("the job row is gone", step="move", peer=spec.id)
        whole = decode_row(stored, JobRow)
        mine = msgspec.structs.replace(
            job.row, tasks=[i for i in job.row.tasks if i not in indices], nonce=nonce
        )
        theirs = decode_row(other, WorkRow) if other else WorkRow(spec, target, [], nonce)
        theirs.tasks = sorted({*theirs.tasks, *indices})
        whole.slices = sorted({*whole.slices, target})
        own_key = make_work_key(self._server.name, spec.id)
        done = await self._commits.submit(
            [
                Condition(own_key, job.version),
                Condition(key, other.version if other else 0),
                Condition(job_key, stored.version),
            ],
            [
                Put(own_key, encode_row(mine)),
                Put(key, encode_row(theirs)),
                Put(job_key, encode_row(whole)),
            ],
            timeout=COMMIT_SECONDS,
        )
        # Ends that were noted during the commit are kept.
        job.row.tasks = mine.tasks
        job.version = done.revision
