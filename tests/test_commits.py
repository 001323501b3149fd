"""Tests of group commit, against the table stand-in on a clock that the test advances."""

import itertools
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from lavenderstall.commits import MAX_QUEUED_WRITES, MAX_TRANSACTION_ROWS, REASON_BUSY, GroupCommit
from lavenderstall.errors import (
    BadRequestError,
    ConflictError,
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from lavenderstall.protocol import Committed, Condition, Put, Transaction
from lavenderstall.records import encode_row
from lavenderstall.writes import NONCE_FIELD
from standins.table import Table, TableView
from tests.oddities import list_odd_objects

ABSENT_EFFECT = (ConflictError, StoreUnavailableError, RefusedError)
FLEET_LIMIT = 200


class LoggedTable(Table):
    """A table that logs the committed transactions."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.log: list[Transaction] = []

    def commit(self, transaction: Transaction) -> Committed:
        committed = super().commit(transaction)
        self.log.append(transaction)
        return committed

    def count_effects(self, put: Put) -> int:
        """Return how often a put took effect; its value has to be unique."""
        wanted = msgspec.json.decode(put.value)["n"]
        puts = itertools.chain(*(transaction.puts for transaction in self.log))
        return sum(msgspec.json.decode(found.value).get("n") == wanted for found in puts)


class ImpatientView(TableView):
    """Time out after one second, although the request may still be executed."""

    def __init__(self, table: Table, clock: Clock) -> None:
        super().__init__(table)
        self.clock = clock

    def transact(self, transaction: Transaction):
        error = StoreOutcomeUnknownError("timeout", step="transact")
        return self.limit(super().transact(transaction), error)

    def scan(self, prefix: str):
        return self.limit(super().scan(prefix), StoreUnavailableError("timeout", step="scan"))

    def limit(self, deferred, error: Exception):
        """Fail with an error after the timeout."""
        return deferred.addTimeout(1.0, self.clock, lambda *_: fail(error))


class Outcome:
    """The outcome that was reported to a writer."""

    def __init__(self, put: Put, deferred) -> None:
        self.put = put
        self.result = None
        self.error = None
        deferred.addCallbacks(self._succeed, self._fail)

    def _succeed(self, result) -> None:
        self.result = result

    def _fail(self, failure) -> None:
        self.error = failure.value


class CommitsCase(unittest.TestCase):
    """Set up a table and committers with a count of live entry instances."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.table = LoggedTable(self.clock)
        self.numbers = itertools.count(1)
        self.commits = self.make_commits()

    def make_commits(self, entries: int = 1) -> GroupCommit:
        """Return a committer with a view of the table of its own."""
        nonces = (f"nonce-{number}" for number in self.numbers)
        view = ImpatientView(self.table, self.clock)
        return GroupCommit(view, self.clock, lambda: next(nonces), lambda: entries)

    def put(self, key: str, version: int | None = 0, timeout: float = 10.0, commits=None):
        """Submit a put, with a condition unless the version is none."""
        put = Put(key, msgspec.Raw(msgspec.json.encode({"n": next(self.numbers)})))
        conditions = [] if version is None else [Condition(key, version)]
        commits = commits or self.commits
        return Outcome(put, commits.submit(conditions, [put], timeout=timeout))

    def run_for(self, seconds: float, step: float = 0.01) -> None:
        """Advance the clock in steps."""
        self.clock.pump([step] * round(seconds / step))


class MergeTest(CommitsCase):
    """Guards against delays when idle, oversized transactions and reordered writes."""

    def test_first_write_goes_out_at_once(self) -> None:
        self.assertEqual(self.put("a").result, Committed(1))
        self.run_for(5)
        self.assertEqual(self.put("b").result, Committed(2))

    def test_writes_are_merged_up_to_the_limit(self) -> None:
        outcomes = [self.put(f"k/{number}") for number in range(251)]
        self.run_for(1)
        self.assertTrue(all(outcome.result for outcome in outcomes))
        sizes = [len(transaction.puts) for transaction in self.table.log]
        self.assertEqual(sizes, [1, MAX_TRANSACTION_ROWS, MAX_TRANSACTION_ROWS, 50])

    def test_each_row_carries_the_nonce_of_its_write(self) -> None:
        self.put("a")
        value = msgspec.json.decode(self.table.log[0].puts[0].value)
        self.assertRegex(value[NONCE_FIELD], "nonce-")

    def test_writes_on_one_key_stay_in_order(self) -> None:
        self.table.faults.delay_s = 0.5
        outcomes = [self.put(key, None) for key in ("a", "b", "a", "c", "a")]
        self.run_for(5)
        puts = [put for transaction in self.table.log for put in transaction.puts]
        numbers = [msgspec.json.decode(put.value)["n"] for put in puts if put.key == "a"]
        self.assertEqual(numbers, sorted(numbers))
        self.assertEqual(len({outcomes[i].result.revision for i in (0, 2, 4)}), 3)

    def test_two_writes_with_the_same_condition_do_not_both_succeed(self) -> None:
        self.put("other")
        outcomes = [self.put("a", 0), self.put("a", 0)]
        self.run_for(1)
        self.assertIsNotNone(outcomes[0].result)
        self.assertIsInstance(outcomes[1].error, ConflictError)

    def test_conflict_fails_only_the_writes_concerned(self) -> None:
        outcomes = [self.put(key, version) for key, version in (("a", 0), ("b", 7), ("c", 0))]
        self.run_for(1)
        self.assertEqual([bool(outcome.result) for outcome in outcomes], [True, False, True])
        self.assertEqual(outcomes[1].error.keys, frozenset({"b"}))

    def test_value_that_cannot_carry_a_nonce_is_refused(self) -> None:
        put = Put("a", encode_row([1]))
        outcome = Outcome(put, self.commits.submit([], [put], timeout=1))
        self.assertIsInstance(outcome.error, BadRequestError)

    def test_full_queue_refuses(self) -> None:
        self.table.faults.down = True
        outcomes = [self.put(f"k/{number}") for number in range(MAX_QUEUED_WRITES + 2)]
        refused = [outcome for outcome in outcomes if outcome.error]
        self.assertEqual({outcome.error.reason for outcome in refused}, {REASON_BUSY})
        self.assertLessEqual(self.commits.get_depth(), MAX_QUEUED_WRITES)
        self.assertGreater(refused[0].error.retry_after_ms, 0)

    def test_cancelled_write_is_not_sent(self) -> None:
        self.put("other")
        waiting = self.commits.submit([], [Put("a", encode_row({}))], timeout=5)
        waiting.addErrback(lambda _: None)
        waiting.cancel()
        self.run_for(1)
        self.assertEqual(len(self.table.log), 1)

    def test_flush_waits_for_all_outcomes(self) -> None:
        self.table.faults.delay_s = 0.3
        outcomes = [self.put(f"k/{number}") for number in range(150)]
        flushed: list = []
        self.commits.flush().addCallback(flushed.append)
        self.assertFalse(flushed)
        self.run_for(2)
        self.assertTrue(flushed)
        self.assertTrue(all(outcome.result for outcome in outcomes))


class FaultsTest(CommitsCase):
    """Guards against a write that is lost, applied twice or reported wrongly."""

    def check_single_effect(self, outcome: Outcome) -> None:
        """Check that a write was reported as done and took effect once."""
        self.assertIsNone(outcome.error)
        self.assertIsNotNone(outcome.result)
        self.assertEqual(self.table.count_effects(outcome.put), 1)

    def test_lost_acknowledgement_is_detected(self) -> None:
        self.table.faults.lose_next = 1
        self.check_single_effect(self.put("a"))

    def test_lost_acknowledgement_then_outage(self) -> None:
        self.table.faults.lose_next = 1
        self.table.faults.delay_s = 0.1
        outcome = self.put("a")
        self.run_for(0.07)
        self.table.faults.down = True
        self.run_for(3)
        self.assertIsNone(outcome.result)
        self.table.faults.down = False
        self.run_for(4)
        self.check_single_effect(outcome)

    def test_lost_acknowledgement_then_stale_read(self) -> None:
        self.table.faults.lose_next = 1
        self.table.faults.stale_revisions = 1
        outcome = self.put("a")
        self.run_for(2)
        self.table.faults.stale_revisions = 0
        self.run_for(4)
        self.check_single_effect(outcome)

    def test_lost_acknowledgement_of_a_delete(self) -> None:
        created = self.put("a")
        self.run_for(1)
        self.table.faults.lose_next = 1
        conditions = [Condition("a", created.result.revision)]
        outcome = Outcome(created.put, self.commits.submit(conditions, [], ["a"], timeout=5))
        self.run_for(1)
        self.assertIsNone(outcome.error)
        self.assertEqual(len(self.table.log), 2)

    def test_writer_that_retries_after_its_own_lost_write_gets_a_conflict(self) -> None:
        self.table.faults.lose_next = 1
        self.put("a", timeout=1)
        retried = self.put("a", timeout=1)
        self.run_for(2)
        self.assertIsInstance(retried.error, ConflictError)
        self.assertEqual(len(self.table.log), 1)

    def test_timeout_reports_whether_the_write_was_sent(self) -> None:
        cases = (
            ({"down": True}, 2.0, StoreUnavailableError),
            ({"delay_s": 9.0}, 2.0, StoreOutcomeUnknownError),
            # The deadline is earlier than the timeout of the request in flight.
            ({"delay_s": 9.0}, 0.5, StoreOutcomeUnknownError),
        )
        for settings, timeout, kind in cases:
            with self.subTest(settings=settings, timeout=timeout):
                self.setUp()
                for name, value in settings.items():
                    setattr(self.table.faults, name, value)
                outcome = self.put("a", timeout=timeout)
                self.run_for(timeout - 0.1)
                self.assertIsNone(outcome.error)
                self.run_for(0.2)
                self.assertIsInstance(outcome.error, kind)

    def lose_and_read_stale(self) -> Outcome:
        """Submit a write that is committed but neither acknowledged nor seen by a stale read."""
        self.table.faults.lose_next = 1
        self.table.faults.stale_revisions = 1
        outcome = self.put("a", timeout=8)
        self.table.faults.stale_revisions = 0
        self.assertIsNone(outcome.result)
        self.assertEqual(self.table.count_effects(outcome.put), 1)
        return outcome

    def test_deadline_while_a_lost_write_waits_to_be_sent_again(self) -> None:
        outcome = self.lose_and_read_stale()
        self.table.faults.down = True
        self.run_for(9)
        self.assertIsInstance(outcome.error, StoreOutcomeUnknownError)

    def test_lost_write_that_another_writer_overwrites(self) -> None:
        outcome = self.lose_and_read_stale()
        other = Put("a", encode_row({"n": 0}))
        self.table.transact(Transaction([Condition("a", 1)], [other]))
        self.run_for(1)
        self.assertIsInstance(outcome.error, StoreOutcomeUnknownError)

    def test_odd_row_of_another_writer_costs_no_merged_write(self) -> None:
        """Fails if a row that can't be read back leaves the writes beside it unresolved."""
        for name, value in list_odd_objects(b'{"nonce":"n"}'):
            with self.subTest(name=name):
                self.setUp()
                self.put("first")
                self.table.faults = msgspec.structs.replace(
                    self.table.faults, lose_next=1, delay_s=0.1
                )
                writes = [self.put(key) for key in ("a", "b")]
                while len(self.table.log) < 2:
                    self.run_for(0.01)
                # Past the log, which holds the writes of the committer alone.
                Table.commit(self.table, Transaction(puts=[Put("a", msgspec.Raw(value))]))
                self.run_for(1)
                self.assertEqual(len(self.table.log[1].puts), 2, "the writes are not merged")
                self.check_single_effect(writes[1])

    def test_lost_write_does_not_confirm_one_merged_with_it_later(self) -> None:
        lost = self.lose_and_read_stale()
        merged = self.put("b")
        self.table.faults.delay_s = 5.0
        self.run_for(1.5)
        self.table.faults.delay_s = 0.0
        self.run_for(6)
        self.check_single_effect(lost)
        self.check_single_effect(merged)

    def test_deadline_after_a_lost_acknowledgement(self) -> None:
        self.table.faults.lose_next = 1
        self.table.faults.stale_revisions = 1
        outcome = self.put("a", timeout=2)
        self.run_for(2.1)
        self.assertIsInstance(outcome.error, StoreOutcomeUnknownError)

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("put"), st.sampled_from("abcd"), st.integers(0, 6)),
                st.tuples(st.just("lose"), st.integers(1, 3)),
                st.tuples(st.just("down"), st.booleans()),
                st.tuples(st.just("delay"), st.sampled_from([0.0, 0.2, 3.0])),
                st.tuples(st.just("stale"), st.integers(0, 2)),
                st.tuples(st.just("run"), st.sampled_from([0.05, 0.5, 4.0])),
            ),
            max_size=40,
        )
    )
    def test_reported_outcomes_match_the_table(self, actions) -> None:
        self.setUp()
        faults = self.table.faults
        others = [self.commits, self.make_commits()]
        outcomes = []
        for index, (action, *values) in enumerate(actions):
            match action:
                case "put":
                    commits = others[index % 2]
                    outcomes.append(self.put(values[0], values[1], 5.0, commits))
                case "lose":
                    faults.lose_next = values[0]
                case "down":
                    faults.down = values[0]
                case "delay":
                    faults.delay_s = values[0]
                case "stale":
                    faults.stale_revisions = values[0]
                case "run":
                    self.run_for(values[0], 0.05)
        self.run_for(10, 0.05)
        for outcome in outcomes:
            effects = self.table.count_effects(outcome.put)
            self.assertLessEqual(effects, 1)
            self.assertTrue(outcome.result or outcome.error, "no outcome in time")
            if outcome.result:
                self.assertEqual(effects, 1)
            elif isinstance(outcome.error, ABSENT_EFFECT):
                self.assertEqual(effects, 0)


