"""Stand-ins and entry instances as processes on loopback addresses."""

import http.client
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from types import TracebackType
from typing import Any

import msgspec

from bench.slopes import Usage, read_cpu_seconds, read_metrics, read_rss_mb
from lavenderstall.access import make_token
from lavenderstall.bodies import ApplyRequest
from lavenderstall.client import Client
from lavenderstall.identifiers import EntryId, WorkerId, ZoneName
from lavenderstall.protocol import EntryMember
from lavenderstall.resources import Resources
from standins.cell import CellShape
from standins.server import Ready
from standins.web import Counters
from standins.workers import WorkerShape

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
TICKS = os.sysconf("SC_CLK_TCK")
START_SECONDS = 30.0
STOP_SECONDS = 5.0
RACK_WORKERS = 4
PORTS = range(14_000, 30_000)
CAPACITY = Resources(64_000, 262_144, 8, 8, 64)
TEAM = "drivers"
SERVICE = "echo"


class Process:
    """One child process and what it has used."""

    def __init__(self, name: str, arguments: list[str], log: Path, *, piped: bool = False) -> None:
        self.name = name
        self._log = log.open("wb")
        self.child = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE if piped else self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )

    def read_usage(self) -> Usage:
        """Return processor time and memory up to now."""
        base = Path("/proc") / str(self.child.pid)
        return Usage(
            read_cpu_seconds((base / "stat").read_text(), TICKS),
            read_rss_mb((base / "status").read_text()),
        )

    def stop(self) -> None:
        """End the process at once, because nothing that it holds is needed."""
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait(STOP_SECONDS)
        if self.child.stdout is not None:
            self.child.stdout.close()
        self._log.close()


