"""HTTP requests whose bodies are kept in memory up to a limit."""

from io import BytesIO
from typing import ClassVar

from twisted.web.server import Request

DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024


class BoundedRequest(Request):
    """Buffer bodies in memory, since instances have no disks, and discard oversized ones."""

    max_body_bytes: ClassVar[int] = DEFAULT_MAX_BODY_BYTES
    oversized = False
    content: BytesIO

    def get_max_body_bytes(self) -> int:
        """Return the length of the longest body, in bytes."""
        return self.max_body_bytes

    def gotLength(self, length: int | None) -> None:  # noqa: N802  (name set by twisted.web)
        """Start a body; `length` is `None` if the request does not declare it."""
        self.content = BytesIO()
        self.oversized = length is not None and length > self.get_max_body_bytes()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802  (name set by twisted.web)
        """Buffer a chunk of the body, or mark the request as oversized."""
        if self.oversized or self.content.tell() + len(data) > self.get_max_body_bytes():
            self.oversized = True
            return
        self.content.write(data)
