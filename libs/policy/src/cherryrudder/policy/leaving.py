"""Which endpoints are leaving, so that they get no new work.

Load pattern: a VM or a data centre is taken down for work in the middle of a burst.
Without it: entries go on sending until they see refused connections, and requests that
have begun are cut off.

An endpoint leaves as soon as either its own announcement or a planned stop says so;
both are looked at because each may arrive first, and neither is taken back by the
other's silence.
"""

from collections.abc import Iterable

from cherryrudder.model.endpoints import Announcement, Stop, stops_endpoint


def is_leaving(announcement: Announcement, stops: Iterable[Stop]) -> bool:
    """Tell whether an endpoint is to get no new work."""
    if announcement.leaving:
        return True
    return any(stops_endpoint(stop, announcement) for stop in stops)


def usable_credits(announcement: Announcement, stops, credits: int) -> int:
    """Return the credits, or none at once for an endpoint that leaves."""
    return 0 if is_leaving(announcement, stops) else credits


def may_end(
    is_leaving: bool, in_flight: int, waited_s: float, longest_s: float
) -> bool:
    """Tell whether a leaving process may end: nothing is in flight, or time is up."""
    return is_leaving and (in_flight == 0 or waited_s >= longest_s)
