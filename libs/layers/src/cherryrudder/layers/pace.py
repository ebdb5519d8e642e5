"""Whether a stream goes as fast as its chain should.

Load pattern: some engines turn several times slower for some seconds while they answer
every question at once. A chain has four to ten parts, so that with one engine in seven
slow most chains cross one; its prompts queue up there, and streams on other engines of
the same chain wait, too. Nobody falls silent, so nothing else finds it out.

What a stream shows is the sum over its parts. It says that one of them is slow, and
the engines' own reports say which.
"""

from collections.abc import Iterable

from .chains import HOP_S, Candidate, Chain, layer_step_s
from .profile import ModelProfile

# A stream whose usual pause is so many times the expected one goes through a slow
# engine, or through busy ones. An engine with an eighth of the layers that turns five
# times slower makes a chain 1.5 to 2 times slower.
SLOW_FACTOR = 1.6
# A single pause varies more than the usual one, as long prompts are read in between.
STUCK_FACTOR = 3.0
# Allowance for prompts that are read between the steps, or fast chains would always
# seem slow. A usual prompt takes a few milliseconds in one engine's part; twice as much
# would hide an engine that is slow in a tenth of the layers.
READING_S = 0.008


def expected_pause_s(
    profile: ModelProfile, chain: Chain, engines: Iterable[Candidate]
) -> float:
    """Return the time between two events of a stream over a chain, in seconds."""
    known = {engine.address: engine for engine in engines}
    step_s = 0.0
    for part in chain:
        engine = known.get(part.address)
        if engine is not None:
            step_s += (part.end - part.first) * layer_step_s(profile, engine)
        step_s += HOP_S
    return profile.stride * step_s


def is_stalled(silent_s: float, expected_s: float) -> bool:
    """Tell whether a single pause is long enough for the same hint."""
    return silent_s > STUCK_FACTOR * expected_s + READING_S


def is_slow(pause_s: float, expected_s: float) -> bool:
    """Tell whether a stream's usual pause hints at a slow engine in its chain."""
    return pause_s > SLOW_FACTOR * expected_s + READING_S
