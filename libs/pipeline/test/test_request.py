"""Tests of the entry's state machine, mostly over whole simulated chains."""

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
    """Return a condition that holds from its call number `count + 1` on."""
    left = iter(range(count))
    return lambda: next(left, None) is None


def begin(until=None, seed=None, **options):
    """Return a world with one request, run until a condition holds."""
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
    """Yield a request after each number of events, with each of its stages."""
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
        """The text is complete when any stage is killed after any event.

        The entry finds another endpoint for the range. The other stages keep their KV
        and run each position once.
        """
        for world, start, lost in each_moment():
            world.kill(lost)
            text = finish(world)
            self.assertEqual({}, world.failures)
            self.assertEqual(oracle(start), text)
            self.assertEqual([], world.repeated_runs())
            self.assertEqual(0.0, world.now_s, "recovery waited for a timeout")
            for address in {stage.address for stage in start.stages} - {lost}:
                # 3 prompt and 5 generated tokens, 2 layers, no repeats.
                self.assertEqual(16, world.nodes[address].engine.run_counts.total())

    def test_text_is_complete_when_two_stages_are_killed(self):
        """The text is complete when a second stage is killed near the first.

        It dies before, during or after the resume that the first loss starts, which
        then has to start over with another generation.
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
        """Frames lost with a broken link between two stages are sent again at once.

        Both stages report the broken link to the entry, which starts a resume, without
        a timeout and without recomputing anything.
        """
        for world, start, address in each_moment():
            addresses = [stage.address for stage in start.stages]
            world.break_link(address, addresses[addresses.index(address) - 1])
            self.assertEqual(oracle(start), finish(world))
            self.assertEqual(0.0, world.now_s)
            self.assertEqual([], world.repeated_runs())

    def test_frozen_stage_is_replaced(self):
        """A stage that freezes without a broken link is replaced.

        After the stall timeout the entry queries every stage and replaces the one that
        doesn't answer. When it runs again, its messages are refused.
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
        """A planned stop in the middle of a request doesn't repeat any compute.

        The stage finishes its compute and its KV moves to another endpoint, which
        continues from there. Together they run each position once.
        """
        for world, start, address in each_moment():
            world.call_entry("r1", entry.stage_leaving, address)
            self.assertEqual(oracle(start), finish(world))
            runs = [node.engine.run_counts.total() for node in world.nodes.values()]
            self.assertEqual(48, sum(runs))
            world.run()
            self.assertEqual([], world.remaining())

    def test_text_is_complete_when_a_hand_over_fails(self):
        """The text is complete although the KV is lost in a hand-over.

        The export fails, the import fails, or the stopping stage dies. The replacement
        then starts empty and is rebuilt from the outputs that its neighbour keeps.
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
        """The KV of every stage matches the text when engines sample differently.

        Stage 0 and the last stage die together after the last one sent stage 0 a token
        that never reached the entry. The new last stage samples another token, but the
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
            ahead += any(rebuilds for _, rebuilds, _, _ in middle.run_counts)
        self.assertGreater(ahead, 0, "no stage ran a lost token in any run")

    def test_unreachable_stage_is_replaced(self):
        """A stage that no longer receives another stage's frames is replaced.

        Both stages still answer the entry, so neither times out. The stage is replaced
        when it lags behind what was sent to it in two resumes in a row.
        """
        for pair in ((0, 1), (1, 2), (2, 0)):
            world, start = begin(until=after(20))
            world.lossy_links.add(tuple(start.stages[i].address for i in pair))
            self.assertEqual(oracle(start), finish(world))
            self.assertLess(world.now_s, 8.0)

    def test_stage_without_kept_outputs_is_rebuilt(self):
        """The text is complete although a stage dropped outputs at its memory limit.

        The stage before the killed one no longer keeps the outputs that the new one
        needs, so it is rebuilt too, from the outputs of the stage before it.
        """
        world, start = begin(until=after(25), max_kept_bytes=20)
        world.kill(start.stages[2].address)
        self.assertEqual(oracle(start), finish(world))
        self.assertEqual(0.0, world.now_s)

    def test_duplicated_step_is_dropped(self):
        """The text is correct although a link duplicates a frame.

        The naive sidecar treats the second copy as the next token: its KV contains the
        token twice, and every later token of the text differs.
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
        entry.replace(self.core, a_stage("replacement", 2, 4), 1.0)
        for stage in range(3):
            effects = entry.receive(self.core, ResumeReply("r1", 2, stage, 3), 1.0)
        self.assertIn(SendTo("s1a:1", Free("r1")), effects)

    def test_stage_that_does_not_fit_fails_the_request(self):
        entry.stage_lost(self.core, "s1a", 1.0)
        effects = entry.replace(self.core, a_stage("wide", 1, 4), 1.0)
        self.assertIsInstance(effects[0], Fail)
        self.assertIn("layers 1 to 4", effects[0].message)

    def test_token_of_an_old_generation_is_dropped(self):
        """The caller receives no token of a replaced stage.

        The last stage is partitioned and replaced. Tokens that the old one still sends
        may differ from those that the new one samples.
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
        """A caller that stops reading doesn't start a resume.

        The window is full, so no token is due. Repeated resumes would use up the
        request's generations.
        """
        self.core.tokens = ["a"] * self.core.start.window
        self.assertEqual([], entry.tick(self.core, 1000.0))
        entry.record_consumed(self.core, 1, 1000.0)
        self.assertEqual([], entry.tick(self.core, 1001.0))
        self.assertEqual(3, len(entry.tick(self.core, 1003.0)))
        # A new last stage must receive the count that the caller has taken.
        for stage in range(3):
            held = ResumeReply("r1", 2, stage, 3)
            effects = entry.receive(self.core, held, 1003.0)
        self.assertEqual(Ack("r1", 1), effects[-1].message)
