"""Holds back waiting work."""

from lavenderstall.query.verbs.directive import WORK, DirectVerb


class PauseVerb(DirectVerb):
    """Hold back waiting work."""

    name = "pause"
    summary = "hold back waiting work of a service, team or kind"
    example = 'pause kind batch because "flood of calls"'
    targets = WORK
    flags = {"paused": True}
