"""Calls to the placement service, made by this instance or by a peer that is less busy."""

import logging
from collections.abc import Callable
from itertools import count

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advisers import Advisers
from lavenderstall.pools.effects import Advice, AskAdvice
from lavenderstall.pools.messages import AdviceAnswer, AdviceRequest
from lavenderstall.pools.peers import PeerRequests
from lavenderstall.pools.ports import Adviser
from lavenderstall.pools.tickets import SHORT_S
from lavenderstall.pools.work import Group, Task

logger = logging.getLogger(__name__)

# A call is given up after this multiple of its duration and a little more.
TIMEOUT_FACTOR = 1.3
SLACK_S = 0.2
# Time for a peer to pass a call on and the answer back.
PEER_SLACK_S = 0.1
# Calls that the service has yet to answer may take this long before another one waits elsewhere.
SHORT_BACKLOG_S = 0.1
LONG_BACKLOG_S = 0.2


class BusyError(LavenderstallError):
    """Calls before this one take too long; `busy_s` is how long."""

    def __init__(self, busy_s: float) -> None:
        super().__init__(f"busy for {busy_s:.2f} s", step="advise")
        self.busy_s = busy_s


class AdviceDesk:
    """Make the calls of this instance, and tell how long those under way will take."""

    def __init__(
        self, adviser: Adviser, read_uptime: Callable[[], float], metrics: Metrics
    ) -> None:
        self._adviser = adviser
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._numbers = count()
        self._calls: dict[int, float] = {}
        self._free_at = 0.0

    def get_backlog(self) -> float:
        """Return how many seconds the calls under way still take."""
        return max(0.0, self._free_at - self._read_uptime()) if self._calls else 0.0

    async def ask(self, group: Group, workers: tuple[str, ...], expected_s: float) -> Advice:
        """Ask the service; raises `BusyError` if other calls come first for too long."""
        backlog = self.get_backlog()
        if backlog > (SHORT_BACKLOG_S if expected_s <= SHORT_S else LONG_BACKLOG_S):
            raise BusyError(backlog)
        number = next(self._numbers)
        self._free_at = self._read_uptime() + backlog + expected_s
        self._calls[number] = self._free_at
        timeout_s = backlog + TIMEOUT_FACTOR * expected_s + SLACK_S
        try:
            return await self._adviser.ask(Task(*group, 0), workers, timeout_s)
        except LavenderstallError as error:
            self._metrics.count("advice_failed")
            logger.info("no advice", extra={"job": group.job, "error": str(error)})
            raise
        finally:
            del self._calls[number]


class AdviceRequests:
    """Fetch advice for owners through the instance that is least busy."""

    def __init__(
        self,
        entry: EntryId,
        desk: AdviceDesk,
        advisers: Advisers,
        peers: PeerRequests,
        read_uptime: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._entry = entry
        self._desk = desk
        self._advisers = advisers
        self._peers = peers
        self._read_uptime = read_uptime
        self._metrics = metrics

    async def fetch(self, order: AskAdvice) -> Advice | None:
        """Return advice, or none if it is not to be had now."""
        entry = self._advisers.choose(order.expected_ms / 1000)
        if entry is None:
            return None
        began = self._read_uptime()
        advice = await self._ask(entry, order)
        self._advisers.free(entry)
        took_s = self._read_uptime() - began
        self._metrics.record("advice", took_s)
        logger.info(
            "advice",
            extra={
                "job": order.group.job,
                "step": order.group.step,
                "adviser": entry,
                "named": len(order.workers),
                "allowed": None if advice is None else len(advice.allowed),
                "took_ms": round(took_s * 1000),
                "expected_ms": round(order.expected_ms),
            },
        )
        return advice

    async def _ask(self, entry: EntryId, order: AskAdvice) -> Advice | None:
        expected_s = order.expected_ms / 1000
        if entry == self._entry:
            try:
                return await self._desk.ask(order.group, order.workers, expected_s)
            except BusyError as error:
                self._advisers.note_busy(entry, error.busy_s)
            except LavenderstallError:
                self._advisers.note_busy(entry)
            return None
        timeout_s = TIMEOUT_FACTOR * expected_s + SLACK_S + PEER_SLACK_S + LONG_BACKLOG_S
        answer = await self._peers.ask_advice(entry, order, timeout_s)
        if answer is None or (not answer.available and not answer.busy_ms):
            self._advisers.note_busy(entry)
            return None
        if not answer.available:
            self._advisers.note_busy(entry, answer.busy_ms / 1000)
            return None
        return Advice(answer.allowed, answer.valid_ms)

    async def answer(self, ask: AdviceRequest, sender: EntryId) -> None:
        """Make a call for a peer and tell it the outcome."""
        group = Group(JobId(ask.job), ask.occurrence, ask.step)
        try:
            advice = await self._desk.ask(group, ask.workers, ask.expected_s)
        except BusyError as error:
            answer = AdviceAnswer(ask.request_id, available=False, busy_ms=error.busy_s * 1000)
        except LavenderstallError:
            answer = AdviceAnswer(ask.request_id, available=False)
        else:
            answer = AdviceAnswer(
                ask.request_id, available=True, allowed=advice.allowed, valid_ms=advice.valid_ms
            )
        self._peers.send(sender, answer)
