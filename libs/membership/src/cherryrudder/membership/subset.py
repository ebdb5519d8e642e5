"""Stable choice of the control VMs that a sidecar announces to."""

from collections.abc import Collection
from typing import NamedTuple

from .rendezvous import rank

# With two, an endpoint survives the loss or freeze of one control VM. Each further one
# costs every sidecar another announcement every half second.
ANNOUNCE_COUNT = 2


# Maximum number of control VMs that hold the table of endpoints. Every entry watches
# all of them, or it would miss endpoints that announce to the others. With five, two
# may be lost.
MAX_TABLE_VMS = 5


class ControlVm(NamedTuple):
    """A control VM that takes announcements."""

    address: str
    region: str


def table_addresses(addresses: Collection[str]) -> list[str]:
    """Return the control VMs that hold the table, the same in every process."""
    return sorted(addresses)[:MAX_TABLE_VMS]


def choose(
    control_vms: Collection[ControlVm],
    region: str,
    endpoint: str,
    failing: Collection[str] = (),
    count: int = ANNOUNCE_COUNT,
) -> list[str]:
    """Return the addresses to announce to: own region first, then any other.

    Pass the addresses that did not answer as `failing`. They come last, so that a
    sidecar switches to another control VM, and back once they answer again.
    """
    regions = {vm.address: vm.region for vm in control_vms}
    ranked = rank(regions, endpoint)
    # The sort is stable, so each group stays in rendezvous order.
    ranked.sort(key=lambda address: (address in failing, regions[address] != region))
    return ranked[:count]
