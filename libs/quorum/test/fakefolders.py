"""Folders that a power loss removes unless their parent was synced."""

import contextlib
import os
import shutil
from unittest import mock


class PowerLoss(Exception):
    """The operation at which power fails was reached."""


class UnsyncedFolders:
    """Records which folders were made and whose parents were synced since."""

    def __init__(self):
        self.unsynced = set()
        self.operations = 0
        self.power_loss_at = None

    @contextlib.contextmanager
    def recorded(self):
        """Record folders and syncs of this process."""
        with (
            mock.patch.object(os, "mkdir", self._around(os.mkdir, self._on_mkdir)),
            mock.patch.object(os, "fsync", self._around(os.fsync, self._on_fsync)),
        ):
            yield

    def crash(self):
        """Remove each folder that isn't durable, with all that is in it."""
        for folder in self.unsynced:
            shutil.rmtree(folder, ignore_errors=True)
        self.unsynced.clear()
        self.power_loss_at = None

    def _around(self, operation, then):
        def run(target, *arguments, **options):
            self.operations += 1
            if self.operations == self.power_loss_at:
                raise PowerLoss
            operation(target, *arguments, **options)
            then(target)

        return run

    def _on_mkdir(self, path):
        self.unsynced.add(os.path.realpath(path))

    def _on_fsync(self, fd):
        synced = os.path.realpath(f"/proc/self/fd/{fd}")
        self.unsynced -= {
            folder for folder in self.unsynced if os.path.dirname(folder) == synced
        }
