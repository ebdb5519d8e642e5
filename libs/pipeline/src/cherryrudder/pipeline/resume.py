"""What the entry reads from the stages' answers once all of them have answered.

Position `p` below the prompt's length is a token of the prompt, the rest are tokens of
the answer, so a chain of which the entry knows `n` tokens has run at most
`prompt + n` positions, and one more for each token that the last stage still holds.
"""

from typing import NamedTuple

from cherryrudder.pipeline.messages import Continue, Stage


class LaggingStage(NamedTuple):
    """The stage that a round found behind what was sent to it, at a token count."""

    endpoint: str
    tokens: int


def expects_token(core) -> bool:
    """Tell whether the chain owes a token, and isn't stopped by the caller's window."""
    return len(core.tokens) - core.consumed < core.start.window


def find_unreachable(core) -> Stage | None:
    """Return the stage that two rounds in a row found behind, if there is one.

    When the link between two stages is dead but both answer the entry, each round
    gets at most one token through (as stage 0's input in `Continue`) and the next
    stall follows. Giving up the one that receives nothing ends that.
    """
    before = core.lagging
    stage = _first_lagging(core)
    core.lagging = LaggingStage(stage.endpoint, len(core.tokens)) if stage else None
    if not before or not stage or before.endpoint != stage.endpoint:
        return None
    return stage if len(core.tokens) <= before.tokens + 1 else None


def stages_to_rebuild(core) -> list[int]:
    """Return the stages whose KV is of no more use, though they are alive."""
    return sorted(_stages_ahead(core) | _stages_without_outputs(core))


def continue_for(core, index: int) -> Continue:
    """Return the message that tells a stage where to go on."""
    start = core.start
    request, generation = start.request, core.generation
    if index == len(core.plan) - 1:
        send_from = len(start.prompt) + len(core.tokens) - 1
    else:
        send_from = core.replies[index + 1].next_position
    if index > 0:
        return Continue(request, generation, send_from)
    position = core.replies[0].next_position
    inputs = (start.prompt + tuple(core.tokens))[position:]
    return Continue(request, generation, send_from, position, inputs)


def _first_lagging(core):
    if not expects_token(core):
        return None
    sent = len(core.start.prompt) + len(core.tokens)
    for index, stage in enumerate(core.plan):
        if core.replies[index].next_position < sent:
            return stage
        sent = core.replies[index].next_position
    return None


def _stages_ahead(core):
    """Return the stages that ran a token which nobody knows any more.

    The last stage and stage 0 are lost together, and a stage between has run a token
    that never reached the entry. A new last stage may choose another one, and the
    text would silently rest on a token that isn't in it; so that stage starts over.
    """
    prompt = len(core.start.prompt)
    last = core.replies[len(core.plan) - 1].next_position
    known = prompt + max(len(core.tokens), last - prompt + 1)
    return {i for i, reply in core.replies.items() if reply.next_position > known}


def _stages_without_outputs(core):
    """Return the stages that no longer keep what their successor lacks."""
    return {
        index
        for index in range(len(core.plan) - 1)
        if core.replies[index].kept_from > core.replies[index + 1].next_position
    }
