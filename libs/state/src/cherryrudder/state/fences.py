"""Fencing numbers: the higher number of an endpoint belongs to the newer holder."""

from .changes import CHANGE_RETENTION_S
from .checks import check_ids
from .commands import Answer, FenceAnswer, TakeFence
from .records import KeptFence, State

# A holder resends within seconds. One whose request was dropped takes a new number,
# which supersedes no one but itself and those before it.
MAX_KEPT_REQUESTS = 10_000


def take_fence(state: State, index: int, command: TakeFence) -> FenceAnswer | Answer:
    """Give an endpoint's next number; a resent request gets the same one.

    The number is the log index. It rises for every endpoint without a counter that
    could be lost, and the numbers need not be consecutive.
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
    """Return the highest number given for an endpoint, 0 if none was."""
    return state.fences.get(endpoint, 0)


def expire_fence_requests(state: State) -> None:
    """Drop the answers that are past their retention; the numbers stay."""
    limit_s = state.now_s - CHANGE_RETENTION_S
    old = []
    for request_id, kept in state.fence_requests.items():
        if kept.at_s > limit_s:
            break
        old.append(request_id)
    for request_id in old:
        del state.fence_requests[request_id]


def _drop_oldest(state):
    while len(state.fence_requests) > MAX_KEPT_REQUESTS:
        del state.fence_requests[next(iter(state.fence_requests))]
