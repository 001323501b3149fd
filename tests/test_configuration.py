"""Tests of configuration and changes."""

import itertools
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from lavenderstall.changes import (
    ChangeRefusedError,
    ChangeState,
    DifferenceAction,
    FieldChange,
    ItemKey,
    VersionConflictError,
    diff_items,
    make_change_key,
    set_command,
)
from lavenderstall.configuration import ChangeDraft, Configuration, ConfigurationView
from lavenderstall.errors import StoreOutcomeUnknownError, StoreUnavailableError
from lavenderstall.identifiers import Version
from lavenderstall.protocol import Put, Row, Rows, Transaction
from lavenderstall.schemas import Command, Demand, Policy, Team
from lavenderstall.set_aside import SetAside
from lavenderstall.snapshots import (
    ConfigurationError,
    ConfigurationReader,
    Snapshot,
    SnapshotBody,
    apply_change,
    decode_snapshot,
    pack_snapshot,
    unpack_snapshot,
)
from tests.oddities import list_odd_objects
from tests.support import FakeTable, Fault, run

A, B = ItemKey("team", "a"), ItemKey("team", "b")
LOST, GONE, LATE = Fault.ACKNOWLEDGEMENT_LOST, Fault.REQUEST_LOST, Fault.DELAYED


def make_draft(
    key: ItemKey = A, weight: int | None = 1, author: str = "ana", **more
) -> ChangeDraft:
    """Return a draft that sets the weight of a team, or removes the team."""
    item = None if weight is None else Team(key.name, weight)
    return ChangeDraft(author, "because", {key: item}, **more)


class TableTest(unittest.TestCase):
    """Prepares a table and two operators with a view each."""

    def setUp(self) -> None:
        self.table, self.clock = FakeTable(), Clock()
        nonces = map(str, itertools.count(1))
        self.views = [ConfigurationView(self.clock) for _ in range(2)]
        self.ana, self.ben = (
            Configuration(self.table, view, self.clock, lambda: 7, lambda: next(nonces))
            for view in self.views
        )

    def run_now(self, coroutine):
        return run(coroutine, self.clock)

    def get_weight(self, key: ItemKey = A) -> int | None:
        view = ConfigurationView(self.clock)
        snapshot = run(ConfigurationReader(self.table, view, self.clock).refresh())
        return getattr(snapshot.items.get(key), "weight", None)


class ApplyTest(TableTest):
    """Guards against changes that are lost, made twice, or accepted from two concurrent writers."""

    def test_change_is_recorded_with_both_states(self) -> None:
        self.run_now(self.ana.apply(make_draft(weight=1), seen=Version(0)))
        applied = self.run_now(self.ana.apply(make_draft(weight=2), seen=Version(1)))
        change = self.run_now(self.ben.get_change(2))
        self.assertEqual(change, applied.change)
        self.assertEqual((change.author, change.reason, change.time_unix_ms), ("ana", "because", 7))
        (item,) = change.items
        self.assertEqual((item.before, item.after), (Team("a", 1), Team("a", 2)))
        self.assertEqual([view.version for view in self.views], [2, 0])

    def test_nothing_differs(self) -> None:
        self.run_now(self.ana.apply(make_draft(), seen=Version(0)))
        applied = self.run_now(self.ana.apply(make_draft(), seen=Version(1)))
        self.assertEqual((applied.change, applied.version, self.table.writes), (None, 1, 1))

    def test_preview_writes_nothing(self) -> None:
        applied = self.run_now(self.ana.apply(make_draft(), preview=True))
        self.assertEqual((len(applied.differences), self.table.writes), (1, 0))

    def test_exactly_one_concurrent_change_is_accepted(self) -> None:
        for faults in itertools.product((Fault.NONE, LOST, GONE, LATE), repeat=3):
            with self.subTest(faults=faults):
                self.setUp()
                self.table.faults.extend(faults)
                results: list = []
                for operator, weight in ((self.ana, 1), (self.ben, 2)):
                    draft = make_draft(weight=weight, author=str(weight))
                    deferred = Deferred.fromCoroutine(operator.apply(draft, seen=Version(0)))
                    deferred.addBoth(results.append)
                self.clock.pump([0.1] * 25)
                self.table.deliver()
                self.clock.pump([1.0] * 10)
                (failure,) = (each for each in results if isinstance(each, Failure))
                self.assertIsInstance(failure.value, VersionConflictError)
                (accepted,) = (each for each in results if not isinstance(each, Failure))
                self.assertEqual(failure.value.change, accepted.change)
                self.assertEqual(str(self.get_weight()), accepted.change.author)
                self.assertEqual(self.table.writes, 1)

    def test_lost_acknowledgements_are_resolved(self) -> None:
        for faults in ([LOST], [GONE], [LATE], [LOST, Fault.DOWN], [GONE, Fault.DOWN, LOST]):
            with self.subTest(faults=faults):
                self.setUp()
                self.table.faults.extend(faults)
                applied = self.run_now(self.ana.apply(make_draft(), seen=Version(0)))
                self.table.deliver()
                self.assertEqual((applied.version, self.table.writes), (1, 1))

    def test_unknown_outcome_names_the_change(self) -> None:
        self.table.faults.extend([GONE] * 9)
        with self.assertRaisesRegex(StoreOutcomeUnknownError, "read change 1"):
            self.run_now(self.ana.apply(make_draft()))

    def test_failing_read_back_is_not_a_rejection(self) -> None:
        self.run_now(self.ana.apply(make_draft(B), seen=Version(0)))
        self.table.faults.append(LOST)
        draft = Deferred.fromCoroutine(self.ana.apply(make_draft(), seen=Version(1)))
        self.table.failing_reads = 2
        self.clock.pump([0.5] * 12)
        results: list = []
        draft.addBoth(results.append)
        self.assertTrue(results[0].committed)

    def test_store_down_changes_nothing(self) -> None:
        self.table.faults.append(Fault.DOWN)
        with self.assertRaises(StoreUnavailableError):
            self.run_now(self.ana.apply(make_draft()))
        self.assertEqual(self.table.rows, {})

    def test_unversioned_change_conflicts_only_on_its_own_items(self) -> None:
        for key, conflict in ((A, True), (B, False)):
            with self.subTest(key=key):
                self.setUp()
                self.table.faults.extend([GONE])
                first = Deferred.fromCoroutine(self.ana.apply(make_draft(A, 5)))
                run(self.ben.apply(make_draft(key, 6)))
                results: list = []
                first.addBoth(results.append)
                self.clock.pump([1.0] * 9)
                self.assertEqual(hasattr(results[0], "value"), conflict)


