"""Clocks and HTTP clients of instances on the fake platform, with fault injection."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from adapter.http_client import CONNECT_TIMEOUT_S
from lavenderstall.callbacks import do_nothing
from lavenderstall.errors import (
    AnswerLostError,
    DisconnectedError,
    PeerClosedError,
    PeerUnavailableError,
)
from lavenderstall.platform_clients import Reply
from tests.platform.fake_platform import ADVISER, STORE, FakePlatform

WORKER_DELAY_S = 0.001
# When commands are executed that get no answer, and until when they are tried while no process of
# their worker is up.
LATE_S = (2.0, 12.0)
LATE_RETRY_S = 0.005
# Interval at which a long poll is checked.
POLL_INTERVAL_S = 0.04


class PausableClock:
    """Clock that delays timers while an instance is frozen, and drops them once it is dead."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.frozen = False
        self.dead = False
        self._held_timers: list[Any] = []

    def seconds(self) -> float:
        """Return the time."""
        return self._clock.seconds()

    def callLater(self, delay: float, callable: Any, *args: Any, **kw: Any) -> Any:
        """Schedule a call."""
        return self._clock.callLater(delay, self._fire, callable, args, kw)

    def _fire(self, function: Any, args: Any, kw: Any) -> None:
        if self.dead:
            return
        if self.frozen:
            self._held_timers.append((function, args, kw))
        else:
            function(*args, **kw)

    def thaw(self) -> None:
        """Run the delayed timers."""
        self.frozen = False
        held, self._held_timers = self._held_timers, []
        for function, args, kw in held:
            self._fire(function, args, kw)


