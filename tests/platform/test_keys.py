"""Tests of calls with keys in whole cells, and of keys that are taken away or added."""

import json
import logging
import unittest
from base64 import b64encode
from collections.abc import Callable
from itertools import product
from typing import Any

from adapter.http_api import JobsResource, make_site
from tests.callers import CallerConnection
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_configuration import (
    cut_from_store,
    cut_off,
    freeze,
    lose_own_feeds_and_reads,
    turn_away,
)

FIRST, SECOND = POOLS
NODE = "entry-1"
# As the platform prescribes for a large cell.
APPLY_S = 3.0
REVOKE_S = 5.0
SETTLED_S = 3.0
CALL_S = 0.25
FIRST_KEY, SECOND_KEY, NEW_KEY = "secret-first", "secret-second", "secret-new"
TEAMS = (
    {"name": "water", "apiKeys": [FIRST_KEY]},
    {"name": "roads", "apiKeys": [SECOND_KEY]},
)
ROADS_ALONE = TEAMS[1:]
WITH_NEW_KEY = ({"name": "water", "apiKeys": [FIRST_KEY, NEW_KEY]}, TEAMS[1])
BODY = json.dumps({"spec": "x", "steps": [{"count": 1, "estimatedDurationMs": 50}]})


def start_cell(**fields: Any) -> SimulatedCell:
    """Return a settled cell with two teams."""
    values: dict[str, Any] = {"teams": TEAMS, "revocation_s": REVOKE_S}
    cell = SimulatedCell(3, 4, advice=False, **(values | fields))
    assert cell.run_until(lambda: all(map(cell.find_owner, POOLS)), 4.0)
    cell.run(1.5)
    return cell


def put_teams(cell: SimulatedCell, version: int, teams: Any) -> None:
    """Store a version with other teams."""
    cell.teams = teams
    cell.put_settings(version, advice=False)


class Caller:
    """A caller of one instance, whose jobs have IDs of their own."""

    def __init__(self, cell: SimulatedCell, name: str = NODE) -> None:
        self.cell = cell
        self._name = name
        self._calls = 0

    def send(
        self, key: str | bytes | None, method: str = "POST", path: str = ""
    ) -> Callable[[], int]:
        """Send a call with a key; return a function for its status, 0 without an answer."""
        self._calls += 1
        head = f"{method} {path or f'/{FIRST}/{self._calls:016x}'} HTTP/1.1\r\nHost: h\r\n".encode()
        if key is not None:
            data = key if isinstance(key, bytes) else f"Bearer {key}".encode()
            head += b"Authorization: " + data + b"\r\n"
        site = make_site(JobsResource(self.cell.nodes[self._name].instance))
        connection = CallerConnection(site, self.cell.clock, reading=True)
        connection.send(head + f"Content-Length: {len(BODY)}\r\n\r\n{BODY}".encode())
        return lambda: int(connection.read().partition(" ")[2][:3] or 0)

    def ask(self, key: str | bytes | None, method: str = "POST", path: str = "") -> int:
        """Return the status of a call with a key."""
        get_status = self.send(key, method, path)
        self.cell.run_until(get_status, 2.0)
        return get_status()


