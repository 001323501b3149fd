"""Formatters of answers, one a module, found by name or alias."""

from collections.abc import Iterable
from functools import cache
from importlib import import_module
from typing import ClassVar

from lavenderstall.errors import LavenderstallError
from lavenderstall.inventory import Answer

# Name, module, class, aliases. A module is imported when its formatter is first looked up.
FORMATTERS: dict[str, tuple[str, str, tuple[str, ...]]] = {
    "table": ("table", "TableFormatter", ("text",)),
    "json": ("json", "JsonFormatter", ()),
}
ALIASES = {alias: name for name, row in FORMATTERS.items() for alias in row[2]}


class UnknownFormatterError(LavenderstallError):
    """No formatter has a name; `name` is what was asked for, `known` what exists."""

    def __init__(self, name: str, known: Iterable[str]) -> None:
        self.name = name
        self.known = tuple(known)
        detail = f"no formatter {name[:100]!r} (known: {', '.join(self.known)})"
        super().__init__(detail, step="output")


class Formatter:
    """Contract of a formatter: make the text of an answer, with a final newline."""

    name: ClassVar[str]

    def format(self, answer: Answer, *, colour: bool = False) -> str:
        """Return the text of an answer."""
        raise NotImplementedError


@cache
def _load(name: str) -> Formatter:
    module, member, _ = FORMATTERS[name]
    formatter: Formatter = getattr(import_module(f"{__name__}.{module}"), member)()
    return formatter


def find_formatter(name: str) -> Formatter | None:
    """Return the formatter with a name or alias, or none."""
    name = ALIASES.get(name, name)
    return _load(name) if name in FORMATTERS else None


def get_formatter(name: str) -> Formatter:
    """Return the formatter with a name or alias, or raise `UnknownFormatterError`."""
    formatter = find_formatter(name)
    if formatter is None:
        raise UnknownFormatterError(name, sorted(FORMATTERS))
    return formatter
