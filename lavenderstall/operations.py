"""What callers and operators ask of an entry instance beyond calls."""

from typing import TYPE_CHECKING

import msgspec

from lavenderstall.access import Caller
from lavenderstall.changes import ChangeRefusedError, ItemKey, OvertakenError
from lavenderstall.clocks import sleep
from lavenderstall.configuration import Applied, Draft
from lavenderstall.declarations import DeclarationError, Source, read_declarations
from lavenderstall.errors import LavenderstallError, Outcome, RefusedError
from lavenderstall.identifiers import EntryId, JobId, Version
from lavenderstall.jobs import JobStatus
from lavenderstall.records import JobSpec
from lavenderstall.schemas import Item, get_kind

if TYPE_CHECKING:
    from lavenderstall.entry import Entry
    from lavenderstall.web import Exchange, Reply

FORCE_SECONDS = 3.0
POLL_SECONDS = 0.1

STATUS: dict[type[LavenderstallError], int] = {
    OvertakenError: 409,
    ChangeRefusedError: 409,
    DeclarationError: 400,
}


def find_status(error: LavenderstallError) -> int:
    """Return the HTTP status of an error that changed nothing."""
    return STATUS.get(type(error), 400)


class Health(msgspec.Struct):
    """Describe an entry instance to the balancer and to operators."""

    entry: EntryId
    draining: bool
    version: Version
    version_age_ms: int | None
    store_age_ms: int
    slices: dict[str, int]
    peers: list[str]


class ApplyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Ask to change declarations; `seen` is the version that the author read."""

    documents: str
    reason: str = ""
    seen: Version | None = None
    preview: bool = False
    file: str = "request"


class ApplyAnswer(msgspec.Struct):
    """Tell what was changed and which entry instances have it in force."""

    applied: Applied
    in_force: list[EntryId]
    not_in_force: list[EntryId]
    took_ms: int


class ConfigAnswer(msgspec.Struct):
    """Hold the configuration that an entry instance has in force."""

    version: Version
    age_ms: int | None
    items: dict[str, Item]


class Operations:
    """Carry out requests on one entry instance."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry

    async def submit(self, spec: JobSpec) -> JobStatus:
        """Accept a job, or raise `RefusedError` when it was not accepted."""
        entry = self._entry
        if entry.draining or not entry.may_accept_jobs():
            reason = "draining" if entry.draining else "config_stale"
            raise RefusedError(
                "no jobs are accepted here now", step="accept", reason=reason, retry_after_ms=1000
            )
        status = await entry.desk.submit(spec)
        entry.metrics.count("jobs_accepted")
        return status

    async def read_job(self, job: JobId, caller: Caller, wait: float = 0.0) -> JobStatus:
        """Return the state of a job, after its end or after a time in seconds."""
        limit = self._entry.clock.seconds() + wait
        await self._check_team(job, caller)
        status = await self._entry.desk.read_status(job)
        while not status.is_finished and self._entry.clock.seconds() < limit:
            await sleep(self._entry.clock, POLL_SECONDS * 5)
            status = await self._entry.desk.read_status(job)
        return status

    async def cancel_job(self, job: JobId, caller: Caller) -> JobStatus:
        """Cancel a job of the caller's team."""
        await self._check_team(job, caller)
        return await self._entry.desk.cancel(job)

    async def _check_team(self, job: JobId, caller: Caller) -> None:
        _, row, _ = await self._entry.desk.read_rows(job)
        if caller.right is None and row.spec.team != caller.team:
            raise RefusedError(
                f"job {job} belongs to another team",
                step="check team",
                reason="access",
                outcome=Outcome.NOT_RUN,
            )

    async def query(self, exchange: "Exchange", caller: Caller) -> "Reply":
        """Answer a statement of the query language."""
        raise NotImplementedError

    async def apply(self, exchange: "Exchange", caller: Caller) -> "Reply":
        """Change declarations and wait until the change is in force."""
        from lavenderstall.web import make_json  # noqa: PLC0415  (the modules need each other)

        wanted: ApplyRequest = exchange.decode(ApplyRequest)
        declared = read_declarations([Source(wanted.file, wanted.documents)])
        items: dict[ItemKey, Item | None] = {
            ItemKey(get_kind(each.value), each.value.name): each.value for each in declared
        }
        draft = Draft(caller.name, wanted.reason or "no reason given", items)
        started = self._entry.clock.seconds()
        applied = await self._entry.configuration.apply(
            draft, seen=wanted.seen, preview=wanted.preview
        )
        return make_json(200, await self._await_force(applied, started))

    async def _await_force(self, applied: Applied, started: float) -> ApplyAnswer:
        """Wait until every live entry instance has a version in force, or 3 s."""
        entry = self._entry
        while True:
            versions = entry.list_versions()
            behind = sorted(e for e, v in versions.items() if v < applied.version)
            took = entry.clock.seconds() - started
            if not behind or took >= FORCE_SECONDS or not applied.committed:
                break
            await sleep(entry.clock, POLL_SECONDS)
        done = sorted(versions.keys() - set(behind))
        return ApplyAnswer(applied, done, behind, int(took * 1000))

    def describe_config(self) -> ConfigAnswer:
        """Return the configuration in force here, without tokens."""
        view = self._entry.view
        items = {str(key): item for key, item in view.snapshot.items.items()}
        return ConfigAnswer(view.version, view.age_ms, items)

    def describe_health(self) -> Health:
        """Return what the balancer and operators look at first."""
        entry = self._entry
        return Health(
            entry.entry,
            entry.draining,
            entry.view.version,
            entry.view.age_ms,
            int(entry.ownership.get_store_age() * 1000),
            {str(name): tenure.term for name, tenure in entry.ownership.tenures.items()},
            sorted(entry.ownership.peers),
        )
