"""Cancels jobs and tasks."""

from lavenderstall.query.verbs.directive import DirectVerb


class CancelVerb(DirectVerb):
    """Stop a job or task permanently."""

    name = "cancel"
    summary = "stop a job or task for good"
    example = 'cancel job nightly-photos because "wrong album"'
    scope_types = ("job", "task")
    flags = {"cancelled": True}
