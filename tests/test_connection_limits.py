"""Tests of the limits on connections, without a network."""

import unittest

import msgspec

from lavenderstall.connection_limits import (
    CONNECTION_BYTES,
    InstanceResources,
    Limit,
    Phase,
    PortShare,
    RequestLimitOverrides,
    RequestLimits,
    Usage,
    choose_evicted,
    count_one,
    find_expired_limit,
    get_held_bytes,
)

LIMITS = RequestLimits(head_timeout_s=3.0, body_timeout_s=15.0)
MB = 1024 * 1024


class EvictionTest(unittest.TestCase):
    """Connections that give way when a limit is reached."""

    def test_order(self) -> None:
        """Fails if a request in progress gives way, or a quiet address before a crowd."""
        idle = Usage("a", 1.0)
        body = Usage("a", 5.0, Phase.BODY, 50)
        older_body = Usage("a", 4.0, Phase.BODY, 10)
        unread = Usage("a", 6.0, Phase.UNREAD, 90)
        handled = Usage("a", 0.0, Phase.HANDLED, 99)
        quiet = Usage("b", 0.0, Phase.BODY, 70)
        rows = (
            ("none", count_one, [idle], 0, []),
            ("unfinished before idle", count_one, [idle, body], 1, [body]),
            ("oldest of them first", count_one, [body, older_body], 1, [older_body]),
            ("unread before unfinished", count_one, [body, unread], 1, [unread]),
            ("address with most first", count_one, [quiet, idle, body], 1, [body]),
            ("handled ones stay", count_one, [handled], 1, []),
            ("by bytes", get_held_bytes, [body, older_body, quiet], 60, [quiet]),
            ("without bytes", get_held_bytes, [idle, body], 60, [body]),
        )
        for name, weigh, usages, excess, evicted in rows:
            with self.subTest(name=name):
                self.assertEqual(choose_evicted(usages, weigh, excess), evicted)

    def test_addresses_are_levelled(self) -> None:
        """Fails if the largest crowd gives way below the size of the next one."""
        usages = [Usage(address, 0.0) for address in "aaaaabbb"]
        left = [u.address for u in usages if u not in choose_evicted(usages, count_one, 4)]
        self.assertEqual(sorted(left), ["a", "a", "b", "b"])


class ExpiryTest(unittest.TestCase):
    """Requests that take too long to arrive."""

    def test_ages(self) -> None:
        """Fails if slow bytes keep a request unfinished, or a request is closed while handled."""
        rows = (
            (Phase.IDLE, 100.0, None),
            (Phase.HEAD, 2.9, None),
            (Phase.HEAD, 3.1, Limit.HEAD_TIME),
            (Phase.BODY, 14.9, None),
            (Phase.BODY, 15.1, Limit.BODY_TIME),
            (Phase.HANDLED, 100.0, None),
        )
        for phase, age_s, limit in rows:
            with self.subTest(phase=phase, age_s=age_s):
                self.assertIs(
                    find_expired_limit(Usage("a", 7.0, phase), 7.0 + age_s, LIMITS), limit
                )


class DerivedLimitsTest(unittest.TestCase):
    """Limits that follow from the resources of an instance."""

    def test_limits(self) -> None:
        """Fails if a port may use more than its share, or a small instance gets no connection."""
        share = PortShare(sockets=0.5, requests=0.25, memory=0.125)
        rows = (
            (InstanceResources(300, 8200), 300 * MB // 8 // CONNECTION_BYTES, 300 * MB // 8),
            (InstanceResources(300, 1000), 400, 300 * MB // 8),
            (InstanceResources(1, 100), 8, 512 * 1024),
            (InstanceResources(), 412, 32 * MB),
        )
        for resources, connections, held_bytes in rows:
            with self.subTest(resources=resources):
                limits = share.derive_limits(resources)
                self.assertEqual((limits.connections, limits.held_bytes), (connections, held_bytes))

    def test_overrides(self) -> None:
        """Fails if a limit that a configuration doesn't set is changed by it."""
        shorter = msgspec.structs.replace(LIMITS, head_timeout_s=1.0)
        rows = (
            (RequestLimitOverrides(), LIMITS),
            (RequestLimitOverrides(head_timeout_s=1.0), shorter),
        )
        for overrides, limits in rows:
            with self.subTest(overrides=overrides):
                self.assertEqual(overrides.apply(LIMITS), limits)


if __name__ == "__main__":
    unittest.main()
