"""What a hop between two places costs, in seconds per token step.

Load pattern: a chain may run within one VM, across data centres, or across regions, and
the links differ a hundredfold.
Without it: chains are joined of the fastest accelerators wherever they stand, and each
token waits for the slow links between them.
"""

from cherryrudder.model.endpoints import Place

# One way within a VM is a copy; within a data centre a switch; the users' data centres
# are a quarter of a millisecond apart. Regions are some thousand kilometres apart.
SAME_VM_S = 0.00002
SAME_CENTRE_S = 0.0001
SAME_REGION_S = 0.00025
OTHER_REGION_S = 0.015


class Links:
    """Hop times, measured where they have been, else by distance."""

    def __init__(self):
        self.measured_s: dict[tuple[str, str], float] = {}


def set_measured(links: Links, from_centre: str, to_centre: str, hop_s: float) -> None:
    """Put a measured hop time between two data centres in place of the usual one."""
    links.measured_s[from_centre, to_centre] = hop_s


def hop_s(links: Links, start: Place | None, end: Place | None) -> float:
    """Return the time of one hop; nothing where a place isn't known."""
    if start is None or end is None:
        return 0.0
    if start.vm == end.vm:
        return SAME_VM_S
    measured = links.measured_s.get((start.data_centre, end.data_centre))
    if measured is not None:
        return measured
    if start.data_centre == end.data_centre:
        return SAME_CENTRE_S
    return SAME_REGION_S if start.region == end.region else OTHER_REGION_S
