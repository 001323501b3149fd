"""Base of verbs that put runtime commands into effect or lift them."""

from collections.abc import Mapping
from typing import ClassVar

from lavenderstall.query.statements import Direct, Statement
from lavenderstall.query.verbs import ParsedStatement, Verb, get_reason

PLACES = ("worker", "rack", "zone", "slice")
# A job alone is not paused: requests of one shape wait in one queue, and the first would block
# those of other jobs.
WORK = ("service", "team", "kind")
MAX_ID_LENGTH = 150


class DirectVerb(Verb):
    """Contract of a directive: the targets it applies to and the flags it sets or clears."""

    targets: ClassVar[tuple[str, ...]]
    flags: ClassVar[Mapping[str, bool]]

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return a `Direct`."""
        target, name = parsed.object, parsed.id
        assert target is not None and name is not None
        if target.text not in self.targets:
            raise target.make_error(f"{self.name} does not apply to a {target.text}", self.targets)
        if len(name.text) > MAX_ID_LENGTH:
            raise name.make_error(f"the id is longer than {MAX_ID_LENGTH} characters")
        return Direct(self.name, f"{target.text}/{name.text}", get_reason(parsed))
