"""Fields of rows: their names, units and value types."""

import re
from collections.abc import Mapping
from enum import Enum
from functools import cache
from typing import Any, get_type_hints

import msgspec

from lavenderstall.inventory import (
    ChangeInfo,
    EntryInfo,
    Info,
    JobInfo,
    RefusalInfo,
    ServiceInfo,
    SliceInfo,
    TaskInfo,
    WorkerInfo,
)
from lavenderstall.query.statements import Order, Relation, Scalar, Topic, Word

DURATIONS_MS: Mapping[str, int] = {
    "ms": 1,
    "s": 1_000,
    "m": 60_000,
    "h": 3_600_000,
    "d": 86_400_000,
}
SIZES_MB: Mapping[str, int] = {"MB": 1, "GB": 1024, "TB": 1024 * 1024}
NUMBER = re.compile(r"(-?\d{1,15}(?:\.\d{1,6})?)([A-Za-z]*)\Z", re.ASCII)
MILLICORES_PER_CORE = 1000

# Field suffix, accepted units, and the factor for a value without a unit when the query names
# the field without its suffix (0: a unit is required).
FIELD_UNITS: tuple[tuple[str, Mapping[str, int], int], ...] = (
    ("_ms", DURATIONS_MS, 0),
    ("_mb", SIZES_MB, 1),
    ("cores_milli", {"m": 1}, MILLICORES_PER_CORE),
)
BOOLEAN_WORDS = {"yes": 1, "true": 1, "no": 0, "false": 0}


class RowSource(Enum):
    """Where the rows of a statement are stored."""

    OWNERS = "owners"
    ENTRIES = "entries"
    LOCAL = "local"


class TopicSpec(msgspec.Struct, frozen=True):
    """Describe the row type of a topic, its source and its default sort order."""

    row: type[Info]
    inventory_field: str
    sort: tuple[Order, ...]
    row_source: RowSource = RowSource.OWNERS
    unique: bool = True


SORT_BY_ID = (Order("id"),)
TOPICS: dict[Topic, TopicSpec] = {
    Topic.TASKS: TopicSpec(TaskInfo, "tasks", SORT_BY_ID),
    Topic.JOBS: TopicSpec(JobInfo, "jobs", SORT_BY_ID),
    Topic.WORKERS: TopicSpec(WorkerInfo, "workers", SORT_BY_ID),
    Topic.SERVICES: TopicSpec(ServiceInfo, "services", SORT_BY_ID),
    Topic.SLICES: TopicSpec(SliceInfo, "slices", SORT_BY_ID),
    Topic.REFUSALS: TopicSpec(
        RefusalInfo, "refusals", (Order("age_ms"), Order("id")), RowSource.ENTRIES, unique=False
    ),
    Topic.WAITING: TopicSpec(TaskInfo, "tasks", (Order("wait_ms", True), Order("id"))),
    Topic.CHANGES: TopicSpec(ChangeInfo, "changes", (Order("id", True),), RowSource.LOCAL),
    Topic.ENTRIES: TopicSpec(EntryInfo, "entries", SORT_BY_ID, RowSource.LOCAL),
}


@cache
def list_fields(topic: Topic) -> dict[str, Any]:
    """Return the fields of a topic that conditions can compare, with their types."""
    row = TOPICS[topic].row
    hints = get_type_hints(row)
    names = (name for name in row.__struct_fields__ if name != "differences")
    return {name: getattr(hints[name], "__supertype__", hints[name]) for name in names}


def list_field_names(topic: Topic) -> dict[str, str]:
    """Return a topic's field names and aliases (without unit suffix), mapped to fields."""
    fields = list_fields(topic)
    short = {re.sub(r"_(ms|mb|milli)\Z", "", name): name for name in fields}
    names = {"number": "id"} if topic is Topic.CHANGES else {"name": "id"}
    return names | short | {name: name for name in fields}


def get_field(topic: Topic, word: Word) -> str:
    """Resolve a field name or alias, or raise `QueryError`."""
    names = list_field_names(topic)
    if word.text not in names:
        raise word.make_error(f"{topic.value} have no field {word.text!r}", sorted(names))
    return names[word.text]


def parse_number(word: Word, units: Mapping[str, int], factor: int = 1) -> int | float:
    """Parse a number with an optional unit; a factor of 0 requires a unit."""
    match = NUMBER.match(word.text)
    if not match:
        raise word.make_error(f"{word.text!r} is not a number")
    amount = float(match[1]) if "." in match[1] else int(match[1])
    if match[2] and match[2] not in units:
        raise word.make_error(f"unknown unit {match[2]!r}", units)
    if not match[2] and not factor:
        raise word.make_error(f"{word.text!r} needs a unit such as {word.text}m", units)
    product = amount * (units[match[2]] if match[2] else factor)
    return int(product) if product == int(product) else product


def parse_value(topic: Topic, named: str, word: Word) -> Scalar:
    """Parse a value for the field named in the query, or raise `QueryError`."""
    field = list_field_names(topic)[named]
    value_type = list_fields(topic)[field]
    if isinstance(value_type, type) and issubclass(value_type, Enum):
        words = [member.value for member in value_type]
        if word.text not in words:
            raise word.make_error(f"{field} is never {word.text!r}", words)
        return word.text
    if value_type is bool:
        if word.text not in BOOLEAN_WORDS:
            raise word.make_error(f"{field} is yes or no", BOOLEAN_WORDS)
        return BOOLEAN_WORDS[word.text]
    if value_type is int:
        for suffix, units, factor in FIELD_UNITS:
            if field.endswith(suffix):
                return parse_number(word, units, 1 if named == field else factor)
        return parse_number(word, {})
    return word.text


def check_relation(topic: Topic, field: str, relation: Relation, word: Word) -> None:
    """Raise `QueryError` if a field's type does not support a relation."""
    is_text = list_fields(topic)[field] is str
    if relation is Relation.CONTAINS and not is_text:
        raise word.make_error(f"{field} is not a text, so that '~' does not apply")
    if relation not in (Relation.CONTAINS, Relation.EQUAL, Relation.UNEQUAL):
        value_type = list_fields(topic)[field]
        if value_type is not int:
            raise word.make_error(f"{field} has no order", ["=", "!=", "~", "in"])


def get_scalar(row: Info, field: str) -> Scalar:
    """Return a field of a row as a number or text."""
    value = getattr(row, field)
    if isinstance(value, Enum):
        return str(value.value)
    return value if isinstance(value, int | float) else str(value)
