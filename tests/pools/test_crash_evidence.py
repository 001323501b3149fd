"""Tests of the evidence that a task, and not chance, crashes workers."""

import unittest
from random import Random

from lavenderstall.pools.crash_evidence import CALM_SPAN_S, CrashRate, convict
from lavenderstall.pools.crash_records import Crash, Suspicion
from lavenderstall.pools.identity import WorkerKey

WORKERS = 8
NOW = 1000.0


def make_crash(run: int, age_s: float, **fields: object) -> Crash:
    """Return a crash of which a task was alone to blame."""
    values = {"suspicion": Suspicion.SOLE, "confirmed": True, "started": True} | fields
    return Crash(f"w{run}", 1, run, round(age_s * 1000), **values)  # type: ignore[arg-type]


class ConvictionTest(unittest.TestCase):
    """Which crashes are proof."""

    def test_tasks_that_meet_crashes_by_chance_are_hardly_ever_given_up(self) -> None:
        """Fails if jobs are shown as failed because workers crash again and again."""
        for rate in (0.002, 0.02, 0.14, 0.6, 1.5):
            for work_s in (0.3, 3.0, 30.0):
                with self.subTest(rate=rate, work_s=work_s):
                    random = Random(7)
                    tasks = 5_000
                    wrong = sum(self.meets_proof(random, rate, work_s) for _ in range(tasks))
                    self.assertLessEqual(wrong, 1)

    def meets_proof(self, random: Random, rate: float, work_s: float) -> bool:
        """Tell whether a task is given up before it is done or has met thirty crashes."""
        crashes: list[Crash] = []
        for run in range(30):
            age_s = random.expovariate(rate)
            if age_s >= work_s:
                return False
            crashes = [*crashes, make_crash(run, age_s)][-8:]
            if convict(crashes, rate):
                return True
        return False

    def test_a_task_that_crashes_each_worker_at_once_is_given_up(self) -> None:
        """Fails if such a task goes on, or other crashes keep it from being given up."""
        for rate, required in ((0.0008, 2), (0.006, 2), (0.05, 2), (0.14, 3), (0.6, 4)):
            with self.subTest(rate=rate):
                crashes = [make_crash(run, 0.01) for run in range(required)]
                self.assertTrue(convict(crashes, rate))
                self.assertFalse(convict(crashes[:-1], rate))

    def test_more_crashes_are_proof_if_the_cause_of_each_is_less_sure(self) -> None:
        """Fails if a task goes on for which others may be to blame, or that no worker answers."""
        rows: tuple[tuple[dict[str, object], float, int], ...] = (
            ({"suspicion": Suspicion.LIKELY}, 0.006, 4),
            ({"suspicion": Suspicion.LIKELY}, 0.6, 4),
            ({"started": False}, 0.006, 4),
            ({"started": False, "suspicion": Suspicion.LIKELY}, 0.6, 4),
        )
        for fields, rate, required in rows:
            with self.subTest(fields=fields, rate=rate):
                crashes = [make_crash(run, 0.01, **fields) for run in range(required)]
                self.assertTrue(convict(crashes, rate))
                self.assertFalse(convict(crashes[:-1], rate))

    def test_what_is_no_proof(self) -> None:
        rows = (
            ("none", [], False),
            ("others may have caused it", {"suspicion": Suspicion.POSSIBLE}, False),
            ("not alone at the last one", {"suspicion": Suspicion.LIKELY}, False),
            ("perhaps not started", {"started": False}, False),
            ("sure", {}, True),
        )
        for name, fields, proof in rows:
            with self.subTest(name=name):
                last = [make_crash(2, 0.01, **fields)] if isinstance(fields, dict) else []
                crashes = [make_crash(1, 0.01), *last] if last else []
                self.assertEqual(convict(crashes, 0.01), proof)


class CrashRateTest(unittest.TestCase):
    """How often workers crash by themselves."""

    def test_it_counts_the_crashes_that_a_task_has_no_part_in(self) -> None:
        rate = CrashRate()
        calm = 1 / (WORKERS * CALM_SPAN_S)
        self.assertAlmostEqual(rate.estimate(WORKERS, NOW), calm)
        keys = [WorkerKey("w1", number) for number in range(9)]
        for number, key in enumerate(keys):
            rate.note(key, NOW + number, quick=False)
            rate.note(key, NOW + number, quick=False)
        rate.note(WorkerKey("w2", 1), NOW + 5, quick=True)
        self.assertAlmostEqual(rate.estimate(WORKERS, NOW + 10), 11.9 / (WORKERS * 10))
        self.assertAlmostEqual(rate.estimate(WORKERS, NOW + 10, keys[:4]), 7.1 / (WORKERS * 6))
        rate.withdraw(keys[5])
        self.assertAlmostEqual(rate.estimate(WORKERS, NOW + 10), 10.7 / (WORKERS * 10))
        successor = CrashRate()
        successor.add_earlier(rate.list_latest(NOW + 10))
        self.assertAlmostEqual(successor.estimate(WORKERS, NOW + 10), 10.6 / (WORKERS * 10))
        self.assertAlmostEqual(rate.estimate(WORKERS, NOW + 100), calm)


if __name__ == "__main__":
    unittest.main()
