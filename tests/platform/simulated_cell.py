"""Simulated cell: entry instances on the fake platform, driven by one clock."""

import json
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from adapter.store import PlatformStore, make_store_limits
from adapter.wire import PlatformSettingsDecoder, decode_job_body
from adapter.workers import PlatformAdviser, PlatformRegistry, PlatformWorkerClient
from lavenderstall.identifiers import EntryId, Incarnation, JobId, TeamName
from lavenderstall.metrics import Metrics
from lavenderstall.pools.entry_instance import Dependencies, EntryInstance, InstanceIdentity
from lavenderstall.pools.messages import Envelope
from lavenderstall.pools.records import Presence
from lavenderstall.pools.teams import NO_TEAM
from lavenderstall.pools.unreadable_rows import UnreadableRows
from tests.platform.fake_http_client import FakeHttpClient, PausableClock
from tests.platform.fake_platform import (
    ADVISER,
    STORE,
    FakePlatform,
    FakeWorker,
)

POOLS = ("routing", "vision")
LINK_DELAY_S = 0.001
STEP_S = 0.02


class FakeLinks:
    """Carry messages between instances, encoded as on the wire."""

    def __init__(self, cell: "SimulatedCell", entry: str) -> None:
        self._cell = cell
        self._entry = EntryId(entry)
        self._receiver: Any = lambda sender, message: None
        self.watcher: Any = lambda peer, up: None

    def set_receiver(self, receiver: Any) -> None:
        """Deliver messages to a function."""
        self._receiver = receiver

    def set_connection_listener(self, watcher: Any) -> None:
        """Call a function when an instance starts or is killed."""
        self.watcher = watcher

    def set_peers(self, addresses: Any) -> None:
        """Ignore addresses, as names are enough here."""

    def redial(self, peer: str) -> None:
        """Replace the connection to a peer by one that is not silent."""
        self._cell.redials[self._entry, EntryId(peer)].append(self._cell.clock.seconds())
        self._cell.silent_links.discard((self._entry, peer))

    def send(self, peer: str, message: Any) -> None:
        """Send one message."""
        data = msgspec.msgpack.encode(Envelope(self._entry, Incarnation("i"), [message]))
        self._cell.clock.callLater(LINK_DELAY_S, self._cell.deliver, self._entry, peer, data)

    def broadcast(self, message: Any, peers: Any = None) -> None:
        """Send one message to all other instances."""
        for peer in self._cell.nodes:
            if peer != self._entry:
                self.send(peer, message)

    def receive(self, envelope: Envelope) -> None:
        """Deliver the messages of an envelope."""
        for message in envelope.messages:
            self._receiver(envelope.sender, message)


class Node:
    """One entry instance with its clients of the platform."""

    def __init__(self, cell: "SimulatedCell", name: str, start_number: int) -> None:
        self.name = name
        self.clock = PausableClock(cell.clock)
        self.http_client: Any = cell.http_client_type(cell.platform, self.clock)
        self.http_client.unreachable |= cell.unreachable_workers
        self.links: Any = FakeLinks(cell, name)
        metrics = Metrics()
        unreadable_rows = UnreadableRows(metrics)
        store = PlatformStore(self.http_client, STORE, unreadable_rows)
        identity = InstanceIdentity(
            EntryId(name),
            Incarnation(f"{name}-{start_number}"),
            cell.get_zone(name),
            f"tcp://{name}:1",
            cell.capacities.get(name, 1.0),
            revocation_s=cell.revocation_s,
        )
        dependencies = Dependencies(
            clock=self.clock,
            random=Random(f"{name}{start_number}"),
            store=store,
            registry=PlatformRegistry(store, unreadable_rows),
            workers=PlatformWorkerClient(self.http_client, unreadable_rows),
            adviser=PlatformAdviser(self.http_client, ADVISER, unreadable_rows),
            settings=PlatformSettingsDecoder(
                unreadable_rows, requires_keys=cell.revocation_s is not None
            ),
            links=self.links,
            read_uptime=cell.clock.seconds,
            read_unix_ms=lambda: cell.clock.seconds() * 1000,
            metrics=metrics,
            limits=make_store_limits(cell.platform.max_row_bytes),
        )
        self.instance = EntryInstance(identity, dependencies)
        self.instance.start()


