"""Load of the demo: callers with calls and jobs that retry as real callers do."""

import hashlib
from collections.abc import Sequence
from itertools import count
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import CancelledError, Deferred, DeferredList
from twisted.internet.task import LoopingCall

from demo.balancer import Balancer
from demo.processes import EntryProcess
from demo.verdict import Exchange, Run, Told, Work
from demo.web import Answer, WebClient
from lavenderstall import protocol
from lavenderstall.bodies import JobAnswer, JobRequest, Rejection
from lavenderstall.clocks import make_loop, sleep
from lavenderstall.errors import AnswerLostError, LavenderstallError, Outcome, PeerUnavailableError
from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.protocol import TaskState
from lavenderstall.resources import Resources
from lavenderstall.schemas import Batch, Declaration, Gang, Service, Team
from lavenderstall.web import IssuedId, IssueIdRequest
from standins.calls import CallEcho

CALLS_PER_SECOND = 100
JOBS_PER_SECOND = 1
GANG_EVERY = 5
CANCEL_EVERY = 4
CALL_DEADLINE_MS = 5_000
CALL_TIMEOUT_SECONDS = 6.0
# A caller gives up when it got no answer for this long.
PATIENCE_SECONDS = 20.0
RETRY_SECONDS = 0.1
JOB_WAIT_MS = 4_000
# Some calls take long, so that calls are in flight at each fault.
LONG_CALL_SHARE = 0.05
LONG_CALL_MS = 1_500
BATCH_TASKS = 10
GANG_TASKS = 3
TASK_MS = 300

TOLD = {
    Outcome.DONE: Told.DONE,
    Outcome.FAILED: Told.FAILED,
    Outcome.NOT_RUN: Told.NOT_RUN,
    Outcome.UNKNOWN: Told.UNKNOWN,
}
TOLD_OF_JOB = {
    TaskState.DONE: Told.DONE,
    TaskState.FAILED: Told.FAILED,
    TaskState.CANCELLED: Told.CANCELLED,
    TaskState.UNKNOWN: Told.UNKNOWN,
}


class Scene(msgspec.Struct):
    """Hold the services and teams that the load uses."""

    services: list[Service]
    teams: list[TeamName]


def make_scene(declared: Sequence[Declaration]) -> Scene:
    """Return what the load needs of the declarations of a cell."""
    services = [each for each in declared if isinstance(each, Service)]
    teams = [TeamName(each.name) for each in declared if isinstance(each, Team)]
    return Scene(services, teams)


def make_authorization(name: str) -> dict[str, str]:
    """Return the header with the example token of a team or operator."""
    return {"Authorization": f"Bearer {name}.example"}


def is_whole(answer: Answer, request: str, body: bytes) -> bool:
    """Tell whether an answer has its digest and belongs to the request."""
    if hashlib.sha256(answer.body).hexdigest() != answer.get_header(protocol.HEADER_DIGEST):
        return False
    try:
        echo = msgspec.json.decode(answer.body, type=CallEcho)
    except msgspec.MsgspecError:
        return False
    return echo.request == request and echo.body.encode() == body


def read_refusal(answer: Answer) -> tuple[Told, str]:
    """Return what an answer other than a success tells the caller."""
    try:
        rejection = msgspec.json.decode(answer.body, type=Rejection)
    except msgspec.MsgspecError:
        return Told.UNKNOWN, f"status {answer.status}"
    return TOLD[rejection.outcome], f"{rejection.reason}: {rejection.detail}"


