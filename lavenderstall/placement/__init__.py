"""Placement policies, one module for each kind of work."""

from functools import cache
from importlib import import_module

from lavenderstall.errors import LavenderstallError
from lavenderstall.placement.base import Policy

POLICIES = {
    "batch": ("lavenderstall.placement.batch", "BatchPolicy"),
    "gang": ("lavenderstall.placement.gang", "GangPolicy"),
    "service": ("lavenderstall.placement.service", "ServicePolicy"),
}


class UnknownPolicyError(LavenderstallError):
    """No placement policy has the name."""


@cache
def find_policy(name: str) -> Policy | None:
    """Return the policy of that name, or None."""
    if name not in POLICIES:
        return None
    module, class_name = POLICIES[name]
    policy: Policy = getattr(import_module(module), class_name)()
    return policy


def get_policy(name: str) -> Policy:
    """Return the policy of that name; raise `UnknownPolicyError` if there is none."""
    policy = find_policy(name)
    if policy is None:
        known = ", ".join(sorted(POLICIES))
        raise UnknownPolicyError(f"no policy {name!r}, known are {known}", step="get policy")
    return policy
