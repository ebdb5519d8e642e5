"""Disks with contents, and voters joined by a lossy network."""

import collections
import itertools
import json
import random

from fakedisk import FakeDisk, PowerCut

from cherryrudder.quorum import events as ev
from cherryrudder.quorum.core import handle, open_node, status
from cherryrudder.quorum.files import init_disk, join_disk, open_disk
from cherryrudder.quorum.saved_state import Timing

FOLDER = "data"
TIMING = Timing(0.05, 0.3, 0.6, 40)
TICK_S = 0.025


def new_disk(sync=True):
    """Return a fake disk and the folder on it; the naive version never syncs."""
    fake = FakeDisk()
    init_disk(FOLDER, "a", "10.0.0.1:1", make_voters(1), fake.filesystem())
    fs = fake.filesystem()
    if not sync:
        fs = fs._replace(sync=lambda fd: None)
    return fake, open_disk(FOLDER, "a", fs).ok


def append_to(disk, first, count, term=1, truncate_from=None):
    """Persist some entries of a term."""
    entries = tuple(
        ev.Entry(index, term, "command", f"{term}/{index}")
        for index in range(first, first + count)
    )
    disk.persist(ev.Persist(1, term, "disk-a", entries, truncate_from))


def save_snapshot(disk, index, term=1):
    """Save a snapshot of a few bytes."""
    disk.save_snapshot(
        ev.SaveSnapshot(1, index, term, make_voters(1), "[]", (), "cluster")
    )


def make_voters(count):
    """Return the voters a, b, c and so on, each with one disk."""
    return tuple(
        ev.Voter(vm, f"disk-{vm}", f"10.0.0.{number}:1")
        for number, vm in enumerate("abcde"[:count])
    )


def write(disk, effect):
    """Carry out a write effect."""
    if isinstance(effect, ev.Persist):
        disk.persist(effect)
    else:
        disk.save_snapshot(effect)


def naive_read(node):
    """Return the index that a leader would read at if it trusted its own office."""
    assert node.role == "leader"
    return node.commit


class Member:
    """One VM: its disk, its core while it runs, and the state that it applied."""

    def __init__(self, vm, disk):
        self.vm = vm
        self.fake = disk
        self.disk = None
        self.node = None
        self.state = []


