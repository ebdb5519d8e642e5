"""Structured log lines on standard output: bounded, and never waited for.

A reader of the output that stops would otherwise hold up every request, and a flood of
refusals would cost more than serving them.
"""

import os
import time

import msgspec
from loguru import logger

# Lines a second that are written in full; past it only what is marked as kept, and
# past twice as many nothing. A busy entry has some 30 requests a second with 4 lines.
LINES_PER_S = 200
# Bytes that wait for a reader; then lines are dropped and counted.
MAX_WAITING_BYTES = 256 * 1024

encode = msgspec.json.Encoder().encode


class LineSink:
    """Lines that wait to be written, and the counts of the present second."""

    def __init__(self, descriptor: int = 1, vm: str = "", role: str = ""):
        self._descriptor = descriptor
        self._head = {"vm": vm, "role": role}
        self._waiting = bytearray()
        self._second = 0
        self._written = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, part: str, event: str, is_kept: bool = False, **fields) -> None:
        """Write one line; `is_kept` lines go on when the second's budget is spent."""
        # The time of day is only told, never compared.
        wall_s = time.time()
        if not self._has_budget(int(wall_s), is_kept):
            self.dropped += 1
            return
        line = {"time": round(wall_s, 3), **self._head, "part": part, "event": event}
        # The line's own head stands even if a field has one of its names.
        self._put(encode(line | fields | line) + b"\n")

    def flush(self) -> None:
        """Write what the reader takes without waiting for it."""
        while self._waiting:
            try:
                count = os.write(self._descriptor, self._waiting[:65536])
            except (BlockingIOError, OSError):
                # A reader that stopped or went: the lines wait within their bound.
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


def take_over_logs(sink: LineSink) -> None:
    """Send the lines of the libraries' loggers through the sink."""

    def forward(message):
        record = message.record
        part = record["extra"].get("part", "process")
        level = record["level"].name.lower()
        sink.write(part, "note", level=level, text=record["message"])

    logger.remove()
    logger.configure(extra={"part": "process"})
    logger.add(forward, level="INFO", format="{message}", backtrace=False)
