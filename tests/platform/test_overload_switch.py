"""Tests of the setting that orders jobs by what their delay costs."""

import unittest

import msgspec

from adapter.settings import NodeSettings, SettingsError, decide_overload_order

SETTINGS = {
    "node": "frontend-1",
    "ip": "10.1.0.30",
    "zone": "quito-1",
    "listen": {"front": "10.1.0.30:80", "ready": "10.1.0.30:81"},
    "platform": {"address": "10.1.0.9:80"},
    "internalPortRange": [7380, 7395],
}


class OverloadSwitchTest(unittest.TestCase):
    """When the order is in force."""

    def test_it_is_on_where_the_operator_calls_for_it(self) -> None:
        """Fails if a deployment gets the order unasked, or not although it is asked for."""
        rows = (
            (["base", "sched"], "", False),
            (["base", "pressure"], "", False),
            (["base", "pressure"], "auto", True),
            (["base"], "auto", False),
            (["base"], "on", True),
            (["base", "pressure"], "off", False),
        )
        for contracts, word, expected in rows:
            with self.subTest(contracts=contracts, word=word):
                settings = msgspec.convert({**SETTINGS, "contracts": contracts}, NodeSettings)
                environment = {"LAVENDERSTALL_OVERLOAD_ORDER": word} if word else {}
                self.assertIs(decide_overload_order(settings, environment), expected)

    def test_other_words_are_refused(self) -> None:
        """Fails if a misspelt word silently leaves the order as it is."""
        settings = msgspec.convert(SETTINGS, NodeSettings)
        for word in ("yes", "ON", "1" * 10_000):
            with self.subTest(word=word[:5]), self.assertRaises(SettingsError) as caught:
                decide_overload_order(settings, {"LAVENDERSTALL_OVERLOAD_ORDER": word})
            self.assertIn("on, off, auto", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
