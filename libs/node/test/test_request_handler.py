import unittest
from collections import deque
from types import SimpleNamespace

import anyio

from cherryrudder.node import request_handler
from cherryrudder.node.request_handler import RequestHandler
from cherryrudder.node.roster import Roster
from cherryrudder.platform.messages import read_request
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.authorization import NO_CONFIGURATION
from cherryrudder.routing.configuration import DEFAULT_LIMITS, Configuration
from cherryrudder.routing.routetable import RouteTable


class EntryStub:
    """The parts of an entry's state that the decision reads."""

    def __init__(self):
        self.table = None
        self.version = 0
        self.newer_versions = deque()
        self.confirmed_s = float("-inf")
        self.controls = Roster()
        self.settings = SimpleNamespace(bounds=SimpleNamespace(revoke_s=5.0))


class HoldTest(unittest.TestCase):
    """Guards against refusing clients while an entry waits for its configuration.

    After a power loss, entries are up a second before the control VMs have a leader.
    Clients were refused once by then and don't try a third time, so a request waits.
    """

    def decide(self, configured_after_s, deadline_ms=b"20000"):
        """Return the decision and how long it took."""
        state = EntryStub()
        handler = RequestHandler.__new__(RequestHandler)
        handler.state = state
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
                decision = await handler._decide(exchange, facts)
                group.cancel_scope.cancel()
            return decision, now_s() - request.arrived_s

        return anyio.run(run)

    def test_a_request_waits_for_the_first_configuration(self):
        decision, _ = self.decide(0.1)
        self.assertEqual(decision.status, 404)

    def test_a_request_waits_no_longer_than_its_client(self):
        decision, took_s = self.decide(60.0, b"200")
        self.assertIs(decision, NO_CONFIGURATION)
        self.assertLess(took_s, request_handler.MAX_HOLD_S)


class OutlastTest(unittest.TestCase):
    """Guards against accepting streams that the end of the process would cut.

    After the order to stop, the platform still sends new clients for two seconds and
    kills the process after eight. A stream of six seconds is refused at once; a short
    one is served.
    """

    def may_outlast(self, left_s, guess=0, most=0, layers=80):
        handler = RequestHandler.__new__(RequestHandler)
        handler.process_ends_s = None if left_s is None else now_s() + left_s
        model = SimpleNamespace(layers=layers, usual_answer_tokens=174)
        facts = SimpleNamespace(guessed_answer_tokens=guess, max_answer_tokens=most)
        job = SimpleNamespace(facts=facts, service=SimpleNamespace(model=model))
        return handler._may_outlast(job)

    def test_long_streams_are_refused_and_short_ones_served(self):
        self.assertTrue(self.may_outlast(7.0, guess=300))
        self.assertFalse(self.may_outlast(7.0, guess=100))
        self.assertTrue(self.may_outlast(3.0, guess=100))

    def test_without_a_guess_the_usual_length_is_assumed(self):
        self.assertFalse(self.may_outlast(7.0))
        self.assertTrue(self.may_outlast(5.0))

    def test_the_length_is_bounded_by_the_request_limit(self):
        self.assertFalse(self.may_outlast(7.0, guess=300, most=400))

    def test_nothing_is_refused_before_the_order_to_stop(self):
        self.assertFalse(self.may_outlast(None, guess=10_000))

    def test_services_without_layers_are_not_refused(self):
        self.assertFalse(self.may_outlast(1.0, layers=0))


if __name__ == "__main__":
    unittest.main()
