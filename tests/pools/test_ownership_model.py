"""Test of the decisions on who owns a pool, by a model of several instances under faults."""

from itertools import permutations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lavenderstall.identifiers import EntryId
from tests.pools.ownership_model import CAPACITIES, ZONES, OwnershipModel

NAMES = st.sampled_from([EntryId(name) for name in CAPACITIES])
# Longest time without an owner after a silent death: the expiry of its row, a check of the highest
# rank, a deferral and a claim.
MAX_WAIT_S = 2.5
# Longest delay of a message; a late heartbeat counts as present contact with its sender.
MAX_DELAY_S = 0.7
# Longest time without an owner after a release, as others may hear of it late.
MAX_RELEASE_GAP_S = 1.0 + MAX_DELAY_S
# Time after the last change by which a pool has come to rest, with rows written each 10 s.
SETTLING_S = 14.0
RESTING_S = 6.0


class OwnershipMachine(RuleBasedStateMachine):
    """Fails if two owners act, a pool stays without one, or owners take turns."""

    def __init__(self) -> None:
        super().__init__()
        self.model = OwnershipModel()

    @initialize()
    def start(self) -> None:
        """Let the first owner claim the pool."""
        self._run(4.0)

    @rule(sender=NAMES, peer=NAMES)
    def silence_link(self, sender: EntryId, peer: EntryId) -> None:
        """Silence a link in one direction."""
        self.model.silent.add((sender, peer))
        self.model.note_change()

    @rule(name=NAMES, hears=st.booleans())
    def silence_instance(self, name: EntryId, hears: bool) -> None:
        """Silence all links to or from an instance."""
        links = permutations(self.model.instances.values(), 2)
        self.model.silent |= {
            (a.name, b.name) for a, b in links if name == (b if hears else a).name
        }
        self.model.note_change()

    @rule(zone=st.sampled_from(ZONES), store=st.booleans())
    def cut_zone(self, zone: str, store: bool) -> None:
        """Silence all links of a zone with others, and let one side alone reach the store."""
        for first, second in permutations(self.model.instances.values(), 2):
            if (first.zone == zone) != (second.zone == zone):
                self.model.silent.add((first.name, second.name))
        for name, instance in self.model.instances.items():
            self.model.set_store_reached(name, reached=store or instance.zone == zone)
        self.model.note_change()

    @rule()
    def silence_all(self) -> None:
        """Silence all links."""
        names = (instance.name for instance in self.model.instances.values())
        self.model.silent |= set(permutations(names, 2))
        self.model.note_change()

    @rule()
    def restore_links(self) -> None:
        """End the silence of all links."""
        self.model.silent.clear()
        self.model.note_change()

    @rule(name=NAMES, frozen=st.booleans())
    def freeze(self, name: EntryId, frozen: bool) -> None:
        """Freeze or resume an instance."""
        self.model.set_frozen(name, frozen=frozen)
        self.model.note_change()

    @rule(frozen=st.booleans())
    def freeze_owner(self, frozen: bool) -> None:
        """Freeze or resume the owner by the store's row."""
        if self.model.store.owner is not None:
            self.model.set_frozen(self.model.store.owner.entry, frozen=frozen)
        self.model.note_change()

    @rule(name=NAMES, reached=st.booleans())
    def change_store(self, name: EntryId, reached: bool) -> None:
        """Take the store away from an instance, or give it back."""
        self.model.set_store_reached(name, reached=reached)
        self.model.note_change()

    @rule(name=NAMES, delay_s=st.sampled_from((0.0, 0.3, MAX_DELAY_S)))
    def delay_messages(self, name: EntryId, delay_s: float) -> None:
        """Let messages of an instance arrive late."""
        self.model.delays_s[name] = delay_s
        self.model.note_change()

    @rule(name=NAMES, count=st.integers(1, 8))
    def lose_messages(self, name: EntryId, count: int) -> None:
        """Lose the next messages of an instance."""
        self.model.lost_messages[name] = count
        self.model.note_change()

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 3.0, 5.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._run(seconds)

    @invariant()
    def releases_are_followed_by_claims(self) -> None:
        """Fails if an owner gives its pool up to nobody."""
        assert all(gap_s <= MAX_RELEASE_GAP_S for gap_s in self.model.release_gaps_s)

    def teardown(self) -> None:
        """Fails if owners still take turns long after the last fault."""
        self._run(SETTLING_S)
        owner = self.model.served_by
        for _ in range(round(RESTING_S)):
            self._run(1.0)
            assert self.model.served_by == owner

    def _run(self, seconds: float) -> None:
        """Let time pass and check after each step."""
        for _ in range(round(seconds * 10)):
            self.model.tick()
            assert len(self.model.accepted) <= 1
            assert self.model.get_longest_wait_s() <= MAX_WAIT_S


OwnershipTest = OwnershipMachine.TestCase
OwnershipTest.settings = settings(max_examples=100, stateful_step_count=20)
