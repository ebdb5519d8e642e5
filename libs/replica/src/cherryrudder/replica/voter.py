"""Runs the core of the replicated log with its disk, messages and clock.

Effects are executed strictly in order. Before a `Persist`, other tasks run for one
turn of the event loop, so that the requests that have arrived share its fsync.
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
from cherryrudder.quorum.errors import DiskError
from cherryrudder.quorum.files import Disk

from .clock import new_id, now_s
from .config import StateMachine, VoterConfig
from .errors import NoQuorum, VoterFailed
from .peers import Peers
from .pending import Pending

# Timeout of one attempt at a leader, about ten times the usual time of a change. A
# frozen leader is retried until its followers have elected another, which takes about
# a second.
ATTEMPT_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.05
# How long a voter whose disk fails waits for answers of the leader, which take about
# 40 ms.
LAST_ANSWERS_TIMEOUT_S = 0.1
# Answers to proposals that no task here waits for, kept in case one does later.
MAX_KEPT_ANSWERS = 4096
NO_QUORUM = "no majority of the control VMs answered in time"
UNCONFIRMED = "the change of voters was not confirmed in time"

log = logger.bind(part="voter")


class Voter:
    """A control VM's voter, and the state machine's state that its log produces."""

    def __init__(
        self, config: VoterConfig, disk: Disk, machine: StateMachine, group: TaskGroup
    ):
        self.group = group
        self.disk = disk
        self.machine = machine
        self.state = machine.new_state()
        self.applied_index = 0
        self.applied_event = anyio.Event()
        self.peers = Peers(config, group, self._on_message, self._on_call)
        self.node = open_core(config, disk)
        self._heartbeat_s = config.timing.heartbeat_s
        self._effects = deque()
        self._effects_added = anyio.Event()
        # The error of all calls once the voter has ended, and the one that ended it,
        # unless it was closed.
        self._end: VoterFailed | None = None
        self._failure: VoterFailed | None = None
        self._answers: dict[int, Any] = {}
        self._waiting: dict[str, Pending] = {}

    def start(self, stopping: anyio.Event) -> None:
        """Start the voter's tasks; `stopping` closes the listener."""
        self.peers.start(stopping)
        self.group.start_soon(self._run_effects)
        self.group.start_soon(self._tick)

    def close(self) -> None:
        """Refuse events from now on; waiting and later calls raise VoterFailed.

        Call it before the disk is closed. A voter whose disk or task group fails closes
        itself.
        """
        try:
            self._close(VoterFailed("the voter was closed"))
        finally:
            self.peers.end_calls(self._end)

    def feed(self, event) -> None:
        """Pass an event to the core. Raises VoterFailed."""
        if self._end is not None:
            raise self._end
        try:
            self._effects.extend(core.handle(self.node, event, now_s()))
        except Exception as error:
            # The core has processed only part of the event. Failing the current
            # request is not enough: `_run_effects` ends the voter with this error.
            raise self._fail(error) from error
        finally:
            self._effects_added.set()

    def status(self) -> dict:
        """Return the core's status with the index applied to this VM's state."""
        return core.status(self.node) | {"applied": self.applied_index}

    async def propose(self, payload: str, timeout_s: float) -> Any:
        """Commit a command through the leader. Raises NoQuorum and VoterFailed.

        Every command carries an id that makes it idempotent, so it is safe to propose
        it again if the leader was lost before it answered.
        """
        deadline_s = now_s() + timeout_s
        while now_s() < deadline_s:
            answer = await self._call_leader("propose", payload, deadline_s)
            if answer is not None:
                return answer
            await anyio.sleep(RETRY_DELAY_S)
        raise NoQuorum(NO_QUORUM)

    async def wait_for_read_index(self, timeout_s: float) -> int:
        """Wait until the local state has every change accepted before this call.

        Returns the applied index. Raises NoQuorum and VoterFailed.
        """
        deadline_s = now_s() + timeout_s
        while now_s() < deadline_s:
            index = await self._call_leader("read-index", "", deadline_s)
            if index is not None:
                await self._wait_applied(index, deadline_s)
                return self.applied_index
            await anyio.sleep(RETRY_DELAY_S)
        raise NoQuorum(NO_QUORUM)

    async def change_voters(self, action, voter, timeout_s: float) -> bool:
        """Change one voter; return False if the leader refused.

        Raises NoQuorum and VoterFailed.
        """
        value = {"action": action, "voter": voter}
        done = await self._call_leader("voters", value, now_s() + timeout_s)
        if done is None:
            raise NoQuorum(UNCONFIRMED)
        return done

    async def _call_leader(self, kind, value, deadline_s):
        """Return the answer of this VM if it leads, or else of the known leader."""
        deadline_s = min(deadline_s, now_s() + ATTEMPT_TIMEOUT_S)
        answer = await self._call_here(kind, value, deadline_s)
        address = core.status(self.node)["leader_address"]
        if answer is None and address not in ("", self.peers.address):
            answer = await self.peers.call(address, kind, value, deadline_s)
        return answer

    async def _call_here(self, kind, value, deadline_s):
        """Return the answer if this VM leads, else None."""
        make_event = make_event_factory(kind, value)
        if make_event is None:
            return None
        result = await self._request(make_event, deadline_s)
        match result:
            case events.Committed():
                return self._answers.pop(result.index, True)
            case events.ReadReady():
                return result.index
            case events.Rejected() if kind == "voters" and not result.certain:
                # The next leader may have the change, and would refuse it as made.
                raise NoQuorum(UNCONFIRMED)
            case events.Rejected() if kind == "voters" and result.reason:
                # A reason means that the leader refused; without one this VM does
                # not lead.
                return False
        return None

    async def _request(self, make_event, deadline_s):
        request_id = new_id()
        pending = self._waiting[request_id] = Pending()
        try:
            self.feed(make_event(request_id))
            return await pending.wait(deadline_s)
        finally:
            del self._waiting[request_id]

    async def _on_call(self, kind, value):
        return await self._call_here(kind, value, now_s() + ATTEMPT_TIMEOUT_S)

    def _close(self, end):
        if self._end is not None:
            return
        self._end = end
        try:
            self._settle()
        finally:
            for pending in self._waiting.values():
                pending.fail(end)
            self.peers.close(end)
            self._wake_applied()

    def _settle(self):
        """Execute the answers that the core gave before the end.

        They are queued behind a write that failed or won't be made, but don't depend
        on it.
        """
        while self._effects:
            match effect := self._effects.popleft():
                case events.RestoreSnapshot():
                    # Only a follower installs one, and it has no answers behind it.
                    return
                case events.Apply():
                    self._apply(effect.entries)
                case events.Committed() | events.Rejected():
                    self._resolve(effect.proposal_id, effect)
                case events.ReadReady():
                    self._resolve(effect.read_id, effect)

    def _fail(self, error):
        self._failure = VoterFailed(str(error))
        self._close(self._failure)
        return self._failure

    def _on_message(self, sender, message):
        if self._end is None:
            self.feed(events.Received(sender, message))

    async def _wait_applied(self, index, deadline_s):
        while self.applied_index < index:
            if self._end is not None:
                raise self._end
            with anyio.move_on_after(deadline_s - now_s()) as scope:
                await self.applied_event.wait()
            if scope.cancelled_caught:
                raise NoQuorum("the log has not caught up in time")

    async def _tick(self):
        while self._end is None:
            self.feed(events.Tick())
            await anyio.sleep(self._heartbeat_s / 2)

    async def _run_effects(self):
        try:
            while True:
                while self._effects and self._end is None:
                    await self._run_effect(self._effects.popleft())
                if self._failure is not None:
                    raise self._failure
                self._effects_added = anyio.Event()
                await self._effects_added.wait()
        finally:
            # Callers outside the task group would wait for effects that never run.
            self.close()

    async def _run_effect(self, effect):
        match effect:
            case events.Send():
                self.peers.send(effect.address, effect.message)
            case events.Persist():
                # Requests that are ready share the next fsync, and messages sent
                # before this effect go out before the disk write blocks.
                await anyio.lowlevel.checkpoint()
                if self._end is None:
                    await self._write(self.disk.persist, effect)
            case events.SaveSnapshot():
                await self._write(self.disk.save_snapshot, effect)
            case events.Apply():
                self._apply(effect.entries)
            case events.RestoreSnapshot():
                self.state = self.machine.restore(effect.data)
                self._set_applied_index(effect.index)
            case events.TakeSnapshot():
                data = self.machine.snapshot(self.state)
                self.feed(events.SnapshotTaken(self.applied_index, data))
            case events.Committed() | events.Rejected():
                self._resolve(effect.proposal_id, effect)
            case events.ReadReady():
                self._resolve(effect.read_id, effect)

    async def _write(self, write, effect):
        try:
            write(effect)
        except DiskError as error:
            # The disk's content is unknown now until it is opened again.
            failure = self._fail(error)
            # Another VM that leads can commit without it.
            await self.peers.wait_for_calls(LAST_ANSWERS_TIMEOUT_S)
            raise failure from error
        self.feed(events.Persisted(effect.write_id))

    def _apply(self, entries):
        for entry in entries:
            if entry.kind == "command":
                try:
                    answer = self.machine.apply(self.state, entry.index, entry.payload)
                except BaseException:
                    # What is queued, answers included, relies on this entry.
                    self._effects.clear()
                    raise
                if self._waiting:
                    self._answers[entry.index] = answer
        self._set_applied_index(entries[-1].index)
        while len(self._answers) > MAX_KEPT_ANSWERS:
            del self._answers[next(iter(self._answers))]

    def _set_applied_index(self, index):
        self.applied_index = index
        self._wake_applied()

    def _wake_applied(self):
        self.applied_event.set()
        self.applied_event = anyio.Event()

    def _resolve(self, request_id, effect):
        pending = self._waiting.get(request_id)
        if pending is not None:
            pending.resolve(effect)


def make_event_factory(kind: str, value):
    """Return a function that makes the core's event with an id.

    Returns None for an unknown kind, or a command that isn't text.
    """
    if kind == "propose" and isinstance(value, str):
        return lambda name: events.Propose(name, value)
    if kind == "read-index":
        return events.ReadIndex
    if kind == "voters":
        voter = jsoncodec.convert(jsoncodec.plain(value["voter"]), events.Voter)
        return lambda name: events.ChangeVoters(name, value["action"], voter)
    return None


def open_core(config: VoterConfig, disk: Disk):
    """Return a core that resumes from the disk's content."""
    identity = disk.saved.identity
    me = events.Voter(identity.vm, identity.disk_id, config.address)
    rng = random.Random(config.seed)
    return core.open_node(me, disk.saved, config.timing, rng, now_s())
