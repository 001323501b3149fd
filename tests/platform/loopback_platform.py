"""The platform's store and a worker on loopback sockets, and an entry process that uses them."""

import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from stat import S_ISREG
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from adapter.settings import SETTINGS_FILE_VARIABLE
from lavenderstall.platform_clients import Reply
from tests.platform.fake_http_client import FakeHttpClient, PausableClock
from tests.platform.fake_platform import STORE, FakePlatform, FakeWorker
from tests.platform.loopback import HOST, LoopbackReactor

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT = 8149
READY_PORT = 8141
METRICS_PORT = 9464
QUEUE_HOST = "h"
POOL = "routing"
# Longer than any long poll.
CALL_TIMEOUT_S = 60.0
BYTES_PER_KB = 1024
SETTINGS = """
node = "entry-1"
ip = "{ip}"
zone = "z"
internalPortRange = [7380, 7395]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[limits]
memoryMb = {memory_mb}
fileDescriptors = {descriptors}
"""


class CallResource(Resource):
    """Answer calls to one address as the fake platform does."""

    isLeaf = True  # noqa: N815  (name set by twisted.web)

    def __init__(self, client: FakeHttpClient, address: str) -> None:
        super().__init__()
        self._client = client
        self._address = address

    def render(self, request: Request) -> Any:
        """Start a call; the answer is sent when it is there."""
        body = request.content.read() if request.content else b""
        named = request.requestHeaders.getRawHeaders(b"Expected-Instance")
        headers = {b"Expected-Instance": named} if named else None
        call = self._client.request(
            request.method.decode(),
            self._address,
            request.uri.decode(),
            body or None,
            CALL_TIMEOUT_S,
            headers,
        )
        request.notifyFinish().addErrback(lambda _: None)
        call.addCallbacks(lambda reply: send_reply(request, reply), lambda _: None)
        return NOT_DONE_YET


def send_reply(request: Request, reply: Reply) -> None:
    """Send a reply, unless the connection is lost."""
    if request._disconnected:
        return
    request.setResponseCode(reply.status)
    request.setHeader("content-type", "application/json")
    request.setHeader("content-length", str(len(reply.body)))
    request.write(reply.body)
    request.finish()


class LoopbackPlatform:
    """The fake platform behind sockets, with one worker and one queue."""

    def __init__(self, reactor: LoopbackReactor) -> None:
        self.reactor = reactor
        clock: Any = reactor
        self.fake = FakePlatform(clock)
        self._client = FakeHttpClient(self.fake, PausableClock(clock))
        self._ports: list[Any] = []
        self.store = self._listen(STORE)
        worker = FakeWorker(self.fake, "w1", POOL, self._listen(""), "r1")
        self.fake.add_worker(worker)
        route = {
            "name": "q",
            "host": QUEUE_HOST,
            "prefix": f"/{POOL}/",
            "service": POOL,
            "maxAttempts": 3,
            "slackFactor": 2.0,
            "targetDurationMs": 500,
        }
        services = [{"name": POOL}]
        value = {"version": 1, "routes": [route], "services": services}
        self.fake.put("op", "", "config", value)

    def _listen(self, address: str) -> str:
        """Serve calls to an address of the fake, by default the own one, and return the own one."""
        root = Resource()
        site = Site(root, timeout=None, reactor=self.reactor)
        site.noisy = False
        site.log = lambda request: None  # type: ignore[method-assign]
        port = self.reactor.listenTCP(0, site, interface=HOST)
        own = f"{HOST}:{port.getHost().port}"
        site.resource = CallResource(self._client, address or own)
        self._ports.append(port)
        return own

    def stop(self) -> list["Deferred[None]"]:
        """Close the ports."""
        return [port.stopListening() for port in self._ports]


class ProcessLimits(msgspec.Struct, frozen=True):
    """Limits in the settings of a process: resident memory in MB, and descriptors."""

    memory_mb: int
    descriptors: int


class EntryProcess:
    """An entry instance in a process of its own, started from the program that deployments use."""

    def __init__(self, ip: str, store: str, limits: ProcessLimits, folder: Path) -> None:
        self.ip = ip
        self._temporary_folder = folder / "tmp"
        self._temporary_folder.mkdir()
        settings = folder / "settings.toml"
        settings.write_text(
            SETTINGS.format(
                ip=ip,
                front=FRONT_PORT,
                ready=READY_PORT,
                store=store,
                memory_mb=limits.memory_mb,
                descriptors=limits.descriptors,
            ),
            encoding="utf-8",
        )
        environment = {
            **os.environ,
            SETTINGS_FILE_VARIABLE: str(settings),
            "TMPDIR": str(self._temporary_folder),
        }
        with (folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "main.py")],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_alive(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process.poll() is None

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()

    def read_peak_memory(self) -> int:
        """Return the highest resident memory so far, in bytes."""
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields["VmHWM"].split()[0]) * BYTES_PER_KB

    def count_sockets(self) -> int:
        """Return the number of open sockets and pipes."""
        targets = [link.partition(":")[0] for _, link in self._list_descriptors()]
        return targets.count("socket") + targets.count("pipe")

    def measure_temporary_files(self) -> int:
        """Return the bytes in temporary files, with those that have no name any more."""
        folder = str(self._temporary_folder)
        opened = [path for path, link in self._list_descriptors() if link.startswith(folder)]
        named = [path for path in self._temporary_folder.rglob("*") if path.is_file()]
        return sum(dict(map(measure_file, opened + named)).values())

    def _list_descriptors(self) -> Iterator[tuple[Path, str]]:
        """Yield the open descriptors, as their paths and what they refer to."""
        for path in Path(f"/proc/{self._process.pid}/fd").iterdir():
            try:
                yield path, os.readlink(path)
            except OSError:
                continue


def measure_file(path: Path) -> tuple[tuple[int, int], int]:
    """Return the identity and the size of a file, 0 for one that is gone or is no file."""
    try:
        found = path.stat()
    except OSError:
        return (0, 0), 0
    return (found.st_dev, found.st_ino), found.st_size if S_ISREG(found.st_mode) else 0
