"""Schedule of faults, drawn from a seed so that a run can be repeated.

Faults may overlap, except those on control VMs: only one of three may be lost at a
time, and a restarted one needs some seconds to catch up.
"""

import random
from enum import StrEnum
from typing import NamedTuple

from .proxy import Mode


class FaultKind(StrEnum):
    """Kind of a fault; reports use the values."""

    KILL_ENTRY = "kill-entry"
    STOP_ENTRY = "stop-entry"
    FREEZE_ENTRY = "freeze-entry"
    KILL_CONTROL = "kill-control"
    STOP_CONTROL = "stop-control"
    FREEZE_CONTROL = "freeze-control"
    # Killed, and restarted with an empty disk.
    WIPE_CONTROL = "wipe-control"
    # Killed, and restarted with a partial record at the end of its newest file.
    TEAR_CONTROL = "tear-control"
    KILL_ALL_CONTROLS = "kill-all-controls"
    ENGINE_DIES = "engine-dies"
    ENGINE_LEAVES = "engine-leaves"
    ENGINE_LINK = "engine-link"
    ENGINE_RESET = "engine-reset"
    # All open connections to the engines go silent for good.
    ENGINES_SEVERED = "engines-severed"
    CALLER_LINK = "caller-link"
    CALLER_RESET = "caller-reset"
    CHANGE = "change"
    RACE = "race"
    BAD_CHANGE = "bad-change"
    REVOKE = "revoke"
    # A client repeats a request that crashes each engine that starts it.
    CRASHING_REQUEST = "crashing-request"
    # Several such requests at once, which crash the same engines.
    CRASHING_REQUESTS = "crashing-requests"
    # Requests that are all different share a part that crashes engines.
    CRASHING_PART = "crashing-part"
    # An engine announces a rate limit, asks to back off, or announces that it leaves.
    ENGINE_LIMITS = "engine-limits"
    ENGINE_SHEDS = "engine-sheds"
    # All engines reject what they get, and the entries are restarted in turn.
    ENGINES_REJECT = "engines-reject"
    KILL_EACH_ENTRY = "kill-each-entry"
    ENGINE_TELLS_CALLERS = "engine-tells-callers"
    # Clients that send or read what an entry can't hold.
    CLIENT_CROWD = "client-crowd"


CONTROL_KINDS = (
    FaultKind.KILL_CONTROL,
    FaultKind.STOP_CONTROL,
    FaultKind.FREEZE_CONTROL,
    FaultKind.WIPE_CONTROL,
    FaultKind.TEAR_CONTROL,
    FaultKind.KILL_ALL_CONTROLS,
)
CHANGE_KINDS = (
    FaultKind.CHANGE,
    FaultKind.CHANGE,
    FaultKind.RACE,
    FaultKind.BAD_CHANGE,
    FaultKind.REVOKE,
)
BACKPRESSURE_KINDS = (
    FaultKind.ENGINE_LIMITS,
    FaultKind.ENGINE_SHEDS,
    FaultKind.ENGINE_TELLS_CALLERS,
)
OTHER_KINDS = tuple(
    kind
    for kind in FaultKind
    if kind
    not in (
        *CONTROL_KINDS,
        *CHANGE_KINDS,
        *BACKPRESSURE_KINDS,
        FaultKind.CRASHING_REQUEST,
        FaultKind.CRASHING_REQUESTS,
        FaultKind.CRASHING_PART,
        FaultKind.ENGINES_SEVERED,
        FaultKind.ENGINES_REJECT,
        FaultKind.KILL_EACH_ENTRY,
        FaultKind.CLIENT_CROWD,
    )
)
LINK_MODES = (Mode.DELAY, Mode.SILENT, Mode.HOLD_REQUESTS, Mode.HOLD_ANSWERS)
# Time in which a lost control VM catches up; the user documentation gives four seconds.
CATCH_UP_S = 4.0
MAX_FAULT_S = 3.0
# Long enough for three engines to crash, for that to spread, and some seconds more.
CRASHING_S = (8.0, 12.0)
CRASHING_SHARE = 0.5
SEVERAL_CRASHING_SHARE = 0.25
SEVERED_SHARE = 0.25
# Long enough for a limit to reach all entries, and for a backoff to be renewed.
BACKPRESSURE_S = (5.0, 9.0)
MAX_BACKPRESSURE_FAULTS = 2
# Long enough for two restarts of each entry.
REJECTING_S = (5.0, 8.0)
REJECTING_SHARE = 0.5
# Crowds of a run, which may overlap.
MAX_CROWDS = 2
CROWD_S = (1.0, 8.0)


