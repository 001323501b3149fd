"""Tests of whole cells in which pools change owners while the store or the registry is impaired."""

import unittest
from collections.abc import Callable, Iterable
from functools import partial
from itertools import product
from math import inf
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred

from lavenderstall.pools.records import get_shard, list_shards
from tests.platform.fake_platform import STORE, FakeWorker
from tests.platform.loopback import Direction
from tests.platform.test_lasting_tasks import (
    AWAY_S,
    CALM_S,
    JOB,
    POOL,
    REST_S,
    WATCH_S,
    EndWorker,
    cut_off,
    leave,
    leave_and_reset,
    list_running,
    submit_lasting_task,
)
from tests.platform.test_silent_cell import PersistentCell

INSTANCES = 6
WORKERS = 8
SEED = 42
# How long an owner is frozen, cut off or without its commits.
IMPAIRMENT_S = 2.0
# From one change of owners to the next; longer than a successor needs to take over.
INTERVAL_S = 2.0
# Time in which a worker that has crashed is back.
CRASH_S = 0.5
# Interval at which a registry that is out of date is written again.
REWRITE_INTERVAL_S = 0.01
REGISTRY = "servers"

# Changes the owner of the pool.
ChangeOwner = Callable[[PersistentCell, str], None]


class Event(NamedTuple):
    """A change of a cell, in seconds after the end of a worker, and how long it impairs it."""

    at_s: float
    change: Callable[[PersistentCell], None]
    lasts_s: float = 0.0


# Ends of workers


def crash_and_rename(cell: PersistentCell, worker: FakeWorker) -> None:
    """Crash a worker; its next process has the same address and another name."""
    cell.platform.renames_workers = True
    worker.crash(CRASH_S)


PLANNED: tuple[EndWorker, ...] = (leave, leave_and_reset)
ENDS: tuple[EndWorker, ...] = (leave_and_reset, cut_off, crash_and_rename)


# Changes of owners


def kill(cell: PersistentCell, owner: str) -> None:
    """End an owner whose host closes its connections."""
    cell.kill(owner)


def remove(cell: PersistentCell, owner: str) -> None:
    """End an owner with its host, so that its connections fall silent."""
    cell.remove(owner)


def release(cell: PersistentCell, owner: str) -> None:
    """Let an owner release its pools, as before a planned shutdown."""
    Deferred.fromCoroutine(cell.nodes[owner].instance.release_pools())


def lose_commits(cell: PersistentCell, owner: str) -> None:
    """Lose the commits of an owner for a while, but not its reads."""
    service = cell.nodes[owner].http_client.service
    service.loses_commits = True
    cell.clock.callLater(IMPAIRMENT_S, setattr, service, "loses_commits", False)


def lose_store(cell: PersistentCell, owner: str) -> None:
    """Cut an owner off from the store for a while."""
    unreachable = cell.nodes[owner].http_client.unreachable
    unreachable.add(STORE)
    cell.clock.callLater(IMPAIRMENT_S, unreachable.discard, STORE)


def isolate(cell: PersistentCell, owner: str) -> None:
    """Cut an owner off from the store and from all peers for a while, but not from workers."""
    lose_store(cell, owner)
    pairs = {frozenset((owner, name)) for name in cell.nodes if name != owner}
    cell.disconnected_pairs |= pairs
    cell.clock.callLater(IMPAIRMENT_S, cell.disconnected_pairs.difference_update, pairs)


def freeze(cell: PersistentCell, owner: str) -> None:
    """Freeze an owner for a while."""
    cell.freeze(owner)
    cell.clock.callLater(IMPAIRMENT_S, cell.thaw, owner)


def keep(cell: PersistentCell, owner: str) -> None:
    """Leave an owner alone."""


IMPAIRMENTS: tuple[ChangeOwner, ...] = (lose_commits, lose_store, isolate, freeze)


def change_owner(change: ChangeOwner, cell: PersistentCell) -> None:
    """Change the owner of the pool, if it has one."""
    owner = cell.find_owner(POOL)
    if owner is not None:
        change(cell, owner)


