"""Types of identifiers, and functions that build and split them."""

from typing import NewType

EntryId = NewType("EntryId", str)
WorkerId = NewType("WorkerId", str)
ZoneName = NewType("ZoneName", str)
RackName = NewType("RackName", str)
SliceName = NewType("SliceName", str)
ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
Incarnation = NewType("Incarnation", str)
Epoch = NewType("Epoch", int)
Version = NewType("Version", int)
ChangeNumber = NewType("ChangeNumber", int)

EPOCHS_PER_TERM = 1000


def make_slice_name(zone: ZoneName, index: int) -> SliceName:
    """Return the name of the slice with this index in a zone."""
    return SliceName(f"{zone}/{index}")


def get_slice_zone(name: SliceName) -> ZoneName:
    """Return the zone of a slice."""
    return ZoneName(name.rpartition("/")[0])


def make_task_id(job: JobId, index: int) -> TaskId:
    """Return the id of the task with this index in a job."""
    return TaskId(f"{job}.{index}")


def split_task_id(task: TaskId) -> tuple[JobId, int]:
    """Return the job and the index from a task id."""
    job, _, index = task.rpartition(".")
    return JobId(job), int(index)


def make_run_id(task: TaskId, term: int, number: int) -> TaskId:
    """Return the id of one run of a task; it is unique to the run."""
    return TaskId(f"{task}~{term}.{number}")


def get_task_id(run: TaskId) -> TaskId:
    """Return the id of the task that a run belongs to."""
    return TaskId(run.partition("~")[0])


def make_epoch(term: int) -> Epoch:
    """Return the first epoch of a table term; takeovers without the table increment it."""
    return Epoch(term * EPOCHS_PER_TERM)


def get_term(epoch: Epoch) -> int:
    """Return the table term that an epoch belongs to."""
    return epoch // EPOCHS_PER_TERM
