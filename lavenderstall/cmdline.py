"""Command line of operators and callers."""

import os
import re
import sys
from argparse import Namespace
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NoReturn, TextIO

import configargparse

from lavenderstall import commands, completion
from lavenderstall.client import DEFAULT_TIMEOUT_S, Client, RejectedError
from lavenderstall.commands import STATUS_HELP, Session, Status
from lavenderstall.declarations import DeclarationError, find_closest_match
from lavenderstall.errors import AnswerLostError, LavenderstallError, Outcome, PeerUnavailableError
from lavenderstall.options import (
    ENVIRONMENT_PREFIX,
    OptionError,
    read_choice,
    read_integer,
    read_seconds,
    read_url,
)
from lavenderstall.query.fields import list_field_names
from lavenderstall.query.statements import QueryError, Topic
from lavenderstall.query.verbs import Verb, get_verb, list_verb_names

PROGRAM = "lavenderstall"
FILE_HELP = "YAML file of declarations"
TEXT_HELP = "a statement, such as: show waiting"
MAX_TOKEN_LENGTH = 256
PRINTABLE_ASCII = re.compile(r"[\x21-\x7e]+\Z")
HTTP_DENIED = frozenset({401, 403})
HTTP_INVALID = frozenset({400, 413, 422})
Subcommand = Callable[[Session, Namespace], Status]


class _Parser(configargparse.ArgumentParser):
    """Argument parser that raises `OptionError` instead of exiting the process."""

    def error(self, message: str) -> NoReturn:
        raise OptionError(f"{message}; see {self.prog} --help", step="arguments")


def _make_argument_type(reader: Callable[[str], Any]) -> Callable[[str], Any]:
    """Return an argparse type function whose errors name the invalid value."""

    def read(text: str) -> Any:
        try:
            return reader(text)
        except ValueError as error:
            raise configargparse.ArgumentTypeError(f"{text!r}: {error}") from None

    return read


def _add_common_options(parser: Any) -> None:
    """Add the options shared by all subcommands."""
    environment = ENVIRONMENT_PREFIX
    parser.add_argument(
        "--entry",
        action="append",
        type=_make_argument_type(read_url("http")),
        metavar="URL",
        help="entry instance; repeat it for more, which are tried in turn "
        f"(environment {environment}ENTRY, separated by commas)",
    )
    parser.add_argument(
        "--token-file",
        env_var=f"{environment}TOKEN_FILE",
        metavar="FILE",
        help=f"file that holds the token (environment {environment}TOKEN_FILE)",
    )
    parser.add_argument(
        "--output",
        type=_make_argument_type(read_choice("table", "json")),
        default="table",
        help="table or json (default: table)",
    )
    parser.add_argument(
        "--timeout",
        env_var=f"{environment}TIMEOUT",
        type=_make_argument_type(read_seconds(0.1, 3600)),
        default=DEFAULT_TIMEOUT_S,
        help="seconds to wait for each entry instance "
        f"(environment {environment}TIMEOUT, default: {DEFAULT_TIMEOUT_S:g})",
    )


def _add_seen_option(parser: Any) -> None:
    parser.add_argument(
        "--seen",
        type=_make_argument_type(read_integer(0, 10**12)),
        help="version that the change is based on; it is refused if another came first",
    )


def _add_declaration_commands(add: Callable[[str, Subcommand], Any]) -> None:
    for name, run in (("check", commands.check), ("diff", commands.diff)):
        add(name, run).add_argument("files", nargs="+", metavar="FILE", help=FILE_HELP)
    add("schema", commands.schema)
    parser = add("token", commands.token)
    parser.add_argument("name", metavar="NAME", help="name of the operator or team")
    parser = add("apply", commands.apply)
    parser.add_argument("files", nargs="+", metavar="FILE", help=FILE_HELP)
    parser.add_argument("--reason", default="", help="reason, kept in the history")
    parser.add_argument("--wait", action="store_true", help="wait until it is in effect everywhere")
    parser.add_argument(
        "--wait-timeout",
        type=_make_argument_type(read_seconds(0, 3600)),
        default=30.0,
        help="seconds after which --wait gives up (default: 30)",
    )
    _add_seen_option(parser)


def _add_query_commands(add: Callable[[str, Subcommand], Any]) -> None:
    parser = add("query", commands.query)
    parser.add_argument("words", nargs="+", metavar="TEXT", help=TEXT_HELP)
    _add_seen_option(parser)
    parser = add("watch", commands.watch)
    parser.add_argument("words", nargs="+", metavar="TEXT", help=TEXT_HELP)
    parser.add_argument(
        "--interval",
        type=_make_argument_type(read_seconds(0.2, 3600)),
        default=2.0,
        help="seconds between two answers (default: 2)",
    )
    parser.add_argument(
        "--times",
        type=_make_argument_type(read_integer(1, 10**6)),
        help="number of answers (default: until Ctrl-C)",
    )


