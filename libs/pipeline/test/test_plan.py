"""Tests of the planning of chains."""

import unittest

from builders import LAYERS, an_announcement
from hypothesis import given, settings, strategies as st

from cherryrudder.pipeline.plan import cover

bounds = st.lists(st.integers(0, LAYERS), min_size=2, max_size=2, unique=True)


def has_cover(ranges, layer=0):
    """Return whether any chain of ranges covers the layers, by brute force."""
    return layer == LAYERS or any(
        has_cover(ranges, end) for first, end in ranges if first == layer
    )


class CoverTests(unittest.TestCase):
    @settings(derandomize=True, database=None, deadline=None)
    @given(st.lists(bounds.map(sorted), max_size=8))
    def test_cover_has_each_layer_once_and_in_order(self, ranges):
        announcements = [
            an_announcement(f"e{index}", *layers) for index, layers in enumerate(ranges)
        ]
        result = cover(announcements, LAYERS)
        self.assertEqual(has_cover(ranges), result.is_ok())
        if result.is_ok():
            held = [range(s.first_layer, s.end_layer) for s in result.ok]
            layers = [layer for part in held for layer in part]
            self.assertEqual(list(range(LAYERS)), layers)

    def test_errors_name_the_layers(self):
        hole = cover([an_announcement("a", 0, 2), an_announcement("b", 4, 6)], LAYERS)
        self.assertEqual("no endpoint holds layers 2 to 4 of 6", str(hole.error))
        overlap = cover(
            [an_announcement("a", 0, 3), an_announcement("b", 2, 6)], LAYERS
        )
        self.assertIn("overlap others: b (2-6)", str(overlap.error))

    def test_leaving_endpoint_is_not_planned(self):
        leaving = an_announcement("a", 0, 6, leaving=True)
        self.assertTrue(cover([leaving], LAYERS).is_error())
