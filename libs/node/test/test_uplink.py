import unittest
from types import SimpleNamespace
from typing import NamedTuple

from builders import PipedSink, a_state

from cherryrudder.node import entrystate, roster
from cherryrudder.node.gossip import ControlAnswer, SyncPosition
from cherryrudder.node.ratelimiter import RateLimiter
from cherryrudder.node.roster import Roster
from cherryrudder.node.uplink import (
    HEARTBEAT_S,
    LOCAL_FRESH_S,
    Uplink,
    choose_aggregators,
)
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.configuration import DEFAULT_LIMITS, Configuration
from cherryrudder.routing.routetable import RouteTable


class AnswerStub(NamedTuple):
    """The fields of a control VM's answer that the choice depends on."""

    address: str
    vm_zone: str
    version: int = 7


class AggregatorsTest(unittest.TestCase):
    """One of two control VMs in each data centre sums up reports for the entries."""

    def test_all_entries_choose_the_same_one_in_each_data_centre(self):
        answers = [
            AnswerStub("a2", "a"),
            AnswerStub("b1", "b"),
            AnswerStub("a1", "a"),
            AnswerStub("b2", "b"),
        ]
        self.assertEqual(choose_aggregators(answers), {"a": "a1", "b": "b1"})
        self.assertEqual(choose_aggregators(answers[::-1]), {"a": "a1", "b": "b1"})

    def test_a_control_vm_that_is_cut_off_is_not_chosen(self):
        """It answers, but has received nothing from other data centres for seconds."""
        answers = [AnswerStub("a1", "a", -1), AnswerStub("b1", "b")]
        self.assertEqual(choose_aggregators(answers), {"b": "b1"})

    def test_it_is_chosen_if_there_is_no_other(self):
        self.assertEqual(choose_aggregators([AnswerStub("a1", "a", -1)]), {"a": "a1"})
        self.assertEqual(choose_aggregators([]), {})


class RemoteHeartbeatTest(unittest.TestCase):
    """Guards against too many heartbeats to other data centres, and against too few.

    Traffic between data centres is expensive, so remote control VMs get heartbeats less
    often. Once no local one confirms the configuration in force, the remote ones have
    to be asked at the full rate, or the entry refuses callers after four seconds.
    """

    def due(self, near_age_s, far_age_s, zone="b"):
        controls = Roster()
        roster.record(controls, "c:1", AnswerStub("c:1", zone), 100.0)
        state = SimpleNamespace(
            address="e:1",
            controls=controls,
            settings=SimpleNamespace(vm_zone="a"),
            rates=RateLimiter(),
        )
        uplink = Uplink(state, None)
        uplink._local_confirmed_s = 100.0 - near_age_s
        uplink._sent_s["c:1"] = 100.0 - far_age_s
        return uplink._is_due("c:1", 100.0)

    def test_a_remote_control_vm_gets_every_second_heartbeat(self):
        self.assertFalse(self.due(near_age_s=0.1, far_age_s=HEARTBEAT_S))
        self.assertTrue(self.due(near_age_s=0.1, far_age_s=2 * HEARTBEAT_S))

    def test_a_local_control_vm_gets_each_heartbeat(self):
        self.assertTrue(self.due(near_age_s=0.1, far_age_s=0.1, zone="a"))

    def test_without_a_local_one_remote_control_vms_get_each_heartbeat(self):
        self.assertTrue(self.due(near_age_s=LOCAL_FRESH_S + 0.1, far_age_s=HEARTBEAT_S))


def an_answer(sent_s, **changes):
    """Return a control VM's answer to a heartbeat."""
    answer = ControlAnswer(
        boot="control",
        address="c:1",
        sent_s=sent_s,
        version=-1,
        controls=(),
        table_version=7,
        endpoints=(),
        alive=(),
        vm_zone="a",
        usage=None,
        spent=None,
        spent_age_s=0.0,
        entries=1,
    )
    return answer._replace(**changes)


class UplinkCase(unittest.TestCase):
    def setUp(self):
        piped = PipedSink()
        self.addCleanup(piped.close)
        self.state = a_state(piped.sink)
        self.uplink = Uplink(self.state, None)


class RestartedEntryTest(UplinkCase):
    """Guards against a restarted entry that misses all unchanged endpoints."""

    def acked_after(self, sent_age_s):
        """Return what an entry acknowledges after an answer to a heartbeat."""
        state = self.state
        self.uplink._handle(an_answer(state.started_s - sent_age_s))
        return self.uplink._make_heartbeat("c:1", {}, state.started_s).acked

    def test_an_answer_to_the_process_before_is_not_acknowledged(self):
        self.assertEqual(self.acked_after(sent_age_s=0.5), SyncPosition("", 0))

    def test_an_answer_to_this_process_is_acknowledged(self):
        self.assertEqual(self.acked_after(sent_age_s=0.0), SyncPosition("control", 7))


class ConfirmationTest(UplinkCase):
    """Guards against confirming what an entry has by an answer to another process."""

    def setUp(self):
        super().setUp()
        self.state.table = RouteTable(Configuration(7, (), (), (), DEFAULT_LIMITS))

    def confirmed_s(self, sent_s):
        version = self.state.version
        self.uplink._handle(an_answer(sent_s, version=version))
        return self.state.confirmed_s

    def test_an_answer_to_the_process_before_confirms_nothing(self):
        for age_s in (0.5, 86_400.0, -86_400.0):
            confirmed_s = self.confirmed_s(self.state.started_s - age_s)
            self.assertEqual(confirmed_s, float("-inf"))

    def test_an_answer_to_this_process_confirms(self):
        sent_s = self.state.started_s
        self.assertEqual(self.confirmed_s(sent_s), sent_s)


class NewerVersionTest(UplinkCase):
    """Guards against an entry that goes on with a version known to be out of date."""

    def hear(self, version, at_s):
        entrystate.record_version(self.state, version, at_s)

    def apply(self, version):
        configuration = Configuration(version, (), (), (), DEFAULT_LIMITS)
        self.state.table = RouteTable(configuration)

    def age_s(self, now_s):
        return entrystate.superseded_age_s(self.state, now_s)

    def test_an_answer_tells_of_a_newer_version(self):
        self.apply(7)
        self.uplink._handle(an_answer(self.state.started_s, version=7))
        self.assertEqual(self.age_s(now_s() + 5.0), 0.0)
        self.uplink._handle(an_answer(self.state.started_s, version=9))
        self.assertGreaterEqual(self.age_s(now_s() + 5.0), 5.0)

    def test_the_age_is_that_of_the_oldest_version_it_lacks(self):
        """Guards against refusals where changes come faster than they arrive."""
        self.apply(7)
        for version, at_s in ((8, 1.0), (8, 1.2), (9, 2.0), (11, 3.0)):
            self.hear(version, at_s)
        self.assertEqual(self.age_s(4.0), 3.0)
        self.apply(9)
        self.assertEqual(self.age_s(4.0), 1.0)
        self.apply(11)
        self.assertEqual(self.age_s(4.0), 0.0)


if __name__ == "__main__":
    unittest.main()
