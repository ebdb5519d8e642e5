"""Tests of orders and their fencing numbers."""

import unittest

from cherryrudder.fakes.orders import FenceCheck, Loaded, Order, apply_order

LOADED = Loaded("briefing", "1", ("tours",))


class OrderTest(unittest.TestCase):
    def test_each_order_changes_its_field(self):
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

    def test_incomplete_or_unknown_order_is_refused(self):
        for order in (Order(1, "load-model"), Order(1, "dance", model="briefing")):
            self.assertTrue(apply_order(FenceCheck(False), LOADED, order).is_error())

    def test_only_an_engine_that_checks_fences_refuses_an_old_one(self):
        """A delayed role order with fence 4 arrives after one with fence 5.

        An engine that checks refuses it and keeps the newer role. Another engine
        applies it, so the sender must prevent late orders to such engines.
        """
        for checks, role in ((True, "decode"), (False, "prefill")):
            fence_check = FenceCheck(checks)
            loaded = apply_order(
                fence_check, LOADED, Order(5, "role", role="decode")
            ).ok
            late = apply_order(fence_check, loaded, Order(4, "role", role="prefill"))
            self.assertEqual(late.default_value(loaded).role, role)
            resent = apply_order(fence_check, loaded, Order(5, "role", role="decode"))
            self.assertTrue(resent.is_ok())
