"""Atomic replacement of files: after a crash either the old or the new one exists."""

from .errors import DiskError
from .filesystem import FileSystem
from .records import encode_record, scan

TEMPORARY_SUFFIX = ".new"


def write_atomically(
    fs: FileSystem, folder: str, name: str, payloads: list[bytes]
) -> int:
    """Write records to a temporary file and rename it to `name`; return its size.

    The file is synced before the rename; otherwise the rename could reach the disk
    before the data and leave an empty file. The folder is synced after the rename;
    otherwise a power loss could undo the rename.
    """
    path = f"{folder}/{name}"
    data = b"".join(encode_record(payload) for payload in payloads)
    if name + TEMPORARY_SUFFIX in fs.list_folder(folder):
        # A rename that a power loss interrupted may have left both names to one file.
        fs.remove(path + TEMPORARY_SUFFIX)
    fd = fs.open(path + TEMPORARY_SUFFIX)
    try:
        fs.truncate(fd, 0)
        fs.write(fd, 0, data)
        fs.sync(fd)
    finally:
        fs.close(fd)
    fs.rename(path + TEMPORARY_SUFFIX, path)
    fs.sync_folder(folder)
    return len(data)


def read_record(fs: FileSystem, folder: str, name: str) -> bytes:
    """Return the payload of a file with one record. Raises DiskError if damaged."""
    path = f"{folder}/{name}"
    data = read_bytes(fs, path)
    found = scan(data)
    # The file was synced before it was renamed, so a crash cannot explain the damage.
    if len(found.payloads) != 1 or found.end != len(data):
        raise DiskError(f"{path}: damaged at offset {found.end if data else 0}")
    return found.payloads[0]


def read_bytes(fs: FileSystem, path: str) -> bytes:
    """Return a file's content; a file that does not exist is created empty."""
    fd = fs.open(path)
    try:
        return fs.read(fd)
    finally:
        fs.close(fd)
