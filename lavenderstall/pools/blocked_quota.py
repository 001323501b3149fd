"""Limits on the blocked steps that a dispatch looks at although no known shortage covers them."""

from collections import Counter

from lavenderstall.pools.waiting_steps import WaitingStep
from lavenderstall.pools.work import StepKey

# The most urgent blocked steps, which a dispatch always looks at.
MOST_BLOCKED = 24
# Further blocked steps that it looks at, in turn.
MOST_FURTHER_BLOCKED = 4


class BlockedQuota:
    """Limit what blocked steps cost a dispatch, so that each is looked at sometime.

    Steps whose tasks last count apart, as these are to run wherever there is room.
    """

    def __init__(self) -> None:
        self._blocked: Counter[bool] = Counter()
        self._further: Counter[bool] = Counter()
        self._preempting: Counter[bool] = Counter()
        self._explained = 0
        # Steps that have had a turn, and whether others of their kind still await one.
        self._seen: set[StepKey] = set()
        self._awaiting = False

    def clear(self) -> None:
        """Reset for a dispatch."""
        self._blocked.clear()
        self._further.clear()
        self._preempting.clear()
        self._explained = 0
        self._awaiting = False

    def end_dispatch(self) -> None:
        """Begin the next round of turns if all steps have had one."""
        if not self._awaiting:
            self._seen.clear()

    def has_turn(self, waiting_step: WaitingStep) -> bool:
        """Tell whether a step is to be looked at in this dispatch."""
        lasting = waiting_step.step.long_running
        if self._blocked[lasting] < MOST_BLOCKED:
            return True
        if waiting_step.step_key in self._seen:
            return False
        if self._further[lasting] < MOST_FURTHER_BLOCKED:
            return True
        self._awaiting = True
        return False

    def note_blocked(self, waiting_step: WaitingStep) -> None:
        """Count a step that was looked at in vain."""
        lasting = waiting_step.step.long_running
        if self._blocked[lasting] < MOST_BLOCKED:
            self._blocked[lasting] += 1
            return
        self._further[lasting] += 1
        self._seen.add(waiting_step.step_key)

    def may_preempt(self, waiting_step: WaitingStep) -> bool:
        """Tell whether a step that has no room may still preempt runs in this dispatch."""
        return self._preempting[waiting_step.step.long_running] < MOST_BLOCKED

    def note_preempting(self, waiting_step: WaitingStep) -> None:
        """Count a step that has no room and preempts runs."""
        self._preempting[waiting_step.step.long_running] += 1

    def take_explanation(self) -> bool:
        """Count a step that a known shortage covers, and tell whether to log why it waits."""
        self._explained += 1
        return self._explained <= MOST_BLOCKED
