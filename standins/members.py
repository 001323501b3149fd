"""In-memory membership list that lags behind the platform's state."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, call_after
from lavenderstall.errors import StoreUnavailableError
from lavenderstall.identifiers import EntryId, WorkerId
from lavenderstall.protocol import EntryMember, Members, MemberState, WorkerMember
from standins.faults import ServiceFaults

LAG_S = 2.0


class MembershipList:
    """Hold instances; a change shows up on the list after `lag_s` seconds."""

    def __init__(self, clock: Clock, lag_s: float = LAG_S) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self.faults = ServiceFaults()
        self._workers: dict[WorkerId, WorkerMember] = {}
        self._entries: dict[EntryId, EntryMember] = {}

    def set_worker(self, member: WorkerMember, lag_s: float | None = None) -> None:
        """Add or replace a worker."""
        self._change(lag_s, lambda: self._workers.update({member.id: member}))

    def set_worker_state(self, worker: WorkerId, state: MemberState) -> None:
        """Change the state of a worker that is on the list."""
        self._change(None, lambda: self._set_state(worker, state))

    def remove_worker(self, worker: WorkerId) -> None:
        """Remove a worker."""
        self._change(None, lambda: self._workers.pop(worker, None))

    def set_entry(self, member: EntryMember, lag_s: float | None = None) -> None:
        """Add or replace an entry instance."""
        self._change(lag_s, lambda: self._entries.update({member.id: member}))

    def remove_entry(self, entry: EntryId) -> None:
        """Remove an entry instance."""
        self._change(None, lambda: self._entries.pop(entry, None))

    def list_members(self) -> Deferred[Members]:
        """Return the list as the platform sees it."""
        answer: Deferred[Members] = Deferred()
        if self.faults.down:
            answer.errback(
                StoreUnavailableError("membership list is down", step="members", peer="members")
            )
            return answer
        # The list describes the platform as it was one lag ago.
        as_of = self._clock.seconds() - self._lag_s
        members = Members(as_of, list(self._workers.values()), list(self._entries.values()))
        call_after(self._clock, self.faults.delay_s, answer.callback, members)
        return answer

    def _change(self, lag_s: float | None, change: Callable[[], object]) -> None:
        """Apply a change after the lag, or at once if the lag is 0."""
        delay = self._lag_s if lag_s is None else lag_s
        call_after(self._clock, delay, change)

    def _set_state(self, worker: WorkerId, state: MemberState) -> None:
        """Replace the state of a worker on the list."""
        if worker in self._workers:
            self._workers[worker] = msgspec.structs.replace(self._workers[worker], state=state)
