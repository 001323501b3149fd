"""Tests of whole cells in which another writer has left data that can't be read."""

import json
import unittest
from collections.abc import Iterator
from typing import Any

from adapter.workers import REGISTRY_TABLE
from tests.platform.fake_platform import FakeWorker
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import LONG, STEP, make_name, start_cell

NESTED = 5000
NESTED_LISTS = b"[" * NESTED + b"]" * NESTED
NESTED_OBJECTS = b'{"a":' * NESTED + b"0" + b"}" * NESTED


def add_field(entry: dict[str, Any], name: str, value: bytes) -> bytes:
    """Return an entry as JSON, with one more field or another value of a field."""
    others = {key: other for key, other in entry.items() if key != name}
    return json.dumps(others).encode()[:-1] + b',"' + name.encode() + b'":' + value + b"}"


def list_odd_entries(entry: dict[str, Any]) -> Iterator[tuple[str, bytes]]:
    """Yield entries that other writers may leave, each with its name."""
    yield "one more field of nested lists", add_field(entry, "extra", NESTED_LISTS)
    yield "capacity of nested lists", add_field(entry, "capacity", NESTED_LISTS)
    yield "labels of nested objects", add_field(entry, "labels", NESTED_OBJECTS)
    yield "nested lists", NESTED_LISTS
    yield "born too large", add_field(entry, "born", b"9" * 400)
    yield "cpu too large", add_field(entry, "capacity", b'{"cpu":' + b"9" * 400 + b"}")
    yield "port out of range", add_field(entry, "address", b'"10.1.0.0:99999"')
    yield "no text", b"\xff\xfe"
    yield "nothing", b""


def run_jobs(case: unittest.TestCase, cell: SimulatedCell, count: int = 4) -> None:
    """Submit jobs to both pools and check that all of them are done."""
    for number in range(count):
        cell.submit("entry-0", POOLS[number % 2], make_name(number), [dict(STEP)])
    cell.run(6.0)
    case.assertEqual(cell.platform.checker.list_unfinished(), [])
    case.assertEqual(cell.platform.checker.violations, [])


class RegistryTest(unittest.TestCase):
    """An entry among those of the workers that can't be read."""

    def test_an_odd_entry_stops_no_pool(self) -> None:
        """Fails if jobs are accepted and never run while one entry can't be read."""
        entry = FakeWorker(SimulatedCell(0, 0).platform, "odd", "routing", "10.9.0.1:80", "r0")
        for name, value in list_odd_entries(entry.entry()):
            with self.subTest(name=name):
                cell = SimulatedCell()
                cell.platform.put_bytes(REGISTRY_TABLE, "", "odd", value)
                cell.run(3.0)
                run_jobs(self, cell)
                counted = sum(
                    node.instance.metrics.counters["rows_unreadable"]
                    for node in cell.nodes.values()
                )
                self.assertLessEqual(1, counted)
                self.assertLessEqual(counted, len(cell.nodes), "the row is logged on and on")

    def test_workers_that_come_later_than_an_odd_entry_are_used(self) -> None:
        """Fails if a pool stops following its list of workers."""
        cell = start_cell()
        entry = next(iter(cell.platform.workers.values())).entry()
        odd = add_field(entry, "extra", NESTED_LISTS)
        cell.platform.put_bytes(REGISTRY_TABLE, "", "odd", odd)
        cell.run(1.0)
        for worker in cell.platform.workers.values():
            worker.crash()
        cell.run(2.0)
        run_jobs(self, cell)

    def test_a_worker_whose_entry_became_unreadable_ends_its_runs_and_gets_no_more(self) -> None:
        """Fails if a run is lost or started twice, or if such a worker gets another task."""
        cell = start_cell(workers=2)
        cell.submit("entry-0", "routing", make_name(1), [dict(LONG, count=2)])
        cell.run(1.0)
        worker = next(w for w in cell.platform.workers.values() if w.pool == "routing")
        self.assertEqual(len(worker.running), 2)
        cell.platform.put_bytes(REGISTRY_TABLE, "", worker.name, NESTED_LISTS)
        cell.run(1.0)
        cell.submit("entry-0", "routing", make_name(2), [dict(STEP)])
        cell.run(4.0)
        self.assertEqual(cell.platform.checker.list_unfinished_tasks(make_name(1)), [])
        self.assertEqual(cell.platform.checker.starts, 2)
        cell.platform.register()
        cell.run(4.0)
        self.assertEqual(cell.platform.checker.list_unfinished(), [])
        self.assertEqual(cell.platform.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
