"""Balancer of the demo: polls entry instances and chooses a healthy one for each request."""

from collections.abc import Mapping
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from demo.processes import EntryProcess
from demo.verdict import Sighting
from demo.web import WebClient
from lavenderstall.clocks import make_loop
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId
from lavenderstall.operations import Health

POLL_SECONDS = 0.1
POLL_TIMEOUT_SECONDS = 0.8


class Balancer:
    """Keep the entry instances whose last poll was answered with status 200."""

    def __init__(
        self, web: WebClient, clock: Any, entries: Mapping[EntryId, EntryProcess], random: Random
    ) -> None:
        self.healthy: dict[EntryId, Health] = {}
        self.sightings: list[Sighting] = []
        self._web = web
        self._clock = clock
        self._entries = entries
        self._random = random
        self._polling: set[EntryId] = set()
        self._loop = make_loop(clock, self._poll)

    def start(self) -> None:
        """Begin to poll."""
        self._loop.start(POLL_SECONDS, now=True)

    def stop(self) -> None:
        """Stop to poll."""
        if self._loop.running:
            self._loop.stop()

    def choose(self) -> EntryProcess | None:
        """Return a healthy entry instance, or none."""
        names = [name for name in self.healthy if name in self._entries]
        return self._entries[self._random.choice(names)] if names else None

    def find_owners(self) -> dict[EntryId, Health]:
        """Return the healthy entry instances that own a slice."""
        return {name: health for name, health in self.healthy.items() if health.slices}

    def _poll(self) -> None:
        for name, entry in self._entries.items():
            if entry.ended is None and name not in self._polling:
                self._polling.add(name)
                Deferred.fromCoroutine(self._check(entry))
            elif entry.ended is not None:
                self.healthy.pop(name, None)

    async def _check(self, entry: EntryProcess) -> None:
        try:
            answer = await self._web.send(
                "GET", f"{entry.member.http}/healthz", timeout_s=POLL_TIMEOUT_SECONDS
            )
            health = msgspec.json.decode(answer.body, type=Health)
        except (LavenderstallError, msgspec.MsgspecError):
            self.healthy.pop(entry.id, None)
            return
        finally:
            self._polling.discard(entry.id)
        self.sightings.append(Sighting(entry.id, self._clock.seconds(), health.version))
        if answer.status == 200:
            self.healthy[entry.id] = health
        else:
            self.healthy.pop(entry.id, None)
