"""Links to the workers of an owned slice: claims, heartbeats, inventories, task changes."""

import logging
from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from itertools import count

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, make_loop
from lavenderstall.errors import FencedError, LavenderstallError, PeerUnavailableError, RefusedError
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    RequestId,
    ServiceName,
    SliceName,
    TaskId,
    WorkerId,
    get_term,
    make_epoch,
)
from lavenderstall.protocol import (
    LeaseAnswer,
    LeaseRequest,
    TaskResult,
    TasksRequest,
    TaskStart,
    TaskStop,
    TaskThrottle,
    WorkerMember,
)
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.tenures import Tenure
from lavenderstall.worker_client import VoidRequest, WorkerAnswer, WorkerCall, WorkerClient

logger = logging.getLogger(__name__)

HEARTBEAT_SECONDS = 1.0
LEASE_MARGIN_FACTOR = 1.1


class LinkState(Enum):
    """States of the link to a worker."""

    CLAIMING = "claiming"
    ACTIVE = "held"
    SILENT = "silent"


class LeaseTerms(msgspec.Struct, frozen=True):
    """Hold the durations of leases in seconds."""

    ownership: float = 3.0
    tasks: float = 30.0
    outage_limit: float = 900.0


class FleetObserver:
    """Receive the reports of workers; the slice server implements it."""

    def apply_inventory(self, worker: "WorkerLink", answer: LeaseAnswer) -> None:
        """Apply a full inventory or the changes since the last one."""

    def handle_silent_worker(self, worker: "WorkerLink") -> None:
        """Handle a worker that does not answer."""

    def handle_lost_worker(self, worker: "WorkerLink") -> None:
        """Handle a worker whose task lease has certainly expired."""

    def handle_worker_restart(self, worker: "WorkerLink") -> None:
        """Handle a worker that came back with a new incarnation."""

    def report_fenced(self, worker: "WorkerLink", error: FencedError) -> None:
        """Handle a worker that another owner has claimed."""


