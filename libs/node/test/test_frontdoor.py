import unittest
from types import SimpleNamespace

import anyio

from cherryrudder.node import frontdoor
from cherryrudder.node.frontdoor import FrontDoor
from cherryrudder.node.roster import Roster
from cherryrudder.platform.messages import read_request
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.authorization import NO_CONFIGURATION
from cherryrudder.routing.configuration import DEFAULT_LIMITS, Configuration
from cherryrudder.routing.routetable import RouteTable


class EntryStub:
    """What the decision needs of an entry's state."""

    def __init__(self):
        self.table = None
        self.confirmed_s = float("-inf")
        self.controls = Roster()
        self.settings = SimpleNamespace(bounds=SimpleNamespace(revoke_s=5.0))


class HoldTest(unittest.TestCase):
    """All machines lose power; entries are back a second before the control VMs lead.

    Clients that ask meanwhile were refused once by then, and come back no third time:
    refused again, they get no answer at all. So a request waits for the configuration.
    """

    def decide(self, configured_after_s, deadline_ms=b"20000"):
        """Return the decision and how long it took."""
        state = EntryStub()
        door = FrontDoor.__new__(FrontDoor)
        door.state = state
        request = SimpleNamespace(target=b"/a/x", arrived_s=now_s())
        facts = read_request([(b"host", b"h"), (b"deadline-ms", deadline_ms)])

        async def configure():
            await anyio.sleep(configured_after_s)
            state.table = RouteTable(Configuration(7, (), (), (), DEFAULT_LIMITS))
            state.confirmed_s = now_s()

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(configure)
                exchange = SimpleNamespace(request=request)
                decision = await door._decide(exchange, facts)
                group.cancel_scope.cancel()
            return decision, now_s() - request.arrived_s

        return anyio.run(run)

    def test_a_request_waits_for_the_first_configuration(self):
        decision, _ = self.decide(0.1)
        self.assertEqual(decision.status, 404)

    def test_it_does_not_wait_longer_than_its_client(self):
        decision, took_s = self.decide(60.0, b"200")
        self.assertIs(decision, NO_CONFIGURATION)
        self.assertLess(took_s, frontdoor.HOLD_S)


class OutlastTest(unittest.TestCase):
    """An entry is told to stop; for two seconds the platform still sends new clients.

    A stream that takes six seconds is cut in the middle when the platform's patience
    ends after eight. It has to go elsewhere from the start; a short one may stay.
    """

    def may_outlast(self, left_s, guess=0, most=0, layers=80):
        door = FrontDoor.__new__(FrontDoor)
        door.ends_s = None if left_s is None else now_s() + left_s
        model = SimpleNamespace(layers=layers, usual_answer_tokens=174)
        facts = SimpleNamespace(guessed_answer_tokens=guess, max_answer_tokens=most)
        job = SimpleNamespace(facts=facts, service=SimpleNamespace(model=model))
        return door._may_outlast(job)

    def test_long_streams_go_elsewhere_and_short_ones_stay(self):
        self.assertTrue(self.may_outlast(7.0, guess=300))
        self.assertFalse(self.may_outlast(7.0, guess=100))
        self.assertTrue(self.may_outlast(3.0, guess=100))

    def test_without_a_guess_the_usual_length_counts(self):
        self.assertFalse(self.may_outlast(7.0))
        self.assertTrue(self.may_outlast(5.0))

    def test_no_answer_is_longer_than_its_request_allows(self):
        self.assertFalse(self.may_outlast(7.0, guess=300, most=400))

    def test_nothing_is_refused_before_the_order_to_stop(self):
        self.assertFalse(self.may_outlast(None, guess=10_000))

    def test_other_services_are_no_streams(self):
        self.assertFalse(self.may_outlast(1.0, layers=0))


if __name__ == "__main__":
    unittest.main()