class StatusTest(unittest.TestCase):
    """Answers to calls of an instance that has the newest configuration."""

    def test_calls_need_a_known_key(self) -> None:
        """Fails if a call without a known key runs, or isn't refused with 401."""
        rows: tuple[tuple[str | bytes | None, int], ...] = (
            (FIRST_KEY, 200),
            (SECOND_KEY, 200),
            (None, 401),
            ("", 401),
            (FIRST_KEY.upper(), 401),
            (FIRST_KEY[:-1], 401),
            (FIRST_KEY.encode(), 401),
            (b"Basic " + FIRST_KEY.encode(), 401),
            ("schl\u00fcssel", 401),
            (b"Bearer \xff\xfe", 401),
            ("k" * 10_000, 401),
        )
        cell = start_cell()
        caller = Caller(cell)
        for key, status in rows:
            with self.subTest(key=(key or "")[:20]), self.assertNoLogs("adapter", "ERROR"):
                self.assertEqual(caller.ask(key), status)
        metrics = cell.nodes[NODE].instance.metrics
        self.assertEqual(metrics.counters["calls_refused_unknown_key"], len(rows) - 2)
        self.assertEqual(metrics.counters["calls_refused_keys_out_of_date"], 0)
        for line in ("settings_teams 2", "settings_keys 2"):
            self.assertIn(f"lavenderstall_{line}\n", metrics.render_page())

    def test_each_method_needs_a_key(self) -> None:
        """Fails if a job can be seen, cancelled or counted without a key."""
        cell = start_cell()
        caller, job = Caller(cell), f"/{FIRST}/{7:016x}"
        self.assertEqual(caller.ask(FIRST_KEY, "POST", job), 200)
        for method, path in (("GET", job), ("DELETE", job), ("GET", f"/{FIRST}/"), ("PUT", job)):
            with self.subTest(method=method, path=path):
                self.assertEqual(caller.ask(None, method, path), 401)
                self.assertEqual(caller.ask("other", method, path), 401)
                self.assertNotEqual(caller.ask(FIRST_KEY, method, path), 401)
        self.assertEqual(caller.ask(None, "GET", "/nowhere/"), 404)

    def test_a_key_beyond_ascii_is_known(self) -> None:
        """Fails if a key of a configuration can't be sent."""
        key = "schl\u00fcssel-\u043a\u043b\u044e\u0447"
        caller = Caller(start_cell(teams=({"name": "water", "apiKeys": [key]},)))
        self.assertEqual(caller.ask(key), 200)

    def test_no_key_is_needed_where_there_are_no_teams(self) -> None:
        """Fails if an earlier deployment refuses its callers."""
        caller = Caller(start_cell(teams=None, revocation_s=None))
        for key in (None, FIRST_KEY, b"\xff"):
            with self.subTest(key=key):
                self.assertEqual(caller.ask(key), 200)

    def test_nobody_is_let_in_once_a_version_has_no_teams_any_more(self) -> None:
        """Fails if a deployment that needs keys is open to all after the last team is removed."""
        for teams in (None, ()):
            with self.subTest(teams=teams):
                cell = start_cell()
                put_teams(cell, 2, teams)
                cell.run(APPLY_S)
                cell.kill(NODE)
                cell.start(NODE)
                cell.run(2.0)
                for name, key in product(cell.nodes, (None, FIRST_KEY)):
                    self.assertEqual(Caller(cell, name).ask(key), 401)


class RevocationTest(unittest.TestCase):
    """A key is taken away while an instance is out of touch."""

    FAULTS: tuple[Callable[[SimulatedCell], None], ...] = (
        cut_off,
        cut_from_store,
        turn_away,
        lose_own_feeds_and_reads,
        freeze,
    )

    def play(self, cell: SimulatedCell, key: str, seconds: float) -> list[tuple[float, int]]:
        """Call one instance throughout; return when each call was sent, and its status."""
        caller = Caller(cell)
        calls = []
        for _ in range(round(seconds / CALL_S)):
            calls.append((cell.clock.seconds(), caller.send(key)))
            cell.run(CALL_S)
        return [(sent_at, get_status()) for sent_at, get_status in calls]

    def test_a_key_that_was_taken_away_works_no_longer_than_allowed(self) -> None:
        """Fails if an instance that can't know of the change lets a call in beyond the bound."""
        for inject, wait_s in product(self.FAULTS, (0.0, 0.5, 1.0, 4.0)):
            with self.subTest(inject=inject.__name__, wait_s=wait_s):
                cell = start_cell()
                self.assertEqual(Caller(cell).ask(FIRST_KEY), 200)
                inject(cell)
                cell.run(wait_s)
                put_teams(cell, 2, ROADS_ALONE)
                stored_at = cell.clock.seconds()
                found = self.play(cell, FIRST_KEY, REVOKE_S + 3.0)
                late = [status for sent_at, status in found if sent_at > stored_at + REVOKE_S]
                self.assertTrue(late)
                self.assertLessEqual(set(late), {0, 401, 503})
                cell.thaw(NODE)
                self.assertIn(Caller(cell).ask(FIRST_KEY), {401, 503})

    def test_no_call_passes_once_a_frozen_instance_goes_on(self) -> None:
        """Fails if time in which a process was paused doesn't count, or a late answer confirms."""
        for pause_s, lead_s in product((REVOKE_S + 0.5, 20.0), (0.0, 0.5, 0.9)):
            with self.subTest(pause_s=pause_s, lead_s=lead_s):
                cell = start_cell()
                cell.run(lead_s)
                cut_off(cell)
                freeze(cell)
                put_teams(cell, 2, ROADS_ALONE)
                cell.run(pause_s)
                cell.thaw(NODE)
                for _, status in self.play(cell, FIRST_KEY, 2.0):
                    self.assertIn(status, {0, 401, 503})

    def test_keys_work_on_while_an_instance_learns_from_peers(self) -> None:
        """Fails if callers of an instance that can't reach the store are all refused."""
        for inject in (lose_own_feeds_and_reads,):
            with self.subTest(inject=inject.__name__):
                cell = start_cell()
                inject(cell)
                found = self.play(cell, SECOND_KEY, 2 * REVOKE_S)
                self.assertEqual({status for _, status in found}, {200})
        for inject in (cut_from_store, turn_away):
            with self.subTest(inject=inject.__name__):
                cell = start_cell()
                inject(cell)
                caller = Caller(cell)
                cell.run(2 * REVOKE_S)
                instance = cell.nodes[NODE].instance
                self.assertTrue(instance.may_trust_keys())
                self.assertEqual(caller.ask("other"), 401)

    def test_keys_are_trusted_without_a_bound_if_the_platform_sets_none(self) -> None:
        """Fails if a deployment that does not ask for it refuses calls at an instance cut off."""
        cell = start_cell(revocation_s=None)
        cut_off(cell)
        cell.run(30.0)
        self.assertTrue(cell.nodes[NODE].instance.may_trust_keys())


