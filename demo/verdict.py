"""Compares what workers recorded with what callers were told; all functions are pure."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from statistics import quantiles
from typing import Any

import msgspec

from lavenderstall.identifiers import EntryId, TaskId, WorkerId, get_task_id, split_task_id
from lavenderstall.protocol import RefusalReason, TaskState
from lavenderstall.resources import NOTHING
from standins.truth import CallBegun, CallEnded, Left, TaskEnded, TaskStarted, Truth, WorkRefused

LEAVING_SECONDS = 3.0
FORCE_SECONDS = 3.0
RECOVERY_SECONDS = 5.0


class Told(Enum):
    """What a caller was told last about its work."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    NOTHING = "nothing"


class Work(msgspec.Struct):
    """Hold one call or job of a caller; times are in seconds.

    `accepted` is when a job's submission was answered. `whole` tells whether the answer had the
    declared digest and named this request.
    """

    id: str
    kind: str
    idempotent: bool
    sent: float
    told: Told = Told.NOTHING
    ended: float = 0.0
    accepted: float | None = None
    whole: bool = True
    is_job: bool = False
    tasks: int = 0
    detail: str = ""


class Exchange(msgspec.Struct):
    """Hold one attempt at an entry instance; one that is `cut` was sent and not answered."""

    work: str
    entry: EntryId
    sent: float
    ended: float
    cut: bool


class Shutdown(msgspec.Struct):
    """Hold a graceful shutdown: when it was asked for and when the process had ended."""

    entry: EntryId
    asked: float
    ended: float


class Kill(msgspec.Struct):
    """Hold the kill of an owner and the workers of each of its slices."""

    entry: EntryId
    at: float
    slices: dict[str, list[WorkerId]]


class Change(msgspec.Struct):
    """Hold a configuration change, when it was sent and the version it made."""

    sent: float
    version: int


class Presence(msgspec.Struct):
    """Hold when an entry instance was connected: from its readiness to its end."""

    entry: EntryId
    since: float
    until: float


class Sighting(msgspec.Struct, frozen=True):
    """Hold the configuration version that an entry instance had in force at a time."""

    entry: EntryId
    at: float
    version: int


class Run(msgspec.Struct):
    """Hold what a whole run saw from outside."""

    works: list[Work] = []
    exchanges: list[Exchange] = []
    shutdowns: list[Shutdown] = []
    kills: list[Kill] = []
    changes: list[Change] = []
    presences: list[Presence] = []
    sightings: list[Sighting] = []


def count_duplicate_runs(truths: Iterable[Truth]) -> int:
    """Return how many runs of non-idempotent requests and tasks came after the first."""
    runs: Counter[str] = Counter()
    for truth in truths:
        for record in truth.records:
            if isinstance(record, CallBegun) and not record.idempotent:
                runs[f"call {record.request}"] += 1
            if isinstance(record, TaskStarted) and not record.idempotent:
                runs[f"task {get_task_id(record.task)}"] += 1
    return sum(count - 1 for count in runs.values())


def list_intervals(truths: Iterable[Truth]) -> dict[TaskId, list[tuple[float, float]]]:
    """Return when each task ran; a run without an end lasts for ever."""
    found: dict[TaskId, list[tuple[float, float]]] = defaultdict(list)
    for truth in truths:
        ends = {
            (record.task, record.incarnation): record.at
            for record in truth.records
            if isinstance(record, TaskEnded)
        }
        for record in truth.records:
            if isinstance(record, TaskStarted):
                end = ends.get((record.task, record.incarnation), float("inf"))
                found[get_task_id(record.task)].append((record.at, end))
    return found


def count_two_places(truths: Iterable[Truth]) -> int:
    """Return how many tasks ran twice at the same time."""
    count = 0
    for intervals in list_intervals(truths).values():
        last = float("-inf")
        overlapping = False
        for start, end in sorted(intervals):
            overlapping = overlapping or start < last
            last = max(last, end)
        count += overlapping
    return count


def count_overcommitted(truths: Iterable[Truth]) -> int:
    """Return how many workers held more than their capacity at some time."""
    return sum(is_overcommitted(truth) for truth in truths)


def is_overcommitted(truth: Truth) -> bool:
    """Tell whether the tasks or calls of a worker ever exceeded its capacity."""
    allocated = NOTHING
    calls = 0
    for record in truth.records:
        match record:
            case TaskStarted():
                allocated = allocated.add(record.resources)
            case TaskEnded():
                allocated = allocated.subtract(record.resources)
            case CallBegun():
                calls += 1
            case CallEnded():
                calls -= 1
        if allocated.find_shortages(truth.capacity) or calls > truth.capacity.slots:
            return True
    return bool(truth.peak_allocated.find_shortages(truth.capacity))