class Load:
    """Send calls and jobs at a fixed rate until it is stopped."""

    def __init__(
        self, scene: Scene, balancer: Balancer, web: WebClient, clock: Any, random: Random, run: Run
    ) -> None:
        self.run = run
        self._scene = scene
        self._balancer = balancer
        self._web = web
        self._clock = clock
        self._random = random
        self._prefix = f"demo-{random.getrandbits(32):08x}"
        self._numbers = count(1)
        self._given_up = False
        self._pending: list[Deferred[None]] = []
        self._loops: list[tuple[LoopingCall, float]] = [
            (make_loop(clock, self._start_call), 1 / CALLS_PER_SECOND),
            (make_loop(clock, self._start_job), 1 / JOBS_PER_SECOND),
        ]
        self._jobs = count(1)

    def start(self) -> None:
        """Begin to send."""
        for loop, seconds in self._loops:
            loop.start(seconds, now=True)

    async def stop(self, seconds: float) -> None:
        """Send nothing new and wait for the callers; those still waiting then give up."""
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()
        timer = self._clock.callLater(seconds, self._give_up)
        results: list[Any] = await DeferredList(self._pending, consumeErrors=True)
        if timer.active():
            timer.cancel()
        failures = [result for succeeded, result in results if not succeeded]
        for failure in failures:
            if not failure.check(CancelledError):
                failure.raiseException()

    def _give_up(self) -> None:
        self._given_up = True
        for caller in self._pending:
            caller.cancel()

    def _is_patient(self, limit: float) -> bool:
        return not self._given_up and self._clock.seconds() < limit

    def _make_id(self) -> str:
        return f"{self._prefix}.{next(self._numbers)}"

    def _add(self, work: Work) -> Work:
        self.run.works.append(work)
        return work

    # Calls

    def _start_call(self) -> None:
        service = self._random.choices(self._scene.services, (4, 1))[0]
        team = self._random.choice(self._scene.teams)
        draw = self._random.random()
        run_ms = LONG_CALL_MS if self._random.random() < LONG_CALL_SHARE else None
        body = msgspec.json.encode({} if run_ms is None else {"run_ms": run_ms})
        if draw < 0.6:
            caller = self._call(service.name, team, body, idempotent=True)
        elif draw < 0.85:
            caller = self._call(service.name, team, body, idempotent=False)
        else:
            caller = self._call_with_issued_id(service.name, team, body)
        self._pending.append(Deferred.fromCoroutine(caller))

    async def _call(
        self, service: str, team: TeamName, body: bytes, *, idempotent: bool, request: str = ""
    ) -> None:
        request = request or self._make_id()
        now = self._clock.seconds()
        work = self._add(Work(request, f"call {service}", idempotent, now))
        headers = make_authorization(team) | {
            protocol.HEADER_REQUEST: request,
            protocol.HEADER_IDEMPOTENT: "yes" if idempotent else "no",
            protocol.HEADER_DEADLINE: str(CALL_DEADLINE_MS),
        }
        answer = await self._insist(work, "POST", f"/v1/calls/{service}", body, headers)
        work.ended = self._clock.seconds()
        if answer is None:
            return
        if answer.status == 200:
            work.told = Told.DONE
            work.whole = is_whole(answer, request, body)
        else:
            work.told, work.detail = read_refusal(answer)

    async def _call_with_issued_id(self, service: str, team: TeamName, body: bytes) -> None:
        limit = self._clock.seconds() + PATIENCE_SECONDS
        while self._is_patient(limit):
            entry = self._balancer.choose()
            try:
                if entry is not None:
                    url = f"{entry.member.http}/v1/requests"
                    wanted = IssueIdRequest(service)  # type: ignore[arg-type]
                    headers = make_authorization(team)
                    issued = await self._web.fetch("POST", url, IssuedId, wanted, headers)
                    await self._call(
                        service, team, body, idempotent=False, request=issued.request_id
                    )
                    return
            except LavenderstallError:
                pass  # Only owners of slices issue ids, so another instance is asked.
            await sleep(self._clock, RETRY_SECONDS / 10)

    async def _insist(
        self, work: Work, method: str, path: str, body: object, headers: dict[str, str]
    ) -> Answer | None:
        """Send until there is an answer; each attempt has a higher number."""
        limit = self._clock.seconds() + PATIENCE_SECONDS
        attempt = 0
        while self._is_patient(limit):
            entry = self._balancer.choose()
            if entry is not None:
                attempt += 1
                numbered = headers | {protocol.HEADER_ATTEMPT_NUMBER: str(attempt)}
                answer = await self._try(work, entry, method, path, body, numbered)
                if answer is not None:
                    return answer
            await sleep(self._clock, RETRY_SECONDS)
        return None

    async def _try(
        self,
        work: Work,
        entry: EntryProcess,
        method: str,
        path: str,
        body: object,
        headers: dict[str, str],
    ) -> Answer | None:
        sent = self._clock.seconds()
        cut = False
        try:
            url = f"{entry.member.http}{path}"
            return await self._web.send(method, url, body, headers, CALL_TIMEOUT_SECONDS)
        except PeerUnavailableError:
            return None
        except AnswerLostError as error:
            cut = True
            work.detail = str(error)
            return None
        finally:
            now = self._clock.seconds()
            self.run.exchanges.append(Exchange(work.id, entry.id, sent, now, cut))

    # Jobs

    def _start_job(self) -> None:
        number = next(self._jobs)
        cancelled = number % CANCEL_EVERY == 0
        if number % GANG_EVERY == 0:
            job: Batch | Gang = self._make_gang()
        else:
            job = self._make_batch(idempotent=number % 2 == 0)
        pending = Deferred.fromCoroutine(self._submit(job, cancelled=cancelled))
        self._pending.append(pending)

    def _make_batch(self, *, idempotent: bool) -> Batch:
        return Batch(
            name="demo-batch",
            team=self._random.choice(self._scene.teams),
            tasks=BATCH_TASKS,
            resources=Resources(250, 256),
            idempotent=idempotent,
            expected_ms=TASK_MS,
            payload={"run_ms": msgspec.Raw(str(TASK_MS).encode())},
        )

    def _make_gang(self) -> Gang:
        return Gang(
            name="demo-gang",
            team=self._random.choice(self._scene.teams),
            tasks=GANG_TASKS,
            resources=Resources(500, 512),
            pool=self._scene.services[0].pool,
            expected_ms=TASK_MS,
            payload={"run_ms": msgspec.Raw(str(TASK_MS).encode())},
        )

    async def _submit(self, job: Batch | Gang, *, cancelled: bool) -> None:
        kind = "batch" if isinstance(job, Batch) else "gang"
        name = self._make_id()
        now = self._clock.seconds()
        work = self._add(Work(name, kind, job.idempotent, now, is_job=True, tasks=job.tasks))
        headers = make_authorization(job.team)
        body = msgspec.json.encode(JobRequest(JobId(name), job))
        answer = await self._insist(work, "POST", "/v1/jobs", body, headers)
        work.ended = self._clock.seconds()
        if answer is None:
            return
        if answer.status != 202:
            work.told, work.detail = read_refusal(answer)
            return
        work.told = Told.ACCEPTED
        work.accepted = work.ended
        if cancelled:
            await self._insist(work, "DELETE", f"/v1/jobs/{name}", None, headers)
        await self._await_end(work, headers)

    async def _await_end(self, work: Work, headers: dict[str, str]) -> None:
        """Ask for the state of a job until it has ended or patience runs out."""
        path = f"/v1/jobs/{work.id}?wait_ms={JOB_WAIT_MS}"
        limit = self._clock.seconds() + PATIENCE_SECONDS
        while work.told is Told.ACCEPTED and self._is_patient(limit):
            answer = await self._insist(work, "GET", path, None, headers)
            if answer is not None and answer.status == 200:
                info = msgspec.json.decode(answer.body, type=JobAnswer).job
                if info is not None:
                    work.told = TOLD_OF_JOB.get(info.state, Told.ACCEPTED)
            else:
                await sleep(self._clock, RETRY_SECONDS)
        work.ended = self._clock.seconds()
