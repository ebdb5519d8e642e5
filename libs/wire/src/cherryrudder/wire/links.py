"""Persistent one-way links that carry frames between processes.

Each process listens at one frame address and opens a link to each peer it sends to.
Messages to one peer are sent in order. Those queued while a frame is being written are
sent in the next frame, so batches grow with the load and a single message is not
delayed.
"""

import hmac
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from . import clientshares, sockets
from .clientshares import ClientShares
from .errors import FrameError, StreamBroken, StreamEnded, WireError
from .frames import FrameBuffer, FrameCodec, Hello

# A machine that is still off drops the first packet, and the kernel retransmits it only
# after a second. With a timeout of that length, entries that restarted first got their
# configuration 0.4 s after the others. A round trip between regions takes 40 ms.
CONNECT_TIMEOUT_S = 0.35
# A peer that reads nothing for this long is considered lost. A frozen process keeps its
# TCP connection open, so that senders would wait forever.
WRITE_TIMEOUT_S = 3.0
# Unsent messages per peer. A peer with more is considered lost, since one that stopped
# reading would otherwise fill this process's memory.
MAX_QUEUED_MESSAGES = 20_000
READ_BYTES = 256 * 1024
# What is held for all peers together that haven't said who they are, and how many may
# be connected. The one that has cost most gives way to others.
MAX_STRANGERS_BYTES = 4 * 1024 * 1024
MAX_STRANGERS = 128

log = logger.bind(part="links")


class _Link:
    def __init__(self):
        self.queued = []
        self.wake = anyio.Event()


class Links:
    """The outgoing links of a process, by peer address."""

    def __init__(
        self,
        group: TaskGroup,
        codec: FrameCodec,
        key: str,
        own_address: str,
        on_down: Callable[[str], None],
    ):
        self._group = group
        self._codec = codec
        self._hello = Hello(key, own_address)
        self._on_down = on_down
        self._links: dict[str, _Link] = {}
        self._is_closed = False

    def send(self, address: str, message: Any) -> None:
        """Queue a message; `on_down` is called if the link to the peer fails.

        After `close` it is dropped unless there is a link to the peer.
        """
        link = self._links.get(address)
        if link is None:
            if self._is_closed:
                return
            link = self._links[address] = _Link()
            self._group.start_soon(self._run, address, link)
        link.queued.append(message)
        link.wake.set()
        if len(link.queued) > MAX_QUEUED_MESSAGES:
            self._remove(address, link)

    def close(self) -> None:
        """Open no more links; call it before the group ends, which ends the others."""
        self._is_closed = True

    def peers(self) -> list[str]:
        """Return the addresses with a link."""
        return list(self._links)

    def _remove(self, address, link):
        if self._links.get(address) is link:
            del self._links[address]
            log.debug("Link to {} is down.", address)
            self._on_down(address)

    async def _run(self, address, link):
        try:
            await self._connect_and_write(address, link)
        except BaseException:
            # A cancelled link takes no more messages.
            if self._links.get(address) is link:
                del self._links[address]
            raise
        self._remove(address, link)

    async def _connect_and_write(self, address, link):
        try:
            stream = await sockets.connect(address, CONNECT_TIMEOUT_S)
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._watch_disconnect, stream, group.cancel_scope)
                    await self._write(address, link, stream)
            finally:
                stream.abort()
        except* WireError:
            # `_remove` reports the failure.
            pass
        except* Exception as group:
            # The caller's task group is the process's own.
            for error in group.exceptions:
                log.error("The link to {} failed: {!r}.", address, error)

    async def _watch_disconnect(self, stream, scope):
        # The peer never writes on this connection: any data or error ends the link.
        try:
            await stream.receive(1)
        except WireError:
            pass
        scope.cancel()

    async def _write(self, address, link, stream):
        # A frame by itself: the peer holds no more until it knows who sends.
        data = self._codec.encode([self._hello])
        while self._links.get(address) is link:
            messages, link.queued = link.queued, []
            if messages:
                data += self._codec.encode(messages)
            with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
                await stream.send(data)
            if scope.cancelled_caught:
                raise StreamBroken("the peer stopped reading")
            data = b""
            if not link.queued:
                link.wake = anyio.Event()
                await link.wake.wait()


def deliver(peer: str, messages: Iterable, handle: Callable) -> None:
    """Pass messages to `handle` one by one, and skip any for which it raises.

    All processes receive the same updates, so a message that crashed its reader would
    crash every process. Later messages make up for what was skipped.
    """
    for message in messages:
        try:
            handle(message)
        except Exception as error:
            kind = type(message).__name__
            log.opt(exception=error).error("{} from {} was left out.", kind, peer)


async def listen_frames(
    address: str,
    codec: FrameCodec,
    key: str,
    on_messages: Callable[[str, Sequence], None],
    stopping: anyio.Event,
) -> None:
    """Accept links and pass their messages to `on_messages` until `stopping` is set."""

    strangers = ClientShares(MAX_STRANGERS_BYTES, MAX_STRANGERS)

    async def handle(stream):
        holding = clientshares.open_holding(
            strangers, lambda bound: stream.abort(), anyio.current_time()
        )
        try:
            hello = await _read_hello(stream, codec, key, strangers, holding)
            clientshares.close_holding(strangers, holding)
            await _read(stream, codec, hello, on_messages)
        except FrameError as error:
            log.warning("Rejected a link: {}.", error)
        except (StreamEnded, StreamBroken):
            # The sender logs the failure.
            pass
        except Exception as error:
            log.opt(exception=error).error("A link was closed: {!r}.", error)
        finally:
            clientshares.close_holding(strangers, holding)
            stream.abort()

    def refuses():
        return not clientshares.make_place(strangers, anyio.current_time())

    async with anyio.create_task_group() as group:
        server = await sockets.listen(address, handle, group, refuses)
        try:
            await stopping.wait()
        finally:
            server.close()
        group.cancel_scope.cancel()


class _Opening(NamedTuple):
    """What a peer sent up to the frame in which it says who it is."""

    peer: str
    # Messages beside the Hello, and bytes of further frames.
    messages: Sequence
    frames: FrameBuffer
    bodies: Sequence[bytes]


async def _read_hello(stream, codec, key, strangers, holding):
    """Read a link's first frame; raises FrameError."""
    frames = FrameBuffer()
    while True:
        data = await stream.receive(READ_BYTES)
        now_s = anyio.current_time()
        if not clientshares.hold(strangers, holding, len(data), now_s):
            raise FrameError("no room for frames of an unknown peer")
        if bodies := frames.feed(data):
            messages = codec.decode(bodies[0])
            hello = _check_hello(messages, key)
            return _Opening(hello.address, messages[1:], frames, bodies[1:])


async def _read(stream, codec, opening, on_messages):
    peer, messages, frames, bodies = opening
    while True:
        if messages:
            on_messages(peer, messages)
        messages = []
        for body in bodies:
            if more := codec.decode(body):
                on_messages(peer, more)
        bodies = frames.feed(await stream.receive(READ_BYTES))


def _check_hello(messages, key):
    hello = messages[0] if messages else None
    if not isinstance(hello, Hello) or not hmac.compare_digest(hello.key, key):
        raise FrameError("the first message is not a Hello with the right key")
    return hello
