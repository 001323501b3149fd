"""Lets paused work start again."""

from lavenderstall.query.verbs.directive import WORKLOAD_TYPES, DirectVerb


class ResumeVerb(DirectVerb):
    """Let paused work start again."""

    name = "resume"
    summary = "let paused work start again"
    example = 'resume kind batch because "flood is over"'
    scope_types = WORKLOAD_TYPES
    flags = {"paused": False}
