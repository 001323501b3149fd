"""Decoding of data from outside this process, with one error for all that can't be read."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

# What decoding data from outside may raise; a `RecursionError` is for deep nesting.
UNREADABLE = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)


class UnreadableError(ValueError):
    """The data can't be decoded into the expected type."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON, or raise `UnreadableError`."""
    return _decode(msgspec.json.decode, data, kind)


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack, or raise `UnreadableError`."""
    return _decode(msgspec.msgpack.decode, data, kind)


def decode_with(decode: Callable[[bytes], T], data: bytes) -> T:
    """Decode with a decoder's function, or raise `UnreadableError`."""
    try:
        return decode(data)
    except UNREADABLE as error:
        raise UnreadableError(str(error)) from error


def _decode(decode: Any, data: bytes, kind: type[T]) -> T:
    """Decode with a function of `msgspec`, which reports deep nesting by a `RecursionError`."""
    try:
        found: T = decode(data, type=kind)
    except UNREADABLE as error:
        raise UnreadableError(str(error)) from error
    return found
