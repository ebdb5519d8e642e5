"""Tests of what a run that resumes a stream shows of its request."""

import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_state, an_announcement
from crashcase import ENGINES, a_job, a_record

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamrelay, tablesync
from cherryrudder.node.stream import Stream
from cherryrudder.node.uplink import Uplink
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.crashbook import FINISHED
from cherryrudder.routing.fingerprint import part_fingerprints

EVENTS = 20


class ResumedRunTest(unittest.TestCase):
    """Guards against clearing a request by the end of an answer that it resumed."""

    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.state = a_state(piped.sink)
        self.uplink = Uplink(self.state, None)
        for engine_id in (*ENGINES, "boot-9"):
            announcement = an_announcement(engine_id, layers=(0, 8))
            tablesync.record_heartbeat(self.state.endpoints, announcement, now_s())
        self.parts = part_fingerprints("acme", "llm", ("dead0001",))

    def run_from(self, event, client_has=""):
        """Relay an answer's events behind one to its end; return what it shows."""
        job = a_job(self.state)
        job.parts = self.parts
        job.service.model = SimpleNamespace(usual_answer_tokens=100)
        job.facts = SimpleNamespace(
            request_id="r1",
            last_event=client_has,
            prompt_tokens=800,
            guessed_answer_tokens=0,
            max_answer_tokens=0,
        )
        job.record_chunk = lambda at_s: None
        job.exchange = mock.AsyncMock()
        part = self.parts[0].fingerprint
        whole = a_record(*ENGINES)
        # One after the other, as engines that end together may share a cause.
        crashes = [
            one._replace(at_s=now_s() - n) for n, one in enumerate(whole.crashes)
        ]
        whole = whole._replace(crashes=tuple(crashes))
        known = {"bad": whole, part: whole._replace(part="dead0001")}
        self.state.crashes.record(known, now_s())
        supervisor = SimpleNamespace(
            stalls=SimpleNamespace(uplink=self.uplink), streams=set()
        )
        stream = Stream(job, supervisor)
        stream.chain = (Part("boot-9:80", "boot-9", 0, 8),)
        stream.last_event = event or None
        texts = [b"id: %d\n\n" % n for n in range(event + 1, EVENTS + 1)]
        read = mock.AsyncMock(side_effect=[*texts, None])
        connection = SimpleNamespace(read=read, has_length=True)
        streamrelay._start_watching(stream, connection)
        stream.head_s = now_s()
        anyio.run(streamrelay._pass_events, stream, connection)
        records = self.state.crashes.book.records
        return records["bad"].passed, records[part].passed

    def test_an_answer_from_its_start_clears_request_and_parts(self):
        self.assertEqual(self.run_from(0), (FINISHED, FINISHED))

    def test_one_that_another_run_had_begun_clears_nothing(self):
        for event in (1, 15, EVENTS - 1):
            with self.subTest(event=event):
                self.assertLess(max(self.run_from(event)), FINISHED)

    def test_one_that_its_client_resumes_clears_nothing(self):
        self.assertLess(max(self.run_from(0, client_has="15")), FINISHED)


if __name__ == "__main__":
    unittest.main()
