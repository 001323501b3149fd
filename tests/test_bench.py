"""Tests of what a run of benches notices, with made-up modules."""

import sys
import tempfile
import unittest
from collections.abc import Callable, Iterator
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from types import ModuleType
from unittest import mock

import msgspec

from bench.__main__ import main
from bench.bounds import count_late, find_least_p99
from bench.events import Arrival
from bench.figures import Figure, make_figure
from bench.modules import BENCHES, BenchModule, get_bench
from bench.report import make_page
from bench.runner import BenchRun, read_previous
from lavenderstall.identifiers import JobId, TaskId, TeamName
from lavenderstall.protocol import Kind
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import Resources

Bench = Callable[[int], Iterator[Figure]]
FIELDS = ("name", "value", "unit", "baseline", "ratio", "seed", "target", "met")


def run_good(seed: int) -> Iterator[Figure]:
    """Yield a figure whose target is missed, and another."""
    yield make_figure("slow_rate", 3.0, "1/s", seed, baseline=6.0, target="at least 5", met=False)
    yield make_figure("size", 2.0, "MB", seed)


def run_failing(seed: int) -> Iterator[Figure]:
    """Fail after the first figure."""
    yield make_figure("first", 1.0, "s", seed)
    raise RuntimeError("no fleet")


def make_module(name: str, run: Bench) -> ModuleType:
    """Return a module that defines `run`."""
    module = ModuleType(name)
    module.run = run  # type: ignore[attr-defined]
    return module


