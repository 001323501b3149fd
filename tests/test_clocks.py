"""Tests of periodic work."""

import unittest

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from lavenderstall.clocks import make_loop


class LoopTest(unittest.TestCase):
    """Steps of periodic work that fail."""

    def test_failed_step_does_not_end_the_loop(self) -> None:
        """Fails if one unexpected error ends periodic work for good, or leaves no trace."""

        def raise_at_once() -> None:
            raise RecursionError("too deep")

        for name, step in (
            ("at once", raise_at_once),
            ("later", lambda: fail(RecursionError("too deep"))),
        ):
            with self.subTest(name=name), self.assertLogs("lavenderstall.clocks") as logs:
                clock = Clock()
                loop = make_loop(clock, step)
                loop.start(1.0, now=True)
                clock.pump([1.0] * 3)
                self.assertTrue(loop.running)
                self.assertEqual(len(logs.output), 4)
                self.assertIn("too deep", logs.output[0])
                loop.stop()

    def test_step_that_lasts_delays_the_next(self) -> None:
        """Fails if two steps run at a time."""
        clock, steps = Clock(), []

        def start_step() -> Deferred[None]:
            steps.append(Deferred())
            return steps[-1]

        loop = make_loop(clock, start_step)
        loop.start(1.0, now=True)
        clock.pump([1.0] * 3)
        self.assertEqual(len(steps), 1)
        steps[0].callback(None)
        clock.advance(1.0)
        self.assertEqual(len(steps), 2)
        loop.stop()


if __name__ == "__main__":
    unittest.main()
