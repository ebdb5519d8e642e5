"""The time of a hop between two places, per token step.

A chain may run within one VM, across data centres, or across regions, and the latency
of the links differs a hundredfold. If chains were made of the fastest accelerators
wherever they are, each token would wait for the slow links between them.
"""

from cherryrudder.model.endpoints import Place

# One-way times: within a VM a copy, within a data centre a switch. The users' data
# centres are a quarter of a millisecond apart, regions some thousand kilometres.
SAME_VM_S = 0.00002
SAME_CENTRE_S = 0.0001
SAME_REGION_S = 0.00025
OTHER_REGION_S = 0.015


class Links:
    """Hop times: measured ones where available, else estimates by distance."""

    def __init__(self):
        self.measured_s: dict[tuple[str, str], float] = {}


def set_measured(links: Links, from_centre: str, to_centre: str, hop_s: float) -> None:
    """Set the measured hop time between two data centres."""
    links.measured_s[from_centre, to_centre] = hop_s


def hop_s(links: Links, start: Place | None, end: Place | None) -> float:
    """Return the time of one hop; 0 if a place is unknown."""
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
