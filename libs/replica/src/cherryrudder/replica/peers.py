"""The control VMs' links to one another: the log's messages and calls to the leader.

They go over frame links and not HTTP: a change takes four such messages in a row, and
each HTTP call costs some milliseconds of two processes (docs/design/state.md).
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from cherryrudder.model import jsoncodec
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, listen_frames

from .clock import new_id
from .config import VoterConfig
from .pending import Pending

log = logger.bind(part="peers")


class QuorumMessage(NamedTuple):
    """A message of the log's core, as a voter sends it to another."""

    sender: str
    message: dict


class LeaderCall(NamedTuple):
    """A call to the VM that leads; `reply_to` is the caller's frame address."""

    call_id: str
    reply_to: str
    kind: str
    value: str


class LeaderReply(NamedTuple):
    """The answer to a call; `value` is JSON, null when the VM does not lead."""

    call_id: str
    value: str


class Peers:
    """The links of one control VM."""

    def __init__(
        self,
        seat: VoterConfig,
        group: TaskGroup,
        on_message: Callable[[str, dict], None],
        on_call: Callable[[str, Any], Awaitable[Any]],
    ):
        self.address = seat.address
        self._seat = seat
        self._group = group
        self._codec = FrameCodec((QuorumMessage, LeaderCall, LeaderReply))
        self.links = Links(group, self._codec, seat.key, seat.address, self._link_down)
        self._on_message = on_message
        self._on_call = on_call
        self._waiting: dict[str, Pending] = {}

    def start(self, stopping: anyio.Event) -> None:
        """Listen for the other control VMs until `stopping` is set."""
        self._group.start_soon(
            listen_frames,
            self.address,
            self._codec,
            self._seat.key,
            self._on_frames,
            stopping,
        )

    def send(self, address: str, message: dict) -> None:
        """Send a message of the log's core; it may be lost."""
        self.links.send(address, QuorumMessage(self._seat.vm, message))

    async def call(self, address: str, kind: str, value, deadline_s: float) -> Any:
        """Return the leader's answer, or None when there was none in time."""
        call_id = new_id()
        pending = self._waiting[call_id] = Pending(address)
        text = jsoncodec.encode(value).decode()
        self.links.send(address, LeaderCall(call_id, self.address, kind, text))
        try:
            return await pending.wait(deadline_s)
        finally:
            del self._waiting[call_id]

    def _link_down(self, address):
        # Callers of a killed leader try again now and not when their time is up.
        for pending in self._waiting.values():
            if pending.address == address:
                pending.resolve(None)

    def _on_frames(self, peer, messages):
        for message in messages:
            match message:
                case QuorumMessage():
                    self._on_message(message.sender, message.message)
                case LeaderCall():
                    self._group.start_soon(self._answer, message)
                case LeaderReply():
                    pending = self._waiting.get(message.call_id)
                    if pending is not None:
                        pending.resolve(jsoncodec.decode(message.value))

    async def _answer(self, call):
        try:
            value = await self._on_call(call.kind, jsoncodec.decode(call.value))
        except (msgspec.DecodeError, KeyError) as error:
            log.warning("A call of kind {} was refused: {}.", call.kind, error)
            value = None
        text = jsoncodec.encode(value).decode()
        self.links.send(call.reply_to, LeaderReply(call.call_id, text))
