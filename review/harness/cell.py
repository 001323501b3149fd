"""A small deployment on loopback addresses: entry processes, the store and workers.

Entries run with the command of the deploy file. Each machine has a loopback address of its own.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from review.harness.web import call

ROOT = Path(__file__).resolve().parents[2]
HARNESS = ROOT / "review" / "harness"
ZONES = ("zone-1", "zone-2", "zone-3")
SERVICES = ("service-1", "service-2")
HOST = "queue.example"
PREFIXES = ("/queue-1/", "/queue-2/")
FRONT_PORT, READY_PORT, FIRST_PORT, LAST_PORT, METRICS_PORT = 8149, 8141, 7380, 7395, 9464
STORE_PORT, WORKER_PORT = 8142, 8501
START_LIMIT_S = 20.0
MAX_ATTEMPTS = 4
PASSED, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node = "{node}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internalPortRange = [{first}, {last}]
seeds = []
isFirstStart = true
isCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "request"
[zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
[bounds]
contactTimeoutMs = 3000
ackTimeoutMs = 4000
gracePeriodS = 6
configApplyMs = 2000
maxHoldMs = 6000
stopTimeoutMs = 400
[platform]
address = "{store}"
form = "table"
writesPerS = 800
readsPerS = 2000
maxRowBytes = 65536
historyS = 20
"""


class NotRunError(Exception):
    """The case can't run here."""


def read_command() -> list[str]:
    """Return the command of the entry role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    command: str = deploy["roles"]["entry"]["run"]
    return command.split()


def is_free(host: str, ports: tuple[int, ...]) -> bool:
    """Tell whether all ports of a loopback address are free."""
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def choose_network() -> str:
    """Return the first three numbers of a loopback network that nothing listens in."""
    for _ in range(20):
        network = f"127.{random.randint(32, 223)}.{random.randint(0, 255)}"
        hosts = [f"{network}.{number}" for number in (2, 3, *range(10, 16), *range(101, 121))]
        ports = (FRONT_PORT, READY_PORT, FIRST_PORT, METRICS_PORT, STORE_PORT, WORKER_PORT)
        if all(is_free(host, ports) for host in hosts):
            return network
    raise NotRunError("no loopback network is free")


class Cell:
    """The processes of one deployment, which all end with `close`."""

    def __init__(self, record: Path) -> None:
        self.record = record
        self.record.unlink(missing_ok=True)
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.runs_path = self.folder / "runs.jsonl"
        self.runs_path.touch()
        network = choose_network()
        self.network = network
        self.store = f"{network}.2:{STORE_PORT}"
        self.services = 1
        # Where workers send the starts that are to arrive late, if there is such a case.
        self.delayer = ""
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started_at = time.monotonic()

    # Processes

    def _spawn(self, name: str, command: list[str], **environment: str) -> None:
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**kept, **environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def start_store(self) -> None:
        """Start the store."""
        host, _, port = self.store.rpartition(":")
        self._spawn("store", [sys.executable, str(HARNESS / "store.py"), host, port])

    def start_delayer(self) -> None:
        """Start what delivers starts late."""
        host, port = f"{self.network}.3", str(STORE_PORT)
        self.delayer = f"{host}:{port}"
        command = [sys.executable, str(HARNESS / "delayer.py"), host, port, str(self.runs_path)]
        self._spawn("delayer", command)

    def start_worker(self, number: int) -> None:
        """Start a worker, or start it again under its name."""
        self._spawn(
            f"worker-{number}",
            [
                sys.executable,
                str(HARNESS / "worker.py"),
                f"worker-{number}",
                f"{self.network}.{100 + number}:{WORKER_PORT}",
                self.store,
                SERVICES[number % self.services],
                ZONES[number % len(ZONES)],
                f"rack-{number // 4}",
                str(self.runs_path),
                self.delayer,
            ],
        )

    def start_entry(self, number: int) -> None:
        """Start an entry process, or start it again on its machine."""
        name = f"entry-{number}"
        path = self.folder / f"{name}.toml"
        text = SETTINGS.format(
            node=name,
            ip=self.get_ip(number),
            zone=ZONES[number % len(ZONES)],
            first=FIRST_PORT,
            last=LAST_PORT,
            front=FRONT_PORT,
            ready=READY_PORT,
            store=self.store,
        )
        path.write_text(text, encoding="utf-8")
        self._spawn(
            name,
            read_command(),
            LAVENDERSTALL_NODE_FILE=str(path),
            PYTHONPATH=str(ROOT / "target" / "deps"),
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        self.note("signal", process=name, signal=number.name)
        self.processes[name].send_signal(number)
        if number is signal.SIGKILL:
            self.processes[name].wait()

    def has_ended(self, name: str) -> bool:
        """Tell whether a process has ended."""
        return self.processes[name].poll() is not None

    async def start(self, entries: int, workers: int, services: int = 1) -> None:
        """Start everything, and wait until all entries are ready and each pool has an owner."""
        self.services = services
        self.start_store()
        config = {
            "version": 1,
            "routes": [make_route(number) for number in range(services)],
            "services": [{"name": name, "enforcesCapacity": False} for name in SERVICES[:services]],
            "limits": {},
        }
        await self.wait_for(self._is_store_up, "the store")
        await call(self.store, "POST", "/op/config", config)
        for number in range(1, workers + 1):
            self.start_worker(number)
        for number in range(1, entries + 1):
            self.start_entry(number)
        for number in range(1, entries + 1):
            await self.wait_until_ready(number)
        await self.wait_for(self._have_owners, "an owner of each pool")
        await asyncio.sleep(2.0)
        owners = [self.find_owner(number) for number in range(services)]
        self.note("started", entries=entries, workers=workers, owners=owners)

    async def _is_store_up(self) -> bool:
        status, _ = await call(self.store, "GET", "/v1/rows-get?table=op&part=")
        return status == 200

    async def _have_owners(self) -> bool:
        return all(self.find_owner(number) for number in range(self.services))

    async def wait_for(self, condition: Any, what: str, limit_s: float = START_LIMIT_S) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > end:
                raise NotRunError(f"no {what} after {limit_s:.0f} s")
            await asyncio.sleep(0.02)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until an entry is ready for callers."""

        async def is_ready() -> bool:
            address = f"{self.get_ip(number)}:{READY_PORT}"
            status, _ = await call(address, "GET", "/v1/ready", timeout_s=1.0)
            return status == 200

        await self.wait_for(is_ready, f"answer of entry-{number}")

    def close(self) -> None:
        """End all processes and complete the record with what the workers have run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        with contextlib.suppress(OSError):
            runs = sorted(self.read_runs(), key=lambda run: run["at"])
            self._append([json.dumps(run) for run in runs])
        self._folder.cleanup()

    # What is seen

    def get_age_s(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.started_at

    def get_ip(self, number: int) -> str:
        """Return the address of an entry's machine."""
        return f"{self.network}.{9 + number}"

    def get_front(self, number: int) -> str:
        """Return where an entry serves callers."""
        return f"{self.get_ip(number)}:{FRONT_PORT}"

    def read_log(self, name: str) -> str:
        """Return what a process has written."""
        path = self.folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def find_owner(self, service: int = 0) -> str:
        """Return the entry that has claimed the pool of a service last, as it logs."""
        claims: list[tuple[int, str]] = []
        for name in self.processes:
            for line in self.read_log(name).splitlines():
                if '"message": "pool claimed"' in line:
                    with contextlib.suppress(ValueError):
                        fields = json.loads(line)
                        if fields["pool"] == SERVICES[service]:
                            claims.append((fields["term"], name))
        return max(claims, default=(0, ""))[1]

    def read_runs(self) -> list[dict[str, Any]]:
        """Return the starts and ends that workers have recorded."""
        lines = self.runs_path.read_text(encoding="utf-8").splitlines()
        found = []
        for line in lines:
            with contextlib.suppress(ValueError):
                each = json.loads(line)
                each["at"] = round(each["at"] - self.started_at, 3)
                found.append(each)
        return found

    def note(self, what: str, **fields: object) -> None:
        """Append a line to the record, with the time since the start."""
        at = round(time.monotonic() - self.started_at, 3)
        self._append([json.dumps({"at": at, "what": what, **fields})])

    def _append(self, lines: list[str]) -> None:
        with self.record.open("a", encoding="utf-8") as file:
            file.writelines(line + "\n" for line in lines)

    # Requests of callers

    async def request(
        self,
        entry: int,
        method: str,
        job: str,
        body: Any = None,
        *,
        service: int = 0,
        quiet: bool = False,
    ) -> tuple[int, Any]:
        """Send a request about a job, and record it with its answer."""
        sent_at = time.monotonic()
        found = await call(self.get_front(entry), method, PREFIXES[service] + job, body, HOST)
        if not quiet:
            took_ms = round((time.monotonic() - sent_at) * 1000)
            status, answer = found
            self.note(
                "request",
                entry=entry,
                method=method,
                job=job,
                status=status,
                answer=answer,
                took_ms=took_ms,
            )
        return found


