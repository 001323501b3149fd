"""Schemas of the declarations of services, jobs, teams, policies, cells and operators."""

import re
from collections.abc import Iterable
from enum import Enum
from typing import Annotated, Any

import msgspec

from lavenderstall.identifiers import RackName, ServiceName, TeamName, ZoneName
from lavenderstall.resources import NOTHING, Resources, check_not_negative

MILLI = 1000

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z")]
Count = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=366 * 24 * 3600 * 1000)]
Duration = Annotated[int, msgspec.Meta(ge=0, le=366 * 24 * 3600 * 1000)]
Milli = Annotated[int, msgspec.Meta(ge=0, le=MILLI)]
Priority = Annotated[int, msgspec.Meta(ge=-1000, le=1000)]
TokenHash = Annotated[
    str, msgspec.Meta(pattern=r"^scrypt\$[0-9a-f]{16,64}\$[0-9a-f]{64}\Z", max_length=200)
]


class Right(Enum):
    """What an operator may do; `change` includes `read`."""

    READ = "read"
    CHANGE = "change"


class Demand(Enum):
    """Kinds of work that have a guaranteed share."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"
    CALLS = "calls"


class Action(Enum):
    """Actions that the scheduler may take on its own."""

    QUARANTINE = "quarantine"
    RELEASE = "release"
    THROTTLE = "throttle"
    MOVE = "move"
    PREEMPT = "preempt"
    RESIZE = "resize"


class Mode(Enum):
    """Whether an automatic action is carried out or waits for approval."""

    DO = "do"
    PROPOSE = "propose"


class Spread(Enum):
    """Failure domain over which replicas are spread."""

    ZONE = "zone"
    RACK = "rack"
    WORKER = "worker"


def check_unique(what: str, names: Iterable[str]) -> None:
    """Raise `ValueError` if a name occurs twice."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f"{what} {name!r} occurs twice")
        seen.add(name)


class Constraints(msgspec.Struct, frozen=True, omit_defaults=True):
    """Restrict where tasks run; empty lists restrict nothing."""

    zones: tuple[ZoneName, ...] = ()
    racks: tuple[RackName, ...] = ()
    near: tuple[ServiceName, ...] = ()
    apart: tuple[ServiceName, ...] = ()


class Calls(msgspec.Struct, frozen=True, omit_defaults=True):
    """Set the call handling of a service; slots and connections are per replica."""

    slots: Positive = 8
    connections: Positive = 64
    deadline_ms: Milliseconds = 10_000
    waiting: Count = 1_000
    retry_budget_milli: Milli = 100
    hedged: bool = False


class Service(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="service"):
    """Declare replicas that run until they are removed and answer calls."""

    name: Name
    team: TeamName
    pool: Name
    replicas: Count
    resources: Resources
    priority: Priority = 0
    spread: Spread = Spread.RACK
    constraints: Constraints = Constraints()
    calls: Calls = Calls()
    description: str = ""

    def __post_init__(self) -> None:
        check_not_negative(self.resources)


class Batch(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="batch"):
    """Declare a job whose tasks start independently; `resources` are per task."""

    name: Name
    team: TeamName
    tasks: Positive
    resources: Resources
    pool: str = ""
    service: ServiceName = ServiceName("")
    priority: Priority = 0
    idempotent: bool = True
    expected_ms: Duration = 0
    deadline_ms: Duration = 0
    constraints: Constraints = Constraints()
    payload: dict[str, msgspec.Raw] = {}
    description: str = ""

    def __post_init__(self) -> None:
        check_not_negative(self.resources)


class Gang(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="gang"):
    """Declare a job whose tasks all start together; `resources` are per task."""

    name: Name
    team: TeamName
    tasks: Positive
    resources: Resources
    pool: str = ""
    priority: Priority = 0
    idempotent: bool = True
    expected_ms: Duration = 0
    deadline_ms: Duration = 0
    constraints: Constraints = Constraints()
    payload: dict[str, msgspec.Raw] = {}
    description: str = ""

    def __post_init__(self) -> None:
        check_not_negative(self.resources)


class Quota(msgspec.Struct, frozen=True, omit_defaults=True):
    """Bound what a team uses; a component of 0 is not bounded."""

    resources: Resources = NOTHING
    waiting: Count = 0

    def __post_init__(self) -> None:
        check_not_negative(self.resources)


