"""Tests of configurations in force beside random faults of feeds, reads, links and processes."""

import unittest
from random import Random

from tests.platform.fake_platform import STORE
from tests.platform.loopback import Direction
from tests.platform.persistent_http_client import PersistentHttpClient
from tests.platform.simulated_cell import POOLS
from tests.platform.test_configuration import FEED, READ, PersistentCell

# Time from a change's acknowledgement until it is in force at an undisturbed instance.
APPLY_S = 2.0
# An instance counts as undisturbed again so long after a fault of its process or connections.
SETTLED_S = 3.0
# A store whose reads are behind may take so much longer.
EXTENSION_S = 5.0
CHECK_S = 0.1
SEEDS = range(1, 5)
LENGTH_S = 30.0


class ChangingCell:
    """A cell whose configuration changes throughout, and what its instances have to have."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.cell = PersistentCell(5, 4, advice=False, zones=3)
        self.cell.run_until(lambda: all(map(self.cell.find_owner, POOLS)), 4.0)
        self.cell.run(1.0)
        self.clock = self.cell.clock
        # Versions with the times at which they were stored.
        self.changes: list[tuple[float, int]] = [(self.clock.seconds() - 60.0, 1)]
        # Until when an instance counts as disturbed, and the store as unstable.
        self.disturbed_until = dict.fromkeys(self.cell.nodes, 0.0)
        self.unstable_until = 0.0
        self.seen = dict.fromkeys(self.cell.nodes, 0)
        self.log: list[str] = []

    def get_client(self, name: str) -> PersistentHttpClient:
        """Return the HTTP client of an instance."""
        client = self.cell.nodes[name].http_client
        assert isinstance(client, PersistentHttpClient)
        return client

    def change(self) -> None:
        """Store a new configuration."""
        version = self.changes[-1][1] + self.random.randint(1, 3)
        self.cell.put_settings(version, advice=False)
        self.changes.append((self.clock.seconds(), version))

    def disturb(self, name: str, for_s: float) -> None:
        """Note that an instance is disturbed for some time."""
        until = self.clock.seconds() + for_s + SETTLED_S
        self.disturbed_until[name] = max(self.disturbed_until[name], until)

    # Faults of one instance, which leave it or the store reachable by some path

    def lose_feed(self, name: str, for_s: float) -> None:
        """Let no call of the feeds be answered."""
        self.get_client(name).service.lost_paths = {FEED}
        self.clock.callLater(for_s, self.get_client(name).service.lost_paths.clear)

    def lose_feed_and_reads(self, name: str, for_s: float) -> None:
        """Let neither feeds nor reads be answered."""
        self.get_client(name).service.lost_paths = {FEED, READ}
        self.clock.callLater(for_s, self.get_client(name).service.lost_paths.clear)

    def turn_away(self, name: str, for_s: float) -> None:
        """Let the store reject all calls."""
        service = self.get_client(name).service
        service.turned_away = True
        self.clock.callLater(for_s, setattr, service, "turned_away", False)

    def cut_from_store(self, name: str, for_s: float) -> None:
        """Cut the instance off from the store, not from its peers."""
        service = self.get_client(name).service
        service.unreachable = {*service.unreachable, STORE}
        self.clock.callLater(for_s, service.unreachable.discard, STORE)

    def cut_link(self, name: str, for_s: float) -> None:
        """Cut the connection to one peer."""
        peer = self.random.choice([each for each in self.cell.nodes if each != name])
        pair = frozenset((name, peer))
        self.cell.disconnected_pairs.add(pair)
        self.clock.callLater(for_s, self.cell.disconnected_pairs.discard, pair)

    # Faults after which instances count as disturbed

    def silence(self, name: str, for_s: float) -> None:
        """Let all open connections to the store fall silent, at all instances."""
        direction = self.random.choice(list(Direction))
        for each in self.cell.nodes:
            self.get_client(each).silence(direction, lambda address: address == STORE)
            self.disturb(each, 0.0)

    def freeze(self, name: str, for_s: float) -> None:
        """Freeze the instance."""
        self.disturb(name, for_s)
        self.cell.freeze(name)
        self.clock.callLater(for_s, self.thaw, name)

    def thaw(self, name: str) -> None:
        """Resume the instance."""
        self.cell.thaw(name)

    def restart(self, name: str, for_s: float) -> None:
        """Kill the instance and start it again."""
        self.disturb(name, 0.0)
        self.cell.kill(name)
        self.cell.start(name)
        self.seen[name] = 0

    # Faults of the store

    def fall_behind(self, name: str, for_s: float) -> None:
        """Drop the history, after which reads are behind for some time."""
        platform = self.cell.platform
        self.unstable_until = self.clock.seconds() + for_s + SETTLED_S
        platform.read_as_of = platform.version
        platform.hides_read_age = self.random.random() < 0.5
        platform.feeds_silent = True
        self.clock.callLater(0.8, platform.drop_history)
        self.clock.callLater(for_s, setattr, platform, "read_as_of", None)

    def slow_down(self, name: str, for_s: float) -> None:
        """Let the store answer late."""
        platform = self.cell.platform
        platform.store_delay_s = 0.2
        self.clock.callLater(for_s, setattr, platform, "store_delay_s", 0.004)

    def inject(self) -> None:
        """Inject a random fault at a random instance."""
        fault = self.random.choice(
            (
                self.lose_feed,
                self.lose_feed_and_reads,
                self.turn_away,
                self.cut_from_store,
                self.cut_link,
                self.silence,
                self.freeze,
                self.restart,
                self.fall_behind,
                self.slow_down,
            )
        )
        name = self.random.choice(sorted(self.cell.nodes))
        if self.cell.nodes[name].clock.frozen:
            return
        for_s = self.random.uniform(0.5, 6.0)
        self.log.append(f"{self.clock.seconds():.2f} {fault.__name__} {name} {for_s:.2f}")
        fault(name, for_s)

    def list_violations(self) -> list[str]:
        """Return what is wrong at each instance now."""
        now = self.clock.seconds()
        apply_s = APPLY_S + (EXTENSION_S if now < self.unstable_until else 0.0)
        due = max(version for stored_at, version in self.changes if stored_at < now - apply_s)
        found = []
        for name, node in self.cell.nodes.items():
            version = node.instance.settings.version
            if version < self.seen[name]:
                found.append(f"{now:.2f} {name} went back from {self.seen[name]} to {version}")
            if version < due and now > self.disturbed_until[name]:
                found.append(f"{now:.2f} {name} has {version}, but {due} has to be in force")
            self.seen[name] = version
        return found

    def run(self) -> list[str]:
        """Play a whole run and return the violations."""
        change_in_s, fault_in_s = 0.5, 1.0
        for _ in range(round(LENGTH_S / CHECK_S)):
            change_in_s -= CHECK_S
            fault_in_s -= CHECK_S
            if change_in_s <= 0:
                self.change()
                change_in_s = self.random.uniform(0.3, 2.5)
            if fault_in_s <= 0:
                self.inject()
                fault_in_s = self.random.uniform(0.5, 4.0)
            self.cell.run(CHECK_S)
            found = self.list_violations()
            if found:
                return found
        return []


class RandomChangesTest(unittest.TestCase):
    """Changes throughout, beside random faults."""

    def test_each_undisturbed_instance_has_each_change_in_time(self) -> None:
        """Fails if one fault of a feed, a read, a link or a process hides a change."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cell = ChangingCell(seed)
                self.assertEqual(cell.run(), [], "; ".join(cell.log))


if __name__ == "__main__":
    unittest.main()
