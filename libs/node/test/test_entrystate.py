import math
import unittest

from builders import PipedSink, a_model, a_state, an_announcement

from cherryrudder.layers import pipes
from cherryrudder.layers.chains import Part
from cherryrudder.node import entrystate, tablesync
from cherryrudder.policy import peerload
from cherryrudder.policy.peerload import Load
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.configuration import (
    DEFAULT_LIMITS,
    Configuration,
    Service,
)
from cherryrudder.routing.routetable import RouteTable


class StartTest(unittest.TestCase):
    """Guards against overloading one engine when all entries start together.

    After a power loss the control VMs have seen few entries. An entry that counted no
    others sent all its requests to the same engine as they did, which refused most.
    """

    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_state(self.piped.sink)

    def others_seen(self):
        """Return the estimated load of the others once this entry has sent ten."""
        own = Load(10.0, 9000.0, 10.0)
        others = self.state.peer_load
        return peerload.estimate(others, "e:1", own, self.state.peers)

    def test_before_any_report_the_others_are_assumed_to_send_as_much(self):
        self.assertGreaterEqual(self.others_seen().firsts, 50)

    def test_an_early_report_of_few_entries_is_ignored(self):
        self.state.entries = 2
        entrystate.update_peer_load(self.state, (), 3, self.state.started_s + 0.5)
        self.assertGreaterEqual(self.others_seen().firsts, 50)

    def test_a_later_report_counts(self):
        self.state.entries = 6
        later_s = self.state.started_s + entrystate.STARTUP_S
        entrystate.update_peer_load(self.state, (), 3, later_s)
        self.assertEqual(self.others_seen().firsts, 10)

    def test_a_report_at_the_end_of_the_start_counts_at_any_clock_value(self):
        """Guards against a rounded difference that is below the bound."""
        for started_s in (62.1, 126.7, 1048575.9):
            with self.subTest(started_s=started_s):
                self.state.started_s = started_s
                self.test_a_later_report_counts()

    def test_a_report_just_before_the_end_of_the_start_is_ignored(self):
        self.state.entries = 6
        for started_s in (62.1, 126.7, 1048575.9):
            with self.subTest(started_s=started_s):
                self.state.started_s = started_s
                before_s = math.nextafter(started_s + entrystate.STARTUP_S, 0.0)
                entrystate.update_peer_load(self.state, (), 3, before_s)
                self.assertGreaterEqual(self.others_seen().firsts, 50)


class UnreadTest(unittest.TestCase):
    CHAIN = (Part("e1:1", "boot-1", 0, 8), Part("e2:1", "boot-2", 8, 16))

    def setUp(self):
        self.piped = PipedSink()
        self.addCleanup(self.piped.close)
        self.state = a_state(self.piped.sink)

    def test_a_prompt_counts_on_each_engine_until_it_is_read(self):
        entrystate.add_unread(self.state, self.CHAIN, 700)
        entrystate.add_unread(self.state, self.CHAIN[:1], 300)
        self.assertEqual(self.state.unread, {"e1:1": 1000, "e2:1": 700})
        entrystate.remove_unread(self.state, self.CHAIN, 700)
        self.assertEqual(self.state.unread, {"e1:1": 300})

    def test_removing_an_empty_prompt_keeps_other_prompts_counted(self):
        entrystate.add_unread(self.state, self.CHAIN, 0)
        entrystate.add_unread(self.state, self.CHAIN, 700)
        entrystate.remove_unread(self.state, self.CHAIN, 0)
        self.assertEqual(self.state.unread, {"e1:1": 700, "e2:1": 700})

    def test_the_others_are_assumed_to_have_as_many_unread_tokens(self):
        now = now_s()
        announcement = an_announcement("e1", layers=(0, 8), address="e1:1")
        tablesync.record_heartbeat(self.state.endpoints, announcement, now)
        self.state.peers = 4.0
        entrystate.add_unread(self.state, self.CHAIN, 700)
        (candidate,) = entrystate.candidates(self.state, "llm", now)
        self.assertEqual(candidate.unread, 5 * 700)


class PipeTest(unittest.TestCase):
    """Guards against streams that wait for a pipe whose rate has been corrected."""

    def a_table(self, version, pipe_mbps):
        model = a_model(8)._replace(pipe_mbps=pipe_mbps)
        services = (Service("llm", "/health", 0, model),)
        return RouteTable(Configuration(version, (), services, (), DEFAULT_LIMITS))

    def test_what_was_used_of_another_pipe_does_not_count(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_state(piped.sink)
        entrystate.set_table(state, self.a_table(1, 1e-6))
        cost_s = pipes.crossing_s(state.table.service("llm").model, 772, 1)
        self.assertTrue(pipes.try_cross(state.pipes, cost_s, 1, now_s()))
        entrystate.set_table(state, self.a_table(2, 1e-6))
        self.assertFalse(pipes.has_budget(state.pipes, 0.1, 1, now_s()))
        entrystate.set_table(state, self.a_table(3, 11_000.0))
        self.assertTrue(pipes.has_budget(state.pipes, 0.1, 1, now_s()))


if __name__ == "__main__":
    unittest.main()