class Team(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="team"):
    """Declare a group of callers that shares a weight and a quota."""

    name: Name
    weight: Positive = 1
    quota: Quota = Quota()
    tokens: tuple[TokenHash, ...] = ()
    description: str = ""

    def __repr__(self) -> str:
        return f"Team({self.name!r}, weight={self.weight}, tokens={len(self.tokens)})"


class Limits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Bound queues and automatic actions; counts are per slice."""

    waiting: dict[Demand, Count] = {}
    preemptions_per_minute: Count = 30
    quarantined_milli: Milli = 200
    tasks_per_job: Positive = 100_000


class AutomaticRule(msgspec.Struct, frozen=True, omit_defaults=True):
    """Set the mode of one action in a scope such as `zone/z1`; an empty scope is the cell."""

    action: Action
    mode: Mode
    scope: Annotated[str, msgspec.Meta(max_length=200)] = ""


class Policy(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="policy"):
    """Declare guaranteed shares in thousandths, limits, and modes of automatic actions."""

    name: Name
    shares: dict[Demand, Milli] = {}
    limits: Limits = Limits()
    automatic: tuple[AutomaticRule, ...] = ()
    description: str = ""

    def __post_init__(self) -> None:
        total = sum(self.shares.values())
        if total > MILLI:
            raise ValueError(f"shares add up to {total}, which is more than {MILLI}")
        check_unique("rule", (f"{rule.action.value} {rule.scope}" for rule in self.automatic))

    def find_mode(self, action: Action, scopes: Iterable[str]) -> Mode:
        """Return the mode of the first scope with a rule, else that of the cell, else `PROPOSE`."""
        rules = {rule.scope: rule.mode for rule in self.automatic if rule.action is action}
        found = [rules[scope] for scope in (*scopes, "") if scope in rules]
        return found[0] if found else Mode.PROPOSE


class Zone(msgspec.Struct, frozen=True, omit_defaults=True):
    """Name an availability zone and its region."""

    name: Name
    region: str = ""


class Retention(msgspec.Struct, frozen=True, omit_defaults=True):
    """Set how long records are kept; `changes` is a count of rows.

    A caller that retries its own request id later than `requests_ms` may run it a second time.
    """

    requests_ms: Milliseconds = 24 * 3_600_000
    jobs_ms: Milliseconds = 3_600_000
    changes: Positive = 1_000


class Cell(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="cell"):
    """Declare the cell: its zones and how long records are kept."""

    name: Name
    zones: Annotated[tuple[Zone, ...], msgspec.Meta(min_length=1)]
    retention: Retention = Retention()
    description: str = ""

    def __post_init__(self) -> None:
        check_unique("zone", (zone.name for zone in self.zones))


class Operator(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="operator"):
    """Declare an operator with a hashed token and a right."""

    name: Name
    token: TokenHash
    right: Right = Right.READ
    description: str = ""

    def __repr__(self) -> str:
        return f"Operator({self.name!r}, right={self.right.value!r})"


class Command(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="kind", tag="command"):
    """Hold the runtime commands active on the scope `name`, such as `worker/w1`."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    drained: bool = False
    quarantined: bool = False
    paused: bool = False
    cancelled: bool = False


Declaration = Service | Batch | Gang | Team | Policy | Cell | Operator
Item = Declaration | Command

DECLARATIONS: dict[str, type[Declaration]] = {
    "service": Service,
    "batch": Batch,
    "gang": Gang,
    "team": Team,
    "policy": Policy,
    "cell": Cell,
    "operator": Operator,
}
ITEMS: dict[str, type[Item]] = {**DECLARATIONS, "command": Command}

SCOPE_PATTERN = re.compile(r"(worker|rack|zone|slice|service|team|job|task|kind)/[^\s\"]{1,150}\Z")


def get_kind(item: Item) -> str:
    """Return the kind of an item, as written in declarations."""
    return str(item.__struct_config__.tag)


def export_schema() -> dict[str, Any]:
    """Return the JSON Schema of all declarations, which rejects unknown fields."""
    schema = msgspec.json.schema(Declaration)
    for definition in schema["$defs"].values():
        if "properties" in definition:
            definition["additionalProperties"] = False
    return schema
