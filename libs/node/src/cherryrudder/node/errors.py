"""Errors of the entry and control processes."""

import traceback
from collections.abc import Iterator
from pathlib import Path

from cherryrudder.model.errors import CherryrudderError


class NodeError(CherryrudderError):
    """Base class of the errors of the entry and control processes."""


class StartError(NodeError):
    """The process cannot start; the message is one line for the operator."""


class EngineCallFailed(NodeError):
    """An engine gave no usable answer to one of the router's own calls.

    `paused_s` is how long this process did not run during the call, as far as known,
    and `is_unclear` that it was stopped for longer than the call's timeout.
    """

    def __init__(self, message: str, paused_s: float = 0.0, is_unclear: bool = False):
        super().__init__(message)
        self.paused_s = paused_s
        self.is_unclear = is_unclear


def innermost(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors inside nested groups, or the error itself."""
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            yield from innermost(part)
    else:
        yield error


def describe(error: BaseException) -> list[str]:
    """Return a line for each innermost error, with the place that raised it."""
    return [f"{one!r} in {_place(one)}" for one in innermost(error)]


def _place(error):
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return "unknown"
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno} {frames[-1].name}"
