"""In-memory fake of the users' platform: store, workers, placement service."""

import json
from base64 import b64decode, b64encode
from collections import Counter
from math import inf
from random import Random
from typing import Any

from twisted.internet.task import Clock

STORE = "10.200.1.7:8142"
ADVISER = "10.200.1.9:8142"
STORE_DELAY_S = 0.004
MAX_CALL_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_HOLD_MS = 6000
STOP_DELAY_S = 0.1
GANG_START_TIMEOUT_S = 3.0
RESTART_DELAY_S = 0.5
# A task that crashes its worker does so this long after its start, and the worker takes longer.
DEADLY_DELAY_S = 0.01
DEADLY_RESTART_DELAY_S = 3.0
# A capacity that has shrunk limits starts this much later.
CAPACITY_GRACE_S = 4.5
# Crashes after which a task may be started again only a few times.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
# Ended runs in one response.
MAX_ENDS = 500


class FakeTask:
    """A run on a worker; `remaining_s` is its remaining duration at normal speed."""

    def __init__(self, name: str, run: int, remaining_s: float, allocation: dict[str, int]) -> None:
        self.name = name
        self.run = run
        self.remaining_s = remaining_s
        self.total_s = max(remaining_s, 0.001)
        self.allocation = allocation
        self.stop_at = -1.0
        self.hangs = False
        self.checkpoint = ""
        self.gang = 0
        self.started_at = 0.0
        self.crashed_at = -1.0

    def get_percent(self) -> int:
        """Return the progress; a task that lasts is at work from its start."""
        if self.total_s == inf:
            return 100
        return int(100 * (1 - self.remaining_s / self.total_s))

    def get_step(self) -> str:
        """Return the name of the step."""
        return self.name.rpartition(".")[0]


