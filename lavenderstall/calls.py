"""Calls on the receiving side: choice of an owner, forwarding, retries, answers."""

import logging
from collections.abc import Callable, Collection
from itertools import groupby
from random import Random

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.bindings import Binding, find_binding, is_expired
from lavenderstall.clocks import Clock, sleep
from lavenderstall.contracts import Deadline, RetryBudget
from lavenderstall.errors import (
    AnswerLostError,
    Outcome,
    PeerSilentError,
    PeerUnavailableError,
    RefusedError,
)
from lavenderstall.hedging import HedgedCalls
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    RequestId,
    ServiceName,
    SliceName,
    TeamName,
    ZoneName,
    get_slice_zone,
)
from lavenderstall.links import Links
from lavenderstall.messages import CallAnswer, CallForward, SliceSummary
from lavenderstall.schemas import MILLI, Calls

logger = logging.getLogger(__name__)

SUMMARY_SECONDS = 3.0
# Summaries arrive five times a second.
SILENCE_SECONDS = 1.5
CHECK_SECONDS = 0.5
REPEAT_SECONDS = 0.05
PAUSING_CALLS = 500
STEP = "route call"
REASON_SILENT = "owner_silent"
# A takeover is to end within 5 s.
SETTLE_SECONDS = 5.0
MOVING_REASONS = frozenset(
    {"", "moved", "unreachable", "draining", "no_replica", "answer_lost", REASON_SILENT}
)


class CallRequest(msgspec.Struct, frozen=True):
    """Describe a call as a caller sent it."""

    service: ServiceName
    team: TeamName
    request: RequestId
    deadline: Deadline
    body: bytes
    idempotent: bool = True
    retry: bool = False
    trace: str = ""
    hedged: bool = False


class _Summary(msgspec.Struct):
    summary: SliceSummary
    received: float


class Directory:
    """Hold the latest summary of each slice and when its owner was last heard."""

    def __init__(self, clock: Clock, entry: EntryId, zone: ZoneName) -> None:
        self._clock = clock
        self._entry = entry
        self._zone = zone
        self._summaries: dict[SliceName, _Summary] = {}
        self._heard: dict[EntryId, float] = {}

    def hear(self, entry: EntryId) -> None:
        """Note that an entry instance was heard."""
        self._heard[entry] = self._clock.seconds()

    def update(self, summary: SliceSummary) -> None:
        """Take a summary unless a newer owner is known."""
        known = self._summaries.get(summary.slice)
        now = self._clock.seconds()
        fresh = known is not None and now - known.received < SUMMARY_SECONDS
        if known is not None and fresh and known.summary.epoch > summary.epoch:
            return
        self._summaries[summary.slice] = _Summary(summary, now)

    def drop(self, name: SliceName, owner: EntryId) -> None:
        """Forget a slice that its owner released."""
        known = self._summaries.get(name)
        if known is not None and known.summary.owner == owner:
            del self._summaries[name]

    def is_silent(self, entry: EntryId) -> bool:
        """Tell whether nothing was heard from an entry instance lately."""
        if entry == self._entry:
            return False
        return self._clock.seconds() - self._heard.get(entry, 0.0) > SILENCE_SECONDS

    def list_summaries(self) -> list[SliceSummary]:
        """Return the summaries that are recent."""
        now = self._clock.seconds()
        return [
            known.summary
            for known in self._summaries.values()
            if now - known.received < SUMMARY_SECONDS
        ]

    def list_known(self) -> set[SliceName]:
        """Return all slices that were heard of since the start."""
        return set(self._summaries)

    def find_owner(self, name: SliceName) -> EntryId | None:
        """Return the owner of a slice, or none if it is not known."""
        known = self._summaries.get(name)
        if known is None or self._clock.seconds() - known.received >= SUMMARY_SECONDS:
            return None
        return known.summary.owner

    def rank_distance(self, summary: SliceSummary) -> int:
        """Return 0 for own slices, 1 for the own zone, 2 for others."""
        if summary.owner == self._entry:
            return 0
        return 1 if get_slice_zone(summary.slice) == self._zone else 2

    def choose_slice(
        self, service: ServiceName, tried: Collection[SliceName], random: Random
    ) -> SliceSummary | None:
        """Return a near slice with free slots, else any with a replica, else none."""
        known = [
            summary
            for summary in self.list_summaries()
            if service in summary.free_slots and summary.slice not in tried
        ]
        known.sort(key=self.rank_distance)
        for _, near in groupby(known, key=self.rank_distance):
            summaries = list(near)
            weights = [summary.free_slots[service] for summary in summaries]
            if any(weights):
                return random.choices(summaries, weights)[0]
        return random.choice(known) if known else None


class _Pending(msgspec.Struct):
    peer: EntryId
    answer: "Deferred[CallAnswer]"


