"""Today's shapes of the two cells."""

from itertools import count
from pathlib import Path

import msgspec

from lavenderstall.identifiers import EntryId, RackName, WorkerId, ZoneName
from lavenderstall.protocol import EntryMember
from lavenderstall.resources import Resources
from standins.cell import CellShape
from standins.workers import WorkerShape

HOST = "127.0.0.1"
SLOTS = 8
CONNECTIONS = 64


class PoolShape(msgspec.Struct, frozen=True):
    """Describe the workers of one back end; a rack holds `per_rack` of them."""

    name: str
    workers: int
    per_rack: int
    cores: int
    memory_gb: int
    accelerators: int
    call_ms: int


class DemoShape(msgspec.Struct, frozen=True):
    """Describe a cell: its zones, entry instances and pools."""

    name: str
    zones: tuple[str, ...]
    entries: int
    pools: tuple[PoolShape, ...]


SHAPES = {
    "aguaclara": DemoShape(
        "aguaclara",
        ("quito-1", "quito-2", "quito-3", "quito-4"),
        8,
        (
            PoolShape("routing", 20, 4, 16, 64, 0, 20),
            PoolShape("vision", 8, 3, 32, 64, 8, 80),
        ),
    ),
    "trust": DemoShape(
        "trust",
        ("amhara-1", "amhara-2", "amhara-3", "amhara-4"),
        8,
        (
            PoolShape("donor-desk", 20, 4, 64, 128, 0, 20),
            PoolShape("imaging-desk", 8, 3, 128, 256, 8, 80),
        ),
    ),
}


def list_workers(shape: DemoShape) -> list[WorkerShape]:
    """Return the workers of a cell, racks dealt out over the zones in turn."""
    workers: list[WorkerShape] = []
    racks = count()
    for pool in shape.pools:
        capacity = Resources(
            pool.cores * 1000, pool.memory_gb * 1024, pool.accelerators, SLOTS, CONNECTIONS
        )
        for index in range(pool.workers):
            if index % pool.per_rack == 0:
                rack = next(racks)
            workers.append(
                WorkerShape(
                    id=WorkerId(f"{pool.name}-{index + 1:02d}"),
                    capacity=capacity,
                    zone=shape.zones[rack % len(shape.zones)],
                    rack=f"rack-{rack + 1:02d}",
                    pool=pool.name,
                    call_ms=pool.call_ms,
                )
            )
    return workers


def make_cell_shape(shape: DemoShape, base_port: int) -> CellShape:
    """Return what the stand-ins need to know; ports follow one another from the base."""
    entries = [
        EntryMember(
            EntryId(f"entry-{index + 1}"),
            ZoneName(shape.zones[index % len(shape.zones)]),
            f"tcp://{HOST}:{base_port + 2 * index}",
            f"http://{HOST}:{base_port + 2 * index + 1}",
        )
        for index in range(shape.entries)
    ]
    return CellShape(
        workers=list_workers(shape),
        entries=entries,
        zones=dict.fromkeys(shape.zones, 0),
    )


def find_examples(root: Path, name: str) -> list[Path]:
    """Return the example declarations of a cell."""
    return sorted((root / "examples" / name).glob("*.yaml"))


def find_rack(worker: WorkerShape) -> RackName:
    """Return the rack of a worker."""
    return RackName(worker.rack)
