"""Occurrences of a job: which of them are done, open, or neither yet."""

from lavenderstall.pools.ranges import RangeSet
from lavenderstall.pools.work import Repeat


class Occurrences:
    """Open the occurrences of a job in the order of their times.

    A job without a `repeat` has one, which is due at once. What is kept grows with the open ones,
    and none of the operations takes longer the more there are.
    """

    def __init__(self, repeat: Repeat | None, done: RangeSet) -> None:
        self._repeat = repeat
        self._done = done
        self._open: dict[int, None] = {}
        # All occurrences before this one are open or done.
        self._next = 0

    @property
    def count(self) -> int:
        """Return how often the job runs."""
        return self._repeat.count if self._repeat else 1

    def is_done(self, number: int) -> bool:
        """Tell whether an occurrence is done."""
        return number in self._done

    def are_done(self) -> bool:
        """Tell whether all occurrences are done."""
        return len(self._done) == self.count

    def list_done(self) -> list[tuple[int, int]]:
        """Return the ranges of occurrences that are done."""
        return self._done.list_ranges()

    def list_open(self) -> list[int]:
        """Return the open occurrences, in the order in which they were opened."""
        return list(self._open)

    def count_open(self) -> int:
        """Return how many occurrences are open."""
        return len(self._open)

    def note_open(self, number: int) -> None:
        """Note that an occurrence is open, as tasks of it have started."""
        if number not in self._done:
            self._open[number] = None

    def note_done(self, number: int) -> None:
        """Note that an occurrence is done."""
        self._done.add(number)
        self._open.pop(number, None)

    def get_due_ms(self, number: int) -> float:
        """Return when an occurrence is due, in Unix milliseconds."""
        return self._repeat.start_ms + number * self._repeat.interval_ms if self._repeat else 0.0

    def get_next_due_ms(self) -> float | None:
        """Return when the next occurrence is due, or none if all are open or done."""
        number = self._find_next()
        return None if number is None else self.get_due_ms(number)

    def open_next(self, unix_ms: float) -> int | None:
        """Open the next occurrence if it is due, and return it."""
        number = self._find_next()
        if number is None or self.get_due_ms(number) > unix_ms:
            return None
        self.note_open(number)
        return number

    def _find_next(self) -> int | None:
        """Return the first occurrence that is neither open nor done, or none."""
        while self._next < self.count:
            if self._next in self._done:
                self._next = self._done.find_missing(self._next)
            elif self._next in self._open:
                self._next += 1
            else:
                return self._next
        return None
