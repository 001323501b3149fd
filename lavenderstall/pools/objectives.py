"""Objectives on the duration of jobs, and retry delays for callers."""

from lavenderstall.pools.work import JobSpec, Queue

# The result of a job is worthless after this multiple of its objective.
EXPIRED_FACTOR = 3.0
# Jobs with shorter objectives are urgent; longer ones can afford the long retry delay.
URGENT_OBJECTIVE_S = 4.0
SHORT_RETRY_S = 1
LONG_RETRY_S = 2
# A store outage of this length may outlast the few retries of a caller.
LONG_OUTAGE_S = 1.0


def estimate_critical_path_ms(spec: JobSpec) -> float:
    """Return the declared duration of the critical path through the steps."""
    longest: list[float] = []
    for step in spec.steps:
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(before + step.expected_ms)
    return max(longest)


def get_objective_s(spec: JobSpec, queue: Queue) -> float:
    """Return how long a job may take, in seconds from its submission."""
    return (queue.slack * estimate_critical_path_ms(spec) + queue.objective_ms) / 1000


def choose_retry_after_s(objective_s: float, outage_s: float, *, cut_off: bool) -> int:
    """Return after how many seconds a caller whose job was not accepted should retry.

    Callers retry only a few times. The load balancer sends callers of a partitioned instance to
    other zones, but only once it has noticed the partition.
    """
    if cut_off or objective_s > URGENT_OBJECTIVE_S or outage_s > LONG_OUTAGE_S:
        return LONG_RETRY_S
    return SHORT_RETRY_S
