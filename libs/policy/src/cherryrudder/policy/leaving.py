"""Decision which endpoints are leaving and so get no new requests.

A VM or a data centre may be taken down for maintenance during a burst. Without this,
entries would send until their connections are refused, and requests that have begun
would be cut off.

An endpoint is leaving once its own announcement or a planned stop states it. Both are
checked because either may arrive first, and the absence of one does not cancel the
other.
"""

from collections.abc import Iterable

from cherryrudder.model.endpoints import Announcement, Stop, stops_endpoint


def is_leaving(announcement: Announcement, stops: Iterable[Stop]) -> bool:
    """Return whether an endpoint is to get no new requests."""
    if announcement.leaving:
        return True
    return any(stops_endpoint(stop, announcement) for stop in stops)


def usable_credits(announcement: Announcement, stops, credits: int) -> int:
    """Return the credits, or 0 for a leaving endpoint."""
    return 0 if is_leaving(announcement, stops) else credits


def may_end(
    is_leaving: bool, in_flight: int, waited_s: float, longest_s: float
) -> bool:
    """Return whether a leaving process may exit: it is idle, or its time is up."""
    return is_leaving and (in_flight == 0 or waited_s >= longest_s)
