"""Jobs: acceptance, assignment of tasks to slices, status and cancellation."""

import logging
from collections.abc import Callable, Mapping, Sequence

import msgspec

from lavenderstall.call_routing import SliceDirectory
from lavenderstall.call_server import Commits
from lavenderstall.errors import (
    BadRequestError,
    ConflictError,
    LavenderstallError,
    PeerUnavailableError,
    RefusedError,
    StoreOutcomeUnknownError,
)
from lavenderstall.identifiers import JobId, SliceName, get_slice_zone
from lavenderstall.links import Links
from lavenderstall.messages import PoolSummary, SliceSummary, WorkAssigned
from lavenderstall.protocol import Condition, Kind, Put, Row
from lavenderstall.records import (
    JobRow,
    JobSpec,
    WorkRow,
    decode_row,
    encode_row,
    make_job_key,
    make_work_key,
)
from lavenderstall.requests import NO_CONSTRAINTS
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.storage import TableStore
from lavenderstall.worker_index import count_fits, find_maximum

logger = logging.getLogger(__name__)

ACCEPT_TIMEOUT_SECONDS = 5.0
CANCEL_ATTEMPTS = 5
MAX_TASKS = 100_000
BATCH_SLICES = 16
STORE_RETRY_MS = 2000


class JobStatus(msgspec.Struct, omit_defaults=True):
    """Count the tasks of a job by state, as stored in the table."""

    id: JobId
    kind: Kind
    tasks: int
    open: int
    done: int = 0
    failed: int = 0
    unknown: int = 0
    stopped: int = 0
    cancelled: bool = False
    slices: list[SliceName] = []

    @property
    def is_finished(self) -> bool:
        """Return whether all tasks have ended."""
        return self.open == 0


class SliceFit(msgspec.Struct):
    """Hold how many tasks of a job fit a slice now and when it is empty."""

    slice: SliceName
    fits_now: int
    fits_when_empty: int
    waiting: int


def merge_pools(summary: SliceSummary, pool: str) -> PoolSummary:
    """Return the sum of the pools of a slice that a job may use."""
    chosen = [p for name, p in summary.pools.items() if not pool or name == pool]
    merged = PoolSummary(0, NOTHING, NOTHING, NOTHING)
    for each in chosen:
        merged = PoolSummary(
            merged.workers + each.workers,
            merged.room.add(each.room),
            find_maximum(merged.largest, each.largest),
            find_maximum(merged.capacity, each.capacity),
        )
    return merged


def find_fitting_slices(spec: JobSpec, summaries: Sequence[SliceSummary]) -> list[SliceFit]:
    """Return the slices where a task of a job fits at least on an empty worker."""
    fits = []
    for summary in summaries:
        if not meets_constraints(spec, summary):
            continue
        pool = merge_pools(summary, spec.pool)
        fits_each = count_fits(spec.resources, pool.capacity, spec.tasks)
        if not pool.workers or not fits_each:
            continue
        free = count_fits(spec.resources, pool.room, spec.tasks)
        if not count_fits(spec.resources, pool.largest, 1):
            free = 0
        waiting = sum(summary.waiting.values())
        fits.append(SliceFit(summary.slice, free, fits_each * pool.workers, waiting))
    return sorted(fits, key=lambda fit: fit.slice)


def meets_constraints(spec: JobSpec, summary: SliceSummary) -> bool:
    """Return whether a slice may have workers that meet the constraints of a job."""
    wanted = spec.constraints
    if wanted.zones and get_slice_zone(summary.slice) not in wanted.zones:
        return False
    return not wanted.racks or not wanted.racks.isdisjoint(summary.racks)


def find_max_capacity(summaries: Sequence[SliceSummary], pool: str) -> Resources:
    """Return the largest amount of each resource on any worker."""
    largest = NOTHING
    for summary in summaries:
        largest = find_maximum(largest, merge_pools(summary, pool).capacity)
    return largest


def assign_tasks(
    spec: JobSpec, summaries: Sequence[SliceSummary], indices: Sequence[int] | None = None
) -> dict[SliceName, list[int]]:
    """Return the tasks assigned to each slice, or raise when they fit no slice."""
    fits = find_fitting_slices(spec, summaries)
    if not fits:
        raise make_never_fits_refusal(spec, summaries)
    wanted = list(range(spec.tasks)) if indices is None else list(indices)
    if spec.kind is Kind.GANG:
        return {choose_gang_slice(spec, fits): wanted}
    if spec.kind is Kind.BATCH:
        fits = choose_batch_slices(spec, fits)
    weights = [weigh_slice(spec, fit) for fit in fits]
    shares = split_evenly(len(wanted), weights)
    assigned: dict[SliceName, list[int]] = {}
    start = 0
    for fit, share in zip(fits, shares, strict=True):
        if share:
            assigned[fit.slice] = wanted[start : start + share]
            start += share
    return assigned


