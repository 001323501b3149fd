"""A small HTTP/1.1 server and client on asyncio, with JSON bodies and persistent connections."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit


class Request(NamedTuple):
    """A request; `body` is the decoded JSON body, or an empty table."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


Response = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Response]]

REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message, or none at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers: dict[str, str] = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.decode("latin-1").strip(), headers, body


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body that is sent in chunks."""
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests until the server is closed; those of one connection one after another."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (found := await read_message(reader)) is not None:
                first, headers, data = found
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                body = json.loads(data) if data else {}
                status, answer = await handler(Request(method, parts.path, query, headers, body))
                content = b"" if answer is None else json.dumps(answer).encode()
                reason = REASONS.get(status, "Status")
                head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(handle, host, port, backlog=512)


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    host: str = "",
    timeout_s: float = 3.0,
) -> Response:
    """Send one request on a connection of its own; status 0 means that no answer came in time."""
    try:
        return await asyncio.wait_for(_call(address, method, path, body, host), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _call(address: str, method: str, path: str, body: Any, host: str) -> Response:
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        content = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host or name}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n".encode()
            + content
        )
        found = await read_message(reader)
        if found is None:
            return 0, None
        first, _, data = found
        return int(first.split(" ")[1]), json.loads(data) if data else None
    finally:
        writer.close()
