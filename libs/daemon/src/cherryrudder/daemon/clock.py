"""The clock and random ids of the daemon, which all processes share."""

from cherryrudder.replica.clock import new_id, new_incarnation, now_s, wall_s

__all__ = ["new_id", "new_incarnation", "now_s", "wall_s"]
