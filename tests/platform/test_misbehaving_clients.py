"""Tests of entry processes beside crowds of clients that keep to no limit."""

import json
import os
import unittest
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

import tests.platform  # noqa: F401  (makes the adapter importable)
from adapter.http_client import HttpClient
from tests.platform.crowds import (
    JOB_PATH,
    MAX_BODY_BYTES,
    Client,
    Crowd,
    make_body_head,
    make_head,
)
from tests.platform.loopback import LoopbackReactor
from tests.platform.loopback_platform import (
    FRONT_PORT,
    METRICS_PORT,
    POOL,
    QUEUE_HOST,
    READY_PORT,
    EntryProcess,
    LoopbackPlatform,
    ProcessLimits,
)

LIMITS = ProcessLimits(memory_mb=96, descriptors=400)
# Descriptors that the platform keeps for files; sockets and pipes share the others.
FILE_DESCRIPTORS = 200
MAX_SOCKETS = LIMITS.descriptors - FILE_DESCRIPTORS
MAX_MEMORY_BYTES = LIMITS.memory_mb * 1024 * 1024
CLIENTS = 400
# Limits on waits, which no check depends on.
START_LIMIT_S = 30.0
SEND_LIMIT_S = 8.0
SETTLE_S = 1.0
SERVE_LIMIT_S = 20.0
CALL_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.2

UNKNOWN_PATH = f"/nothing/{7:016x}"
READY_PATH = "/v1/ready"
BODY = b"x" * (MAX_BODY_BYTES - 1)
ORDINARY_JOB = f"/{POOL}/{1:016x}"
ORDINARY_BODY = {
    "spec": "x",
    "steps": [{"count": 1, "cpu": 100, "taskMemoryMb": 16, "estimatedDurationMs": 50}],
}
MEGABYTE = b"x" * 1024 * 1024
MANY_FIELDS = [f"f{number}: 1" for number in range(490)]
MANY_ARGUMENTS = "&".join(f"{number:x}" for number in range(3000))
MANY_COOKIES = ";".join(f"{number:x}=" for number in range(3000))
SLOW_PAUSE_S = 0.1

