"""Statements produced by the parser, and the error for invalid texts."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from lavenderstall.declarations import find_closest_match
from lavenderstall.errors import LavenderstallError

Scalar = int | float | str


class QueryError(LavenderstallError):
    """Raised for an invalid statement; line and column count from 1."""

    def __init__(
        self,
        detail: str,
        *,
        line: int = 1,
        column: int = 1,
        expected: Iterable[str] = (),
        nearest: str | None = None,
    ) -> None:
        self.line = line
        self.column = column
        self.expected = tuple(expected)
        self.nearest = nearest
        self.problem = detail
        text = f"line {line}, column {column}: {detail}"
        if nearest:
            text += f"; did you mean {nearest!r}?"
        if self.expected:
            text += f" (expected {', '.join(self.expected)})"
        super().__init__(text, step="query")


class Word(msgspec.Struct, frozen=True):
    """A word of the text and its position."""

    text: str
    line: int = 1
    column: int = 1
    quoted: bool = False

    def make_error(self, detail: str, expected: Iterable[str] = ()) -> QueryError:
        """Return an error at this word, with the expected words and the nearest of them."""
        words = tuple(expected)
        nearest = find_closest_match(self.text, words)
        return QueryError(
            detail, line=self.line, column=self.column, expected=words, nearest=nearest
        )


class Topic(Enum):
    """Collections of rows."""

    TASKS = "tasks"
    JOBS = "jobs"
    WORKERS = "workers"
    SERVICES = "services"
    SLICES = "slices"
    REFUSALS = "refusals"
    WAITING = "waiting"
    CHANGES = "changes"
    ENTRIES = "entries"


class Relation(Enum):
    """Comparison operators of fields; `~` is a substring match."""

    EQUAL = "="
    UNEQUAL = "!="
    LESS = "<"
    AT_MOST = "<="
    MORE = ">"
    AT_LEAST = ">="
    CONTAINS = "~"


class Comparison(msgspec.Struct, frozen=True, tag="comparison"):
    """Compare a field; true if the relation holds for any of the values."""

    field: str
    relation: Relation
    values: tuple[Scalar, ...]


class Conjunction(msgspec.Struct, frozen=True, tag="every"):
    """True if all conditions are."""

    conditions: tuple["Condition", ...]


class Disjunction(msgspec.Struct, frozen=True, tag="either"):
    """True if any of the conditions is."""

    conditions: tuple["Condition", ...]


class Negation(msgspec.Struct, frozen=True, tag="negation"):
    """True if the condition is not."""

    condition: "Condition"


Condition = Comparison | Conjunction | Disjunction | Negation


class Order(msgspec.Struct, frozen=True):
    """Sort by a field."""

    field: str
    descending: bool = False


class Show(msgspec.Struct, frozen=True, tag="show"):
    """List rows."""

    topic: Topic
    where: Condition | None = None
    sort: tuple[Order, ...] = ()
    limit: int = 100


class ShowChange(msgspec.Struct, frozen=True, tag="show_change"):
    """Describe one change in full."""

    number: int


class Count(msgspec.Struct, frozen=True, tag="count"):
    """Count rows grouped by the values of fields."""

    topic: Topic
    by: tuple[str, ...] = ()
    where: Condition | None = None
    limit: int = 100


class Why(msgspec.Struct, frozen=True, tag="why"):
    """Explain the decisions about a task, job, request or worker."""

    subject: str
    id: str


class Assignment(msgspec.Struct, frozen=True):
    """Set one field by its dotted path."""

    path: Word
    value: Word


class SetFields(msgspec.Struct, frozen=True, tag="set"):
    """Set fields of a declaration."""

    kind: str
    name: str
    assignments: tuple[Assignment, ...]
    reason: str


class Direct(msgspec.Struct, frozen=True, tag="direct"):
    """Set or clear a runtime command on a scope such as `worker/w1`."""

    verb: str
    scope: str
    reason: str


class Undo(msgspec.Struct, frozen=True, tag="undo"):
    """Undo a change, or preview the undo."""

    number: int
    reason: str
    preview: bool = False


class Decide(msgspec.Struct, frozen=True, tag="decide"):
    """Approve or reject a proposed change."""

    verb: str
    number: int
    reason: str


Statement = Show | ShowChange | Count | Why | SetFields | Direct | Undo | Decide
