"""When a job is late, and when a caller that was rejected may come back."""

from lavenderstall.pools.work import JobSpec, Queue

# After this multiple of its objective a job earns nothing.
EXPIRED_FACTOR = 3.0
# Jobs with shorter objectives are urgent; those with longer ones lose nothing by a longer pause.
URGENT_OBJECTIVE_S = 4.0
SHORT_RETRY_S = 1
LONG_RETRY_S = 2
# A store that was away for this long may stay away longer than a caller's few tries.
LONG_OUTAGE_S = 1.0


def estimate_critical_path_ms(spec: JobSpec) -> float:
    """Return the declared duration of the longest chain of steps."""
    longest: list[float] = []
    for step in spec.steps:
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(before + step.expected_ms)
    return max(longest)


def get_objective_s(spec: JobSpec, queue: Queue) -> float:
    """Return how long a job may take, in seconds from its submission."""
    return (queue.slack * estimate_critical_path_ms(spec) + queue.objective_ms) / 1000


def choose_retry_after_s(objective_s: float, outage_s: float, *, cut_off: bool) -> int:
    """Return after how many seconds a caller whose job was not accepted should come back.

    Callers try a few times only. Those of an instance that is cut off are sent to other zones
    once the balancer has noticed.
    """
    if cut_off or objective_s > URGENT_OBJECTIVE_S or outage_s > LONG_OUTAGE_S:
        return LONG_RETRY_S
    return SHORT_RETRY_S
