"""Tests of the server of one slice."""

import unittest

from lavenderstall.changes import ItemKey
from lavenderstall.errors import Outcome
from lavenderstall.identifiers import JobId, TaskId, WorkerId
from lavenderstall.protocol import (
    Kind,
    Put,
    TaskResult,
    TasksAnswer,
    TasksRequest,
    TaskState,
    Transaction,
)
from lavenderstall.records import WorkRow, decode_row, make_work_key
from lavenderstall.resources import Resources
from lavenderstall.schemas import Service
from tests.cells import ECHO, TEAM, Cell, make_job

HOUR_MS = 3_600_000


def read_work(cell: Cell, job: str, name: str = "z0/0") -> WorkRow:
    """Return the row of a job's work in a slice."""
    row = cell.table._read(make_work_key(name, JobId(job)))
    return decode_row(row, WorkRow)


def start_job(cell: Cell, *jobs, run_seconds: float = 2) -> None:
    """Submit jobs and wait until their tasks run."""
    for job in jobs:
        cell.submit(job)
    wanted = sum(job.tasks for job in jobs)
    found = cell.run(
        run_seconds, until=lambda: sum(len(cell.find_runs(j.id)) for j in jobs) == wanted
    )
    if not found:
        raise AssertionError("the jobs do not run")


class GangTest(unittest.TestCase):
    """A gang starts as a whole or not at all."""

    def test_starts_all_members(self) -> None:
        # A gang whose row was just read must not be queued member by member.
        cell = Cell(entries=1, zones=1)
        cell.run(3)
        cell.submit(make_job("gang", 3, kind=Kind.GANG, run_ms=60_000))
        self.assertTrue(cell.run(2, until=lambda: len(cell.find_runs("gang")) == 3))

    def test_two_gangs_do_not_block_each_other(self) -> None:
        # Each could occupy half of what the other needs, while single tasks compete with both.
        cell = Cell(entries=1, zones=1, workers=3)
        cell.run(3)
        start_job(cell, make_job("first", 12, run_ms=3000))
        gangs = [
            cell.submit(make_job(name, 8, kind=Kind.GANG, run_ms=2000)) for name in ("one", "two")
        ]
        singles = [cell.submit(make_job(f"single{n}", 1, run_ms=1500)) for n in range(20)]
        cell.run(60)
        for told in gangs + singles:
            self.assertEqual(read_work(cell, told.name).list_open(), [], told.name)

    def test_member_fails_to_start(self) -> None:
        # The worker of one member becomes unreachable after the placement was decided.
        for heal in (0.5, 5.0):
            with self.subTest(heal=heal):
                cell = Cell(entries=1, zones=1, workers=2)
                cell.run(3.05)
                owner = cell.get_owner("z0/0")
                cell.roads.cuts.add((owner.name, WorkerId("z0w1")))
                cell.submit(make_job("gang", 8, kind=Kind.GANG, run_ms=HOUR_MS))
                cell.run(heal)
                self.assertLess(len(cell.find_runs("gang")), 8)
                cell.roads.cuts.clear()
                self.assertTrue(
                    cell.run(8, until=lambda: len(cell.find_runs("gang")) == 8)  # noqa: B023
                )

    def test_member_is_lost(self) -> None:
        # A worker dies; the gang stops and restarts as a whole on the other workers.
        cell = Cell(entries=1, zones=1, workers=3)
        cell.run(3)
        start_job(cell, make_job("gang", 8, kind=Kind.GANG, run_ms=HOUR_MS))
        cell.set_worker(next(iter(cell.find_runs("gang").values())), cut_off=True)
        cell.run(60)
        self.assertEqual(len(cell.find_runs("gang")), 8)