def count_work_after_leaving(truths: Iterable[Truth], limit: float = LEAVING_SECONDS) -> int:
    """Return how many calls and starts reached a worker too long after it began to leave.

    A worker that leaves refuses work, so that work sent to it in vain is counted as well.
    """
    count = 0
    for truth in truths:
        left = [record.at for record in truth.records if isinstance(record, Left)]
        if not left:
            continue
        count += sum(
            record.at > left[0] + limit
            for record in truth.records
            if isinstance(record, CallBegun | TaskStarted)
            or (isinstance(record, WorkRefused) and record.reason is RefusalReason.LEAVING)
        )
    return count


def count_false_refusals(works: Iterable[Work], truths: Iterable[Truth]) -> int:
    """Return how many callers were told "not run" about work that ran."""
    ran: set[str] = set()
    for truth in truths:
        for record in truth.records:
            if isinstance(record, CallBegun):
                ran.add(record.request)
            if isinstance(record, TaskStarted):
                ran.add(record.job)
    return sum(work.told is Told.NOT_RUN and work.id in ran for work in works)


def count_false_completions(works: Iterable[Work], truths: Iterable[Truth]) -> int:
    """Return how many callers were told "done" although no worker recorded the end of the work."""
    calls: set[str] = set()
    tasks: dict[str, set[TaskId]] = defaultdict(set)
    for truth in truths:
        for record in truth.records:
            if isinstance(record, CallEnded) and record.outcome == "done":
                calls.add(record.request)
            if isinstance(record, TaskEnded) and record.state is TaskState.DONE:
                task = get_task_id(record.task)
                tasks[split_task_id(task)[0]].add(task)
    return sum(
        len(tasks[work.id]) < work.tasks if work.is_job else work.id not in calls
        for work in works
        if work.told is Told.DONE
    )


def count_cut_off(run: Run) -> int:
    """Return how many calls a graceful shutdown interrupted.

    These are calls that the leaving entry instance took and did not answer, and calls in flight
    anywhere during the shutdown whose outcome was told as unknown.
    """
    count = 0
    for shutdown in run.shutdowns:
        cut = {
            each.work
            for each in run.exchanges
            if each.cut and each.entry == shutdown.entry and each.ended >= shutdown.asked
        }
        cut |= {
            work.id
            for work in run.works
            if work.told is Told.UNKNOWN
            and not work.is_job
            and work.sent <= shutdown.ended
            and work.ended >= shutdown.asked
        }
        count += len(cut)
    return count


def measure_recovery(kill: Kill, truths: Iterable[Truth]) -> dict[WorkerId, float | None]:
    """Return the seconds from a kill until another owner started work, by worker."""
    workers = {name for names in kill.slices.values() for name in names}
    found: dict[WorkerId, float | None] = {}
    for truth in truths:
        if truth.worker in workers:
            starts = [
                record.at - kill.at
                for record in truth.records
                if isinstance(record, CallBegun | TaskStarted)
                and record.at > kill.at
                and record.owner != kill.entry
            ]
            found[truth.worker] = min(starts, default=None)
    return found


def find_recovery(kill: Kill, truths: Sequence[Truth]) -> float | None:
    """Return the seconds until work started again in every slice of a killed owner."""
    by_worker = measure_recovery(kill, truths)
    slices = [
        min((s for w in workers if (s := by_worker.get(w)) is not None), default=None)
        for workers in kill.slices.values()
    ]
    if not slices or None in slices:
        return None
    return max(each for each in slices if each is not None)


def measure_force(run: Run) -> list[float]:
    """Return the seconds until each change was in force on all connected entry instances.

    A change that an entry instance was never seen to have counts as infinite, unless the
    instance was connected for less than the limit after the change.
    """
    return [
        max((measure_force_at(change, each, run.sightings) for each in run.presences), default=0.0)
        for change in run.changes
    ]


def measure_force_at(change: Change, presence: Presence, sightings: Iterable[Sighting]) -> float:
    """Return the seconds until a change was in force on one entry instance."""
    start = max(change.sent, presence.since)
    if presence.until < start:
        return 0.0
    seen = [
        sighting.at
        for sighting in sightings
        if sighting.entry == presence.entry
        and start <= sighting.at <= presence.until
        and sighting.version >= change.version
    ]
    if seen:
        return min(seen) - start
    return 0.0 if presence.until - start < FORCE_SECONDS else float("inf")


def count_reverts(run: Run) -> int:
    """Return how often an entry instance showed a lower version than before."""
    count = 0
    highest: dict[EntryId, int] = {}
    for sighting in sorted(run.sightings, key=lambda each: each.at):
        count += sighting.version < highest.get(sighting.entry, 0)
        highest[sighting.entry] = max(sighting.version, highest.get(sighting.entry, 0))
    return count


