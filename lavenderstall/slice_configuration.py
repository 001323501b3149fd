"""Applies the configuration in force to the slices of an entry instance."""

from collections.abc import Iterable, Mapping
from functools import lru_cache

from lavenderstall.configuration import ConfigurationView
from lavenderstall.identifiers import TeamName, WorkerId
from lavenderstall.messages import SliceSummary
from lavenderstall.protocol import Kind
from lavenderstall.resources import NOTHING, Resources
from lavenderstall.schemas import MILLI, Command, Policy, Quota, Team
from lavenderstall.slices import SliceServer

UNBOUNDED = 1 << 60
# Teams without allocations in other slices share one cache entry per distinct quota.
ALLOWANCE_CACHE_SIZE = 4096


def get_commands_by_scope(view: ConfigurationView) -> dict[str, Command]:
    """Return the active runtime commands by scope."""
    return {command.name: command for command in view.list_kind("command")}


def list_worker_scopes(server: SliceServer, worker: WorkerId) -> tuple[str, ...]:
    """Return the scopes that contain a worker, narrowest first."""
    link = server.fleet.links[worker]
    return (
        f"worker/{worker}",
        f"rack/{link.member.rack}",
        f"slice/{server.name}",
        f"zone/{server.zone}",
    )


def apply_commands(server: SliceServer, commands: Mapping[str, Command]) -> None:
    """Drain, quarantine, pause and cancel as commanded; reset states that no command sets."""
    for worker in list(server.state.workers):
        if worker not in server.fleet.links:
            continue
        matching = [
            commands[scope] for scope in list_worker_scopes(server, worker) if scope in commands
        ]
        server.set_worker_state(
            worker,
            draining=any(command.drained for command in matching),
            quarantined=any(command.quarantined for command in matching),
        )
    cancelled = {scope for scope, command in commands.items() if command.cancelled}
    if cancelled:
        server.cancel_tasks(
            [
                task
                for task in server.tasks.values()
                if not cancelled.isdisjoint({f"job/{task.spec.id}", f"task/{task.id}"})
            ],
            "cancelled by an operator",
        )
    paused = {scope for scope, command in commands.items() if command.paused}
    if server.queue.set_paused(frozenset(paused)):
        server.request_schedule()
    server.paused = any(
        commands[scope].paused
        for scope in (f"slice/{server.name}", f"zone/{server.zone}")
        if scope in commands
    )


def apply_policy(server: SliceServer, policies: Iterable[Policy]) -> None:
    """Set shares, automatic actions and limits from the policy named `default`."""
    for policy in policies:
        if policy.name != "default":
            continue
        shares = {demand.value: share / MILLI for demand, share in policy.shares.items()}
        server.queue.shares.update({kind: shares.get(kind.value, 0.0) for kind in Kind})
        server.automation.policy = policy
        server.automation.budget.set_per_minute(policy.limits.preemptions_per_minute)
        server.automation.health.set_quarantine_limit(policy.limits.quarantined_milli)


@lru_cache(maxsize=ALLOWANCE_CACHE_SIZE)
def compute_allowance(quota: Quota, elsewhere: Resources) -> Resources | None:
    """Return the quota left for one slice after allocations in others; None if unbounded."""
    bound = quota.resources
    if bound == NOTHING:
        return None
    amounts = {
        name: max(getattr(bound, name) - getattr(elsewhere, name), 0)
        if getattr(bound, name)
        else UNBOUNDED
        for name in bound.__struct_fields__
    }
    return Resources(**amounts)


def sum_team_usage(summaries: Iterable[SliceSummary]) -> dict[TeamName, Resources]:
    """Return each team's allocated resources, summed over all slices."""
    totals: dict[TeamName, Resources] = {}
    for summary in summaries:
        for team, used in summary.teams.items():
            known = totals.get(team)
            totals[team] = used if known is None else known.add(used)
    return totals


def apply_teams(
    server: SliceServer,
    teams: Iterable[Team],
    totals: Mapping[TeamName, Resources],
    own: Mapping[TeamName, Resources],
) -> None:
    """Set weights, and quotas reduced by the team's allocations in other slices.

    `totals` include `own`, the allocations reported by this slice's summary.
    """
    for team in teams:
        name = TeamName(team.name)
        elsewhere = totals.get(name, NOTHING)
        if name in own:
            elsewhere = elsewhere.subtract(own[name])
        allowance = compute_allowance(team.quota, elsewhere)
        if server.allowances.get(name) != (team.weight, allowance):
            server.allowances[name] = (team.weight, allowance)
            server.queue.set_team(name, float(team.weight), allowance)
            server.request_schedule()
