"""Tests of dispatch: the order of steps, the placement of tasks and requests for advice."""

import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstall.identifiers import JobId
from lavenderstall.pools.blocked_quota import MOST_BLOCKED
from lavenderstall.pools.dispatch import EXPLAIN_S
from lavenderstall.pools.effects import Refusal, RequestAdvice, RunStatus, StartRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.pool import MIN_BACKOFF_S
from lavenderstall.pools.waiting_steps import list_waiting_steps
from lavenderstall.pools.work import EndCause, QueueName, Settings, Step, Task
from lavenderstall.pools.workers import Worker, WorkerEntry
from lavenderstall.resources import NOTHING, Resources
from tests.pools.builders import (
    ADVISED,
    CAPACITY,
    JOB,
    POOL,
    QUEUE,
    Bench,
    allow,
    make_entry,
    make_job,
    make_queue,
    make_step,
)

LOW = QueueName("background")
OTHER = JobId("00000000000000b2")
steps = st.builds(
    make_step,
    st.integers(1, 6),
    need=st.builds(
        Resources,
        cores_milli=st.integers(0, 5000),
        memory_mb=st.integers(0, 20000),
        accelerators=st.integers(0, 9),
    ),
    gang=st.booleans(),
    best_effort=st.booleans(),
    long_running=st.booleans(),
    target_ms=st.sampled_from((0, 100)),
    max_per_worker=st.integers(0, 3),
    label=st.sampled_from(("", "a", "b")),
)


def starts(bench: Bench, advisers: int = 4) -> list[StartRun]:
    """Dispatch and return the starts."""
    return [effect for effect in bench.dispatch(advisers) if isinstance(effect, StartRun)]


class ExplanationTest(unittest.TestCase):
    """Log lines about steps that wait."""

    def test_the_log_tells_why_workers_are_set_aside(self) -> None:
        """Fails if the log can't tell workers that back off from silent or unknown ones."""
        backing_off, silent, unheard = (make_entry(name) for name in ("w1", "w2", "w3"))
        bench = Bench(backing_off, silent)
        bench.pool.set_workers([backing_off, silent, unheard])
        bench.pool.add_job(make_job())
        bench.pool.back_off(bench.pool.workers[WorkerKey("w1", 1)])
        bench.pool.note_unresponsive(WorkerKey("w2", 1), unreachable=True)
        bench.pool.workers[WorkerKey("w1", 1)].backoff_until += EXPLAIN_S
        bench.advance(EXPLAIN_S)
        with self.assertLogs("lavenderstall.pools.dispatch") as logs:
            bench.dispatch()
        (line,) = (vars(record) for record in logs.records)
        counts = {name: line[name] for name in ("usable", "unheard", "backing_off", "unresponsive")}
        self.assertEqual(counts, {"usable": 0, "unheard": 1, "backing_off": 1, "unresponsive": 1})


def back_off_for_long(bench: Bench, worker: Worker) -> None:
    """Let a worker back off again just after one of many backoffs."""
    worker.backoff_count, worker.backoff_until = 9, bench.now
    bench.pool.back_off(worker)


