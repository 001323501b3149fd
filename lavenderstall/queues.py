"""Fair queue of waiting requests."""

from collections.abc import Mapping
from itertools import count
from math import inf

from lavenderstall.errors import LavenderstallError
from lavenderstall.headroom import FLOOD_MIN_WAITING, check_headroom, measure_headroom
from lavenderstall.identifiers import JobId, TaskId, TeamName
from lavenderstall.lanes import (
    Backlog,
    KindLanes,
    Lane,
    Shape,
    ShapeKey,
    TeamSettings,
    Waiting,
    implies_no_fit,
    make_shape_key,
)
from lavenderstall.protocol import Kind
from lavenderstall.reasons import Reason
from lavenderstall.requests import TaskRequest
from lavenderstall.resources import NOTHING, Resources, measure_dominant_share
from lavenderstall.slice_state import SliceState
from lavenderstall.worker_index import WorkerState, count_fits, find_shortage

AGING_S = 60.0
"""Seconds of waiting that weigh as much as one step of priority."""
KIND_SHARES = {Kind.SERVICE: 0.4, Kind.BATCH: 0.3, Kind.GANG: 0.3}
"""Guaranteed fraction of the slice for each kind."""

MAX_HELD_BACK_LANES = 16
"""Number of teams of a kind held back for headroom after which all others wait too."""
MAX_EXACT_SHAPES = 512
"""Further shapes are rounded, because each release is compared with all closed shapes.

A rounded shape may delay a smaller request behind a larger one until room is freed.
"""


class DuplicateRequestError(LavenderstallError):
    """A task of the request is already waiting; nothing was changed."""


