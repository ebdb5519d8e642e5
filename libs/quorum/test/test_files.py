"""Tests of the data folder: power loss, damage, and folders that must not open."""

import errno
import itertools
import random
import tempfile
import unittest
from pathlib import Path

from builders import (
    FOLDER,
    append_to,
    make_voters,
    new_disk,
    save_snapshot,
)
from fakedisk import FakeDisk, FullFileSystem, PowerLoss, failing_once

from cherryrudder.quorum.errors import DiskError, DiskUnavailable
from cherryrudder.quorum.events import Persist
from cherryrudder.quorum.files import init_disk, join_disk, open_disk


class CreationTest(unittest.TestCase):
    def test_creation_is_explicit_and_happens_once(self):
        """A missing or empty folder is never opened as a new voter.

        Otherwise a mount that is missing after a restart would look like a new disk.
        """
        with tempfile.TemporaryDirectory() as folder:
            self.assertIn("no identity", str(open_disk(folder, "a").error))
            self.assertFalse(Path(folder, "absent").exists())
            voters = make_voters(3)
            identity = init_disk(folder, "a", "10.0.0.1:1", voters).ok
            self.assertEqual(identity.disk_id, "disk-a")
            again = init_disk(folder, "a", "10.0.0.1:1", voters)
            self.assertIn("not empty", str(again.error))
            self.assertIn("not empty", str(join_disk(folder, "a", "").error))
            self.assertIn("not of b", str(open_disk(folder, "b").error))

    def test_second_process_cannot_open_the_folder(self):
        """Two daemons on one folder would overwrite each other's records."""
        with tempfile.TemporaryDirectory() as folder:
            join_disk(folder, "a", "10.0.0.1:1")
            disk = open_disk(folder, "a").ok
            self.assertIn("in use", str(open_disk(folder, "a").error))
            disk.close()
            open_disk(folder, "a").ok.close()

    def test_real_folder_keeps_the_saved_state(self):
        with tempfile.TemporaryDirectory() as folder:
            init_disk(folder, "a", "10.0.0.1:1")
            disk = open_disk(folder, "a").ok
            append_to(disk, 1, 10)
            save_snapshot(disk, 6)
            append_to(disk, 8, 3, truncate_from=8)
            saved = disk.saved
            disk.close()
            opened = open_disk(folder, "a").ok
            self.assertEqual(opened.saved, saved)
            self.assertEqual([e.index for e in saved.entries], [7, 8, 9, 10])
            opened.close()


class DamageTest(unittest.TestCase):
    def setUp(self):
        self.fake, self.disk = new_disk()
        for index in range(1, 6):
            append_to(self.disk, index, 1)
        self.log = self.fake.names["log"]
        self.before = bytes(self.log.data)

    def reopen(self):
        self.fake.crash(random.Random(1))
        return open_disk(FOLDER, "a", self.fake.filesystem())

    def test_torn_tail_is_dropped(self):
        """A power loss during a write leaves part of an unacknowledged record.

        For each length of that part the voter starts with the synced records, and its
        next write is read back.
        """
        for kept in range(0, 80, 7):
            with self.subTest(kept=kept):
                fake, disk = new_disk()
                append_to(disk, 1, 5)
                log = fake.names["log"]
                size = len(log.data)
                fake.power_loss_at = fake.operations + 1
                with self.assertRaises(PowerLoss):
                    append_to(disk, 6, 2, term=2)
                self.assertGreater(len(log.data), size + kept)
                del log.data[size + kept :]
                log.sync()
                fake.crash(random.Random(1))
                disk = open_disk(FOLDER, "a", fake.filesystem()).ok
                self.assertEqual(len(disk.saved.entries), 5)
                append_to(disk, 6, 1)
                fake.crash(random.Random(1))
                disk = open_disk(FOLDER, "a", fake.filesystem()).ok
                self.assertEqual(len(disk.saved.entries), 6)

    def test_damage_before_the_tail_prevents_opening(self):
        """A voter with a damaged record before accepted ones doesn't start.

        Truncating there would undo accepted entries; the error names the offset.
        """
        middle = len(self.before) // 2
        self.log.data[middle] ^= 1
        self.log.sync()
        error = str(self.reopen().error)
        self.assertRegex(error, r"data/log: damaged at offset \d+, before an intact")

    def test_damage_to_the_last_synced_record_prevents_opening(self):
        """Damage to the last record, which was synced and answered, is no torn tail.

        A changed byte and a truncated end are both detected, since the synced size is
        stored next to the log.
        """
        for change in (lambda d: d[:-1] + b"?", lambda d: d[:-3], lambda d: d[:-90]):
            self.log.data = bytearray(change(self.before))
            self.log.sync()
            self.fake.names["synced"].sync()
            self.assertIn("though synced up to", str(self.reopen().error))

    def test_damaged_snapshot_or_identity_prevents_opening(self):
        save_snapshot(self.disk, 3)
        for name in ("snapshot", "identity"):
            file = self.fake.names[name]
            file.data[-1] ^= 1
            file.sync()
            self.assertIn(f"data/{name}: damaged", str(self.reopen().error))
            file.data[-1] ^= 1
            file.sync()

    def test_lost_snapshot_prevents_opening(self):
        """Without its snapshot a compacted log lacks the entries before its base."""
        save_snapshot(self.disk, 3)
        del self.fake.names["snapshot"], self.fake.durable["snapshot"]
        self.assertIn("the log begins after 3", str(self.reopen().error))


