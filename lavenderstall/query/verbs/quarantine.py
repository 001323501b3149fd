"""Quarantines workers."""

from lavenderstall.query.verbs.directive import DirectVerb


class QuarantineVerb(DirectVerb):
    """Place no new work but probes on failing workers."""

    name = "quarantine"
    summary = "keep new work from failing workers, except probes"
    example = 'quarantine worker w-17 because "fails every task"'
    scope_types = ("worker", "rack")
    flags = {"quarantined": True}
