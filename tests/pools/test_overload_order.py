"""Tests of the order of jobs while a pool has too little room."""

import unittest
from collections.abc import Callable, Iterable, Sequence
from functools import cache
from random import Random
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from lavenderstall.identifiers import TeamName
from lavenderstall.pools.overload_order import PendingWork, PoolRoom, rank_work
from lavenderstall.pools.teams import NO_TEAM, Team
from lavenderstall.pools.work import Queue, QueueName
from tests.pools.builders import ADVISED, Bench, make_entry, make_job, make_queue, make_step
from tests.pools.overload_simulation import (
    Arrival,
    Order,
    Outcome,
    Result,
    Simulation,
    draw_arrivals,
)

NOW = 1000.0
URGENT = make_queue(name="urgent", prefix="/u/", slack=1.5, objective_ms=250.0)
ADVISED_QUEUE = replace(URGENT, advising=ADVISED)
LARGE = make_queue(name="large", prefix="/l/", priority=2, slack=1.5, objective_ms=3_000.0)
TEAMS = tuple(TeamName(f"team-{number}") for number in range(6))
FLOODING, OTHERS = TEAMS[0], TEAMS[1:]
SEEDS = range(2)


def make_work(**fields: object) -> PendingWork:
    """Return a job of one task of half a second on a hundredth of the room."""
    values: dict[str, object] = {
        "queue": QueueName("stops"),
        "team": NO_TEAM,
        "priority": 0,
        "deadline": NOW + 1.0,
        "expires_at": NOW + 3.0,
        "path_s": 0.5,
        "room": 0.01,
        "left": 0.005,
        "total": 0.005,
    }
    return PendingWork(**(values | fields))  # type: ignore[arg-type]


def list_order(pending: Sequence[PendingWork], room: PoolRoom | None = None) -> list[int]:
    """Return the numbers of jobs in their order."""
    ranks = rank_work(pending, room or PoolRoom(), NOW)
    return sorted(range(len(pending)), key=lambda number: (ranks[number], number))


class RankTest(unittest.TestCase):
    """Which of two jobs goes first, on full workers."""

    def test_the_first_goes_before_the_second(self) -> None:
        """Fails if what is delayed costs callers more than what goes first."""
        late = make_work(deadline=NOW - 0.1)
        rows: Iterable[tuple[str, PendingWork, PendingWork]] = (
            ("priority", make_work(), make_work(priority=1, deadline=NOW + 0.6)),
            ("deadline", make_work(deadline=NOW + 0.7), make_work()),
            ("longer path", make_work(path_s=0.8), make_work()),
            ("in time or late", make_work(), late),
            ("late or worthless", late, make_work(deadline=NOW - 3, expires_at=NOW - 1)),
            ("late or sure to be worthless", late, make_work(path_s=7.0)),
            ("any or worthless", make_work(priority=5), make_work(expires_at=NOW - 1)),
            ("starving", make_work(priority=5, starving=True, deadline=NOW - 1), make_work()),
            ("lasting", make_work(lasts=True, deadline=NOW - 9, expires_at=NOW - 8), late),
        )
        for name, first, second in rows:
            with self.subTest(name):
                self.assertEqual(list_order([first, second]), [0, 1])
                self.assertEqual(list_order([second, first]), [1, 0])

    def test_a_wide_job_yields_to_small_ones_that_would_become_late(self) -> None:
        """Fails if one job delays ten others past their deadlines."""
        wide = make_work(room=0.9, left=0.6, total=0.6, deadline=NOW + 0.9)
        small = [make_work(room=0.04, left=0.04, total=0.04)] * 10
        self.assertEqual(list_order([wide, *small])[-1], 0)
        self.assertEqual(list_order([wide, make_work(deadline=NOW + 9.0)])[0], 0)

    def test_a_job_that_is_nearly_done_goes_before_one_that_has_just_begun(self) -> None:
        """Fails if work that was done is lost by lateness, although little is left."""
        rows = [make_work(left=0.8, total=0.8)] * 3 + [make_work(left=0.01, total=0.8)]
        self.assertEqual(list_order(rows)[0], 3)

    def test_a_team_goes_first_with_its_part_of_the_room_only(self) -> None:
        """Fails if a team that sends more displaces others, or unused room isn't lent."""
        rows: Iterable[tuple[str, dict[TeamName, list[tuple[int, float]]], float, bool]] = (
            ("holds more than its part", {FLOODING: [(0, 0.6)], OTHERS[0]: [(0, 0.1)]}, 1.0, True),
            ("holds it at a lower priority", {FLOODING: [(9, 0.6)], OTHERS[0]: []}, 1.0, False),
            ("has a larger weight", {FLOODING: [(0, 0.6)], OTHERS[0]: [(0, 0.1)]}, 9.0, False),
            ("holds what others leave", {FLOODING: [(0, 0.6)]}, 1.0, False),
        )
        for name, held, weight, yields in rows:
            with self.subTest(name):
                flood = [make_work(team=FLOODING, room=0.3, deadline=NOW + 0.9)] * 1
                other = make_work(team=OTHERS[0], room=0.45 if OTHERS[0] in held else 0.01)
                room = PoolRoom(1.0, held, {FLOODING: weight})
                self.assertEqual(list_order([*flood, other], room), [1, 0] if yields else [0, 1])

    @given(
        st.lists(
            st.builds(
                make_work,
                team=st.sampled_from(TEAMS),
                priority=st.integers(0, 2),
                deadline=st.floats(NOW - 5, NOW + 5),
                expires_at=st.floats(NOW - 5, NOW + 15),
                path_s=st.floats(0, 9),
                room=st.floats(0, 2),
                left=st.floats(0, 5),
                total=st.floats(0, 5),
                lasts=st.booleans(),
                starving=st.booleans(),
            ),
            max_size=20,
        ),
        st.floats(0, 1),
    )
    def test_any_jobs_are_ranked_by_what_may_not_be_reversed(
        self, pending: list[PendingWork], turnover: float
    ) -> None:
        """Fails if a job gets no place, or a worthless result goes before another."""
        ranks = rank_work(pending, PoolRoom(turnover), NOW)
        self.assertEqual(len(ranks), len(pending))
        for work, rank in zip(pending, ranks, strict=True):
            expired = work.expires_at < NOW and not work.lasts
            self.assertGreaterEqual(rank.worthless, expired)
            self.assertEqual(rank.priority, 0 if work.starving else work.priority)


