"""Tests of the client."""

import unittest

import msgspec

from lavenderstall.bodies import ApplyRequest, JobAnswer, JobRequest, Rejection
from lavenderstall.client import Client, RejectedError
from lavenderstall.errors import (
    AnswerLostError,
    LavenderstallError,
    Outcome,
    PeerUnavailableError,
)
from lavenderstall.identifiers import JobId, RequestId, ServiceName, TeamName
from lavenderstall.resources import NOTHING
from lavenderstall.schemas import Batch
from tests.entries import FakeEntry, Reply
from tests.oddities import MANY_DIGITS, add_field, list_odd_objects

OK = Reply()
JOB = JobRequest(JobId("j/1"), Batch("j", TeamName("t"), 1, NOTHING))
JOB_ACCEPTED = Reply(202, msgspec.json.encode(JobAnswer(JobId("j/1"))))
NO_RESPONSE = Reply(length=None)
TRUNCATED = Reply(length=99)
GATEWAY_ERROR = Reply(502, b"<html>")


def reject(status: int, outcome: Outcome = Outcome.NOT_RUN) -> Reply:
    """Return a rejection."""
    return Reply(status, msgspec.json.encode(Rejection(outcome, "r", "why", step="admit")))


def call(client: Client, idempotent: bool) -> bytes:
    """Call a service."""
    return client.call(
        ServiceName("s"),
        b"body",
        request_id=RequestId("q"),
        idempotent=idempotent,
        deadline_ms=5,
    )


SENDERS = {
    "read": lambda client: client.query("show tasks", reads=True),
    "directive": lambda client: client.query('drain worker w because "x"', reads=False),
    "apply": lambda client: client.apply(ApplyRequest("", seen=1)),
    "submit": lambda client: client.submit(JOB),
    "call_not_idempotent": lambda client: call(client, idempotent=False),
    "call_idempotent": lambda client: call(client, idempotent=True),
}
LOST, UNREACHABLE, REJECTED = AnswerLostError, PeerUnavailableError, RejectedError
UNAVAILABLE = reject(503)
# Sender, reply of each entry instance (`None`: unreachable), error, requests received.
TABLE = (
    ("read", (None, OK), None, 1),
    ("read", (NO_RESPONSE, OK), None, 2),
    ("read", (TRUNCATED, GATEWAY_ERROR), UNREACHABLE, 2),
    ("read", (None, None), UNREACHABLE, 0),
    ("read", (UNAVAILABLE, OK), None, 2),
    ("read", (reject(403), OK), REJECTED, 1),
    ("read", (Reply(500, b"\xff"), OK), REJECTED, 1),
    ("read", (Reply(body=b"[]"),), LOST, 1),
    ("directive", (None, OK), None, 1),
    ("directive", (NO_RESPONSE, OK), LOST, 1),
    ("directive", (UNAVAILABLE, OK), None, 2),
    ("apply", (TRUNCATED, OK), LOST, 1),
    ("apply", (GATEWAY_ERROR, OK), LOST, 1),
    ("submit", (NO_RESPONSE, JOB_ACCEPTED), None, 2),
    ("submit", (NO_RESPONSE, None), LOST, 1),
    ("submit", (NO_RESPONSE, UNAVAILABLE), LOST, 2),
    ("submit", (NO_RESPONSE, reject(429)), LOST, 2),
    ("submit", (reject(429), JOB_ACCEPTED), REJECTED, 1),
    ("call_not_idempotent", (NO_RESPONSE, OK), LOST, 1),
    ("call_not_idempotent", (None, OK), None, 1),
    ("call_idempotent", (TRUNCATED, OK), None, 2),
    ("call_idempotent", (reject(500, Outcome.FAILED), OK), REJECTED, 1),
)