class LastingTaskTest(unittest.TestCase):
    """A task that lasts has lost its worker, and others have room for it."""

    def lose_task(self, bench: Bench, *entries: WorkerEntry, queue: QueueName = QUEUE) -> None:
        """Start a task that lasts, and let its worker report that it has failed."""
        queues = (bench.pool.settings.queues[0], make_queue(name=LOW, priority=5))
        bench.pool.set_settings(Settings(1, queues, frozenset(), frozenset({POOL})))
        bench.pool.add_job(make_job(make_step(long_running=True), queue=queue))
        (order,) = bench.start()
        entry = next(entry for entry in entries if entry.id == order.worker.id)
        bench.end(order, EndCause.FAILED, 1, entry)

    def test_a_task_that_lasts_does_not_wait_for_workers_that_back_off(self) -> None:
        """Fails if no worker is left to it, or one that has just failed is tried on and on."""
        for advising in (None, ADVISED):
            with self.subTest(advised=advising is not None):
                entries = (make_entry("w1"), make_entry("w2"))
                bench = Bench(*entries, queue=make_queue(advising=advising))
                if advising is not None:
                    bench.pool.add_job(make_job(make_step(long_running=True)))
                    allow(bench, bench.dispatch(), "w1", "w2", valid_ms=1e6)
                self.lose_task(bench, *entries)
                for worker in bench.pool.workers.values():
                    back_off_for_long(bench, worker)
                bench.advance(MIN_BACKOFF_S / 2)
                self.assertEqual(starts(bench), [])
                bench.advance(MIN_BACKOFF_S / 2)
                bench.pool.add_job(make_job(job=OTHER))
                (order,) = starts(bench)
                self.assertNotEqual(order.task.job, OTHER)
                bench.pool.note_refused(
                    order.worker, order.task, order.number, Refusal("unhealthy")
                )
                (again,) = starts(bench)
                self.assertNotEqual(again.worker, order.worker)

    def test_a_task_that_lasts_prefers_workers_that_do_not_back_off(self) -> None:
        entries = (make_entry("w1"), make_entry("w2"), make_entry("w3"))
        bench = Bench(*entries)
        self.lose_task(bench, *entries)
        for name in ("w1", "w2"):
            back_off_for_long(bench, bench.pool.workers[WorkerKey(name, 1)])
        bench.advance(MIN_BACKOFF_S)
        self.assertEqual([order.worker.id for order in starts(bench)], ["w3"])

    def test_a_task_that_lasts_does_not_wait_for_gangs(self) -> None:
        """Fails if capacity reserved for a gang stays free while the task is away."""
        first, second = make_entry("w1"), make_entry("w2")
        bench = Bench(first, second)
        need = Resources(cores_milli=2500, memory_mb=1000)
        bench.pool.add_job(make_job(make_step(1, need=need, expected_ms=60_000), job=OTHER))
        bench.start()
        self.lose_task(bench, first, second, queue=LOW)
        gang = make_step(2, need=need, gang=True)
        bench.pool.add_job(make_job(gang, job=JobId("00000000000000a0")))
        self.assertEqual([order.task.job for order in starts(bench)], [JOB])

    def test_a_task_that_lasts_does_not_wait_behind_blocked_steps(self) -> None:
        """Fails if steps that fit nowhere keep a dispatch from a task for which there is room."""
        bench = Bench(make_entry("w1"))
        for number in range(MOST_BLOCKED + 1):
            job = make_job(make_step(need=Resources(cores_milli=9000)), job=JobId(f"{number:016x}"))
            bench.pool.add_job(job)
        bench.advance(0.1)
        bench.pool.add_job(make_job(make_step(long_running=True)))
        self.assertEqual([order.task.job for order in starts(bench)], [JOB])


class BoundsTest(unittest.TestCase):
    """Limits that hold for random work."""

    @settings(deadline=None, max_examples=150)
    @given(st.lists(steps, min_size=1, max_size=8), st.integers(1, 4))
    def test_random_work_stays_within_limits(self, drawn: list[Step], workers: int) -> None:
        entries = [
            make_entry(f"w{n}", kind="ab"[n % 2], labels=("ab"[n % 2], "r1"))
            for n in range(workers)
        ]
        bench = Bench(*entries)
        for number, step in enumerate(drawn):
            bench.pool.add_job(make_job(step, job=f"{number:016x}"))  # type: ignore[arg-type]
        orders = starts(bench)
        for worker in bench.pool.workers.values():
            self.assertTrue(worker.used.fits(CAPACITY))
        per_worker: dict[tuple[str, str], int] = {}
        for order in orders:
            step = bench.pool.jobs[order.task.job].spec.steps[0]
            name = order.worker.id
            self.assertIn(step.label, ("", *bench.pool.workers[order.worker].entry.labels))
            per_worker[order.task.job, name] = per_worker.get((order.task.job, name), 0) + 1
            if step.max_per_worker:
                self.assertLessEqual(per_worker[order.task.job, name], step.max_per_worker)
        for job in bench.pool.jobs.values():
            started = sum(order.task.job == job.id for order in orders)
            if job.spec.steps[0].gang:
                self.assertIn(started, (0, job.spec.steps[0].count))
        self.assertFalse(self.find_interference(bench))

    def find_interference(self, bench: Bench) -> list[str]:
        """Return the workers that run both best-effort and latency-sensitive tasks."""
        mixed = []
        for worker in bench.pool.workers.values():
            found = [bench.pool.jobs[task.job].spec.steps[0] for task, _ in worker.runs]
            fills = any(step.best_effort for step in found)
            if fills and any(
                step.long_running and step.target_ms and not step.best_effort for step in found
            ):
                mixed.append(worker.key.id)
        return mixed


