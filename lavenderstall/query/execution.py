"""Executes commands as configuration changes."""

import re
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import singledispatch
from typing import Any

import yaml

from lavenderstall.changes import ItemKey, item_to_builtins, set_command
from lavenderstall.configuration import ChangeDraft, ChangeResult, Configuration
from lavenderstall.declarations import (
    DeclarationError,
    Source,
    find_closest_match,
    read_declarations,
)
from lavenderstall.identifiers import Version
from lavenderstall.inventory import Answer, make_change_info
from lavenderstall.protocol import Kind, WorkerMember
from lavenderstall.query.fields import FIELD_UNITS, parse_number
from lavenderstall.query.routing import SliceFacts
from lavenderstall.query.statements import (
    Assignment,
    Decide,
    Direct,
    QueryError,
    SetFields,
    Statement,
    Undo,
)
from lavenderstall.query.verbs import get_verb
from lavenderstall.query.verbs.directive import DirectVerb
from lavenderstall.schemas import Item

INTEGER = re.compile(r"-?\d{1,18}\Z", re.ASCII)
BOOLEAN_WORDS = {"true": True, "yes": True, "false": False, "no": False}
MAX_PATH_DEPTH = 10


def _parse_value(assignment: Assignment) -> Any:
    """Parse the value of an assignment; a duration or size may have a unit."""
    word = assignment.value
    if word.quoted:
        return word.text
    if INTEGER.match(word.text):
        return int(word.text)
    for suffix, units, _ in FIELD_UNITS[:2]:
        if assignment.path.text.endswith(suffix):
            return parse_number(word, units)
    return BOOLEAN_WORDS.get(word.text, word.text)


def _set_field(plain: dict[str, Any], assignment: Assignment) -> None:
    """Set the field at the dotted path of an assignment."""
    path = assignment.path
    *outer, last = path.text.split(".")
    if len(outer) > MAX_PATH_DEPTH or path.text in ("kind", "name"):
        raise path.make_error(f"{path.text!r} cannot be set")
    for name in outer:
        inner = plain.setdefault(name, {})
        if not isinstance(inner, dict):
            raise path.make_error(f"{name!r} has no fields")
        plain = inner
    plain[last] = _parse_value(assignment)


def _find_assignment(statement: SetFields, field: str) -> Assignment:
    """Return the assignment that caused a problem in a field."""
    paths = {each.path.text: each for each in statement.assignments}
    matching = (each for path, each in paths.items() if field.startswith(path) or field in path)
    return next(matching, statement.assignments[0])


@singledispatch
def draft_items(statement: Statement, items: Mapping[ItemKey, Item]) -> dict[ItemKey, Item | None]:
    """Return the changed items of a command, computed from the items in effect."""
    raise TypeError(f"{type(statement).__name__} does not change items")


@draft_items.register
def _(statement: SetFields, items: Mapping[ItemKey, Item]) -> dict[ItemKey, Item | None]:
    key = ItemKey(statement.kind, statement.name)
    plain = item_to_builtins(items.get(key))
    if plain is None:
        names = [each.name for each in items if each.kind == key.kind]
        nearest = find_closest_match(key.name, names)
        raise QueryError(f"no {key.kind} is named {key.name!r}", nearest=nearest)
    for assignment in statement.assignments:
        _set_field(plain, assignment)
    text = yaml.safe_dump(plain, sort_keys=False)
    try:
        (declared,) = read_declarations([Source(str(key), text)])
    except DeclarationError as error:
        problem = error.problems[0]
        word = _find_assignment(statement, problem.field).path
        detail = f"{problem.field}: {problem.detail}" if problem.field else problem.detail
        raise QueryError(detail, line=word.line, column=word.column) from None
    return {key: declared.value}


@draft_items.register
def _(statement: Direct, items: Mapping[ItemKey, Item]) -> dict[ItemKey, Item | None]:
    verb = get_verb(statement.verb)
    assert isinstance(verb, DirectVerb)
    key = ItemKey("command", statement.scope)
    return {key: set_command(statement.scope, items.get(key), **verb.flags)}


def check_scope(
    statement: Statement,
    slices: Iterable[SliceFacts],
    items: Mapping[ItemKey, Item],
    members: Collection[WorkerMember] | None = (),
) -> None:
    """Raise `QueryError` if the scope of a directive is known not to exist."""
    if not isinstance(statement, Direct):
        return
    facts = tuple(slices)
    known_members = members or ()
    target, _, name = statement.scope.partition("/")
    known: dict[str, set[str]] = {
        "worker": {str(m.id) for m in known_members}.union(*(each.workers for each in facts)),
        "rack": {str(m.rack) for m in known_members}.union(*(each.racks for each in facts)),
        "zone": {str(each.zone) for each in facts},
        "slice": {str(each.slice) for each in facts},
        "service": {key.name for key in items if key.kind == "service"},
        "team": {key.name for key in items if key.kind == "team"},
        "kind": {kind.value for kind in Kind},
    }
    # It must stay possible to clear a command whose scope is gone.
    if ItemKey("command", statement.scope) in items or not known.get(target):
        return
    if members is None and target in ("worker", "rack"):
        return
    if name not in known[target]:
        nearest = find_closest_match(name, known[target])
        raise QueryError(f"no {target} is named {name!r}", nearest=nearest)


def _make_answer(applied: ChangeResult, unix_ms: int) -> Answer:
    note = "" if applied.committed else "preview: nothing was changed"
    return Answer(
        change=make_change_info(applied.change, unix_ms) if applied.change else None,
        differences=applied.differences,
        committed=applied.committed,
        version=applied.version,
        note=note if applied.change else "nothing to change",
        preview=applied.change is not None and not applied.committed,
    )


async def _apply_command(
    statement: Statement,
    configuration: Configuration,
    author: str,
    seen: Version | None,
    slices: Iterable[SliceFacts],
    members: Collection[WorkerMember] | None,
) -> ChangeResult:
    if isinstance(statement, Undo):
        return await configuration.undo(
            statement.number,
            author=author,
            reason=statement.reason,
            seen=seen,
            preview=statement.preview,
        )
    if isinstance(statement, Decide):
        decide_change = (
            configuration.approve if statement.verb == "approve" else configuration.reject
        )
        return await decide_change(statement.number, author=author, reason=statement.reason)
    if isinstance(statement, SetFields | Direct):
        base = await configuration.refresh()
        check_scope(statement, slices, base.items, members)
        draft = ChangeDraft(author, statement.reason, draft_items(statement, base.items))
        return await configuration.apply(draft, seen=seen, based_on=base)
    raise TypeError(f"{type(statement).__name__} is not a command")


async def execute(
    statement: Statement,
    configuration: Configuration,
    *,
    author: str,
    unix_ms: Callable[[], int],
    seen: Version | None = None,
    slices: Iterable[SliceFacts] = (),
    members: Collection[WorkerMember] | None = (),
) -> Answer:
    """Execute a command and return the change it made.

    `members` are the workers of the whole cell; `slices` lists only workers of slices owned by this
    entry instance. If `members` is None (unknown), names of workers and racks are not checked.

    Raises `QueryError`, `VersionConflictError`, `ChangeRefusedError` or a store error.
    """
    applied = await _apply_command(statement, configuration, author, seen, slices, members)
    return _make_answer(applied, unix_ms())
