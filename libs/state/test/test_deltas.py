"""Tests of deltas and of the planned stops that they carry."""

import unittest
from unittest import mock

from builders import SETTINGS, DictReader, Voter, other_changes, puts
from hypothesis import given, strategies as st

from cherryrudder.model.endpoints import Stop
from cherryrudder.state import stops
from cherryrudder.state.commands import AnnounceStop, CancelStop
from cherryrudder.state.machine import delta

STOP = Stop("s1", "vm", "vm-1")


class DeltaTest(unittest.TestCase):
    def setUp(self):
        self.voter = Voter()

    @SETTINGS
    @given(st.lists(st.tuples(puts | other_changes, st.booleans()), min_size=10))
    def test_a_reader_that_lags_ends_where_the_state_is(self, log):
        voter, lagging = Voter(), DictReader()
        for command, reads in log:
            before = voter.state.revision
            answer = voter.apply(command)
            if voter.state.revision != before:
                self.assertGreater(voter.state.revision, before)
                self.assertEqual(answer.revision, voter.state.revision)
            if reads:
                fresh = DictReader()
                fresh.take(delta(voter.state, 0))
                lagging.take(delta(voter.state, lagging.revision))
                self.assertEqual(lagging.held, fresh.held)

    def test_a_cancelled_stop_does_not_come_back(self):
        """An operator announces a stop, cancels it and releases the VM.

        The announcement's resend arrives last, under a new change id since the tool
        was started again. It must not drain the VM a second time.
        """
        first = self.voter.apply(AnnounceStop("c1", STOP))
        self.assertEqual(self.voter.apply(AnnounceStop("c2", STOP)), first)
        self.assertEqual(self.voter.apply(CancelStop("c3", "s1")).code, "ok")
        self.assertEqual(self.voter.apply(AnnounceStop("c4", STOP)).code, "conflict")
        self.assertEqual(self.voter.state.stops, {})

    def test_wrong_stops_are_told(self):
        for stop in (STOP._replace(scope="rack"), STOP._replace(target="")):
            answer = self.voter.apply(AnnounceStop(f"c-{stop}", stop))
            self.assertEqual(answer.code, "invalid")
        self.assertEqual(self.voter.apply(CancelStop("c9", "s9")).code, "unknown")

    def test_a_reader_behind_the_kept_cancellations_gets_everything(self):
        """A reader was cut off while more stops were cancelled than are remembered.

        A delta could no longer name them all, and its table would keep a cancelled
        stop; so it is given the whole configuration.
        """
        self.voter.apply(AnnounceStop("c0", STOP))
        reader = DictReader()
        reader.take(delta(self.voter.state, 0))
        with mock.patch.object(stops, "MAX_CANCELLED", 2):
            self.voter.apply(CancelStop("x", "s1"))
            for name in ("t0", "t1", "t2"):
                self.voter.apply(AnnounceStop(f"a{name}", STOP._replace(stop_id=name)))
                self.voter.apply(CancelStop(f"x{name}", name))
        self.voter.restart()
        reader.take(delta(self.voter.state, reader.revision))
        self.assertEqual(reader.held, {})
        self.assertFalse(delta(self.voter.state, reader.revision).full)