class PowerLossTest(unittest.TestCase):
    def test_power_loss_at_every_operation(self):
        """All acknowledged writes survive a power loss at any disk operation.

        Power fails at each write, sync, rename and folder sync in turn. Unsynced writes
        are then lost, kept, reordered or torn. The run covers appends, a truncation,
        snapshots with and without a log tail, and dropping a torn tail.
        """
        for sync in (True, False):
            with self.subTest(sync=sync):
                failures = [
                    (power_loss_at, seed)
                    for seed in range(6)
                    for power_loss_at in range(1, 60)
                    if not self.survives(power_loss_at, seed, sync)
                ]
                # The naive version doesn't sync, and loses acknowledged writes.
                self.assertEqual(bool(failures), not sync, failures)

    def survives(self, power_loss_at, seed, sync):
        rng = random.Random(seed)
        fake, disk = new_disk(sync)
        fake.power_loss_at = fake.operations + power_loss_at
        answered = [disk.saved]
        try:
            self.work(disk, answered)
        except PowerLoss:
            pass
        fake.crash(rng)
        # Power may fail a second time while the folder is opened.
        fake.power_loss_at = fake.operations + 1 + seed % 3
        try:
            opened = open_disk(FOLDER, "a", fake.filesystem())
        except PowerLoss:
            fake.crash(rng)
            opened = open_disk(FOLDER, "a", fake.filesystem())
        if opened.is_error():
            return False
        # The last operation may have taken effect without being acknowledged.
        return opened.ok.saved in answered[-2:] + self.expected(answered)

    def work(self, disk, answered):
        for step in self.steps():
            step(disk)
            answered.append(disk.saved)

    def steps(self):
        return (
            lambda disk: append_to(disk, 1, 4),
            lambda disk: append_to(disk, 5, 4, term=2),
            lambda disk: append_to(disk, 7, 3, term=3, truncate_from=7),
            lambda disk: save_snapshot(disk, 5, term=2),
            lambda disk: append_to(disk, 10, 2, term=3),
            lambda disk: save_snapshot(disk, 20, term=4),
            lambda disk: append_to(disk, 21, 2, term=5),
            lambda disk: disk.persist(Persist(1, 6, "disk-b", ())),
        )

    def expected(self, answered):
        """Return the disk's content if the step in progress took effect."""
        _, disk = new_disk()
        done = len(answered)
        for step in self.steps()[:done]:
            step(disk)
        return [disk.saved]


class SnapshotTest(unittest.TestCase):
    def test_log_tail_is_kept_only_if_it_follows_the_snapshot(self):
        """A voter opens no log that mixes two leaders' entries (see test_replication).

        Power may fail before the entries after the snapshot are truncated.
        """
        for term, count in ((1, 3), (2, 0)):
            fake, disk = new_disk()
            append_to(disk, 1, 8)
            save_snapshot(disk, 5, term)
            fake.crash(random.Random(1))
            saved = open_disk(FOLDER, "a", fake.filesystem()).ok.saved
            self.assertEqual(len(saved.entries), count)


class FailedWriteTest(unittest.TestCase):
    def test_failed_sync_makes_the_disk_unusable(self):
        """After a failed fsync every write fails, even if the next fsync succeeds.

        The operating system may have dropped the data, and reports the failure once.
        """
        fake, disk = new_disk()

        def fail(fd):
            raise OSError("input/output error")

        disk._file._fs = fake.filesystem()._replace(sync=fail)
        with self.assertRaisesRegex(Exception, "input/output error"):
            append_to(disk, 1, 1)
        disk._file._fs = fake.filesystem()
        with self.assertRaisesRegex(Exception, "an earlier write failed"):
            append_to(disk, 1, 1)


