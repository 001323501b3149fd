"""Tests of setting the active configuration on a slice."""

import unittest
from typing import Any

from lavenderstall.identifiers import EntryId, Epoch, SliceName, TeamName
from lavenderstall.messages import SliceSummary
from lavenderstall.resources import Resources
from lavenderstall.schemas import Quota, Team
from lavenderstall.slice_configuration import apply_teams, sum_team_usage

A, B = TeamName("a"), TeamName("b")


class FakeServer:
    """The part of a slice server that stores quotas."""

    def __init__(self) -> None:
        self.allowances: dict[TeamName, Any] = {}
        self.scheduled = 0
        self.queue = self

    def set_team(self, name: TeamName, weight: float, allowance: Resources | None) -> None:
        """Accept any quota."""

    def request_schedule(self) -> None:
        """Count the schedule requests."""
        self.scheduled += 1


class QuotaTest(unittest.TestCase):
    """Guards against a team that exceeds its quota over all slices."""

    def test_allowances(self) -> None:
        """Only allocations in other slices reduce the allowance, each once."""
        quota = Quota(Resources(cores_milli=100))
        cases = (
            ("nothing allocated", {}, {}, 100),
            ("only here", {A: 30}, {}, 100),
            ("only elsewhere", {}, {A: 30}, 70),
            ("both", {A: 30}, {A: 40}, 60),
            ("over the quota", {}, {A: 130}, 0),
            ("other team", {B: 10}, {B: 90}, 100),
        )
        for name, here, there, expected in cases:
            with self.subTest(name):
                summaries = [make_summary("z/0", here), make_summary("z/1", there)]
                server: Any = FakeServer()
                team = Team(name=A, quota=quota)
                apply_teams(server, [team], sum_team_usage(summaries), summaries[0].teams)
                self.assertEqual(server.allowances[A][1].cores_milli, expected)

    def test_unchanged(self) -> None:
        """An unchanged quota must not request another scheduling pass."""
        server: Any = FakeServer()
        for _ in range(3):
            apply_teams(server, [Team(name=A), Team(name=B)], {}, {})
        self.assertEqual(server.scheduled, 2)
        self.assertIsNone(server.allowances[A][1])


def make_summary(name: str, used: dict[TeamName, int]) -> SliceSummary:
    """Return a slice summary with the teams' allocated thousandths of a core."""
    teams = {team: Resources(cores_milli=cores) for team, cores in used.items()}
    return SliceSummary(SliceName(name), EntryId("e"), Epoch(1), teams=teams)
