import unittest
from types import SimpleNamespace
from typing import NamedTuple

from cherryrudder.node import roster
from cherryrudder.node.ratekeeper import RateKeeper
from cherryrudder.node.roster import Roster
from cherryrudder.node.uplink import (
    HEARTBEAT_S,
    LOCAL_FRESH_S,
    Uplink,
    choose_aggregators,
)


class AnswerStub(NamedTuple):
    """What the choice looks at in a control VM's answer."""

    address: str
    vm_zone: str
    version: int = 7


class TellersTest(unittest.TestCase):
    """Two control VMs a data centre; one of them tells its entries of all others."""

    def test_all_entries_choose_the_same_one_in_each_data_centre(self):
        answers = [
            AnswerStub("a2", "a"),
            AnswerStub("b1", "b"),
            AnswerStub("a1", "a"),
            AnswerStub("b2", "b"),
        ]
        self.assertEqual(choose_aggregators(answers), {"a": "a1", "b": "b1"})
        self.assertEqual(choose_aggregators(answers[::-1]), {"a": "a1", "b": "b1"})

    def test_one_that_is_cut_off_from_the_rest_tells_nobody(self):
        """It answers, but has heard nothing of the other data centres for seconds."""
        answers = [AnswerStub("a1", "a", -1), AnswerStub("b1", "b")]
        self.assertEqual(choose_aggregators(answers), {"b": "b1"})

    def test_without_any_other_it_is_better_than_none(self):
        self.assertEqual(choose_aggregators([AnswerStub("a1", "a", -1)]), {"a": "a1"})
        self.assertEqual(choose_aggregators([]), {})


class FarBeatTest(unittest.TestCase):
    """An entry tells each control VM what it knows, also those of other data centres.

    Bytes between data centres are dear, so that far ones hear it less often; but once
    no near one confirms what is in force, the far ones have to be asked at full rate,
    or the entry refuses callers after four seconds.
    """

    def due(self, near_age_s, far_age_s, zone="b"):
        controls = Roster()
        roster.hear(controls, "c:1", AnswerStub("c:1", zone), 100.0)
        state = SimpleNamespace(
            address="e:1",
            controls=controls,
            settings=SimpleNamespace(vm_zone="a"),
            rates=RateKeeper(),
        )
        uplink = Uplink(state, None)
        uplink._local_confirmed_s = 100.0 - near_age_s
        uplink._sent_s["c:1"] = 100.0 - far_age_s
        return uplink._is_due("c:1", 100.0)

    def test_a_far_one_hears_it_every_second_beat(self):
        self.assertFalse(self.due(near_age_s=0.1, far_age_s=HEARTBEAT_S))
        self.assertTrue(self.due(near_age_s=0.1, far_age_s=2 * HEARTBEAT_S))

    def test_a_near_one_hears_each_beat(self):
        self.assertTrue(self.due(near_age_s=0.1, far_age_s=0.1, zone="a"))

    def test_without_a_near_one_the_far_ones_hear_each_beat(self):
        self.assertTrue(self.due(near_age_s=LOCAL_FRESH_S + 0.1, far_age_s=HEARTBEAT_S))


if __name__ == "__main__":
    unittest.main()
