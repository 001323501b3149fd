"""Tests of the advice on a step."""

import unittest

from lavenderstall.pools.effects import Advice
from lavenderstall.pools.step_advice import StepAdvice


class StepAdviceTest(unittest.TestCase):
    """Workers that an answer allows or denies."""

    def test_an_allowed_worker_without_a_ticket_is_neither_used_nor_denied(self) -> None:
        """Fails if a start is sent without a ticket, or the worker is never asked about again."""
        advice = StepAdvice()
        advice.note_advice(Advice((("w1", "t"), ("w2", "")), 1000.0), ("w1", "w2", "w3"), 5.0)
        tickets = [advice.get_ticket(name, 5.0) for name in ("w1", "w2", "w3")]
        self.assertEqual(tickets, ["t", None, None])
        self.assertEqual(advice.denied, {"w3"})


if __name__ == "__main__":
    unittest.main()
