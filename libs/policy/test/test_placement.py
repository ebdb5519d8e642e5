import unittest

from builders import a_fleet, an_engine
from hypothesis import given, settings, strategies as st

from cherryrudder.model.endpoints import Kind, Stop
from cherryrudder.policy import placement
from cherryrudder.policy.credits import Credits
from cherryrudder.policy.placement import Need

NEED = Need("briefing", "1", 100)


ACTIONS = st.sampled_from(["chain", "end", "fail", "list", "stop", "credits"])
STEPS = st.lists(st.tuples(ACTIONS, st.integers(0, 7), st.integers(0, 3)), max_size=60)


def names(chain):
    return [stage.endpoint for stage in chain.stages] if chain else None


class PlacementTest(unittest.TestCase):
    def test_chain_covers_each_layer_once_over_mixed_ranges(self):
        fleet = a_fleet(
            an_engine("a", layers=(0, 5)),
            an_engine("b", layers=(5, 8)),
            an_engine("c", layers=(3, 8)),
            an_engine("d", layers=(5, 7)),
        )
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.0)), ["a", "b"])
        none = NEED._replace(exclude=frozenset("b"))
        self.assertIsNone(placement.choose_chain(fleet, none, 0.0))

    def test_slowest_stage_and_links_decide(self):
        fleet = a_fleet(
            an_engine("near", tokens_per_s=200.0),
            an_engine("far", centre="bogota-1", tokens_per_s=202.0),
            an_engine("slow", tokens_per_s=20.0),
        )
        placement.links.set_measured(fleet.links, "amman-1", "bogota-1", 0.01)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.0)), ["near"])
        for _ in range(4):
            placement.began(fleet, "near", 0.0)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.0)), ["far"])

    def test_no_credits_no_work(self):
        fleet = a_fleet(an_engine("a"))
        placement.set_credits(fleet, Credits("a", 2, 1), 0.0)
        placement.set_credits(fleet, Credits("a", 1, 9), 0.0)
        placement.began(fleet, "a", 0.0)
        self.assertIsNone(placement.choose_chain(fleet, NEED, 0.0))
        placement.ended(fleet, "a", 10, 0.2, 0.2)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.2)), ["a"])

    def test_leaving_or_stopped_endpoint_gets_nothing_at_once(self):
        leaving = an_engine("a")._replace(leaving=True)
        fleet = a_fleet(leaving, an_engine("b"))
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.0)), ["b"])
        placement.set_stops(fleet, [Stop("s", "data_centre", "amman-1")], 0.0)
        self.assertIsNone(placement.choose_chain(fleet, NEED, 0.0))
        placement.set_stops(fleet, [], 0.0)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.0)), ["b"])

    def test_replacement_stage_and_service(self):
        service = an_engine("s", kind=Kind.SERVICE, service="filing")
        fleet = a_fleet(an_engine("a", layers=(0, 4)), an_engine("b"), service)
        stage = placement.choose_stage(fleet, NEED, 0, 4, 0.0)
        self.assertEqual(stage.endpoint, "a")
        found = placement.choose_service(fleet, "filing", (), 0.0)
        self.assertEqual(found.endpoint, "s")
        self.assertIsNone(placement.choose_service(fleet, "filing", {"s"}, 0.0))

    def test_restarted_endpoint_starts_from_nothing_in_flight(self):
        fleet = a_fleet(an_engine("a", slots=1))
        placement.began(fleet, "a", 0.0)
        placement.update(fleet, [an_engine("a", slots=1, incarnation="2")], 1.0)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 1.0)), ["a"])

    def test_prefix_stays_at_its_endpoint_until_the_load_bound(self):
        fleet = a_fleet(*(an_engine(f"g{n}", slots=20) for n in range(10)))
        need = NEED._replace(prefix="weather")
        placed = []
        for _ in range(100):
            placed += names(placement.choose_chain(fleet, need, 0.0))
            placement.began(fleet, placed[-1], 0.0)
        counts = sorted(placed.count(name) for name in set(placed))
        self.assertEqual(placed[0], placed[1])
        self.assertLessEqual(counts[-1], 13)

    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @given(st.integers(0, 999), STEPS)
    def test_any_chain_is_whole_and_within_credits(self, seed, steps):
        cuts = [(0, 4), (4, 8), (0, 8), (0, 3), (3, 8), (4, 6), (6, 8), (0, 4)]
        known = [an_engine(f"g{n}", layers=cut) for n, cut in enumerate(cuts)]
        fleet = a_fleet(*known, seed=seed)
        running, gone, now_s = [], set(), 0.0
        for number, (action, which, amount) in enumerate(steps, 1):
            now_s += 0.1
            name = f"g{which}"
            if action == "list":
                gone ^= {name}
                listed = [one for one in known if one.endpoint not in gone]
                placement.update(fleet, listed, now_s)
            elif action == "stop":
                stops = [Stop("s", "endpoint", name)] if amount else []
                placement.set_stops(fleet, stops, now_s)
            elif action == "credits":
                placement.set_credits(fleet, Credits(name, number, amount), now_s)
            elif action != "chain" and running:
                for done in running.pop():
                    if action == "end":
                        placement.ended(fleet, done, 10, 0.1, now_s)
                    else:
                        placement.failed(fleet, done, now_s)
            placement.review(fleet, now_s)
            chain = placement.choose_chain(fleet, NEED, now_s)
            if chain is None:
                continue
            cuts = [(stage.first_layer, stage.end_layer) for stage in chain.stages]
            layers = [layer for cut in cuts for layer in range(*cut)]
            self.assertEqual(layers, list(range(8)))
            for stage in chain.stages:
                member = fleet.members[stage.endpoint]
                self.assertLess(member.in_flight, member.credits)
                self.assertFalse(member.is_leaving or stage.endpoint in gone)
                placement.began(fleet, stage.endpoint, now_s)
            running.append([stage.endpoint for stage in chain.stages])
