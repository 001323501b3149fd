"""Tests of whole cells in which another writer has left data that can't be read."""

import json
import unittest
from collections.abc import Iterator
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from adapter.worker_wire import decode_status
from adapter.workers import REGISTRY_TABLE
from lavenderstall.decoding import UnreadableError
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, Incarnation, JobId
from lavenderstall.pools.entry_instance import RECORD_INTERVAL_S
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.messages import JobHint
from lavenderstall.pools.owner import UNRECORDED_START_DELAY_S
from lavenderstall.pools.progress import JobProgress, StepProgress
from lavenderstall.pools.records import EntryRecord, encode, get_shard
from lavenderstall.pools.work import PoolName, QueueName, Repeat, Step
from lavenderstall.resources import Resources
from tests.platform.fake_platform import FakeWorker
from tests.platform.simulated_cell import POOLS, SimulatedCell
from tests.platform.test_faults import LONG, STEP, make_name, play, start_cell
from tests.pools.builders import Bench, make_entry, make_job, make_step

ROUTING = PoolName("routing")
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
        odd_fields = (("extra", NESTED_LISTS), ("born", b"1000000000000000"), ("capacity", b"-1"))
        for field, value in odd_fields:
            with self.subTest(field=field):
                cell = start_cell(workers=2)
                cell.submit("entry-0", "routing", make_name(1), [dict(LONG, count=2)])
                cell.run(1.0)
                worker = next(w for w in cell.platform.workers.values() if w.pool == "routing")
                self.assertEqual(len(worker.running), 2)
                odd = add_field(worker.entry(), field, value)
                cell.platform.put_bytes(REGISTRY_TABLE, "", worker.name, odd)
                cell.run(1.0)
                cell.submit("entry-0", "routing", make_name(2), [dict(STEP)])
                cell.run(4.0)
                self.assertEqual(cell.platform.checker.list_unfinished_tasks(make_name(1)), [])
                self.assertEqual(cell.platform.checker.starts, 2)
                cell.platform.register()
                cell.run(4.0)
                self.assertEqual(cell.platform.checker.list_unfinished(), [])
                self.assertEqual(cell.platform.checker.violations, [])


