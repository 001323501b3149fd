"""Verbs of the query language, one per module, looked up by name or alias."""

from collections.abc import Iterable
from functools import cache
from importlib import import_module
from typing import ClassVar

import msgspec

from lavenderstall.declarations import find_closest_match
from lavenderstall.errors import LavenderstallError
from lavenderstall.query.filters import Filter
from lavenderstall.query.statements import Assignment, Statement, Word
from lavenderstall.schemas import Right

# Name, module, class, aliases. A module is imported when its verb is first looked up.
VERBS: dict[str, tuple[str, str, tuple[str, ...]]] = {
    "show": ("show", "ShowVerb", ("list",)),
    "count": ("count", "CountVerb", ()),
    "why": ("why", "WhyVerb", ("explain",)),
    "set": ("set", "SetVerb", ()),
    "drain": ("drain", "DrainVerb", ()),
    "undrain": ("undrain", "UndrainVerb", ()),
    "cancel": ("cancel", "CancelVerb", ("kill",)),
    "quarantine": ("quarantine", "QuarantineVerb", ()),
    "release": ("release", "ReleaseVerb", ()),
    "pause": ("pause", "PauseVerb", ()),
    "resume": ("resume", "ResumeVerb", ()),
    "undo": ("undo", "UndoVerb", ("revert",)),
    "approve": ("approve", "ApproveVerb", ("accept",)),
    "reject": ("reject", "RejectVerb", ("refuse",)),
}
ALIASES = {alias: name for name, row in VERBS.items() for alias in row[2]}


class UnknownVerbError(LavenderstallError):
    """Unknown verb; `name` was requested, `known` lists valid names."""

    def __init__(self, name: str, known: Iterable[str]) -> None:
        self.name = name
        self.known = tuple(known)
        nearest = find_closest_match(name, self.known)
        hint = f"; did you mean {nearest!r}?" if nearest else ""
        detail = f"no verb {name[:100]!r}{hint} (known: {', '.join(self.known)})"
        super().__init__(detail, step="query")


class ParsedStatement(msgspec.Struct, frozen=True):
    """The parsed clauses of a statement, before names and values are checked."""

    verb: Word
    object: Word | None = None
    id: Word | None = None
    where: Filter | None = None
    by: tuple[Word, ...] = ()
    sort: tuple[tuple[Word, bool], ...] = ()
    limit: Word | None = None
    assignments: tuple[Assignment, ...] = ()
    because: Word | None = None
    preview: bool = False


class Verb:
    """Base class of verbs."""

    name: ClassVar[str]
    summary: ClassVar[str]
    example: ClassVar[str]
    right: ClassVar[Right] = Right.CHANGE

    def build(self, parsed: ParsedStatement) -> Statement:
        """Build the statement from parsed clauses, or raise `QueryError`."""
        raise NotImplementedError


def parse_count(word: Word, maximum: int) -> int:
    """Parse an integer from 1 to a maximum, or raise `QueryError`."""
    if not (word.text.isascii() and word.text.isdigit()) or not 1 <= int(word.text) <= maximum:
        raise word.make_error(f"{word.text!r} is not a whole number from 1 to {maximum}")
    return int(word.text)


def get_reason(parsed: ParsedStatement) -> str:
    """Return the author's reason; raise `QueryError` if it is empty and not a preview."""
    reason = parsed.because.text.strip() if parsed.because else ""
    if not reason and not parsed.preview:
        raise (parsed.because or parsed.verb).make_error("the reason must not be empty")
    return reason


def list_verb_names() -> list[str]:
    """Return all names and aliases."""
    return sorted(VERBS.keys() | ALIASES.keys())


@cache
def _load(name: str) -> Verb:
    module, member, _ = VERBS[name]
    verb: Verb = getattr(import_module(f"{__name__}.{module}"), member)()
    return verb


def find_verb(name: str) -> Verb | None:
    """Return the verb with a name or alias, or none."""
    name = ALIASES.get(name, name)
    return _load(name) if name in VERBS else None


def get_verb(name: str) -> Verb:
    """Return the verb with a name or alias, or raise `UnknownVerbError`."""
    verb = find_verb(name)
    if verb is None:
        raise UnknownVerbError(name, list_verb_names())
    return verb