class OrderTest(unittest.TestCase):
    """The order in which waiting tasks start."""

    def test_order_is_expiry_then_priority_then_deadline(self) -> None:
        small = make_entry("w1", capacity=Resources(1000, 1000))
        urgent = make_queue(priority=0, name=QueueName("urgent"))
        usual = make_queue(priority=2)
        rows = (
            # (queue, age in s) of two jobs, and the index of the one that starts
            ((usual, 0.2), (urgent, 0.0), 1),
            ((usual, 0.2), (usual, 0.5), 1),
            ((urgent, 60.0), (usual, 0.0), 1),
        )
        for first, second, winner in rows:
            with self.subTest(first=first[0].name, winner=winner):
                bench = Bench(small)
                bench.pool.set_settings(
                    Settings(2, (urgent, usual), frozenset(), frozenset({POOL}))
                )
                for number, (queue, age) in enumerate((first, second)):
                    row = make_job(job=f"{number:016x}", queue=queue.name)  # type: ignore[arg-type]
                    bench.pool.add_job(row)
                    bench.pool.jobs[row.id].submitted_at -= age
                (order,) = starts(bench)
                self.assertEqual(order.task.job, f"{winner:016x}")

    def test_a_later_step_waits_for_the_earlier_one(self) -> None:
        entry = make_entry("w1")
        bench = Bench(entry)
        bench.pool.add_job(make_job(make_step(2), make_step(1, after=(0,))))
        first = bench.start()
        self.assertEqual({order.task.step for order in first}, {0})
        bench.end(first[0], EndCause.DONE, 1, entry)
        self.assertEqual(starts(bench), [])
        bench.end(first[1], EndCause.DONE, 2, entry)
        self.assertEqual([order.task.step for order in starts(bench)], [1])

    def test_long_tasks_do_not_start_on_workers_reserved_for_a_gang(self) -> None:
        entries = [make_entry("w1"), make_entry("w2")]
        bench = Bench(*entries)
        whole = Resources(accelerators=8)
        half = Resources(accelerators=5)
        bench.pool.add_job(make_job(make_step(need=half), job="0" * 16))  # type: ignore[arg-type]
        (running,) = bench.start()
        gang = make_step(2, need=whole, gang=True)
        bench.pool.add_job(make_job(gang, job="1" * 16))  # type: ignore[arg-type]
        bench.pool.jobs["1" * 16].submitted_at -= 1.0  # type: ignore[index]
        later = make_step(need=half, expected_ms=60_000)
        bench.pool.add_job(make_job(later, job="2" * 16))  # type: ignore[arg-type]
        self.assertEqual(starts(bench), [])
        bench.end(running, EndCause.DONE, 1, entries[0 if running.worker.id == "w1" else 1])
        self.assertEqual({order.task.job for order in starts(bench)}, {"1" * 16})

    def test_only_short_tasks_backfill_workers_reserved_for_a_gang(self) -> None:
        whole, half = Resources(accelerators=8), Resources(accelerators=4)
        for expected_ms, fits in ((500, True), (60_000, False)):
            with self.subTest(expected_ms=expected_ms):
                bench = Bench(make_entry("w1"), make_entry("w2"))
                long = make_step(need=half, expected_ms=5000)
                bench.pool.add_job(make_job(long, job="0" * 16))  # type: ignore[arg-type]
                bench.start()
                gang = make_step(2, need=whole, gang=True)
                bench.pool.add_job(make_job(gang, job="1" * 16))  # type: ignore[arg-type]
                bench.pool.jobs["1" * 16].submitted_at -= 100.0  # type: ignore[index]
                short = make_step(need=half, expected_ms=expected_ms)
                bench.pool.add_job(make_job(short, job="2" * 16))  # type: ignore[arg-type]
                bench.pool.jobs["1" * 16].submitted_at += 99.0  # type: ignore[index]
                jobs = {order.task.job for order in starts(bench)}
                self.assertEqual(jobs, {"2" * 16} if fits else set())

    def test_nothing_is_reserved_for_a_gang_that_cannot_fit(self) -> None:
        bench = Bench(make_entry("w1"))
        gang = make_step(2, need=Resources(accelerators=8), gang=True)
        bench.pool.add_job(make_job(gang, job="1" * 16))  # type: ignore[arg-type]
        bench.pool.jobs["1" * 16].submitted_at -= 1.0  # type: ignore[index]
        bench.pool.add_job(make_job(make_step(), job="2" * 16))  # type: ignore[arg-type]
        self.assertEqual({order.task.job for order in starts(bench)}, {"2" * 16})


