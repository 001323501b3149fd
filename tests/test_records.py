"""Tests of rows of the table."""

import tracemalloc
import unittest

import msgspec

from lavenderstall.identifiers import JobId, SliceName, TeamName
from lavenderstall.protocol import Kind, Row, Rows
from lavenderstall.records import JobSpec, WorkRow, decode_row, encode_row
from lavenderstall.resources import Resources

OTHER_BYTES = 1_000_000


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