class FairQueue:
    """Waiting requests: kinds by share, teams by weight and quota, then priority with age."""

    def __init__(
        self, shares: Mapping[Kind, float] | None = None, aging_s: float = AGING_S
    ) -> None:
        self.shares = dict(KIND_SHARES if shares is None else shares)
        self.aging_s = aging_s
        self.kinds = {kind: KindLanes(kind) for kind in Kind}
        self.shapes: dict[ShapeKey, Shape] = {}
        self.closed_shapes: dict[Shape, None] = {}
        self.open_shapes: dict[Shape, None] = {}
        self.accelerators_waiting = 0
        self._teams: dict[TeamName, TeamSettings] = {}
        self._paused_scopes: frozenset[str] = frozenset()
        self._waiting_by_task: dict[TaskId, Waiting] = {}
        self._waiting_by_job: dict[JobId, Waiting | dict[Waiting, None]] = {}
        self._sequence_numbers = count()
        self._waiting_count = 0
        self._accelerators_were_waiting = False
        self._topology_version = 0
        self._changed_teams: dict[TeamName, None] = {}

    def __len__(self) -> int:
        return self._waiting_count

    def __contains__(self, task: object) -> bool:
        return task in self._waiting_by_task

    def set_team(self, name: TeamName, weight: float = 1.0, quota: Resources | None = None) -> None:
        """Set a team's weight and its quota of resources; None is unlimited."""
        if weight <= 0:
            raise ValueError(f"weight of team {name} must be positive, not {weight}")
        self._teams[name] = TeamSettings(weight, quota)
        self._changed_teams[name] = None

    def set_paused(self, scopes: frozenset[str]) -> bool:
        """Pause the requests in scopes such as `team/t`; tell whether that is a change."""
        if scopes == self._paused_scopes:
            return False
        self._paused_scopes = scopes
        for kind in self.kinds.values():
            self._changed_teams.update(dict.fromkeys(kind.lanes))
        return True

    def push(self, request: TaskRequest, now: float) -> None:
        """Add a request."""
        self.requeue(request, now)

    def requeue(self, request: TaskRequest, since: float) -> Waiting:
        """Add a request that has waited since an earlier time."""
        for task in request.tasks:
            if task in self._waiting_by_task:
                raise DuplicateRequestError(f"task {task} is already waiting", step="push")
        kind = self.kinds[request.kind]
        lane = kind.lanes.get(request.team)
        if lane is None:
            lane = kind.lanes[request.team] = Lane(kind, request.team)
        shape = self._find_shape(request, kind)
        rank = since - request.priority * self.aging_s
        waiting = Waiting(
            request, request.tasks, request.job, request.priority, since, rank, shape, lane
        )
        for task in request.tasks:
            self._waiting_by_task[task] = waiting
        of_job = self._waiting_by_job.setdefault(request.job, waiting)
        if isinstance(of_job, dict):
            of_job[waiting] = None
        elif of_job is not waiting:
            self._waiting_by_job[request.job] = {of_job: None, waiting: None}
        backlog = lane.shapes.get(shape)
        if backlog is None:
            backlog = lane.shapes[shape] = shape.lanes[lane] = Backlog()
        backlog.add(waiting)
        self._add_to_counts(waiting, 1)
        if lane.parked and shape.open:
            self._changed_teams[request.team] = None
        return waiting

    def cancel(self, name: TaskId | JobId) -> tuple[TaskRequest, ...]:
        """Withdraw a waiting task, its whole gang, or all requests of a job; return them."""
        waiting = self._waiting_by_task.get(TaskId(name))
        if waiting is not None:
            self._remove(waiting)
            return (waiting.request,)
        of_job = self._waiting_by_job.get(JobId(name), {})
        found = list(of_job) if isinstance(of_job, dict) else [of_job]
        for waiting in found:
            self._remove(waiting)
        return tuple(waiting.request for waiting in found)

    def find(self, task: TaskId) -> Waiting | None:
        """Return the waiting request of a task."""
        return self._waiting_by_task.get(task)

    def pop_next(self, now: float, state: SliceState) -> Waiting | None:
        """Remove and return the next request to decide on, or None."""
        waiting = self.peek(now, state)
        if waiting is not None:
            self._remove(waiting)
        return waiting

    def peek(self, now: float, state: SliceState) -> Waiting | None:
        """Return the next request to decide on, or None."""
        self.update(state)
        kinds = [kind for kind in self.kinds.values() if kind.open_waiting]
        if len(kinds) > 1:
            kinds.sort(key=lambda kind: self._measure_kind_use(kind, state))
        for kind in kinds:
            waiting = self._find_first_startable(kind, state)
            if waiting is not None:
                return waiting
        return None

    def close(self, shape: Shape, now: float, missing: int = 1) -> None:
        """Skip a shape until `missing` more of its tasks may fit."""
        shape.feasible = True
        shape.missing = max(missing, 1)
        shape.closed_since = min(shape.closed_since, now)
        if shape.open:
            shape.open = False
            shape.kind.open_waiting -= shape.waiting
            self.closed_shapes[shape] = None
            del self.open_shapes[shape]

    def close_larger_shapes(self, waiting: Waiting, now: float) -> None:
        """Close the shapes that need at least as much as a request that did not fit.

        A shape that may never fit stays open, so that it is refused rather than kept waiting.
        """
        need, key = waiting.request.resources, waiting.shape.key
        larger = (
            other
            for other in self.open_shapes
            if other.feasible and implies_no_fit(need, key, other)
        )
        for other in list(larger):
            self.close(other, now)

    def open(self, shape: Shape) -> None:
        """Allow requests of a shape to be tried again."""
        if shape.open:
            return
        shape.open = True
        shape.kind.open_waiting += shape.waiting
        del self.closed_shapes[shape]
        self.open_shapes[shape] = None
        for lane in shape.lanes:
            if lane.parked:
                self._changed_teams[lane.team] = None

    def count_by_kind(self) -> dict[Kind, int]:
        """Return the number of waiting requests of each kind."""
        return {kind: lanes.waiting for kind, lanes in self.kinds.items()}

    def count_by_team(self) -> dict[TeamName, int]:
        """Return the number of waiting requests of each team that has any."""
        counts: dict[TeamName, int] = {}
        for lanes in self.kinds.values():
            for team, lane in lanes.lanes.items():
                counts[team] = counts.get(team, 0) + lane.waiting
        return {team: number for team, number in counts.items() if number}

    def count_teams_of_kind(self, kind: Kind) -> dict[TeamName, int]:
        """Return the number of waiting requests of a kind by team."""
        lanes = self.kinds[kind].lanes
        return {team: lane.waiting for team, lane in lanes.items() if lane.waiting}

    def measure_oldest_wait(self, now: float, kind: Kind | None = None) -> float:
        """Return how many seconds the oldest request of a kind, or of all, has waited."""
        kinds = self.kinds.values() if kind is None else (self.kinds[kind],)
        backlogs = (
            backlog
            for lanes in kinds
            for lane in lanes.lanes.values()
            for backlog in lane.shapes.values()
        )
        oldest = min((backlog.find_oldest() for backlog in backlogs), default=now)
        return max(now - oldest, 0.0)

    def get_passed_over_reason(self, team: TeamName) -> Reason | None:
        """Return why requests of a team are skipped, or None."""
        lanes = (kind.lanes.get(team) for kind in self.kinds.values())
        return next((lane.passed_over for lane in lanes if lane and lane.passed_over), None)

    def _find_shape(self, request: TaskRequest, kind: KindLanes) -> Shape:
        key = make_shape_key(request, exact=len(self.shapes) < MAX_EXACT_SHAPES)
        shape = self.shapes.get(key)
        if shape is None:
            shape = self.shapes[key] = Shape(key, kind, request.resources)
            self.open_shapes[shape] = None
        else:
            shape.lower_need(request.resources)
        return shape

    def _add_to_counts(self, waiting: Waiting, step: int) -> None:
        shape, lane = waiting.shape, waiting.lane
        self._waiting_count += step
        lane.waiting += step
        lane.kind.waiting += step
        shape.waiting += step
        if shape.open:
            lane.kind.open_waiting += step
        if shape.key.accelerators:
            self.accelerators_waiting += step

    def _remove(self, waiting: Waiting) -> None:
        shape, lane = waiting.shape, waiting.lane
        for task in waiting.tasks:
            del self._waiting_by_task[task]
        of_job = self._waiting_by_job.pop(waiting.job)
        if isinstance(of_job, dict):
            del of_job[waiting]
            if of_job:
                self._waiting_by_job[waiting.job] = of_job
        lane.shapes[shape].remove(waiting)
        self._add_to_counts(waiting, -1)
        if not shape.waiting:
            self._drop_shape(shape)
        if not lane.waiting:
            lane.passed_over = None

    def _drop_shape(self, shape: Shape) -> None:
        """Delete a shape without waiting requests."""
        del self.shapes[shape.key]
        self.closed_shapes.pop(shape, None)
        self.open_shapes.pop(shape, None)
        for lane in shape.lanes:
            del lane.shapes[shape]
            if not lane.shapes:
                del lane.kind.lanes[lane.team]
                lane.parked = True

    def update(self, state: SliceState) -> None:
        """Process changes of used and available resources since the last call."""
        state.accelerators_waiting = self.accelerators_waiting
        if self._accelerators_were_waiting and not self.accelerators_waiting:
            for shape in list(self.closed_shapes):
                if not shape.key.accelerators:
                    self.open(shape)
        self._accelerators_were_waiting = self.accelerators_waiting > 0
        if self._topology_version != state.topology_version:
            self._topology_version = state.topology_version
            self._reopen_all_shapes()
        if state.freed_workers:
            for worker in state.pop_freed_workers():
                self._open_fitting_shapes(worker)
            for kind in self.kinds.values():
                self._changed_teams.update((lane.team, None) for lane in kind.held_back)
                kind.held_back.clear()
        for team in (*state.changed_teams, *self._changed_teams):
            self._update_team(team, state)
        state.changed_teams.clear()
        self._changed_teams.clear()

    def _reopen_all_shapes(self) -> None:
        """Reopen all shapes, because some may now fit, or no longer fit even an empty slice."""
        for shape in self.shapes.values():
            shape.feasible = False
            self.open(shape)

    def _update_team(self, team: TeamName, state: SliceState) -> None:
        """Reorder the lanes of a team by its current use."""
        settings = self._teams.get(team)
        for kind in self.kinds.values():
            is_active = (kind.kind, team) in state.kind_team_used
            weight = settings.weight if settings else 1.0
            kind.set_active_weight(team, weight if is_active else 0.0)
            lane = kind.lanes.get(team)
            if lane is not None:
                kind.push(lane, self._measure_lane_use(lane, state), next(self._sequence_numbers))

    def _open_fitting_shapes(self, worker: WorkerState) -> None:
        """Open the closed shapes that may fit on a worker that gained resources."""
        if not worker.in_service:
            return
        available = worker.available
        for shape in [shape for shape in self.closed_shapes if shape.need.fits(available)]:
            pool = shape.key.pool
            if pool and pool != worker.pool:
                continue
            shape.missing -= count_fits(shape.need, available, shape.key.tasks)
            if shape.missing <= 0:
                self.open(shape)

    def _measure_kind_use(self, kind: KindLanes, state: SliceState) -> float:
        share = self.shares.get(kind.kind, 0.0)
        used = measure_dominant_share(state.kind_used.get(kind.kind, NOTHING), state.capacity)
        return used / share if share else inf

    def _measure_lane_use(self, lane: Lane, state: SliceState) -> float:
        team = self._teams.get(lane.team)
        used = state.kind_team_used.get((lane.kind.kind, lane.team), NOTHING)
        return measure_dominant_share(used, state.capacity) / (team.weight if team else 1.0)

    def _find_first_startable(self, kind: KindLanes, state: SliceState) -> Waiting | None:
        """Return the first request of the first team that may start one; park the others."""
        while (found := kind.pop_first()) is not None:
            key, lane = found
            waiting = self._find_head(lane, state)
            if waiting is not None:
                kind.push(lane, key, next(self._sequence_numbers))
                return waiting
            lane.parked = True
            if len(kind.held_back) >= MAX_HELD_BACK_LANES:
                break
        return None

    def _measure_headroom(self, lane: Lane, state: SliceState) -> float:
        """Return the fraction of the slice that a flooding team must leave free."""
        if lane.waiting < FLOOD_MIN_WAITING:
            return 0.0
        kind = lane.kind
        weights = (kind.active_weights.get(lane.team, 0.0) or 1.0, kind.total_active_weight)
        share = self.shares.get(kind.kind, 0.0)
        return measure_headroom(state, kind.kind, lane.team, weights, share)

    def _find_head(self, lane: Lane, state: SliceState) -> Waiting | None:
        """Return the request of lowest rank among the open shapes of a team under its quota."""
        best: Waiting | None = None
        lane.passed_over = None
        headroom = self._measure_headroom(lane, state)
        for shape, backlog in lane.shapes.items():
            head = backlog.peek() if shape.open else None
            if head is None or (best is not None and best.rank <= head.rank):
                continue
            reason = self.check_quota(head.request, state)
            if reason is None and headroom:
                reason = check_headroom(state, head.request, headroom)
                if reason is not None:
                    lane.kind.held_back[lane] = None
            if reason is None:
                best = head
            else:
                lane.passed_over = reason
        return best

    def _find_pause(self, request: TaskRequest) -> Reason | None:
        """Return which operator command pauses a request, or None."""
        scopes = (
            f"kind/{request.kind.value}",
            f"team/{request.team}",
            f"service/{request.service}",
        )
        found = next((scope for scope in scopes if scope in self._paused_scopes), None)
        return Reason("paused by an operator", found) if found else None

    def check_quota(self, request: TaskRequest, state: SliceState) -> Reason | None:
        """Return why a request is paused or would exceed its team's quota, or None."""
        if self._paused_scopes and (pause := self._find_pause(request)) is not None:
            return pause
        team = self._teams.get(request.team)
        if team is None or team.quota is None:
            return None
        need = NOTHING
        for _ in request.tasks:
            need = need.add(request.resources)
        total = state.team_used.get(request.team, NOTHING).add(need)
        if total.fits(team.quota):
            return None
        short = find_shortage(total, team.quota)
        detail = ", ".join(total.find_shortages(team.quota))
        return Reason("team is at its quota", f"{request.team} exceeds {detail}", shortage=short)
