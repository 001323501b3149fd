"""Runs benches and prints one JSON object a line."""

import argparse
import sys

import msgspec

from bench import BENCHES, get_bench
from bench.figures import SEED


def main() -> int:
    """Run the benches named on the command line, or all."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help=f"one of {', '.join(BENCHES)}")
    parser.add_argument("--seed", type=int, default=SEED)
    options = parser.parse_args()
    unknown = set(options.names) - set(BENCHES)
    if unknown:
        parser.error(f"no bench {', '.join(sorted(unknown))}; known are {', '.join(BENCHES)}")
    for name in options.names or BENCHES:
        for figure in get_bench(name)(options.seed):
            print(msgspec.json.encode(figure).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
