"""A small deployment: the project's entry processes beside stand-ins of all else."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Coroutine
from pathlib import Path
from time import monotonic, time
from typing import Any

from lab.http import call
from lab.store import Store
from lab.workers import Worker

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
ZONES = ("zone-a", "zone-b", "zone-c")
READY_TIMEOUT_S = 30.0
SETTLE_S = 3.0
LIMIT_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The settings are those of abt-relief.toml, as `fleetbench wire` prints them.
BOUNDS = """
[bounds]
contactTimeoutMs = 3000
ackTimeoutMs = 4000
gracePeriodS = 6
configApplyMs = 2000
recoveryS = 12
maxHoldMs = 6000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 2
checkpointIntervalS = 2
restoreTimeoutMs = 250
leaseDurationMs = 3000
"""


class CaseError(Exception):
    """The case can't run."""


def is_troubled() -> bool:
    """Tell whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one JSON line each, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = monotonic()
        self.events: list[dict[str, Any]] = []

    def read_time(self) -> float:
        """Return the seconds since the start."""
        return round(monotonic() - self._started_at, 3)

    def note(self, what: str, **fields: Any) -> None:
        """Add an event."""
        event = {"s": self.read_time(), "what": what, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")
        self._file.flush()

    def list(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of one kind whose fields have some values."""
        return [
            event
            for event in self.events
            if event["what"] == what and all(event.get(k) == v for k, v in fields.items())
        ]


