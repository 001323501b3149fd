"""Owners that a query asks, against asking all entry instances."""

import time
from collections.abc import Iterator
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bench.figures import Figure, make_figure
from lavenderstall.access import Caller
from lavenderstall.entry import Entry, Outside, Settings
from lavenderstall.identifiers import (
    EntryId,
    Incarnation,
    RackName,
    WorkerId,
    ZoneName,
    make_slice_name,
)
from lavenderstall.inventory import Answer
from lavenderstall.protocol import LeaseAnswer, LeaseRequest, WorkerMember
from lavenderstall.records import EntryRow
from lavenderstall.resources import Resources
from lavenderstall.schemas import Right
from lavenderstall.slices import SliceServer
from lavenderstall.targets import HttpTargetClient
from lavenderstall.tenures import Identity, Tenure
from lavenderstall.traces import Traces
from lavenderstall.worker_index import WorkerState
from standins.links import LocalHub
from standins.members import MembershipList
from standins.table import Table, TableView

FLEETS = (9, 150)
ZONES = 6
SLICE_WORKERS = 16
SLICES = 2
ROUNDS = 5
CAPACITY = Resources(64_000, 262_144, 8, 8, 64)
OPERATOR = Caller("operator", Right.CHANGE)
# Each question with the part of the name under which its figures appear.
QUESTIONS = (
    ("slice", "show workers where slice = 'z1/0'"),
    ("zone", "show workers where zone = 'z1'"),
    ("rack", "show workers where rack = 'z1-0'"),
    ("worker", "show workers where id = 'z1-0-w0'"),
    ("all", "show workers"),
)


class SilentClient(HttpTargetClient):
    """Never answer, because the entry instances hold no running work here."""

    def __init__(self) -> None:
        """Open no connections."""

    def renew(self, worker: WorkerId, url: str, request: LeaseRequest) -> "Deferred[LeaseAnswer]":
        """Return no answer."""
        return Deferred()


class Fleet:
    """Entry instances in one process that know each other's slices."""

    def __init__(self, entries: int, seed: int) -> None:
        self.clock = Clock()
        self.hub = LocalHub()
        self.entries: list[Entry] = []
        table = Table(self.clock)
        members = MembershipList(self.clock)
        for number in range(entries):
            self._add(number, table, members, Random(seed + number))
        rows = {
            each.entry: EntryRow(
                each.entry, each.identity.incarnation, each.identity.zone, "", "", 1
            )
            for each in self.entries
        }
        for each in self.entries:
            each.ownership.peers = rows
        # Starts the heartbeats, so that they do not fall into the time of a query.
        self.clock.advance(0.3)
        summaries = [server.summarize() for e in self.entries for server in e.slices.values()]
        for each in self.entries:
            for summary in summaries:
                each.directory.update(summary)

    def _add(self, number: int, table: Table, members: MembershipList, random: Random) -> None:
        name = EntryId(f"entry-{number}")
        zone = ZoneName(f"z{number % ZONES + 1}")
        links = self.hub.join(self.clock, name)
        outside = Outside(
            clock=self.clock,
            random=random,
            store=TableView(table),
            members=members,
            links=links,
            client=SilentClient(),
            read_unix=time.time,
            traces=Traces(name),
        )
        identity = Identity(name, Incarnation(f"{name}.1"), zone, "", "")
        entry = Entry(identity, outside, Settings())
        links.set_receiver(entry.receive)
        self.entries.append(entry)
        for index in range(number // ZONES * SLICES, (number // ZONES + 1) * SLICES):
            self._own(entry, zone, index, members)

    def _own(self, entry: Entry, zone: ZoneName, index: int, members: MembershipList) -> None:
        rack = RackName(f"{zone}-{index}")
        entry.ownership.racks[rack] = index
        workers = [
            WorkerMember(WorkerId(f"{rack}-w{n}"), zone, rack, "", "pool")
            for n in range(SLICE_WORKERS)
        ]
        for worker in workers:
            members.set_worker(worker, lag_s=0)
        name = make_slice_name(zone, index)
        tenure = Tenure(name, 1, 1, 0.0, 0.0, frozenset())
        entry.ownership.tenures[name] = tenure
        server = SliceServer(entry, tenure)
        entry.slices[name] = server
        server.set_members({worker.id: worker for worker in workers})
        for worker in workers:
            state = WorkerState(
                id=worker.id,
                zone=zone,
                rack=rack,
                pool=worker.pool,
                labels=frozenset(),
                capacity=CAPACITY,
                incarnation=Incarnation(worker.id),
            )
            server.state.add_worker(state)

    def ask(self, text: str) -> tuple[int, float, Answer]:
        """Return the entry instances asked, the processor seconds of all, and the answer."""
        asker = self.entries[-1]
        before = asker.metrics.counters["query_parts_asked"]
        begin = time.process_time()
        waiting = Deferred.fromCoroutine(asker.queries.answer(text, OPERATOR))
        answers: list[Answer] = []
        waiting.addCallback(answers.append)
        for _ in range(10):
            if not answers:
                self.clock.advance(0.002)
        took = time.process_time() - begin
        if not answers:
            raise RuntimeError(f"no answer to {text!r}: {waiting.result!r}")
        return asker.metrics.counters["query_parts_asked"] - before, took, answers[0]

    def ask_often(self, text: str) -> tuple[int, float, Answer]:
        """Return the result of the question that took the least time of some."""
        return min((self.ask(text) for _ in range(ROUNDS)), key=lambda found: found[1])


def run(seed: int) -> Iterator[Figure]:
    """Yield the instances asked and the processor time, against asking all."""
    for entries in FLEETS:
        fleet = Fleet(entries, seed)
        # The first question also loads the grammar.
        fleet.ask(QUESTIONS[-1][1])
        found = {name: fleet.ask_often(text) for name, text in QUESTIONS}
        asked_all, time_all, _ = found["all"]
        for name, (asked, took, answer) in found.items():
            if answer.missing:
                raise RuntimeError(f"{name}: {answer.missing}")
            yield make_figure(
                f"query_asked_{name}_{entries}", asked, "instances", seed, baseline=asked_all
            )
            yield make_figure(
                f"query_cpu_{name}_{entries}", took * 1e3, "ms", seed, baseline=time_all * 1e3
            )
