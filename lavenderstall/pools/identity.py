"""Identity of one incarnation of a worker."""

from typing import NamedTuple


class WorkerKey(NamedTuple):
    """One incarnation of a worker: its id and its start in Unix milliseconds."""

    id: str
    incarnation: int
