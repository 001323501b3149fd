"""Tests of the log handler."""

import io
import json
import logging
import unittest

from lavenderstall.logs import BoundedHandler


class FullStream(io.StringIO):
    """Raise `BlockingIOError` on writes while `full`."""

    full = True

    def write(self, text: str) -> int:
        """Write, or fail like a pipe whose reader is slow."""
        if self.full:
            raise BlockingIOError
        return super().write(text)


def make_record(level: int = logging.INFO) -> logging.LogRecord:
    """Return a log record."""
    return logging.LogRecord("test", level, "", 0, "text", (), None)


class BoundedHandlerTest(unittest.TestCase):
    """Guards against logs that exceed the rate limit or block the process."""

    def test_lines_beyond_the_rate_are_dropped_and_counted(self) -> None:
        seconds = [0.0]
        stream = io.StringIO()
        handler = BoundedHandler(stream, lambda: seconds[0], rate=10.0, burst=5.0)
        for _ in range(20):
            handler.emit(make_record())
        self.assertEqual((len(stream.getvalue().splitlines()), handler.dropped), (5, 15))
        seconds[0] = 1.0
        record = make_record()
        handler.emit(record)
        self.assertEqual(json.dumps(record.__dict__["dropped"]), "15")
        self.assertEqual(handler.dropped, 0)

    def test_warnings_are_never_dropped_for_the_rate(self) -> None:
        stream = io.StringIO()
        handler = BoundedHandler(stream, lambda: 0.0, rate=1.0, burst=1.0)
        for _ in range(5):
            handler.emit(make_record(logging.WARNING))
        self.assertEqual(len(stream.getvalue().splitlines()), 5)

    def test_a_full_stream_does_not_block(self) -> None:
        stream = FullStream()
        handler = BoundedHandler(stream, lambda: 0.0)
        handler.emit(make_record())
        self.assertEqual(handler.dropped, 1)
        stream.full = False
        handler.emit(make_record())
        self.assertEqual(handler.dropped, 0)


if __name__ == "__main__":
    unittest.main()
