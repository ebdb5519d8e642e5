"""The faults that a test can give a stand-in, and what they do to it."""

from typing import NamedTuple


class EngineFaults(NamedTuple):
    """Faults of an engine; a call to /v1/faults sets the fields it names.

    `fail_steps` counts the steps still to fail. `slow_long_factor` applies to requests
    past `long_tokens` positions only. `mute` accepts calls and never answers them.
    `die_after_steps` ends the process once so many more batch steps have run.
    """

    slow_factor: float = 1.0
    freeze_s: float = 0.0
    fail_steps: int = 0
    die: bool = False
    slow_long_factor: float = 1.0
    long_tokens: int = 256
    mute: bool = False
    die_after_steps: int = -1


class ServiceFaults(NamedTuple):
    """Faults of a plain service; `fail` and `drop_answers` count calls still to hit."""

    delay_s: float = 0.0
    fail: int = 0
    freeze_s: float = 0.0
    die: bool = False
    drop_answers: int = 0
