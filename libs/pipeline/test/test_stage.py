"""Tests of the sidecar's state machine, with one stage at a time."""

import unittest

from builders import a_start, a_step, sent

from cherryrudder.pipeline import stage as sidecar, stagetable
from cherryrudder.pipeline.effects import Compute, FreeKv
from cherryrudder.pipeline.messages import (
    GAP,
    NO_ROOM,
    OLD_GENERATION,
    Ack,
    Continue,
    Free,
    Resume,
    ResumeReply,
    Step,
    Token,
)


def computes(effects):
    return [(e.position, e.inputs) for e in effects if isinstance(e, Compute)]


class MiddleStageTests(unittest.TestCase):
    def setUp(self):
        self.core = sidecar.StageCore()
        self.start = a_start()._replace(stage=1)
        self.receive(self.start)

    def receive(self, message, now_s=0.0):
        return sidecar.receive(self.core, message, now_s)

    def computed(self, position, *outputs):
        return sidecar.computed(self.core, "r1", position, outputs, 0.0)

    def test_steps_wait_for_the_compute_in_flight(self):
        self.assertEqual([(0, ("a",))], computes(self.receive(a_step(0, "a"))))
        self.assertEqual([], self.receive(a_step(1, "b")))
        self.assertEqual([], self.receive(a_step(2, "c")))
        effects = self.computed(0, "A")
        self.assertEqual([a_step(0, "A")], sent(effects))
        self.assertEqual([(1, ("b", "c"))], computes(effects))
        self.assertEqual([], self.computed(0, "A"))

    def test_repeats_are_dropped_and_gaps_refused(self):
        """Duplicated and missing frames don't corrupt the text.

        A copy of a step adds nothing, an overlapping step adds only its new part, and a
        step past the expected position is refused with that position.
        """
        self.receive(a_step(0, "a"))
        self.assertEqual([], self.receive(a_step(0, "a")))
        self.receive(a_step(0, "a", "b"))
        refused = sent(self.receive(a_step(3, "d")))[0]
        self.assertEqual((GAP, 2), (refused.code, refused.next_position))
        self.assertEqual([(1, ("b",))], computes(self.computed(0, "A")))
        again = self.receive(refused._replace(stage=2, next_position=0))
        self.assertEqual([a_step(0, "A")], sent(again))

    def test_an_old_generation_is_refused(self):
        """A stage that was frozen while it was replaced can't send steps to the chain.

        Its step of an old generation is refused, and it stops sending. Without a
        message from the entry it frees the request after ORPHAN_TIMEOUT_S.
        """
        self.receive(Resume(self.start._replace(generation=2)))
        refused = sent(self.receive(a_step(0, "a")))[0]
        self.receive(Continue("r1", 1, 0))
        self.assertIsNone(self.core.requests["r1"].send_next)
        old = sent(self.receive(Resume(self.start)))[0]
        self.assertEqual(OLD_GENERATION, old.code)
        self.assertEqual([], self.receive(a_step(0, "a", generation=3)))
        self.assertEqual((OLD_GENERATION, 2), (refused.code, refused.generation))
        replaced = sidecar.StageCore()
        sidecar.receive(replaced, self.start._replace(stage=0), 0.0)
        sidecar.receive(replaced, refused, 0.0)
        self.assertEqual([], sent(sidecar.computed(replaced, "r1", 0, "abc", 0.0)))
        effects = sidecar.tick(replaced, stagetable.ORPHAN_TIMEOUT_S)
        self.assertEqual([FreeKv("r1")], effects)

    def test_resume_keeps_the_compute_in_flight(self):
        """A compute in flight is neither lost nor repeated by a resume.

        The stage replies at once that it is running, so that a long prompt isn't
        mistaken for a dead stage, and again with the final position. Outputs that the
        next stage already has are not sent again.
        """
        self.receive(a_step(0, "a", "b"))
        self.receive(a_step(2, "of the old plan"))
        resume = Resume(self.start._replace(generation=2))
        first = sent(self.receive(resume))[0]
        self.assertEqual(ResumeReply("r1", 2, 1, 0, (), True), first)
        final = sent(self.computed(0, "A", "B"))
        self.assertEqual([ResumeReply("r1", 2, 1, 2)], final)
        effects = self.receive(Continue("r1", 2, 1))
        self.assertEqual([a_step(1, "B", generation=2)], sent(effects))
        effects = self.receive(a_step(2, "c", generation=2))
        self.assertEqual([(2, ("c",))], computes(effects))

    def test_a_failed_compute_frees_the_kv(self):
        self.receive(a_step(0, "a"))
        effects = sidecar.compute_failed(self.core, "r1", 0, "out of memory", 0.0)
        self.assertEqual(1, sent(effects)[0].stage)
        self.assertIn(FreeKv("r1"), effects)
        self.assertEqual({}, self.core.requests)

    def test_a_freed_request_stays_freed(self):
        """Late messages and results don't reopen a cancelled request.

        The engine was computing when the entry freed the request. The result is
        discarded and the KV it may have created is freed before a newer generation
        computes. A duplicated start is ignored.
        """
        self.receive(a_step(0, "a"))
        self.assertEqual([FreeKv("r1")], self.receive(Free("r1")))
        self.assertEqual([], self.receive(self.start))
        self.assertEqual([], self.receive(a_step(1, "b")))
        self.assertEqual([], self.core.early)
        self.receive(Resume(self.start._replace(generation=2)))
        self.assertEqual([], self.receive(a_step(0, "a", generation=2)))
        effects = self.computed(0, "A")
        self.assertEqual(FreeKv("r1"), effects[0])
        self.assertEqual([(0, ("a",))], computes(effects))
        self.computed(0, "A")
        self.receive(Free("r1"))
        sidecar.tick(self.core, stagetable.TOMBSTONE_S)
        held = (self.core.requests, self.core.early, self.core.tombstones)
        self.assertEqual(({}, [], {}), held)

    def test_requests_of_a_dead_entry_are_freed(self):
        """The engine's KV is freed when the entry of its request is lost.

        The link to the entry breaks and no message of the request follows within
        ORPHAN_TIMEOUT_S. An entry that reconnects in time keeps its requests.
        """
        sidecar.link_lost(self.core, self.start.entry, 1.0)
        self.receive(Ack("r1", 1), 2.0)
        self.assertEqual([], sidecar.tick(self.core, 15.0))
        sidecar.link_lost(self.core, self.start.entry, 15.0)
        self.assertEqual([FreeKv("r1")], sidecar.tick(self.core, 25.0))


