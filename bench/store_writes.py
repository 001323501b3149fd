"""Writes to the table by 9 and by 150 entry instances that all have more to write than they may."""

from collections.abc import Iterator, Sequence
from functools import partial
from itertools import count
from random import Random
from typing import Any

import msgspec
from twisted.internet.task import Clock

from bench.figures import Figure, make_figure
from lavenderstall.commits import GroupCommit
from lavenderstall.identifiers import EntryId, Incarnation, RackName, ZoneName
from lavenderstall.ownership import Ownership
from lavenderstall.protocol import Put
from lavenderstall.tenures import Identity, OwnershipObserver
from standins.table import Table, TableView

FLEETS = (9, 150)
ZONES = 6
RACKS = 24
SECONDS = 30
SETTLE_SECONDS = 10
LIMIT = 200
# The table must not refuse what is to be counted.
UNBOUNDED = 1_000_000


class Load(msgspec.Struct, frozen=True):
    """The busiest second of the table and the mean, both once settled and from the start."""

    peak: int
    mean: float
    peak_at_start: int


class Writer:
    """An entry instance without slices' work: its liveness row, ownership and group commit."""

    def __init__(self, number: int, table: Table, clock: Clock, delay: float) -> None:
        name = EntryId(f"entry-{number}")
        zone = ZoneName(f"z{number % ZONES + 1}")
        identity = Identity(name, Incarnation(f"{name}.1"), zone, f"tcp://{name}", f"http://{name}")
        store = TableView(table)
        nonces = count()

        def make_nonce() -> str:
            return f"{name}-{next(nonces)}"

        self._key = f"load/{name}"
        self.ownership = Ownership(identity, store, clock, OwnershipObserver(), make_nonce)
        self.ownership.set_listed_racks(RackName(f"{zone}-rack-{rack}") for rack in range(RACKS))
        self.commits = GroupCommit(
            store, clock, make_nonce, lambda: max(len(self.ownership.peers), 1)
        )
        self._numbers = count()
        # Processes do not start in the same instant.
        clock.callLater(delay, self.ownership.start)

    def fill(self, result: object = None) -> None:
        """Keep one write waiting, so that each transaction that may be sent is sent."""
        put = Put(f"{self._key}/{next(self._numbers) % 100}", msgspec.Raw(b'{"value":1}'))
        self.commits.submit(puts=[put], timeout=60).addBoth(self.fill)


def measure_writes(entries: int, seed: int, seconds: int = SECONDS) -> Load:
    """Return the writes a second of some entry instances at full load."""
    clock, random = Clock(), Random(seed)
    table = Table(clock, UNBOUNDED, UNBOUNDED)
    for number in range(entries):
        writer = Writer(number, table, clock, random.random())
        # Work comes once the entry instances have seen each other's rows.
        clock.callLater(2 + random.random(), writer.fill)
    while clock.seconds() < seconds:
        calls: Sequence[Any] = clock.getDelayedCalls()
        following = min(call.getTime() for call in calls)
        clock.advance(max(0.0, following - clock.seconds()))
    times = list(table.write_times)
    late = [at for at in times if at >= SETTLE_SECONDS]
    return Load(find_peak(late), len(late) / (seconds - SETTLE_SECONDS), find_peak(times))


def find_peak(times: list[float]) -> int:
    """Return the most writes in any second that starts with a write."""
    peak, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        peak = max(peak, last - first + 1)
    return peak


def run(seed: int) -> Iterator[Figure]:
    """Yield the most writes in a second for 9 and for 150 entry instances."""
    for entries in FLEETS:
        load = measure_writes(entries, seed)
        make = partial(make_figure, unit="1/s", seed=seed)
        yield make(
            f"store_writes_peak_{entries}",
            load.peak,
            target=f"at most {LIMIT}",
            met=load.peak <= LIMIT,
        )
        yield make(f"store_writes_mean_{entries}", load.mean)
        yield make(
            f"store_writes_peak_start_{entries}",
            load.peak_at_start,
            target=f"at most {LIMIT}",
            met=load.peak_at_start <= LIMIT,
        )
