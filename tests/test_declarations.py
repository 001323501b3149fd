"""Tests of declarations and their schemas."""

import json
import unittest
from pathlib import Path

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lavenderstall.declarations import (
    DeclarationError,
    Source,
    list_dangling_references,
    read_declarations,
)
from lavenderstall.resources import Resources
from lavenderstall.schemas import Action, Batch, Mode, Policy, Service, Team, export_schema

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
WORKERS = {"routing": (16, 64, 0), "vision": (32, 64, 8)}
WORKERS |= {"donor-desk": (64, 128, 0), "imaging-desk": (128, 256, 8)}

BATCH = "kind: batch\nname: x\nteam: t\ntasks: 1\nresources: {cores_milli: 1}\n"
# Text, line, field, part of the message.
BAD = (
    ("kind: servce\nname: a", 1, "kind", "did you mean 'service'"),
    ("name: a", 1, "kind", "missing"),
    ("- a", 1, "", "fields such as kind"),
    ("\n\nkind: team\nname: t\nwieght: 3", 5, "wieght", "did you mean 'weight'"),
    (
        "kind: team\nname: t\nquota:\n  resources:\n    cores: 3",
        5,
        "quota.resources.cores",
        "cores",
    ),
    ("kind: team\nname: t\nquota:\n  waiting: -1", 4, "quota.waiting", ">= 0"),
    ("kind: team\nname: T t", 2, "name", "regex"),
    ("kind: team\nname: t\nname: u", 3, "name", "occurs twice"),
    ("kind: team\nname: t\n---\nkind: team\nname: t", 4, "name", "already declared at f.yaml:1"),
    (BATCH + "payload:\n  a: .nan", 7, "payload.a", "no finite number"),
    (BATCH + "payload:\n  a: [1, -.inf]", 7, "payload.a[1]", "no finite number"),
    (BATCH + "payload:\n  a: 1.0e+999", 7, "payload.a", "no finite number"),
    ("kind: team\nname: t\nweight: .nan", 3, "weight", "no finite number"),
    (BATCH + "payload: {a: " + "[" * 5000 + "]" * 5000 + "}", 6, "", "deep"),
    (BATCH + "payload: {a: " + "{b: " * 5000 + "}" * 5001, 6, "", "deep"),
    (BATCH + "payload: 3", 6, "payload", "object"),
    (BATCH.replace("tasks: 1", "tasks: 0"), 4, "tasks", ">= 1"),
    (BATCH.replace("cores_milli: 1", "cores_milli: -1"), 1, "", "cores_milli"),
    (BATCH.replace("team: t\n", ""), 1, "team", "required"),
    ("kind: policy\nname: p\nshares: {bach: 1}", 3, "shares.bach", "did you mean 'batch'"),
    ("kind: policy\nname: p\nshares: {batch: 900, gang: 200}", 1, "", "1100"),
    (
        "kind: policy\nname: p\nautomatic:\n- action: moov\n  mode: do",
        4,
        "automatic[0].action",
        "move",
    ),
    ("kind: cell\nname: c\nzones: []", 3, "zones", "length"),
    ("kind: cell\nname: c\nzones: [{name: a}, {name: a}]", 1, "", "'a' occurs twice"),
    ("kind: team\nname: &x t\ndescription: *x", 3, "", "aliases"),
    ("kind: team\nname: !!python/name:os.system", 2, "name", "tag"),
    ('kind: team\nname: t\ndescription: "\\uD800"', 1, "", "surrogates"),
    ("kind: team\nname: [", 2, "", "YAML"),
    ("a: " + "[" * 5000, 1, "", "deep"),
    ("kind: team\nname: t\nweight: " + "9" * 5000, 3, "weight", "cannot be read"),
)


def read_text(text: str) -> list:
    """Return the declarations of a text."""
    return [each.value for each in read_declarations([Source("f.yaml", text)])]


