"""Tests of tasks that crash the workers of a slice."""

import unittest
from collections.abc import Callable
from math import inf
from unittest.mock import patch

import msgspec

from lavenderstall.crashes import keeps_apart, record_crash
from lavenderstall.identifiers import JobId, SliceName, TaskId
from lavenderstall.protocol import Kind, TaskState
from lavenderstall.records import JobSpec, TaskCrashes, WorkRow, decode_row
from lavenderstall.slices import SliceServer
from lavenderstall.tasks import Task
from standins.truth import TaskStarted
from standins.workers import Worker
from tests.cells import Cell, make_job

CRASHING = "crashing"
SLICE = "z0/0"
# Workers may crash under a task this often before it is given up.
MAX_STARTS = 5
# Delays of 0.5 s, doubled after each crash, allow seven crashes within a minute.
MAX_REPLICA_CRASHES = 8
JOBS = 30
JOB_INTERVAL_S = 0.5
SETTLE_S = 60.0
Inject = Callable[[Cell, int], None]


def make_crashing_job(crash_ms: int, kind: Kind = Kind.BATCH, tasks: int = 1) -> JobSpec:
    """Return a job whose tasks each crash their workers."""
    job = make_job(CRASHING, tasks, kind=kind, run_ms=60_000)
    payload = {**job.payload, "crash_ms": msgspec.Raw(msgspec.json.encode(crash_ms))}
    return msgspec.structs.replace(job, payload=payload)


def count_starts(cell: Cell, job: str) -> int:
    """Return how often workers have started tasks of a job."""
    return sum(
        isinstance(record, TaskStarted) and record.job == job
        for worker in cell.workers.values()
        for record in worker.truth.records
    )


def list_ended(cell: Cell, job: str, field: str) -> list[int]:
    """Return the tasks of a job that have ended in one way, in any slice."""
    rows = [decode_row(row, WorkRow) for row in cell.table._scan("work/").rows]
    return sorted(
        index for row in rows if row.spec.id == JobId(job) for index in getattr(row, field)
    )


def list_crashes(cell: Cell) -> list[TaskCrashes]:
    """Return what is recorded of the crashes and starts of all tasks."""
    rows = [decode_row(row, WorkRow) for row in cell.table._scan("work/").rows]
    return [crashes for row in rows for crashes in row.crashes.values()]


def list_running(server: SliceServer) -> list[Task]:
    """Return the running tasks of a slice."""
    return [task for task in server.tasks.values() if task.state is TaskState.RUNNING]


def list_replicas(cell: Cell) -> list[Worker]:
    """Return the workers that run a replica of a service."""
    return [
        worker
        for worker in cell.workers.values()
        if any(task.start.kind is Kind.SERVICE for task in worker.inventory.tasks.values())
    ]


def do_nothing(cell: Cell, number: int) -> None:
    """Inject no fault."""


def kill_owner(cell: Cell, number: int) -> None:
    """Kill the owner of the workers every 4 s, and start another instance."""
    for node in cell.list_owners(SLICE) if number % 8 == 4 else ():
        cell.kill(node)
        cell.start(node.zone)


def shut_down_owner(cell: Cell, number: int) -> None:
    """Shut the owner of the workers down every 4 s, and start another instance."""
    for node in cell.list_owners(SLICE) if number % 8 == 4 else ():
        cell.shut_down(node)
        cell.start(node.zone)


def stop_table(cell: Cell, number: int) -> None:
    """Let the table be away for 4 s."""
    cell.table.faults.down = 4 <= number < 12


def make_task(
    name: str,
    started: float,
    *,
    total: int = 0,
    kind: Kind = Kind.BATCH,
    accepted_at: float = 0.0,
) -> Task:
    """Return a running task of a job of its own, or of the gang `gang`."""
    spec = make_job("gang" if kind is Kind.GANG else name, kind=kind)
    crashes = TaskCrashes(total)
    return Task(
        TaskId(name),
        0,
        spec,
        TaskState.RUNNING,
        0.0,
        started=started,
        accepted_at=accepted_at,
        crashes=crashes,
    )


