"""Entry instance for tests of the client and the command line, on a loopback address."""

import threading
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec


class Seen(msgspec.Struct):
    """Hold a request that arrived."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class Reply(msgspec.Struct):
    """Hold an answer; `length` may claim more than the body, and none closes without an answer."""

    status: int = 200
    body: bytes = b"{}"
    length: int | None = -1


class FakeEntry:
    """Answer requests through a function and keep them."""

    def __init__(self, answer: Callable[[Seen], Reply]) -> None:
        self.seen: list[Seen] = []
        outer = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                request = Seen(self.command, self.path, dict(self.headers), body)
                outer.seen.append(request)
                reply = answer(request)
                if reply.length is None:
                    return
                length = len(reply.body) if reply.length < 0 else reply.length
                self.send_response(reply.status)
                self.send_header("Content-Length", str(length))
                self.end_headers()
                self.wfile.write(reply.body)

            def do_POST(self) -> None:
                self.do_GET()

            def log_message(self, *arguments: object) -> None:
                """Keep the output of tests clean."""

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    def close(self) -> None:
        """Stop answering; the address then refuses connections."""
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()
