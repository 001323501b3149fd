"""Cost of what an entry instance does with data about the whole cell, at several cell sizes."""

import time
import tracemalloc
from collections.abc import Callable

import msgspec
from twisted.internet.task import Clock

from bench.slopes import Slope, fit_slope
from lavenderstall.call_routing import SliceDirectory
from lavenderstall.identifiers import (
    EntryId,
    Epoch,
    Incarnation,
    RackName,
    ServiceName,
    TeamName,
    WorkerId,
    ZoneName,
    make_slice_name,
)
from lavenderstall.messages import Envelope, PoolSummary, SliceSummary
from lavenderstall.protocol import Members, Row, Rows, WorkerMember
from lavenderstall.queues import FairQueue
from lavenderstall.records import EntryRow, decode_row, encode_row, make_entry_key
from lavenderstall.resources import Resources
from lavenderstall.schemas import Quota, Team
from lavenderstall.slice_configuration import apply_teams, sum_team_usage
from lavenderstall.slices import SliceServer

ROUNDS = 3
OWN_SLICES = 5
LIST_SIZES = (1_000, 4_000, 12_000)
SLICE_COUNTS = (32, 128, 750)
TEAM_COUNTS = (32, 128, 470)
SUMMARY_TEAMS = (0, 20, 60)
LIVENESS_ROWS = (9, 60, 150)
USED = Resources(4000, 8192)


class Costs(msgspec.Struct, frozen=True):
    """Processor seconds a listed worker, a summary and a round of quotas; bytes a worker."""

    list_cpu: Slope
    list_bytes: Slope
    list_wire: Slope
    summary_cpu: Slope
    summary_wire: Slope
    liveness_cpu: Slope
    liveness_wire: Slope
    quotas: list[tuple[int, int, float]]


def measure_cpu(work: Callable[[], object]) -> float:
    """Return the least processor seconds of some rounds; others only add noise."""
    best = float("inf")
    for _ in range(ROUNDS):
        begin = time.process_time()
        work()
        best = min(best, time.process_time() - begin)
    return best


def make_members(workers: int) -> bytes:
    """Return a membership list as it arrives."""
    listed = [
        WorkerMember(
            WorkerId(f"worker-{n:05d}"),
            ZoneName(f"z{n % 6 + 1}"),
            RackName(f"rack-{n // 4:05d}"),
            f"http://10.0.{n // 250}.{n % 250}:8080",
            "pool",
        )
        for n in range(workers)
    ]
    return msgspec.json.encode(Members(0.0, listed))


def measure_list(workers: int) -> tuple[float, int, int]:
    """Return processor seconds to read a list, bytes it takes in memory and on the wire."""
    data = make_members(workers)
    cpu = measure_cpu(lambda: msgspec.json.decode(data, type=Members))
    tracemalloc.start()
    members = msgspec.json.decode(data, type=Members)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(members.workers) == workers
    return cpu, used, len(data)


def make_summary(number: int, teams: int) -> SliceSummary:
    """Return a summary in which some teams use resources."""
    pool = PoolSummary(16, USED, USED, USED)
    return SliceSummary(
        make_slice_name(ZoneName(f"z{number % 6 + 1}"), number // 6),
        EntryId(f"entry-{number}"),
        Epoch(1000),
        {"pool": pool},
        {ServiceName("routing"): 40},
        {"batch": 10},
        100,
        {TeamName(f"team-{team}"): USED for team in range(teams)},
    )


def measure_summary(teams: int) -> tuple[float, int]:
    """Return processor seconds to take in one summary, and its bytes."""
    summaries = [make_summary(number, teams) for number in range(750)]
    envelopes = [
        msgspec.msgpack.encode(Envelope(EntryId("e"), Incarnation("i"), [*summaries[n : n + 5]]))
        for n in range(0, 750, 5)
    ]
    decoder = msgspec.msgpack.Decoder(Envelope)
    directory = SliceDirectory(Clock(), EntryId("me"), ZoneName("z1"))

    def work() -> None:
        for data in envelopes:
            for message in decoder.decode(data).messages:
                assert isinstance(message, SliceSummary)
                directory.update(message)

    return measure_cpu(work) / 750, sum(map(len, envelopes)) // 750


def measure_liveness(entries: int) -> tuple[float, int]:
    """Return processor seconds to read the liveness rows of a fleet, and their bytes."""
    rows = []
    for number in range(entries):
        name = EntryId(f"entry-{number}")
        address = f"10.0.0.{number}"
        zone = ZoneName(f"z{number % 6 + 1}")
        row = EntryRow(
            name, Incarnation("0" * 16), zone, f"tcp://{address}:7000", f"http://{address}:80", 999
        )
        rows.append(Row(make_entry_key(name), 123_456, encode_row(row)))
    data = msgspec.json.encode(Rows(123_456, rows))

    def work() -> None:
        for row in msgspec.json.decode(data, type=Rows).rows:
            decode_row(row, EntryRow)

    return measure_cpu(work), len(data)


class QuotaServer:
    """The part of a slice that quotas are set on."""

    def __init__(self) -> None:
        self.name = make_slice_name(ZoneName("z1"), 0)
        self.queue = FairQueue()
        self.allowances: dict[TeamName, tuple[int, Resources | None]] = {}

    def request_schedule(self) -> None:
        """Do nothing, because nothing waits."""


def measure_quotas(teams: int, slices: int, active: int = 20) -> float:
    """Return processor seconds to set the quotas of all slices of one entry instance."""
    declared = [Team(name=f"team-{n}", quota=Quota(Resources(10**9, 10**9))) for n in range(teams)]
    summaries = [make_summary(number, min(active, teams)) for number in range(slices)]
    servers: list[SliceServer] = [QuotaServer() for _ in range(OWN_SLICES)]  # type: ignore[misc]
    own = summaries[0].teams

    def work() -> None:
        totals = sum_team_usage(summaries)
        for server in servers:
            apply_teams(server, declared, totals, own)

    return measure_cpu(work)


def measure_costs() -> Costs:
    """Return all costs, each as a line through three sizes."""
    lists = [(size, *measure_list(size)) for size in LIST_SIZES]
    summaries = [(teams, *measure_summary(teams)) for teams in SUMMARY_TEAMS]
    liveness = [(entries, *measure_liveness(entries)) for entries in LIVENESS_ROWS]
    return Costs(
        fit_slope([(size, cpu) for size, cpu, _, _ in lists]),
        fit_slope([(size, used) for size, _, used, _ in lists]),
        fit_slope([(size, wire) for size, _, _, wire in lists]),
        fit_slope([(teams, cpu) for teams, cpu, _ in summaries]),
        fit_slope([(teams, wire) for teams, _, wire in summaries]),
        fit_slope([(entries, cpu) for entries, cpu, _ in liveness]),
        fit_slope([(entries, wire) for entries, _, wire in liveness]),
        [
            (teams, slices, measure_quotas(teams, slices))
            for teams, slices in zip(TEAM_COUNTS, SLICE_COUNTS, strict=True)
        ],
    )
