"""Parses the text of a statement."""

import re
from collections.abc import Iterable
from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedCharacters, UnexpectedInput, UnexpectedToken
from lark.exceptions import LarkError, VisitError
from lark.lexer import PatternStr

from lavenderstall.query.filters import Filter
from lavenderstall.query.statements import (
    Assignment,
    Conjunction,
    Disjunction,
    Negation,
    QueryError,
    Relation,
    Statement,
    Word,
)
from lavenderstall.query.verbs import ParsedStatement, get_verb

GRAMMAR = Path(__file__).with_name("grammar.lark")
MAX_TEXT_LENGTH = 4_000
ESCAPE_SEQUENCE = re.compile(r"\\(.)", re.DOTALL)
UNEXPECTED_WORD = re.compile(r"[^\s,;()\"']+")
TERMINAL_DESCRIPTIONS = {"WORD": "a name or number", "STRING": "a quoted text", "$END": "the end"}
# A longer list of expected words is less helpful than the nearest word alone.
MAX_EXPECTED = 16


class _Clause(tuple):
    """The name and value of a clause."""

    __slots__ = ()

    def __new__(cls, name: str, value: Any) -> "_Clause":
        return super().__new__(cls, (name, value))


def _build_statement(verb: Word, clauses: Iterable[Any], **fields: Any) -> Statement:
    for clause in clauses:
        if clause is not None:
            name, value = clause
            fields[name] = value
    return get_verb(verb.text).build(ParsedStatement(verb, **fields))


class _StatementBuilder(Transformer):
    """Build a statement as the parser reduces rules, without recursion."""

    def WORD(self, token: Token) -> Word:  # noqa: N802
        return Word(str(token), token.line or 1, token.column or 1)

    def STRING(self, token: Token) -> Word:  # noqa: N802
        text = ESCAPE_SEQUENCE.sub(r"\1", str(token)[1:-1])
        return Word(text, token.line or 1, token.column or 1, quoted=True)

    def _make_word(self, children: list[Any]) -> Word:
        token = children[0]
        return Word(str(token), token.line or 1, token.column or 1)

    show_verb = count_verb = why_verb = set_verb = command_verb = undo_verb = decide_verb = (
        _make_word
    )
    topic = subject = kind = target = direction = operator = _make_word

    def start(self, children: list[Any]) -> Any:
        return children[0]

    def value(self, children: list[Any]) -> Any:
        return children[0]

    def comparison(self, children: list[Any]) -> Filter:
        field, relation, value = children
        return Filter(None, (), field, Relation(relation.text), (value,))

    def membership(self, children: list[Any]) -> Filter:
        field, *values = children
        return Filter(None, (), field, Relation.EQUAL, tuple(values))

    def negation(self, children: list[Any]) -> Filter:
        return Filter(Negation, tuple(children))

    def every(self, children: list[Any]) -> Filter:
        return Filter(Conjunction, tuple(children))

    def either(self, children: list[Any]) -> Filter:
        return Filter(Disjunction, tuple(children))

    def where(self, children: list[Any]) -> _Clause:
        return _Clause("where", children[0])

    def by(self, children: list[Any]) -> _Clause:
        return _Clause("by", tuple(children))

    def order(self, children: list[Any]) -> tuple[Word, bool]:
        return children[0], len(children) > 1 and children[1].text == "desc"

    def sort(self, children: list[Any]) -> _Clause:
        return _Clause("sort", tuple(children))

    def limit(self, children: list[Any]) -> _Clause:
        return _Clause("limit", children[0])

    def because(self, children: list[Any]) -> _Clause:
        return _Clause("because", children[0])

    def preview(self, children: list[Any]) -> _Clause:
        return _Clause("preview", True)

    def assignment(self, children: list[Any]) -> Assignment:
        return Assignment(*children)

    def show(self, children: list[Any]) -> Statement:
        verb, topic, *clauses = children
        return _build_statement(verb, clauses, object=topic)

    count = show

    def show_change(self, children: list[Any]) -> Statement:
        verb, number = children
        return _build_statement(verb, (), id=number)

    def why(self, children: list[Any]) -> Statement:
        verb, subject, name = children
        return _build_statement(verb, (), object=subject, id=name)

    def set(self, children: list[Any]) -> Statement:
        verb, kind, name, *assignments, because = children
        return _build_statement(
            verb, [because], object=kind, id=name, assignments=tuple(assignments)
        )

    def command(self, children: list[Any]) -> Statement:
        verb, target, name, because = children
        return _build_statement(verb, [because], object=target, id=name)

    def undo(self, children: list[Any]) -> Statement:
        verb, number, clause = children
        return _build_statement(verb, [clause], id=number)

    decide = undo


@cache
def load_parser() -> Lark:
    """Return the parser, built on first use."""
    return Lark(GRAMMAR.read_text(encoding="utf-8"), parser="lalr", transformer=_StatementBuilder())


def _describe_expected(names: Iterable[str]) -> list[str]:
    patterns = {terminal.name: terminal.pattern for terminal in load_parser().terminals}
    words = []
    for name in sorted(names):
        pattern = patterns.get(name)
        literal = pattern.value if isinstance(pattern, PatternStr) else name
        words.append(TERMINAL_DESCRIPTIONS.get(name, literal))
    return sorted(words, key=lambda word: (not word[0].isalpha(), word))


def _make_error(text: str, error: UnexpectedInput) -> QueryError:
    """Convert a syntax error of the parser to a `QueryError`."""
    names: Iterable[str] = ()
    if isinstance(error, UnexpectedToken):
        names = error.accepts or error.expected
    elif isinstance(error, UnexpectedCharacters):
        names = error.allowed or ()
    expected = [word for word in _describe_expected(names) if word != ";"]
    position = error.pos_in_stream
    ended = position is None or position >= len(text)
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        ended = True
    found = None if ended else UNEXPECTED_WORD.match(text, position or 0)
    bad = found[0] if found else "" if ended else text[position or 0]
    before = text if ended else text[:position]
    line = before.count("\n") + 1
    column = len(before) - (before.rfind("\n") + 1) + 1
    detail = f"unexpected {bad[:100]!r}" if bad else "the text ends too early"
    word = Word(bad, line, column)
    failure = word.make_error(detail, [each for each in expected if each.isalpha()])
    if len(expected) > MAX_EXPECTED and failure.nearest:
        expected = [failure.nearest]
    return QueryError(detail, line=line, column=column, expected=expected, nearest=failure.nearest)


def parse_statement(text: str) -> Statement:
    """Parse the text of a statement, or raise `QueryError`."""
    if len(text) > MAX_TEXT_LENGTH:
        raise QueryError(f"the text is longer than {MAX_TEXT_LENGTH} characters")
    try:
        statement: Any = load_parser().parse(text)
    except UnexpectedInput as error:
        raise _make_error(text, error) from None
    except VisitError as error:
        raise error.orig_exc from None
    except LarkError as error:
        raise QueryError(str(error)) from None
    return statement
