"""Snapshots of the configuration: reading them from the table and keeping the newest."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec

from lavenderstall.changes import (
    Change,
    ChangeState,
    ItemKey,
    ItemRow,
    make_change_key,
    make_item_key,
    parse_item_key,
)
from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import Version
from lavenderstall.protocol import Row, Rows
from lavenderstall.records import (
    KEY_CONFIG_HEAD,
    PREFIX_CONFIG,
    HeadRow,
    UnreadableRowError,
    decode_row,
    decode_rows,
)
from lavenderstall.schemas import Item, get_kind
from lavenderstall.set_aside import SetAside
from lavenderstall.storage import TableStore

# A reader that is further behind reads all items instead of replaying changes.
MAX_REPLAYED_CHANGES = 10


class Clock(Protocol):
    """Tell the time in seconds and call functions later, as Twisted's `IReactorTime` does."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Call a function after a delay in seconds."""


class ConfigurationError(LavenderstallError):
    """The stored configuration cannot be read."""


class Snapshot(msgspec.Struct, frozen=True):
    """Hold all items as of one version; `head` is the version of the head's row.

    Items that are `unreadable` are not absent; they are held as they were last read, if at all.
    """

    version: Version
    head: int
    items: dict[ItemKey, Item]
    unreadable: frozenset[ItemKey] = frozenset()


EMPTY_SNAPSHOT = Snapshot(Version(0), 0, {})


class SnapshotBody(msgspec.Struct, frozen=True):
    """Carry a snapshot between entry instances."""

    version: Version
    head: int
    items: tuple[Item, ...]
    unreadable: tuple[ItemKey, ...] = ()


def pack_snapshot(snapshot: Snapshot) -> SnapshotBody:
    """Return the body that carries a snapshot."""
    items, unreadable = tuple(snapshot.items.values()), tuple(sorted(snapshot.unreadable))
    return SnapshotBody(snapshot.version, snapshot.head, items, unreadable)


def unpack_snapshot(body: SnapshotBody) -> Snapshot:
    """Return the snapshot that a body carries."""
    items = {ItemKey(get_kind(item), item.name): item for item in body.items}
    return Snapshot(body.version, body.head, items, frozenset(body.unreadable))


def apply_change(snapshot: Snapshot, change: Change, head: int) -> Snapshot:
    """Return the snapshot after applying the next change."""
    items = dict(snapshot.items)
    done = change.items if change.state is ChangeState.DONE else ()
    for each in done:
        if each.after is None:
            items.pop(each.key, None)
        else:
            items[each.key] = each.after
    unreadable = snapshot.unreadable - {each.key for each in done}
    return Snapshot(Version(change.number), head, items, unreadable)


def make_number_key(change: Change) -> str:
    """Return the key of the row that holds a change."""
    return make_change_key(change.number)


def make_row_key(row: ItemRow) -> str:
    """Return the key of the row that holds an item."""
    return make_item_key(ItemKey(get_kind(row.value), row.value.name))


def decode_snapshot(rows: Rows, known: Mapping[ItemKey, Item], set_aside: SetAside) -> Snapshot:
    """Decode the rows below `config/`; an item that can't be read stays as it is known."""
    version, head = Version(0), 0
    item_rows = [row for row in rows.rows if parse_item_key(row.key) is not None]
    readable, unreadable_rows = decode_rows(item_rows, ItemRow, make_row_key, set_aside)
    items = {ItemKey(get_kind(row.value), row.value.name): row.value for _, row in readable}
    unreadable = frozenset(filter(None, (parse_item_key(row.key) for row in unreadable_rows)))
    items |= {key: known[key] for key in unreadable & known.keys()}
    for row in rows.rows:
        if row.key == KEY_CONFIG_HEAD:
            version, head = decode_head(row).version, row.version
    return Snapshot(version, head, items, unreadable)


def decode_head(row: Row) -> HeadRow:
    """Decode the row that holds the version, or raise `ConfigurationError`."""
    try:
        return decode_row(row, HeadRow)
    except UnreadableRowError as error:
        raise ConfigurationError(f"row {row.key!r}: {error}", step="configuration") from None


