"""One request as one stage holds it: what is computed, kept, waiting and sent.

Position `p` of the chain is the prompt's token `p`, or token `p - len(prompt)` of the
answer; the last stage's output at `p` is the token that becomes position `p + 1`.
"""

from cherryrudder.pipeline.messages import ResumeReply, Start, Step, Token


class StageRequest:
    """The state of a request at a stage."""

    def __init__(self, start: Start, now_s: float):
        self.start = start
        # The outputs just before `next_position`, the first that is not computed. Kept
        # after they are sent, because a successor that dies is rebuilt from these.
        self.outputs = []
        self.next_position = 0
        # Stage 0 only: the accepted input of each position, run or not.
        self.inputs = []
        self.waiting = []
        self.running = 0
        # The next position to send on; None from `Resume` until `Continue`.
        self.send_next = first_sent(start)
        # Last stage only: the next token to feed back, and what the caller took.
        self.feedback_next = 0
        self.acked = 0
        self.reply_pending = False
        self.previous_hops = {}
        # A planned stop: where the KV goes, or since when it is awaited.
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
    """Tell whether a stage is the last of its plan."""
    return start.stage == len(start.stages) - 1


def is_busy(request: StageRequest) -> bool:
    """Tell whether the engine works or waits on what the request holds."""
    return request.running > 0 or request.kv_wait_since_s is not None


def previous_hop(start: Start) -> str:
    """Return the address that a stage's steps come from."""
    return start.stages[start.stage - 1].address


def first_sent(start: Start) -> int:
    """Return the first position whose output leaves a stage."""
    return len(start.prompt) - 1 if is_last(start) else 0


def adopt(request: StageRequest, start: Start):
    """Take a newer generation's plan; the outputs computed so far stay valid."""
    old = request.start
    request.previous_hops[old.generation] = previous_hop(old)
    request.start = start
    request.waiting.clear()
    request.send_next = None


def accept(request: StageRequest, position: int, values) -> bool:
    """Queue the inputs not seen yet; False for a gap before them."""
    seen = request.expected - position
    if seen < 0:
        return False
    fresh = values[seen:]
    if request.start.stage == 0 and fresh:
        request.inputs[request.expected :] = fresh
    request.waiting.extend(fresh)
    return True


def trim_sent(request: StageRequest) -> list:
    """Let go of the outputs that were sent, and return them; tokens always stay."""
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
    """Return the outputs that the next stage lacks as one step."""
    values = _take_unsent(request)
    if not values:
        return None
    start = request.start
    position = request.next_position - len(values)
    return Step(start.request, start.generation, position, values)


def take_tokens(request: StageRequest) -> Token | None:
    """Return the tokens that the entry lacks."""
    values = _take_unsent(request)
    if not values:
        return None
    start = request.start
    end = _token_count(request)
    last = end >= start.max_tokens
    return Token(start.request, start.generation, end - len(values), values, last)


def take_feedback(request: StageRequest) -> Step | None:
    """Return the tokens that stage 0 lacks and the caller's window lets through.

    Without the window a caller that reads slowly lets the whole answer pile up at the
    entry. Withholding the input of the next round stops the whole chain, and only
    for this request.
    """
    if request.send_next is None:
        return None
    start = request.start
    # The closing token is nobody's input.
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
