"""The entry instance: its components, periodic work and messages to peers."""

import logging
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall import cleaning, shutdown
from lavenderstall.access import Access
from lavenderstall.archives import ChangeArchive
from lavenderstall.bindings import Binding, issue_request_id
from lavenderstall.call_routing import CallRequest, CallRouter, SliceDirectory
from lavenderstall.cleaning import Cleaner
from lavenderstall.clocks import make_loop, sleep
from lavenderstall.commits import GroupCommit
from lavenderstall.configuration import Configuration, ConfigurationReader, ConfigurationView
from lavenderstall.declarations import find_closest_match
from lavenderstall.dependencies import Dependencies, Settings
from lavenderstall.errors import (
    BadRequestError,
    LavenderstallError,
    Outcome,
    PeerUnavailableError,
    RefusedError,
)
from lavenderstall.handlers import handle
from lavenderstall.identifiers import (
    EntryId,
    JobId,
    RequestId,
    ServiceName,
    SliceName,
    Version,
    WorkerId,
)
from lavenderstall.inventory_rows import RefusalLog
from lavenderstall.job_admission import AdmissionController
from lavenderstall.jobs import JobService
from lavenderstall.journal import ChangeJournal
from lavenderstall.messages import (
    CallAnswer,
    CallForward,
    ConfigAsk,
    ConfigChanged,
    Heartbeat,
    Message,
    SliceSummary,
)
from lavenderstall.metrics import Metrics
from lavenderstall.ownership import Ownership
from lavenderstall.peers import BroadcastSchedule, Peers, Readiness
from lavenderstall.protocol import Members, MemberState, WorkerMember
from lavenderstall.queries import QueryService
from lavenderstall.reasons import divide_capacity
from lavenderstall.reconciler import Reconciler
from lavenderstall.records import EntryRow
from lavenderstall.schemas import Calls, Retention
from lavenderstall.slice_configuration import (
    apply_commands,
    apply_policy,
    apply_teams,
    get_commands_by_scope,
    sum_team_usage,
)
from lavenderstall.slices import SliceServer
from lavenderstall.storage import ObjectStore
from lavenderstall.tenures import Identity, OwnershipObserver, Tenure

logger = logging.getLogger(__name__)

MEMBER_POLL_SECONDS = 1.0
SUMMARY_INTERVAL_SECONDS = 0.2
HEARTBEAT_INTERVAL_SECONDS = 0.5
CONFIG_POLL_SECONDS = 0.5
SILENCE_CHECK_SECONDS = 0.25
RECONCILE_INTERVAL_SECONDS = 1.0
DEFAULT_CALL_SETTINGS = Calls()
# In a large fleet, peers of other zones get each message only once a second.
REMOTE_ZONE_SUMMARY_TURNS = 5
REMOTE_ZONE_HEARTBEAT_TURNS = 2


