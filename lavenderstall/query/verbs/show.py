"""Lists rows, or describes one change."""

from lavenderstall.query.fields import get_field
from lavenderstall.query.filters import resolve_filter
from lavenderstall.query.statements import Order, Show, ShowChange, Statement, Topic
from lavenderstall.query.verbs import ParsedStatement, Verb, parse_count
from lavenderstall.schemas import Right

MAX_LIMIT = 10_000
MAX_CHANGE_NUMBER = 10**12


class ShowVerb(Verb):
    """List the rows of a topic."""

    name = "show"
    summary = "list tasks, jobs, workers, services, slices, refusals, waiting, changes, entries"
    example = "show waiting where team = drivers and age > 5m sort by age desc limit 20"
    right = Right.READ

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `Show`, or a `ShowChange` if a change is named."""
        if parsed.object is None:
            assert parsed.id is not None
            return ShowChange(parse_count(parsed.id, MAX_CHANGE_NUMBER))
        topic = Topic(parsed.object.text)
        sort = tuple(Order(get_field(topic, word), down) for word, down in parsed.sort)
        limit = parse_count(parsed.limit, MAX_LIMIT) if parsed.limit else 100
        return Show(topic, resolve_filter(topic, parsed.where), sort, limit)
