"""Answers statements by querying slice owners and merging their partial answers."""

import logging
from collections.abc import Collection
from typing import TYPE_CHECKING, TypeVar

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.access import Caller
from lavenderstall.bearer_tokens import AccessError
from lavenderstall.bodies import SpanInfo, TraceAnswer
from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.errors import AnswerLostError, LavenderstallError, PeerUnavailableError
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    RequestId,
    SliceName,
    Version,
    get_slice_zone,
)
from lavenderstall.inventory import Answer, Inventory, MissingPart, Part, make_change_info
from lavenderstall.inventory_rows import list_entries, make_inventory
from lavenderstall.messages import QueryAsk, QueryPart, TraceAsk
from lavenderstall.protocol import WorkerMember
from lavenderstall.query.evaluation import evaluate, merge_answers
from lavenderstall.query.execution import execute
from lavenderstall.query.fields import RowSource
from lavenderstall.query.parser import parse_statement
from lavenderstall.query.routing import (
    SliceFacts,
    find_slices,
    get_required_right,
    get_row_source,
    list_named_workers,
)
from lavenderstall.query.statements import Count, Direct, Show, ShowChange, Statement, Topic, Why
from lavenderstall.schemas import Right

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

logger = logging.getLogger(__name__)

T = TypeVar("T")

PART_TIMEOUT_SECONDS = 1.0


def add_no_record_note(statement: Statement, answer: Answer) -> Answer:
    """Add a note to the empty answer of a `why` statement, with the statement to try next."""
    if not isinstance(statement, Why) or answer.rows or answer.note:
        return answer
    note = f"nothing is recorded about {statement.subject} {statement.id}"
    if statement.subject == "job":
        note += f"; if its submission was refused: why request {statement.id}"
    return msgspec.structs.replace(answer, note=note)


def decode_part(part: QueryPart, kind: type[T]) -> T:
    """Decode the body of a part, or raise `AnswerLostError`."""
    try:
        return decode_json(part.body, kind)
    except UnreadableError as error:
        detail = f"the answer cannot be read: {error}"
        raise AnswerLostError(detail, step="ask owner", peer=part.owner) from error


