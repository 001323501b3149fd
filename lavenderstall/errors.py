"""Errors that name the step and the peer at which they arose."""

from enum import Enum


class Outcome(Enum):
    """What a caller may conclude about its work."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class LavenderstallError(Exception):
    """Base of all errors; carries the step and the peer at which it arose."""

    def __init__(self, detail: str, *, step: str, peer: str = "") -> None:
        super().__init__(f"{step}{f' at {peer}' if peer else ''}: {detail}")
        self.detail = detail
        self.step = step
        self.peer = peer


class BadRequestError(LavenderstallError):
    """The request is malformed; nothing was changed."""


class RefusedError(LavenderstallError):
    """The work was refused; `outcome` tells whether it can have run."""

    def __init__(
        self,
        detail: str,
        *,
        step: str,
        peer: str = "",
        reason: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.reason = reason
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms

    def doubt(self) -> "RefusedError":
        """Return the same refusal of work that may have run before."""
        return RefusedError(
            self.detail,
            step=self.step,
            peer=self.peer,
            reason=self.reason,
            outcome=Outcome.UNKNOWN,
            retry_after_ms=self.retry_after_ms,
        )


class FencedError(LavenderstallError):
    """A worker refused a message because it obeys a higher epoch."""

    def __init__(self, detail: str, *, step: str, peer: str, epoch: int, owner: str) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.epoch = epoch
        self.owner = owner


class PeerUnavailableError(LavenderstallError):
    """The peer was not reached and nothing was sent."""


class AnswerLostError(LavenderstallError):
    """A message was sent and its answer did not arrive whole."""


class PeerSilentError(AnswerLostError):
    """A peer that was sent a message has fallen silent altogether."""


class StoreUnavailableError(LavenderstallError):
    """The store took no effect from this call."""


class StoreOutcomeUnknownError(LavenderstallError):
    """The store may or may not have taken the write."""


class ConflictError(LavenderstallError):
    """A condition of a transaction did not hold; `keys` are the rows that differ."""

    def __init__(self, detail: str, *, step: str, peer: str = "", keys: frozenset[str]) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.keys = keys
