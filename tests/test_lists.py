"""Tests of lists of rows and members of which one entry is odd."""

import unittest
from typing import Any

import msgspec

from lavenderstall.decoding import UnreadableError
from lavenderstall.lists import MAX_KNOWN_TEXTS, ListReader
from lavenderstall.protocol import EntryMember, Members, Row, Rows, WorkerMember
from lavenderstall.records import UnreadableRowError, WorkRow, decode_row
from lavenderstall.set_aside import SetAside
from tests.oddities import DEEP_LISTS, MANY_DIGITS, ODD_URLS, add_field, list_odd_objects

URL = "http://127.0.0.1:8000"
WORKERS = [WorkerMember(f"w{index}", "z1", "r1", URL, "pool") for index in range(3)]
ENTRIES = [EntryMember(f"e{index}", "z1", "tcp://127.0.0.1:1", URL) for index in range(3)]
ROWS = [Row(f"work/z/0/j{index}", index, msgspec.Raw(b'{"a":[1]}')) for index in range(3)]
SOUND_URLS = (
    "http://127.0.0.1",
    "http://127.0.0.1:1",
    "http://127.0.0.1:65535",
    "http://w1.rack-2.example:8000/base",
    "http://[::1]:80",
)


def join(elements: list[bytes]) -> bytes:
    """Return an array of elements."""
    return b"[" + b",".join(elements) + b"]"


def put_odd(sound: list[Any], odd: bytes) -> bytes:
    """Return an array with an odd element between sound ones."""
    texts = [msgspec.json.encode(each) for each in sound]
    return join([texts[0], odd, *texts[2:]])


class OddListCase(unittest.TestCase):
    """Reads each list twice, as the second reading knows some odd elements."""

    def setUp(self) -> None:
        self.set_aside = SetAside()
        self.reader = ListReader(self.set_aside)

    def read_members(self, workers: bytes = b"[]", entries: bytes = b"[]") -> Members:
        body = b'{"as_of":1.5,"workers":' + workers + b',"entries":' + entries + b"}"
        found = [self.reader.read_members(body) for _ in range(2)]
        self.assertEqual(*found)
        self.assertEqual(found[0].as_of, 1.5)
        return found[0]

    def read_rows(self, rows: bytes) -> list[Row]:
        body = b'{"revision":9,"rows":' + rows + b"}"
        found = [self.reader.read_rows(body) for _ in range(2)]
        self.assertEqual(*(each.revision for each in found))
        pairs = [[(r.key, r.version, bytes(r.value)) for r in each.rows] for each in found]
        self.assertEqual(*pairs)
        return found[0].rows


class MembersTest(OddListCase):
    """Entries of the membership list."""

    def test_odd_entry_costs_no_other(self) -> None:
        """Fails if one odd entry hides the others, or is not named."""
        for kind, sound in (("worker", WORKERS), ("entry instance", ENTRIES)):
            for name, odd in list_odd_objects(msgspec.json.encode(sound[1])):
                with self.subTest(kind=kind, name=name):
                    self.setUp()
                    with self.assertLogs("lavenderstall.set_aside") as logs:
                        listed = put_odd(sound, odd)
                        if kind == "worker":
                            found = self.read_members(workers=listed).workers
                        else:
                            found = self.read_members(entries=listed).entries
                    self.assertEqual(found, [sound[0], sound[2]])
                    self.assertEqual(len(logs.output), 1)
                    self.assertIn(f"listed {kind}", logs.output[0])
                    self.assertEqual(self.set_aside.total, 1)

    def test_address_that_cannot_be_reached(self) -> None:
        """Fails if an address that can't be requested is taken, or a sound one is refused."""
        cases = [(url, False) for url in ODD_URLS] + [(url, True) for url in SOUND_URLS]
        for url, sound in cases:
            for member, field in ((WORKERS[1], "url"), (ENTRIES[1], "http")):
                with self.subTest(url=url, field=field):
                    self.setUp()
                    text = msgspec.json.encode(msgspec.structs.replace(member, **{field: url}))
                    if field == "url":
                        found = self.read_members(workers=put_odd(WORKERS, text)).workers
                    else:
                        found = self.read_members(entries=put_odd(ENTRIES, text)).entries
                    self.assertEqual(len(found), 3 if sound else 2)
                    self.assertEqual(self.set_aside.total, 0 if sound else 1)

    def test_odd_clock_of_the_list(self) -> None:
        """Fails if a clock that nothing depends on hides the workers."""
        workers = msgspec.json.encode(WORKERS)
        for clock in (b"1e999", b"null", DEEP_LISTS, MANY_DIGITS, b'"x"'):
            with self.subTest(clock=clock[:9]), self.assertLogs("lavenderstall.set_aside"):
                body = b'{"as_of":' + clock + b',"workers":' + workers + b"}"
                self.assertEqual(self.reader.read_members(body).workers, WORKERS)

    def test_truncated_list_is_not_taken_for_a_shorter_one(self) -> None:
        """Fails if workers count as unlisted because an answer was cut."""
        body = msgspec.json.encode(Members(1.0, WORKERS, ENTRIES))
        for end in range(len(body)):
            with self.subTest(end=end), self.assertRaises(UnreadableError):
                self.reader.read_members(body[:end])

    def test_list_that_is_none(self) -> None:
        """Fails if all workers count as unlisted because another type stands for the list."""
        for listed in (b"null", b"{}", b'"w1"', DEEP_LISTS[1:], b"1e999"):
            with self.subTest(listed=listed[:9]), self.assertRaises(UnreadableError):
                self.reader.read_members(b'{"as_of":1.0,"workers":' + listed + b"}")

    def test_many_odd_entries(self) -> None:
        """Fails if entries that were known as odd are forgotten wrongly, or kept without bound."""
        odd = [
            add_field(b'{"id":"odd%d"}' % number, "odd", DEEP_LISTS)
            for number in range(MAX_KNOWN_TEXTS + 3)
        ]
        for listed in (odd, odd[3:], odd):
            texts = [*listed, *(msgspec.json.encode(worker) for worker in WORKERS)]
            self.assertEqual(self.read_members(workers=join(texts)).workers, WORKERS)
        self.assertLessEqual(len(self.reader._known_texts), MAX_KNOWN_TEXTS)


