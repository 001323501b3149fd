"""Tests of the demo's verdict: each kind of broken promise is found in made-up records."""

import unittest
from collections import Counter
from collections.abc import Sequence
from typing import Any

from demo.processes import ROOT
from demo.shapes import SHAPES, find_examples, list_workers
from demo.verdict import (
    COUNTS,
    LIMITS,
    Change,
    Exchange,
    Kill,
    Presence,
    Run,
    Shutdown,
    Sighting,
    Told,
    Work,
    judge,
    list_broken,
    measure_waits,
)
from lavenderstall.declarations import Source, read_declarations
from lavenderstall.identifiers import (
    AttemptId,
    EntryId,
    Epoch,
    Incarnation,
    JobId,
    RequestId,
    ServiceName,
    TaskId,
    WorkerId,
)
from lavenderstall.protocol import RefusalReason, TaskState
from lavenderstall.resources import Resources
from lavenderstall.schemas import Gang, Service
from lavenderstall.worker_index import count_fits
from standins.truth import (
    CallBegun,
    CallEnded,
    Crashed,
    Left,
    Record,
    TaskEnded,
    TaskStarted,
    Truth,
    WorkRefused,
)

ONE = Incarnation("1")
KILLED, HEIR, LEAVER = EntryId("e1"), EntryId("e2"), EntryId("e3")
SIZE = Resources(1000, 1024)
CAPACITY = Resources(2000, 4096, 0, 2, 64)
KILL_AT = 100.0
SHUTDOWN = Shutdown(LEAVER, 110.0, 112.0)


def begin_call(at: float, name: str, owner: EntryId = HEIR, *, idempotent: bool = False) -> Record:
    """Return the record of a call that begins."""
    request, attempt, service = RequestId(name), AttemptId(f"{name}-{at}"), ServiceName("s")
    return CallBegun(at, ONE, request, attempt, service, idempotent, owner, Epoch(1))


def end_call(at: float, name: str, outcome: str = "done") -> Record:
    """Return the record of a call that has ended."""
    return CallEnded(at, ONE, RequestId(name), AttemptId(name), False, outcome)


def start_task(
    at: float, run: str, *, idempotent: bool = True, size: Resources = SIZE, incarnation: str = ONE
) -> Record:
    """Return the record of a task that starts; its job is `job`."""
    task, job = TaskId(run), JobId("job")
    return TaskStarted(at, Incarnation(incarnation), task, job, size, idempotent, HEIR, Epoch(1))


def end_task(
    at: float, run: str, state: TaskState = TaskState.DONE, size: Resources = SIZE
) -> Record:
    """Return the record of a task that has ended."""
    return TaskEnded(at, ONE, TaskId(run), size, state, "")


def make_call(name: str, told: Told = Told.DONE, sent: float = 101.0, ended: float = 102.0) -> Work:
    """Return what a caller was told about a call."""
    return Work(name, "call s", False, sent, told, ended)


def make_job(told: Told = Told.DONE, tasks: int = 1) -> Work:
    """Return what a caller was told about the job `job`."""
    return Work("job", "batch", False, 101.0, told, 109.0, 101.5, is_job=True, tasks=tasks)


def make_truths(*logs: Sequence[Record]) -> list[Truth]:
    """Return the logs of workers `w0`, `w1` and so on."""
    return [
        Truth(WorkerId(f"w{number}"), CAPACITY, list(records))
        for number, records in enumerate(logs)
    ]


def make_run(*works: Work, **fields: Any) -> Run:
    """Return a run in which `e1` was killed and a change was in force after a second."""
    sightings = [Sighting(HEIR, 90.0, 1), Sighting(HEIR, 91.0, 2), Sighting(HEIR, 120.0, 2)]
    defaults = {
        "shutdowns": [SHUTDOWN],
        "kills": [Kill(KILLED, KILL_AT, {"z/0": [WorkerId("w0")]})],
        "changes": [Change(90.0, 2)],
        "presences": [Presence(HEIR, 50.0, 130.0)],
        "sightings": sightings,
    }
    return Run(list(works), **(defaults | fields))


