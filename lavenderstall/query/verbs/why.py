"""Explains decisions."""

from lavenderstall.query.statements import Statement, Why
from lavenderstall.query.verbs import ParsedStatement, Verb
from lavenderstall.schemas import Right


class WhyVerb(Verb):
    """Explain the decisions about one task, job, request or worker."""

    name = "why"
    summary = "explain the decisions about a task, job, request or worker"
    example = "why task nightly-photos.17"
    right = Right.READ

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `Why`."""
        assert parsed.object is not None and parsed.id is not None
        return Why(parsed.object.text, parsed.id.text)
