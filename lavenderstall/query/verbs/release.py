"""Ends quarantines."""

from lavenderstall.query.verbs.directive import DirectVerb


class ReleaseVerb(DirectVerb):
    """End a quarantine."""

    name = "release"
    summary = "end a quarantine"
    example = 'release worker w-17 because "disk replaced"'
    scope_types = ("worker", "rack")
    flags = {"quarantined": False}
