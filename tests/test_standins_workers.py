"""Tests of the worker stand-in, whose truth log other tests rely on."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from lavenderstall.errors import (
    AnswerLostError,
    FencedError,
    PeerUnavailableError,
)
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    JobId,
    RequestId,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
)
from lavenderstall.protocol import (
    Kind,
    LeaseRequest,
    RefusalReason,
    TasksRequest,
    TaskStart,
    TaskState,
    TaskStop,
    TaskThrottle,
)
from lavenderstall.records import encode_row
from lavenderstall.resources import Resources
from standins.calls import Call, CallRefusedError, RequestState
from standins.cell import Cell, CellShape
from standins.faults import FaultRequest
from standins.truth import CallBegun, CallEnded, Left, TaskEnded
from standins.workers import Worker, WorkerShape

OWNER = EntryId("e1")
OTHER = EntryId("e2")
ROUTING = ServiceName("routing")
CAPACITY = Resources(cores_milli=4_000, memory_mb=8_000, slots=2, connections=4)
OWNERSHIP_S = 3.0
TASKS_S = 30.0


def get_result(deferred):
    """Return the present result of a deferred, or raise its error."""
    found: list = []
    deferred.addBoth(found.append)
    if not found:
        return None
    if hasattr(found[0], "raiseException"):
        found[0].raiseException()
    return found[0]


class WorkerCase(unittest.TestCase):
    """Lease a worker that serves one call service."""

    def setUp(self) -> None:
        self.clock = Clock()
        shape = WorkerShape(WorkerId("w1"), CAPACITY, "z1", "r1", services=[ROUTING])
        self.cell = Cell(CellShape(workers=[shape], zones={"z1": 0}), self.clock)
        self.worker: Worker = self.cell.workers[shape.id]
        self.cell.add_worker(self.worker, "http://127.0.0.1:1")
        self.lease()

    def lease(self, owner=OWNER, epoch=1000, known=0, acknowledged=(), local=False):
        """Claim or renew the worker."""
        leases = (int(OWNERSHIP_S * 1_000), int(TASKS_S * 1_000))
        names = [TaskId(name) for name in acknowledged]
        # An owner echoes the reading of an answer that it has just received.
        echo_ms = int(self.clock.seconds() * 1_000) + 1
        request = LeaseRequest(owner, Epoch(epoch), *leases, local, known, echo_ms, names)
        return self.worker.lease(request)

    def change(self, starts=(), stops=(), throttles=(), owner=OWNER, epoch=1000):
        """Send changes of tasks and return the results."""
        request = TasksRequest(owner, Epoch(epoch), list(starts), list(stops), list(throttles))
        return self.worker.change_tasks(request).results

    def start(self, name: str, cores_milli: int = 1_000, kind: Kind = Kind.BATCH, **payload):
        """Start a task and return its result."""
        raw = {key: encode_row(value) for key, value in payload.items()}
        resources = Resources(cores_milli=cores_milli)
        service = ROUTING if kind is Kind.SERVICE else ServiceName("")
        names = (TaskId(name), JobId("j"), TeamName("t"))
        return self.change([TaskStart(*names, kind, resources, service, True, raw)])[0]

    def stop(self, name: str, checkpoint: bool = False):
        """Stop a task and return its result."""
        return self.change(stops=[TaskStop(TaskId(name), "preempted", checkpoint)])[0]

    def make_call(self, request="q", idempotent=True, body=b"{}", **fields) -> Call:
        """Return a call that the worker accepts unless fields say otherwise."""
        fields = {"owner": OWNER, "epoch": Epoch(1000), "deadline_ms": 1_000} | fields
        service = fields.pop("service", ROUTING)
        names = {"request": RequestId(request), "attempt": AttemptId("a")}
        return Call(service=service, idempotent=idempotent, body=body, **names, **fields)

    def call(self, *arguments, **fields):
        """Send a call past the faults."""
        return self.worker.call(self.make_call(*arguments, **fields))

    def list_truth(self, kind: type) -> list:
        """Return the records of one type."""
        return [record for record in self.worker.truth.records if isinstance(record, kind)]

    def set_faults(self, **settings) -> None:
        """Set faults on the worker."""
        self.cell.apply(FaultRequest("worker/w1", settings))


class LeaseTest(WorkerCase):
    """Guards against two owners of one worker."""

    def test_epoch_rules(self) -> None:
        cases = (
            # seconds since the last renewal, owner, epoch, local, resulting epoch or none
            (0, OWNER, 1000, False, 1000),
            (0, OWNER, 1000, True, 1000),
            (0, OTHER, 1000, False, None),
            (0, OTHER, 999, False, None),
            (0, OWNER, 999, False, None),
            (0, OTHER, 2000, False, 2000),
            (2.9, OTHER, 1000, True, None),
            (3.0, OTHER, 1000, True, 1001),
            (3.0, OTHER, 0, True, 1001),
            (3.0, OTHER, 1000, False, None),
        )
        for seconds, owner, epoch, local, expected in cases:
            with self.subTest(seconds=seconds, owner=owner, epoch=epoch, local=local):
                self.setUp()
                self.clock.advance(seconds)
                if expected is None:
                    with self.assertRaises(FencedError) as caught:
                        self.lease(owner, epoch, local=local)
                    self.assertEqual(
                        (caught.exception.owner, caught.exception.epoch), (OWNER, 1000)
                    )
                else:
                    self.assertEqual(self.lease(owner, epoch, local=local).epoch, expected)
                    self.assertEqual(self.worker.owner, owner)

    def test_local_takeover_does_not_reach_the_next_term(self) -> None:
        self.lease(epoch=1999)
        self.clock.advance(OWNERSHIP_S)
        with self.assertRaises(FencedError):
            self.lease(OTHER, local=True)

    def test_messages_of_another_owner_or_epoch_are_fenced(self) -> None:
        for owner, epoch in ((OTHER, 1000), (OWNER, 999), (OWNER, 1001)):
            with self.subTest(owner=owner, epoch=epoch):
                with self.assertRaises(FencedError):
                    self.change(owner=owner, epoch=epoch)
                with self.assertRaises(FencedError):
                    self.call(owner=owner, epoch=Epoch(epoch))
                with self.assertRaises(FencedError):
                    self.worker.void(RequestId("q"), owner, Epoch(epoch))
        self.assertFalse(self.list_truth(CallBegun))

    def test_tasks_stop_when_their_lease_lapses(self) -> None:
        self.start("j.0", run_ms=100_000)
        self.clock.advance(20)
        self.lease()
        self.clock.advance(29.9)
        self.assertFalse(self.list_truth(TaskEnded))
        self.clock.advance(0.2)
        self.assertEqual(self.list_truth(TaskEnded)[0].detail, "task lease lapsed")
        self.assertIs(self.start("j.1").reason, RefusalReason.EXPIRED)

    def test_pause_past_the_lease_stops_tasks_before_anything_else(self) -> None:
        self.start("j.0", run_ms=1_000)
        self.set_faults(paused=True)
        answer = self.worker.reach(self.lease)
        self.clock.advance(40)
        self.assertFalse(answer.called or self.list_truth(TaskEnded))
        self.set_faults(paused=False)
        self.assertEqual(get_result(answer).finished[0].state, TaskState.CANCELLED)

    def test_task_does_not_end_as_done_after_a_pause_past_the_lease(self) -> None:
        self.start("j.0", run_ms=1_000)
        self.set_faults(paused=True)
        self.clock.advance(40)
        self.set_faults(paused=False)
        self.assertIs(self.list_truth(TaskEnded)[0].state, TaskState.CANCELLED)

    def test_foreign_calls_are_counted(self) -> None:
        self.call(body=b'{"run_ms":5000}')
        self.assertEqual(self.lease().foreign_calls, 0)
        self.assertEqual(self.lease(OTHER, 2000).foreign_calls, 1)
        self.clock.advance(5)
        self.assertEqual(self.lease(OTHER, 2000).foreign_calls, 0)


class TasksTest(WorkerCase):
    """Guards against starts that a real worker refuses and reports that are lost."""

    def test_refused_starts(self) -> None:
        self.start("j.0", run_ms=50)
        self.clock.advance(0.1)
        self.start("j.1", run_ms=9_000)
        self.stop("j.2")
        cases = (
            ("j.0", 1_000, RefusalReason.DUPLICATE),
            ("j.1", 1_000, RefusalReason.DUPLICATE),
            ("j.2", 1_000, RefusalReason.CANCELLED),
            ("j.3", 3_001, RefusalReason.FULL),
        )
        for name, cores, reason in cases:
            with self.subTest(name):
                self.assertIs(self.start(name, cores).reason, reason)
        self.assertTrue(self.start("j.4", 3_000).accepted)
        self.set_faults(leaving=True)
        self.assertIs(self.start("j.5", 0).reason, RefusalReason.LEAVING)
        self.assertEqual(self.worker.truth.peak_allocated.cores_milli, 4_000)

    def test_ends(self) -> None:
        self.start("j.0", run_ms=100)
        self.start("j.1", run_ms=100, fail=True)
        self.start("j.2", kind=Kind.SERVICE)
        self.clock.advance(3)
        self.stop("j.2", checkpoint=True)
        states = {report.task: report.state for report in self.lease().finished}
        expected = (TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED)
        self.assertEqual(tuple(states[f"j.{index}"] for index in range(3)), expected)
        self.assertIn("checkpoint at 3000 ms", self.lease().finished[2].detail)
        self.assertEqual(len(self.lease(acknowledged=["j.0", "j.1"]).finished), 1)

    def test_stopping_task_keeps_its_resources(self) -> None:
        self.worker.shape.stop_s = 1.0
        self.start("j.0", 4_000, run_ms=9_000)
        self.stop("j.0")
        self.assertIs(self.start("j.1").reason, RefusalReason.FULL)
        self.assertIs(self.lease().tasks[0].state, TaskState.STOPPING)
        self.clock.advance(1)
        self.assertTrue(self.start("j.2").accepted)

    def test_usage_lags_and_follows_a_throttle(self) -> None:
        self.start("j.0", run_ms=60_000, use_cores_milli=3_000, use_memory_mb=9_000)
        lag_s = self.worker.shape.usage_lag_s
        self.assertEqual(self.lease().tasks[0].used.cores_milli, 0)
        self.clock.advance(lag_s)
        used = self.lease().tasks[0].used
        self.assertEqual((used.cores_milli, used.memory_mb), (3_000, 9_000))
        self.change(throttles=[TaskThrottle(TaskId("j.0"), 500)])
        self.assertEqual(self.lease().tasks[0].used.cores_milli, 3_000)
        self.clock.advance(lag_s)
        self.assertEqual(self.lease().tasks[0].used.cores_milli, 500)
        self.assertEqual(self.worker.truth.peak_used.memory_mb, 9_000)

    def test_worker_that_fails_everything(self) -> None:
        self.set_faults(fail_starts=True)
        self.assertTrue(self.start("j.0", run_ms=9_000).accepted)
        self.clock.advance(0.1)
        self.assertIs(self.lease().finished[0].state, TaskState.FAILED)

    def test_slow_worker(self) -> None:
        self.set_faults(slow=10.0)
        self.start("j.0", run_ms=100)
        self.clock.advance(0.9)
        self.assertFalse(self.list_truth(TaskEnded))
        self.clock.advance(0.2)
        self.assertTrue(self.list_truth(TaskEnded))

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("start"), st.integers(0, 3), st.sampled_from([100, 9_000])),
                st.tuples(st.just("stop"), st.integers(0, 3)),
                st.tuples(st.just("run"), st.sampled_from([0.05, 1.0, 6.0])),
                st.tuples(st.just("renew"), st.booleans()),
                st.tuples(st.just("crash")),
            ),
            max_size=40,
        )
    )
    def test_deltas_add_up_to_the_full_inventory(self, actions) -> None:
        """Guard against a delta that leaves out a change, also when an answer is lost."""
        self.setUp()
        mirror: dict = {}
        finished: dict = {}
        known = 0
        for action, *values in [*actions, ("renew", True)]:
            match action:
                case "start":
                    self.start(f"j.{values[0]}", run_ms=values[1])
                case "stop":
                    self.stop(f"j.{values[0]}")
                case "run":
                    self.clock.advance(values[0])
                case "crash":
                    self.worker.crash()
                    self.lease()
                case "renew":
                    answer = self.lease(known=known)
                    if not values[0]:
                        continue
                    if answer.full:
                        mirror, finished = {}, {}
                    finished.update({report.task: report for report in answer.finished})
                    for name in answer.removed:
                        mirror.pop(name, None)
                    mirror.update({report.task: report for report in answer.tasks})
                    known = answer.sequence
            allocated = self.worker.inventory.allocated
            self.assertTrue(allocated.fits(CAPACITY))
        answer = self.lease()
        self.assertEqual(finished, {report.task: report for report in answer.finished})
        full = {report.task: report for report in answer.tasks}
        pairs = [(name, report.state, report.used) for name, report in sorted(full.items())]
        seen = [(name, report.state, report.used) for name, report in sorted(mirror.items())]
        self.assertEqual(seen, pairs)

    def test_inventory_of_another_incarnation_is_full(self) -> None:
        self.start("j.0", run_ms=9_000)
        known = self.lease().sequence
        self.assertFalse(self.lease(known=known).full)
        self.worker.crash()
        answer = self.lease(known=known)
        self.assertEqual((answer.full, answer.tasks), (True, []))
        # The answer above may be lost, so that the owner repeats the number it knows.
        for index in range(3):
            self.start(f"k.{index}")
        self.assertTrue(self.lease(known=known).full)
        self.assertIs(self.list_truth(TaskEnded)[0].state, TaskState.UNKNOWN)


class CallsTest(WorkerCase):
    """Guards against calls that run twice, unseen, or beyond the slots."""

    def test_refused_calls(self) -> None:
        cases = (
            ({"deadline_ms": 0}, RefusalReason.EXPIRED),
            ({"service": ServiceName("vision")}, RefusalReason.NO_REPLICA),
            ({"incarnation": Incarnation("w1.9")}, RefusalReason.INCARNATION),
        )
        for fields, reason in cases:
            self.check_refused(reason, **fields)
        for _ in range(CAPACITY.slots):
            self.call()
        self.check_refused(RefusalReason.FULL)
        self.clock.advance(1)
        self.set_faults(leaving=True)
        self.check_refused(RefusalReason.LEAVING)
        self.assertEqual(len(self.list_truth(CallBegun)), CAPACITY.slots)
        self.assertEqual(self.worker.truth.peak_used.slots, CAPACITY.slots)
        self.assertEqual(self.list_truth(Left)[0].at, 1.0)

    def check_refused(self, reason: RefusalReason, **fields) -> None:
        """Check that a call is refused for a reason."""
        with self.subTest(reason=reason), self.assertRaises(CallRefusedError) as caught:
            self.call(**fields)
        self.assertIs(caught.exception.reason, reason)

    def test_replica_task_makes_a_service_available(self) -> None:
        self.worker.shape.services.clear()
        self.check_refused(RefusalReason.NO_REPLICA)
        self.start("j.0", kind=Kind.SERVICE)
        self.call()
        self.stop("j.0")
        self.check_refused(RefusalReason.NO_REPLICA)

    def test_non_idempotent_request_runs_once(self) -> None:
        first = self.call("q", False)
        second = self.call("q", False)
        self.assertFalse(second.called)
        self.clock.advance(1)
        third = self.call("q", False)
        answers = [get_result(answer) for answer in (first, second, third)]
        self.assertEqual(answers, answers[:1] * 3)
        self.assertEqual(len(self.list_truth(CallBegun)), 1)
        self.assertEqual(self.worker.void(RequestId("q"), OWNER, Epoch(1000)), RequestState.DONE)

    def test_failed_answer_of_a_non_idempotent_request_is_kept(self) -> None:
        answers = [self.call("q", False, b'{"fail":true}')]
        self.clock.advance(1)
        answers.append(self.call("q", False, b'{"fail":true}'))
        self.assertEqual([get_result(answer).status for answer in answers], [500, 500])

    def test_idempotent_request_runs_each_time(self) -> None:
        for _ in range(2):
            self.call()
        self.assertEqual(len(self.list_truth(CallBegun)), 2)

    def test_void_is_final(self) -> None:
        self.assertEqual(self.worker.void(RequestId("q"), OWNER, Epoch(1000)), RequestState.VOID)
        self.check_refused(RefusalReason.VOID, request="q", idempotent=False)
        self.call("r", False)
        self.assertEqual(self.worker.void(RequestId("r"), OWNER, Epoch(1000)), RequestState.RUNNING)

    def test_faults_of_the_way(self) -> None:
        self.set_faults(truncate_next=1, answer_delay_s=2.0)
        answer = self.worker.reach_call(self.make_call())
        self.clock.advance(1.5)
        self.assertFalse(answer.called)
        self.clock.advance(2)
        cut = get_result(answer)
        self.assertLess(len(cut.body), cut.length)
        lost = self.worker.reach_call(self.make_call())
        self.set_faults(cut_off=True)
        self.clock.advance(1)
        with self.assertRaises(AnswerLostError):
            get_result(lost)
        with self.assertRaises(PeerUnavailableError):
            get_result(self.worker.reach_call(self.make_call()))

    def test_crash_loses_calls_and_what_a_pause_holds_back(self) -> None:
        running = self.worker.reach_call(self.make_call())
        self.set_faults(paused=True)
        held = self.worker.reach_call(self.make_call())
        self.worker.crash()
        for answer in (running, held):
            with self.assertRaises(AnswerLostError):
                get_result(answer)
        self.set_faults(paused=False)
        self.clock.advance(1)
        self.assertEqual([record.outcome for record in self.list_truth(CallEnded)], ["lost"])

    def test_timer_of_a_lost_task_does_not_end_its_successor(self) -> None:
        self.start("j.0", run_ms=1_000)
        self.clock.advance(0.5)
        self.worker.crash()
        self.lease()
        self.start("j.0", run_ms=1_000)
        self.clock.advance(0.6)
        self.assertEqual(len(self.lease().tasks), 1)
