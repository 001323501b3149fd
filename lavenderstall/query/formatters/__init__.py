"""Formatters of answers, one per module, looked up by name or alias."""

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
    """Unknown formatter; `name` was requested, `known` lists valid names."""

    def __init__(self, name: str, known: Iterable[str]) -> None:
        self.name = name
        self.known = tuple(known)
        detail = f"no formatter {name[:100]!r} (known: {', '.join(self.known)})"
        super().__init__(detail, step="output")


class Formatter:
    """Base class of formatters; output ends with a newline."""

    name: ClassVar[str]

    def format(self, answer: Answer, *, colour: bool = False) -> str:
        """Format an answer as text."""
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
