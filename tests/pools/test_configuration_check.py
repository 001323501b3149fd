"""Tests of the checks of a configuration, and of what differs from the one in force."""

import unittest
from typing import Any

from lavenderstall.bearer_tokens import TeamKeys
from lavenderstall.identifiers import TeamName
from lavenderstall.pools.configuration_check import (
    Finding,
    check_settings,
    check_version,
    diff_settings,
)
from lavenderstall.pools.teams import Team
from lavenderstall.pools.work import Advising, PoolName, Queue, QueueName, Settings
from lavenderstall.query.formatters.table import format_differences
from lavenderstall.resources import Resources

POOL, OTHER = PoolName("routing"), PoolName("vision")
WATER, ROADS = TeamName("water"), TeamName("roads")


def make_queue(**fields: Any) -> Queue:
    """Return a sound queue with other fields."""
    values = {"name": QueueName("q"), "host": "h", "prefix": "/q/", "pool": POOL}
    return Queue(**(values | {"objective_ms": 500.0} | fields))


def make_settings(*queues: Queue, version: int = 7, **fields: Any) -> Settings:
    """Return settings with one pool."""
    values: dict[str, Any] = {"pools": frozenset({POOL})}
    return Settings(version, queues or (make_queue(),), **(values | fields))


def check(settings: Settings) -> list[Finding]:
    """Check settings where IDs begin with digits."""
    return check_settings(settings, str.isdigit)


class CheckTest(unittest.TestCase):
    """Faults of a configuration that can be read."""

    def test_findings_of_queues(self) -> None:
        """Fails if a queue without calls, or that can't serve them, isn't named."""
        second = {"name": QueueName("r"), "prefix": "/r/"}
        rows: tuple[tuple[list[dict[str, Any]], list[str]], ...] = (
            ([{}], []),
            ([{}, second], []),
            ([{}, {"prefix": "/r/"}], ["error: queue/q: another queue before it has the same"]),
            ([{}, {**second, "prefix": "/q/"}], ["warning: queue/r: no call matches it"]),
            ([{}, {**second, "prefix": "/q/", "host": "g"}], []),
            ([{}, {**second, "prefix": "/q/0"}], ["warning: queue/q: calls of jobs whose IDs"]),
            ([{}, {**second, "prefix": "/q/x/"}], []),
            ([{"pool": OTHER}, second], ["warning: queue/q: its pool 'vision' is not there"]),
            ([{"prefix": "q/"}], ["warning: queue/q: its prefix matches no path"]),
            ([{"prefix": ""}], ["warning: queue/q: its prefix matches no path"]),
            ([{"prefix": "/q?/"}], ["warning: queue/q: its prefix matches no path"]),
            ([{"host": "h:80"}], ["warning: queue/q: its host matches no call"]),
            ([{"max_attempts": 0}], ["warning: queue/q: max_attempts is 0"]),
            ([{"slack": 0.5}], []),
            ([{"slack": 0.5, "objective_ms": 0}], ["warning: queue/q: no job can meet"]),
            ([{"slack": 1.0, "objective_ms": 0}], []),
            ([{"advising": Advising(10.0, 1.0, 2000.0)}], []),
            ([{"advising": Advising(10.0, 1.0, 0.0)}], ["warning: queue/q: its tickets"]),
            ([{"advising": Advising(500.0, 1.0, 10.0)}], ["warning: queue/q: a call for advice"]),
        )
        for fields, expected in rows:
            with self.subTest(fields=fields):
                found = check(make_settings(*(make_queue(**each) for each in fields)))
                self.assertEqual(len(found), len(expected))
                for finding, start in zip(map(str, found), expected, strict=True):
                    self.assertTrue(finding.startswith(start), finding)

    def test_findings_of_pools_and_teams(self) -> None:
        """Fails if a pool without calls, or a team that can't call, isn't named."""
        keys = TeamKeys([("k1", WATER)])
        water = (Team(WATER),)
        rows: tuple[tuple[dict[str, Any], list[str]], ...] = (
            ({"pools": frozenset({POOL, OTHER})}, ["warning: pool/vision: no queue"]),
            ({"teams": water, "keys": keys}, []),
            ({"teams": (Team(ROADS),), "keys": keys}, ["warning: team/roads: it has no key"]),
            ({"teams": (Team(WATER, 1.0, Resources(1000)),), "keys": keys}, []),
            (
                {"teams": (Team(WATER, 1.0, Resources(999)),), "keys": keys},
                ["warning: team/water: its quota is less than one core"],
            ),
            ({"keys": TeamKeys()}, ["warning: queue/q: no call can be let in"]),
        )
        for fields, expected in rows:
            with self.subTest(fields=fields):
                found = list(map(str, check(make_settings(**fields))))
                self.assertEqual(len(found), len(expected))
                for finding, start in zip(found, expected, strict=True):
                    self.assertTrue(finding.startswith(start), finding)

    def test_public_queues_need_no_keys(self) -> None:
        """Fails if an open queue is said to let nobody in."""
        settings = make_settings(make_queue(public=True), keys=TeamKeys())
        self.assertEqual(check(settings), [])

    def test_a_version_has_to_rise(self) -> None:
        """Fails if a version that never applies passes."""
        for current, wanted, count in ((6, 7, 0), (7, 7, 1), (8, 7, 1)):
            with self.subTest(current=current, wanted=wanted):
                found = check_version(Settings(current), Settings(wanted))
                self.assertEqual(len(found), count)


class DifferenceTest(unittest.TestCase):
    """What differs from the configuration in force."""

    def test_differences(self) -> None:
        """Fails if a difference is left out, or if an unchanged item is named."""
        water = {"teams": (Team(WATER),), "keys": TeamKeys([("k1", WATER)])}
        rows: tuple[tuple[dict[str, Any], dict[str, Any], str], ...] = (
            ({}, {}, ""),
            ({}, {"version": 8}, ""),
            (water, {"teams": (Team(WATER),), "keys": TeamKeys([("k1", WATER)])}, ""),
            (
                water,
                {"teams": (Team(WATER, 2.0),), "keys": TeamKeys([("k2", WATER)])},
                "~ team/water\n    weight: 1.0 -> 2.0\n    keys: 1 -> 1 (1 new, 1 removed)\n",
            ),
            (
                water,
                {"teams": (Team(WATER),), "keys": TeamKeys([("k1", WATER), ("k2", WATER)])},
                "~ team/water\n    keys: 1 -> 2 (1 new, 0 removed)\n",
            ),
            (
                {},
                {"pools": frozenset({OTHER}), "guarded": frozenset({OTHER})},
                "- pool/routing\n    enforces_capacity: false -> absent\n"
                "+ pool/vision\n    enforces_capacity: absent -> true\n",
            ),
        )
        for before, after, expected in rows:
            with self.subTest(before=before, after=after):
                found = diff_settings(make_settings(**before), make_settings(**after))
                self.assertEqual(format_differences(found), expected)

    def test_queues_that_come_and_go(self) -> None:
        """Fails if a queue that is removed, added or opened to all isn't shown."""
        before = make_settings(make_queue())
        after = make_settings(make_queue(public=True), make_queue(name=QueueName("r")))
        actions = [(str(each.key), each.action.value) for each in diff_settings(before, after)]
        self.assertEqual(actions, [("queue/q", "change"), ("queue/r", "add")])
        actions = [(str(each.key), each.action.value) for each in diff_settings(after, before)]
        self.assertEqual(actions, [("queue/q", "change"), ("queue/r", "remove")])


if __name__ == "__main__":
    unittest.main()
