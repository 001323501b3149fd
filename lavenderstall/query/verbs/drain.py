"""Drains workers."""

from lavenderstall.query.verbs.directive import LOCATION_TYPES, DirectVerb


class DrainVerb(DirectVerb):
    """Place no new work on workers and let running work finish."""

    name = "drain"
    summary = "stop new work on a worker, rack, zone or slice"
    example = 'drain rack quito-1-r2 because "switch replacement"'
    scope_types = LOCATION_TYPES
    flags = {"drained": True}
