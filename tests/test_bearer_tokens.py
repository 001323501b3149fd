"""Tests of bearer tokens and of the teams that they belong to."""

import unittest
from unittest.mock import patch

from lavenderstall import bearer_tokens
from lavenderstall.bearer_tokens import AccessError, TeamKeys, read_bearer_token
from lavenderstall.identifiers import TeamName

WATER, ROADS = TeamName("water"), TeamName("roads")
NON_ASCII = "schlüssel-ключ"
MEGABYTE = "k" * 1_000_000


class HeaderTest(unittest.TestCase):
    """Authorization headers as callers send them."""

    def test_the_token_is_read(self) -> None:
        """Fails if a header that HTTP allows is taken for a malformed one."""
        rows = (
            ("Bearer k1", "k1"),
            ("bearer k1", "k1"),
            ("BEARER   k1  ", "k1"),
            (f"Bearer {NON_ASCII}", NON_ASCII),
            ("Bearer a b", "a b"),
        )
        for header, token in rows:
            with self.subTest(header=header):
                self.assertEqual(read_bearer_token(header), token)

    def test_a_header_without_a_token_is_refused(self) -> None:
        """Fails if a malformed header is taken for a key, or ends in another error."""
        for header in (
            None,
            "",
            " ",
            "Bearer",
            "Bearer ",
            "k1",
            "Basic k1",
            "Bearer\tk1",
            "\udc80",
        ):
            with self.subTest(header=header), self.assertRaises(AccessError) as caught:
                read_bearer_token(header)
            self.assertEqual(caught.exception.status, 401)


class TeamKeysTest(unittest.TestCase):
    """Keys of teams."""

    def setUp(self) -> None:
        self.keys = TeamKeys(
            [("k1", WATER), (NON_ASCII, ROADS), (MEGABYTE, ROADS), ("k1", ROADS), ("k2", ROADS)]
        )

    def test_the_team_of_a_key_is_found(self) -> None:
        """Fails if a key belongs to no team or to another one, such as the last that has it."""
        for key, team in (("k1", WATER), ("k2", ROADS), (NON_ASCII, ROADS), (MEGABYTE, ROADS)):
            with self.subTest(key=key[:20]):
                self.assertEqual(self.keys.get_team(f"Bearer {key}"), team)

    def test_other_keys_are_refused(self) -> None:
        """Fails if a part of a key, another case of it or a lone surrogate passes or is no 401."""
        for key in ("k", "k11", "K1", "k1 k1", MEGABYTE[1:], "schlussel", "\ud800", "\udcff"):
            with self.subTest(key=key[:20]), self.assertRaises(AccessError) as caught:
                self.keys.get_team(f"Bearer {key}")
            self.assertEqual(caught.exception.status, 401)
            self.assertNotIn(key, str(caught.exception).split())

    def test_no_keys_let_nobody_in(self) -> None:
        """Fails if an empty list of keys counts as none being needed."""
        for header in (None, "Bearer ", "Bearer k1"):
            with self.subTest(header=header), self.assertRaises(AccessError):
                TeamKeys().get_team(header)

    def test_neither_keys_nor_digests_are_shown(self) -> None:
        """Fails if a log line of the object gives keys away."""
        self.assertEqual(repr(self.keys), "TeamKeys(count=4)")
        self.assertEqual(str(self.keys), "TeamKeys(count=4)")

    def test_digests_differ_between_processes(self) -> None:
        """Fails if keys can be guessed offline from the memory of another process."""
        first = TeamKeys([("k1", WATER)]).list_digests(WATER)
        self.assertEqual(TeamKeys([("k1", WATER)]).list_digests(WATER), first)
        other = bearer_tokens.secrets.token_bytes(bearer_tokens.SECRET_BYTES)
        self.assertNotEqual(bearer_tokens.SECRET, other)
        with patch.object(bearer_tokens, "SECRET", other):
            self.assertNotEqual(TeamKeys([("k1", WATER)]).list_digests(WATER), first)


if __name__ == "__main__":
    unittest.main()
