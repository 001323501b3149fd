"""Command-line program that runs one entry instance."""

import logging
import signal
import sys
import time
from functools import partial
from pathlib import Path
from random import SystemRandom
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred

from lavenderstall.clocks import get_reactor
from lavenderstall.entry import Dependencies, Entry, Settings
from lavenderstall.fleet import LeaseTerms
from lavenderstall.identifiers import EntryId, Incarnation, ZoneName
from lavenderstall.links import NngLinks
from lavenderstall.logs import configure_logs
from lavenderstall.metrics import Metrics
from lavenderstall.options import (
    Option,
    OptionError,
    parse_options,
    read_choice,
    read_integer,
    read_seconds,
    read_text,
    read_url,
)
from lavenderstall.platform_clients import (
    HttpMemberList,
    HttpObjectStore,
    HttpTableStore,
    make_agent,
)
from lavenderstall.protocol import TaskState
from lavenderstall.schemas import Operator, Right
from lavenderstall.set_aside import SetAside
from lavenderstall.shutdown import finish_requests
from lavenderstall.tenures import Identity
from lavenderstall.traces import Traces
from lavenderstall.web import make_site
from lavenderstall.worker_client import HttpWorkerClient

logger = logging.getLogger(__name__)

LEVELS = ("debug", "info", "warning", "error")

OPTIONS = (
    Option("entry", read_text, "name of this entry instance", required=True),
    Option("zone", read_text, "availability zone of this entry instance", required=True),
    Option("http", read_url("http"), "address for callers and operators", required=True),
    Option("link", read_url("tcp"), "address for other entry instances", required=True),
    Option("platform", read_url("http"), "address of the platform's services", required=True),
    Option("racks-per-slice", read_integer(1, 1000), "racks of a zone that one owner serves", "4"),
    Option("ownership-lease", read_seconds(0.5, 60), "ownership lease at workers, seconds", "3"),
    Option("task-lease", read_seconds(2, 3600), "task lease at workers, seconds", "30"),
    Option(
        "outage-limit",
        read_seconds(10, 86400),
        "seconds without the table after which tasks are no longer renewed",
        "900",
    ),
    Option(
        "config-stale-limit",
        read_seconds(10, 86400),
        "age of the configuration in seconds at which no jobs are accepted",
        "900",
    ),
    Option(
        "operator-hash",
        read_text,
        "token hash of the operator until one with the right to change is declared",
    ),
    Option("trace-file", read_text, "file that spans are appended to as JSON lines"),
    Option("log-level", read_choice(*LEVELS), f"one of {', '.join(LEVELS)}", "info"),
)


def make_entry(values: dict[str, Any], reactor: Any) -> Entry:
    """Create an entry instance and its dependencies from option values."""
    random = SystemRandom()
    incarnation = Incarnation(f"{random.getrandbits(64):016x}")
    entry = EntryId(values["entry"])
    identity = Identity(
        entry, incarnation, ZoneName(values["zone"]), values["link"], values["http"]
    )
    trace_file = values["trace-file"]
    file = Path(trace_file).open("a", encoding="utf-8") if trace_file else None  # noqa: SIM115
    agent = make_agent(reactor)
    links = NngLinks(reactor, entry, incarnation, values["link"])
    client = HttpWorkerClient(reactor)
    set_aside = SetAside()
    dependencies = Dependencies(
        clock=reactor,
        random=random,
        store=HttpTableStore(agent, reactor, values["platform"], set_aside=set_aside),
        members=HttpMemberList(agent, reactor, values["platform"], set_aside=set_aside),
        links=links,
        client=client,
        read_unix=time.time,
        traces=Traces(entry, file),
        objects=HttpObjectStore(agent, reactor, values["platform"]),
        set_aside=set_aside,
    )
    terms = LeaseTerms(values["ownership-lease"], values["task-lease"], values["outage-limit"])
    settings = Settings(values["racks-per-slice"], terms, values["config-stale-limit"])
    instance = Entry(identity, dependencies, settings)
    register_traffic_gauges(instance.metrics, links, client)
    instance.metrics.register_gauge("workers_held", partial(count_workers, instance))
    instance.metrics.register_gauge("tasks_running", partial(count_tasks, instance))
    if values["operator-hash"]:
        bootstrap_operator = Operator(
            name="operator", token=values["operator-hash"], right=Right.CHANGE
        )
        instance.access.set_bootstrap_operator(bootstrap_operator)
    return instance


def register_traffic_gauges(metrics: Metrics, links: NngLinks, client: HttpWorkerClient) -> None:
    """Register gauges of the traffic with peers and workers."""
    directions = ("bytes_sent", "bytes_received", "messages_sent", "messages_received")
    for name in (*directions, "messages_discarded"):
        metrics.register_gauge(f"link_{name}", partial(getattr, links, name))
    for name in ("bytes_sent", "bytes_received"):
        metrics.register_gauge(f"worker_{name}", partial(getattr, client, name))


def count_workers(instance: Entry) -> int:
    """Return the number of available workers in the owned slices."""
    return sum(len(server.state.workers) for server in instance.slices.values())


def count_tasks(instance: Entry) -> int:
    """Return the number of running tasks in the owned slices."""
    return sum(
        task.state is TaskState.RUNNING
        for server in instance.slices.values()
        for task in server.tasks.values()
    )


def run_entry(instance: Entry, reactor: Any) -> None:
    """Serve until SIGTERM or SIGINT; a second signal stops without draining."""
    address = instance.identity.http.removeprefix("http://")
    host, _, port = address.rpartition(":")
    listening = reactor.listenTCP(int(port), make_site(instance), 512, host)

    async def shut_down() -> None:
        await instance.shut_down()
        await maybeDeferred(listening.stopListening)
        await finish_requests(instance)

    def stop_reactor(result: object) -> None:
        logger.info("entry instance stopped: %s", result)
        instance.traces.close()
        reactor.stop()

    def handle_signal(number: int, frame: object) -> None:
        if instance.draining:
            reactor.callFromThread(reactor.stop)
            return
        reactor.callFromThread(lambda: Deferred.fromCoroutine(shut_down()).addBoth(stop_reactor))

    instance.start()
    reactor.addSystemEventTrigger("before", "shutdown", listening.stopListening)
    # The reactor installs signal handlers on start; replace them afterwards.
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, handle_signal)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, handle_signal)
    logger.info("entry instance %s listens on %s", instance.entry, instance.identity.http)
    reactor.run()


def main() -> int:
    """Run an entry instance and return the exit status."""
    try:
        values = parse_options("lavenderstall-entry", OPTIONS)
    except OptionError as error:
        print(f"lavenderstall-entry: {error.detail}", file=sys.stderr)
        return 2
    configure_logs(values["entry"], values["log-level"])
    reactor = get_reactor()
    run_entry(make_entry(values, reactor), reactor)
    return 0


if __name__ == "__main__":
    sys.exit(main())
