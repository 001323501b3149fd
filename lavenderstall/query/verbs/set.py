"""Sets fields of declarations."""

from lavenderstall.query.statements import SetFields, Statement
from lavenderstall.query.verbs import ParsedStatement, Verb, get_reason


class SetVerb(Verb):
    """Set fields of a service, job, team, policy, cell or operator."""

    name = "set"
    summary = "set fields of a declaration"
    example = 'set service routing replicas = 24, calls.deadline_ms = 5s because "market day"'

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `SetFields`."""
        assert parsed.object is not None and parsed.id is not None
        reason = get_reason(parsed)
        return SetFields(parsed.object.text, parsed.id.text, parsed.assignments, reason)
