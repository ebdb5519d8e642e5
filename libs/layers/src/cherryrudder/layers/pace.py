"""Detection of streams that are slower than their chain should be.

Load pattern: some engines become several times slower for some seconds but pass every
health check at once. A chain has four to ten parts, so if one engine in seven is slow,
most chains include one. Prompts queue there, and streams on the other engines of the
chain wait, too. No engine stops responding, so no other check detects this.

The pace of a stream is the sum over its parts. It shows that one of them is slow, and
the engines' own reports show which.
"""

from collections.abc import Iterable

from .chains import HOP_S, Candidate, Chain, layer_step_s
from .profile import ModelProfile

# A stream whose usual pause exceeds the expected one by this factor runs on a slow
# engine, or on busy ones. An engine with an eighth of the layers that becomes five
# times slower makes a chain 1.5 to 2 times slower.
SLOW_FACTOR = 1.6
# The factor for a single pause, which varies more as long prompts are read in between.
STALL_FACTOR = 3.0
# Allowance for prompts that are read between the steps. Without it fast chains would
# always seem slow. A usual prompt takes a few milliseconds on one engine; twice the
# allowance would hide a slow engine with a tenth of the layers.
PREFILL_ALLOWANCE_S = 0.008


def expected_pause_s(
    profile: ModelProfile, chain: Chain, engines: Iterable[Candidate]
) -> float:
    """Return the expected time between two events of a stream, in seconds."""
    known = {engine.address: engine for engine in engines}
    step_s = 0.0
    for part in chain:
        engine = known.get(part.address)
        if engine is not None:
            step_s += (part.end - part.first) * layer_step_s(profile, engine)
        step_s += HOP_S
    return profile.stride * step_s


def is_stalled(silent_s: float, expected_s: float) -> bool:
    """Return whether a single pause indicates a slow engine in the chain."""
    return silent_s > STALL_FACTOR * expected_s + PREFILL_ALLOWANCE_S


def is_slow(pause_s: float, expected_s: float) -> bool:
    """Return whether a stream's usual pause indicates a slow engine in its chain."""
    return pause_s > SLOW_FACTOR * expected_s + PREFILL_ALLOWANCE_S
