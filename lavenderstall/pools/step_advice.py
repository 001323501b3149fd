"""Advice on a step: the workers that may run it, with tickets that expire."""

from collections.abc import Iterable

from lavenderstall.pools.effects import Advice
from lavenderstall.pools.work import Advising

# Time for a start with a ticket to arrive at its worker.
START_TRANSIT_S = 0.08
# Calls up to this long are short.
SHORT_CALL_S = 0.1
# Limit on the workers in one call, which bounds its duration.
MAX_WORKERS_PER_CALL = 30


class StepAdvice:
    """Advice received on one step; times are in seconds of uptime."""

    def __init__(self) -> None:
        self.tickets: dict[str, tuple[str, float]] = {}
        self.allowed: set[str] = set()
        self.denied: set[str] = set()
        self.requested_workers: tuple[str, ...] = ()

    def get_ticket(self, worker: str, now: float) -> str | None:
        """Return the ticket of a worker if it is valid until a start arrives, or none."""
        ticket, expires = self.tickets.get(worker, ("", -1.0))
        return ticket if expires > now + START_TRANSIT_S else None

    def note_requested(self, workers: tuple[str, ...]) -> None:
        """Note a pending call about some workers."""
        self.requested_workers = workers

    def note_advice(self, advice: Advice, named: Iterable[str], now: float) -> None:
        """Record an answer; workers that were named and not allowed are denied for good.

        An allowed one without a ticket is asked about again.
        """
        self.requested_workers = ()
        expires = now + advice.valid_ms / 1000
        found = dict(advice.allowed)
        self.allowed |= found.keys()
        self.denied |= set(named) - found.keys()
        tickets = {worker: (ticket, expires) for worker, ticket in found.items() if ticket}
        self.tickets.update(tickets)

    def note_failure(self) -> None:
        """Note that a call failed."""
        self.requested_workers = ()

    def drop_ticket(self, worker: str) -> None:
        """Drop a ticket that its worker refused."""
        self.tickets.pop(worker, None)


def get_call_duration_s(advising: Advising, workers: int) -> float:
    """Return how long a call takes in seconds."""
    return (advising.base_ms + advising.per_worker_ms * workers) / 1000
