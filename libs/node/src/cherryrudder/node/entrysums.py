"""Sums over the reports of all entries but one."""

from collections.abc import Iterable

from . import roster
from .gossip import EntryHeartbeat, Usage
from .roster import Roster


def others(entries: Roster, address: str, now_s: float) -> list[EntryHeartbeat]:
    """Return the newest heartbeats of the other live entries."""
    heartbeats = roster.live_messages(entries, now_s)
    return [one for one in heartbeats if one.address != address]


def sum_usage(heartbeats: Iterable[EntryHeartbeat]) -> tuple[Usage, ...]:
    """Return the usage summed over entries, by engine."""
    sums: dict[str, Usage] = {}
    for one in (one for heartbeat in heartbeats for one in heartbeat.usage):
        known = sums.get(one.address, Usage(one.address, 0, 0, 0))
        sums[one.address] = Usage(
            one.address,
            known.running + one.running,
            known.tokens + one.tokens,
            known.firsts + one.firsts,
        )
    return tuple(sums.values())
