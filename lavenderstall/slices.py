"""The server of one owned slice: composition of its parts, periodic work and summary."""

import logging

from lavenderstall.assignment import AssignmentReader
from lavenderstall.automation import Automation
from lavenderstall.call_server import CallServer
from lavenderstall.clocks import make_loop
from lavenderstall.crashes import keeps_apart
from lavenderstall.fleet import Fleet
from lavenderstall.identifiers import Epoch, ServiceName, TaskId, WorkerId, ZoneName, get_slice_zone
from lavenderstall.messages import PoolSummary, SliceSummary
from lavenderstall.moves import MOVE_INTERVAL_S, TaskMover
from lavenderstall.protocol import Kind, TaskState, TaskStop
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import NOTHING
from lavenderstall.tasks import Environment
from lavenderstall.tenures import Tenure
from lavenderstall.work_rows import WorkRows
from lavenderstall.worker_index import find_maximum

logger = logging.getLogger(__name__)

RELOAD_SECONDS = 10.0
FLUSH_SECONDS = 0.25
REVIEW_SECONDS = 0.5
# Two heartbeats report a start within this time.
START_CONFIRM_SECONDS = 3.0


class SliceServer(AssignmentReader):
    """Schedule the tasks of one slice on its workers while the tenure lasts."""

    def __init__(self, environment: Environment, tenure: Tenure) -> None:
        super().__init__(environment, tenure)
        self.work = WorkRows(
            self.name,
            environment.commits,
            environment.make_nonce,
            self.request_reload,
            environment.set_aside,
        )
        self.fleet = Fleet(
            self.name,
            environment.entry,
            tenure,
            environment.client,
            environment.clock,
            self,
            environment.terms,
        )
        self.calls = CallServer(
            self.name,
            self.fleet.links,
            self.find_replicas,
            self._is_out_of_service,
            environment.commits,
            environment.store.read,
            environment.clock,
            environment.random,
            environment.make_nonce,
            environment.read_unix,
            environment.find_calls,
        )
        self.automation = Automation(self, environment.journal, environment.read_unix)
        self.state.is_start_blocked = self._is_start_blocked
        self.mover = TaskMover(
            self,
            environment.store,
            environment.commits,
            environment.make_nonce,
            environment.list_summaries,
            environment.hint_work,
        )
        self._loops = [
            (make_loop(self._clock, self.request_reload), RELOAD_SECONDS),
            (make_loop(self._clock, self.work.flush), FLUSH_SECONDS),
            (make_loop(self._clock, self._review), REVIEW_SECONDS),
            (make_loop(self._clock, self.mover.step), MOVE_INTERVAL_S),
        ]

    def _is_suspected(self, name: TaskId) -> bool:
        task = self.tasks.get(name)
        return task is not None and task.crashes.total > 0

    def _is_start_blocked(self, worker: WorkerId, request: TaskRequest, now: float) -> bool:
        """Return whether a worker should not start the tasks of a request now."""
        if self.automation.is_start_blocked(worker, request, now):
            return True
        known = self.state.workers.get(worker)
        if not self._suspects or known is None:
            return False
        starting = [self.tasks[name] for name in request.tasks if name in self.tasks]
        running = [self.tasks[name] for name in known.tasks if name in self.tasks]
        return keeps_apart(starting, running, now)

    def start(self) -> None:
        """Start to claim workers and read the work rows."""
        for loop, seconds in self._loops:
            loop.start(seconds, now=True)

    def stop(self) -> None:
        """Stop all periodic work and the worker links."""
        self.stopped = True
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()
        self.fleet.stop()

    def _review(self) -> None:
        """Resolve starts and stops whose answers were lost, and clear runs that live long."""
        now = self._clock.seconds()
        stuck: dict[WorkerId, list[TaskStop]] = {}
        for task in self.tasks.values():
            link = self.fleet.links.get(task.worker)
            if link is None or not link.claimed:
                continue
            unconfirmed = now - task.started >= START_CONFIRM_SECONDS
            if task.state is TaskState.STARTING and unconfirmed:
                stuck.setdefault(link.id, []).append(TaskStop(task.run, "start unconfirmed"))
            elif task.state is TaskState.STOPPING:
                stuck.setdefault(link.id, []).append(TaskStop(task.run, "stop repeated"))
            elif task.state is TaskState.RUNNING and link.usable:
                self._clear_crashes(task)
        for worker, stops in stuck.items():
            self._send_stops(self.fleet.links[worker], stops)
        self.automation.run_periodic_actions(now)
        self._expire_waiting()
        self._suspects = {name for name in self._suspects if self._is_suspected(name)}
        self._release_unresolved()
        self.request_schedule()

    def summarize(self) -> SliceSummary:
        """Return the summary of the slice for other entry instances."""
        free: dict[ServiceName, int] = {}
        for service, worker in self._list_replicas():
            link = self.fleet.links.get(worker)
            usable = link is not None and link.usable and not self._is_out_of_service(link.id)
            if link is not None and usable:
                free[service] = free.get(service, 0) + link.free_slots
        waiting = {kind.value: n for kind, n in self.queue.count_by_kind().items() if n}
        return SliceSummary(
            self.name,
            self._env.entry,
            max((link.epoch for link in self.fleet.links.values()), default=Epoch(0)),
            self._summarize_pools(),
            {} if self.draining else free,
            waiting,
            int(self.queue.measure_oldest_wait(self._clock.seconds()) * 1000),
            {
                team: used
                for team, used in self.state.team_used.items()
                if used != NOTHING and self.allowances.get(team, (0, None))[1] is not None
            },
            {kind: self.queue.count_teams_of_kind(Kind(kind)) for kind in waiting},
            {kind.value: number for kind, number in self.started.items()},
            sorted({link.member.rack for link in self.fleet.links.values()}),
        )

    def _summarize_pools(self) -> dict[str, PoolSummary]:
        pools: dict[str, PoolSummary] = {}
        for worker in self.state.workers.values():
            if not worker.in_service:
                continue
            known = pools.get(worker.pool, PoolSummary(0, NOTHING, NOTHING, NOTHING))
            pools[worker.pool] = PoolSummary(
                known.workers + 1,
                known.room.add(worker.available),
                find_maximum(known.largest, worker.available),
                find_maximum(known.capacity, worker.capacity),
            )
        return pools

    @property
    def zone(self) -> ZoneName:
        """Return the zone of the slice."""
        return get_slice_zone(self.name)
