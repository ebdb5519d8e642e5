"""Evaluation of the stages' replies to `Resume`, once all have replied.

Positions below the prompt's length are tokens of the prompt, the rest are tokens of
the answer. If the entry has received `n` tokens, the chain has run at most
`prompt + n` positions, and one more for each token that only the last stage holds.
"""

from typing import NamedTuple

from cherryrudder.pipeline.messages import Continue, Stage


class LaggingStage(NamedTuple):
    """A stage that had not received all its inputs when the entry had `tokens`."""

    endpoint: str
    tokens: int


def expects_token(core) -> bool:
    """Return whether a token is due, that is the caller's window isn't full."""
    return len(core.tokens) - core.consumed < core.start.window


def find_unreachable(core) -> Stage | None:
    """Return the stage that lags in two resumes in a row, if there is one.

    When the link between two stages is dead but both answer the entry, each resume
    lets at most one token through (as stage 0's input in `Continue`) before the chain
    stalls again. Replacing the stage that receives nothing ends this.
    """
    before = core.lagging
    stage = _first_lagging(core)
    core.lagging = LaggingStage(stage.endpoint, len(core.tokens)) if stage else None
    if not before or not stage or before.endpoint != stage.endpoint:
        return None
    return stage if len(core.tokens) <= before.tokens + 1 else None


def stages_to_rebuild(core) -> list[int]:
    """Return the indexes of live stages whose KV can no longer be used."""
    return sorted(_stages_ahead(core) | _stages_without_outputs(core))


def continue_for(core, index: int) -> Continue:
    """Return the message with the position from which a stage continues."""
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
    """Return the stages that ran a token which no other process has any more.

    This happens when the last stage and stage 0 are lost together and a stage between
    them has run a token that never reached the entry. A new last stage may sample
    another token, and later tokens would silently depend on one that isn't in the
    text. So the stage between has to start over.
    """
    prompt = len(core.start.prompt)
    last = core.replies[len(core.plan) - 1].next_position
    limit = prompt + max(len(core.tokens), last - prompt + 1)
    return {i for i, reply in core.replies.items() if reply.next_position > limit}


def _stages_without_outputs(core):
    """Return the stages that dropped outputs which their successor needs."""
    return {
        index
        for index in range(len(core.plan) - 1)
        if core.replies[index].kept_from > core.replies[index + 1].next_position
    }
