"""What a job loses if one of its runs is preempted."""

from enum import IntEnum

# A preempted task is expected to run again after this long.
RESUME_S = 2.0


class VictimLoss(IntEnum):
    """What the caller of a preempted job may lose, from the least on."""

    NOTHING = 0
    TIME = 1
    LATE_RESULT = 2
    RESULT_IN_TIME = 3


def rate_victim(left_s: float, deadline_s: float, expires_s: float) -> VictimLoss:
    """Return what a job may lose by a preemption.

    `left_s` is how long it still takes, and the others in how many seconds it becomes late and its
    result worthless.
    """
    if left_s > expires_s:
        return VictimLoss.NOTHING
    late = left_s > deadline_s
    if left_s + RESUME_S <= (expires_s if late else deadline_s):
        return VictimLoss.TIME
    return VictimLoss.LATE_RESULT if late else VictimLoss.RESULT_IN_TIME
