"""Handlers of messages from peers, dispatched by message type."""

import logging
from functools import singledispatch
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.decoding import UnreadableError, decode_json
from lavenderstall.identifiers import EntryId
from lavenderstall.messages import (
    CallAnswer,
    CallForward,
    ConfigAsk,
    ConfigChanged,
    ConfigPart,
    Handover,
    Heartbeat,
    QueryAsk,
    QueryPart,
    SliceSummary,
    TraceAsk,
    WorkAssigned,
)
from lavenderstall.snapshots import SnapshotBody, pack_snapshot, unpack_snapshot

if TYPE_CHECKING:
    from lavenderstall.entry import Entry

logger = logging.getLogger(__name__)


@singledispatch
def handle(message: object, entry: "Entry", sender: EntryId) -> None:
    """Handle a message from a peer."""
    logger.warning("no handler for messages of type %s", type(message).__name__)


@handle.register(Heartbeat)
def _(message: Heartbeat, entry: "Entry", sender: EntryId) -> None:
    entry.peers.update(message)
    if message.zone == entry.identity.zone:
        entry.ownership.note_peer_contact(sender)
    if message.version > entry.view.version:
        entry.fetch_newer_configuration(sender, message.version)


@handle.register(SliceSummary)
def _(message: SliceSummary, entry: "Entry", sender: EntryId) -> None:
    entry.directory.update(message)


@handle.register(CallForward)
def _(message: CallForward, entry: "Entry", sender: EntryId) -> None:
    Deferred.fromCoroutine(entry.serve_forwarded_call(sender, message))


@handle.register(CallAnswer)
def _(message: CallAnswer, entry: "Entry", sender: EntryId) -> None:
    entry.router.receive(sender, message)


@handle.register(WorkAssigned)
def _(message: WorkAssigned, entry: "Entry", sender: EntryId) -> None:
    server = entry.slices.get(message.slice)
    if server is not None:
        server.request_reload()


@handle.register(ConfigChanged)
def _(message: ConfigChanged, entry: "Entry", sender: EntryId) -> None:
    if message.version > entry.view.version:
        entry.fetch_newer_configuration(sender, message.version)


@handle.register(ConfigAsk)
def _(message: ConfigAsk, entry: "Entry", sender: EntryId) -> None:
    if entry.view.version > message.version:
        entry.send(sender, ConfigPart(msgspec.json.encode(pack_snapshot(entry.view.snapshot))))


@handle.register(ConfigPart)
def _(message: ConfigPart, entry: "Entry", sender: EntryId) -> None:
    try:
        body = decode_json(message.body, SnapshotBody)
    except UnreadableError as error:
        logger.warning("configuration from %s discarded: %s", sender, error)
        return
    entry.view.accept(unpack_snapshot(body))


@handle.register(QueryAsk)
def _(message: QueryAsk, entry: "Entry", sender: EntryId) -> None:
    entry.send(sender, entry.queries.serve_query(message))


@handle.register(QueryPart)
def _(message: QueryPart, entry: "Entry", sender: EntryId) -> None:
    entry.queries.receive_part(message)


@handle.register(TraceAsk)
def _(message: TraceAsk, entry: "Entry", sender: EntryId) -> None:
    entry.send(sender, entry.queries.serve_trace(message))


@handle.register(Handover)
def _(message: Handover, entry: "Entry", sender: EntryId) -> None:
    entry.directory.drop(message.slice, sender)
    entry.ownership.step()
