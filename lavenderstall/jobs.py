"""Jobs: acceptance, assignment of tasks to slices, status and cancellation."""

import logging
from collections.abc import Callable, Mapping, Sequence

import msgspec

from lavenderstall.calls import Directory
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
from lavenderstall.requests import ANYWHERE
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.slots import Commits
from lavenderstall.storage import TableStore
from lavenderstall.worker_index import count_fits, find_maximum

logger = logging.getLogger(__name__)

ACCEPT_SECONDS = 5.0
CANCEL_ATTEMPTS = 5
MAX_TASKS = 100_000
BATCH_SLICES = 16
STORE_RETRY_MS = 2000


class JobStatus(msgspec.Struct, omit_defaults=True):
    """Count the tasks of a job by state, as the table holds them."""

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
        """Tell whether all tasks have ended."""
        return self.open == 0


class Place(msgspec.Struct):
    """Hold how many tasks of a job a slice can take now and when empty."""

    slice: SliceName
    now: int
    empty: int
    waiting: int


def merge_pools(summary: SliceSummary, pool: str) -> PoolSummary:
    """Return the workers of a slice that a job may use as one pool."""
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


def measure_places(spec: JobSpec, summaries: Sequence[SliceSummary]) -> list[Place]:
    """Return the slices that can ever hold a task of a job."""
    places = []
    for summary in summaries:
        if not is_allowed(spec, summary):
            continue
        pool = merge_pools(summary, spec.pool)
        fits = count_fits(spec.resources, pool.capacity, spec.tasks)
        if not pool.workers or not fits:
            continue
        free = count_fits(spec.resources, pool.room, spec.tasks)
        if not count_fits(spec.resources, pool.largest, 1):
            free = 0
        waiting = sum(summary.waiting.values())
        places.append(Place(summary.slice, free, fits * pool.workers, waiting))
    return sorted(places, key=lambda place: place.slice)


def is_allowed(spec: JobSpec, summary: SliceSummary) -> bool:
    """Tell whether the constraints of a job admit some worker of a slice."""
    wanted = spec.constraints
    if wanted.zones and get_slice_zone(summary.slice) not in wanted.zones:
        return False
    return not wanted.racks or not wanted.racks.isdisjoint(summary.racks)


def find_largest(summaries: Sequence[SliceSummary], pool: str) -> Resources:
    """Return the most that one worker has of each resource."""
    largest = NOTHING
    for summary in summaries:
        largest = find_maximum(largest, merge_pools(summary, pool).capacity)
    return largest


def assign_tasks(
    spec: JobSpec, summaries: Sequence[SliceSummary], indices: Sequence[int] | None = None
) -> dict[SliceName, list[int]]:
    """Return which slice gets which tasks, or raise when no slice can ever hold them."""
    places = measure_places(spec, summaries)
    if not places:
        raise refuse_impossible(spec, summaries)
    wanted = list(range(spec.tasks)) if indices is None else list(indices)
    if spec.kind is Kind.GANG:
        return {choose_gang_slice(spec, places): wanted}
    if spec.kind is Kind.BATCH:
        places = choose_batch_places(spec, places)
    weights = [weigh_place(spec, place) for place in places]
    shares = split_evenly(len(wanted), weights)
    assigned: dict[SliceName, list[int]] = {}
    start = 0
    for place, share in zip(places, shares, strict=True):
        if share:
            assigned[place.slice] = wanted[start : start + share]
            start += share
    return assigned


def refuse_impossible(spec: JobSpec, summaries: Sequence[SliceSummary]) -> RefusedError:
    """Return the refusal of a job that fits no worker, with what would have to change."""
    if not summaries:
        return RefusedError(
            "no slice is known yet", step="assign", reason="no_slices", retry_after_ms=1000
        )
    largest = find_largest(summaries, spec.pool)
    short = spec.resources.find_shortages(largest)
    if spec.constraints != ANYWHERE and not short:
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


def choose_gang_slice(spec: JobSpec, places: Sequence[Place]) -> SliceName:
    """Return the slice that can start a gang soonest, or raise when none can hold it."""
    able = [place for place in places if place.empty >= spec.tasks]
    if not able:
        largest = max(place.empty for place in places)
        raise RefusedError(
            f"a slice holds at most {largest} of the {spec.tasks} tasks",
            step="assign",
            reason="never_fits",
        )
    ready = [place for place in able if place.now >= spec.tasks]
    return min(ready or able, key=lambda place: (place.waiting, -place.now, place.slice)).slice


