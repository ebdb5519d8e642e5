"""Tests of the answer to a configuration whose acceptance isn't confirmed."""

import unittest
from types import SimpleNamespace

import anyio
from builders import PipedSink, a_control

from cherryrudder.node.controlapi import ControlApi
from cherryrudder.replica.errors import VoterFailed


class UnconfirmedTest(unittest.TestCase):
    def test_a_failed_voter_does_not_deny_the_configuration(self):
        """Guards against an operator who takes a configuration in force for refused."""

        async def propose(payload, timeout_s):
            raise VoterFailed("data: no space left on device")

        piped = PipedSink()
        self.addCleanup(piped.close)
        state = a_control(piped.sink, "127.0.0.1")
        state.voter = SimpleNamespace(propose=propose, state=SimpleNamespace(version=1))
        status, outcome = anyio.run(ControlApi(state, None)._accept, 2, "{}")
        self.assertEqual(status, 503)
        self.assertIn("no space left", outcome)
        self.assertIn("may still be accepted", outcome)


if __name__ == "__main__":
    unittest.main()
