import unittest

from builders import a_fleet, an_engine

from cherryrudder.model.endpoints import Kind, Stop
from cherryrudder.policy import placement
from cherryrudder.policy.credits import Credits
from cherryrudder.policy.placement import Need

NEED = Need("briefing", "1", 100)


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
            placement.record_start(fleet, "near", 0.0)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.0)), ["far"])

    def test_no_credits_no_work(self):
        fleet = a_fleet(an_engine("a"))
        placement.set_credits(fleet, Credits("a", 2, 1), 0.0)
        placement.set_credits(fleet, Credits("a", 1, 9), 0.0)
        placement.record_start(fleet, "a", 0.0)
        self.assertIsNone(placement.choose_chain(fleet, NEED, 0.0))
        placement.record_success(fleet, "a", 10, 0.2, 0.2)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 0.2)), ["a"])

    def test_endpoint_that_is_cut_off_gets_nothing_until_it_grants_again(self):
        """An endpoint dies; it stays announced for the rest of its lease.

        Its broken link takes its credits, whether or not it had granted any yet. A
        link that only broke is made good by the next grant.
        """
        fleet = a_fleet(an_engine("e1"))
        need = Need("briefing", "1")
        self.assertIsNotNone(placement.choose_stage(fleet, need, 0, 8, 0.0))
        placement.revoke_credits(fleet, "e1", 0.1)
        placement.update(fleet, [an_engine("e1")], 0.2)
        self.assertIsNone(placement.choose_stage(fleet, need, 0, 8, 0.2))
        placement.set_credits(fleet, Credits("e1", 2, 4), 0.3)
        self.assertIsNotNone(placement.choose_stage(fleet, need, 0, 8, 0.3))

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
        placement.record_start(fleet, "a", 0.0)
        placement.update(fleet, [an_engine("a", slots=1, incarnation="2")], 1.0)
        self.assertEqual(names(placement.choose_chain(fleet, NEED, 1.0)), ["a"])

    def test_prefix_stays_at_its_endpoint_until_the_load_bound(self):
        fleet = a_fleet(*(an_engine(f"g{n}", slots=20) for n in range(10)))
        need = NEED._replace(prefix="weather")
        placed = []
        for _ in range(100):
            placed += names(placement.choose_chain(fleet, need, 0.0))
            placement.record_start(fleet, placed[-1], 0.0)
        counts = sorted(placed.count(name) for name in set(placed))
        self.assertEqual(placed[0], placed[1])
        self.assertLessEqual(counts[-1], 13)