class RecordCrashTest(unittest.TestCase):
    """Which of the tasks on a lost worker may have caused that."""

    def test_blame(self) -> None:
        for name, tasks, restarted, expected in (
            ("alone", [make_task("a", 99.0)], True, {"a": (1, 1)}),
            ("alone, not answered", [make_task("a", 99.0, accepted_at=inf)], True, {"a": (1, 0)}),
            ("alone, not back", [make_task("a", 99.0)], False, {"a": (1, 0)}),
            (
                "the youngest",
                [make_task("a", 99.0), make_task("b", 60.0), make_task("c", 98.0)],
                True,
                {"a": (1, 0), "b": (0, 0), "c": (1, 0)},
            ),
            (
                "the suspect",
                [make_task("a", 60.0, total=1), make_task("b", 60.0)],
                True,
                {"a": (2, 1), "b": (0, 0)},
            ),
            (
                "all, if none is young",
                [make_task("a", 80.0), make_task("b", 60.0)],
                True,
                {"a": (1, 0), "b": (1, 0)},
            ),
            ("none, if all are old", [make_task("a", 30.0)], True, {"a": (0, 0)}),
            (
                "a gang as a whole",
                [make_task(name, 99.0, kind=Kind.GANG) for name in "ab"],
                True,
                {"a": (1, 1), "b": (1, 1)},
            ),
        ):
            with self.subTest(name=name):
                record_crash(tasks, 100.0, restarted=restarted)
                found = {task.id: (task.crashes.total, task.crashes.sole) for task in tasks}
                self.assertEqual(found, expected)


class KeepApartTest(unittest.TestCase):
    """What may not start on a worker together."""

    def test_pairs(self) -> None:
        new, suspect = make_task("new", 0.0), make_task("suspect", 0.0, total=1)
        patient = make_task("patient", 0.0, total=1)
        new.waiting_since = suspect.waiting_since = 99.0
        patient.waiting_since = 90.0
        for name, starting, running, expected in (
            ("no suspect", new, make_task("b", 99.5), False),
            ("beside a suspect that has just started", new, make_task("b", 99.5, total=1), True),
            ("beside a suspect that has settled", new, make_task("b", 90.0, total=1), False),
            ("suspect beside a young task", suspect, make_task("b", 99.5), True),
            ("suspect beside a settled task", suspect, make_task("b", 90.0), False),
            ("suspect beside another", suspect, make_task("b", 90.0, total=1), True),
            ("suspect that has waited for long", patient, make_task("b", 99.5), False),
        ):
            with self.subTest(name=name):
                self.assertEqual(keeps_apart([starting], [running], 100.0), expected)


class CrashingTaskTest(unittest.TestCase):
    """A task crashes each worker that starts it."""

    def check(self, job: JobSpec, inject: Inject) -> None:
        """Check that only the task that crashes workers is given up."""
        cell = Cell(entries=3, zones=1, workers=6, racks_per_slice=6)
        cell.run(5)
        cell.submit(job, retries=20, persist=True)
        beside = [make_job(f"beside{number}", 2, run_ms=1500) for number in range(JOBS)]
        told = []
        for number, each in enumerate(beside):
            told.append(cell.submit(each, retries=20, persist=True))
            inject(cell, number)
            cell.run(JOB_INTERVAL_S)
        cell.run(SETTLE_S)
        self.assertEqual(list_ended(cell, CRASHING, "failed"), list(range(job.tasks)))
        self.assertLessEqual(count_starts(cell, CRASHING), MAX_STARTS * job.tasks)
        for each in told:
            self.assertEqual(list_ended(cell, each.name, "done"), [0, 1], each.name)

    def test_a_task_that_crashes_workers_is_given_up(self) -> None:
        """Fails if a task is started again and again, and a worker falls each time."""
        for crash_ms, inject in (
            (10, do_nothing),
            (10, kill_owner),
            (10, shut_down_owner),
            (10, stop_table),
            (3_000, do_nothing),
            (3_000, shut_down_owner),
            (3_000, stop_table),
        ):
            with self.subTest(crash_ms=crash_ms, inject=inject.__name__):
                self.check(make_crashing_job(crash_ms), inject)

    def test_a_crash_counts_although_its_owner_ends_too(self) -> None:
        """Fails if a crash is forgotten whose owner ends before it has noticed and recorded it."""
        self.check(make_crashing_job(3_000), kill_owner)

    def test_a_gang_that_crashes_workers_is_given_up(self) -> None:
        self.check(make_crashing_job(10, Kind.GANG, tasks=3), do_nothing)


