"""Tests of the query language: parsing, evaluation, verbs, execution and formatters."""

import itertools
import unittest
from pathlib import Path
from typing import Any

import msgspec
import yaml
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from lavenderstall.changes import ItemKey, VersionConflictError
from lavenderstall.configuration import ChangeDraft, Configuration, ConfigurationView
from lavenderstall.identifiers import SliceName, TeamName, Version, ZoneName
from lavenderstall.inventory import Answer, EntryInfo, EntryState, Inventory, MissingPart, Part
from lavenderstall.query.evaluation import evaluate, evaluate_part, merge_answers
from lavenderstall.query.execution import execute
from lavenderstall.query.formatters import UnknownFormatterError, find_formatter, get_formatter
from lavenderstall.query.parser import MAX_TEXT_LENGTH, load_parser, parse_statement
from lavenderstall.query.routing import SliceFacts, find_slices, get_required_right
from lavenderstall.query.statements import QueryError
from lavenderstall.query.verbs import (
    ALIASES,
    VERBS,
    UnknownVerbError,
    find_verb,
    get_verb,
    list_verb_names,
)
from lavenderstall.resources import Resources
from lavenderstall.schemas import Command, Service, Team
from tests.support import FakeTable, run

EXAMPLES = Path(__file__).parent / "examples" / "query"


def contains(actual: Any, expected: Any) -> bool:
    """Return whether values contain all expected fields; lists must have the same length."""
    if isinstance(expected, dict):
        return all(contains(actual.get(name), expected[name]) for name in expected)
    if isinstance(expected, list):
        pairs = itertools.zip_longest(actual or [], expected, fillvalue={"": "missing"})
        return all(contains(one, other) for one, other in pairs)
    return bool(actual == expected)


def list_examples() -> list[tuple[str, dict[str, Any]]]:
    """Return all examples with their file names."""
    files = sorted(EXAMPLES.glob("*.yaml"))
    return [(p.name, each) for p in files for each in yaml.safe_load_all(p.read_text("utf-8"))]


class ExamplesTest(unittest.TestCase):
    """Guards against answers that differ from those documented in the examples."""

    def check_error(self, text: str, expected: dict[str, Any]) -> None:
        with self.assertRaises(QueryError) as caught:
            parse_statement(text)
        error = caught.exception
        self.assertEqual((error.line, error.column), (expected["line"], expected["column"]))
        self.assertEqual(error.nearest, expected.get("nearest", error.nearest))
        self.assertIn(expected.get("detail", ""), error.problem)
        if "expected" in expected:
            self.assertIn(expected["expected"], error.expected)

    def check_answer(self, example: dict[str, Any]) -> None:
        statement = parse_statement(example["statement"])
        facts = msgspec.convert(example.get("facts", []), list[SliceFacts])
        if "slices" in example:
            self.assertEqual(list(find_slices(statement, facts)), example["slices"])
        answers = [
            msgspec.structs.replace(
                evaluate_part(statement, msgspec.convert(each["rows"], Inventory)),
                parts=(msgspec.convert(each["part"], Part),),
            )
            for each in example["owners"]
        ]
        missing = msgspec.convert(example.get("missing", []), list[MissingPart])
        answer = merge_answers(statement, answers, missing)
        sent = msgspec.json.decode(msgspec.json.encode(answer), type=Answer)
        self.assertEqual(sent, answer)
        plain = {name: getattr(answer, name) for name in answer.__struct_fields__}
        actual = msgspec.to_builtins(plain)
        self.assertTrue(contains(actual, example["expected"]), actual)

    def test_examples(self) -> None:
        for file, example in list_examples():
            with self.subTest(file=file, statement=example["statement"]):
                if "error" in example:
                    self.check_error(example["statement"], example["error"])
                else:
                    self.check_answer(example)


VOCABULARY = [*load_parser().terminals]
WORDS = [t.pattern.value for t in VOCABULARY if t.pattern.type == "str"]
WORDS += ["zone", "age", "5m", "w1", '"x"', "kind", "(", ")", "not", "3", "id", "-1", "9" * 30]


