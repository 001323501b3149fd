"""Formats answers as text tables."""

import re
from collections.abc import Iterable, Sequence
from enum import Enum
from typing import Any

from lavenderstall.changes import Difference, DifferenceAction
from lavenderstall.inventory import Answer, AnyInfo, ChangeInfo, CountInfo, ReasonInfo
from lavenderstall.query.formatters import Formatter

MAX_CELL_WIDTH = 80
UNITS_MS = ((86_400_000, "d"), (3_600_000, "h"), (60_000, "m"), (1_000, "s"))
# Control and bidirectional characters in declared or reported texts must not reach a terminal.
CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029\u202a-\u202e\u2066-\u2069]")
# Printed on lines below their row, not as columns.
FIELDS_BELOW_ROW = frozenset({"alternatives"})
RESET = "\x1b[0m"
BOLD, RED, GREEN, YELLOW = "\x1b[1m", "\x1b[31m", "\x1b[32m", "\x1b[33m"
VALUE_COLOURS = {
    "failed": RED,
    "lost": RED,
    "refused": RED,
    "unknown": YELLOW,
    "quarantined": YELLOW,
    "drained": YELLOW,
    "proposed": YELLOW,
    "waiting": YELLOW,
    "running": GREEN,
    "live": GREEN,
    "done": GREEN,
}
SIGNS = {DifferenceAction.ADD: "+", DifferenceAction.CHANGE: "~", DifferenceAction.REMOVE: "-"}
SIGN_COLOURS = {"+": GREEN, "~": YELLOW, "-": RED}


def format_duration(milliseconds: int) -> str:
    """Return a duration in its largest unit, with one decimal below ten."""
    for size, unit in UNITS_MS:
        if milliseconds >= size:
            amount = milliseconds / size
            return f"{amount:.1f}{unit}" if amount < 10 else f"{amount:.0f}{unit}"
    return f"{milliseconds}ms"


def replace_controls(text: str) -> str:
    """Replace characters that could act on a terminal."""
    return CONTROL_CHARACTERS.sub("?", text)


def _format_value(name: str, value: Any) -> str:
    if name.endswith("_ms"):
        return format_duration(value)
    if name.endswith("cores_milli"):
        return f"{value / 1000:g}"
    if name.endswith("_mb"):
        return f"{value / 1024:.1f}GB" if value >= 1024 else f"{value}MB"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return "; ".join(map(str, value))
    return str(value)


def _make_title(name: str) -> str:
    return re.sub(r"_(ms|mb|milli)\Z", "", name).replace("_", " ").upper()


def _make_cells(row: AnyInfo, columns: Sequence[str]) -> list[str]:
    if isinstance(row, CountInfo):
        return [replace_controls(value) for value in row.values] + [str(row.count)]
    cells = (replace_controls(_format_value(name, getattr(row, name))) for name in columns)
    return [
        cell if len(cell) <= MAX_CELL_WIDTH else cell[: MAX_CELL_WIDTH - 3] + "..."
        for cell in cells
    ]


def _colour_text(text: str, code: str | None, colour: bool) -> str:
    return f"{code}{text}{RESET}" if colour and code else text


def _format_grid(titles: Sequence[str], grid: list[list[str]], colour: bool) -> Iterable[str]:
    """Yield aligned lines; colours are added after padding."""
    widths = [max(map(len, column)) for column in zip(titles, *grid, strict=True)]
    padded = (title.ljust(width) for title, width in zip(titles, widths, strict=True))
    yield _colour_text("  ".join(padded).rstrip(), BOLD, colour)
    for cells in grid:
        line = [
            _colour_text(cell, VALUE_COLOURS.get(cell), colour) + " " * (width - len(cell))
            for cell, width in zip(cells, widths, strict=True)
        ]
        yield "  ".join(line).rstrip()


def _list_alternatives(row: AnyInfo) -> Iterable[str]:
    """Yield the workers that were not chosen, which are too long for a column."""
    if isinstance(row, ReasonInfo):
        yield from (f"    {replace_controls(text)}" for text in row.alternatives)


def format_differences(differences: Iterable[Difference], *, colour: bool = False) -> str:
    """Return one line for each item and field that differs."""
    lines = []
    for difference in differences:
        sign = SIGNS[difference.action]
        lines.append(
            _colour_text(
                f"{sign} {replace_controls(str(difference.key))}", SIGN_COLOURS[sign], colour
            )
        )
        for field in difference.fields:
            before = "absent" if field.before is None else replace_controls(field.before)
            after = "absent" if field.after is None else replace_controls(field.after)
            lines.append(f"    {replace_controls(field.path)}: {before} -> {after}")
    return "".join(f"{line}\n" for line in lines)


def _format_change(change: ChangeInfo, committed: bool) -> Iterable[str]:
    origin = "automatic, by" if change.automatic else "by"
    yield f"change {change.id}, {change.state.value}, {origin} {replace_controls(change.author)}"
    if change.reason:
        yield f"reason: {replace_controls(change.reason)}"
    links = (("undoes", change.undoes), ("decides", change.decides))
    yield from (f"{word} change {number}" for word, number in links if number)
    if change.decided_by:
        yield f"decided by change {change.decided_by}"
    if committed:
        yield "accepted"


def _format_footer(answer: Answer) -> Iterable[str]:
    if answer.total > len(answer.rows) and answer.columns and answer.columns[-1] != "count":
        yield f"{len(answer.rows)} of {answer.total} rows"
    if answer.parts:
        ages = [part.age_ms for part in answer.parts]
        oldest = max(answer.parts, key=lambda part: part.age_ms)
        yield (
            f"{len(ages)} owner{'s' if len(ages) > 1 else ''}, data up to "
            f"{format_duration(max(ages))} old ({oldest.owner})"
        )
    for missing in answer.missing:
        where = ", ".join(missing.slices) or missing.owner
        yield f"missing: {replace_controls(where)}: {replace_controls(missing.reason)}"


class TableFormatter(Formatter):
    """Format aligned columns and a footer with data sources, their age and missing parts."""

    name = "table"

    def format(self, answer: Answer, *, colour: bool = False) -> str:
        """Format an answer as a table."""
        lines: list[str] = []
        if answer.change and answer.preview:
            lines.append(f"would be change {answer.change.id}")
        elif answer.change:
            lines += _format_change(answer.change, answer.committed)
        elif answer.rows:
            columns = [name for name in answer.columns if name not in FIELDS_BELOW_ROW]
            grid = [_make_cells(row, columns) for row in answer.rows]
            titles = [_make_title(name) for name in columns]
            head, *body = _format_grid(titles, grid, colour)
            lines.append(head)
            for row, line in zip(answer.rows, body, strict=True):
                lines += [line, *_list_alternatives(row)]
        elif not answer.note:
            lines.append("no rows")
        text = "".join(f"{line}\n" for line in lines)
        text += format_differences(answer.differences, colour=colour)
        footer = [replace_controls(answer.note)] if answer.note else []
        footer += _format_footer(answer)
        return text + "".join(f"{line}\n" for line in footer)
