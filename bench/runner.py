"""Runs benches one after another and notes which fail or yield too little."""

import sys
import traceback
from collections.abc import Callable, Iterable, Iterator
from importlib import import_module
from pathlib import Path

import msgspec

from bench.figures import Figure
from bench.modules import BenchModule


class BenchRun:
    """One run of some benches; `faults` tells what failed or was missing."""

    def __init__(self, seed: int, previous: dict[str, float] | None = None) -> None:
        self.seed = seed
        self.previous = previous
        self.faults: list[str] = []

    def run(self, benches: Iterable[tuple[str, BenchModule]]) -> Iterator[Figure]:
        """Yield the figures of all benches; a failing one does not end the run."""
        for name, module in benches:
            found: set[str] = set()
            try:
                for figure in import_module(module.path).run(self.seed):
                    found.add(figure.name)
                    yield self.compare(figure)
            except Exception as error:
                traceback.print_exc(file=sys.stderr)
                self.faults.append(f"bench {name} failed: {error!r}")
            missing = [wanted for wanted in module.required if wanted not in found]
            if missing:
                self.faults.append(f"bench {name} did not yield {', '.join(missing)}")

    def compare(self, figure: Figure) -> Figure:
        """Return the figure with that of the earlier run, if one was given."""
        if self.previous is None:
            return figure
        earlier = self.previous.get(figure.name)
        return msgspec.structs.replace(figure, previous=earlier)


def read_previous(path: Path) -> dict[str, float]:
    """Return the values by name from the JSON lines of an earlier run."""
    decoder = msgspec.json.Decoder(Figure)
    lines = path.read_text(encoding="utf-8").splitlines()
    figures = [decoder.decode(line) for line in lines if line.strip()]
    return {figure.name: figure.value for figure in figures}


def print_figures(
    figures: Iterable[Figure], write: Callable[[str], object] = print
) -> list[Figure]:
    """Print each figure as a JSON line as soon as it is there; return all."""
    printed = []
    for figure in figures:
        write(msgspec.json.encode(figure).decode())
        printed.append(figure)
    return printed
