"""Tests of the replacement of a damaged data folder."""

import random
import unittest

from builders import (
    FOLDER,
    append_to,
    new_disk,
    save_snapshot,
)
from fakedisk import FullFileSystem, PowerLoss

from cherryrudder.quorum.errors import DiskUnavailable
from cherryrudder.quorum.files import open_disk, replace_disk


class ReplacementTest(unittest.TestCase):
    """Guards against a damaged founder that returns empty under its old disk id."""

    LAST_OPERATION = 14

    def damaged_disk(self, name):
        fake, disk = new_disk()
        append_to(disk, 1, 5)
        save_snapshot(disk, 3)
        append_to(disk, 6, 2)
        disk.close()
        for file in fake.names.values():
            file.sync()
        fake.names[name].data[-1] ^= 1
        fake.names[name].sync()
        return fake

    def check(self, fake):
        """Open the folder, replaced again if it's damaged: it is a new learner's."""
        self.assertIn("identity", fake.names)
        fs = fake.filesystem()
        opened = open_disk(FOLDER, "a", fs)
        if opened.is_error():
            self.assertNotIsInstance(opened.error, DiskUnavailable)
            self.assertTrue(replace_disk(FOLDER, "a", "10.0.0.1:1", fs).is_ok())
            opened = open_disk(FOLDER, "a", fs)
        saved = opened.ok.saved
        self.assertNotEqual(saved.identity.disk_id, "disk-a")
        self.assertEqual((saved.identity.voters, saved.identity.cluster), ((), ""))
        self.assertEqual((saved.entries, saved.snapshot, saved.term), ((), None, 0))

    def cases(self):
        for name in ("log", "snapshot", "identity"):
            for stop_at in range(1, self.LAST_OPERATION + 2):
                yield name, stop_at

    def test_a_replacement_whose_process_or_power_ends(self):
        """Guards against a folder without identity, which is created again."""
        for name, stop_at in self.cases():
            for seed in range(6):
                with self.subTest(name=name, stop_at=stop_at, seed=seed):
                    fake = self.damaged_disk(name)
                    fake.power_loss_at = fake.operations + stop_at
                    try:
                        replace_disk(FOLDER, "a", "10.0.0.1:1", fake.filesystem())
                        self.assertGreater(stop_at, self.LAST_OPERATION)
                    except PowerLoss:
                        self.assertLessEqual(stop_at, self.LAST_OPERATION)
                    if seed == 0:
                        fake.handles.clear()
                        fake.locked.clear()
                        fake.power_loss_at = None
                    else:
                        fake.crash(random.Random(seed))
                    self.check(fake)

    def test_a_replacement_whose_disk_is_full(self):
        """Guards against a folder without identity, which is created again."""
        for name, stop_at in self.cases():
            with self.subTest(name=name, stop_at=stop_at):
                fake = self.damaged_disk(name)
                full = FullFileSystem(fake, stop_at, 7).filesystem()
                done = replace_disk(FOLDER, "a", "10.0.0.1:1", full)
                self.assertEqual(done.is_ok(), stop_at > self.LAST_OPERATION)
                if done.is_error():
                    self.assertIsInstance(done.error, DiskUnavailable)
                self.assertEqual(len(fake.handles), 0)
                self.check(fake)

    def test_a_disk_in_use_is_not_replaced(self):
        """Guards against a living process whose disk another process wipes."""
        fake, disk = new_disk()
        before = bytes(fake.names["log"].data)
        replaced = replace_disk(FOLDER, "a", "10.0.0.1:1", fake.filesystem())
        self.assertIsInstance(replaced.error, DiskUnavailable)
        self.assertEqual(bytes(fake.names["log"].data), before)
        disk.close()


if __name__ == "__main__":
    unittest.main()
