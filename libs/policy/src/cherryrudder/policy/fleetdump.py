"""The recorded state of an entry's endpoints, as plain data for diagnostics."""

from . import ejection
from .fleet import Fleet


def dump(fleet: Fleet, now_s: float) -> dict:
    """Return the state of each endpoint as plain data."""
    return {
        name: {
            "in_flight": member.in_flight,
            "credits": member.credits,
            "leaving": member.is_leaving,
            "ejected": ejection.is_ejected(member.health, now_s),
            "probing": ejection.is_probing(member.health),
            "token_s": list(member.health.token_s),
            "failure_part": member.health.failure_part,
        }
        for name, member in fleet.members.items()
    }
