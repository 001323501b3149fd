"""Traffic and processor time of the links between instances, by their number.

Run it with `python -m tests.platform.link_traffic`.
"""

import argparse
import time
from collections import Counter, defaultdict
from random import Random
from statistics import mean
from typing import Any

import msgspec

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.pools.entry_instance import HEARTBEAT_INTERVAL_S
from lavenderstall.pools.link_supervision import LinkSupervisor
from lavenderstall.pools.messages import Envelope, Message
from tests.platform.simulated_cell import FakeLinks, SimulatedCell

SIZES = (6, 9, 30, 97)
SETTLE_S = 8.0
MEASURED_S = 10.0
ZONES = 3
# As long as that of a process.
INCARNATION = Incarnation("0123456789abcdef")
CHECKS = 400


class Traffic(msgspec.Struct, frozen=True):
    """What one instance sends a second over its links, without headers of TCP and IP."""

    bytes_sent: float
    envelopes: float
    supervision_bytes: float
    supervision_envelopes: float


class RecordingLinks(FakeLinks):
    """Record messages, those of one moment to one peer as one envelope."""

    sent: defaultdict[tuple[str, str, float], list[Message]]

    def send(self, peer: str, message: Any) -> None:
        """Record and send one message."""
        self.sent[self._entry, peer, self._cell.clock.seconds()].append(message)
        super().send(peer, message)


def record_traffic(cell: SimulatedCell) -> dict[str, Traffic]:
    """Return what each instance sends in a cell in which nothing happens."""
    sent: defaultdict[tuple[str, str, float], list[Message]] = defaultdict(list)
    for node in cell.nodes.values():
        node.links.__class__ = RecordingLinks
        node.links.sent = sent
    cell.run(MEASURED_S)
    regular = {
        name: {*node.instance.peers.list_regular_recipients()} for name, node in cell.nodes.items()
    }
    owners = {name for name, node in cell.nodes.items() if node.instance.owned_pools}
    totals: dict[str, Counter[str]] = {name: Counter() for name in cell.nodes}
    for (sender, peer, _), messages in sent.items():
        raw = [msgspec.Raw(msgspec.msgpack.encode(message)) for message in messages]
        size = len(msgspec.msgpack.encode(Envelope(EntryId(sender), INCARNATION, raw)))
        totals[sender].update(size=size, envelopes=1)
        if peer not in regular[sender] and sender not in owners:
            totals[sender].update(supervision_size=size, supervision_envelopes=1)
    return {
        name: Traffic(
            total["size"] / MEASURED_S,
            total["envelopes"] / MEASURED_S,
            total["supervision_size"] / MEASURED_S,
            total["supervision_envelopes"] / MEASURED_S,
        )
        for name, total in totals.items()
    }


def measure_check_s(size: int, *, owns_pools: bool) -> float:
    """Return the processor time of one check of the links to all other instances."""
    peers = frozenset(EntryId(f"entry-{number}") for number in range(size - 1))
    near = peers if owns_pools else frozenset(sorted(peers)[:8])
    supervisor = LinkSupervisor(Random(1))
    supervisor.retain(peers, 0.0)
    started = time.process_time()
    for number in range(CHECKS):
        now = number * HEARTBEAT_INTERVAL_S
        supervisor.check(near, near, sorted(peers), now)
        for peer in supervisor.list_attended(now):
            supervisor.note_sent([peer], now)
            supervisor.note_report(peer, 0.0, now)
        for peer in near:
            supervisor.note_received(peer, now)
    return (time.process_time() - started) / CHECKS


def start_cell(size: int) -> SimulatedCell:
    """Return a settled cell of several zones."""
    cell = SimulatedCell(size, 4, zones=ZONES)
    cell.run(SETTLE_S)
    return cell


def list_traffic_of_others(cell: SimulatedCell, traffic: dict[str, Traffic]) -> list[Traffic]:
    """Return the traffic of the instances that own no pool."""
    return [found for name, found in traffic.items() if not cell.nodes[name].instance.owned_pools]


def list_traffic_of_owners(cell: SimulatedCell, traffic: dict[str, Traffic]) -> list[Traffic]:
    """Return the traffic of the instances that own a pool."""
    return [found for name, found in traffic.items() if cell.nodes[name].instance.owned_pools]


def report(size: int) -> None:
    """Print the figures of one number of instances."""
    cell = start_cell(size)
    traffic = record_traffic(cell)
    groups = (
        ("owner", list_traffic_of_owners(cell, traffic)),
        ("other", list_traffic_of_others(cell, traffic)),
    )
    for kind, found in groups:
        check_s = measure_check_s(size, owns_pools=kind == "owner")
        print(
            f"{size} instances, {kind}:"
            f" {mean(t.bytes_sent for t in found):.0f} B/s in"
            f" {mean(t.envelopes for t in found):.1f} envelopes/s,"
            f" of which supervision {mean(t.supervision_bytes for t in found):.0f} B/s in"
            f" {mean(t.supervision_envelopes for t in found):.1f};"
            f" checks {check_s / HEARTBEAT_INTERVAL_S * 100:.3f}% of a core",
            flush=True,
        )


def main() -> None:
    """Print the figures of some numbers of instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=SIZES)
    for size in parser.parse_args().sizes:
        report(size)


if __name__ == "__main__":
    main()
