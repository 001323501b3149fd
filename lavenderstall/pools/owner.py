"""The owner of a pool: performs what the pool decides and feeds back what happens."""

import logging
from collections.abc import Callable
from itertools import chain
from typing import Any

import msgspec

from lavenderstall.clocks import Clock, sleep
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advisers import AdviserCount
from lavenderstall.pools.background import gather, launch
from lavenderstall.pools.dispatch import Dispatcher
from lavenderstall.pools.effects import FENCE, AskAdvice, Refusal
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.observer import Observer
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.ports import (
    HistoryLostError,
    Registry,
    Row,
    RowStore,
    WorkerClient,
)
from lavenderstall.pools.recording import ProgressBatch
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
from lavenderstall.pools.worker_commands import CommandSender
from lavenderstall.pools.writer import OwnershipLostError, OwnerWriter

logger = logging.getLogger(__name__)

# An owner that has not confirmed its ownership for this long extends nothing any more.
ACT_S = 7.0
# Without the store for this long, and with peers that miss it too, an owner starts tasks without
# recording them. Longer than `claims.RECORDED_MS` and the time that news of a claim takes.
UNRECORDED_S = 4.0
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
        self._clock = clock
        self._read_uptime = read_uptime
        self._read_unix_ms = read_unix_ms
        self._ask_advice = ask_advice
        self._count_advisers = count_advisers
        self._is_store_away = is_store_away
        self._list_silent_zones = list_silent_zones
        self._metrics = metrics
        self._dispatch_call: Any = None
        self._following = 0
        self._following_cancels = 0
        self._shards = list_shards(pool.name)
        self._commands = CommandSender(
            pool, workers, read_uptime, metrics, self._note_change, self.check_refusal
        )
        self._observer = Observer(self, workers, clock, read_uptime, metrics)
        self.running = False
        self._cleaned_at = read_uptime()
        self.deposed: Callable[[str], None] = lambda reason: None

    # Life

    async def load(self) -> None:
        """Read all rows of the pool, so that nothing accepted is unknown."""
        self.advance()
        name = self.pool.name
        # A submission is read before the progress of its job, which outlasts it.
        cancels = await self._read_shards(CANCELS)
        jobs = await self._read_shards(JOBS)
        roster, progress_rows = await gather(
            [self._read_all(OWNERS, name), self._read_all(PROGRESS, name)]
        )
        self.writer.note_row_versions(tuple(chain(roster, progress_rows)))
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
        while page.has_more:
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
            except OwnershipLostError as error:
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

    def advance(self) -> None:
        """Let the pool know the time."""
        self.pool.silent_zones = self._list_silent_zones()
        self.pool.advance(self._read_uptime(), self._read_unix_ms())

    # Loops

    async def _write(self) -> None:
        batch = await self.writer.write_due()
        if self.writer.released:
            self.running = False
        elif batch is not None:
            self._note_recorded(batch)
        if self._read_uptime() - self._cleaned_at > CLEAN_S:
            self._cleaned_at = self._read_uptime()
            await self.writer.delete_obsolete_rows()

    async def _watch_registry(self) -> None:
        entries = await self._registry.list_workers()
        self.advance()
        self.pool.set_workers(entry for entry in entries if entry.pool == self.pool.name)
        self.schedule()
        await sleep(self._clock, REGISTRY_S)

    async def _review(self) -> None:
        self.advance()
        self.pool.review()
        self._observer.look_around()
        self._dispatch()
        await sleep(self._clock, REVIEW_S)

    async def _follow_jobs(self) -> None:
        try:
            page = await self._store.poll_changes(JOBS, self._following, FOLLOW_MS)
        except HistoryLostError:
            self._following = 0
            for row in await self._read_shards(JOBS):
                self.take_job(decode_job(row.value))
            return
        self._following = page.version
        rows = [row for row in page.rows if row.partition in self._shards and row.version]
        news = [self.take_job(decode_job(row.value)) for row in rows]
        if rows and not any(news):
            # Entry instances have told of all of them.
            await sleep(self._clock, FOLLOW_PAUSE_S)

    async def _follow_cancels(self) -> None:
        try:
            page = await self._store.poll_changes(CANCELS, self._following_cancels, FOLLOW_MS)
        except HistoryLostError:
            self._following_cancels = 0
            for row in await self._read_shards(CANCELS):
                self.take_cancel(JobId(row.key))
            return
        self._following_cancels = page.version
        for row in page.rows:
            if row.partition in self._shards and row.version:
                self.take_cancel(JobId(row.key))

    async def _read_shards(self, table: str) -> list[Row]:
        found = await gather([self._read_all(table, shard) for shard in self._shards])
        return list(chain.from_iterable(found))

    # Events from entry instances

    def take_job(self, row: AcceptedJob) -> bool:
        """Take a job that has been accepted, and tell whether it is new."""
        self.advance()
        if not self.pool.add_job(row):
            return False
        logger.info("job taken", extra={"job": row.id, "pool": self.pool.name})
        self.schedule()
        return True

    def take_cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self.advance()
        if self.pool.cancel_job(job):
            self.schedule()

    def note_advice(self, order: AskAdvice, advice: Any) -> None:
        """Take advice, or none if it did not come."""
        self.advance()
        if advice is None:
            self.pool.note_no_advice(order.group)
        else:
            self.pool.note_advice(order.group, advice, order.workers)
        self.schedule()

    # Decisions and commands

    def _note_change(self) -> None:
        self.advance()
        self.schedule()

    def schedule(self) -> None:
        """Dispatch soon."""
        if self._dispatch_call is None and self.running:
            self._dispatch_call = self._clock.callLater(DISPATCH_S, self._dispatch_now)

    def _dispatch_now(self) -> None:
        self._dispatch_call = None
        if self.running:
            self.advance()
            self._dispatch()

    def _dispatch(self) -> None:
        if self.may_act() and not self.writer.releasing:
            started = self._read_uptime()
            self.dispatcher.dispatch(*self._count_advisers())
            self._metrics.record("dispatch", self._read_uptime() - started)
            if self.writer.get_store_outage() > UNRECORDED_S and self._is_store_away():
                self.pool.recorder.send_unrecorded_starts()
        self._perform_all()
        self._observer.look_around()

    def _perform_all(self) -> None:
        for effect in self.pool.take_effects():
            if isinstance(effect, AskAdvice):
                self._ask_advice(effect)
            elif self.running:
                self._commands.send(effect)

    def _note_recorded(self, batch: ProgressBatch) -> None:
        """Send the commands that waited for a commit, and let the looks that waited go on."""
        self.advance()
        self.pool.recorder.note_recorded(batch)
        self._perform_all()
        self._observer.note_recorded()

    def check_refusal(self, refusal: Refusal) -> bool:
        """Give the pool up if a worker has seen a later owner, and tell so."""
        if refusal.reason != FENCE:
            return False
        self.depose("a worker has seen a higher fencing token")
        return True
