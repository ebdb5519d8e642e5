"""Which control VMs a sidecar announces to, the same at each of its starts."""

from collections.abc import Collection
from typing import NamedTuple

from .rendezvous import rank

# One may be lost or frozen without an endpoint being lost with it; each further one
# costs every sidecar another announcement every half second.
ANNOUNCE_COUNT = 2


# Control VMs that hold the table of endpoints. Every entry follows all of them, or it
# would miss the endpoints that announce to the others; five bear two losses.
MAX_TABLE_VMS = 5


class ControlVm(NamedTuple):
    """A control VM that takes announcements."""

    address: str
    region: str


def table_addresses(addresses: Collection[str]) -> list[str]:
    """Return the control VMs that hold the table, the same for every process."""
    return sorted(addresses)[:MAX_TABLE_VMS]


def choose(
    control_vms: Collection[ControlVm],
    region: str,
    endpoint: str,
    failing: Collection[str] = (),
    count: int = ANNOUNCE_COUNT,
) -> list[str]:
    """Return the addresses to announce to: own region first, then any other.

    Pass the addresses that did not answer as `failing`: they come last, so that a
    sidecar turns to another control VM and goes back once they answer again.
    """
    regions = {vm.address: vm.region for vm in control_vms}
    ranked = rank(regions, endpoint)
    # The sort is stable, so the rendezvous order decides within each group.
    ranked.sort(key=lambda address: (address in failing, regions[address] != region))
    return ranked[:count]