class UndoTest(TableTest):
    """Guards against an undo that discards later work."""

    def setUp(self) -> None:
        super().setUp()
        for key, weight in ((A, 1), (A, 2), (B, 3)):
            self.run_now(self.ana.apply(make_draft(key, weight)))

    def undo(self, number: int, **more):
        return self.run_now(
            self.ben.undo(number, author="ben", reason="wrong", **({"seen": None} | more))
        )

    def test_undo_and_its_undo(self) -> None:
        self.assertEqual(self.undo(2).change.undoes, 2)
        self.assertEqual(self.get_weight(), 1)
        self.undo(4)
        self.assertEqual(self.get_weight(), 2)
        self.undo(3)
        self.assertIsNone(self.get_weight(B))

    def test_preview_shows_and_changes_nothing(self) -> None:
        (difference,) = self.undo(2, preview=True).differences
        self.assertEqual(difference.fields, (FieldChange("weight", "2", "1"),))
        self.assertEqual((self.get_weight(), self.table.writes), (2, 3))

    def test_refused(self) -> None:
        proposal = make_draft(A, 9, state=ChangeState.PROPOSED)
        self.run_now(self.ana.apply(proposal))
        self.run_now(self.ana.reject(4, author="ana", reason="no"))
        for number, words in (
            (1, "change 2 by ana .*touches team/a"),
            (4, "see change 5"),
            (5, "changed no items"),
            (77, "does not exist"),
        ):
            with self.subTest(number=number), self.assertRaisesRegex(ChangeRefusedError, words):
                self.undo(number)

    def test_seen_version_is_checked(self) -> None:
        with self.assertRaises(VersionConflictError) as caught:
            self.undo(2, seen=Version(2))
        self.assertEqual(caught.exception.number, 3)