class BoundsTests(unittest.TestCase):
    def test_early_steps_are_kept_within_bounds(self):
        core = sidecar.StageCore()
        start = a_start()._replace(stage=1)
        sidecar.receive(core, a_step(0, "a"), 0.0)
        effects = sidecar.receive(core, start, 1.0)
        self.assertEqual([(0, ("a",))], computes(effects))
        for number in range(2 * stagetable.MAX_EARLY):
            sidecar.receive(core, Step(f"other{number}", 1, 0, ("a",)), 1.0)
        self.assertEqual(stagetable.MAX_EARLY, len(core.early))
        sidecar.tick(core, 1.0 + stagetable.EARLY_TIMEOUT_S)
        self.assertEqual([], core.early)
        sidecar.receive(core, Step("r2", 1, 0, ("a" * 2**26, "a")), 9.0)
        self.assertEqual([], core.early)

    def test_request_is_refused_when_full(self):
        core = sidecar.StageCore(max_requests=1)
        sidecar.receive(core, a_start("r1"), 0.0)
        effects = sidecar.receive(core, a_start("r2"), 0.0)
        self.assertEqual(NO_ROOM, sent(effects)[0].code)


class LastStageTests(unittest.TestCase):
    def test_full_window_withholds_the_next_input(self):
        """A caller that stops reading stops only its own chain.

        Tokens are still sent to the entry, but stage 0's next input is withheld until
        the caller has taken enough of them.
        """
        core = sidecar.StageCore()
        start = a_start(window=1)._replace(stage=2)
        sidecar.receive(core, start, 0.0)
        sidecar.receive(core, a_step(0, "x", "y", "z"), 0.0)
        effects = sidecar.computed(core, "r1", 0, ("i", "j", "k"), 0.0)
        self.assertEqual([Token("r1", 1, 0, ("k",), False)], sent(effects, Token))
        self.assertEqual([a_step(3, "k")], sent(effects, Step))
        sidecar.receive(core, a_step(3, "k"), 0.0)
        effects = sidecar.computed(core, "r1", 3, ("l",), 0.0)
        self.assertEqual([Token("r1", 1, 1, ("l",), False)], sent(effects))
        effects = sidecar.receive(core, Ack("r1", 1), 0.0)
        self.assertEqual([a_step(4, "l")], sent(effects))
