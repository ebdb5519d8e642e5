"""Faults that a test can set on a stand-in."""

from collections.abc import Callable
from typing import NamedTuple

from .batching import Job


class EngineFaults(NamedTuple):
    """Faults of an engine; a call to /v1/faults sets the fields in its body.

    `fail_steps` is the number of steps still to fail. Requests past `long_tokens`
    positions run only in every `slow_long_factor`-th batch step, while short ones keep
    their speed. `mute` accepts calls and never answers them. `die_after_steps` ends the
    process after that many more batch steps.
    """

    slow_factor: float = 1.0
    freeze_s: float = 0.0
    fail_steps: int = 0
    die: bool = False
    slow_long_factor: int = 1
    long_tokens: int = 256
    mute: bool = False
    die_after_steps: int = -1


class ServiceFaults(NamedTuple):
    """Faults of a plain service; `fail` and `drop_answers` count the calls affected."""

    delay_s: float = 0.0
    fail: int = 0
    freeze_s: float = 0.0
    die: bool = False
    drop_answers: int = 0


def may_run(faults: EngineFaults, step_number: int) -> Callable[[Job], bool]:
    """Return a predicate for the jobs that a batch step may take under the faults."""
    if step_number % max(1, faults.slow_long_factor) == 0:
        return lambda job: True
    return lambda job: job.position < faults.long_tokens
