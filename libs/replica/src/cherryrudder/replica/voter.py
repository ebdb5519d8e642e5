"""Drives the replicated log's core: its disk, its messages and its clock.

Effects are carried out strictly in order. A `Persist` waits for one turn of the loop
first, so that all requests that arrived in the meantime share its fsync.
"""

import random
from collections import deque
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from loguru import logger

from cherryrudder.model import jsoncodec
from cherryrudder.quorum import core, events
from cherryrudder.quorum.errors import DiskError, ProtocolError
from cherryrudder.quorum.files import Disk

from .clock import new_id, now_s
from .config import StateMachine, VoterConfig
from .errors import NoQuorum, VoterFailed
from .peers import Peers
from .pending import Pending

# One try at a leader, some ten times a change's usual time. A frozen one is asked
# again and again until its followers have elected another, in about a second.
TRY_S = 0.4
RETRY_S = 0.05
# Answers to proposals that nobody here waits for, kept in case of a late waiter.
KEPT_ANSWERS = 4096
NO_QUORUM = "no majority of the control VMs answered in time"

log = logger.bind(part="voter")


class Voter:
    """The control VM's part of the replicated log, and the state that it drives."""

    def __init__(
        self, seat: VoterConfig, disk: Disk, machine: StateMachine, group: TaskGroup
    ):
        self.group = group
        self.disk = disk
        self.machine = machine
        self.state = machine.new_state()
        self.applied_index = 0
        self.applied_event = anyio.Event()
        self.peers = Peers(seat, group, self._on_message, self._on_call)
        self.node = open_core(seat, disk)
        self._heartbeat_s = seat.timing.heartbeat_s
        self._effects = deque()
        self._wake = anyio.Event()
        self._failure: VoterFailed | None = None
        self._answers: dict[int, Any] = {}
        self._waiting: dict[str, Pending] = {}

    def start(self, stopping: anyio.Event) -> None:
        """Start the tasks that drive the core; `stopping` closes the listener."""
        self.peers.start(stopping)
        self.group.start_soon(self._carry_out)
        self.group.start_soon(self._tick)

    def feed(self, event) -> None:
        """Give the core an event; raises VoterFailed."""
        try:
            self._effects.extend(core.handle(self.node, event, now_s()))
        except ProtocolError as error:
            # The core is half through an event. One request's handler must not be all
            # that ends: `_carry_out` ends the process on it.
            self._failure = VoterFailed(str(error))
        self._wake.set()
        if self._failure is not None:
            raise self._failure

    def status(self) -> dict:
        """Return the core's view of itself."""
        return core.status(self.node) | {"applied": self.applied_index}

    async def propose(self, payload: str, timeout_s: float) -> Any:
        """Commit a command through whichever VM leads; raises NoQuorum.

        A command carries an id that makes it idempotent in the state, so that it is
        safe to propose it again when a leader was lost before it answered.
        """
        deadline_s = now_s() + timeout_s
        while now_s() < deadline_s:
            answer = await self._at_leader("propose", payload, deadline_s)
            if answer is not None:
                return answer
            await anyio.sleep(RETRY_S)
        raise NoQuorum(NO_QUORUM)

    async def wait_for_read_index(self, timeout_s: float) -> int:
        """Wait until the state here is as fresh as the call; raises NoQuorum."""
        deadline_s = now_s() + timeout_s
        while now_s() < deadline_s:
            index = await self._at_leader("read-index", "", deadline_s)
            if index is not None:
                await self._wait_applied(index, deadline_s)
                return self.applied_index
            await anyio.sleep(RETRY_S)
        raise NoQuorum(NO_QUORUM)

    async def change_voters(self, action, voter, timeout_s: float) -> bool:
        """Change the voters by one; false when the leader refused; raises NoQuorum."""
        value = {"action": action, "voter": voter}
        done = await self._at_leader("voters", value, now_s() + timeout_s)
        if done is None:
            raise NoQuorum("the change of voters was not confirmed in time")
        return done

    async def _at_leader(self, kind, value, deadline_s):
        """Return the answer of this VM if it leads, or of the one that it knows."""
        deadline_s = min(deadline_s, now_s() + TRY_S)
        answer = await self._here(kind, value, deadline_s)
        address = core.status(self.node)["leader_address"]
        if answer is None and address not in ("", self.peers.address):
            answer = await self.peers.call(address, kind, value, deadline_s)
        return answer

    async def _here(self, kind, value, deadline_s):
        """Return the answer if this VM leads, else None."""
        make_event = event_maker(kind, value)
        if make_event is None:
            return None
        result = await self._ask(make_event, deadline_s)
        match result:
            case events.Proposed():
                return self._answers.pop(result.index, True)
            case events.ReadReady():
                return result.index
            case events.Rejected() if kind == "voters" and result.reason:
                # The leader itself refused; without a reason this VM does not lead.
                return False
        return None

    async def _ask(self, make_event, deadline_s):
        name = new_id()
        pending = self._waiting[name] = Pending()
        try:
            self.feed(make_event(name))
            return await pending.wait(deadline_s)
        finally:
            del self._waiting[name]

    async def _on_call(self, kind, value):
        return await self._here(kind, value, now_s() + TRY_S)

    def _on_message(self, sender, message):
        self.feed(events.Received(sender, message))

    async def _wait_applied(self, index, deadline_s):
        while self.applied_index < index:
            with anyio.move_on_after(deadline_s - now_s()) as scope:
                await self.applied_event.wait()
            if scope.cancelled_caught:
                raise NoQuorum("the log has not caught up in time")

    async def _tick(self):
        while True:
            self.feed(events.Tick())
            await anyio.sleep(self._heartbeat_s / 2)

    async def _carry_out(self):
        while True:
            while self._effects and self._failure is None:
                await self._do(self._effects.popleft())
            if self._failure is not None:
                raise self._failure
            self._wake = anyio.Event()
            await self._wake.wait()

    async def _do(self, effect):
        match effect:
            case events.Send():
                self.peers.send(effect.address, effect.message)
            case events.Persist():
                # Requests that are ready share the next fsync as one group, and what
                # was sent before this effect leaves while the disk works.
                await anyio.lowlevel.checkpoint()
                self._write(self.disk.persist, effect)
            case events.SaveSnapshot():
                self._write(self.disk.save_snapshot, effect)
            case events.Apply():
                self._apply(effect.entries)
            case events.RestoreSnapshot():
                self.state = self.machine.restore(effect.data)
                self._moved_to(effect.index)
            case events.WantSnapshot():
                data = self.machine.snapshot(self.state)
                self.feed(events.Snapshotted(self.applied_index, data))
            case events.Proposed() | events.Rejected():
                self._resolve(effect.proposal_id, effect)
            case events.ReadReady():
                self._resolve(effect.read_id, effect)

    def _write(self, write, effect):
        try:
            write(effect)
        except DiskError as error:
            # What is on the disk is unknown now; only opening it again can tell.
            raise VoterFailed(str(error)) from error
        self.feed(events.Persisted(effect.write_id))

    def _apply(self, entries):
        for entry in entries:
            if entry.kind == "command":
                answer = self.machine.apply(self.state, entry.index, entry.payload)
                if self._waiting:
                    self._answers[entry.index] = answer
        self._moved_to(entries[-1].index)
        while len(self._answers) > KEPT_ANSWERS:
            del self._answers[next(iter(self._answers))]

    def _moved_to(self, index):
        self.applied_index = index
        self.applied_event.set()
        self.applied_event = anyio.Event()

    def _resolve(self, name, effect):
        pending = self._waiting.get(name)
        if pending is not None:
            pending.resolve(effect)


def event_maker(kind: str, value):
    """Return a function from a name to the core's event, None for an unknown kind."""
    if kind == "propose":
        return lambda name: events.Propose(name, value)
    if kind == "read-index":
        return events.ReadIndex
    if kind == "voters":
        voter = jsoncodec.convert(jsoncodec.plain(value["voter"]), events.Voter)
        return lambda name: events.ChangeVoters(name, value["action"], voter)
    return None


def open_core(seat: VoterConfig, disk: Disk):
    """Return the log's core as the disk left it."""
    identity = disk.saved.identity
    me = events.Voter(identity.vm, identity.disk_id, seat.address)
    rng = random.Random(seat.seed)
    return core.open_node(me, disk.saved, seat.timing, rng, now_s())
