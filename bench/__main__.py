"""Runs benches, prints one JSON object a line, and writes a report if asked to."""

import argparse
import sys
from functools import partial
from pathlib import Path

from bench.figures import SEED
from bench.modules import BENCHES
from bench.runner import BenchRun, print_figures, read_previous


def main() -> int:
    """Run all benches or one; return 1 if one fails or misses a required figure."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("--only", action="append", choices=list(BENCHES), metavar="NAME")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--previous", type=Path, metavar="FILE", help="JSON lines to compare with")
    parser.add_argument("--report", type=Path, metavar="FILE", help="write an HTML page as well")
    options = parser.parse_args()
    previous = read_previous(options.previous) if options.previous else None
    chosen = [(name, BENCHES[name]) for name in options.only or BENCHES]
    run = BenchRun(options.seed, previous)
    figures = print_figures(run.run(chosen), partial(print, flush=True))
    if options.report:
        # matplotlib takes a second to load, which a plain run does not need.
        from bench.report import write_report  # noqa: PLC0415

        write_report(options.report, figures, run.faults)
    for fault in run.faults:
        print(fault, file=sys.stderr)
    return 1 if run.faults else 0


if __name__ == "__main__":
    sys.exit(main())
