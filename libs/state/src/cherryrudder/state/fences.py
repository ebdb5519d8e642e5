"""Fencing tokens: a newer holder of an endpoint has a higher number."""

from .changes import CHANGE_RETENTION_S
from .checks import check_ids
from .commands import Answer, FenceAnswer, TakeFence
from .records import KeptFence, State

# A holder resends within seconds. If its request was dropped from here, it gets a new
# number, which supersedes only its own number and older ones.
MAX_KEPT_REQUESTS = 10_000


def take_fence(state: State, index: int, command: TakeFence) -> FenceAnswer | Answer:
    """Return the next number of an endpoint; a resent request gets the same one.

    The number is the log index, which increases without a counter that could be lost.
    Numbers need not be consecutive.
    """
    fault = check_ids(request_id=command.request_id, endpoint=command.endpoint)
    if fault:
        return Answer("invalid", fault, revision=state.revision)
    kept = state.fence_requests.get(command.request_id)
    if kept is None:
        answer = FenceAnswer(command.endpoint, index)
        state.fences[command.endpoint] = index
        state.fence_requests[command.request_id] = KeptFence(answer, state.now_s)
        _drop_oldest(state)
        return answer
    if kept.answer.endpoint != command.endpoint:
        message = f"request id {command.request_id} was used for another endpoint"
        return Answer("reused", message, revision=state.revision)
    return kept.answer


def fence_of(state: State, endpoint: str) -> int:
    """Return the highest number issued for an endpoint, or 0 if there is none."""
    return state.fences.get(endpoint, 0)


def expire_fence_requests(state: State) -> None:
    """Drop answers that are older than the retention time, but keep the numbers."""
    limit_s = state.now_s - CHANGE_RETENTION_S
    expired = []
    for request_id, kept in state.fence_requests.items():
        if kept.at_s > limit_s:
            break
        expired.append(request_id)
    for request_id in expired:
        del state.fence_requests[request_id]


def _drop_oldest(state):
    while len(state.fence_requests) > MAX_KEPT_REQUESTS:
        del state.fence_requests[next(iter(state.fence_requests))]