def list_changes(change: ChangeOwner, at_s: float, owners: int = 1) -> list[Event]:
    """Return the changes of some owners, one after another."""
    lasts_s = IMPAIRMENT_S if change in IMPAIRMENTS else 0.0
    return [
        Event(at_s + number * INTERVAL_S, partial(change_owner, change), lasts_s)
        for number in range(owners)
    ]


# Impairments of the store and the registry


def silence_store(direction: Direction, share: float, cell: PersistentCell) -> None:
    """Let a share of the open connections to the store fall silent for good; new ones work."""
    random = Random(SEED)
    for node in cell.nodes.values():
        node.http_client.silence(
            direction, lambda address: address == STORE and random.random() < share
        )


def impair(attribute: str, value: object, lasts_s: float, cell: PersistentCell) -> None:
    """Change an attribute of the platform for a while."""
    before = getattr(cell.platform, attribute)
    setattr(cell.platform, attribute, value)
    cell.clock.callLater(lasts_s, setattr, cell.platform, attribute, before)


def hold_registry(share: float, lasts_s: float, cell: PersistentCell) -> None:
    """Let the registry list a share of the workers that it lists now, and no others, for a while.

    Those that end meanwhile stay listed, and those that start are listed late.
    """
    random = Random(SEED)
    rows = cell.platform.rows
    listed = {key: row for key, row in rows.items() if key[0] == REGISTRY}
    kept = {key: row for key, row in listed.items() if random.random() < share}
    ends_at = cell.clock.seconds() + lasts_s

    def rewrite() -> None:
        for key in [key for key in rows if key[0] == REGISTRY]:
            del rows[key]
        if cell.clock.seconds() < ends_at:
            rows.update(kept)
            cell.clock.callLater(REWRITE_INTERVAL_S, rewrite)
            return
        cell.platform.register()
        for worker in cell.platform.workers.values():
            if worker.address in cell.unreachable_workers:
                rows.pop((REGISTRY, "", worker.name), None)

    rewrite()


# The first prevent claims, the others do not.
CLAIM_IMPAIRMENTS: tuple[tuple[str, object], ...] = (
    ("down_partitions", {POOL}),
    ("down_partitions", {POOL, "", *list_shards()}),
    ("lost_paths", {"/v1/rows-get"}),
    ("lost_paths", {"/v1/rows-tx"}),
    ("store_mode", "busy"),
    ("store_mode", "silent"),
)
LOAD_IMPAIRMENTS: tuple[tuple[str, object], ...] = (
    ("down_partitions", {get_shard(JOB)}),
    ("down_partitions", set(list_shards()[::2])),
    ("feeds_silent", True),
    ("store_delay_s", 0.3),
    ("store_delay_s", 0.9),
)
REGISTRY_IMPAIRMENTS: tuple[Callable[[float, PersistentCell], None], ...] = (
    partial(hold_registry, 1.0),
    partial(hold_registry, 0.5),
    partial(hold_registry, 0.0),
    partial(impair, "down_partitions", {""}),
)


def start_lasting_task(planned: bool) -> tuple[PersistentCell, FakeWorker]:
    """Return a cell with a task that lasts, and its worker, which is about to leave if planned."""
    cell = PersistentCell(INSTANCES, WORKERS, advice=False)
    return cell, submit_lasting_task(cell, planned)


