"""Tests of the entry's part, over whole chains."""

import random
import unittest

from builders import (
    ENTRY,
    NaiveStages,
    World,
    a_fleet,
    a_stage,
    a_start,
    oracle,
)

from cherryrudder.pipeline import request as entry, stage as sidecar
from cherryrudder.pipeline.effects import ExportKv, Fail, ImportKv, NeedStage, SendTo
from cherryrudder.pipeline.messages import Ack, Free, ResumeReply, StageFailed, Token


def after(count):
    """Return a condition that holds once it was asked `count` times."""
    left = iter(range(count))
    return lambda: next(left, None) is None


def begin(until=None, seed=None, **options):
    """Return a world with one request, at a moment of its run."""
    rng = None if seed is None else random.Random(seed)
    world = World(**options)
    start = a_start(stages=options.get("fleet", a_fleet(1))[:3])
    world.begin(start)
    world.run(until=until or (lambda: world.finished), rng=rng)
    return world, start


def finish(world):
    world.run(until=lambda: world.finished)
    return world.texts["r1"]


def each_moment(every=1):
    """Give a request after each number of events, with each of its stages."""
    for stage in range(3):
        for when in range(0, 60, every):
            world, start = begin(until=after(when), seed=when)
            if not world.finished:
                yield world, start, start.stages[stage].address