class StartTest(unittest.TestCase):
    """Answers to the start of tasks."""

    def test_result_that_was_not_asked_for_costs_no_other(self) -> None:
        """Fails if one odd result leaves those behind it without an effect."""
        cell = Cell(entries=1, zones=1, workers=1)
        cell.run(3.05)
        worker = cell.workers[WorkerId("z0w0")]
        change_tasks = worker.change_tasks

        def answer_oddly(request: TasksRequest) -> TasksAnswer:
            results = change_tasks(request).results
            return TasksAnswer([TaskResult(TaskId("odd"), accepted=True), *results])

        worker.change_tasks = answer_oddly
        cell.submit(make_job("job", 3, run_ms=60_000))
        (server,) = cell.list_ready()[0].entry.slices.values()
        with self.assertLogs("lavenderstall.starts") as logs:
            cell.run(0.5, until=lambda: len(cell.find_runs("job")) == 3)
            cell.run(0.05)
        self.assertIn("'odd', not asked", logs.output[0])
        states = [task.state for task in server.tasks.values()]
        self.assertEqual(states, [TaskState.RUNNING] * 3)


class CancelTest(unittest.TestCase):
    """A job is cancelled."""

    def _check_cancelled(self, cell: Cell) -> None:
        cell.run(12)
        self.assertEqual(cell.find_runs("job"), {})
        self.assertEqual(read_work(cell, "job").list_open(), [])
        starts = dict(cell.checks.starts)
        cell.run(12)
        self.assertEqual(cell.checks.starts, starts)

    def test_races_with_the_start(self) -> None:
        for kind in (Kind.BATCH, Kind.GANG):
            for idempotent in (True, False):
                for step in range(24):
                    delay = step * 0.001 if step < 12 else step * 0.02 - 0.2
                    with self.subTest(kind=kind, idempotent=idempotent, delay=delay):
                        cell = Cell(entries=2, zones=1, stop_s=0.3, seed=step)
                        cell.run(3)
                        job = make_job("job", 4, run_ms=HOUR_MS, kind=kind, idempotent=idempotent)
                        cell.submit(job)
                        cell.run(delay)
                        cell.cancel("job")
                        cell.run(0.3)
                        cell.cancel("job")
                        self._check_cancelled(cell)

    def test_owner_dies(self) -> None:
        # The next owner reads a cancelled row while workers still run its tasks.
        for delay in (0.0, 0.0015, 0.01, 0.3):
            with self.subTest(delay=delay):
                cell = Cell(entries=2, zones=1, stop_s=0.3)
                cell.run(3)
                start_job(cell, make_job("job", 4, run_ms=HOUR_MS))
                owner = cell.get_owner("z0/0")
                (other,) = [node for node in cell.list_ready() if node is not owner]
                cell.cancel("job", other)
                cell.run(delay)
                cell.kill(owner)
                self._check_cancelled(cell)

    def test_task_fails_meanwhile(self) -> None:
        # A task that fails by itself before the stop arrives must not be retried.
        cell = Cell(entries=1, zones=1)
        cell.run(3)
        cell.set_worker("z0w0", fail_starts=True)
        cell.set_worker("z0w1", fail_starts=True)
        cell.submit(make_job("job", 4, run_ms=HOUR_MS))
        cell.run(0.01)
        cell.cancel("job")
        self._check_cancelled(cell)

    def test_task_is_not_known_to_run(self) -> None:
        # A worker of the roster is silent, so the next owner cannot know what it runs.
        cell = Cell(entries=2, zones=1)
        cell.run(3)
        start_job(cell, make_job("job", 4, run_ms=HOUR_MS))
        lost = next(iter(cell.find_runs("job").values()))
        cell.set_worker(lost, paused=True)
        cell.kill(cell.get_owner("z0/0"))
        cell.run(8)
        cell.cancel("job")
        cell.run(5)
        cell.set_worker(lost, paused=False)
        self._check_cancelled(cell)


