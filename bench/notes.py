"""Why some targets are missed, and what to try next."""

import msgspec


class Note(msgspec.Struct, frozen=True):
    """Reason for a missed target and the next thing to try."""

    reason: str
    following: str


CANCEL = Note(
    "The cost does not grow with the queue: it steps up between 1,000 and 3,000 requests and then "
    "stays the same up to 100,000, with the garbage collector on or off. That fits the size of a "
    "core's second-level cache; cache misses were not counted.",
    "Count cache misses, then read fewer objects for each withdrawal.",
)
ENTRY_CPU = Note(
    "A nearly fixed cost of each entry instance, 3.3% of a core with 28 workers and 5.3% with 100; "
    "eight instances share 28 workers here.",
    "Profile an idle entry instance by timer, and batch its periodic work.",
)

NOTES: dict[str, Note] = {
    "wait_p99_gang_95": Note(
        "No order of starts goes below wait_p99_gang_95_bound, even with all run times known and "
        "one pool of accelerators; it lies just below the target. First come, first served on "
        "such a pool has the same p99 as the baseline, and shortest first is hardly better.",
        "Give away the room that a reserved gang leaves over on its workers; correct declared run "
        "times by those observed.",
    ),
    "cancel_wave": CANCEL,
    "cancel_wave_in_order": CANCEL,
    "control_cpu_per_node_entry_idle": ENTRY_CPU,
    "control_cpu_per_node_entry_starts": ENTRY_CPU,
    "entry_rss_two_years": Note(
        "Extrapolated from short runs at three sizes; the membership list of 12,000 workers counts "
        "twice while the next one is read.",
        "Repeat with `python -m bench.daemon --slopes`, then read the list in parts.",
    ),
}
"""Notes by the name of a figure; they are shown only while its target is missed."""

UNKNOWN = Note("Not examined yet.", "Find out which part of the figure the cause lies in.")


def find_note(name: str) -> Note:
    """Return the note of a figure, or one that says that there is none."""
    return NOTES.get(name, UNKNOWN)
