"""Incarnations: ids of a sidecar process's runs, which sort by start time."""

import random

from cherryrudder.model.endpoints import Announcement

# Milliseconds since 1970 have 13 digits until the year 2286; padded, they sort as text.
# All incarnations need the same padding, also those that the daemon makes itself.
START_DIGITS = 14


def make_incarnation(start_ms: int, rng: random.Random, after: str = "") -> str:
    """Return the incarnation of a process that starts now, sorting after `after`.

    Otherwise a process on a VM whose clock was set back would be refused as older than
    its previous run, until the control VMs have dropped that run's record.
    """
    if after:
        start_ms = max(start_ms, int(after.partition("-")[0]) + 1)
    return f"{start_ms:0{START_DIGITS}d}-{rng.getrandbits(32):08x}"


def age_key(announcement: Announcement) -> tuple[str, int]:
    """Return the key that sorts announcements of an endpoint from oldest to newest."""
    return announcement.incarnation, announcement.sequence
