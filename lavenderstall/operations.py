"""Jobs, declarations, configuration and health, as served to callers and operators."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from lavenderstall.access import Caller
from lavenderstall.bearer_tokens import AccessError
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

IN_EFFECT_TIMEOUT_SECONDS = 3.0
IN_EFFECT_POLL_SECONDS = 0.1
JOB_POLL_SECONDS = 0.5


class Health(msgspec.Struct):
    """State of an entry instance for load balancers and operators."""

    entry: EntryId
    ready: bool
    draining: bool
    version: Version
    version_age_ms: int | None
    store_age_ms: int
    slices: dict[str, int]
    peers: list[str]


def make_job_spec(job: JobId, declared: Batch | Gang, unix_ms: int) -> JobSpec:
    """Return the job spec for a declaration; its deadline becomes an absolute time."""
    return JobSpec(
        id=job,
        team=declared.team,
        kind=Kind.BATCH if isinstance(declared, Batch) else Kind.GANG,
        tasks=declared.tasks,
        resources=declared.resources,
        service=declared.service if isinstance(declared, Batch) else "",  # type: ignore[arg-type]
        pool=declared.pool,
        priority=declared.priority,
        idempotent=declared.idempotent,
        expected_ms=declared.expected_ms,
        deadline_unix_ms=unix_ms + declared.deadline_ms if declared.deadline_ms else 0,
        payload=declared.payload,
        constraints=convert_constraints(declared.constraints),
    )


def derive_job_state(status: JobStatus) -> TaskState:
    """Derive the state of a job from the counts of its tasks."""
    if not status.is_finished:
        return TaskState.RUNNING if status.done else TaskState.WAITING
    if status.unknown:
        return TaskState.UNKNOWN
    if status.failed:
        return TaskState.FAILED
    return TaskState.CANCELLED if status.cancelled else TaskState.DONE


def make_job_answer(status: JobStatus, team: TeamName) -> JobAnswer:
    """Return the answer that describes the stored state of a job."""
    info = JobInfo(
        id=status.id,
        team=team,
        kind=status.kind,
        state=derive_job_state(status),
        tasks=status.tasks,
        waiting=status.open,
        done=status.done,
        failed=status.failed,
        cancelled=status.stopped,
        unknown=status.unknown,
    )
    return JobAnswer(status.id, info)


class Operations:
    """Execute requests on one entry instance."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry

    async def submit(
        self, request: JobRequest, caller: Caller, *, retry: bool = False
    ) -> JobAnswer:
        """Accept a job, or raise `RefusedError`."""
        entry = self._entry
        job = JobId(check_request_id(request.id))
        if request.job.team != caller.team:
            raise AccessError(
                f"the job is of team {request.job.team!r}, "
                f"but the token is that of {caller.name!r}",
                status=403,
            )
        spec = make_job_spec(job, request.job, entry.read_unix_ms())
        demand = Demand(spec.kind.value)
        try:
            self._check_accepts_jobs(retry)
            entry.admission.admit(spec, retry=retry)
            status = await entry.jobs.submit(spec, retry=retry)
        except RefusedError as error:
            now = entry.clock.seconds()
            entry.refusals.add(now, RequestId(job), spec.team, demand, error, spec.service)
            entry.metrics.count(f"jobs_refused_{error.reason}")
            raise
        entry.metrics.count("jobs_accepted")
        return make_job_answer(status, spec.team)

    def _check_accepts_jobs(self, retry: bool) -> None:
        entry = self._entry
        if entry.draining or not entry.may_accept_jobs():
            reason = "draining" if entry.draining else "config_stale"
            error = RefusedError(
                "no jobs are accepted here now", step="accept", reason=reason, retry_after_ms=1000
            )
            raise error.with_unknown_outcome() if retry else error

    async def read_job(self, job: JobId, caller: Caller, wait: float = 0.0) -> JobAnswer:
        """Return the state of a job, waiting up to `wait` seconds for its end."""
        clock = self._entry.clock
        deadline_s = clock.seconds() + wait
        team = await self._check_job_access(job, caller)
        status = await self._entry.jobs.read_status(job)
        # Returns the current state early when the entry instance shuts down.
        while not (status.is_finished or self._entry.draining or clock.seconds() >= deadline_s):
            await sleep(clock, JOB_POLL_SECONDS)
            try:
                status = await self._entry.jobs.read_status(job)
            except LavenderstallError:
                # The job exists, so a store outage only delays the answer.
                continue
        return make_job_answer(status, team)

    async def cancel_job(self, job: JobId, caller: Caller) -> JobAnswer:
        """Cancel a job of the caller's team."""
        team = await self._check_job_access(job, caller)
        return make_job_answer(await self._entry.jobs.cancel(job), team)

    async def _check_job_access(self, job: JobId, caller: Caller) -> TeamName:
        _, row, _ = await self._entry.jobs.read_rows(job)
        if caller.right is None and row.spec.team != caller.team:
            raise AccessError(f"job {job} belongs to another team", status=403)
        return row.spec.team

    async def apply(self, request: ApplyRequest, caller: Caller) -> ApplyAnswer:
        """Change declarations and wait up to 3 s until the change is in effect."""
        entry = self._entry
        declared = read_declarations([Source("request", request.documents)])
        items: dict[ItemKey, Item | None] = {
            ItemKey(get_kind(each.value), each.value.name): each.value for each in declared
        }
        draft = ChangeDraft(caller.name, request.reason or "no reason given", items)
        started_s = entry.clock.seconds()
        applied = await entry.configuration.apply(draft, seen=request.seen, preview=request.preview)
        behind = (
            await self._wait_until_in_effect(applied.version, started_s)
            if applied.committed
            else []
        )
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
            dangling=tuple(list_dangling_references(list_declarations(known.values()))),
        )

    async def _wait_until_in_effect(self, version: Version, started_s: float) -> list[EntryId]:
        """Wait up to 3 s for a version on all live entry instances; return those that lag."""
        while True:
            versions = self._entry.list_versions()
            behind = sorted(entry for entry, current in versions.items() if current < version)
            if not behind or self._entry.clock.seconds() - started_s >= IN_EFFECT_TIMEOUT_SECONDS:
                return behind
            await sleep(self._entry.clock, IN_EFFECT_POLL_SECONDS)

    async def list_changes(self) -> ChangesAnswer:
        """Return the changes, newest first."""
        now = self._entry.read_unix_ms()
        changes = await self._entry.configuration.list_changes()
        rows = tuple(make_change_info(change, now) for change in reversed(changes))
        return ChangesAnswer(self._entry.view.version, rows)

    def describe_config(self) -> ConfigAnswer:
        """Return the configuration in effect on this entry instance, without tokens."""
        view = self._entry.view
        items: list[dict[str, Any]] = [redact_item(i) for i in view.snapshot.items.values()]
        return ConfigAnswer(view.version, view.age_ms, tuple(items))

    def describe_health(self) -> Health:
        """Return readiness, store and configuration age, owned slices and peers."""
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


def list_declarations(items: Iterable[Item | None]) -> list[Declaration]:
    """Return the declarations among items, leaving out commands and removed items."""
    return [item for item in items if item is not None and not isinstance(item, Command)]