class ProposalTest(TableTest):
    """Guards against proposals that take effect without approval or out of date."""

    def setUp(self) -> None:
        super().setUp()
        self.draft = make_draft(state=ChangeState.PROPOSED, automatic=True)
        self.run_now(self.ana.apply(self.draft))

    def test_approved_change_is_done_once_and_undone(self) -> None:
        self.assertIsNone(self.get_weight())
        self.run_now(self.ben.approve(1, author="ben", reason="good"))
        self.assertEqual(self.get_weight(), 1)
        states = [(c.state, c.decides, c.decided_by) for c in self.run_now(self.ana.list_changes())]
        self.assertEqual(states, [(ChangeState.APPROVED, 0, 2), (ChangeState.DONE, 1, 0)])
        with self.assertRaisesRegex(ChangeRefusedError, "approved by change 2"):
            self.run_now(self.ana.reject(1, author="ana", reason="late"))
        self.run_now(self.ana.undo(2, author="ana", reason="x", seen=None))
        self.assertIsNone(self.get_weight())

    def test_rejected_change_has_no_effect(self) -> None:
        self.run_now(self.ben.reject(1, author="ben", reason="bad"))
        self.assertIsNone(self.get_weight())
        self.assertEqual(self.run_now(self.ana.get_change(1)).state, ChangeState.REJECTED)

    def test_out_of_date_proposal_is_refused(self) -> None:
        self.run_now(self.ben.apply(make_draft(weight=8)))
        with self.assertRaisesRegex(ChangeRefusedError, "team/a has changed"):
            self.run_now(self.ana.approve(1, author="ana", reason="x"))

    def test_open_proposal_is_not_repeated(self) -> None:
        self.assertIsNone(self.run_now(self.ben.apply(self.draft)).change)


class ReaderTest(TableTest):
    """Guards against a view that differs from the table after replaying changes."""

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 3), st.integers(0, 2))))
    def test_replaying_changes_equals_reading_all_items(self, steps: list) -> None:
        self.setUp()
        reader = ConfigurationReader(self.table, self.views[1], self.clock)
        for name, weight, refreshes in steps:
            state = ChangeState.PROPOSED if weight == 3 else ChangeState.DONE
            draft = make_draft(ItemKey("team", name), weight or None, state=state)
            run(self.ana.apply(draft))
            if refreshes:
                run(reader.refresh())
        replayed = run(reader.refresh())
        view = ConfigurationView(self.clock)
        whole = run(ConfigurationReader(self.table, view, self.clock).refresh())
        self.assertEqual(replayed, whole)
        body = msgspec.msgpack.encode(pack_snapshot(whole))
        self.assertEqual(unpack_snapshot(msgspec.msgpack.decode(body, type=SnapshotBody)), whole)


class ViewTest(unittest.TestCase):
    """Guards against a configuration that reverts or reports too low an age."""

    @given(st.lists(st.tuples(st.integers(0, 6), st.floats(0, 50)), max_size=12))
    def test_version_never_falls(self, reads: list[tuple[int, float]]) -> None:
        clock = Clock()
        view = ConfigurationView(clock)
        clock.advance(100)
        highest, confirmed = 0, None
        for version, read_at in reads:
            item = Team("a", version + 1)
            view.accept(Snapshot(Version(version), 0, {A: item}), read_at)
            if version >= highest:
                confirmed = max(read_at, confirmed or 0.0)
            highest = max(highest, version)
            self.assertEqual((view.version, view.get("team", "a").weight), (highest, highest + 1))
            self.assertEqual(view.age_ms, round((100 - (confirmed or 0.0)) * 1000))

    def test_listeners_are_called_once_per_version(self) -> None:
        view, heard = ConfigurationView(Clock()), []
        view.add_listener(lambda each: heard.append(each.version))
        for version in (2, 1, 2, 3):
            view.accept(Snapshot(Version(version), 0, {}))
        self.assertEqual((heard, view.age_ms), ([2, 3], None))


