"""Typed options read from flags and environment variables, checked once at start."""

import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NoReturn
from urllib.parse import urlsplit

import configargparse
import msgspec

from lavenderstall.errors import LavenderstallError

ENVIRONMENT_PREFIX = "LAVENDERSTALL_"
TRUE_WORDS = frozenset({"1", "yes", "true", "on"})
FALSE_WORDS = frozenset({"0", "no", "false", "off"})


class OptionError(LavenderstallError):
    """A setting is missing or has a value that cannot be used."""


class Option(msgspec.Struct, frozen=True):
    """Declare one setting; `read` turns its text into a value or raises `ValueError`."""

    name: str
    read: Callable[[str], Any]
    help: str
    default: str | None = None
    required: bool = False

    @property
    def flag(self) -> str:
        """Return the command-line flag."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.replace("-", "_").upper()


def read_text(text: str) -> str:
    """Return a text that is not empty."""
    if not text.strip():
        raise ValueError("must not be empty")
    return text


def read_flag(text: str) -> bool:
    """Return the truth value that a word stands for."""
    word = text.strip().lower()
    if word not in TRUE_WORDS | FALSE_WORDS:
        raise ValueError("must be one of yes, no, true, false, on, off, 1, 0")
    return word in TRUE_WORDS


def read_integer(low: int, high: int) -> Callable[[str], int]:
    """Return a reader of whole numbers between two bounds."""

    def read(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise ValueError("must be a whole number") from None
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high}")
        return value

    return read


def read_seconds(low: float, high: float) -> Callable[[str], float]:
    """Return a reader of durations in seconds between two bounds."""

    def read(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError("must be a number of seconds") from None
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high} seconds")
        return value

    return read


def read_choice(*choices: str) -> Callable[[str], str]:
    """Return a reader of one of some words."""

    def read(text: str) -> str:
        if text not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}")
        return text

    return read


def read_url(*schemes: str) -> Callable[[str], str]:
    """Return a reader of addresses with one of some schemes, a host and a port."""

    def read(text: str) -> str:
        parts = urlsplit(text)
        if parts.scheme not in schemes or not parts.hostname or not parts.port:
            raise ValueError(f"must look like {schemes[0]}://10.0.0.1:8000")
        return text.rstrip("/")

    return read


class _Parser(configargparse.ArgumentParser):
    """Raise an `OptionError` where argparse would end the process."""

    def error(self, message: str) -> NoReturn:
        raise OptionError(message, step="settings")


def _check(option: Option) -> Callable[[str], Any]:
    """Return a reader whose error names the flag, the variable and the value."""

    def read(text: str) -> Any:
        try:
            return option.read(text)
        except ValueError as error:
            raise OptionError(
                f"{option.flag} (environment {option.variable}) is {text!r}: {error}",
                step="settings",
            ) from None

    return read


def describe_default(option: Option) -> str:
    """Return what holds when a setting is not given."""
    return "required" if option.required else f"default: {option.default or 'none'}"


def parse_options(
    program: str, table: Iterable[Option], arguments: Sequence[str] | None = None
) -> dict[str, Any]:
    """Return the values by name, from flags first, then the environment, then defaults."""
    parser = _Parser(prog=program, add_config_file_help=False, add_env_var_help=True)
    rows = tuple(table)
    for option in rows:
        # A flag that is on or off may be given without a value.
        bare: dict[str, Any] = {"nargs": "?", "const": "yes"} if option.read is read_flag else {}
        parser.add_argument(
            option.flag,
            env_var=option.variable,
            default=option.default,
            help=f"{option.help} ({describe_default(option)})",
            **bare,
        )
    found = vars(parser.parse_args(sys.argv[1:] if arguments is None else list(arguments)))
    values: dict[str, Any] = {}
    for option in rows:
        text = found[option.name.replace("-", "_")]
        if text is None and option.required:
            raise OptionError(
                f"{option.flag} (environment {option.variable}) is not set", step="settings"
            )
        values[option.name] = None if text is None else _check(option)(text)
    return values
