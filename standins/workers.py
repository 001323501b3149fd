"""In-memory worker with leases, tasks, calls and faults."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from lavenderstall.clocks import Clock, call_after
from lavenderstall.errors import AnswerLostError, FencedError, PeerUnavailableError
from lavenderstall.identifiers import (
    EPOCHS_PER_TERM,
    EntryId,
    Epoch,
    Incarnation,
    RequestId,
)
from lavenderstall.protocol import (
    Kind,
    LeaseAnswer,
    LeaseRequest,
    RefusalReason,
    TaskResult,
    TasksAnswer,
    TasksRequest,
    TaskStart,
    TaskState,
    TaskStop,
    TaskThrottle,
)
from lavenderstall.resources import Resources
from standins.calls import (
    Call,
    CallAnswer,
    CallBook,
    CallRefusedError,
    RequestRecord,
    RequestState,
    make_answer,
)
from standins.faults import WorkerFaults
from standins.shapes import WorkerShape
from standins.tasks import Inventory, Task, read_payload
from standins.truth import (
    Crashed,
    Left,
    TaskEnded,
    TaskStarted,
    Truth,
    WorkRefused,
    make_call_begun,
    make_call_ended,
)

T = TypeVar("T")

# A worker that fails every task ends each one this long after its start.
FAIL_AFTER_S = 0.01
# Sequence numbers of two incarnations never overlap, so that `known` of an earlier incarnation
# leads to a full inventory.
SEQUENCE_STRIDE = 1_000_000_000
ANY_INCARNATION = Incarnation("")


class Worker:
    """Run tasks and calls for the owner that holds its lease.

    `lease`, `change_tasks`, `call` and `void` answer at once and ignore the faults of the way
    to the worker; `reach` applies these faults to any of them. `FencedError` tells the owner
    and epoch that the worker obeys.
    """

    def __init__(self, shape: WorkerShape, clock: Clock) -> None:
        self.shape = shape
        self._clock = clock
        self.faults = WorkerFaults()
        self.truth = Truth(shape.id, shape.capacity)
        self._held: list[Callable[[], None]] = []
        self._held_answers: list[Deferred] = []
        self._generation = 0
        self._restart()

    def _restart(self) -> None:
        """Begin a new incarnation without any state of the last one."""
        self._generation += 1
        self.incarnation = Incarnation(f"{self.shape.id}.{self._generation}")
        self.owner = EntryId("")
        self.epoch = Epoch(0)
        self._ownership_until = 0.0
        self._tasks_until = 0.0
        self._watching = False
        self.inventory = Inventory(self._generation * SEQUENCE_STRIDE)
        self.calls = CallBook()

    # Faults

    def set_faults(self, faults: WorkerFaults) -> None:
        """Replace the faults; work held back by a pause goes on when it ends."""
        was, self.faults = self.faults, faults
        if faults.leaving and not was.leaving:
            self.truth.records.append(Left(self._clock.seconds()))
        if was.paused and not faults.paused:
            self._check_lease()
            held, self._held = self._held, []
            self._held_answers = []
            for function in held:
                function()

    def crash(self) -> None:
        """Lose everything and come back as a new incarnation."""
        now = self._clock.seconds()
        for task in list(self.inventory.tasks.values()):
            self._log_end(task, TaskState.UNKNOWN, "crash")
        lost: list[Deferred] = [*self.calls.answers.values(), *self._held_answers]
        for call in self.calls.running.values():
            self._log_call_end(call, "lost")
        for record in self.calls.records.values():
            lost.extend(record.waiting)
        self._held, self._held_answers = [], []
        self._restart()
        self.truth.records.append(Crashed(now, self.incarnation))
        for answer in lost:
            answer.errback(AnswerLostError("worker crashed", step="call", peer=self.shape.id))

    def reach(self, action: Callable[[], T | Deferred[T]]) -> Deferred[T]:
        """Run an action as a message would: refused when cut off, held back during a pause.

        Fails with `PeerUnavailableError` if nothing was sent and with `AnswerLostError` if the
        answer does not come back.
        """
        answer: Deferred[T] = Deferred()
        if self.faults.cut_off:
            answer.errback(
                PeerUnavailableError("worker is cut off", step="send", peer=self.shape.id)
            )
            return answer

        def run() -> None:
            done = maybeDeferred(action)
            done.addCallbacks(
                lambda result: self._respond(answer, result),
                lambda failure: self._respond(answer, failure),
            )

        if self.faults.paused:
            self._held.append(run)
            self._held_answers.append(answer)
        else:
            run()
        return answer

    def reach_call(self, call: Call) -> Deferred[CallAnswer]:
        """Send a call as `reach` does; its answer can be cut in the middle."""
        answer: Deferred[CallAnswer] = self.reach(lambda: self.call(call))
        return answer.addCallback(self._spoil)

    def _respond(self, answer: Deferred[T], result: T | Failure) -> None:
        """Answer after the delay that is set as a fault, unless the worker is cut off."""
        if self.faults.cut_off:
            error = AnswerLostError("worker is cut off", step="answer", peer=self.shape.id)
            answer.errback(error)
        else:
            call_after(self._clock, self.faults.answer_delay_s, answer.callback, result)

    def _spoil(self, answer: CallAnswer) -> CallAnswer:
        """Cut the body of an answer in the middle if a fault asks for it."""
        if self.faults.truncate_next <= 0:
            return answer
        self.faults.truncate_next -= 1
        return msgspec.structs.replace(answer, body=answer.body[: len(answer.body) // 2])

    # Leases

    def lease(self, request: LeaseRequest) -> LeaseAnswer:
        """Claim or renew the worker and return its inventory."""
        self._check_lease()
        same = request.owner == self.owner and request.epoch == self.epoch
        if not same:
            self._claim(request)
        now = self._clock.seconds()
        self._ownership_until = now + request.ownership_ms / 1_000
        self._extend_tasks(request, now, claimed=not same)
        if not self._watching:
            self._watch_lease()
        self.inventory.acknowledge(request.acknowledged)
        full = not (same and request.known and self.inventory.can_tell_since(request.known))
        known = 0 if full else request.known
        return LeaseAnswer(
            worker=self.shape.id,
            incarnation=self.incarnation,
            epoch=self.epoch,
            capacity=self.shape.capacity,
            sequence=self.inventory.sequence,
            full=full,
            clock_ms=int(now * 1_000) + 1,
            leaving=self.faults.leaving,
            tasks=self.inventory.list_tasks(known, now),
            finished=self.inventory.list_finished(known),
            removed=[] if full else self.inventory.list_removed(known),
            foreign_calls=self.calls.count_foreign(self.owner, self.epoch),
        )

    def _extend_tasks(self, request: LeaseRequest, now: float, *, claimed: bool) -> None:
        """Extend the task lease from the reading that the owner echoes.

        A claim echoes nothing. It starts a lease only where no task runs, since a claim that was
        delayed must not keep tasks alive that their owner counts as lapsed.
        """
        start = request.echo_ms / 1_000
        if not request.echo_ms:
            start = now if claimed and not self.inventory.tasks else 0.0
        self._tasks_until = max(self._tasks_until, start + request.tasks_ms / 1_000)

    def _claim(self, request: LeaseRequest) -> None:
        """Take a new owner, or raise an error if the epoch does not allow it."""
        if request.local:
            lapsed = self._clock.seconds() >= self._ownership_until
            # The last epoch of a term is not exceeded, because the next one is a table term.
            if not lapsed or self.epoch % EPOCHS_PER_TERM == EPOCHS_PER_TERM - 1:
                raise self._make_fenced("lease")
            self.epoch = Epoch(self.epoch + 1)
        else:
            if request.epoch <= self.epoch:
                raise self._make_fenced("lease")
            self.epoch = request.epoch
        self.owner = request.owner

    def _check_sender(self, owner: EntryId, epoch: Epoch, step: str) -> None:
        """Raise an error unless the sender holds the worker at its present epoch."""
        if owner != self.owner or epoch != self.epoch:
            raise self._make_fenced(step)

    def _make_fenced(self, step: str) -> FencedError:
        """Return the error that names the present owner and epoch."""
        return FencedError(
            "another owner or epoch holds the worker",
            step=step,
            peer=self.shape.id,
            epoch=self.epoch,
            owner=self.owner,
        )

    def _check_lease(self) -> None:
        """Stop all tasks if the task lease has lapsed."""
        if self._clock.seconds() < self._tasks_until:
            return
        for task in list(self.inventory.tasks.values()):
            self._end(task, TaskState.CANCELLED, "task lease lapsed")

    def _watch_lease(self) -> None:
        """Check the task lease when it ends; renewals in between need no timer of their own."""
        remaining = self._tasks_until - self._clock.seconds()
        self._watching = remaining > 0
        if self._watching:
            self._later(remaining, self._watch_lease)
        else:
            self._check_lease()

    def _later(self, delay: float, function: Callable[..., None], *arguments: object) -> None:
        """Call a function after a delay, after any pause, and never after a crash."""
        generation = self._generation

        def fire() -> None:
            if generation != self._generation:
                return
            if self.faults.paused:
                self._held.append(fire)
            else:
                function(*arguments)

        self._clock.callLater(delay, fire)

    # Tasks

    def change_tasks(self, request: TasksRequest) -> TasksAnswer:
        """Apply starts, stops and throttles in this order."""
        self._check_lease()
        self._check_sender(request.owner, request.epoch, "tasks")
        if request.incarnation not in {"", self.incarnation}:
            raise self._make_fenced("tasks")
        results = [self._start(start) for start in request.starts]
        results += [self._stop(stop) for stop in request.stops]
        results += [self._throttle(throttle) for throttle in request.throttles]
        return TasksAnswer(results)

    def _find_refusal(self, start: TaskStart) -> tuple[RefusalReason, str] | None:
        """Return why a task cannot start, or none if it can."""
        if start.task in self.inventory.stopped:
            return RefusalReason.CANCELLED, "stopped before"
        if start.task in self.inventory.seen:
            running = self.inventory.tasks.get(start.task)
            return RefusalReason.DUPLICATE, running.state.value if running else "ran before"
        if self.faults.leaving:
            return RefusalReason.LEAVING, ""
        # A start that arrives after the task lease lapsed may have been placed elsewhere.
        if self._clock.seconds() >= self._tasks_until:
            return RefusalReason.EXPIRED, "task lease lapsed"
        shortages = start.resources.find_shortages(
            self.shape.capacity.subtract(self.inventory.allocated)
        )
        return (RefusalReason.FULL, ", ".join(shortages)) if shortages else None

    def _start(self, start: TaskStart) -> TaskResult:
        """Start a task unless it has to be refused."""
        refusal = self._find_refusal(start)
        if refusal:
            self._log_refusal(start.task, refusal[0])
            return TaskResult(start.task, False, *refusal)
        now = self._clock.seconds()
        task = Task(start, now)
        self.inventory.add(task)
        self.truth.records.append(
            TaskStarted(
                now,
                self.incarnation,
                start.task,
                start.job,
                start.resources,
                start.idempotent,
                self.owner,
                self.epoch,
            )
        )
        self._note_use()
        self._later(self.shape.usage_lag_s, self._report_use, task)
        if task.payload.crash_ms is not None:
            self._later(task.payload.crash_ms / 1_000, self.crash)
        if self.faults.fail_starts:
            self._later(FAIL_AFTER_S, self._finish, task, True)
        elif task.run_ms is not None:
            seconds = task.run_ms * self.faults.slow / 1_000
            self._later(seconds, self._finish, task, task.payload.fail)
        return TaskResult(start.task, True)

    def _stop(self, stop: TaskStop) -> TaskResult:
        """Stop a task; one that has not started is refused when it arrives."""
        self.inventory.stopped.add(stop.task)
        task = self.inventory.tasks.get(stop.task)
        if task is None:
            return TaskResult(stop.task, True, None, "not running")
        if task.state is TaskState.STOPPING:
            return TaskResult(stop.task, True, None, "stopping")
        detail = stop.reason
        if stop.checkpoint:
            age_ms = int((self._clock.seconds() - task.started_at) * 1_000)
            detail = f"{stop.reason}; checkpoint at {age_ms} ms"
        if self.shape.stop_s > 0:
            task.state = TaskState.STOPPING
            self.inventory.touch(task)
            self._later(self.shape.stop_s, self._end, task, TaskState.CANCELLED, detail)
        else:
            self._end(task, TaskState.CANCELLED, detail)
        return TaskResult(stop.task, True, None, detail)

    def _throttle(self, throttle: TaskThrottle) -> TaskResult:
        """Hold a task to a share of cores."""
        task = self.inventory.tasks.get(throttle.task)
        if task is None:
            return TaskResult(throttle.task, False, None, "not running")
        self.inventory.limit_cores(task, throttle.cores_milli)
        self._later(self.shape.usage_lag_s, self._report_use, task)
        return TaskResult(throttle.task, True)

    def _finish(self, task: Task, fail: bool) -> None:
        """End a task that ran to its end."""
        if task.state is TaskState.RUNNING:
            self._end(task, TaskState.FAILED if fail else TaskState.DONE, "")

    def _end(self, task: Task, state: TaskState, detail: str) -> None:
        """End a task that still occupies resources."""
        if task.start.task not in self.inventory.tasks:
            return
        task.state = state
        self.inventory.finish(task, self._clock.seconds(), detail)
        self._log_end(task, state, detail)

    def _report_use(self, task: Task) -> None:
        """Let the lagging measurement catch up with the use."""
        if task.start.task in self.inventory.tasks and task.reported != task.used:
            task.reported = task.used
            self.inventory.touch(task)

    def _note_use(self) -> None:
        """Raise the peaks; slots and connections are those of calls or of tasks."""
        running = Resources(slots=len(self.calls.running), connections=self.calls.connections)
        allocated = self.inventory.allocated
        self.truth.note_use(allocated, self.inventory.used)
        self.truth.note_use(running, running)

    def _log_end(self, task: Task, state: TaskState, detail: str) -> None:
        """Add the end of a task to the truth log."""
        start = task.start
        now = self._clock.seconds()
        self.truth.records.append(
            TaskEnded(now, self.incarnation, start.task, start.resources, state, detail)
        )

    def _log_refusal(self, work: str, reason: RefusalReason) -> None:
        """Add work that was not run to the truth log."""
        now = self._clock.seconds()
        self.truth.records.append(WorkRefused(now, self.incarnation, work, reason))

    # Calls

    def call(self, call: Call) -> Deferred[CallAnswer]:
        """Run a call; raise `FencedError` or `CallRefusedError` if it is not run."""
        self._check_lease()
        self._check_sender(call.owner, call.epoch, "call")
        self._check_incarnation(call.incarnation)
        record = None if call.idempotent else self.calls.records.get(call.request)
        if record and record.state is RequestState.VOID:
            raise CallRefusedError(RefusalReason.VOID, "request was made void")
        if record:
            return record.wait()
        try:
            self._check_call(call)
        except CallRefusedError as error:
            self._log_refusal(call.request, error.reason)
            raise
        return self._begin(call)

    def void(
        self,
        request: RequestId,
        owner: EntryId,
        epoch: Epoch,
        incarnation: Incarnation = ANY_INCARNATION,
    ) -> RequestState:
        """Make a request that has not run void for good; return its state."""
        self._check_sender(owner, epoch, "void")
        self._check_incarnation(incarnation)
        return self.calls.void(request)

    def _check_incarnation(self, wanted: Incarnation) -> None:
        """Raise an error if a message is meant for an earlier incarnation."""
        if wanted and wanted != self.incarnation:
            raise CallRefusedError(RefusalReason.INCARNATION, f"worker is {self.incarnation}")

    def _check_call(self, call: Call) -> None:
        """Raise an error if a call cannot begin."""
        if self.faults.leaving:
            raise CallRefusedError(RefusalReason.LEAVING)
        if call.deadline_ms <= 0:
            raise CallRefusedError(RefusalReason.EXPIRED, "deadline has passed")
        replicas = [
            task
            for task in self.inventory.tasks.values()
            if task.start.kind is Kind.SERVICE
            and task.start.service == call.service
            and task.state is TaskState.RUNNING
        ]
        if not replicas and call.service not in self.shape.services:
            raise CallRefusedError(RefusalReason.NO_REPLICA, f"no replica of {call.service}")
        capacity = self.shape.capacity
        if len(self.calls.running) >= capacity.slots:
            raise CallRefusedError(RefusalReason.FULL, "no free slot")
        if self.calls.connections >= capacity.connections:
            raise CallRefusedError(RefusalReason.FULL, "no free connection")
        slots = sum(task.start.resources.slots for task in replicas)
        if slots and self.calls.count_service(call.service) >= slots:
            raise CallRefusedError(RefusalReason.FULL, "no free slot of a replica")

    def _begin(self, call: Call) -> Deferred[CallAnswer]:
        """Begin a call that was not refused."""
        now = self._clock.seconds()
        number, answer = self.calls.begin(call)
        self.calls.connections += 1
        if not call.idempotent:
            self.calls.records[call.request] = RequestRecord(RequestState.RUNNING)
        self.truth.records.append(make_call_begun(now, self.incarnation, call))
        self._note_use()
        payload = read_payload(call.body)
        if payload.crash_ms is not None:
            self._later(payload.crash_ms / 1_000, self.crash)
        run_ms = self.shape.call_ms if payload.run_ms is None else payload.run_ms
        self._later(run_ms * self.faults.slow / 1_000, self._end_call, number, payload.fail)
        return answer

    def _end_call(self, number: int, fail: bool) -> None:
        """End a call and give its answer to all that wait for it."""
        call = self.calls.running[number]
        deferred = self.calls.end(number)
        self.calls.connections -= 1
        answer = make_answer(call, self.shape.id, self.incarnation, fail)
        self._log_call_end(call, "failed" if fail else "done")
        if not call.idempotent:
            self.calls.records[call.request].finish(answer)
        deferred.callback(answer)

    def _log_call_end(self, call: Call, outcome: str) -> None:
        """Add the end of a call to the truth log."""
        now = self._clock.seconds()
        self.truth.records.append(make_call_ended(now, self.incarnation, call, outcome))
