"""Advice on a step: which workers may run it, with tickets that expire."""

from collections.abc import Iterable

from lavenderstall.pools.effects import Advice
from lavenderstall.pools.work import Advising

# Time for an order with a ticket to reach its worker.
TRANSIT_S = 0.08
# Advice that has not come after this long, beyond its usual time, is asked for again.
PATIENCE_S = 0.6
# Workers named in one call at most, which bounds its duration.
MOST_NAMED = 30


class StepAdvice:
    """Keep what is known of the advice on one step; times are in seconds of uptime."""

    def __init__(self) -> None:
        self.tickets: dict[str, tuple[str, float]] = {}
        self.allowed: set[str] = set()
        self.denied: set[str] = set()
        self.asked_until = -1.0
        self.asked: tuple[str, ...] = ()

    def get_ticket(self, worker: str, now: float) -> str | None:
        """Return a ticket that is still valid, or none."""
        ticket, expires = self.tickets.get(worker, ("", -1.0))
        return ticket if expires > now + TRANSIT_S else None

    def is_waiting(self, now: float) -> bool:
        """Tell whether advice was asked for and may still come."""
        return self.asked_until > now

    def note_asked(self, workers: tuple[str, ...], advising: Advising, now: float) -> None:
        """Note a call that names some workers."""
        self.asked = workers
        self.asked_until = now + get_duration(advising, len(workers)) + PATIENCE_S

    def note_advice(self, advice: Advice, named: Iterable[str], now: float) -> None:
        """Keep an answer; workers that were named and not allowed never will be."""
        self.asked_until = -1.0
        expires = now + advice.valid_ms / 1000
        found = dict(advice.allowed)
        self.allowed |= found.keys()
        self.denied |= set(named) - found.keys()
        self.tickets.update({worker: (ticket, expires) for worker, ticket in found.items()})

    def note_failure(self) -> None:
        """Note that a call brought no answer."""
        self.asked_until = -1.0

    def drop_ticket(self, worker: str) -> None:
        """Forget a ticket that its worker refused."""
        self.tickets.pop(worker, None)


def get_duration(advising: Advising, workers: int) -> float:
    """Return how long a call takes in seconds."""
    return (advising.base_ms + advising.per_worker_ms * workers) / 1000
