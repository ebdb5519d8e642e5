import unittest

from cherryrudder.routing import hangs
from cherryrudder.routing.hangs import TIMEOUT_OBJECTIVES, Hangs

OBJECTIVE_S = 0.5
TIMEOUT_S = TIMEOUT_OBJECTIVES * OBJECTIVE_S


def send(found, engine_id, *requests, at_s=0.0):
    """Record requests as sent to an engine."""
    for request_id in requests:
        hangs.record_sent(found, engine_id, request_id, OBJECTIVE_S, at_s)


class HangTest(unittest.TestCase):
    """Guards against streams that wait at an engine that never starts them.

    A busy engine is late, too, but starts one request after the other. If it were taken
    for a hanging one, its requests would be read twice.
    """

    def test_an_engine_that_starts_nothing_is_found(self):
        found = Hangs()
        send(found, "e", "1", "2")
        self.assertEqual(hangs.find_hanging(found, TIMEOUT_S - 0.1), [])
        self.assertEqual(hangs.find_hanging(found, TIMEOUT_S + 0.1), ["e"])
        self.assertTrue(hangs.is_ejected(found, "e", TIMEOUT_S + 0.1))
        # It is reported once.
        self.assertEqual(hangs.find_hanging(found, TIMEOUT_S + 0.2), [])

    def test_a_busy_engine_that_starts_later_requests_is_not_hanging(self):
        found = Hangs()
        send(found, "e", "1")
        send(found, "e", "2", at_s=0.1)
        hangs.record_start(found, "e", "2", 0.5)
        self.assertEqual(hangs.find_hanging(found, 2.0), [])

    def test_requests_started_earlier_do_not_count(self):
        found = Hangs()
        send(found, "e", "1")
        hangs.record_start(found, "e", "1", 0.1)
        send(found, "e", "2", at_s=0.2)
        self.assertEqual(hangs.find_hanging(found, 0.2 + TIMEOUT_S + 0.1), ["e"])

    def test_a_request_whose_client_left_does_not_count(self):
        found = Hangs()
        send(found, "e", "1")
        hangs.record_end(found, "e", "1")
        self.assertEqual(hangs.find_hanging(found, 5.0), [])
        self.assertEqual(found.waiting, {})

    def test_ejections_lengthen_until_a_request_is_started(self):
        found, now_s, ejections_s = Hangs(), 0.0, []
        for number in range(4):
            send(found, "e", str(number), at_s=now_s)
            now_s += TIMEOUT_S + 0.1
            hangs.find_hanging(found, now_s)
            ejections_s.append(found.ejections["e"][1])
            now_s += ejections_s[-1]
        self.assertEqual(ejections_s, [2.0, 4.0, 8.0, 8.0])
        hangs.record_start(found, "e", "0", now_s)
        self.assertFalse(hangs.is_ejected(found, "e", now_s))

    def test_state_of_gone_incarnations_is_dropped(self):
        found = Hangs()
        send(found, "e", "1")
        hangs.find_hanging(found, 5.0)
        hangs.record_start(found, "f", "2", 5.0)
        hangs.prune(found, {"g"})
        self.assertEqual((found.last_started_s, found.ejections), ({}, {}))


if __name__ == "__main__":
    unittest.main()
