"""Rows of the shares of teams in the store."""

from collections.abc import Iterable

from lavenderstall.decoding import UnreadableError, decode_msgpack
from lavenderstall.identifiers import TeamName
from lavenderstall.pools.ports import Condition, Put, Row, Transaction
from lavenderstall.pools.records import encode
from lavenderstall.pools.share_book import NO_ROW, PlannedRow
from lavenderstall.pools.share_decisions import SharesRow
from lavenderstall.resources import check_not_negative

SHARES = "shares"
# All rows lie in one part, so that one transaction changes the shares of several teams.
PARTITION = "teams"


def decode_shares(row: Row) -> SharesRow:
    """Decode the shares of a team, or raise `UnreadableError`; an absent row holds none."""
    if not row.version:
        return NO_ROW
    found = decode_msgpack(row.value, SharesRow)
    try:
        for amounts in (found.quota, *(share.amounts for share in found.shares.values())):
            check_not_negative(amounts)
    except ValueError as error:
        raise UnreadableError(str(error)) from error
    return found


def make_transaction(planned: Iterable[PlannedRow]) -> Transaction:
    """Return the transaction that writes rows, if each still has its version."""
    rows = tuple(planned)
    return Transaction(
        PARTITION,
        tuple(Condition(SHARES, each.team, each.version) for each in rows),
        tuple(Put(SHARES, each.team, encode(each.row)) for each in rows),
    )


def make_row(planned: PlannedRow) -> Row:
    """Return a known row as it is in the store."""
    return Row(SHARES, PARTITION, planned.team, encode(planned.row), planned.version)


def get_team(row: Row) -> TeamName:
    """Return the team whose shares a row holds."""
    return TeamName(row.key)
