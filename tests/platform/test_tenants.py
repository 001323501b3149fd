"""Tests of how teams and keys in the platform's configuration are decoded."""

import json
import unittest
from typing import Any, NamedTuple

import msgspec

from adapter.store import describe_row
from adapter.wire import PlatformSettingsDecoder
from lavenderstall.admission import UNLIMITED
from lavenderstall.bearer_tokens import AccessError
from lavenderstall.identifiers import TeamName
from lavenderstall.metrics import Metrics
from lavenderstall.pools.job import AcceptedJob
from lavenderstall.pools.records import decode_job, encode
from lavenderstall.pools.teams import Team
from lavenderstall.pools.unreadable_rows import UnreadableRows
from lavenderstall.pools.work import MAX_FIGURE, Settings
from lavenderstall.resources import MAX_AMOUNT, NOTHING, Resources
from tests.pools.builders import make_job

WATER, ROADS = TeamName("water"), TeamName("roads")
SECRET = "secret-of-water"
SOUND = {"name": "roads", "apiKeys": ["secret-of-roads"], "weight": 2.5, "maxCount": {"gpu": 4}}
QUEUE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s"}
MEGABYTE = "secret" + "k" * 1_000_000


def decode(
    tenants: Any, before: Settings | None = None, *, requires_keys: bool = False
) -> Settings:
    """Decode a configuration whose `tenants` are a value or JSON text, or that has none."""
    value: dict[str, Any] = {"version": 7, "routes": [QUEUE]}
    data = json.dumps(value)[:-1]
    if tenants is not None:
        text = tenants if isinstance(tenants, str) else json.dumps(tenants)
        data += f', "tenants": {text}'
    decoder = PlatformSettingsDecoder(UnreadableRows(Metrics()), requires_keys=requires_keys)
    return decoder.decode(f"{data}}}".encode(), before or Settings(0))


def find_team_of(settings: Settings, key: str) -> TeamName | None:
    """Return the team of a key, none if it is not known."""
    assert settings.keys is not None
    try:
        return settings.keys.get_team(f"Bearer {key}")
    except AccessError:
        return None


class OddTenant(NamedTuple):
    """A team beside a sound one, what is in force of it, and how many log lines it gets."""

    name: str
    entry: Any
    team: Team | None
    knows_key: bool
    notes: int = 1


WATER_TENANT: dict[str, Any] = {"name": "water", "apiKeys": [SECRET]}
WATER_QUOTA = Resources(cores_milli=5, accelerators=2)
ODD_TENANTS = (
    OddTenant("sound", WATER_TENANT, Team(WATER), True, 0),
    OddTenant("no object", 7, None, False),
    OddTenant("null", None, None, False),
    OddTenant("without a name", {"apiKeys": [SECRET]}, None, False),
    OddTenant("empty name", WATER_TENANT | {"name": ""}, None, False),
    OddTenant("name of another type", WATER_TENANT | {"name": [SECRET]}, None, False),
    OddTenant("huge name", WATER_TENANT | {"name": "n" * 1_000_000}, None, False),
    OddTenant("name of the other", WATER_TENANT | {"name": "roads"}, None, False),
    OddTenant("no keys", {"name": "water"}, Team(WATER), False, 0),
    OddTenant("keys of another type", WATER_TENANT | {"apiKeys": SECRET}, Team(WATER), False),
    OddTenant("odd key", WATER_TENANT | {"apiKeys": [7, SECRET]}, Team(WATER), True),
    OddTenant("empty key", WATER_TENANT | {"apiKeys": ["", SECRET]}, Team(WATER), True),
    OddTenant(
        "key that can't be sent", WATER_TENANT | {"apiKeys": [" x ", SECRET]}, Team(WATER), True
    ),
    OddTenant("huge key", WATER_TENANT | {"apiKeys": [MEGABYTE, SECRET]}, Team(WATER), True),
    OddTenant("two odd keys", WATER_TENANT | {"apiKeys": [[], SECRET, {}]}, Team(WATER), True, 2),
    OddTenant("key twice", WATER_TENANT | {"apiKeys": [SECRET, SECRET]}, Team(WATER), True, 0),
    OddTenant(
        "key of the other",
        WATER_TENANT | {"apiKeys": ["secret-of-roads", SECRET]},
        Team(WATER),
        True,
    ),
    *(
        OddTenant(f"weight {weight}", WATER_TENANT | {"weight": weight}, Team(WATER), True)
        for weight in (-1, 0, "3", None, [], 10**400, MAX_FIGURE * 2)
    ),
    OddTenant("weight", WATER_TENANT | {"weight": 0.5}, Team(WATER, 0.5), True, 0),
    OddTenant("no limit", WATER_TENANT | {"maxCount": {"cpu": 0}}, Team(WATER), True, 0),
    OddTenant("quota of another type", WATER_TENANT | {"maxCount": 5}, Team(WATER), True),
    *(
        OddTenant(
            f"quota {amount}",
            WATER_TENANT | {"maxCount": {"cpu": 5, "taskMemoryMb": amount, "gpu": 2}},
            Team(WATER, 1.0, WATER_QUOTA),
            True,
        )
        for amount in (-1, "3", None, 1.5, MAX_AMOUNT + 1, 10**400)
    ),
)