class JobRowsTest(unittest.TestCase):
    """Rows of jobs, progress and cancellations that can't be read."""

    def put_job(self, cell: SimulatedCell, name: str, *steps: Step) -> None:
        """Write the row of an accepted job of which no hint reaches its owner."""
        declared = {"count": steps[0].count, "estimatedDurationMs": steps[0].expected_ms}
        cell.platform.checker.jobs[name] = {"spec": "payload", "steps": [declared]}
        row = make_job(*steps, job=JobId(name), queue=QueueName("q-routing"))
        cell.platform.put_bytes("jobs", get_shard(name), name, encode(row))

    def list_odd_jobs(self, name: str) -> dict[str, bytes]:
        """Return values of job rows that can't be read or can't be done."""
        sound = make_job(make_step(), job=JobId(name), queue=QueueName("q-routing"))
        nested = b"\xa5other" + b"\x91" * NESTED + b"\x90"
        endless = Repeat(2**53)
        return {
            "nothing": b"",
            "nested": bytes([encode(sound)[0] + 1]) + nested + encode(sound)[1:],
            "another id": encode(make_job(make_step())),
            "no such step": encode(make_job(make_step(after=(9,)), job=JobId(name))),
            "negative need": encode(make_job(make_step(need=Resources(-1)), job=JobId(name))),
            "endless": encode(replace(sound, spec=replace(sound.spec, repeat=endless))),
        }

    def test_an_odd_job_row_hides_no_other_job(self) -> None:
        """Fails if a job in the same page as the odd row is accepted and never begins."""
        odd_name = make_name(9)
        for name, value in self.list_odd_jobs(odd_name).items():
            for successor in (False, True):
                with self.subTest(name=name, successor=successor):
                    cell = start_cell()
                    cell.platform.put_bytes("jobs", get_shard(odd_name), odd_name, value)
                    self.put_job(cell, make_name(1), make_step(2))
                    if successor:
                        owner = cell.find_owner("routing")
                        assert owner is not None
                        cell.kill(owner)
                    cell.run(6.0)
                    self.assertEqual(cell.platform.checker.list_unfinished(), [])
                    self.assertEqual(cell.platform.checker.violations, [])
                    self.assertNotIn(odd_name, cell.platform.checker.jobs)

    def test_an_error_in_a_row_skips_no_row_behind_it(self) -> None:
        """Fails if the feed's version moves past rows that were not applied."""
        for method, table in (("add_job", "jobs"), ("cancel_job", "cancels")):
            with self.subTest(table=table):
                cell = start_cell()
                name = cell.find_owner("routing")
                assert name is not None
                pool = cell.nodes[name].instance.owned_pools[ROUTING].pool
                apply = getattr(pool, method)

                def fail_once(job: Any, *rest: Any, apply: Any = apply, **more: Any) -> bool:
                    if getattr(job, "id", job) == make_name(9):
                        raise IndexError("an odd row")
                    return bool(apply(job, *rest, **more))

                if table == "cancels":
                    self.put_job(cell, make_name(1), make_step(1, expected_ms=60_000))
                    cell.run(1.0)
                setattr(pool, method, fail_once)
                if table == "jobs":
                    self.put_job(cell, make_name(9), make_step())
                    self.put_job(cell, make_name(1), make_step(2))
                    del cell.platform.checker.jobs[make_name(9)]
                else:
                    for job in (make_name(9), make_name(1)):
                        cell.platform.put_bytes("cancels", get_shard(job), job, b"x")
                cell.run(4.0)
                if table == "jobs":
                    self.assertEqual(cell.platform.checker.list_unfinished(), [])
                else:
                    running = [w.running for w in cell.platform.workers.values() if w.running]
                    self.assertEqual(running, [])

    def test_odd_progress_costs_its_job_alone(self) -> None:
        """Fails if a pool has no owner because of one progress row, or runs its job again."""
        cases = {
            "state": JobProgress("asleep"),
            "key": JobProgress("running", {"x": StepProgress()}),
            "step": JobProgress("running", {"0.7": StepProgress()}),
            "occurrence": JobProgress("running", {"1.0": StepProgress()}),
            "task": JobProgress("running", {"0.0": StepProgress(done={5})}),
        }
        for name, progress in cases.items():
            with self.subTest(name=name):
                cell = start_cell()
                cell.platform.put_bytes("progress", "routing", make_name(9), encode(progress))
                owner = cell.find_owner("routing")
                assert owner is not None
                cell.kill(owner)
                self.put_job(cell, make_name(9), make_step())
                self.put_job(cell, make_name(1), make_step(2))
                cell.run(6.0)
                self.assertIsNotNone(cell.find_owner("routing"))
                unfinished = cell.platform.checker.list_unfinished()
                self.assertEqual(unfinished, [make_name(9)])
                self.assertEqual(cell.platform.checker.starts, 2)

    def test_the_state_of_a_job_with_unreadable_progress_is_not_known(self) -> None:
        """Fails if such a request is an unexpected error, logged with each repetition."""
        cell = start_cell()
        cell.platform.put_bytes("progress", "routing", make_name(9), b"\x91" * NESTED + b"\x90")
        found = [cell.get_state("entry-0", "routing", make_name(9)) for _ in range(3)]
        cell.run(1.0)
        for (failure,) in found:
            self.assertIsInstance(failure.value, LavenderstallError)
        counters = cell.nodes["entry-0"].instance.metrics.counters
        self.assertLessEqual(counters["rows_unreadable"], 2)


