"""Undoes changes."""

from lavenderstall.query.statements import Statement, Undo
from lavenderstall.query.verbs import ParsedStatement, Verb, get_reason, parse_count
from lavenderstall.query.verbs.show import MAX_CHANGE_NUMBER


class UndoVerb(Verb):
    """Undo a change by a new change, or preview the undo."""

    name = "undo"
    summary = "undo a change, or preview it"
    example = 'undo change 412 because "wrong team"'

    def build(self, parsed: ParsedStatement) -> Statement:
        """Return an `Undo`."""
        assert parsed.id is not None
        number = parse_count(parsed.id, MAX_CHANGE_NUMBER)
        return Undo(number, get_reason(parsed), parsed.preview)
