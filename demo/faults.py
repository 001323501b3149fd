"""Faults and changes that the demo causes while the load runs."""

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, DeferredList

from demo.balancer import Balancer
from demo.load import make_authorization
from demo.processes import Children, EntryProcess, make_member, start_entry
from demo.shapes import DemoShape, list_workers
from demo.verdict import Change, Kill, Presence, Run, Shutdown
from demo.web import WebClient
from lavenderstall.bodies import ApplyAnswer, ApplyRequest
from lavenderstall.clocks import sleep
from lavenderstall.identifiers import EntryId, WorkerId
from lavenderstall.protocol import Rows
from lavenderstall.records import RacksRow, decode_row, make_racks_key
from lavenderstall.schemas import Team
from standins.faults import FaultRequest
from standins.server import Ready

REPLACE_SECONDS = 3.0
PAUSE_SECONDS = 6.0
OUTAGE_SECONDS = 10.0
EXIT_SECONDS = 20.0


class World(msgspec.Struct):
    """Hold what the faults act on."""

    shape: DemoShape
    ready: Ready
    children: Children
    entries: dict[EntryId, EntryProcess]
    balancer: Balancer
    web: WebClient
    clock: Any
    run: Run
    operator_hash: str
    say: Callable[[str], None]


class Faults:
    """Cause each fault at its time; owners in different zones are chosen."""

    def __init__(self, world: World, team: Team) -> None:
        self._world = world
        self._team = team
        self._zones_used: set[str] = set()
        self._pending: list[Deferred[Any]] = []
        self._schedule: tuple[tuple[float, Callable[[], Awaitable[None]]], ...] = (
            (2.0, self.change_configuration),
            (5.0, self.kill),
            (13.0, self.shut_down),
            (18.0, self.leave),
            (22.0, self.pause),
            (33.0, self.stop_store),
            (45.0, self.change_configuration),
        )

    def start(self) -> None:
        """Schedule all faults."""
        self._pending = [
            Deferred.fromCoroutine(self._act(seconds, action)) for seconds, action in self._schedule
        ]

    async def _act(self, seconds: float, action: Callable[[], Awaitable[None]]) -> None:
        await sleep(self._world.clock, seconds)
        await action()

    def wait(self) -> Deferred[Any]:
        """Return a deferred that fires after all faults, or fails as the first of them."""
        return DeferredList(self._pending, fireOnOneErrback=True, consumeErrors=True)

    def _choose_owner(self) -> EntryProcess:
        """Return an owner of a slice in a zone without a fault so far."""
        owners = self._world.balancer.find_owners()
        entries = [self._world.entries[name] for name in sorted(owners)]
        fresh = [each for each in entries if each.member.zone not in self._zones_used]
        chosen = (fresh or entries)[0]
        self._zones_used.add(chosen.member.zone)
        return chosen

    async def _list_slices(self, entry: EntryProcess) -> dict[str, list[WorkerId]]:
        """Return the workers of the slices that an entry instance owns."""
        names = self._world.balancer.healthy[entry.id].slices
        key = make_racks_key(entry.member.zone)
        url = f"{self._world.ready.platform}/v1/rows?prefix={key}"
        rows: Rows = await self._world.web.fetch("GET", url, Rows)
        racks = decode_row(rows.rows[0], RacksRow).racks
        return {
            name: [
                worker.id
                for worker in list_workers(self._world.shape)
                if f"{entry.member.zone}/{racks.get(worker.rack)}" == name  # type: ignore[call-overload]
            ]
            for name in names
        }

    async def kill(self) -> None:
        """Kill an owner; a replacement with a new name starts later."""
        world = self._world
        entry = self._choose_owner()
        slices = await self._list_slices(entry)
        now = world.clock.seconds()
        entry.child.send_signal(signal.SIGKILL)
        entry.ended = now
        world.run.kills.append(Kill(entry.id, now, slices))
        world.say(f"killed {entry.id}, owner of {', '.join(slices)}")
        await sleep(world.clock, REPLACE_SECONDS)
        await self._replace(entry)

    async def _replace(self, entry: EntryProcess) -> None:
        world = self._world
        name = f"entry-{len(world.entries) + 1}"
        member = make_member(name, entry.member.zone)
        platform = world.ready.platform
        await world.web.fetch("DELETE", f"{platform}/entries/{entry.id}", dict)
        await world.web.fetch("PUT", f"{platform}/entries/{name}", dict, member)
        now = world.clock.seconds()
        world.entries[member.id] = start_entry(
            world.children, member, world.ready, world.operator_hash, now
        )
        world.say(f"started {name} in place of {entry.id}")

    async def shut_down(self) -> None:
        """Tell an owner to end and wait until it has."""
        world = self._world
        entry = self._choose_owner()
        asked = world.clock.seconds()
        entry.child.send_signal(signal.SIGTERM)
        world.say(f"told {entry.id} to shut down")
        entry.child.ended.addTimeout(EXIT_SECONDS + 2, world.clock)
        await entry.child.ended
        entry.ended = world.clock.seconds()
        world.run.shutdowns.append(Shutdown(entry.id, asked, entry.ended))
        world.say(f"{entry.id} ended after {entry.ended - asked:.1f} s")
        await self._replace(entry)

    async def leave(self) -> None:
        """Put a worker into leaving."""
        worker = list_workers(self._world.shape)[0].id
        await self._set_fault(f"worker/{worker}", leaving=True)
        self._world.say(f"worker {worker} leaves")

    async def _set_fault(self, target: str, **settings: Any) -> None:
        url = f"{self._world.ready.platform}/faults"
        await self._world.web.fetch("POST", url, dict, FaultRequest(target, settings))

    async def pause(self) -> None:
        """Pause an owner for longer than its lease."""
        world = self._world
        entry = self._choose_owner()
        since = world.clock.seconds()
        entry.child.send_signal(signal.SIGSTOP)
        world.say(f"paused {entry.id}")
        await sleep(world.clock, PAUSE_SECONDS)
        entry.child.send_signal(signal.SIGCONT)
        entry.pauses.append((since, world.clock.seconds()))
        world.say(f"{entry.id} goes on after {PAUSE_SECONDS:g} s")

    async def stop_store(self) -> None:
        """Stop the table and the object store for a time."""
        for down in (True, False):
            await self._set_fault("table", down=down)
            await self._set_fault("objects", down=down)
            self._world.say(f"the store is {'down' if down else 'up'}")
            if down:
                await sleep(self._world.clock, OUTAGE_SECONDS)

    async def change_configuration(self) -> None:
        """Raise the weight of a team."""
        self._team = msgspec.structs.replace(self._team, weight=self._team.weight + 1)
        answer = await apply(self._world, msgspec.json.encode(self._team).decode())
        self._world.say(
            f"team {self._team.name} has weight {self._team.weight} at version {answer.version}"
        )


async def apply(world: World, documents: str) -> ApplyAnswer:
    """Apply declarations and note when they were sent."""
    entry = world.balancer.choose()
    if entry is None:
        raise RuntimeError("no entry instance is healthy")
    sent = world.clock.seconds()
    answer: ApplyAnswer = await world.web.fetch(
        "POST",
        f"{entry.member.http}/v1/apply",
        ApplyAnswer,
        ApplyRequest(documents, "demo"),
        make_authorization("operator"),
    )
    world.run.changes.append(Change(sent, answer.version))
    return answer


def list_presences(world: World, until: float) -> list[Presence]:
    """Return when each entry instance was connected; a pause divides this in two."""
    found: list[Presence] = []
    for name, entry in world.entries.items():
        first = min((s.at for s in world.run.sightings if s.entry == name), default=None)
        if first is None:
            continue
        end = until if entry.ended is None else entry.ended
        for since, resumed in entry.pauses:
            found.append(Presence(name, first, since))
            first = resumed
        found.append(Presence(name, first, end))
    return found