class WorkerLink:
    """Hold the connection of an owner to one worker."""

    def __init__(
        self,
        member: WorkerMember,
        owner: EntryId,
        tenure: Tenure,
        client: WorkerClient,
        clock: Clock,
        observer: FleetObserver,
        terms: LeaseTerms,
    ) -> None:
        self.member = member
        self.owner = owner
        self.tenure = tenure
        self.state = LinkState.CLAIMING
        self.epoch = make_epoch(tenure.term)
        self.incarnation = Incarnation("")
        self.capacity: Resources = NOTHING
        self.leaving = False
        self.claimed = False
        self.lost = False
        self.stopped = False
        # Send time of the last answered heartbeat; what other answers reported after it may be
        # newer than that inventory.
        self.inventory_requested_at = 0.0
        self.foreign_calls = 0
        self.calls: set[AttemptId] = set()
        self.acknowledged: set[TaskId] = set()
        self._client = client
        self._clock = clock
        self._observer = observer
        self._terms = terms
        self._known_sequence = 0
        self._echo_ms = 0
        self._last_answer = clock.seconds()
        self._heartbeat_in_flight = False
        self._loop = make_loop(clock, self.send_heartbeat)

    @property
    def id(self) -> WorkerId:
        """Return the worker's id."""
        return self.member.id

    @property
    def usable(self) -> bool:
        """Return whether new work may be sent."""
        # After a pause of this process, `state` is outdated; the age of the answer is not.
        age = self._clock.seconds() - self._last_answer
        return self.state is LinkState.ACTIVE and not self.leaving and age < self._terms.ownership

    @property
    def free_slots(self) -> int:
        """Return the number of free call slots known to this owner."""
        used = len(self.calls) + self.foreign_calls
        return max(0, min(self.capacity.slots, self.capacity.connections) - used)

    def get_silence(self) -> float:
        """Return the seconds since the last answer."""
        return self._clock.seconds() - self._last_answer

    def start(self) -> None:
        """Start to claim the worker and renew its leases."""
        self._loop.start(HEARTBEAT_SECONDS, now=True)

    def stop(self) -> None:
        """Stop sending heartbeats and ignore answers still in flight."""
        self.stopped = True
        if self._loop.running:
            self._loop.stop()

    def may_renew_tasks(self) -> bool:
        """Return whether the ownership was confirmed recently enough to renew task leases."""
        age = self._clock.seconds() - self.tenure.confirmed
        return age < self._terms.outage_limit

    def send_heartbeat(self) -> "Deferred[None] | None":
        """Send a heartbeat unless the last one is still in flight."""
        if self._heartbeat_in_flight:
            self._check_lease_expiry()
            return None
        self._heartbeat_in_flight = True
        return Deferred.fromCoroutine(self._send_heartbeat())

    async def _send_heartbeat(self) -> None:
        request = self._make_request()
        sent_at = self._clock.seconds()
        try:
            answer = await self._client.renew(self.id, self.member.url, request)
            self.acknowledged.difference_update(request.acknowledged)
            self._handle_answer(answer, sent_at)
        except FencedError as error:
            self._handle_fenced(error)
        except LavenderstallError as error:
            self._mark_silent(error)
            self._check_lease_expiry()
        finally:
            self._heartbeat_in_flight = False

    def _mark_silent(self, error: LavenderstallError) -> None:
        """Send no new work until the worker answers a heartbeat."""
        if self.stopped:
            return
        if self.state is LinkState.ACTIVE:
            logger.info("worker %s is silent: %s", self.id, error)
        self.state = LinkState.SILENT
        self._observer.handle_silent_worker(self)

    def request_full_inventory(self) -> None:
        """Request a full inventory with the next heartbeat."""
        self._known_sequence = 0

    def _make_request(self) -> LeaseRequest:
        return LeaseRequest(
            owner=self.owner,
            epoch=self.epoch,
            ownership_ms=int(self._terms.ownership * 1000),
            tasks_ms=int(self._terms.tasks * 1000) if self.may_renew_tasks() else 0,
            local=self.tenure.local and not self.claimed,
            known=self._known_sequence,
            echo_ms=self._echo_ms,
            acknowledged=sorted(self.acknowledged),
        )

    def _handle_answer(self, answer: LeaseAnswer, sent_at: float) -> None:
        if self.stopped:
            return
        restarted = bool(self.incarnation) and answer.incarnation != self.incarnation
        self.inventory_requested_at = sent_at
        self._last_answer = self._clock.seconds()
        self._echo_ms = answer.clock_ms
        self.epoch = answer.epoch
        self.incarnation = answer.incarnation
        self.capacity = answer.capacity
        self.leaving = answer.leaving
        self.foreign_calls = answer.foreign_calls
        self.claimed = True
        self.lost = False
        self.state = LinkState.ACTIVE
        self._known_sequence = answer.sequence
        if restarted:
            self._observer.handle_worker_restart(self)
        self._observer.apply_inventory(self, answer)

    def _handle_fenced(self, error: FencedError) -> None:
        if self.stopped:
            return
        self.state = LinkState.CLAIMING
        if error.epoch < self.epoch:
            # The worker restarted and has no owner yet; the next heartbeat claims it.
            return
        if self.tenure.local:
            # Another owner has claimed the worker; its lease must expire before the next claim.
            self.claimed = False
            return
        self._observer.report_fenced(self, error)

    def _check_lease_expiry(self) -> None:
        silent = self._clock.seconds() - self._last_answer
        if not self.lost and silent >= self._terms.tasks * LEASE_MARGIN_FACTOR:
            self.lost = True
            self._known_sequence = 0
            self._observer.handle_lost_worker(self)

    async def change_tasks(
        self,
        starts: Iterable[TaskStart] = (),
        stops: Iterable[TaskStop] = (),
        throttles: Iterable[TaskThrottle] = (),
    ) -> list[TaskResult]:
        """Send task changes and return one result for each."""
        request = TasksRequest(
            self.owner, self.epoch, [*starts], [*stops], [*throttles], self.incarnation
        )
        try:
            answer = await self._client.change_tasks(self.id, self.member.url, request)
        except FencedError as error:
            self._handle_fenced(error)
            raise
        return answer.results

    async def call(
        self,
        service: ServiceName,
        request: RequestId,
        attempt: AttemptId,
        remaining_ms: int,
        body: bytes,
        *,
        idempotent: bool = True,
        trace: str = "",
    ) -> WorkerAnswer:
        """Run one call in a call slot."""
        if not self.usable or self.free_slots < 1:
            raise RefusedError(
                "no free slot", step="take slot", peer=self.id, reason="full", retry_after_ms=50
            )
        call = WorkerCall(
            self.owner,
            self.epoch,
            self.incarnation,
            service,
            request,
            attempt,
            idempotent,
            remaining_ms,
            body,
            trace,
        )
        self.calls.add(attempt)
        try:
            return await self._client.call(self.id, self.member.url, call)
        except FencedError as error:
            self._handle_fenced(error)
            raise
        except PeerUnavailableError as error:
            self._mark_silent(error)
            raise
        finally:
            self.calls.discard(attempt)

    async def void_request(self, request: RequestId, incarnation: Incarnation) -> str:
        """Ensure that a request never runs on the worker, or return that it runs or is done."""
        void = VoidRequest(self.owner, self.epoch, incarnation)
        return await self._client.void_request(self.id, self.member.url, request, void)


class Fleet:
    """Keep one link for each worker of one owned slice."""

    def __init__(
        self,
        name: SliceName,
        owner: EntryId,
        tenure: Tenure,
        client: WorkerClient,
        clock: Clock,
        observer: FleetObserver,
        terms: LeaseTerms,
    ) -> None:
        self.name = name
        self.links: dict[WorkerId, WorkerLink] = {}
        self._make_link: Callable[[WorkerMember], WorkerLink] = lambda member: WorkerLink(
            member, owner, tenure, client, clock, observer, terms
        )
        self._start_numbers = count()
        self._clock = clock

    def set_members(self, members: Mapping[WorkerId, WorkerMember]) -> list[WorkerLink]:
        """Open links to new workers and return the links to unlisted workers.

        Links to unlisted workers stay open, as the list may be wrong.
        """
        for worker in sorted(members.keys() - self.links.keys()):
            link = self._make_link(members[worker])
            self.links[worker] = link
            # Spreads the heartbeats over the interval.
            self._clock.callLater(next(self._start_numbers) % 20 * 0.01, self._start, link)
        for worker, member in members.items():
            self.links[worker].member = member
        return [link for worker, link in self.links.items() if worker not in members]

    def _start(self, link: WorkerLink) -> None:
        if self.links.get(link.id) is link:
            link.start()

    def forget(self, worker: WorkerId) -> None:
        """Close the link to a worker."""
        link = self.links.pop(worker, None)
        if link is not None:
            link.stop()

    def stop(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.stop()
        self.links.clear()


def get_fencing_owner(error: FencedError) -> tuple[int, EntryId]:
    """Return the term and the owner named by a worker that fenced a message."""
    return get_term(Epoch(error.epoch)), EntryId(error.owner)
