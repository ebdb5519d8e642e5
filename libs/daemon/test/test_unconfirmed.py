"""Tests of the answers to changes whose outcome isn't known."""

import unittest
from types import SimpleNamespace

import anyio

from cherryrudder.daemon.controlapi import VoterChange, internal_routes
from cherryrudder.daemon.operatorapi import operator_routes
from cherryrudder.model.errors import RequestError
from cherryrudder.quorum.events import Voter
from cherryrudder.replica.errors import VoterFailed
from cherryrudder.state.commands import TakeFence

STOP = b'{"kind": "cancel-stop", "change_id": "1", "stop_id": "s"}'


class UnconfirmedTest(unittest.TestCase):
    """Guards against an operator who takes a change in force for refused."""

    def answer(self, make_routes, path, value):
        """Return the error of a change at a voter whose disk fails."""

        async def fail(*arguments):
            raise VoterFailed("data: no space left on device")

        async def body():
            return value

        async def json(kind):
            return value

        voter = SimpleNamespace(propose=fail, change_voters=fail)
        route = make_routes(SimpleNamespace(voter=voter))["POST", path]
        with self.assertRaises(RequestError) as caught:
            anyio.run(route, SimpleNamespace(body=body, json=json))
        self.assertEqual(caught.exception.status, 503)
        return str(caught.exception)

    def test_no_change_is_denied(self):
        change = VoterChange("add-learner", Voter("d", "disk-d", "10.0.0.4:1"))
        for make_routes, path, value in (
            (operator_routes, "/v1/changes", STOP),
            (operator_routes, "/v1/voters", change),
            (internal_routes, "/v1/fences", TakeFence("request", "endpoint")),
        ):
            with self.subTest(path=path):
                answer = self.answer(make_routes, path, value)
                self.assertIn("no space left", answer)
                self.assertIn("may still be accepted", answer)


if __name__ == "__main__":
    unittest.main()
