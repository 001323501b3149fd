"""Tests of whole cells in which the room of a pool is contested as it changes owners."""

import unittest
from collections.abc import Callable, Iterable
from functools import partial
from itertools import product
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from tests.platform.fake_platform import FakeWorker
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import make_name
from tests.platform.test_lasting_tasks import AWAY_S, CALM_S, REST_S, RESTART_S, count_running

POOL, URGENT = POOLS
INSTANCES = 6
# Half of the workers belong to the pool.
WORKERS = 16
TASKS = 3
LASTING_JOB = make_name(1)
LASTING = {"count": TASKS, "cpu": 2000, "taskMemoryMb": 500, "longRunning": True}
ONE_PER_WORKER = {"maxPerServer": 1}
# Longest time for which a task that lasts may wait after the end of its run, or of impairments.
MAX_REST_S = REST_S + AWAY_S
MAX_IMPAIRED_REST_S = CALM_S + AWAY_S
SAMPLE_S = 0.1
# From the announcement of a worker's end, and from the begin of a contest, to that end.
DRAIN_S = 2.0
LEAD_S = 1.0
# From the end of a worker to that of its owner, which knows of it.
DELAYS_S = (0.7, 1.5)
# The same for an owner that may not have noticed.
EARLY_DELAYS_S = (-0.3, 0.1)
# How long runs last that end in crashes, each shorter than the first, so that all are kept.
CRASHED_RUNS_S = (12.0, 4.0, 3.0, 3.0)


class EndOfWorker(NamedTuple):
    """How a worker ends: announced or not, and for how long that impairs the pool."""

    name: str
    end: Callable[[SimulatedCell, FakeWorker], None]
    planned: bool = False
    impaired_s: float = 0.0


class EndOfOwner(NamedTuple):
    """How an instance ends to own a pool, and for how long that impairs the pool."""

    name: str
    end: Callable[[SimulatedCell, str], None]
    impaired_s: float = 0.0


# Contests the room of a pool from `LEAD_S` before the end of a worker; returns for how long after
# that end this impairs the pool.
Contest = Callable[[SimulatedCell, FakeWorker], float]


