"""Changes of the configuration: applying, undoing, approving and rejecting."""

from collections.abc import Callable, Mapping
from contextlib import suppress

import msgspec
from twisted.internet.defer import Deferred

from lavenderstall.changes import (
    Change,
    ChangeRefusedError,
    ChangeState,
    Difference,
    ItemChange,
    ItemKey,
    ItemRow,
    VersionConflictError,
    diff_items,
    equal_items,
    make_change_key,
    make_item_key,
)
from lavenderstall.errors import (
    ConflictError,
    LavenderstallError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.identifiers import ChangeNumber, Version
from lavenderstall.protocol import Condition, Put, Row, Transaction
from lavenderstall.records import (
    KEY_CONFIG_HEAD,
    PREFIX_CHANGE,
    HeadRow,
    UnreadableRowError,
    decode_row,
    decode_rows,
    encode_row,
)
from lavenderstall.schemas import Item
from lavenderstall.set_aside import SetAside
from lavenderstall.snapshots import (
    Clock,
    ConfigurationReader,
    ConfigurationView,
    Snapshot,
    make_number_key,
)
from lavenderstall.storage import TableStore

# A change without an expected version is retried after a version conflict.
MAX_ATTEMPTS = 5
# A write of unknown outcome may still be in flight, so it is read back several times.
READ_BACK_DELAYS_S = (0.0, 0.2, 0.5, 1.0, 2.0)


class ChangeResult(msgspec.Struct, frozen=True):
    """The effect of an operator's request, or in a preview its expected effect."""

    version: Version
    change: Change | None = None
    differences: tuple[Difference, ...] = ()
    committed: bool = False


class ChangeDraft(msgspec.Struct, frozen=True):
    """The content of a change before it gets its number."""

    author: str
    reason: str
    wanted: Mapping[ItemKey, Item | None] = {}
    state: ChangeState = ChangeState.DONE
    automatic: bool = False
    undoes: ChangeNumber = ChangeNumber(0)
    decides: Change | None = None


class Configuration:
    """Change the configuration, with one transaction per change.

    `unix_ms` is the wall clock for the history; `make_nonce` returns a new random string.
    """

    def __init__(
        self,
        store: TableStore,
        view: ConfigurationView,
        clock: Clock,
        unix_ms: Callable[[], int],
        make_nonce: Callable[[], str],
        set_aside: SetAside | None = None,
    ) -> None:
        self._store = store
        self._set_aside = set_aside or SetAside()
        self._reader = ConfigurationReader(store, view, clock, self._set_aside)
        self._clock = clock
        self._unix_ms = unix_ms
        self._make_nonce = make_nonce

    async def refresh(self) -> Snapshot:
        """Return the newest items."""
        return await self._reader.refresh()

    async def list_changes(self) -> list[Change]:
        """Return the stored changes in order of number, without those that can't be read."""
        return (await self._read_changes())[0]

    async def _read_changes(self) -> tuple[list[Change], list[Row]]:
        """Return the stored changes in order of number, and the rows that can't be read."""
        rows = await self._store.scan(PREFIX_CHANGE)
        readable, unreadable = decode_rows(rows.rows, Change, make_number_key, self._set_aside)
        return [change for _, change in readable], unreadable

    async def get_change(self, number: int) -> Change:
        """Return a change, or raise `ChangeRefusedError`."""
        row = await self._store.read(make_change_key(number)) if number > 0 else None
        if row is None:
            raise ChangeRefusedError(
                f"change {number} does not exist, or is archived", number=number
            )
        return decode_row(row, Change)

    async def apply(
        self,
        draft: ChangeDraft,
        *,
        seen: Version | None = None,
        based_on: Snapshot | None = None,
        preview: bool = False,
    ) -> ChangeResult:
        """Make a change, or none if nothing differs.

        Without `seen` the change is based on a snapshot, by default the newest, and conflicts
        only with changes of the same items. Raises `VersionConflictError`, or a store error;
        after `StoreOutcomeUnknownError` the change may have been made.
        """
        base = await self.refresh()
        first = based_on or base
        for _ in range(MAX_ATTEMPTS):
            conflicting = any(
                not equal_items(first.items.get(key), base.items.get(key)) for key in draft.wanted
            )
            if conflicting:
                raise await self._make_version_conflict(first.version, base.version)
            differences = diff_items(base.items, draft.wanted)
            if not differences and not draft.decides:
                return ChangeResult(base.version)
            if seen not in (None, base.version):
                raise await self._make_version_conflict(Version(seen or 0), base.version)
            if draft.state is ChangeState.PROPOSED and await self._is_proposed(draft):
                return ChangeResult(base.version)
            change = self._make_change(draft, base)
            if preview:
                return ChangeResult(base.version, change, differences)
            if await self._commit(self._make_transaction(change, draft, base), change):
                await self._refresh_after_commit()
                return ChangeResult(Version(change.number), change, differences, committed=True)
            base = await self.refresh()
            if seen is not None or draft.decides:
                raise await self._make_version_conflict(first.version, base.version)
        raise await self._make_version_conflict(first.version, base.version)

    async def undo(
        self, number: int, *, author: str, reason: str, seen: Version | None, preview: bool = False
    ) -> ChangeResult:
        """Restore the items of a change as they were before it."""
        base = await self.refresh()
        change = await self.get_change(number)
        await self._check_undo(change)
        wanted = {each.key: each.before for each in change.items}
        draft = ChangeDraft(author, reason, wanted, undoes=change.number)
        # The check above is valid for this version only.
        return await self.apply(draft, seen=base.version if seen is None else seen, preview=preview)

    async def approve(self, number: int, *, author: str, reason: str) -> ChangeResult:
        """Carry out a proposed change."""
        base = await self.refresh()
        change = await self._get_proposal(number)
        for each in change.items:
            if not equal_items(base.items.get(each.key), each.before):
                detail = f"change {number} is out of date: {each.key} has changed since"
                raise ChangeRefusedError(detail, number=number)
        wanted = {each.key: each.after for each in change.items}
        draft = ChangeDraft(author, reason, wanted, decides=change)
        return await self.apply(draft, seen=base.version)

    async def reject(self, number: int, *, author: str, reason: str) -> ChangeResult:
        """Close a proposed change without carrying it out."""
        base = await self.refresh()
        change = await self._get_proposal(number)
        draft = ChangeDraft(author, reason, state=ChangeState.REJECTED, decides=change)
        return await self.apply(draft, seen=base.version)

    async def _get_proposal(self, number: int) -> Change:
        change = await self.get_change(number)
        if change.state is not ChangeState.PROPOSED:
            state, by = change.state.value, change.decided_by
            detail = f"change {number} is {state}{f' by change {by}' if by else ''}, not proposed"
            raise ChangeRefusedError(detail, number=number, later=by)
        return change

    async def _check_undo(self, change: Change) -> None:
        """Raise `ChangeRefusedError` if a change cannot be undone."""
        number = change.number
        if change.state is ChangeState.PROPOSED:
            raise ChangeRefusedError(f"change {number} is only proposed; reject it", number=number)
        if change.decided_by or not change.items:
            by = f"; see change {change.decided_by}" if change.decided_by else ""
            detail = f"change {number} is {change.state.value} and changed no items itself{by}"
            raise ChangeRefusedError(detail, number=number, later=change.decided_by)
        keys = {each.key for each in change.items}
        changes, unreadable = await self._read_changes()
        for row in unreadable:
            if row.key > make_change_key(number):
                detail = f"change {number} cannot be undone: row {row.key} is later and unreadable"
                raise ChangeRefusedError(detail, number=number)
        for later in changes:
            common = sorted(keys & {each.key for each in later.items})
            if later.number > number and later.state is ChangeState.DONE and common:
                detail = (
                    f"change {number} cannot be undone: change {later.number} by {later.author} "
                    f"({later.reason}) touches {', '.join(map(str, common))}; undo it first"
                )
                raise ChangeRefusedError(detail, number=number, later=later.number)

    async def _is_proposed(self, draft: ChangeDraft) -> bool:
        """Return whether an open proposal contains the same items."""
        return any(
            change.state is ChangeState.PROPOSED
            and {each.key for each in change.items} == set(draft.wanted)
            and all(equal_items(each.after, draft.wanted[each.key]) for each in change.items)
            for change in await self.list_changes()
        )

    def _make_change(self, draft: ChangeDraft, base: Snapshot) -> Change:
        items = tuple(
            ItemChange(key, base.items.get(key), after)
            for key, after in sorted(draft.wanted.items(), key=lambda pair: pair[0])
            if not equal_items(base.items.get(key), after)
        )
        return Change(
            number=ChangeNumber(base.version + 1),
            author=draft.author,
            time_unix_ms=self._unix_ms(),
            reason=draft.reason,
            state=draft.state,
            nonce=self._make_nonce(),
            items=items,
            automatic=draft.automatic,
            undoes=draft.undoes,
            decides=draft.decides.number if draft.decides else ChangeNumber(0),
        )

    def _make_transaction(self, change: Change, draft: ChangeDraft, base: Snapshot) -> Transaction:
        number, nonce = change.number, change.nonce
        puts = [
            Put(make_change_key(number), encode_row(change)),
            Put(KEY_CONFIG_HEAD, encode_row(HeadRow(Version(number), nonce))),
        ]
        deletes = []
        for each in change.items if change.state is ChangeState.DONE else ():
            key = make_item_key(each.key)
            if each.after is None:
                deletes.append(key)
            else:
                puts.append(Put(key, encode_row(ItemRow(number, nonce, each.after))))
        if draft.decides:
            rejected = change.state is ChangeState.REJECTED
            state = ChangeState.REJECTED if rejected else ChangeState.APPROVED
            decided = msgspec.structs.replace(draft.decides, state=state, decided_by=number)
            puts.append(Put(make_change_key(decided.number), encode_row(decided)))
        conditions = [
            Condition(KEY_CONFIG_HEAD, base.head),
            Condition(make_change_key(number), 0),
        ]
        return Transaction(conditions, puts, deletes)

    async def _commit(self, transaction: Transaction, change: Change) -> bool:
        """Commit, and return whether this change got its number.

        Resending after a lost acknowledgement is safe, because the condition on the head row
        lets only one copy commit.
        """
        sent = False
        for delay in READ_BACK_DELAYS_S:
            await self._wait(delay)
            try:
                await self._store.transact(transaction)
                return True
            except StoreUnavailableError:
                if not sent:
                    raise
            except (ConflictError, StoreOutcomeUnknownError):
                # The conflict may be with an earlier copy of this transaction. Only the change
                # stored under the number tells.
                sent = True
            stored = await self._find_change(change.number)
            if stored is not None:
                return stored.nonce == change.nonce
        raise StoreOutcomeUnknownError(
            f"change {change.number} with nonce {change.nonce} may have been made; "
            f"read change {change.number} before trying again",
            step="configuration",
        )

    async def _find_change(self, number: int) -> Change | None:
        """Return the change that has a number, or none if absent or not readable now."""
        try:
            row = await self._store.read(make_change_key(number))
            return decode_row(row, Change) if row else None
        except (StoreUnavailableError, StoreOutcomeUnknownError, UnreadableRowError):
            return None

    async def _refresh_after_commit(self) -> None:
        """Refresh the view, ignoring errors: the change is already committed."""
        with suppress(LavenderstallError):
            await self._reader.refresh()

    async def _make_version_conflict(self, seen: Version, head: Version) -> VersionConflictError:
        """Return the error with the first change after the version seen."""
        change = await self._find_change(seen + 1)
        return VersionConflictError(change, seen=seen, head=head)

    async def _wait(self, delay_s: float) -> None:
        if delay_s:
            waited: Deferred[None] = Deferred()
            self._clock.callLater(delay_s, waited.callback, None)
            await waited
