"""Errors with the step and the peer at which they occurred."""

from enum import Enum


class Outcome(Enum):
    """What a caller knows about the execution of its work."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class LavenderstallError(Exception):
    """Base of all errors; holds the step and the peer at which it occurred."""

    def __init__(self, detail: str, *, step: str, peer: str = "") -> None:
        super().__init__(f"{step}{f' at {peer}' if peer else ''}: {detail}")
        self.detail = detail
        self.step = step
        self.peer = peer


class BadRequestError(LavenderstallError):
    """The request is malformed; nothing was changed."""


class RefusedError(LavenderstallError):
    """The work was refused; `outcome` states whether it may have run."""

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

    def with_unknown_outcome(self) -> "RefusedError":
        """Return this refusal for work that an earlier attempt may have run."""
        return RefusedError(
            self.detail,
            step=self.step,
            peer=self.peer,
            reason=self.reason,
            outcome=Outcome.UNKNOWN,
            retry_after_ms=self.retry_after_ms,
        )


class FencedError(LavenderstallError):
    """A worker refused a message because it has accepted a higher epoch."""

    def __init__(self, detail: str, *, step: str, peer: str, epoch: int, owner: str) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.epoch = epoch
        self.owner = owner


class PeerUnavailableError(LavenderstallError):
    """The peer was unreachable and nothing was sent."""


class AnswerLostError(LavenderstallError):
    """A message was sent, but no complete answer arrived."""


class DisconnectedError(AnswerLostError):
    """A message was sent, and then the connection was reset or closed before the answer."""


class PeerClosedError(DisconnectedError):
    """A message was sent, and then the connection was closed in order, as when a process ends."""


class PeerTimedOutError(AnswerLostError):
    """A message was sent, and then the peer as a whole timed out."""


class StoreUnavailableError(LavenderstallError):
    """The call failed without changing the store."""


class TransactionRejectedError(StoreUnavailableError):
    """The store rejects a transaction for what it holds, and will reject it again."""


class StoreOutcomeUnknownError(LavenderstallError):
    """The store may or may not have executed the write."""


class ConflictError(LavenderstallError):
    """A condition of a transaction was not met; `keys` are the rows that differ."""

    def __init__(self, detail: str, *, step: str, peer: str = "", keys: frozenset[str]) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.keys = keys
