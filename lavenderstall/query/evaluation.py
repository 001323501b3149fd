"""Evaluates statements on an inventory and merges the partial answers of owners."""

from collections import Counter
from collections.abc import Iterable, Sequence
from functools import singledispatch

import msgspec

from lavenderstall.inventory import (
    Answer,
    AnyInfo,
    ChangeInfo,
    CountInfo,
    Info,
    Inventory,
    JobInfo,
    MissingPart,
    Part,
    ReasonInfo,
    RefusalInfo,
    TaskInfo,
    WorkerInfo,
)
from lavenderstall.protocol import TaskState
from lavenderstall.query.fields import TOPICS, get_scalar
from lavenderstall.query.filters import evaluate_condition, matches
from lavenderstall.query.statements import (
    Condition,
    Count,
    Order,
    Show,
    ShowChange,
    Statement,
    Topic,
    Why,
)

# Bounds an owner's partial answer when a count groups by a field with many values.
MAX_GROUPS = 10_000
# Fields of partial rows that have the same value at every owner.
IDENTITY_FIELDS = ("id", "team", "kind", "service", "pool")
# A job whose parts differ in state gets the first of these states that any part has.
JOB_STATE_PRECEDENCE = (
    TaskState.RUNNING,
    TaskState.STARTING,
    TaskState.STOPPING,
    TaskState.WAITING,
    TaskState.UNKNOWN,
    TaskState.FAILED,
    TaskState.CANCELLED,
    TaskState.REFUSED,
    TaskState.DONE,
)


def sort_rows(rows: Iterable[AnyInfo], topic: Topic, sort: Sequence[Order]) -> list[AnyInfo]:
    """Return sorted rows; the topic's default order breaks ties."""
    found = list(rows)
    for order in (*TOPICS[topic].sort[::-1], *sort[::-1]):
        found.sort(key=lambda row: get_scalar(row, order.field), reverse=order.descending)
    return found


def _list_rows(topic: Topic, inventory: Inventory) -> list[AnyInfo]:
    rows: list[AnyInfo] = getattr(inventory, TOPICS[topic].inventory_field)
    if topic is Topic.WAITING:
        return [r for r in rows if isinstance(r, TaskInfo) and r.state is TaskState.WAITING]
    return rows


def _may_match(condition: Condition | None, row: Info) -> bool:
    """Return whether a row may match once it is summed with those of other owners."""
    names = (name for name in IDENTITY_FIELDS if name in row.__struct_fields__)
    possible_values = {name: frozenset({str(get_scalar(row, name))}) for name in names}
    return evaluate_condition(condition, possible_values) is not False


def _select_rows(topic: Topic, where: Condition | None, inventory: Inventory) -> list[AnyInfo]:
    """Return the rows that match, or for summed topics those that may match after summing."""
    rows = _list_rows(topic, inventory)
    if TOPICS[topic].row.SUMMED:
        return [row for row in rows if _may_match(where, row)]
    return [row for row in rows if matches(where, row)]


def _sum_rows(one: AnyInfo, other: AnyInfo) -> AnyInfo:
    """Sum two partial rows with the same id."""
    sums = {name: getattr(one, name) + getattr(other, name) for name in one.SUMMED}
    sums["age_ms"] = max(one.age_ms, other.age_ms)  # type: ignore[union-attr]
    if isinstance(one, JobInfo) and isinstance(other, JobInfo):
        sums["state"] = min((one.state, other.state), key=JOB_STATE_PRECEDENCE.index)
        sums["reason"] = one.reason or other.reason
    return msgspec.structs.replace(one, **sums)


def _choose_newer(one: AnyInfo, other: AnyInfo) -> AnyInfo:
    """Return the newer of two rows with the same id, e.g. after a change of owner."""
    if isinstance(one, WorkerInfo) and isinstance(other, WorkerInfo):
        return max(one, other, key=lambda row: row.epoch)
    return one


def _merge_rows(topic: Topic, rows: Iterable[AnyInfo]) -> list[AnyInfo]:
    """Merge the rows of all owners into one row per id."""
    spec = TOPICS[topic]
    if not spec.unique:
        return list(rows)
    found: dict[object, AnyInfo] = {}
    for row in rows:
        key = get_scalar(row, "id")
        first = found.get(key)
        if first is None:
            found[key] = row
        else:
            found[key] = _sum_rows(first, row) if spec.row.SUMMED else _choose_newer(first, row)
    return list(found.values())


def _count_groups(by: Sequence[str], rows: Iterable[AnyInfo]) -> Counter[tuple[str, ...]]:
    return Counter(tuple(str(get_scalar(row, name)) for name in by) for row in rows)


@singledispatch
def evaluate_part(statement: Statement, inventory: Inventory) -> Answer:
    """Return the partial answer from one inventory; `merge_answers` completes it."""
    raise TypeError(f"{type(statement).__name__} is not a query")


@evaluate_part.register
def _(statement: Show, inventory: Inventory) -> Answer:
    rows = _select_rows(statement.topic, statement.where, inventory)
    if TOPICS[statement.topic].row.SUMMED:
        return Answer(rows=tuple(rows), total=len(rows))
    found = sort_rows(rows, statement.topic, statement.sort)[: statement.limit]
    return Answer(rows=tuple(found), total=len(rows))


