"""The owner of a pool: executes the pool's decisions and reports events back to it."""

import logging
from collections.abc import AsyncIterator, Callable, Iterable
from functools import partial
from itertools import chain
from math import inf
from typing import Any, TypeVar

from lavenderstall.clocks import Clock, cancel_if_active, sleep
from lavenderstall.decoding import UnreadableError
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import EntryId, JobId
from lavenderstall.metrics import Metrics
from lavenderstall.pools.advice_balancer import IdleAdviserCount
from lavenderstall.pools.coroutines import gather, gather_all, launch
from lavenderstall.pools.dispatch import Dispatcher
from lavenderstall.pools.earlier_owners import (
    LEASE_S,
    OUTAGE_LEASES_DELAY_S,
    OWNED_LEASES_S,
    OWNERSHIP_TIMEOUT_S,
)
from lavenderstall.pools.effects import FENCE, Refusal, RequestAdvice, StartRun
from lavenderstall.pools.job import AcceptedJob, EndedJob
from lavenderstall.pools.monitored_store import MonitoredStore
from lavenderstall.pools.pool import Pool
from lavenderstall.pools.ports import (
    HistoryLostError,
    Page,
    Registry,
    Row,
    WorkerClient,
)
from lavenderstall.pools.progress import JobProgress, check_progress
from lavenderstall.pools.recording import ProgressBatch
from lavenderstall.pools.records import (
    CANCELS,
    JOBS,
    OWNERS,
    PROGRESS,
    ROSTER_KEY,
    decode_job,
    decode_progress,
    decode_roster,
    encode_cancellation,
    list_shards,
)
from lavenderstall.pools.row_parts import is_part_key
from lavenderstall.pools.share_keeper import ShareKeeper
from lavenderstall.pools.table_reads import read_partition
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import JobState, PoolName
from lavenderstall.pools.worker_commands import CommandSender
from lavenderstall.pools.worker_poller import WorkerPoller
from lavenderstall.pools.workers import Worker
from lavenderstall.pools.writer import OwnershipLostError, OwnerWriter

T = TypeVar("T")

logger = logging.getLogger(__name__)

# Without the store for this long, and with peers that miss it too, an owner starts runs without
# recording them. Longer than `claims.COMPLETE_RECORDS_MS` plus the time for a claim to be heard.
UNRECORDED_START_DELAY_S = 4.0
REGISTRY_POLL_INTERVAL_S = 0.7
# Capacities may have shrunk since an older list of workers. Below the time for which a former
# capacity counts, which is 4.5 s or more.
REGISTRY_MAX_AGE_S = 3.0
# Entries of live workers that expired in a store outage are back this long after it.
REGISTRY_RECOVERY_S = 2.5
# Interval at which leases, repeated stops and job times are checked.
REVIEW_INTERVAL_S = 0.1
# Changes within this time, more than one reactor turn, share a dispatch.
DISPATCH_DELAY_S = 0.003
# Rows of jobs that are decoded and applied in one turn, which takes some ten milliseconds.
TURN_ROWS = 100
# Long-poll timeout of the row feeds.
FEED_WAIT_MS = 1000
# The rows are read if nothing of a feed's answer has come so long after its call.
FEED_OVERDUE_S = FEED_WAIT_MS / 1000 + 0.4
# Interval at which rows of ended jobs are deleted.
CLEANUP_INTERVAL_S = 4.0
# Rows per page; small enough for a slow link to carry within a call's timeout.
PAGE_ROWS = 150
RETRY_DELAY_S = 0.2
# Interval at which the rows are read of a table whose feed doesn't answer.
TABLE_READ_INTERVAL_S = 1.0
HISTORY_LOST = "the history of changes was lost"
# Pause after a feed returned only known jobs.
FEED_PAUSE_S = 0.4
RELEASE_POLL_INTERVAL_S = 0.01

RequestAdviceFunction = Callable[[RequestAdvice], None]