def leave(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Let a worker exit, with its connections closed."""
    worker.leave()


def leave_with_host(cell: SimulatedCell, worker: FakeWorker) -> None:
    """End a worker with its host, so that it refuses no connections."""
    worker.disconnection = "reset"
    worker.host_gone = True
    worker.leave()


def crash(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Crash a worker that starts again under its name."""
    worker.crash(RESTART_S)


def crash_and_rename(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Crash a worker that starts again under another name."""
    cell.platform.renames_workers = True
    worker.crash(RESTART_S)


def cut_off(cell: SimulatedCell, worker: FakeWorker) -> None:
    """Cut a worker off from all instances and from the store."""
    cell.cut_off(worker)


def restart(cell: SimulatedCell, owner: str) -> None:
    """Kill an owner, which restarts as an instance without pools."""
    cell.kill(owner)
    cell.clock.callLater(RESTART_S, cell.start, owner)


def kill(cell: SimulatedCell, owner: str) -> None:
    """Kill an owner for good."""
    cell.kill(owner)


def release(cell: SimulatedCell, owner: str) -> None:
    """Let an owner release its pools, as before a planned shutdown."""
    Deferred.fromCoroutine(cell.nodes[owner].instance.release_pools())


LEAVES = EndOfWorker("leaves", leave, planned=True)
LOST_WITH_HOST = EndOfWorker("is lost with its host", leave_with_host)
CRASHES = EndOfWorker("crashes", crash, impaired_s=RESTART_S)
RETURNS_RENAMED = EndOfWorker("returns under another name", crash_and_rename, impaired_s=RESTART_S)
CUT_OFF = EndOfWorker("is cut off", cut_off)
ENDS_OF_WORKERS = (LEAVES, LOST_WITH_HOST, CRASHES, RETURNS_RENAMED, CUT_OFF)
ENDS_OF_OWNERS = (
    EndOfOwner("restarted", restart, RESTART_S),
    EndOfOwner("killed", kill),
    EndOfOwner("released", release),
)


def list_workers(cell: SimulatedCell) -> list[FakeWorker]:
    """Return the workers of the pool."""
    return [worker for worker in cell.platform.workers.values() if worker.pool == POOL]


def submit(cell: SimulatedCell, number: int, step: dict[str, Any]) -> None:
    """Submit a job of one step to the urgent queue, at an instance that lives."""
    cell.submit(next(iter(cell.nodes)), URGENT, make_name(number), [step])


def put_settings(cell: SimulatedCell, version: int, **fields: Any) -> None:
    """Write a configuration that by default sends both queues to the pool, one of them urgent."""
    defaults = {"advice": False, "moved": {URGENT: POOL}, "priorities": {POOL: 5}}
    cell.put_settings(version, **{**defaults, **fields})


def change_routes(cell: SimulatedCell, worker: FakeWorker) -> float:
    """Move, remove and restore the queue every 0.4 s, with other priorities and advice."""
    versions: tuple[dict[str, Any], ...] = (
        {"moved": {POOL: URGENT, URGENT: POOL}},
        {"moved": {POOL: "", URGENT: POOL}, "removes_services": True},
        {"advice": True},
        {"moved": {POOL: ""}},
        {"priorities": {URGENT: 3}},
        {},
    )
    for number, version in enumerate(versions):
        cell.clock.callLater(0.4 * number, partial(put_settings, cell, 10 + number, **version))
    return 0.4 * len(versions) - LEAD_S


def scale_in(cell: SimulatedCell, worker: FakeWorker) -> float:
    """Let three other workers leave, each announced 1.5 s before."""
    others = [other for other in list_workers(cell) if other is not worker]
    for number, other in enumerate(others[:3]):
        cell.clock.callLater(0.4 * number, other.drain, 1.5)
    return 0.4 * 2 + 1.5 - LEAD_S


def change_routes_and_scale_in(cell: SimulatedCell, worker: FakeWorker) -> float:
    """Change the routes while workers leave."""
    return max(change_routes(cell, worker), scale_in(cell, worker))


def lose_starts(cell: SimulatedCell, worker: FakeWorker) -> float:
    """Lose all starts for 2 s, some of them on each worker, so that workers back off."""
    paths = cell.platform.lost_paths
    cell.clock.callLater(LEAD_S, paths.add, "/v1/run-start")
    cell.clock.callLater(LEAD_S + 2.0, paths.discard, "/v1/run-start")
    step = {"count": 8, "cpu": 500, "taskMemoryMb": 100, "estimatedDurationMs": 300}
    for number in range(8):
        cell.clock.callLater(LEAD_S + 0.25 * number, submit, cell, 500 + number, step)
    return 2.0


def block_steps(cell: SimulatedCell, worker: FakeWorker) -> float:
    """Let many urgent steps wait that fit nowhere, half of which last."""
    for number in range(40):
        step = {"count": 2, "cpu": 16000, "taskMemoryMb": 500, **ONE_PER_WORKER}
        lasting = {"longRunning": True, "requiredLabel": f"none-{number}"}
        submit(cell, 700 + number, {**step, **(lasting if number % 2 else {"gpu": 9})})
    return 0.0


def reserve_for_gangs(cell: SimulatedCell, worker: FakeWorker) -> float:
    """Fill the idle workers for 3 s; then two are busy for 18 s, and gangs wait for them."""
    idle = sum(not each.running for each in list_workers(cell))
    step = {"cpu": 15000, "taskMemoryMb": 500, **ONE_PER_WORKER}
    submit(cell, 800, {**step, "count": idle, "estimatedDurationMs": 3000})
    submit(cell, 801, {**step, "count": 2, "estimatedDurationMs": 18000})
    gang = {**step, "cpu": 6000, "count": 7, "gang": True, "estimatedDurationMs": 30000}
    for number in range(4):
        submit(cell, 802 + number, gang)
    return 3.2 - LEAD_S


CONTESTS = (
    change_routes,
    scale_in,
    change_routes_and_scale_in,
    lose_starts,
    block_steps,
    reserve_for_gangs,
)


class Case(NamedTuple):
    """A worker that ends while room is contested, and its owner that ends `delay_s` later."""

    contest: Contest
    end_of_worker: EndOfWorker
    end_of_owner: EndOfOwner
    delay_s: float
    step: dict[str, Any]

    def describe(self) -> dict[str, object]:
        """Return what tells this case from others."""
        return {
            "contest": self.contest.__name__,
            "worker": self.end_of_worker.name,
            "owner": self.end_of_owner.name,
            "delay_s": self.delay_s,
            "step": self.step,
        }


class Absence(NamedTuple):
    """When a run of a task ended, and how long the task waited for the next one at least."""

    ended_at: float
    away_s: float


def list_lasting(cell: SimulatedCell) -> set[str]:
    """Return the tasks that last and run now."""
    return {name for name in count_running(cell) if name.startswith(LASTING_JOB)}


def start_lasting_tasks(step: dict[str, Any]) -> tuple[SimulatedCell, FakeWorker]:
    """Return a cell with tasks that last, and a worker with some of them."""
    cell = SimulatedCell(INSTANCES, WORKERS, advice=False)
    put_settings(cell, 2)
    assert cell.run_until(lambda: all(cell.find_owner(pool) for pool in POOLS), 3.0)
    cell.run(1.5)
    cell.submit("entry-0", POOL, LASTING_JOB, [{**LASTING, **step}])
    assert cell.run_until(lambda: len(list_lasting(cell)) == TASKS, 2.0)
    cell.run(1.0)
    return cell, next(worker for worker in list_workers(cell) if worker.running)


def end_owner(cell: SimulatedCell, end: Callable[[SimulatedCell, str], None]) -> None:
    """End the ownership of the pool, if it has an owner."""
    owner = cell.find_owner(POOL)
    if owner is not None:
        end(cell, owner)


def crash_repeatedly(cell: SimulatedCell) -> FakeWorker:
    """Crash the workers of tasks that last again and again; return one that has some now."""
    for run_s in CRASHED_RUNS_S:
        cell.run(run_s)
        for each in list_workers(cell):
            if each.running:
                crash_and_rename(cell, each)
        assert cell.run_until(lambda: len(list_lasting(cell)) == TASKS, MAX_REST_S)
    return next(each for each in list_workers(cell) if each.running)


def play(case: Case) -> tuple[SimulatedCell, list[Absence]]:
    """Play a case, and return the cell and the absences that lasted for too long."""
    cell, worker = start_lasting_tasks(case.step)
    return cell, end_and_list_late(cell, worker, *case[1:4], case.contest)


def contest_nothing(cell: SimulatedCell, worker: FakeWorker) -> float:
    """Leave the room to the tasks that last."""
    return 0.0


def end_and_list_late(
    cell: SimulatedCell,
    worker: FakeWorker,
    end_of_worker: EndOfWorker,
    end_of_owner: EndOfOwner,
    delay_s: float,
    contest: Contest = contest_nothing,
) -> list[Absence]:
    """End a worker and its owner while room is contested; return the absences that are too long."""
    if end_of_worker.planned:
        worker.drain(DRAIN_S + LEAD_S)
        cell.run(DRAIN_S)
    contested_s = contest(cell, worker)
    ends_at = cell.clock.seconds() + LEAD_S
    cell.clock.callLater(LEAD_S, end_of_worker.end, cell, worker)
    cell.clock.callLater(LEAD_S + delay_s, end_owner, cell, end_of_owner.end)
    disturbed_s = delay_s + end_of_owner.impaired_s
    return list_late(cell, ends_at + max(contested_s, end_of_worker.impaired_s, disturbed_s))


def list_late(cell: SimulatedCell, calm_at: float) -> list[Absence]:
    """Return the absences that are too long, until none lasts and the pool has been calm."""
    names = {f"{LASTING_JOB}.0.0.{number}" for number in range(TASKS)}
    ended_at: dict[str, float] = {}
    late: list[Absence] = []
    while not late and (ended_at or cell.clock.seconds() < calm_at + MAX_IMPAIRED_REST_S):
        cell.run(SAMPLE_S)
        now, running = cell.clock.seconds(), list_lasting(cell)
        ended_at = {name: ended_at.get(name, now) for name in names - running}
        late = [
            Absence(ended, now - ended)
            for ended in ended_at.values()
            if now > max(ended + MAX_REST_S, calm_at + MAX_IMPAIRED_REST_S)
        ]
    return late


class RoomAfterTakeoverTest(unittest.TestCase):
    """A task that lasts loses its worker, the pool its owner, and there is room for it."""

    def check(self, cases: Iterable[Case]) -> None:
        """Check that no task is away for too long, or runs twice."""
        for case in cases:
            with self.subTest(**case.describe()):
                cell, late = play(case)
                self.assertEqual(late, [])
                self.assertEqual(cell.platform.checker.violations, [])

    def test_room_that_gangs_wait_for(self) -> None:
        """Fails if a successor takes tasks that have run before for new ones."""
        ends = (LEAVES, RETURNS_RENAMED)
        steps: tuple[dict[str, Any], ...] = ({}, ONE_PER_WORKER)
        self.check(
            Case(reserve_for_gangs, *fields)
            for fields in product(ends, ENDS_OF_OWNERS, DELAYS_S[:1], steps)
        )

    def test_room_of_a_gang_that_lasts(self) -> None:
        """Fails if a gang that lasts and has run before heeds reservations of other gangs."""
        ends = (LEAVES, RETURNS_RENAMED)
        self.check(
            Case(reserve_for_gangs, *fields, {"gang": True})
            for fields in product(ends, ENDS_OF_OWNERS, DELAYS_S[:1])
        )

    def test_room_among_changes(self) -> None:
        """Fails if routes, leaving workers, backoff or blocked steps hold a task back."""
        ends = (LEAVES, RETURNS_RENAMED)
        self.check(
            Case(contest, end, ENDS_OF_OWNERS[number % 3], DELAYS_S[number % 2], {})
            for number, (contest, end) in enumerate(product(CONTESTS[:-1], ends))
        )

    def test_a_task_under_which_workers_have_crashed(self) -> None:
        """Fails if a successor delays a start by too long an interval after earlier crashes."""
        cases = product((LOST_WITH_HOST, RETURNS_RENAMED), ENDS_OF_OWNERS, EARLY_DELAYS_S)
        for end_of_worker, end_of_owner, delay_s in cases:
            with self.subTest(worker=end_of_worker.name, owner=end_of_owner.name, delay_s=delay_s):
                cell, _ = start_lasting_tasks({})
                worker = crash_repeatedly(cell)
                late = end_and_list_late(cell, worker, end_of_worker, end_of_owner, delay_s)
                self.assertEqual(late, [])
                self.assertEqual(cell.platform.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
