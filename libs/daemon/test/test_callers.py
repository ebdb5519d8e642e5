"""By which key a caller is known, and what it is told of calls that failed."""

import unittest
from types import SimpleNamespace

import anyio
from builders import a_contract

from cherryrudder.daemon.callers import by_key
from cherryrudder.daemon.frontdoor import GivenUp, TurnedAway
from cherryrudder.daemon.services import Services, work_for
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.model.outcomes import Outcome, Refusal


class KeyTest(unittest.TestCase):
    def test_a_contract_in_force_goes_before_a_retired_one_with_its_key(self):
        """A customer is given the key of a retired contract, and is not refused for it.

        The older contract takes the key over, so that the retired one comes after it
        in the order of their creation.
        """
        held = a_contract("old-name")
        retired = a_contract("taken-over")._replace(
            key_sha256=held.key_sha256, retired=True
        )
        for contracts in ((held, retired), (retired, held)):
            self.assertEqual(by_key(contracts)[held.key_sha256], held)


class Door:
    """A front door that has one endpoint and notes what it is told of failures."""

    def __init__(self, error):
        self.error = error
        self.certain = []
        place = Place("vm-1", "dc-1", "region-1")
        self.endpoint = Announcement("e-1", Kind.SERVICE, "i", 1, place, "127.0.0.1:1")

    async def enter(self, work):
        """Send it to the endpoint."""
        return SimpleNamespace(stages=(self.endpoint,))

    async def retry(self, request_id, endpoint, is_certain_not_run):
        """Note whether the attempt is said not to have run, and give up."""
        self.certain.append(is_certain_not_run)
        raise self.error

    def cancel(self, request_id, used_tokens):
        """Do nothing."""


class ServicesTest(unittest.TestCase):
    def failed(self, is_idempotent, error):
        """Let an attempt fail without an answer; return what the door was told."""
        door = Door(error)
        services = Services(SimpleNamespace(door=door))
        work = work_for("petra-tours", "slots", 1e9, is_idempotent)

        async def attempt(announcement):
            return None

        try:
            anyio.run(services._send, work, attempt)
        except TimeoutError:
            return door.certain
        self.fail("it was neither answered nor given up")

    def test_a_call_that_may_be_repeated_may_have_run(self):
        """A service runs a GET and its answer is lost, at each endpoint in turn.

        The caller must not be told "not run": the service has run the call.
        """
        self.assertEqual(self.failed(True, TimeoutError()), [False])

    def test_a_refused_retry_of_a_call_that_may_have_run_is_unknown(self):
        """A service runs a GET, its answer is lost, and no other endpoint has room.

        The queue gives the second attempt up as not run. The caller is told
        "unknown", since the first attempt may have run.
        """
        for is_idempotent, error in ((True, GivenUp), (False, TurnedAway)):
            with self.assertRaises(error) as caught:
                self.failed(is_idempotent, TurnedAway(Refusal(503, "full", "", 1.0)))
            if is_idempotent:
                self.assertEqual(caught.exception.outcome, Outcome.UNKNOWN)

    def test_a_claimed_call_without_an_answer_has_not_run(self):
        self.assertEqual(self.failed(False, TimeoutError()), [True])


if __name__ == "__main__":
    unittest.main()