class FakeWorker:
    """A worker that executes every start command."""

    def __init__(
        self, platform: "FakePlatform", name: str, pool: str, address: str, rack: str
    ) -> None:
        self.platform = platform
        self.name = name
        self.pool = pool
        self.address = address
        self.rack = rack
        self.capacity = {"cpu": 16000, "taskMemoryMb": 65536, "gpu": 8}
        self.former_capacities: list[tuple[float, dict[str, int]]] = []
        self.state = "ready"
        self.speed = 1.0
        # Rate of the worker's own clock.
        self.clock_rate = 1.0
        self.hangs = False
        self.fails = False
        # Rows of another form that it adds to its lists of runs.
        self.odd_running: list[Any] = []
        self.up = True
        # How the host ends connections on which an answer is awaited: closed or reset.
        self.disconnection = "closed"
        # Whether the host is gone with its worker, so that connections to it time out.
        self.host_gone = False
        self.leaves_at = -1.0
        self.born = 0
        self.restart()

    def restart(self) -> None:
        """Start a new incarnation without any state."""
        self.born += 1000
        self.started_at = self.platform.clock.seconds()
        self.advanced_at = self.started_at
        self.token = 0
        self.lease_ms = 0.0
        self.running: dict[str, FakeTask] = {}
        self.ended: list[list[Any]] = []
        self.count = 0
        self.highest: dict[str, int] = {}
        self.up = True

    def set_capacity(self, **changes: int) -> None:
        """Change the capacity and report it."""
        self.former_capacities.append((self.platform.clock.seconds(), self.capacity))
        self.capacity = {**self.capacity, **changes}
        self.platform.register()

    def get_limit(self, kind: str) -> int:
        """Return the highest capacity of a kind within the grace time."""
        since = self.platform.clock.seconds() - CAPACITY_GRACE_S
        former = [each for changed_at, each in self.former_capacities if changed_at >= since]
        return max(each[kind] for each in (self.capacity, *former))

    def crash(self, restart_delay_s: float = RESTART_DELAY_S) -> None:
        """Lose all runs and restart, under another name if the platform renames workers."""
        self.up = False
        self.crashed_at = self.platform.clock.seconds()
        self.running.clear()
        self.platform.clock.callLater(restart_delay_s, self._restart_after_crash)

    def drain(self, serves_s: float) -> None:
        """Report that the worker is draining, and leave after some time."""
        self.state = "draining"
        self.leaves_at = self.platform.clock.seconds() + serves_s
        self.platform.register()
        self.platform.clock.callLater(serves_s, self.leave)

    def leave(self) -> None:
        """Exit for good: end all runs, close the connections and remove the registry entry."""
        self.up = False
        self.crashed_at = self.platform.clock.seconds()
        self.running.clear()
        self.platform.register()

    def crash_under(self, task: FakeTask) -> None:
        """Crash if a run that crashes its worker still exists."""
        if self.up and self.running.get(task.name) is task:
            self.platform.checker.note_crash(task.name)
            self.crash(DEADLY_RESTART_DELAY_S)

    def _restart_after_crash(self) -> None:
        if self.up:
            return
        if self.platform.renames_workers:
            self.platform.rows.pop(("servers", "", self.name), None)
            self.name = f"{self.name.partition('@')[0]}@{self.born}"
        self.restart()
        self.platform.register()

    def clock_ms(self) -> float:
        """Return the worker's clock in milliseconds."""
        return 1000 + (self.platform.clock.seconds() - self.started_at) * 1000 * self.clock_rate

    def advance(self) -> None:
        """Advance the runs to the present time."""
        now = self.platform.clock.seconds()
        passed = now - self.advanced_at
        self.advanced_at = now
        if self.running and self.clock_ms() > self.lease_ms:
            for task in list(self.running.values()):
                self.end(task, "lapsed")
            return
        for task in list(self.running.values()):
            if 0 <= task.stop_at <= now:
                self.end(task, "stopped")
                continue
            if task.name not in self.running:
                continue
            if task.gang and len(self.platform.list_members(task)) < task.gang:
                if now - task.started_at > GANG_START_TIMEOUT_S:
                    self.end(task, "alone")
                continue
            if not task.hangs:
                task.remaining_s -= passed / self.speed
            if task.remaining_s <= 0:
                self.end(task, "failed" if self.fails else "done")

    def end(self, task: FakeTask, cause: str) -> None:
        """End a run and report it; the other members of its gang end too."""
        if self.running.pop(task.name, None) is None:
            return
        if task.gang:
            for worker, member in self.platform.list_members(task):
                worker.end(member, "done" if cause == "done" else "broken")
        self.count += 1
        self.ended.append([self.count, task.name, task.run, cause, task.checkpoint])
        self.highest[task.name] = max(self.highest.get(task.name, 0), task.run)
        self.platform.checker.note_end(task.name, cause)

    def serve(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Execute one command."""
        self.advance()
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path == "/v1/run-start":
            return self.start(body)
        if path == "/v1/run-stop":
            return self.stop(body)
        if path == "/v1/pace":
            return 200, {"clockMs": self.clock_ms()}
        return self.poll(body)

    def extend(self, body: dict[str, Any]) -> None:
        """Extend the lease of all runs."""
        wanted = min(body.get("deadlineMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, wanted)

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Start a task."""
        name, run = body["task"], body["run"]
        clock = {"clockMs": self.clock_ms()}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        if name in self.running and self.running[name].run == run:
            return 200, clock
        if run <= self.highest.get(name, 0):
            return 409, {**clock, "reason": "old"}
        self.extend(body)
        step = self.platform.checker.note_start(self, name, body["spec"])
        duration_s = inf if step.get("longRunning") else step.get("estimatedDurationMs", 100) / 1000
        task = FakeTask(name, run, duration_s, get_allocation(step))
        task.hangs = self.hangs
        task.gang = step["count"] if step.get("gang") else 0
        task.started_at = self.platform.clock.seconds()
        self.running[name] = task
        if name in self.platform.deadly_tasks:
            self.platform.clock.callLater(DEADLY_DELAY_S, self.crash_under, task)
        self.platform.checker.check_room(self)
        return 200, clock

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run, or make sure that it never starts."""
        name, run = body["task"], body["run"]
        self.highest[name] = max(self.highest.get(name, 0), run)
        task = self.running.get(name)
        if task is not None and task.run <= run and task.stop_at < 0:
            task.stop_at = self.platform.clock.seconds() + STOP_DELAY_S
        return 200, {"clockMs": self.clock_ms()}

    def poll(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Handle a poll: extend the lease, and return running tasks and ended runs."""
        self.extend(body)
        seen = body.get("lastSeen", 0)
        for seq, name, _, cause, _ in self.ended:
            if seq <= seen:
                self.platform.checker.note_acknowledged(name, cause)
        self.ended = [end for end in self.ended if end[0] > seen]
        running = [
            [
                task.name,
                task.run,
                task.checkpoint,
                task.get_percent(),
                0,
            ]
            for task in self.running.values()
        ]
        running += self.odd_running
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self.ended[:MAX_ENDS],
        }

    def entry(self) -> dict[str, Any]:
        """Return the worker's registry entry."""
        draining = {}
        if self.state == "draining":
            left_s = max(0.0, self.leaves_at - self.platform.clock.seconds())
            draining["remainingMs"] = left_s * 1000
        return {
            **draining,
            "service": self.pool,
            "address": self.address,
            "zone": "z",
            "state": self.state,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "born": self.born,
            "clockMs": self.clock_ms(),
            "sequence": 1,
        }


