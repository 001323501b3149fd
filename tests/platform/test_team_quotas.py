"""Tests of whole cells in which a team sends more work to several pools than its quota allows."""

import unittest
from collections.abc import Callable
from itertools import count, permutations
from typing import Any

from lavenderstall.identifiers import TeamName
from tests.platform.fake_platform import STORE_DELAY_S, FakeWorker
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import STEP, make_name

LARGE, SMALL = TeamName("large"), TeamName("small")
QUOTA = 20
TASK = {**STEP, "count": 8, "cpu": 1000, "taskMemoryMb": 100, "estimatedDurationMs": 300}
WORKERS = 8
# Workers poll for this long; then all pools have owners.
START_S = 3.0
# The configuration is in force everywhere, and runs that were started before have ended.
SETTLED_S = 3.5


def make_teams(quota: int) -> list[dict[str, Any]]:
    """Return two teams that have the same quota of cores."""
    return [
        {"name": name, "apiKeys": [f"key-{name}"], "maxCount": {"cpu": quota * 1000}}
        for name in (LARGE, SMALL)
    ]


class QuotaCell(SimulatedCell):
    """A cell that records how many tasks of a team run at once."""

    def __init__(self) -> None:
        super().__init__(workers=WORKERS, advice=False, teams=make_teams(QUOTA))
        self._numbers = count(1)
        self._teams: dict[str, TeamName] = {}
        # The most tasks that ran after a start since the last reset, by team.
        self.peaks: dict[TeamName, int] = {}
        self.platform.checker.check_room = self._check_room  # type: ignore[method-assign]
        self.run(START_S)

    def _check_room(self, worker: FakeWorker) -> None:
        started = self._teams[next(reversed(worker.running)).partition(".")[0]]
        running = self.count_running(started)
        self.peaks[started] = max(self.peaks.get(started, 0), running)

    def count_running(self, team: TeamName, pool: str = "") -> int:
        """Return how many tasks of a team run, in one pool or in all."""
        workers = [w for w in self.platform.workers.values() if w.up and pool in {"", w.pool}]
        for worker in workers:
            worker.advance()
        tasks = [name for worker in workers for name in worker.running]
        return sum(self._teams[name.partition(".")[0]] is team for name in tasks)

    def flood(self, team: TeamName, jobs: int, pools: tuple[str, ...] = POOLS) -> None:
        """Submit jobs of a team to each of some pools."""
        nodes = [name for name, node in self.nodes.items() if not node.clock.frozen]
        for number in range(jobs):
            for pool in pools:
                job = make_name(next(self._numbers))
                self._teams[job] = team
                self.submit(nodes[number % len(nodes)], pool, job, [TASK], team=team)

    def change_quota(self, version: int, quota: int) -> None:
        """Write a configuration with another quota."""
        self.teams = make_teams(quota)
        self.put_settings(version, advice=False)

    def count_done(self) -> int:
        """Return how many tasks are done."""
        return len(self.platform.checker.done)


def kill_owner(cell: QuotaCell) -> None:
    """Kill the owner of a pool."""
    owner = cell.find_owner(POOLS[0])
    assert owner is not None
    cell.kill(owner)


def freeze_owner(cell: QuotaCell) -> None:
    """Freeze the owner of a pool for a while."""
    owner = cell.find_owner(POOLS[0])
    assert owner is not None
    cell.freeze(owner)
    cell.clock.callLater(2.0, cell.thaw, owner)


def restart_owners(cell: QuotaCell) -> None:
    """Restart the owners of both pools, one after the other."""
    cell.restart_owner(POOLS[0])
    cell.clock.callLater(0.7, cell.restart_owner, POOLS[1])


def lose_store(cell: QuotaCell) -> None:
    """Make the store unavailable for a while."""
    cell.platform.store_mode = "busy"
    cell.clock.callLater(1.5, setattr, cell.platform, "store_mode", "up")


def slow_store(cell: QuotaCell) -> None:
    """Make the store slow for a while."""
    cell.platform.store_delay_s = 0.3
    cell.clock.callLater(2.0, setattr, cell.platform, "store_delay_s", STORE_DELAY_S)


def silence_links(cell: QuotaCell) -> None:
    """Silence all connections between instances until they are replaced."""
    cell.silent_links |= set(permutations(cell.nodes, 2))