class AdviceTest(unittest.TestCase):
    """Requests for advice on steps that need it."""

    def make_bench(self, count: int = 3) -> Bench:
        """Return a pool whose queue needs advice."""
        entries = [make_entry(f"w{n}") for n in range(count)]
        return Bench(*entries, queue=make_queue(advising=ADVISED))

    def test_a_step_starts_only_where_it_is_allowed(self) -> None:
        bench = self.make_bench()
        bench.pool.add_job(make_job(make_step(2)))
        effects = bench.dispatch()
        self.assertEqual([type(effect) for effect in effects], [RequestAdvice])
        allow(bench, effects, "w1")
        self.assertEqual({(o.worker.id, o.ticket) for o in starts(bench)}, {("w1", "t-w1")})

    def test_an_expired_ticket_is_requested_again_for_allowed_workers_only(self) -> None:
        bench = self.make_bench()
        bench.pool.add_job(make_job())
        allow(bench, bench.dispatch(), "w1", valid_ms=100.0)
        bench.advance(0.2)
        (request,) = bench.dispatch()
        assert isinstance(request, RequestAdvice)
        self.assertEqual(request.workers, ("w1",))

    def test_no_more_calls_than_idle_advisers_and_most_urgent_first(self) -> None:
        bench = self.make_bench()
        for number in range(5):
            row = make_job(job=f"{number:016x}")  # type: ignore[arg-type]
            bench.pool.add_job(row)
            bench.pool.jobs[row.id].submitted_at -= number * 0.5
        requests = [e for e in bench.dispatch(advisers=2) if isinstance(e, RequestAdvice)]
        self.assertEqual([request.step_key.job for request in requests], [f"{4:016x}", f"{3:016x}"])

    def test_reserved_capacity_causes_no_further_requests(self) -> None:
        bench = Bench(make_entry("w1"), queue=make_queue(advising=ADVISED))
        for number in range(3):
            whole = make_step(need=Resources(CAPACITY.cores_milli, 1))
            bench.pool.add_job(make_job(whole, job=f"{number:016x}"))  # type: ignore[arg-type]
        allow(bench, bench.dispatch(advisers=9), "w1", valid_ms=100.0)
        bench.advance(0.5)
        requests = [e for e in bench.dispatch(advisers=9) if isinstance(e, RequestAdvice)]
        self.assertEqual(len(requests), 1)

    def test_a_gang_without_capacity_requests_advice_once(self) -> None:
        bench = self.make_bench(2)
        whole = Resources(accelerators=8)
        bench.pool.add_job(make_job(make_step(2, need=whole, gang=True), job="1" * 16))  # type: ignore[arg-type]
        bench.poll(make_entry("w0"), [RunStatus(Task("9" * 16, 0, 0, 0), 1, "", 1.0)])  # type: ignore[arg-type]
        blocker = make_job(make_step(need=whole, expected_ms=9000), job="9" * 16)  # type: ignore[arg-type]
        bench.pool.add_job(blocker)
        worker = next(w for w in bench.pool.workers.values() if w.key.id == "w0")
        worker.used = whole
        allow(bench, bench.dispatch(), "w0", "w1", valid_ms=100.0)
        bench.advance(0.5)
        requested_jobs = [e.step_key.job for e in bench.dispatch() if isinstance(e, RequestAdvice)]
        self.assertNotIn("1" * 16, requested_jobs)

    def test_a_gang_that_cannot_fit_does_not_block_requests_of_others(self) -> None:
        bench = self.make_bench(2)
        gang = make_step(3, need=Resources(accelerators=8), gang=True)
        bench.pool.add_job(make_job(gang, job="1" * 16))  # type: ignore[arg-type]
        bench.pool.jobs["1" * 16].submitted_at -= 1.0  # type: ignore[index]
        bench.pool.add_job(make_job(make_step(need=Resources(accelerators=1)), job="2" * 16))  # type: ignore[arg-type]
        requested_jobs = [e.step_key.job for e in bench.dispatch() if isinstance(e, RequestAdvice)]
        self.assertIn("2" * 16, requested_jobs)

    def test_the_first_call_includes_workers_without_free_capacity(self) -> None:
        bench = self.make_bench(3)
        for worker in list(bench.pool.workers.values())[:2]:
            worker.used = CAPACITY
        bench.pool.add_job(make_job())
        (request,) = bench.dispatch()
        assert isinstance(request, RequestAdvice)
        self.assertEqual(set(request.workers), {"w0", "w1", "w2"})
        allow(bench, [request], "w0", valid_ms=100.0)
        bench.advance(0.5)
        self.assertEqual(bench.dispatch(), [])

    def test_a_failed_call_is_repeated(self) -> None:
        bench = self.make_bench()
        bench.pool.add_job(make_job())
        (request,) = bench.dispatch()
        assert isinstance(request, RequestAdvice)
        self.assertEqual(bench.dispatch(), [])
        bench.pool.note_advice_failed(request.step_key)
        self.assertEqual(len(bench.dispatch()), 1)

    def test_advice_on_the_next_step_is_prefetched(self) -> None:
        bench = self.make_bench()
        bench.pool.add_job(make_job(make_step(), make_step(1, after=(0,))))
        allow(bench, bench.dispatch(), "w0", "w1", "w2")
        bench.start()
        self.assertEqual(bench.dispatch(), [])
        bench.advance(0.5)
        (request,) = bench.dispatch()
        assert isinstance(request, RequestAdvice)
        self.assertEqual(request.step_key.step, 1)


