import unittest

from builders import a_configuration, a_route
from hypothesis import given, settings, strategies as st

from cherryrudder.routing.configuration import WeightedService
from cherryrudder.routing.routetable import RouteTable, pick_service

SEGMENT = st.sampled_from(["a", "b", "ab", ""])
PATHS = st.lists(SEGMENT, max_size=4).map(lambda parts: "/" + "/".join(parts))
PREFIXES = PATHS.map(lambda path: path if path.endswith("/") else path + "/")


def naive_route(routes, path):
    """Return the route with the longest prefix of the path."""
    found = [r for r in routes if path.startswith(r.path_prefix)]
    return max(found, key=lambda r: len(r.path_prefix), default=None)


class RouteTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.sets(PREFIXES, min_size=1, max_size=6), PATHS)
    def test_the_longest_prefix_wins_as_in_a_linear_search(self, prefixes, path):
        routes = [a_route(p, p) for p in sorted(prefixes)]
        table = RouteTable(a_configuration(*routes))
        expected = naive_route(routes, path)
        self.assertEqual(table.route("desk.example", path), expected)

    def test_port_and_case_of_the_host_are_ignored(self):
        table = RouteTable(a_configuration())
        self.assertIsNotNone(table.route("Desk.Example:80", "/a/x?b=/c/"))
        self.assertIsNone(table.route("other.example", "/a/x"))
        self.assertIsNone(table.route("desk.example", "/ax"))

    def test_equivalent_hosts_and_paths_lead_to_the_same_route(self):
        """Guards against a 404 for another spelling of a route's host or prefix."""
        table = RouteTable(a_configuration(a_route("r", "/mu~/", host="h.example")))
        for host in ("h.example.", "H.Example.:80"):
            self.assertIsNotNone(table.route(host, "/mu~/x"))
        for path in ("/%6du~/x", "/%6D%75%7e/x", "/mu%7E/%2F"):
            self.assertIsNotNone(table.route("h.example", path))
        for path in ("/mu~%2Fx", "/mu~%2f/x", "/%256du~/x", "/mu~%"):
            self.assertIsNone(table.route("h.example", path))

    def test_the_port_of_an_ipv6_host_is_ignored(self):
        table = RouteTable(a_configuration(a_route("r", "/a/", host="[::1]")))
        self.assertIsNotNone(table.route("[::1]:8227", "/a/x"))
        self.assertIsNone(table.route("[::2]", "/a/x"))

    def test_the_query_is_not_part_of_the_path(self):
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

    def test_the_end_of_the_range_never_selects_a_weight_of_0(self):
        route = a_route(split=(WeightedService("a", 1.0), WeightedService("b", 0.0)))
        self.assertEqual(pick_service(route, 1.0), "a")
