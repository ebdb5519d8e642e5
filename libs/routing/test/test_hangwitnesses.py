"""Engines that are silent together, or with no other engine left."""

import random
import unittest

from cherryrudder.routing import hangs
from cherryrudder.routing.hangs import TIMEOUT_OBJECTIVES, Hangs

OBJECTIVE_S = 0.5
TIMEOUT_S = TIMEOUT_OBJECTIVES * OBJECTIVE_S
REVIEW_S = 0.02
USUAL_S = 0.05


class Group:
    """Engines of one service, and when each of them starts its requests."""

    def __init__(self, *engine_ids):
        self.engine_ids = set(engine_ids)
        self.hangs = Hangs()
        self.now_s = 0.0
        # Pending requests with the time of their start, by engine.
        self.pending = {}
        self.found_s = {}
        self.sent = 0

    def send(self, engine_id, pending_s=None):
        """Send a request that the engine starts after a time, or never."""
        self.sent += 1
        request_id = str(self.sent)
        hangs.record_sent(self.hangs, engine_id, request_id, OBJECTIVE_S, self.now_s)
        if pending_s is not None:
            self.pending[engine_id, request_id] = self.now_s + pending_s

    def run_until(self, end_s):
        """Start requests and review the engines up to a time."""
        while self.now_s < end_s:
            self.now_s += REVIEW_S
            for key, start_s in tuple(self.pending.items()):
                if start_s <= self.now_s:
                    del self.pending[key]
                    hangs.record_start(self.hangs, *key, self.now_s)
            others = self.others
            for engine_id in hangs.find_hanging(self.hangs, self.now_s, others):
                self.found_s.setdefault(engine_id, self.now_s)

    def others(self, engine_id):
        return self.engine_ids - {engine_id}

    def ejected(self):
        return {
            e for e in self.engine_ids if hangs.is_ejected(self.hangs, e, self.now_s)
        }


class CommonSilenceTest(unittest.TestCase):
    """Guards against ejecting engines whose host or link is silent for a while."""

    def test_engines_that_are_all_silent_are_kept(self):
        group = Group("e", "f")
        for pending_s in (1.2, 1.22, 1.24):
            group.send("e", pending_s)
            group.send("f", pending_s + 0.1)
        group.run_until(5.0)
        self.assertEqual(group.found_s, {})

    def test_requests_sent_during_the_silence_accuse_no_other_engine(self):
        group = Group("e", "f")
        group.send("e", 1.3)
        group.send("f", 1.3)
        group.run_until(1.0)
        # Pending for 0.2 s; the first that is started after the silence.
        group.send("f", 0.2)
        group.run_until(5.0)
        self.assertEqual(group.found_s, {})

    def test_a_single_engine_is_kept(self):
        group = Group("e")
        group.send("e")
        group.run_until(10.0)
        self.assertEqual(group.found_s, {})

    def test_an_engine_is_tried_before_others_are_ejected(self):
        group = Group("e", "f", "idle")
        group.send("e")
        group.send("f")
        group.run_until(TIMEOUT_S + 2 * REVIEW_S)
        self.assertEqual(len(group.ejected()), 1)

    def test_some_engine_is_always_left(self):
        for seed in range(50):
            rng = random.Random(seed)
            group = Group(*"efgh"[: rng.randrange(1, 5)])
            while group.now_s < 12.0:
                engine_id = rng.choice(sorted(group.engine_ids))
                delays_s = [None, USUAL_S, rng.uniform(0.1, 3.0)]
                group.send(engine_id, rng.choice(delays_s))
                group.run_until(group.now_s + rng.uniform(0.0, 0.4))
                with self.subTest(seed=seed, now_s=group.now_s):
                    self.assertLess(group.ejected(), group.engine_ids)


class WitnessTest(unittest.TestCase):
    """Guards against streams that stay too long at an engine that hangs."""

    def test_another_engines_start_is_a_witness(self):
        group = Group("e", "f")
        group.send("e")
        for _ in range(40):
            group.send("f", USUAL_S)
            group.run_until(group.now_s + 0.05)
        self.assertEqual(list(group.found_s), ["e"])
        self.assertLess(group.found_s["e"], TIMEOUT_S + 2 * REVIEW_S)

    def test_an_engine_is_left_for_one_without_requests(self):
        group = Group("e", "idle")
        group.send("e")
        group.run_until(TIMEOUT_S + 2 * REVIEW_S)
        self.assertEqual(group.ejected(), {"e"})

    def test_the_engine_tried_is_the_witness_against_all_that_hang(self):
        group = Group("e", "f", "g", "idle")
        for engine_id in "efg":
            group.send(engine_id)
        group.run_until(TIMEOUT_S + 2 * REVIEW_S)
        group.send("idle", USUAL_S)
        group.run_until(group.now_s + 3 * USUAL_S)
        self.assertEqual(group.ejected(), {"e", "f", "g"})

    def test_slow_engines_are_kept_and_witness_that_others_hang(self):
        group = Group("hangs-1", "hangs-2", "slow-1", "slow-2")
        for _ in range(40):
            for engine_id in ("hangs-1", "hangs-2"):
                if engine_id not in group.ejected():
                    group.send(engine_id)
            group.send("slow-1", 1.2)
            group.send("slow-2", 1.2)
            group.run_until(group.now_s + 0.1)
        self.assertEqual(set(group.found_s), {"hangs-1", "hangs-2"})

    def test_the_last_engine_is_kept_when_two_have_hung_before(self):
        group = Group("e", "f", "g")
        for engine_id, others in (("e", "fg"), ("f", "g")):
            group.send(engine_id)
            end_s = group.now_s + TIMEOUT_S + 2 * REVIEW_S
            while group.now_s < end_s:
                for other in others:
                    group.send(other, USUAL_S)
                group.run_until(group.now_s + 2 * USUAL_S)
        self.assertEqual(group.ejected(), {"e", "f"})
        group.send("g")
        for _ in range(int(hangs.MAX_EJECTION_S / REVIEW_S)):
            self.assertLess(group.ejected(), group.engine_ids)
            group.run_until(group.now_s + REVIEW_S)


if __name__ == "__main__":
    unittest.main()
