"""Tests of the command that checks a configuration."""

import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from adapter.check import Status, main

ROOT = Path(__file__).resolve().parents[2]
ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s", "targetDurationMs": 500}
SERVICE = {"name": "s"}
TEAM = {"name": "water", "apiKeys": ["secret-1", "secret-2"], "maxCount": {"cpu": 4000}}
SOUND = {"version": 7, "routes": [ROUTE], "services": [SERVICE], "tenants": [TEAM]}


class CheckTest(unittest.TestCase):
    """Findings, differences and exit statuses."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, value: Any) -> str:
        """Write a file, of JSON unless the value is bytes, and return its path."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        path = self.folder / name
        path.write_bytes(data)
        return str(path)

    def check(self, new: Any, current: Any = None, *options: str) -> tuple[Status, str]:
        """Check a configuration, and return the exit status and what was printed."""
        arguments = [self.write("new.json", new), *options]
        if current is not None:
            arguments += ["--current", self.write("current.json", current)]
        out = io.StringIO()
        with self.assertNoLogs("lavenderstall", "INFO"):
            status = main(arguments, out)
        self.assertNotIn("secret", out.getvalue())
        return status, out.getvalue().replace(str(self.folder), "DIR")

    def test_findings(self) -> None:
        """Fails if a fault isn't named, shows a key, or gives the wrong exit status."""
        rows: tuple[tuple[str, Any, Status, list[str]], ...] = (
            ("sound", SOUND, Status.OK, []),
            (
                "no JSON",
                json.dumps(SOUND).encode()[:-1],
                Status.ERRORS,
                ["error: file/DIR/new.json: Input data was truncated"],
            ),
            (
                "no version",
                {"tenants": [TEAM]},
                Status.ERRORS,
                [
                    "error: file/DIR/new.json: Object missing required field `version`",
                ],
            ),
            (
                "odd route",
                SOUND | {"routes": [ROUTE, {**ROUTE, "name": "r", "priority": -1}]},
                Status.ERRORS,
                ["error: routes/r: not in force: Expected `int` >= 0 - at `$.priority`"],
            ),
            (
                "team among the routes",
                SOUND | {"routes": [ROUTE, TEAM]},
                Status.ERRORS,
                ["error: routes/water: not in force: Object missing required field `host`"],
            ),
            (
                "keys among the services",
                SOUND | {"services": [SERVICE, "secret"]},
                Status.ERRORS,
                ["error: services/8 bytes: not in force: Expected `object`, got `str`"],
            ),
            (
                "weight 0",
                SOUND | {"tenants": [TEAM | {"weight": 0}]},
                Status.ERRORS,
                ["error: tenants/water: weight: not in force: Expected `float` >= 1e-06"],
            ),
            (
                "key twice",
                SOUND | {"tenants": [TEAM, {"name": "roads", "apiKeys": ["secret-1"]}]},
                Status.ERRORS,
                [
                    "error: tenants/roads: key 0: not in force: it is a key of team water too",
                    "warning: team/roads: it has no key, so no call is its own",
                ],
            ),
            (
                "prefixes",
                SOUND
                | {
                    "routes": [
                        ROUTE,
                        *(
                            ROUTE | {"name": rest, "prefix": f"/q/{rest}"}
                            for rest in ("0f", "x", "0f/", "0" * 17)
                        ),
                    ]
                },
                Status.WARNINGS,
                ["warning: queue/q: calls of jobs whose IDs begin with 0f go to queue 0f"],
            ),
            (
                "attempts",
                SOUND | {"routes": [ROUTE | {"maxAttempts": 0}]},
                Status.WARNINGS,
                ["warning: queue/q: max_attempts is 0, which acts as 1"],
            ),
        )
        for name, value, status, lines in rows:
            with self.subTest(name=name):
                found, text = self.check(value)
                self.assertEqual((found, text.splitlines()), (status, lines))

    def test_a_file_that_is_not_there(self) -> None:
        """Fails if a missing file ends in a traceback, or counts as a sound one."""
        new = self.write("new.json", SOUND)
        for arguments in (["nowhere"], [new, "--current", "nowhere"]):
            with self.subTest(arguments=arguments):
                out = io.StringIO()
                self.assertEqual(main(arguments, out), Status.ERRORS)
                self.assertIn("error: file/nowhere: No such file or directory\n", out.getvalue())

    def test_differences(self) -> None:
        """Fails if a change isn't shown, or shows a key."""
        team = TEAM | {"apiKeys": ["secret-2", "secret-3"], "maxCount": {"cpu": 8000}}
        new = SOUND | {"version": 9, "routes": [ROUTE | {"priority": 1}], "tenants": [team]}
        status, text = self.check(new, SOUND)
        self.assertEqual(status, Status.OK)
        self.assertEqual(
            text,
            "~ queue/q\n    priority: 0 -> 1\n"
            "~ team/water\n    quota.cores_milli: 4000 -> 8000\n"
            "    keys: 2 -> 2 (1 new, 1 removed)\n",
        )
        self.assertEqual(
            self.check(SOUND, SOUND | {"version": 8}),
            (
                Status.ERRORS,
                "error: configuration/version: version 7 never applies after version 8\n",
            ),
        )

    def test_a_configuration_without_teams(self) -> None:
        """Fails if the operator isn't told that nobody will be let in."""
        value = {name: field for name, field in SOUND.items() if name != "tenants"}
        self.assertEqual(self.check(value), (Status.OK, ""))
        status, text = self.check(value, None, "--requires-keys")
        self.assertEqual(status, Status.WARNINGS)
        self.assertIn("queue/q: no call can be let in", text)

    def test_the_program(self) -> None:
        """Fails if the entry point doesn't start, or loses the exit status."""
        path = self.write("new.json", SOUND | {"routes": [ROUTE | {"maxAttempts": 0}]})
        command = [sys.executable, str(ROOT / "platform" / "check.py"), path]
        done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
        self.assertEqual((done.returncode, done.stderr), (1, ""))
        self.assertIn("max_attempts", done.stdout)


if __name__ == "__main__":
    unittest.main()
