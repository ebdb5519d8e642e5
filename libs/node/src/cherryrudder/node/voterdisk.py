"""Create, open or replace the disk of a control VM's voter, without an operator."""

import os

from cherryrudder.quorum.errors import DiskError, DiskUnavailable
from cherryrudder.quorum.events import Persist, SaveSnapshot, Voter
from cherryrudder.quorum.files import (
    IDENTITY,
    LOST_AND_FOUND,
    Disk,
    init_disk,
    is_disk_file,
    join_disk,
    new_disk_id,
    open_disk,
    replace_disk,
)
from cherryrudder.quorum.saved_state import Identity, SavedState

from .linesink import LineSink


class MemoryDisk:
    """Replaces the disk of a control VM that has none; it never becomes a voter."""

    def __init__(self, vm: str, address: str):
        self.saved = SavedState(Identity("", vm, new_disk_id(), address, ()))

    def persist(self, effect: Persist) -> None:
        """Do nothing: after a restart the VM joins again as a new learner."""

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


def is_created(folder: str) -> bool:
    """Return whether a folder holds a disk that was created completely.

    Raises DiskError if the system doesn't tell.
    """
    try:
        os.stat(f"{folder}/{IDENTITY}")
    except FileNotFoundError:
        return False
    except OSError as error:
        raise DiskUnavailable(f"{folder}: {error}") from error
    return True


def create_founder(
    folder: str, vm: str, address: str, founders: tuple[Voter, ...]
) -> None:
    """Create the disk of one of the first voters. Raises DiskError."""
    _clear(folder)
    _raise_error(init_disk(folder, vm, address, founders))


def create_learner(folder: str, vm: str, address: str) -> None:
    """Create a disk that joins as a learner. Raises DiskError."""
    _clear(folder)
    _raise_error(join_disk(folder, vm, address))


def open_or_replace(folder: str, vm: str, address: str, sink: LineSink) -> Disk:
    """Open the disk; replace a damaged one by an empty disk that joins as a learner.

    A damaged disk has lost committed entries, like one that is gone, and no repair can
    tell which ones. A disk that the system refuses to read, or that belongs to another
    VM, is kept for a later try. Raises DiskError.
    """
    result = open_disk(folder, vm)
    if result.is_ok():
        return result.ok
    if isinstance(result.error, DiskUnavailable):
        raise result.error
    sink.write("voter", "disk-damaged", True, error=str(result.error))
    _raise_error(replace_disk(folder, vm, address))
    result = open_disk(folder, vm)
    _raise_error(result)
    return result.ok


def _clear(folder):
    """Empty a folder whose disk is incomplete; refuse one with other files."""
    try:
        names = set(os.listdir(folder)) - {LOST_AND_FOUND}
        foreign = sorted(name for name in names if not is_disk_file(name))
        if foreign:
            raise DiskUnavailable(
                f"{folder}: not a data folder, it holds {foreign[0]}; remove that or "
                "name another folder"
            )
        for name in names:
            os.unlink(f"{folder}/{name}")
    except FileNotFoundError:
        # Its creation makes it durable.
        return
    except OSError as error:
        raise DiskUnavailable(f"{folder}: {error}") from error


def _raise_error(result):
    if result.is_error():
        error = result.error
        raise error if isinstance(error, DiskError) else DiskError(str(error))