class OddTenantTest(unittest.TestCase):
    """A team of which something can't be read, beside a sound one."""

    def test_an_odd_team_costs_itself_alone(self) -> None:
        """Fails if one odd field loses another team, another field, or leaves no log line."""
        for case in ODD_TENANTS:
            with self.subTest(name=case.name):
                if case.notes:
                    with self.assertLogs("lavenderstall.pools", "ERROR") as logs:
                        found = decode([SOUND, case.entry])
                    self.assertEqual(len(logs.records), case.notes)
                    shown = str([vars(record) for record in logs.records])
                    self.assertNotIn("secret", shown)
                    self.assertLess(len(shown), 4000 * case.notes)
                else:
                    with self.assertNoLogs("lavenderstall.pools", "INFO"):
                        found = decode([SOUND, case.entry])
                roads = Team(ROADS, 2.5, Resources(accelerators=4))
                self.assertEqual(found.find_team(ROADS), roads)
                self.assertEqual(found.find_team(WATER), case.team)
                self.assertEqual(find_team_of(found, "secret-of-roads"), ROADS)
                self.assertEqual(find_team_of(found, SECRET), WATER if case.knows_key else None)
                self.assertEqual([queue.name for queue in found.queues], ["q"])
                self.assertNotIn("secret", repr(found))

    def test_not_a_number_is_no_weight(self) -> None:
        """Fails if a share is computed from a weight that is no number."""
        for text in ("1e999", "-1e999", '"NaN"'):
            with self.subTest(text=text):
                found = decode(f'[{{"name":"water","weight":{text}}}]')
                self.assertEqual(found.teams, (Team(WATER),))
        # No JSON at all, so that the version before stays in force.
        with self.assertRaises(ValueError):
            decode('[{"name":"water","weight":NaN}]')

    def test_what_can_not_be_read_stays_as_it_was(self) -> None:
        """Fails if a typing error lifts the quota of a team or its share."""
        before = decode([{"name": "water", "weight": 3, "maxCount": {"cpu": 9, "gpu": 8}}])
        rows: tuple[tuple[dict[str, Any], Team], ...] = (
            ({"weight": -1, "maxCount": {"cpu": 5}}, Team(WATER, 3.0, Resources(5))),
            ({"maxCount": -1}, Team(WATER, 1.0, Resources(9, 0, 8))),
            ({"maxCount": {"cpu": 5, "gpu": -1}}, Team(WATER, 1.0, Resources(5, 0, 8))),
            ({}, Team(WATER)),
        )
        for fields, expected in rows:
            with self.subTest(fields=fields):
                found = decode([{"name": "water", **fields}], before)
                self.assertEqual(found.teams, (expected,))

    def test_keys_that_can_not_be_read_do_not_stay(self) -> None:
        """Fails if a key that may have been taken away works on after a typing error."""
        before = decode([{"name": "water", "apiKeys": [SECRET]}])
        for tenants in ({}, 7, [], [{"name": "water", "apiKeys": {}}], [{"apiKeys": [SECRET]}]):
            with self.subTest(tenants=tenants):
                self.assertIsNone(find_team_of(decode(tenants, before), SECRET))


