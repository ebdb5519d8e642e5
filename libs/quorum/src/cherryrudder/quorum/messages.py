"""Messages between voters: JSON objects, validated when received."""

from typing import TypedDict

import msgspec
from expression import Error, Ok, Result

from .events import Entry
from .saved_state import VoterSet

PRE_VOTE = "pre-vote"
PRE_VOTE_REPLY = "pre-vote-reply"
VOTE = "vote"
VOTE_REPLY = "vote-reply"
APPEND = "append"
APPEND_REPLY = "append-reply"
INSTALL_SNAPSHOT = "install-snapshot"
TIMEOUT_NOW = "timeout-now"


class Header(TypedDict):
    """Fields of every message: the sender with its disk, and the disk addressed."""

    type: str
    cluster: str
    term: int
    vm: str
    disk_id: str
    address: str
    to: str


class VoteRequest(Header):
    """Request a vote or, as a pre-vote, ask whether one would be granted."""

    last_index: int
    last_term: int
    transfer: bool


class VoteReply(Header):
    """Reply to a vote or pre-vote request."""

    granted: bool


class Append(Header):
    """Entries after `prev_index`; without entries it is a heartbeat.

    The reply echoes `round` and `sent_s`.
    """

    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    round: int
    sent_s: float


class AppendReply(Header):
    """The index a follower has synced, or where its log conflicts with the leader's."""

    ok: bool
    synced: int
    prev_index: int
    conflict_index: int
    conflict_term: int
    round: int
    sent_s: float


class InstallSnapshot(Header):
    """A snapshot for a follower whose next entry the leader has compacted."""

    index: int
    index_term: int
    voter_set: VoterSet
    data: str
    round: int
    sent_s: float


MESSAGE_TYPES = {
    PRE_VOTE: VoteRequest,
    PRE_VOTE_REPLY: VoteReply,
    VOTE: VoteRequest,
    VOTE_REPLY: VoteReply,
    APPEND: Append,
    APPEND_REPLY: AppendReply,
    INSTALL_SNAPSHOT: InstallSnapshot,
    TIMEOUT_NOW: Header,
}


def check_message(message: dict) -> Result[dict, str]:
    """Return the message with its types validated, or an error text."""
    kind = message.get("type") if isinstance(message, dict) else None
    if kind not in MESSAGE_TYPES:
        return Error(f"unknown message type {kind!r}")
    try:
        return Ok(msgspec.convert(message, MESSAGE_TYPES[kind]))
    except msgspec.ValidationError as error:
        return Error(f"{kind}: {error}")