GOOD_CALL = (begin_call(102.0, "c"), end_call(102.1, "c"))
GOOD_TASK = (start_task(103.0, "job.0~1.1"), end_task(104.0, "job.0~1.1"))
LARGE = Resources(2500, 1024)
LEFT = (*GOOD_CALL, Left(120.0))

# Name of the field, its value, the run, the logs of the workers.
BROKEN: tuple[tuple[str, Any, Run, list[Truth]], ...] = (
    ("unanswered", 1, make_run(make_call("c", Told.NOTHING)), make_truths(GOOD_CALL)),
    (
        "truncated_answers",
        1,
        make_run(Work("c", "call s", False, 101.0, Told.DONE, 102.0, whole=False)),
        make_truths(GOOD_CALL),
    ),
    (
        "duplicate_runs",
        1,
        make_run(make_call("c")),
        make_truths(GOOD_CALL, [begin_call(103.0, "c"), end_call(103.1, "c")]),
    ),
    (
        # The second start has another run id and comes after the first has ended.
        "duplicate_runs",
        2,
        make_run(make_job()),
        make_truths(
            [*GOOD_CALL, start_task(103.0, "job.0~1.1", idempotent=False)],
            [end_task(104.0, "job.0~1.1")],
            [start_task(105.0, "job.0~2.1", idempotent=False), end_task(106.0, "job.0~2.1")],
            [start_task(107.0, "job.0~2.2", idempotent=False), end_task(108.0, "job.0~2.2")],
        ),
    ),
    (
        "two_places",
        1,
        make_run(make_job()),
        make_truths(
            [*GOOD_CALL, *GOOD_TASK],
            [start_task(103.9, "job.0~2.1"), end_task(105.0, "job.0~2.1")],
        ),
    ),
    (
        # A run without an end goes on.
        "two_places",
        1,
        make_run(make_job()),
        make_truths(
            [*GOOD_CALL, start_task(103.0, "job.0~1.1")],
            [start_task(110.0, "job.0~2.1"), end_task(111.0, "job.0~2.1")],
        ),
    ),
    (
        "overcommitted_instances",
        1,
        make_run(make_job()),
        make_truths(
            [
                *GOOD_CALL,
                start_task(103.0, "job.0~1.1", size=LARGE),
                end_task(104.0, "job.0~1.1", size=LARGE),
            ]
        ),
    ),
    (
        "overcommitted_instances",
        1,
        make_run(),
        make_truths([begin_call(102.0 + each, f"c{each}", idempotent=True) for each in range(3)]),
    ),
    (
        "work_after_leaving",
        1,
        make_run(make_call("c"), make_call("d")),
        make_truths([*LEFT, begin_call(123.1, "d"), end_call(123.2, "d")]),
    ),
    (
        "work_after_leaving",
        1,
        make_run(make_call("c")),
        make_truths([*LEFT, WorkRefused(123.1, ONE, "d", RefusalReason.LEAVING)]),
    ),
    ("false_refusals", 1, make_run(make_call("c", Told.NOT_RUN)), make_truths(GOOD_CALL)),
    (
        "false_refusals",
        1,
        make_run(make_job(Told.NOT_RUN)),
        make_truths([*GOOD_CALL, *GOOD_TASK]),
    ),
    ("false_completions", 1, make_run(make_call("x")), make_truths(GOOD_CALL)),
    (
        "false_completions",
        1,
        make_run(make_call("c")),
        make_truths([begin_call(102.0, "c"), end_call(102.1, "c", "failed")]),
    ),
    (
        "false_completions",
        1,
        make_run(make_job(tasks=2)),
        make_truths([*GOOD_CALL, *GOOD_TASK]),
    ),
    (
        "cut_off_in_shutdown",
        1,
        make_run(make_call("c"), exchanges=[Exchange("c", LEAVER, 109.0, 111.0, True)]),
        make_truths(GOOD_CALL),
    ),
    (
        "cut_off_in_shutdown",
        1,
        make_run(make_call("u", Told.UNKNOWN, 109.0, 111.0)),
        make_truths(GOOD_CALL),
    ),
    (
        "config_reverts",
        1,
        make_run(sightings=[Sighting(HEIR, 91.0, 2), Sighting(HEIR, 92.0, 1)]),
        make_truths(GOOD_CALL),
    ),
    ("unfinished_jobs", 1, make_run(make_job(Told.ACCEPTED)), make_truths(GOOD_CALL)),
    (
        "config_in_force_s",
        3.5,
        make_run(sightings=[Sighting(HEIR, 93.4, 1), Sighting(HEIR, 93.5, 2)]),
        make_truths(GOOD_CALL),
    ),
    (
        "config_in_force_s",
        None,
        make_run(sightings=[Sighting(HEIR, 95.0, 1)]),
        make_truths(GOOD_CALL),
    ),
    ("config_in_force_s", None, make_run(changes=[]), make_truths(GOOD_CALL)),
    # Work that the killed owner sent arrives after its end.
    (
        "recovery_s",
        5.5,
        make_run(),
        make_truths([begin_call(100.1, "c", KILLED), begin_call(105.5, "d")]),
    ),
    ("recovery_s", None, make_run(), make_truths([begin_call(99.0, "c")])),
    (
        "recovery_s",
        None,
        make_run(kills=[Kill(KILLED, KILL_AT, {"z/0": [WorkerId("w0")], "z/1": [WorkerId("w1")]})]),
        make_truths([begin_call(101.0, "c")], []),
    ),
    ("recovery_s", None, make_run(kills=[]), make_truths(GOOD_CALL)),
)