class ClientTest(unittest.TestCase):
    """Guards against retries of non-idempotent requests and against wrong error types."""

    def start(self, replies: tuple[Reply | None, ...]) -> list[FakeEntry]:
        entries = []
        for reply in replies:
            entry = FakeEntry(lambda _, reply=reply: reply)
            entries.append(entry)
            if reply is None:
                entry.close()
            else:
                self.addCleanup(entry.close)
        return entries

    def test_retries_and_errors(self) -> None:
        for sender, replies, error, received in TABLE:
            with self.subTest(sender=sender, replies=replies):
                entries = self.start(replies)
                client = Client([entry.url for entry in entries], "secret-token", 5.0)
                found: LavenderstallError | None = None
                try:
                    SENDERS[sender](client)
                except LavenderstallError as raised:
                    found = raised
                    self.assertNotIn("secret-token", str(raised))
                self.assertIs(type(found) if found else None, error)
                self.assertEqual(sum(len(entry.seen) for entry in entries), received)

    def test_odd_answers(self) -> None:
        """Fails if an answer that can't be read raises an unexpected error."""
        worker = b'{"type":"worker","id":"w","state":"live","zone":"z","rack":"r","slice":"z/0"'
        bodies = [odd for name, odd in list_odd_objects(b'{"columns":[]}') if name != "no fields"]
        bodies += [
            b'{"rows":[' + worker + b',"age_ms":' + figure + b"}]}"
            for figure in (MANY_DIGITS, b"1e999", b"NaN")
        ]
        rejection = b'{"outcome":"not_run","reason":"r","detail":"d"}'
        for body in bodies:
            with self.subTest(body=body[:90]), self.assertRaises(AnswerLostError):
                (entry,) = self.start((Reply(body=body),))
                SENDERS["read"](Client([entry.url], "", 5.0))
        odd_rejections = [*list_odd_objects(rejection)]
        for figure in (MANY_DIGITS, b"-1"):
            odd_rejections.append(("retry", add_field(rejection, "retry_after_ms", figure)))
        for name, body in odd_rejections:
            for status in (400, 409, 500, 503):
                with self.subTest(name=name, status=status):
                    (entry,) = self.start((Reply(status, body),))
                    with self.assertRaises(RejectedError) as caught:
                        SENDERS["directive"](Client([entry.url], "", 5.0))
                    self.assertIs(caught.exception.rejection.outcome, Outcome.UNKNOWN)

    def test_odd_address_is_passed_over(self) -> None:
        """Fails if an address that can't be connected to ends the request."""
        for url in (
            "http://127.0.0.1:99999",
            "http://127.0.0.1:-1",
            "http://[",
            f"http://{'a' * 99}",
        ):
            with self.subTest(url=url):
                (entry,) = self.start((OK,))
                SENDERS["directive"](Client([url, entry.url], "", 5.0))
                with self.assertRaises(PeerUnavailableError):
                    SENDERS["directive"](Client([url], "", 5.0))

    def test_headers_of_a_retry(self) -> None:
        entries = self.start((NO_RESPONSE, Reply(body=b"done")))
        client = Client([entry.url for entry in entries], "t.secret")
        self.assertEqual(call(client, idempotent=True), b"done")
        (request,) = entries[1].seen
        expected = {"X-Attempt": "2", "X-Request-Id": "q", "X-Idempotent": "yes"}
        expected |= {"X-Deadline-Ms": "5", "Authorization": "Bearer t.secret"}
        self.assertEqual(request.headers, request.headers | expected)
        self.assertEqual((request.path, request.body), ("/v1/calls/s", b"body"))

    def test_no_answer_names_every_entry(self) -> None:
        entries = self.start((None, None))
        with self.assertRaises(PeerUnavailableError) as caught:
            Client([entry.url for entry in entries]).get_config()
        for entry in entries:
            self.assertIn(f"{entry.url}: connection refused", str(caught.exception))

    def test_token_is_not_shown(self) -> None:
        self.assertNotIn("secret", repr(Client(["http://127.0.0.1:1"], "secret")))
