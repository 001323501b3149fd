"""Evaluates statements on rows and merges the answers of several owners."""

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
from lavenderstall.query.fields import TOPICS, get_plain
from lavenderstall.query.filters import decide, matches
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

# Bounds the answer of one owner to a count by a field with many values.
MAX_GROUPS = 10_000
# Fields of partial rows that are the same at each owner.
IDENTITY = ("id", "team", "kind", "service", "pool")
# The state of a job whose parts differ is the first of these that one of them has.
STATES = (
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
    """Return rows in an order, and in the topic's usual order where that leaves ties."""
    found = list(rows)
    for order in (*TOPICS[topic].sort[::-1], *sort[::-1]):
        found.sort(key=lambda row: get_plain(row, order.field), reverse=order.descending)
    return found


def _list_rows(topic: Topic, inventory: Inventory) -> list[AnyInfo]:
    rows: list[AnyInfo] = getattr(inventory, TOPICS[topic].source)
    if topic is Topic.WAITING:
        return [r for r in rows if isinstance(r, TaskInfo) and r.state is TaskState.WAITING]
    return rows


def _is_possible(condition: Condition | None, row: Info) -> bool:
    """Tell whether the sum of a row and those of other owners may meet a condition."""
    names = (name for name in IDENTITY if name in row.__struct_fields__)
    known = {name: frozenset({str(get_plain(row, name))}) for name in names}
    return decide(condition, known) is not False


def _select(topic: Topic, where: Condition | None, inventory: Inventory) -> list[AnyInfo]:
    """Return the rows that match, or those that may match once they are added up."""
    rows = _list_rows(topic, inventory)
    if TOPICS[topic].row.SUMMED:
        return [row for row in rows if _is_possible(where, row)]
    return [row for row in rows if matches(where, row)]


def _add(one: AnyInfo, other: AnyInfo) -> AnyInfo:
    """Return one row for two parts of the same thing."""
    sums = {name: getattr(one, name) + getattr(other, name) for name in one.SUMMED}
    sums["age_ms"] = max(one.age_ms, other.age_ms)  # type: ignore[union-attr]
    if isinstance(one, JobInfo) and isinstance(other, JobInfo):
        sums["state"] = min((one.state, other.state), key=STATES.index)
        sums["reason"] = one.reason or other.reason
    return msgspec.structs.replace(one, **sums)


def _choose(one: AnyInfo, other: AnyInfo) -> AnyInfo:
    """Return the newer of two rows with the same id, as after a change of owner."""
    if isinstance(one, WorkerInfo) and isinstance(other, WorkerInfo):
        return max(one, other, key=lambda row: row.epoch)
    return one


def _combine(topic: Topic, rows: Iterable[AnyInfo]) -> list[AnyInfo]:
    """Return one row for each id, from the rows of all owners."""
    table = TOPICS[topic]
    if not table.unique:
        return list(rows)
    found: dict[object, AnyInfo] = {}
    for row in rows:
        key = get_plain(row, "id")
        first = found.get(key)
        if first is None:
            found[key] = row
        else:
            found[key] = _add(first, row) if table.row.SUMMED else _choose(first, row)
    return list(found.values())


def _count(by: Sequence[str], rows: Iterable[AnyInfo]) -> Counter[tuple[str, ...]]:
    return Counter(tuple(str(get_plain(row, name)) for name in by) for row in rows)


@singledispatch
def evaluate_part(statement: Statement, inventory: Inventory) -> Answer:
    """Return what one source contributes to the answer; `merge_answers` completes it."""
    raise TypeError(f"{type(statement).__name__} is not a query")


@evaluate_part.register
def _(statement: Show, inventory: Inventory) -> Answer:
    rows = _select(statement.topic, statement.where, inventory)
    if TOPICS[statement.topic].row.SUMMED:
        return Answer(rows=tuple(rows), total=len(rows))
    found = sort_rows(rows, statement.topic, statement.sort)[: statement.limit]
    return Answer(rows=tuple(found), total=len(rows))


@evaluate_part.register
def _(statement: Count, inventory: Inventory) -> Answer:
    rows = _select(statement.topic, statement.where, inventory)
    if TOPICS[statement.topic].row.SUMMED:
        return Answer(rows=tuple(rows), total=len(rows))
    counts = _count(statement.by, rows).most_common()
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
    rows = [row for row in inventory.reasons if _concerns(statement, row.id)]
    notes = [_describe(row) for row in _list_subjects(statement, inventory)]
    return Answer(rows=tuple(rows), total=len(rows), note="; ".join(notes))


def _concerns(statement: Why, name: str) -> bool:
    """Tell whether a decision about a thing helps to explain the subject."""
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
    return [row for row in sources[statement.subject] if get_plain(row, "id") == statement.id]


def _describe(row: AnyInfo) -> str:
    """Return the present state of the subject of a question."""
    if isinstance(row, RefusalInfo):
        return f"{row.id} was rejected ({row.reason}): {row.detail}"
    assert isinstance(row, TaskInfo | JobInfo | WorkerInfo)
    reason = f": {row.reason}" if row.reason else ""
    return f"{row.id} is {row.state.value}{reason}"


def merge_answers(
    statement: Statement, answers: Sequence[Answer], missing: Iterable[MissingPart] = ()
) -> Answer:
    """Return one answer; counts add up, and sort and limit apply to all rows together."""
    rows = [row for answer in answers for row in answer.rows]
    merged = _finish(statement, rows, sum(answer.total for answer in answers))
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
def _finish(statement: Statement, rows: list[AnyInfo], total: int) -> Answer:
    return Answer(columns=ChangeInfo.COLUMNS)


@_finish.register
def _(statement: Show, rows: list[AnyInfo], total: int) -> Answer:
    topic = statement.topic
    found = _combine(topic, rows)
    total -= len(rows) - len(found)
    if TOPICS[topic].row.SUMMED:
        found = [row for row in found if matches(statement.where, row)]
        total = len(found)
    found = sort_rows(found, topic, statement.sort)[: statement.limit]
    return Answer(columns=TOPICS[topic].row.COLUMNS, rows=tuple(found), total=total)


@_finish.register
def _(statement: Count, rows: list[AnyInfo], total: int) -> Answer:
    counts: Counter[tuple[str, ...]] = Counter()
    if TOPICS[statement.topic].row.SUMMED:
        found = _combine(statement.topic, rows)
        counts = _count(statement.by, [row for row in found if matches(statement.where, row)])
        total = counts.total()
    for row in rows:
        if isinstance(row, CountInfo):
            counts[row.values] += row.count
    order = sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))
    groups = tuple(CountInfo(values, count) for values, count in order[: statement.limit])
    return Answer(columns=(*statement.by, "count"), rows=groups, total=total)


@_finish.register
def _(statement: Why, rows: list[AnyInfo], total: int) -> Answer:
    found = [row for row in rows if isinstance(row, ReasonInfo)]
    found.sort(key=lambda row: -row.age_ms)
    return Answer(columns=ReasonInfo.COLUMNS, rows=tuple(found), total=len(found))


def evaluate(statement: Statement, inventory: Inventory, part: Part | None = None) -> Answer:
    """Return the answer from the rows of one source."""
    answer = evaluate_part(statement, inventory)
    parts = (part,) if part else ()
    return merge_answers(statement, [msgspec.structs.replace(answer, parts=parts)])
