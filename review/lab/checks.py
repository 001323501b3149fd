"""Rules, judged by what requesters and workers have seen."""

from itertools import combinations
from math import inf
from typing import Any

from lab.cell import Record


def list_runs(record: Record) -> list[dict[str, Any]]:
    """Return all runs: where and when each started, and when and how it ended."""
    runs = []
    at_work: dict[str, dict[str, dict[str, Any]]] = {}
    for event in record.events:
        here = at_work.setdefault(event.get("worker", ""), {})
        if event["what"] == "run starts":
            run = {**event, "until": inf, "how": ""}
            runs.append(run)
            here[event["task"]] = run
        elif event["what"] == "run ends":
            here.pop(event["task"]).update(until=event["s"], how=event["how"])
        elif event["what"] == "worker crashes":
            for run in here.values():
                run.update(until=event["s"], how="crashed")
            here.clear()
    return runs


def find_twice(record: Record) -> str:
    """Return the first break of TWICE: two runs at once, or one after `done` was noted."""
    noted = {(event["task"], event["run"]) for event in record.list("end is taken note of")}
    runs_by_task: dict[str, list[dict[str, Any]]] = {}
    for run in list_runs(record):
        runs_by_task.setdefault(run["task"], []).append(run)
    for task, runs in runs_by_task.items():
        for earlier, run in combinations(runs, 2):
            where = f"{task} on {earlier['worker']} and {run['worker']} at {run['s']} s"
            if run["s"] < earlier["until"]:
                return f"TWICE: two runs at the same time of {where}"
            if earlier["how"] == "done" and (task, earlier["run"]) in noted:
                return f"TWICE: a start after a noted end `done` of {where}"
    return ""


def list_stranded(record: Record, jobs: list[str], since: float, until: float) -> list[str]:
    """Return the jobs of which nothing ran for a while."""
    at_work = {
        run["task"].split(".")[0]
        for run in list_runs(record)
        if run["s"] <= until and run["until"] >= since
    }
    return [job for job in jobs if job not in at_work]