class Entry(OwnershipObserver):
    """Serve clients and operators, and own slices of its zone."""

    def __init__(self, identity: Identity, dependencies: Dependencies, settings: Settings) -> None:
        self.identity = identity
        self.entry = identity.entry
        self.clock = dependencies.clock
        self.random = dependencies.random
        self.store = dependencies.store
        self.client = dependencies.client
        self.links = dependencies.links
        self.read_unix = dependencies.read_unix
        self.traces = dependencies.traces
        self.terms = settings.terms
        self.settings = settings
        self.draining = False
        self.open_requests = 0
        self.slices: dict[SliceName, SliceServer] = {}
        self.members = Members(0.0)
        self.metrics = Metrics()
        self.set_aside = dependencies.set_aside
        self.metrics.register_gauge("rows_set_aside", lambda: self.set_aside.total)
        self.access = Access()
        self.peers = Peers(self.clock)
        self.readiness = Readiness(self)
        self._summary_pace = BroadcastSchedule(identity.zone, REMOTE_ZONE_SUMMARY_TURNS)
        self._heartbeat_pace = BroadcastSchedule(identity.zone, REMOTE_ZONE_HEARTBEAT_TURNS)
        self._member_list = dependencies.members
        self.commits = GroupCommit(self.store, self.clock, self.make_nonce, self._count_entries)
        self.ownership = Ownership(
            identity,
            self.store,
            self.clock,
            self,
            self.make_nonce,
            settings.racks_per_slice,
            self.set_aside,
        )
        self.directory = SliceDirectory(self.clock, self.entry, identity.zone)
        self.router = CallRouter(
            self.clock,
            self.links,
            self.directory,
            self.random,
            self.make_nonce,
            self.read_unix,
            self.find_calls,
        )
        self.view = ConfigurationView(self.clock)
        self.view.add_listener(self._apply_configuration)
        self.reader = ConfigurationReader(self.store, self.view, self.clock, self.set_aside)
        self.configuration = Configuration(
            self.store, self.view, self.clock, self.read_unix_ms, self.make_nonce, self.set_aside
        )
        self.jobs = JobService(
            self.store, self.commits, self.directory, self.links, self.make_nonce
        )
        self.reconciler = Reconciler(
            self.entry,
            self.view,
            self.store,
            self.commits,
            self.jobs,
            self.directory,
            self.clock,
            self.make_nonce,
            lambda: self.ownership.peers,
            self.set_aside,
        )
        self.journal = ChangeJournal(
            self.entry,
            self.configuration,
            self.view,
            lambda seconds: sleep(self.clock, seconds),
        )
        self.cleaner = Cleaner(
            self.entry,
            self.store,
            self.commits,
            self.clock.seconds,
            self.read_unix,
            lambda: self.ownership.peers,
            self.slices.values,
            self._get_retention,
            self._make_archive(dependencies.objects),
            self.set_aside,
        )
        self.admission = AdmissionController(self.clock)
        self.refusals = RefusalLog()
        self.queries = QueryService(self)
        self._polling_members = False
        self._refreshing_configuration = False
        self._loops = [
            (make_loop(self.clock, self._poll_members), MEMBER_POLL_SECONDS),
            (make_loop(self.clock, self._send_summaries), SUMMARY_INTERVAL_SECONDS),
            (make_loop(self.clock, self._send_heartbeat), HEARTBEAT_INTERVAL_SECONDS),
            (make_loop(self.clock, self.refresh_configuration), CONFIG_POLL_SECONDS),
            (make_loop(self.clock, self.router.fail_silent_attempts), SILENCE_CHECK_SECONDS),
            (make_loop(self.clock, self.reconciler.step), RECONCILE_INTERVAL_SECONDS),
            (make_loop(self.clock, self.cleaner.step), cleaning.STEP_SECONDS),
        ]

    def _make_archive(self, objects: ObjectStore | None) -> ChangeArchive | None:
        return ChangeArchive(self.store, objects, self.set_aside) if objects else None

    # Lifecycle

    def start(self) -> None:
        """Start all periodic work."""
        self.links.set_receiver(self.receive)
        for loop, seconds in self._loops:
            loop.start(seconds, now=True)
        self.ownership.start()

    async def shut_down(self) -> None:
        """Finish requests in flight, hand over the slices and stop within a bounded time."""
        await shutdown.shut_down(self)

    def begin_drain(self) -> None:
        """Stop accepting work and notify the peers."""
        self.draining = True
        self.ownership.draining = True
        for server in self.slices.values():
            server.draining = True
        self._send_heartbeat()
        self._send_summaries()

    def track_request(self, answer: "Deferred[Any]") -> None:
        """Make a graceful shutdown wait for the answer to a request."""
        self.open_requests += 1
        answer.addBoth(self._finish_request)

    def _finish_request(self, result: Any) -> Any:
        self.open_requests -= 1
        return result

    def stop(self) -> None:
        """Stop all periodic work and all slices immediately."""
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()
        self.ownership.stop()
        for server in self.slices.values():
            server.stop()
        self.slices.clear()

    def make_nonce(self) -> str:
        """Return a unique random nonce of 96 bits in hexadecimal."""
        return f"{self.random.getrandbits(96):024x}"

    def list_summaries(self) -> list[SliceSummary]:
        """Return the recent summaries of all slices."""
        return self.directory.list_summaries()

    def hint_work(self, job: JobId, slices: Iterable[SliceName]) -> None:
        """Notify slice owners of new rows of a job."""
        self.jobs.hint(job, list(slices))

    def read_unix_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return int(self.read_unix() * 1000)

    def _count_entries(self) -> int:
        return max(len(self.ownership.peers), len(self.members.entries), 1)

    # Ownership

    def gain_slice(self, tenure: Tenure) -> None:
        """Start serving a slice."""
        server = SliceServer(self, tenure)
        self.slices[tenure.slice] = server
        apply_policy(server, self.view.list_kind("policy"))
        server.set_members(self._list_workers(tenure.slice))
        server.start()
        divide_capacity([server.reasons for server in self.slices.values()])
        self.metrics.count("slices_gained")

    def lose_slice(self, name: SliceName, reason: str) -> None:
        """Stop serving a slice immediately."""
        server = self.slices.pop(name, None)
        if server is not None:
            server.stop()
            divide_capacity([server.reasons for server in self.slices.values()])
            self.metrics.count("slices_lost")
        self.directory.drop(name, self.entry)

    def change_peers(self, peers: Mapping[EntryId, EntryRow]) -> None:
        """Update the links to the live entry instances."""
        self._update_links()

    def _update_links(self) -> None:
        addresses = {member.id: member.link for member in self.members.entries}
        addresses |= {entry: row.link for entry, row in self.ownership.peers.items()}
        self.links.set_peers(addresses)

    def _list_workers(self, name: SliceName) -> dict[WorkerId, WorkerMember]:
        return {
            worker.id: worker
            for worker in self.members.workers
            if self.ownership.find_slice(worker.rack) == name
        }

    def _poll_members(self) -> None:
        if not self._polling_members:
            self._polling_members = True
            Deferred.fromCoroutine(self._read_members())

    async def list_cell_workers(self) -> list[WorkerMember]:
        """Read the membership list and return the workers of all zones."""
        return (await self._member_list.list_members()).workers

    async def _read_members(self) -> None:
        try:
            members = await self._member_list.list_members()
        except LavenderstallError as error:
            logger.info("cannot read the membership list: %s", error)
            return
        finally:
            self._polling_members = False
        # The list may cover the whole cell, but only workers of this zone are used.
        zone_workers = [worker for worker in members.workers if worker.zone == self.identity.zone]
        self.members = msgspec.structs.replace(members, workers=zone_workers)
        self.ownership.set_listed_racks(worker.rack for worker in zone_workers)
        self._update_links()
        leaving = {w.id for w in self.members.workers if w.state is MemberState.LEAVING}
        for name, server in self.slices.items():
            server.set_members(self._list_workers(name))
            server.set_leaving(leaving)

    # Messages

    def receive(self, sender: EntryId, message: Message) -> None:
        """Handle a message from a peer or from this entry instance."""
        self.directory.record_contact(sender)
        self.peers.record_contact(sender)
        handle(message, self, sender)

    def fetch_newer_configuration(self, sender: EntryId, version: Version) -> None:
        """Read a newer configuration from the table, or from the peer if the table is down."""
        if self.ownership.get_store_age() > MEMBER_POLL_SECONDS * 2:
            self.send(sender, ConfigAsk(self.view.version))
        else:
            self.refresh_configuration()

    def send(self, peer: EntryId, message: Message) -> None:
        """Send a message, or drop it if the peer is unavailable."""
        try:
            self.links.send(peer, message)
        except PeerUnavailableError as error:
            logger.info("dropped a message to a peer: %s", error)

    async def serve_forwarded_call(self, sender: EntryId, forward: CallForward) -> None:
        """Serve a call forwarded to an owned slice and answer its sender."""
        server = self.slices.get(forward.slice)
        with self.traces.span("serve call", forward.request, forward.trace) as span:
            if server is None:
                answer = CallAnswer(
                    forward.call,
                    Outcome.UNKNOWN if forward.retry else Outcome.NOT_RUN,
                    "moved",
                    f"slice {forward.slice} has another owner",
                )
            else:
                forward.trace = span.traceparent
                started = self.clock.seconds()
                answer = await server.calls.serve(forward)
                self.metrics.record("serve_call", self.clock.seconds() - started)
            span.add_attributes(
                outcome=answer.outcome.value, reason=answer.reason, worker=answer.worker
            )
        self.send(sender, answer)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests here."""
        return not self.draining and self.readiness.is_ready()

    def _send_summaries(self) -> None:
        self.readiness.update()
        summaries = self.directory.list_summaries()
        teams = self.view.list_kind("team")
        totals = sum_team_usage(summaries)
        self.admission.observe(summaries)
        owned_teams = {
            summary.slice: summary.teams for summary in summaries if summary.slice in self.slices
        }
        commands = get_commands_by_scope(self.view)
        peers = None if self.draining else self._summary_pace.next_peers(self.ownership.peers)
        for server in self.slices.values():
            apply_teams(server, teams, totals, owned_teams.get(server.name, {}))
            apply_commands(server, commands)
            summary = server.summarize()
            self.directory.update(summary)
            self.links.broadcast(summary, peers)

    def _send_heartbeat(self) -> None:
        heartbeat = Heartbeat(
            self.entry,
            self.identity.incarnation,
            self.identity.zone,
            self.view.version,
            self.draining,
            int(self.ownership.get_store_age() * 1000),
        )
        peers = None if self.draining else self._heartbeat_pace.next_peers(self.ownership.peers)
        self.links.broadcast(heartbeat, peers)

    # Configuration

    def refresh_configuration(self) -> None:
        """Read the head of the configuration, and its items if the head is newer."""
        if not self._refreshing_configuration:
            self._refreshing_configuration = True
            Deferred.fromCoroutine(self._refresh_configuration())

    async def _refresh_configuration(self) -> None:
        try:
            await self.reader.refresh()
        except LavenderstallError as error:
            logger.info("cannot refresh the configuration: %s", error)
        finally:
            self._refreshing_configuration = False

    def _apply_configuration(self, view: ConfigurationView) -> None:
        declared = [*view.list_kind("operator"), *view.list_kind("team")]
        self.access.replace(declared)
        self.admission.apply_configuration(view)
        for server in self.slices.values():
            apply_policy(server, view.list_kind("policy"))
        self.links.broadcast(ConfigChanged(view.version))
        logger.info("configuration %d is in force", view.version)

    def list_versions(self) -> dict[EntryId, Version]:
        """Return the configuration version in force at each live entry instance."""
        known = self.peers.list_versions()
        alive = {e: known.get(e, Version(0)) for e in self.ownership.peers if e != self.entry}
        return alive | {self.entry: self.view.version}

    # Calls

    async def call(self, request: CallRequest) -> CallAnswer:
        """Route one call and return its outcome."""
        if self.draining:
            raise RefusedError(
                "the entry instance shuts down",
                step="receive",
                reason="draining",
                outcome=Outcome.UNKNOWN if request.retry else Outcome.NOT_RUN,
                retry_after_ms=100,
            )
        self._check_service(request.service)
        started = self.clock.seconds()
        answer = await self.router.route(request)
        self.metrics.record(f"call_{request.service}", self.clock.seconds() - started)
        self.metrics.count(f"calls_{answer.outcome.value}")
        return answer

    def _check_service(self, name: ServiceName) -> None:
        """Raise `BadRequestError` for an undeclared service."""
        if self.view.version and self.view.get("service", name) is None:
            known = [service.name for service in self.view.list_kind("service")]
            nearest = find_closest_match(name, known)
            hint = f"; did you mean {nearest!r}?" if nearest else ""
            raise BadRequestError(
                f"service {name[:80]!r} is not declared{hint} (declared: {', '.join(known)})",
                step="find service",
            )

    def _get_retention(self) -> Retention:
        cells = self.view.list_kind("cell")
        return cells[0].retention if cells else Retention()

    def find_calls(self, service: ServiceName) -> Calls:
        """Return the declared call settings of a service, or the defaults."""
        declared = self.view.get("service", service)
        return declared.calls if declared is not None else DEFAULT_CALL_SETTINGS

    def issue_request(self, service: ServiceName) -> RequestId:
        """Return a request id bound to a worker of an owned slice, or raise if none is free."""
        for server in self.slices.values():
            for worker in sorted(server.find_replicas(service)):
                link = server.fleet.links.get(worker)
                if link is not None and link.usable and link.free_slots:
                    binding = Binding(server.name, worker, link.incarnation, int(self.read_unix()))
                    return issue_request_id(binding, self.make_nonce())
        raise RefusedError(
            f"no worker of this entry instance's slices serves {service}",
            step="issue request",
            reason="no_replica",
            retry_after_ms=500,
        )

    def may_accept_jobs(self) -> bool:
        """Return whether the configuration is recent enough to accept new jobs."""
        age = self.view.age_ms
        return age is not None and age < self.settings.config_stale_seconds * 1000