class BenchRunTest(unittest.TestCase):
    """Guards against a run that looks complete although a figure was never measured."""

    def setUp(self) -> None:
        modules = {"made_up_good": run_good, "made_up_failing": run_failing}
        loaded = {name: make_module(name, run) for name, run in modules.items()}
        patch = mock.patch.dict(sys.modules, loaded)
        patch.start()
        self.addCleanup(patch.stop)

    def run_main(self, benches: dict[str, BenchModule], *arguments: str) -> tuple[int, str, str]:
        """Return the exit status, the output and the errors of a run."""
        out, errors = StringIO(), StringIO()
        with (
            mock.patch("bench.__main__.BENCHES", benches),
            mock.patch.object(sys, "argv", ["bench", *arguments]),
            redirect_stdout(out),
            redirect_stderr(errors),
        ):
            status = main()
        return status, out.getvalue(), errors.getvalue()

    def test_missed_target_is_no_failure(self) -> None:
        """A missed target is a reported figure, so the run must still succeed."""
        good = BenchModule("made_up_good", ("slow_rate", "size"))
        status, out, errors = self.run_main({"good": good}, "--seed", "7")
        self.assertEqual((status, errors), (0, ""))
        rows = [msgspec.json.decode(line) for line in out.splitlines()]
        self.assertEqual([row["name"] for row in rows], ["slow_rate", "size"])
        for row in rows:
            self.assertEqual(tuple(row), FIELDS)
            self.assertEqual(row["seed"], 7)
        self.assertEqual((rows[0]["met"], rows[0]["ratio"]), (False, 0.5))

    def test_missing_name(self) -> None:
        """A required figure that is not yielded must fail the run and be named."""
        good = BenchModule("made_up_good", ("size", "speed", "slow_rate", "reach"))
        status, out, errors = self.run_main({"good": good})
        self.assertEqual(status, 1)
        self.assertEqual(errors, "bench good did not yield speed, reach\n")
        self.assertEqual(len(out.splitlines()), 2)

    def test_failing_module(self) -> None:
        """A bench that raises must fail the run, and the ones after it must still run."""
        benches = {
            "failing": BenchModule("made_up_failing", ("first", "second")),
            "absent": BenchModule("made_up_absent", ()),
            "good": BenchModule("made_up_good", ("size",)),
        }
        status, out, errors = self.run_main(benches)
        self.assertEqual(status, 1)
        self.assertIn("bench failing failed: RuntimeError('no fleet')", errors)
        self.assertIn("bench failing did not yield second", errors)
        self.assertIn("bench absent failed: ModuleNotFoundError", errors)
        names = [msgspec.json.decode(line)["name"] for line in out.splitlines()]
        self.assertEqual(names, ["first", "slow_rate", "size"])

    def test_only(self) -> None:
        """A run of one bench must not run, or ask for figures of, another."""
        benches = {
            "failing": BenchModule("made_up_failing", ("first",)),
            "good": BenchModule("made_up_good", ("size",)),
        }
        status, out, _ = self.run_main(benches, "--only", "good")
        self.assertEqual((status, len(out.splitlines())), (0, 2))
        with self.assertRaises(SystemExit) as caught:
            self.run_main(benches, "--only", "unknown")
        self.assertNotEqual(caught.exception.code, 0)

    def test_previous(self) -> None:
        """Each figure must be compared with the one of its own name, or with none."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "earlier.jsonl"
            earlier = make_figure("size", 4.0, "MB", 7)
            path.write_text(msgspec.json.encode(earlier).decode() + "\n\n", encoding="utf-8")
            run = BenchRun(7, read_previous(path))
        figures = list(run.run([("good", BenchModule("made_up_good", ()))]))
        found = {figure.name: figure.previous for figure in figures}
        self.assertEqual(found, {"slow_rate": None, "size": 4.0})

    def test_report(self) -> None:
        """The page must mark missed targets, show faults, and escape what it is given."""
        rows = [make_figure("a<b", 1.0, "s", 7, target="at most 2", met=True), *run_good(7)]
        page = make_page(rows, ["bench x failed: <lost>"])
        self.assertIn("1 of 2 targets are met", page)
        self.assertEqual(page.count('<tr class="missed">'), 1)
        self.assertIn("bench x failed: &lt;lost&gt;", page)
        self.assertNotIn("a<b", page)

    def test_report_plots(self) -> None:
        """Each plot must be part of the page, since it is to be read without other files."""
        rows = [make_figure("decide_rate_28", 30.0, "1/s", 7, baseline=60.0)]
        page = make_page(rows, [])
        self.assertEqual(page.count("<svg"), 1)
        self.assertNotIn("<?xml", page)
        self.assertIn("</svg>", page)


class BoundTest(unittest.TestCase):
    """Guards against a bound that is too high and would excuse a missed target."""

    def make_gangs(self, count: int, tasks: int, run_s: float) -> list[Arrival]:
        """Return gangs that all arrive at 10 s."""
        need = Resources(1000, 1024, 1)
        names = [[TaskId(f"g{n}.{index}") for index in range(tasks)] for n in range(count)]
        team = TeamName("t")
        return [
            Arrival(10.0, TaskRequest(tuple(ids), JobId(ids[0]), team, Kind.GANG, need), run_s)
            for ids in names
        ]

    def test_gangs_that_fit_together(self) -> None:
        self.assertEqual(count_late(self.make_gangs(4, 16, 30.0), 64, 0.0, 100.0), 0)

    def test_count_of_late_gangs(self) -> None:
        """Of gangs that overfill all accelerators, those beyond them are late, and no more."""
        gangs = self.make_gangs(6, 16, 30.0)
        for wait, late in ((5.0, 2), (25.0, 2), (30.0, 0), (31.0, 0)):
            with self.subTest(wait=wait):
                self.assertEqual(count_late(gangs, 64, wait, 100.0), late)

    def test_least_p99(self) -> None:
        """The bound must stay below the p99 of a run in which two gangs wait for 8 s."""
        bound = find_least_p99(self.make_gangs(6, 16, 8.0), 64, 100.0)
        self.assertLessEqual(bound, 8.0)
        self.assertGreater(bound, 5.0)


class BenchModulesTest(unittest.TestCase):
    """Guards against a name in the mapping without a bench behind it."""

    def test_all_import(self) -> None:
        for name in BENCHES:
            with self.subTest(bench=name):
                self.assertTrue(callable(get_bench(name)))
