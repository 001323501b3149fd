"""Inventory rows of the local state of an entry instance, for queries."""

from collections import deque
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import TYPE_CHECKING

from lavenderstall.errors import RefusedError
from lavenderstall.identifiers import JobId, RackName, RequestId, ServiceName, TaskId, WorkerId
from lavenderstall.inventory import (
    EntryInfo,
    EntryState,
    Inventory,
    JobInfo,
    ReasonInfo,
    RefusalInfo,
    ServiceInfo,
    SliceInfo,
    SliceState,
    TaskInfo,
    WorkerInfo,
    WorkerState,
)
from lavenderstall.protocol import Kind, TaskState
from lavenderstall.query.statements import Statement, Why
from lavenderstall.reasons import Reason, Record
from lavenderstall.schemas import Demand
from lavenderstall.slices import SliceServer
from lavenderstall.tasks import Task
from lavenderstall.work_rows import CachedWorkRow

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

MAX_REFUSALS = 1000
SUSPECT_SECONDS = 3.0


class RefusalLog:
    """Store the latest refusals that this entry instance sent."""

    def __init__(self) -> None:
        self._rows: deque[tuple[float, RefusalInfo]] = deque(maxlen=MAX_REFUSALS)

    def add(
        self,
        now: float,
        request: RequestId,
        team: str,
        demand: Demand,
        error: RefusedError,
        service: str = "",
    ) -> None:
        """Add a refusal."""
        row = RefusalInfo(
            id=request,
            team=team,  # type: ignore[arg-type]
            kind=demand,
            reason=error.reason,
            service=ServiceName(service),
            step=error.step,
            peer=error.peer,
            detail=error.detail[:300],
        )
        self._rows.append((now, row))

    def list_rows(self, now: float) -> list[RefusalInfo]:
        """Return the refusals with their current ages."""
        return [
            RefusalInfo(
                **{name: getattr(row, name) for name in row.__struct_fields__ if name != "age_ms"},
                age_ms=int((now - at) * 1000),
            )
            for at, row in self._rows
        ]


def find_reason(server: SliceServer, task: Task) -> str:
    """Return why a task is in its current state, or an empty string."""
    if task.never_reason is not None:
        return f"can never run here: {task.never_reason.rule}; {task.never_reason.detail}"
    if task.state is TaskState.WAITING:
        waiting = server.queue.find(task.id)
        passed_over_reason = server.queue.get_passed_over_reason(task.spec.team)
        reason = passed_over_reason or (waiting.shape.reason if waiting is not None else None)
        if reason is not None:
            return str(reason)
    records = server.reasons.find_by_task(task.id)
    if not records:
        return ""
    return str(records[-1].reason)


def make_task_info(server: SliceServer, task: Task, now: float) -> TaskInfo:
    """Return the row of a task."""
    resources = task.spec.resources
    link = server.fleet.links.get(task.worker)
    wait_end = task.started if task.state is not TaskState.WAITING else now
    return TaskInfo(
        id=task.id,
        job=task.spec.id,
        team=task.spec.team,
        kind=task.spec.kind,
        state=task.state,
        zone=server.zone,
        slice=server.name,
        service=task.spec.service,
        worker=task.worker,
        rack=link.member.rack if link else RackName(""),
        priority=task.spec.priority,
        cores_milli=resources.cores_milli,
        memory_mb=resources.memory_mb,
        accelerators=resources.accelerators,
        age_ms=int((now - task.created) * 1000),
        wait_ms=max(0, int((wait_end - task.waiting_since) * 1000)),
        reason=find_reason(server, task),
    )


def make_job_info(server: SliceServer, job: CachedWorkRow, now: float) -> JobInfo:
    """Return the row of the tasks of a job that a slice runs."""
    row = job.row
    live = [task for task in server.tasks.values() if task.spec.id == row.spec.id]
    running = sum(task.state is not TaskState.WAITING for task in live)
    state = TaskState.RUNNING if running else TaskState.WAITING
    if not row.list_open():
        state = TaskState.CANCELLED if row.cancelled else TaskState.DONE
        state = TaskState.FAILED if row.failed else state
    return JobInfo(
        id=row.spec.id,
        team=row.spec.team,
        kind=row.spec.kind,
        state=state,
        service=row.spec.service,
        priority=row.spec.priority,
        tasks=len(row.tasks),
        waiting=len(live) - running,
        running=running,
        done=len(row.done),
        failed=len(row.failed),
        cancelled=len(row.stopped),
        unknown=len(row.unknown),
        age_ms=int((now - min((t.created for t in live), default=now)) * 1000),
        reason=next((find_reason(server, task) for task in live if not task.worker), ""),
    )


def list_workers(server: SliceServer, now: float) -> Iterator[WorkerInfo]:
    """Yield the rows of a slice's workers."""
    for link in server.fleet.links.values():
        known = server.state.workers.get(link.id)
        state = WorkerState.LIVE
        if link.lost or known is None:
            state = WorkerState.LOST
        elif known.leaving:
            state = WorkerState.LEAVING
        elif known.quarantined:
            state = WorkerState.QUARANTINED
        elif known.draining:
            state = WorkerState.DRAINED
        free = known.available if known else link.capacity
        yield WorkerInfo(
            id=link.id,
            state=state,
            zone=link.member.zone,
            rack=link.member.rack,
            slice=server.name,
            pool=link.member.pool,
            owner=link.owner,
            epoch=link.epoch,
            tasks=len(known.tasks) if known else 0,
            cores_milli=link.capacity.cores_milli,
            memory_mb=link.capacity.memory_mb,
            accelerators=link.capacity.accelerators,
            free_cores_milli=free.cores_milli,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
            free_slots=link.free_slots,
            age_ms=int(link.get_silence() * 1000),
            reason=server.find_worker_reason(link.id),
        )