class OwnerRowsTest(unittest.TestCase):
    """Rows of owners and rosters that can't be read."""

    ODD_VALUES = (b"", b"\x91" * NESTED + b"\x90", b"text")

    def test_an_unreadable_roster_leaves_its_pool_with_an_owner(self) -> None:
        """Fails if no instance can take the pool over, or a task is started twice."""
        for value in self.ODD_VALUES:
            for outage_s in (0.0, UNRECORDED_START_DELAY_S + 1.0):
                with self.subTest(value=value[:4], outage_s=outage_s):
                    cell = start_cell()
                    cell.submit("entry-0", "routing", make_name(1), [dict(LONG)])
                    cell.run(1.0)
                    cell.platform.store_mode = "silent" if outage_s else "up"
                    cell.run(outage_s)
                    owner = cell.find_owner("routing")
                    assert owner is not None
                    cell.platform.put_bytes("owners", "routing", "roster", value)
                    cell.kill(owner)
                    cell.platform.store_mode = "up"
                    cell.run(3.0)
                    self.assertIsNotNone(cell.find_owner("routing"))
                    cell.submit(next(iter(cell.nodes)), "routing", make_name(2), [dict(STEP)])
                    cell.run(25.0)
                    self.assertEqual(cell.platform.checker.list_unfinished(), [])
                    self.assertEqual(cell.platform.checker.violations, [])

    def test_an_unreadable_owner_row_leaves_its_pool_with_an_owner(self) -> None:
        """Fails if no instance claims such a pool, or a running task is started again."""
        for value in self.ODD_VALUES:
            for killed in (False, True):
                with self.subTest(value=value[:4], killed=killed):
                    cell = start_cell()
                    cell.submit("entry-0", "routing", make_name(1), [dict(LONG)])
                    cell.run(1.0)
                    cell.platform.put_bytes("owners", "routing", "owner", value)
                    owner = cell.find_owner("routing")
                    assert owner is not None
                    if killed:
                        cell.kill(owner)
                    cell.run(3.0)
                    self.assertIsNotNone(cell.find_owner("routing"))
                    cell.submit(next(iter(cell.nodes)), "routing", make_name(2), [dict(STEP)])
                    cell.run(6.0)
                    self.assertEqual(cell.platform.checker.list_unfinished(), [])
                    self.assertEqual(cell.platform.checker.violations, [])
                    self.assertEqual(cell.platform.checker.starts, LONG["count"] + STEP["count"])


class InstanceRowsTest(unittest.TestCase):
    """Rows of instances and of the operator that can't be read."""

    def test_an_odd_row_of_an_instance_hides_no_other_instance(self) -> None:
        """Fails if an instance is not found, or one that is alive is dropped, by one odd row."""
        sound = EntryRecord(EntryId("odd"), Incarnation("i"), "z0", "tcp://odd:1")
        odd_rows = {
            "nothing": b"",
            "nested": b"\x91" * NESTED + b"\x90",
            "nested field": b"\x81\xa5other" + b"\x91" * NESTED + b"\x90",
            "another name": encode(replace(sound, entry=EntryId("entry-0"))),
            "no link": encode(replace(sound, link="")),
            "no port": encode(replace(sound, link="tcp://odd:99999")),
            "power": encode(replace(sound, power=float("nan"))),
        }
        for name, value in odd_rows.items():
            for key in ("odd", "entry-1"):
                with self.subTest(name=name, key=key):
                    cell = start_cell()
                    cell.platform.put_bytes("entries", "", key, value)
                    cell.run(0.3)
                    cell.start("entry-3")
                    cell.run(1.0)
                    self.check_peers(cell, {"entry-3"} if key == "entry-1" else set())
                    # An instance that has come later learns of the other from its next row.
                    cell.run(RECORD_INTERVAL_S)
                    self.check_peers(cell, set())

    def check_peers(self, cell: SimulatedCell, left_out: set[str]) -> None:
        """Check that all instances, but for some, know each other."""
        for name in cell.nodes.keys() - left_out:
            peers = {str(peer) for peer in cell.nodes[name].instance.peers.peers}
            self.assertEqual(peers | {name}, set(cell.nodes))

    def test_a_configuration_that_cannot_be_read_leaves_the_last_one(self) -> None:
        """Fails if the instances stop following the configuration."""
        cell = start_cell()
        for number, value in enumerate(
            (NESTED_LISTS, b'{"version":9,"x":' + NESTED_LISTS + b"}", b"", b'{"version":1e999}')
        ):
            with self.subTest(value=value[:20]):
                cell.platform.put_bytes("op", "", "config", value)
                cell.platform.put_bytes("op", "", "other", value)
                cell.run(1.5)
                cell.put_settings(10 + number)
                cell.run(1.5)
                versions = {node.instance.settings.version for node in cell.nodes.values()}
                self.assertEqual(versions, {10 + number})
        run_jobs(self, cell)

    def test_rows_that_a_listener_fails_with_are_passed_to_it_again(self) -> None:
        """Fails if a configuration is not applied until the next one is written."""
        cell = start_cell()
        for node in cell.nodes.values():
            tracker = node.instance.settings_tracker
            decoder = tracker._decoder
            failures = [IndexError("an odd row")]

            def decode(
                value: bytes, before: Any, failures: Any = failures, decoder: Any = decoder
            ) -> Any:
                if failures:
                    raise failures.pop()
                return decoder.decode(value, before)

            tracker._decoder = SimpleNamespace(decode=decode)
        cell.put_settings(2)
        cell.run(3.0)
        versions = {node.instance.settings.version for node in cell.nodes.values()}
        self.assertEqual(versions, {2})


