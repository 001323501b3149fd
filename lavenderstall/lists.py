"""Lists of rows and members in answers of the platform, read without the entries that are odd."""

from collections.abc import Callable, Iterator
from typing import TypeVar
from zlib import crc32

import msgspec

from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.protocol import (
    Conflicts,
    EntryMember,
    Members,
    Revision,
    Row,
    Rows,
    WorkerMember,
)
from lavenderstall.set_aside import SetAside
from lavenderstall.splitting import split_array, split_object

T = TypeVar("T")

MAX_NAME_BYTES = 80
# Bounds the memory and time for elements that keep a list from being decoded as a whole.
MAX_KNOWN_TEXTS = 16
# Stands for a value that can't be told from the bytes around it.
NO_VALUE = msgspec.Raw(b"")
LIST_NAMES = ("rows", "conflicts", "workers", "entries")


class RawLists(msgspec.Struct):
    """Hold the elements of each list in an answer as text."""

    revision: msgspec.Raw = NO_VALUE
    rows: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET
    conflicts: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET
    as_of: msgspec.Raw = NO_VALUE
    workers: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET
    entries: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET


class ListReader:
    """Read lists; an element that can't be read costs only itself.

    Most odd elements are found in a list that is decoded to the texts of its elements. A text that
    keeps even that from being done is found by splitting the list, which is slow, and known from
    then on.
    """

    def __init__(self, set_aside: SetAside) -> None:
        self._set_aside = set_aside
        self._known_texts: dict[bytes, bytes] = {}

    def read_rows(self, body: bytes) -> Rows:
        """Decode rows, or raise `UnreadableError`.

        A row whose value can't be decoded is kept for its reader, which needs to know that it is
        there; one whose version can't be read is kept with version 0 and no value.
        """
        try:
            return decode_json(body, Rows)
        except UnreadableError:
            lists = self._read_texts(body)
            revision: int = decode_json(bytes(lists.revision), Revision)
            return Rows(revision, list(self._read_elements(lists.rows, _read_row, "row")))

    def read_conflicts(self, body: bytes) -> list[Row]:
        """Decode the rows that did not meet a condition, or raise `UnreadableError`."""
        try:
            return decode_json(body, Conflicts).conflicts
        except UnreadableError:
            lists = self._read_texts(body)
            return list(self._read_elements(lists.conflicts, _read_row, "row"))

    def read_members(self, body: bytes) -> Members:
        """Decode the list of members, or raise `UnreadableError`."""
        try:
            return decode_json(body, Members)
        except UnreadableError:
            lists = self._read_texts(body)
            workers = self._read_elements(lists.workers or [], _read_worker, "listed worker")
            entries = self._read_elements(lists.entries or [], _read_entry, "listed entry instance")
            return Members(self._read_time(bytes(lists.as_of)), list(workers), list(entries))

    def _read_time(self, data: bytes) -> float:
        """Return the list's own clock, which nothing depends on, or 0."""
        try:
            return decode_json(data, float)
        except UnreadableError as error:
            self._set_aside.add("as_of of the membership list", crc32(data), error)
            return 0.0

    def _read_elements(
        self, elements: list[msgspec.Raw] | msgspec.UnsetType, read: Callable[[bytes], T], what: str
    ) -> Iterator[T]:
        """Yield the elements that can be read, or raise `UnreadableError` if there is no list."""
        if elements is msgspec.UNSET:
            raise UnreadableError(f"the list with each {what} is missing")
        for element in elements:
            text = bytes(element)
            try:
                yield read(text)
            except UnreadableError as error:
                self._set_aside.add(f"{what} {_find_name(text)}", crc32(text), error)

    def _read_texts(self, body: bytes) -> RawLists:
        """Return the texts of the elements of each list, or raise `UnreadableError`."""
        originals: dict[bytes, bytes] = {}
        shortened = body
        for text, stand_in in self._known_texts.items():
            if text in shortened:
                shortened = shortened.replace(text, stand_in)
                originals[stand_in] = text
        try:
            lists = decode_json(shortened, RawLists)
        except UnreadableError:
            return self._split_texts(body)
        for name in LIST_NAMES:
            elements = getattr(lists, name)
            if elements is msgspec.UNSET:
                continue
            texts = (bytes(element) for element in elements)
            setattr(lists, name, [msgspec.Raw(originals.get(text, text)) for text in texts])
        return lists

    def _split_texts(self, body: bytes) -> RawLists:
        """Split an answer, and remember the elements that keep it from being decoded."""
        fields = split_object(body)
        lists = RawLists(
            revision=msgspec.Raw(fields.get("revision", b"")),
            as_of=msgspec.Raw(fields.get("as_of", b"")),
        )
        for name in fields.keys() & set(LIST_NAMES):
            texts = split_array(fields[name])
            for text in texts:
                self._learn(text)
            setattr(lists, name, [msgspec.Raw(text) for text in texts])
        return lists

    def _learn(self, text: bytes) -> None:
        """Remember an element that is no JSON for the decoder, and stands for itself only."""
        # No text of a sound element has such a quotation mark within.
        if b'"' not in text or text in self._known_texts:
            return
        try:
            decode_json(text, msgspec.Raw)
        except UnreadableError:
            while len(self._known_texts) >= MAX_KNOWN_TEXTS:
                del self._known_texts[next(iter(self._known_texts))]
            self._known_texts[text] = b'"odd element %08x of %d"' % (crc32(text), len(text))


def _read_worker(data: bytes) -> WorkerMember:
    return decode_json(data, WorkerMember)


def _read_entry(data: bytes) -> EntryMember:
    return decode_json(data, EntryMember)


def _read_row(data: bytes) -> Row:
    try:
        return decode_json(data, Row)
    except UnreadableError:
        fields = split_object(data)
        key = decode_json(fields.get("key", b""), str)
    try:
        version: int = decode_json(fields.get("version", b""), Revision)
    except UnreadableError:
        return Row(key, 0, NO_VALUE)
    return Row(key, version, msgspec.Raw(fields.get("value", b"")))


def _find_name(element: bytes) -> str:
    """Return the id or key of an element, or its first characters."""
    try:
        fields = split_object(element)
        return decode_json(fields.get("id", fields.get("key", b"")), str)
    except UnreadableError:
        return repr(element[:MAX_NAME_BYTES])