def make_route(service: int) -> dict[str, Any]:
    """Return the route of a service's queue."""
    return {
        "name": f"route-{service + 1}",
        "host": HOST,
        "prefix": PREFIXES[service],
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetDurationMs": 3000,
        "priority": 0,
        "service": SERVICES[service],
        "maxAttempts": MAX_ATTEMPTS,
        "slackFactor": 4.0,
    }


def make_job(work_ms: int, count: int = 1, **fields: object) -> dict[str, Any]:
    """Return a job of one step whose tasks work for some time, or last with 0."""
    step = {"count": count, "cpu": 2000, "taskMemoryMb": 512, "estimatedDurationMs": work_ms}
    return {"spec": str(work_ms), "steps": [{**step, **fields}]}


def make_id(generator: random.Random) -> str:
    """Return a new ID of a job."""
    return f"{generator.getrandbits(64):016x}"


def has_trouble() -> bool:
    """Tell whether the case plays its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Any, record: Path) -> int:
    """Play a case, end all processes, and return the exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        cell = Cell(record)
    except NotRunError as error:
        print(f"not run: {error}")
        return NOT_RUN
    try:
        return int(asyncio.run(asyncio.wait_for(play(cell), 110)))
    except (TimeoutError, NotRunError, OSError) as error:
        cell.note("not run", error=repr(error))
        print(f"not run: {error!r}")
        return NOT_RUN
    finally:
        cell.close()
