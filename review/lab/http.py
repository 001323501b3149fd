"""Small HTTP/1.1 server and client with JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Request(NamedTuple):
    """One request; the body is decoded JSON, or none."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one message: its first line, its headers in lower case and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return first, headers, await read_chunks(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


class Server:
    """HTTP server on a loopback address, whose channels can be closed at once."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._channels: dict[asyncio.StreamWriter, asyncio.Task[None] | None] = {}
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen, on a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Close the listening socket and all channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer, task in list(self._channels.items()):
            writer.close()
            if task is not None:
                task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._channels[writer] = asyncio.current_task()
        try:
            while not writer.is_closing():
                await self._answer_one(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            del self._channels[writer]
            writer.close()

    async def _answer_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first, headers, data = await read_message(reader)
        method, target, _ = first.split(" ")
        url = urlsplit(target)
        body = json.loads(data) if data else None
        request = Request(method, url.path, dict(parse_qsl(url.query)), headers, body)
        status, answer = await self._handler(request)
        content = json.dumps(answer).encode()
        head = (
            f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
        )
        if not writer.is_closing():
            writer.write(head.encode() + content)
            await writer.drain()


async def call(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    host: str = "",
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send one request on a channel of its own; status 0 stands for no answer."""
    try:
        return await asyncio.wait_for(_call(method, address, path, body, host), timeout_s)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, None


async def _call(method: str, address: str, path: str, body: Any, host: str) -> tuple[int, Any]:
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
            "Deadline-Ms: 3000\r\n\r\n"
        )
        writer.write(head.encode() + content)
        first, _, data = await read_message(reader)
        return int(first.split(" ")[1]), json.loads(data) if data else None
    finally:
        writer.close()
