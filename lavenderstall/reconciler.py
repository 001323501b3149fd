"""Moves the jobs in the table towards what is declared."""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from zlib import crc32

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.calls import Directory
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
    decode_row,
    encode_row,
    make_work_key,
)
from lavenderstall.requests import Constraints
from lavenderstall.requests import Spread as Placed
from lavenderstall.schemas import Batch, Gang, Service, Spread
from lavenderstall.schemas import Constraints as Declared
from lavenderstall.slots import Commits
from lavenderstall.storage import TableStore
from lavenderstall.tenures import rank_candidates

logger = logging.getLogger(__name__)

# A slice lies in one zone; its share of the replicas is spread over racks or by room.
SPREADS = {Spread.ZONE: Placed.ZONE, Spread.RACK: Placed.RACK, Spread.WORKER: Placed.NONE}
DECLARED_PREFIX = "declared."
COMMIT_SECONDS = 5.0
SETTLE_SECONDS = 3.0


def make_declared_id(item: Service | Batch | Gang) -> JobId:
    """Return the job id of a declaration; a batch or gang that changes is a new job."""
    if isinstance(item, Service):
        return JobId(f"{DECLARED_PREFIX}{item.name}")
    digest = crc32(msgspec.json.encode(item))
    return JobId(f"{DECLARED_PREFIX}{item.name}.{digest:08x}")


def make_constraints(declared: Declared) -> Constraints:
    """Return declared constraints as a decider takes them."""
    return Constraints(
        zones=frozenset(declared.zones),
        racks=frozenset(declared.racks),
        affinity=frozenset(declared.near),
        anti_affinity=frozenset(declared.apart),
    )


def make_spec(item: Service | Batch | Gang) -> JobSpec:
    """Return the job that a declaration asks for."""
    if isinstance(item, Service):
        return JobSpec(
            id=make_declared_id(item),
            team=item.team,
            kind=Kind.SERVICE,
            tasks=item.replicas,
            resources=item.resources,
            service=ServiceName(item.name),
            pool=item.pool,
            priority=item.priority,
            constraints=make_constraints(item.constraints),
            spread=SPREADS[item.spread],
        )
    return JobSpec(
        id=make_declared_id(item),
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
        constraints=make_constraints(item.constraints),
    )


def choose_kept(spec: JobSpec, works: Iterable[WorkRow]) -> list[int]:
    """Return the replicas of a service that stay when its declaration changes."""
    current = [index for work in works if not work.cancelled for index in work.list_open()]
    return sorted(current)[: spec.tasks]


def resize_rows(
    spec: JobSpec,
    works: Mapping[SliceName, WorkRow],
    kept: Collection[int],
    grown: Mapping[SliceName, list[int]],
) -> dict[SliceName, WorkRow]:
    """Return the rows of a service that differ after its declaration changed."""
    rows: dict[SliceName, WorkRow] = {}
    for name in sorted(works.keys() | grown.keys()):
        old = works.get(name)
        stay = [index for index in old.tasks if index in kept] if old else []
        tasks = sorted({*stay, *grown.get(name, [])})
        if old is None or old.tasks != tasks or old.spec != spec or old.cancelled:
            rows[name] = WorkRow(spec, name, tasks, "")
    return rows


class Reconciler:
    """Write jobs for declarations; entry instances share the declarations by name."""

    def __init__(
        self,
        entry: EntryId,
        view: ConfigurationView,
        store: TableStore,
        commits: Commits,
        jobs: JobService,
        directory: Directory,
        clock: Clock,
        make_nonce: Callable[[], str],
        list_entries: Callable[[], Collection[EntryId]],
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
        self._running = False
        self._started = clock.seconds()
        self.settled = False

    def step(self) -> "Deferred[None] | None":
        """Compare declarations with jobs once, unless the last comparison still runs."""
        if self._running or self._clock.seconds() - self._started < SETTLE_SECONDS:
            return None
        self._running = True
        return Deferred.fromCoroutine(self._step())

    async def _step(self) -> None:
        try:
            rows = await self._store.scan(f"{PREFIX_JOB}{DECLARED_PREFIX}")
            known = {
                row.spec.id: (stored, row)
                for stored, row in ((each, decode_row(each, JobRow)) for each in rows.rows)
            }
            kinds = ("service", "batch", "gang")
            items = [item for kind in kinds for item in self._view.list_kind(kind)]
            wanted = {make_declared_id(item): make_spec(item) for item in items}
            for job, spec in wanted.items():
                if self._is_mine(job):
                    await self._converge(spec, known.get(job))
            for job in known.keys() - wanted.keys():
                if self._is_mine(job) and self._view.version:
                    await self._withdraw(*known[job])
            self.settled = True
        except LavenderstallError as error:
            logger.info("reconciler: %s", error)
        finally:
            self._running = False

    def _is_mine(self, job: JobId) -> bool:
        """Tell whether this entry instance handles a job; two that do are harmless."""
        ranked = rank_candidates(SliceName(job), self._list_entries())
        return not ranked or ranked[0] == self._entry

    async def _converge(self, spec: JobSpec, known: tuple[Row, JobRow] | None) -> None:
        try:
            if known is None:
                summaries = self._directory.list_summaries()
                await self._jobs.write(spec, assign_tasks(spec, summaries))
            elif spec.kind is Kind.SERVICE and (known[1].spec != spec or known[1].cancelled):
                await self._resize(spec, *known)
        except ConflictError:
            logger.info("job %s was written by another entry instance", spec.id)
        except LavenderstallError as error:
            logger.info("job %s: %s", spec.id, error)

    async def _resize(self, spec: JobSpec, stored: Row, row: JobRow) -> None:
        _, _, works = await self._jobs.read_rows(spec.id)
        have = {work.slice: work for _, work in works}
        kept = choose_kept(spec, have.values())
        # A replica that was removed may still be stopping, so that its index is not used again.
        issued = max(row.issued, row.spec.tasks)
        added = range(issued, issued + spec.tasks - len(kept))
        summaries = self._directory.list_summaries()
        grown = assign_tasks(spec, summaries, list(added)) if added else {}
        rows = resize_rows(spec, have, kept, grown)
        versions = {work.slice: each.version for each, work in works}
        nonce = self._make_nonce()
        slices = sorted(have.keys() | rows.keys())
        job = JobRow(spec, slices, nonce, issued=added.stop)
        puts = [Put(stored.key, encode_row(job))]
        conditions = [Condition(stored.key, stored.version)]
        for name, work in rows.items():
            work.nonce = nonce
            key = make_work_key(name, spec.id)
            puts.append(Put(key, encode_row(work)))
            conditions.append(Condition(key, versions.get(name, 0)))
        await self._commits.submit(conditions, puts, timeout=COMMIT_SECONDS)
        self._jobs.hint(spec.id, slices)

    async def _withdraw(self, stored: Row, row: JobRow) -> None:
        """Remove a job that is no longer declared; its tasks are stopped by their owners."""
        if row.cancelled:
            return
        try:
            await self._jobs.cancel(row.spec.id)
        except LavenderstallError as error:
            logger.info("withdrawal of %s: %s", stored.key, error)
