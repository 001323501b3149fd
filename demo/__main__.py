"""Starts one cell on loopback, runs load and faults, and prints what became of the promises."""

import sys
import time
from collections.abc import Sequence
from random import SystemRandom
from typing import Any

import msgspec
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred

from demo.balancer import Balancer
from demo.faults import Faults, World, apply, list_presences
from demo.hold import describe_cell
from demo.load import Load, make_scene
from demo.processes import ROOT, Children, make_member, start_entry, start_standins
from demo.shapes import SHAPES, DemoShape, find_examples, list_workers
from demo.verdict import Run, judge, list_broken
from demo.web import WebClient
from lavenderstall.access import hash_token
from lavenderstall.clocks import sleep
from lavenderstall.declarations import Source, read_declarations
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import get_task_id
from lavenderstall.options import Option, OptionError, parse_options, read_choice, read_flag
from lavenderstall.protocol import Members
from lavenderstall.reconciler import make_declared_job_id
from lavenderstall.schemas import Declaration, Service, Team
from standins.cell import CellShape
from standins.members import LAG_S
from standins.truth import TaskStarted, Truth

LOAD_SECONDS = 50.0
READY_SECONDS = 15.0
# Callers that have no answer by then are counted as they are, so that a run ends in 90 s.
END_SECONDS = 83.0
# A difference of clocks below this is the time that the comparison takes.
CLOCK_TOLERANCE_SECONDS = 0.05

# Services start first, because jobs that run already delay them until they have ended.
JOBS_FILE = "jobs.yaml"

OPTIONS = (
    Option("cell", read_choice(*SHAPES), f"one of {', '.join(SHAPES)}", "aguaclara"),
    Option("hold", read_flag, "keep the cell running without load until Ctrl-C", "no"),
)


