"""The name of one life of a sidecar process, which sorts by its start."""

import random

from cherryrudder.model.endpoints import Announcement

# Milliseconds since 1970 have 13 digits until the year 2286; padded, they sort as text.
# Every incarnation must be padded alike, those that the daemon makes itself too.
START_DIGITS = 14


def make_incarnation(start_ms: int, rng: random.Random, after: str = "") -> str:
    """Return the incarnation of a process that starts now, sorted past `after`.

    A VM whose clock went back would otherwise be refused as its own past life until
    the control VMs have forgotten that one.
    """
    if after:
        start_ms = max(start_ms, int(after.partition("-")[0]) + 1)
    return f"{start_ms:0{START_DIGITS}d}-{rng.getrandbits(32):08x}"


def age_key(announcement: Announcement) -> tuple[str, int]:
    """Return what sorts announcements of one endpoint from oldest to newest."""
    return announcement.incarnation, announcement.sequence
