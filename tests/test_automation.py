"""Tests of automatic actions: quarantine, bad jobs, measured use, preemption."""

import unittest

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.changes import ChangeState, ItemKey
from lavenderstall.identifiers import JobId, TaskId
from lavenderstall.protocol import Kind, TaskState
from lavenderstall.records import JobSpec
from lavenderstall.resources import Resources
from lavenderstall.schemas import Action, AutomaticRule, Mode, Policy
from standins.truth import TaskStarted
from tests.cells import TEAM, Cell, make_job


def count_starts(cell: Cell, worker: str) -> int:
    """Return how many tasks a worker started."""
    records = cell.workers[worker].truth.records
    return sum(isinstance(record, TaskStarted) for record in records)


def set_mode(cell: Cell, mode: Mode, *actions: Action) -> None:
    """Declare the mode of automatic actions."""
    rules = tuple(AutomaticRule(action, mode) for action in actions)
    policy = Policy("default", automatic=rules)
    cell.declare(cell.list_ready()[0], {ItemKey("policy", "default"): policy})
    cell.run(1)


def list_changes(cell: Cell) -> list:
    """Return the changes in the table."""
    found: list = []
    node = cell.list_ready()[0]
    Deferred.fromCoroutine(node.entry.configuration.list_changes()).addCallback(found.extend)
    cell.run(0.5)
    return found


class BadWorkerTest(unittest.TestCase):
    """Guards against a failing worker that gets more tasks because its slots are free sooner."""

    def run_jobs(self, cell: Cell, jobs: int, prefix: str = "j") -> None:
        """Run small jobs one after another."""
        for number in range(jobs):
            cell.submit(make_job(f"{prefix}{number}", 4, run_ms=200))
            cell.run(1.5)

    def test_quarantine_is_recorded_and_tasks_run_elsewhere(self) -> None:
        cell = Cell(entries=1, zones=1, workers=4)
        cell.run(4)
        set_mode(cell, Mode.DO, Action.QUARANTINE)
        cell.set_worker("z0w0", fail_starts=True)
        self.run_jobs(cell, 24)
        starts = count_starts(cell, "z0w0")
        (server,) = cell.get_owner("z0/0").entry.slices.values()
        self.assertTrue(server.state.workers["z0w0"].quarantined)
        done = sum(len(job.row.done) for job in server.work.jobs.values())
        self.assertEqual(done, 24 * 4)
        self.assertLess(starts, 24)
        recorded = [c for c in list_changes(cell) if c.automatic]
        self.assertEqual(
            [(c.state, str(c.items[0].key)) for c in recorded],
            [(ChangeState.DONE, "command/worker/z0w0")],
        )

    def test_worker_that_recovers_is_released(self) -> None:
        cell = Cell(entries=1, zones=1, workers=4)
        cell.run(4)
        set_mode(cell, Mode.DO, Action.QUARANTINE, Action.RELEASE)
        cell.set_worker("z0w0", fail_starts=True)
        self.run_jobs(cell, 24)
        (server,) = cell.get_owner("z0/0").entry.slices.values()
        self.assertTrue(server.state.workers["z0w0"].quarantined)
        cell.set_worker("z0w0", fail_starts=False)
        for number in range(60):
            cell.submit(make_job(f"probe{number}", 60, run_ms=700))
            cell.run(5)
            if not server.state.workers["z0w0"].quarantined:
                break
        self.assertFalse(server.state.workers["z0w0"].quarantined)

    def test_proposal_changes_nothing(self) -> None:
        cell = Cell(entries=1, zones=1, workers=4)
        cell.run(4)
        set_mode(cell, Mode.PROPOSE, Action.QUARANTINE)
        cell.set_worker("z0w0", fail_starts=True)
        self.run_jobs(cell, 24)
        (server,) = cell.get_owner("z0/0").entry.slices.values()
        self.assertFalse(server.state.workers["z0w0"].quarantined)
        proposed = [c for c in list_changes(cell) if c.state is ChangeState.PROPOSED]
        self.assertEqual([str(c.items[0].key) for c in proposed], ["command/worker/z0w0"])

    def test_bad_job_does_not_quarantine_workers(self) -> None:
        cell = Cell(entries=1, zones=1, workers=4)
        cell.run(4)
        set_mode(cell, Mode.DO, Action.QUARANTINE)
        for number in range(6):
            spec = make_job(f"bad{number}", 4, run_ms=100)
            spec.payload["fail"] = msgspec.Raw(b"true")
            cell.submit(spec)
            cell.submit(make_job(f"good{number}", 4, run_ms=100))
            cell.run(3)
        cell.run(60)
        (server,) = cell.get_owner("z0/0").entry.slices.values()
        self.assertFalse(any(worker.quarantined for worker in server.state.workers.values()))
        bad = [job.row for job in server.work.jobs.values() if job.row.spec.id.startswith("bad")]
        self.assertTrue(all(row.failed and not row.done for row in bad))


class UrgentTest(unittest.TestCase):
    """Guards against urgent tasks that wait behind tasks that may be preempted."""

    def fill(self, cell: Cell, *, idempotent: bool) -> None:
        spec = make_job("long", 8, run_ms=60_000, idempotent=idempotent)
        cell.submit(spec)
        cell.run(3)
        self.assertEqual(len(cell.find_runs("long")), 8)

    def submit_urgent(self, cell: Cell) -> None:
        spec = make_job("urgent", 1, run_ms=500)
        spec.priority = 50
        cell.submit(spec)

    def test_urgent_task_starts_in_time(self) -> None:
        cell = Cell(entries=1, zones=1, workers=2)
        cell.run(4)
        set_mode(cell, Mode.DO, Action.PREEMPT)
        self.fill(cell, idempotent=True)
        self.submit_urgent(cell)
        self.assertTrue(cell.run(2.3, until=lambda: cell.find_runs("urgent")))
        self.assertGreaterEqual(len(cell.find_runs("long")), 7)

    def test_non_idempotent_work_is_never_preempted(self) -> None:
        cell = Cell(entries=1, zones=1, workers=2)
        cell.run(4)
        set_mode(cell, Mode.DO, Action.PREEMPT)
        self.fill(cell, idempotent=False)
        self.submit_urgent(cell)
        cell.run(10)
        self.assertEqual(len(cell.find_runs("long")), 8)


class MeasuredUseTest(unittest.TestCase):
    """Guards against overcommitting a worker with siblings of a task that outgrew its size."""

    def test_siblings_are_charged_what_was_measured(self) -> None:
        cell = Cell(entries=1, zones=1, workers=1)
        cell.run(4)
        payload = {
            "run_ms": msgspec.Raw(b"60000"),
            "use_cores_milli": msgspec.Raw(b"1600"),
            "use_memory_mb": msgspec.Raw(b"400"),
        }
        spec = JobSpec(JobId("wide"), TEAM, Kind.BATCH, 1, Resources(500, 300), payload=payload)
        cell.submit(spec)
        cell.run(40)
        (server,) = cell.get_owner("z0/0").entry.slices.values()
        task = server.tasks[TaskId("wide.0")]
        self.assertIs(task.state, TaskState.RUNNING)
        charge = server.state.workers["z0w0"].tasks[task.id].resources
        self.assertGreaterEqual(charge.cores_milli, 1600)
