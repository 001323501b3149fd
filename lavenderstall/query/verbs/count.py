"""Counts rows by the values of fields."""

from lavenderstall.query.fields import get_field
from lavenderstall.query.filters import resolve_filter
from lavenderstall.query.statements import Count, Statement, Topic
from lavenderstall.query.verbs import ParsedStatement, Verb, parse_count
from lavenderstall.query.verbs.show import MAX_LIMIT
from lavenderstall.schemas import Right


class CountVerb(Verb):
    """Count the rows of a topic."""

    name = "count"
    summary = "count rows by the values of fields"
    example = "count tasks by team, state where zone = quito-1"
    right = Right.READ

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `Count`."""
        assert parsed.object is not None
        topic = Topic(parsed.object.text)
        by = tuple(get_field(topic, word) for word in parsed.by)
        limit = parse_count(parsed.limit, MAX_LIMIT) if parsed.limit else 100
        return Count(topic, by, resolve_filter(topic, parsed.where), limit)
