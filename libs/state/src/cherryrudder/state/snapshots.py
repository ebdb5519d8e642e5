"""The whole state as text and back; a restored state behaves as the first did."""

from typing import NamedTuple

import msgspec

from cherryrudder.model.revisions import (
    VersionedContract,
    VersionedSetting,
    VersionedStop,
)

from .claims import weight_of
from .errors import SnapshotError
from .records import HeldClaim, KeptAnswer, KeptFence, State

# Raised whenever an older daemon could not read the text.
FORMAT = 1


class Snapshot(NamedTuple):
    """The text's content; lists keep the order by which records leave the state."""

    format: int
    applied_index: int
    revision: int
    now_s: float
    clock_s: float | None
    contracts: list[VersionedContract]
    stops: list[VersionedStop]
    cancelled: list[tuple[str, int]]
    cancelled_floor: int
    settings: list[VersionedSetting]
    changes: list[tuple[str, KeptAnswer]]
    claims: list[HeldClaim]
    fences: list[tuple[str, int]]
    fence_requests: list[tuple[str, KeptFence]]


def snapshot(state: State) -> str:
    """Return the state as text; equal states give equal texts."""
    content = Snapshot(
        FORMAT,
        state.applied_index,
        state.revision,
        state.now_s,
        state.clock_s,
        list(state.contracts.values()),
        list(state.stops.values()),
        list(state.cancelled.items()),
        state.cancelled_floor,
        list(state.settings.values()),
        list(state.changes.items()),
        list(state.claims.values()),
        list(state.fences.items()),
        list(state.fence_requests.items()),
    )
    return msgspec.json.encode(content).decode()


def restore(text: str) -> State:
    """Return the state that a snapshot holds; raises SnapshotError."""
    try:
        content = msgspec.json.decode(text, type=Snapshot)
    except (ValueError, RecursionError) as error:
        raise SnapshotError(f"unreadable snapshot: {error}") from error
    if content.format != FORMAT:
        raise SnapshotError(f"snapshot format {content.format}, not {FORMAT}")
    state = State()
    state.applied_index = content.applied_index
    state.revision = content.revision
    state.now_s = content.now_s
    state.clock_s = content.clock_s
    state.contracts = {held.contract.customer: held for held in content.contracts}
    state.stops = {held.stop.stop_id: held for held in content.stops}
    state.cancelled = dict(content.cancelled)
    state.cancelled_floor = content.cancelled_floor
    state.settings = {held.name: held for held in content.settings}
    state.changes = dict(content.changes)
    state.fences = dict(content.fences)
    state.fence_requests = dict(content.fence_requests)
    _restore_claims(state, content.claims)
    return state


def _restore_claims(state, claims):
    for held in claims:
        customer = held.claim.customer
        state.claims[customer, held.claim.key] = held
        weight = state.claim_weights.get(customer, 0) + weight_of(held.claim)
        state.claim_weights[customer] = weight