def make_never_fits_refusal(spec: JobSpec, summaries: Sequence[SliceSummary]) -> RefusedError:
    """Return the refusal of a job that fits no worker, with the resources that fall short."""
    if not summaries:
        return RefusedError(
            "no slice is known yet", step="assign", reason="no_slices", retry_after_ms=1000
        )
    largest = find_max_capacity(summaries, spec.pool)
    short = spec.resources.find_shortages(largest)
    if spec.constraints != NO_CONSTRAINTS and not short:
        return RefusedError(
            f"no slice meets the constraints {spec.constraints}",
            step="assign",
            reason="never_fits",
        )
    changes = ", ".join(
        f"{name} is {getattr(spec.resources, name)}, at most {getattr(largest, name)}"
        for name in short
    )
    pool = f" of pool {spec.pool}" if spec.pool else ""
    detail = changes or "no worker is in service"
    return RefusedError(f"fits no worker{pool}: {detail}", step="assign", reason="never_fits")


def choose_gang_slice(spec: JobSpec, fits: Sequence[SliceFit]) -> SliceName:
    """Return the slice likely to start a gang first, or raise when it fits none."""
    able = [fit for fit in fits if fit.fits_when_empty >= spec.tasks]
    if not able:
        largest = max(fit.fits_when_empty for fit in fits)
        raise RefusedError(
            f"a slice holds at most {largest} of the {spec.tasks} tasks",
            step="assign",
            reason="never_fits",
        )
    ready = [fit for fit in able if fit.fits_now >= spec.tasks]
    return min(ready or able, key=lambda fit: (fit.waiting, -fit.fits_now, fit.slice)).slice


def choose_batch_slices(spec: JobSpec, fits: Sequence[SliceFit]) -> list[SliceFit]:
    """Return the slices of highest weight; each one adds a row to the job's transaction."""
    best = sorted(fits, key=lambda fit: (-weigh_slice(spec, fit), fit.slice))
    return sorted(best[:BATCH_SLICES], key=lambda fit: fit.slice)


def weigh_slice(spec: JobSpec, fit: SliceFit) -> float:
    """Return the weight of a slice in the assignment of a job."""
    if spec.kind is Kind.SERVICE:
        return float(fit.fits_when_empty)
    return fit.fits_now + fit.fits_when_empty / (10.0 * (1 + fit.waiting))


def split_evenly(total: int, weights: Sequence[float]) -> list[int]:
    """Return integer shares of a total, proportional to weights."""
    full = sum(weights) or 1.0
    exact = [total * weight / full for weight in weights]
    shares = [int(part) for part in exact]
    rest = sorted(range(len(weights)), key=lambda i: (shares[i] - exact[i], i))
    for index in rest[: total - sum(shares)]:
        shares[index] += 1
    return shares


def make_store_refusal(detail: str) -> RefusedError:
    """Return the refusal of a job that could not be stored."""
    return RefusedError(
        detail, step="accept", reason="store_unavailable", retry_after_ms=STORE_RETRY_MS
    )


