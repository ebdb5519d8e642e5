"""The state of a stream while it is relayed from engines to its client."""

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
    from .supervision import StreamSupervisor

# Silence limit before the first event: a prompt of usual size is read in less than
# 0.1 s, and the objective is 0.5 s.
INITIAL_SILENCE_S = 0.25
# How long a stream avoids the first engine of a chain that broke. By then a control VM
# has reported whether that engine is alive. Without an end, a stream that has run on
# all engines that its route allows would have none left to return to.
FIRST_ENGINE_EXCLUSION_S = 0.6


class KeptChain(NamedTuple):
    """A chain found for a stream in advance, before it leaves its present one."""

    chain: Chain
    expected_pause_s: float
    until_s: float


class Stream:
    """A stream that is relayed from engines to its client, over all its attempts."""

    def __init__(self, job: Job, supervisor: "StreamSupervisor"):
        self.job = job
        self.supervisor = supervisor
        self.stalls = supervisor.stalls
        self.tokens = expected_tokens(job)
        self.chain: Chain = ()
        # Whether the stream's load is added to the chain's engines.
        self.is_counted = False
        self.splitter = events.EventSplitter()
        # Number of the last event that was relayed, None before the first.
        self.last_event: int | None = None
        self.has_begun = False
        # First engines of the attempts that may have run.
        self.ran_engine_ids: list[str] = []
        # The chain that has not finished reading the prompt, as far as is known.
        self.unread_chain: Chain = ()
        # The connection of the present attempt.
        self.connection: EngineConnection | None = None
        self.last_progress_s = now_s()
        # The average pause between chunks, and the one expected over this chain.
        self.mean_pause_s = 0.0
        self.expected_pause_s = 0.0
        self.pauses = AnswerTimes()
        # When it is moved away from engines that leave; 0 while none does.
        self.move_at_s = 0.0
        # When another chain may be searched for next while the first engine hangs.
        self.next_leave_check_s = float("-inf")
        # When this entry last reported the chain as slow.
        self.last_slowness_report_s = float("-inf")
        self.silence_limit_s = INITIAL_SILENCE_S
        self.is_under_review = False
        self.kept_chain: KeptChain | None = None
        # Why there was no chain, and when there may be one.
        self.refusal = ""
        self.retry_after_s = 0.0
        # Why the present attempt was aborted, and whether its time limit had passed.
        self.break_reason = ""
        self.is_late = False
        # The supervisor recorded the present attempt's first engine as dead.
        self.has_lost_first = False
        # The present attempt's first engine has begun the request, or refused it.
        self.has_head = False
        # When that engine began it, None before that.
        self.head_s: float | None = None
        # Events of the present attempt, also those that the client had already.
        self.run_events = 0
        # The present attempt began at the start of the answer.
        self.is_whole_run = True
        self.has_passed_start = False
        # Until when this request avoids an engine, by address.
        self._excluded_until_s: dict[str, float] = {}

    def record_prompt_sent(self) -> None:
        """Add the prompt's tokens as unread on the chain."""
        self.unread_chain = self.chain
        tokens = self.job.facts.prompt_tokens
        entrystate.add_unread(self.job.state, self.unread_chain, tokens)

    def record_prompt_read(self) -> None:
        """Remove the prompt's unread tokens, if they are still counted."""
        chain, self.unread_chain = self.unread_chain, ()
        entrystate.remove_unread(self.job.state, chain, self.job.facts.prompt_tokens)

    def exclude(self, address: str, until_s: float = math.inf) -> None:
        """Make the request avoid an engine, for good unless a time is given."""
        known_s = self._excluded_until_s.get(address, 0.0)
        self._excluded_until_s[address] = max(known_s, until_s)

    def excluded(self, now: float) -> set[str]:
        """Return the addresses of the engines that the request avoids now."""
        until_s = self._excluded_until_s
        return {address for address in until_s if now < until_s[address]}

    def position(self) -> int:
        """Return the number of the last event that the client has, 0 for none."""
        if self.last_event is not None:
            return self.last_event
        return events.parse_number(self.job.facts.last_event) or 0

    def abort_attempt(self, why: str) -> None:
        """Abort the present attempt by closing its connection."""
        self.break_reason = why
        if self.connection is not None:
            self.connection.close()


def expected_tokens(job: Job) -> int:
    """Return the tokens that a request will take: its prompt and a likely answer."""
    facts, model = job.facts, job.service.model
    answer = facts.guessed_answer_tokens or model.usual_answer_tokens
    if facts.max_answer_tokens:
        answer = min(answer, facts.max_answer_tokens)
    return math.ceil(facts.prompt_tokens + answer)
