"""Tests of the entry's part, over whole chains."""

import random
import unittest

from builders import World, a_fleet, a_start, oracle


class WholeChainTests(unittest.TestCase):
    def test_the_text_is_that_of_a_single_process(self):
        for ranges in (((0, 6),), ((0, 1), (1, 6)), ((0, 2), (2, 4), (4, 6))):
            fleet = a_fleet(1, ranges)
            world = World(fleet)
            start = a_start(stages=fleet)
            world.begin(start)
            world.run(until=lambda world=world: world.finished)
            world.run(until=lambda world=world: not world.ready())
            self.assertEqual(oracle(start), world.texts["r1"])
            self.assertEqual([], world.leftovers())

    def test_a_stage_killed_anywhere(self):
        """The caller sees the whole text although a stage dies and loses its KV.

        At every single event of the request, each stage in turn is killed. The entry
        finds another endpoint for the range and the others keep what they computed.
        """
        for stage in range(3):
            for when in range(60):
                world = World()
                start = a_start()
                world.begin(start)
                world.run(until=_after(when))
                world.kill(start.stages[stage].address)
                world.run(until=lambda world=world: world.finished)
                with self.subTest(stage=stage, when=when):
                    self.assertEqual({}, world.failures)
                    self.assertEqual(oracle(start), world.texts["r1"])
                    self.assertEqual([], world.runs_twice())

    def test_a_stage_that_falls_silent(self):
        """The caller's text goes on although a stage stops without a sign.

        No link breaks; the entry sees no token for the stall time, asks every stage
        and takes the one that doesn't answer for lost. Thawed, it is refused.
        """
        for stage in range(3):
            for when in range(0, 60, 3):
                world = World()
                start = a_start()
                world.begin(start)
                world.run(until=_after(when))
                node = world.nodes[start.stages[stage].address]
                node.frozen = True
                world.run(until=lambda world=world: len(world.texts["r1"]) > 4)
                node.frozen = False
                world.run(rng=random.Random(when))
                with self.subTest(stage=stage, when=when):
                    self.assertEqual(oracle(start), world.texts["r1"])
                    self.assertEqual([], world.runs_twice())
                    self.assertEqual([], world.leftovers())


def _after(count):
    left = iter(range(count))
    return lambda: next(left, None) is None


if __name__ == "__main__":
    unittest.main()
