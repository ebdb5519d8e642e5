"""Configuration of a voter: its identity and timing, and its state machine."""

from collections.abc import Callable
from typing import Any, NamedTuple

from cherryrudder.quorum.saved_state import Timing


class VoterConfig(NamedTuple):
    """Configuration of a voter; `address` is its frame address as IP:PORT."""

    vm: str
    address: str
    key: str
    timing: Timing
    # Differs between voters, so that they don't campaign at the same time.
    seed: str


class StateMachine(NamedTuple):
    """A deterministic state machine, as functions over its state."""

    new_state: Callable[[], Any]
    # Called with the state, the entry's index and its payload; returns the answer.
    apply: Callable[[Any, int, str], Any]
    snapshot: Callable[[Any], str]
    restore: Callable[[str], Any]
