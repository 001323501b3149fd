"""Routing of received calls: choice of a slice, forwarding, retries, answers."""

import logging
from collections.abc import Callable, Collection
from itertools import groupby
from random import Random

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.bindings import Binding, is_expired, parse_binding
from lavenderstall.clocks import Clock, sleep
from lavenderstall.deadlines import Deadline, RetryBudget
from lavenderstall.errors import (
    AnswerLostError,
    Outcome,
    PeerTimedOutError,
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
from lavenderstall.records import REASON_UNREADABLE
from lavenderstall.schemas import MILLI, Calls

logger = logging.getLogger(__name__)

SUMMARY_TTL_SECONDS = 3.0
# Summaries arrive five times a second.
SILENCE_TIMEOUT_SECONDS = 1.5
CHECK_SECONDS = 0.5
RETRY_DELAY_SECONDS = 0.05
MAX_DELAYED_CALLS = 500
# A call may have crashed the workers that did not answer it.
MAX_LOST_ANSWERS = 3
STEP = "route call"
REASON_SILENT = "owner_silent"
# A slice whose owner failed gets a new owner within 5 s.
TAKEOVER_SECONDS = 5.0
TRANSIENT_REASONS = frozenset(
    {"", "moved", "unreachable", "draining", "no_replica", "answer_lost", REASON_SILENT}
)


class CallRequest(msgspec.Struct, frozen=True):
    """Represent a call as received from a client."""

    service: ServiceName
    team: TeamName
    request: RequestId
    deadline: Deadline
    body: bytes
    idempotent: bool = True
    retry: bool = False
    trace: str = ""
    hedged: bool = False


class _ReceivedSummary(msgspec.Struct):
    summary: SliceSummary
    received_at: float


class SliceDirectory:
    """Store the latest slice summaries and the last contact with each peer."""

    def __init__(self, clock: Clock, entry: EntryId, zone: ZoneName) -> None:
        self._clock = clock
        self._entry = entry
        self._zone = zone
        self._summaries: dict[SliceName, _ReceivedSummary] = {}
        self._last_contact: dict[EntryId, float] = {}

    def record_contact(self, entry: EntryId) -> None:
        """Record a contact with an entry instance."""
        self._last_contact[entry] = self._clock.seconds()

    def update(self, summary: SliceSummary) -> None:
        """Store a summary unless a recent one has a newer epoch."""
        current = self._summaries.get(summary.slice)
        now = self._clock.seconds()
        is_recent = current is not None and now - current.received_at < SUMMARY_TTL_SECONDS
        if current is not None and is_recent and current.summary.epoch > summary.epoch:
            return
        self._summaries[summary.slice] = _ReceivedSummary(summary, now)

    def drop(self, name: SliceName, owner: EntryId) -> None:
        """Remove the summary of a slice if it came from this owner."""
        current = self._summaries.get(name)
        if current is not None and current.summary.owner == owner:
            del self._summaries[name]

    def is_silent(self, entry: EntryId) -> bool:
        """Return whether an entry instance has timed out."""
        if entry == self._entry:
            return False
        return self._clock.seconds() - self._last_contact.get(entry, 0.0) > SILENCE_TIMEOUT_SECONDS

    def list_summaries(self) -> list[SliceSummary]:
        """Return the summaries that have not expired."""
        now = self._clock.seconds()
        return [
            current.summary
            for current in self._summaries.values()
            if now - current.received_at < SUMMARY_TTL_SECONDS
        ]

    def list_known_slices(self) -> set[SliceName]:
        """Return all known slices, with expired summaries too."""
        return set(self._summaries)

    def find_owner(self, name: SliceName) -> EntryId | None:
        """Return the owner of a slice, or None if unknown."""
        current = self._summaries.get(name)
        if current is None or self._clock.seconds() - current.received_at >= SUMMARY_TTL_SECONDS:
            return None
        return current.summary.owner

    def rank_distance(self, summary: SliceSummary) -> int:
        """Return 0 for own slices, 1 for the same zone, 2 for others."""
        if summary.owner == self._entry:
            return 0
        return 1 if get_slice_zone(summary.slice) == self._zone else 2

    def choose_slice(
        self, service: ServiceName, tried: Collection[SliceName], random: Random
    ) -> SliceSummary | None:
        """Return a near slice, weighted by free slots, else any with a replica, else None."""
        candidates = [
            summary
            for summary in self.list_summaries()
            if service in summary.free_slots and summary.slice not in tried
        ]
        candidates.sort(key=self.rank_distance)
        for _, near in groupby(candidates, key=self.rank_distance):
            summaries = list(near)
            weights = [summary.free_slots[service] for summary in summaries]
            if any(weights):
                return random.choices(summaries, weights)[0]
        return random.choice(candidates) if candidates else None


class _PendingAttempt(msgspec.Struct):
    peer: EntryId
    answer: "Deferred[CallAnswer]"


class CallRouter:
    """Forward calls to slice owners and return one outcome for each."""

    def __init__(
        self,
        clock: Clock,
        links: Links,
        directory: SliceDirectory,
        random: Random,
        make_nonce: Callable[[], str],
        read_unix: Callable[[], float],
        find_calls: Callable[[ServiceName], Calls],
    ) -> None:
        self.in_flight = 0
        self.late_answers = 0
        self._delayed_calls = 0
        self._clock = clock
        self._links = links
        self._directory = directory
        self._random = random
        self._make_nonce = make_nonce
        self._read_unix = read_unix
        self._find_calls = find_calls
        self._budgets: dict[ServiceName, tuple[int, RetryBudget]] = {}
        self.hedges = HedgedCalls(clock, self.get_budget)
        self._pending: dict[AttemptId, _PendingAttempt] = {}

    def receive(self, sender: EntryId, answer: CallAnswer) -> None:
        """Pass an answer to its pending attempt, or count it as late."""
        pending = self._pending.pop(answer.call, None)
        if pending is None or pending.peer != sender:
            self.late_answers += 1
            return
        pending.answer.callback(answer)

    def fail_silent_attempts(self) -> None:
        """Fail the pending attempts at timed-out peers."""
        for call, pending in list(self._pending.items()):
            if self._directory.is_silent(pending.peer):
                error = PeerTimedOutError("the owner is silent", step=STEP, peer=pending.peer)
                self._fail_attempt(call, error)

    def _fail_attempt(self, call: AttemptId, error: AnswerLostError) -> None:
        pending = self._pending.pop(call, None)
        if pending is not None:
            pending.answer.errback(error)

    async def route(self, call: CallRequest) -> CallAnswer:
        """Route a call and return its outcome before the deadline."""
        self.in_flight += 1
        self.get_budget(call.service).record_call(self._clock.seconds())
        try:
            return await _RoutedCall(self, call).run()
        finally:
            self.in_flight -= 1

    def get_budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service at its declared share."""
        share = self._find_calls(service).retry_budget_milli
        cached = self._budgets.get(service)
        if cached is None or cached[0] != share:
            budget = RetryBudget(self._clock.seconds(), ratio=share / MILLI)
            cached = self._budgets[service] = (share, budget)
        return cached[1]

    def spend_retry(self, service: ServiceName) -> bool:
        """Spend a retry from the budget of a service, if any is left."""
        return self.get_budget(service).spend_retry(self._clock.seconds())

    def choose_slice(
        self, service: ServiceName, tried: Collection[SliceName]
    ) -> SliceSummary | None:
        """Return the slice for the next attempt, or None."""
        return self._directory.choose_slice(service, tried, self._random)

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._clock.seconds()

    def find_owner(self, name: SliceName) -> EntryId | None:
        """Return the owner of a slice."""
        return self._directory.find_owner(name)

    def get_remaining_ms(self, deadline: Deadline) -> int:
        """Return the milliseconds until a deadline."""
        return deadline.get_remaining_ms(self._clock.seconds())

    def find_binding(self, call: CallRequest) -> Binding | None:
        """Return the binding in an issued id, or raise if the id has expired."""
        if call.idempotent:
            return None
        binding = parse_binding(call.request)
        if binding is not None and is_expired(binding, self._read_unix()):
            raise RefusedError(
                "the request id has expired", step=STEP, reason="expired", outcome=Outcome.UNKNOWN
            )
        return binding

    async def delay_retry(self) -> bool:
        """Delay a retry, or return False if too many calls are delayed."""
        if self._delayed_calls >= MAX_DELAYED_CALLS:
            return False
        self._delayed_calls += 1
        try:
            await sleep(self._clock, RETRY_DELAY_SECONDS)
        finally:
            self._delayed_calls -= 1
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
        """Send one attempt to a slice owner and await its answer."""
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
        self._pending[attempt] = _PendingAttempt(owner, answer)
        timeout_error = AnswerLostError("the deadline passed", step=STEP, peer=owner)
        timer = self._clock.callLater(remaining / 1000, self._fail_attempt, attempt, timeout_error)
        try:
            self._links.send(owner, message)
            return await answer
        finally:
            self._pending.pop(attempt, None)
            if timer.active():
                timer.cancel()


class _RoutedCall:
    """Track the attempts of one call."""

    def __init__(self, router: CallRouter, call: CallRequest) -> None:
        self._router = router
        self._call = call
        self._binding = router.find_binding(call)
        self._tried_slices: set[SliceName] = set()
        self._started = router.now()
        # Once an attempt may have run, a later refusal must not be reported as "not run".
        self._may_have_run = call.retry
        self._last_answer: CallAnswer | None = None
        self._lost_answers = 0

    async def run(self) -> CallAnswer:
        """Try slice owners until one answers, none is left, or the deadline passes."""
        while self._router.get_remaining_ms(self._call.deadline) > 0:
            candidate = self._choose_owner()
            if candidate is None:
                if not await self._wait_for_owner():
                    return self._make_final_answer()
                continue
            answer = await self._try_owner(*candidate)
            if answer is not None:
                return answer
        return self._make_final_answer()

    async def _wait_for_owner(self) -> bool:
        """Delay the next attempt; return False if the call should end instead.

        A non-idempotent request that may have run retries until its deadline, as only its worker
        knows the outcome. Others retry only while slices may be changing owners.
        """
        settled = self._router.now() - self._started >= TAKEOVER_SECONDS
        refused = (
            self._last_answer is not None and self._last_answer.reason not in TRANSIENT_REASONS
        )
        if not (self._may_have_run and not self._call.idempotent) and (settled or refused):
            return False
        self._tried_slices.clear()
        return await self._router.delay_retry()

    def _choose_owner(self) -> tuple[EntryId, SliceName] | None:
        if self._binding is not None:
            owner = self._router.find_owner(self._binding.slice)
            return None if owner is None else (owner, self._binding.slice)
        summary = self._router.choose_slice(self._call.service, self._tried_slices)
        return None if summary is None else (summary.owner, summary.slice)

    async def _try_owner(self, owner: EntryId, name: SliceName) -> CallAnswer | None:
        """Send one attempt; return the final answer, or None to try again."""
        try:
            answer = await self._send(owner, name)
        except PeerUnavailableError as error:
            self._tried_slices.add(name)
            self._last_answer = CallAnswer(
                AttemptId(""), Outcome.NOT_RUN, "unreachable", str(error), retry_after_ms=100
            )
            return None
        except PeerTimedOutError as error:
            answer = CallAnswer(AttemptId(""), Outcome.UNKNOWN, REASON_SILENT, str(error))
        except AnswerLostError as error:
            answer = CallAnswer(AttemptId(""), Outcome.UNKNOWN, "answer_lost", str(error))
        return await self._evaluate(answer, name)

    async def _send(self, owner: EntryId, name: SliceName) -> CallAnswer:
        """Send one attempt, hedged by a second one if the call allows it."""
        if not (self._call.hedged and self._call.idempotent):
            return await self._router.forward(
                owner, name, self._call, self._binding, retry=self._may_have_run
            )
        return await self._router.hedges.call(
            self._call.service,
            self._call.deadline,
            lambda: self._router.forward(owner, name, self._call, None, retry=False),
            lambda: self._send_hedge(name),
        )

    async def _send_hedge(self, name: SliceName) -> CallAnswer:
        """Send the hedge to another slice, or to the same one if there is no other."""
        avoided = {*self._tried_slices, name}
        summary = self._router.choose_slice(self._call.service, avoided)
        summary = summary or self._router.choose_slice(self._call.service, self._tried_slices)
        if summary is None:
            raise PeerUnavailableError("no other slice serves the call", step=STEP)
        return await self._router.forward(
            summary.owner, summary.slice, self._call, None, retry=False
        )

    async def _evaluate(self, answer: CallAnswer, name: SliceName) -> CallAnswer | None:
        if answer.bound:
            self._binding = Binding(answer.bound, answer.worker, answer.incarnation)
            self._may_have_run = True
            return None
        if answer.outcome is Outcome.DONE:
            return answer
        self._last_answer = answer
        if answer.outcome is Outcome.UNKNOWN:
            return await self._evaluate_unknown(answer, name)
        if answer.outcome is Outcome.FAILED:
            retry = self._call.idempotent and self._router.spend_retry(self._call.service)
            self._tried_slices.add(name)
            return None if retry else answer
        if self._binding is not None or answer.reason == "void":
            return self._make_final_answer()
        self._tried_slices.add(name)
        return None

    async def _evaluate_unknown(self, answer: CallAnswer, name: SliceName) -> CallAnswer | None:
        self._may_have_run = True
        if not self._call.idempotent:
            if answer.reason in {"incarnation", "expired", REASON_UNREADABLE}:
                return answer
            # Resending is safe, because the bound worker runs a request only once.
            return None if await self._router.delay_retry() else answer
        self._tried_slices.add(name)
        if answer.reason == REASON_SILENT:
            # A silent owner adds no retry load, from which the budget protects workers.
            return None
        self._lost_answers += 1
        exhausted = self._lost_answers >= MAX_LOST_ANSWERS
        if exhausted or not self._router.spend_retry(self._call.service):
            return answer
        return None

    def _make_final_answer(self) -> CallAnswer:
        last = self._last_answer or CallAnswer(
            AttemptId(""),
            Outcome.NOT_RUN,
            "no_replica",
            f"no reachable slice serves {self._call.service}",
            retry_after_ms=500,
        )
        certain = last.reason == "void" or not self._may_have_run
        outcome = last.outcome
        if outcome is Outcome.NOT_RUN and not certain:
            outcome = Outcome.UNKNOWN
        return msgspec.structs.replace(last, outcome=outcome)
