"""Final states of the ended jobs of a pool, and the deletion of their rows."""

from collections.abc import Iterable, Iterator
from itertools import islice, takewhile
from typing import NamedTuple

from lavenderstall.identifiers import JobId
from lavenderstall.pools.work import JobState

# How long the state of an ended job is kept; a repeated submission arrives much sooner.
RETENTION_S = 600.0
# Submitted rows are replaced this long after their job was archived.
ROW_REPLACEMENT_DELAY_S = 2.0


class ArchivedJob(NamedTuple):
    """Final state of a job and when it was archived, in seconds of uptime."""

    state: JobState
    archived_at: float


class Archive:
    """Keep final states, and the ids of jobs whose submitted rows are to be replaced.

    Of an ended job the progress row is kept, without its steps, and an `EndedJob` in place of what
    was submitted, so that a repeated submission does not run again. Both mappings are in the order
    of time.
    """

    def __init__(self) -> None:
        self._ended: dict[JobId, ArchivedJob] = {}
        self._submissions: dict[JobId, float] = {}

    def __contains__(self, job: object) -> bool:
        return job in self._ended

    def add(self, job: JobId, state: JobState, now: float) -> None:
        """Archive a job whose final state is durable."""
        self._ended[job] = ArchivedJob(state, now)
        self._submissions[job] = now

    def get_state(self, job: JobId) -> JobState | None:
        """Return the final state of a job, or none if it is not archived."""
        found = self._ended.get(job)
        return found.state if found else None

    def list_obsolete_submissions(self, now: float, limit: int) -> list[JobId]:
        """Return the oldest jobs whose submitted rows may be replaced."""
        old = takewhile(
            lambda item: now - item[1] > ROW_REPLACEMENT_DELAY_S, self._submissions.items()
        )
        return [job for job, _ in islice(old, limit)]

    def note_replaced(self, jobs: Iterable[JobId]) -> None:
        """Note that the submitted rows of some jobs are replaced."""
        for job in jobs:
            self._submissions.pop(job, None)

    def list_expired(self, now: float, limit: int) -> list[JobId]:
        """Return the oldest jobs whose state need not be kept any longer."""
        return list(islice(self._find_expired(now), limit))

    def _find_expired(self, now: float) -> Iterator[JobId]:
        for job, ended in self._ended.items():
            if now - ended.archived_at <= RETENTION_S:
                return
            yield job

    def remove(self, jobs: Iterable[JobId]) -> None:
        """Remove jobs that have no row left."""
        for job in jobs:
            self._ended.pop(job, None)
            self._submissions.pop(job, None)
