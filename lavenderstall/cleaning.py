"""Removal of rows that nothing needs any more."""

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
    ONCE_BUCKETS,
    PREFIX_ENTRY,
    JobRow,
    OnceRow,
    decode_row,
    make_job_key,
    make_once_prefix,
    make_work_key,
)
from lavenderstall.schemas import Retention
from lavenderstall.storage import TableStore
from lavenderstall.tenures import rank_candidates

if TYPE_CHECKING:
    from lavenderstall.call_server import Commits
    from lavenderstall.slices import SliceServer

logger = logging.getLogger(__name__)

STEP_SECONDS = 5.0
ENTRY_SECONDS = 600.0
DELETES_AT_ONCE = 50
JOBS_AT_ONCE = 20
COMMIT_SECONDS = 5.0


class Cleaner:
    """Delete liveness rows of entry instances that left, ended jobs and old bindings."""

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
        self._seen: dict[str, tuple[int, float]] = {}
        self._ended: dict[tuple[SliceName, JobId], float] = {}
        self._bucket = 0
        self._running = False

    def step(self) -> "Deferred[None] | None":
        """Clean a part, unless the last step still runs."""
        if self._running:
            return None
        self._running = True
        return Deferred.fromCoroutine(self._step())

    async def _step(self) -> None:
        try:
            await self._clean_jobs()
            if self._is_mine("entries"):
                await self._clean_entries()
            if self._archive is not None and self._is_mine("changes"):
                await self._archive.archive(self._get_retention().changes)
            self._bucket = (self._bucket + 1) % ONCE_BUCKETS
            if self._is_mine(f"once {self._bucket}"):
                await self._clean_once(self._bucket)
        except LavenderstallError as error:
            logger.info("cleaning: %s", error)
        finally:
            self._running = False

    def _is_mine(self, part: str) -> bool:
        """Tell whether this entry instance cleans a part; two that do are harmless."""
        ranked = rank_candidates(SliceName(part), self._list_entries())
        return bool(ranked) and ranked[0] == self._entry

    async def _delete(self, rows: Iterable[Row]) -> None:
        found = list(rows)[:DELETES_AT_ONCE]
        if found:
            conditions = [Condition(row.key, row.version) for row in found]
            deletes = [row.key for row in found]
            await self._commits.submit(conditions, (), deletes, timeout=COMMIT_SECONDS)

    async def _clean_entries(self) -> None:
        """Delete rows whose entry instance has not renewed them for long."""
        now = self._now()
        rows = (await self._store.scan(PREFIX_ENTRY)).rows
        for row in rows:
            if self._seen.get(row.key, (0, 0.0))[0] != row.version:
                self._seen[row.key] = (row.version, now)
        self._seen = {row.key: self._seen[row.key] for row in rows}
        await self._delete(row for row in rows if now - self._seen[row.key][1] > ENTRY_SECONDS)

    async def _clean_once(self, bucket: int) -> None:
        limit = self._read_unix() - self._get_retention().requests_ms / 1000
        rows = (await self._store.scan(make_once_prefix(bucket))).rows
        await self._delete(row for row in rows if decode_row(row, OnceRow).bound_unix < limit)

    async def _clean_jobs(self) -> None:
        """Delete the rows of submitted jobs that ended long ago."""
        now = self._now()
        kept = self._get_retention().jobs_ms / 1000
        deleted = 0
        for server in self._list_servers():
            for job in list(server.work.jobs.values()):
                key = (server.name, job.row.spec.id)
                declared = job.row.spec.id.startswith(DECLARED_PREFIX)
                if declared or not job.is_finished() or job.dirty or job.committing:
                    self._ended.pop(key, None)
                elif now - self._ended.setdefault(key, now) > kept:
                    del self._ended[key]
                    await self._delete_job(server.name, job.row.spec.id)
                    deleted += 1
                    if deleted >= JOBS_AT_ONCE:
                        return

    async def _delete_job(self, name: SliceName, job: JobId) -> None:
        """Delete a slice's part of a job, and the job's row with the last part."""
        work = await self._store.read(make_work_key(name, job))
        whole = await self._store.read(make_job_key(job))
        rows = [row for row in (work,) if row is not None]
        if whole is not None:
            others = [s for s in decode_row(whole, JobRow).slices if s != name]
            left = [await self._store.read(make_work_key(s, job)) for s in others]
            if not any(left):
                rows.append(whole)
        await self._delete(rows)
