import unittest

from builders import an_engine

from cherryrudder.model.endpoints import Stop
from cherryrudder.policy import leaving


class LeavingTest(unittest.TestCase):
    def test_announcement_or_stop_withdraws_all_credits(self):
        engine = an_engine("a")
        stop = Stop("s", "vm", "vm-a")
        self.assertEqual(leaving.usable_credits(engine, [], 4), 4)
        self.assertEqual(leaving.usable_credits(engine, [stop], 4), 0)
        gone = engine._replace(leaving=True)
        self.assertEqual(leaving.usable_credits(gone, [], 4), 0)
        self.assertFalse(leaving.may_end(True, 1, 5.0, 600.0))
        self.assertTrue(leaving.may_end(True, 0, 5.0, 600.0))
