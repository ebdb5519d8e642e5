"""One process's frame links: the listener, the outgoing links and their codec."""

from collections.abc import Callable, Sequence

from cherryrudder.wire.frames import FrameCodec
from cherryrudder.wire.links import Links, listen_frames


class FramePort:
    """The frame address of a process and its links to others."""

    def __init__(
        self,
        process,
        kinds: Sequence[type],
        on_messages: Callable[[str, Sequence], None],
        on_down: Callable[[str], None] = lambda address: None,
    ):
        self.process = process
        self.address = process.settings.listen.frames
        self.on_messages = on_messages
        self.codec = FrameCodec(kinds)
        key = process.internal_key
        self.links = Links(process.group, self.codec, key, self.address, on_down)

    def start(self) -> None:
        """Start listening until the process stops."""
        self.process.group.start_soon(
            listen_frames,
            self.address,
            self.codec,
            self.process.internal_key,
            self.on_messages,
            self.process.stopping,
        )
