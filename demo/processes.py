"""Child processes of the demo: the stand-ins and the entry instances."""

import os
import signal
import socket
import sys
from contextlib import ExitStack
from pathlib import Path
from random import SystemRandom
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from demo.shapes import HOST
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, ZoneName
from lavenderstall.protocol import EntryMember
from standins.cell import CellShape
from standins.server import Ready

ROOT = Path(__file__).resolve().parent.parent
# Below the ports that systems give to outgoing connections, one of which took a port that had
# been found free before its entry instance could listen on it.
PORTS = range(20_000, 32_000)


class ChildError(LavenderstallError):
    """A child process could not be started or ended too early."""


class Child(ProcessProtocol):
    """Hold one child process; its standard error goes to a file."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.pid = 0
        self.first_line: Deferred[bytes] = Deferred()
        self.ended: Deferred[None] = Deferred()
        self.is_running = False
        self._output = b""

    def connectionMade(self) -> None:  # noqa: N802  (name set by twisted)
        """Note the id of the process."""
        self.pid = self.transport.pid  # type: ignore[union-attr]
        self.is_running = True

    def outReceived(self, data: bytes) -> None:  # noqa: N802  (name set by twisted)
        """Collect standard output up to its first line."""
        if self.first_line.called:
            return
        self._output += data
        if b"\n" in self._output:
            self.first_line.callback(self._output.partition(b"\n")[0])

    def processEnded(self, reason: Failure) -> None:  # noqa: N802  (name set by twisted)
        """Tell that the process has ended."""
        self.is_running = False
        if not self.first_line.called:
            detail = f"ended early: {reason.getErrorMessage()}"
            self.first_line.errback(ChildError(detail, step="start", peer=self.name))
            self.first_line.addErrback(lambda _: None)
        self.ended.callback(None)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.is_running:
            os.kill(self.pid, number)


class Children:
    """Start child processes and end all of them."""

    def __init__(self, reactor: Any, logs: Path) -> None:
        self._reactor = reactor
        self._logs = logs
        self._children: list[Child] = []
        logs.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, module: str, *arguments: str) -> Child:
        """Start a Python module as a process."""
        child = Child(name)
        command = [sys.executable, "-m", module, *arguments]
        with (self._logs / f"{name}.log").open("ab") as log:
            descriptors = {0: "w", 1: "r", 2: log.fileno()}
            self._reactor.spawnProcess(
                child, sys.executable, command, os.environ, str(ROOT), childFDs=descriptors
            )
        self._children.append(child)
        return child

    def end_all(self) -> Deferred[Any]:
        """Kill the children that still run and wait for their end; a stopped one ends too."""
        waiting = []
        for child in self._children:
            if child.is_running:
                child.send_signal(signal.SIGKILL)
                waiting.append(child.ended)
        return DeferredList(waiting)


class EntryProcess(msgspec.Struct):
    """Hold one entry instance and when it could serve callers, in seconds."""

    member: EntryMember
    child: Child
    started: float
    ended: float | None = None
    pauses: list[tuple[float, float]] = []

    @property
    def id(self) -> EntryId:
        """Return the name of the entry instance."""
        return self.member.id


def find_ports(count: int) -> list[int]:
    """Return free ports; all are held at once, so that they differ."""
    found: list[int] = []
    with ExitStack() as held:
        while len(found) < count:
            port = SystemRandom().choice(PORTS)
            try:
                held.enter_context(socket.socket()).bind((HOST, port))
            except OSError:
                continue
            found.append(port)
    return found


def make_member(name: str, zone: str) -> EntryMember:
    """Return a new entry instance with free ports."""
    link, http = find_ports(2)
    return EntryMember(
        EntryId(name), ZoneName(zone), f"tcp://{HOST}:{link}", f"http://{HOST}:{http}"
    )


def start_standins(children: Children, shape: CellShape, path: Path) -> Deferred[Ready]:
    """Start the stand-ins and return their addresses."""
    path.write_bytes(msgspec.json.encode(shape))
    child = children.start(
        "standins", "standins.server", "--listen", f"{HOST}:0", "--shape", str(path)
    )
    return child.first_line.addCallback(msgspec.json.decode, type=Ready)


def start_entry(
    children: Children, member: EntryMember, ready: Ready, operator_hash: str, now: float
) -> EntryProcess:
    """Start an entry instance that reaches the platform at its zone's address."""
    child = children.start(
        member.id,
        "lavenderstall.daemon",
        f"--entry={member.id}",
        f"--zone={member.zone}",
        f"--http={member.http}",
        f"--link={member.link}",
        f"--platform={ready.zones[member.zone]}",
        f"--operator-hash={operator_hash}",
    )
    return EntryProcess(member, child, now)
