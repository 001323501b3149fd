"""In-memory object store with faults."""

from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, call_after
from lavenderstall.errors import StoreUnavailableError
from standins.faults import ServiceFaults


class Objects:
    """Keep whole objects by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.faults = ServiceFaults()
        self._bodies: dict[str, bytes] = {}

    def put(self, name: str, body: bytes) -> Deferred[None]:
        """Store an object."""
        answer: Deferred[None] = Deferred()
        if self._is_down(answer, "put object"):
            return answer
        self._bodies[name] = body
        call_after(self._clock, self.faults.delay_s, answer.callback, None)
        return answer

    def get(self, name: str) -> Deferred[bytes | None]:
        """Return an object, or none if it is absent."""
        answer: Deferred[bytes | None] = Deferred()
        if self._is_down(answer, "get object"):
            return answer
        call_after(self._clock, self.faults.delay_s, answer.callback, self._bodies.get(name))
        return answer

    def _is_down(self, answer: Deferred, step: str) -> bool:
        """Fail an answer if the store is down."""
        if self.faults.down:
            answer.errback(StoreUnavailableError("object store is down", step=step, peer="objects"))
        return self.faults.down