class ParserTest(unittest.TestCase):
    """Guards against texts that raise errors other than `QueryError` or exhaust the stack."""

    @given(st.text() | st.lists(st.sampled_from(WORDS), max_size=14).map(" ".join))
    def test_any_text_parses_or_raises_query_error(self, text: str) -> None:
        try:
            statement = parse_statement(text)
        except QueryError as error:
            self.assertGreaterEqual(error.column, 1)
            return
        get_required_right(statement)

    def test_deep_and_long_texts(self) -> None:
        for part in ("not ", "(", "zone = a and (", "not (not "):
            text = "show tasks where " + part * 900
            for candidate in (text[: MAX_TEXT_LENGTH - 10] + " zone = a", text):
                with self.subTest(part=part), self.assertRaises(QueryError):
                    parse_statement(candidate)

    def test_limit_per_owner_keeps_the_first_rows_overall(self) -> None:
        statement = parse_statement("show entries sort by slices desc limit 3")

        @given(st.lists(st.lists(st.integers(0, 9), max_size=6), max_size=4))
        def check(owners: list[list[int]]) -> None:
            number = itertools.count()
            inventories = [
                Inventory(
                    entries=[
                        EntryInfo(f"e{next(number)}", ZoneName("z"), EntryState.LIVE, slices=size)
                        for size in sizes
                    ]
                )
                for sizes in owners
            ]
            merged = merge_answers(
                statement, [evaluate_part(statement, each) for each in inventories]
            )
            whole = Inventory(entries=[row for each in inventories for row in each.entries])
            self.assertEqual(merged, evaluate(statement, whole))

        check()


class VerbsTest(unittest.TestCase):
    """Guards against verbs that are missing from the grammar or have invalid examples."""

    def test_grammar_names_every_verb(self) -> None:
        for word in list_verb_names():
            rules = [r for r in load_parser().rules if r.origin.name.endswith("_verb")]
            names = {t.name: t.pattern.value for t in load_parser().terminals}
            self.assertIn(word, {names[r.expansion[0].name] for r in rules})

    def test_examples_parse_and_need_the_declared_right(self) -> None:
        for name in VERBS:
            with self.subTest(verb=name):
                verb = get_verb(name)
                self.assertEqual((verb.name, bool(verb.summary)), (name, True))
                self.assertEqual(get_required_right(parse_statement(verb.example)), verb.right)

    def test_lookup(self) -> None:
        for alias, name in ALIASES.items():
            self.assertIs(find_verb(alias), get_verb(name))
        self.assertIsNone(find_verb("drian"))
        with self.assertRaisesRegex(UnknownVerbError, "did you mean 'drain'"):
            get_verb("drian")