class Load(NamedTuple):
    """A drawn load, and the queues and teams that it is to serve better."""

    name: str
    draw: Callable[[Random], list[Arrival]]
    teams: tuple[Team, ...] = ()


def make_urgent(*teams: TeamName) -> Callable[[Random, float], Arrival]:
    """Return a source of jobs of few short tasks."""

    def make(random: Random, at: float) -> Arrival:
        step = make_step(random.randint(4, 16), expected_ms=random.randint(400, 700))
        return Arrival(at, URGENT, (step,), random.choice(teams or (NO_TEAM,)))

    return make


def make_large(*teams: TeamName) -> Callable[[Random, float], Arrival]:
    """Return a source of jobs of two wide steps."""

    def make(random: Random, at: float) -> Arrival:
        count = random.randint(8, 28)
        first = make_step(count, expected_ms=2_000, checkpointing=True)
        second = make_step(count, expected_ms=2_000, after=(0,))
        return Arrival(at, LARGE, (first, second), random.choice(teams or (NO_TEAM,)))

    return make


def make_wide(_: Random, at: float) -> Arrival:
    """Return a job that fills all workers twice."""
    return Arrival(at, URGENT, (make_step(64, expected_ms=2_000),))


def draw_burst(random: Random) -> list[Arrival]:
    """Return a load of 1.3 times the room, with a burst of urgent jobs."""
    return [
        *draw_arrivals(random, 15, 3, make_urgent()),
        *draw_arrivals(random, 10, 8, make_urgent(), 5),
        *draw_arrivals(random, 15, 0.15, make_large()),
    ]


def draw_advised_burst(random: Random) -> list[Arrival]:
    """Return the same load, with urgent jobs that may run on some workers only."""
    return [
        arrival._replace(queue=ADVISED_QUEUE) if arrival.queue is URGENT else arrival
        for arrival in draw_burst(random)
    ]


def draw_wide_jobs(random: Random) -> list[Arrival]:
    """Return a load of urgent jobs, some of them of a hundred times the work of others."""
    return [
        *draw_arrivals(random, 15, 5, make_urgent()),
        *draw_arrivals(random, 15, 0.3, make_wide),
    ]


def draw_calm(random: Random) -> list[Arrival]:
    """Return a load that workers have room for."""
    return draw_arrivals(random, 15, 1.0, make_urgent())


def draw_teams(random: Random) -> list[Arrival]:
    """Return a load of teams with equal shares."""
    return [
        *draw_arrivals(random, 15, 2.5, make_urgent(*TEAMS)),
        *draw_arrivals(random, 15, 0.15, make_large(*TEAMS)),
    ]