HALF_BODY = Client(make_body_head() + BODY)
HALF_BODY_IN_PIECES = Client(make_body_head(), b"x" * 1023, MAX_BODY_BYTES // 1024)
CHUNKED = make_head("POST", JOB_PATH, "Transfer-Encoding: chunked")
HALF_CHUNK = Client(CHUNKED + f"{MAX_BODY_BYTES:x}\r\n".encode() + BODY)
SMALL_CHUNKS = Client(CHUNKED, b"40\r\n" + b"x" * 64 + b"\r\n", MAX_BODY_BYTES // 64 - 1)
MANY_TRAILERS = Client(CHUNKED + b"0\r\n" + b"a\r\n" * 20_000)
HALF_FIRST_LINE = Client(f"POST {JOB_PATH}".encode())
LONG_BODY = Client(make_body_head(120 * len(MEGABYTE)), MEGABYTE, 119)
LONG_CHUNKED_BODY = Client(CHUNKED, b"100000\r\n" + MEGABYTE + b"\r\n", 120)
MANY_FIELDS_HALF_BODY = Client(make_body_head(9, JOB_PATH, *MANY_FIELDS) + b"x")
MANY_COOKIES_HALF_BODY = Client(make_body_head(9, JOB_PATH, f"Cookie: {MANY_COOKIES}") + b"x")
MANY_ARGUMENTS_CALL = Client(make_head("GET", f"{JOB_PATH}?{MANY_ARGUMENTS}"))
AHEAD = Client(make_head("GET"), make_head("GET") * 16, 10, reads=False)
PAGES_AHEAD = Client(
    make_head("GET", "/metrics"), make_head("GET", "/metrics") * 16, 3, False, 0.0, METRICS_PORT
)
SLOW_HEAD = Client(b"G", b"E", 10_000, True, SLOW_PAUSE_S)
SLOW_BODY = Client(make_body_head(), b"x" * 2048, 100, True, SLOW_PAUSE_S)
SLOW_READER = Client(make_head("GET"), make_head("GET"), 100, False, SLOW_PAUSE_S)

addresses = (f"127.{os.getpid() // 250 % 250}.{os.getpid() % 250}.{n}" for n in count(1))


class MisbehavingClientsTest(unittest.TestCase):
    """One entry process beside a crowd, which stays connected while an ordinary job is served."""

    def setUp(self) -> None:
        self.reactor = LoopbackReactor()
        self.platform = LoopbackPlatform(self.reactor)
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.process = EntryProcess(next(addresses), self.platform.store, LIMITS, Path(folder.name))
        self.addCleanup(self.platform.stop)
        self.addCleanup(self.process.stop)
        self.client = HttpClient(self.reactor)
        self.peak_sockets = 0
        self.peak_file_bytes = 0
        self.assertTrue(self.await_status("GET", READY_PORT, READY_PATH, START_LIMIT_S))

    def call(self, method: str, port: int, path: str, body: bytes | None = None) -> Any:
        """Return the response to a call, or the exception with which it failed."""
        sent = self.client.request(
            method,
            f"{self.process.ip}:{port}",
            path,
            body,
            CALL_TIMEOUT_S,
            {b"Host": [QUEUE_HOST.encode()]},
        )
        return self.reactor.await_result(sent, 4 * CALL_TIMEOUT_S)

    def await_status(
        self, method: str, port: int, path: str, limit_s: float, body: bytes | None = None
    ) -> bool:
        """Call again until the response is 200, and return whether it is."""
        end = monotonic() + limit_s
        while monotonic() < end:
            if getattr(self.call(method, port, path, body), "status", 0) == 200:
                return True
            self.wait(RETRY_DELAY_S)
        return False

    def wait(self, seconds: float) -> None:
        """Let time pass while what the process holds is noted."""
        self.reactor.run_until(self.note_usage, seconds)

    def note_usage(self) -> bool:
        """Note what the process holds."""
        if self.process.is_alive():
            self.peak_sockets = max(self.peak_sockets, self.process.count_sockets())
            held = self.process.measure_temporary_files()
            self.peak_file_bytes = max(self.peak_file_bytes, held)
        return False

    def check(self, *clients: Client) -> None:
        """Check that the process bears a crowd and serves an ordinary job beside it."""
        crowd = Crowd(self.reactor, self.process.ip, list(clients))
        self.addCleanup(crowd.leave)
        self.reactor.run_until(lambda: self.note_usage() or crowd.is_sent(), SEND_LIMIT_S)
        self.wait(SETTLE_S)
        self.check_service()
        self.assertTrue(self.process.is_alive())
        self.check_usage()

    def check_usage(self) -> None:
        """Check that what was held fits the memory and the descriptors of the settings."""
        with self.subTest(check="sockets"):
            self.assertLessEqual(self.peak_sockets, MAX_SOCKETS)
        with self.subTest(check="memory and files"):
            held = self.process.read_peak_memory() + self.peak_file_bytes
            self.assertLessEqual(held, MAX_MEMORY_BYTES)

    def check_service(self) -> None:
        """Check that the probe is answered, and that a job is taken, run and shown."""
        with self.subTest(check="probe"):
            self.assertTrue(self.await_status("GET", READY_PORT, READY_PATH, SERVE_LIMIT_S))
        self.platform.fake.checker.jobs[ORDINARY_JOB.rpartition("/")[2]] = ORDINARY_BODY
        body = json.dumps(ORDINARY_BODY).encode()
        with self.subTest(check="job"):
            self.assertTrue(
                self.await_status("POST", FRONT_PORT, ORDINARY_JOB, SERVE_LIMIT_S, body)
            )
            self.assertTrue(self.await_status("GET", FRONT_PORT, ORDINARY_JOB, SERVE_LIMIT_S))
            starts = self.platform.fake.checker
            self.assertTrue(self.reactor.run_until(lambda: starts.starts, SERVE_LIMIT_S))

    def test_unfinished_bodies_on_a_route(self) -> None:
        """Fails if each connection may hold a body of legal length."""
        self.check(*[HALF_BODY] * CLIENTS)

    def test_unfinished_bodies_without_a_route(self) -> None:
        """Fails if bodies are kept that no queue takes."""
        self.check(*[Client(make_body_head(path=UNKNOWN_PATH) + BODY)] * CLIENTS)

    def test_unfinished_bodies_at_the_ready_port(self) -> None:
        """Fails if the port of the probe bears less than that of the clients."""
        self.check(*[Client(make_body_head() + BODY, port=READY_PORT)] * CLIENTS)

    def test_unfinished_bodies_at_the_metrics_port(self) -> None:
        """Fails if the port of the metrics page bears less than that of the clients."""
        self.check(*[Client(make_body_head() + BODY, port=METRICS_PORT)] * CLIENTS)

    def test_unfinished_bodies_in_small_pieces(self) -> None:
        """Fails if pieces of a body cost more than their bytes, or escape the count."""
        self.check(*[HALF_BODY_IN_PIECES] * CLIENTS)

    def test_unfinished_bodies_in_one_chunk(self) -> None:
        """Fails if a body of undeclared length goes to a file, as there is no disk."""
        self.check(*[HALF_CHUNK] * CLIENTS)

    def test_unfinished_bodies_in_small_chunks(self) -> None:
        """Fails if chunks of a body escape the count."""
        self.check(*[SMALL_CHUNKS] * CLIENTS)

    def test_long_bodies(self) -> None:
        """Fails if a body over the limit is read to its end before it is refused."""
        self.check(*[LONG_BODY] * 4)

    def test_long_chunked_bodies(self) -> None:
        """Fails if only the declared length of a body is limited."""
        self.check(*[LONG_CHUNKED_BODY] * 4)

    def test_many_short_fields(self) -> None:
        """Fails if fields of a head cost much more than their bytes."""
        self.check(*[MANY_FIELDS_HALF_BODY] * CLIENTS)

    def test_many_cookies(self) -> None:
        """Fails if the parts of one field are kept each."""
        self.check(*[MANY_COOKIES_HALF_BODY] * CLIENTS)

    def test_many_arguments(self) -> None:
        """Fails if requests under way keep each part of their query."""
        self.platform.fake.store_delay_s = 0.5
        self.check(*[MANY_ARGUMENTS_CALL] * CLIENTS)

    def test_many_trailers(self) -> None:
        """Fails if what follows a body in chunks has no limit of its own."""
        self.check(*[MANY_TRAILERS] * CLIENTS)

    def test_requests_ahead(self) -> None:
        """Fails if requests are read, or answers kept, while the client reads none."""
        self.check(*[AHEAD] * CLIENTS)

    def test_pages_ahead(self) -> None:
        """Fails if large answers are kept for clients that read none."""
        self.check(*[PAGES_AHEAD] * CLIENTS)

    def test_unfinished_first_lines(self) -> None:
        """Fails if a client holds a descriptor with a few bytes."""
        self.check(*[HALF_FIRST_LINE] * CLIENTS)

    def test_slow_clients(self) -> None:
        """Fails if bytes that arrive slowly keep a connection open."""
        self.check(*[SLOW_HEAD, SLOW_BODY, SLOW_READER] * (CLIENTS // 3))

    def test_all_at_once(self) -> None:
        """Fails if a limit holds for one kind of crowd and not for their sum."""
        kinds = (
            HALF_BODY,
            HALF_BODY_IN_PIECES,
            HALF_CHUNK,
            SMALL_CHUNKS,
            MANY_TRAILERS,
            HALF_FIRST_LINE,
            MANY_FIELDS_HALF_BODY,
            MANY_COOKIES_HALF_BODY,
            AHEAD,
            PAGES_AHEAD,
            SLOW_HEAD,
            SLOW_BODY,
            SLOW_READER,
        )
        ports = [Client(make_body_head() + BODY, port=port) for port in (READY_PORT, METRICS_PORT)]
        self.check(LONG_BODY, LONG_CHUNKED_BODY, *[*kinds, *ports] * 40)


if __name__ == "__main__":
    unittest.main()
