"""Tests of orders and the fence in front of them."""

import unittest

from cherryrudder.fakes.orders import FenceCheck, Loaded, Order, apply_order

LOADED = Loaded("briefing", "1", ("tours",))


class OrderTest(unittest.TestCase):
    def test_each_order_changes_what_it_names(self):
        cases = {
            Order(1, "load-model", model="dispatch"): Loaded("dispatch", "1"),
            Order(1, "load-version", version="2"): Loaded("briefing", "2"),
            Order(1, "load-adapter", adapter="b"): LOADED._replace(
                adapters=("tours", "b")
            ),
            Order(1, "role", role="decode"): LOADED._replace(role="decode"),
        }
        for order, expected in cases.items():
            self.assertEqual(apply_order(FenceCheck(True), LOADED, order).ok, expected)

    def test_an_incomplete_or_unknown_order_is_refused(self):
        for order in (Order(1, "load-model"), Order(1, "dance", model="briefing")):
            self.assertTrue(apply_order(FenceCheck(False), LOADED, order).is_error())

    def test_only_an_engine_that_checks_refuses_an_old_fence(self):
        """A role order with fence 4 is held up and arrives after one with fence 5.

        The engine that checks refuses it and stays what the newer order made it; the
        other one follows it, which is why somebody else has to hold it back.
        """
        for checks, role in ((True, "decode"), (False, "prefill")):
            gate = FenceCheck(checks)
            loaded = apply_order(gate, LOADED, Order(5, "role", role="decode")).ok
            late = apply_order(gate, loaded, Order(4, "role", role="prefill"))
            self.assertEqual(late.default_value(loaded).role, role)
            resent = apply_order(gate, loaded, Order(5, "role", role="decode"))
            self.assertTrue(resent.is_ok())
