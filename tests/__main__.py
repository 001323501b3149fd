"""Runs all tests except those in KNOWN-RED.txt and prints the counts on the last line."""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path: Path) -> frozenset[str]:
    """Return the ids of tests that are listed as known to fail."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.split(maxsplit=1)[1].strip() for line in lines if line.startswith("test: ")
    )


def list_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the single test cases of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from list_cases(item)
        else:
            yield item


def main() -> int:
    """Run the tests and return the exit status."""
    known_red = read_known_red(KNOWN_RED)
    found = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    cases = list(list_cases(found))
    for name in sorted(known_red):
        print(f"not run, listed in KNOWN-RED.txt: {name}")
    missing = known_red - {case.id() for case in cases}
    chosen = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(chosen)
    failed = len({str(case) for case, _ in result.failures + result.errors})
    failed += len(result.unexpectedSuccesses) + len(missing)
    for name in sorted(missing):
        print(f"KNOWN-RED.txt names a test that does not exist: {name}")
    sys.stderr.flush()
    print(f"{max(result.testsRun - failed, 0)} passed, {failed} failed", flush=True)
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
