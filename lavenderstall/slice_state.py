"""Workers, racks, charges and reservations of one slice."""

from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import TypeVar

import msgspec

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import (
    Incarnation,
    RackName,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
    ZoneName,
)
from lavenderstall.protocol import Kind
from lavenderstall.requests import Scope, TaskRequest
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.worker_index import Charge, WorkerGroup, WorkerGroupKey, WorkerState

K = TypeVar("K", bound=Hashable)


class StateError(LavenderstallError):
    """The state of a slice does not allow a change; nothing was changed."""


class Rack:
    """Workers of a rack, and counts of services that run there or that anti-affinity excludes."""

    def __init__(self, name: RackName, zone: ZoneName) -> None:
        self.name = name
        self.zone = zone
        self.workers: dict[WorkerId, WorkerState] = {}
        self.services: dict[ServiceName, int] = {}
        self.excluded_services: dict[ServiceName, int] = {}


class Reservation(msgspec.Struct):
    """Workers reserved for a request that does not fit yet and can start at `start_s`.

    With `yields_to_gangs`, other gangs may still start on the workers.
    """

    request: TaskRequest
    workers: frozenset[WorkerId]
    start_s: float
    planned_at_s: float
    yields_to_gangs: bool = False


def adjust_count(counts: dict[ServiceName, int], name: ServiceName, step: int) -> None:
    """Change a count and drop it at zero."""
    value = counts.get(name, 0) + step
    if value > 0:
        counts[name] = value
    else:
        counts.pop(name, None)


def adjust_sum(sums: dict[K, Resources], key: K, amount: Resources) -> None:
    """Change a sum and drop it at zero."""
    value = sums.get(key, NOTHING).add(amount)
    if value == NOTHING:
        sums.pop(key, None)
    else:
        sums[key] = value


