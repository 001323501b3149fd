"""Deletion of obsolete rows from the table service."""

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from lavenderstall.archives import ChangeArchive
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, JobId, SliceName
from lavenderstall.protocol import Condition, Row
from lavenderstall.reconciler import DECLARED_PREFIX
from lavenderstall.records import (
    BINDING_BUCKETS,
    PREFIX_ENTRY,
    JobRow,
    RequestBindingRow,
    UnreadableRowError,
    decode_row,
    decode_rows,
    make_binding_prefix,
    make_job_key,
    make_work_key,
)
from lavenderstall.schemas import Retention
from lavenderstall.set_aside import SetAside
from lavenderstall.storage import TableStore
from lavenderstall.tenures import rank_candidates

if TYPE_CHECKING:
    from lavenderstall.call_server import Commits
    from lavenderstall.slices import SliceServer

logger = logging.getLogger(__name__)

STEP_SECONDS = 5.0
ENTRY_RETENTION_SECONDS = 600.0
MAX_DELETES_PER_TRANSACTION = 50
MAX_JOBS_PER_STEP = 20
COMMIT_TIMEOUT_SECONDS = 5.0


class Cleaner:
    """Delete liveness rows of entry instances that left, finished jobs and expired bindings."""

    def __init__(
        self,
        entry: EntryId,
        store: TableStore,
        commits: "Commits",
        now: Callable[[], float],
        read_unix: Callable[[], float],
        list_entries: Callable[[], Iterable[EntryId]],
        list_servers: Callable[[], "Iterable[SliceServer]"],
        get_retention: Callable[[], Retention],
        archive: ChangeArchive | None = None,
        set_aside: SetAside | None = None,
    ) -> None:
        self._entry = entry
        self._store = store
        self._commits = commits
        self._now = now
        self._read_unix = read_unix
        self._list_entries = list_entries
        self._list_servers = list_servers
        self._get_retention = get_retention
        self._archive = archive
        self._set_aside = set_aside or SetAside()
        self._last_renewals: dict[str, tuple[int, float]] = {}
        self._ended_at: dict[tuple[SliceName, JobId], float] = {}
        self._bucket = 0
        self._running = False

    def step(self) -> "Deferred[None] | None":
        """Start a cleanup step, unless the previous one is still running."""
        if self._running:
            return None
        self._running = True
        return Deferred.fromCoroutine(self._step())

    async def _step(self) -> None:
        try:
            await self._clean_jobs()
            if self._is_responsible("entries"):
                await self._clean_entries()
            if self._archive is not None and self._is_responsible("changes"):
                await self._archive.archive(self._get_retention().changes)
            self._bucket = (self._bucket + 1) % BINDING_BUCKETS
            if self._is_responsible(f"once {self._bucket}"):
                await self._clean_bindings(self._bucket)
        except LavenderstallError as error:
            logger.info("cleanup step failed: %s", error)
        finally:
            self._running = False

    def _is_responsible(self, part: str) -> bool:
        """Return whether this entry instance cleans a part; an overlap of two is harmless."""
        ranked = rank_candidates(SliceName(part), self._list_entries())
        return bool(ranked) and ranked[0] == self._entry

    async def _delete(self, rows: Iterable[Row]) -> None:
        found = list(rows)[:MAX_DELETES_PER_TRANSACTION]
        if found:
            conditions = [Condition(row.key, row.version) for row in found]
            deletes = [row.key for row in found]
            await self._commits.submit(conditions, (), deletes, timeout=COMMIT_TIMEOUT_SECONDS)

    async def _clean_entries(self) -> None:
        """Delete liveness rows that were not renewed for `ENTRY_RETENTION_SECONDS`."""
        now = self._now()
        rows = (await self._store.scan(PREFIX_ENTRY)).rows
        for row in rows:
            if self._last_renewals.get(row.key, (0, 0.0))[0] != row.version:
                self._last_renewals[row.key] = (row.version, now)
        self._last_renewals = {row.key: self._last_renewals[row.key] for row in rows}
        await self._delete(
            row for row in rows if now - self._last_renewals[row.key][1] > ENTRY_RETENTION_SECONDS
        )

    async def _clean_bindings(self, bucket: int) -> None:
        limit = self._read_unix() - self._get_retention().requests_ms / 1000
        rows = (await self._store.scan(make_binding_prefix(bucket))).rows
        bound, _ = decode_rows(rows, RequestBindingRow, None, self._set_aside)
        await self._delete(row for row, binding in bound if binding.bound_unix < limit)

    async def _clean_jobs(self) -> None:
        """Delete the rows of submitted jobs whose retention has expired."""
        now = self._now()
        retention_s = self._get_retention().jobs_ms / 1000
        deleted = 0
        for server in self._list_servers():
            for job in list(server.work.jobs.values()):
                key = (server.name, job.row.spec.id)
                declared = job.row.spec.id.startswith(DECLARED_PREFIX)
                if declared or not job.is_finished() or job.dirty or job.committing:
                    self._ended_at.pop(key, None)
                elif now - self._ended_at.setdefault(key, now) > retention_s:
                    del self._ended_at[key]
                    await self._delete_job(server.name, job.row.spec.id)
                    deleted += 1
                    if deleted >= MAX_JOBS_PER_STEP:
                        return

    async def _delete_job(self, name: SliceName, job: JobId) -> None:
        """Delete a slice's part of a job, and with the last part the row of the job."""
        work = await self._store.read(make_work_key(name, job))
        job_row = await self._store.read(make_job_key(job))
        rows = [row for row in (work,) if row is not None]
        if job_row is not None:
            try:
                slices = decode_row(job_row, JobRow).slices
            except UnreadableRowError as error:
                # Other slices may still need the row of the job.
                self._set_aside.add(job_row.key, job_row.version, error)
                return
            other_slices = [s for s in slices if s != name]
            remaining = [await self._store.read(make_work_key(s, job)) for s in other_slices]
            if not any(remaining):
                rows.append(job_row)
        await self._delete(rows)
