"""Tests of the programs' timers."""

import time
import unittest
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from twisted.internet.base import ReactorBase

from adapter import process
from lavenderstall import daemon

# The time of day is set back or ahead by this much, and a timer lasts half of it.
STEP_S = 60.0
TIMER_S = STEP_S / 2


class ProgramStartedError(Exception):
    """A program has set its reactor up."""


class TimersTest(unittest.TestCase):
    """Timers of the programs while the time of day changes."""

    def start(self, program: Any, maker: str, reader: str) -> Any:
        """Start a program, and return its reactor in place of running it."""
        reactors: list[Any] = []

        def make(_: Any, reactor: Any) -> None:
            reactors.append(reactor)
            raise ProgramStartedError

        with ExitStack() as stack:
            stack.enter_context(patch.object(program, maker, make))
            stack.enter_context(patch.object(program, reader))
            stack.enter_context(patch.object(program, "configure_logs"))
            stack.enter_context(self.assertRaises(ProgramStartedError))
            program.main()
        (reactor,) = reactors
        self.addCleanup(vars(reactor).pop, "seconds", None)
        return reactor

    def test_timers_do_not_follow_the_time_of_day(self) -> None:
        """Fails if timers wait for as long as the time of day is set back, or end early."""
        for program, maker, reader in (
            (process, "make_instance", "read_node_settings"),
            (daemon, "make_entry", "parse_options"),
        ):
            reactor = self.start(program, maker, reader)
            for step_s in (-STEP_S, STEP_S):
                with self.subTest(program=program.__name__, step_s=step_s):
                    timer = reactor.callLater(TIMER_S, lambda: None)
                    self.addCleanup(timer.cancel)
                    stepped = staticmethod(lambda step_s=step_s: time.time() + step_s)
                    with patch.object(ReactorBase, "seconds", stepped):
                        left_s = timer.getTime() - reactor.seconds()
                    self.assertAlmostEqual(left_s, TIMER_S, delta=TIMER_S / 2)


if __name__ == "__main__":
    unittest.main()
