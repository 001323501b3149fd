"""Tests of the text format of metrics."""

import re
import unittest

from lavenderstall.metrics import Metrics

LINE = re.compile(r"[a-zA-Z_][a-zA-Z0-9_]*(\{[a-z]+=\"[^\"]*\"\})? [0-9.e+-]+")


class PageTest(unittest.TestCase):
    """Guards against lines that a collector rejects; it may then drop all metrics."""

    def test_names(self) -> None:
        metrics = Metrics()
        metrics.count("jobs_refused_no.room")
        metrics.record("call_donor-desk", 0.25)
        metrics.register_gauge("depth-1", lambda: 3)
        lines = metrics.render_page().splitlines()
        self.assertEqual([line for line in lines if not LINE.fullmatch(line)], [])
        self.assertIn("lavenderstall_call_donor_desk_seconds_count 1", lines)


if __name__ == "__main__":
    unittest.main()
