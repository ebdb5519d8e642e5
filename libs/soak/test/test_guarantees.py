import unittest

from builders import (
    a_disturbance,
    a_history,
    an_ack,
    an_answer,
    an_arrival,
)

from cherryrudder.soak import guarantees
from cherryrudder.soak.guarantees import EngineLimit, Reading
from cherryrudder.soak.retrybudget import RetryBound
from cherryrudder.standin.engine import Crash, Rejection


class CheckTest(unittest.TestCase):
    """Each check finds the violation that it is meant for, and no other."""

    def assert_broken(self, history, word):
        found = guarantees.find_violations(history)
        self.assertEqual([line.partition(":")[0] for line in found], [word], found)

    def assert_kept(self, history):
        self.assertEqual(guarantees.find_violations(history), [])

    def test_correct_answers_violate_nothing(self):
        self.assert_kept(a_history(an_answer(), an_answer("2", "stream")))

    def test_answer_to_another_request_is_found(self):
        other = an_answer("2")
        self.assert_broken(a_history(an_answer("1", body=other.body)), "MIXED")

    def test_duplicate_stream_event_is_found(self):
        whole = an_answer("2", "stream")
        first = whole.body[: whole.body.index(b"\n\n") + 2]
        doubled = whole._replace(body=first + whole.body)
        self.assert_broken(a_history(doubled), "MIXED")

    def test_truncated_stream_marked_whole_is_found(self):
        whole = an_answer("2", "stream")
        cut = whole._replace(body=whole.body[: whole.body.rindex(b"id:")])
        self.assert_broken(a_history(cut), "MIXED")
        self.assert_kept(a_history(cut._replace(is_whole=False)))

    def test_filing_that_ran_twice_is_found(self):
        self.assert_broken(a_history(an_answer(), runs=("1", "1")), "TWICE")
        query = an_answer(kind="query")
        self.assert_kept(a_history(query, runs=("1", "1")))

    def test_run_of_an_unsent_request_is_found(self):
        self.assert_broken(a_history(runs=("9",)), "UNASKED")

    def test_refused_filing_that_ran_is_found(self):
        refused = an_answer(status=503, body=b"")
        self.assert_broken(a_history(refused, runs=("1",)), "REFUSED")
        self.assert_kept(a_history(refused))
        self.assert_kept(a_history(refused._replace(status=502), runs=("1",)))

    def test_stale_configuration_read_is_found(self):
        acks = (an_ack(8, 10.0), an_ack(9, 20.0))
        self.assert_broken(a_history(acks=acks, readings=(Reading(8, 22.5),)), "CONFIG")
        self.assert_kept(a_history(acks=acks, readings=(Reading(8, 21.5),)))

    def test_revoked_key_that_still_works_is_found(self):
        acks = (an_ack(8, 10.0), an_ack(9, 90.0, ("k2",)))
        self.assert_broken(a_history(an_answer(), acks=acks), "CONFIG")
        self.assert_kept(a_history(an_answer(key="k2"), acks=acks))
        given_back = (*acks, an_ack(10, 99.9))
        self.assert_kept(a_history(an_answer(), acks=given_back))

    def test_late_request_to_a_leaving_engine_is_found(self):
        seen = {"left_s": {"e1": 90.0}, "arrivals": (an_arrival(at_s=93.0),)}
        self.assert_broken(a_history(**seen), "DRAIN")
        beside = (a_disturbance(begins_s=89.0, ends_s=91.0),)
        self.assert_kept(a_history(**seen, disturbances=beside))
        itself = (a_disturbance("engine-leaves", "e1 for e2", 89.0, 95.0),)
        self.assert_broken(a_history(**seen, disturbances=itself), "DRAIN")

    def test_stream_cut_by_a_planned_stop_is_found(self):
        stop = a_disturbance("stop-entry", "front-0", 99.0, 103.0)
        cut = an_answer(kind="stream", body=b"", is_whole=False, ended_s=101.0)
        seen = {"disturbances": (stop,), "arrivals": (an_arrival(),), "runs": ("1",)}
        self.assert_broken(a_history(cut, **seen), "LOST")
        self.assert_kept(a_history(cut._replace(node="front-1"), **seen))

    def test_request_sent_after_it_crashed_three_engines_is_found(self):
        ended = tuple(Crash("1", f"e{n}", 90.0 + n) for n in range(3))
        late = tuple(an_arrival(at_s=96.0 + n) for n in range(4))
        seen = {"crashing": (frozenset("1"),), "crashes": ended}
        self.assert_broken(a_history(**seen, arrivals=late), "BUDGET")
        self.assert_kept(a_history(**seen, arrivals=late[1:]))
        beside = (a_disturbance("kill-entry", begins_s=93.0, ends_s=94.0),)
        self.assert_kept(a_history(**seen, arrivals=late, disturbances=beside))

    def test_part_sent_after_it_crashed_five_engines_is_found(self):
        ended = tuple(Crash("1", f"e{n}", 90.0 + n) for n in range(5))
        late = tuple(an_arrival(at_s=98.0 + n) for n in range(4))
        seen = {"crashing_parts": (frozenset("1"),), "crashes": ended}
        self.assert_broken(a_history(**seen, arrivals=late), "BUDGET")
        self.assert_kept(a_history(**seen, arrivals=late[1:]))
        self.assert_kept(a_history(**seen | {"crashes": ended[1:]}, arrivals=late))

    def test_engine_over_its_limit_is_found(self):
        limited = (EngineLimit("e1", 1.0, 90.0, 99.0),)
        times_s = [93.0 + n / 4 for n in range(12)]
        seen = {
            "engine_limits": limited,
            "arrivals": tuple(an_arrival(at_s=at_s) for at_s in times_s),
        }
        self.assert_broken(a_history(an_answer(), **seen), "LIMIT")
        fewer = seen | {"arrivals": seen["arrivals"][1:]}
        self.assert_kept(a_history(an_answer(), **fewer))
        lost = (a_disturbance("kill-control", begins_s=92.0, ends_s=94.0),)
        self.assert_broken(a_history(an_answer(), **seen, disturbances=lost), "LIMIT")
        frozen = (a_disturbance("freeze-entry", "front-0", 89.0, 90.5),)
        self.assert_kept(a_history(an_answer(), **seen, disturbances=frozen))

    def test_requests_during_a_backoff_are_found(self):
        seen = {
            "turned_away": (Rejection("1", "e1", 90.0, 3.0),),
            "arrivals": tuple(an_arrival(at_s=91.0 + n / 4) for n in range(3)),
        }
        self.assert_broken(a_history(an_answer(), **seen), "BUDGET")
        self.assert_kept(a_history(an_answer(), **seen | {"arrivals": ()}))
        cut = (a_disturbance("engine-link", "e1", 89.5, 90.5),)
        self.assert_kept(a_history(an_answer(), **seen, disturbances=cut))

    def test_retries_beyond_the_budget_are_found(self):
        bound = RetryBound(ratio=0.2, slack=4.0, window_s=10.0)
        answers = [an_answer(str(n), "query", sent_s=100.0 + n) for n in range(10)]

        def found(*times_s):
            arrivals = [
                an_arrival(str(n), at_s=at_s)._replace(service="desk")
                for n, at_s in enumerate([100.0] * 10)
            ]
            arrivals += [
                an_arrival(str(n), at_s=at_s)._replace(service="desk")
                for n, at_s in enumerate(times_s)
            ]
            history = a_history(*answers, arrivals=tuple(arrivals), retry_bound=bound)
            return guarantees.find_violations(history)

        self.assertEqual(found(110, 110, 111, 111, 111), [])
        self.assertEqual(len(found(110, 110, 111, 111, 111, 111)), 1)
        # In windows that slide, but not in one that is longer.
        self.assertEqual(found(105, 105, 105, 111, 116, 117, 118), [])

    def test_refusals_of_proper_requests_are_found(self):
        def found(count, status, **changes):
            answers = [
                an_answer(str(n), status=status, **changes) for n in range(count)
            ]
            whole = [an_answer(f"whole-{n}") for n in range(400)]
            keys, crashing = frozenset({"k1"}), (frozenset({"0"}),)
            history = a_history(*answers, *whole, allowed_keys=keys, crashing=crashing)
            return guarantees.find_violations(history)

        for status in (302, 400, 404, 413):
            with self.subTest(status=status):
                self.assertEqual(found(6, status), [])
                self.assertEqual(len(found(7, status)), 1)
        self.assertEqual(found(50, 429), [])
        self.assertEqual(found(50, 401, key="revoked"), [])

    def test_unexpected_exit_is_found(self):
        self.assert_broken(a_history(unexpected_exits=("front-0 entry",)), "END")

    def test_process_over_its_memory_is_found(self):
        self.assert_broken(a_history(over_memory=("front-0 entry",)), "MEMORY")

    def test_run_of_a_crowd_is_asked_for(self):
        self.assert_kept(a_history(runs=("9",), crowd_ids=frozenset({"9"})))
