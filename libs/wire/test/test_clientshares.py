import unittest

from hypothesis import given, strategies as st

from cherryrudder.wire import clientshares
from cherryrudder.wire.clientshares import (
    CONNECTION_BYTES,
    LARGE_SHARE,
    SMALL_BYTES,
    Bound,
    ClientShares,
)

KB = 1024
LIMIT_BYTES = 100 * 64 * KB
LARGE_BYTES = 32 * 64 * KB


class ClientSharesCase(unittest.TestCase):
    def setUp(self):
        self.shares = ClientShares(LIMIT_BYTES, 10)
        self.dropped = []

    def open(self, name, now_s=0.0):
        return clientshares.open_holding(
            self.shares, lambda bound: self.dropped.append((name, bound)), now_s
        )

    def hold(self, holding, size, now_s):
        return clientshares.hold(self.shares, holding, size, now_s)


class MemoryTest(ClientSharesCase):
    """Guards against clients that take a process's memory from others."""

    def test_the_one_that_has_held_most_for_longest_gives_way(self):
        old, new = self.open("old"), self.open("new", 5.0)
        self.assertTrue(self.hold(old, LARGE_BYTES, 1.0))
        self.assertTrue(self.hold(new, LARGE_BYTES, 6.0))
        last = self.open("last", 7.0)
        self.assertTrue(self.hold(last, LARGE_BYTES, 8.0))
        self.assertEqual(self.dropped, [("old", Bound.MEMORY)])

    def test_a_client_that_costs_most_gives_way_itself(self):
        old, new = self.open("old"), self.open("new", 5.0)
        self.assertTrue(self.hold(new, LARGE_BYTES, 6.0))
        self.assertTrue(self.hold(old, LARGE_BYTES, 6.0))
        self.assertFalse(self.hold(old, LARGE_BYTES, 7.0))
        self.assertEqual(self.dropped, [])

    def test_requests_that_are_served_are_not_dropped(self):
        """Guards against dropping what may have run."""
        for number in range(2):
            served = self.open(number)
            served.is_droppable = False
            self.assertTrue(self.hold(served, LARGE_BYTES, 1.0))
        self.assertFalse(self.hold(self.open("last", 9.0), LARGE_BYTES, 9.0))
        self.assertEqual(self.dropped, [])

    def test_small_clients_are_served_beside_large_ones(self):
        """Guards against large requests that leave no room for small ones."""
        held_bytes = 0
        while held_bytes + LARGE_BYTES < LARGE_SHARE * LIMIT_BYTES:
            served = self.open("served")
            served.is_droppable = False
            self.assertTrue(self.hold(served, LARGE_BYTES, 1.0))
            held_bytes += LARGE_BYTES + CONNECTION_BYTES
        self.assertFalse(self.hold(self.open("large", 2.0), LARGE_BYTES, 2.0))
        small = SMALL_BYTES - CONNECTION_BYTES
        self.assertTrue(self.hold(self.open("small", 2.0), small, 2.0))

    def test_a_dropped_client_may_hold_nothing_more(self):
        old, new = self.open("old"), self.open("new", 5.0)
        self.hold(old, LARGE_BYTES, 1.0)
        self.hold(new, LARGE_BYTES + LARGE_BYTES // 2, 6.0)
        self.assertEqual(self.dropped, [("old", Bound.MEMORY)])
        self.assertFalse(self.hold(old, 1, 7.0))

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 7),
                st.integers(-LARGE_BYTES, 2 * LARGE_BYTES),
                st.booleans(),
            ),
            max_size=60,
        )
    )
    def test_the_sum_is_never_beyond_the_bound(self, steps):
        """Guards against a count that drifts from what is held."""
        self.setUp()
        held = {}
        for now_s, (number, size, is_droppable) in enumerate(steps):
            if number not in held:
                if not clientshares.make_place(self.shares, now_s):
                    continue
                held[number] = self.open(number, now_s)
            holding = held[number]
            if size >= 0:
                holding.is_droppable = is_droppable
                self.hold(holding, size, now_s)
            else:
                clientshares.close_holding(self.shares, held.pop(number))
            most = LIMIT_BYTES + len(self.shares.holdings) * CONNECTION_BYTES
            self.assertLessEqual(self.shares.held_bytes, most)
            total = sum(one.held_bytes for one in self.shares.holdings)
            self.assertEqual(self.shares.held_bytes, total)


class ConnectionsTest(ClientSharesCase):
    """Guards against clients that take all connections and send nothing."""

    def test_the_oldest_gives_way_to_a_new_connection(self):
        for number in range(10):
            self.assertTrue(clientshares.make_place(self.shares, number))
            self.open(number, number)
        self.assertTrue(clientshares.make_place(self.shares, 20.0))
        self.assertEqual(self.dropped, [(0, Bound.CONNECTIONS)])

    def test_a_new_connection_has_no_place_among_served_ones(self):
        for number in range(10):
            self.open(number).is_droppable = False
        self.assertFalse(clientshares.make_place(self.shares, 20.0))
        self.assertEqual(self.dropped, [])


if __name__ == "__main__":
    unittest.main()
