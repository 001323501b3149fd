"""Cached work rows of one slice, and the commits of ended and bound tasks."""

import logging
from collections.abc import Callable, Iterable

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.call_server import Commits
from lavenderstall.errors import ConflictError, LavenderstallError
from lavenderstall.identifiers import JobId, SliceName, WorkerId
from lavenderstall.protocol import Condition, Put, Rows
from lavenderstall.records import (
    NO_CRASHES,
    PREFIX_WORK,
    TaskCrashes,
    WorkRow,
    decode_rows,
    encode_row,
    make_work_key,
)
from lavenderstall.set_aside import SetAside

logger = logging.getLogger(__name__)

COMMIT_TIMEOUT_SECONDS = 5.0
ENDED_FIELDS = ("done", "failed", "unknown", "stopped")


class CachedWorkRow(msgspec.Struct):
    """Hold a work row, its version, and the callbacks to run once it is committed."""

    row: WorkRow
    version: int
    dirty: bool = False
    committing: bool = False
    # Another writer changed the row, so it must be read before the next commit.
    stale: bool = False
    on_committed: list[Callable[[], None]] = []

    def is_finished(self) -> bool:
        """Return whether all tasks have ended."""
        return not self.row.list_open()


def merge_rows(mine: WorkRow, stored: WorkRow) -> WorkRow:
    """Return the stored row with the owner's uncommitted ends, bindings and crashes."""
    ended = {
        field: sorted({*getattr(mine, field), *getattr(stored, field)}) for field in ENDED_FIELDS
    }
    moved_here = {i: crashes for i, crashes in stored.crashes.items() if i not in mine.tasks}
    return msgspec.structs.replace(
        stored,
        bound=stored.bound | mine.bound,
        crashes=moved_here | mine.crashes,
        **ended,
    )


class WorkRows:
    """Cache the work rows of one slice; only the slice's owner records ends."""

    def __init__(
        self,
        name: SliceName,
        commits: Commits,
        make_nonce: Callable[[], str],
        request_reload: Callable[[], None],
        set_aside: SetAside | None = None,
    ) -> None:
        self.jobs: dict[JobId, CachedWorkRow] = {}
        # Jobs whose rows are there but can't be read; what is known of them is kept.
        self.unreadable: frozenset[JobId] = frozenset()
        self.revision = 0
        self._name = name
        self._commits = commits
        self._make_nonce = make_nonce
        self._request_reload = request_reload
        self._set_aside = set_aside or SetAside()

    def load(self, rows: Rows) -> tuple[list[CachedWorkRow], list[CachedWorkRow]]:
        """Load rows as of one revision; return the changed and the removed jobs."""
        self.revision = rows.revision
        changed: list[CachedWorkRow] = []
        readable, unreadable = decode_rows(
            rows.rows, WorkRow, lambda row: make_work_key(self._name, row.spec.id), self._set_aside
        )
        prefix = f"{PREFIX_WORK}{self._name}/"
        self.unreadable = frozenset(JobId(row.key.removeprefix(prefix)) for row in unreadable)
        found: set[JobId] = set(self.unreadable)
        for row, stored in readable:
            found.add(stored.spec.id)
            job = self.jobs.get(stored.spec.id)
            if job is None:
                job = self.jobs[stored.spec.id] = CachedWorkRow(stored, row.version)
            elif row.version > job.version and not job.committing:
                job.row = merge_rows(job.row, stored) if job.dirty else stored
                job.version = row.version
                job.stale = False
            else:
                continue
            changed.append(job)
        removed = [
            job
            for job in self.jobs.values()
            if job.row.spec.id not in found and not job.committing and job.version <= rows.revision
        ]
        for job in removed:
            del self.jobs[job.row.spec.id]
        return changed, removed

    def record_end(
        self, job_id: JobId, index: int, field: str, on_committed: Callable[[], None] | None = None
    ) -> None:
        """Record that a task ended and call back once that is committed."""
        job = self.jobs.get(job_id)
        if job is None:
            if on_committed is not None:
                on_committed()
            return
        listed = getattr(job.row, field)
        # The end of a task that moved away is recorded by its new slice.
        if index not in listed and index in job.row.tasks:
            setattr(job.row, field, sorted({*listed, index}))
            job.row.crashes.pop(index, None)
            job.dirty = True
        if on_committed is not None:
            self.call_after(job_id, on_committed)

    def record_crashes(self, job_id: JobId, index: int, crashes: TaskCrashes) -> None:
        """Record the crashes of workers under a task."""
        job = self.jobs.get(job_id)
        if job is None or job.row.crashes.get(index, NO_CRASHES) == crashes:
            return
        if crashes == NO_CRASHES:
            del job.row.crashes[index]
        else:
            job.row.crashes[index] = crashes
        job.dirty = True

    def call_after(self, job_id: JobId, callback: Callable[[], None]) -> None:
        """Call back once the recorded changes of a job are committed."""
        job = self.jobs.get(job_id)
        if job is not None and (job.dirty or job.committing):
            job.on_committed = [*job.on_committed, callback]
        else:
            callback()

    async def bind(self, job_id: JobId, indices: Iterable[int], worker: WorkerId) -> bool:
        """Bind tasks to a worker and return whether the binding is committed."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.row.bound = job.row.bound | dict.fromkeys(indices, worker)
        return await self.commit(job_id)

    async def commit(self, job_id: JobId) -> bool:
        """Commit the row of a job now and return whether that is done."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.dirty = True
        done: Deferred[None] = Deferred()
        job.on_committed = [*job.on_committed, lambda: done.callback(None)]
        await self._commit(job)
        return done.called

    def unbind(self, job_id: JobId, index: int) -> None:
        """Record that a bound task was certainly not started."""
        job = self.jobs.get(job_id)
        if job is not None and index in job.row.bound:
            job.row.bound = {i: w for i, w in job.row.bound.items() if i != index}
            job.dirty = True

    def call_after_next_commit(self, job: CachedWorkRow, on_committed: Callable[[], None]) -> None:
        """Commit the row again and call back once that is done."""
        job.dirty = True
        job.on_committed = [*job.on_committed, on_committed]

    def flush(self) -> "list[Deferred[None]]":
        """Commit all changed rows."""
        return [
            Deferred.fromCoroutine(self._commit(job))
            for job in list(self.jobs.values())
            if job.dirty and not job.committing and not job.stale
        ]

    async def _commit(self, job: CachedWorkRow) -> None:
        if job.committing or job.stale:
            return
        job.committing = True
        job.dirty = False
        on_committed, job.on_committed = job.on_committed, []
        job.row.nonce = self._make_nonce()
        job.row.rewritten = True
        key = make_work_key(self._name, job.row.spec.id)
        try:
            done = await self._commits.submit(
                [Condition(key, job.version)],
                [Put(key, encode_row(job.row))],
                timeout=COMMIT_TIMEOUT_SECONDS,
            )
        except LavenderstallError as error:
            job.dirty = True
            job.on_committed = [*on_committed, *job.on_committed]
            if isinstance(error, ConflictError):
                # Another writer changed or cancelled the job: read the row again and merge.
                job.stale = True
                self._request_reload()
            else:
                logger.info("commit of %s failed: %s", key, error)
            return
        finally:
            job.committing = False
        job.version = done.revision
        if not job.dirty:
            # What was recorded when these were added is part of this commit.
            on_committed = [*on_committed, *job.on_committed]
            job.on_committed = []
        for callback in on_committed:
            callback()
