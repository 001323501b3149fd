"""Quarantines workers."""

from lavenderstall.query.verbs.directive import DirectVerb


class QuarantineVerb(DirectVerb):
    """Keep new work from workers that fail, except probes."""

    name = "quarantine"
    summary = "keep new work from failing workers, except probes"
    example = 'quarantine worker w-17 because "fails every task"'
    targets = ("worker", "rack")
    flags = {"quarantined": True}
