"""Tests of the writes that liveness rows cost a fleet."""

import unittest
from collections import Counter

from twisted.internet.task import Clock

from bench.store_writes import UNBOUNDED, Writer
from lavenderstall.ownership import LIVENESS_WRITES_PER_SECOND
from standins.table import Table


class LivenessTest(unittest.TestCase):
    """Guards against a fleet that renews all its rows in the same second."""

    def test_spread_after_common_start(self) -> None:
        """Entry instances that start together must share the seconds of their interval."""
        for entries in (9, 41, 74, 150):
            with self.subTest(entries=entries):
                clock = Clock()
                table = Table(clock, UNBOUNDED, UNBOUNDED)
                writers = [Writer(n, table, clock, 0.5) for n in range(entries)]
                for _ in range(300):
                    clock.advance(0.1)
                late = Counter(int(at) for at in table.write_times if at > 10)
                bound = (
                    LIVENESS_WRITES_PER_SECOND if entries > LIVENESS_WRITES_PER_SECOND else entries
                )
                self.assertLessEqual(max(late.values()), 1.25 * bound)
                self.assertEqual(len(writers[0].ownership.peers), entries)
