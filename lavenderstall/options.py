"""Typed options from flags and environment variables, validated at startup."""

import re
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
    """An option is missing or has an invalid value."""


class Option(msgspec.Struct, frozen=True):
    """Declaration of an option; `read` parses its text or raises `ValueError`."""

    name: str
    read: Callable[[str], Any]
    help: str
    default: str | None = None
    required: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """The name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.replace("-", "_").upper()


def read_text(text: str) -> str:
    """Return the text, or raise `ValueError` if it is blank."""
    if not text.strip():
        raise ValueError("must not be empty")
    return text


def read_flag(text: str) -> bool:
    """Parse a boolean word such as yes or off."""
    word = text.strip().lower()
    if word not in TRUE_WORDS | FALSE_WORDS:
        raise ValueError("must be one of yes, no, true, false, on, off, 1, 0")
    return word in TRUE_WORDS


def read_integer(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers between two inclusive bounds."""

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
    """Return a parser of durations in seconds between two inclusive bounds."""

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
    """Return a parser that accepts only the given words."""

    def read(text: str) -> str:
        if text not in choices:
            raise ValueError(f"must be one of {', '.join(choices)}")
        return text

    return read


def read_url(*schemes: str) -> Callable[[str], str]:
    """Return a parser of URLs that have a given scheme, a host and a port."""

    def read(text: str) -> str:
        parts = urlsplit(text)
        whole = not re.search(r"[^!-~]", text)
        if not whole or parts.scheme not in schemes or not parts.hostname or not parts.port:
            raise ValueError(f"must look like {schemes[0]}://10.0.0.1:8000")
        return text.rstrip("/")

    return read


class _Parser(configargparse.ArgumentParser):
    """Argument parser that raises `OptionError` instead of exiting the process."""

    def error(self, message: str) -> NoReturn:
        raise OptionError(message, step="settings")


def _make_reader(option: Option) -> Callable[[str], Any]:
    """Wrap `option.read` so that errors name the flag, the variable and the value."""

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
    """Return the help text for the default of an option."""
    return "required" if option.required else f"default: {option.default or 'none'}"


def parse_options(
    program: str, options: Iterable[Option], arguments: Sequence[str] | None = None
) -> dict[str, Any]:
    """Return the values by option name; precedence is flags, environment, defaults."""
    parser = _Parser(prog=program, add_config_file_help=False, add_env_var_help=True)
    declared = tuple(options)
    for option in declared:
        # A boolean flag without a value means yes.
        optional_value: dict[str, Any] = (
            {"nargs": "?", "const": "yes"} if option.read is read_flag else {}
        )
        parser.add_argument(
            option.flag,
            env_var=option.variable,
            default=option.default,
            help=f"{option.help} ({describe_default(option)})",
            **optional_value,
        )
    texts = vars(parser.parse_args(sys.argv[1:] if arguments is None else list(arguments)))
    values: dict[str, Any] = {}
    for option in declared:
        text = texts[option.name.replace("-", "_")]
        if text is None and option.required:
            raise OptionError(
                f"{option.flag} (environment {option.variable}) is not set", step="settings"
            )
        values[option.name] = None if text is None else _make_reader(option)(text)
    return values