class SimulatedCell:
    """Simulate instances, workers and clients."""

    http_client_type: Callable[[FakePlatform, PausableClock], Any] = FakeHttpClient

    def __init__(
        self,
        nodes: int = 3,
        workers: int = 4,
        advice: bool = True,
        zones: int = 1,
        max_row_bytes: int = 65536,
        capacities: Mapping[str, float] | None = None,
        teams: Sequence[Mapping[str, Any]] | None = None,
        revocation_s: float | None = None,
    ) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.platform = FakePlatform(self.clock)
        self.platform.max_row_bytes = max_row_bytes
        self.nodes: dict[str, Node] = {}
        # CPU capacities of instances by name, 1 for others.
        self.capacities = capacities or {}
        # Teams of each configuration from now on, or none if calls need no keys.
        self.teams = teams
        self.revocation_s = revocation_s
        self.disconnected_pairs: set[frozenset[str]] = set()
        # Connections, as sender and peer, that stay open and carry nothing until they are replaced.
        self.silent_links: set[tuple[str, str]] = set()
        # Times at which connections were replaced, by sender and peer.
        self.redials: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
        # Addresses that no instance reaches, not even one that starts later.
        self.unreachable_workers: set[str] = set()
        self.outcomes: dict[str, list[Presence]] = {}
        self._starts = 0
        self._zones = zones
        self.put_settings(1, advice=advice)
        for number in range(workers):
            pool = POOLS[number % len(POOLS)]
            self.platform.add_worker(
                FakeWorker(
                    self.platform, f"w{number}", pool, f"10.1.0.{number}:80", f"r{number // 4}"
                )
            )
        for number in range(nodes):
            self.start(f"entry-{number}")

    def put_settings(
        self,
        version: int,
        advice: bool = True,
        attempts: int = 3,
        moved: dict[str, str] | None = None,
        removes_services: bool = False,
        priorities: Mapping[str, int] | None = None,
    ) -> None:
        """Write a configuration.

        `moved` maps pools to those that their queues are sent to, or to "" without their queue;
        their services stay unless `removes_services`. `priorities` maps pools to those of their
        queues, 0 for others.
        """
        targets = dict(zip(POOLS, POOLS, strict=True)) | (moved or {})
        routes = [
            {
                "name": f"q-{pool}",
                "host": "h",
                "prefix": f"/{pool}/",
                "service": targets[pool],
                "priority": (priorities or {}).get(pool, 0),
                "maxAttempts": attempts,
                "slackFactor": 2.0,
                "targetDurationMs": 500,
            }
            for pool in POOLS
            if targets[pool]
        ]
        for route in routes if advice else ():
            route["recommendation"] = {
                "decisionIntervalMs": 10.0,
                "periodMs": 0.5,
                "validityMs": 2000,
            }
        services = [
            {"name": pool, "enforcesCapacity": False}
            for pool in POOLS
            if targets[pool] or not removes_services
        ]
        value: dict[str, Any] = {"version": version, "routes": routes, "services": services}
        if self.teams is not None:
            value["tenants"] = self.teams
        self.platform.put("op", "", "config", value)

    # Instances

    def get_zone(self, name: str) -> str:
        """Return the zone of an instance."""
        return f"z{int(name.rpartition('-')[2]) % self._zones}"

    def start(self, name: str) -> None:
        """Start or restart an instance."""
        self._starts += 1
        for node in self.nodes.values():
            node.clock.callLater(LINK_DELAY_S, node.links.watcher, name, True)
        self.nodes[name] = Node(self, name, self._starts)

    def kill(self, name: str) -> None:
        """End an instance without warning."""
        self.nodes.pop(name).clock.dead = True
        for node in self.nodes.values():
            node.clock.callLater(LINK_DELAY_S, node.links.watcher, name, False)

    def remove(self, name: str) -> None:
        """End an instance with its host; its connections fall silent."""
        self.nodes.pop(name).clock.dead = True

    def restart_owner(self, pool: str) -> None:
        """Kill the owner of a pool, if it has one, and start it again at once."""
        owner = self.find_owner(pool)
        if owner is not None:
            self.kill(owner)
            self.start(owner)

    def freeze(self, name: str) -> None:
        """Freeze an instance until it is thawed."""
        self.nodes[name].clock.frozen = True

    def thaw(self, name: str) -> None:
        """Resume a frozen instance."""
        self.nodes[name].clock.thaw()

    def disconnect(self, first: str, second: str) -> None:
        """Disconnect two instances."""
        self.disconnected_pairs.add(frozenset((first, second)))

    def deliver(self, sender: str, peer: str, data: bytes) -> None:
        """Deliver a message unless the instances are disconnected or the connection is silent."""
        node = self.nodes.get(peer)
        if node is None or frozenset((sender, peer)) in self.disconnected_pairs:
            return
        if (sender, peer) in self.silent_links:
            return
        envelope = msgspec.msgpack.decode(data, type=Envelope)
        node.clock.callLater(0, node.links.receive, envelope)

    def find_owner(self, pool: str) -> str | None:
        """Return the instance that owns a pool now."""
        return next(
            (name for name, node in self.nodes.items() if pool in node.instance.owned_pools), None
        )

    def cut_off(self, worker: FakeWorker) -> None:
        """Cut a worker off from all instances, and let its registry entry expire."""
        self.unreachable_workers.add(worker.address)
        for node in self.nodes.values():
            node.http_client.unreachable.add(worker.address)
        self.platform.rows.pop(("servers", "", worker.name), None)

    def restore(self, worker: FakeWorker) -> None:
        """End the cut of a worker, which registers again."""
        self.unreachable_workers.discard(worker.address)
        for node in self.nodes.values():
            node.http_client.unreachable.discard(worker.address)
        self.platform.register()

    # Time and callers

    def run(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def run_until(self, condition: Any, seconds: float) -> bool:
        """Let time pass until a condition holds; return whether it does."""
        for _ in range(round(seconds / STEP_S)):
            if condition():
                return True
            self.clock.advance(STEP_S)
        return bool(condition())

    def submit(
        self,
        node: str,
        pool: str,
        job: str,
        steps: list[dict[str, Any]],
        times: dict[str, int] | None = None,
        team: TeamName = NO_TEAM,
    ) -> list[Presence]:
        """Submit a job, repeated at some times; the list gets the outcome once it is known."""
        body = {"spec": f"spec of {job}", "steps": steps, **(times or {})}
        self.platform.checker.jobs[job] = body
        spec = decode_job_body(json.dumps(body).encode())
        instance = self.nodes[node].instance
        queue = instance.settings.find_queue("h", f"/{pool}/")
        found: list[Presence] = []
        self.outcomes[job] = found
        if queue is None:
            return found
        submission = instance.job_requests.submit(queue, JobId(job), spec, team)
        Deferred.fromCoroutine(submission).addCallback(found.append)
        return found

    def cancel(self, node: str, pool: str, job: str) -> list[bool | None]:
        """Cancel a job; the list gets the answer once it is known."""
        instance = self.nodes[node].instance
        queue = instance.settings.find_queue("h", f"/{pool}/")
        assert queue is not None
        found: list[bool | None] = []

        def note(answer: bool | None) -> None:
            found.append(answer)
            if answer:
                self.platform.checker.cancelled[job] = self.clock.seconds()

        Deferred.fromCoroutine(instance.job_requests.cancel(queue, JobId(job))).addCallback(note)
        return found

    def get_state(self, node: str, pool: str, job: str) -> list[Any]:
        """Ask for a job's state; the list gets the answer once it is known."""
        instance = self.nodes[node].instance
        queue = instance.settings.find_queue("h", f"/{pool}/")
        assert queue is not None
        found: list[Any] = []
        Deferred.fromCoroutine(instance.job_requests.get_state(queue, JobId(job))).addBoth(
            found.append
        )
        return found