def choose_batch_places(spec: JobSpec, places: Sequence[Place]) -> list[Place]:
    """Return the slices with most to offer, as each costs a row in the job's transaction."""
    best = sorted(places, key=lambda place: (-weigh_place(spec, place), place.slice))
    return sorted(best[:BATCH_SLICES], key=lambda place: place.slice)


def weigh_place(spec: JobSpec, place: Place) -> float:
    """Return the share of a job that a slice should get."""
    if spec.kind is Kind.SERVICE:
        return float(place.empty)
    return place.now + place.empty / (10.0 * (1 + place.waiting))


def split_evenly(total: int, weights: Sequence[float]) -> list[int]:
    """Return whole shares of a total in proportion to weights; they add up to the total."""
    full = sum(weights) or 1.0
    exact = [total * weight / full for weight in weights]
    shares = [int(part) for part in exact]
    rest = sorted(range(len(weights)), key=lambda i: (shares[i] - exact[i], i))
    for index in rest[: total - sum(shares)]:
        shares[index] += 1
    return shares


def refuse_store(detail: str) -> RefusedError:
    """Return the refusal of a job that the table did not take."""
    return RefusedError(
        detail, step="accept", reason="store_unavailable", retry_after_ms=STORE_RETRY_MS
    )


class JobService:
    """Accept, describe and cancel jobs on any entry instance."""

    def __init__(
        self,
        store: TableStore,
        commits: Commits,
        directory: Directory,
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
                raise error.doubt() from error
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
            raise refuse_store(str(error)).doubt() from error
        except RefusedError:
            raise
        except LavenderstallError as error:
            raise refuse_store(f"the job could not be made durable: {error}") from error
        return JobStatus(spec.id, spec.kind, spec.tasks, spec.tasks, slices=sorted(assigned))

    async def _find_accepted(self, spec: JobSpec) -> JobStatus:
        """Return the job that was accepted with the same id."""
        try:
            return await self.read_status(spec.id)
        except LavenderstallError as error:
            raise refuse_store(f"the job was accepted before: {error}").doubt() from error

    async def write(self, spec: JobSpec, assigned: Mapping[SliceName, list[int]]) -> None:
        """Write a new job and its assignment in one transaction."""
        nonce = self._make_nonce()
        puts = [Put(make_job_key(spec.id), encode_row(JobRow(spec, sorted(assigned), nonce)))]
        puts += [
            Put(make_work_key(name, spec.id), encode_row(WorkRow(spec, name, tasks, nonce)))
            for name, tasks in sorted(assigned.items())
        ]
        conditions = [Condition(put.key, 0) for put in puts]
        await self._commits.submit(conditions, puts, timeout=ACCEPT_SECONDS)
        self.hint(spec.id, assigned)

    def hint(self, job: JobId, slices: Mapping[SliceName, object] | Sequence[SliceName]) -> None:
        """Tell owners to read their rows; a lost hint only costs time."""
        for name in slices:
            owner = self._directory.find_owner(name)
            if owner is None:
                continue
            try:
                self._links.send(owner, WorkAssigned(name, job))
            except PeerUnavailableError as error:
                logger.debug("hint dropped: %s", error)

    async def read_rows(self, job: JobId) -> tuple[Row, JobRow, list[tuple[Row, WorkRow]]]:
        """Return the rows of a job, or raise when it is not known."""
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
        """Return the state of a job as the table holds it."""
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
        """Cancel a job; tasks that have not started never start, others are stopped."""
        for _ in range(CANCEL_ATTEMPTS):
            row, found, works = await self.read_rows(job)
            nonce = self._make_nonce()
            changed = msgspec.structs.replace(found, cancelled=True, nonce=nonce)
            puts = [Put(row.key, encode_row(changed))]
            puts += [
                Put(each.key, encode_row(msgspec.structs.replace(w, cancelled=True, nonce=nonce)))
                for each, w in works
                if w.list_open()
            ]
            versions = {row.key: row.version} | {each.key: each.version for each, _ in works}
            conditions = [Condition(put.key, versions[put.key]) for put in puts]
            try:
                await self._commits.submit(conditions, puts, timeout=ACCEPT_SECONDS)
            except ConflictError:
                # The owner committed ends at the same time; the rows are read again.
                continue
            self.hint(job, found.slices)
            return await self.read_status(job)
        raise RefusedError(
            "the job changes too often", step="cancel", reason="busy", retry_after_ms=500
        )
