"""A stream on its way from engines to its client, and what is known of it."""

import math
from typing import TYPE_CHECKING, NamedTuple

from cherryrudder.layers.chains import Chain
from cherryrudder.relay import events
from cherryrudder.relay.client import EngineConnection
from cherryrudder.replica.clock import now_s
from cherryrudder.routing.answertimes import AnswerTimes

from . import entrystate
from .job import Job

if TYPE_CHECKING:
    from .supervision import Watch

# A prompt of usual size is read in less than 0.1 s; the objective is 0.5 s.
FIRST_SILENCE_S = 0.25
# How long a stream keeps away from the first engine of a chain that broke. A control VM
# has told by then whether that engine lives; for good, a stream that has run on all the
# engines that its route allows had none left that it might go back to.
FIRST_LOST_S = 0.6


class Offer(NamedTuple):
    """A chain that was found for a stream while it leaves another."""

    chain: Chain
    expected_pause_s: float
    until_s: float


class Stream:
    """A stream on its way from engines to its client."""

    def __init__(self, job: Job, watch: "Watch"):
        self.job = job
        self.watch = watch
        self.stalls = watch.stalls
        self.tokens = expected_tokens(job)
        self.chain: Chain = ()
        # The chain's engines are counted as having this stream.
        self.is_counted = False
        self.splitter = events.EventSplitter()
        # Number of the last event that was passed on, None before the first.
        self.last_event: int | None = None
        self.has_begun = False
        # First engines of the attempts that may have run.
        self.ran_engine_ids: list[str] = []
        # The chain that has yet to read the prompt, for all that is known.
        self.unread_chain: Chain = ()
        # The connection of the present attempt.
        self.connection: EngineConnection | None = None
        self.progressed_s = now_s()
        # The usual pause between pieces, and what it should be over this chain.
        self.pause_s = 0.0
        self.expected_pause_s = 0.0
        self.pauses = AnswerTimes()
        # When it is to be moved away from engines that leave; 0 while none does.
        self.moves_s = 0.0
        # When this entry last complained of the chain's pace.
        self.complained_s = float("-inf")
        self.silence_s = FIRST_SILENCE_S
        self.is_looked_at = False
        self.offer: Offer | None = None
        # Why there was no chain, and when there may be one.
        self.refusal = ""
        self.retry_after_s = 0.0
        # Why the watch broke the present attempt off, and whether for want of time.
        self.broken = ""
        self.is_late = False
        # The watch has taken the present attempt's first engine as dead.
        self.has_lost_first = False
        # The present attempt's engine has begun it, or refused it.
        self.has_head = False
        # When that engine began it, None before.
        self.head_s: float | None = None
        # Until when this request is not to meet an engine, by address.
        self._excluded_until_s: dict[str, float] = {}

    def note_sent(self) -> None:
        """Count the prompt as on its way through the chain."""
        self.unread_chain = self.chain
        tokens = self.job.facts.prompt_tokens
        entrystate.prompt_sent(self.job.state, self.unread_chain, tokens)

    def note_read(self) -> None:
        """Count the prompt as read, if it isn't yet."""
        chain, self.unread_chain = self.unread_chain, ()
        entrystate.prompt_read(self.job.state, chain, self.job.facts.prompt_tokens)

    def exclude(self, address: str, until_s: float = math.inf) -> None:
        """Keep the request away from an engine, for good unless a time is given."""
        known_s = self._excluded_until_s.get(address, 0.0)
        self._excluded_until_s[address] = max(known_s, until_s)

    def excluded(self, now: float) -> set[str]:
        """Return the addresses of the engines that the request is not to meet."""
        until_s = self._excluded_until_s
        return {address for address in until_s if now < until_s[address]}

    def position(self) -> int:
        """Return the number of the last event that the client has, 0 for none."""
        if self.last_event is not None:
            return self.last_event
        told = self.job.facts.last_event
        return int(told) if told.isdecimal() else 0

    def break_off(self, why: str) -> None:
        """End the present attempt; its reader finds the connection closed."""
        self.broken = why
        if self.connection is not None:
            self.connection.close()


def expected_tokens(job: Job) -> int:
    """Return the room that a request will take: its prompt and a likely answer."""
    facts, model = job.facts, job.service.model
    answer = facts.guessed_answer_tokens or model.usual_answer_tokens
    if facts.max_answer_tokens:
        answer = min(answer, facts.max_answer_tokens)
    return math.ceil(facts.prompt_tokens + answer)
