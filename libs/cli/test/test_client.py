"""Tests of the operator API's client: choice of control VM, retries and timeout."""

import unittest

import httpx
from builders import ADDRESSES, KEY, FakeControl, a_contract

from cherryrudder.cli import client as operator
from cherryrudder.cli.client import CALL_TIMEOUT_S, Client
from cherryrudder.cli.errors import BadInput, Conflict, Failed, Unreachable


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.control = FakeControl()
        self.now_s = 0.0
        self.client = self.open(KEY)

    def open(self, key):
        transport = httpx.MockTransport(self.control.handle)
        clock = {"clock": lambda: self.now_s, "sleep": self.sleep}
        return Client(ADDRESSES, key, transport, **clock)

    def sleep(self, wait_s):
        self.now_s += wait_s

    def called_addresses(self):
        return [address for address, *_ in self.control.calls]

    def test_the_address_that_answers_is_used_first_in_the_next_call(self):
        self.control.faults = {ADDRESSES[0]: ["down"], ADDRESSES[1]: ["no-leader"]}
        self.assertEqual(operator.contracts(self.client), {})
        operator.contracts(self.client)
        self.assertEqual(self.called_addresses(), [*ADDRESSES, ADDRESSES[2]])

    def test_a_change_is_retried_until_a_leader_is_elected(self):
        """After the leader's death all control VMs refuse changes for a second.

        The operator's change must not fail, and must be made once.
        """
        self.control.faults = {address: ["no-leader"] * 3 for address in ADDRESSES}
        answer = operator.put_contract(self.client, a_contract(), 0)
        self.assertEqual(answer.version, 1)
        self.assertGreater(self.now_s, 0.5)

    def test_unreachable_reports_whether_a_change_may_have_been_made(self):
        """All control VMs are unreachable, or one made the change but did not answer.

        Only in the first case can the operator be sure that nothing was changed.
        """
        for fault, acted in (("down", False), ("lost", True)):
            self.control.faults = {ADDRESSES[1]: [fault]}
            for address in (ADDRESSES[0], ADDRESSES[2], ADDRESSES[1]):
                self.control.faults.setdefault(address, []).extend(["down"] * 999)
            with self.assertRaises(Unreachable) as caught:
                operator.put_contract(self.client, a_contract(), 0)
            self.assertEqual(caught.exception.may_have_acted, acted)
            self.assertEqual("may have been accepted" in str(caught.exception), acted)
        self.assertLess(self.now_s, 2 * (CALL_TIMEOUT_S + 1))

    def test_error_answers_raise_typed_errors(self):
        operator.put_contract(self.client, a_contract(), 0)
        with self.assertRaises(Conflict):
            operator.put_contract(self.client, a_contract(), 0)
        with self.assertRaises(BadInput):
            operator.cancel_stop(self.client, "none")
        with self.assertRaisesRegex(Failed, "key was refused"):
            operator.contracts(self.open("another"))
        for content in (b"<html>", b"[]", b'{"contracts": [{"contract": {}}]}'):
            self.client.http = httpx.Client(
                transport=httpx.MockTransport(
                    lambda _, content=content: httpx.Response(200, content=content)
                )
            )
            with self.assertRaises(Failed):
                operator.contracts(self.client)