class ConfigurationView:
    """The newest configuration that was read.

    Snapshots older than the version in effect are ignored, so that a slow or stale read never
    reverts it. `age_ms` counts from the start of the read that last confirmed the version.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._snapshot = EMPTY_SNAPSHOT
        self._kinds: dict[str, list[Any]] = {}
        self._confirmed: float | None = None
        self._listeners: list[Callable[[ConfigurationView], None]] = []

    @property
    def version(self) -> Version:
        """Return the version in effect."""
        return self._snapshot.version

    @property
    def snapshot(self) -> Snapshot:
        """Return the items in effect."""
        return self._snapshot

    @property
    def age_ms(self) -> int | None:
        """Return the time in ms since the version was confirmed, or none if it never was."""
        if self._confirmed is None:
            return None
        return round((self._clock.seconds() - self._confirmed) * 1000)

    def get(self, kind: str, name: str) -> Any:
        """Return an item, or none."""
        return self._snapshot.items.get(ItemKey(kind, name))

    def list_kind(self, kind: str) -> list[Any]:
        """Return all items of a kind in order of name."""
        found = self._kinds.get(kind)
        if found is None:
            items = sorted(self._snapshot.items.items())
            found = self._kinds[kind] = [item for key, item in items if key.kind == kind]
        return list(found)

    def add_listener(self, listener: Callable[["ConfigurationView"], None]) -> None:
        """Register a function to call after each version that takes effect."""
        self._listeners.append(listener)

    def accept(self, snapshot: Snapshot, read_at: float | None = None) -> bool:
        """Apply a snapshot of a higher version and tell whether it took effect.

        `read_at` is the time at which its read from the table started, or none for a snapshot
        from a peer, which does not confirm the version.
        """
        if snapshot.version < self.version:
            return False
        if read_at is not None:
            self.confirm(snapshot.version, read_at)
        if snapshot.version == self.version and self._snapshot is not EMPTY_SNAPSHOT:
            return False
        self._snapshot = snapshot
        self._kinds.clear()
        for listener in self._listeners:
            listener(self)
        return True

    def confirm(self, version: Version, read_at: float) -> None:
        """Record the time at which the table had a version, unless the read was stale."""
        if version >= self.version:
            self._confirmed = max(read_at, self._confirmed or read_at)


class ConfigurationReader:
    """Refresh a view from the table."""

    def __init__(
        self,
        store: TableStore,
        view: ConfigurationView,
        clock: Clock,
        set_aside: SetAside | None = None,
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._set_aside = set_aside or SetAside()

    async def refresh(self) -> Snapshot:
        """Read the head row and anything newer than the view; return the view's snapshot."""
        read_at = self._clock.seconds()
        row = await self._store.read(KEY_CONFIG_HEAD)
        version = decode_head(row).version if row else Version(0)
        if version == self._view.version:
            self._view.confirm(version, read_at)
        elif version > self._view.version and row:
            snapshot = await self._replay_changes(version, row.version)
            if snapshot is None:
                rows = await self._store.scan(PREFIX_CONFIG)
                snapshot = decode_snapshot(rows, self._view.snapshot.items, self._set_aside)
            self._view.accept(snapshot, read_at)
        return self._view.snapshot

    async def _replay_changes(self, version: Version, head: int) -> Snapshot | None:
        """Return the view's snapshot with changes applied up to a version.

        Return none if there are too many, or one is missing or can't be read.
        """
        snapshot = self._view.snapshot
        if snapshot is EMPTY_SNAPSHOT or version - snapshot.version > MAX_REPLAYED_CHANGES:
            return None
        for number in range(snapshot.version + 1, version + 1):
            row = await self._store.read(make_change_key(number))
            if row is None:
                return None
            readable, _ = decode_rows([row], Change, make_number_key, self._set_aside)
            if not readable:
                return None
            snapshot = apply_change(snapshot, readable[0][1], head)
        return snapshot
