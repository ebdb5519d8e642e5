import random
import unittest

from cherryrudder.routing import picking
from cherryrudder.routing.picking import EndpointLoad


def a_place(name, **changes):
    """Return an idle endpoint with six places."""
    return EndpointLoad(name, f"{name}:80", "a", 6)._replace(**changes)


class PickTest(unittest.TestCase):
    def pick(self, *places, exclude=()):
        place = picking.pick(places, "a", set(exclude), random.Random(1))
        return place and place.engine_id

    def test_the_least_loaded_is_picked(self):
        self.assertEqual(self.pick(a_place("e", own_in_flight=2), a_place("f")), "f")

    def test_what_was_told_fades(self):
        busy = a_place("e", reported_load=6.0)
        own = a_place("f", own_in_flight=1)
        self.assertEqual(self.pick(busy, own), "f")
        self.assertEqual(self.pick(busy._replace(report_age_s=1.0), own), "e")

    def test_a_suspect_is_picked_only_in_need(self):
        suspect = a_place("e", is_suspect=True)
        self.assertEqual(self.pick(suspect, a_place("f", own_in_flight=5)), "f")
        self.assertEqual(self.pick(suspect), "e")

    def test_nobody_is_met_twice(self):
        self.assertIsNone(self.pick(a_place("e"), exclude=["e"]))


class BurstTest(unittest.TestCase):
    """Thirty requests come within 25 ms while one of three endpoints works ten times
    slower than the others.

    Callers have 125 ms. Picked at random, a third of them queue behind the slow one;
    picked by what is under way, it gets only what it works off.
    """

    def in_time(self, choose):
        rng = random.Random(7)
        work_ms = {"slow": 200.0, "e": 20.0, "f": 20.0}
        free_ms = {name: [0.0] * 6 for name in work_ms}
        ends = {name: [] for name in work_ms}
        in_time = 0
        for number in range(30):
            now_ms = number * 0.8
            running = {n: sum(end > now_ms for end in ends[n]) for n in work_ms}
            name = choose(running, rng)
            slot = min(range(6), key=free_ms[name].__getitem__)
            end_ms = max(now_ms, free_ms[name][slot]) + work_ms[name]
            free_ms[name][slot] = end_ms
            ends[name].append(end_ms)
            in_time += end_ms - now_ms <= 125.0
        return in_time

    def test_fewer_callers_wait_than_with_a_random_choice(self):
        def by_load(running, rng):
            places = [a_place(n, own_in_flight=r) for n, r in running.items()]
            return picking.pick(places, "a", set(), rng).engine_id

        def at_random(running, rng):
            return rng.choice(list(running))

        self.assertGreater(self.in_time(by_load), self.in_time(at_random))
