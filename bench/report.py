"""Writes figures as one HTML page with plots and a table."""

import io
from collections.abc import Sequence
from html import escape
from pathlib import Path

import matplotlib
import msgspec
from matplotlib.figure import Figure as Drawing

from bench.figures import Figure
from bench.notes import find_note


class Plot(msgspec.Struct, frozen=True):
    """A bar chart of the figures of one unit whose names start with one of some prefixes."""

    title: str
    unit: str
    prefixes: tuple[str, ...]


PLOTS = (
    Plot("Decisions a second", "1/s", ("decide_rate",)),
    Plot("Time of decisions", "ms", ("decide_p99", "gang_p99")),
    Plot(
        "Wait until start, 70% load",
        "s",
        tuple(f"wait_{p}_{k}_70" for p in ("p50", "p99") for k in ("service", "batch", "gang")),
    ),
    Plot(
        "Wait until start, 95% load",
        "s",
        tuple(f"wait_{p}_{k}_95" for p in ("p50", "p99") for k in ("service", "batch", "gang")),
    ),
    Plot("Packing at the first refusal", "part", ("packing",)),
    Plot("Goodput kept in floods", "ratio", ("flood_low_kept", "flood_high_kept", "call_flood")),
    Plot("Waits in floods over those before", "ratio", ("flood_wait_ratio",)),
    Plot("Urgent work: wait until start in floods", "s", ("urgent_start",)),
    Plot("Cost of cancelling 100,000 over 1,000", "ratio", ("cancel_wave",)),
    Plot("Writes to the store", "1/s", ("store_writes",)),
    Plot("Memory of an entry instance", "MB", ("entry_rss",)),
    Plot("Traffic with workers", "B/s", ("bytes_per_worker",)),
    Plot("Processor time for control", "%", ("control_cpu",)),
)
STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 75em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.5em; text-align: left; vertical-align: top; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
tr.missed { background: #fbe3e0; }
"""
COLUMNS = (
    "name", "value", "unit", "baseline", "ratio", "previous", "target", "met",
    "reason", "next to try",
)  # fmt: skip


def write_report(path: Path, figures: Sequence[Figure], faults: Sequence[str]) -> None:
    """Write the page of one run."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(make_page(figures, faults), encoding="utf-8")


def make_page(figures: Sequence[Figure], faults: Sequence[str]) -> str:
    """Return the page: missed targets and faults, all figures, plots."""
    missed = [figure.name for figure in figures if figure.met is False]
    asked = sum(figure.met is not None for figure in figures)
    lines = [
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">',
        f"<title>Measurements</title><style>{STYLE}</style></head><body>",
        f"<h1>Measurements</h1><p>{asked - len(missed)} of {asked} targets are met.",
        f"Missed: {escape(', '.join(missed)) or 'none'}.</p>",
    ]
    if faults:
        lines.append("<h2>Faults of this run</h2>")
        lines.extend(f"<p>{escape(fault)}</p>" for fault in faults)
    lines.append("<h2>Figures</h2><table><tr>")
    lines.extend(f"<th>{column}</th>" for column in COLUMNS)
    lines.append("</tr>")
    lines.extend(map(make_row, figures))
    lines.append("</table><h2>Plots</h2>")
    for plot in PLOTS:
        shown = choose_figures(plot, figures)
        if shown:
            lines.append(f"<figure>{draw_plot(plot, shown)}</figure>")
    lines.append("</body></html>")
    return "\n".join(lines) + "\n"


def make_row(figure: Figure) -> str:
    """Return the row of a figure; a missed target has its reason and the next thing to try."""
    is_missed = figure.met is False
    note = find_note(figure.name) if is_missed else None
    previous = None if figure.previous is msgspec.UNSET else figure.previous
    met = {None: "", True: "met", False: "missed"}[figure.met]
    texts = (figure.target or "", met, note.reason if note else "", note.following if note else "")
    cells = [f"<td>{escape(figure.name)}</td>", make_number(figure.value)]
    cells.append(f"<td>{escape(figure.unit)}</td>")
    cells.extend(make_number(value) for value in (figure.baseline, figure.ratio, previous))
    cells.extend(f"<td>{escape(text)}</td>" for text in texts)
    return f'<tr class="{"missed" if is_missed else ""}">{"".join(cells)}</tr>'


def make_number(value: float | None) -> str:
    """Return the cell of a number that may be missing."""
    return f'<td class="number">{"" if value is None else f"{value:.6g}"}</td>'


def choose_figures(plot: Plot, figures: Sequence[Figure]) -> list[Figure]:
    """Return the figures that a plot shows."""
    return [
        figure
        for figure in figures
        if figure.unit == plot.unit and figure.name.startswith(plot.prefixes)
    ]


def draw_plot(plot: Plot, figures: Sequence[Figure]) -> str:
    """Return a bar chart as SVG: value, baseline and earlier value of each figure."""
    series: list[tuple[str, str, list[float | None]]] = [
        ("measured", "#36648b", [figure.value for figure in figures]),
        ("baseline", "#b0a890", [figure.baseline for figure in figures]),
        ("previous", "#8fb8de", [figure.previous or None for figure in figures]),
    ]
    series = [item for item in series if any(value is not None for value in item[2])]
    height = 0.8 / len(series)
    drawing = Drawing(figsize=(9, 1.0 + 0.25 * len(series) * len(figures)), layout="constrained")
    axes = drawing.subplots()
    for number, (label, colour, values) in enumerate(series):
        places = [place + number * height for place in range(len(figures))]
        bars = axes.barh(places, [value or 0.0 for value in values], height, label=label)
        for bar in bars:
            bar.set_color(colour)
        axes.bar_label(bars, ["" if v is None else f" {v:.4g}" for v in values], fontsize=8)
    middle = height * (len(series) - 1) / 2
    labels = [f"{item.name} (missed)" if item.met is False else item.name for item in figures]
    axes.set_yticks([place + middle for place in range(len(figures))], labels)
    axes.invert_yaxis()
    axes.margins(x=0.12)
    axes.set_xlabel(plot.unit)
    axes.set_title(plot.title)
    axes.legend(fontsize=8)
    return render_svg(drawing)


def render_svg(drawing: Drawing) -> str:
    """Return a drawing as an SVG element, without the XML prolog that HTML does not allow."""
    target = io.StringIO()
    # Fixed ids keep the pages of two runs comparable line by line.
    with matplotlib.rc_context({"svg.hashsalt": "bench"}):
        drawing.savefig(target, format="svg", metadata={"Date": None})
    text = target.getvalue()
    return text[text.index("<svg") :]
