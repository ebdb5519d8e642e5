"""Tests of the statsd metrics, received on a UDP socket on loopback."""

import socket
import unittest
from types import SimpleNamespace

import anyio

from cherryrudder.daemon import gauges
from cherryrudder.daemon.callers import failure_reply, refusal_reply
from cherryrudder.model.errors import RequestError
from cherryrudder.model.outcomes import Outcome, Refusal
from cherryrudder.model.settings import StatsdSettings
from cherryrudder.wire.asgi import StreamReply
from cherryrudder.wire.metrics import open_metrics


class GaugesTest(unittest.TestCase):
    def setUp(self):
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(5)
        host, port = self.server.getsockname()
        self.metrics = open_metrics(StatsdSettings(f"{host}:{port}", "cr"), "entry")
        self.addCleanup(self.metrics.close)

    def received(self, count):
        """Return the next datagrams; loopback preserves their order."""
        return [self.server.recv(1000).decode() for _ in range(count)]

    def answer(self, reply):
        """Let a counted handler return a reply, or raise an error."""

        async def handle(request):
            if isinstance(reply, Exception):
                raise reply
            return reply

        return anyio.run(gauges.counted(self.metrics, handle), None)

    def test_answers_are_counted_by_outcome_and_code(self):
        self.answer(refusal_reply(Refusal(429, "own-limit", "", 1.0)))
        self.answer(failure_reply(502, "unknown", "", Outcome.UNKNOWN))
        # A service's own 404 is an answer, not a failure of the platform.
        self.answer(failure_reply(404, "", "", Outcome.DONE))
        self.assertEqual(
            self.received(5),
            [
                "cr.entry.outcome.not-run:1|c",
                "cr.entry.refused.own-limit:1|c",
                "cr.entry.outcome.unknown:1|c",
                "cr.entry.failed.unknown:1|c",
                "cr.entry.outcome.done:1|c",
            ],
        )

    def test_bad_input_is_counted_and_still_raised(self):
        with self.assertRaises(RequestError):
            self.answer(RequestError(401, "wrong-key", ""))
        self.assertEqual(self.received(1), ["cr.entry.refused.wrong-key:1|c"])

    def test_an_internal_error_is_counted_and_still_raised(self):
        with self.assertRaises(ZeroDivisionError):
            self.answer(ZeroDivisionError())
        self.assertEqual(self.received(1), ["cr.entry.failed.internal:1|c"])

    def test_a_stream_is_not_counted_before_its_end(self):
        self.answer(StreamReply(None, None))
        self.metrics.incr("next")
        self.assertEqual(self.received(1), ["cr.entry.next:1|c"])

    def test_a_control_vm_counts_the_commits_since_the_last_reading(self):
        status = {"term": 3, "commit": 90, "role": "leader"}
        control = SimpleNamespace(
            voter=SimpleNamespace(
                status=lambda: status, state=SimpleNamespace(claims={})
            ),
            watches=SimpleNamespace(count=4),
        )
        read = gauges.control_gauges(self.metrics, control)
        read()
        status |= {"term": 5, "commit": 97, "role": "follower"}
        gauges.send(self.metrics, read())
        self.assertEqual(
            self.received(6),
            [
                "cr.entry.term_changes:2|c",
                "cr.entry.commits:7|c",
                "cr.entry.term:5|g",
                "cr.entry.is_leader:0|g",
                "cr.entry.watchers:4|g",
                "cr.entry.claims:0|g",
            ],
        )


if __name__ == "__main__":
    unittest.main()
