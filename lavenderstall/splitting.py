"""Splitting of JSON arrays and objects that can't be decoded as a whole because of one element."""

import re
from collections.abc import Iterator

from lavenderstall.decoding import UnreadableError, decode_json

TEXT = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
PLAIN = rb'[^\[\]{}"]*'
# Arrays and objects without another inside, texts, in which marks mean nothing, all marks between
# values, and a quotation mark that opens no text.
TOKEN = re.compile(
    rb"\[" + PLAIN + rb"(?:" + TEXT + PLAIN + rb")*\]"
    rb"|\{" + PLAIN + rb"(?:" + TEXT + PLAIN + rb")*\}"
    rb"|" + TEXT + rb'|[\[\]{},:"]',
    re.DOTALL,
)
DEPTH_CHANGES = {b"[": 1, b"{": 1, b"]": -1, b"}": -1}


def split_array(data: bytes) -> list[bytes]:
    """Return the text of each element of a JSON array, or raise `UnreadableError`."""
    return [element for _, element in _split(data, b"[", b"]")]


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the text of each value of a JSON object by its name, or raise `UnreadableError`."""
    return {decode_json(name, str): value for name, value in _split(data, b"{", b"}")}


def _split(data: bytes, opening: bytes, closing: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the name, empty in arrays, and the text of each element, at any depth of nesting."""
    data = data.strip()
    if data[:1] != opening or data[-1:] != closing or len(data) < 2:
        raise UnreadableError(f"no {(opening + closing).decode()} around the elements")
    depth, start, name = 0, 1, b""
    for token in TOKEN.finditer(data, 1, len(data) - 1):
        mark = token[0]
        if mark == b'"':
            raise UnreadableError("a text does not end")
        depth += DEPTH_CHANGES.get(mark, 0)
        if depth < 0:
            raise UnreadableError("more follows the elements")
        if depth == 0 and mark == b":" and opening == b"{" and not name:
            name, start = data[start : token.start()].strip(), token.end()
        elif depth == 0 and mark == b",":
            yield name, data[start : token.start()].strip()
            name, start = b"", token.end()
    if depth:
        raise UnreadableError("the brackets do not match")
    last = data[start:-1].strip()
    if last or name or start > 1:
        yield name, last
