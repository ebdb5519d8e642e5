"""By which key a caller is known, and what it is told of calls that failed."""

import unittest
from types import SimpleNamespace

import anyio
from builders import a_contract

from cherryrudder.daemon.callers import by_key
from cherryrudder.daemon.services import Services, work_for
from cherryrudder.model.endpoints import Announcement, Kind, Place


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

    def __init__(self):
        self.certain = []
        place = Place("vm-1", "dc-1", "region-1")
        self.endpoint = Announcement("e-1", Kind.SERVICE, "i", 1, place, "127.0.0.1:1")

    async def enter(self, work):
        """Send it to the endpoint."""
        return SimpleNamespace(stages=(self.endpoint,))

    async def retry(self, request_id, endpoint, is_certain_not_run):
        """Note whether the attempt is said not to have run, and give up."""
        self.certain.append(is_certain_not_run)
        raise TimeoutError

    def cancel(self, request_id, used_tokens):
        """Do nothing."""


class ServicesTest(unittest.TestCase):
    def failed(self, is_idempotent):
        """Let an attempt fail without an answer; return what the door was told."""
        door = Door()
        services = Services(SimpleNamespace(door=door))
        work = work_for("petra-tours", "slots", 1e9, is_idempotent)

        async def attempt(announcement):
            return None

        with self.assertRaises(TimeoutError):
            anyio.run(services._send, work, attempt)
        return door.certain

    def test_a_call_that_may_be_repeated_may_have_run(self):
        """A service runs a GET and its answer is lost, at each endpoint in turn.

        The caller must not be told "not run": the service has run the call.
        """
        self.assertEqual(self.failed(is_idempotent=True), [False])

    def test_a_claimed_call_without_an_answer_has_not_run(self):
        self.assertEqual(self.failed(is_idempotent=False), [True])


if __name__ == "__main__":
    unittest.main()
