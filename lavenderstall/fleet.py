"""Links to the workers of owned slices: claims, heartbeats, inventories, dispatch."""

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
LEASE_MARGIN = 1.1


class LinkState(Enum):
    """States of the link to a worker."""

    CLAIMING = "claiming"
    HELD = "held"
    SILENT = "silent"


class LeaseTerms(msgspec.Struct, frozen=True):
    """Hold the durations of leases in seconds."""

    ownership: float = 3.0
    tasks: float = 30.0
    outage_limit: float = 900.0


class FleetObserver:
    """Receive what workers report; the slice's task implements it."""

    def apply_inventory(self, worker: "WorkerLink", answer: LeaseAnswer) -> None:
        """Take over a full inventory or the changes since the last one."""

    def silence_worker(self, worker: "WorkerLink") -> None:
        """Handle a worker that does not answer."""

    def lose_worker(self, worker: "WorkerLink") -> None:
        """Handle a worker whose task lease has surely lapsed."""

    def restart_worker(self, worker: "WorkerLink") -> None:
        """Handle a worker that came back with a new incarnation."""

    def report_fenced(self, worker: "WorkerLink", error: FencedError) -> None:
        """Handle a worker that obeys another owner."""


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
        # When the heartbeat was sent whose answer came last; what the owner learned later from
        # other answers may be newer than that inventory.
        self.asked = 0.0
        self.foreign_calls = 0
        self.calls: set[AttemptId] = set()
        self.acknowledged: set[TaskId] = set()
        self._client = client
        self._clock = clock
        self._observer = observer
        self._terms = terms
        self._known = 0
        self._echo_ms = 0
        self._last_answer = clock.seconds()
        self._busy = False
        self._loop = make_loop(clock, self.beat)

    @property
    def id(self) -> WorkerId:
        """Return the worker's id."""
        return self.member.id

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent."""
        # After a pause of this process the state is as old as the last answer.
        age = self._clock.seconds() - self._last_answer
        return self.state is LinkState.HELD and not self.leaving and age < self._terms.ownership

    @property
    def free_slots(self) -> int:
        """Return the call slots that are not taken, as far as this owner knows."""
        used = len(self.calls) + self.foreign_calls
        return max(0, min(self.capacity.slots, self.capacity.connections) - used)

    def get_silence(self) -> float:
        """Return the seconds since the last answer."""
        return self._clock.seconds() - self._last_answer

    def start(self) -> None:
        """Begin to claim and renew."""
        self._loop.start(HEARTBEAT_SECONDS, now=True)

    def stop(self) -> None:
        """Send nothing more and ignore answers that are still on their way."""
        self.stopped = True
        if self._loop.running:
            self._loop.stop()

    def may_renew_tasks(self) -> bool:
        """Tell whether the ownership was confirmed recently enough to keep tasks running."""
        age = self._clock.seconds() - self.tenure.confirmed
        return age < self._terms.outage_limit

    def beat(self) -> "Deferred[None] | None":
        """Send one heartbeat unless the last one is still on its way."""
        if self._busy:
            self._check_lapse()
            return None
        self._busy = True
        return Deferred.fromCoroutine(self._beat())

    async def _beat(self) -> None:
        request = self._make_request()
        asked = self._clock.seconds()
        try:
            answer = await self._client.renew(self.id, self.member.url, request)
            self.acknowledged.difference_update(request.acknowledged)
            self._take_answer(answer, asked)
        except FencedError as error:
            self._take_fenced(error)
        except LavenderstallError as error:
            self._fall_silent(error)
            self._check_lapse()
        finally:
            self._busy = False

    def _fall_silent(self, error: LavenderstallError) -> None:
        """Send no new work until the worker answers a heartbeat."""
        if self.stopped:
            return
        if self.state is LinkState.HELD:
            logger.info("worker %s is silent: %s", self.id, error)
        self.state = LinkState.SILENT
        self._observer.silence_worker(self)

    def request_full(self) -> None:
        """Ask for a full inventory with the next heartbeat."""
        self._known = 0

    def _make_request(self) -> LeaseRequest:
        return LeaseRequest(
            owner=self.owner,
            epoch=self.epoch,
            ownership_ms=int(self._terms.ownership * 1000),
            tasks_ms=int(self._terms.tasks * 1000) if self.may_renew_tasks() else 0,
            local=self.tenure.local and not self.claimed,
            known=self._known,
            echo_ms=self._echo_ms,
            acknowledged=sorted(self.acknowledged),
        )

    def _take_answer(self, answer: LeaseAnswer, asked: float) -> None:
        if self.stopped:
            return
        restarted = bool(self.incarnation) and answer.incarnation != self.incarnation
        self.asked = asked
        self._last_answer = self._clock.seconds()
        self._echo_ms = answer.clock_ms
        self.epoch = answer.epoch
        self.incarnation = answer.incarnation
        self.capacity = answer.capacity
        self.leaving = answer.leaving
        self.foreign_calls = answer.foreign_calls
        self.claimed = True
        self.lost = False
        self.state = LinkState.HELD
        self._known = answer.sequence
        if restarted:
            self._observer.restart_worker(self)
        self._observer.apply_inventory(self, answer)

    def _take_fenced(self, error: FencedError) -> None:
        if self.stopped:
            return
        self.state = LinkState.CLAIMING
        if error.epoch < self.epoch:
            # The worker restarted and obeys nobody yet; the next heartbeat claims it.
            return
        if self.tenure.local:
            # The worker obeys another owner, whose lease has to lapse before it can be taken.
            self.claimed = False
            return
        self._observer.report_fenced(self, error)

    def _check_lapse(self) -> None:
        silent = self._clock.seconds() - self._last_answer
        if not self.lost and silent >= self._terms.tasks * LEASE_MARGIN:
            self.lost = True
            self._known = 0
            self._observer.lose_worker(self)

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
            self._take_fenced(error)
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
        """Take a slot, run one call and give the slot back."""
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
            self._take_fenced(error)
            raise
        except PeerUnavailableError as error:
            self._fall_silent(error)
            raise
        finally:
            self.calls.discard(attempt)

    async def void_request(self, request: RequestId, incarnation: Incarnation) -> str:
        """Make sure that a request never runs here, or tell that it is running or done."""
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
        self._spread = count()
        self._clock = clock

    def set_members(self, members: Mapping[WorkerId, WorkerMember]) -> list[WorkerLink]:
        """Open links to new workers and return the links of those no longer listed.

        Links stay open to workers that the list dropped, as the list may be wrong.
        """
        for worker in sorted(members.keys() - self.links.keys()):
            link = self._make_link(members[worker])
            self.links[worker] = link
            # Spreads the heartbeats over the interval.
            self._clock.callLater(next(self._spread) % 20 * 0.01, self._start, link)
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


def describe_fence(error: FencedError) -> tuple[int, EntryId]:
    """Return the term and the owner that a worker named when it refused a message."""
    return get_term(Epoch(error.epoch)), EntryId(error.owner)