def get_allocation(step: dict[str, Any]) -> dict[str, int]:
    """Return the resources that a task of a step uses."""
    names = ("cpu", "taskMemoryMb", "gpu")
    return {name: 0 if name == "cpu" and step.get("fills") else step.get(name, 0) for name in names}


class InvariantChecker:
    """Check the scheduler's invariants against the commands sent to workers."""

    def __init__(self, platform: "FakePlatform") -> None:
        self.platform = platform
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cancelled: dict[str, float] = {}
        self.done: set[str] = set()
        self.acknowledged: set[str] = set()
        self.failures: dict[str, int] = {}
        self.crashes: Counter[str] = Counter()
        self.starts_after_crashes: Counter[str] = Counter()
        self.violations: list[str] = []
        self.starts = 0

    def note_start(self, worker: FakeWorker, name: str, spec: str) -> dict[str, Any]:
        """Check a start and return the step's declaration."""
        self.starts += 1
        job, _, step, _ = name.split(".")
        found = self.jobs.get(job)
        if found is None:
            self.violations.append(f"UNASKED {name}")
            return {}
        if found["spec"] != spec:
            self.violations.append(f"UNASKED {name} with another spec")
        others = [w for w in self.platform.workers.values() if w.up and w is not worker]
        for other in others:
            other.advance()
            if name in other.running:
                at = self.platform.clock.seconds()
                self.violations.append(
                    f"TWICE {name} on {worker.name} and {other.name} at {at:.2f}"
                )
        if name in self.acknowledged:
            self.violations.append(f"TWICE {name} on {worker.name} after its end was taken note of")
        self._check_crashes(name)
        declared = found["steps"][int(step)]
        for earlier in declared.get("after", ()):
            names = {f"{job}.0.{earlier}.{n}" for n in range(found["steps"][earlier]["count"])}
            if not names <= self.done:
                self.violations.append(f"ORDER {name}")
        return dict(declared)

    def _check_crashes(self, name: str) -> None:
        """Check that a task that crashes workers, and ends by itself, is not started on and on."""
        job, _, step, _ = name.split(".")
        if self.crashes[name] < MAX_CRASHES or self.jobs[job]["steps"][int(step)].get(
            "longRunning"
        ):
            return
        self.starts_after_crashes[name] += 1
        if self.starts_after_crashes[name] > MAX_STARTS_AFTER_CRASHES:
            self.violations.append(f"BUDGET {name}")

    def note_crash(self, name: str) -> None:
        """Record that a task has crashed a worker."""
        self.crashes[name] += 1

    def check_room(self, worker: FakeWorker) -> None:
        """Check that the runs of a worker fit its capacity."""
        for kind in worker.capacity:
            if sum(task.allocation[kind] for task in worker.running.values()) > worker.get_limit(
                kind
            ):
                self.violations.append(f"LIMIT {worker.name} {kind}")

    def note_end(self, name: str, cause: str) -> None:
        """Record the end of a run."""
        if cause == "done":
            self.done.add(name)
        if cause == "failed":
            self.failures[name] = self.failures.get(name, 0) + 1

    def note_acknowledged(self, name: str, cause: str) -> None:
        """Record that an end was acknowledged."""
        if cause == "done":
            self.acknowledged.add(name)

    def list_unfinished_tasks(self, job: str) -> list[str]:
        """Return the tasks of a job that aren't done."""
        return [
            f"{job}.0.{number}.{index}"
            for number, step in enumerate(self.jobs[job]["steps"])
            for index in range(step["count"])
            if f"{job}.0.{number}.{index}" not in self.done
        ]

    def list_unfinished(self) -> list[str]:
        """Return the jobs with a task that isn't done."""
        return [
            job
            for job in self.jobs
            if job not in self.cancelled and self.list_unfinished_tasks(job)
        ]


