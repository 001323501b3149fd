"""Determines where the rows of a statement are stored and which right it requires."""

from collections.abc import Iterable
from functools import singledispatch

import msgspec

from lavenderstall.identifiers import SliceName, ZoneName
from lavenderstall.query.fields import TOPICS, RowSource
from lavenderstall.query.filters import evaluate_condition
from lavenderstall.query.statements import (
    Comparison,
    Condition,
    Conjunction,
    Count,
    Disjunction,
    Negation,
    Show,
    ShowChange,
    Statement,
    Topic,
    Undo,
    Why,
)
from lavenderstall.schemas import Right


class SliceFacts(msgspec.Struct, frozen=True):
    """What an entry instance knows about a slice; an empty set means unknown."""

    slice: SliceName
    zone: ZoneName
    racks: frozenset[str] = frozenset()
    workers: frozenset[str] = frozenset()


def get_row_source(statement: Statement) -> RowSource:
    """Return where the rows of a statement are stored."""
    if isinstance(statement, Show | Count):
        return TOPICS[statement.topic].row_source
    if isinstance(statement, Why):
        return RowSource.ENTRIES if statement.subject == "request" else RowSource.OWNERS
    return RowSource.LOCAL


def get_required_right(statement: Statement) -> Right:
    """Return the right that a statement requires."""
    if isinstance(statement, Show | ShowChange | Count | Why):
        return Right.READ
    return Right.READ if isinstance(statement, Undo) and statement.preview else Right.CHANGE


def _may_have_rows(topic: Topic, where: Condition | None, facts: SliceFacts) -> bool:
    possible_values = {"zone": frozenset({str(facts.zone)}), "slice": frozenset({str(facts.slice)})}
    possible_values |= {"rack": facts.racks, "worker": facts.workers}
    if topic is Topic.SLICES:
        possible_values["id"] = possible_values["slice"]
    if topic is Topic.WORKERS:
        possible_values["id"] = facts.workers
    if topic in (Topic.TASKS, Topic.WAITING):
        # A waiting task has no rack and no worker.
        possible_values["rack"] = facts.racks | {""} if facts.racks else facts.racks
        possible_values["worker"] = facts.workers | {""} if facts.workers else facts.workers
    return evaluate_condition(where, possible_values) is not False


def _list_values(where: Condition | None, fields: frozenset[str]) -> set[str]:
    """Return the values that a condition compares with any of the given fields."""
    if isinstance(where, Comparison):
        return {str(value) for value in where.values} if where.field in fields else set()
    if isinstance(where, Conjunction | Disjunction):
        return {v for each in where.conditions for v in _list_values(each, fields)}
    return _list_values(where.condition, fields) if isinstance(where, Negation) else set()


def list_named_workers(statement: Statement) -> set[str]:
    """Return the workers that a query names, to look them up in the cell's worker list."""
    if isinstance(statement, Why):
        return {statement.id} if statement.subject == "worker" else set()
    if not isinstance(statement, Show | Count):
        return set()
    fields = {"worker", "id"} if statement.topic is Topic.WORKERS else {"worker"}
    return _list_values(statement.where, frozenset(fields))


@singledispatch
def find_slices(statement: Statement, slices: Iterable[SliceFacts]) -> tuple[SliceName, ...]:
    """Return the slices whose owners must be queried; empty if owners do not store the rows."""
    return ()


@find_slices.register(Show)
@find_slices.register(Count)
def _(statement: Show | Count, slices: Iterable[SliceFacts]) -> tuple[SliceName, ...]:
    if get_row_source(statement) is not RowSource.OWNERS:
        return ()
    return tuple(
        facts.slice for facts in slices if _may_have_rows(statement.topic, statement.where, facts)
    )


@find_slices.register
def _(statement: Why, slices: Iterable[SliceFacts]) -> tuple[SliceName, ...]:
    if get_row_source(statement) is not RowSource.OWNERS:
        return ()
    candidates = tuple(slices)
    slices_with_worker = tuple(each.slice for each in candidates if statement.id in each.workers)
    if statement.subject == "worker" and slices_with_worker:
        return slices_with_worker
    return tuple(each.slice for each in candidates)
