"""Model of the owners of several pools that share the quota of one team."""

from typing import NamedTuple

from lavenderstall.identifiers import JobId, TeamName
from lavenderstall.pools.share_book import NO_ROW, PlannedRow, ShareBook
from lavenderstall.pools.share_decisions import TeamDemand, add_all, combine, is_within, take_higher
from lavenderstall.pools.team_usage import TeamUsage, count_startable
from lavenderstall.pools.teams import Team
from lavenderstall.pools.work import PoolName, Settings, StepKey
from lavenderstall.resources import NOTHING, Resources

TEAM = TeamName("acme")
STEP = StepKey(JobId("00000000000000a1"), 0, 0)
# Settled once each owner has had this many turns without a fault.
SETTLING_TURNS = 24
TURN_S = 0.35


class Message(NamedTuple):
    """A demand, or rows in answer, on their way to the owner of a pool."""

    pool: PoolName
    asking: PoolName
    demand: TeamDemand | None
    rows: list[PlannedRow]


class Owner:
    """An owner of a pool, its runs, and the write that it waits for."""

    def __init__(self, pool: PoolName, term: int) -> None:
        self.pool = pool
        self.usage = TeamUsage()
        self.book = ShareBook(pool, term, self.usage)
        self.runs: list[Resources] = []
        self.need = Resources(1, 1)
        self.waiting = 0
        self.version = 0
        self.writing: list[PlannedRow] = []
        self.fenced = False

    def add_run(self, need: Resources) -> None:
        """Count a run."""
        self.runs.append(need)
        self.usage.add(TEAM, need)

    def end_run(self) -> None:
        """End the oldest run, if there is any."""
        if self.runs:
            self.usage.subtract(TEAM, self.runs.pop(0))


