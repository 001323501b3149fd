"""Bearer tokens of HTTP requests, and the teams that they belong to."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable

from lavenderstall.errors import LavenderstallError
from lavenderstall.identifiers import TeamName

SECRET_BYTES = 32
# Digests can be compared within this process alone.
SECRET = secrets.token_bytes(SECRET_BYTES)


class AccessError(LavenderstallError):
    """A token is missing, unknown or lacks a right; `status` is the HTTP status."""

    def __init__(self, detail: str, *, status: int) -> None:
        super().__init__(detail, step="access")
        self.status = status


def read_bearer_token(header: str | None) -> str:
    """Return the token of an `Authorization` header, or raise `AccessError`."""
    scheme, _, token = (header or "").strip().partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise AccessError("a bearer token is required", status=401)
    return token.strip()


class TeamKeys:
    """Find the team of a key; only keyed digests of the keys are kept."""

    def __init__(self, keys: Iterable[tuple[str, TeamName]] = ()) -> None:
        self._teams: dict[bytes, TeamName] = {}
        for key, team in keys:
            self._teams.setdefault(self._digest(key), team)

    def __repr__(self) -> str:
        return f"TeamKeys(count={self.count})"

    @property
    def count(self) -> int:
        """Return the number of keys."""
        return len(self._teams)

    def list_digests(self, team: TeamName) -> frozenset[bytes]:
        """Return the digests of a team's keys, which tell those of two versions apart."""
        return frozenset(digest for digest, each in self._teams.items() if each == team)

    def _digest(self, key: str) -> bytes:
        return hmac.digest(SECRET, key.encode("utf-8", "surrogatepass"), hashlib.sha256)

    def get_team(self, header: str | None) -> TeamName:
        """Return the team of an `Authorization` header, or raise `AccessError`."""
        team = self._teams.get(self._digest(read_bearer_token(header)))
        if team is None:
            raise AccessError("the token is not known", status=401)
        return team