class FakePlatform:
    """Fake store, workers and placement service.

    `store_mode` is up, busy (rejects all), silent (ignores requests) or mute (applies transactions
    without a response). Reads of `down_partitions` are rejected, and while `feeds_silent` no feed
    answers. While `start_delay_s` is not 0, starts have no answer and are executed so much later.
    Calls of `lost_paths` are neither executed nor answered. With `read_as_of` rows are read as of
    an earlier version; with `hides_read_age` the answer tells the newest version nevertheless.
    Feeds return each version of a row that was missed, or with `merges_changes` the newest one.
    `deadly_tasks` names the tasks that crash each worker that starts them; with `renames_workers` a
    worker that has crashed comes back under another name.
    """

    def __init__(self, clock: Clock, seed: int = 1) -> None:
        self.clock = clock
        self.random = Random(seed)
        self.checker = InvariantChecker(self)
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.feed: list[dict[str, Any]] = []
        self.version = 0
        self.oldest = 0
        self.store_mode = "up"
        self.store_delay_s = STORE_DELAY_S
        self.down_partitions: set[str] = set()
        self.feeds_silent = False
        self.keeps_history = True
        self.max_row_bytes = 65536
        self.start_delay_s = 0.0
        # Shares of the commands to workers, and of the starts alone, that get no answer and are
        # executed late.
        self.lost_share = 0.0
        self.lost_start_share = 0.0
        # Workers by address whose next poll that acknowledges ends is executed this much later.
        self.late_polls: dict[str, float] = {}
        self.lost_paths: set[str] = set()
        self.read_as_of: int | None = None
        self.hides_read_age = False
        self.merges_changes = False
        self.deadly_tasks: set[str] = set()
        self.renames_workers = False
        self.workers: dict[str, FakeWorker] = {}
        self.calls = 0
        self.allowed_share = 1.0

    def loses_command(self, path: str) -> bool:
        """Tell whether the next command to a worker gets no answer and is executed late."""
        share = max(self.lost_share, self.lost_start_share * (path == "/v1/run-start"))
        return bool(share) and self.random.random() < share

    def add_worker(self, worker: FakeWorker) -> None:
        """Add a worker and register it."""
        self.workers[worker.address] = worker
        self.register()

    def list_members(self, task: FakeTask) -> list[tuple[FakeWorker, FakeTask]]:
        """Return the running members of a task's gang with the same run number."""
        return [
            (worker, member)
            for worker in self.workers.values()
            for member in list(worker.running.values())
            if member.get_step() == task.get_step() and member.run == task.run
        ]

    def register(self) -> None:
        """Write the registry rows of all workers."""
        for worker in self.workers.values():
            if worker.up:
                self.put("servers", "", worker.name, worker.entry())
            else:
                self.rows.pop(("servers", "", worker.name), None)

    def put(self, table: str, part: str, key: str, value: Any) -> None:
        """Write a row on behalf of a worker or the operator."""
        self.version += 1
        data = b64encode(json.dumps(value).encode()).decode()
        self.write(table, part, key, data)

    def put_bytes(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row on behalf of another writer, who need not follow any form."""
        self.version += 1
        self.write(table, part, key, b64encode(value).decode())

    def write(self, table: str, part: str, key: str, data: str) -> None:
        """Write a row at the current version."""
        row = {
            "table": table,
            "part": part,
            "key": key,
            "value": data,
            "schemaVersion": self.version,
        }
        self.rows[table, part, key] = row
        self.feed.append(row)

    def list_rows(self) -> dict[tuple[str, str, str], dict[str, Any]]:
        """Return the rows that are read now, by table, part and key."""
        if self.read_as_of is None:
            return self.rows
        found: dict[tuple[str, str, str], dict[str, Any]] = {}
        for row in self.feed:
            if row["schemaVersion"] <= self.read_as_of:
                found[row["table"], row["part"], row["key"]] = row
        return {key: row for key, row in found.items() if not row.get("deleted")}

    def drop_history(self) -> None:
        """Forget all changes, and let feeds answer again."""
        self.oldest = self.version + 1
        self.feeds_silent = False

    def serve_store(self, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        """Execute one request to the store."""
        base = {"schemaVersion": self.version, "nowMs": self.clock.seconds() * 1000}
        if path == "/v1/rows-tx":
            return self.transact(body)
        if path == "/v1/rows-get" and query.get("part", "") in self.down_partitions:
            return 503, {}
        if path == "/v1/rows-get":
            if self.read_as_of is not None and not self.hides_read_age:
                base["schemaVersion"] = self.read_as_of
            rows = sorted(
                (
                    row
                    for (table, part, key), row in self.list_rows().items()
                    if table == query["table"]
                    and part == query.get("part", "")
                    and key >= query.get("from", "")
                ),
                key=lambda row: row["key"],
            )
            limit = int(query.get("limit", 500))
            return 200, {**base, "rows": rows[:limit], "hasMore": len(rows) > limit}
        if int(query["after"]) < self.oldest or not self.keeps_history:
            return 410, {}
        rows = [
            row
            for row in self.feed
            if row["table"] == query["table"] and row["schemaVersion"] > int(query["after"])
        ]
        if self.merges_changes:
            newest = {(row["part"], row["key"]): row for row in rows}
            rows = [row for row in rows if newest[row["part"], row["key"]] is row]
        return 200, {**base, "rows": rows}

    def transact(self, body: Any) -> tuple[int, Any]:
        """Apply a transaction, or reject one that exceeds a limit of the service."""
        entries = [*body["expectedRevision"], *body["writes"], *body["deletes"]]
        large = any(len(b64decode(put["value"])) > self.max_row_bytes for put in body["writes"])
        if large or len(entries) > MAX_CALL_ENTRIES or len(json.dumps(body)) > MAX_CALL_BYTES:
            return 400, {"error": "a limit is exceeded"}
        found = []
        holds = True
        for condition in body["expectedRevision"]:
            key = (condition["table"], condition["part"], condition["key"])
            row = self.rows.get(key, {**condition, "value": "", "schemaVersion": 0})
            found.append(row)
            holds = holds and row["schemaVersion"] == condition["schemaVersion"]
        if not holds:
            return 412, {"rows": found}
        self.version += 1
        for put in body["writes"]:
            self.write(put["table"], put["part"], put["key"], put["value"])
        for gone in body["deletes"]:
            self.rows.pop((gone["table"], gone["part"], gone["key"]), None)
            self.feed.append({**gone, "deleted": True, "schemaVersion": self.version})
        return 200, {"schemaVersion": self.version, "nowMs": self.clock.seconds() * 1000}

    def advise(self, body: Any) -> tuple[int, Any]:
        """Return tickets; whether a worker is allowed never changes for a step."""
        allowed = [
            [name, f"t-{name}"]
            for name in body["workers"]
            if Random(body["step"] + name).random() < self.allowed_share
        ]
        return 200, {"allowed": allowed, "validityMs": 2000}