def _add_work_commands(add: Callable[[str, Subcommand], Any]) -> None:
    parser = add("submit", commands.submit)
    parser.add_argument("file", metavar="FILE", help="declaration of a batch job or gang")
    parser.add_argument("--name", help="name of the job, if the file declares several")
    parser.add_argument("--id", help="id; submitting it again finds the first submission")
    add("status", commands.status).add_argument("job", metavar="JOB", help="id of the job")
    parser = add("call", commands.call)
    parser.add_argument("service", metavar="SERVICE", help="name of the service")
    parser.add_argument("--data", metavar="FILE", help="body; - reads standard input")
    parser.add_argument("--id", help="request id; the same id finds the first response")
    parser.add_argument("--once", action="store_true", help="the request is not idempotent")
    parser.add_argument(
        "--deadline-ms",
        type=_make_argument_type(read_integer(1, 600_000)),
        default=10_000,
        help="milliseconds until the response is of no use (default: 10000)",
    )
    parser = add("trace", commands.trace)
    parser.add_argument("request", metavar="REQUEST", help="id of the request")


def make_parsers() -> tuple[Any, dict[str, Any]]:
    """Return the main parser, and the parsers of its subcommands by name."""
    statuses = "\n".join(f"  {status.value}  {text}" for status, text in STATUS_HELP.items())
    parser = _Parser(
        prog=PROGRAM,
        description=__doc__,
        epilog=f"Any statement may be given directly, such as: {PROGRAM} show waiting\n"
        f"verbs: {', '.join(list_verb_names())}\n{PROGRAM} VERB --help explains one.\n\n"
        f"Entry instances and token are given with --entry and --token-file after the command,\n"
        f"or in {ENVIRONMENT_PREFIX}ENTRY and {ENVIRONMENT_PREFIX}TOKEN_FILE.\n\n"
        f"exit statuses:\n{statuses}",
        formatter_class=configargparse.RawDescriptionHelpFormatter,
        add_config_file_help=False,
        add_env_var_help=False,
    )
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    subcommands: dict[str, Any] = {}

    def add(name: str, run: Subcommand) -> Any:
        summary = (run.__doc__ or "").splitlines()[0]
        child = subparsers.add_parser(
            name, help=summary, description=summary, allow_abbrev=False, add_env_var_help=False
        )
        _add_common_options(child)
        child.set_defaults(run=run)
        subcommands[name] = child
        return child

    _add_declaration_commands(add)
    _add_query_commands(add)
    _add_work_commands(add)
    completing = subparsers.add_parser("completion", help="print a completion script")
    completing.add_argument("shell", choices=completion.SHELLS)
    subcommands["completion"] = completing
    return parser, subcommands


def join_words(words: Sequence[str]) -> str:
    """Join arguments to a statement, restoring the quotes that the shell removed."""
    if len(words) == 1:
        return words[0]
    parts = list(words)
    if "because" in parts:
        index = parts.index("because") + 1
        reason = " ".join(parts[index:])
        if reason and reason[0] not in "\"'":
            escaped = reason.replace("\\", "\\\\").replace('"', '\\"')
            parts[index:] = [f'"{escaped}"']
    return " ".join(parts)


def describe_verb(verb: Verb) -> str:
    """Return the help text of a verb: summary, example and fields."""
    lines = [f"{verb.name}: {verb.summary}", f"example: {verb.example}"]
    if verb.name in ("show", "count"):
        lines.append("operators: = != < <= > >= ~ (matches a part), in (A, B), and, or, not")
        lines += [
            f"fields of {topic.value}: {', '.join(list_field_names(topic))}" for topic in Topic
        ]
    return "\n".join([*lines, ""])


def _parse_statement_arguments(arguments: Sequence[str]) -> Namespace:
    """Parse a command line that starts with a verb instead of a subcommand."""
    parser = _Parser(prog=PROGRAM, allow_abbrev=False, add_help=False)
    _add_common_options(parser)
    _add_seen_option(parser)
    parser.add_argument("--preview", action="store_true")
    parser.add_argument("--reason")
    options, words = parser.parse_known_args(arguments)
    if not {"-h", "--help"}.isdisjoint(words):
        verb = get_verb(words[0])
        options.script = describe_verb(verb)
    if words[0] in ("undo", "revert", "approve", "reject") and words[1:2] != ["change"]:
        words.insert(1, "change")
    if options.preview:
        words.append("preview")
    if options.reason is not None:
        words += ["because", options.reason]
    options.text = join_words(words)
    options.run = commands.query
    return options