# Records that look similar and break nothing.
KEPT: tuple[tuple[str, Run, list[Truth]], ...] = (
    ("plain", make_run(make_call("c"), make_job()), make_truths([*GOOD_CALL, *GOOD_TASK])),
    (
        "idempotent call that ran twice",
        make_run(make_call("c")),
        make_truths(
            [begin_call(102.0, "c", idempotent=True), end_call(102.1, "c")],
            [begin_call(103.0, "c", idempotent=True), end_call(103.1, "c")],
        ),
    ),
    (
        "task that ran again elsewhere after its end",
        make_run(make_job()),
        make_truths(
            [
                *GOOD_CALL,
                start_task(103.0, "job.0~1.1"),
                end_task(104.0, "job.0~1.1", TaskState.UNKNOWN),
                Crashed(104.0, Incarnation("2")),
            ],
            [start_task(104.0, "job.0~2.1"), end_task(105.0, "job.0~2.1")],
        ),
    ),
    (
        "full worker",
        make_run(make_job(tasks=2)),
        make_truths(
            [
                *GOOD_CALL,
                start_task(103.0, "job.0~1.1"),
                start_task(103.0, "job.1~1.2"),
                end_task(104.0, "job.0~1.1"),
                end_task(104.0, "job.1~1.2"),
            ]
        ),
    ),
    (
        "work within the limit of a leaving worker",
        make_run(make_call("d")),
        make_truths(
            [
                *GOOD_CALL,
                Left(102.5),
                begin_call(105.4, "d"),
                end_call(105.5, "d"),
                WorkRefused(105.4, ONE, "e", RefusalReason.LEAVING),
                WorkRefused(110.0, ONE, "f", RefusalReason.FULL),
            ]
        ),
    ),
    (
        "refusal of what never ran, and unknown outcome outside a shutdown",
        make_run(make_call("n", Told.NOT_RUN), make_call("c", Told.UNKNOWN)),
        make_truths(GOOD_CALL),
    ),
    (
        "broken connections before the shutdown and at a killed instance",
        make_run(
            make_call("c"),
            exchanges=[
                Exchange("c", LEAVER, 108.0, 109.0, True),
                Exchange("c", KILLED, 109.0, 111.0, True),
                Exchange("c", LEAVER, 109.0, 111.0, False),
            ],
        ),
        make_truths(GOOD_CALL),
    ),
    (
        "instance that ended soon after a change",
        make_run(presences=[Presence(HEIR, 50.0, 130.0), Presence(KILLED, 50.0, 92.9)]),
        make_truths(GOOD_CALL),
    ),
    (
        "instance that was paused during a change",
        make_run(
            presences=[Presence(HEIR, 50.0, 80.0), Presence(HEIR, 95.0, 130.0)],
            sightings=[Sighting(HEIR, 95.2, 1), Sighting(HEIR, 97.0, 2)],
        ),
        make_truths(GOOD_CALL),
    ),
)


