"""Write structured log lines to standard output, bounded and without blocking.

Otherwise a reader that stops would block every request, and logging a flood of refusals
would cost more than serving the requests.
"""

import os
import time

import msgspec
from loguru import logger

# Lines per second up to which all are written. Above it only lines marked as kept are
# written, and above twice this number none. A busy entry has some 30 requests per
# second with 4 lines each.
LINES_PER_S = 200
# Bytes that may wait for the reader. Further lines are dropped and counted.
MAX_WAITING_BYTES = 256 * 1024

# Clients choose some of what lines hold, such as ids.
MAX_TEXT_CHARACTERS = 4096

encode = msgspec.json.Encoder().encode


class LineSink:
    """The lines that wait to be written, and the counts of the current second."""

    def __init__(self, descriptor: int = 1, vm: str = "", role: str = ""):
        self._descriptor = descriptor
        self._head = {"vm": vm, "role": role}
        self._waiting = bytearray()
        self._second = 0
        self._written = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, part: str, event: str, is_kept: bool = False, **fields) -> None:
        """Write one line; `is_kept` lines have twice the budget per second."""
        # The wall clock is only written out, never compared.
        wall_s = time.time()
        if not self._has_budget(int(wall_s), is_kept):
            self.dropped += 1
            return
        line = {"time": round(wall_s, 3), **self._head, "part": part, "event": event}
        fields = {name: _shorten(value) for name, value in fields.items()}
        # The common fields win over fields of the same name.
        try:
            text = encode(line | fields | line)
        except Exception as error:
            # A line must not cost more than itself, whatever its fields hold.
            text = encode(line | {"unwritable": repr(error)})
        self._put(text + b"\n")

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        while self._waiting:
            try:
                count = os.write(self._descriptor, self._waiting[:65536])
            except (BlockingIOError, OSError):
                # The reader has stopped or is gone: the lines wait, up to the limit.
                return
            del self._waiting[:count]

    def _put(self, line):
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting += line
        self.flush()

    def _has_budget(self, second, is_kept):
        if second != self._second:
            self._start_second(second)
        self._written += 1
        limit = 2 * LINES_PER_S if is_kept else LINES_PER_S
        return self._written <= limit

    def _start_second(self, second):
        self._second = second
        self._written = 0
        if self.dropped:
            line = {**self._head, "part": "log", "event": "dropped"}
            self._put(encode(line | {"lines": self.dropped}) + b"\n")
            self.dropped = 0


def _shorten(value):
    return value[:MAX_TEXT_CHARACTERS] if isinstance(value, str) else value


def take_over_logs(sink: LineSink) -> None:
    """Redirect loguru's messages to the sink."""

    def forward(message):
        record = message.record
        part = record["extra"].get("part", "process")
        level = record["level"].name.lower()
        sink.write(part, "note", level=level, text=record["message"])

    logger.remove()
    logger.configure(extra={"part": "process"})
    logger.add(forward, level="INFO", format="{message}", backtrace=False)
