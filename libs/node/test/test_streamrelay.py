import math
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_state, an_announcement

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamrelay, tablesync
from cherryrudder.node.entrystate import FULL_HOLD_S
from cherryrudder.node.job import FailedAttempt
from cherryrudder.policy import sharedbudget
from cherryrudder.replica.clock import now_s

CHAIN = (Part("first:1", "boot-1", 0, 8), Part("second:1", "boot-2", 8, 16))


class StubStream(streamrelay.Stream):
    """A stream with a chain, without an entry."""

    def __init__(self):
        self.job = SimpleNamespace(state=SimpleNamespace(full_until_s={}))
        self.chain = CHAIN
        self._excluded_until_s = {}


class RefusedTest(unittest.TestCase):
    """Guards against retrying a refused stream at the same full engine.

    The engine without room may seem to have the least load. Unless the refusal is
    recorded, the stream returns to it until the retry budget is spent and the client is
    refused, although other engines have room.
    """

    def refuse(self, status, fault_address=""):
        stream = StubStream()
        facts = SimpleNamespace(fault_address=fault_address)
        streamrelay._exclude_refusing(stream, status, facts)
        return stream

    def test_without_a_fault_address_the_first_engine_counts_as_full(self):
        stream = self.refuse(503)
        now = stream.job.state.full_until_s["first:1"] - FULL_HOLD_S
        self.assertEqual(stream.excluded(now), {"first:1"})

    def test_the_engine_at_the_fault_address_counts_as_full(self):
        stream = self.refuse(503, "second:1")
        self.assertEqual(list(stream.job.state.full_until_s), ["second:1"])

    def test_a_full_engine_may_be_used_again_later(self):
        stream = self.refuse(503)
        now = stream.job.state.full_until_s["first:1"] - FULL_HOLD_S
        self.assertEqual(
            stream.excluded(now + streamrelay.REFUSAL_EXCLUSION_S + 0.1), set()
        )

    def test_an_engine_without_the_layers_is_not_used_again(self):
        stream = self.refuse(421, "second:1")
        self.assertEqual(stream.excluded(math.inf), set())
        self.assertEqual(stream.excluded(1e9), {"second:1"})


class UsedUpTest(unittest.TestCase):
    """Guards against ending an answer that has begun after two chains broke.

    The route allows two engines. The stream is sent again as long as its client stays;
    the engines where it may begin are limited when its chain is chosen.
    """

    def serve(self, breaks, has_begun):
        """Return the attempts and the outcome of a stream with that many breaks."""
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_state(piped.sink)
        tablesync.record_heartbeat(state.endpoints, an_announcement("boot-1"), now_s())
        for _ in range(200):
            sharedbudget.record_request(state.retry_budget, "llm", now_s())
        job = SimpleNamespace(
            state=state,
            service=SimpleNamespace(name="llm", model=None),
            route=SimpleNamespace(max_attempts=2),
            facts=SimpleNamespace(
                prompt_tokens=800, guessed_answer_tokens=100, last_event=""
            ),
            attempts=0,
            is_idempotent=True,
            fingerprint="a request",
            end_s=now_s() + 60.0,
            client_leaves_s=lambda: now_s() + 30.0,
            left_s=lambda: 60.0,
            log_event=lambda *_, **__: None,
            fail=mock.AsyncMock(),
            outcome="cut",
        )
        job.facts.max_answer_tokens = 0
        watch = SimpleNamespace(stalls=None)

        async def attempt(stream):
            job.attempts += 1
            stream.has_begun = has_begun
            broke = FailedAttempt("an engine of the chain died", is_not_run=False)
            return broke if job.attempts <= breaks else None

        async def wait_for_chain(stream):
            return CHAIN

        with (
            mock.patch.object(streamrelay, "_attempt", attempt),
            mock.patch.object(
                streamrelay.streamchains, "wait_for_chain", wait_for_chain
            ),
        ):
            anyio.run(streamrelay.serve, job, watch)
        return job.attempts, job.outcome

    def test_an_answer_that_has_begun_is_resumed_after_two_breaks(self):
        self.assertEqual(self.serve(breaks=2, has_begun=True), (3, "cut"))

    def test_a_stream_without_any_event_is_sent_a_bounded_number_of_times(self):
        attempts, _ = self.serve(breaks=99, has_begun=False)
        self.assertEqual(attempts, 2 + streamrelay.MAX_EXTRA_SENDS)


if __name__ == "__main__":
    unittest.main()
