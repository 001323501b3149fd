"""Second attempts of slow idempotent calls; the first whole answer wins."""

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderstall.balancing import HedgePolicy
from lavenderstall.clocks import Clock
from lavenderstall.contracts import Deadline, RetryBudget
from lavenderstall.errors import Outcome
from lavenderstall.identifiers import ServiceName
from lavenderstall.messages import CallAnswer

Attempt = Callable[[], Coroutine["Deferred[Any]", Any, CallAnswer]]


class Hedges:
    """Hold the hedging policy of each service on the receiving side."""

    def __init__(self, clock: Clock, get_budget: Callable[[ServiceName], RetryBudget]) -> None:
        self.sent = 0
        self._clock = clock
        self._get_budget = get_budget
        self._policies: dict[ServiceName, HedgePolicy] = {}

    async def race(
        self, service: ServiceName, deadline: Deadline, first: Attempt, second: Attempt
    ) -> CallAnswer:
        """Send the first attempt, and the second one when the first is slow."""
        policy = self._policies.get(service)
        if policy is None:
            policy = self._policies[service] = HedgePolicy(self._clock.seconds())
        budget = self._get_budget(service)
        return await _Race(self, self._clock, budget, policy, deadline).run(first, second)


class _Race:
    """Hold the attempts of one call."""

    def __init__(
        self,
        hedges: Hedges,
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
        self._done = False
        self._winner: Deferred[CallAnswer] = Deferred()

    async def run(self, first: Attempt, second: Attempt) -> CallAnswer:
        """Return the first answer that is done, else the last one."""
        delay = self._policy.get_delay_s()
        timer = None if delay is None else self._clock.callLater(delay, self._consider, second)
        self._launch(first, timed=True)
        try:
            return await self._winner
        finally:
            if timer is not None and timer.active():
                timer.cancel()

    def _launch(self, attempt: Attempt, *, timed: bool) -> None:
        self._running += 1
        Deferred.fromCoroutine(attempt()).addBoth(self._finish, timed)

    def _consider(self, second: Attempt) -> None:
        """Send the second attempt if the policy and the budget allow it."""
        now = self._clock.seconds()
        hedge = self._policy.decide(
            idempotent=True,
            attempts=1,
            sent=self._started,
            deadline=self._deadline,
            budget=self._budget,
            now=now,
        )
        if hedge.send and not self._done:
            self._hedges.sent += 1
            self._launch(second, timed=False)

    def _finish(self, result: CallAnswer | Failure, timed: bool) -> None:
        """Take the result of an attempt; one that comes after the winner is discarded."""
        self._running -= 1
        done = isinstance(result, CallAnswer) and result.outcome is Outcome.DONE
        if done and timed:
            now = self._clock.seconds()
            self._policy.record(now - self._started, now)
        if self._done or not (done or self._running == 0):
            return
        self._done = True
        if isinstance(result, Failure):
            self._winner.errback(result)
        else:
            self._winner.callback(result)