def parse_arguments(arguments: Sequence[str]) -> Namespace:
    """Parse a command line, or raise `OptionError`."""
    if arguments and arguments[0] in list_verb_names():
        return _parse_statement_arguments(arguments)
    parser, children = make_parsers()
    if arguments and not arguments[0].startswith("-") and arguments[0] not in children:
        known = [*children, *list_verb_names()]
        nearest = find_closest_match(arguments[0], known)
        hint = f"; did you mean {nearest!r}?" if nearest else ""
        detail = f"no command {arguments[0]!r}{hint} (known: {', '.join(known)})"
        raise OptionError(detail, step="arguments")
    options: Namespace = parser.parse_args(list(arguments))
    if options.command == "completion":
        flags = {
            name: [flag for action in child._actions for flag in action.option_strings]
            for name, child in children.items()
        }
        options.script = completion.make_script(options.shell, flags)
    if hasattr(options, "words"):
        options.text = join_words(options.words)
    return options


def _read_token(file: str | None) -> str:
    """Return the token in a file; errors name the file, never the token."""
    if not file:
        return ""
    try:
        token = Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError):
        raise OptionError(f"--token-file {file} cannot be read", step="arguments") from None
    if not PRINTABLE_ASCII.match(token) or len(token) > MAX_TOKEN_LENGTH:
        raise OptionError(f"--token-file {file} does not hold one token", step="arguments")
    return token


def _list_entries(options: Namespace) -> list[str]:
    if options.entry:
        return list(options.entry)
    texts = os.environ.get(f"{ENVIRONMENT_PREFIX}ENTRY", "").split(",")
    try:
        return [read_url("http")(text.strip()) for text in texts if text.strip()]
    except ValueError as error:
        detail = f"{ENVIRONMENT_PREFIX}ENTRY {error}"
        raise OptionError(detail, step="arguments") from None


def _wants_colour(out: TextIO) -> bool:
    plain = os.environ.get("NO_COLOR") or os.environ.get("TERM") == "dumb"
    return out.isatty() and not plain


def get_exit_status(error: LavenderstallError) -> Status:
    """Return the exit status for an error."""
    if isinstance(error, RejectedError):
        if error.status in HTTP_DENIED:
            return Status.DENIED
        if error.status in HTTP_INVALID:
            return Status.INVALID
        unknown = error.rejection.outcome is Outcome.UNKNOWN
        return Status.UNKNOWN if unknown else Status.REFUSED
    if isinstance(error, PeerUnavailableError):
        return Status.UNREACHABLE
    if isinstance(error, AnswerLostError):
        return Status.UNKNOWN
    return Status.INVALID


def describe_error(error: LavenderstallError, options: Namespace | None) -> str:
    """Return an error message for the user, with a hint where there is one."""
    if isinstance(error, DeclarationError):
        return "\n".join(map(str, error.problems))
    text = getattr(options, "text", None)
    if isinstance(error, QueryError) and text is not None:
        lines = text.splitlines() or [""]
        marker = " " * (error.column - 1) + "^"
        line = lines[min(error.line, len(lines)) - 1]
        return f"{line}\n{marker}\n{error}"
    if isinstance(error, RejectedError):
        rejection = error.rejection
        lines = [f"{error} ({rejection.reason}, outcome {rejection.outcome.value})"]
        lines += map(str, rejection.problems)
        if rejection.retry_after_ms:
            lines.append(f"try again in {rejection.retry_after_ms / 1000:g} s")
        return "\n".join(lines)
    hint = "\ngive --entry URL, or set LAVENDERSTALL_ENTRY"
    return f"{error}{hint if 'none is given' in error.detail else ''}"


def _make_session(options: Namespace) -> Session:
    client = Client(_list_entries(options), _read_token(options.token_file), options.timeout)
    return Session(
        client, sys.stdout, sys.stderr, sys.stdout.buffer, options.output, _wants_colour(sys.stdout)
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one subcommand and return the exit status."""
    options: Namespace | None = None
    try:
        options = parse_arguments(sys.argv[1:] if arguments is None else arguments)
        if hasattr(options, "script"):
            sys.stdout.write(options.script)
            return Status.OK
        options.stdin = sys.stdin.buffer
        status = options.run(_make_session(options), options)
        sys.stdout.flush()
        return int(status)
    except LavenderstallError as error:
        sys.stderr.write(f"{PROGRAM}: {describe_error(error, options)}\n")
        return int(get_exit_status(error))
    except BrokenPipeError:
        # The process that reads the output, such as a pager, has exited.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(Status.OK)
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