def find_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago.

    They lie below the range that outgoing connections of other processes are given.
    """
    found: list[int] = []
    for port in Random().sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            break
    return found


def fetch(url: str, path: str) -> bytes:
    """Return the body of a response with status 200."""
    connection = http.client.HTTPConnection(url.removeprefix("http://"), timeout=10)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    finally:
        connection.close()
    if response.status != 200:
        raise RuntimeError(f"{url}{path}: status {response.status}")
    return body


def wait_for(done: Callable[[], Any], what: str, seconds: float = START_SECONDS) -> float:
    """Wait until a condition holds and return the seconds that it took."""
    begin = time.perf_counter()
    while True:
        try:
            if done():
                return time.perf_counter() - begin
        except ChildProcessError:
            raise
        except (OSError, RuntimeError, http.client.HTTPException):
            pass
        if time.perf_counter() - begin > seconds:
            raise TimeoutError(f"{what} did not happen within {seconds:g} s")
        time.sleep(0.05)


def make_shape(workers: int, entries: int, zones: int) -> CellShape:
    """Return a cell whose racks of four workers are dealt out over the zones."""
    names = [f"z{zone + 1}" for zone in range(zones)]
    ports = find_ports(2 * entries)
    return CellShape(
        workers=[
            WorkerShape(
                id=WorkerId(f"w{index:05d}"),
                capacity=CAPACITY,
                zone=names[index // RACK_WORKERS % zones],
                rack=f"r{index // RACK_WORKERS:05d}",
                pool="pool",
                call_ms=5,
            )
            for index in range(workers)
        ],
        entries=[
            EntryMember(
                EntryId(f"entry-{index + 1}"),
                ZoneName(names[index % zones]),
                f"tcp://{HOST}:{ports[2 * index]}",
                f"http://{HOST}:{ports[2 * index + 1]}",
            )
            for index in range(entries)
        ],
        zones=dict.fromkeys(names, 0),
    )


class ProcessCell:
    """A running cell: one process for the stand-ins and one for each entry instance."""

    def __init__(self, workers: int, entries: int, zones: int = 1, teams: int = 1) -> None:
        self.shape = make_shape(workers, entries, zones)
        self.operator, self._operator_hash = make_token("operator")
        self.team, self._team_hash = make_token(TEAM)
        self.teams = teams
        self.processes: list[Process] = []
        self._directory = tempfile.TemporaryDirectory()
        self.platform = ""

    def __enter__(self) -> "ProcessCell":
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def standins(self) -> Process:
        """Return the process of the stand-ins."""
        return self.processes[0]

    @property
    def entries(self) -> list[Process]:
        """Return the processes of the entry instances."""
        return self.processes[1:]

    @property
    def urls(self) -> list[str]:
        """Return the addresses of the entry instances."""
        return [member.http for member in self.shape.entries]

    def _start(self) -> None:
        base = Path(self._directory.name)
        shape = base / "shape.json"
        shape.write_bytes(msgspec.json.encode(self.shape))
        arguments = ["-m", "standins.server", "--shape", str(shape)]
        self.processes.append(Process("standins", arguments, base / "standins.log", piped=True))
        pipe = self.standins.child.stdout
        assert pipe is not None
        self.platform = msgspec.json.decode(pipe.readline(), type=Ready).platform
        for member in self.shape.entries:
            arguments = self._list_arguments(member)
            self.processes.append(Process(member.id, arguments, base / f"{member.id}.log"))
        workers = len(self.shape.workers)
        wait_for(lambda: self._check_running() == workers, "the claim of all workers")
        self.apply(self.write_declarations())

    def _check_running(self) -> float:
        """Return the workers that are held; raise `ChildProcessError` if a process has ended."""
        for process in self.processes:
            if process.child.poll() is not None:
                log = Path(self._directory.name) / f"{process.name}.log"
                text = log.read_text("utf-8", "replace")[-500:]
                raise ChildProcessError(f"{process.name} has ended: {text}")
        return self.sum_metric("workers_held")

    def _list_arguments(self, member: EntryMember) -> list[str]:
        return [
            *("-m", "lavenderstall.daemon", "--entry", member.id, "--zone", member.zone),
            *("--http", member.http, "--link", member.link, "--platform", self.platform),
            *("--operator-hash", self._operator_hash, "--log-level", "warning"),
        ]

    def write_declarations(self) -> str:
        """Return the configuration that the measurements need, as YAML."""
        others = [
            f"kind: team\nname: team-{n}\nquota: {{resources: {{cores_milli: 1000000}}}}"
            for n in range(1, self.teams)
        ]
        return "\n---\n".join(
            [
                f"kind: operator\nname: operator\nright: change\ntoken: {self._operator_hash}",
                f"kind: team\nname: {TEAM}\nweight: 1\ntokens: [{self._team_hash}]",
                *others,
            ]
        )

    def apply(self, documents: str) -> float:
        """Apply declarations and return the seconds until all entry instances have them."""
        client = Client(self.urls[:1], self.operator)
        begin = time.perf_counter()
        answer = client.apply(ApplyRequest(documents, "measurement"))
        if answer.pending:
            raise TimeoutError(f"not in force on {', '.join(answer.pending)}")
        return time.perf_counter() - begin

    def read_usages(self) -> list[Usage]:
        """Return what each entry instance has used."""
        return [process.read_usage() for process in self.entries]

    def read_pages(self) -> list[dict[str, float]]:
        """Return the metrics of each entry instance."""
        return [read_metrics(fetch(url, "/metrics").decode()) for url in self.urls]

    def sum_metric(self, name: str) -> float:
        """Return a metric summed over the entry instances."""
        return sum(page.get(name, 0.0) for page in self.read_pages())

    def read_counters(self) -> Counters:
        """Return the counters of the table."""
        return msgspec.json.decode(fetch(self.platform, "/counters"), type=Counters)

    def close(self) -> None:
        """End all processes that this cell started."""
        for process in reversed(self.processes):
            process.stop()
        self._directory.cleanup()


def sum_field(usages: Iterable[Usage], field: str) -> float:
    """Return one field summed over processes."""
    return float(sum(getattr(usage, field) for usage in usages))
