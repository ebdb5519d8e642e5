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


NO_LOAD = Load()


class PeerLoad:
    """The last word on the other entries, and what this one had running then."""

    def __init__(self):
        self.reported: dict[str, Load] = {}
        self.own_at_report: dict[str, Load] = {}
        self._own_before: dict[str, Load] = {}


def record_report_sent(load: PeerLoad, own: Mapping[str, Load]) -> None:
    """Take note of what this entry has running as it tells the others."""
    load._own_before = dict(own)


def update_reported(load: PeerLoad, reported: Mapping[str, Load]) -> None:
    """Take what the others had running.

    They told it at different moments of the last half second; of this entry it is
    compared with what it had at the beat that was answered.
    """
    load.reported = dict(reported)
    load.own_at_report = load._own_before


def estimate(load: PeerLoad, address: str, own: Load, peers: float) -> Load:
    """Return what all other entries have running on an engine by now.

    `peers` is how many of them send to it as much as this one.
    """
    told = load.reported.get(address, NO_LOAD)
    then = load.own_at_report.get(address, NO_LOAD)
    if own == then:
        return told
    return Load(
        *(
            max(0.0, known + peers * (now - before))
            for known, now, before in zip(told, own, then, strict=True)
        )
    )
