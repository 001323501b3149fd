"""Allows new work on drained workers."""

from lavenderstall.query.verbs.directive import LOCATION_TYPES, DirectVerb


class UndrainVerb(DirectVerb):
    """Allow new work on drained workers again."""

    name = "undrain"
    summary = "allow new work on a drained worker, rack, zone or slice"
    example = 'undrain rack quito-1-r2 because "switch replaced"'
    scope_types = LOCATION_TYPES
    flags = {"drained": False}
