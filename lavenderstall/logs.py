"""Logs as JSON lines."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = ("asctime", "levelname", "name", "message")
RENAMED = {"asctime": "time", "levelname": "level", "name": "module"}


def configure_logs(entry: str, level: str) -> None:
    """Send all logs of the process to standard error."""
    formatter = JsonFormatter(list(FIELDS), rename_fields=RENAMED, static_fields={"entry": entry})
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
