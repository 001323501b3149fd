"""Records of configuration changes and differences between configurations."""

from collections.abc import Mapping
from enum import Enum
from typing import Any

import msgspec

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import ChangeNumber, Version
from lavenderstall.records import KEY_CONFIG_HEAD, PREFIX_CHANGE, PREFIX_CONFIG
from lavenderstall.schemas import Command, Item

# Rows are scanned in key order, so numbers are zero-padded to a fixed width.
NUMBER_DIGITS = 12
SECRET_FIELDS = frozenset({"token", "tokens"})


class ItemKey(msgspec.Struct, frozen=True, order=True):
    """Name an item of the configuration."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class ChangeState(Enum):
    """States of a change; only `done` changes have modified items."""

    PROPOSED = "proposed"
    DONE = "done"
    APPROVED = "approved"
    REJECTED = "rejected"


class ItemRow(msgspec.Struct, frozen=True):
    """Hold an item as stored, with the change that wrote it."""

    change: ChangeNumber
    nonce: str
    value: Item


class ItemChange(msgspec.Struct, frozen=True):
    """Hold an item before and after a change; none means absent."""

    key: ItemKey
    before: Item | None = None
    after: Item | None = None


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record one change.

    `undoes` and `decides` name the change that this one undoes, approves or rejects;
    `decided_by` names the change that approved or rejected this one. 0 means none.
    """

    number: ChangeNumber
    author: str
    time_unix_ms: int
    reason: str
    state: ChangeState
    nonce: str
    items: tuple[ItemChange, ...] = ()
    automatic: bool = False
    undoes: ChangeNumber = ChangeNumber(0)
    decides: ChangeNumber = ChangeNumber(0)
    decided_by: ChangeNumber = ChangeNumber(0)


class VersionConflictError(LavenderstallError):
    """Another change was committed first; nothing was changed."""

    def __init__(self, change: Change | None, *, seen: Version, head: Version) -> None:
        number = change.number if change else head
        by = f" by {change.author} ({change.reason})" if change else ""
        detail = f"version {seen} was overtaken by change {number}{by}; the version is now {head}"
        super().__init__(detail, step="configuration")
        self.change = change
        self.number = ChangeNumber(number)
        self.seen = seen
        self.head = head


class ChangeRefusedError(LavenderstallError):
    """A change cannot be undone, approved or rejected; `number` is the change concerned."""

    def __init__(self, detail: str, *, number: int, later: int = 0) -> None:
        super().__init__(detail, step="configuration")
        self.number = ChangeNumber(number)
        self.later = ChangeNumber(later)


class DifferenceAction(Enum):
    """Kinds of differences of an item."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


class FieldChange(msgspec.Struct, frozen=True):
    """Hold a field before and after as JSON text; none means absent."""

    path: str
    before: str | None = None
    after: str | None = None


class Difference(msgspec.Struct, frozen=True):
    """Describe how one item differs; hashes of tokens are shortened."""

    key: ItemKey
    action: DifferenceAction
    fields: tuple[FieldChange, ...] = ()


def make_item_key(key: ItemKey) -> str:
    """Return the key of an item's row."""
    return f"{PREFIX_CONFIG}{key.kind}/{key.name}"


def parse_item_key(row_key: str) -> ItemKey | None:
    """Return the item that a row key names, or none for the head."""
    if row_key == KEY_CONFIG_HEAD:
        return None
    kind, _, name = row_key.removeprefix(PREFIX_CONFIG).partition("/")
    return ItemKey(kind, name) if name else None


def make_change_key(number: int) -> str:
    """Return the key of a change's row."""
    return f"{PREFIX_CHANGE}{number:0{NUMBER_DIGITS}d}"


def item_to_builtins(item: msgspec.Struct | None) -> dict[str, Any] | None:
    """Return an item as built-in types, which compare regardless of key order."""
    return None if item is None else msgspec.json.decode(msgspec.json.encode(item))


def equal_items(one: msgspec.Struct | None, other: msgspec.Struct | None) -> bool:
    """Return whether two items have equal fields."""
    return one == other or item_to_builtins(one) == item_to_builtins(other)


def _to_builtins_with_defaults(value: Any) -> Any:
    """Return a value as built-in types, including fields with default values."""
    if isinstance(value, msgspec.Struct):
        names = value.__struct_fields__
        return {name: _to_builtins_with_defaults(getattr(value, name)) for name in names}
    if isinstance(value, dict):
        return {
            msgspec.to_builtins(key): _to_builtins_with_defaults(inner)
            for key, inner in value.items()
        }
    if isinstance(value, tuple):
        return [_to_builtins_with_defaults(inner) for inner in value]
    return msgspec.json.decode(msgspec.json.encode(value))


def _shorten_hash(value: Any) -> Any:
    if isinstance(value, list):
        return [_shorten_hash(each) for each in value]
    return f"hash ending in {value[-6:]}" if isinstance(value, str) else value


def redact_item(item: Item) -> dict[str, Any]:
    """Return an item as built-in types with token hashes shortened."""
    plain = item_to_builtins(item) or {}
    return {
        name: _shorten_hash(value) if name in SECRET_FIELDS else value
        for name, value in plain.items()
    }


def _flatten(value: Any, path: str = "") -> dict[str, str]:
    """Return the fields of nested mappings by dotted path."""
    if not isinstance(value, dict):
        return {path: msgspec.json.encode(value).decode()}
    fields: dict[str, str] = {}
    for name, inner in value.items():
        if not path and name in SECRET_FIELDS:
            inner = _shorten_hash(inner)  # noqa: PLW2901
        fields |= _flatten(inner, f"{path}.{name}" if path else name)
    return fields


def diff_fields(
    before: msgspec.Struct | None, after: msgspec.Struct | None
) -> tuple[FieldChange, ...]:
    """Return the fields that differ, without default values if an item is added or removed."""
    to_builtins = (
        item_to_builtins if before is None or after is None else _to_builtins_with_defaults
    )
    old, new = (_flatten(to_builtins(item) or {}) for item in (before, after))
    return tuple(
        FieldChange(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path) and path not in ("kind", "name")
    )


def diff_item(
    key: ItemKey, before: msgspec.Struct | None, after: msgspec.Struct | None
) -> Difference | None:
    """Return how an item differs, or none."""
    if equal_items(before, after):
        return None
    action = DifferenceAction.CHANGE
    if before is None:
        action = DifferenceAction.ADD
    elif after is None:
        action = DifferenceAction.REMOVE
    return Difference(key, action, diff_fields(before, after))


def diff_items(
    current: Mapping[ItemKey, msgspec.Struct], wanted: Mapping[ItemKey, msgspec.Struct | None]
) -> tuple[Difference, ...]:
    """Return how the wanted items differ; none removes an item, unlisted items stay."""
    found = (diff_item(key, current.get(key), wanted[key]) for key in sorted(wanted))
    return tuple(difference for difference in found if difference)


def describe_change(change: Change) -> tuple[Difference, ...]:
    """Return the differences that a change made or proposes."""
    found = (diff_item(each.key, each.before, each.after) for each in change.items)
    return tuple(difference for difference in found if difference)


def set_command(scope: str, current: Item | None, **flags: bool) -> Command | None:
    """Return the commands in effect on a scope after setting or clearing some."""
    base = current if isinstance(current, Command) else Command(scope)
    command = msgspec.structs.replace(base, **flags)
    return None if command == Command(scope) else command