@evaluate_part.register
def _(statement: Count, inventory: Inventory) -> Answer:
    rows = _select_rows(statement.topic, statement.where, inventory)
    if TOPICS[statement.topic].row.SUMMED:
        return Answer(rows=tuple(rows), total=len(rows))
    counts = _count_groups(statement.by, rows).most_common()
    note = f"only the {MAX_GROUPS} largest groups of an owner" if len(counts) > MAX_GROUPS else ""
    groups = tuple(CountInfo(values, count) for values, count in counts[:MAX_GROUPS])
    return Answer(rows=groups, total=len(rows), note=note)


@evaluate_part.register
def _(statement: ShowChange, inventory: Inventory) -> Answer:
    found = [row for row in inventory.changes if row.id == statement.number]
    if not found:
        return Answer(note=f"change {statement.number} does not exist")
    return Answer(change=found[0], differences=found[0].differences)


@evaluate_part.register
def _(statement: Why, inventory: Inventory) -> Answer:
    rows = [row for row in inventory.reasons if _is_relevant(statement, row.id)]
    notes = [_describe_state(row) for row in _list_subjects(statement, inventory)]
    return Answer(rows=tuple(rows), total=len(rows), note="; ".join(notes))


def _is_relevant(statement: Why, name: str) -> bool:
    """Return whether a decision about the named item helps to explain the subject."""
    job = statement.id.rpartition(".")[0]
    return (
        name == statement.id
        or (statement.subject == "task" and name == job)
        or (statement.subject == "job" and name.rpartition(".")[0] == statement.id)
    )


def _list_subjects(statement: Why, inventory: Inventory) -> list[AnyInfo]:
    sources: dict[str, Sequence[AnyInfo]] = {
        "task": inventory.tasks,
        "job": inventory.jobs,
        "request": inventory.refusals,
        "worker": inventory.workers,
    }
    return [row for row in sources[statement.subject] if get_scalar(row, "id") == statement.id]


def _describe_state(row: AnyInfo) -> str:
    """Describe the current state of the subject of a `why` statement."""
    if isinstance(row, RefusalInfo):
        return f"{row.id} was rejected ({row.reason}): {row.detail}"
    assert isinstance(row, TaskInfo | JobInfo | WorkerInfo)
    reason = f": {row.reason}" if row.reason else ""
    return f"{row.id} is {row.state.value}{reason}"


def merge_answers(
    statement: Statement, answers: Sequence[Answer], missing: Iterable[MissingPart] = ()
) -> Answer:
    """Merge partial answers: sum counts, then sort and limit over all rows."""
    rows = [row for answer in answers for row in answer.rows]
    merged = _complete_answer(statement, rows, sum(answer.total for answer in answers))
    notes = dict.fromkeys(answer.note for answer in answers if answer.note)
    changes = [answer.change for answer in answers if answer.change]
    return msgspec.structs.replace(
        merged,
        parts=tuple(part for answer in answers for part in answer.parts),
        missing=(*(each for answer in answers for each in answer.missing), *missing),
        change=changes[0] if changes else None,
        differences=changes[0].differences if changes else (),
        note="; ".join(notes) if not changes else "",
    )


@singledispatch
def _complete_answer(statement: Statement, rows: list[AnyInfo], total: int) -> Answer:
    return Answer(columns=ChangeInfo.COLUMNS)


@_complete_answer.register
def _(statement: Show, rows: list[AnyInfo], total: int) -> Answer:
    topic = statement.topic
    found = _merge_rows(topic, rows)
    total -= len(rows) - len(found)
    if TOPICS[topic].row.SUMMED:
        found = [row for row in found if matches(statement.where, row)]
        total = len(found)
    found = sort_rows(found, topic, statement.sort)[: statement.limit]
    return Answer(columns=TOPICS[topic].row.COLUMNS, rows=tuple(found), total=total)


@_complete_answer.register
def _(statement: Count, rows: list[AnyInfo], total: int) -> Answer:
    counts: Counter[tuple[str, ...]] = Counter()
    if TOPICS[statement.topic].row.SUMMED:
        found = _merge_rows(statement.topic, rows)
        counts = _count_groups(
            statement.by, [row for row in found if matches(statement.where, row)]
        )
        total = counts.total()
    for row in rows:
        if isinstance(row, CountInfo):
            counts[row.values] += row.count
    order = sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))
    groups = tuple(CountInfo(values, count) for values, count in order[: statement.limit])
    return Answer(columns=(*statement.by, "count"), rows=groups, total=total)


@_complete_answer.register
def _(statement: Why, rows: list[AnyInfo], total: int) -> Answer:
    found = [row for row in rows if isinstance(row, ReasonInfo)]
    found.sort(key=lambda row: -row.age_ms)
    return Answer(columns=ReasonInfo.COLUMNS, rows=tuple(found), total=len(found))


def evaluate(statement: Statement, inventory: Inventory, part: Part | None = None) -> Answer:
    """Return the complete answer from one inventory."""
    answer = evaluate_part(statement, inventory)
    parts = (part,) if part else ()
    return merge_answers(statement, [msgspec.structs.replace(answer, parts=parts)])