class RecordedStartTest(unittest.TestCase):
    """Starts are recorded, so that a crash counts whose owner ends too."""

    def test_runs_that_ended_are_no_crashes(self) -> None:
        """Fails if a successor takes a run that failed or was moved for one that a crash ended."""
        for name, fail, inject in (
            ("fails, owner killed", True, kill_owner),
            ("fails, owner shut down", True, shut_down_owner),
            ("moved, owner killed", False, kill_owner),
            ("moved, owner shut down", False, shut_down_owner),
        ):
            with self.subTest(name=name):
                self.check_no_crashes(fail, inject)

    def check_no_crashes(self, fail: bool, inject: Inject) -> None:
        """Check that no crash is recorded under tasks that fail, or that are moved."""
        cell = Cell(entries=3, zones=1, workers=6, racks_per_slice=6)
        cell.run(5)
        for number in range(JOBS):
            job = make_job(f"job{number}", 3, run_ms=300 + number * 70)
            payload = {**job.payload, "fail": msgspec.Raw(msgspec.json.encode(fail))}
            job = msgspec.structs.replace(job, payload=payload, max_attempts=5)
            cell.submit(job, retries=20, persist=True)
            inject(cell, number)
            for node in [] if fail else cell.list_owners(SLICE):
                server = node.entry.slices[SliceName(SLICE)]
                server.move_tasks(list_running(server)[:2], "moved")
            cell.run(JOB_INTERVAL_S)
            self.assertEqual(sum(crashes.total for crashes in list_crashes(cell)), 0)

    def test_a_run_that_is_old_is_no_crash(self) -> None:
        """Fails if a run of an hour that is lost with its owner counts as a crash."""
        cell = Cell(entries=2, zones=1, workers=2)
        cell.run(5)
        cell.submit(make_job("job", 2, run_ms=600_000), retries=20, persist=True)
        cell.run(5)
        self.assertEqual(list_crashes(cell), [TaskCrashes(started=True)] * 2)
        cell.run(60)
        self.assertEqual(list_crashes(cell), [])

    def test_starts_are_recorded_together(self) -> None:
        """Fails if each start is written singly."""
        cell = Cell(entries=2, zones=1, workers=4)
        cell.run(5)
        with patch.object(cell.table, "transact", wraps=cell.table.transact) as transact:
            cell.submit(make_job("job", 12, run_ms=30_000), retries=20, persist=True)
            cell.run(10)
        puts = [put.key for call in transact.mock_calls for put in call.args[0].puts]
        self.assertEqual(len(list_crashes(cell)), 12)
        self.assertLessEqual(sum(key.startswith("work/") for key in puts), 3)


class CrashingServiceTest(unittest.TestCase):
    """The replicas of a service crash the workers that start them."""

    def test_a_replica_that_crashes_workers_starts_ever_more_rarely(self) -> None:
        """Fails if a service keeps its workers down."""
        cell = Cell(entries=1, zones=1, workers=4)
        cell.run(5)
        cell.declare_service(1)
        crashes = 0
        ended_at = cell.clock.seconds() + 60
        while cell.clock.seconds() < ended_at:
            cell.run(0.25)
            for worker in list_replicas(cell):
                worker.crash()
                crashes += 1
        self.assertGreaterEqual(crashes, 3)
        self.assertLessEqual(crashes, MAX_REPLICA_CRASHES)


if __name__ == "__main__":
    unittest.main()
