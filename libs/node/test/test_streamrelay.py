import math
import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
from builders import PipedSink, a_state, an_announcement

from cherryrudder.layers.chains import Part
from cherryrudder.node import streamrelay, tablesync
from cherryrudder.node.entrystate import FULL_S
from cherryrudder.node.job import Failed
from cherryrudder.policy import sharedbudget
from cherryrudder.replica.clock import now_s

CHAIN = (Part("first:1", "boot-1", 0, 8), Part("second:1", "boot-2", 8, 16))


class StubStream(streamrelay.Stream):
    """A stream with a chain, and nothing else that would need an entry."""

    def __init__(self):
        self.job = SimpleNamespace(state=SimpleNamespace(full_until_s={}))
        self.chain = CHAIN
        self._excluded_until_s = {}


class RefusedTest(unittest.TestCase):
    """An engine has no place left and refuses a stream, which has not run.

    Sent on at once, the stream goes where the load seems least. With nothing noted
    that is the same engine again, until the budget is spent and the client is refused
    though other engines have room.
    """

    def refuse(self, status, fault_address=""):
        stream = StubStream()
        facts = SimpleNamespace(fault_address=fault_address)
        streamrelay._avoid(stream, status, facts)
        return stream

    def test_without_a_name_the_first_engine_itself_is_full(self):
        stream = self.refuse(503)
        now = stream.job.state.full_until_s["first:1"] - FULL_S
        self.assertEqual(stream.excluded(now), {"first:1"})

    def test_a_named_engine_is_full(self):
        stream = self.refuse(503, "second:1")
        self.assertEqual(list(stream.job.state.full_until_s), ["second:1"])

    def test_a_full_engine_may_be_met_again_later(self):
        stream = self.refuse(503)
        now = stream.job.state.full_until_s["first:1"] - FULL_S
        self.assertEqual(stream.excluded(now + streamrelay.REFUSED_S + 0.1), set())

    def test_one_without_the_layers_is_not_met_again(self):
        stream = self.refuse(421, "second:1")
        self.assertEqual(stream.excluded(math.inf), set())
        self.assertEqual(stream.excluded(1e9), {"second:1"})


class UsedUpTest(unittest.TestCase):
    """Two chains break under an answer that has begun; the route allows two engines.

    The answer ended in that moment. It goes out again as long as its client is there;
    which engines it may begin at is bounded where its chain is chosen.
    """

    def serve(self, breaks, has_begun):
        """Return how often a stream goes out whose chains break that often."""
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
            facts=SimpleNamespace(prompt_tokens=800, guessed_answer_tokens=100),
            attempts=0,
            is_idempotent=True,
            fingerprint="a request",
            end_s=now_s() + 60.0,
            leaves_s=lambda: now_s() + 30.0,
            left_s=lambda: 60.0,
            note=lambda *_, **__: None,
            fail=mock.AsyncMock(),
            outcome="cut",
        )
        job.facts.max_answer_tokens = 0
        watch = SimpleNamespace(stalls=None)

        async def attempt(stream):
            job.attempts += 1
            stream.has_begun = has_begun
            broke = Failed("an engine of the chain died", is_not_run=False)
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

    def test_a_begun_answer_goes_on_after_two_breaks(self):
        self.assertEqual(self.serve(breaks=2, has_begun=True), (3, "cut"))

    def test_one_without_any_event_goes_out_a_bounded_number_of_times(self):
        attempts, _ = self.serve(breaks=99, has_begun=False)
        self.assertEqual(attempts, 2 + streamrelay.MAX_EXTRA_SENDS)


if __name__ == "__main__":
    unittest.main()
