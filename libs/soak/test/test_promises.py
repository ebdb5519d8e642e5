import unittest

from builders import (
    a_disturbance,
    a_history,
    an_ack,
    an_answer,
    an_arrival,
)

from cherryrudder.soak import promises
from cherryrudder.soak.promises import Limited, Reading
from cherryrudder.standin.engine import Crash, Rejection


class CheckTest(unittest.TestCase):
    """Each check has to find the fault that it is there for, and nothing else."""

    def assert_broken(self, history, word):
        found = promises.broken(history)
        self.assertEqual([line.partition(":")[0] for line in found], [word], found)

    def assert_kept(self, history):
        self.assertEqual(promises.broken(history), [])

    def test_right_answers_break_nothing(self):
        self.assert_kept(a_history(an_answer(), an_answer("2", "stream")))

    def test_an_answer_to_another_request(self):
        other = an_answer("2")
        self.assert_broken(a_history(an_answer("1", body=other.body)), "MIXED")

    def test_an_event_that_comes_twice(self):
        whole = an_answer("2", "stream")
        first = whole.body[: whole.body.index(b"\n\n") + 2]
        doubled = whole._replace(body=first + whole.body)
        self.assert_broken(a_history(doubled), "MIXED")

    def test_a_stream_that_ends_early_and_looks_whole(self):
        whole = an_answer("2", "stream")
        cut = whole._replace(body=whole.body[: whole.body.rindex(b"id:")])
        self.assert_broken(a_history(cut), "MIXED")
        self.assert_kept(a_history(cut._replace(is_whole=False)))

    def test_a_filing_that_runs_twice(self):
        self.assert_broken(a_history(an_answer(), runs=("1", "1")), "TWICE")
        query = an_answer(kind="query")
        self.assert_kept(a_history(query, runs=("1", "1")))

    def test_a_request_that_nobody_sent(self):
        self.assert_broken(a_history(runs=("9",)), "UNASKED")

    def test_a_filing_that_ran_though_it_was_refused(self):
        refused = an_answer(status=503, body=b"")
        self.assert_broken(a_history(refused, runs=("1",)), "REFUSED")
        self.assert_kept(a_history(refused))
        self.assert_kept(a_history(refused._replace(status=502), runs=("1",)))

    def test_an_older_configuration_that_is_read(self):
        acks = (an_ack(8, 10.0), an_ack(9, 20.0))
        self.assert_broken(a_history(acks=acks, readings=(Reading(8, 22.5),)), "CONFIG")
        self.assert_kept(a_history(acks=acks, readings=(Reading(8, 21.5),)))

    def test_a_key_that_works_on(self):
        acks = (an_ack(8, 10.0), an_ack(9, 90.0, ("k2",)))
        self.assert_broken(a_history(an_answer(), acks=acks), "CONFIG")
        self.assert_kept(a_history(an_answer(key="k2"), acks=acks))
        given_back = (*acks, an_ack(10, 99.9))
        self.assert_kept(a_history(an_answer(), acks=given_back))

    def test_an_engine_that_leaves_and_gets_more(self):
        seen = {"left_s": {"e1": 90.0}, "arrivals": (an_arrival(at_s=93.0),)}
        self.assert_broken(a_history(**seen), "DRAIN")
        beside = (a_disturbance(begins_s=89.0, ends_s=91.0),)
        self.assert_kept(a_history(**seen, disturbances=beside))
        itself = (a_disturbance("engine-leaves", "e1 for e2", 89.0, 95.0),)
        self.assert_broken(a_history(**seen, disturbances=itself), "DRAIN")

    def test_a_planned_stop_that_cuts_a_stream(self):
        stop = a_disturbance("stop-entry", "front-0", 99.0, 103.0)
        cut = an_answer(kind="stream", body=b"", is_whole=False, ended_s=101.0)
        seen = {"disturbances": (stop,), "arrivals": (an_arrival(),), "runs": ("1",)}
        self.assert_broken(a_history(cut, **seen), "LOST")
        self.assert_kept(a_history(cut._replace(node="front-1"), **seen))

    def test_a_request_that_is_sent_on_after_it_has_ended_three_engines(self):
        ended = tuple(Crash("1", f"e{n}", 90.0 + n) for n in range(3))
        late = tuple(an_arrival(at_s=96.0 + n) for n in range(4))
        seen = {"crashing": (frozenset("1"),), "crashes": ended}
        self.assert_broken(a_history(**seen, arrivals=late), "BUDGET")
        self.assert_kept(a_history(**seen, arrivals=late[1:]))
        beside = (a_disturbance("kill-entry", begins_s=93.0, ends_s=94.0),)
        self.assert_kept(a_history(**seen, arrivals=late, disturbances=beside))

    def test_an_engine_that_gets_more_than_its_limit(self):
        limited = (Limited("e1", 1.0, 90.0, 99.0),)
        times_s = [93.0 + n / 4 for n in range(12)]
        seen = {
            "limited": limited,
            "arrivals": tuple(an_arrival(at_s=at_s) for at_s in times_s),
        }
        self.assert_broken(a_history(an_answer(), **seen), "LIMIT")
        fewer = seen | {"arrivals": seen["arrivals"][1:]}
        self.assert_kept(a_history(an_answer(), **fewer))
        lost = (a_disturbance("kill-control", begins_s=92.0, ends_s=94.0),)
        self.assert_broken(a_history(an_answer(), **seen, disturbances=lost), "LIMIT")
        frozen = (a_disturbance("freeze-entry", "front-0", 89.0, 90.5),)
        self.assert_kept(a_history(an_answer(), **seen, disturbances=frozen))

    def test_an_engine_that_gets_requests_in_its_backoff(self):
        seen = {
            "turned_away": (Rejection("1", "e1", 90.0, 3.0),),
            "arrivals": tuple(an_arrival(at_s=91.0 + n / 4) for n in range(3)),
        }
        self.assert_broken(a_history(an_answer(), **seen), "BUDGET")
        self.assert_kept(a_history(an_answer(), **seen | {"arrivals": ()}))
        cut = (a_disturbance("engine-link", "e1", 89.5, 90.5),)
        self.assert_kept(a_history(an_answer(), **seen, disturbances=cut))

    def test_a_process_that_ends_by_itself(self):
        self.assert_broken(a_history(own_ends=("front-0 entry",)), "END")