class RateTest(CommitsCase):
    """Guards against exceeding the write rate that the table sustains."""

    def test_rate_of_one_instance(self) -> None:
        for entries, rate in ((0, 20), (1, 20), (9, 16), (76, 1), (149, 1), (150, 1), (300, 0.5)):
            with self.subTest(entries=entries):
                self.assertEqual(self.make_commits(entries).compute_rate(), rate)

    def test_fleet_keeps_the_limit_when_the_store_returns(self) -> None:
        for entries, interval in ((9, 0.05), (100, 0.5), (150, 0.5)):
            with self.subTest(entries=entries):
                self.setUp()
                fleet = [self.make_commits(entries) for _ in range(entries)]
                self.table.faults.down = True
                outcomes = self.keep_writing(fleet, interval)
                self.assertFalse(self.table.write_times)
                self.table.faults.down = False
                outcomes += self.keep_writing(fleet, interval)
                self.run_for(10, 0.05)
                self.assertLessEqual(self.table.find_busiest_second(), FLEET_LIMIT)
                self.assertFalse(self.table.writes.refused)
                self.assertTrue(all(outcome.result for outcome in outcomes))

    def keep_writing(self, fleet: list[GroupCommit], interval: float) -> list[Outcome]:
        """Let each instance submit a write of its own in each interval for 5 s."""
        outcomes = []
        for _ in range(round(5 / interval)):
            for commits in fleet:
                outcomes.append(self.put(f"k/{next(self.numbers)}", 0, 60.0, commits))
            self.run_for(interval, 0.05)
        return outcomes
