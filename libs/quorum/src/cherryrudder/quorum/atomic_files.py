"""Files that are replaced as a whole, so that a crash leaves the old or the new one."""

from .errors import DiskError
from .filesystem import FileSystem
from .records import encode_record, scan

TEMPORARY_SUFFIX = ".new"


def write_atomically(
    fs: FileSystem, folder: str, name: str, payloads: list[bytes]
) -> int:
    """Write records to a new file and rename it to `name`; return its size.

    The file is synced before the rename: a rename that reaches the disk before the
    data does would leave an empty file. The folder is synced after it: otherwise the
    rename may be gone after a power cut.
    """
    path = f"{folder}/{name}"
    data = b"".join(encode_record(payload) for payload in payloads)
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
    """Return the payload of a file of one record; raises DiskError if damaged."""
    path = f"{folder}/{name}"
    data = read_bytes(fs, path)
    found = scan(data)
    # Such a file was synced before it got its name, so no crash explains damage.
    if len(found.payloads) != 1 or found.end != len(data):
        raise DiskError(f"{path}: damaged at offset {found.end if data else 0}")
    return found.payloads[0]


def read_bytes(fs: FileSystem, path: str) -> bytes:
    """Return a file's bytes."""
    fd = fs.open(path)
    try:
        return fs.read(fd)
    finally:
        fs.close(fd)
