"""Conditions on rows: resolves field names, matches rows and excludes slices."""

import operator
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from lavenderstall.inventory import Info
from lavenderstall.query.fields import check_relation, get_field, get_scalar, parse_value
from lavenderstall.query.statements import (
    Comparison,
    Condition,
    Conjunction,
    Disjunction,
    Negation,
    Relation,
    Scalar,
    Topic,
    Word,
)

# Bounds the recursion over nested conditions.
MAX_DEPTH = 20

RELATION_FUNCTIONS: Mapping[Relation, Callable[[Any, Any], bool]] = {
    Relation.EQUAL: operator.eq,
    Relation.UNEQUAL: operator.ne,
    Relation.LESS: operator.lt,
    Relation.AT_MOST: operator.le,
    Relation.MORE: operator.gt,
    Relation.AT_LEAST: operator.ge,
    Relation.CONTAINS: operator.contains,
}


class Filter(msgspec.Struct, frozen=True):
    """A parsed, unresolved condition: a comparison, or a combination of inner conditions."""

    combination: type[Conjunction | Disjunction | Negation] | None = None
    inner: tuple["Filter", ...] = ()
    field: Word = Word("")
    relation: Relation = Relation.EQUAL
    values: tuple[Word, ...] = ()


def _find_first_word(parsed: Filter) -> Word:
    """Return the first word of a condition, for the position of an error."""
    while parsed.inner:
        parsed = parsed.inner[0]
    return parsed.field


def resolve_filter(topic: Topic, parsed: Filter | None, depth: int = 0) -> Condition | None:
    """Resolve and check the fields and values of a condition, or raise `QueryError`."""
    if parsed is None:
        return None
    if depth > MAX_DEPTH:
        raise _find_first_word(parsed).make_error(f"conditions are nested over {MAX_DEPTH} deep")
    if parsed.combination is None:
        field = get_field(topic, parsed.field)
        check_relation(topic, field, parsed.relation, parsed.field)
        values = (parse_value(topic, parsed.field.text, word) for word in parsed.values)
        return Comparison(field, parsed.relation, tuple(values))
    inner = [resolve_filter(topic, each, depth + 1) for each in parsed.inner]
    conditions = tuple(each for each in inner if each is not None)
    if parsed.combination is Negation:
        return Negation(conditions[0])
    return Conjunction(conditions) if parsed.combination is Conjunction else Disjunction(conditions)


def _compare(condition: Comparison, value: Scalar) -> bool:
    relation = RELATION_FUNCTIONS[condition.relation]
    return any(relation(value, each) for each in condition.values)


def matches(condition: Condition | None, row: Info) -> bool:
    """Return whether a row satisfies a condition."""
    match condition:
        case None:
            return True
        case Comparison(field=field):
            return _compare(condition, get_scalar(row, field))
        case Conjunction(conditions=conditions):
            return all(matches(each, row) for each in conditions)
        case Disjunction(conditions=conditions):
            return any(matches(each, row) for each in conditions)
        case Negation(condition=inner):
            return not matches(inner, row)


def evaluate_condition(
    condition: Condition | None, possible_values: Mapping[str, frozenset[str]]
) -> bool | None:
    """Evaluate a condition in three-valued logic, given the possible values of some fields.

    None means that the result depends on the row or on other fields.
    """
    match condition:
        case None:
            return True
        case Comparison(field=field):
            results = {_compare(condition, value) for value in possible_values.get(field, ())}
            return results.pop() if len(results) == 1 else None
        case Negation(condition=inner):
            result = evaluate_condition(inner, possible_values)
            return None if result is None else not result
        case Conjunction(conditions=conditions):
            found = [evaluate_condition(each, possible_values) for each in conditions]
            return False if False in found else None if None in found else True
        case Disjunction(conditions=conditions):
            found = [evaluate_condition(each, possible_values) for each in conditions]
            return True if True in found else None if None in found else False