class JobService:
    """Accept, describe and cancel jobs on any entry instance."""

    def __init__(
        self,
        store: TableStore,
        commits: Commits,
        directory: SliceDirectory,
        links: Links,
        make_nonce: Callable[[], str],
    ) -> None:
        self.in_flight = 0
        self._store = store
        self._commits = commits
        self._directory = directory
        self._links = links
        self._make_nonce = make_nonce

    async def submit(self, spec: JobSpec, *, retry: bool = False) -> JobStatus:
        """Accept a job once it is durable; a repeated id returns the first job.

        A refused retry has an unknown outcome, as an earlier attempt may have been accepted.
        """
        self.in_flight += 1
        try:
            return await self._submit(spec)
        except RefusedError as error:
            if retry:
                raise error.with_unknown_outcome() from error
            raise
        finally:
            self.in_flight -= 1

    async def _submit(self, spec: JobSpec) -> JobStatus:
        if not 1 <= spec.tasks <= MAX_TASKS:
            raise BadRequestError(
                f"tasks is {spec.tasks}, must be 1 to {MAX_TASKS}", step="check job"
            )
        summaries = self._directory.list_summaries()
        assigned = assign_tasks(spec, summaries)
        try:
            await self.write(spec, assigned)
        except ConflictError:
            return await self._find_accepted(spec)
        except StoreOutcomeUnknownError as error:
            raise make_store_refusal(str(error)).with_unknown_outcome() from error
        except RefusedError:
            raise
        except LavenderstallError as error:
            raise make_store_refusal(f"the job could not be made durable: {error}") from error
        return JobStatus(spec.id, spec.kind, spec.tasks, spec.tasks, slices=sorted(assigned))

    async def _find_accepted(self, spec: JobSpec) -> JobStatus:
        """Return the job that was accepted with the same id."""
        try:
            return await self.read_status(spec.id)
        except LavenderstallError as error:
            raise make_store_refusal(
                f"the job was accepted before: {error}"
            ).with_unknown_outcome() from error

    async def write(self, spec: JobSpec, assigned: Mapping[SliceName, list[int]]) -> None:
        """Write a new job and its assignment in one transaction."""
        nonce = self._make_nonce()
        puts = [Put(make_job_key(spec.id), encode_row(JobRow(spec, sorted(assigned), nonce)))]
        puts += [
            Put(make_work_key(name, spec.id), encode_row(WorkRow(spec, name, tasks, nonce)))
            for name, tasks in sorted(assigned.items())
        ]
        conditions = [Condition(put.key, 0) for put in puts]
        await self._commits.submit(conditions, puts, timeout=ACCEPT_TIMEOUT_SECONDS)
        self.hint(spec.id, assigned)

    def hint(self, job: JobId, slices: Mapping[SliceName, object] | Sequence[SliceName]) -> None:
        """Notify slice owners to read their rows; a lost hint only delays them."""
        for name in slices:
            owner = self._directory.find_owner(name)
            if owner is None:
                continue
            try:
                self._links.send(owner, WorkAssigned(name, job))
            except PeerUnavailableError as error:
                logger.debug("hint dropped: %s", error)

    async def read_rows(self, job: JobId) -> tuple[Row, JobRow, list[tuple[Row, WorkRow]]]:
        """Return the rows of a job, or raise `BadRequestError` when it is unknown."""
        row = await self._store.read(make_job_key(job))
        if row is None:
            raise BadRequestError(f"job {job} is not known", step="read job")
        found = decode_row(row, JobRow)
        works: list[tuple[Row, WorkRow]] = []
        for name in found.slices:
            work = await self._store.read(make_work_key(name, job))
            if work is not None:
                works.append((work, decode_row(work, WorkRow)))
        return row, found, works

    async def read_status(self, job: JobId) -> JobStatus:
        """Return the state of a job as stored in the table."""
        _, found, works = await self.read_rows(job)
        rows = [work for _, work in works]
        return JobStatus(
            job,
            found.spec.kind,
            found.spec.tasks,
            sum(len(row.list_open()) for row in rows),
            sum(len(row.done) for row in rows),
            sum(len(row.failed) for row in rows),
            sum(len(row.unknown) for row in rows),
            sum(len(row.stopped) for row in rows),
            found.cancelled,
            found.slices,
        )

    async def cancel(self, job: JobId) -> JobStatus:
        """Cancel a job; waiting tasks never start and running tasks are stopped."""
        for _ in range(CANCEL_ATTEMPTS):
            row, found, works = await self.read_rows(job)
            nonce = self._make_nonce()
            changed = msgspec.structs.replace(found, cancelled=True, nonce=nonce)
            puts = [Put(row.key, encode_row(changed))]
            puts += [
                Put(
                    each.key,
                    encode_row(
                        msgspec.structs.replace(w, cancelled=True, nonce=nonce, rewritten=True)
                    ),
                )
                for each, w in works
                if w.list_open()
            ]
            versions = {row.key: row.version} | {each.key: each.version for each, _ in works}
            conditions = [Condition(put.key, versions[put.key]) for put in puts]
            try:
                await self._commits.submit(conditions, puts, timeout=ACCEPT_TIMEOUT_SECONDS)
            except ConflictError:
                # The owner committed ends concurrently; read the rows again.
                continue
            self.hint(job, found.slices)
            return await self.read_status(job)
        raise RefusedError(
            "the job changes too often", step="cancel", reason="busy", retry_after_ms=500
        )