class QueryService:
    """Answer statements; runs on every entry instance."""

    def __init__(self, entry: "Entry") -> None:
        self._entry = entry
        self._pending: dict[AttemptId, Deferred[QueryPart]] = {}

    async def answer(self, text: str, caller: Caller, seen: Version | None = None) -> Answer:
        """Return the answer to a statement; raise `AccessError` if the caller lacks the right."""
        statement = parse_statement(text)
        if get_required_right(statement) is Right.CHANGE and caller.right is not Right.CHANGE:
            raise AccessError(f"{caller.name!r} may read but not change", status=403)
        row_source = get_row_source(statement)
        if row_source is RowSource.OWNERS:
            return add_no_record_note(statement, await self._query_slice_owners(text, statement))
        if row_source is RowSource.ENTRIES:
            peers = sorted({*self._entry.ownership.peers, self._entry.entry})
            answer = await self._query_entries(text, statement, {peer: [] for peer in peers}, [])
            return add_no_record_note(statement, answer)
        if isinstance(statement, Show | ShowChange | Count):
            return await self._answer_locally(statement)
        return await execute(
            statement,
            self._entry.configuration,
            author=caller.name,
            unix_ms=self._entry.read_unix_ms,
            seen=seen,
            slices=self._list_slice_facts(),
            members=await self._list_members(statement),
        )

    async def _list_members(self, statement: Statement) -> Collection[WorkerMember] | None:
        """Return the workers that a directive may name, or `None` if the list cannot be read."""
        if not isinstance(statement, Direct):
            return ()
        try:
            return await self._entry.list_cell_workers()
        except LavenderstallError as error:
            logger.info("membership list unavailable; worker names are not checked: %s", error)
            return None

    async def _list_named_members(self, statement: Statement) -> Collection[WorkerMember]:
        """Return the cell's workers if all workers named in the query are members, else nothing."""
        named = list_named_workers(statement)
        if not named:
            return ()
        try:
            members = await self._entry.list_cell_workers()
        except LavenderstallError as error:
            logger.info("membership list unavailable; querying all slice owners: %s", error)
            return ()
        return members if named <= {str(member.id) for member in members} else ()

    def _list_slice_facts(self, members: Collection[WorkerMember] = ()) -> list[SliceFacts]:
        """Return the zone, racks and workers of each known slice, including slices without owner.

        Racks come from slice summaries, workers from the membership list. That list may lag, so a
        worker missing from it is searched for in all slices.
        """
        entry = self._entry
        racks = {summary.slice: summary.racks for summary in entry.directory.list_summaries()}
        names = {*racks, *entry.ownership.list_slices(), *entry.directory.list_known_slices()}
        workers: dict[str, set[str]] = {}
        for member in members:
            workers.setdefault(member.rack, set()).add(member.id)
        return [
            SliceFacts(
                name,
                get_slice_zone(name),
                frozenset(map(str, racks.get(name, ()))),
                frozenset().union(*(workers.get(rack, ()) for rack in racks.get(name, ()))),
            )
            for name in sorted(names)
        ]

    async def _query_slice_owners(self, text: str, statement: Statement) -> Answer:
        owners: dict[EntryId, list[SliceName]] = {}
        missing: list[MissingPart] = []
        for name in find_slices(
            statement, self._list_slice_facts(await self._list_named_members(statement))
        ):
            owner = self._entry.directory.find_owner(name)
            if owner is None:
                missing.append(MissingPart("no owner is reachable", EntryId(""), (name,)))
            else:
                owners.setdefault(owner, []).append(name)
        return await self._query_entries(text, statement, owners, missing)

    async def _query_entries(
        self,
        text: str,
        statement: Statement,
        owners: dict[EntryId, list[SliceName]],
        missing: list[MissingPart],
    ) -> Answer:
        """Query all owners concurrently and merge the parts that arrive before the timeout."""
        requests = {
            owner: Deferred.fromCoroutine(self._query_entry(text, owner, slices))
            for owner, slices in owners.items()
        }
        self._entry.metrics.count("query_parts_asked", len(requests))
        answers: list[Answer] = []
        for owner, response in requests.items():
            try:
                answers.append(await response)
            except LavenderstallError as error:
                missing.append(MissingPart(error.detail, owner, tuple(owners[owner])))
        return merge_answers(statement, answers, missing)

    async def _query_entry(self, text: str, owner: EntryId, slices: list[SliceName]) -> Answer:
        started = self._entry.clock.seconds()
        query = AttemptId(self._entry.make_nonce())
        part = await self._request_part(owner, query, QueryAsk(query, text, slices))
        answer = decode_part(part, Answer)
        age = int((self._entry.clock.seconds() - started) * 1000)
        parts = tuple(Part(p.owner, p.age_ms + age, p.slices) for p in answer.parts)
        moved = tuple(sorted(set(slices) - set(part.slices)))
        not_served = (MissingPart("the slice has moved", owner, moved),) if moved else ()
        return msgspec.structs.replace(answer, parts=parts, missing=answer.missing + not_served)

    async def _request_part(
        self, owner: EntryId, query: AttemptId, message: QueryAsk | TraceAsk
    ) -> QueryPart:
        """Send a request and return its part, or raise `PeerUnavailableError` on timeout."""
        response: Deferred[QueryPart] = Deferred()
        self._pending[query] = response
        timer = self._entry.clock.callLater(PART_TIMEOUT_SECONDS, self._time_out, query, owner)
        try:
            self._entry.links.send(owner, message)
            return await response
        finally:
            self._pending.pop(query, None)
            if timer.active():
                timer.cancel()

    async def collect_trace(self, request: RequestId) -> TraceAnswer:
        """Return the spans of a request from all live entry instances."""
        owners = sorted({*self._entry.ownership.peers, self._entry.entry})
        queries = {owner: AttemptId(self._entry.make_nonce()) for owner in owners}
        requests = {
            owner: Deferred.fromCoroutine(
                self._request_part(owner, query, TraceAsk(query, request))
            )
            for owner, query in queries.items()
        }
        spans: list[SpanInfo] = []
        missing: list[MissingPart] = []
        for owner, response in requests.items():
            try:
                spans += decode_part(await response, list[SpanInfo])
            except LavenderstallError as error:
                missing.append(MissingPart(error.detail, owner))
        spans.sort(key=lambda span: span.start_unix_us)
        return TraceAnswer(request, tuple(spans), tuple(missing))

    def serve_trace(self, ask: TraceAsk) -> QueryPart:
        """Return the spans of a request recorded on this entry instance."""
        entry = self._entry
        spans = [
            SpanInfo(
                name=record.name,
                span_id=record.span,
                parent_id=record.parent,
                owner=entry.entry,
                zone=entry.identity.zone,
                start_unix_us=int(record.start_ms * 1000),
                duration_us=int(record.took_ms * 1000),
                attributes=record.details | ({"error": record.error} if record.error else {}),
            )
            for record in entry.traces.buffer.find(ask.request)
        ]
        return QueryPart(ask.query, entry.entry, [], msgspec.json.encode(spans))

    def _time_out(self, query: AttemptId, owner: EntryId) -> None:
        response = self._pending.pop(query, None)
        if response is not None:
            response.errback(
                PeerUnavailableError("no answer in time", step="ask owner", peer=owner)
            )

    def receive_part(self, part: QueryPart) -> None:
        """Resolve the pending request that a part answers; late parts are ignored."""
        response = self._pending.pop(part.query, None)
        if response is not None:
            response.callback(part)

    def serve_query(self, ask: QueryAsk) -> QueryPart:
        """Evaluate a statement on the requested slices that this entry instance owns."""
        entry = self._entry
        statement = parse_statement(ask.text)
        owned = [name for name in ask.slices if name in entry.slices]
        inventory = self._make_inventory(statement, owned)
        part = Part(entry.entry, 0, tuple(owned))
        answer = evaluate(statement, inventory, part)
        return QueryPart(ask.query, entry.entry, owned, msgspec.json.encode(answer))

    def _make_inventory(self, statement: Statement, owned: Collection[SliceName]) -> Inventory:
        entry = self._entry
        now, unix = entry.clock.seconds(), entry.read_unix()
        servers = [entry.slices[name] for name in owned]
        inventory = make_inventory(servers, statement, now, unix)
        inventory.refusals = entry.refusals.list_rows(now)
        return inventory

    async def _answer_locally(self, statement: Statement) -> Answer:
        entry = self._entry
        inventory = Inventory(entries=list_entries(entry))
        if isinstance(statement, ShowChange) or self._is_about_changes(statement):
            now = entry.read_unix_ms()
            changes = await entry.configuration.list_changes()
            inventory.changes = [make_change_info(change, now) for change in changes]
        age = entry.view.age_ms or 0
        return evaluate(statement, inventory, Part(entry.entry, age))

    def _is_about_changes(self, statement: Statement) -> bool:
        return getattr(statement, "topic", None) is Topic.CHANGES
