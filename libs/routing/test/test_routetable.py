import unittest

from builders import a_configuration, a_route
from hypothesis import given, settings, strategies as st

from cherryrudder.routing.configuration import WeightedService
from cherryrudder.routing.routetable import RouteTable, pick_service

SEGMENT = st.sampled_from(["a", "b", "ab", ""])
PATHS = st.lists(SEGMENT, max_size=4).map(lambda parts: "/" + "/".join(parts))
PREFIXES = PATHS.map(lambda path: path if path.endswith("/") else path + "/")


def naive_route(routes, path):
    """Return the name of the longest prefix that begins the path."""
    found = [r for r in routes if path.startswith(r.path_prefix)]
    return max(found, key=lambda r: len(r.path_prefix), default=None)


class RouteTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.sets(PREFIXES, min_size=1, max_size=6), PATHS)
    def test_the_longest_prefix_wins_as_in_a_plain_search(self, prefixes, path):
        routes = [a_route(p, p) for p in sorted(prefixes)]
        table = RouteTable(a_configuration(*routes))
        expected = naive_route(routes, path)
        self.assertEqual(table.route("desk.example", path), expected)

    def test_host_goes_without_port_and_case(self):
        table = RouteTable(a_configuration())
        self.assertIsNotNone(table.route("Desk.Example:80", "/a/x?b=/c/"))
        self.assertIsNone(table.route("other.example", "/a/x"))
        self.assertIsNone(table.route("desk.example", "/ax"))

    def test_the_query_is_no_part_of_the_path(self):
        table = RouteTable(a_configuration())
        self.assertIsNone(table.route("desk.example", "/?/a/"))

    def test_keys_lead_to_their_account(self):
        table = RouteTable(a_configuration())
        self.assertEqual(table.account("key-2").name, "petra")
        self.assertIsNone(table.account("key-3"))


class SplitTest(unittest.TestCase):
    def test_a_split_follows_its_weights(self):
        route = a_route(
            split=(
                WeightedService("a", 90.0),
                WeightedService("b", 10.0),
                WeightedService("c", 0.0),
            )
        )
        drawn = [pick_service(route, n / 1000) for n in range(1000)]
        self.assertEqual((drawn.count("a"), drawn.count("b")), (900, 100))

    def test_the_end_of_the_range_never_falls_to_a_weight_of_nothing(self):
        route = a_route(split=(WeightedService("a", 1.0), WeightedService("b", 0.0)))
        self.assertEqual(pick_service(route, 1.0), "a")
