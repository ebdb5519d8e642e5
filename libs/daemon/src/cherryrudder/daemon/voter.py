"""Drives the replicated log's core: its disk, its messages and its clock.

Effects are carried out strictly in order. A `Persist` waits for one turn of the loop
first, so that all requests that arrived in the meantime share its fsync.
"""

import random
from collections import deque
from typing import Any

import anyio
import anyio.lowlevel
from loguru import logger

from cherryrudder.quorum import core, events
from cherryrudder.quorum.core import Timing
from cherryrudder.quorum.files import open_disk
from cherryrudder.state import machine
from cherryrudder.state.commands import Clock
from cherryrudder.wire.errors import StatusError, WireError

from .clock import new_id, now_s, wall_s
from .errors import NoQuorum, StartError

# The leader puts the time of day into the log this often; retention needs no better.
CLOCK_S = 10.0
# A peer that is away must not fill memory: the log is sent again when it is back.
MAX_OUTBOX = 256
SEND_TIMEOUT_S = 1.0
RETRY_S = 0.05

log = logger.bind(part="voter")


class Voter:
    """The control VM's part of the replicated log, and the state that it drives."""

    def __init__(self, process):
        quorum = process.settings.quorum
        result = open_disk(quorum.data_folder, process.settings.process.vm)
        if result.is_error():
            raise StartError(str(result.error))
        self.process = process
        self.disk = result.ok
        self.state = machine.new_state()
        timing = Timing(
            quorum.heartbeat_s,
            quorum.election_min_s,
            quorum.election_max_s,
            quorum.snapshot_entries,
        )
        identity = self.disk.saved.identity
        me = events.Voter(
            identity.vm, identity.disk_id, process.settings.listen.internal
        )
        rng = random.Random(process.incarnation)
        self.node = core.open_node(me, self.disk.saved, timing, rng, now_s())
        self.applied_index = 0
        self.applied = anyio.Event()
        self._effects = deque()
        self._wake = anyio.Event()
        self._answers: dict[int, Any] = {}
        self._waiting: dict[str, Any] = {}
        self._outbox: dict[str, deque] = {}
        self._outbox_wake: dict[str, anyio.Event] = {}
        self._heartbeat_s = quorum.heartbeat_s

    def start(self) -> None:
        """Start the tasks that drive the core."""
        self.process.group.start_soon(self._carry_out)
        self.process.group.start_soon(self._tick)
        self.process.group.start_soon(self._put_time)

    def feed(self, event) -> None:
        """Give the core an event."""
        self._effects.extend(core.handle(self.node, event, now_s()))
        self._wake.set()

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
            result = await self._ask(
                lambda name: events.Propose(name, payload), deadline_s
            )
            if isinstance(result, events.Proposed):
                return self._answers.pop(result.index, None)
            if result is not None and result.leader_address:
                answer = await self._forward(
                    result.leader_address, "propose", {"payload": payload}, deadline_s
                )
                if answer is not None:
                    return answer["answer"]
            await anyio.sleep(RETRY_S)
        raise NoQuorum("no majority of the control VMs answered in time")

    async def confirm(self, timeout_s: float) -> int:
        """Wait until the state here is as fresh as the call; raises NoQuorum."""
        deadline_s = now_s() + timeout_s
        while now_s() < deadline_s:
            index = await self.read_index(deadline_s)
            if index is not None:
                await self._wait_applied(index, deadline_s)
                return self.applied_index
            await anyio.sleep(RETRY_S)
        raise NoQuorum("no majority of the control VMs answered in time")

    async def read_index(self, deadline_s: float, forward: bool = True) -> int | None:
        """Return an index that a fresh read must be at, by the leader's word."""
        result = await self._ask(events.ReadIndex, deadline_s)
        if isinstance(result, events.ReadReady):
            return result.index
        if forward and result is not None and result.leader_address:
            answer = await self._forward(
                result.leader_address, "read-index", {}, deadline_s
            )
            return None if answer is None else answer["index"]
        return None

    async def change_voters(self, action, voter, timeout_s) -> bool:
        """Change the voters by one; false when the leader refused; raises NoQuorum."""
        deadline_s = now_s() + timeout_s
        result = await self._ask(
            lambda name: events.ChangeVoters(name, action, voter), deadline_s
        )
        if isinstance(result, events.Proposed):
            return True
        if result is None:
            raise NoQuorum("the change of voters was not confirmed in time")
        if result.leader_address:
            value = {"action": action, "voter": voter}
            answer = await self._forward(
                result.leader_address, "voters", value, deadline_s
            )
            if answer is None:
                raise NoQuorum("the leader did not confirm the change of voters")
            return answer["done"]
        return False

    async def local_propose(self, payload, timeout_s):
        """Commit a command if this VM leads; returns None when it does not."""
        result = await self._ask(
            lambda name: events.Propose(name, payload), now_s() + timeout_s
        )
        if isinstance(result, events.Proposed):
            return self._answers.pop(result.index, None)
        return None

    async def _ask(self, make_event, deadline_s):
        name = new_id()
        slot = [None, anyio.Event()]
        self._waiting[name] = slot
        try:
            self.feed(make_event(name))
            with anyio.move_on_after(max(0.0, deadline_s - now_s())):
                await slot[1].wait()
            return slot[0]
        finally:
            del self._waiting[name]

    async def _forward(self, address, path, value, deadline_s):
        if address == self.process.settings.listen.internal:
            return None
        timeout_s = max(0.05, min(2.0, deadline_s - now_s()))
        url = f"http://{address}/v1/leader/{path}"
        try:
            return await self.process.client.call(
                "POST", url, value, dict, timeout_s=timeout_s
            )
        except (WireError, StatusError):
            return None

    async def _wait_applied(self, index, deadline_s):
        while self.applied_index < index:
            with anyio.move_on_after(deadline_s - now_s()) as scope:
                await self.applied.wait()
            if scope.cancelled_caught:
                raise NoQuorum("the log has not caught up in time")

    async def _tick(self):
        while True:
            self.feed(events.Tick())
            await anyio.sleep(self._heartbeat_s / 3)

    async def _put_time(self):
        while True:
            await anyio.sleep(CLOCK_S)
            payload = machine.encode_command(Clock(wall_s()))
            self.feed(events.Propose("clock", payload))

    async def _carry_out(self):
        while True:
            while self._effects:
                await self._do(self._effects.popleft())
            self._wake = anyio.Event()
            await self._wake.wait()

    async def _do(self, effect):
        match effect:
            case events.Send():
                self._send(effect)
            case events.Persist():
                # Requests that are ready join this fsync's successor as one group.
                await anyio.lowlevel.checkpoint()
                self.disk.persist(effect)
                self.feed(events.Persisted(effect.write_id))
            case events.SaveSnapshot():
                self.disk.save_snapshot(effect)
                self.feed(events.Persisted(effect.write_id))
            case events.Apply():
                self._apply(effect.entries)
            case events.RestoreSnapshot():
                self.state = machine.restore(effect.data)
                self._moved_to(effect.index)
            case events.WantSnapshot():
                data = machine.snapshot(self.state)
                self.feed(events.Snapshotted(self.applied_index, data))
            case events.Proposed() | events.Rejected():
                self._resolve(effect.proposal_id, effect)
            case events.ReadReady():
                self._resolve(effect.read_id, effect)

    def _apply(self, entries):
        for entry in entries:
            if entry.kind == "command":
                answer = machine.apply(self.state, entry.index, entry.payload)
                if self._waiting:
                    self._answers[entry.index] = answer
        self._moved_to(entries[-1].index)
        # Answers to others' proposals are never fetched; drop them in the order of
        # the log, long after any local caller has taken its own.
        while len(self._answers) > 4096:
            del self._answers[next(iter(self._answers))]

    def _moved_to(self, index):
        self.applied_index = index
        self.applied.set()
        self.applied = anyio.Event()

    def _resolve(self, name, effect):
        slot = self._waiting.get(name)
        if slot is not None:
            slot[0] = effect
            slot[1].set()

    def _send(self, effect):
        if effect.address not in self._outbox:
            self._outbox[effect.address] = deque(maxlen=MAX_OUTBOX)
            self._outbox_wake[effect.address] = anyio.Event()
            self.process.group.start_soon(self._sender, effect.address)
        self._outbox[effect.address].append(effect.message)
        self._outbox_wake[effect.address].set()

    async def _sender(self, address):
        outbox = self._outbox[address]
        url = f"http://{address}/v1/quorum"
        sender = self.process.settings.process.vm
        while True:
            await self._outbox_wake[address].wait()
            self._outbox_wake[address] = anyio.Event()
            messages = list(outbox)
            outbox.clear()
            value = {"sender": sender, "messages": messages}
            try:
                await self.process.client.call(
                    "POST", url, value, timeout_s=SEND_TIMEOUT_S
                )
            except WireError:
                # The core sends again with its next heartbeat whatever was lost.
                await anyio.sleep(self._heartbeat_s)