class AdditionTest(unittest.TestCase):
    """A key is added."""

    def test_a_new_key_works_in_time(self) -> None:
        """Fails if an instance in touch, or one that learns from peers, refuses it for longer."""
        for inject in (lambda cell: None, lose_own_feeds_and_reads):
            with self.subTest(inject=inject):
                cell = start_cell()
                inject(cell)
                cell.run(1.0)
                put_teams(cell, 2, WITH_NEW_KEY)
                cell.run(APPLY_S)
                for name in cell.nodes:
                    self.assertEqual(Caller(cell, name).ask(NEW_KEY), 200)

    def test_a_new_key_is_never_unknown_to_an_instance_that_may_be_behind(self) -> None:
        """Fails if 401 is said of a key that a version out of reach has added."""
        for inject, wait_s in product(RevocationTest.FAULTS, (0.0, 0.5, 4.0)):
            with self.subTest(inject=inject.__name__, wait_s=wait_s):
                cell = start_cell()
                inject(cell)
                cell.run(wait_s)
                put_teams(cell, 2, WITH_NEW_KEY)
                cell.run(APPLY_S)
                caller = Caller(cell)
                calls = []
                for _ in range(20):
                    calls.append(caller.send(NEW_KEY))
                    cell.run(CALL_S)
                cell.thaw(NODE)
                self.assertNotIn(401, [get_status() for get_status in calls])


class SecrecyTest(unittest.TestCase):
    """Nothing that an instance shows holds a key."""

    def setUp(self) -> None:
        self.shown: list[str] = []
        handler = logging.Handler(logging.DEBUG)
        handler.emit = lambda record: self.shown.append(  # type: ignore[method-assign]
            f"{vars(record)} {logging.Formatter().format(record)}"
        )
        root = logging.getLogger()
        level = root.level
        root.addHandler(handler)
        root.setLevel(logging.DEBUG)
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.removeHandler, handler)

    def put_raw(self, cell: SimulatedCell, value: bytes) -> None:
        """Store bytes as the configuration."""
        cell.platform.put_bytes("op", "", "config", value)
        cell.run(1.5)

    def test_no_key_is_shown(self) -> None:
        """Fails if a log line, metric, repr or error holds a key or a digest of one."""
        cell = start_cell()
        instance = cell.nodes[NODE].instance
        caller = Caller(cell)
        for key in (FIRST_KEY, "secret-odd", b"Basic secret-odd", b"secret-odd\xff", None):
            caller.ask(key)
        cell.put_settings(2, advice=False)
        cell.run(1.5)
        sound = json.dumps({"version": 3, "tenants": TEAMS}).encode()
        for value in (
            sound[:-1],
            sound.replace(b'"version"', b'"tenants":7,"version"'),
            sound.replace(b"secret-first", b"secret\xff"),
            sound.replace(b'"secret-first"', b"secret"),
            sound.replace(b'"version": 3', b'"version": "secret-first"'),
            sound.replace(b'"apiKeys": [', b'"apiKeys": [["secret-first"], '),
            sound.replace(b'"version": 3', b'"version": 4, "routes": [7]'),
            json.dumps([*TEAMS]).encode(),
            b'"secret-first"',
        ):
            self.put_raw(cell, value)
        row = {"table": "op", "part": "", "key": "config", "value": b64encode(sound).decode()}
        cell.platform.rows["op", "", "config"] = row | {"schemaVersion": "odd"}
        cell.platform.drop_history()
        cell.run(2.0)
        cell.put_settings(5, advice=False)
        cell.run(1.5)
        cut_off(cell)
        cell.run(REVOKE_S + 1.0)
        self.assertEqual(caller.ask(FIRST_KEY), 503)
        self.assertEqual(instance.metrics.counters["calls_refused_keys_out_of_date"], 1)
        self.shown += [repr(instance.settings), instance.metrics.render_page()]
        assert instance.settings.keys is not None
        digests = [digest.hex() for digest in instance.settings.keys._teams]
        encoded = b64encode(sound[:60]).decode()[:20]
        shown = "\n".join(self.shown)
        self.assertIn("unreadable row ignored", shown)
        self.assertIn("invalid configuration rejected", shown)
        self.assertIn("request answered with an error status", shown)
        for text in ("secret", encoded, *digests):
            self.assertNotIn(text, shown)


if __name__ == "__main__":
    unittest.main()