class Cell:
    """Entry processes, a store and workers on loopback addresses."""

    def __init__(self, folder: Path, entries: int = 3) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.workers: dict[str, Worker] = {}
        self.fronts: list[str] = []
        self._ready: list[str] = []
        self._version = 0
        self._count = entries
        self._processes: list[subprocess.Popen[bytes]] = []
        self._folder = tempfile.TemporaryDirectory()
        self._random = random.Random()
        self.random = random.Random(28)

    # Start and end

    async def start(self) -> None:
        """Start the store, and then the entry processes as the deploy file says."""
        await self.store.server.start()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program = deploy["roles"]["entry"]["run"].split(" ")
        for number in range(self._count):
            self._start_entry(number, program)

    def _start_entry(self, number: int, program: list[str]) -> None:
        ip = self._choose_ip()
        front, ready, link = (find_free_port(ip) for _ in range(3))
        zone = ZONES[number % len(ZONES)]
        settings = Path(self._folder.name) / f"entry-{number}.toml"
        settings.write_text(
            f'node = "entry-{number}"\nrole = "entry"\nmachineClass = "frontend"\n'
            f'serves = ["frontend"]\nip = "{ip}"\nzone = "{zone}"\nregion = "region"\n'
            f"internalPortRange = [{link}, {link}]\nseeds = []\nisFirstStart = true\n"
            'discovery = "platform"\nentry = "virtual_ip"\nheartbeatIntervalMs = 1500\n'
            'orders = "request"\nrecommendation = ""\n'
            f'[listen]\nfront = "{ip}:{front}"\nready = "{ip}:{ready}"\n'
            "[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\n"
            f'[platform]\naddress = "{self.store.server.address}"\nform = "table"\n'
            f"maxRowBytes = 65536\n{BOUNDS}"
        )
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LAVENDERSTALL_NODE_FILE"] = str(settings)
        with (Path(self._folder.name) / f"entry-{number}.log").open("wb") as log:
            process = subprocess.Popen(program, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self._processes.append(process)
        self.fronts.append(f"{ip}:{front}")
        self._ready.append(f"{ip}:{ready}")
        self.record.note("entry process starts", entry=number, pid=process.pid)

    def _choose_ip(self) -> str:
        """Return a loopback address on which the port of the metrics is free."""
        for _ in range(50):
            ip = f"127.{self._random.randrange(64, 250)}.{self._random.randrange(250)}.1"
            with socket.socket() as trial:
                try:
                    trial.bind((ip, METRICS_PORT))
                except OSError:
                    continue
                return ip
        raise CaseError("no loopback address with a free port for metrics")

    async def wait_until_ready(self) -> None:
        """Wait until all entry processes report that they are ready."""
        limit = monotonic() + READY_TIMEOUT_S
        while monotonic() < limit:
            found = [await call("GET", ready, "/v1/ready") for ready in self._ready]
            if all(status == 200 for status, _ in found):
                self.record.note("all entry processes are ready")
                await asyncio.sleep(SETTLE_S)
                return
            self.check_processes()
            await asyncio.sleep(0.2)
        raise CaseError("the entry processes did not get ready")

    def check_processes(self) -> None:
        """Raise an error if an entry process has ended by itself."""
        for number, process in enumerate(self._processes):
            if process.poll() is not None:
                raise CaseError(f"entry process {number} ended with {process.returncode}")

    async def stop(self) -> None:
        """Stop the stand-ins."""
        self.store.server.stop()
        for worker in self.workers.values():
            worker.up = False
            worker.server.stop()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        if others:
            await asyncio.wait(others, timeout=2.0)

    def close(self) -> None:
        """End all processes that were started, and drop their files."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        kept = os.environ.get("KEEP_LOGS")
        for number in range(len(self._processes) if kept else 0):
            log = Path(self._folder.name) / f"entry-{number}.log"
            (Path(str(kept)) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    # Platform

    async def add_workers(self, service: str, count: int, capacity: dict[str, int]) -> None:
        """Start workers of a service."""
        for number in range(count):
            worker = Worker(
                self.store,
                f"i-{service}-{number}",
                service,
                self.record.note,
                capacity=capacity,
                labels=["a", f"r1-{number // 4}"],
                zone=ZONES[number % len(ZONES)],
            )
            self.workers[worker.name] = worker
            await worker.start()

    def configure(self, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Put a configuration, as the operator does."""
        self._version += 1
        value = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 64,
                 "protocol": "h1", "enforcesCapacity": False, "headroom": False}
                for name in services
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
        }  # fmt: skip
        self.store.put("op", "config", value)
        self.record.note("configuration acknowledged", version=self._version, routes=routes)

    # Callers

    async def send(
        self,
        method: str,
        route: dict[str, Any],
        job: str,
        body: Any = None,
        front: int | None = None,
    ) -> tuple[int, Any]:
        """Send a caller's request to an entry process, and return the answer."""
        number = self.random.randrange(len(self.fronts)) if front is None else front
        status, answer = await call(
            method, self.fronts[number], f"{route['prefix']}{job}", body, route["host"]
        )
        shown = {"steps": body["steps"]} if body else {}
        self.record.note("request", method=method, route=route["name"], job=job, entry=number,
                         status=status, answer=answer, **shown)  # fmt: skip
        return status, answer

    async def submit(self, route: dict[str, Any], job: str, body: dict[str, Any]) -> bool:
        """Submit a job as a requester does, with four retries, and tell whether it was accepted."""
        for _ in range(5):
            status, _ = await self.send("POST", route, job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def submit_first(self, route: dict[str, Any], job: str, body: dict[str, Any]) -> None:
        """Submit a job without which the case can't be played."""
        if not await self.submit(route, job, body):
            raise CaseError(f"job {job} was not accepted")

    async def get_state(self, route: dict[str, Any], job: str) -> tuple[int, str]:
        """Ask for the state of a job, again at another entry process if there is no answer."""
        for _ in range(4):
            status, answer = await self.send("GET", route, job)
            if status in {200, 410}:
                return status, answer.get("state", "")
            await asyncio.sleep(0.3)
        return status, ""


def make_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a queue without advice."""
    return {
        "name": name,
        "host": f"{name}.example",
        "prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "service": service,
        "priority": 1,
        "maxAttempts": 3,
        "slackFactor": 2.0,
        "targetDurationMs": 1000,
        **fields,
    }


def make_job_id(number: int) -> str:
    """Return an id of 16 hexadecimal digits."""
    return f"{number:016x}"


def find_free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as trial:
        trial.bind((ip, 0))
        port: int = trial.getsockname()[1]
        return port


async def wait_until(condition: Any, limit_s: float, step_s: float = 0.05) -> bool:
    """Wait for a condition, and tell whether it came to hold."""
    limit = monotonic() + limit_s
    while monotonic() < limit:
        if condition():
            return True
        await asyncio.sleep(step_s)
    return bool(condition())


def now_ms() -> int:
    """Return the time of day in milliseconds since 1970."""
    return int(time() * 1000)


async def play_and_stop(cell: Cell, play: Coroutine[Any, Any, str]) -> str:
    """Play a case for `LIMIT_S` at most, and stop the stand-ins."""
    try:
        return await asyncio.wait_for(play, LIMIT_S)
    finally:
        await cell.stop()


def run_case(cell: Cell, play: Coroutine[Any, Any, str]) -> int:
    """Play a case; the result of `play` tells how the rule was broken, or is empty."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = asyncio.run(play_and_stop(cell, play))
    except Exception as error:
        cell.record.note("the case could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        cell.close()
    cell.record.note("result", broken=broken)
    print(broken or "the rule held")
    return BROKEN if broken else HELD