def do_nothing(cell: QuotaCell) -> None:
    """Leave the cell as it is."""


DISTURBANCES: tuple[Callable[[QuotaCell], None], ...] = (
    do_nothing,
    kill_owner,
    freeze_owner,
    restart_owners,
    lose_store,
    slow_store,
    silence_links,
)


class TeamQuotaTest(unittest.TestCase):
    """Starts of several pools that share a quota."""

    def test_quota_holds_over_pools(self) -> None:
        """Fails if two pools together run more than the quota of a team, or leave it unused."""
        for disturb in DISTURBANCES:
            with self.subTest(disturb.__name__):
                self._check_quota(disturb)

    def _check_quota(self, disturb: Callable[[QuotaCell], None]) -> None:
        cell = QuotaCell()
        cell.flood(LARGE, 12)
        cell.run(1.0)
        disturb(cell)
        self.assertTrue(cell.run_until(lambda: cell.count_done() == 12 * 2 * 8, 20.0))
        self.assertLessEqual(cell.peaks[LARGE], QUOTA)
        self.assertGreaterEqual(cell.peaks[LARGE], QUOTA - 4)

    def test_quota_is_used_at_once(self) -> None:
        """Fails if a team starts late in its first pool, or gets too little of its quota there."""
        cell = QuotaCell()
        cell.flood(LARGE, 6, POOLS[:1])
        self.assertTrue(cell.run_until(lambda: cell.count_running(LARGE) > 0, 0.3))
        self.assertTrue(cell.run_until(lambda: cell.peaks.get(LARGE, 0) >= QUOTA - 4, 0.6))

    def test_unused_share_is_lent(self) -> None:
        """Fails if a pool waits long for the share that another one has and doesn't use."""
        cell = QuotaCell()
        cell.flood(LARGE, 3, POOLS[:1])
        cell.run(3.0)
        cell.flood(LARGE, 6, POOLS[1:])
        self.assertTrue(cell.run_until(lambda: cell.count_running(LARGE) >= QUOTA - 4, 0.6))

    def test_flooded_pools_share_evenly(self) -> None:
        """Fails if a pool that was flooded first keeps the quota of the team from another one."""
        cell = QuotaCell()
        cell.flood(LARGE, 30, POOLS[:1])
        cell.run(1.0)
        cell.flood(LARGE, 30, POOLS[1:])
        cell.run(1.5)
        self.assertGreaterEqual(cell.count_running(LARGE, POOLS[1]), QUOTA // 2 - 3)
        self.assertLessEqual(cell.peaks[LARGE], QUOTA)

    def test_lowered_quota(self) -> None:
        """Fails if pools start more than a lowered quota once it is in force."""
        cell = QuotaCell()
        cell.flood(LARGE, 60)
        cell.run(1.0)
        cell.change_quota(2, QUOTA // 2)
        cell.run(SETTLED_S)
        cell.peaks.clear()
        cell.run(2.0)
        self.assertLessEqual(cell.peaks[LARGE], QUOTA // 2)
        self.assertGreaterEqual(cell.peaks[LARGE], QUOTA // 4)
        cell.change_quota(3, QUOTA)
        cell.run(SETTLED_S)
        self.assertGreater(cell.peaks[LARGE], QUOTA // 2)
        self.assertLessEqual(cell.peaks[LARGE], QUOTA)

    def test_small_team_beside_flood(self) -> None:
        """Fails if the quota of a team that sends eight times as much holds up another one."""
        cell = QuotaCell()
        cell.flood(LARGE, 16)
        cell.run(1.0)
        cell.flood(SMALL, 2)
        self.assertTrue(cell.run_until(lambda: cell.peaks.get(SMALL, 0) > 0, 0.3))
        self.assertTrue(cell.run_until(lambda: cell.count_running(SMALL) == 0, 2.0))
        self.assertLessEqual(cell.peaks[LARGE], QUOTA)

    def test_nothing_without_quotas(self) -> None:
        """Fails if a cell without quotas reads or writes shares."""
        cell = SimulatedCell(advice=False)
        cell.submit("entry-0", POOLS[0], make_name(1), [TASK])
        cell.run(3.0)
        self.assertNotIn("shares", {table for table, _, _ in cell.platform.rows})
