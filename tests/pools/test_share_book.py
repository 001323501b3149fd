"""Tests of the shares of teams that one owner may use, and of those that it writes."""

import unittest

from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.pools.share_book import PlannedRow, ShareBook
from lavenderstall.pools.share_decisions import (
    MIN_STARVED_MS,
    Share,
    SharesRow,
    TeamDemand,
    choose_ceiling,
    choose_raise,
    compute_limit,
    divide,
)
from lavenderstall.pools.team_usage import TeamUsage, count_startable
from lavenderstall.pools.teams import Team
from lavenderstall.pools.work import PoolName, Settings, StepKey
from lavenderstall.resources import NOTHING, Resources

TEAM = TeamName("acme")
OWN, OTHER, THIRD = PoolName("routing"), PoolName("vision"), PoolName("photos")
STEP = StepKey(JobId("00000000000000a1"), 0, 0)
QUOTA = 100


def cores(amount: int) -> Resources:
    """Return an amount of cores, in thousandths."""
    return Resources(cores_milli=amount)


def make_row(version: int = 1, quota: int = QUOTA, term: int = 1, **amounts: int) -> SharesRow:
    """Return a row with shares of cores."""
    shares = {PoolName(pool): Share(term, cores(amount)) for pool, amount in amounts.items()}
    return SharesRow(version, cores(quota), shares)


def make_demand(
    used: int, demand: int, starved_ms: int = 0, chunk: int = 1, version: int = 0
) -> TeamDemand:
    """Return a demand for cores."""
    return TeamDemand(TEAM, cores(used), cores(demand), cores(chunk), starved_ms, version)


class BookBench:
    """An owner's book, with what its pool runs."""

    def __init__(self, row: SharesRow | None = None, term: int = 1) -> None:
        self.usage = TeamUsage()
        self.book = ShareBook(OWN, term, self.usage)
        self.set_quota(1, QUOTA)
        if row is not None:
            self.book.note_row(TEAM, 1, row)

    def set_quota(self, version: int, quota: int) -> None:
        """Replace the configuration."""
        self.book.set_settings(Settings(version, teams=(Team(TEAM, quota=cores(quota)),)))

    def wish(self, need: int, count: int = 1) -> None:
        """Let tasks wait that the share doesn't allow."""
        self.book.note_wish(TEAM, STEP, cores(need), count, 0)
        self.book.end_dispatch()

    def plan(self) -> PlannedRow | None:
        """Return the row to write, if any."""
        planned = self.book.plan_rows(10)
        return planned[0] if planned else None

    def get_limit(self) -> int:
        """Return the cores that the pool may use."""
        limit = self.book.get_limit(TEAM)
        assert limit is not None
        return limit.cores_milli


class DecisionTest(unittest.TestCase):
    """Decisions on shares."""

    def test_limit(self) -> None:
        """Fails if a pool uses more than its share, or than others leave of a lowered quota."""
        for own, other, quota, limit in (
            (40, 60, 100, 40),
            (40, 60, 80, 20),
            (40, 60, 50, 0),
            (0, 0, 100, 0),
            (40, 0, 30, 30),
        ):
            with self.subTest(own=own, other=other, quota=quota):
                found = compute_limit(make_row(routing=own, vision=other), OWN, cores(quota))
                self.assertEqual(found, cores(limit))

    def test_limit_in_another_amount(self) -> None:
        """Fails if a pool starts anything while another one exceeds the quota in any amount."""
        shares = {OWN: Share(1, Resources(10, 10)), OTHER: Share(1, Resources(10, 90))}
        row = SharesRow(1, Resources(100, 100), shares)
        self.assertEqual(compute_limit(row, OWN, Resources(100, 50)), NOTHING)

    def test_divide(self) -> None:
        """Fails if a pool with a lower demand doesn't leave the rest, or a flood takes all."""
        for demands, parts in (
            ((30, 20), (30, 20)),
            ((800, 100), (50, 50)),
            ((800, 10), (90, 10)),
            ((800, 60, 20), (40, 40, 20)),
            ((0, 0), (0, 0)),
        ):
            with self.subTest(demands=demands):
                pools = [OWN, OTHER, THIRD][: len(demands)]
                found = divide(cores(100), dict(zip(pools, map(cores, demands), strict=True)))
                self.assertEqual([found[pool].cores_milli for pool in pools], list(parts))

    def test_raise(self) -> None:
        """Fails if a pool takes what isn't free, or writes for each start."""
        for held, demand, free, raised in (
            (0, 10, 100, 55),
            (0, 10, 8, 8),
            (20, 10, 100, 20),
            (20, 30, 20, 20),
            (20, 100, 100, 100),
        ):
            with self.subTest(held=held, demand=demand, free=free):
                self.assertEqual(
                    choose_raise(cores(held), cores(demand), cores(free)), cores(raised)
                )

    def test_ceiling(self) -> None:
        """Fails if a pool keeps more than its part, or two that need more than that block."""
        long = MIN_STARVED_MS
        for own, other, ceiling in (
            (make_demand(100, 900), make_demand(0, 900), 50),
            (make_demand(100, 900), make_demand(0, 10), 90),
            (make_demand(20, 20), make_demand(0, 900), 20),
            (make_demand(0, 900, long, 70), make_demand(0, 900, long + 1, 70), 30),
            (make_demand(0, 900, long + 2, 70), make_demand(0, 900, long + 1, 70), 70),
            (make_demand(60, 900, long, 70), make_demand(60, 900, long + 1, 70), 50),
        ):
            with self.subTest(own=own, other=other):
                found = choose_ceiling(
                    make_row(routing=100), cores(QUOTA), OWN, own, {OTHER: other}
                )
                self.assertEqual(found, cores(ceiling))

    def test_startable(self) -> None:
        """Fails if a task that exceeds the quota starts without all of it, or never."""
        for used, limit, need, startable in (
            (0, 50, 10, 5),
            (45, 50, 10, 0),
            (0, 100, 120, 1),
            (0, 99, 120, 0),
            (1, 100, 120, 0),
            (60, 50, 0, 0),
        ):
            with self.subTest(used=used, limit=limit, need=need):
                found = count_startable(
                    Resources(used, used and 1),
                    Resources(limit, QUOTA),
                    Resources(QUOTA, QUOTA),
                    Resources(need, 1),
                )
                self.assertEqual(found, startable)