class Cluster:
    """Voters on fake disks, and the oracle that watches what they promise."""

    def __init__(self, count=3, seed=1, timing=TIMING):
        self.rng = random.Random(seed)
        self.timing = timing
        self.now_s = 0.0
        self.network = []
        # VMs that are cut off, and pairs of VMs that don't hear each other.
        self.cut = set()
        self.cut_links = set()
        self.frozen = set()
        self.members = {}
        self.numbers = itertools.count(1)
        # The oracle.
        self.committed = {}
        self.leaders = {}
        self.accepted = {}
        self.rejected = {}
        self.reasons = {}
        self.reads = {}
        self.ready = {}
        self.installed = []
        # With slow disks a write ends by `finish_writes`, now and then in `run`.
        self.slow_disks = False
        self.pending_writes = collections.defaultdict(list)
        voters = make_voters(count)
        for voter in voters:
            fake = FakeDisk()
            fs = fake.filesystem()
            init_disk(FOLDER, voter.vm, voter.address, voters, fs)
            self.members[voter.vm] = Member(voter.vm, fake)
            self.start(voter.vm)

    # Faults.

    def start(self, vm):
        """Start a VM's process on what its disk holds; power may fail meanwhile."""
        member = self.members[vm]
        try:
            disk = open_disk(FOLDER, vm, member.fake.filesystem())
        except PowerCut:
            self.crash(vm)
            return
        if disk.is_error():
            raise disk.error
        member.disk = disk.ok
        saved = member.disk.saved
        me = ev.Voter(vm, saved.identity.disk_id, saved.identity.address)
        rng = random.Random(self.rng.random())
        member.state = []
        member.node = open_node(me, saved, self.timing, rng, self.now_s)

    def crash(self, vm):
        """Cut a VM's power."""
        member = self.members[vm]
        member.node = None
        self.pending_writes.pop(vm, None)
        member.fake.crash(self.rng)
        self.frozen.discard(vm)

    def wipe(self, vm, again=False, naive=False):
        """Give a VM that has stopped an empty disk, to join as a learner.

        Or create the founder's disk again, under the same id. The naive version takes
        that for the old one, which has voted before.
        """
        member = self.members[vm]
        member.fake = FakeDisk()
        fs = member.fake.filesystem()
        if not again:
            identity = join_disk(FOLDER, vm, f"new-{vm}:1", fs).ok
        else:
            voters = make_voters(len(self.members))
            identity = init_disk(FOLDER, vm, f"new-{vm}:1", voters, fs).ok
        if naive:
            disk = open_disk(FOLDER, vm, fs).ok
            disk.persist(ev.Persist(1, 1, "", ()))
            disk.close()
        self.start(vm)
        return ev.Voter(vm, identity.disk_id, identity.address)

    # Events.

    def feed(self, vm, event):
        """Give a VM one event and carry out the effects."""
        member = self.members[vm]
        if member.node is None or vm in self.frozen:
            return
        pending = [event]
        try:
            while pending and member.node is not None:
                effects = handle(member.node, pending.pop(0), self.now_s)
                for effect in effects:
                    pending += self._carry_out(member, effect)
                self._watch(member)
        except PowerCut:
            self.crash(vm)

    def finish_writes(self, vm):
        """Let a slow disk finish what it was given so far."""
        if vm in self.frozen:
            return
        for effect in self.pending_writes.pop(vm, []):
            try:
                write(self.members[vm].disk, effect)
            except PowerCut:
                self.crash(vm)
                return
            self.feed(vm, ev.Persisted(effect.write_id))

    def propose(self, vm):
        """Propose a command of its own name, and return that."""
        name = f"p{next(self.numbers)}"
        self.feed(vm, ev.Propose(name, name))
        return name

    def read(self, vm):
        """Ask for a read, and note what it must see."""
        name = f"r{next(self.numbers)}"
        self.reads[name] = max(self.accepted.values(), default=0)
        self.feed(vm, ev.ReadIndex(name))
        return name

    def change(self, action, voter):
        """Ask the leader to change the voter set, and return the proposal's name."""
        name = f"c{next(self.numbers)}"
        self.feed(self.leader(), ev.ChangeVoters(name, action, voter))
        return name

    def run(self, wait_s, loss=0.0, doubled=0.0):
        """Let time pass, with messages lost, doubled and in any order."""
        end_s = self.now_s + wait_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            for vm in self.members:
                self.feed(vm, ev.Tick())
                if not self.slow_disks or self.rng.random() < 0.2:
                    self.finish_writes(vm)
            self.deliver(loss, doubled)

    def deliver(self, loss=0.0, doubled=0.0):
        """Deliver what is on the network, and what comes of it, for a few hops."""
        for _ in range(4):
            batch, self.network = self.network, []
            if loss or doubled:
                self.rng.shuffle(batch)
            for sender, send in batch:
                if send.vm in self.frozen:
                    self.network.append((sender, send))
                    continue
                if self.rng.random() < loss:
                    continue
                if self.rng.random() < doubled:
                    self.network.append((sender, send))
                self.pass_on(sender, send)

    def pass_on(self, sender, send):
        """Give one message to the VM that it is for, through JSON."""
        link = frozenset((sender, send.vm))
        if send.vm not in self.members or link & self.cut or link in self.cut_links:
            return
        message = json.loads(json.dumps(send.message))
        self.feed(send.vm, ev.Received(sender, message))

    # Questions.

    def leader(self):
        """Return the VM that leads in the latest term, or None."""
        running = [m for m in self.members.values() if m.node is not None]
        leading = [m for m in running if m.node.role == "leader"]
        if not leading:
            return None
        return max(leading, key=lambda member: member.node.term).vm

    def settle(self, wait_s=5.0):
        """Run until a leader that can reach a majority has committed something new."""
        end_s = self.now_s + wait_s
        while self.now_s < end_s:
            self.run(0.5)
            leader = self.leader()
            if leader is None or leader in self.cut or leader in self.frozen:
                continue
            name = self.propose(leader)
            self.run(0.5)
            if name in self.accepted:
                return leader
        raise AssertionError("no leader commits anything")

    def status(self, vm):
        return status(self.members[vm].node)

    def fill(self, count):
        """Accept a number of commands, and return their names."""
        names = []
        while len(names) < count:
            names.append(self.propose(self.leader()))
            if len(names) % 20 == 0:
                self.run(0.1)
        self.run(0.3)
        return names

    def check(self):
        """Fail unless every accepted command is in the leader's state."""
        state = self.members[self.leader()].state
        lost = set(self.accepted) - {payload for _, payload in state}
        commands = {name for name in lost if name.startswith("p")}
        assert not commands, f"accepted, then lost: {sorted(commands)}"

    # Effects.

    def _carry_out(self, member, effect):
        match effect:
            case ev.Send():
                self.network.append((member.vm, effect))
            case ev.Persist() | ev.SaveSnapshot() if self.slow_disks:
                self.pending_writes[member.vm].append(effect)
            case ev.Persist() | ev.SaveSnapshot():
                write(member.disk, effect)
                return [ev.Persisted(effect.write_id)]
            case ev.Apply():
                self._apply(member, effect.entries)
            case ev.RestoreSnapshot():
                self.installed.append(member.vm)
                member.state = [tuple(pair) for pair in json.loads(effect.data)]
                self._check_prefix(member)
            case ev.WantSnapshot():
                index = member.node.applied
                return [ev.Snapshotted(index, json.dumps(member.state))]
            case ev.Proposed():
                self.accepted[effect.proposal_id] = effect.index
            case ev.Rejected():
                self.rejected[effect.proposal_id] = effect.certain
                self.reasons[effect.proposal_id] = effect.reason
            case ev.ReadReady():
                self._read(member, effect)
        return []

    def _apply(self, member, entries):
        for entry in entries:
            first = self.committed.setdefault(entry.index, entry)
            assert first == entry, f"{member.vm} applied {entry}, another {first}"
            if entry.kind == "command":
                assert self.rejected.get(entry.payload) is not True, entry
                member.state.append((entry.index, entry.payload))
        self._check_prefix(member)

    def _check_prefix(self, member):
        for index, payload in member.state[-50:]:
            assert self.committed[index].payload == payload

    def _read(self, member, effect):
        floor = self.reads[effect.read_id]
        assert effect.index >= floor, f"{effect} misses accepted entry {floor}"
        assert member.node.applied >= effect.index
        self.ready[effect.read_id] = effect.index

    def _watch(self, member):
        if member.node.role != "leader":
            return
        key = member.node.term
        first = self.leaders.setdefault(key, member.vm)
        assert first == member.vm, f"{first} and {member.vm} lead in term {key}"