class SliceState:
    """Available resources, charges and reservations of the workers of one slice."""

    def __init__(self, workers: Iterable[WorkerState] = ()) -> None:
        self.workers: dict[WorkerId, WorkerState] = {}
        self.groups: dict[WorkerGroupKey, WorkerGroup] = {}
        self.racks: dict[RackName, Rack] = {}
        self.zone_services: dict[ZoneName, dict[ServiceName, int]] = {}
        self.service_workers: dict[ServiceName, dict[WorkerId, WorkerState]] = {}
        self.capacity = NOTHING
        self.used = NOTHING
        self.team_used: dict[TeamName, Resources] = {}
        self.kind_used: dict[Kind, Resources] = {}
        self.kind_team_used: dict[tuple[Kind, TeamName], Resources] = {}
        self.reservations: dict[Kind, Reservation] = {}
        self.reserved: dict[WorkerId, Reservation] = {}
        self.accelerators_waiting = 0
        self.topology_version = 0
        self.is_start_blocked: Callable[[WorkerId, TaskRequest, float], bool] | None = None
        self.freed_workers: dict[WorkerId, WorkerState] = {}
        self.changed_teams: dict[TeamName, None] = {}
        self._rack_ring: list[Rack] = []
        self._next_rack = 0
        self._matching_groups: dict[
            tuple[str, frozenset[str], frozenset[ZoneName]], list[WorkerGroup]
        ] = {}
        for worker in workers:
            self.add_worker(worker)

    def add_worker(self, worker: WorkerState) -> None:
        """Add a worker with no task charged to it."""
        if worker.id in self.workers:
            raise StateError(f"worker {worker.id} is already known", step="add worker")
        worker.available = worker.capacity
        worker.tasks = {}
        self.workers[worker.id] = worker
        rack = self.racks.get(worker.rack)
        if rack is None:
            rack = self.racks[worker.rack] = Rack(worker.rack, worker.zone)
            self._rack_ring.append(rack)
        rack.workers[worker.id] = worker
        self._add_to_group(worker)

    def remove_worker(self, worker_id: WorkerId) -> WorkerState:
        """Remove a worker and its charges; return it with the tasks it had."""
        worker = self._get_worker(worker_id, "remove worker")
        charges = list(worker.tasks.values())
        for charge in charges:
            self.release(worker_id, charge.task)
        self._remove_from_group(worker)
        rack = self.racks[worker.rack]
        del rack.workers[worker_id]
        if not rack.workers:
            del self.racks[worker.rack]
            self._rack_ring.remove(rack)
        del self.workers[worker_id]
        self.freed_workers.pop(worker_id, None)
        self.reserved.pop(worker_id, None)
        worker.tasks = {charge.task: charge for charge in charges}
        return worker

    def update_worker(
        self,
        worker_id: WorkerId,
        *,
        capacity: Resources | None = None,
        leaving: bool | None = None,
        quarantined: bool | None = None,
        draining: bool | None = None,
        silent: bool | None = None,
        incarnation: Incarnation | None = None,
    ) -> None:
        """Change the state of a worker; its charges stay."""
        worker = self._get_worker(worker_id, "update worker")
        self._remove_from_group(worker)
        worker.capacity = worker.capacity if capacity is None else capacity
        worker.leaving = worker.leaving if leaving is None else leaving
        worker.quarantined = worker.quarantined if quarantined is None else quarantined
        worker.draining = worker.draining if draining is None else draining
        worker.silent = worker.silent if silent is None else silent
        worker.incarnation = worker.incarnation if incarnation is None else incarnation
        worker.available = worker.capacity
        for charge in worker.tasks.values():
            worker.available = worker.available.subtract(charge.resources)
        self._add_to_group(worker)

    def charge(
        self, worker_id: WorkerId, task: TaskId, work: TaskRequest | Resources, now: float = 0.0
    ) -> None:
        """Count a task that is starting, running or stopping on a worker.

        Only plans must fit; an adopted task may exceed what is available.
        """
        worker = self._get_worker(worker_id, "charge")
        if task in worker.tasks:
            raise StateError(f"task {task} is already charged", step="charge", peer=worker_id)
        charge = make_charge(task, work, now)
        worker.tasks[task] = charge
        self._add_usage(worker, charge, charge.resources)
        self._count_service(worker, charge, 1)

    def release(self, worker_id: WorkerId, task: TaskId) -> Resources:
        """Release and return the resources of a task."""
        worker = self._get_worker(worker_id, "release")
        charge = worker.tasks.pop(task, None)
        if charge is None:
            raise StateError(f"task {task} is not charged", step="release", peer=worker_id)
        self._add_usage(worker, charge, NOTHING.subtract(charge.resources))
        self._count_service(worker, charge, -1)
        self.freed_workers[worker_id] = worker
        return charge.resources

    def change_charge(self, worker_id: WorkerId, task: TaskId, resources: Resources) -> None:
        """Replace the charge of a task after its use was measured."""
        worker = self._get_worker(worker_id, "recharge")
        charge = worker.tasks.get(task)
        if charge is None:
            raise StateError(f"task {task} is not charged", step="recharge", peer=worker_id)
        difference = resources.subtract(charge.resources)
        charge.resources = resources
        self._add_usage(worker, charge, difference)
        self.freed_workers[worker_id] = worker

    def get_available(self, worker_id: WorkerId) -> Resources:
        """Return what is free on a worker; negative where charges exceed its capacity."""
        return self._get_worker(worker_id, "get room").available

    def match_groups(self, request: TaskRequest) -> list[WorkerGroup]:
        """Return the groups that meet a request's pool, labels and zones."""
        constraints = request.constraints
        key = (request.pool, constraints.labels, constraints.zones)
        found = self._matching_groups.get(key)
        if found is None:
            found = self._matching_groups[key] = [
                group
                for group in self.groups.values()
                if (not request.pool or group.key.pool == request.pool)
                and constraints.labels <= group.key.labels
                and (not constraints.zones or group.key.zone in constraints.zones)
            ]
        return found

    def list_racks(self, limit: int) -> list[Rack]:
        """Return at most `limit` racks, in round-robin order if there are more."""
        ring = self._rack_ring
        if len(ring) <= limit:
            return ring
        begin = self._next_rack % len(ring)
        self._next_rack = begin + limit
        return ring[begin : begin + limit] + ring[: max(begin + limit - len(ring), 0)]

    def reserve(self, kind: Kind, reservation: Reservation) -> None:
        """Set the reservation of a kind, replacing the earlier one."""
        self.cancel_reservation(kind)
        self.reservations[kind] = reservation
        for worker in reservation.workers:
            self.reserved.setdefault(worker, reservation)

    def cancel_reservation(self, kind: Kind) -> None:
        """Cancel the reservation of a kind, if any."""
        old = self.reservations.pop(kind, None)
        if old is None:
            return
        for worker in old.workers:
            if self.reserved.get(worker) is old:
                del self.reserved[worker]
                if worker in self.workers:
                    self.freed_workers[worker] = self.workers[worker]

    def pop_freed_workers(self) -> Iterator[WorkerState]:
        """Remove and yield each worker that gained resources since the last call."""
        while self.freed_workers:
            yield self.freed_workers.popitem()[1]

    def _get_worker(self, worker_id: WorkerId, step: str) -> WorkerState:
        worker = self.workers.get(worker_id)
        if worker is None:
            raise StateError("worker is not part of the slice", step=step, peer=worker_id)
        return worker

    def _add_to_group(self, worker: WorkerState) -> None:
        key = WorkerGroupKey(
            worker.pool, worker.zone, worker.labels, accelerated=worker.capacity.accelerators > 0
        )
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = WorkerGroup(key)
            self._matching_groups.clear()
        worker.group = group
        group.capacities[worker.capacity] = group.capacities.get(worker.capacity, 0) + 1
        self.topology_version += 1
        if worker.in_service:
            group.capacity = group.capacity.add(worker.capacity)
            group.used = group.used.add(worker.capacity.subtract(worker.available))
            self.capacity = self.capacity.add(worker.capacity)
            group.index.add(worker)
            self.freed_workers[worker.id] = worker

    def _remove_from_group(self, worker: WorkerState) -> None:
        group = worker.group
        count = group.capacities[worker.capacity] - 1
        if count:
            group.capacities[worker.capacity] = count
        else:
            del group.capacities[worker.capacity]
        self.topology_version += 1
        if worker.in_service:
            group.capacity = group.capacity.subtract(worker.capacity)
            group.used = group.used.subtract(worker.capacity.subtract(worker.available))
            self.capacity = self.capacity.subtract(worker.capacity)
            group.index.remove(worker)
        if not group.capacities:
            del self.groups[group.key]
            self._matching_groups.clear()

    def _add_usage(self, worker: WorkerState, charge: Charge, amount: Resources) -> None:
        worker.available = worker.available.subtract(amount)
        self.used = self.used.add(amount)
        if worker.in_service:
            worker.group.used = worker.group.used.add(amount)
            worker.group.index.update(worker)
        if charge.kind is not None:
            team, kind = charge.team, charge.kind
            adjust_sum(self.team_used, team, amount)
            adjust_sum(self.kind_used, kind, amount)
            adjust_sum(self.kind_team_used, (kind, team), amount)
            self.changed_teams[team] = None

    def _count_service(self, worker: WorkerState, charge: Charge, step: int) -> None:
        rack = self.racks[worker.rack]
        target = rack.excluded_services if charge.excludes_from_rack else worker.excluded_services
        for other in charge.anti_affinity:
            adjust_count(target, other, step)
        name = charge.service
        if not name:
            return
        adjust_count(worker.services, name, step)
        adjust_count(rack.services, name, step)
        adjust_count(self.zone_services.setdefault(worker.zone, {}), name, step)
        if name in worker.services:
            self.service_workers.setdefault(name, {})[worker.id] = worker
        else:
            self.service_workers[name].pop(worker.id, None)
            if not self.service_workers[name]:
                del self.service_workers[name]


def make_charge(task: TaskId, work: TaskRequest | Resources, now: float) -> Charge:
    """Return the charge of one task of a request, or of resources alone."""
    if isinstance(work, Resources):
        return Charge(task, work)
    return Charge(
        task,
        work.resources,
        work.kind,
        work.team,
        work.service,
        now + work.expected_ms / 1000 if work.expected_ms else float("inf"),
        work.constraints.anti_affinity,
        work.constraints.scope is Scope.RACK,
    )
