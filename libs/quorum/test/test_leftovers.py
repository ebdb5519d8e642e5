"""Tests of a second name of a file that an interrupted rename has left."""

import itertools
import random
import unittest

from builders import FOLDER, append_to, new_disk, save_snapshot
from fakedisk import FullFileSystem, PowerLoss

from cherryrudder.quorum.errors import DiskError
from cherryrudder.quorum.files import open_disk

NAMES = ("snapshot", "log")
# Changing operations of an opening, a snapshot and the replacement of the log.
OPERATIONS = 16
SEEDS = 6


class LeftoverTest(unittest.TestCase):
    """Guards against a write that destroys the file which it is about to replace."""

    def prepare(self, name):
        """Return a disk one of whose files has two names, and its content."""
        fake, disk = new_disk()
        append_to(disk, 1, 4)
        save_snapshot(disk, 2)
        append_to(disk, 5, 4)
        saved = disk.saved
        disk.close()
        fake.names[f"{name}.new"] = fake.names[name]
        fake.durable = dict(fake.names)
        return fake, saved

    def check(self, fake, before):
        opened = open_disk(FOLDER, "a", fake.filesystem())
        self.assertTrue(opened.is_ok(), opened)
        saved = opened.ok.saved
        self.assertIn(saved.snapshot.index, (before.snapshot.index, 7))
        kept = [entry for entry in before.entries if entry.index > saved.snapshot.index]
        self.assertEqual(list(saved.entries), kept)

    def test_a_failed_snapshot_keeps_the_disk(self):
        for name, full_at in itertools.product(NAMES, range(1, OPERATIONS + 1)):
            with self.subTest(name=name, full_at=full_at):
                fake, before = self.prepare(name)
                full = FullFileSystem(fake, full_at, 7)
                opened = open_disk(FOLDER, "a", full.filesystem())
                if opened.is_ok():
                    try:
                        save_snapshot(opened.ok, 7)
                    except DiskError:
                        pass
                    opened.ok.close()
                self.check(fake, before)

    def test_a_power_loss_in_a_snapshot_keeps_the_disk(self):
        for name, stop_at, seed in itertools.product(
            NAMES, range(1, OPERATIONS + 1), range(SEEDS)
        ):
            with self.subTest(name=name, stop_at=stop_at, seed=seed):
                fake, before = self.prepare(name)
                fake.power_loss_at = fake.operations + stop_at
                try:
                    save_snapshot(open_disk(FOLDER, "a", fake.filesystem()).ok, 7)
                except PowerLoss:
                    pass
                fake.crash(random.Random(seed))
                self.check(fake, before)


if __name__ == "__main__":
    unittest.main()
