import unittest
from types import SimpleNamespace
from unittest import mock

from cherryrudder.daemon import controlrole


class ControlStopTest(unittest.TestCase):
    def test_a_disk_that_fails_to_close_is_logged(self):
        """Guards against a planned stop that cuts answers off with an error."""
        closed = []

        def close_disk():
            closed.append("disk")
            raise OSError("input/output error")

        disk = SimpleNamespace(close=close_disk)
        voter = SimpleNamespace(close=lambda: closed.append("voter"), disk=disk)
        with mock.patch.object(controlrole.log, "error") as log_error:
            controlrole.close_voter(voter)
        self.assertEqual(closed, ["voter", "disk"])
        log_error.assert_called_once()
