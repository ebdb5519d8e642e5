"""Links between control VMs: messages of the log and calls to the leader.

They use frame links instead of HTTP: a change takes four such messages in sequence,
and each HTTP call costs some milliseconds in both processes (docs/design/state.md).
"""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from cherryrudder.model import jsoncodec
from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, deliver, listen_frames

from .clock import new_id, now_s
from .config import VoterConfig
from .errors import ReplicaError, VoterFailed
from .pending import Pending

log = logger.bind(part="peers")


class QuorumMessage(NamedTuple):
    """A message from one voter's core to another's."""

    sender: str
    message: dict


class LeaderCall(NamedTuple):
    """A call to the leader; `reply_to` is the caller's frame address."""

    call_id: str
    reply_to: str
    kind: str
    value: str


class LeaderReply(NamedTuple):
    """The reply to a call; `value` is JSON, null if the VM is not the leader."""

    call_id: str
    value: str


class Peers:
    """Links of one control VM to the others."""

    def __init__(
        self,
        config: VoterConfig,
        group: TaskGroup,
        on_message: Callable[[str, dict], None],
        on_call: Callable[[str, Any], Awaitable[Any]],
    ):
        self.address = config.address
        self._config = config
        self._group = group
        self.codec = FrameCodec((QuorumMessage, LeaderCall, LeaderReply))
        self.links = Links(
            group, self.codec, config.key, config.address, self._link_down
        )
        self._on_message = on_message
        self._on_call = on_call
        self._waiting: dict[str, Pending] = {}
        self._error: VoterFailed | None = None

    def start(self, stopping: anyio.Event) -> None:
        """Listen for the other control VMs until `stopping` is set."""
        self._group.start_soon(
            listen_frames,
            self.address,
            self.codec,
            self._config.key,
            self._on_frames,
            stopping,
        )

    def close(self, error: VoterFailed) -> None:
        """Open no more links; later calls raise the error."""
        self._error = error
        self.links.close()

    async def wait_for_calls(self, timeout_s: float) -> None:
        """Wait until no call waits for the leader's answer."""
        deadline_s = now_s() + timeout_s
        for pending in list(self._waiting.values()):
            await pending.wait_done(deadline_s)

    def end_calls(self, error: VoterFailed) -> None:
        """Make the calls that wait raise the error."""
        for pending in self._waiting.values():
            pending.fail(error)

    def send(self, address: str, message: dict) -> None:
        """Send a message of the voter's core; it may be lost."""
        self.links.send(address, QuorumMessage(self._config.vm, message))

    async def call(self, address: str, kind: str, value, deadline_s: float) -> Any:
        """Call the leader and return its answer, or None at the deadline.

        Raises VoterFailed once this VM's voter is closed.
        """
        if self._error is not None:
            raise self._error
        call_id = new_id()
        pending = self._waiting[call_id] = Pending(address)
        text = jsoncodec.encode(value).decode()
        self.links.send(address, LeaderCall(call_id, self.address, kind, text))
        try:
            return await pending.wait(deadline_s)
        finally:
            del self._waiting[call_id]

    def _link_down(self, address):
        # If the leader was killed, its callers retry now instead of after a timeout.
        for pending in self._waiting.values():
            if pending.address == address:
                pending.resolve(None)

    def _on_frames(self, peer, messages):
        deliver(peer, messages, self._handle)

    def _handle(self, message):
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
        except ReplicaError:
            # The caller asks the next leader, or is told that the outcome is unknown.
            value = None
        except Exception as error:
            log.warning("A call of kind {} was refused: {!r}.", call.kind, error)
            value = None
        text = jsoncodec.encode(value).decode()
        self.links.send(call.reply_to, LeaderReply(call.call_id, text))
