"""Tests of a data folder whose own folder must survive a power loss."""

import tempfile
import unittest

from builders import make_voters
from fakefolders import PowerLoss, UnsyncedFolders

from cherryrudder.quorum.events import Persist
from cherryrudder.quorum.files import init_disk, join_disk, open_disk


class FolderTest(unittest.TestCase):
    """Guards against a founder that votes and comes back as never created."""

    DEPTHS = ("data", "deep/er/data")

    def create_voted(self, folder, create):
        """Create the folder unless it is there, and vote."""
        opened = open_disk(folder, "a")
        if opened.is_error():
            created = create(folder)
            self.assertTrue(created.is_ok(), created)
            opened = open_disk(folder, "a")
        disk = opened.ok
        disk.persist(Persist(1, 7, "disk-a", ()))
        disk.close()

    def creations(self):
        founders = make_voters(1)
        yield lambda folder: init_disk(folder, "a", "10.0.0.1:1", founders)
        yield lambda folder: join_disk(folder, "a", "10.0.0.1:1")

    def check_voted(self, folder):
        opened = open_disk(folder, "a")
        self.assertTrue(opened.is_ok(), opened)
        self.assertEqual(opened.ok.saved.term, 7)
        opened.ok.close()

    def test_a_vote_survives_a_power_loss(self):
        for create in self.creations():
            for depth in self.DEPTHS:
                with (
                    self.subTest(depth=depth),
                    tempfile.TemporaryDirectory() as root,
                ):
                    folders = UnsyncedFolders()
                    with folders.recorded():
                        self.create_voted(f"{root}/{depth}", create)
                    folders.crash()
                    self.check_voted(f"{root}/{depth}")

    def test_an_empty_folder_of_an_interrupted_creation_is_made_durable(self):
        """The process ends after each step, and the next one begins again."""
        for create in self.creations():
            for depth in self.DEPTHS:
                for stop_at in range(1, 2 * depth.count("/") + 4):
                    with (
                        self.subTest(depth=depth, stop_at=stop_at),
                        tempfile.TemporaryDirectory() as root,
                    ):
                        folders = UnsyncedFolders()
                        folders.power_loss_at = stop_at
                        with folders.recorded():
                            with self.assertRaises(PowerLoss):
                                create(f"{root}/{depth}")
                            folders.power_loss_at = None
                            self.create_voted(f"{root}/{depth}", create)
                        folders.crash()
                        self.check_voted(f"{root}/{depth}")


if __name__ == "__main__":
    unittest.main()