class KeysNeededTest(unittest.TestCase):
    """Configurations without teams."""

    def test_keys_are_needed_if_the_configuration_or_the_platform_says_so(self) -> None:
        """Fails if a deployment without keys refuses its callers, or one with keys lets all in."""
        rows: tuple[tuple[Any, bool, bool], ...] = (
            (None, False, False),
            (None, True, True),
            ([], False, True),
            ("null", False, True),
            ("7", False, True),
            ({}, True, True),
            ([{}], False, True),
        )
        for tenants, requires_keys, needed in rows:
            with self.subTest(tenants=tenants, requires_keys=requires_keys):
                found = decode(tenants, requires_keys=requires_keys)
                self.assertEqual(found.keys is not None, needed)
                self.assertEqual(found.teams, ())
                if needed:
                    self.assertIsNone(find_team_of(found, SECRET))

    def test_public_queues_are_told_apart(self) -> None:
        """Fails if a queue is open that does not say so."""
        for public, expected in ((True, True), (False, False)):
            with self.subTest(public=public):
                value = {"version": 1, "routes": [QUEUE | {"public": public}]}
                decoder = PlatformSettingsDecoder(UnreadableRows(Metrics()))
                (queue,) = decoder.decode(json.dumps(value).encode()).queues
                self.assertEqual(queue.public, expected)

    def test_a_queue_whose_openness_can_not_be_read_stays_as_it_was(self) -> None:
        """Fails if a typing error opens a queue."""
        decoder = PlatformSettingsDecoder(UnreadableRows(Metrics()))
        for public in (False, True):
            route = QUEUE | {"public": public}
            before = decoder.decode(json.dumps({"version": 1, "routes": [route]}).encode())
            odd = json.dumps({"version": 2, "routes": [QUEUE | {"public": "yes"}]}).encode()
            for known, expected in ((Settings(0), []), (before, [public])):
                with self.subTest(public=public, known=known.version):
                    found = decoder.decode(odd, known)
                    self.assertEqual([queue.public for queue in found.queues], expected)


class TeamTest(unittest.TestCase):
    """Quotas of teams."""

    def test_an_amount_of_0_is_no_limit(self) -> None:
        """Fails if a team without a limit on an amount may run nothing."""
        rows = (
            (NOTHING, None),
            (
                Resources(cores_milli=5),
                Resources(5, UNLIMITED, UNLIMITED, UNLIMITED, UNLIMITED),
            ),
        )
        for quota, limit in rows:
            with self.subTest(quota=quota):
                self.assertEqual(Team(WATER, 1.0, quota).running_limit, limit)


class JobRowTest(unittest.TestCase):
    """Rows of accepted jobs."""

    # As written by releases that knew no teams.
    FORMER = bytes.fromhex(
        "85a474797065a86163636570746564a26964b030303030303030303030303030306131a571756575"
        "6587a46e616d65a573746f7073a4686f7374a168a6707265666978a72f73746f70732fa4706f6f6c"
        "a7726f7574696e67ac6d61785f617474656d70747302a5736c61636bcb3ff8000000000000ac6f62"
        "6a6563746976655f6d73cb406f400000000000a47370656382a77061796c6f6164a77061796c6f61"
        "64a5737465707391de0003a5636f756e7401a46e65656482ab636f7265735f6d696c6c69cd03e8a9"
        "6d656d6f72795f6d62cd03e8ab65787065637465645f6d73cd01f4ab61636365707465645f6d7301"
    )

    def test_a_job_without_a_team_is_stored_as_before(self) -> None:
        """Fails if an upgrade can't read the jobs that are stored, or writes others."""
        job = msgspec.structs.replace(make_job(), accepted_ms=1)
        self.assertEqual(encode(job), self.FORMER)
        self.assertEqual(decode_job(self.FORMER), job)

    def test_a_job_keeps_its_team(self) -> None:
        """Fails if a new owner doesn't count a job towards the quota of its team."""
        job = make_job()
        with_team = AcceptedJob(job.id, job.queue, job.spec, 1, WATER)
        self.assertEqual(decode_job(encode(with_team)).team, WATER)


class RowDescriptionTest(unittest.TestCase):
    """Rows of the store that can't be read, in log lines."""

    def test_the_value_of_a_row_is_not_shown(self) -> None:
        """Fails if the log shows the beginning of a configuration, with its keys."""
        rows = (
            (b'{"table":"op","value":"c2VjcmV0","key":7}', '{"table":"op","key":7}'),
            (b'["c2VjcmV0"]', "12 bytes"),
            (b'"c2VjcmV0"', "10 bytes"),
        )
        for row, expected in rows:
            with self.subTest(row=row):
                self.assertEqual(describe_row(msgspec.Raw(row)), expected)


if __name__ == "__main__":
    unittest.main()
