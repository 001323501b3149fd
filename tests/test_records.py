"""Tests of rows of the table."""

import logging
import re
import tracemalloc
import unittest

import msgspec

from lavenderstall.identifiers import (
    EntryId,
    Incarnation,
    JobId,
    RackName,
    SliceName,
    TeamName,
    ZoneName,
)
from lavenderstall.protocol import Kind, Put, Row, Rows, Transaction
from lavenderstall.records import (
    EntryRow,
    JobRow,
    JobSpec,
    RacksRow,
    SliceRow,
    TaskCrashes,
    UnreadableRowError,
    WorkRow,
    decode_row,
    decode_rows,
    encode_row,
    make_entry_key,
)
from lavenderstall.resources import Resources
from lavenderstall.set_aside import SetAside
from tests.cells import Cell, make_job, read_open
from tests.oddities import MANY_DIGITS, list_odd_objects

OTHER_BYTES = 1_000_000
SLICE = SliceName("z0/0")
ODD_ENTRY = EntryRow(EntryId("odd"), Incarnation("odd.1"), ZoneName("z0"), "odd", "odd", 7)
ODD_JOB = make_job("odd")
DECLARED_JOB = make_job("declared.odd")
# A sound row of each kind that is read as one of many, by key.
SOUND_ROWS: dict[str, msgspec.Struct] = {
    "entry/odd": ODD_ENTRY,
    "slice/z0/1": SliceRow(SliceName("z0/1"), EntryId("odd"), Incarnation("odd.1"), 3, "nonce"),
    "work/z0/0/odd": WorkRow(ODD_JOB, SLICE, [0], "nonce"),
    "job/declared.odd": JobRow(DECLARED_JOB, [SLICE], "nonce"),
}


def list_stopped_loops(cell: Cell) -> list[str]:
    """Return the entry instances whose periodic work has ended."""
    return [
        f"{node.name} {loop.f}"
        for node in cell.nodes.values()
        for loop in (node.entry.ownership._loop, *(each for each, _ in node.entry._loops))
        if not loop.running
    ]


class OddRowTest(unittest.TestCase):
    """One row that can't be read, among those of a cell that works."""

    def _check(self, key: str, value: bytes, before: float) -> None:
        """Run a cell with an odd row, written some seconds after its start."""
        cell = Cell(entries=2, zones=1)
        cell.run(before)
        cell.table.commit(Transaction(puts=[Put(key, msgspec.Raw(value))]))
        with self.assertLogs("lavenderstall.set_aside") as logs:
            cell.run(10 - before)
            cell.submit(make_job("job", 4, run_ms=500))
            cell.declare_service(2)
            cell.run(6)
        self.assertEqual(list_stopped_loops(cell), [])
        self.assertEqual(read_open(cell, "job"), [], "tasks never ran")
        self.assertEqual(len(cell.find_runs("declared.echo")), 2, "a declaration has no effect")
        self.assertTrue(all(key in line for line in logs.output), logs.output)
        totals = [node.entry.set_aside.total for node in cell.nodes.values()]
        self.assertEqual(sum(totals), len(logs.output), "not counted as logged")
        self.assertLessEqual(max(totals), 1, "logged more than once")

    def test_odd_row_costs_no_other_row(self) -> None:
        """Fails if one row ends a loop, or the reading of the rows beside it."""
        for key, sound in SOUND_ROWS.items():
            for name, value in list_odd_objects(msgspec.json.encode(sound)):
                for before in (0.0, 5.0):
                    with self.subTest(key=key, value=name, before=before):
                        self._check(key, value, before)

    def test_row_that_names_another_costs_the_other_nothing(self) -> None:
        """Fails if a row in the name of a live entry instance hides that one's own."""
        for key, sound in (
            ("entry/zz", msgspec.structs.replace(ODD_ENTRY, id=EntryId("z0e1"))),
            ("slice/z0/9", msgspec.structs.replace(SOUND_ROWS["slice/z0/1"], slice=SLICE)),
        ):
            with self.subTest(key=key):
                self._check(key, msgspec.json.encode(sound), 5.0)


