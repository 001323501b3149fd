"""Numbers of runs, which rise with the terms of a pool's owners."""

# Run numbers reserved per term, so that they exceed those of earlier terms.
RUNS_PER_TERM = 1000


def get_first_number(term: int) -> int:
    """Return the number that an owner of a term gives to the first run of a task."""
    return (term - 1) * RUNS_PER_TERM + 1


def get_next_number(term: int, last: int) -> int:
    """Return the number that an owner of a term gives to a run after the last one, 0 for none."""
    return max(last + 1, get_first_number(term))