class RowsTest(OddListCase):
    """Rows of the table."""

    def test_odd_value_reaches_its_reader(self) -> None:
        """Fails if one odd value hides other rows, or its row counts as absent."""
        for name, odd in list_odd_objects(b'{"spec":1}'):
            if not odd:
                continue
            with self.subTest(name=name):
                text = b'{"key":"work/z/0/j1","version":1,"value":' + odd + b"}"
                found = self.read_rows(put_odd(ROWS, text))
                self.assertEqual([row.key for row in found], [row.key for row in ROWS])
                self.assertEqual([row.version for row in found], [0, 1, 2])
                self.assertEqual(bytes(found[2].value), b'{"a":[1]}')
                with self.assertRaises(UnreadableRowError):
                    decode_row(found[1], WorkRow)

    def test_odd_version_leaves_the_row_unreadable(self) -> None:
        """Fails if a row whose version can't be read counts as absent, or as sound."""
        for version in (b"-1", MANY_DIGITS, b"1e999", b"null", b'"1"', DEEP_LISTS, b"9" * 18):
            with self.subTest(version=version[:9]):
                text = b'{"key":"work/z/0/j1","version":' + version + b',"value":{}}'
                found = self.read_rows(put_odd(ROWS, text))
                self.assertEqual([row.key for row in found], [row.key for row in ROWS])
                with self.assertRaises(UnreadableRowError):
                    decode_row(found[1], dict)

    def test_row_without_a_key_is_set_aside(self) -> None:
        """Fails if a row that belongs to no reader hides the others."""
        for key in (b"null", b"7", DEEP_LISTS, b'"\xff"'):
            with self.subTest(key=key[:9]), self.assertLogs("lavenderstall.set_aside"):
                text = b'{"key":' + key + b',"version":1,"value":{}}'
                found = self.read_rows(put_odd(ROWS, text))
                self.assertEqual([row.key for row in found], [ROWS[0].key, ROWS[2].key])

    def test_odd_revision_applies_nothing(self) -> None:
        """Fails if rows are read without the revision that orders them."""
        rows = msgspec.json.encode(ROWS)
        for revision in (b"-1", MANY_DIGITS, b"1e999", b"null", DEEP_LISTS):
            with self.subTest(revision=revision[:9]), self.assertRaises(UnreadableError):
                self.reader.read_rows(b'{"revision":' + revision + b',"rows":' + rows + b"}")

    def test_truncated_rows_are_not_taken_for_fewer(self) -> None:
        """Fails if rows count as removed because an answer was cut."""
        body = msgspec.json.encode(Rows(9, ROWS))
        for end in range(len(body)):
            with self.subTest(end=end), self.assertRaises(UnreadableError):
                self.reader.read_rows(body[:end])

    def test_odd_conflicting_row(self) -> None:
        """Fails if a conflict is not known for the value of a row."""
        text = b'{"key":"work/z/0/j1","version":1,"value":' + DEEP_LISTS + b"}"
        found = self.reader.read_conflicts(b'{"conflicts":' + put_odd(ROWS, text) + b"}")
        self.assertEqual([row.key for row in found], [row.key for row in ROWS])


if __name__ == "__main__":
    unittest.main()
