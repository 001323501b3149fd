"""Tests of connections of callers, of the balancer's probes and of readers of the metrics page."""

import unittest
from itertools import repeat
from types import SimpleNamespace
from typing import Any

from twisted.internet.task import Clock
from twisted.web.resource import Resource

from adapter.http_api import JobsResource, MetricsResource, ReadyResource, make_site
from lavenderstall.metrics import Metrics
from tests.callers import IDLE_S, UNREAD_S, CallerConnection
from tests.platform.simulated_cell import POOLS, SimulatedCell

# Time in which a request ends while nothing answers.
HANDLED_S = 4.0
JOB_PATH = f"/{POOLS[0]}/{1:016x}"
BODY = b'{"spec":"x","steps":[{"count":1,"cpu":100,"estimatedDurationMs":50}]}'
POST = f"POST {JOB_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(BODY)}\r\n\r\n".encode()
GET = f"GET {JOB_PATH} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
DELETE = f"DELETE {JOB_PATH} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


class SilentCallerTest(unittest.TestCase):
    """Connections on which the caller says nothing any more."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.instance: Any = SimpleNamespace(
            requests_in_flight=0,
            read_uptime=self.clock.seconds,
            metrics=Metrics(),
            settings=SimpleNamespace(version=0),
            settings_tracker=SimpleNamespace(get_unconfirmed_s=lambda: 0.0),
            draining=False,
            is_ready=lambda: True,
        )

    def test_a_silent_connection_is_closed(self) -> None:
        """Fails if a caller that says nothing any more, or reads nothing, holds a descriptor."""
        jobs = JobsResource(self.instance)
        rows: tuple[tuple[str, Resource, bytes, bool, int, float], ...] = (
            ("nothing is sent", jobs, b"", True, 0, IDLE_S),
            ("silent within a head", jobs, POST[:20], True, 0, IDLE_S),
            ("silent within a body", jobs, POST + BODY[:9], True, 0, IDLE_S),
            ("silent after an answer", jobs, POST + BODY, True, 1, IDLE_S),
            ("answer not read", jobs, POST + BODY, False, 1, IDLE_S + UNREAD_S),
            ("answers not read", jobs, 3 * GET, False, 3, IDLE_S + UNREAD_S),
            ("probe", ReadyResource(self.instance), GET, True, 1, IDLE_S),
            ("probe not read", ReadyResource(self.instance), GET, False, 1, IDLE_S + UNREAD_S),
            ("metrics page", MetricsResource(self.instance), GET, True, 1, IDLE_S),
            ("page not read", MetricsResource(self.instance), GET, False, 1, IDLE_S + UNREAD_S),
        )
        for name, resource, sent, reading, answers, closed_after_s in rows:
            with self.subTest(name=name):
                connection = CallerConnection(make_site(resource), self.clock, reading=reading)
                connection.send(sent)
                self.assertEqual(connection.get_answers(), answers)
                self.assertEqual(self.instance.requests_in_flight, 0)
                self.clock.pump(repeat(1.0, round(closed_after_s) - 1))
                self.assertFalse(connection.is_closed())
                self.clock.pump([1.0, 1.0])
                self.assertTrue(connection.is_closed())


class UnansweredTest(unittest.TestCase):
    """Requests of callers while the connections to the store carry nothing."""

    def test_a_request_ends_while_the_store_is_silent(self) -> None:
        """Fails if a request waits for good on a connection to the store."""
        for name, request in (("submit", POST + BODY), ("show", GET), ("cancel", DELETE)):
            with self.subTest(name=name):
                cell = SimulatedCell(3, 2, advice=False)
                self.assertTrue(cell.run_until(lambda cell=cell: cell.find_owner(POOLS[0]), 4.0))
                instance = cell.nodes["entry-0"].instance
                site = make_site(JobsResource(instance))
                connection = CallerConnection(site, cell.clock, reading=True)
                cell.platform.store_mode = "silent"
                connection.send(request)
                cell.run(HANDLED_S)
                self.assertEqual(instance.requests_in_flight, 0)
                self.assertEqual(connection.get_answers(), 1)


if __name__ == "__main__":
    unittest.main()
