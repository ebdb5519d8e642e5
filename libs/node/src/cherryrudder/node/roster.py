"""Which control VMs and entries there are, learned from seeds and from beats.

Seeds are the only start; they grow old, so every beat passes on who else was heard. An
address that nobody hears is forgotten, but a seed is tried for ever.
"""

from typing import Generic, NamedTuple, TypeVar

# Beats come every half second; an address that was silent this long is told to nobody.
LIVE_S = 3.0
# Then it isn't sent to any more either: a replaced machine never comes back, and one
# that does beats by itself.
FORGET_S = 10.0

Message = TypeVar("Beat")


class Peer(NamedTuple):
    """The newest beat of a process, and when it came."""

    message: tuple
    heard_s: float


class Roster(Generic[Message]):
    """Processes by their frame address."""

    def __init__(self, own_address: str = "", seeds: tuple[str, ...] = ()):
        self.own_address = own_address
        self.seeds = tuple(seed for seed in seeds if seed != own_address)
        self.peers: dict[str, Peer] = {}
        # Told of by others, and when they last did.
        self.reported_s: dict[str, float] = {}


def hear(roster: Roster, address: str, beat, now_s: float) -> bool:
    """Take a beat; tell whether its sender was not there before."""
    known = roster.peers.get(address)
    roster.peers[address] = Peer(beat, now_s)
    return known is None or now_s - known.heard_s > LIVE_S


def add_reported(roster: Roster, addresses: tuple[str, ...], now_s: float) -> None:
    """Take the addresses that another process has heard lately."""
    for address in addresses:
        if address != roster.own_address:
            roster.reported_s[address] = now_s


def present(roster: Roster, now_s: float) -> list[str]:
    """Return the addresses that were heard lately."""
    return [
        address
        for address, known in roster.peers.items()
        if now_s - known.heard_s < LIVE_S
    ]


def heartbeat_targets(roster: Roster, now_s: float) -> list[str]:
    """Return all addresses that are worth a beat."""
    heard = [a for a, k in roster.peers.items() if now_s - k.heard_s < FORGET_S]
    told = [a for a, told_s in roster.reported_s.items() if now_s - told_s < LIVE_S]
    return list(dict.fromkeys([*heard, *told, *roster.seeds]))


def beats(roster: Roster, now_s: float) -> list:
    """Return the newest beats of those that were heard lately."""
    return [
        known.message
        for known in roster.peers.values()
        if now_s - known.heard_s < LIVE_S
    ]


def mean_age_s(roster: Roster, excluded: str, now_s: float) -> float:
    """Return how old the newest beats of the others are on the average."""
    ages_s = [
        now_s - known.heard_s
        for address, known in roster.peers.items()
        if address != excluded and now_s - known.heard_s < LIVE_S
    ]
    return sum(ages_s) / len(ages_s) if ages_s else 0.0


def sweep(roster: Roster, now_s: float) -> list[str]:
    """Forget who was silent for long, and return them."""
    gone = [a for a, k in roster.peers.items() if now_s - k.heard_s > FORGET_S]
    for address in gone:
        del roster.peers[address]
    for address, told_s in list(roster.reported_s.items()):
        if now_s - told_s > LIVE_S:
            del roster.reported_s[address]
    return gone
