"""Fields of rows: names, units and types of the values they are compared with."""

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
MILLI = 1000

# Suffix of a field, units that its values may have, and the factor of a value without a unit
# when the field is named without its suffix.
UNITS: tuple[tuple[str, Mapping[str, int], int], ...] = (
    ("_ms", DURATIONS_MS, 0),
    ("_mb", SIZES_MB, 1),
    ("cores_milli", {"m": 1}, MILLI),
)
TRUTH = {"yes": 1, "true": 1, "no": 0, "false": 0}


class Reach(Enum):
    """Who holds the rows that a statement concerns."""

    OWNERS = "owners"
    ENTRIES = "entries"
    LOCAL = "local"


class TopicTable(msgspec.Struct, frozen=True):
    """Declare the rows of a topic, where they are, and their usual order."""

    row: type[Info]
    source: str
    sort: tuple[Order, ...]
    reach: Reach = Reach.OWNERS
    unique: bool = True


BY_ID = (Order("id"),)
TOPICS: dict[Topic, TopicTable] = {
    Topic.TASKS: TopicTable(TaskInfo, "tasks", BY_ID),
    Topic.JOBS: TopicTable(JobInfo, "jobs", BY_ID),
    Topic.WORKERS: TopicTable(WorkerInfo, "workers", BY_ID),
    Topic.SERVICES: TopicTable(ServiceInfo, "services", BY_ID),
    Topic.SLICES: TopicTable(SliceInfo, "slices", BY_ID),
    Topic.REFUSALS: TopicTable(
        RefusalInfo, "refusals", (Order("age_ms"), Order("id")), Reach.ENTRIES, unique=False
    ),
    Topic.WAITING: TopicTable(TaskInfo, "tasks", (Order("wait_ms", True), Order("id"))),
    Topic.CHANGES: TopicTable(ChangeInfo, "changes", (Order("id", True),), Reach.LOCAL),
    Topic.ENTRIES: TopicTable(EntryInfo, "entries", BY_ID, Reach.LOCAL),
}


@cache
def list_fields(topic: Topic) -> dict[str, Any]:
    """Return the comparable fields of a topic's rows with their types."""
    row = TOPICS[topic].row
    hints = get_type_hints(row)
    names = (name for name in row.__struct_fields__ if name != "differences")
    return {name: getattr(hints[name], "__supertype__", hints[name]) for name in names}


def list_names(topic: Topic) -> dict[str, str]:
    """Return the words that name a topic's fields, short forms without a unit included."""
    fields = list_fields(topic)
    short = {re.sub(r"_(ms|mb|milli)\Z", "", name): name for name in fields}
    names = {"number": "id"} if topic is Topic.CHANGES else {"name": "id"}
    return names | short | {name: name for name in fields}


def get_field(topic: Topic, word: Word) -> str:
    """Return the field that a word names, or raise `QueryError`."""
    names = list_names(topic)
    if word.text not in names:
        raise word.make_error(f"{topic.value} have no field {word.text!r}", sorted(names))
    return names[word.text]


def read_number(word: Word, units: Mapping[str, int], factor: int = 1) -> int | float:
    """Return the number that a word stands for; a factor of 0 requires a unit."""
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


def read_value(topic: Topic, named: str, word: Word) -> Scalar:
    """Return the value that a word stands for in a named field, or raise `QueryError`."""
    field = list_names(topic)[named]
    kind = list_fields(topic)[field]
    if isinstance(kind, type) and issubclass(kind, Enum):
        words = [member.value for member in kind]
        if word.text not in words:
            raise word.make_error(f"{field} is never {word.text!r}", words)
        return word.text
    if kind is bool:
        if word.text not in TRUTH:
            raise word.make_error(f"{field} is yes or no", TRUTH)
        return TRUTH[word.text]
    if kind is int:
        for suffix, units, factor in UNITS:
            if field.endswith(suffix):
                return read_number(word, units, 1 if named == field else factor)
        return read_number(word, {})
    return word.text


def check_relation(topic: Topic, field: str, relation: Relation, word: Word) -> None:
    """Raise `QueryError` if a relation has no meaning for a field."""
    textual = list_fields(topic)[field] is str
    if relation is Relation.CONTAINS and not textual:
        raise word.make_error(f"{field} is not a text, so that '~' does not apply")
    if relation not in (Relation.CONTAINS, Relation.EQUAL, Relation.UNEQUAL):
        kind = list_fields(topic)[field]
        if kind is not int:
            raise word.make_error(f"{field} has no order", ["=", "!=", "~", "in"])


def get_plain(row: Info, field: str) -> Scalar:
    """Return a field of a row as a number or text."""
    value = getattr(row, field)
    if isinstance(value, Enum):
        return str(value.value)
    return value if isinstance(value, int | float) else str(value)
