"""Loads on a cell of processes and what the cell uses meanwhile."""

import http.client
import threading
import time
from collections.abc import Callable
from itertools import count

import msgspec

from bench.processes import SERVICE, TEAM, ProcessCell, sum_field, wait_for
from lavenderstall.bodies import PATH_CALLS, JobRequest
from lavenderstall.client import Client
from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.protocol import HEADER_DEADLINE, HEADER_IDEMPOTENT
from lavenderstall.resources import Resources
from lavenderstall.schemas import Batch

TASK = Resources(cores_milli=1000, memory_mb=2048)
JOB_TASKS = 200
FOREVER_MS = 3_600_000
_numbers = count(1)


class Window(msgspec.Struct, frozen=True):
    """What a cell used in a stretch of time; rates are per second of all entry instances."""

    seconds: float
    cpu: float
    standins_cpu: float
    rss_mb: list[float]
    worker_bytes: float
    link_bytes: float
    link_messages: float
    done: int

    @property
    def rss_mean(self) -> float:
        """Return the mean resident memory of an entry instance in MB."""
        return sum(self.rss_mb) / len(self.rss_mb)


def measure(
    cell: ProcessCell, seconds: float, work: Callable[[float], int] | None = None
) -> Window:
    """Return what a cell uses while work runs, or while it is idle for some seconds."""
    before, pages, standins = cell.read_usages(), cell.read_pages(), cell.standins.read_usage()
    begin = time.perf_counter()
    done = work(seconds) if work is not None else 0
    time.sleep(max(0.0, begin + seconds - time.perf_counter()))
    took = time.perf_counter() - begin
    after, later, standins_after = (
        cell.read_usages(),
        cell.read_pages(),
        cell.standins.read_usage(),
    )

    def rate(*names: str) -> float:
        return (
            sum(
                b.get(n, 0.0) - a.get(n, 0.0)
                for a, b in zip(pages, later, strict=True)
                for n in names
            )
            / took
        )

    return Window(
        took,
        (sum_field(after, "cpu_s") - sum_field(before, "cpu_s")) / took,
        (standins_after.cpu_s - standins.cpu_s) / took,
        [usage.rss_mb for usage in after],
        rate("worker_bytes_sent", "worker_bytes_received"),
        rate("link_bytes_sent", "link_bytes_received"),
        rate("link_messages_received"),
        done,
    )


def submit_tasks(cell: ProcessCell, tasks: int, run_ms: int) -> list[JobId]:
    """Submit tasks in jobs of bounded size and return the ids of the jobs."""
    jobs: list[JobId] = []
    while tasks > 0:
        size = min(tasks, JOB_TASKS)
        tasks -= size
        job = JobId(f"load-{next(_numbers)}")
        payload = {"run_ms": msgspec.Raw(str(run_ms).encode())}
        batch = Batch(name=job, team=TeamName(TEAM), tasks=size, resources=TASK, payload=payload)
        url = cell.urls[len(jobs) % len(cell.urls)]
        Client([url], cell.team).submit(JobRequest(job, batch))
        jobs.append(job)
    return jobs


def fill(cell: ProcessCell, tasks: int) -> float:
    """Start tasks that do not end and return the seconds until all run."""
    submit_tasks(cell, tasks, FOREVER_MS)
    return wait_for(lambda: cell.sum_metric("tasks_running") >= tasks, "the start of all tasks", 60)


def start_tasks(cell: ProcessCell, rate: float, run_ms: int = 500) -> Callable[[float], int]:
    """Return work that starts tasks at a rate, in a job every 0.2 s."""

    def work(seconds: float) -> int:
        step, started = 0.2, 0
        begin = time.perf_counter()
        for turn in range(int(seconds / step)):
            time.sleep(max(0.0, begin + turn * step - time.perf_counter()))
            size = int(rate * step)
            submit_tasks(cell, size, run_ms)
            started += size
        return started

    return work


def declare_service(cell: ProcessCell, replicas: int) -> None:
    """Declare a service and wait until its replicas run."""
    before = cell.sum_metric("tasks_running")
    cell.apply(
        f"kind: service\nname: {SERVICE}\nteam: {TEAM}\npool: pool\nreplicas: {replicas}\n"
        "resources: {cores_milli: 1000, memory_mb: 1024}\nspread: worker"
    )
    wait_for(lambda: cell.sum_metric("tasks_running") >= before + replicas, "the replicas' start")
    # The free slots reach the receiving entry instances with the next summaries.
    time.sleep(1.0)


class Caller:
    """Make calls over one connection that stays open."""

    def __init__(self, url: str, token: str) -> None:
        self._connection = http.client.HTTPConnection(url.removeprefix("http://"), timeout=5)
        self._headers = {
            "Authorization": f"Bearer {token}",
            HEADER_IDEMPOTENT: "yes",
            HEADER_DEADLINE: "2000",
        }

    def call(self) -> bool:
        """Tell whether a call was answered in full."""
        self._connection.request("POST", f"{PATH_CALLS}/{SERVICE}", b"{}", self._headers)
        response = self._connection.getresponse()
        response.read()
        return response.status == 200

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def make_calls(cell: ProcessCell, rate: float, threads: int = 8) -> Callable[[float], int]:
    """Return work that makes calls at a rate from some threads."""

    def work(seconds: float) -> int:
        done: list[int] = []

        def run(number: int) -> None:
            caller = Caller(cell.urls[number % len(cell.urls)], cell.team)
            completed, begin = 0, time.perf_counter()
            for turn in range(int(seconds * rate / threads)):
                time.sleep(max(0.0, begin + turn * threads / rate - time.perf_counter()))
                if time.perf_counter() - begin > seconds:
                    break
                completed += caller.call()
            caller.close()
            done.append(completed)

        runners = [threading.Thread(target=run, args=(number,)) for number in range(threads)]
        for runner in runners:
            runner.start()
        for runner in runners:
            runner.join()
        return sum(done)

    return work
