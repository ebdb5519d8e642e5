"""What the driver is told: who the voter is, and the state machine that it drives."""

from collections.abc import Callable
from typing import Any, NamedTuple

from cherryrudder.quorum.saved_state import Timing


class VoterConfig(NamedTuple):
    """One voter: its VM, its frame address IP:PORT, its key and its timing."""

    vm: str
    address: str
    key: str
    timing: Timing
    # Differs between voters, so that they don't campaign at the same moments.
    seed: str


class StateMachine(NamedTuple):
    """A deterministic state machine, as functions over its state."""

    new_state: Callable[[], Any]
    # Takes the state, the entry's index and its payload; returns the answer.
    apply: Callable[[Any, int, str], Any]
    snapshot: Callable[[Any], str]
    restore: Callable[[str], Any]
