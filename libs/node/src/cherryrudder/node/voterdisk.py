"""Opening, founding and joining with the disk of a control VM, without an operator."""

import os
import shutil

from cherryrudder.quorum.errors import DiskError, DiskUnavailable
from cherryrudder.quorum.events import Persist, SaveSnapshot, Voter
from cherryrudder.quorum.files import (
    IDENTITY,
    Disk,
    init_disk,
    join_disk,
    new_disk_id,
    open_disk,
)
from cherryrudder.quorum.saved import Identity, Saved

from .linesink import LineSink


class MemoryDisk:
    """Stands in for the disk of a control VM without one: its copy never votes."""

    def __init__(self, vm: str, address: str):
        self.saved = Saved(Identity("", vm, new_disk_id(), address, ()))

    def persist(self, effect: Persist) -> None:
        """Keep nothing: a restart begins again as a new learner."""

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Keep nothing."""

    def close(self) -> None:
        """Close nothing."""


def is_created(folder: str) -> bool:
    """Tell whether a folder holds a disk that was created in full."""
    return os.path.exists(f"{folder}/{IDENTITY}")


def create_founder(
    folder: str, vm: str, address: str, founders: tuple[Voter, ...]
) -> None:
    """Create the disk of one of the first voters; raises DiskError."""
    _clear(folder)
    _raise_error(init_disk(folder, vm, address, founders))


def create_learner(folder: str, vm: str, address: str) -> None:
    """Create a disk that joins as a learner; raises DiskError."""
    _clear(folder)
    _raise_error(join_disk(folder, vm, address))


def open_or_replace(folder: str, vm: str, address: str, sink: LineSink) -> Disk:
    """Open the disk; one whose content is damaged is emptied and joins as a new one.

    A damaged disk has forgotten accepted entries, the same as one that was lost, and
    no repair could tell which. A disk that the system refuses to read is kept for a
    later try. Raises DiskError.
    """
    result = open_disk(folder, vm)
    if result.is_ok():
        return result.ok
    if isinstance(result.error, DiskUnavailable):
        raise result.error
    sink.write("voter", "disk-damaged", True, error=str(result.error))
    create_learner(folder, vm, address)
    result = open_disk(folder, vm)
    _raise_error(result)
    return result.ok


def _clear(folder):
    """Empty a folder whose disk was never created in full, or is damaged."""
    try:
        os.makedirs(folder, exist_ok=True)
        for name in os.listdir(folder):
            path = f"{folder}/{name}"
            if os.path.isdir(path):
                shutil.rmtree(path)
            else:
                os.unlink(path)
    except OSError as error:
        raise DiskUnavailable(f"{folder}: {error}") from error


def _raise_error(result):
    if result.is_error():
        error = result.error
        raise error if isinstance(error, DiskError) else DiskError(str(error))