class AdoptionTest(unittest.TestCase):
    """An owner takes over tasks that it did not start."""

    def test_worker_restarts_before_rows_are_read(self) -> None:
        # A report from before the restart must not be adopted when the rows arrive later.
        cell = Cell(entries=2, zones=1)
        cell.run(3)
        start_job(cell, make_job("job", 4, run_ms=HOUR_MS))
        cell.table.faults.delay_s = 2.0
        owner = cell.get_owner("z0/0")
        (other,) = [node for node in cell.list_ready() if node is not owner]
        cell.kill(owner)
        self.assertTrue(cell.run(60, until=lambda: "z0/0" in other.entry.slices))
        cell.run(1)
        self.assertFalse(other.entry.slices["z0/0"].loaded)
        cell.workers[WorkerId("z0w0")].crash()
        cell.workers[WorkerId("z0w1")].crash()
        cell.run(6)
        cell.table.faults.delay_s = 0.0
        self.assertTrue(cell.run(20, until=lambda: len(cell.find_runs("job")) == 4))

    def test_worker_the_list_reports_dead(self) -> None:
        # It is alive and keeps running its tasks, so neither its owner nor the next one may
        # start them elsewhere.
        for owner_dies in (False, True):
            with self.subTest(owner_dies=owner_dies):
                cell = Cell(entries=2, zones=1, workers=3)
                cell.run(3)
                start_job(cell, make_job("job", 3, run_ms=HOUR_MS))
                before = cell.find_runs("job")
                for name in set(before.values()):
                    cell.members.remove_worker(name)
                cell.run(5)
                if owner_dies:
                    cell.kill(cell.get_owner("z0/0"))
                cell.run(90)
                self.assertEqual(set(cell.checks.starts.values()), {1})
                if not owner_dies:
                    self.assertEqual(cell.find_runs("job"), before)

    def test_unlisted_worker_of_an_isolated_owner(self) -> None:
        # A former owner without table and peers keeps renewing the tasks of a worker that the
        # list dropped and that does not answer the next owner.
        cell = Cell(entries=2, zones=1, workers=3)
        cell.run(3)
        start_job(cell, make_job("job", 2, run_ms=HOUR_MS, resources=Resources(3000, 512)))
        owner = cell.get_owner("z0/0")
        (other,) = [node for node in cell.list_ready() if node is not owner]
        owner.store.view.cut_off = True
        cell.set_cut(owner, other)
        kept = next(iter(cell.find_runs("job").values()))
        cell.roads.cuts.add((other.name, kept))
        cell.roads.cuts.update((owner.name, name) for name in cell.workers if name != kept)
        self.assertTrue(cell.run(10, until=lambda: "z0/0" in other.entry.slices))
        cell.members.remove_worker(kept)
        cell.run(60)
        self.assertEqual(len(cell.find_runs("job")), 2)
        self.assertEqual(set(cell.checks.starts.values()), {1})


class InventoryTest(unittest.TestCase):
    """An inventory is older than what the owner knows from other answers."""

    def test_start_is_accepted_before_the_restart_is_seen(self) -> None:
        # The heartbeat that finds the new incarnation is answered late; a start sent meanwhile
        # has been accepted by the new incarnation and must not be placed again.
        cell = Cell(entries=1, zones=1)
        cell.run(3)
        start_job(cell, make_job("old", 1, run_ms=HOUR_MS))
        worker = cell.workers[next(iter(cell.find_runs("old").values()))]
        other = next(w for w in cell.workers.values() if w is not worker)
        worker.crash()
        worker.faults.answer_delay_s = 0.8
        self.assertTrue(cell.run(2, until=lambda: worker.epoch > 0))
        worker.faults.answer_delay_s = 0.0
        other.faults.cut_off = False
        cell.submit(make_job("new", 6, run_ms=HOUR_MS))
        cell.run(0.3)
        self.assertGreater(worker.inventory.allocated.cores_milli, 0)
        cell.run(10)
        self.assertEqual(len(cell.find_runs("new")), 6)
        self.assertEqual(cell.checks.starts["new.0"], 1)

    def test_worker_answers_while_its_loss_is_confirmed(self) -> None:
        # Its tasks have not been ended yet and keep running.
        cell = Cell(entries=1, zones=1)
        cell.run(3)
        start_job(cell, make_job("job", 2, run_ms=HOUR_MS, idempotent=False))
        cell.run(2)
        for worker in cell.workers.values():
            worker._tasks_until += 600
            worker.faults.answer_delay_s = 40.0
        cell.run(33)
        cell.table.faults.delay_s = 3.0
        for worker in cell.workers.values():
            worker.faults.answer_delay_s = 0.0
        cell.run(10)
        cell.table.faults.delay_s = 0.0
        cell.run(10)
        self.assertEqual(len(cell.find_runs("job")), 2)