class SharesModel:
    """Owners, their store, and messages that may be lost, late or repeated."""

    def __init__(self, pools: tuple[str, ...], quota: Resources) -> None:
        self.now = 0.0
        self.quotas = [quota]
        self.version = 0
        self.row = NO_ROW
        self.late_writes: list[PlannedRow] = []
        self.messages: list[Message] = []
        self.owners = {PoolName(pool): Owner(PoolName(pool), 1) for pool in pools}
        self.deposed: list[Owner] = []
        for owner in self.owners.values():
            self.learn(owner)
            self.read(owner)

    # Configuration and store

    def learn(self, owner: Owner) -> None:
        """Let an owner learn the newest configuration."""
        owner.version = len(self.quotas)
        team = Team(TEAM, quota=self.quotas[-1])
        owner.book.set_settings(Settings(owner.version, teams=(team,)))

    def read(self, owner: Owner) -> None:
        """Let an owner read the row."""
        owner.book.note_row(TEAM, self.version, self.row)

    def apply(self, planned: PlannedRow) -> bool:
        """Apply a write if its condition holds."""
        if planned.version != self.version:
            return False
        self.version += 1
        self.row = planned.row
        return True

    def plan(self, owner: Owner) -> None:
        """Let an owner send a write, unless it waits for one."""
        if not owner.writing and not owner.fenced:
            owner.writing = owner.book.plan_rows(10)

    def finish_write(self, owner: Owner, *, applied: bool, answered: bool, late: bool) -> None:
        """End the write that an owner waits for."""
        for planned in owner.writing:
            succeeded = self.apply(planned) if applied else False
            if succeeded and answered:
                owner.book.note_written([planned], self.version)
            elif applied and answered:
                self.read(owner)
            elif late:
                self.late_writes.append(planned)
        owner.writing = []

    # Messages

    def ask(self, owner: Owner) -> None:
        """Let an owner ask those of the pools that have a share."""
        for demand in owner.book.list_demands():
            for pool in owner.book.list_others(TEAM):
                self.messages.append(Message(pool, owner.pool, demand, []))

    def receive(self, message: Message) -> None:
        """Deliver a message."""
        owner = self.owners[message.pool]
        if message.demand is not None:
            owner.book.note_request(message.asking, message.demand)
            rows = owner.book.list_rows([TEAM])
            self.messages.append(Message(message.asking, message.pool, None, rows))
        for team, version, row in message.rows:
            owner.book.note_row(team, version, row)

    # Runs

    def list_owners(self) -> list[Owner]:
        """Return all owners that act, or have runs."""
        return [*self.owners.values(), *self.deposed]

    def sum_running(self) -> Resources:
        """Return what the team has running."""
        return add_all(need for owner in self.list_owners() for need in owner.runs)

    def dispatch(self, owner: Owner) -> None:
        """Start what an owner may start of what waits, and check the quota at each start."""
        if owner.fenced:
            return
        limit, quota = owner.book.get_limit(TEAM), owner.book.get_quota(TEAM)
        startable = count_startable(owner.usage.get(TEAM), limit, quota, owner.need)
        assert startable is not None
        started = min(startable, owner.waiting)
        if started < owner.waiting:
            owner.book.note_wish(TEAM, STEP, owner.need, owner.waiting, started)
        for _ in range(started):
            owner.add_run(owner.need)
            self.check_quota(owner)
        owner.waiting -= started
        owner.book.end_dispatch()

    def check_quota(self, owner: Owner) -> None:
        """Check a start by the highest quota since the configuration that its owner knows.

        A task that exceeds the quota by itself may start beside nothing else of that kind, and one
        that needs nothing of a kind doesn't add to it.
        """
        in_force = self.quotas[owner.version - 1 :]
        running = self.sum_running()
        added = combine(lambda amount, need: amount if need else 0, running, owner.need)
        assert any(is_within(added, take_higher(quota, owner.need)) for quota in in_force), (
            f"{running} running, {in_force} in force, {owner.need} started"
        )

    # Owners

    def take_over(self, pool: PoolName) -> None:
        """Replace the owner of a pool, which acts until it is fenced."""
        earlier = self.owners[pool]
        owner = Owner(pool, earlier.book.term + 1)
        owner.need, owner.waiting = earlier.need, earlier.waiting
        owner.book.now = self.now
        owner.book.set_uncertain(True)
        self.deposed.append(earlier)
        self.owners[pool] = owner
        self.learn(owner)
        self.read(owner)

    def fence(self, pool: PoolName) -> None:
        """Fence all earlier owners of a pool, whose runs its owner knows then."""
        owner = self.owners[pool]
        for earlier in [each for each in self.deposed if each.pool == pool]:
            self.finish_write(earlier, applied=False, answered=False, late=True)
            earlier.fenced = True
            self.deposed.remove(earlier)
            for need in earlier.runs:
                owner.add_run(need)
        owner.book.set_uncertain(False)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        for owner in self.list_owners():
            owner.book.now = self.now

    def settle(self, *, ending: bool) -> dict[PoolName, int]:
        """Let all owners act without faults; return how many tasks each pool has started."""
        self.messages.clear()
        started = dict.fromkeys(self.owners, 0)
        for owner in self.owners.values():
            self.fence(owner.pool)
            if owner.version != len(self.quotas):
                self.learn(owner)
        for _ in range(SETTLING_TURNS):
            self._take_turn(started, ending=ending)
        return started

    def _take_turn(self, started: dict[PoolName, int], *, ending: bool) -> None:
        for owner in self.owners.values():
            if ending:
                owner.end_run()
            waiting = owner.waiting
            for _ in range(2):
                self.dispatch(owner)
                self.plan(owner)
                self.finish_write(owner, applied=True, answered=True, late=False)
            started[owner.pool] += waiting - owner.waiting
            self.ask(owner)
        while self.messages:
            self.receive(self.messages.pop(0))
        self.advance(TURN_S)

    def list_waiting(self) -> list[Owner]:
        """Return the owners whose pools have tasks waiting."""
        return [owner for owner in self.owners.values() if owner.waiting]

    def has_usable_rest(self) -> bool:
        """Tell whether any waiting task would fit into what is left of the quota."""
        running = self.sum_running()
        waiting = self.list_waiting()
        return bool(waiting) and all(
            is_within(add_all([running, owner.need]), self.quotas[-1]) for owner in waiting
        )

    def is_idle(self) -> bool:
        """Tell whether nothing of the team runs."""
        return self.sum_running() == NOTHING
