"""Identity of one life of a worker."""

from typing import NamedTuple


class WorkerKey(NamedTuple):
    """Name one life of a worker: its id and its start in Unix milliseconds."""

    id: str
    born: int
