import unittest

from builders import a_contract, an_admission, an_offer

from cherryrudder.model.outcomes import Refusal
from cherryrudder.policy import admission as adm
from cherryrudder.policy.admission import Admitted, GaveUp, Queued, Started
from cherryrudder.policy.admissionview import dump_admission


def place(request_id):
    return True


def refuse_place(request_id):
    return False


class AdmissionTest(unittest.TestCase):
    def fill(self, admission, count, now_s=0.0, **changes):
        return [
            adm.offer(admission, an_offer(f"r{now_s}-{n}", **changes), now_s)
            for n in range(count)
        ]

    def test_admits_up_to_the_concurrency_then_queues_then_starts(self):
        admission = an_admission()
        answers = self.fill(admission, 9)
        self.assertTrue(all(isinstance(a, Admitted) for a in answers[:8]))
        self.assertIsInstance(answers[8], Queued)
        self.assertEqual(adm.release(admission, 1.0, place), [])
        adm.settle(admission, "r0.0-0", 80, 1.0)
        started = adm.release(admission, 1.0, place)
        self.assertEqual(started, [Started("r0.0-8", 1.0)])

    def test_refusals_at_the_own_limit_spread_the_retry_times(self):
        admission = an_admission()
        answers = self.fill(admission, 200)
        refused = [a for a in answers if isinstance(a, Refusal)]
        self.assertEqual({a.status for a in refused}, {429})
        times = [a.retry_after_s for a in refused]
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], times[0] + 5)

    def test_retired_contract_refuses_new_work_and_finishes_old(self):
        admission = an_admission()
        self.fill(admission, 9)
        adm.set_contract(admission, a_contract(retired=True), 1.0, 1.0)
        self.assertEqual(adm.offer(admission, an_offer("new"), 1.0).status, 403)
        adm.settle(admission, "r0.0-0", 80, 1.0)
        self.assertEqual(len(adm.release(admission, 1.0, place)), 1)
        self.assertFalse(adm.drop_contract(admission, "petra"))
        for request_id in list(admission.running):
            adm.settle(admission, request_id, 80, 2.0)
        self.assertTrue(adm.drop_contract(admission, "petra"))
        self.assertEqual(dump_admission(admission)["customers"], {})

    def test_only_models_and_services_of_the_contract_are_admitted(self):
        admission = an_admission()
        answer = adm.offer(admission, an_offer("a", model="made-up"), 0.0)
        self.assertEqual((answer.status, admission.drains), (403, {}))
        self.assertIsInstance(
            adm.offer(admission, an_offer("b", model="slots"), 0.0), Admitted
        )

    def test_put_back_keeps_the_position_and_refunds_the_charge(self):
        admission = an_admission()
        self.assertIsInstance(adm.offer(admission, an_offer("a"), 0.0), Admitted)
        self.assertIsInstance(adm.put_back(admission, "a", 0.0), Queued)
        own = admission.limits["petra"]
        self.assertEqual((own.running, own.tokens.level), (0, own.tokens.depth))
        self.assertEqual(adm.release(admission, 0.5, place), [Started("a", 0.5)])

    def test_expired_request_is_given_up_at_once(self):
        admission = an_admission()
        adm.offer(admission, an_offer("a"), 0.0)
        adm.put_back(admission, "a", 0.0)
        adm.offer(admission, an_offer("b", deadline_s=0.5), 0.0)
        (gone,) = adm.release(admission, 0.5, refuse_place)
        self.assertEqual((gone.request_id, gone.refusal.status), ("b", 503))

    def test_request_without_prospect_is_given_up_before_its_deadline(self):
        """If engines freeze, a request is given up before its longest wait ends.

        All slots are taken and nothing finishes, so the estimated wait grows beyond the
        time that the request has left, and the caller gets a 503 after about a second.
        """
        admission = an_admission(a_contract(max_wait_s=8.0))
        self.fill(admission, 4)
        adm.offer(admission, an_offer("late"), 0.0)
        adm.put_back(admission, "late", 0.0)
        for n in range(4):
            adm.settle(admission, f"r0.0-{n}", 100, 0.1)
        results = [adm.release(admission, n / 10, refuse_place) for n in range(1, 30)]
        gone = [result for tick in results for result in tick]
        self.assertEqual([g.request_id for g in gone], ["late"])
        self.assertIsInstance(gone[0], GaveUp)

    def test_full_queue_evicts_the_last_request_of_the_largest_backlog(self):
        contracts = [a_contract(name, requests_per_s=1e6) for name in ("hot", "calm")]
        admission = an_admission(*contracts, max_queued=5)
        self.fill(admission, 8, customer="hot", max_tokens=10)
        self.fill(admission, 5, 0.1, customer="hot", max_tokens=10)
        answer = adm.offer(admission, an_offer("c", "calm", max_tokens=10), 0.2)
        self.assertNotIsInstance(answer, Refusal)
        (gone,) = [
            r
            for r in adm.release(admission, 0.2, refuse_place)
            if isinstance(r, GaveUp)
        ]
        self.assertEqual(gone.request_id, "r0.1-4")

    def test_cancel_returns_whether_the_request_was_still_queued(self):
        admission = an_admission()
        self.fill(admission, 9)
        self.assertTrue(adm.cancel(admission, "r0.0-8", 0.1))
        self.assertFalse(adm.cancel(admission, "r0.0-0", 0.1))
        adm.settle(admission, "r0.0-0", 60, 0.2)
        self.assertEqual(admission.costs.answer_tokens, {})
        self.assertEqual(dump_admission(admission)["customers"]["petra"]["running"], 7)

    def test_a_model_without_capacity_does_not_block_others(self):
        admission = an_admission()
        adm.offer(admission, an_offer("a"), 0.0)
        adm.put_back(admission, "a", 0.0)
        adm.offer(admission, an_offer("b", model="other"), 0.1)
        results = adm.release(admission, 0.1, lambda request_id: request_id == "b")
        self.assertEqual(results, [Started("b", 0.0)])

    def test_urgent_requests_go_first_without_starving_others(self):
        """Urgent requests at twice the limit must not starve the others.

        By strict priority the others would wait until they expire. Each is overtaken
        only by requests that arrive within its allowance, so all admitted requests
        start.
        """
        admission = an_admission(a_contract(requests_per_s=1000.0))
        waited, let_in = {0: [], 2: []}, set()
        for step in range(600):
            now_s = step / 20
            for priority in (0, 2) if step % 10 == 0 else (0,):
                asked = an_offer(f"{priority}-{step}", priority=priority)
                if isinstance(adm.offer(admission, asked, now_s), Queued):
                    let_in.add(asked.request_id)
            for result in adm.release(admission, now_s, place):
                self.assertIsInstance(result, Started)
                waited[int(result.request_id[0])].append(result.waited_s)
                let_in.discard(result.request_id)
            for request_id in list(admission.running):
                adm.settle(admission, request_id, 100, now_s)
        self.assertGreater(len(waited[2]), 20)
        self.assertLess(max(waited[0]), min(waited[2][5:]))
        self.assertTrue(all(float(n.split("-")[1]) > 520 for n in let_in))