class FullDiskTest(unittest.TestCase):
    def run_until_full(self, full_at, kept_bytes, forgets=False):
        """Work until an operation finds the disk full; return what was answered."""
        fake, disk = new_disk()
        answered = [disk.saved]
        full = FullFileSystem(fake, full_at, kept_bytes, forgets)
        disk.close()
        opened = open_disk(FOLDER, "a", full.filesystem())
        if opened.is_error():
            self.assertIsInstance(opened.error, DiskUnavailable)
            return fake, full, answered
        disk = opened.ok
        work = PowerLossTest()
        try:
            work.work(disk, answered)
        except DiskError:
            pass
        disk.close()
        return fake, full, answered + work.expected(answered)

    def test_a_disk_that_was_full_opens_with_what_was_accepted(self):
        """Guards against a full disk that is taken for a damaged one, and wiped."""
        for kept_bytes in (0, 7, 90, 1 << 20):
            for full_at in range(1, 45):
                with self.subTest(kept_bytes=kept_bytes, full_at=full_at):
                    fake, _, allowed = self.run_until_full(full_at, kept_bytes)
                    opened = open_disk(FOLDER, "a", fake.filesystem())
                    self.assertTrue(opened.is_ok(), opened)
                    self.assertIn(opened.ok.saved, allowed[-2:])

    def test_opening_a_full_disk_leaves_no_file_open(self):
        """Guards against a voter that uses up descriptors while its disk is full."""
        for full_at in range(1, 45):
            with self.subTest(full_at=full_at):
                fake, full, _ = self.run_until_full(full_at, 7)
                self.assertEqual(len(fake.handles), 0)
                opened = open_disk(FOLDER, "a", full.filesystem())
                if opened.is_ok():
                    opened.ok.close()
                self.assertEqual(len(fake.handles), 0)

    def test_an_opening_that_fails_anywhere_leaves_no_file_open(self):
        """Guards against a voter that uses up descriptors while its disk is full."""
        for full_at in range(1, 45):
            for fails_at in itertools.count(1):
                with self.subTest(full_at=full_at, fails_at=fails_at):
                    fake, _, _ = self.run_until_full(full_at, 7)
                    fs = failing_once(fake.filesystem(), fails_at)
                    opened = open_disk(FOLDER, "a", fs)
                    if opened.is_ok():
                        opened.ok.close()
                    self.assertEqual(len(fake.handles), 0)
                if opened.is_ok():
                    break

    def test_what_an_opening_reads_survives_a_power_loss(self):
        """Guards against a voter that answers for what only the page cache has."""
        for full_at in range(1, 45):
            for seed in range(8):
                for votes in (False, True):
                    with self.subTest(full_at=full_at, seed=seed, votes=votes):
                        fake, _, allowed = self.run_until_full(full_at, 1 << 20, True)
                        disk = open_disk(FOLDER, "a", fake.filesystem()).ok
                        self.assertIn(disk.saved, allowed[-2:])
                        self.check_power_loss(fake, disk, votes, seed)

    def test_a_creation_whose_last_sync_failed_survives_a_power_loss(self):
        """Guards against a founder that votes and is created a second time."""
        for seed in range(8):
            with self.subTest(seed=seed):
                fake = FakeDisk()
                # The tenth operation is the sync of the folder after the second file.
                full = FullFileSystem(fake, 10, 1 << 20, True).filesystem()
                voters = make_voters(1)
                created = init_disk(FOLDER, "a", "10.0.0.1:1", voters, full)
                self.assertIsInstance(created.error, DiskUnavailable)
                disk = open_disk(FOLDER, "a", fake.filesystem()).ok
                self.check_power_loss(fake, disk, True, seed)

    def check_power_loss(self, fake, disk, votes, seed):
        """Check that a power loss leaves what an open disk has, after a vote."""
        if votes:
            disk.persist(Persist(1, 7, "disk-c", ()))
        saved = disk.saved
        fake.crash(random.Random(seed))
        opened = open_disk(FOLDER, "a", fake.filesystem())
        self.assertTrue(opened.is_ok(), opened)
        self.assertEqual(opened.ok.saved, saved)

    def test_a_record_whose_sync_failed_is_synced_before_it_counts(self):
        """Guards against a voter that answers for a record which is not on the disk."""
        fake, disk = new_disk()
        append_to(disk, 1, 3)

        def fail(fd):
            fake.handles[fd].forget()
            raise OSError(errno.ENOSPC, "no space left on device")

        disk._file._fs = fake.filesystem()._replace(sync=fail)
        with self.assertRaises(DiskError):
            append_to(disk, 4, 1)
        disk.close()
        disk = open_disk(FOLDER, "a", fake.filesystem()).ok
        reported = len(disk.saved.entries)
        append_to(disk, reported + 1, 1)
        disk.close()
        fake.crash(random.Random(1))
        opened = open_disk(FOLDER, "a", fake.filesystem())
        self.assertTrue(opened.is_ok(), opened)
        self.assertEqual(len(opened.ok.saved.entries), reported + 1)


if __name__ == "__main__":
    unittest.main()
