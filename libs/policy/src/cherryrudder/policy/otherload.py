"""What the other entries have running on each engine, between two words of it.

Load pattern: some dozens of entries place streams, and each hears twice a second what
the others have running. Between two words all of them see the same engine as the least
used one and send everything there: one copy of a range has several times the streams
of another, engines refuse for want of room, and each refusal costs a retry.

All entries of a data centre get alike shares of its callers and choose in the same way.
So what this entry has added to an engine since the last word, each of the others has
added as well, on the average. It is a poor guess for one engine at one moment, but it
is right in sum, and it makes an entry turn to another copy after each choice.
"""

from collections.abc import Mapping
from typing import NamedTuple


class Load(NamedTuple):
    """What runs through one engine; `firsts` are streams whose chain begins there."""

    running: float = 0.0
    tokens: float = 0.0
    firsts: float = 0.0


NONE = Load()


class OtherLoad:
    """The last word on the other entries, and what this one had running then."""

    def __init__(self):
        self.told: dict[str, Load] = {}
        self.own_then: dict[str, Load] = {}
        self._own_last_sent: dict[str, Load] = {}


def note_beat(load: OtherLoad, own: Mapping[str, Load]) -> None:
    """Take note of what this entry has running as it tells the others."""
    load._own_last_sent = dict(own)


def hear(load: OtherLoad, told: Mapping[str, Load]) -> None:
    """Take what the others had running.

    They told it at different moments of the last half second; of this entry it is
    compared with what it had at the beat that was answered.
    """
    load.told = dict(told)
    load.own_then = load._own_last_sent


def estimate(load: OtherLoad, address: str, own: Load, peers: float) -> Load:
    """Return what all other entries have running on an engine by now.

    `peers` is how many of them send to it as much as this one.
    """
    told = load.told.get(address, NONE)
    then = load.own_then.get(address, NONE)
    if own == then:
        return told
    return Load(
        *(
            max(0.0, known + peers * (now - before))
            for known, now, before in zip(told, own, then, strict=True)
        )
    )
