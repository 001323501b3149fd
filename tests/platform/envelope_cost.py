"""Processor time of an envelope that goes over a real link, at both ends together.

Run it with `python -m tests.platform.envelope_cost`.
"""

import time
from itertools import count

from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater, react

from lavenderstall.identifiers import EntryId, Incarnation
from lavenderstall.links import NngLinks
from lavenderstall.pools.messages import HINTS, EntryHeartbeat, Envelope, decode_message
from lavenderstall.pools.work import PoolName

# Envelopes a second.
RATES = (27, 110, 380)
MEASURED_S = 8.0
CONNECT_S = 1.0
PEERS = 8
FIRST_PORT = 47101
HEARTBEAT = EntryHeartbeat("zone-1", 120, terms={PoolName("routing"): 3, PoolName("vision"): 4})


def make_address(number: int) -> str:
    """Return the address of an instance."""
    return f"tcp://127.0.0.1:{FIRST_PORT + number}"


def make_links(number: int) -> NngLinks:
    """Return the links of an instance, which reads what it receives."""
    name = EntryId(f"entry-{number}")
    incarnation = Incarnation("0123456789abcdef")
    links = NngLinks(installed_reactor, name, incarnation, make_address(number), Envelope, HINTS)
    links.set_receiver(lambda sender, message: decode_message(message))  # type: ignore[arg-type]
    return links


async def measure_s(sender: NngLinks, peers: list[EntryId], rate: int) -> tuple[float, int]:
    """Send heartbeats to peers in turn; return the processor time and the number sent."""
    numbers = count()
    sent_before = sender.messages_sent
    loop = LoopingCall(
        lambda: sender.send(peers[next(numbers) % len(peers)], HEARTBEAT)  # type: ignore[arg-type]
    )
    started = time.process_time()
    if rate:
        loop.start(1 / rate)
    await deferLater(installed_reactor, MEASURED_S)  # type: ignore[arg-type]
    if rate:
        loop.stop()
    return time.process_time() - started, sender.messages_sent - sent_before


async def report() -> None:
    """Print the figures of each rate."""
    sender, *receivers = [make_links(number) for number in range(PEERS + 1)]
    addresses = {EntryId(f"entry-{number}"): make_address(number) for number in range(1, PEERS + 1)}
    sender.set_peers(addresses)
    await deferLater(installed_reactor, CONNECT_S)  # type: ignore[arg-type]
    idle_s, _ = await measure_s(sender, [*addresses], 0)
    for rate in RATES:
        used_s, sent = await measure_s(sender, [*addresses], rate)
        print(
            f"{rate} envelopes/s: {used_s / MEASURED_S * 100:.2f}% of a core,"
            f" {(used_s - idle_s) / sent * 1000:.2f} ms each",
            flush=True,
        )
    for links in (sender, *receivers):
        links.close()


def main() -> None:
    """Run the reactor until all is measured."""
    react(lambda reactor: Deferred.fromCoroutine(report()))


if __name__ == "__main__":
    main()
