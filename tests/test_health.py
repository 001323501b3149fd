"""Tests of quarantine, probing and bad jobs."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.health import (
    BAD_JOB_MAX_FAILURES,
    PROBE_DELAY_S,
    PROBE_SUCCESSES,
    QUARANTINE_EXEMPTION_S,
    WORKER_AVOIDANCE_S,
    ClearBadJob,
    FailJob,
    HealthAction,
    HealthMonitor,
    HealthReason,
    MarkJobBad,
    Quarantine,
    Release,
    WithheldQuarantine,
)
from lavenderstall.identifiers import JobId, WorkerId

WORKERS = [WorkerId(f"w{index}") for index in range(12)]


class HealthTest(unittest.TestCase):
    """Guards against bad workers that keep getting tasks, and against wrong quarantines."""

    def setUp(self) -> None:
        self.health = HealthMonitor(WORKERS)
        for _ in range(200):
            self.health.record_success(WORKERS[11], JobId("before"), 0.0)

    def apply_actions(self, actions: list[HealthAction], now: float) -> list[HealthAction]:
        for action in actions:
            self.health.apply_action(action, now)
        return actions

    def fail_on(
        self, worker: WorkerId, jobs: int, now: float = 1.0, first: int = 0
    ) -> list[HealthAction]:
        """Fail jobs on a worker that succeed on another one; return all actions."""
        actions: list[HealthAction] = []
        for index in range(first, first + jobs):
            job = JobId(f"j{index}")
            other = WORKERS[WORKERS.index(worker) - 1]
            actions += self.apply_actions(self.health.record_success(other, job, now), now)
            actions += self.apply_actions(self.health.record_failure(worker, job, 0.1, now), now)
        return actions

    def test_quarantine_needs_four_jobs_that_run_elsewhere(self) -> None:
        self.assertEqual(self.fail_on(WORKERS[3], 3), [])
        (action,) = self.fail_on(WORKERS[3], 1, first=3)
        assert isinstance(action, Quarantine)
        self.assertEqual(action.reason, HealthReason.FAILS_ACROSS_JOBS)
        self.assertEqual(action.jobs, ("j0", "j1", "j2", "j3"))
        self.assertTrue(self.health.is_quarantined(WORKERS[3]))

    def test_later_success_elsewhere_counts(self) -> None:
        for index in range(4):
            failed = self.health.record_failure(WORKERS[0], JobId(f"j{index}"), 0.1, 1.0)
            self.assertEqual(failed, [])
        for index in range(3):
            self.assertEqual(self.health.record_success(WORKERS[1], JobId(f"j{index}"), 2.0), [])
        progress = self.health.record_progress(WORKERS[1], JobId("j3"), 1.1, 2.1)
        self.assertEqual(progress, [], "not longer than the failure by the factor")
        (action,) = self.health.record_progress(WORKERS[1], JobId("j3"), 1.3, 2.3)
        self.assertIsInstance(action, Quarantine)

    def test_one_job_is_not_enough(self) -> None:
        self.health.record_success(WORKERS[1], JobId("j"), 0.0)
        for _ in range(50):
            self.assertEqual(self.health.record_failure(WORKERS[0], JobId("j"), 0.1, 1.0), [])

    def test_successes_between_failures_prevent_quarantine(self) -> None:
        for index in range(20):
            self.assertEqual(self.fail_on(WORKERS[3], 1, first=index), [])
            for job in (f"j{index}", "other"):
                self.health.record_success(WORKERS[3], JobId(job), 1.0)

    def test_at_most_a_third_of_workers_is_quarantined(self) -> None:
        for index in range(4):
            self.fail_on(WORKERS[index * 2], 4, first=index * 4)
        (action,) = self.fail_on(WORKERS[9], 4, first=50)
        self.assertIsInstance(action, WithheldQuarantine)
        self.assertEqual(sum(map(self.health.is_quarantined, WORKERS)), 4)

    def test_starts_are_delayed_before_the_quarantine(self) -> None:
        for index, pause in enumerate([1.0, 2.0, 4.0]):
            self.health.record_failure(WORKERS[0], JobId(f"j{index}"), 0.1, 1.0)
            for now, expected in [
                (0.9 + pause, HealthReason.WORKER_BACKS_OFF),
                (1.0 + pause, None),
            ]:
                found = self.health.find_start_obstacle(WORKERS[0], JobId("k"), True, now)
                self.assertIs(found, expected)

    def test_job_avoids_a_worker_after_a_failure(self) -> None:
        self.health.record_failure(WORKERS[0], JobId("j"), 0.1, 1.0)
        for worker, now, expected in [
            (WORKERS[0], 2.0, HealthReason.JOB_FAILED_ON_WORKER),
            (WORKERS[1], 2.0, None),
            (WORKERS[0], 1.0 + WORKER_AVOIDANCE_S, None),
        ]:
            with self.subTest(worker=worker, now=now):
                found = self.health.find_start_obstacle(worker, JobId("j"), True, now)
                self.assertIs(found, expected)

    def test_probes(self) -> None:
        worker, healthy_job = WORKERS[3], JobId("j0")
        self.fail_on(worker, 4)
        due = 1.0 + PROBE_DELAY_S
        for job, idempotent, now, expected in [
            (healthy_job, True, due - 1, HealthReason.PROBE_NOT_DUE),
            (healthy_job, False, due, HealthReason.PROBE_NEEDS_IDEMPOTENT),
            (JobId("new"), True, due, HealthReason.PROBE_NEEDS_HEALTHY_JOB),
            (healthy_job, True, due, None),
        ]:
            with self.subTest(expected=expected):
                found = self.health.find_start_obstacle(worker, job, idempotent, now)
                self.assertIs(found, expected)
        self.health.record_start(worker, healthy_job, due)
        found = self.health.find_start_obstacle(worker, healthy_job, True, due + 1)
        self.assertIs(found, HealthReason.PROBE_NOT_DUE, "one probe at a time")
        self.health.record_failure(worker, healthy_job, 0.1, due + 1)
        found = self.health.find_start_obstacle(worker, healthy_job, True, due + PROBE_DELAY_S)
        self.assertIs(found, HealthReason.PROBE_NOT_DUE, "the delay doubles")
        actions: list[HealthAction] = []
        for step in range(PROBE_SUCCESSES):
            now = due + 100 + step
            self.assertEqual(actions, [])
            self.assertIsNone(self.health.find_start_obstacle(worker, healthy_job, True, now))
            self.health.record_start(worker, healthy_job, now)
            actions = self.apply_actions(self.health.record_success(worker, healthy_job, now), now)
        self.assertEqual(actions, [Release(worker, HealthReason.PROBES_SUCCEEDED)])
        self.assertFalse(self.health.is_quarantined(worker))

    def test_operator_undoes_a_quarantine(self) -> None:
        self.fail_on(WORKERS[3], 4)
        self.health.apply_action(Release(WORKERS[3], HealthReason.OPERATOR), 2.0)
        self.assertEqual(self.fail_on(WORKERS[3], 9, 3.0), [])
        self.assertTrue(self.fail_on(WORKERS[3], 4, 3.0 + QUARANTINE_EXEMPTION_S))

    def test_bad_job_backs_off_and_fails(self) -> None:
        job = JobId("bad")
        actions: list[HealthAction] = []
        for index, worker in enumerate(WORKERS[:3]):
            self.health.record_success(worker, JobId(f"j{index}"), 0.0)
            actions = self.apply_actions(self.health.record_failure(worker, job, 0.1, 1.0), 1.0)
        (mark,) = actions
        assert isinstance(mark, MarkJobBad)
        self.assertEqual(mark.workers, tuple(WORKERS[:3]))
        found = self.health.find_start_obstacle(WORKERS[5], job, True, 1.5)
        self.assertIs(found, HealthReason.JOB_BACKS_OFF)
        for _ in range(BAD_JOB_MAX_FAILURES):
            self.assertFalse(any(isinstance(each, FailJob) for each in actions))
            actions = self.health.record_failure(WORKERS[6], job, 0.1, 100.0)
        self.assertEqual(actions, [FailJob(job, HealthReason.JOB_KEEPS_FAILING, 5)])
        self.health.apply_action(ClearBadJob(job, HealthReason.OPERATOR), 100.0)
        self.assertIsNone(self.health.find_start_obstacle(WORKERS[5], job, True, 100.0))

    def test_failures_on_bad_workers_do_not_mark_a_job_bad(self) -> None:
        for worker in WORKERS[:3]:
            self.health.record_success(worker, JobId("before"), 0.0)
            for name in ("x", "y", "z"):
                actions = self.health.record_failure(worker, JobId(name + worker), 0.1, 1.0)
                self.assertEqual(actions, [])
        for worker in WORKERS[:3]:
            self.assertEqual(self.health.record_failure(worker, JobId("new"), 0.1, 1.0), [])

    @given(st.integers(0, 10_000), st.integers(1, 6), st.floats(0.0, 0.5))
    def test_bad_jobs_never_quarantine_a_healthy_worker(
        self, seed: int, bad_jobs: int, flaky: float
    ) -> None:
        """All workers are healthy; some jobs always fail and the others fail at random."""
        random = Random(seed)
        health = HealthMonitor(WORKERS)
        for step in range(400):
            worker = random.choice(WORKERS)
            index = random.randrange(10)
            job, now = JobId(str(index)), step / 10
            if health.find_start_obstacle(worker, job, True, now):
                continue
            health.record_start(worker, job, now)
            if index < bad_jobs or random.random() < flaky * (index % 2):
                actions = health.record_failure(worker, job, 0.1, now)
            else:
                actions = health.record_success(worker, job, now)
            for action in actions:
                self.assertNotIsInstance(action, Quarantine | WithheldQuarantine)
                health.apply_action(action, now)


if __name__ == "__main__":
    unittest.main()
