"""Authentication of operators and teams by bearer tokens with salted hashes."""

import hashlib
import hmac
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from lavenderstall.bearer_tokens import AccessError, read_bearer_token
from lavenderstall.identifiers import TeamName
from lavenderstall.schemas import Declaration, Operator, Right, Team

# Tokens have 256 random bits, so a fast hash suffices; 1 MB and a few milliseconds keep one
# check from blocking an entry instance.
SCRYPT_COST = 1 << 10
SCRYPT_BLOCK_SIZE = 8
SALT_BYTES = 16
HASH_BYTES = 32
SECRET_BYTES = 32
MAX_TOKEN_LENGTH = 256
CACHE_SIZE = 2_000
# A hash takes 2 ms, so a flood of wrong tokens uses at most a tenth of a core.
MAX_WRONG_TOKENS_PER_S = 50


class Caller(msgspec.Struct, frozen=True):
    """Authenticated sender of a request: an operator with a right, or a team."""

    name: str
    right: Right | None = None
    team: TeamName = TeamName("")


def hash_token(token: str, salt: bytes) -> str:
    """Return the salted scrypt hash of a token, as written in declarations."""
    digest = hashlib.scrypt(
        token.encode(), salt=salt, n=SCRYPT_COST, r=SCRYPT_BLOCK_SIZE, p=1, dklen=HASH_BYTES
    )
    return f"scrypt${salt.hex()}${digest.hex()}"


def make_token(name: str, random: Callable[[int], bytes] = secrets.token_bytes) -> tuple[str, str]:
    """Return a new token for an operator or team, and its hash for the declaration."""
    token = f"{name}.{random(SECRET_BYTES).hex()}"
    return token, hash_token(token, random(SALT_BYTES))


def matches_hash(token: str, declared: str) -> bool:
    """Return whether a token has a declared hash, comparing in constant time."""
    _, salt, _ = declared.split("$")
    return hmac.compare_digest(hash_token(token, bytes.fromhex(salt)), declared)


class Access:
    """Authenticate callers by token.

    A token starts with the name of its operator or team and a dot, so only the hashes of that
    name are checked. Hashing of wrong tokens is rate limited. Results are cached under a keyed
    digest, never under the token.
    """

    def __init__(
        self,
        random: Callable[[int], bytes] = secrets.token_bytes,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._hash_budget = float(MAX_WRONG_TOKENS_PER_S)
        self._refilled_s = clock()
        self._key = random(HASH_BYTES)
        self._cache: OrderedDict[bytes, bool] = OrderedDict()
        self._hashes: dict[str, list[tuple[str, Caller]]] = {}
        self._bootstrap_operators: tuple[Operator, ...] = ()

    def __repr__(self) -> str:
        return f"Access(names={len(self._hashes)}, cached={len(self._cache)})"

    def set_bootstrap_operator(self, operator: Operator) -> None:
        """Accept an operator until a declared one has the right to change the configuration."""
        self._bootstrap_operators = (operator,)
        self.replace([])

    def replace(self, declared: Iterable[Declaration]) -> None:
        """Replace the accepted operators and teams by those of a newer configuration."""
        values = list(declared)
        if not any(isinstance(each, Operator) and each.right is Right.CHANGE for each in values):
            values += self._bootstrap_operators
        hashes: dict[str, list[tuple[str, Caller]]] = {}
        for value in values:
            if isinstance(value, Operator):
                caller = Caller(value.name, value.right)
                hashes.setdefault(value.name, []).append((value.token, caller))
            if isinstance(value, Team):
                caller = Caller(value.name, None, TeamName(value.name))
                hashes.setdefault(value.name, []).extend((each, caller) for each in value.tokens)
        self._hashes = hashes

    def _spend_hash_budget(self) -> None:
        """Spend one hash of the rate limit, or raise `AccessError`; valid tokens refund it."""
        now = self._clock()
        refilled = self._hash_budget + (now - self._refilled_s) * MAX_WRONG_TOKENS_PER_S
        self._hash_budget, self._refilled_s = min(refilled, float(MAX_WRONG_TOKENS_PER_S)), now
        if self._hash_budget < 1:
            raise AccessError("too many wrong tokens; try again in a second", status=429)
        self._hash_budget -= 1

    def _matches(self, token: str, declared: str) -> bool:
        key = hmac.digest(self._key, f"{declared}\n{token}".encode(), "sha256")
        matched = self._cache.get(key)
        if matched is None:
            self._spend_hash_budget()
            matched = matches_hash(token, declared)
            self._hash_budget += matched
            self._cache[key] = matched
            if len(self._cache) > CACHE_SIZE:
                self._cache.popitem(last=False)
        else:
            self._cache.move_to_end(key)
        return matched

    def find_caller(self, token: str) -> Caller | None:
        """Return the caller that a token authenticates, or `None`."""
        if len(token) > MAX_TOKEN_LENGTH or not token.isascii():
            return None
        name = token.rpartition(".")[0]
        for declared, caller in self._hashes.get(name, []):
            if self._matches(token, declared):
                return caller
        return None

    def get_caller(self, header: str | None) -> Caller:
        """Return the caller of an `Authorization` header, or raise `AccessError`."""
        caller = self.find_caller(read_bearer_token(header))
        if caller is None:
            raise AccessError("the token is not known", status=401)
        return caller

    def get_operator(self, header: str | None, right: Right) -> Caller:
        """Return the operator of a header; raise `AccessError` if it lacks the right."""
        caller = self.get_caller(header)
        if caller.right is not Right.CHANGE and caller.right is not right:
            detail = f"{caller.name!r} lacks the right {right.value!r}"
            raise AccessError(detail, status=403)
        return caller

    def get_team(self, header: str | None) -> TeamName:
        """Return the team of an `Authorization` header, or raise `AccessError`."""
        caller = self.get_caller(header)
        if not caller.team:
            raise AccessError(
                f"a team's token is required; this is the token of operator {caller.name!r}",
                status=403,
            )
        return caller.team
