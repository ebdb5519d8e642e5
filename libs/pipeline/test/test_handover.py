"""Tests of the hand-over at a planned stop, with one sidecar at a time."""

import unittest

from builders import a_start, a_step, sent

from cherryrudder.pipeline import handover, stage as sidecar
from cherryrudder.pipeline.effects import ExportKv, FreeKv, ImportKv
from cherryrudder.pipeline.messages import HandOver, KvTransfer, Resume, ResumeReply

HAND_OVER = HandOver("r1", 2, "replacement:1")
TRANSFER = KvTransfer(
    "r1", 2, 0, ("A", "B", "C", "D"), ("petra", "at", "dawn", "x"), "kv"
)


class StoppingStageTests(unittest.TestCase):
    def setUp(self):
        self.core = sidecar.StageCore()
        sidecar.receive(self.core, a_start()._replace(stage=1), 0.0)
        sidecar.receive(self.core, a_step(0, "a"), 0.0)

    def test_export_waits_for_the_compute_in_flight(self):
        self.assertEqual([], sidecar.receive(self.core, HAND_OVER, 0.0))
        effects = sidecar.computed(self.core, "r1", 0, ("A",), 0.0)
        self.assertEqual([ExportKv("r1")], effects)
        self.assertEqual([], sidecar.receive(self.core, HAND_OVER, 0.0))
        effects = handover.exported(self.core, "r1", "kv", 0.0)
        self.assertEqual([KvTransfer("r1", 2, 0, ("A",), (), "kv")], sent(effects))
        self.assertEqual(FreeKv("r1"), effects[-1])

    def test_failed_compute_sends_empty_kv_to_the_replacement(self):
        """A failure of the old stage's engine must not cause another replacement.

        The entry's plan already has the replacement in its place, and would remove it
        on a reported failure. The replacement receives an empty KV instead.
        """
        sidecar.receive(self.core, HAND_OVER, 0.0)
        effects = sidecar.compute_failed(self.core, "r1", 0, "no memory", 0.0)
        self.assertEqual([KvTransfer("r1", 2, 0, (), (), "")], sent(effects))


class ReplacementTests(unittest.TestCase):
    def setUp(self):
        self.core = sidecar.StageCore()
        resume = Resume(a_start()._replace(generation=2), awaits_kv=True)
        effects = sidecar.receive(self.core, resume, 0.0)
        self.assertEqual([ResumeReply("r1", 2, 0, 0, (), True)], sent(effects))

    def test_import_continues_at_the_old_position(self):
        effects = sidecar.receive(self.core, TRANSFER, 0.0)
        self.assertEqual([ImportKv("r1", "kv")], effects)
        self.assertEqual([], sidecar.receive(self.core, TRANSFER, 0.0))
        self.assertEqual(
            [], sidecar.receive(self.core, a_step(4, "y", generation=2), 0)
        )
        effects = handover.imported(self.core, "r1", True, 0.0)
        self.assertEqual([ResumeReply("r1", 2, 0, 4, ("x", "y"))], sent(effects))

    def test_failed_import_leaves_no_kv(self):
        sidecar.receive(self.core, TRANSFER, 0.0)
        effects = handover.imported(self.core, "r1", False, 0.0)
        self.assertEqual(FreeKv("r1"), effects[0])
        self.assertEqual([ResumeReply("r1", 2, 0, 0)], sent(effects))

    def test_wait_for_kv_times_out(self):
        self.assertEqual([], sidecar.tick(self.core, handover.KV_TIMEOUT_S - 0.1))
        effects = sidecar.tick(self.core, handover.KV_TIMEOUT_S)
        self.assertEqual([ResumeReply("r1", 2, 0, 0)], sent(effects))