class ServiceTest(unittest.TestCase):
    """A service's replicas run on a worker that leaves."""

    def test_leaving_worker(self) -> None:
        cell = Cell(entries=1, zones=1, workers=3)
        cell.run(4)
        cell.declare_service(3)
        cell.run(3)
        lost = next(iter(cell.find_runs("declared.echo").values()))
        cell.set_worker(lost, leaving=True)
        calls = []
        for _ in range(100):
            calls.append(cell.call(seconds=2))
            cell.run(0.15)
        cell.run(3)
        runs = cell.find_runs("declared.echo")
        self.assertEqual(len(runs), 3)
        self.assertNotIn(lost, runs.values())
        self.assertEqual({told.outcome for told in calls}, {Outcome.DONE})


class FailingServiceTest(unittest.TestCase):
    """A replica that keeps failing is restarted once its workers are healthy."""

    def test_replicas_come_back(self) -> None:
        # A replica that had failed three times was recorded as failed and never restarted.
        cell = Cell(entries=1, zones=1, workers=2)
        cell.run(4)
        for worker in cell.workers:
            cell.set_worker(worker, fail_starts=True)
        cell.declare_service(2)
        cell.run(20)
        for worker in cell.workers:
            cell.set_worker(worker, fail_starts=False)
        running = cell.run(70, until=lambda: len(cell.find_runs(f"declared.{ECHO}")) == 2)
        self.assertTrue(running)


class MeasuredServiceTest(unittest.TestCase):
    """Short tasks run beside a service that uses all it declares."""

    def test_measured_service_leaves_the_rest_of_its_worker(self) -> None:
        # Once the use was reported, 5 s after the start, the service was charged the whole
        # worker, and the tasks waited until the slice had another owner.
        cell = Cell(entries=1, zones=1)
        cell.run(5)
        service = Service(ECHO, TEAM, "pool", 2, Resources(3500, 3584))
        cell.declare(cell.list_ready()[0], {ItemKey("service", ECHO): service})
        cell.run(15)
        self.assertEqual(len(cell.find_runs(f"declared.{ECHO}")), 2)
        job = make_job("job", 4, run_ms=60_000, resources=Resources(250, 256))
        cell.submit(job)
        self.assertTrue(cell.run(3, until=lambda: len(cell.find_runs("job")) == 4))


class ConflictTest(unittest.TestCase):
    """Another writer changes the row of a job while its owner commits bindings."""

    def test_bindings_go_on(self) -> None:
        # The owner must read the row before it commits again, however often tasks are bound.
        for phase in (0.05, 0.15, 0.25, 0.35, 0.45):
            with self.subTest(phase=phase):
                cell = Cell(entries=1, zones=1)
                cell.run(3)
                cell.table.faults.delay_s = 0.2
                cell.submit(make_job("job", 24, run_ms=100, idempotent=False))
                key = make_work_key("z0/0", JobId("job"))
                for _ in range(6):
                    cell.run(0.5 + phase)
                    row = cell.table._rows.get(key)
                    if row is not None:
                        cell.table.commit(Transaction(puts=[Put(key, row.value)]))
                cell.run(40)
                self.assertEqual(read_work(cell, "job").list_open(), [])


if __name__ == "__main__":
    unittest.main()
