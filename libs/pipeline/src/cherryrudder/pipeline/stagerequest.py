"""State of one request at one stage: computed, kept, waiting and sent positions.

Position `p` of the chain is token `p` of the prompt, or token `p - len(prompt)` of the
answer. The last stage's output at `p` is the token for position `p + 1`.
"""

from cherryrudder.pipeline.messages import ResumeReply, Start, Step, Token


class StageRequest:
    """The state of a request at a stage."""

    def __init__(self, start: Start, now_s: float):
        self.start = start
        # Outputs up to `next_position`, the first position not computed yet. They are
        # kept after sending, to rebuild the next stage's KV if that stage is lost.
        self.outputs = []
        self.next_position = 0
        # Stage 0 only: the accepted input of each position, computed or not.
        self.inputs = []
        self.waiting = []
        self.running = 0
        # The next position to send; None from `Resume` until `Continue`.
        self.send_next = first_sent(start)
        # Last stage only: index of the next token to send to stage 0, and the count of
        # tokens that the caller has taken.
        self.feedback_next = 0
        self.acked = 0
        self.reply_pending = False
        self.previous_hops = {}
        # Planned stop: the address that the KV is sent to, or at the replacement the
        # time since when it waits for the KV.
        self.leaving_to = ""
        self.kv_wait_since_s = None
        self.importing = False
        self.orphaned_s = None
        self.touched_s = now_s

    @property
    def kept_from(self) -> int:
        """The position of the first kept output."""
        return self.next_position - len(self.outputs)

    @property
    def expected(self) -> int:
        """The position of the next input that is accepted."""
        return self.next_position + self.running + len(self.waiting)


def is_last(start: Start) -> bool:
    """Return whether a stage is the last of its plan."""
    return start.stage == len(start.stages) - 1


def is_busy(request: StageRequest) -> bool:
    """Return whether a compute is in flight or a KV transfer is awaited."""
    return request.running > 0 or request.kv_wait_since_s is not None


def previous_hop(start: Start) -> str:
    """Return the address of the stage that sends steps to this one."""
    return start.stages[start.stage - 1].address


def first_sent(start: Start) -> int:
    """Return the first position whose output a stage sends."""
    return len(start.prompt) - 1 if is_last(start) else 0


def adopt(request: StageRequest, start: Start):
    """Switch to a newer generation's plan, keeping the computed outputs."""
    old = request.start
    request.previous_hops[old.generation] = previous_hop(old)
    request.start = start
    request.waiting.clear()
    request.send_next = None


def accept(request: StageRequest, position: int, values) -> bool:
    """Queue the inputs not accepted yet; return False if there is a gap before them."""
    offset = request.expected - position
    if offset < 0:
        return False
    fresh = values[offset:]
    if request.start.stage == 0 and fresh:
        request.inputs[request.expected :] = fresh
    request.waiting.extend(fresh)
    return True


def trim_sent(request: StageRequest) -> list:
    """Drop and return the outputs already sent, except for the last stage's tokens."""
    if request.send_next is None or is_last(request.start):
        return []
    sent = min(request.send_next, request.next_position) - request.kept_from
    trimmed = request.outputs[: max(0, sent)]
    del request.outputs[: len(trimmed)]
    return trimmed


def resume_reply(request: StageRequest) -> ResumeReply:
    """Return the answer to `Resume`."""
    start = request.start
    tokens = request.inputs[len(start.prompt) :] if start.stage == 0 else ()
    return ResumeReply(
        start.request,
        start.generation,
        start.stage,
        request.next_position,
        tuple(tokens),
        is_busy(request),
        request.kept_from,
    )


def take_step(request: StageRequest) -> Step | None:
    """Return the outputs not sent yet as one step, or None if there are none."""
    values = _take_unsent(request)
    if not values:
        return None
    start = request.start
    position = request.next_position - len(values)
    return Step(start.request, start.generation, position, values)


def take_tokens(request: StageRequest) -> Token | None:
    """Return the tokens not sent to the entry yet, or None if there are none."""
    values = _take_unsent(request)
    if not values:
        return None
    start = request.start
    end = _token_count(request)
    last = end >= start.max_tokens
    return Token(start.request, start.generation, end - len(values), values, last)


def take_feedback(request: StageRequest) -> Step | None:
    """Return the tokens that stage 0 needs next, as far as the caller's window allows.

    Without the window, the whole answer for a slow caller would be buffered at the
    entry. Withholding stage 0's next input stops the whole chain, and only for this
    request.
    """
    if request.send_next is None:
        return None
    start = request.start
    # The last token of the answer is not an input of any stage.
    end = min(_token_count(request), start.max_tokens - 1, request.acked + start.window)
    first = request.feedback_next
    if end <= first:
        return None
    request.feedback_next = end
    offset = len(start.prompt) - 1
    values = tuple(request.outputs[offset + first : offset + end])
    return Step(start.request, start.generation, len(start.prompt) + first, values)


def _take_unsent(request):
    first = request.send_next
    if first is None or first >= request.next_position:
        return ()
    request.send_next = request.next_position
    return tuple(request.outputs[first - request.kept_from :])


def _token_count(request):
    return request.next_position - len(request.start.prompt) + 1
