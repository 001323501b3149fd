"""What callers and operators ask of an entry instance beyond calls and queries."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from lavenderstall.access import AccessError, Caller
from lavenderstall.bindings import check_request_id
from lavenderstall.bodies import (
    ApplyAnswer,
    ApplyRequest,
    ChangesAnswer,
    ConfigAnswer,
    JobAnswer,
    JobRequest,
)
from lavenderstall.changes import ItemKey, redact_item
from lavenderstall.clocks import sleep
from lavenderstall.configuration import ChangeDraft
from lavenderstall.declarations import Source, list_dangling_references, read_declarations
from lavenderstall.errors import LavenderstallError, RefusedError
from lavenderstall.identifiers import EntryId, JobId, RequestId, TeamName, Version
from lavenderstall.inventory import JobInfo, make_change_info
from lavenderstall.jobs import JobStatus
from lavenderstall.protocol import Kind, TaskState
from lavenderstall.reconciler import convert_constraints
from lavenderstall.records import JobSpec
from lavenderstall.schemas import Batch, Command, Declaration, Demand, Gang, Item, get_kind

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

FORCE_SECONDS = 3.0
POLL_SECONDS = 0.1
JOB_POLL_SECONDS = 0.5


class Health(msgspec.Struct):
    """Describe an entry instance to the balancer and to operators."""

    entry: EntryId
    ready: bool
    draining: bool
    version: Version
    version_age_ms: int | None
    store_age_ms: int
    slices: dict[str, int]
    peers: list[str]


def make_spec(job: JobId, wanted: Batch | Gang, unix_ms: int) -> JobSpec:
    """Return the job that a caller asks for."""
    return JobSpec(
        id=job,
        team=wanted.team,
        kind=Kind.BATCH if isinstance(wanted, Batch) else Kind.GANG,
        tasks=wanted.tasks,
        resources=wanted.resources,
        service=wanted.service if isinstance(wanted, Batch) else "",  # type: ignore[arg-type]
        pool=wanted.pool,
        priority=wanted.priority,
        idempotent=wanted.idempotent,
        expected_ms=wanted.expected_ms,
        deadline_unix_ms=unix_ms + wanted.deadline_ms if wanted.deadline_ms else 0,
        payload=wanted.payload,
        constraints=convert_constraints(wanted.constraints),
    )


def find_job_state(status: JobStatus) -> TaskState:
    """Return the state of a whole job."""
    if not status.is_finished:
        return TaskState.RUNNING if status.done else TaskState.WAITING
    if status.unknown:
        return TaskState.UNKNOWN
    if status.failed:
        return TaskState.FAILED
    return TaskState.CANCELLED if status.cancelled else TaskState.DONE


def make_job_answer(status: JobStatus, team: TeamName) -> JobAnswer:
    """Return the answer that describes a job as the table holds it."""
    info = JobInfo(
        id=status.id,
        team=team,
        kind=status.kind,
        state=find_job_state(status),
        tasks=status.tasks,
        waiting=status.open,
        done=status.done,
        failed=status.failed,
        cancelled=status.stopped,
        unknown=status.unknown,
    )
    return JobAnswer(status.id, info)


class Operations:
    """Carry out requests on one entry instance."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry

    async def submit(self, wanted: JobRequest, caller: Caller, *, retry: bool = False) -> JobAnswer:
        """Accept a job, or raise `RefusedError` when it was not accepted."""
        entry = self._entry
        job = JobId(check_request_id(wanted.id))
        if wanted.job.team != caller.team:
            raise AccessError(
                f"the job is of team {wanted.job.team!r}, but the token is that of {caller.name!r}",
                status=403,
            )
        spec = make_spec(job, wanted.job, entry.read_unix_ms())
        demand = Demand(spec.kind.value)
        try:
            self._check_ready(retry)
            entry.admission.admit(spec, retry=retry)
            status = await entry.jobs.submit(spec, retry=retry)
        except RefusedError as error:
            now = entry.clock.seconds()
            entry.refusals.add(now, RequestId(job), spec.team, demand, error, spec.service)
            entry.metrics.count(f"jobs_refused_{error.reason}")
            raise
        entry.metrics.count("jobs_accepted")
        return make_job_answer(status, spec.team)

    def _check_ready(self, retry: bool) -> None:
        entry = self._entry
        if entry.draining or not entry.may_accept_jobs():
            reason = "draining" if entry.draining else "config_stale"
            error = RefusedError(
                "no jobs are accepted here now", step="accept", reason=reason, retry_after_ms=1000
            )
            raise error.with_unknown_outcome() if retry else error

    async def read_job(self, job: JobId, caller: Caller, wait: float = 0.0) -> JobAnswer:
        """Return the state of a job, after its end or after a time in seconds."""
        clock = self._entry.clock
        limit = clock.seconds() + wait
        team = await self._check_team(job, caller)
        status = await self._entry.jobs.read_status(job)
        # A caller that waits learns the state early when the entry instance shuts down.
        while not (status.is_finished or self._entry.draining or clock.seconds() >= limit):
            await sleep(clock, JOB_POLL_SECONDS)
            try:
                status = await self._entry.jobs.read_status(job)
            except LavenderstallError:
                # The job is known, so an outage of the store only delays the answer.
                continue
        return make_job_answer(status, team)

    async def cancel_job(self, job: JobId, caller: Caller) -> JobAnswer:
        """Cancel a job of the caller's team."""
        team = await self._check_team(job, caller)
        return make_job_answer(await self._entry.jobs.cancel(job), team)

    async def _check_team(self, job: JobId, caller: Caller) -> TeamName:
        _, row, _ = await self._entry.jobs.read_rows(job)
        if caller.right is None and row.spec.team != caller.team:
            raise AccessError(f"job {job} belongs to another team", status=403)
        return row.spec.team

    async def apply(self, wanted: ApplyRequest, caller: Caller) -> ApplyAnswer:
        """Change declarations and wait until the change is in force."""
        entry = self._entry
        declared = read_declarations([Source("request", wanted.documents)])
        items: dict[ItemKey, Item | None] = {
            ItemKey(get_kind(each.value), each.value.name): each.value for each in declared
        }
        draft = ChangeDraft(caller.name, wanted.reason or "no reason given", items)
        started = entry.clock.seconds()
        applied = await entry.configuration.apply(draft, seen=wanted.seen, preview=wanted.preview)
        behind = await self._await_force(applied.version, started) if applied.committed else []
        in_effect = sorted(entry.list_versions().keys() - set(behind))
        known = {**entry.view.snapshot.items, **items}
        change = applied.change
        return ApplyAnswer(
            version=applied.version,
            change=make_change_info(change, entry.read_unix_ms()) if change else None,
            differences=applied.differences,
            committed=applied.committed,
            in_effect=tuple(in_effect),
            pending=tuple(behind),
            dangling=tuple(list_dangling_references(list_declared(known.values()))),
        )

    async def _await_force(self, version: Version, started: float) -> list[EntryId]:
        """Wait until a version is in force on every live entry instance, or 3 s."""
        while True:
            versions = self._entry.list_versions()
            behind = sorted(entry for entry, held in versions.items() if held < version)
            if not behind or self._entry.clock.seconds() - started >= FORCE_SECONDS:
                return behind
            await sleep(self._entry.clock, POLL_SECONDS)

    async def list_changes(self) -> ChangesAnswer:
        """Return the changes, newest first."""
        now = self._entry.read_unix_ms()
        changes = await self._entry.configuration.list_changes()
        rows = tuple(make_change_info(change, now) for change in reversed(changes))
        return ChangesAnswer(self._entry.view.version, rows)

    def describe_config(self) -> ConfigAnswer:
        """Return the configuration in force here, without tokens."""
        view = self._entry.view
        items: list[dict[str, Any]] = [redact_item(i) for i in view.snapshot.items.values()]
        return ConfigAnswer(view.version, view.age_ms, tuple(items))

    def describe_health(self) -> Health:
        """Return what the balancer and operators look at first."""
        entry = self._entry
        return Health(
            entry.entry,
            entry.is_ready(),
            entry.draining,
            entry.view.version,
            entry.view.age_ms,
            int(entry.ownership.get_store_age() * 1000),
            {str(name): tenure.term for name, tenure in entry.ownership.tenures.items()},
            sorted(entry.ownership.peers),
        )


def list_declared(items: Iterable[Item | None]) -> list[Declaration]:
    """Return the declarations among items, without runtime commands."""
    return [item for item in items if item is not None and not isinstance(item, Command)]