class ReadDeclarationsTest(unittest.TestCase):
    """Guards against errors with a wrong file, line or field."""

    def test_bad_texts(self) -> None:
        for text, line, field, words in BAD:
            with self.subTest(text=text[:80]):
                with self.assertRaises(DeclarationError) as caught:
                    read_text(text)
                problem = caught.exception.problems[0]
                self.assertEqual(
                    (problem.file, problem.line, problem.field), ("f.yaml", line, field)
                )
                self.assertIn(words, problem.detail)

    def test_all_problems_are_listed(self) -> None:
        with self.assertRaises(DeclarationError) as caught:
            read_text("kind: team\nnam: t\nwight: 1\n---\nkind: x")
        self.assertEqual([each.line for each in caught.exception.problems], [2, 3, 5])

    @given(st.text() | st.text(alphabet="kindame:sevc &*[]{}!|>-?#%\"'\n\t0123.e_<=\x00\x85\ud800"))
    def test_any_text_gives_a_typed_error(self, text: str) -> None:
        for prefix in ("", "kind: batch\nname: ", BATCH + "payload:\n  a: "):
            try:
                json.loads(msgspec.json.encode(read_text(prefix + text)))
            except DeclarationError as error:
                self.assertTrue(error.problems)

    def test_automatic_mode_of_the_nearest_scope(self) -> None:
        rules = (
            "automatic: [{action: move, mode: do}, {action: move, mode: propose, scope: zone/z}]"
        )
        (policy,) = read_text(f"kind: policy\nname: p\n{rules}")
        assert isinstance(policy, Policy)
        modes = [policy.find_mode(Action.MOVE, [scope]) for scope in ("zone/z", "zone/y")]
        self.assertEqual(modes, [Mode.PROPOSE, Mode.DO])
        self.assertEqual(policy.find_mode(Action.RESIZE, []), Mode.PROPOSE)


class ExamplesTest(unittest.TestCase):
    """Guards against examples that no longer match the schemas or the workers."""

    def test_examples_are_complete(self) -> None:
        for cell in ("aguaclara", "trust"):
            files = sorted((EXAMPLES / cell).glob("*.yaml"))
            declared = read_declarations(Source(str(p), p.read_text("utf-8")) for p in files)
            values = [each.value for each in declared]
            self.assertEqual(list_dangling_references(values), [])
            self.assertEqual(len({type(value) for value in values}), 7)
            for service in (value for value in values if isinstance(value, Service)):
                cores, memory_gb, accelerators = WORKERS[service.pool]
                amounts = service.resources
                self.assertLess(amounts.cores_milli, cores * 1000)
                self.assertLess(amounts.memory_mb, memory_gb * 1024)
                self.assertLessEqual(amounts.accelerators, accelerators)

    def test_quotas_cover_services_and_jobs(self) -> None:
        # If a team's services alone exceed its quota, its jobs never start.
        for cell in ("aguaclara", "trust"):
            files = sorted((EXAMPLES / cell).glob("*.yaml"))
            declared = read_declarations(Source(str(p), p.read_text("utf-8")) for p in files)
            values = [each.value for each in declared]
            used: dict[str, Resources] = {}
            for value in values:
                count = 1 if isinstance(value, Batch) else getattr(value, "tasks", 0)
                count = value.replicas if isinstance(value, Service) else count
                for _ in range(count):
                    used[value.team] = used.get(value.team, Resources()).add(value.resources)
            for team in (value for value in values if isinstance(value, Team)):
                bound = team.quota.resources
                for name in ("cores_milli", "memory_mb", "accelerators"):
                    limit = getattr(bound, name) or float("inf")
                    need = getattr(used.get(team.name, Resources()), name)
                    self.assertLessEqual(need, limit, f"{cell} {team.name} {name}")

    def test_dangling_references_are_found(self) -> None:
        self.assertIn("team 't'", list_dangling_references(read_text(BATCH))[0])

    def test_schema_names_every_kind(self) -> None:
        text = json.dumps(export_schema())
        for word in ("service", "gang", "policy", "operator", "retention"):
            self.assertIn(word, text)

    def test_hashes_are_not_shown(self) -> None:
        self.assertNotIn("scrypt", repr(Team("t", tokens=("scrypt$00$11",))))
