"""Reconciliation of the jobs in the table with the declarations."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from zlib import crc32

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.call_routing import SliceDirectory
from lavenderstall.call_server import Commits
from lavenderstall.clocks import Clock
from lavenderstall.configuration import ConfigurationView
from lavenderstall.errors import ConflictError, LavenderstallError
from lavenderstall.identifiers import EntryId, JobId, ServiceName, SliceName
from lavenderstall.jobs import JobService, assign_tasks
from lavenderstall.protocol import Condition, Kind, Put, Row
from lavenderstall.records import (
    PREFIX_JOB,
    JobRow,
    JobSpec,
    WorkRow,
    decode_rows,
    encode_row,
    make_job_key,
    make_work_key,
)
from lavenderstall.requests import Constraints
from lavenderstall.requests import Spread as PlacementSpread
from lavenderstall.schemas import Batch, Gang, Service, Spread
from lavenderstall.schemas import Constraints as DeclaredConstraints
from lavenderstall.set_aside import SetAside
from lavenderstall.storage import TableStore
from lavenderstall.tenures import rank_candidates

logger = logging.getLogger(__name__)

# A slice lies in one zone; it spreads its share of the replicas over racks, or by free resources.
SPREADS = {
    Spread.ZONE: PlacementSpread.ZONE,
    Spread.RACK: PlacementSpread.RACK,
    Spread.WORKER: PlacementSpread.NONE,
}
DECLARED_PREFIX = "declared."
COMMIT_TIMEOUT_S = 5.0
STARTUP_DELAY_S = 3.0


def make_declared_job_id(item: Service | Batch | Gang) -> JobId:
    """Return the job id of a declaration; a changed batch or gang is a new job."""
    if isinstance(item, Service):
        return JobId(f"{DECLARED_PREFIX}{item.name}")
    digest = crc32(msgspec.json.encode(item))
    return JobId(f"{DECLARED_PREFIX}{item.name}.{digest:08x}")


def convert_constraints(declared: DeclaredConstraints) -> Constraints:
    """Return declared constraints in the form that placement uses."""
    return Constraints(
        zones=frozenset(declared.zones),
        racks=frozenset(declared.racks),
        affinity=frozenset(declared.near),
        anti_affinity=frozenset(declared.apart),
    )


def make_job_spec(item: Service | Batch | Gang) -> JobSpec:
    """Return the specification of the job that a declaration describes."""
    if isinstance(item, Service):
        return JobSpec(
            id=make_declared_job_id(item),
            team=item.team,
            kind=Kind.SERVICE,
            tasks=item.replicas,
            resources=item.resources,
            service=ServiceName(item.name),
            pool=item.pool,
            priority=item.priority,
            constraints=convert_constraints(item.constraints),
            spread=SPREADS[item.spread],
        )
    return JobSpec(
        id=make_declared_job_id(item),
        team=item.team,
        kind=Kind.BATCH if isinstance(item, Batch) else Kind.GANG,
        tasks=item.tasks,
        resources=item.resources,
        service=item.service if isinstance(item, Batch) else ServiceName(""),
        pool=item.pool,
        priority=item.priority,
        idempotent=item.idempotent,
        expected_ms=item.expected_ms,
        payload=item.payload,
        constraints=convert_constraints(item.constraints),
    )


def choose_kept_replicas(spec: JobSpec, works: Iterable[WorkRow]) -> list[int]:
    """Return the replicas of a service that stay when its declaration changes."""
    current = [index for work in works if not work.cancelled for index in work.list_open()]
    return sorted(current)[: spec.tasks]


def resize_rows(
    spec: JobSpec,
    works: Mapping[SliceName, WorkRow],
    kept: Collection[int],
    added_by_slice: Mapping[SliceName, list[int]],
) -> dict[SliceName, WorkRow]:
    """Return the work rows of a service that change with its declaration."""
    rows: dict[SliceName, WorkRow] = {}
    for name in sorted(works.keys() | added_by_slice.keys()):
        old = works.get(name)
        retained = [index for index in old.tasks if index in kept] if old else []
        tasks = sorted({*retained, *added_by_slice.get(name, [])})
        if old is None or old.tasks != tasks or old.spec != spec or old.cancelled:
            rows[name] = WorkRow(spec, name, tasks, "", rewritten=old is not None)
    return rows


class Reconciler:
    """Write jobs for declarations, divided among the entry instances by job id."""

    def __init__(
        self,
        entry: EntryId,
        view: ConfigurationView,
        store: TableStore,
        commits: Commits,
        jobs: JobService,
        directory: SliceDirectory,
        clock: Clock,
        make_nonce: Callable[[], str],
        list_entries: Callable[[], Collection[EntryId]],
        set_aside: SetAside | None = None,
    ) -> None:
        self._entry = entry
        self._view = view
        self._store = store
        self._commits = commits
        self._jobs = jobs
        self._directory = directory
        self._clock = clock
        self._make_nonce = make_nonce
        self._list_entries = list_entries
        self._set_aside = set_aside or SetAside()
        self._running = False
        self._started = clock.seconds()
        self.has_completed_step = False

    def step(self) -> "Deferred[None] | None":
        """Start one reconciliation, unless the last one is still running."""
        if self._running or self._clock.seconds() - self._started < STARTUP_DELAY_S:
            return None
        self._running = True
        return Deferred.fromCoroutine(self._reconcile())

    async def _reconcile(self) -> None:
        try:
            rows = await self._store.scan(f"{PREFIX_JOB}{DECLARED_PREFIX}")
            readable, unreadable = decode_rows(
                rows.rows, JobRow, lambda row: make_job_key(row.spec.id), self._set_aside
            )
            existing = {row.spec.id: (stored, row) for stored, row in readable}
            unreadable_keys = {row.key for row in unreadable}
            kinds = ("service", "batch", "gang")
            items = [item for kind in kinds for item in self._view.list_kind(kind)]
            declared_specs = {make_declared_job_id(item): make_job_spec(item) for item in items}
            for job, spec in declared_specs.items():
                if self._is_responsible(job) and make_job_key(job) not in unreadable_keys:
                    await self._reconcile_job(spec, existing.get(job))
            for job in existing.keys() - declared_specs.keys() - self._list_unreadable(existing):
                if self._is_responsible(job) and self._view.version:
                    await self._cancel_undeclared(*existing[job])
            self.has_completed_step = True
        except LavenderstallError as error:
            logger.info("reconciliation failed: %s", error)
        finally:
            self._running = False

    def _list_unreadable(self, jobs: Iterable[JobId]) -> set[JobId]:
        """Return the jobs whose declarations are there but can't be read."""
        names = [key.name for key in self._view.snapshot.unreadable]
        return {
            job
            for job in jobs
            for name in names
            if f"{job}.".startswith(f"{DECLARED_PREFIX}{name}.")
        }

    def _is_responsible(self, job: JobId) -> bool:
        """Return whether this entry instance handles a job; it is safe if two do."""
        ranked = rank_candidates(SliceName(job), self._list_entries())
        return not ranked or ranked[0] == self._entry

    async def _reconcile_job(self, spec: JobSpec, existing: tuple[Row, JobRow] | None) -> None:
        try:
            if existing is None:
                summaries = self._directory.list_summaries()
                await self._jobs.write(spec, assign_tasks(spec, summaries))
            elif spec.kind is Kind.SERVICE and (existing[1].spec != spec or existing[1].cancelled):
                await self._resize(spec, *existing)
        except ConflictError:
            logger.info("job %s was written by another entry instance", spec.id)
        except LavenderstallError as error:
            logger.info("reconciliation of job %s failed: %s", spec.id, error)

    async def _resize(self, spec: JobSpec, stored: Row, row: JobRow) -> None:
        _, _, works = await self._jobs.read_rows(spec.id)
        works_by_slice = {work.slice: work for _, work in works}
        kept = choose_kept_replicas(spec, works_by_slice.values())
        # A removed replica may still be stopping, so its index is not used again.
        issued = max(row.issued, row.spec.tasks)
        added = range(issued, issued + spec.tasks - len(kept))
        summaries = self._directory.list_summaries()
        added_by_slice = assign_tasks(spec, summaries, list(added)) if added else {}
        rows = resize_rows(spec, works_by_slice, kept, added_by_slice)
        versions = {work.slice: each.version for each, work in works}
        nonce = self._make_nonce()
        slices = sorted(works_by_slice.keys() | rows.keys())
        job = JobRow(spec, slices, nonce, issued=added.stop)
        puts = [Put(stored.key, encode_row(job))]
        conditions = [Condition(stored.key, stored.version)]
        for name, work in rows.items():
            work.nonce = nonce
            key = make_work_key(name, spec.id)
            puts.append(Put(key, encode_row(work)))
            conditions.append(Condition(key, versions.get(name, 0)))
        await self._commits.submit(conditions, puts, timeout=COMMIT_TIMEOUT_S)
        self._jobs.hint(spec.id, slices)

    async def _cancel_undeclared(self, stored: Row, row: JobRow) -> None:
        """Cancel a job that is no longer declared; slice owners stop its tasks."""
        if row.cancelled:
            return
        try:
            await self._jobs.cancel(row.spec.id)
        except LavenderstallError as error:
            logger.info("cancellation of undeclared job row %s failed: %s", stored.key, error)
