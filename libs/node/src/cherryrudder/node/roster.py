"""Track live control VMs and entries, discovered from seeds and from heartbeats.

Seeds are only the starting points and may become outdated, so every heartbeat also
carries the addresses of other live processes. An address that no process receives
anything from is dropped, but seeds are always tried.
"""

from typing import Generic, NamedTuple, TypeVar

# Heartbeats come every half second. An address that was silent for this long isn't
# reported to other processes.
LIVE_S = 3.0
# After this time it isn't sent heartbeats any more: a replaced machine never comes
# back, and one that does come back sends heartbeats itself.
DROP_AFTER_S = 10.0

Message = TypeVar("Message")


class Peer(NamedTuple):
    """The newest message of a process, and when it arrived."""

    message: tuple
    last_seen_s: float


class Roster(Generic[Message]):
    """Processes by their frame address."""

    def __init__(self, own_address: str = "", seeds: tuple[str, ...] = ()):
        self.own_address = own_address
        self.seeds = tuple(seed for seed in seeds if seed != own_address)
        self.peers: dict[str, Peer] = {}
        # Addresses reported by others, and when they were last reported.
        self.reported_s: dict[str, float] = {}


def record(roster: Roster, address: str, message, now_s: float) -> bool:
    """Record a peer's message; return whether the peer is new or was lost before."""
    known = roster.peers.get(address)
    roster.peers[address] = Peer(message, now_s)
    return known is None or now_s - known.last_seen_s > LIVE_S


def add_reported(roster: Roster, addresses: tuple[str, ...], now_s: float) -> None:
    """Record the live addresses that another process reported."""
    for address in addresses:
        if address != roster.own_address:
            roster.reported_s[address] = now_s


def live_addresses(roster: Roster, now_s: float) -> list[str]:
    """Return the addresses of the live peers."""
    return [
        address
        for address, known in roster.peers.items()
        if now_s - known.last_seen_s < LIVE_S
    ]


def heartbeat_targets(roster: Roster, now_s: float) -> list[str]:
    """Return the addresses to send heartbeats to: peers, reported ones and seeds."""
    known = [a for a, k in roster.peers.items() if now_s - k.last_seen_s < DROP_AFTER_S]
    reported = [
        a for a, reported_s in roster.reported_s.items() if now_s - reported_s < LIVE_S
    ]
    return list(dict.fromkeys([*known, *reported, *roster.seeds]))


def live_messages(roster: Roster, now_s: float) -> list:
    """Return the newest messages of the live peers."""
    return [
        known.message
        for known in roster.peers.values()
        if now_s - known.last_seen_s < LIVE_S
    ]


def mean_age_s(roster: Roster, excluded: str, now_s: float) -> float:
    """Return the mean age of the newest messages of the other live peers."""
    ages_s = [
        now_s - known.last_seen_s
        for address, known in roster.peers.items()
        if address != excluded and now_s - known.last_seen_s < LIVE_S
    ]
    return sum(ages_s) / len(ages_s) if ages_s else 0.0


def sweep(roster: Roster, now_s: float) -> list[str]:
    """Drop peers and reported addresses that timed out; return the lost peers."""
    gone = [a for a, k in roster.peers.items() if now_s - k.last_seen_s > DROP_AFTER_S]
    for address in gone:
        del roster.peers[address]
    for address, reported_s in list(roster.reported_s.items()):
        if now_s - reported_s > LIVE_S:
            del roster.reported_s[address]
    return gone
