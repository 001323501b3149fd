"""Tests of the admission of jobs based on summaries of slices."""

import unittest

from twisted.internet.task import Clock

from lavenderstall.changes import ItemKey
from lavenderstall.configuration import ConfigurationView, Snapshot
from lavenderstall.errors import Outcome, RefusedError
from lavenderstall.identifiers import EntryId, Epoch, JobId, SliceName, TeamName, Version
from lavenderstall.job_admission import AdmissionController
from lavenderstall.messages import SliceSummary
from lavenderstall.protocol import Kind
from lavenderstall.records import JobSpec
from lavenderstall.resources import Resources
from lavenderstall.schemas import Demand, Limits, Policy, Quota, Team

TEAM = TeamName("drivers")
CORE = Resources(1000, 100)


def make_spec(kind: Kind = Kind.BATCH, tasks: int = 1, team: str = TEAM) -> JobSpec:
    """Return a job."""
    return JobSpec(JobId("j"), TeamName(team), kind, tasks, CORE)


def make_summary(number: int, waiting: int, started: int = 0) -> SliceSummary:
    """Return the summary of a slice with batch tasks."""
    return SliceSummary(
        SliceName(f"z/{number}"),
        EntryId("e"),
        Epoch(1000),
        waiting_teams={"batch": {TEAM: waiting}},
        started={"batch": started},
    )


class AdmissionControllerTest(unittest.TestCase):
    """Guards against unbounded queues and false refusals."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.admission = AdmissionController(self.clock)
        view = ConfigurationView(self.clock)
        limits = Limits(waiting={Demand.BATCH: 20}, tasks_per_job=12)
        items = [Team(TEAM, quota=Quota(Resources(4000), 30)), Policy("default", limits=limits)]
        keys = [ItemKey("team", TEAM), ItemKey("policy", "default")]
        view.accept(Snapshot(Version(1), 1, dict(zip(keys, items, strict=True))), 0.0)
        self.admission.apply_configuration(view)

    def observe(self, *summaries: SliceSummary) -> None:
        self.clock.advance(1)
        self.admission.observe(summaries)

    def test_refusals(self) -> None:
        cases = (
            (make_spec(tasks=13), "tasks_per_job"),
            (make_spec(team="strangers"), "unknown_team"),
            (make_spec(Kind.GANG, tasks=5), "larger_than_team_quota"),
            (make_spec(tasks=12), "team_waiting_quota"),
        )
        self.observe(make_summary(0, 10), make_summary(1, 10))
        for spec, reason in cases:
            for retry, outcome in ((False, Outcome.NOT_RUN), (True, Outcome.UNKNOWN)):
                with self.subTest(reason=reason, retry=retry):
                    with self.assertRaises(RefusedError) as caught:
                        self.admission.admit(spec, retry=retry)
                    self.assertEqual(caught.exception.reason, reason)
                    self.assertIs(caught.exception.outcome, outcome)

    def test_queue_limit_grows_with_slices(self) -> None:
        self.observe(make_summary(0, 14))
        with self.assertRaises(RefusedError) as caught:
            self.admission.admit(make_spec(tasks=10))
        self.assertEqual(caught.exception.reason, "kind_queue_full")
        self.observe(make_summary(0, 14), make_summary(1, 0))
        self.admission.admit(make_spec(tasks=10))

    def test_accepted_tasks_count_until_owners_report(self) -> None:
        self.observe(make_summary(0, 0), make_summary(1, 0))
        self.admission.admit(make_spec(tasks=12))
        self.admission.admit(make_spec(tasks=12))
        with self.assertRaises(RefusedError):
            self.admission.admit(make_spec(tasks=12))

    def test_retry_delay_follows_starts(self) -> None:
        for step in range(20):
            self.observe(make_summary(0, 14, started=step * 5))
        with self.assertRaises(RefusedError) as caught:
            self.admission.admit(make_spec(tasks=10))
        self.assertLess(caught.exception.retry_after_ms, 5000)
        self.assertGreater(caught.exception.retry_after_ms, 0)
