"""The stand-ins of one cell and the faults that can be set on them."""

from collections.abc import Callable

import msgspec

from lavenderstall.clocks import Clock
from lavenderstall.errors import BadRequestError
from lavenderstall.identifiers import RackName, WorkerId, ZoneName
from lavenderstall.protocol import EntryMember, MemberState, WorkerMember
from standins import members, table
from standins.faults import FaultRequest, PlatformFaults, merge_faults
from standins.members import MembershipList
from standins.objects import Objects
from standins.table import Table
from standins.workers import Worker, WorkerShape


class CellShape(msgspec.Struct, forbid_unknown_fields=True):
    """Declare a cell; `zones` gives a zone a platform port of its own, 0 for any free one."""

    workers: list[WorkerShape] = []
    entries: list[EntryMember] = []
    zones: dict[str, int] = {}
    member_lag_s: float = members.LAG_S
    writes_per_second: int = table.WRITES_PER_SECOND
    reads_per_second: int = table.READS_PER_SECOND


class Cell:
    """Hold the table, the object store, the membership list and the workers of a cell."""

    def __init__(self, shape: CellShape, clock: Clock) -> None:
        self.shape = shape
        self.table = Table(clock, shape.writes_per_second, shape.reads_per_second)
        self.objects = Objects(clock)
        self.members = MembershipList(clock, shape.member_lag_s)
        self.workers = {worker.id: Worker(worker, clock) for worker in shape.workers}
        self.platforms = {zone: PlatformFaults() for zone in shape.zones}
        for entry in shape.entries:
            self.members.set_entry(entry, lag_s=0)

    def add_worker(self, worker: Worker, url: str) -> None:
        """Put a worker on the membership list."""
        shape = worker.shape
        self.members.set_worker(
            WorkerMember(shape.id, ZoneName(shape.zone), RackName(shape.rack), url, shape.pool),
            lag_s=0,
        )

    def apply(self, request: FaultRequest) -> None:
        """Set faults; raise `BadRequestError` if the target or a setting is unknown."""
        try:
            self._apply(request)
        except (KeyError, msgspec.ValidationError) as error:
            raise BadRequestError(f"{request.target}: {error}", step="faults") from error

    def _apply(self, request: FaultRequest) -> None:
        """Set faults on the target that a request names."""
        group, _, name = request.target.partition("/")
        if request.target == "table":
            self.table.faults = merge_faults(self.table.faults, request.settings)
        elif request.target == "objects":
            self.objects.faults = merge_faults(self.objects.faults, request.settings)
        elif request.target == "members":
            self.members.faults = merge_faults(self.members.faults, request.settings)
        elif group == "platform":
            self.platforms[name] = merge_faults(self.platforms[name], request.settings)
        else:
            for worker in self._find_workers(group, name):
                self._apply_worker(worker, request)

    def _find_workers(self, group: str, name: str) -> list[Worker]:
        """Return the workers that a target names; raise `KeyError` if there are none."""
        tests: dict[str, Callable[[WorkerShape], bool]] = {
            "worker": lambda shape: shape.id == name,
            "rack": lambda shape: shape.rack == name,
            "zone": lambda shape: shape.zone == name,
        }
        test = tests[group]
        found = [worker for worker in self.workers.values() if test(worker.shape)]
        if not found:
            raise KeyError(name)
        return found

    def _apply_worker(self, worker: Worker, request: FaultRequest) -> None:
        """Set faults on one worker and show on the list whether it leaves."""
        was = worker.faults.leaving
        worker.set_faults(merge_faults(worker.faults, request.settings))
        if worker.faults.leaving != was:
            state = MemberState.LEAVING if worker.faults.leaving else MemberState.LIVE
            self.members.set_worker_state(WorkerId(worker.shape.id), state)
        if request.crash:
            worker.crash()