def measure_waits(
    works: Iterable[Work], truths: Iterable[Truth], offset: float = 0.0
) -> dict[str, list[float]]:
    """Return the waits in ms by kind of work; `offset` is the workers' clock minus ours.

    A call waits from its sending until its first run, a task from its job's acceptance.
    """
    begun: dict[str, float] = {}
    started: dict[str, dict[TaskId, float]] = defaultdict(dict)
    for truth in truths:
        for record in truth.records:
            if isinstance(record, CallBegun):
                begun[record.request] = min(record.at, begun.get(record.request, record.at))
            if isinstance(record, TaskStarted):
                task = get_task_id(record.task)
                tasks = started[record.job]
                tasks[task] = min(record.at, tasks.get(task, record.at))
    waits: dict[str, list[float]] = defaultdict(list)
    for work in works:
        if not work.is_job and work.id in begun:
            waits[work.kind].append((begun[work.id] - offset - work.sent) * 1000)
        if work.is_job and work.accepted is not None:
            waits[work.kind] += [
                max(at - offset - work.accepted, 0.0) * 1000 for at in started[work.id].values()
            ]
    return dict(waits)


def summarize(values: Sequence[float]) -> dict[str, float]:
    """Return the median and the 99th percentile."""
    if len(values) < 2:
        return {"p50": round(values[0], 1), "p99": round(values[0], 1)} if values else {}
    cuts = quantiles(values, n=100, method="inclusive")
    return {"p50": round(cuts[49], 1), "p99": round(cuts[98], 1)}


def judge(run: Run, truths: Sequence[Truth], offset: float = 0.0) -> dict[str, Any]:
    """Return the fields of the last line."""
    told = Counter(work.told for work in run.works)
    recoveries = [find_recovery(kill, truths) for kill in run.kills]
    full_recoveries = [find_full_recovery(kill, truths) for kill in run.kills]
    forces = measure_force(run)
    return {
        "submitted": len(run.works),
        "completed": told[Told.DONE] + told[Told.CANCELLED],
        "failed": told[Told.FAILED],
        "refused_not_run": told[Told.NOT_RUN],
        "unknown_outcome": told[Told.UNKNOWN],
        "unanswered": told[Told.NOTHING],
        "unfinished_jobs": told[Told.ACCEPTED],
        "truncated_answers": sum(not work.whole for work in run.works),
        "duplicate_runs": count_duplicate_runs(truths),
        "two_places": count_two_places(truths),
        "overcommitted_instances": count_overcommitted(truths),
        "work_after_leaving": count_work_after_leaving(truths),
        "false_refusals": count_false_refusals(run.works, truths),
        "false_completions": count_false_completions(run.works, truths),
        "cut_off_in_shutdown": count_cut_off(run),
        "config_reverts": count_reverts(run),
        "refused_at_workers": count_refusals_at_workers(truths),
        "wait_ms": {
            kind: summarize(values)
            for kind, values in sorted(measure_waits(run.works, truths, offset).items())
        },
        "config_in_force_s": round_finite(max(forces, default=None)),
        "recovery_s": round_finite(find_longest(recoveries)),
        "recovery_all_workers_s": round_finite(find_longest(full_recoveries)),
    }


def find_longest(values: Sequence[float | None]) -> float | None:
    """Return the longest time, or none if there is none or one never came."""
    known = [value for value in values if value is not None]
    return max(known) if known and len(known) == len(values) else None


def find_full_recovery(kill: Kill, truths: Iterable[Truth]) -> float | None:
    """Return the seconds until work started again on every worker of a killed owner."""
    found = list(measure_recovery(kill, truths).values())
    return None if None in found else max((each for each in found if each), default=None)


def count_refusals_at_workers(truths: Iterable[Truth]) -> dict[str, int]:
    """Return how much work reached a worker that refused it, by reason."""
    return dict(
        Counter(
            record.reason.value
            for truth in truths
            for record in truth.records
            if isinstance(record, WorkRefused)
        )
    )


def round_finite(value: float | None) -> float | None:
    """Return a time to the millisecond, or none if it never came."""
    return None if value is None or value == float("inf") else round(value, 3)


COUNTS = (
    "unanswered",
    "truncated_answers",
    "duplicate_runs",
    "two_places",
    "overcommitted_instances",
    "work_after_leaving",
    "false_refusals",
    "false_completions",
    "cut_off_in_shutdown",
    "config_reverts",
    "unfinished_jobs",
)
LIMITS = {"config_in_force_s": FORCE_SECONDS, "recovery_s": RECOVERY_SECONDS}


def list_broken(result: Mapping[str, Any]) -> list[str]:
    """Return the fields that break a promise; a time that never came breaks one too."""
    broken = [name for name in COUNTS if result[name]]
    broken += [
        name for name, limit in LIMITS.items() if result[name] is None or result[name] > limit
    ]
    return broken
