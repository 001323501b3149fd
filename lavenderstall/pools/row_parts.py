"""Values that are larger than a row of the store, split over several rows."""

from collections.abc import Collection, Iterable, Mapping

from lavenderstall.decoding import UnreadableError

SEPARATOR = "."


class PartCounts:
    """How many parts each row may have, beside the row itself."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def list_obsolete(self, key: str, written: Iterable[str]) -> list[str]:
        """Return the parts to delete of a row that is written again, with these keys."""
        first = count_parts(written).get(key, 0) + 1
        return [make_part_key(key, number) for number in range(first, self._get(key) + 1)]

    def note_possible(self, keys: Iterable[str]) -> None:
        """Note the keys of rows that were read, or were sent and may have been written."""
        for key, count in count_parts(keys).items():
            self._counts[key] = max(count, self._get(key))

    def note_written(self, keys: Collection[str]) -> None:
        """Note the keys of rows that were written, in place of all earlier parts."""
        counts = count_parts(keys)
        for key in keys:
            if not is_part_key(key):
                self._counts.pop(key, None)
        self._counts.update(counts)

    def _get(self, key: str) -> int:
        return self._counts.get(key, 0)


def make_part_key(key: str, number: int) -> str:
    """Return the key of one part of a row's value; parts count from 1."""
    return f"{key}{SEPARATOR}{number}"


def is_part_key(key: str) -> bool:
    """Tell whether a key is that of a part; keys of whole rows have no separator."""
    return SEPARATOR in key


def split_value(value: bytes, limit: int) -> list[bytes]:
    """Return the parts of a value, each of at most `limit` bytes."""
    return [value[start : start + limit] for start in range(0, len(value), limit)]


def join_parts(key: str, count: int, values: Mapping[str, bytes]) -> bytes:
    """Return a value from the values of its parts, or raise `UnreadableError`."""
    keys = [make_part_key(key, number) for number in range(1, count + 1)]
    missing = [part for part in keys if part not in values]
    if missing:
        raise UnreadableError(f"part {missing[0]} is missing")
    return b"".join(values[part] for part in keys)


def count_parts(keys: Iterable[str]) -> dict[str, int]:
    """Return the highest number of a part for each key that has any."""
    counts: dict[str, int] = {}
    for part in keys:
        key, separator, number = part.rpartition(SEPARATOR)
        if separator and number.isdecimal():
            counts[key] = max(counts.get(key, 0), int(number))
    return counts
