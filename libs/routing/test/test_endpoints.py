import unittest

from builders import an_announcement
from hypothesis import given, settings, strategies as st

from cherryrudder.layers.profile import Holding
from cherryrudder.routing import endpoints
from cherryrudder.routing.endpoints import EndpointTable


def known(table, now_s=0.0):
    """Return the boots that may be used."""
    return {a.engine_id for a in endpoints.live(table, now_s)}


class HearTest(unittest.TestCase):
    def test_an_older_heartbeat_changes_nothing(self):
        table = EndpointTable()
        endpoints.hear(table, an_announcement(number=4, layers=(0, 8)), 0.0)
        self.assertFalse(endpoints.hear(table, an_announcement(number=2), 1.0))
        self.assertEqual(endpoints.live(table, 1.0)[0].holding, (0, 8))

    def test_a_bare_sign_of_life_is_no_news(self):
        table = EndpointTable()
        self.assertTrue(endpoints.hear(table, an_announcement(number=2), 0.0))
        self.assertFalse(endpoints.hear(table, an_announcement(number=4), 1.0))
        self.assertTrue(
            endpoints.hear(table, an_announcement(number=6, layers=(0, 8)), 2.0)
        )

    def test_silence_ends_an_endpoint(self):
        table = EndpointTable()
        endpoints.hear(table, an_announcement(), 0.0)
        self.assertEqual(known(table, endpoints.LOST_AFTER_S), {"boot-1"})
        self.assertEqual(known(table, endpoints.LOST_AFTER_S + 0.1), set())


class LeavingTest(unittest.TestCase):
    """An endpoint says that it leaves; its earlier heartbeat arrives after that.

    Were the late heartbeat believed, entries would send new work to an endpoint that
    is about to end, and a call that may not be repeated would be lost with it.
    """

    def test_a_late_heartbeat_does_not_take_leaving_back(self):
        table = EndpointTable()
        endpoints.hear(table, an_announcement(number=4, is_leaving=True), 0.0)
        endpoints.hear(table, an_announcement(number=6), 0.5)
        self.assertFalse(endpoints.may_take_work(endpoints.live(table, 0.5)[0]))

    def test_a_departure_that_overtook_the_first_heartbeat_counts(self):
        table = EndpointTable()
        endpoints.depart(table, "boot-1", 0.0)
        self.assertFalse(endpoints.hear(table, an_announcement(number=2), 0.5))
        self.assertEqual(known(table, 0.5), set())


class AddressTest(unittest.TestCase):
    """An endpoint crashes, and another boot takes its address.

    A heartbeat of the first one, held up by a cut, arrives last. The address must lead
    to the boot that lives, at the latest with its next heartbeat.
    """

    def test_the_boot_heard_last_has_the_address(self):
        table = EndpointTable()
        endpoints.hear(table, an_announcement("old", number=2), 0.0)
        endpoints.hear(table, an_announcement("new", number=2), 1.0)
        self.assertEqual(known(table, 1.0), {"new"})
        endpoints.hear(table, an_announcement("old", number=4), 1.5)
        endpoints.hear(table, an_announcement("new", number=4), 2.2)
        self.assertEqual(known(table, 2.2), {"new"})


class ObserveTest(unittest.TestCase):
    def test_two_looks_between_heartbeats_both_count(self):
        """An engine gives its old layers up, then has loaded the new ones.

        A reader that took the first look must take the second one, too.
        """
        table, reader = EndpointTable(), EndpointTable()
        endpoints.hear(table, an_announcement(number=16, layers=(0, 8)), 0.0)
        for holding in (Holding(0, 0), Holding(8, 16)):
            endpoints.observe(table, "boot-1", holding, 0.3)
            endpoints.merge(reader, table.entries["boot-1"], 0.0, 0.3)
        self.assertEqual(endpoints.live(reader, 0.3)[0].holding, (8, 16))

    def test_what_a_leader_saw_stands_until_the_next_word(self):
        table = EndpointTable()
        endpoints.hear(table, an_announcement(number=16), 0.0)
        self.assertTrue(endpoints.observe(table, "boot-1", Holding(0, 8), 0.3))
        endpoints.hear(table, an_announcement(number=16), 0.4)
        self.assertEqual(endpoints.live(table, 0.4)[0].holding, (0, 8))
        endpoints.hear(table, an_announcement(number=32, layers=(8, 16)), 1.2)
        self.assertEqual(endpoints.live(table, 1.2)[0].holding, (8, 16))


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["boot-1", "boot-2"]),
        st.integers(1, 5),
        st.sampled_from(["hear", "leave", "depart"]),
    ),
    max_size=8,
)


def play(events):
    """Return a table after events, all at the same time."""
    table = EndpointTable()
    for engine_id, number, kind in events:
        if kind == "depart":
            endpoints.depart(table, engine_id, 0.0)
        else:
            layers = (0, number)
            heard = an_announcement(
                engine_id,
                2 * number,
                layers,
                address=engine_id,
                is_leaving=kind == "leave",
            )
            endpoints.hear(table, heard, 0.0)
    return table


def usable(table):
    """Return the endpoints that may get work, with what they hold."""
    live = endpoints.live(table, 0.0)
    return {(a.engine_id, a.holding) for a in live if endpoints.may_take_work(a)}


class AnyOrderTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(EVENTS, st.randoms(use_true_random=False))
    def test_the_order_of_news_does_not_matter(self, events, rng):
        # Two messages with one number are the same message.
        events = list({(e[0], e[1], e[2] == "depart"): e for e in events}.values())
        shuffled = list(events)
        rng.shuffle(shuffled)
        left = usable(play(events))
        right = usable(play(shuffled))
        # Leaving is learned from any of the messages, whatever its number.
        self.assertEqual(
            {engine_id for engine_id, _ in left},
            {engine_id for engine_id, _ in right},
        )
        self.assertEqual(left, right)