class PoolOwner:
    """Run one pool while this entry instance owns it."""

    def __init__(
        self,
        pool: Pool,
        writer: OwnerWriter,
        store: MonitoredStore,
        registry: Registry,
        workers: WorkerClient,
        clock: Clock,
        read_uptime: Callable[[], float],
        read_unix_ms: Callable[[], float],
        request_advice: RequestAdviceFunction,
        count_idle_advisers: Callable[[], IdleAdviserCount],
        is_store_down: Callable[[], bool],
        is_store_down_everywhere: Callable[[float], bool],
        list_unresponsive_zones: Callable[[], frozenset[str]],
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
        self._request_advice = request_advice
        self._count_idle_advisers = count_idle_advisers
        self._is_store_down = is_store_down
        self._is_store_down_everywhere = is_store_down_everywhere
        self._list_unresponsive_zones = list_unresponsive_zones
        self._metrics = metrics
        self._unreadable_rows = UnreadableRows(metrics)
        self._dispatch_call: Any = None
        self._jobs_version = 0
        self._cancels_version = 0
        self._tables_read_at: dict[str, float] = {}
        self._tables_being_read: set[str] = set()
        self._shards = list_shards()
        # Without their progress, tasks of these jobs that are done would run again.
        self._unreadable_jobs: set[JobId] = set()
        # Pools of all jobs that were read; some may be in no configuration any more.
        self.pools_of_jobs: set[PoolName] = set()
        self.shares: ShareKeeper | None = None
        self._commands = CommandSender(
            pool,
            workers,
            clock,
            read_uptime,
            metrics,
            self._handle_worker_answer,
            self.check_fenced,
            self._may_send,
        )
        self._worker_poller = WorkerPoller(self, workers, clock, read_uptime, metrics)
        self.running = False
        self._registry_read_at = -REGISTRY_MAX_AGE_S
        self.on_ownership_lost: Callable[[str], None] = lambda reason: None

    # Lifecycle

    async def load(self) -> None:
        """Load all rows of the pool, so that every accepted job is known."""
        self.update_time()
        name = self.pool.name
        # Job rows are read before progress rows, which are deleted later.
        cancels, self._cancels_version = await self._read_shards(CANCELS)
        jobs, self._jobs_version = await self._read_shards(JOBS)
        (roster, _), (progress_rows, _) = await gather(
            [self._read_partition(OWNERS, name), self._read_partition(PROGRESS, name)]
        )
        self.writer.note_row_versions(tuple(chain(roster, progress_rows)))
        self.writer.loading = True
        try:
            await self._load_rows(roster, progress_rows, jobs, cancels)
        finally:
            self.writer.loading = False
        self.update_time()
        self.pool.takeover.note_loaded()
        logger.info(
            "pool loaded",
            extra={
                "pool": self.pool.name,
                "term": self.pool.term,
                "jobs": len(self.pool.jobs),
                "runs": sum(len(worker.runs) for worker in self.pool.workers.values()),
                "version": self._jobs_version,
            },
        )

    async def _load_rows(
        self, roster: list[Row], progress_rows: list[Row], jobs: list[Row], cancels: list[Row]
    ) -> None:
        """Add what earlier owners knew, and let renewals and heartbeats go on meanwhile."""
        self._load_roster(roster)
        progress = await self._decode_progress(progress_rows)
        for job, found in progress.items():
            if found is not None and found.is_final():
                self.pool.archive.add(job, JobState(found.state), self.pool.now)
                self.pool.late_starts.add_recorded(job, found)
        self._unreadable_jobs = {job for job, found in progress.items() if found is None}
        async for row in self._take_turns(jobs):
            self._load_job(row, progress.get(JobId(row.key)))
        async for row in self._take_turns(cancels):
            if self._concerns_pool(row):
                self.pool.cancel_job(JobId(row.key))

    async def _take_turns(self, rows: Iterable[Row]) -> AsyncIterator[Row]:
        """Yield rows, and let other work of the process have its turn between them."""
        for number, row in enumerate(rows, 1):
            yield row
            if number % TURN_ROWS == 0:
                await sleep(self._clock, 0.0)

    async def _decode_progress(self, rows: list[Row]) -> dict[JobId, JobProgress | None]:
        """Return the progress of each job that has any, none where it can't be read."""
        parts = {row.key: row.value for row in rows if is_part_key(row.key)}
        return {
            JobId(row.key): self._decode(row, partial(decode_progress, key=row.key, parts=parts))
            async for row in self._take_turns(row for row in rows if not is_part_key(row.key))
        }

    def _load_job(self, row: Row, progress: JobProgress | None) -> None:
        """Add a job of earlier owners, unless its rows can't be read or it has ended."""
        accepted = self._decode_job(row)
        if isinstance(accepted, EndedJob):
            self.pool.archive.note_replaced([accepted.id])
            return
        if (
            accepted is None
            or accepted.id in self._unreadable_jobs
            or accepted.id in self.pool.archive
        ):
            return
        try:
            check_progress(progress, accepted.spec)
        except UnreadableError as error:
            self._unreadable_rows.note(PROGRESS, row.key, row.version, error)
            self._unreadable_jobs.add(accepted.id)
            return
        self._apply(row, partial(self.pool.add_job, accepted, progress, inherited=True))

    def _load_roster(self, rows: list[Row]) -> None:
        """Add the workers that earlier owners used; the registry may not list all of them."""
        parts = {row.key: row.value for row in rows if is_part_key(row.key)}
        for row in rows:
            if row.key != ROSTER_KEY:
                continue
            roster = self._decode(row, partial(decode_roster, parts=parts))
            if roster is None:
                self.pool.takeover.note_unknown_workers()
                continue
            self.pool.takeover.add_workers(roster.workers)
            self.writer.set_roster(roster)

    async def _read_partition(self, table: str, partition: str) -> tuple[list[Row], int]:
        return await read_partition(self._store, table, partition, PAGE_ROWS)

    def start_renewal(self) -> None:
        """Start to renew the ownership, while rows are still being loaded."""
        self.running = True
        launch(self._repeat(self._run_writer))
        if self.shares is not None:
            self.shares.schedule_check()

    def start(self) -> None:
        """Start to serve the pool."""
        for loop in (
            self._poll_registry,
            self._review,
            self._follow_jobs,
            self._follow_cancels,
            self._clean_up,
        ):
            launch(self._repeat(loop))

    async def release(self, limit_s: float) -> None:
        """Release the pool once all progress is recorded, or stop without that after `limit_s`.

        Runs continue if the store is unavailable.
        """
        self.writer.releasing = True
        limit = self._read_uptime() + limit_s
        while self.running and self._read_uptime() < limit:
            await sleep(self._clock, RELEASE_POLL_INTERVAL_S)
        if self.running:
            logger.warning("pool not released before the timeout", extra={"pool": self.pool.name})
        self.running = False

    async def _repeat(self, step: Callable[[], Any]) -> None:
        """Repeat a step until ownership ends."""
        while self.running:
            try:
                await step()
            except OwnershipLostError as error:
                self.lose_ownership(str(error))
            except LavenderstallError as error:
                logger.info(
                    "periodic step failed; retrying",
                    extra={"error": str(error), "pool": self.pool.name},
                )
                await sleep(self._clock, RETRY_DELAY_S)
            except Exception:
                logger.exception("periodic step failed; retrying", extra={"pool": self.pool.name})
                await sleep(self._clock, RETRY_DELAY_S)

    def lose_ownership(self, reason: str) -> None:
        """Stop acting, as another instance owns the pool."""
        if self.running:
            self.running = False
            self.on_ownership_lost(reason)

    def has_confirmed_ownership(self) -> bool:
        """Tell whether ownership was confirmed recently enough to extend leases."""
        return self.running and self._read_uptime() < self.get_lease_limit()

    def _may_send(self, command: StartRun) -> bool:
        """Tell whether a start may be sent: its owner row covers one that is in no other."""
        worker = self.pool.workers.get(command.worker)
        run = worker.runs.get((command.task, command.number)) if worker else None
        recorded = run is not None and not run.unrecorded
        return self.has_confirmed_ownership() and (recorded or self.writer.covers_unrecorded())

    def get_lease_limit(self) -> float:
        """Return until when a lease may last, in seconds of uptime.

        It ends with the ownership that it rests on, so that a successor waits no longer than for
        that. While all instances miss the store there can be no successor, unless the pool may have
        been released. Before the first renewal there is no lease.
        """
        if not self.writer.renewed:
            return -inf
        now = self._read_uptime()
        confirmed_at = self.writer.confirmed_at
        in_outage = self.writer.get_store_outage() > OUTAGE_LEASES_DELAY_S
        kept = now - confirmed_at < OWNERSHIP_TIMEOUT_S and not self.writer.releasing
        if in_outage and kept and self._is_store_down_everywhere(confirmed_at):
            return now + LEASE_S
        return confirmed_at + OWNED_LEASES_S

    def update_time(self) -> None:
        """Update the time, the limit of leases and the unresponsive zones of the pool."""
        self.pool.lease_limit = self.get_lease_limit()
        self.pool.unresponsive_zones = self._list_unresponsive_zones()
        self.pool.advance(self._read_uptime(), self._read_unix_ms())

    # Loops

    async def _run_writer(self) -> None:
        batch = await self.writer.write_due()
        if self.writer.released:
            self.running = False
        elif batch is not None:
            await self._handle_batch(batch)

    async def _clean_up(self) -> None:
        await self.writer.delete_obsolete_rows()
        await sleep(self._clock, CLEANUP_INTERVAL_S)

    async def _handle_batch(self, batch: ProgressBatch) -> None:
        """Handle a commit, after one in an outage once the capacities of workers are read again."""
        if not self._knows_capacities():
            try:
                await self._read_registry()
            except Exception:
                self.pool.recorder.requeue(batch)
                raise
        self._handle_commit(batch)

    async def _poll_registry(self) -> None:
        await self._read_registry()
        self.schedule_dispatch()
        await sleep(self._clock, REGISTRY_POLL_INTERVAL_S)

    async def _read_registry(self) -> None:
        asked_at = self._read_uptime()
        entries = await self._registry.list_workers()
        self.update_time()
        self._registry_read_at = asked_at
        self.pool.set_workers(
            (entry for entry in entries if entry.pool == self.pool.name),
            incomplete=self._store.get_available_s() < REGISTRY_RECOVERY_S,
        )

    async def _review(self) -> None:
        self.update_time()
        self.pool.run_periodic_checks()
        if self.shares is not None:
            self.shares.schedule_check()
        self._worker_poller.poll_workers()
        self._dispatch()
        await sleep(self._clock, REVIEW_INTERVAL_S)

    async def _follow_jobs(self) -> None:
        try:
            page = await self._poll_feed(JOBS, self._jobs_version, self._add_jobs)
        except HistoryLostError:
            self._jobs_version = await self._read_again(JOBS, self._add_jobs, HISTORY_LOST)
            await sleep(self._clock, RETRY_DELAY_S)
            return
        rows = self._select_rows(page)
        added = self._add_jobs(rows)
        self._jobs_version = page.version
        self._check_earlier_jobs(page.version)
        if rows and not any(added):
            # Job hints of entry instances arrived earlier than the feed.
            await sleep(self._clock, FEED_PAUSE_S)

    def _check_earlier_jobs(self, version: int) -> None:
        """Note once all jobs are known that were stored while earlier owners sent starts."""
        over_version = self.writer.sending_over_version
        if over_version is not None and version >= over_version:
            self.pool.late_starts.note_earlier_jobs_known()

    async def _poll_feed(self, table: str, version: int, apply: Callable[[list[Row]], Any]) -> Page:
        """Poll a feed; read the rows instead once it is overdue or has failed."""
        overdue = self._clock.callLater(FEED_OVERDUE_S, self._replace_feed, table, apply)
        try:
            return await self._store.poll_changes(
                table, version, FEED_WAIT_MS, partial(cancel_if_active, overdue)
            )
        except HistoryLostError:
            raise
        except LavenderstallError:
            self._replace_feed(table, apply)
            raise
        finally:
            cancel_if_active(overdue)

    def _replace_feed(self, table: str, apply: Callable[[list[Row]], Any]) -> None:
        """Read the rows of a table now and then while the store answers other calls."""
        due = self._read_uptime() - self._tables_read_at.get(table, 0.0) > TABLE_READ_INTERVAL_S
        if due and table not in self._tables_being_read and not self._store.is_lost():
            launch(self._read_table(table, apply))

    async def _read_table(self, table: str, apply: Callable[[list[Row]], Any]) -> None:
        self._tables_being_read.add(table)
        try:
            await self._read_until_answered(table, apply)
        finally:
            self._tables_being_read.discard(table)

    async def _read_until_answered(self, table: str, apply: Callable[[list[Row]], Any]) -> None:
        """Read the rows of a table, again if that fails while the store answers other calls."""
        while self.running and not self._store.is_lost():
            asked_at = self._tables_read_at[table] = self._read_uptime()
            try:
                await self._read_again(table, apply, "their feed does not answer")
                break
            except LavenderstallError as error:
                logger.info("rows not read", extra={"table": table, "error": str(error)})
            passed_s = self._read_uptime() - asked_at
            await sleep(self._clock, max(RETRY_DELAY_S, TABLE_READ_INTERVAL_S - passed_s))

    def _select_rows(self, page: Page) -> list[Row]:
        """Return the rows that are present, of any pool."""
        return [row for row in page.rows if row.partition in self._shards and row.version]

    def _concerns_pool(self, cancellation: Row) -> bool:
        """Tell whether a cancellation is of a known job, or of one that this pool will get."""
        known = JobId(cancellation.key) in self.pool.jobs
        return known or cancellation.value == encode_cancellation(self.pool.name)

    def _add_jobs(self, rows: Iterable[Row]) -> list[bool]:
        """Add the jobs of the readable rows, and tell for each whether it is new."""
        accepted = ((row, self._decode_job(row)) for row in rows)
        return [
            self._apply(row, partial(self.add_job, job))
            for row, job in accepted
            if isinstance(job, AcceptedJob)
        ]

    def _decode_job(self, row: Row) -> AcceptedJob | EndedJob | None:
        """Decode a job row of this pool, or note why it can't be read; else return none."""
        found = self._decode(row, decode_job)
        if found is not None and found.id != row.key:
            self._unreadable_rows.note(row.table, row.key, row.version, f"it holds job {found.id}")
            return None
        if found is None:
            return None
        self.pools_of_jobs.add(found.pool)
        return found if found.pool == self.pool.name else None

    def _decode(self, row: Row, decode: Callable[[bytes], T]) -> T | None:
        """Decode a row, or note why it can't be read and return none."""
        try:
            return decode(row.value)
        except UnreadableError as error:
            self._unreadable_rows.note(row.table, row.key, row.version, error)
            return None

    def _apply(self, row: Row, apply: Callable[[], bool]) -> bool:
        """Apply a row, or set it aside by name, so that the rows behind it are not lost."""
        try:
            return apply()
        except Exception as error:
            logger.exception("row not applied", extra={"table": row.table, "key": row.key})
            self._unreadable_rows.note(row.table, row.key, row.version, error)
            return False

    async def _follow_cancels(self) -> None:
        try:
            page = await self._poll_feed(CANCELS, self._cancels_version, self._cancel_jobs)
        except HistoryLostError:
            self._cancels_version = await self._read_again(CANCELS, self._cancel_jobs, HISTORY_LOST)
            await sleep(self._clock, RETRY_DELAY_S)
            return
        self._cancel_jobs(self._select_rows(page))
        self._cancels_version = page.version

    def _cancel_jobs(self, rows: Iterable[Row]) -> None:
        for row in rows:
            if self._concerns_pool(row):
                self._apply(row, partial(self.cancel_job, JobId(row.key)))

    async def _read_again(self, table: str, apply: Callable[[list[Row]], Any], reason: str) -> int:
        """Apply the rows of all shards and return the version at which their feed starts.

        If a shard can't be read, those of the others are applied before the error is raised.
        """
        found, errors = await gather_all(self._read_partition(table, part) for part in self._shards)
        logger.info(
            "rows read again",
            extra={
                "table": table,
                "pool": self.pool.name,
                "reason": reason,
                "partitions_failed": len(errors),
            },
        )
        async for row in self._take_turns(chain.from_iterable(rows for rows, _ in found)):
            apply([row])
        if errors:
            raise errors[0]
        return min(version for _, version in found)

    async def _read_shards(self, table: str) -> tuple[list[Row], int]:
        """Return the rows of all shards, and the version from which a feed returns later rows."""
        found = await gather([self._read_partition(table, shard) for shard in self._shards])
        rows = list(chain.from_iterable(rows for rows, _ in found))
        return rows, min(version for _, version in found)

    # Events from entry instances

    def add_hinted_job(self, value: bytes, sender: EntryId) -> None:
        """Add the job of a row that an entry instance has passed on, if it can be read."""
        accepted = self._decode(Row("hints", "", sender, value), decode_job)
        if isinstance(accepted, AcceptedJob) and accepted.pool == self.pool.name:
            self.add_job(accepted)

    def add_job(self, row: AcceptedJob) -> bool:
        """Add an accepted job and tell whether it is new."""
        self.update_time()
        if row.id in self._unreadable_jobs or not self.pool.add_job(row):
            return False
        logger.info("job added", extra={"job": row.id, "pool": self.pool.name})
        self.schedule_dispatch()
        return True

    def cancel_job(self, job: JobId) -> bool:
        """Cancel a job and tell whether it is known."""
        self.update_time()
        known = self.pool.cancel_job(job)
        logger.info("cancellation received", extra={"job": job, "known": known})
        if known:
            self.schedule_dispatch()
        return known

    def handle_advice(self, request: RequestAdvice, advice: Any) -> None:
        """Pass advice to the pool, or none if the call failed."""
        self.update_time()
        if advice is None:
            self.pool.note_advice_failed(request.step_key)
        else:
            self.pool.note_advice(request.step_key, advice, request.workers)
        self.schedule_dispatch()

    # Decisions and worker commands

    def _handle_worker_answer(self) -> None:
        self.update_time()
        self.schedule_dispatch()

    def schedule_dispatch(self) -> None:
        """Schedule a dispatch unless one is pending."""
        if self._dispatch_call is None and self.running:
            self._dispatch_call = self._clock.callLater(
                DISPATCH_DELAY_S, self._run_scheduled_dispatch
            )

    def _run_scheduled_dispatch(self) -> None:
        self._dispatch_call = None
        if self.running:
            self.update_time()
            self._dispatch()

    def _dispatch(self) -> None:
        may_place = self.has_confirmed_ownership() and not self.writer.releasing
        if may_place and self._knows_capacities():
            self._place_tasks()
        self._execute_effects()
        self._worker_poller.poll_workers()

    def _place_tasks(self) -> None:
        started = self._read_uptime()
        designation = self.writer.get_designation()
        self.dispatcher.dispatch(*self._count_idle_advisers(), designation)
        self._metrics.record("dispatch", self._read_uptime() - started)
        if self.dispatcher.may_start_more:
            self.schedule_dispatch()
        if self._may_start_unrecorded():
            self.pool.recorder.send_unrecorded_starts(self.writer.list_roster(), designation)

    def _knows_capacities(self) -> bool:
        """Tell whether the list of workers is recent.

        While none can be read, an old one will do if capacities have not changed lately.
        """
        age_s = self._read_uptime() - self._registry_read_at
        if age_s <= REGISTRY_MAX_AGE_S:
            return True
        return self._store.is_lost() and not self.pool.has_changing_capacities()

    def _may_start_unrecorded(self) -> bool:
        """Tell whether starts need not wait until their runs are recorded.

        The owner row says so while the store is slow. While it is down for all instances, nobody
        can take the pool over before its records count as incomplete.
        """
        if self.writer.may_start_unrecorded():
            return True
        return self.writer.get_store_outage() > UNRECORDED_START_DELAY_S and self._is_store_down()

    def _execute_effects(self) -> None:
        for effect in self.pool.pop_effects():
            if isinstance(effect, RequestAdvice):
                self._request_advice(effect)
            elif self.running:
                self._commands.send(effect)

    def _handle_commit(self, batch: ProgressBatch) -> None:
        """Execute effects and resume polls that waited for a commit.

        After a pause of this process the ownership may be over, although the commit succeeded.
        """
        self.update_time()
        if not self.has_confirmed_ownership():
            self.pool.recorder.requeue(batch)
            return
        self.pool.recorder.note_recorded(batch)
        self._execute_effects()
        self._worker_poller.resume_after_commit()

    def check_fenced(self, worker: Worker, refusal: Refusal) -> bool:
        """Tell whether a worker refused the fencing token; if so, stop owning the pool.

        A command to a worker that was replaced meanwhile is refused because of this owner's own
        later commands.
        """
        if refusal.reason != FENCE:
            return False
        if self.pool.workers.get(worker.key) is worker:
            self.lose_ownership("a worker has seen a higher fencing token")
        return True
