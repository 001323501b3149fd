"""Calls to the placement service, made by this instance or a less busy peer."""

import logging
from collections.abc import Callable
from itertools import count

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advice_balancer import AdviceBalancer
from lavenderstall.pools.effects import Advice, RequestAdvice
from lavenderstall.pools.messages import AdviceAnswer, AdviceRequest
from lavenderstall.pools.peers import PeerTracker
from lavenderstall.pools.ports import Adviser
from lavenderstall.pools.step_advice import SHORT_CALL_S
from lavenderstall.pools.work import StepKey, Task

logger = logging.getLogger(__name__)

# Timeout of a call: this multiple of its expected duration, plus slack.
TIMEOUT_FACTOR = 1.3
TIMEOUT_SLACK_S = 0.2
# Additional time for a peer to forward a call and return the answer.
PEER_TIMEOUT_SLACK_S = 0.1
# Backlog of pending calls above which an instance rejects another short or long call.
MAX_SHORT_CALL_BACKLOG_S = 0.1
MAX_LONG_CALL_BACKLOG_S = 0.2


class BusyError(LavenderstallError):
    """Earlier calls take too long: another `busy_s` seconds."""

    def __init__(self, busy_s: float) -> None:
        super().__init__(f"earlier calls take another {busy_s:.2f} s", step="advise")
        self.busy_s = busy_s


class LocalAdviceClient:
    """Make the calls of this instance and estimate the backlog of pending ones."""

    def __init__(
        self, adviser: Adviser, read_uptime: Callable[[], float], metrics: Metrics
    ) -> None:
        self._adviser = adviser
        self._read_uptime = read_uptime
        self._metrics = metrics
        self._call_ids = count()
        self._calls: dict[int, float] = {}
        self._idle_at = 0.0

    def get_backlog_s(self) -> float:
        """Return the estimated time until all pending calls end, in seconds."""
        return max(0.0, self._idle_at - self._read_uptime()) if self._calls else 0.0

    async def request_advice(
        self, step_key: StepKey, workers: tuple[str, ...], expected_s: float
    ) -> Advice:
        """Call the service; raises `BusyError` if the backlog is too long."""
        backlog = self.get_backlog_s()
        if backlog > (
            MAX_SHORT_CALL_BACKLOG_S if expected_s <= SHORT_CALL_S else MAX_LONG_CALL_BACKLOG_S
        ):
            raise BusyError(backlog)
        call_id = next(self._call_ids)
        self._idle_at = self._read_uptime() + backlog + expected_s
        self._calls[call_id] = self._idle_at
        timeout_s = backlog + TIMEOUT_FACTOR * expected_s + TIMEOUT_SLACK_S
        try:
            return await self._adviser.request_advice(Task(*step_key, 0), workers, timeout_s)
        except LavenderstallError as error:
            self._metrics.count("advice_failed")
            logger.info("placement call failed", extra={"job": step_key.job, "error": str(error)})
            raise
        finally:
            del self._calls[call_id]


class AdviceClient:
    """Fetch advice for pool owners through the least busy instance."""

    def __init__(
        self,
        entry: EntryId,
        local_client: LocalAdviceClient,
        balancer: AdviceBalancer,
        peers: PeerTracker,
        read_uptime: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._entry = entry
        self._local_client = local_client
        self._balancer = balancer
        self._peers = peers
        self._read_uptime = read_uptime
        self._metrics = metrics

    async def fetch(self, request: RequestAdvice) -> Advice | None:
        """Return advice, or none if all instances are busy or the call failed."""
        entry = self._balancer.acquire(request.expected_ms / 1000)
        if entry is None:
            return None
        started_at = self._read_uptime()
        advice = await self._request(entry, request)
        self._balancer.release(entry)
        took_s = self._read_uptime() - started_at
        self._metrics.record("advice", took_s)
        logger.info(
            "advice",
            extra={
                "job": request.step_key.job,
                "step": request.step_key.step,
                "adviser": entry,
                "named": len(request.workers),
                "allowed": None if advice is None else len(advice.allowed),
                "took_ms": round(took_s * 1000),
                "expected_ms": round(request.expected_ms),
            },
        )
        return advice

    async def _request(self, entry: EntryId, request: RequestAdvice) -> Advice | None:
        expected_s = request.expected_ms / 1000
        if entry == self._entry:
            try:
                return await self._local_client.request_advice(
                    request.step_key, request.workers, expected_s
                )
            except BusyError as error:
                self._balancer.mark_busy(entry, error.busy_s)
            except LavenderstallError:
                self._balancer.mark_busy(entry)
            return None
        timeout_s = (
            TIMEOUT_FACTOR * expected_s
            + TIMEOUT_SLACK_S
            + PEER_TIMEOUT_SLACK_S
            + MAX_LONG_CALL_BACKLOG_S
        )
        answer = await self._peers.request_advice(entry, request, timeout_s)
        if answer is None or (not answer.available and not answer.busy_ms):
            self._balancer.mark_busy(entry)
            return None
        if not answer.available:
            self._balancer.mark_busy(entry, answer.busy_ms / 1000)
            return None
        return Advice(answer.allowed, answer.valid_ms)

    async def answer_peer(self, message: AdviceRequest, sender: EntryId) -> None:
        """Call the service for a peer and send it the outcome."""
        step_key = StepKey(JobId(message.job), message.occurrence, message.step)
        try:
            advice = await self._local_client.request_advice(
                step_key, message.workers, message.expected_s
            )
        except BusyError as error:
            answer = AdviceAnswer(message.request_id, available=False, busy_ms=error.busy_s * 1000)
        except LavenderstallError:
            answer = AdviceAnswer(message.request_id, available=False)
        else:
            answer = AdviceAnswer(
                message.request_id, available=True, allowed=advice.allowed, valid_ms=advice.valid_ms
            )
        self._peers.send(sender, answer)