class ChargeTest(unittest.TestCase):
    """Allocations of runs on their worker."""

    def test_best_effort_tasks_reserve_no_cores(self) -> None:
        step = make_step(best_effort=True, need=Resources(9000, 500, 1))
        self.assertEqual(step.allocation, Resources(memory_mb=500, accelerators=1))

    def test_all_allocations_are_released(self) -> None:
        entry = make_entry("w1")
        bench = Bench(entry)
        bench.pool.add_job(make_job(make_step(3)))
        for seq, order in enumerate(bench.start(), start=1):
            bench.end(order, EndCause.FAILED, seq, entry)
        (worker,) = bench.pool.workers.values()
        self.assertEqual(worker.used, NOTHING)


class DispatchCostTest(unittest.TestCase):
    """A burst of advised steps in a pool with many workers."""

    def test_an_advised_step_looks_only_at_workers_with_a_ticket(self) -> None:
        tickets = 5
        for workers in (50, 400):
            with self.subTest(workers=workers):
                entries = [make_entry(f"w{number:03}") for number in range(workers)]
                bench = Bench(*entries, queue=make_queue(advising=ADVISED))
                bench.pool.add_job(make_job(make_step(40)))
                allow(bench, bench.dispatch(), *(entry.id for entry in entries[:tickets]))
                placement = bench.dispatcher._placement
                with patch.object(
                    placement, "is_eligible", wraps=placement.is_eligible
                ) as eligible:
                    (waiting_step,) = list_waiting_steps(bench.pool)
                    placement.place(
                        waiting_step, list(range(40)), list(bench.pool.workers.values())
                    )
                self.assertLessEqual(eligible.call_count, tickets)


if __name__ == "__main__":
    unittest.main()