class PollTest(unittest.TestCase):
    """Answers of workers with rows that can't be read."""

    def test_odd_rows_of_a_worker_stop_no_other_run(self) -> None:
        """Fails if a run is lost or repeated, an end is not acknowledged, or polls end."""
        job = make_name(1)
        odd_rows: dict[str, list[Any]] = {
            "no task": [["odd", 1, "", 1, 0]],
            "nothing": [None, [], 7],
            "no such step": [[f"{job}.0.9.0", 1, "saved", 1, 0]],
            "no such occurrence": [[f"{job}.7.0.0", 1, "saved", 1, 0]],
            "no such index": [[f"{job}.0.0.5000", 1, "saved", 1, 0]],
            "figures": [[f"{job}.0.0.0", -1, "", 1, 0], ["a.0.0.0", 1, "", 10**400, 0]],
        }
        for name, rows in odd_rows.items():
            with self.subTest(name=name):
                cell = start_cell(workers=2)
                cell.submit("entry-0", "routing", job, [dict(LONG, count=2)])
                cell.run(1.0)
                worker = next(w for w in cell.platform.workers.values() if w.pool == "routing")
                worker.odd_running = rows
                worker.count += 1
                odd_end = [worker.count, str(rows[0])[:50], 1, "unknown", ""]
                worker.ended.append(odd_end)
                cell.run(4.0)
                self.assertEqual(cell.platform.checker.list_unfinished(), [])
                self.assertEqual(cell.platform.checker.violations, [])
                self.assertEqual(cell.platform.checker.starts, 2)
                self.assertNotIn(odd_end, worker.ended)
                worker.odd_running = []
                cell.submit("entry-0", "routing", make_name(2), [dict(STEP)])
                cell.run(3.0)
                self.assertEqual(cell.platform.checker.list_unfinished(), [])

    @given(st.data())
    @settings(max_examples=150, deadline=None)
    def test_any_answer_of_a_worker_leaves_its_pool_at_work(self, data: st.DataObject) -> None:
        """Fails if an answer that was read ends the polls or the dispatch of a pool."""
        entry = make_entry("w1")
        bench = Bench(entry)
        steps = (make_step(2, checkpointing=True), make_step(1, long_running=True, target_ms=5))
        bench.pool.add_job(make_job(*steps))
        orders = bench.start()
        bench.advance(0.1)
        seq = 0
        for _ in range(3):
            names = [
                f"{order.task.job}.0.{order.task.step}.{order.task.number}" for order in orders
            ]
            running = [
                [name, order.number, "c", 5, 7] for name, order in zip(names, orders, strict=True)
            ]
            seq += 1
            ended = [[seq, name, 1, "failed", "c"] for name in names[:1]]
            body = {"clockMs": bench.clock_ms(), "running": running, "finished": ended}
            sound = json.dumps(body).encode()
            changes = data.draw(
                st.dictionaries(st.integers(0, len(sound) - 1), st.integers(32, 126), max_size=3)
            )
            odd = bytes(changes.get(index, byte) for index, byte in enumerate(sound))
            try:
                answer = decode_status(odd, seq - 1, lambda *row: None)
            except UnreadableError:
                continue
            bench.pool.note_poll(WorkerKey("w1", 1), answer, bench.now)
            bench.advance(1.0)
            bench.start()
        bench.record()


