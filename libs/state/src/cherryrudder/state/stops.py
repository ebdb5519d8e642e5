"""Planned stops: announced and cancelled by id; an id is never reused."""

from cherryrudder.model.endpoints import STOP_SCOPES
from cherryrudder.model.revisions import VersionedStop

from .checks import check_ids, check_lengths
from .commands import AnnounceStop, Answer, CancelStop
from .records import State

# Cancelled ids are kept for readers that are behind, and to reject late resends. A
# reader that is further behind gets the whole configuration.
MAX_CANCELLED = 1_000


def announce_stop(state: State, index: int, command: AnnounceStop) -> Answer:
    """Add a planned stop; announcing the same stop again has no effect."""
    stop = command.stop
    fault = check_ids(stop_id=stop.stop_id, target=stop.target)
    fault = fault or check_lengths(reason=stop.reason)
    if stop.scope not in STOP_SCOPES:
        fault = f"scope: not one of {', '.join(STOP_SCOPES)}"
    if fault:
        return Answer("invalid", fault, revision=state.revision)
    # Otherwise an announcement that is delayed past its own cancellation would restore
    # the stop and drain VMs that the operator has released.
    if stop.stop_id in state.cancelled:
        message = f"stop {stop.stop_id} was cancelled; announce it under a new id"
        return Answer("conflict", message, revision=state.revision)
    held = state.stops.get(stop.stop_id)
    if held and held.stop != stop:
        message = f"stop {stop.stop_id} is already announced with other values"
        return Answer("conflict", message, revision=held.revision)
    if held:
        return Answer("ok", "", revision=held.revision)
    state.revision = index
    state.stops[stop.stop_id] = VersionedStop(index, stop)
    return Answer("ok", "", revision=index)


def cancel_stop(state: State, index: int, command: CancelStop) -> Answer:
    """Cancel a planned stop."""
    if command.stop_id in state.cancelled:
        return Answer("ok", "", revision=state.cancelled[command.stop_id])
    if command.stop_id not in state.stops:
        message = f"no stop {command.stop_id} is announced"
        return Answer("unknown", message, revision=state.revision)
    state.revision = index
    del state.stops[command.stop_id]
    state.cancelled[command.stop_id] = index
    while len(state.cancelled) > MAX_CANCELLED:
        oldest = next(iter(state.cancelled))
        state.cancelled_floor = state.cancelled.pop(oldest)
    return Answer("ok", "", revision=index)
