"""Tests of authentication and rights."""

import logging
import unittest
from unittest import mock

from lavenderstall import access
from lavenderstall.access import Access, hash_token, make_token
from lavenderstall.bearer_tokens import AccessError
from lavenderstall.schemas import Operator, Right, Team

SALT = bytes(16)
DECLARED = (
    Operator("ana", hash_token("ana.a", SALT), Right.CHANGE),
    Operator("ben", hash_token("ben.b", SALT)),
    Team("ana", tokens=(hash_token("ana.t", SALT), hash_token("ana.u", SALT))),
)
# Header, and the status when the right to read, the right to change, or a team is required.
TABLE = (
    ("Bearer ana.a", None, None, 403),
    ("bearer ben.b", None, 403, 403),
    ("Bearer ana.t", 403, 403, None),
    ("Bearer ana.u", 403, 403, None),
    ("Bearer ben.a", 401, 401, 401),
    ("Bearer ana.\u00e9", 401, 401, 401),
    ("Bearer " + "x" * 500, 401, 401, 401),
    ("Bearer", 401, 401, 401),
    ("Basic ana.a", 401, 401, 401),
    (None, 401, 401, 401),
)


class AccessTest(unittest.TestCase):
    """Guards against callers that get rights which no declaration grants."""

    def setUp(self) -> None:
        self.now = 0.0
        self.access = Access(bytes, lambda: self.now)
        self.access.replace(DECLARED)

    def test_rights(self) -> None:
        for header, *expected in TABLE:
            checks = (
                lambda header=header: self.access.get_operator(header, Right.READ),
                lambda header=header: self.access.get_operator(header, Right.CHANGE),
                lambda header=header: self.access.get_team(header),
            )
            for check, status in zip(checks, expected, strict=True):
                with self.subTest(header=header, status=status):
                    try:
                        check()
                        found = None
                    except AccessError as error:
                        found = error.status
                        self.assertNotIn("ana.a", str(error))
                    self.assertEqual(found, status)

    def test_bootstrap_operator_is_accepted_until_another_may_change(self) -> None:
        first = Operator("operator", hash_token("operator.x", SALT), Right.CHANGE)
        self.access.set_bootstrap_operator(first)
        ana, ben, team = DECLARED
        for declared, expected in (((), True), ((ben, team), True), ((ana, team), False)):
            with self.subTest(declared=declared):
                self.access.replace(declared)
                self.assertEqual(self.access.find_caller("operator.x") is not None, expected)

    def test_second_check_is_cached_until_the_hash_is_replaced(self) -> None:
        with mock.patch.object(access, "matches_hash", wraps=access.matches_hash) as hashed:
            for _ in range(5):
                self.assertIsNotNone(self.access.find_caller("ben.b"))
            self.assertEqual(hashed.call_count, 1)
        self.access.replace([])
        self.assertIsNone(self.access.find_caller("ben.b"))

    def test_cache_is_bounded(self) -> None:
        with mock.patch.object(access, "matches_hash", return_value=False):
            for number in range(access.CACHE_SIZE + 10):
                self.now += 1
                self.access.find_caller(f"ben.{number}")
        self.assertIn(f"cached={access.CACHE_SIZE}", repr(self.access))

    def test_rate_limit_of_wrong_tokens_does_not_affect_cached_ones(self) -> None:
        self.access.find_caller("ben.b")
        with mock.patch.object(access, "matches_hash", return_value=False) as hashed:
            for number in range(access.MAX_WRONG_TOKENS_PER_S):
                self.access.find_caller(f"ben.{number}")
            with self.assertRaises(AccessError) as caught:
                self.access.find_caller("ben.next")
            self.assertEqual(hashed.call_count, access.MAX_WRONG_TOKENS_PER_S)
        self.assertEqual(caught.exception.status, 429)
        self.assertIsNotNone(self.access.find_caller("ben.b"))
        self.now += 1
        self.assertIsNotNone(self.access.find_caller("ana.a"))

    def test_made_token_is_accepted_and_not_shown(self) -> None:
        token, declared = make_token("cem")
        operator = Operator("cem", declared)
        self.access.replace([operator])
        with self.assertNoLogs(level=logging.DEBUG):
            caller = self.access.find_caller(token)
        self.assertEqual(caller and caller.name, "cem")
        shown = repr((self.access, operator, caller, self.access.__dict__))
        self.assertNotIn(token, shown.replace(declared, ""))
        self.assertNotIn(declared, repr((self.access, operator, caller)))