def list_services(server: SliceServer) -> Iterator[ServiceInfo]:
    """Yield the rows of the services that a slice runs."""
    for job in server.work.jobs.values():
        spec = job.row.spec
        if spec.kind is not Kind.SERVICE:
            continue
        live = [task for task in server.tasks.values() if task.spec.id == spec.id]
        running = [task for task in live if task.state is TaskState.RUNNING]
        links = [server.fleet.links[t.worker] for t in running if t.worker in server.fleet.links]
        yield ServiceInfo(
            id=spec.service,
            team=spec.team,
            pool=spec.pool,
            replicas=spec.tasks,
            running=len(running),
            waiting=len(live) - len(running),
            slots=sum(link.capacity.slots for link in links),
            free_slots=sum(link.free_slots for link in links),
            calls=sum(len(link.calls) for link in links),
        )


def make_slice_info(server: SliceServer, now: float) -> SliceInfo:
    """Return the row of a slice."""
    summary = server.summarize()
    capacity, used = server.state.capacity, server.state.used
    return SliceInfo(
        id=server.name,
        zone=server.zone,
        state=SliceState.LOCAL if server.tenure.local else SliceState.OWNED,
        owner=summary.owner,
        epoch=summary.epoch,
        workers=len(server.state.workers),
        waiting=sum(summary.waiting.values()),
        oldest_wait_ms=summary.oldest_wait_ms,
        free_cores_milli=capacity.cores_milli - used.cores_milli,
        free_memory_mb=capacity.memory_mb - used.memory_mb,
        free_accelerators=capacity.accelerators - used.accelerators,
        age_ms=int((now - server.tenure.started) * 1000),
    )


def find_wait_reason(server: SliceServer, name: str) -> Reason | None:
    """Return why a task, or the first waiting task of a job, is waiting."""
    task_ids = [task.id for task in server.tasks.values() if name in (task.id, task.spec.id)]
    queue_entries = (
        waiting for task in task_ids if (waiting := server.queue.find(task)) is not None
    )
    return next((each.shape.reason for each in queue_entries if each.shape.reason), None)


def list_reasons(server: SliceServer, why: Why, unix: float) -> Iterator[ReasonInfo]:
    """Yield the recorded decisions about a subject and why it waits now."""
    log, name = server.reasons, why.id
    records: Iterable[Record] = chain(
        log.find_by_task(TaskId(name)),
        log.find_by_job(JobId(name)),
        log.find_by_worker(WorkerId(name)),
    )
    for record in records:
        reason = record.reason
        numbers = ", ".join(f"{key} {value:g}" for key, value in reason.numbers.items())
        text = "; ".join(part for part in (str(reason), numbers) if part)
        yield ReasonInfo(
            id=name,
            step="decide",
            outcome=record.outcome,
            reason=text,
            slice=server.name,
            owner=server.owner,
            alternatives=tuple(f"{a.worker}: {a.explanation}" for a in reason.alternatives),
            age_ms=max(0, int((unix - record.at) * 1000)),
        )
    current = find_wait_reason(server, name)
    if current is not None:
        yield ReasonInfo(
            id=name,
            step="wait",
            outcome="waiting",
            reason=str(current),
            slice=server.name,
            owner=server.owner,
            alternatives=tuple(f"{a.worker}: {a.explanation}" for a in current.alternatives),
        )


def make_inventory(
    servers: Iterable[SliceServer], statement: Statement, now: float, unix: float
) -> Inventory:
    """Return the rows of some slices for a statement."""
    inventory = Inventory()
    for server in servers:
        inventory.tasks += [make_task_info(server, task, now) for task in server.tasks.values()]
        inventory.jobs += [make_job_info(server, job, now) for job in server.work.jobs.values()]
        inventory.workers += list_workers(server, now)
        inventory.services += list_services(server)
        inventory.slices.append(make_slice_info(server, now))
        if isinstance(statement, Why):
            inventory.reasons += list_reasons(server, statement, unix)
    return inventory


def list_entries(entry: "Entry") -> list[EntryInfo]:
    """Return the rows of this entry instance and its known peers."""
    now = entry.clock.seconds()
    owned: dict[str, int] = {}
    for summary in entry.directory.list_summaries():
        owned[summary.owner] = owned.get(summary.owner, 0) + 1
    rows = [
        EntryInfo(
            id=entry.entry,
            zone=entry.identity.zone,
            state=EntryState.DRAINING if entry.draining else EntryState.LIVE,
            version=entry.view.version,
            slices=len(entry.slices),
            calls=entry.router.in_flight,
            http=entry.identity.http,
        )
    ]
    for name, peer in entry.peers.list_peers().items():
        silent = now - peer.last_contact
        state = EntryState.DRAINING if peer.heartbeat.draining else EntryState.LIVE
        row = entry.ownership.peers.get(name)
        rows.append(
            EntryInfo(
                id=name,
                zone=peer.heartbeat.zone,
                state=EntryState.SUSPECT if silent > SUSPECT_SECONDS else state,
                version=peer.heartbeat.version,
                slices=owned.get(name, 0),
                http=row.http if row else "",
                age_ms=int(silent * 1000),
            )
        )
    return rows
