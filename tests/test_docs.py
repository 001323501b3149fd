"""Tests that the pages say what the code does."""

import ast
import re
import unittest
from collections.abc import Iterator
from itertools import chain, takewhile
from pathlib import Path

import msgspec

from lavenderstall.commands import STATUS_HELP
from lavenderstall.daemon import OPTIONS
from lavenderstall.schemas import export_schema

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
PAGES = (ROOT / "README.md", *sorted(DOCS.glob("*.md")))
SOURCES = (*(ROOT / "lavenderstall").rglob("*.py"), *(ROOT / "platform").rglob("*.py"))
LOG_METHODS = {"debug", "info", "warning", "error", "exception"}


def read_tables(page: str) -> list[list[str]]:
    """Return the cells of all table rows of a page, without code marks."""
    text = (DOCS / page).read_text(encoding="utf-8")
    rows = (line.strip("| ") for line in text.splitlines() if line.startswith("|"))
    return [[cell.strip().replace("`", "") for cell in re.split(r"\s\|\s", row)] for row in rows]


def read_table(page: str, heading: str) -> list[list[str]]:
    """Return the cells of the table whose first column has a heading, code marks included."""
    lines = iter((DOCS / page).read_text(encoding="utf-8").splitlines())
    next(line for line in lines if line.startswith(f"| {heading} |"))
    rows = takewhile(lambda line: line.startswith("|"), lines)
    return [re.split(r"\s\|\s", row.strip("| ")) for row in rows if not row.startswith("| ---")]


def list_spans(text: str) -> list[str]:
    """Return the parts of a text that are marked as code."""
    return re.findall(r"`([^`]+)`", text)


def list_texts(node: ast.expr) -> Iterator[str]:
    """Yield the string constants within an expression."""
    for part in ast.walk(node):
        if isinstance(part, ast.Constant) and isinstance(part.value, str):
            yield part.value


def list_log_messages() -> set[str]:
    """Return the messages that the sources log."""
    return {
        text
        for path in SOURCES
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
        if node.func.attr in LOG_METHODS and node.args
        for text in list_texts(node.args[0])
    }


class PagesTest(unittest.TestCase):
    """Guards against pages that drift from the settings and schemas they describe."""

    def test_settings(self) -> None:
        rows = [row for row in read_tables("OPERATIONS.md") if re.match("--[a-z]", row[0])]
        found = {row[0]: (row[1], row[3]) for row in rows}
        expected = {
            option.flag: (
                option.variable,
                option.default or ("required" if option.required else "none"),
            )
            for option in OPTIONS
        }
        self.assertEqual(found, expected)

    def test_exit_statuses(self) -> None:
        rows = {row[0]: row[1] for row in read_tables("OPERATIONS.md") if row[0].isdigit()}
        self.assertEqual(rows, {str(status.value): text for status, text in STATUS_HELP.items()})

    def test_schema_is_current(self) -> None:
        text = (DOCS / "declarations.schema.json").read_bytes()
        expected = msgspec.json.encode(export_schema())
        self.assertEqual(msgspec.json.decode(text), msgspec.json.decode(expected))

    def test_log_messages(self) -> None:
        rows = read_table("OPERATIONS.md", "message")
        named = set(chain.from_iterable(list_spans(row[0]) for row in rows))
        self.assertGreater(len(named), 30)
        self.assertEqual(named - list_log_messages(), set())

    def test_log_messages_of_the_daemon(self) -> None:
        """Compare messages in which words in capitals and an ellipsis stand for arguments."""
        lines = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        table = lines.partition("### Log lines")[2].partition("\n## ")[0]
        rows = [row.split(" | ")[0] for row in table.splitlines() if row.startswith("| `")]
        messages = [re.sub("%[sd]", "X", text) for text in list_log_messages()]
        self.assertGreater(len(rows), 10)
        for span in chain.from_iterable(list_spans(row) for row in rows):
            with self.subTest(message=span):
                parts = re.split(r"\b[A-Z]+\b|…", span)
                pattern = re.compile(".+".join(re.escape(part) for part in parts))
                self.assertTrue(any(pattern.fullmatch(message) for message in messages))

    def test_counters(self) -> None:
        text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        found = re.search(r"Counters:(.*?)Histograms in seconds:(.*?)Names begin", text, re.DOTALL)
        assert found is not None
        named = {name for name in list_spans(found.group(0)) if name == name.lower()}
        trees = (ast.parse(path.read_text(encoding="utf-8")) for path in SOURCES)
        texts = set(chain.from_iterable(list_texts(tree) for tree in trees))  # type: ignore[arg-type]
        made = {f"front_{method}" for method in ("get", "post", "delete")}
        self.assertGreater(len(named), 10)
        self.assertEqual(named - texts - made, set())

    def test_modules(self) -> None:
        library = ROOT / "lavenderstall"
        rows = read_table("design.md", "module")
        for row in rows:
            for name in list_spans(row[0]):
                with self.subTest(module=name):
                    self.assertTrue((library / name).is_dir() or (library / f"{name}.py").is_file())

    def test_paths(self) -> None:
        pattern = re.compile(r"(?:lavenderstall|platform|tests|standins|bench|demo|docs)/[\w./]+")
        for page in PAGES:
            for span in list_spans(page.read_text(encoding="utf-8")):
                if pattern.fullmatch(span) and not span.endswith(("/NAME", ".")):
                    with self.subTest(page=page.name, path=span):
                        self.assertTrue((ROOT / span).exists())


if __name__ == "__main__":
    unittest.main()
