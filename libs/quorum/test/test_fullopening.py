"""Tests of openings of a disk that is full, or that loses power meanwhile."""

import itertools
import random
import unittest

import test_files
from builders import FOLDER, append_to, new_disk, save_snapshot
from fakedisk import PowerLoss
from fakespace import FullDisk

from cherryrudder.quorum.errors import DiskError, DiskUnavailable
from cherryrudder.quorum.files import open_disk

WRITES = 16
KEPT_BYTES = (0, 7, 60, 90, 200)
# The replacement of a log that conflicts with a new snapshot.
CONFLICT_WRITE = 12


class FullOpeningTest(unittest.TestCase):
    def run_until_full(self, full_at, kept_bytes):
        """Work until a write finds no space; return what was answered."""
        work = test_files.PowerLossTest()
        fake, disk = new_disk()
        answered = [disk.saved]
        disk.close()
        full = FullDisk(fake, full_at, kept_bytes)
        disk = open_disk(FOLDER, "a", full.filesystem()).ok
        try:
            work.work(disk, answered)
        except DiskError:
            pass
        disk.close()
        self.assertGreaterEqual(full.writes, full_at)
        return fake, full, answered + work.expected(answered)

    def test_a_log_that_needs_no_space_opens_on_a_full_disk(self):
        """Guards against a voter that can't even read while its disk is full."""
        for kept_bytes, full_at in itertools.product(KEPT_BYTES, range(1, WRITES + 1)):
            with self.subTest(kept_bytes=kept_bytes, full_at=full_at):
                fake, full, allowed = self.run_until_full(full_at, kept_bytes)
                opened = open_disk(FOLDER, "a", full.filesystem())
                if full_at == CONFLICT_WRITE and opened.is_error():
                    self.assertIsInstance(opened.error, DiskUnavailable)
                    opened = open_disk(FOLDER, "a", fake.filesystem())
                self.assertTrue(opened.is_ok(), opened)
                self.assertIn(opened.ok.saved, allowed[-2:])

    def test_what_a_full_disk_opens_with_survives_a_power_loss(self):
        """Guards against answering for records that only the page cache holds."""
        for kept_bytes, full_at in itertools.product(KEPT_BYTES, range(1, WRITES + 1)):
            for seed in range(6):
                with self.subTest(kept_bytes=kept_bytes, full_at=full_at, seed=seed):
                    fake, full, _ = self.run_until_full(full_at, kept_bytes)
                    opened = open_disk(FOLDER, "a", full.filesystem())
                    if opened.is_error():
                        continue
                    saved = opened.ok.saved
                    fake.crash(random.Random(seed))
                    again = open_disk(FOLDER, "a", fake.filesystem())
                    self.assertTrue(again.is_ok(), again)
                    self.assertEqual(again.ok.saved, saved)


class InterruptedOpeningTest(unittest.TestCase):
    OPERATIONS = 8

    def test_a_power_loss_at_each_step_of_an_opening_loses_nothing(self):
        """Guards against an opening that damages records which were accepted."""
        work = test_files.FullDiskTest()
        for full_at, stop_at, seed in itertools.product(
            range(1, 45), range(1, self.OPERATIONS + 1), range(4)
        ):
            with self.subTest(full_at=full_at, stop_at=stop_at, seed=seed):
                fake, _, allowed = work.run_until_full(full_at, 1 << 20, True)
                fake.power_loss_at = fake.operations + stop_at
                before = None
                try:
                    disk = open_disk(FOLDER, "a", fake.filesystem()).ok
                    before = disk.saved
                    append_to(disk, disk._log.last_index + 1, 2, 6)
                except PowerLoss:
                    pass
                fake.crash(random.Random(seed))
                opened = open_disk(FOLDER, "a", fake.filesystem())
                self.assertTrue(opened.is_ok(), opened)
                after = opened.ok.saved
                if before is None:
                    self.assertIn(after, allowed[-2:])
                else:
                    kept = len(before.entries)
                    self.assertEqual(after.entries[:kept], before.entries)
                    self.assertIn(len(after.entries), (kept, kept + 2))

    def test_a_log_that_was_not_replaced_takes_entries_and_snapshots(self):
        """The process ended between a snapshot and the replacement of the log."""
        for truncate_from, seed in itertools.product((None, 7), range(4)):
            with self.subTest(truncate_from=truncate_from, seed=seed):
                fake, disk = new_disk()
                append_to(disk, 1, 8)
                log, synced = fake.names["log"], fake.names["synced"]
                save_snapshot(disk, 5)
                disk.close()
                fake.names.update(log=log, synced=synced)
                disk = open_disk(FOLDER, "a", fake.filesystem()).ok
                self.assertEqual([e.index for e in disk.saved.entries], [6, 7, 8])
                first = truncate_from or 9
                append_to(disk, first, 3, 2, truncate_from)
                self.check_power_loss(fake, disk, seed)
                disk = open_disk(FOLDER, "a", fake.filesystem()).ok
                save_snapshot(disk, first, 2)
                append_to(disk, first + 3, 1, 2)
                self.check_power_loss(fake, disk, seed)

    def check_power_loss(self, fake, disk, seed):
        saved = disk.saved
        fake.crash(random.Random(seed))
        opened = open_disk(FOLDER, "a", fake.filesystem())
        self.assertEqual(opened.ok.saved, saved)
        opened.ok.close()


if __name__ == "__main__":
    unittest.main()
