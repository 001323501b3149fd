"""What an entry instance is given: its external dependencies and its limits."""

from collections.abc import Callable
from random import Random

import msgspec

from lavenderstall.clocks import Clock
from lavenderstall.fleet import LeaseTerms
from lavenderstall.links import Links
from lavenderstall.set_aside import SetAside
from lavenderstall.storage import MemberList, ObjectStore, TableStore
from lavenderstall.traces import Traces
from lavenderstall.worker_client import WorkerClient


class Dependencies(msgspec.Struct):
    """Hold the external dependencies of an entry instance."""

    clock: Clock
    random: Random
    store: TableStore
    members: MemberList
    links: Links
    client: WorkerClient
    read_unix: Callable[[], float]
    traces: Traces
    objects: ObjectStore | None = None
    set_aside: SetAside = msgspec.field(default_factory=SetAside)


class Settings(msgspec.Struct, frozen=True):
    """Hold the limits of an entry instance."""

    racks_per_slice: int = 4
    terms: LeaseTerms = LeaseTerms()
    config_stale_seconds: float = 900.0