def draw_flood(random: Random) -> list[Arrival]:
    """Return the same load, with one team that sends more than all others for ten seconds."""
    return [
        *draw_teams(random),
        *draw_arrivals(random, 12, 6, make_urgent(FLOODING), 2),
    ]


EQUAL_TEAMS = tuple(Team(name) for name in TEAMS)
LOADS = {
    "burst": Load("burst", draw_burst),
    "advised burst": Load("advised burst", draw_advised_burst),
    "wide jobs": Load("wide jobs", draw_wide_jobs),
    "calm": Load("calm", draw_calm),
    "teams": Load("teams", draw_teams, EQUAL_TEAMS),
    "flood": Load("flood", draw_flood, EQUAL_TEAMS),
}


@cache
def play(name: str, seed: int, order: Order) -> Result:
    """Play a drawn load under an order."""
    load = LOADS[name]
    return Simulation(load.draw(Random(seed)), order, load.teams, seed).run()


def add_up(outcomes: Iterable[Outcome]) -> Outcome:
    """Return the sum of outcomes."""
    found = list(outcomes)
    return Outcome(
        sum(each.jobs for each in found),
        sum(each.in_time for each in found),
        sum(each.of_use for each in found),
    )


def add_up_queue(name: str, queue: Queue, order: Order) -> Outcome:
    """Return what became of the jobs of a queue under all seeds."""
    results = (play(name, seed, order).queues for seed in SEEDS)
    return add_up(queues.get(queue.name, Outcome()) for queues in results)


def add_up_teams(name: str, order: Order) -> Outcome:
    """Return what became of the jobs of the teams that send what is usual, under all seeds."""
    results = (play(name, seed, order).teams for seed in SEEDS)
    return add_up(teams.get(team, Outcome()) for teams in results for team in OTHERS)


class DrawnLoadTest(unittest.TestCase):
    """What callers get from the same draws under each order."""

    def test_more_urgent_jobs_are_in_time(self) -> None:
        """Fails if room goes to jobs that are late anyway, or to one in place of ten others."""
        for name in ("burst", "advised burst", "wide jobs", "flood"):
            found = {order: add_up_queue(name, URGENT, order) for order in Order}
            for other in (Order.ARRIVAL, Order.DEADLINE):
                with self.subTest(name, other=other):
                    self.assertGreater(found[Order.OVERLOAD].in_time, found[other].in_time)

    def test_a_flood_of_one_team_costs_the_others_little(self) -> None:
        """Fails if a team that sends several times its share displaces the jobs of others."""
        usual = add_up_teams("teams", Order.DEADLINE)
        flooded = add_up_teams("flood", Order.OVERLOAD)
        self.assertGreater(flooded.of_use, 0.9 * usual.of_use)
        self.assertGreater(flooded.in_time, add_up_teams("flood", Order.DEADLINE).in_time)

    def test_all_jobs_are_done_in_the_end(self) -> None:
        """Fails if a job starves, also one that is wide, late or worthless."""
        for name, seed in ((name, seed) for name in LOADS for seed in SEEDS):
            with self.subTest(name, seed=seed):
                result = play(name, seed, Order.OVERLOAD)
                jobs = sum(outcome.jobs for outcome in result.queues.values())
                self.assertEqual(len(result.ended_at), jobs)

    def test_with_enough_room_the_same_tasks_start_on_the_same_workers(self) -> None:
        """Fails if the order changes anything where all that waits has room."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                starts = [play("calm", seed, order).starts for order in Order]
                self.assertEqual(starts[2], starts[1])


class ExplanationTest(unittest.TestCase):
    """What operators see of a step that waits."""

    def test_the_log_tells_why_others_go_first(self) -> None:
        """Fails if operators can't tell want of room from the order, or it shows while off."""
        for orders_overload, expected in ((True, "no room"), (False, None)):
            with self.subTest(orders_overload=orders_overload):
                bench = Bench(make_entry("w1"))
                bench.pool.orders_overload = orders_overload
                bench.pool.add_job(make_job(make_step(9, expected_ms=20_000)))
                bench.start()
                bench.advance(1.5)
                with self.assertLogs("lavenderstall.pools.dispatch") as logs:
                    bench.dispatch()
                waiting = [r for r in logs.records if r.msg == "tasks of a step are waiting"]
                self.assertEqual([getattr(r, "order", None) for r in waiting], [expected])


if __name__ == "__main__":
    unittest.main()
