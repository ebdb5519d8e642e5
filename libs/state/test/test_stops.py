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
        """A late resend of an announcement doesn't restore a cancelled stop.

        The resend has a new change id, since the tool was restarted. The operator has
        released the VM, so it must not be drained a second time.
        """
        self.assertEqual(self.voter.apply(AnnounceStop("c2", STOP)), self.first)
        answer = self.voter.apply(CancelStop("c3", "s1"))
        self.assertEqual(answer, Answer("ok", revision=self.voter.state.revision))
        self.assertEqual(self.voter.apply(AnnounceStop("c4", STOP)).code, "conflict")
        self.assertEqual(self.voter.apply(CancelStop("c5", "s9")).code, "unknown")
        self.assertEqual(self.voter.state.stops, {})

    def test_reader_behind_the_kept_cancellations_gets_everything(self):
        """A reader was offline while more stops were cancelled than are kept.

        A delta could not list all of them, and the reader would keep a cancelled stop.
        So it gets the whole configuration.
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
