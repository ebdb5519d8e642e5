"""Test data: a voter over a disk that fails on command, and a leader on loopback."""

import contextlib
import socket
from types import SimpleNamespace

import anyio

from cherryrudder.quorum import events
from cherryrudder.quorum.errors import DiskError
from cherryrudder.quorum.saved_state import Identity, SavedState, Timing
from cherryrudder.replica.config import StateMachine, VoterConfig
from cherryrudder.replica.errors import ReplicaError
from cherryrudder.replica.peers import LeaderCall, LeaderReply, QuorumMessage
from cherryrudder.replica.voter import Voter
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, listen_frames

KEY = "key"
# Elections are far away, so that only the test's own events change the core.
TIMING = Timing(0.05, 60.0, 90.0, 1000)
# A lone voter elects itself.
LONE_TIMING = Timing(0.05, 0.05, 0.1, 1000)
# Its first command causes a snapshot.
SNAPSHOT_TIMING = Timing(0.05, 0.05, 0.1, 2)
MACHINE = StateMachine(
    list, lambda state, index, payload: state.append(payload) or index, str, list
)
LEADER_DISK = "disk-b"


class FailingDisk:
    """Keeps nothing; its writes raise DiskError once `is_full` is set."""

    def __init__(self, saved):
        self.saved = saved
        self.is_full = False

    def persist(self, effect):
        if self.is_full:
            raise DiskError("data: no space left on device")

    save_snapshot = persist


class SnapshotFailingDisk(FailingDisk):
    """Has room for entries, but not for a snapshot."""

    def persist(self, effect):
        """Keep nothing."""

    def save_snapshot(self, effect):
        raise DiskError("snapshot: no space left on device")


def free_address():
    """Return an unused loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def a_follower_disk(address):
    """Return the disk of a voter with one committed entry of another's term."""
    own = events.Voter("a", "disk-a", address)
    other = events.Voter("b", LEADER_DISK, "127.0.0.1:1")
    third = events.Voter("c", "disk-c", "127.0.0.1:2")
    identity = Identity("cluster", "a", "disk-a", address, (own, other, third))
    entries = (events.Entry(1, 1, "noop", ""),)
    return FailingDisk(SavedState(identity, 1, LEADER_DISK, entries))


def a_lone_disk(address):
    """Return the disk of the only voter of a cluster."""
    own = events.Voter("a", "disk-a", address)
    return FailingDisk(SavedState(Identity("cluster", "a", "disk-a", address, (own,))))


def a_lone_disk_without_snapshots(address):
    """Return the disk of a lone voter that fails at the first snapshot."""
    return SnapshotFailingDisk(a_lone_disk(address).saved)


def an_append(leader_address, entries=(), prev_index=1, term=1):
    """Return a leader's message with entries, a heartbeat without."""
    message = {
        "type": "append",
        "cluster": "cluster",
        "term": term,
        "vm": "b",
        "disk_id": LEADER_DISK,
        "address": leader_address,
        "to": "disk-a",
        "prev_index": prev_index,
        "prev_term": min(prev_index, 1),
        "entries": [list(entry) for entry in entries],
        "commit": 1,
        "round": 1,
        "sent_s": 0.0,
    }
    return events.Received("b", message)


def an_entry(index, term=1):
    """Return a command's entry."""
    return events.Entry(index, term, "command", "x")


class SilentLeader:
    """A leader's address that takes calls and answers none by itself."""

    def __init__(self):
        self.address = free_address()
        self.calls = []
        self._codec = FrameCodec((QuorumMessage, LeaderCall, LeaderReply))

    async def listen(self, stopping):
        """Take calls until `stopping` is set."""
        await listen_frames(self.address, self._codec, KEY, self._on_messages, stopping)

    def answer(self, group, value):
        """Send the answer to all calls that it has taken."""
        links = Links(group, self._codec, KEY, self.address, lambda address: None)
        for call in self.calls:
            links.send(call.reply_to, LeaderReply(call.call_id, value))

    def _on_messages(self, peer, messages):
        self.calls += [m for m in messages if isinstance(m, LeaderCall)]


@contextlib.asynccontextmanager
async def running_voter(make_disk=a_follower_disk, timing=TIMING):
    """Run a voter in a group of its own, as its holders outside of it see it."""
    address = free_address()
    disk = make_disk(address)
    config = VoterConfig("a", address, KEY, timing, "1")
    scene = SimpleNamespace(disk=disk, ended=anyio.Event(), started=anyio.Event())

    async def run():
        try:
            async with anyio.create_task_group() as group:
                scene.group = group
                scene.voter = Voter(config, disk, MACHINE, group)
                scene.voter.start(anyio.Event())
                scene.started.set()
        except* ReplicaError:
            pass
        scene.ended.set()

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        await scene.started.wait()
        yield scene
        group.cancel_scope.cancel()


async def until(condition):
    """Wait until a condition holds."""
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.005)


async def outcome_of(call, result):
    """Store what a call returns or raises."""
    try:
        result.append(await call())
    except Exception as error:
        result.append(error)
