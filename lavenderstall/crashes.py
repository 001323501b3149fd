"""Crashes of the workers of a slice, and the tasks that may have caused them."""

from collections.abc import Iterable, Sequence
from math import inf

from lavenderstall.protocol import Kind, TaskState
from lavenderstall.records import NO_CRASHES, TaskCrashes
from lavenderstall.tasks import Task

# A task is given up once it alone may have caused this many crashes, or after more of any kind.
MAX_SOLE_CRASHES = 2
MAX_CRASHES = 4
# A run that is older when its worker is lost has not caused that, and clears its task.
MAX_RUN_AGE_S = 60.0
# A worker that is lost by a task as that starts is noticed within this time, two heartbeats.
FRESH_S = 5.0
# Nothing starts beside a suspected task, nor such a task beside others, this long after a start.
SETTLED_S = 2.0
# A suspected task starts anywhere once it has waited for this long.
MAX_APART_S = 6.0


def record_crash(lost: Iterable[Task], now: float, *, restarted: bool) -> list[Task]:
    """Add a crash to the tasks on a lost worker that may have caused it, and return them.

    Those with earlier crashes and those that had just started are its likely causes. No single
    task is blamed if the worker has not restarted, as it may only be cut off, or if it had not
    answered the start, as that may not have arrived.
    """
    possible = [
        task for task in lost if task.state is not TaskState.STOPPING and may_crash(task, now)
    ]
    likely = [task for task in possible if task.crashes.total or now - task.started <= FRESH_S]
    blamed = likely or possible
    sole = restarted and len({_find_attempt(task) for task in blamed}) == 1
    for task in blamed:
        proven = sole and task.accepted_at < inf
        task.crashes = TaskCrashes(task.crashes.total + 1, task.crashes.sole + proven)
    return blamed


def _find_attempt(task: Task) -> str:
    """Return what starts and ends together: a task, or all members of a gang."""
    return task.spec.id if task.spec.kind is Kind.GANG else task.id


def record_missing_run(task: Task) -> None:
    """Add a crash to a task whose run an earlier owner had started, and that is on no worker."""
    if task.crashes.started:
        task.crashes = TaskCrashes(task.crashes.total + 1, task.crashes.sole)


def is_given_up(task: Task) -> bool:
    """Tell whether a task crashes the workers that start it; a service only starts more rarely."""
    crashes = task.crashes
    over = crashes.sole >= MAX_SOLE_CRASHES or crashes.total >= MAX_CRASHES
    return over and task.spec.kind is not Kind.SERVICE


def may_crash(task: Task, now: float) -> bool:
    """Tell whether a run is young enough to crash its worker."""
    return now - task.started <= MAX_RUN_AGE_S


def is_cleared(task: Task, now: float) -> bool:
    """Tell whether a run with crashes or a recorded start is too old to crash its worker."""
    return task.crashes != NO_CRASHES and not may_crash(task, now)


def keeps_apart(starting: Sequence[Task], running: Iterable[Task], now: float) -> bool:
    """Tell whether tasks may not start on a worker, so that its crash would tell its cause."""
    jobs = {task.spec.id for task in starting}
    others = [task for task in running if task.spec.id not in jobs]
    if not any(task.crashes.total for task in starting):
        return any(task.crashes.total and _is_unsettled(task, now) for task in others)
    if now - min(task.waiting_since for task in starting) > MAX_APART_S:
        return False
    return any(task.crashes.total or _is_unsettled(task, now) for task in others)


def _is_unsettled(task: Task, now: float) -> bool:
    return now - task.started < SETTLED_S