class WholeChainTests(unittest.TestCase):
    def test_text_equals_that_of_a_single_process(self):
        for ranges in (((0, 6),), ((0, 1), (1, 6)), ((0, 2), (2, 4), (4, 6))):
            world, start = begin(fleet=a_fleet(1, ranges))
            world.run()
            self.assertEqual(oracle(start), world.texts["r1"])
            self.assertEqual([], world.remaining())

    def test_text_is_complete_when_a_stage_is_killed(self):
        """The caller sees the whole text although a stage dies and loses its KV.

        At every single event of the request, each stage in turn is killed. The entry
        finds another endpoint for the range and the others keep what they computed:
        they run each position once, in one life of their KV.
        """
        for world, start, lost in each_moment():
            world.kill(lost)
            text = finish(world)
            self.assertEqual({}, world.failures)
            self.assertEqual(oracle(start), text)
            self.assertEqual([], world.repeated_runs())
            self.assertEqual(0.0, world.now_s, "the recovery waited for a timeout")
            for address in {stage.address for stage in start.stages} - {lost}:
                # 3 prompt tokens and 5 fed back, 2 layers, none again.
                self.assertEqual(16, world.nodes[address].engine.run_counts.total())

    def test_text_is_complete_when_two_stages_are_killed(self):
        """The caller sees the whole text although two stages die, near each other.

        The second dies after the first and before, during or after the round in which
        the entry asks what is held; then another generation begins.
        """
        for when in range(0, 48, 4):
            for later in range(0, 16, 2):
                world, start = begin(until=after(when))
                world.kill(start.stages[when // 4 % 3].address)
                world.run(until=after(later))
                world.kill(start.stages[(when // 4 + 1) % 3].address)
                with self.subTest(when=when, later=later):
                    self.assertEqual(oracle(start), finish(world))
                    self.assertEqual([], world.repeated_runs())

    def test_broken_link_recovers_without_timeout(self):
        """The caller's text goes on at once although a link lost its frames.

        Both stages are well and tell the entry; it asks what each holds and has the
        lost outputs sent again, without a timeout and without computing them anew.
        """
        for world, start, address in each_moment():
            addresses = [stage.address for stage in start.stages]
            world.break_link(address, addresses[addresses.index(address) - 1])
            self.assertEqual(oracle(start), finish(world))
            self.assertEqual(0.0, world.now_s)
            self.assertEqual([], world.repeated_runs())

    def test_frozen_stage_is_replaced(self):
        """The caller's text goes on although a stage stops without a sign.

        No link breaks; the entry sees no token for the stall time, asks every stage
        and takes the one that doesn't answer for lost. Thawed, it is refused.
        """
        for world, start, address in each_moment(every=3):
            node = world.nodes[address]
            node.frozen = True
            world.run(until=lambda world=world: len(world.texts["r1"]) > 4)
            node.frozen = False
            world.run(rng=random.Random(1))
            self.assertEqual(oracle(start), world.texts["r1"])
            self.assertEqual([], world.repeated_runs())
            self.assertEqual([], world.remaining())

    def test_planned_stop_recomputes_nothing(self):
        """The caller's text is whole although a stage stops in the middle of it.

        The stage finishes its compute and its KV moves to another endpoint, which goes
        on where it ended: between them they run each position once.
        """
        for world, start, address in each_moment():
            world.call_entry("r1", entry.stage_leaving, address)
            self.assertEqual(oracle(start), finish(world))
            runs = [node.engine.run_counts.total() for node in world.nodes.values()]
            self.assertEqual(48, sum(runs))
            world.run()
            self.assertEqual([], world.remaining())

    def test_text_is_complete_when_a_hand_over_fails(self):
        """The caller's text is whole although the KV never arrives.

        The export fails, the import fails, or the stage dies in between; the new
        stage then holds nothing and is rebuilt from what its neighbour keeps.
        """
        for fault in (ExportKv, ImportKv, None):
            world, start = begin(until=after(20))
            leaving = start.stages[1].address
            world.call_entry("r1", entry.stage_leaving, leaving)
            if fault:
                world.run(
                    until=lambda world=world, kind=fault: world.node_running(kind)
                )
                world.finish_job(world.node_running(fault), fails=True)
            else:
                world.kill(leaving, silently=True)
            self.assertEqual(oracle(start), finish(world))
            self.assertEqual([], world.repeated_runs())

    def test_stage_that_ran_a_lost_token_starts_over(self):
        """The caller's text is one that a single process could have written.

        Stage 0 and the last stage die together after the last one fed back a token
        that the entry never got. The new last stage samples another token, and the
        stage between has run the old one, so it has to start over.
        """
        ahead = 0
        for when in range(60):
            world, start = begin(until=after(when), varied=True)
            last, first = start.stages[2].address, start.stages[0].address
            if link := world.links.get((last, ENTRY)):
                link.clear()
            world.run(until=after(when % 7 + 3))
            world.kill(last)
            world.kill(first)
            finish(world)
            with self.subTest(when=when):
                self.assertEqual(6, len(world.texts["r1"]))
                self.assertEqual([], world.wrong_kv)
            middle = world.nodes[start.stages[1].address].engine
            ahead += any(life for _, life, _, _ in middle.run_counts)
        self.assertGreater(ahead, 0, "the case did not arise")

    def test_unreachable_stage_is_replaced(self):
        """The caller's text goes on although two stages lost sight of each other.

        Both answer the entry, so no one is silent. The second round in which the same
        stage is behind what was sent to it gives that stage up.
        """
        for pair in ((0, 1), (1, 2), (2, 0)):
            world, start = begin(until=after(20))
            world.lossy_links.add(tuple(start.stages[i].address for i in pair))
            self.assertEqual(oracle(start), finish(world))
            self.assertLess(world.now_s, 8.0)

    def test_stage_without_kept_outputs_is_rebuilt(self):
        """The caller sees the whole text although a stage ran out of memory.

        The stage before the killed one no longer keeps what the new one needs, so it
        is rebuilt too, from what the stage before it keeps.
        """
        world, start = begin(until=after(25), max_kept_bytes=20)
        world.kill(start.stages[2].address)
        self.assertEqual(oracle(start), finish(world))
        self.assertEqual(0.0, world.now_s)

    def test_duplicated_step_is_dropped(self):
        """The caller's text is right although a link doubles a frame.

        The naive sidecar takes the second copy for the next token: its KV has the
        token twice and every later token of the text is another one.
        """
        texts = {}
        for stages in (sidecar, NaiveStages()):
            world, start = begin(until=after(0), stages=stages)
            link = (start.stages[0].address, start.stages[1].address)
            world.run(until=lambda world=world, link=link: world.links.get(link))
            world.links[link].append(world.links[link][0])
            texts[type(stages)] = finish(world)
        self.assertEqual(oracle(start), texts[type(sidecar)])
        self.assertNotEqual(oracle(start), texts[NaiveStages])


class EntryTests(unittest.TestCase):
    def setUp(self):
        self.core = entry.RequestCore(a_start())
        entry.begin(self.core, 0.0)

    def test_lost_range_is_split_over_two_endpoints(self):
        needs = entry.stage_lost(self.core, "s1a", 1.0)
        self.assertIn(NeedStage(2, 4, ("s1a",)), needs)
        rest = entry.replace(self.core, a_stage("new1", 2, 3), 1.0)
        self.assertEqual([NeedStage(3, 4, ("s1a",))], rest)
        self.assertEqual(rest, entry.needs(self.core))
        self.assertEqual([], entry.replace(self.core, a_stage("late", 0, 2), 1.0))
        entry.replace(self.core, a_stage("new2", 3, 4), 1.0)
        names = [stage.endpoint for stage in self.core.plan]
        self.assertEqual(["s0a", "new1", "new2", "s2a"], names)

    def test_replaced_stage_is_freed(self):
        needs = entry.stage_leaving(self.core, "s1a", 1.0)
        self.assertEqual([NeedStage(2, 4, ("s1a",))], needs)
        entry.replace(self.core, a_stage("heir", 2, 4), 1.0)
        for stage in range(3):
            effects = entry.receive(self.core, ResumeReply("r1", 2, stage, 3), 1.0)
        self.assertIn(SendTo("s1a:1", Free("r1")), effects)

    def test_stage_that_does_not_fit_fails_the_request(self):
        entry.stage_lost(self.core, "s1a", 1.0)
        effects = entry.replace(self.core, a_stage("wide", 1, 4), 1.0)
        self.assertIsInstance(effects[0], Fail)
        self.assertIn("layers 1 to 4", effects[0].message)

    def test_token_of_an_old_generation_is_dropped(self):
        """The caller gets no token of a stage that was given up.

        The last stage is cut off and another takes its place. What the old one still
        sends may differ from what the new one samples.
        """
        entry.stage_lost(self.core, "s2a", 1.0)
        entry.replace(self.core, a_stage("new", 4, 6), 1.0)
        token = Token("r1", 1, 0, ("late",), False)
        self.assertEqual([], entry.receive(self.core, token, 1.0))

    def test_second_failure_refers_to_the_old_plan(self):
        entry.stage_lost(self.core, "s0a", 1.0)
        failed = StageFailed("r1", 1, 1, "out of memory")
        needs = entry.receive(self.core, failed, 1.0)
        self.assertIn(NeedStage(2, 4, ("s0a", "s1a")), needs)

    def test_slow_caller_is_not_a_stall(self):
        """A caller that stops reading is not taken for a lost stage.

        The window is full, so the chain rightly makes no token; asking the stages
        again and again would use up the request's generations.
        """
        self.core.tokens = ["a"] * self.core.start.window
        self.assertEqual([], entry.tick(self.core, 1000.0))
        entry.record_consumed(self.core, 1, 1000.0)
        self.assertEqual([], entry.tick(self.core, 1001.0))
        self.assertEqual(3, len(entry.tick(self.core, 1003.0)))
        # A new last stage must learn what the caller has taken.
        for stage in range(3):
            held = ResumeReply("r1", 2, stage, 3)
            effects = entry.receive(self.core, held, 1003.0)
        self.assertEqual(Ack("r1", 1), effects[-1].message)
