"""Estimate of the streams that the other entries have running on each engine.

Some dozens of entries place streams, and each receives twice a second what the others
have running. Between two reports all of them see the same engine as the least used one
and send everything there: one copy of a range has several times the streams of another,
engines refuse for lack of capacity, and each refusal costs a retry.

All entries of a data centre get similar shares of its callers and choose in the same
way. So each of the others is assumed to have added as much to an engine since the last
report as this entry has. This is a poor estimate for one engine at one moment, but its
sum is right, and it makes an entry choose another copy after each choice.
"""

from collections.abc import Mapping
from typing import NamedTuple


class Load(NamedTuple):
    """What runs on one engine; `firsts` are streams whose chain begins there."""

    running: float = 0.0
    tokens: float = 0.0
    firsts: float = 0.0


NO_LOAD = Load()


class PeerLoad:
    """The last report on the other entries, and this entry's own load at that time."""

    def __init__(self):
        self.reported: dict[str, Load] = {}
        self.own_at_report: dict[str, Load] = {}
        self._own_last_sent: dict[str, Load] = {}


def record_report_sent(load: PeerLoad, own: Mapping[str, Load]) -> None:
    """Record this entry's load as it is sent to the others."""
    load._own_last_sent = dict(own)


def update_reported(load: PeerLoad, reported: Mapping[str, Load]) -> None:
    """Store the load of the other entries.

    They reported it at different moments of the last half second. It is compared with
    this entry's own load at its report that was answered.
    """
    load.reported = dict(reported)
    load.own_at_report = load._own_last_sent


def estimate(load: PeerLoad, address: str, own: Load, peers: float) -> Load:
    """Return the current load of all other entries on an engine.

    `peers` is the number of entries that send to it as much as this one.
    """
    reported = load.reported.get(address, NO_LOAD)
    then = load.own_at_report.get(address, NO_LOAD)
    if own == then:
        return reported
    return Load(
        *(
            max(0.0, known + peers * (now - before))
            for known, now, before in zip(reported, own, then, strict=True)
        )
    )
