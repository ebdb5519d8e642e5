import unittest

from cherryrudder.routing import hangs
from cherryrudder.routing.hangs import PATIENCE_SHARE, Hangs

OBJECTIVE_S = 0.5
PATIENCE_S = PATIENCE_SHARE * OBJECTIVE_S


def send(found, engine_id, *requests, at_s=0.0):
    """Let requests go to an engine."""
    for request_id in requests:
        hangs.record_sent(found, engine_id, request_id, OBJECTIVE_S, at_s)


class HangTest(unittest.TestCase):
    """An engine takes requests, says that it is well, and begins none of them.

    Callers wait until they leave. A busy engine is late, too, but begins one request
    after the other; taken for a hanging one, its requests would be read twice.
    """

    def test_an_engine_that_begins_nothing_is_found(self):
        found = Hangs()
        send(found, "e", "1", "2")
        self.assertEqual(hangs.find_hanging(found, PATIENCE_S - 0.1), [])
        self.assertEqual(hangs.find_hanging(found, PATIENCE_S + 0.1), ["e"])
        self.assertTrue(hangs.is_ejected(found, "e", PATIENCE_S + 0.1))
        # It is told once.
        self.assertEqual(hangs.find_hanging(found, PATIENCE_S + 0.2), [])

    def test_a_busy_engine_that_begins_later_requests_is_none(self):
        found = Hangs()
        send(found, "e", "1")
        send(found, "e", "2", at_s=0.1)
        hangs.record_start(found, "e", "2", 0.5)
        self.assertEqual(hangs.find_hanging(found, 2.0), [])

    def test_what_it_began_before_says_nothing(self):
        found = Hangs()
        send(found, "e", "1")
        hangs.record_start(found, "e", "1", 0.1)
        send(found, "e", "2", at_s=0.2)
        self.assertEqual(hangs.find_hanging(found, 0.2 + PATIENCE_S + 0.1), ["e"])

    def test_a_client_that_left_shows_nothing(self):
        found = Hangs()
        send(found, "e", "1")
        hangs.record_end(found, "e", "1")
        self.assertEqual(hangs.find_hanging(found, 5.0), [])
        self.assertEqual(found.waiting, {})

    def test_each_further_time_it_rests_longer_until_it_begins_one(self):
        found, now_s, rests = Hangs(), 0.0, []
        for number in range(4):
            send(found, "e", str(number), at_s=now_s)
            now_s += PATIENCE_S + 0.1
            hangs.find_hanging(found, now_s)
            rests.append(found.rests["e"][1])
            now_s += rests[-1]
        self.assertEqual(rests, [2.0, 4.0, 8.0, 8.0])
        hangs.record_start(found, "e", "0", now_s)
        self.assertFalse(hangs.is_ejected(found, "e", now_s))

    def test_boots_that_are_gone_are_forgotten(self):
        found = Hangs()
        send(found, "e", "1")
        hangs.find_hanging(found, 5.0)
        hangs.record_start(found, "f", "2", 5.0)
        hangs.prune(found, {"g"})
        self.assertEqual((found.begun_s, found.rests), ({}, {}))


if __name__ == "__main__":
    unittest.main()
