"""Approves proposed changes."""

from lavenderstall.query.statements import Decide, Statement
from lavenderstall.query.verbs import ParsedStatement, Verb, get_reason, parse_count
from lavenderstall.query.verbs.show import MAX_CHANGE_NUMBER


class ApproveVerb(Verb):
    """Approve and apply a proposed change."""

    name = "approve"
    summary = "carry out a proposed change"
    example = 'approve change 413 because "looks right"'

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `Decide`."""
        assert parsed.id is not None
        return Decide(self.name, parse_count(parsed.id, MAX_CHANGE_NUMBER), get_reason(parsed))
