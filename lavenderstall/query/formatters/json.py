"""Formats answers as JSON."""

import msgspec

from lavenderstall.inventory import Answer
from lavenderstall.query.formatters import Formatter


class JsonFormatter(Formatter):
    """Format an answer as one JSON document."""

    name = "json"

    def format(self, answer: Answer, *, colour: bool = False) -> str:
        """Return indented JSON."""
        return msgspec.json.format(msgspec.json.encode(answer), indent=2).decode() + "\n"
