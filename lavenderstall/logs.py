"""Logs as JSON lines."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

FIELDS = ("asctime", "levelname", "name", "message")
RENAMED = {"asctime": "time", "levelname": "level", "name": "module"}


def configure_logs(entry: str, level: str, stream: TextIO = sys.stderr) -> None:
    """Send all logs of the process to a stream."""
    formatter = JsonFormatter(list(FIELDS), rename_fields=RENAMED, static_fields={"entry": entry})
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
