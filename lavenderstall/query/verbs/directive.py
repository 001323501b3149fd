"""Base class of verbs that set or clear runtime commands."""

from collections.abc import Mapping
from typing import ClassVar

from lavenderstall.query.statements import Direct, Statement
from lavenderstall.query.verbs import ParsedStatement, Verb, get_reason

LOCATION_TYPES = ("worker", "rack", "zone", "slice")
# Single jobs cannot be paused: requests of one shape share a queue, and a paused request at its
# head would block those of other jobs.
WORKLOAD_TYPES = ("service", "team", "kind")
MAX_ID_LENGTH = 150


class DirectVerb(Verb):
    """Base class of directives: valid scope types and the flags to set or clear."""

    scope_types: ClassVar[tuple[str, ...]]
    flags: ClassVar[Mapping[str, bool]]

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `Direct`."""
        target, name = parsed.object, parsed.id
        assert target is not None and name is not None
        if target.text not in self.scope_types:
            raise target.make_error(
                f"{self.name} does not apply to a {target.text}", self.scope_types
            )
        if len(name.text) > MAX_ID_LENGTH:
            raise name.make_error(f"the id is longer than {MAX_ID_LENGTH} characters")
        return Direct(self.name, f"{target.text}/{name.text}", get_reason(parsed))
