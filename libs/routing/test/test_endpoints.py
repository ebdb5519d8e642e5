import unittest

from builders import an_announcement
from hypothesis import given, settings, strategies as st

from cherryrudder.layers.profile import LayerRange
from cherryrudder.routing import endpoints
from cherryrudder.routing.endpoints import EndpointTable


def known(table, now_s=0.0):
    """Return the incarnations that may be used."""
    return {a.engine_id for a in endpoints.live(table, now_s)}


class HeartbeatTest(unittest.TestCase):
    def test_an_older_heartbeat_changes_nothing(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, an_announcement(number=4, layers=(0, 8)), 0.0)
        self.assertFalse(
            endpoints.record_heartbeat(table, an_announcement(number=2), 1.0)
        )
        self.assertEqual(endpoints.live(table, 1.0)[0].holding, (0, 8))

    def test_a_heartbeat_without_changes_is_not_forwarded(self):
        table = EndpointTable()
        self.assertTrue(
            endpoints.record_heartbeat(table, an_announcement(number=2), 0.0)
        )
        self.assertFalse(
            endpoints.record_heartbeat(table, an_announcement(number=4), 1.0)
        )
        self.assertTrue(
            endpoints.record_heartbeat(
                table, an_announcement(number=6, layers=(0, 8)), 2.0
            )
        )

    def test_an_endpoint_without_heartbeats_is_not_used(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, an_announcement(), 0.0)
        self.assertEqual(known(table, endpoints.LOST_AFTER_S), {"boot-1"})
        self.assertEqual(known(table, endpoints.LOST_AFTER_S + 0.1), set())


class LeavingTest(unittest.TestCase):
    """Guards against new requests to an endpoint that is about to end.

    A heartbeat from before its notice of leaving arrives after it. If that undid the
    notice, a request that must not be retried could be lost.
    """

    def test_a_late_heartbeat_does_not_undo_leaving(self):
        table = EndpointTable()
        endpoints.record_heartbeat(
            table, an_announcement(number=4, is_leaving=True), 0.0
        )
        endpoints.record_heartbeat(table, an_announcement(number=6), 0.5)
        self.assertFalse(endpoints.accepts_requests(endpoints.live(table, 0.5)[0]))

    def test_a_departure_that_overtook_the_first_heartbeat_counts(self):
        table = EndpointTable()
        endpoints.record_departure(table, "boot-1", 0.0)
        self.assertFalse(
            endpoints.record_heartbeat(table, an_announcement(number=2), 0.5)
        )
        self.assertEqual(known(table, 0.5), set())


class SignOffTest(unittest.TestCase):
    """Guards against treating an endpoint that signs off without draining as ended.

    It goes on serving for seconds. If it counted as ended, all its streams would be
    broken off at once, and their runs there would not be counted.
    """

    def sign_off(self, *tables, at_s=1.0):
        for table in tables:
            endpoints.sign_off(table, "boot-1", at_s)

    def test_it_is_there_without_new_work(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, an_announcement(number=2), 0.0)
        self.sign_off(table)
        self.assertEqual(known(table, 1.0), {"boot-1"})
        self.assertFalse(endpoints.accepts_requests(endpoints.live(table, 1.0)[0]))

    def test_draining_and_signing_off_end_it_in_either_order(self):
        draining = an_announcement(number=2, is_leaving=True)
        for number in (1, 2, 3):
            with self.subTest(number=number):
                table = EndpointTable()
                endpoints.record_heartbeat(table, an_announcement(number=2), 0.0)
                self.sign_off(table)
                endpoints.record_heartbeat(table, draining._replace(number=number), 1.1)
                self.assertEqual(known(table, 1.1), set())

    def test_a_process_that_does_not_know_it_does_not_end_it_for_others(self):
        """The notice goes to a control VM that has just started."""
        new, other = EndpointTable(), EndpointTable()
        endpoints.record_heartbeat(other, an_announcement(number=2), 0.0)
        self.sign_off(new)
        endpoints.merge(other, new.entries["boot-1"], 0.0, 1.0)
        self.assertEqual(known(other, 1.0), {"boot-1"})
        self.assertFalse(endpoints.accepts_requests(endpoints.live(other, 1.0)[0]))

    def test_a_sign_off_is_merged_into_tables_that_know_the_drain(self):
        first, second = EndpointTable(), EndpointTable()
        endpoints.record_heartbeat(first, an_announcement(number=2), 0.0)
        endpoints.record_heartbeat(
            second, an_announcement(number=2, is_leaving=True), 0.0
        )
        self.sign_off(first)
        endpoints.merge(second, first.entries["boot-1"], 0.0, 1.0)
        self.assertEqual(known(second, 1.0), set())
        endpoints.merge(first, second.entries["boot-1"], 0.0, 1.0)
        self.assertEqual(known(first, 1.0), set())


