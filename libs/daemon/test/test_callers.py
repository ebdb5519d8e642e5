"""Callers' keys, and the outcomes of calls that failed."""

import unittest
from types import SimpleNamespace

import anyio
from builders import a_contract

from cherryrudder.daemon.callers import contracts_by_key
from cherryrudder.daemon.gate import Call, Verdict
from cherryrudder.daemon.requestdispatch import RequestFailed, RequestRefused
from cherryrudder.daemon.services import ClaimedCall, Services, work_for
from cherryrudder.model.endpoints import Announcement, Kind, Place
from cherryrudder.model.outcomes import Outcome, Refusal
from cherryrudder.state.commands import Claim, ClaimAnswer
from cherryrudder.wire.errors import WireError


class KeyTest(unittest.TestCase):
    def test_an_active_contract_overrides_a_retired_one_with_the_same_key(self):
        """A customer that takes over the key of a retired contract must not be refused.

        The retired contract may come before or after the active one.
        """
        held = a_contract("old-name")
        retired = a_contract("taken-over")._replace(
            key_sha256=held.key_sha256, retired=True
        )
        for contracts in ((held, retired), (retired, held)):
            self.assertEqual(contracts_by_key(contracts)[held.key_sha256], held)


class FakeDispatch:
    """A request dispatch with one endpoint, which records the retries."""

    def __init__(self, error):
        self.error = error
        self.certain = []
        place = Place("vm-1", "dc-1", "region-1")
        self.endpoint = Announcement("e-1", Kind.SERVICE, "i", 1, place, "127.0.0.1:1")

    async def submit(self, work):
        """Place the request at the endpoint."""
        return SimpleNamespace(stages=(self.endpoint,))

    async def retry(self, request_id, endpoint, is_certain_not_run):
        """Record whether the attempt has certainly not run, and raise the error."""
        self.certain.append(is_certain_not_run)
        raise self.error

    def cancel(self, request_id, used_tokens):
        """Do nothing."""


class FakeControls:
    """Control VMs that grant every claim and record every outcome."""

    async def open_claim(self, command, timeout_s):
        """Grant the claim."""
        return ClaimAnswer("granted", Claim(**command._asdict(), index=1))

    async def close_claim(self, command, timeout_s):
        """Record the outcome."""


class FakeSidecar:
    """A sidecar that loses the answer of a GET, and has not run a claimed call."""

    async def call(self, method, url, value, kind, timeout_s):
        """Answer an entry's request."""
        if url.endswith("/v1/forward"):
            raise WireError("ReadError")
        return Verdict("tombstone")


class ServicesTest(unittest.TestCase):
    def failed(self, is_idempotent, error):
        """Fail an attempt without an answer; return the recorded retries."""
        dispatch = FakeDispatch(error)
        process = SimpleNamespace(client=FakeSidecar())
        entry = SimpleNamespace(
            requests=dispatch, controls=FakeControls(), process=process
        )
        services = Services(entry)
        work = work_for("petra-tours", "slots", 1e9, is_idempotent)
        call = Call("GET" if is_idempotent else "POST", "/", "")
        claimed = ClaimedCall("petra-tours", "k", "0" * 64, "slots", call, 1e9)

        async def attempt(announcement):
            if is_idempotent:
                return await services._forward(announcement, call)
            return await services._attempt(claimed, announcement, set())

        try:
            anyio.run(services._send, work, attempt)
        except TimeoutError:
            return dispatch.certain
        self.fail("the call was neither answered nor failed")

    def test_an_idempotent_call_without_an_answer_may_have_run(self):
        """A service runs a GET, and its answer is lost.

        The outcome must not be "not run", since the service has run the call.
        """
        self.assertEqual(self.failed(True, TimeoutError()), [False])

    def test_a_refused_retry_of_a_call_that_may_have_run_is_unknown(self):
        """A service runs a GET, its answer is lost, and no other endpoint has room.

        The second attempt is refused before it runs. The outcome is "unknown", since
        the first attempt may have run.
        """
        for is_idempotent, error in ((True, RequestFailed), (False, RequestRefused)):
            with self.assertRaises(error) as caught:
                self.failed(
                    is_idempotent, RequestRefused(Refusal(503, "full", "", 1.0))
                )
            if is_idempotent:
                self.assertEqual(caught.exception.outcome, Outcome.UNKNOWN)

    def test_a_claimed_call_without_an_answer_has_not_run(self):
        self.assertEqual(self.failed(False, TimeoutError()), [True])


if __name__ == "__main__":
    unittest.main()
