"""The configuration as a state machine of the replicated log: the highest version wins.

The same log gives the same state and answers on every voter. A configuration that is
sent again finds its own version and is answered as the first time.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Taken(StrEnum):
    """What became of a configuration."""

    IN_FORCE = "in-force"
    # A higher version is in force; this one changes nothing.
    SUPERSEDED = "superseded"
    # This version is held with other content, which stays.
    CONFLICT = "conflict"


class Put(NamedTuple):
    """A configuration to be accepted; `text` is the operator's own, checked already."""

    version: int
    text: str


class ConfigState:
    """The newest configuration that was accepted; version 0 before the first."""

    def __init__(self, version: int = 0, text: str = ""):
        self.version = version
        self.text = text


def new_state() -> ConfigState:
    """Return the state before the log's first entry."""
    return ConfigState()


def encode(put: Put) -> str:
    """Return the payload of a log entry."""
    return msgspec.json.encode(put).decode()


def apply(state: ConfigState, index: int, payload: str) -> str:
    """Take a committed entry and return what became of it."""
    put = msgspec.json.decode(payload, type=Put)
    if put.version > state.version:
        state.version = put.version
        state.text = put.text
        return Taken.IN_FORCE
    if put.version < state.version:
        return Taken.SUPERSEDED
    return Taken.IN_FORCE if put.text == state.text else Taken.CONFLICT


def snapshot(state: ConfigState) -> str:
    """Return the whole state as text."""
    return msgspec.json.encode(Put(state.version, state.text)).decode()


def restore(text: str) -> ConfigState:
    """Return the state that a snapshot holds."""
    return ConfigState(*msgspec.json.decode(text, type=Put))