class NotifiedSendersTest(unittest.TestCase):
    """Guards against new requests to an engine that only its answers call leaving."""

    def setUp(self):
        self.table = EndpointTable()
        endpoints.record_heartbeat(self.table, an_announcement(number=2), 0.0)
        self.is_new = endpoints.record_leaving(self.table, "boot-1", 0.5)

    def accepts_requests(self):
        announcement = self.table.entries["boot-1"].announcement
        return endpoints.accepts_requests(announcement)

    def test_it_is_there_without_new_work(self):
        self.assertTrue(self.is_new)
        self.assertFalse(endpoints.record_leaving(self.table, "boot-1", 0.6))
        self.assertEqual(known(self.table, 1.0), {"boot-1"})
        self.assertFalse(self.accepts_requests())

    def test_a_heartbeat_that_reports_it_ready_changes_nothing(self):
        endpoints.record_heartbeat(self.table, an_announcement(number=4), 1.0)
        self.assertFalse(self.accepts_requests())

    def test_the_first_notice_after_that_does_not_end_it(self):
        endpoints.sign_off(self.table, "boot-1", 1.0)
        self.assertEqual(known(self.table, 1.0), {"boot-1"})

    def test_the_notice_is_merged_into_other_tables(self):
        other = EndpointTable()
        endpoints.record_heartbeat(other, an_announcement(number=6), 1.0)
        entry = self.table.entries["boot-1"]
        self.assertTrue(endpoints.merge(other, entry, 0.5, 1.0))
        self.assertFalse(
            endpoints.accepts_requests(other.entries["boot-1"].announcement)
        )

    def test_an_unknown_endpoint_is_ignored(self):
        self.assertFalse(endpoints.record_leaving(self.table, "boot-9", 0.5))


class AddressTest(unittest.TestCase):
    """Guards against using a crashed endpoint whose address another incarnation has.

    A delayed heartbeat of the first one arrives last. The address must belong to the
    live incarnation, at the latest after its next heartbeat.
    """

    def test_the_incarnation_of_the_last_heartbeat_has_the_address(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, an_announcement("old", number=2), 0.0)
        endpoints.record_heartbeat(table, an_announcement("new", number=2), 1.0)
        self.assertEqual(known(table, 1.0), {"new"})
        endpoints.record_heartbeat(table, an_announcement("old", number=4), 1.5)
        endpoints.record_heartbeat(table, an_announcement("new", number=4), 2.2)
        self.assertEqual(known(table, 2.2), {"new"})

    def test_the_end_of_the_later_one_does_not_bring_back_the_earlier_one(self):
        table = EndpointTable()
        old = an_announcement("old", 2, name="old", started_ms=100)
        new = an_announcement("new", 2, name="new", started_ms=200)
        endpoints.record_heartbeat(table, old, 0.0)
        endpoints.record_heartbeat(table, new, 1.0)
        endpoints.record_departure(table, "new", 1.5)
        self.assertEqual(known(table, 1.5), set())
        endpoints.record_heartbeat(table, old._replace(number=4), 2.0)
        self.assertEqual(known(table, 2.0), set())

    def test_without_start_times_the_last_sign_of_life_decides(self):
        table, merged = EndpointTable(), EndpointTable()
        endpoints.record_heartbeat(table, an_announcement("old", 2), 0.0)
        draining = an_announcement("new", 2, is_leaving=True)
        endpoints.record_heartbeat(table, draining, 1.0)
        endpoints.sign_off(table, "new", 1.5)
        for engine_id in ("new", "old"):
            entry = table.entries[engine_id]
            endpoints.merge(merged, entry, 2.0 - entry.last_seen_s, 2.0)
        for each in (table, merged):
            self.assertEqual(known(each, 2.0), set())
            endpoints.record_heartbeat(each, an_announcement("newest", 2), 2.5)
            self.assertEqual(known(each, 2.5), {"newest"})

    def test_an_endpoint_whose_clock_is_behind_may_reuse_the_address_later(self):
        table = EndpointTable()
        ended = an_announcement("a", name="a", started_ms=200)
        behind = an_announcement("b", name="b", started_ms=100)
        endpoints.record_heartbeat(table, ended, 0.0)
        endpoints.record_departure(table, "a", 1.0)
        behind_s = 1.1 + endpoints.LOST_AFTER_S
        merged = EndpointTable()
        endpoints.merge(merged, table.entries["a"], behind_s - 1.0, behind_s)
        for each in (table, merged):
            endpoints.record_heartbeat(each, behind, behind_s)
            self.assertEqual(known(each, behind_s), {"b"})