class CallRouter:
    """Forward calls to owners and return one outcome for each."""

    def __init__(
        self,
        clock: Clock,
        links: Links,
        directory: Directory,
        random: Random,
        make_nonce: Callable[[], str],
        read_unix: Callable[[], float],
        find_calls: Callable[[ServiceName], Calls],
    ) -> None:
        self.in_flight = 0
        self.late_answers = 0
        self._pausing = 0
        self._clock = clock
        self._links = links
        self._directory = directory
        self._random = random
        self._make_nonce = make_nonce
        self._read_unix = read_unix
        self._find_calls = find_calls
        self._budgets: dict[ServiceName, tuple[int, RetryBudget]] = {}
        self.hedges = HedgedCalls(clock, self.get_budget)
        self._pending: dict[AttemptId, _Pending] = {}

    def receive(self, sender: EntryId, answer: CallAnswer) -> None:
        """Pass an answer to the attempt that waits for it; others are late."""
        pending = self._pending.pop(answer.call, None)
        if pending is None or pending.peer != sender:
            self.late_answers += 1
            return
        pending.answer.callback(answer)

    def check_silence(self) -> None:
        """Give up attempts at peers that are silent."""
        for call, pending in list(self._pending.items()):
            if self._directory.is_silent(pending.peer):
                error = PeerSilentError("the owner is silent", step=STEP, peer=pending.peer)
                self._give_up(call, error)

    def _give_up(self, call: AttemptId, error: AnswerLostError) -> None:
        pending = self._pending.pop(call, None)
        if pending is not None:
            pending.answer.errback(error)

    async def route(self, call: CallRequest) -> CallAnswer:
        """Return the outcome of a call before its deadline."""
        self.in_flight += 1
        self.get_budget(call.service).record_call(self._clock.seconds())
        try:
            return await _Route(self, call).run()
        finally:
            self.in_flight -= 1

    def get_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service at the share that is declared for it."""
        share = self._find_calls(service).retry_budget_milli
        known = self._budgets.get(service)
        if known is None or known[0] != share:
            budget = RetryBudget(self._clock.seconds(), ratio=share / MILLI)
            known = self._budgets[service] = (share, budget)
        return known[1]

    def take_retry(self, service: ServiceName) -> bool:
        """Take a retry from the budget of a service."""
        return self.get_budget(service).take_retry(self._clock.seconds())

    def choose_slice(
        self, service: ServiceName, tried: Collection[SliceName]
    ) -> SliceSummary | None:
        """Return the slice for the next attempt."""
        return self._directory.choose_slice(service, tried, self._random)

    def now(self) -> float:
        """Return the time in seconds."""
        return self._clock.seconds()

    def find_owner(self, name: SliceName) -> EntryId | None:
        """Return the owner of a slice."""
        return self._directory.find_owner(name)

    def get_remaining_ms(self, deadline: Deadline) -> int:
        """Return the milliseconds until a deadline."""
        return deadline.get_remaining_ms(self._clock.seconds())

    def find_binding(self, call: CallRequest) -> Binding | None:
        """Return the worker that an issued id names, or raise when the id has expired."""
        if call.idempotent:
            return None
        binding = find_binding(call.request)
        if binding is not None and is_expired(binding, self._read_unix()):
            raise RefusedError(
                "the request id has expired", step=STEP, reason="expired", outcome=Outcome.UNKNOWN
            )
        return binding

    async def pause(self) -> bool:
        """Wait before the next attempt, unless too many calls wait so already."""
        if self._pausing >= PAUSING_CALLS:
            return False
        self._pausing += 1
        try:
            await sleep(self._clock, REPEAT_SECONDS)
        finally:
            self._pausing -= 1
        return True

    async def forward(
        self,
        owner: EntryId,
        name: SliceName,
        call: CallRequest,
        binding: Binding | None,
        *,
        retry: bool,
    ) -> CallAnswer:
        """Send one attempt to an owner and wait for its answer."""
        attempt = AttemptId(self._make_nonce())
        remaining = self.get_remaining_ms(call.deadline)
        message = CallForward(
            attempt,
            name,
            call.service,
            call.team,
            call.request,
            remaining,
            call.body,
            idempotent=call.idempotent,
            retry=retry,
            trace=call.trace,
        )
        if binding is not None:
            message.worker = binding.worker
            message.incarnation = binding.incarnation
        answer: Deferred[CallAnswer] = Deferred()
        self._pending[attempt] = _Pending(owner, answer)
        late = AnswerLostError("the deadline passed", step=STEP, peer=owner)
        timer = self._clock.callLater(remaining / 1000, self._give_up, attempt, late)
        try:
            self._links.send(owner, message)
            return await answer
        finally:
            self._pending.pop(attempt, None)
            if timer.active():
                timer.cancel()


class _Route:
    """Hold the attempts of one call."""

    def __init__(self, router: CallRouter, call: CallRequest) -> None:
        self._router = router
        self._call = call
        self._binding = router.find_binding(call)
        self._tried: set[SliceName] = set()
        self._started = router.now()
        # Set once an attempt may have run, so that a later refusal is not "not run".
        self._uncertain = call.retry
        self._last: CallAnswer | None = None

    async def run(self) -> CallAnswer:
        """Try owners until one answers, nothing is left to try, or the deadline passes."""
        while self._router.get_remaining_ms(self._call.deadline) > 0:
            target = self._choose()
            if target is None:
                if not await self._may_wait():
                    return self._conclude()
                continue
            answer = await self._attempt(*target)
            if answer is not None:
                return answer
        return self._conclude()

    async def _may_wait(self) -> bool:
        """Wait for an owner to appear; tell whether another try makes sense.

        A request that may have run waits until its deadline for its worker's record. Others wait
        while slices change owners, which takes a few seconds.
        """
        settled = self._router.now() - self._started >= SETTLE_SECONDS
        refused = self._last is not None and self._last.reason not in MOVING_REASONS
        if not (self._uncertain and not self._call.idempotent) and (settled or refused):
            return False
        self._tried.clear()
        return await self._router.pause()

    def _choose(self) -> tuple[EntryId, SliceName] | None:
        if self._binding is not None:
            owner = self._router.find_owner(self._binding.slice)
            return None if owner is None else (owner, self._binding.slice)
        summary = self._router.choose_slice(self._call.service, self._tried)
        return None if summary is None else (summary.owner, summary.slice)

    async def _attempt(self, owner: EntryId, name: SliceName) -> CallAnswer | None:
        """Send one attempt; return the outcome unless another attempt should follow."""
        try:
            answer = await self._send(owner, name)
        except PeerUnavailableError as error:
            self._tried.add(name)
            self._last = CallAnswer(
                AttemptId(""), Outcome.NOT_RUN, "unreachable", str(error), retry_after_ms=100
            )
            return None
        except PeerSilentError as error:
            answer = CallAnswer(AttemptId(""), Outcome.UNKNOWN, REASON_SILENT, str(error))
        except AnswerLostError as error:
            answer = CallAnswer(AttemptId(""), Outcome.UNKNOWN, "answer_lost", str(error))
        return await self._judge(answer, name)

    async def _send(self, owner: EntryId, name: SliceName) -> CallAnswer:
        """Send one attempt; a slow one of a hedged call is joined by another elsewhere."""
        if not (self._call.hedged and self._call.idempotent):
            return await self._router.forward(
                owner, name, self._call, self._binding, retry=self._uncertain
            )
        return await self._router.hedges.call(
            self._call.service,
            self._call.deadline,
            lambda: self._router.forward(owner, name, self._call, None, retry=False),
            lambda: self._send_elsewhere(name),
        )

    async def _send_elsewhere(self, name: SliceName) -> CallAnswer:
        """Send an attempt to another slice, or to the same one if there is no other."""
        avoided = {*self._tried, name}
        summary = self._router.choose_slice(self._call.service, avoided)
        summary = summary or self._router.choose_slice(self._call.service, self._tried)
        if summary is None:
            raise PeerUnavailableError("no other slice serves the call", step=STEP)
        return await self._router.forward(
            summary.owner, summary.slice, self._call, None, retry=False
        )

    async def _judge(self, answer: CallAnswer, name: SliceName) -> CallAnswer | None:
        if answer.bound:
            self._binding = Binding(answer.bound, answer.worker, answer.incarnation)
            self._uncertain = True
            return None
        if answer.outcome is Outcome.DONE:
            return answer
        self._last = answer
        if answer.outcome is Outcome.UNKNOWN:
            return await self._judge_unknown(answer, name)
        if answer.outcome is Outcome.FAILED:
            retry = self._call.idempotent and self._router.take_retry(self._call.service)
            self._tried.add(name)
            return None if retry else answer
        if self._binding is not None or answer.reason == "void":
            return self._conclude()
        self._tried.add(name)
        return None

    async def _judge_unknown(self, answer: CallAnswer, name: SliceName) -> CallAnswer | None:
        self._uncertain = True
        if not self._call.idempotent:
            if answer.reason in {"incarnation", "expired"}:
                return answer
            # The same request may be sent again: its worker runs it once.
            return None if await self._router.pause() else answer
        self._tried.add(name)
        # The budget guards workers against retries; a silent owner adds no load to them.
        if answer.reason == REASON_SILENT or self._router.take_retry(self._call.service):
            return None
        return answer

    def _conclude(self) -> CallAnswer:
        last = self._last or CallAnswer(
            AttemptId(""),
            Outcome.NOT_RUN,
            "no_replica",
            f"no reachable slice serves {self._call.service}",
            retry_after_ms=500,
        )
        certain = last.reason == "void" or not self._uncertain
        outcome = last.outcome
        if outcome is Outcome.NOT_RUN and not certain:
            outcome = Outcome.UNKNOWN
        return msgspec.structs.replace(last, outcome=outcome)
