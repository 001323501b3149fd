"""The owner of a pool: performs what the pool decides and feeds back what happens."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod
from itertools import chain
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError, PeerUnavailableError
from lavenderstall.identifiers import JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advisers import AdviserCount
from lavenderstall.pools.background import gather, launch
from lavenderstall.pools.dispatch import Dispatcher
from lavenderstall.pools.effects import AskAdvice, PaceRun, Refusal, StartRun, StopRun
from lavenderstall.pools.identity import WorkerKey
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.ports import (
    HistoryLostError,
    Lease,
    Registry,
    Row,
    RowStore,
    WorkerClient,
)
from lavenderstall.pools.recording import Batch
from lavenderstall.pools.records import (
    CANCELS,
    JOBS,
    OWNERS,
    PROGRESS,
    ROSTER_KEY,
    RosterRow,
    decode_job,
    decode_progress,
    list_shards,
)
from lavenderstall.pools.work import JobState
from lavenderstall.pools.workers import LEASE_MS, Worker
from lavenderstall.pools.writer import DeposedError, OwnerWriter

logger = logging.getLogger(__name__)

# An owner that has not confirmed its ownership for this long extends nothing any more.
ACT_S = 7.0
# Without the store for this long, and with peers that miss it too, an owner starts tasks without
# recording them. Longer than `claims.RECORDED_MS` and the time that news of a claim takes.
UNRECORDED_S = 4.0
# A look waits this long at the worker for an end; less if runs are short, so that one that stands
# still is noticed.
LOOK_WAIT_MS = 1600
SHORT_LOOK_WAIT_MS = 800
SHORT_RUN_MS = 2500
# A worker whose ends are not durable yet is looked at again after this long.
COMMIT_WAIT_S = 0.25
# Pause between looks that find out about a run in doubt.
DOUBT_PAUSE_S = 0.02
# Pause before a worker that left a look unanswered is looked at again.
LOOK_RETRY_S = 0.15
# The registry is read this often.
REGISTRY_S = 0.7
# Leases, repeated stops and times of jobs are reviewed this often.
REVIEW_S = 0.1
# Changes of one reactor turn, and of a little longer, share a dispatch.
DISPATCH_S = 0.003
# A feed of rows waits this long for a change.
FOLLOW_MS = 1000
# Rows of ended jobs are looked for this often.
CLEAN_S = 4.0
# Rows in one reading, which a weak link carries well within a call's time limit.
PAGE_ROWS = 150
FOLLOW_RETRY_S = 0.2
# Pause of a feed that has brought nothing new.
FOLLOW_PAUSE_S = 0.4
RELEASE_POLL_S = 0.01

AskAdviceFunction = Callable[[AskAdvice], None]


class PoolOwner:
    """Run one pool for as long as this entry instance owns it."""

    def __init__(
        self,
        pool: Pool,
        writer: OwnerWriter,
        store: RowStore,
        registry: Registry,
        workers: WorkerClient,
        clock: Clock,
        read_uptime: Callable[[], float],
        read_unix_ms: Callable[[], float],
        ask_advice: AskAdviceFunction,
        count_advisers: Callable[[], AdviserCount],
        is_store_away: Callable[[], bool],
        list_silent_zones: Callable[[], frozenset[str]],
        metrics: Metrics,
    ) -> None:
        self.pool = pool
        self.writer = writer
        self.dispatcher = Dispatcher(pool)
        self._store = store
        self._registry = registry
        self._client = workers
        self._clock = clock
        self._read_uptime = read_uptime
        self._read_unix_ms = read_unix_ms
        self._ask_advice = ask_advice
        self._count_advisers = count_advisers
        self._is_store_away = is_store_away
        self._list_silent_zones = list_silent_zones
        self._metrics = metrics
        self._looking: set[WorkerKey] = set()
        self._dispatch_call: Any = None
        self._following = 0
        self._following_cancels = 0
        self._shards = list_shards(pool.name)
        self._awaiting_commit: list[Deferred[None]] = []
        self.running = False
        self._cleaned_at = read_uptime()
        self.deposed: Callable[[str], None] = lambda reason: None

    # Life

    async def load(self) -> None:
        """Read all rows of the pool, so that nothing accepted is unknown."""
        self._advance()
        name = self.pool.name
        # A submission is read before the progress of its job, which outlasts it.
        cancels = await self._read_shards(CANCELS)
        jobs = await self._read_shards(JOBS)
        roster, progress_rows = await gather(
            [self._read_all(OWNERS, name), self._read_all(PROGRESS, name)]
        )
        self.writer.learn_versions(tuple(chain(roster, progress_rows)))
        self._use_roster(roster)
        progress = {JobId(row.key): decode_progress(row.value) for row in progress_rows}
        for job, found in progress.items():
            if found.is_final():
                self.pool.archive.add(job, JobState(found.state), self.pool.now)
        for row in jobs:
            if row.key not in self.pool.archive:
                self.pool.add_job(
                    decode_job(row.value), progress.get(JobId(row.key)), inherited=True
                )
        for row in cancels:
            self.pool.cancel_job(JobId(row.key))
        logger.info(
            "pool loaded",
            extra={
                "pool": self.pool.name,
                "term": self.pool.term,
                "jobs": len(self.pool.jobs),
                "runs": sum(len(worker.runs) for worker in self.pool.workers.values()),
                "version": self._following,
            },
        )

    def _use_roster(self, rows: list[Row]) -> None:
        """Take the workers that earlier owners used, some of which the registry may not show."""
        for row in rows:
            if row.key != ROSTER_KEY:
                continue
            entries = msgspec.msgpack.decode(row.value, type=RosterRow).workers
            self.writer.set_roster(tuple(entries))
            self.pool.takeover.add_workers(entries)

    async def _read_all(self, table: str, part: str) -> list[Row]:
        page = await self._store.read(table, part, "", PAGE_ROWS)
        rows = list(page.rows)
        # Rows that come while others are read are found by the feeds from the oldest reading on.
        if table == JOBS:
            self._following = min(self._following or page.version, page.version)
        elif table == CANCELS:
            self._following_cancels = min(self._following_cancels or page.version, page.version)
        while page.more:
            page = await self._store.read(table, part, rows[-1].key + "\0", PAGE_ROWS)
            rows.extend(page.rows)
        return rows

    def renew(self) -> None:
        """Begin to renew the ownership, while rows are still read."""
        self.running = True
        launch(self._keep(self._write))

    def start(self) -> None:
        """Begin to serve the pool."""
        for loop in (self._watch_registry, self._review, self._follow_jobs):
            launch(self._keep(loop))
        launch(self._keep(self._follow_cancels))

    async def release(self, limit_s: float) -> None:
        """Give the pool up once all is recorded, or stop without after some seconds.

        While the store is away, what runs is kept running.
        """
        self.writer.releasing = True
        limit = self._read_uptime() + limit_s
        while self.running and self._read_uptime() < limit:
            await sleep(self._clock, RELEASE_POLL_S)
        if self.running:
            logger.warning("pool not released", extra={"pool": self.pool.name})
        self.running = False

    async def _keep(self, step: Callable[[], Any]) -> None:
        """Repeat a step until the pool is given up."""
        while self.running:
            try:
                await step()
            except DeposedError as error:
                self.depose(str(error))
            except LavenderstallError as error:
                logger.info("step failed", extra={"error": str(error), "pool": self.pool.name})
                await sleep(self._clock, FOLLOW_RETRY_S)
            except Exception:
                logger.exception("step failed", extra={"pool": self.pool.name})
                await sleep(self._clock, FOLLOW_RETRY_S)

    def depose(self, reason: str) -> None:
        """Act no longer, as another instance owns the pool."""
        if self.running:
            self.running = False
            self.deposed(reason)

    def may_act(self) -> bool:
        """Tell whether ownership was confirmed recently enough to extend leases."""
        return self.running and self._read_uptime() - self.writer.confirmed_at < ACT_S

    def _advance(self) -> None:
        self.pool.silent_zones = self._list_silent_zones()
        self.pool.advance(self._read_uptime(), self._read_unix_ms())

    # Loops

    async def _write(self) -> None:
        batch = await self.writer.step()
        if self.writer.released:
            self.running = False
        elif batch is not None:
            self._note_recorded(batch)
        if self._read_uptime() - self._cleaned_at > CLEAN_S:
            self._cleaned_at = self._read_uptime()
            await self.writer.clean()

    async def _watch_registry(self) -> None:
        entries = await self._registry.list_workers()
        self._advance()
        self.pool.set_workers(entry for entry in entries if entry.pool == self.pool.name)
        self.schedule()
        await sleep(self._clock, REGISTRY_S)

    async def _review(self) -> None:
        self._advance()
        self.pool.review()
        self._look_around()
        self._dispatch()
        await sleep(self._clock, REVIEW_S)

    async def _follow_jobs(self) -> None:
        try:
            page = await self._store.follow(JOBS, self._following, FOLLOW_MS)
        except HistoryLostError:
            self._following = 0
            for row in await self._read_shards(JOBS):
                self.take_job(decode_job(row.value))
            return
        self._following = page.version
        rows = [row for row in page.rows if row.part in self._shards and row.version]
        news = [self.take_job(decode_job(row.value)) for row in rows]
        if rows and not any(news):
            # Entry instances have told of all of them.
            await sleep(self._clock, FOLLOW_PAUSE_S)

    async def _follow_cancels(self) -> None:
        try:
            page = await self._store.follow(CANCELS, self._following_cancels, FOLLOW_MS)
        except HistoryLostError:
            self._following_cancels = 0
            for row in await self._read_shards(CANCELS):
                self.take_cancel(JobId(row.key))
            return
        self._following_cancels = page.version
        for row in page.rows:
            if row.part in self._shards and row.version:
                self.take_cancel(JobId(row.key))

    async def _read_shards(self, table: str) -> list[Row]:
        found = await gather([self._read_all(table, shard) for shard in self._shards])
        return list(chain.from_iterable(found))

    # Events from entry instances

    def take_job(self, row: AcceptedJob) -> bool:
        """Take a job that has been accepted, and tell whether it is new."""
        self._advance()
        if not self.pool.add_job(row):
            return False
        logger.info("job taken", extra={"job": row.id, "pool": self.pool.name})
        self.schedule()
        return True

    def take_cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self._advance()
        if self.pool.cancel_job(job):
            self.schedule()

    def note_advice(self, order: AskAdvice, advice: Any) -> None:
        """Take advice, or none if it did not come."""
        self._advance()
        if advice is None:
            self.pool.note_no_advice(order.group)
        else:
            self.pool.note_advice(order.group, advice, order.workers)
        self.schedule()

    # Decisions and orders

    def schedule(self) -> None:
        """Dispatch soon."""
        if self._dispatch_call is None and self.running:
            self._dispatch_call = self._clock.callLater(DISPATCH_S, self._dispatch_now)

    def _dispatch_now(self) -> None:
        self._dispatch_call = None
        if self.running:
            self._advance()
            self._dispatch()

    def _dispatch(self) -> None:
        if self.may_act() and not self.writer.releasing:
            started = self._read_uptime()
            self.dispatcher.dispatch(*self._count_advisers())
            self._metrics.record("dispatch", self._read_uptime() - started)
            if self.writer.get_silence() > UNRECORDED_S and self._is_store_away():
                self.pool.recorder.release_unrecorded()
        self._perform_all()
        self._look_around()

    def _perform_all(self) -> None:
        for effect in self.pool.take_effects():
            self.perform(effect)

    @singledispatchmethod
    def perform(self, effect: Any) -> None:
        """Carry out one effect."""
        raise TypeError(f"{type(effect).__name__} is no effect")

    @perform.register
    def _(self, effect: AskAdvice) -> None:
        self._ask_advice(effect)

    @perform.register
    def _(self, effect: StartRun) -> None:
        launch(self._start_run(effect))

    @perform.register
    def _(self, effect: StopRun) -> None:
        launch(self._stop_run(effect))

    @perform.register
    def _(self, effect: PaceRun) -> None:
        launch(self._pace_run(effect))

    async def _start_run(self, order: StartRun) -> None:
        worker = self.pool.workers.get(order.worker)
        if worker is None or not self.running:
            return
        began = self._read_uptime()
        try:
            answer = await self._client.start(worker.entry, self.pool.term, order)
        except PeerUnavailableError as error:
            self._advance()
            self.pool.note_refused(order.worker, order.task, order.number, Refusal("unreachable"))
            logger.info("start not sent", extra={"job": order.task.job, "error": str(error)})
        except LavenderstallError as error:
            self._advance()
            self.pool.note_unanswered(order.worker, order.task, order.number)
            logger.info(
                "start unanswered",
                extra={
                    "job": order.task.job,
                    "task": list(order.task),
                    "run": order.number,
                    "worker": order.worker.id,
                    "error": str(error),
                },
            )
        else:
            self._advance()
            self._metrics.record("start_run", self.pool.now - began)
            if not isinstance(answer, Refusal):
                self.pool.note_started(order.worker, order.task, order.number, answer)
            elif not self._check_fence(answer):
                self.pool.note_refused(order.worker, order.task, order.number, answer)
        self.schedule()

    def _check_fence(self, refusal: Refusal) -> bool:
        """Give the pool up if a worker has seen a later owner."""
        if refusal.reason != "fence":
            return False
        self.depose("a worker has seen a higher fencing token")
        return True

    async def _stop_run(self, order: StopRun) -> None:
        worker = self.pool.workers.get(order.worker)
        if worker is None or not self.running:
            return
        try:
            answer = await self._client.stop(worker.entry, self.pool.term, order)
        except LavenderstallError as error:
            logger.info("stop failed", extra={"job": order.task.job, "error": str(error)})
            return
        self._advance()
        if not isinstance(answer, Refusal):
            self.pool.note_stopped(order.worker, order.task, order.number, answer)
        else:
            self._check_fence(answer)

    async def _pace_run(self, order: PaceRun) -> None:
        worker = self.pool.workers.get(order.worker)
        if worker is None or not self.running:
            return
        try:
            answer = await self._client.pace(worker.entry, self.pool.term, order)
        except LavenderstallError as error:
            logger.info("pace failed", extra={"job": order.task.job, "error": str(error)})
            return
        if isinstance(answer, Refusal):
            self._check_fence(answer)

    # Looks

    def _look_around(self) -> None:
        for worker in list(self.pool.workers.values()):
            if worker.key not in self._looking and self.pool.needs_look(worker):
                self._looking.add(worker.key)
                launch(self._look(worker))

    async def _look(self, worker: Worker) -> None:
        try:
            while (
                self.running
                and self.pool.workers.get(worker.key) is worker
                and self.pool.needs_look(worker)
            ):
                await self._look_once(worker)
        finally:
            self._looking.discard(worker.key)

    async def _look_once(self, worker: Worker) -> None:
        asked_at = self._read_uptime()
        immediate = (
            not worker.claimed
            or not self.pool.is_reached(worker)
            or any(run.lost_at >= 0 for run in worker.runs.values())
        )
        lease = self._make_lease(worker, asked_at)
        try:
            answer = await self._client.look(
                worker.entry,
                self.pool.term,
                worker.get_seen_seq(asked_at),
                lease,
                0 if immediate else self._choose_wait_ms(worker),
            )
        except LavenderstallError as error:
            self._advance()
            self.pool.note_silence(worker.key)
            self._metrics.count("looks_failed")
            logger.info("look failed", extra={"worker": worker.key.id, "error": str(error)})
            await sleep(self._clock, LOOK_RETRY_S)
            return
        if isinstance(answer, Refusal):
            self._advance()
            self._check_fence(answer)
            self.pool.note_look_refused(worker.key, answer)
            await sleep(self._clock, LOOK_RETRY_S)
            return
        if not self.running:
            return
        self._advance()
        self.pool.note_look(worker.key, answer, asked_at)
        self._metrics.record("look", self.pool.now - asked_at)
        self.schedule()
        if worker.applied_seq > worker.committed_seq:
            # Until its ends are acknowledged, a worker answers every look at once.
            await self._wait_for_commit()
        elif immediate:
            await sleep(self._clock, DOUBT_PAUSE_S)

    def _choose_wait_ms(self, worker: Worker) -> int:
        short = any(self.pool.is_short(run, SHORT_RUN_MS) for run in worker.runs.values())
        return SHORT_LOOK_WAIT_MS if short else LOOK_WAIT_MS

    def _wait_for_commit(self) -> Deferred[None]:
        """Return a deferred that fires with the next commit, or after a time."""
        waiting: Deferred[None] = Deferred()
        self._awaiting_commit.append(waiting)
        timer = self._clock.callLater(COMMIT_WAIT_S, self._end_wait, waiting)
        waiting.addCallback(lambda _: timer.cancel() if timer.active() else None)
        return waiting

    def _end_wait(self, waiting: Deferred[None]) -> None:
        if waiting in self._awaiting_commit:
            self._awaiting_commit.remove(waiting)
            waiting.callback(None)

    def _note_recorded(self, batch: Batch) -> None:
        """Send the orders that waited for a commit, and let the looks that waited go on."""
        self._advance()
        self.pool.recorder.note_recorded(batch)
        self._perform_all()
        waiting, self._awaiting_commit = self._awaiting_commit, []
        for each in waiting:
            each.callback(None)

    def _make_lease(self, worker: Worker, now: float) -> Lease | None:
        """Return the lease to ask for, none while ownership, clock or contact is in doubt.

        Looks that a silent worker may still carry out would put off the end of its leases.
        """
        if not self.may_act() or worker.clock_at < 0 or worker.silent_since >= 0:
            return None
        deadline = int(worker.estimate_clock(now)) + LEASE_MS
        worker.note_lease(deadline)
        return Lease(deadline)
