"""Pending answers: one task waits until another one sets the answer."""

from typing import Any

import anyio

from .clock import now_s


class Pending:
    """The future answer to one request; the first answer or error stays."""

    def __init__(self, address: str = ""):
        self.address = address
        self.answer: Any = None
        self._error: Exception | None = None
        self._done = anyio.Event()

    def resolve(self, answer: Any) -> None:
        """Set the answer and wake the waiting task."""
        if not self._done.is_set():
            self.answer = answer
            self._done.set()

    def fail(self, error: Exception) -> None:
        """Wake the waiting task, whose wait raises the error."""
        if not self._done.is_set():
            self._error = error
            self._done.set()

    async def wait(self, deadline_s: float) -> Any:
        """Wait for the answer and return it, or None at the deadline."""
        await self.wait_done(deadline_s)
        if self._error is not None:
            raise self._error
        return self.answer

    async def wait_done(self, deadline_s: float) -> None:
        """Wait until there is an answer or an error, at most until the deadline."""
        with anyio.move_on_after(max(0.0, deadline_s - now_s())):
            await self._done.wait()
