import unittest

from builders import a_contract, a_fleet, an_admission, an_engine, an_offer

from cherryrudder.model.endpoints import Kind
from cherryrudder.model.outcomes import Outcome
from cherryrudder.policy import dispatch, gauges, placement
from cherryrudder.policy.dispatch import Dispatcher, Failed, Refuse, Send, Silent, Work
from cherryrudder.policy.retries import Verdict


class DispatchTest(unittest.TestCase):
    def setUp(self):
        cuts = {"a": (0, 4), "b": (4, 8), "c": (0, 4)}
        engines = [an_engine(name, layers=cut, slots=1) for name, cut in cuts.items()]
        service = an_engine("s", kind=Kind.SERVICE, service="filing")
        self.fleet = a_fleet(*engines, service)
        self.dispatcher = Dispatcher(an_admission(a_contract()), self.fleet)

    def submit(self, name, **changes):
        work = Work(an_offer(name), **changes)
        return dispatch.submit(self.dispatcher, work, 0.0)

    def in_flight(self):
        return {n: m.in_flight for n, m in self.fleet.members.items() if m.in_flight}

    def test_a_request_takes_a_slot_of_each_stage_and_gives_it_back(self):
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

    def test_what_may_have_run_is_never_sent_again_nor_called_not_run(self):
        """A filing's answer is lost after it was sent.

        Sent again it could be filed twice; called not run, its caller would send it
        again. The caller is told at once that the outcome is unknown.
        """
        self.submit("r1", service="filing", is_idempotent=False)
        (told,) = dispatch.fail_attempt(self.dispatcher, "r1", "s", False, 0.1)
        self.assertEqual(told, Failed("r1", Outcome.UNKNOWN, Verdict.MAY_HAVE_RUN))
        self.submit("r2", service="filing", is_idempotent=False)
        (again,) = dispatch.fail_attempt(self.dispatcher, "r2", "s", True, 0.1)
        self.assertIsInstance(again, Send)
        self.assertEqual(self.in_flight(), {"s": 1})

    def test_silent_stage_is_told_and_replaced_without_touching_the_other(self):
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
