"""Values that are larger than a row of the store, split over several rows."""

from collections.abc import Iterable, Mapping

from lavenderstall.decoding import UnreadableError

SEPARATOR = "."


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