class ExecuteTest(unittest.TestCase):
    """Guards against commands that change anything but what they name."""

    def setUp(self) -> None:
        view, nonces = ConfigurationView(Clock()), map(str, itertools.count())
        self.configuration = Configuration(
            FakeTable(), view, Clock(), lambda: 9, lambda: next(nonces)
        )
        routing = Service("routing", TeamName("t"), "p", 3, Resources(cores_milli=5))
        items = {ItemKey("service", "routing"): routing, ItemKey("team", "t"): Team("t")}
        run(self.configuration.apply(ChangeDraft("ana", "first", items)))

    def execute(self, text: str, **more: Any) -> Answer:
        statement = parse_statement(text)
        return run(execute(statement, self.configuration, author="ana", unix_ms=lambda: 9, **more))

    def get(self, kind: str, name: str) -> Any:
        return run(self.configuration.refresh()).items.get(ItemKey(kind, name))

    def test_set(self) -> None:
        answer = self.execute(
            "set service routing replicas = 4, calls.deadline_ms = 5s, calls.hedged = yes "
            "because 'x'"
        )
        service = self.get("service", "routing")
        self.assertEqual((service.replicas, service.calls.deadline_ms), (4, 5000))
        self.assertEqual(len(answer.differences[0].fields), 3)
        self.assertTrue(answer.committed)

    def test_invalid_assignments(self) -> None:
        for text, column, words in (
            ("set service routing replcas = 4", 21, "did you mean 'replicas'"),
            ("set service routing replicas = many", 21, "replicas"),
            ("set service routing calls.slots = 0", 21, ">= 1"),
            ("set service routing replicas.x = 0", 21, "no fields"),
            ("set service routing name = other", 21, "cannot be set"),
            ("set service routnig replicas = 4", 1, "did you mean 'routing'"),
        ):
            with self.subTest(text=text):
                with self.assertRaises(QueryError) as caught:
                    self.execute(f'{text} because "x"')
                self.assertEqual(caught.exception.column, column)
                self.assertIn(words, str(caught.exception))

    def test_directives_and_undo(self) -> None:
        self.execute('drain worker w because "x"')
        self.execute('quarantine worker w because "x"')
        both = Command("worker/w", drained=True, quarantined=True)
        self.assertEqual(self.get("command", "worker/w"), both)
        answer = self.execute("undo change 3 preview")
        self.assertEqual((answer.committed, self.get("command", "worker/w")), (False, both))
        self.execute('undo change 3 because "y"')
        self.execute('undrain worker w because "x"')
        self.assertIsNone(self.get("command", "worker/w"))
        self.assertEqual(self.execute('undrain worker w because "x"').note, "nothing to change")

    def test_unknown_scopes_are_rejected(self) -> None:
        facts = [SliceFacts(SliceName("z1/0"), ZoneName("z1"), workers=frozenset({"w-17"}))]
        for text, nearest in (
            ("drain worker w-71", "w-17"),
            ("drain zone z2", "z1"),
            ("pause service rooting", "routing"),
            ("pause kind bacth", "batch"),
        ):
            with self.subTest(text=text), self.assertRaises(QueryError) as caught:
                self.execute(f'{text} because "x"', slices=facts)
            self.assertEqual(caught.exception.nearest, nearest)
        self.execute('drain worker w-17 because "x"', slices=facts)

    def test_seen_version_and_decisions(self) -> None:
        with self.assertRaises(VersionConflictError):
            self.execute('drain worker w because "x"', seen=Version(0))
        with self.assertRaisesRegex(Exception, "change 1 is done"):
            self.execute('approve change 1 because "x"')


class FormattersTest(unittest.TestCase):
    """Guards against output that misleads people or breaks terminals."""

    def test_table(self) -> None:
        rows = (
            EntryInfo("e1", ZoneName("z1"), EntryState.LIVE, Version(3), age_ms=1500),
            EntryInfo("e2\x1b[2J", ZoneName("z1"), EntryState.SUSPECT, age_ms=90_000),
        )
        part = Part("e1", 40)
        missing = MissingPart("timeout", "e3")
        answer = Answer(EntryInfo.COLUMNS, rows, 5, (part,), (missing,))
        text = get_formatter("text").format(answer)
        self.assertEqual(
            text.splitlines(),
            [
                "ID      STATE    ZONE  VERSION  SLICES  CALLS  AGE",
                "e1      live     z1    3        0       0      1.5s",
                "e2?[2J  suspect  z1    0        0       0      1.5m",
                "2 of 5 rows",
                "1 owner, data up to 40ms old (e1)",
                "missing: e3: timeout",
            ],
        )
        self.assertIn("\x1b[32mlive\x1b[0m", get_formatter("table").format(answer, colour=True))

    def test_json_is_an_answer(self) -> None:
        answer = Answer(note="x", version=Version(4))
        text = get_formatter("json").format(answer, colour=True)
        self.assertEqual(msgspec.json.decode(text, type=Answer), answer)

    def test_lookup(self) -> None:
        self.assertIsNone(find_formatter("xml"))
        with self.assertRaisesRegex(UnknownFormatterError, "json, table"):
            get_formatter("xml")
