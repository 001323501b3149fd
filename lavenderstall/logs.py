"""Logs as JSON lines, bounded in volume and never blocking."""

import logging
import os
import sys
import time
from collections.abc import Callable
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

FIELDS = ("asctime", "levelname", "name", "message")
RENAMED = {"asctime": "time", "levelname": "level", "name": "module"}
# Lines a second that a process writes for long, and at once after a quiet time; this keeps logging
# below a twentieth of a core.
LINES_PER_S = 500.0
BURST_LINES = 1500.0


class BoundedHandler(logging.StreamHandler[TextIO]):
    """Write lines to a stream; drop those beyond a rate, or that the stream does not take."""

    def __init__(
        self,
        stream: TextIO,
        read_seconds: Callable[[], float] = time.monotonic,
        rate: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ) -> None:
        super().__init__(stream)
        self.dropped = 0
        self._read_seconds = read_seconds
        self._rate = rate
        self._burst = burst
        self._credit = burst
        self._at = read_seconds()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record if the rate allows it; the next one written tells how many were not."""
        now = self._read_seconds()
        self._credit = min(self._burst, self._credit + (now - self._at) * self._rate)
        self._at = now
        if self._credit < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._credit = max(0.0, self._credit - 1)
        if self.dropped:
            record.dropped = self.dropped
        try:
            self.stream.write(self.format(record) + self.terminator)
            self.stream.flush()
        except BlockingIOError:
            # The reader is slow; waiting for it would hold up requests.
            self.dropped += 1
        except Exception:
            self.handleError(record)
        else:
            self.dropped = 0


def configure_logs(entry: str, level: str, stream: TextIO = sys.stderr) -> None:
    """Send all logs of the process to a stream."""
    formatter = JsonFormatter(list(FIELDS), rename_fields=RENAMED, static_fields={"entry": entry})
    os.set_blocking(stream.fileno(), False)
    handler = BoundedHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
