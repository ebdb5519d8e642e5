"""The data folder of one voter: identity, snapshot and log.

    identity   who this disk is; written once, by `init_disk` or `join_disk`
    snapshot   one record: the newest snapshot
    log        a header record, then one record for each `Persist`
    synced     how far the log was synced; written without a sync of its own
    lock       held while a process uses the folder

Every call blocks until its sync is done. A failed write or sync leaves the disk
unusable until it is opened again: after a failed fsync the system may drop the data
and report success the next time.
"""

import secrets

import msgspec
import xxhash
from expression import Error, Ok, Result

from . import logfile
from .errors import DiskError, DiskUnavailable
from .events import Persist, SaveSnapshot, Voter
from .filesystem import FileSystem, real_filesystem
from .log import Log
from .saved_state import Identity, SavedState, Snapshot, VoterSet
from .wholefiles import read_whole, write_whole

IDENTITY = "identity"
SNAPSHOT = "snapshot"
LOCK = "lock"


class Disk:
    """An open data folder."""

    def __init__(
        self,
        fs: FileSystem,
        folder: str,
        lock_fd: int,
        identity: Identity,
        snapshot: Snapshot | None,
        opened: tuple[logfile.LogFile, logfile.Contents],
    ):
        self._fs = fs
        self._folder = folder
        self._lock_fd = lock_fd
        self._identity = identity
        self._snapshot = snapshot
        self._file, contents = opened
        self._term = contents.term
        self._voted_for = contents.voted_for
        self._log = contents.log
        self._failed = ""

    @property
    def saved(self) -> SavedState:
        """Return what the disk holds, for `open_node`."""
        log = self._log
        entries = log.slice(log.base_index + 1, log.last_index + 1)
        return SavedState(
            self._identity, self._term, self._voted_for, entries, self._snapshot
        )

    def persist(self, effect: Persist) -> None:
        """Write and sync term, vote and entries; raises DiskError."""
        self._guard(lambda: self._file.append(effect))
        logfile.apply_record(self._log, effect)
        self._term = effect.term
        self._voted_for = effect.voted_for

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Replace the snapshot, then drop the log up to it; raises DiskError."""
        voter_set = VoterSet(effect.cluster, effect.voters, effect.learners)
        snapshot = Snapshot(effect.index, effect.term, voter_set, effect.data)
        self._guard(lambda: self._replace(snapshot))
        self._snapshot = snapshot

    def close(self) -> None:
        """Let go of the folder."""
        self._file.close()
        self._fs.close(self._lock_fd)

    def _replace(self, snapshot):
        payload = msgspec.json.encode(snapshot)
        write_whole(self._fs, self._folder, SNAPSHOT, [payload])
        # A crash here leaves the old log beside the new snapshot; `open_disk` then
        # does the rest.
        join_snapshot(self._log, snapshot)
        self._replace_log()

    def _replace_log(self):
        old = self._file
        self._file = logfile.create(
            self._fs,
            self._folder,
            old.generation + 1,
            self._term,
            self._voted_for,
            self._log,
        )
        old.close()

    def _guard(self, operation):
        if self._failed:
            raise DiskError(f"{self._folder}: an earlier write failed: {self._failed}")
        try:
            operation()
        except OSError as error:
            self._failed = str(error)
            raise DiskError(f"{self._folder}: {error}") from error


def new_disk_id() -> str:
    """Return a disk id that no other disk has; never give one to a second disk."""
    return secrets.token_hex(8)


def init_disk(
    folder: str,
    vm: str,
    address: str,
    voters: tuple[Voter, ...] = (),
    fs: FileSystem | None = None,
) -> Result[Identity, DiskError]:
    """Create the data folder of one of a new cluster's first voters.

    All of them are given the same `voters`, each with a disk id of its own, and the
    cluster begins once all of them are up. Without any, the VM is its cluster's only
    voter and others join it. A disk that is lost later must not be created so again
    but by `join_disk`; `election.is_recreated` keeps it silent otherwise.
    """
    voters = tuple(voters) or (Voter(vm, new_disk_id(), address),)
    own = [voter for voter in voters if voter.vm == vm]
    disk_ids = {voter.disk_id for voter in voters}
    if len(own) != 1 or len(disk_ids) != len(voters) or "" in disk_ids:
        fault = f"{vm} must be once in the voters, each with its own disk id"
        return Error(DiskError(fault))
    cluster = xxhash.xxh64_hexdigest("/".join(sorted(disk_ids)).encode())
    identity = Identity(cluster, vm, own[0].disk_id, address, voters)
    return _create(folder, identity, fs or real_filesystem())


def join_disk(
    folder: str, vm: str, address: str, fs: FileSystem | None = None
) -> Result[Identity, DiskError]:
    """Create the data folder of a VM that is to join a cluster as a learner."""
    identity = Identity("", vm, new_disk_id(), address, ())
    return _create(folder, identity, fs or real_filesystem())


def open_disk(
    folder: str, vm: str, fs: FileSystem | None = None
) -> Result[Disk, DiskError]:
    """Open a data folder that exists, cut a torn tail, and refuse anything worse."""
    fs = fs or real_filesystem()
    try:
        return Ok(_open(fs, folder, vm))
    except OSError as error:
        return Error(DiskUnavailable(f"{folder}: {error}"))
    except DiskError as error:
        return Error(error)


def join_snapshot(log: Log, snapshot: Snapshot) -> None:
    """Drop the log up to a snapshot, and all of it where the two differ.

    Entries past the snapshot that follow another entry at its index are of a leader
    that lost. Were they kept, this voter would help to elect one without the entries
    that the snapshot covers.
    """
    index = snapshot.index
    if log.holds(index) and log.term_at(index) == snapshot.term:
        log.compact(index)
    else:
        log.reset(index, snapshot.term)


def _create(folder, identity, fs):
    try:
        fs.make_folder(folder)
        if fs.list_folder(folder):
            return Error(DiskError(f"{folder}: not empty; a disk is created only once"))
        logfile.create(fs, folder, 1, 0, "", Log()).close()
        # Last, so that a folder whose creation was cut short is never opened.
        write_whole(fs, folder, IDENTITY, [msgspec.json.encode(identity)])
    except OSError as error:
        return Error(DiskUnavailable(f"{folder}: {error}"))
    return Ok(identity)


def _open(fs, folder, vm):
    if IDENTITY not in fs.list_folder(folder):
        raise DiskError(f"{folder}: no identity; create the disk by init or join")
    lock_fd = fs.open(f"{folder}/{LOCK}")
    try:
        _lock(fs, folder, lock_fd)
        return _load(fs, folder, vm, lock_fd)
    except (OSError, DiskError):
        fs.close(lock_fd)
        raise


def _lock(fs, folder, lock_fd):
    """Keep a second process out: two would write over each other's records."""
    try:
        fs.lock(lock_fd)
    except OSError as error:
        raise DiskError(f"{folder}: in use by another process") from error


def _load(fs, folder, vm, lock_fd):
    identity = _decode(fs, folder, IDENTITY, Identity)
    if identity.vm != vm:
        raise DiskError(f"{folder}: the disk of VM {identity.vm}, not of {vm}")
    snapshot = None
    if SNAPSHOT in fs.list_folder(folder):
        snapshot = _decode(fs, folder, SNAPSHOT, Snapshot)
    opened = logfile.load(fs, folder)
    disk = Disk(fs, folder, lock_fd, identity, snapshot, opened)
    base_index = opened[1].log.base_index
    snapshot_index = snapshot.index if snapshot else 0
    if base_index > snapshot_index:
        disk._file.close()
        raise DiskError(
            f"{folder}/{SNAPSHOT}: the log begins after {base_index}, but the "
            f"snapshot covers {snapshot_index}; restore the file or replace this disk"
        )
    if base_index < snapshot_index:
        join_snapshot(disk._log, snapshot)
        disk._replace_log()
    return disk


def _decode(fs, folder, name, kind):
    payload = read_whole(fs, folder, name)
    try:
        return msgspec.json.decode(payload, type=kind)
    except msgspec.MsgspecError as error:
        raise DiskError(f"{folder}/{name}: {error}") from error