class Fault(NamedTuple):
    """One fault; `pick`, from 0 to 1, selects one of the possible targets."""

    at_s: float
    kind: FaultKind
    duration_s: float
    pick: float
    mode: Mode = Mode.PASS


def draw(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run, ordered by time."""
    rng = random.Random(seed)
    faults = _control_faults(rng, length_s)
    for kinds, count in ((OTHER_KINDS, 5), (CHANGE_KINDS, 3)):
        for _ in range(rng.randrange(1, count + 1)):
            faults.append(_fault(rng, rng.choice(kinds), rng.uniform(0, length_s)))
    for kind in (FaultKind.CRASHING_REQUEST, FaultKind.CRASHING_PART):
        name = "crashing" if kind is FaultKind.CRASHING_REQUEST else kind
        faults += _crashing_faults(random.Random(f"{name}-{seed}"), kind, length_s)
    faults += _crashing_faults(
        random.Random(f"several-{seed}"),
        FaultKind.CRASHING_REQUESTS,
        length_s,
        SEVERAL_CRASHING_SHARE,
    )
    severed = random.Random(f"severed-{seed}")
    if severed.random() < SEVERED_SHARE:
        at_s = severed.uniform(0, length_s)
        faults.append(_fault(severed, FaultKind.ENGINES_SEVERED, at_s))
    faults += _backpressure_faults(random.Random(f"backpressure-{seed}"), length_s)
    faults += _rejecting_faults(random.Random(f"rejecting-{seed}"), length_s)
    faults += _crowd_faults(random.Random(f"crowds-{seed}"), length_s)
    return sorted(faults)


def _crowd_faults(rng, length_s):
    faults = []
    for _ in range(rng.randrange(MAX_CROWDS + 1)):
        fault = _fault(rng, FaultKind.CLIENT_CROWD, rng.uniform(0, length_s))
        faults.append(fault._replace(duration_s=rng.uniform(*CROWD_S)))
    return faults


def _rejecting_faults(rng, length_s):
    """Return engines that reject for some seconds, while entries restart."""
    if rng.random() >= REJECTING_SHARE:
        return []
    at_s, duration_s = rng.uniform(0, length_s / 2), rng.uniform(*REJECTING_S)
    return [
        _fault(rng, kind, at_s)._replace(duration_s=duration_s)
        for kind in (FaultKind.ENGINES_REJECT, FaultKind.KILL_EACH_ENTRY)
    ]


def _backpressure_faults(rng, length_s):
    faults = []
    for _ in range(rng.randrange(MAX_BACKPRESSURE_FAULTS + 1)):
        kind = rng.choice(BACKPRESSURE_KINDS)
        fault = _fault(rng, kind, rng.uniform(0, length_s / 2))
        faults.append(fault._replace(duration_s=rng.uniform(*BACKPRESSURE_S)))
    return faults


def _crashing_faults(rng, kind, length_s, share=CRASHING_SHARE):
    if rng.random() >= share:
        return []
    fault = _fault(rng, kind, rng.uniform(0, length_s / 2))
    return [fault._replace(duration_s=rng.uniform(*CRASHING_S))]


def _control_faults(rng, length_s):
    faults = []
    at_s = rng.uniform(0, length_s)
    while at_s < length_s:
        fault = _fault(rng, rng.choice(CONTROL_KINDS), at_s)
        faults.append(fault)
        at_s += fault.duration_s + CATCH_UP_S + rng.uniform(0, 3)
    return faults


def _fault(rng, kind, at_s):
    duration_s = rng.uniform(0.2, MAX_FAULT_S)
    return Fault(at_s, kind, duration_s, rng.random(), rng.choice(LINK_MODES))
