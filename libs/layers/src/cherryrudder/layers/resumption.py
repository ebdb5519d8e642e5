"""Where a stream goes on whose chain has lost an engine.

Load pattern: an engine dies under some dozens of streams at once. Beside the survivors
only the lost part is read again, which costs least; but all of them turn to the few
engines that hold the same layers, which read one after the other. The last ones wait
for longer than their clients allow, while other data centres have nothing to read.
"""

from collections.abc import Iterable

from .chains import Candidate, reading_wait_s
from .profile import ModelProfile


def read_s(profile: ModelProfile, engines: Iterable[Candidate], tokens: float) -> float:
    """Return when engines will have read a stream beside what waits there already."""
    waits = (
        reading_wait_s(profile, engine._replace(unread=engine.unread + tokens))
        for engine in engines
    )
    return max(waits, default=0.0)


def is_better_elsewhere(inside_s: float, elsewhere_s: float, left_s: float) -> bool:
    """Tell whether another whole chain keeps a pause in time that would be late.

    `left_s` is the time until then. Else the survivors' memory is worth more.
    """
    return elsewhere_s < left_s < inside_s
