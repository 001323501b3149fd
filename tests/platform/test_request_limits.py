"""Tests of limits on requests in the configuration and in the settings file."""

import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from adapter.settings import SettingsError, read_node_settings
from adapter.wire import PlatformSettingsDecoder
from lavenderstall.connection_limits import PortLimits, RequestLimitOverrides, RequestLimits
from lavenderstall.metrics import Metrics
from lavenderstall.pools.unreadable_rows import UnreadableRows
from tests.platform.loopback_platform import FRONT_PORT, READY_PORT, SETTINGS

FULL = {
    "maxBodyBytes": 262144,
    "maxHeaderBytes": 16384,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
DERIVED = PortLimits(connections=100, held_bytes=1000, requests=20)


class ConfigurationTest(unittest.TestCase):
    """Limits that the operator's configuration sets."""

    def test_limits(self) -> None:
        """Fails if a limit is lost, or one that can't be read costs the configuration."""
        before = RequestLimitOverrides(head_bytes=5)
        rows: tuple[tuple[Any, RequestLimitOverrides], ...] = (
            (FULL, RequestLimitOverrides(262144, 16384, 3.0, 15.0)),
            ({"maxBodyBytes": 9, "other": []}, RequestLimitOverrides(body_bytes=9)),
            ({}, RequestLimitOverrides()),
            ({"maxBodyBytes": -1}, before),
            ({"maxBodyBytes": "many"}, before),
            ([], before),
        )
        decoder = PlatformSettingsDecoder(UnreadableRows(Metrics()))
        known = decoder.decode(b'{"version":1,"limits":{"maxHeaderBytes":5}}')
        for limits, expected in rows:
            with self.subTest(limits=limits):
                value = json.dumps({"version": 2, "limits": limits}).encode()
                found = decoder.decode(value, known)
                self.assertEqual((found.version, found.request_limits), (2, expected))


class SettingsTest(unittest.TestCase):
    """Limits that the settings file sets."""

    def read(self, lines: str) -> Any:
        """Return the settings in a file with a table of limits on connections."""
        limits = {"memory_mb": 96, "descriptors": 400}
        text = SETTINGS.format(ip="h", front=FRONT_PORT, ready=READY_PORT, store="h:1", **limits)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(f"{text}[connections]\n{lines}", encoding="utf-8")
            return read_node_settings(str(path))

    def test_limits(self) -> None:
        """Fails if a setting has no effect, or one that is not there has."""
        rows = (
            ("", DERIVED, RequestLimits()),
            ("maxConnections = 7", PortLimits(7, 1000, 20), RequestLimits()),
            ("maxHeldMb = 0.5", PortLimits(100, 524288, 20), RequestLimits()),
            ("maxRequests = 3", PortLimits(100, 1000, 3), RequestLimits()),
            ("maxHeadFields = 9", DERIVED, RequestLimits(head_fields=9)),
            ("bodyTimeoutMs = 500", DERIVED, RequestLimits(body_timeout_s=0.5)),
        )
        for line, port_limits, request_limits in rows:
            with self.subTest(line=line):
                connections = self.read(line).connections
                self.assertEqual(connections.override(DERIVED), port_limits)
                self.assertEqual(connections.make_request_limits(), request_limits)

    def test_invalid_limits(self) -> None:
        """Fails if an invalid limit is not named at the start."""
        for line in ("maxConnections = -1", "maxHeadFields = 0", 'maxHeldMb = "x"'):
            with self.subTest(line=line), self.assertRaises(SettingsError) as caught:
                self.read(line)
            self.assertIn(line.partition(" ")[0], str(caught.exception))


if __name__ == "__main__":
    unittest.main()
