"""JSON log lines with a rate limit and non-blocking output."""

import logging
import os
import sys
import time
from collections.abc import Callable
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

LOG_FIELDS = ("asctime", "levelname", "name", "message")
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "module"}
# Sustained rate and burst of log lines; these keep logging below a twentieth of a core.
LINES_PER_S = 500.0
BURST_LINES = 1500.0


class BoundedHandler(logging.StreamHandler[TextIO]):
    """Write lines to a stream; drop those over the rate limit or that would block."""

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
        self._tokens = burst
        self._refilled_at = read_seconds()

    def emit(self, record: logging.LogRecord) -> None:
        """Write or drop a record; the next one written has the number of dropped ones."""
        now = self._read_seconds()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return
        self._tokens = max(0.0, self._tokens - 1)
        if self.dropped:
            record.dropped = self.dropped
        try:
            self.stream.write(self.format(record) + self.terminator)
            self.stream.flush()
        except BlockingIOError:
            # The reader is slow; blocking here would delay requests.
            self.dropped += 1
        except Exception:
            self.handleError(record)
        else:
            self.dropped = 0


def configure_logs(entry: str, level: str, stream: TextIO = sys.stderr) -> None:
    """Write all logs of the process to a stream."""
    formatter = JsonFormatter(
        list(LOG_FIELDS), rename_fields=RENAMED_FIELDS, static_fields={"entry": entry}
    )
    os.set_blocking(stream.fileno(), False)
    handler = BoundedHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
