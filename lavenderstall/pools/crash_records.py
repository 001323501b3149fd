"""Durable records of the crashes of workers under a task."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from lavenderstall.pools.identity import WorkerKey


class Suspicion(Enum):
    """How likely a run has caused a crash of its worker, by what else had just started there."""

    POSSIBLE = 0
    LIKELY = 1
    SOLE = 2


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a worker under a run, and how long after it had answered the start.

    It is `confirmed` once the worker's process has certainly ended; until then it may only have
    been cut off. The run is `started` if the worker had said so; otherwise the start may not have
    arrived.
    """

    worker: str
    incarnation: int
    run: int
    age_ms: int
    suspicion: Suspicion
    confirmed: bool = False
    started: bool = False

    @property
    def key(self) -> WorkerKey:
        """Return the incarnation of the worker that crashed."""
        return WorkerKey(self.worker, self.incarnation)


def count_runs(crashes: list[Crash]) -> int:
    """Return how many runs have ended in crashes."""
    return len(group_by_run(crashes))


def group_by_run(crashes: Iterable[Crash]) -> dict[int, list[Crash]]:
    """Return the crashes by run; the members of a gang share one."""
    found: dict[int, list[Crash]] = {}
    for crash in crashes:
        found.setdefault(crash.run, []).append(crash)
    return found


def is_last_sole(crashes: list[Crash]) -> bool:
    """Tell whether the last of the runs that ended in crashes was alone to blame."""
    return max(crashes, key=lambda crash: crash.run).suspicion is Suspicion.SOLE


def confirm_crashes(crashes: list[Crash], key: WorkerKey) -> list[Crash]:
    """Return crashes with those of one worker confirmed."""
    return [
        msgspec.structs.replace(crash, confirmed=True) if crash.key == key else crash
        for crash in crashes
    ]


def drop_crashes(crashes: list[Crash], key: WorkerKey) -> list[Crash]:
    """Return crashes without those of one worker."""
    return [crash for crash in crashes if crash.key != key]
