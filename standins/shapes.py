"""Declarations of stand-in workers."""

import msgspec

from lavenderstall.identifiers import ServiceName, WorkerId
from lavenderstall.resources import Resources

USAGE_LAG_S = 5.0
CALL_MS = 20


class WorkerShape(msgspec.Struct, forbid_unknown_fields=True):
    """Declare a worker; `services` are served without a replica task."""

    id: WorkerId
    capacity: Resources
    zone: str = ""
    rack: str = ""
    pool: str = ""
    services: list[ServiceName] = []
    usage_lag_s: float = USAGE_LAG_S
    call_ms: int = CALL_MS
    stop_s: float = 0.0
    port: int = 0
