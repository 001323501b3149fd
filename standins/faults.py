"""Faults that a test or the demo can set on a stand-in."""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)


class TableFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the table service; `lose_next` writes take effect and are not acknowledged."""

    down: bool = False
    delay_s: float = 0.0
    lose_next: int = 0
    stale_revisions: int = 0


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the object store and of the membership list."""

    down: bool = False
    delay_s: float = 0.0


class WorkerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of a worker; `slow` multiplies run times, `truncate_next` counts call answers."""

    paused: bool = False
    leaving: bool = False
    fail_starts: bool = False
    cut_off: bool = False
    truncate_next: int = 0
    answer_delay_s: float = 0.0
    slow: float = 1.0


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of one zone's way to the table, the object store and the membership list."""

    cut_off: bool = False


class FaultRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Ask for faults of one target or of all workers in a rack or zone.

    Targets are `table`, `objects`, `members`, `platform/<zone>`, `worker/<id>`, `rack/<name>`
    and `zone/<name>`; `crash` restarts the workers.
    """

    target: str
    settings: dict[str, Any] = {}
    crash: bool = False


def merge_faults(faults: T, settings: dict[str, Any]) -> T:
    """Return the faults with some fields replaced; raise `msgspec.ValidationError` if invalid."""
    return msgspec.convert(msgspec.structs.asdict(faults) | settings, type(faults))
