"""Hedged requests: second attempts of slow idempotent calls; the first complete answer wins."""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.balancing import HedgePolicy
from lavenderstall.clocks import Clock
from lavenderstall.deadlines import Deadline, RetryBudget
from lavenderstall.errors import Outcome
from lavenderstall.identifiers import ServiceName
from lavenderstall.messages import CallAnswer

Attempt = Callable[[], Coroutine["Deferred[Any]", Any, CallAnswer]]


class HedgedCalls:
    """Hedged calls and policies of each service on the receiving entry instance."""

    def __init__(self, clock: Clock, get_budget: Callable[[ServiceName], RetryBudget]) -> None:
        self.sent = 0
        self._clock = clock
        self._get_budget = get_budget
        self._policies: dict[ServiceName, HedgePolicy] = {}

    async def call(
        self, service: ServiceName, deadline: Deadline, first: Attempt, second: Attempt
    ) -> CallAnswer:
        """Send the first attempt, and the second one if the first is slow."""
        policy = self._policies.get(service)
        if policy is None:
            policy = self._policies[service] = HedgePolicy(self._clock.seconds())
        budget = self._get_budget(service)
        return await _HedgedCall(self, self._clock, budget, policy, deadline).run(first, second)


class _HedgedCall:
    """The attempts of one call."""

    def __init__(
        self,
        hedges: HedgedCalls,
        clock: Clock,
        budget: RetryBudget,
        policy: HedgePolicy,
        deadline: Deadline,
    ) -> None:
        self._hedges = hedges
        self._clock = clock
        self._budget = budget
        self._policy = policy
        self._deadline = deadline
        self._started = clock.seconds()
        self._running = 0
        self._has_winner = False
        self._winner: Deferred[CallAnswer] = Deferred()

    async def run(self, first: Attempt, second: Attempt) -> CallAnswer:
        """Return the first successful answer, or else the last one."""
        delay = self._policy.get_delay_s()
        timer = None if delay is None else self._clock.callLater(delay, self._maybe_hedge, second)
        self._start_attempt(first, is_first=True)
        try:
            return await self._winner
        finally:
            if timer is not None and timer.active():
                timer.cancel()

    def _start_attempt(self, attempt: Attempt, *, is_first: bool) -> None:
        self._running += 1
        Deferred.fromCoroutine(attempt()).addBoth(self._handle_result, is_first)

    def _maybe_hedge(self, second: Attempt) -> None:
        """Send the second attempt if the policy and the budget allow it."""
        now = self._clock.seconds()
        decision = self._policy.decide(
            idempotent=True,
            attempts=1,
            sent=self._started,
            deadline=self._deadline,
            budget=self._budget,
            now=now,
        )
        if decision.send and not self._has_winner:
            self._hedges.sent += 1
            self._start_attempt(second, is_first=False)

    def _handle_result(self, result: CallAnswer | Failure, is_first: bool) -> None:
        """Handle the result of an attempt; results after the winning one are discarded."""
        self._running -= 1
        succeeded = isinstance(result, CallAnswer) and result.outcome is Outcome.DONE
        if succeeded and is_first:
            now = self._clock.seconds()
            self._policy.record(now - self._started, now)
        if self._has_winner or not (succeeded or self._running == 0):
            return
        self._has_winner = True
        if isinstance(result, Failure):
            self._winner.errback(result)
        else:
            self._winner.callback(result)