class MessagesTest(unittest.TestCase):
    """Messages of other instances that can't be read, as of a later release."""

    def test_an_odd_message_costs_no_other_message_of_its_batch(self) -> None:
        """Fails if a later release's message hides the others that were sent with it."""
        sound = encode(make_job(make_step(), job=JobId(make_name(1)), queue=QueueName("q-routing")))
        odd_messages: dict[str, Any] = {
            "unknown kind": ["Later", 1],
            "no list": 7,
            "too short": ["CancelHint"],
            "odd field": ["EntryBeat", "z0", "soon"],
            "odd job": JobHint(ROUTING, b"\x91" * NESTED + b"\x90"),
        }
        for name, odd in odd_messages.items():
            with self.subTest(name=name):
                cell = start_cell()
                owner = cell.find_owner("routing")
                assert owner is not None
                peer = next(other for other in cell.nodes if other != owner)
                batch = [odd, JobHint(ROUTING, sound), odd]
                cell.deliver(peer, owner, msgspec.msgpack.encode([peer, "i", batch]))
                cell.run(0.1)
                pool = cell.nodes[owner].instance.owned_pools[ROUTING].pool
                self.assertIn(make_name(1), pool.jobs)
                counters = cell.nodes[owner].instance.metrics.counters
                self.assertEqual(counters["rows_unreadable"], 1)


class RandomFaultsTest(unittest.TestCase):
    """Random sequences of faults, among them rows that can't be read."""

    @settings(max_examples=8, deadline=None)
    @given(st.integers(0, 10_000))
    def test_no_promise_breaks_beside_odd_rows(self, seed: int) -> None:
        """Fails if a task is started twice or never, or against any other rule."""
        play(self, seed, ODD_FAULTS, recover)


def put_odd_row(cell: SimulatedCell, random: Random, live: list[str], frozen: list[str]) -> None:
    """Write a row that can't be read, over a sound one in some tables."""
    number = random.randrange(100)
    table, part, key = random.choice(
        (
            *(("owners", pool, key) for pool in POOLS for key in ("owner", "roster")),
            *((table, f"routing/{number % 8}", f"odd{number}") for table in ("jobs", "cancels")),
            ("progress", "vision", f"odd{number}"),
            ("entries", "", f"entry-{number % 4}"),
            (REGISTRY_TABLE, "", f"odd{number}"),
            *((REGISTRY_TABLE, "", worker.name) for worker in cell.platform.workers.values()),
        )
    )
    values = (b"", b"text", b"7", NESTED_LISTS, b"\x91" * NESTED + b"\x90")
    cell.platform.put_bytes(table, part, key, random.choice(values))


def report_odd_runs(
    cell: SimulatedCell, random: Random, live: list[str], frozen: list[str]
) -> None:
    """Let a worker report runs that can't be read, or none."""
    worker = random.choice(list(cell.platform.workers.values()))
    worker.odd_running = random.choice(([], [None], [["odd", 1, "", 1, 0]]))


def recover(cell: SimulatedCell) -> None:
    """Restore the entries and the answers of the workers."""
    for worker in cell.platform.workers.values():
        worker.odd_running = []
    cell.platform.register()


# Odd rows are about as frequent as all other faults together.
ODD_FAULTS = (*[put_odd_row] * 10, report_odd_runs)


if __name__ == "__main__":
    unittest.main()
