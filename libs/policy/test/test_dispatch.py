import unittest

from builders import a_contract, a_fleet, an_admission, an_engine, an_offer

from cherryrudder.model.endpoints import Kind
from cherryrudder.model.outcomes import Outcome
from cherryrudder.policy import dispatch, gauges, placement, retries
from cherryrudder.policy.dispatch import Dispatcher, Failed, Refuse, Send, Silent, Work
from cherryrudder.policy.retries import Verdict


class DispatchTest(unittest.TestCase):
    def setUp(self):
        cuts = {"a": (0, 4), "b": (4, 8), "c": (0, 4)}
        engines = [an_engine(name, layers=cut, slots=1) for name, cut in cuts.items()]
        service = an_engine("s", kind=Kind.SERVICE, service="filing")
        self.fleet = a_fleet(*engines, service)
        self.dispatcher = Dispatcher(an_admission(a_contract()), self.fleet)

    def submit(self, name, now_s=0.0, **changes):
        work = Work(an_offer(name), **changes)
        return dispatch.submit(self.dispatcher, work, now_s)

    def in_flight(self):
        return {n: m.in_flight for n, m in self.fleet.members.items() if m.in_flight}

    def test_a_request_takes_and_releases_a_slot_of_each_stage(self):
        (sent,) = self.submit("r1")
        self.assertEqual([s.end_layer for s in sent.stages], [4, 8])
        self.assertEqual(self.submit("r2"), [])
        (second,) = dispatch.finish(self.dispatcher, "r1", 80, 0.5, 0.5)
        self.assertIsInstance(second, Send)
        dispatch.cancel(self.dispatcher, "r2", 60, 0.6)
        self.assertEqual((self.in_flight(), self.dispatcher.works), ({}, {}))

        shown = gauges.gauges(self.dispatcher, 0.6)
        self.assertEqual((shown["queue.length"], shown["endpoints.in_flight"]), (0, 0))
        self.assertEqual(shown["customers.petra.share_tokens_per_s"], 1000)

    def test_a_lost_request_is_sent_elsewhere_if_it_may_be_repeated(self):
        (sent,) = self.submit("r1")
        lost = sent.stages[0].endpoint
        (again,) = dispatch.fail_attempt(self.dispatcher, "r1", lost, False, 0.1)
        self.assertNotEqual(again.stages[0].endpoint, lost)
        self.assertEqual(
            dispatch.fail_attempt(self.dispatcher, "r1", lost, False, 0.2), []
        )
        self.assertEqual(sum(self.in_flight().values()), 2)
        dispatch.finish(self.dispatcher, "r1", 80, 0.5, 0.5)
        self.assertEqual(dispatch.finish(self.dispatcher, "r1", 80, 0.5, 0.6), [])
        self.assertEqual(dispatch.cancel(self.dispatcher, "r1", 80, 0.7), [])
        self.assertEqual(self.in_flight(), {})

    def test_a_call_that_may_have_run_is_reported_as_unknown(self):
        """The answer of a call that must not be repeated is lost.

        A retry could file twice. Reported as not run, the caller would send it again.
        So the caller is informed at once that the outcome is unknown.
        """
        self.submit("r1", service="filing", is_idempotent=False)
        (failure,) = dispatch.fail_attempt(self.dispatcher, "r1", "s", False, 0.1)
        self.assertEqual(failure, Failed("r1", Outcome.UNKNOWN, Verdict.MAY_HAVE_RUN))
        self.submit("r2", service="filing", is_idempotent=False)
        (again,) = dispatch.fail_attempt(self.dispatcher, "r2", "s", True, 0.1)
        self.assertIsInstance(again, Send)
        self.assertEqual(self.in_flight(), {"s": 1})

    def fail_unsent(self, request_id, sent, now_s):
        """Fail an attempt of which nothing was sent; return the effects."""
        endpoint = sent.stages[0].endpoint
        return dispatch.fail_attempt(self.dispatcher, request_id, endpoint, True, now_s)

    def add_services(self, count, slots=1):
        """Replace the endpoints by those of one service."""
        services = [
            an_engine(f"s{n}", kind=Kind.SERVICE, service="filing", slots=slots)
            for n in range(count)
        ]
        placement.update(self.fleet, services, 0.0)

    def test_a_call_that_was_never_sent_tries_each_endpoint(self):
        """Guards against "not run" while an endpoint lives that wasn't tried."""
        self.add_services(5)
        (sent,) = self.submit("r1", service="filing", is_idempotent=False)
        tried = {sent.stages[0].endpoint}
        for number in range(4):
            (sent,) = self.fail_unsent("r1", sent, 0.1 * number)
            self.assertIsInstance(sent, Send)
            tried.add(sent.stages[0].endpoint)
        self.assertEqual(len(tried), 5)
        (failure,) = self.fail_unsent("r1", sent, 0.5)
        self.assertEqual(failure, Failed("r1", Outcome.NOT_RUN, Verdict.TOO_MANY))

    def test_a_call_that_was_never_sent_spends_the_retry_budget(self):
        """Guards against a storm of attempts when no endpoint can be reached."""
        self.add_services(40)
        (sent,) = self.submit("r1", service="filing", is_idempotent=False)
        attempts = 1
        while isinstance(sent, Send):
            (sent,) = self.fail_unsent("r1", sent, 0.01 * attempts)
            attempts += 1
        self.assertEqual(sent, Failed("r1", Outcome.NOT_RUN, Verdict.NO_BUDGET))
        self.assertLessEqual(attempts, retries.FIRST_SAVED + 2)

    def test_a_retry_waits_for_an_endpoint_that_is_busy(self):
        """Guards against repeats at a dead endpoint while the others are only full."""
        self.add_services(2)
        (busy,) = self.submit("r1", service="filing", is_idempotent=False)
        (dead,) = self.submit("r2", service="filing", is_idempotent=False)
        self.assertEqual(self.fail_unsent("r2", dead, 0.1), [])
        (again,) = dispatch.finish(self.dispatcher, "r1", 1, 0.2, 0.2)
        self.assertEqual((again.request_id, again.stages), ("r2", busy.stages))

    def test_a_retry_that_waits_holds_up_no_other_call(self):
        """Guards against free slots that stay unused behind a retry in the queue."""
        self.add_services(2)
        self.submit("r1", service="filing", is_idempotent=False)
        (dead,) = self.submit("r2", service="filing", is_idempotent=False)
        self.assertEqual(self.fail_unsent("r2", dead, 0.1), [])
        (other,) = self.submit("r3", 0.2, service="filing", is_idempotent=False)
        self.assertEqual((other.request_id, other.stages), ("r3", dead.stages))

    def test_a_retry_does_not_wait_for_an_endpoint_without_a_link(self):
        """Guards against a call that waits for an endpoint that has ended."""
        self.add_services(2)
        (sent,) = self.submit("r1", service="filing", is_idempotent=False)
        (other,) = {"s0", "s1"} - {sent.stages[0].endpoint}
        placement.revoke_credits(self.fleet, other, 0.0)
        (again,) = self.fail_unsent("r1", sent, 0.1)
        self.assertEqual(again.stages, sent.stages)

    def test_silent_stage_is_reported_and_replaced_and_the_other_kept(self):
        (sent,) = self.submit("r1")
        lost = sent.stages[0].endpoint
        placement.record_progress(self.fleet, "b", 11.0)
        self.assertIn(Silent("r1", lost), dispatch.tick(self.dispatcher, 11.0))
        found = dispatch.replace_stage(self.dispatcher, "r1", lost, 11.0)
        self.assertEqual({lost, found.endpoint}, {"a", "c"})
        self.assertEqual(self.in_flight(), {found.endpoint: 1, "b": 1})

    def test_a_queued_request_is_answered_when_nothing_is_left(self):
        self.submit("r1")
        self.submit("r2")
        effects = []
        for tick in range(1, 45):
            effects += dispatch.tick(self.dispatcher, tick / 10)
        answers = [effect for effect in effects if isinstance(effect, Refuse)]
        self.assertEqual([a.refusal.status for a in answers], [503])
