"""Program that serves the stand-ins of one cell over HTTP."""

import sys
from pathlib import Path
from typing import Any, cast

import msgspec
from twisted.internet import reactor as default_reactor
from twisted.internet.interfaces import IListeningPort
from twisted.web.server import Site

from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import LavenderstallError
from lavenderstall.options import Option, parse_options, read_text
from standins.cell import Cell, CellShape
from standins.web import ControlService, PlatformService, Service, WorkerService

# Connections that queue while the process is busy; a flood opens many at once.
BACKLOG = 512


class Address(msgspec.Struct, frozen=True):
    """Hold a loopback host and a port; port 0 stands for any free one."""

    host: str
    port: int


class Ready(msgspec.Struct):
    """Tell on standard output where the stand-ins listen."""

    platform: str
    zones: dict[str, str]
    workers: dict[str, str]


def read_address(text: str) -> Address:
    """Return the address that a text like 127.0.0.1:8000 names."""
    host, _, port = text.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise ValueError("must look like 127.0.0.1:8000")
    return Address(host, int(port))


OPTIONS = (
    Option("listen", read_address, "loopback address of the platform", "127.0.0.1:0"),
    Option("shape", read_text, "JSON file that declares the cell", required=True),
)


class CellServer:
    """Listen for the platform and for each worker of a cell."""

    def __init__(self, cell: Cell, address: Address, reactor: Any) -> None:
        self._cell = cell
        self._address = address
        self._reactor = reactor
        self._ports: list[IListeningPort] = []

    def start(self) -> Ready:
        """Open all ports and return their addresses."""
        platform = self._listen(ControlService(self._cell), self._address.port)
        zones = {
            zone: self._listen(PlatformService(self._cell, zone), port)
            for zone, port in self._cell.shape.zones.items()
        }
        workers: dict[str, str] = {}
        for name, worker in self._cell.workers.items():
            workers[name] = self._listen(WorkerService(worker), worker.shape.port)
            self._cell.add_worker(worker, workers[name])
        return Ready(platform, zones, workers)

    def _listen(self, service: Service, port: int) -> str:
        """Open a port and return its URL."""
        host = self._address.host
        listening = self._reactor.listenTCP(port, Site(service), BACKLOG, host)
        self._ports.append(listening)
        return f"http://{host}:{listening.getHost().port}"


def main() -> int:
    """Serve the cell that the settings name until the process is told to end."""
    reactor = cast(Any, default_reactor)
    try:
        settings = parse_options("standins", OPTIONS)
        shape = decode_json(Path(settings["shape"]).read_bytes(), CellShape)
    except (LavenderstallError, OSError, UnreadableError) as error:
        print(f"standins: {error}", file=sys.stderr)
        return 2
    server = CellServer(Cell(shape, reactor), settings["listen"], reactor)
    print(msgspec.json.encode(server.start()).decode(), flush=True)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
