"""Pauses waiting work."""

from lavenderstall.query.verbs.directive import WORKLOAD_TYPES, DirectVerb


class PauseVerb(DirectVerb):
    """Keep waiting work from starting."""

    name = "pause"
    summary = "hold back waiting work of a service, team or kind"
    example = 'pause kind batch because "flood of calls"'
    scope_types = WORKLOAD_TYPES
    flags = {"paused": True}
