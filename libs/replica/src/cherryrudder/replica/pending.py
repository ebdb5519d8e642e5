"""An answer that is yet to come, by whichever task gets it."""

from typing import Any

import anyio

from .clock import now_s


class Pending:
    """A question's answer; None when there was none in time."""

    def __init__(self, address: str = ""):
        self.address = address
        self.answer: Any = None
        self._done = anyio.Event()

    def resolve(self, answer: Any) -> None:
        """Give the answer to the task that waits."""
        self.answer = answer
        self._done.set()

    async def wait(self, deadline_s: float) -> Any:
        """Wait for the answer until a deadline and return it."""
        with anyio.move_on_after(max(0.0, deadline_s - now_s())):
            await self._done.wait()
        return self.answer