class VerdictTest(unittest.TestCase):
    """Guards against checks that cannot fail."""

    def test_broken_promises_are_found(self) -> None:
        for name, value, run, truths in BROKEN:
            with self.subTest(field=name, value=value):
                result = judge(run, truths)
                self.assertEqual(result[name], value)
                self.assertIn(name, list_broken(result))

    def test_every_promise_has_a_broken_example(self) -> None:
        self.assertEqual({name for name, *_ in BROKEN}, {*COUNTS, *LIMITS})

    def test_kept_promises_pass(self) -> None:
        for name, run, truths in KEPT:
            with self.subTest(name):
                self.assertEqual(list_broken(judge(run, truths)), [])

    def test_each_work_is_counted_once(self) -> None:
        works = [make_call(told.value, told) for told in Told]
        result = judge(make_run(*works), make_truths(GOOD_CALL))
        names = ("completed", "failed", "refused_not_run", "unknown_outcome", "unanswered")
        self.assertEqual(result["submitted"], len(Told))
        self.assertEqual(sum(result[each] for each in (*names, "unfinished_jobs")), len(Told))

    def test_waits_are_measured_on_the_callers_clock(self) -> None:
        works = [make_call("c", sent=101.0), make_job()]
        truths = make_truths(
            [begin_call(112.0, "c"), begin_call(113.0, "c"), start_task(111.75, "job.0~1.1")]
        )
        waits = measure_waits(works, truths, offset=10.0)
        self.assertEqual(waits, {"call s": [1000.0], "batch": [250.0]})

    def test_recovery_of_the_last_worker(self) -> None:
        kill = Kill(KILLED, KILL_AT, {"z/0": [WorkerId("w0"), WorkerId("w1")]})
        truths = make_truths([begin_call(102.0, "c")], [begin_call(104.0, "d")])
        result = judge(make_run(kills=[kill]), truths)
        self.assertEqual((result["recovery_s"], result["recovery_all_workers_s"]), (2.0, 4.0))


class ExamplesTest(unittest.TestCase):
    """Guards against example gangs that wait for ever beside the services of their cell."""

    def test_gangs_fit_beside_services(self) -> None:
        for name, shape in SHAPES.items():
            sources = [
                Source(str(path), path.read_text("utf-8")) for path in find_examples(ROOT, name)
            ]
            declared = [each.value for each in read_declarations(sources)]
            services = {each.pool: each for each in declared if isinstance(each, Service)}
            for gang in (each for each in declared if isinstance(each, Gang)):
                with self.subTest(cell=name, gang=gang.name):
                    # Each zone of today's cells is one slice, and a gang stays in a slice.
                    fits: Counter[str] = Counter()
                    for worker in list_workers(shape):
                        if worker.pool == gang.pool:
                            room = worker.capacity.subtract(services[worker.pool].resources)
                            fits[worker.zone] += count_fits(gang.resources, room, gang.tasks)
                    self.assertGreaterEqual(max(fits.values()), gang.tasks)


if __name__ == "__main__":
    unittest.main()
