"""Tests that the pages say what the code does."""

import re
import unittest
from pathlib import Path

import msgspec

from lavenderstall.commands import STATUS_HELP
from lavenderstall.daemon import OPTIONS
from lavenderstall.schemas import export_schema

DOCS = Path(__file__).resolve().parent.parent / "docs"


def read_tables(page: str) -> list[list[str]]:
    """Return the cells of all table rows of a page, without code marks."""
    text = (DOCS / page).read_text(encoding="utf-8")
    rows = (line.strip("| ") for line in text.splitlines() if line.startswith("|"))
    return [[cell.strip().replace("`", "") for cell in re.split(r"\s\|\s", row)] for row in rows]


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


if __name__ == "__main__":
    unittest.main()