class FakeHttpClient:
    """HTTP client of one instance.

    `unreachable` holds the addresses that it can't reach, and calls of `lost_paths` don't arrive;
    with `turned_away` the store rejects it, and with `loses_commits` its transactions don't arrive.
    """

    def __init__(self, platform: FakePlatform, clock: PausableClock) -> None:
        self._platform = platform
        self._clock = clock
        self.unreachable: set[str] = set()
        self.lost_paths: set[str] = set()
        self.turned_away = False
        self.loses_commits = False

    def request(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = 1.0,
        headers: dict[bytes, list[bytes]] | None = None,
        overdue_s: float | None = None,
        silence_s: float | None = None,
        on_progress: Callable[[], None] = do_nothing,
    ) -> Deferred[Reply]:
        """Send one request and return its response."""
        self._platform.calls += 1
        answer: Deferred[Reply] = Deferred()
        timer = self._clock.callLater(timeout_s, self._fail, answer, address, path)
        answer.addBoth(lambda result: (timer.active() and timer.cancel(), result)[1])
        decoded = None if body is None else json.loads(body)
        parts = urlsplit(path)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        named = (headers or {}).get(b"Expected-Instance", [b""])[0].decode()
        arrive = (answer, address, parts.path, query, decoded, self._clock.seconds(), named)
        if address in self._platform.workers and self._platform.loses_command(parts.path):
            delay = self._platform.random.uniform(*LATE_S)
            late = (address, parts.path, decoded, named, self._clock.seconds() + LATE_S[1])
            self._platform.clock.callLater(delay, self._execute_late, *late)
            return answer
        delay = self._platform.store_delay_s if address == STORE else WORKER_DELAY_S
        self._platform.clock.callLater(delay, self._arrive, *arrive)
        return answer

    def _fail(self, answer: Deferred[Reply], address: str, path: str) -> None:
        if not answer.called:
            answer.errback(AnswerLostError("no answer", step=path, peer=address))

    def _arrive(
        self,
        answer: Deferred[Reply],
        address: str,
        path: str,
        query: dict[str, str],
        body: Any,
        sent_at: float,
        named: str = "",
    ) -> None:
        platform = self._platform
        if self._clock.dead or address in self.unreachable:
            return
        if path in platform.lost_paths or path in self.lost_paths:
            return
        if address == STORE:
            self._serve_store(answer, path, query, body, sent_at)
            return
        if address == ADVISER:
            self._reply(answer, *platform.advise(body), delay=0.02)
            return
        worker = platform.workers.get(address)
        if path == "/v1/run-start" and platform.start_delay_s:
            late = (address, path, body, named, sent_at + LATE_S[1])
            platform.clock.callLater(platform.start_delay_s, self._execute_late, *late)
            return
        if path == "/v1/hold" and body["lastSeen"] and address in platform.late_polls:
            delay = platform.late_polls.pop(address)
            late = (address, path, body, named, sent_at + LATE_S[1])
            platform.clock.callLater(delay, self._execute_late, *late)
            return
        if worker is not None and sent_at <= worker.started_at:
            self._clock.callLater(0, self._fail, answer, address, path)
            return
        if worker is not None and not worker.up and sent_at < worker.crashed_at:
            end = self._close if worker.disconnection == "closed" else self._reset
            self._clock.callLater(0, end, answer, address, path)
            return
        if worker is None or not worker.up:
            wait_s = CONNECT_TIMEOUT_S if worker is not None and worker.host_gone else 0
            self._clock.callLater(wait_s, self._refuse, answer, address, path)
            return
        if named and named != worker.name:
            self._reply(answer, 421, {"reason": "instance"})
            return
        status, found = worker.serve(path, body)
        waits = body.get("waitMs", 0) / 1000
        waiting = path == "/v1/hold" and status == 200 and not found["finished"]
        if waiting and platform.clock.seconds() - sent_at < waits:
            platform.clock.callLater(
                POLL_INTERVAL_S, self._arrive, answer, address, path, query, body, sent_at, named
            )
            return
        self._reply(answer, status, found)

    def _execute_late(self, address: str, path: str, body: Any, named: str, limit: float) -> None:
        """Execute a command by whatever process of the named worker has the address next.

        It is lost if there is none by a limit.
        """
        worker = self._platform.workers.get(address)
        clock = self._platform.clock
        if worker is not None and worker.up and named in {"", worker.name}:
            worker.serve(path, body)
        elif clock.seconds() < limit:
            late = (address, path, body, named, limit)
            clock.callLater(LATE_RETRY_S, self._execute_late, *late)

    def _serve_store(
        self, answer: Deferred[Reply], path: str, query: dict[str, str], body: Any, sent_at: float
    ) -> None:
        platform = self._platform
        if platform.store_mode == "silent" or (self.loses_commits and path == "/v1/rows-tx"):
            return
        if platform.store_mode == "busy" or self.turned_away:
            self._reply(answer, 503, {})
            return
        status, found = platform.serve_store(path, query, body)
        waits = int(query.get("waitMs", 0)) / 1000
        waiting = status == 200 and path == "/v1/rows-feed" and not found["rows"]
        if path == "/v1/rows-feed" and (
            platform.feeds_silent or (waiting and platform.clock.seconds() - sent_at < waits)
        ):
            platform.clock.callLater(
                POLL_INTERVAL_S, self._arrive, answer, STORE, path, query, body, sent_at
            )
            return
        if platform.store_mode == "mute" and path == "/v1/rows-tx":
            return
        self._reply(answer, status, found)

    def _close(self, answer: Deferred[Reply], address: str, path: str) -> None:
        if not answer.called:
            answer.errback(PeerClosedError("closed", step=path, peer=address))

    def _reset(self, answer: Deferred[Reply], address: str, path: str) -> None:
        if not answer.called:
            answer.errback(DisconnectedError("reset", step=path, peer=address))

    def _refuse(self, answer: Deferred[Reply], address: str, path: str) -> None:
        if not answer.called:
            answer.errback(PeerUnavailableError("refused", step=path, peer=address))

    def _reply(self, answer: Deferred[Reply], status: int, body: Any, delay: float = 0.001) -> None:
        data = json.dumps(body).encode()

        def deliver() -> None:
            if not answer.called:
                answer.callback(Reply(status, data))

        self._clock.callLater(delay, deliver)
