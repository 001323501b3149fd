"""Odd values that another writer or a peer may leave in a row, a message or an answer."""

from collections.abc import Iterator

import msgspec

DEPTH = 5_000
DEEP_LISTS = b"[" * DEPTH + b"]" * DEPTH
DEEP_OBJECTS = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
MANY_DIGITS = b"9" * 400
# Values that are odd in any field, whatever its type.
ODD_VALUES = {
    "nested lists": DEEP_LISTS,
    "nested objects": DEEP_OBJECTS,
    "infinite": b"1e999",
    "not a number": b"NaN",
    "bytes that are no text": b'"\xff\xfe"',
}


# Addresses that no request can be sent to.
ODD_URLS = (
    "http://127.0.0.1:99999",
    "http://127.0.0.1:65536",
    "http://127.0.0.1:-1",
    "http://127.0.0.1:0",
    "http://127.0.0.1:8o",
    "http://127.0.0.1:",
    "http://127.0.0.1 :80",
    "http:// 127.0.0.1",
    "http://127.0.0.1:80/a b",
    "http://127.0.0.1:80\n",
    "http://:80",
    "127.0.0.1:80",
    "ftp://127.0.0.1:80",
    "",
)


class NoText(str):
    """A header whose bytes are no text."""

    def encode(self, *_) -> bytes:
        return b"\xff\xfe"


def add_field(sound: bytes, name: str, value: bytes) -> bytes:
    """Return an object with one more field; the last of two with one name counts."""
    return sound[:-1] + b"," + msgspec.json.encode(name) + b":" + value + b"}"


def list_odd_objects(sound: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield names and odd variants of a sound JSON object."""
    field = next(iter(msgspec.json.decode(sound)))
    for name, value in ODD_VALUES.items():
        yield f"{name} in field {field}", add_field(sound, field, value)
    yield "nested lists in an unknown field", add_field(sound, "odd", DEEP_LISTS)
    yield "nested objects in an unknown field", add_field(sound, "odd", DEEP_OBJECTS)
    yield "no fields", b"{}"
    yield "another type", b"[]"
    yield "null", b"null"
    yield "nothing", b""
