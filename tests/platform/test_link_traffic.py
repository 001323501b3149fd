"""Tests of what the links between instances cost, by their number."""

import unittest

from tests.platform.link_traffic import list_traffic_of_others, record_traffic, start_cell

SIZES = (14, 24)
# What the supervision of links may send a second, at any number of instances.
MAX_BYTES = 400.0
MAX_ENVELOPES = 5.0


class TrafficTest(unittest.TestCase):
    """Traffic of instances that own no pool."""

    def test_supervision_costs_the_same_at_any_size(self) -> None:
        """Fails if the links of a large cell are probed more often than those of a small one."""
        for size in SIZES:
            with self.subTest(size=size):
                cell = start_cell(size)
                for found in list_traffic_of_others(cell, record_traffic(cell)):
                    self.assertGreater(found.supervision_envelopes, 0)
                    self.assertLess(found.supervision_envelopes, MAX_ENVELOPES)
                    self.assertLess(found.supervision_bytes, MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