class RestartTest(unittest.TestCase):
    """Guards against mixing up two incarnations of an engine that restarts.

    It keeps its name, its heartbeats count from one again, and those of the earlier
    incarnation may be late. If both were one engine, the new incarnation would seem
    stale: it would stay unused, or seem to hold layers that it has lost.
    """

    def boot(self, started_ms, number, layers=None):
        return an_announcement(
            f"e@{started_ms}", number, layers, name="e", started_ms=started_ms
        )

    def test_the_new_incarnation_counts_although_its_numbers_are_lower(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, self.boot(100, 90, (0, 8)), 0.0)
        self.assertTrue(endpoints.record_heartbeat(table, self.boot(200, 1), 1.0))
        (live,) = endpoints.live(table, 1.0)
        self.assertEqual((live.engine_id, tuple(live.holding)), ("e@200", (0, 0)))

    def test_a_late_heartbeat_of_the_earlier_incarnation_is_ignored(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, self.boot(200, 1), 1.0)
        self.assertFalse(
            endpoints.record_heartbeat(table, self.boot(100, 91, (0, 8)), 1.5)
        )
        endpoints.record_heartbeat(table, self.boot(100, 92, (0, 8)), 1.6)
        self.assertEqual(known(table, 1.6), {"e@200"})

    def test_the_departure_of_the_earlier_incarnation_keeps_the_new_one(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, self.boot(100, 9), 0.0)
        endpoints.record_heartbeat(table, self.boot(200, 1), 1.0)
        endpoints.record_departure(table, "e@100", 1.5)
        self.assertEqual(known(table, 1.5), {"e@200"})
        self.assertEqual(endpoints.newest_incarnation(table, "e"), "e@200")

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.integers(1, 3), st.integers(1, 4), st.sampled_from("hd")),
            max_size=10,
        )
    )
    def test_any_history_ends_like_a_table_that_merged_the_true_state(self, events):
        """True state: the newest boot with a heartbeat, unless it has departed."""
        table = EndpointTable()
        for started_ms, number, kind in events:
            if kind == "d":
                endpoints.record_departure(table, f"e@{started_ms}", 0.0)
            else:
                endpoints.record_heartbeat(table, self.boot(started_ms, number), 0.0)
        announced = [e[0] for e in events if e[2] != "d"]
        departed = {e[0] for e in events if e[2] == "d"}
        newest = max(announced, default=None)
        is_there = newest is not None and newest not in departed
        self.assertEqual(known(table), {f"e@{newest}"} if is_there else set())


class ObservationTest(unittest.TestCase):
    def test_two_observations_between_heartbeats_both_count(self):
        """An engine drops its old layers, then has loaded the new ones.

        A table that merged the first observation must merge the second one, too.
        """
        table, reader = EndpointTable(), EndpointTable()
        endpoints.record_heartbeat(
            table, an_announcement(number=16, layers=(0, 8)), 0.0
        )
        for holding in (LayerRange(0, 0), LayerRange(8, 16)):
            endpoints.record_holding(table, "boot-1", holding, 0.3)
            endpoints.merge(reader, table.entries["boot-1"], 0.0, 0.3)
        self.assertEqual(endpoints.live(reader, 0.3)[0].holding, (8, 16))

    def test_an_observation_counts_until_the_next_heartbeat(self):
        table = EndpointTable()
        endpoints.record_heartbeat(table, an_announcement(number=16), 0.0)
        self.assertTrue(
            endpoints.record_holding(table, "boot-1", LayerRange(0, 8), 0.3)
        )
        endpoints.record_heartbeat(table, an_announcement(number=16), 0.4)
        self.assertEqual(endpoints.live(table, 0.4)[0].holding, (0, 8))
        endpoints.record_heartbeat(
            table, an_announcement(number=32, layers=(8, 16)), 1.2
        )
        self.assertEqual(endpoints.live(table, 1.2)[0].holding, (8, 16))


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["boot-1", "boot-2"]),
        st.integers(1, 5),
        st.sampled_from(["heartbeat", "leave", "depart"]),
    ),
    max_size=8,
)


def play(events):
    """Return a table after some events, all at the same time."""
    table = EndpointTable()
    for engine_id, number, kind in events:
        if kind == "depart":
            endpoints.record_departure(table, engine_id, 0.0)
        else:
            layers = (0, number)
            announcement = an_announcement(
                engine_id,
                2 * number,
                layers,
                address=engine_id,
                is_leaving=kind == "leave",
            )
            endpoints.record_heartbeat(table, announcement, 0.0)
    return table


def usable(table):
    """Return the endpoints that may get requests, with their layers."""
    live = endpoints.live(table, 0.0)
    return {(a.engine_id, a.holding) for a in live if endpoints.accepts_requests(a)}


class AnyOrderTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(EVENTS, st.randoms(use_true_random=False))
    def test_the_order_of_messages_does_not_matter(self, events, rng):
        # Two messages with the same number are the same message.
        events = list({(e[0], e[1], e[2] == "depart"): e for e in events}.values())
        shuffled = list(events)
        rng.shuffle(shuffled)
        left = usable(play(events))
        right = usable(play(shuffled))
        # Any notice that an endpoint leaves counts, whatever its number.
        self.assertEqual(
            {engine_id for engine_id, _ in left},
            {engine_id for engine_id, _ in right},
        )
        self.assertEqual(left, right)
