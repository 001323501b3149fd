"""Decoding of data from outside this process, with one error for all that can't be read."""

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class UnreadableError(ValueError):
    """The data can't be decoded into the expected type."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON, or raise `UnreadableError`."""
    return _decode(msgspec.json.decode, data, kind)


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack, or raise `UnreadableError`."""
    return _decode(msgspec.msgpack.decode, data, kind)


def _decode(decode: Any, data: bytes, kind: type[T]) -> T:
    """Decode with a function of `msgspec`, which reports deep nesting by a `RecursionError`."""
    try:
        found: T = decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise UnreadableError(str(error)) from error
    return found
