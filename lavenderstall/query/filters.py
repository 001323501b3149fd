"""Conditions on rows: resolving names, matching rows, and ruling out slices."""

import operator
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from lavenderstall.inventory import Info
from lavenderstall.query.fields import check_relation, get_field, get_plain, read_value
from lavenderstall.query.statements import (
    Comparison,
    Condition,
    Either,
    Every,
    Negation,
    Relation,
    Scalar,
    Topic,
    Word,
)

# Conditions are walked recursively.
MAX_DEPTH = 20

RELATIONS: Mapping[Relation, Callable[[Any, Any], bool]] = {
    Relation.EQUAL: operator.eq,
    Relation.UNEQUAL: operator.ne,
    Relation.LESS: operator.lt,
    Relation.AT_MOST: operator.le,
    Relation.MORE: operator.gt,
    Relation.AT_LEAST: operator.ge,
    Relation.CONTAINS: operator.contains,
}


class Filter(msgspec.Struct, frozen=True):
    """Hold a condition as parsed: a comparison, or a type of combination of others."""

    combination: type[Every | Either | Negation] | None = None
    inner: tuple["Filter", ...] = ()
    field: Word = Word("")
    relation: Relation = Relation.EQUAL
    values: tuple[Word, ...] = ()


def _find_word(parsed: Filter) -> Word:
    """Return the first word of a condition, for the position of an error."""
    while parsed.inner:
        parsed = parsed.inner[0]
    return parsed.field


def resolve_filter(topic: Topic, parsed: Filter | None, depth: int = 0) -> Condition | None:
    """Return a condition with fields and values checked, or raise `QueryError`."""
    if parsed is None:
        return None
    if depth > MAX_DEPTH:
        raise _find_word(parsed).make_error(f"conditions are nested over {MAX_DEPTH} deep")
    if parsed.combination is None:
        field = get_field(topic, parsed.field)
        check_relation(topic, field, parsed.relation, parsed.field)
        values = (read_value(topic, parsed.field.text, word) for word in parsed.values)
        return Comparison(field, parsed.relation, tuple(values))
    inner = [resolve_filter(topic, each, depth + 1) for each in parsed.inner]
    conditions = tuple(each for each in inner if each is not None)
    if parsed.combination is Negation:
        return Negation(conditions[0])
    return Every(conditions) if parsed.combination is Every else Either(conditions)


def _compare(condition: Comparison, value: Scalar) -> bool:
    relation = RELATIONS[condition.relation]
    return any(relation(value, each) for each in condition.values)


def matches(condition: Condition | None, row: Info) -> bool:
    """Tell whether a row meets a condition."""
    match condition:
        case None:
            return True
        case Comparison(field=field):
            return _compare(condition, get_plain(row, field))
        case Every(conditions=conditions):
            return all(matches(each, row) for each in conditions)
        case Either(conditions=conditions):
            return any(matches(each, row) for each in conditions)
        case Negation(condition=inner):
            return not matches(inner, row)


def decide(condition: Condition | None, known: Mapping[str, frozenset[str]]) -> bool | None:
    """Tell whether rows meet a condition whose fields have one of some known values.

    None means that it depends on fields that are not known.
    """
    match condition:
        case None:
            return True
        case Comparison(field=field):
            results = {_compare(condition, value) for value in known.get(field, ())}
            return results.pop() if len(results) == 1 else None
        case Negation(condition=inner):
            result = decide(inner, known)
            return None if result is None else not result
        case Every(conditions=conditions):
            found = [decide(each, known) for each in conditions]
            return False if False in found else None if None in found else True
        case Either(conditions=conditions):
            found = [decide(each, known) for each in conditions]
            return True if True in found else None if None in found else False
