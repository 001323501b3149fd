"""Rows of the work that a slice was assigned, and the commits of what ended."""

import logging
from collections.abc import Callable, Iterable

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.call_server import Commits
from lavenderstall.errors import ConflictError, LavenderstallError
from lavenderstall.identifiers import JobId, SliceName, WorkerId
from lavenderstall.protocol import Condition, Put, Rows
from lavenderstall.records import WorkRow, decode_row, encode_row, make_work_key

logger = logging.getLogger(__name__)

COMMIT_SECONDS = 5.0
ENDED_FIELDS = ("done", "failed", "unknown", "stopped")


class Job(msgspec.Struct):
    """Hold a row, its version, and what has to happen once it is committed."""

    row: WorkRow
    version: int
    dirty: bool = False
    committing: bool = False
    # Somebody else wrote the row, which has to be read before the next commit.
    stale: bool = False
    after: list[Callable[[], None]] = []

    def is_finished(self) -> bool:
        """Tell whether all tasks have ended."""
        return not self.row.list_open()


def merge_rows(mine: WorkRow, stored: WorkRow) -> WorkRow:
    """Return the stored row with the ends and bindings that only the owner has noted so far."""
    ended = {
        field: sorted({*getattr(mine, field), *getattr(stored, field)}) for field in ENDED_FIELDS
    }
    return msgspec.structs.replace(stored, bound=stored.bound | mine.bound, **ended)


class WorkRows:
    """Hold the work rows of one slice; its owner is the only one that notes ends."""

    def __init__(
        self,
        name: SliceName,
        commits: Commits,
        make_nonce: Callable[[], str],
        request_reload: Callable[[], None],
    ) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.revision = 0
        self._name = name
        self._commits = commits
        self._make_nonce = make_nonce
        self._request_reload = request_reload

    def load(self, rows: Rows) -> tuple[list[Job], list[Job]]:
        """Take rows as of one revision; return the jobs that changed and those that are gone."""
        self.revision = rows.revision
        changed: list[Job] = []
        found: set[JobId] = set()
        for row in rows.rows:
            stored = decode_row(row, WorkRow)
            found.add(stored.spec.id)
            job = self.jobs.get(stored.spec.id)
            if job is None:
                job = self.jobs[stored.spec.id] = Job(stored, row.version)
            elif row.version > job.version and not job.committing:
                job.row = merge_rows(job.row, stored) if job.dirty else stored
                job.version = row.version
                job.stale = False
            else:
                continue
            changed.append(job)
        gone = [
            job
            for job in self.jobs.values()
            if job.row.spec.id not in found and not job.committing and job.version <= rows.revision
        ]
        for job in gone:
            del self.jobs[job.row.spec.id]
        return changed, gone

    def note_end(
        self, job_id: JobId, index: int, field: str, after: Callable[[], None] | None = None
    ) -> None:
        """Note that a task ended; call back once the table holds it."""
        job = self.jobs.get(job_id)
        if job is None:
            if after is not None:
                after()
            return
        listed = getattr(job.row, field)
        # A task that was moved away is no longer this slice's to end.
        if index not in listed and index in job.row.tasks:
            setattr(job.row, field, sorted({*listed, index}))
            job.dirty = True
        if after is not None:
            self.call_after(job_id, after)

    def call_after(self, job_id: JobId, callback: Callable[[], None]) -> None:
        """Call back once the table holds what is noted of a job."""
        job = self.jobs.get(job_id)
        if job is not None and (job.dirty or job.committing):
            job.after = [*job.after, callback]
        else:
            callback()

    async def bind(self, job_id: JobId, indices: Iterable[int], worker: WorkerId) -> bool:
        """Commit that tasks go to a worker; tell whether the table holds it."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.row.bound = job.row.bound | dict.fromkeys(indices, worker)
        job.dirty = True
        done: Deferred[None] = Deferred()
        job.after = [*job.after, lambda: done.callback(None)]
        await self._commit(job)
        return done.called

    def unbind(self, job_id: JobId, index: int) -> None:
        """Note that a bound task was surely not started."""
        job = self.jobs.get(job_id)
        if job is not None and index in job.row.bound:
            job.row.bound = {i: w for i, w in job.row.bound.items() if i != index}
            job.dirty = True

    def commit_before(self, job: Job, after: Callable[[], None]) -> None:
        """Call a function once the row has been committed anew."""
        job.dirty = True
        job.after = [*job.after, after]

    def flush(self) -> "list[Deferred[None]]":
        """Commit what has changed."""
        return [
            Deferred.fromCoroutine(self._commit(job))
            for job in list(self.jobs.values())
            if job.dirty and not job.committing and not job.stale
        ]

    async def _commit(self, job: Job) -> None:
        if job.committing or job.stale:
            return
        job.committing = True
        job.dirty = False
        after, job.after = job.after, []
        job.row.nonce = self._make_nonce()
        key = make_work_key(self._name, job.row.spec.id)
        try:
            done = await self._commits.submit(
                [Condition(key, job.version)],
                [Put(key, encode_row(job.row))],
                timeout=COMMIT_SECONDS,
            )
        except LavenderstallError as error:
            job.dirty = True
            job.after = [*after, *job.after]
            if isinstance(error, ConflictError):
                # Somebody cancelled or changed the job; the row is read again and merged.
                job.stale = True
                self._request_reload()
            else:
                logger.info("commit of %s: %s", key, error)
            return
        finally:
            job.committing = False
        job.version = done.revision
        for callback in after:
            callback()