class UnreadableTest(TableTest):
    """Rows of the configuration that can't be read, left by another writer."""

    def setUp(self) -> None:
        super().setUp()
        run(self.ana.apply(make_draft(A, 1)))
        run(self.ana.apply(make_draft(B, 1)))
        self.reader = ConfigurationReader(self.table, self.views[1], self.clock)
        run(self.reader.refresh())

    def put(self, key: str, value: bytes) -> None:
        """Write a row past all checks."""
        self.table.transact(Transaction(puts=[Put(key, msgspec.Raw(value))]))

    def test_unreadable_item_costs_no_other_item(self) -> None:
        """Fails if one odd item keeps later versions from taking effect, or hides itself."""
        sound = bytes(self.table.rows["config/team/a"].value)
        named_b = bytes(self.table.rows["config/team/b"].value)
        for name, value in (*list_odd_objects(sound), ("named as another", named_b)):
            with self.subTest(name=name):
                self.put("config/team/a", value)
                rows = self.table.scan("config/").result
                known = {A: Team("a", 7), B: Team("b", 8)}
                for before, expected in ((known, {A: Team("a", 7)}), ({}, {})):
                    set_aside = SetAside()
                    with self.assertLogs("lavenderstall.set_aside") as logs:
                        found = decode_snapshot(rows, before, set_aside)
                    self.assertEqual(found.items, expected | {B: Team("b", 1)})
                    self.assertEqual(found.unreadable, {A})
                    self.assertEqual(found.version, 2)
                    self.assertIn("config/team/a", logs.output[0])
                    self.assertEqual(set_aside.total, 1)

    def test_unreadable_head_applies_nothing(self) -> None:
        """Fails if items take effect without a version, or the error does not name the row."""
        for name, value in list_odd_objects(bytes(self.table.rows["config/head"].value)):
            with self.subTest(name=name):
                rows = Rows(9, [Row("config/head", 9, msgspec.Raw(value))])
                with self.assertRaisesRegex(ConfigurationError, "config/head"):
                    decode_snapshot(rows, {}, SetAside())

    def test_unreadable_change_does_not_stop_a_reader(self) -> None:
        """Fails if a reader that replays changes stays at the version before an odd one."""
        for number, (name, value) in enumerate(list_odd_objects(b'{"number":1}'), 3):
            with self.subTest(name=name):
                run(self.ana.apply(make_draft(A, number)))
                self.put(make_change_key(number), value)
                with self.assertLogs("lavenderstall.set_aside"):
                    found = run(self.reader.refresh())
                self.assertEqual(found.version, number)
                self.assertEqual(found.items[A].weight, number)

    def test_unreadable_change_does_not_hide_the_others(self) -> None:
        """Fails if the history can't be read, or an undo passes over a change that it can't."""
        run(self.ana.apply(make_draft(A, 2)))
        for name, value in list_odd_objects(b'{"number":1}'):
            with self.subTest(name=name), self.assertLogs("lavenderstall.set_aside"):
                self.put(make_change_key(2), value)
                listed = run(self.ben.list_changes())
                self.assertEqual([each.number for each in listed], [1, 3])
                with self.assertRaisesRegex(ChangeRefusedError, "000000000002"):
                    run(self.ben.undo(1, author="ben", reason="x", seen=None))
                self.assertEqual(self.get_weight(), 2)

    def test_change_that_cannot_be_read_back_has_an_unknown_outcome(self) -> None:
        """Fails if a change that may have been made is reported as not made."""
        self.put(make_change_key(3), b"{}")
        with self.assertRaises(StoreOutcomeUnknownError):
            self.run_now(self.ana.apply(make_draft(A, 5)))

    def test_snapshot_of_a_peer_keeps_what_is_unreadable(self) -> None:
        """Fails if a declaration that one instance can't read is absent at the next."""
        before = Snapshot(Version(2), 1, {B: Team("b", 1)}, frozenset({A}))
        body = msgspec.json.encode(pack_snapshot(before))
        self.assertEqual(unpack_snapshot(msgspec.json.decode(body, type=SnapshotBody)), before)
        after = run(self.ana.apply(make_draft(A, 9))).change
        self.assertEqual(apply_change(before, after, 1).unreadable, frozenset())


class CompareTest(unittest.TestCase):
    """Guards against differences that are missing, wrong, or contain secrets."""

    def test_table(self) -> None:
        one, two = Team("a", 1), Team("a", 2)
        for current, wanted, expected in (
            ({}, {A: one}, [DifferenceAction.ADD]),
            ({A: one}, {A: two}, [DifferenceAction.CHANGE]),
            ({A: one}, {A: None}, [DifferenceAction.REMOVE]),
            ({A: one}, {A: one}, []),
            ({A: one}, {}, []),
            ({}, {A: None}, []),
        ):
            with self.subTest(current=current, wanted=wanted):
                found = diff_items(current, wanted)
                self.assertEqual([each.action for each in found], expected)

    def test_order_of_keys_is_no_difference(self) -> None:
        shares = [(Demand.BATCH, 1), (Demand.CALLS, 2)]
        one, two = (Policy("p", dict(pairs)) for pairs in (shares, shares[::-1]))
        self.assertEqual(diff_items({A: one}, {A: two}), ())

    def test_hashes_are_shortened(self) -> None:
        declared = "scrypt$" + "0" * 32 + "$" + "1" * 58 + "abcdef"
        text = str(diff_items({}, {A: Team("a", tokens=(declared,))}))
        self.assertNotIn(declared, text)
        self.assertIn("abcdef", text)

    def test_commands(self) -> None:
        drained = set_command("worker/w", None, drained=True)
        both = set_command("worker/w", drained, quarantined=True)
        self.assertEqual(both, Command("worker/w", drained=True, quarantined=True))
        self.assertIsNone(set_command("worker/w", drained, drained=False))
