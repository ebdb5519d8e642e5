"""Tests of planned stops and of the deltas that carry them."""

import unittest
from unittest import mock

from builders import Voter

from cherryrudder.model.endpoints import Stop
from cherryrudder.state import stops
from cherryrudder.state.commands import AnnounceStop, Answer, CancelStop
from cherryrudder.state.machine import delta

STOP = Stop("s1", "vm", "vm-1")


class StopTest(unittest.TestCase):
    def setUp(self):
        self.voter = Voter()
        self.first = self.voter.apply(AnnounceStop("c1", STOP))

    def test_cancelled_stop_is_not_restored(self):
        """An operator announces a stop, cancels it and releases the VM.

        The announcement's resend arrives last, under a new change id since the tool
        was started again. It must not drain the VM a second time.
        """
        self.assertEqual(self.voter.apply(AnnounceStop("c2", STOP)), self.first)
        answer = self.voter.apply(CancelStop("c3", "s1"))
        self.assertEqual(answer, Answer("ok", revision=self.voter.state.revision))
        self.assertEqual(self.voter.apply(AnnounceStop("c4", STOP)).code, "conflict")
        self.assertEqual(self.voter.apply(CancelStop("c5", "s9")).code, "unknown")
        self.assertEqual(self.voter.state.stops, {})

    def test_reader_behind_the_kept_cancellations_gets_everything(self):
        """A reader was cut off while more stops were cancelled than are remembered.

        A delta could no longer name them all, and its table would keep a cancelled
        stop; so it is given the whole configuration.
        """
        with mock.patch.object(stops, "MAX_CANCELLED", 2):
            self.voter.apply(CancelStop("x", "s1"))
            for name in ("t0", "t1", "t2"):
                self.voter.apply(AnnounceStop(f"a{name}", STOP._replace(stop_id=name)))
                self.voter.apply(CancelStop(f"x{name}", name))
        self.voter.restart()
        full = delta(self.voter.state, self.first.revision)
        self.assertEqual((full.full, full.stops), (True, ()))
        self.assertFalse(delta(self.voter.state, full.revision).full)
