"""Jobs of a pool that have ended, of which only the state is kept."""

from collections.abc import Iterable, Iterator
from itertools import islice, takewhile
from typing import NamedTuple

from lavenderstall.identifiers import JobId
from lavenderstall.pools.work import JobState

# How long the state of an ended job is told; a repeated submission comes much sooner.
RETENTION_S = 600.0
# The rows of a submission are deleted this long after its job has ended.
ROW_DELETION_DELAY_S = 2.0


class ArchivedJob(NamedTuple):
    """Hold the final state of a job and when it was archived, in seconds of uptime."""

    state: JobState
    archived_at: float


class Archive:
    """Keep final states, and the names of jobs whose rows are to be deleted.

    Of an ended job the progress row alone is kept, without its steps; it tells that a submission
    that is repeated has run. Both mappings are in the order of time.
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
        """Return the oldest jobs whose submitted rows may be deleted."""
        old = takewhile(
            lambda item: now - item[1] > ROW_DELETION_DELAY_S, self._submissions.items()
        )
        return [job for job, _ in islice(old, limit)]

    def note_deleted(self, jobs: Iterable[JobId]) -> None:
        """Note that the submitted rows of some jobs are gone."""
        for job in jobs:
            self._submissions.pop(job, None)

    def list_expired(self, now: float, limit: int) -> list[JobId]:
        """Return the oldest jobs whose state need not be told any longer."""
        return list(islice(self._find_expired(now), limit))

    def _find_expired(self, now: float) -> Iterator[JobId]:
        for job, ended in self._ended.items():
            if now - ended.archived_at <= RETENTION_S:
                return
            yield job

    def remove(self, jobs: Iterable[JobId]) -> None:
        """Forget jobs of which no row is left."""
        for job in jobs:
            self._ended.pop(job, None)
            self._submissions.pop(job, None)
