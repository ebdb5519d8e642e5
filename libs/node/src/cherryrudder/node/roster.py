"""Which control VMs and entries there are, learned from seeds and from beats.

Seeds are the only start; they grow old, so every beat passes on who else was heard. An
address that nobody hears is forgotten, but a seed is tried for ever.
"""

from typing import Generic, NamedTuple, TypeVar

# Beats come every half second; an address that was silent this long is told to nobody.
PRESENT_S = 3.0
# Then it isn't sent to any more either: a replaced machine never comes back, and one
# that does beats by itself.
FORGET_S = 10.0

Beat = TypeVar("Beat")


class Present(NamedTuple):
    """The newest beat of a process, and when it came."""

    beat: tuple
    last_seen_s: float


class Roster(Generic[Beat]):
    """Processes by their frame address."""

    def __init__(self, own_address: str = "", seeds: tuple[str, ...] = ()):
        self.own_address = own_address
        self.seeds = tuple(seed for seed in seeds if seed != own_address)
        self.peers: dict[str, Present] = {}
        # Told of by others, and when they last did.
        self.told: dict[str, float] = {}


def record(roster: Roster, address: str, message, now_s: float) -> bool:
    """Take a beat; tell whether its sender was not there before."""
    known = roster.peers.get(address)
    roster.peers[address] = Present(message, now_s)
    return known is None or now_s - known.last_seen_s > PRESENT_S


def tell(roster: Roster, addresses: tuple[str, ...], now_s: float) -> None:
    """Take the addresses that another process has heard lately."""
    for address in addresses:
        if address != roster.own_address:
            roster.told[address] = now_s


def live_addresses(roster: Roster, now_s: float) -> list[str]:
    """Return the addresses that were heard lately."""
    return [
        address
        for address, known in roster.peers.items()
        if now_s - known.last_seen_s < PRESENT_S
    ]


def targets(roster: Roster, now_s: float) -> list[str]:
    """Return all addresses that are worth a beat."""
    heard = [a for a, k in roster.peers.items() if now_s - k.last_seen_s < FORGET_S]
    told = [a for a, told_s in roster.told.items() if now_s - told_s < PRESENT_S]
    return list(dict.fromkeys([*heard, *told, *roster.seeds]))


def live_messages(roster: Roster, now_s: float) -> list:
    """Return the newest beats of those that were heard lately."""
    return [
        known.beat
        for known in roster.peers.values()
        if now_s - known.last_seen_s < PRESENT_S
    ]


def mean_age_s(roster: Roster, but: str, now_s: float) -> float:
    """Return how old the newest beats of the others are on the average."""
    ages_s = [
        now_s - known.last_seen_s
        for address, known in roster.peers.items()
        if address != but and now_s - known.last_seen_s < PRESENT_S
    ]
    return sum(ages_s) / len(ages_s) if ages_s else 0.0


def sweep(roster: Roster, now_s: float) -> list[str]:
    """Forget who was silent for long, and return them."""
    gone = [a for a, k in roster.peers.items() if now_s - k.last_seen_s > FORGET_S]
    for address in gone:
        del roster.peers[address]
    for address, told_s in list(roster.told.items()):
        if now_s - told_s > PRESENT_S:
            del roster.told[address]
    return gone