class SilentTakeoverTest(unittest.TestCase):
    """A task that lasts loses its worker, its pool changes owners, and something is impaired."""

    def assert_returns(self, end_worker: EndWorker, events: Iterable[Event]) -> None:
        """Assert that the task is soon back after its worker's end, and never runs twice."""
        cell, worker = start_lasting_task(end_worker in PLANNED)
        events = [*events]
        ends_s = max(0.0, -min(event.at_s for event in events))
        worker_ends_at = cell.clock.seconds() + ends_s
        cell.clock.callLater(ends_s, end_worker, cell, worker)
        for event in events:
            cell.clock.callLater(ends_s + event.at_s, event.change, cell)
        self.assertTrue(cell.run_until(lambda: not list_running(cell), WATCH_S))
        ended_s = cell.clock.seconds() - worker_ends_at
        returned = cell.run_until(lambda: bool(list_running(cell)), 2 * WATCH_S)
        returned_s = cell.clock.seconds() - worker_ends_at if returned else inf
        cell.run(2.0)
        calm_s = max(event.at_s + event.lasts_s for event in events) + CALM_S
        self.assertLess(returned_s, max(ended_s + REST_S, calm_s) + AWAY_S)
        self.assertEqual(cell.platform.checker.violations, [])

    def test_owners_change_while_connections_to_the_store_are_silent(self) -> None:
        """Fails if an owner extends leases for long after its successor's term has begun."""
        changes = (kill, remove, release, *IMPAIRMENTS)
        moments = ((-0.3, 1.2, 1, 1.0), (0.1, 0.5, 1, 0.7), (0.7, 0.0, 3, 0.7))
        for end_worker, change, moment in product(ENDS[:2], changes, moments):
            at_s, silent_s, owners, share = moment
            with self.subTest(end=end_worker.__name__, change=change.__name__, moment=moment):
                silence = partial(silence_store, Direction.BOTH, share)
                events = list_changes(change, at_s, owners)
                self.assert_returns(end_worker, [Event(at_s - silent_s, silence), *events])

    def test_a_successor_loads_while_the_store_is_impaired(self) -> None:
        """Fails if a successor gives the pool up, or knows late that the task waits."""
        short = product((*CLAIM_IMPAIRMENTS, *LOAD_IMPAIRMENTS), ((-0.3, 0.2, 1.0),))
        long = product(LOAD_IMPAIRMENTS, ((0.7, -0.05, 3.0),))
        for impairment, (at_s, lead_s, lasts_s) in (*short, *long):
            for end_worker, change in ((leave_and_reset, kill), (cut_off, remove)):
                with self.subTest(end=end_worker.__name__, impairment=impairment, at_s=at_s):
                    event = Event(at_s - lead_s, partial(impair, *impairment, lasts_s), lasts_s)
                    self.assert_returns(end_worker, [event, *list_changes(change, at_s)])

    def test_a_pool_cannot_be_claimed_for_some_time(self) -> None:
        """Fails if a late claimant waits for an owner that has not been heard since its end."""
        moments = ((leave_and_reset, kill, -0.3), (cut_off, remove, 0.7))
        for impairment, lasts_s, moment in product(CLAIM_IMPAIRMENTS, (3.0, 4.5), moments):
            end_worker, change, at_s = moment
            with self.subTest(end=end_worker.__name__, impairment=impairment, lasts_s=lasts_s):
                event = Event(at_s + 0.05, partial(impair, *impairment, lasts_s), lasts_s)
                self.assert_returns(end_worker, [event, *list_changes(change, at_s)])

    def test_a_claim_gets_no_answer(self) -> None:
        """Fails if a pool whose claim is durable waits for a claimant that has never acted."""
        moments = ((-0.3, 1.0), (0.1, 3.0), (0.7, 1.0))
        for end_worker, change, moment in product(ENDS[:2], (kill, remove, release), moments):
            at_s, lasts_s = moment
            with self.subTest(end=end_worker.__name__, change=change.__name__, at_s=at_s):
                event = Event(at_s + 0.05, partial(impair, "store_mode", "mute", lasts_s), lasts_s)
                self.assert_returns(end_worker, [event, *list_changes(change, at_s)])

    def test_the_registry_is_read_late_or_in_parts(self) -> None:
        """Fails if a successor waits for a worker that is listed though it has left."""
        changes = ((keep, 0.1), (kill, 0.1), (release, 0.7))
        for end_worker, (change, at_s), number in product(ENDS, changes, range(4)):
            with self.subTest(end=end_worker.__name__, change=change.__name__, number=number):
                lasts_s = IMPAIRMENT_S
                event = Event(-0.1, partial(REGISTRY_IMPAIRMENTS[number], lasts_s), lasts_s)
                self.assert_returns(end_worker, [event, *list_changes(change, at_s)])


if __name__ == "__main__":
    unittest.main()
