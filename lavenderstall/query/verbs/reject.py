"""Rejects proposed changes."""

from lavenderstall.query.statements import Decide, Statement
from lavenderstall.query.verbs import ParsedStatement, Verb, get_reason, parse_count
from lavenderstall.query.verbs.show import MAX_CHANGE_NUMBER


class RejectVerb(Verb):
    """Close a proposed change without applying it."""

    name = "reject"
    summary = "reject a proposed change"
    example = 'reject change 413 because "not during the rounds"'

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `Decide`."""
        assert parsed.id is not None
        return Decide(self.name, parse_count(parsed.id, MAX_CHANGE_NUMBER), get_reason(parsed))
