"""Stops new work on workers."""

from lavenderstall.query.verbs.directive import PLACES, DirectVerb


class DrainVerb(DirectVerb):
    """Stop new work on workers and let running work end."""

    name = "drain"
    summary = "stop new work on a worker, rack, zone or slice"
    example = 'drain rack quito-1-r2 because "switch replacement"'
    targets = PLACES
    flags = {"drained": True}