class ShareBookTest(unittest.TestCase):
    """What an owner may use and writes."""

    def test_first_share(self) -> None:
        """Fails if a pool uses a share before it is written, or can't get one."""
        bench = BookBench()
        self.assertEqual(bench.get_limit(), 0)
        bench.wish(10)
        planned = bench.plan()
        assert planned is not None
        self.assertEqual(bench.get_limit(), 0)
        bench.book.note_written([planned], 1)
        self.assertEqual(bench.get_limit(), 55)

    def test_unknown_outcome_of_lowering(self) -> None:
        """Fails if a pool uses a share that a write may yet lower, or never uses it again."""
        bench = BookBench(make_row(routing=80))
        bench.book.note_request(OTHER, make_demand(0, 900))
        planned = bench.plan()
        assert planned is not None
        self.assertEqual(planned.row.get_amounts(OWN), cores(0))
        bench.book.now = 5.0
        self.assertEqual(bench.get_limit(), 0)
        # The write has failed, maybe for another row of its transaction, and the row is the same.
        bench.book.note_row(TEAM, 1, make_row(routing=80))
        self.assertEqual(bench.get_limit(), 0)
        bench.wish(10, 8)
        repeated = bench.plan()
        assert repeated is not None
        bench.book.note_written([repeated], 2)
        self.assertEqual(bench.get_limit(), 80)

    def test_lowered_quota(self) -> None:
        """Fails if a pool goes on by a row that doesn't know that the quota was lowered."""
        bench = BookBench(make_row(routing=50))
        self.assertEqual(bench.get_limit(), 50)
        bench.set_quota(2, 60)
        self.assertEqual(bench.get_limit(), 0)
        planned = bench.plan()
        assert planned is not None
        self.assertEqual((planned.row.settings_version, planned.row.quota.cores_milli), (2, 60))
        # Another pool has raised its share meanwhile, so this write fails.
        bench.book.note_row(TEAM, 2, make_row(routing=50, vision=50))
        self.assertEqual(bench.get_limit(), 0)
        again = bench.plan()
        assert again is not None
        bench.book.note_written([again], 3)
        self.assertEqual(bench.get_limit(), 10)

    def test_skipped_version(self) -> None:
        """Fails if a pool goes on by an old row after a higher quota that it has not seen."""
        bench = BookBench(make_row(routing=50))
        bench.set_quota(3, QUOTA)
        self.assertEqual(bench.get_limit(), 0)

    def test_quota_of_newer_row(self) -> None:
        """Fails if a pool raises its share beyond a quota that only the row tells of."""
        bench = BookBench(make_row(version=2, quota=60, vision=50))
        bench.wish(10, 4)
        planned = bench.plan()
        assert planned is not None
        self.assertEqual(planned.row, make_row(version=2, quota=60, vision=50, routing=10))

    def test_runs_beyond_share(self) -> None:
        """Fails if what a pool runs beyond the quota isn't told to others."""
        bench = BookBench(make_row(vision=80))
        bench.usage.add(TEAM, cores(30))
        bench.book.note_row(TEAM, 2, make_row(vision=80))
        planned = bench.plan()
        assert planned is not None
        self.assertEqual(planned.row.get_amounts(OWN), cores(30))

    def test_takeover(self) -> None:
        """Fails if a new owner starts what an earlier one may run, or gives its share away."""
        bench = BookBench(make_row(routing=50), term=2)
        bench.book.set_uncertain(True)
        self.assertEqual(bench.get_limit(), 0)
        bench.wish(10)
        bench.book.note_request(OTHER, make_demand(0, 900))
        planned = bench.plan()
        assert planned is not None
        bench.book.note_written([planned], 2)
        self.assertEqual(planned.row.shares[OWN].term, 2)
        self.assertGreaterEqual(planned.row.get_amounts(OWN).cores_milli, 50)
        self.assertLessEqual(bench.get_limit(), planned.row.get_amounts(OWN).cores_milli - 50)
        bench.book.set_uncertain(False)
        self.assertGreater(bench.get_limit(), 0)

    def test_later_owner(self) -> None:
        """Fails if a deposed owner goes on with a row that its successor has written."""
        bench = BookBench(make_row(routing=50))
        bench.book.note_row(TEAM, 2, make_row(routing=50, term=2))
        bench.wish(10)
        self.assertEqual(bench.get_limit(), 0)
        self.assertIsNone(bench.plan())

    def test_team_without_quota(self) -> None:
        """Fails if a team without a quota is limited."""
        self.assertIsNone(BookBench().book.get_limit(TeamName("unlimited")))
