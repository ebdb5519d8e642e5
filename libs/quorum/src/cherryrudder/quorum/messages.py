"""The messages between voters, as JSON objects, checked when they come in."""

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
INSTALL = "install-snapshot"
TIMEOUT_NOW = "timeout-now"


class Header(TypedDict):
    """What each message has: its sender with its disk, and the disk it is meant for."""

    type: str
    cluster: str
    term: int
    vm: str
    disk_id: str
    address: str
    to: str


class VoteRequest(Header):
    """Ask for a vote, or, as a pre-vote, whether one would be given."""

    last_index: int
    last_term: int
    transfer: bool


class VoteReply(Header):
    """Answer a vote or pre-vote."""

    granted: bool


class Append(Header):
    """Entries after `prev_index`; none make a heartbeat. `sent_s` is echoed."""

    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    round: int
    sent_s: float


class AppendReply(Header):
    """What the follower has synced, or where its log differs from the leader's."""

    ok: bool
    synced: int
    prev_index: int
    conflict_index: int
    conflict_term: int
    round: int
    sent_s: float


class Install(Header):
    """A snapshot for a follower whose next entry the leader no longer has."""

    index: int
    index_term: int
    voter_set: VoterSet
    data: str
    round: int
    sent_s: float


KINDS = {
    PRE_VOTE: VoteRequest,
    PRE_VOTE_REPLY: VoteReply,
    VOTE: VoteRequest,
    VOTE_REPLY: VoteReply,
    APPEND: Append,
    APPEND_REPLY: AppendReply,
    INSTALL: Install,
    TIMEOUT_NOW: Header,
}


def check(message: dict) -> Result[dict, str]:
    """Return the message with its types checked, or what is wrong with it."""
    kind = message.get("type") if isinstance(message, dict) else None
    if kind not in KINDS:
        return Error(f"unknown message type {kind!r}")
    try:
        return Ok(msgspec.convert(message, KINDS[kind]))
    except msgspec.ValidationError as error:
        return Error(f"{kind}: {error}")