class Demo:
    """Run one cell from its start to its verdict."""

    def __init__(self, shape: DemoShape, reactor: Any) -> None:
        self._shape = shape
        self._clock = reactor
        self._started = time.monotonic()
        self._logs = ROOT / "out" / f"demo-{shape.name}-{int(time.time())}-{id(self):x}"
        self.children = Children(reactor, self._logs)
        self._random = SystemRandom()
        self._web = WebClient(reactor)
        self._run = Run()

    def say(self, text: str) -> None:
        """Write a progress line on standard error."""
        seconds = time.monotonic() - self._started
        print(f"{seconds:5.1f} s  {text}", file=sys.stderr, flush=True)

    async def hold(self) -> None:
        """Start the cell and keep it until the process is told to end."""
        world, _ = await self._prepare()
        world.balancer.stop()
        addresses = [entry.member.http for entry in world.entries.values()]
        print(describe_cell(addresses, world.ready.platform), flush=True)
        await Deferred()

    async def _prepare(self) -> tuple[World, list[Declaration]]:
        """Start the cell and apply the example declarations."""
        world = await self._start()
        sources = [
            Source(path.name, path.read_text(encoding="utf-8"))
            for path in find_examples(ROOT, self._shape.name)
        ]
        declared = [each.value for each in read_declarations(sources)]
        services = [each for each in declared if isinstance(each, Service)]
        await self._apply(world, [source for source in sources if source.file != JOBS_FILE])
        await self._await_replicas(world, services)
        await self._apply(world, [source for source in sources if source.file == JOBS_FILE])
        return world, declared

    async def run(self) -> dict[str, Any]:
        """Return the fields of the last line."""
        world, declared = await self._prepare()
        load = Load(
            make_scene(declared), world.balancer, self._web, self._clock, self._random, self._run
        )
        faults = Faults(world, next(each for each in declared if isinstance(each, Team)))
        load.start()
        faults.start()
        self.say("load starts")
        await sleep(self._clock, LOAD_SECONDS)
        await faults.wait()
        self.say("load ends")
        await load.stop(max(0.0, END_SECONDS - (time.monotonic() - self._started)))
        return await self._judge(world)

    async def _apply(self, world: World, sources: Sequence[Source]) -> None:
        answer = await apply(world, "\n---\n".join(source.text for source in sources))
        files = ", ".join(source.file for source in sources)
        self.say(f"version {answer.version} of the configuration: {files}")

    async def _start(self) -> World:
        """Start all processes and wait until every zone has an owner."""
        zones = self._shape.zones
        members = [
            make_member(f"entry-{index + 1}", zones[index % len(zones)])
            for index in range(self._shape.entries)
        ]
        cell = CellShape(list_workers(self._shape), members, dict.fromkeys(zones, 0))
        ready = await start_standins(self.children, cell, self._logs / "shape.json")
        operator_hash = hash_token("operator.example", self._random.randbytes(16))
        now = self._clock.seconds()
        entries = {
            member.id: start_entry(self.children, member, ready, operator_hash, now)
            for member in members
        }
        balancer = Balancer(self._web, self._clock, entries, self._random)
        balancer.sightings = self._run.sightings
        balancer.start()
        self.say(f"{len(cell.workers)} workers and {len(entries)} entry instances start")
        world = World(
            self._shape,
            ready,
            self.children,
            entries,
            balancer,
            self._web,
            self._clock,
            self._run,
            operator_hash,
            self.say,
        )
        limit = now + READY_SECONDS
        while len(balancer.healthy) < len(entries) or len(balancer.find_owners()) < len(zones):
            if self._clock.seconds() > limit:
                raise LavenderstallError("the entry instances are not ready", step="start")
            await sleep(self._clock, 0.1)
        self.say(f"{len(balancer.find_owners())} entry instances own slices")
        return world

    async def _read_truths(self, world: World) -> list[Truth]:
        truths: list[Truth] = await self._web.fetch(
            "GET", f"{world.ready.platform}/truth", list[Truth]
        )
        return truths

    async def _await_replicas(self, world: World, services: Sequence[Service]) -> None:
        """Wait until all replicas run, or report how many do."""
        jobs = {make_declared_job_id(each) for each in services}
        wanted = sum(each.replicas for each in services)
        limit = self._clock.seconds() + READY_SECONDS
        while self._clock.seconds() < limit:
            truths = await self._read_truths(world)
            started = {
                get_task_id(record.task)
                for truth in truths
                for record in truth.records
                if isinstance(record, TaskStarted) and record.job in jobs
            }
            if len(started) >= wanted:
                break
            await sleep(self._clock, 0.2)
        self.say(f"{len(started)} of {wanted} replicas run")

    async def _find_offset(self, world: World) -> float:
        """Return the stand-ins' clock minus ours, or 0 if they agree."""
        before = self._clock.seconds()
        url = f"{world.ready.platform}/v1/members"
        members: Members = await self._web.fetch("GET", url, Members)
        middle = (before + self._clock.seconds()) / 2
        offset = members.as_of + LAG_S - middle
        return offset if abs(offset) > CLOCK_TOLERANCE_SECONDS else 0.0

    async def _judge(self, world: World) -> dict[str, Any]:
        """Compare the workers' records with what callers were told."""
        offset = await self._find_offset(world)
        truths = await self._read_truths(world)
        world.balancer.stop()
        self._run.presences = list_presences(world, self._clock.seconds())
        (self._logs / "run.json").write_bytes(msgspec.json.encode(self._run))
        (self._logs / "truth.json").write_bytes(msgspec.json.encode(truths))
        await self._keep_rows(world)
        return judge(self._run, truths, offset)

    async def _keep_rows(self, world: World) -> None:
        """Write the table's rows to the logs, where a failed run is looked into."""
        answer = await self._web.send("GET", f"{world.ready.platform}/v1/rows?prefix=")
        (self._logs / "rows.json").write_bytes(answer.body)


def main() -> int:
    """Run the demo and return the exit status."""
    reactor: Any = default_reactor
    try:
        values = parse_options("demo", OPTIONS)
    except OptionError as error:
        print(f"demo: {error.detail}", file=sys.stderr)
        return 2
    demo = Demo(SHAPES[values["cell"]], reactor)
    results: list[Any] = []

    def begin() -> None:
        done = Deferred.fromCoroutine(demo.hold() if values["hold"] else demo.run())
        done.addBoth(results.append)
        done.addBoth(lambda _: reactor.stop() if reactor.running else None)

    # A signal stops the reactor too, so that the children end in each case.
    reactor.addSystemEventTrigger("before", "shutdown", demo.children.end_all)
    reactor.callWhenRunning(begin)
    reactor.run()
    result = results[0] if results else None
    if values["hold"] and result is None:
        return 0
    if not isinstance(result, dict):
        print(f"demo: {result or 'interrupted'}", file=sys.stderr)
        return 2
    broken = list_broken(result)
    for name in broken:
        print(f"promise broken: {name} is {result[name]}", file=sys.stderr)
    print(msgspec.json.encode(result).decode(), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