class DecodeRowsTest(unittest.TestCase):
    """Rows that can't be read are named."""

    def test_error_names_the_row(self) -> None:
        """Fails if an unreadable row raises an error that its readers do not expect."""
        for name, value in list_odd_objects(msgspec.json.encode(ODD_ENTRY)):
            with self.subTest(name=name), self.assertRaisesRegex(UnreadableRowError, "entry/odd"):
                decode_row(Row("entry/odd", 1, msgspec.Raw(value)), EntryRow)

    def test_odd_figures(self) -> None:
        """Fails if a figure that no sound writer leaves reaches the arithmetic of a reader."""
        resources = Resources(11, 12, 13, 14, 15)
        spec = msgspec.structs.replace(
            ODD_JOB, tasks=16, resources=resources, expected_ms=17, deadline_unix_ms=18, priority=19
        )
        crashes = {21: TaskCrashes(22, 23)}
        rows: tuple[msgspec.Struct, ...] = (
            WorkRow(spec, SLICE, [24], "n", done=[25], crashes=crashes),
            JobRow(spec, [SLICE], "n", issued=26),
            SliceRow(SLICE, EntryId("e"), Incarnation("i"), 27, "n"),
            RacksRow({RackName("r"): 28}, "n"),
            msgspec.structs.replace(ODD_ENTRY, beat=29),
        )
        for row in rows:
            sound = msgspec.json.encode(row)
            for figure in re.findall(rb"(?<=[:,\[])[12][0-9](?=[,\]}])", sound):
                for odd in (MANY_DIGITS, b"-1", b"1e999"):
                    if (figure, odd) == (b"19", b"-1"):
                        continue  # A priority may be negative.
                    with self.subTest(row=type(row).__name__, figure=figure, odd=odd[:5]):
                        value = msgspec.Raw(sound.replace(figure, odd))
                        with self.assertRaises(UnreadableRowError):
                            decode_row(Row("key", 1, value), type(row))

    def test_each_version_is_logged_and_counted_once(self) -> None:
        """Fails if a row that stays odd fills the log, or a new odd version goes unnoticed."""
        set_aside = SetAside()
        sound = Row("entry/odd", 1, encode_row(ODD_ENTRY))
        for version, logged in ((2, True), (2, False), (3, True), (3, False)):
            odd = Row("entry/bad", version, msgspec.Raw(b"{}"))
            with self.subTest(version=version, logged=logged):
                before = set_aside.total
                with self.assertLogs("lavenderstall", "DEBUG") as logs:
                    # Without a line of its own, the context manager fails.
                    logging.getLogger("lavenderstall").debug("reading")
                    readable, unreadable = decode_rows(
                        [odd, sound], EntryRow, lambda row: make_entry_key(row.id), set_aside
                    )
                self.assertEqual((readable, unreadable), ([(sound, ODD_ENTRY)], [odd]))
                self.assertEqual(sum("entry/bad" in line for line in logs.output), logged)
                self.assertEqual(set_aside.total - before, logged)


class DecodeRowTest(unittest.TestCase):
    """Guards against decoded rows that keep whole responses in memory."""

    def test_payload_keeps_no_response(self) -> None:
        """A job's payload must not keep a response with all other rows in memory."""
        payload = {"run_ms": msgspec.Raw(b"5")}
        spec = JobSpec(JobId("j"), TeamName("t"), Kind.BATCH, 1, Resources(), payload=payload)
        value = encode_row(WorkRow(spec, SliceName("z/0"), [0], ""))
        other = msgspec.Raw(msgspec.json.encode("x" * OTHER_BYTES))
        body = msgspec.json.encode(Rows(1, [Row("a", 1, value), Row("b", 1, other)]))
        self.assertGreater(len(body), OTHER_BYTES)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        received = bytes(bytearray(body))
        rows = msgspec.json.decode(received, type=Rows)
        work = decode_row(rows.rows[0], WorkRow)
        del rows, received
        self.assertLess(tracemalloc.get_traced_memory()[0], OTHER_BYTES / 10)
        self.assertEqual(bytes(work.spec.payload["run_ms"]), b"5")


if __name__ == "__main__":
    unittest.main()
