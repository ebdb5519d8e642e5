"""State machine: the same log gives the same state and answers on every voter.

This module decodes the records of the log and dispatches them to the other modules.
"""

import msgspec

from .changes import apply_once
from .claims import close_claim, find_claim, open_claim
from .clock import advance
from .commands import (
    AnnounceStop,
    Answer,
    CancelStop,
    ClaimAnswer,
    Clock,
    CloseClaim,
    FenceAnswer,
    OpenClaim,
    PutContract,
    PutSetting,
    TakeFence,
)
from .contracts import list_contracts, put_contract
from .deltas import delta
from .fences import fence_of, take_fence
from .records import State
from .settings import put_setting
from .snapshots import restore, snapshot
from .stops import announce_stop, cancel_stop

__all__ = [
    "apply",
    "delta",
    "encode_command",
    "fence_of",
    "find_claim",
    "list_contracts",
    "new_state",
    "restore",
    "snapshot",
]

Command = (
    PutContract
    | AnnounceStop
    | CancelStop
    | PutSetting
    | OpenClaim
    | CloseClaim
    | TakeFence
    | Clock
)

# Larger than the largest body of a caller; a longer record is a proposer's fault.
MAX_PAYLOAD_CHARS = 1024 * 1024

CHANGE_HANDLERS = {
    PutContract: put_contract,
    AnnounceStop: announce_stop,
    CancelStop: cancel_stop,
    PutSetting: put_setting,
}
OTHER_HANDLERS = {
    OpenClaim: open_claim,
    CloseClaim: lambda state, index, command: close_claim(state, command),
    TakeFence: take_fence,
    Clock: lambda state, index, command: advance(state, command),
}
# Strict types: a value that one version of the codec coerces, another may reject.
DECODERS = {
    kind.__name__: msgspec.json.Decoder(kind)
    for kind in (*CHANGE_HANDLERS, *OTHER_HANDLERS)
}
ENVELOPE = msgspec.json.Decoder(tuple[str, msgspec.Raw])


def new_state() -> State:
    """Return the initial state, before the first record of the log."""
    return State()


def encode_command(command: Command) -> str:
    """Return a command as a log record."""
    return _encode(command).decode()


def apply(state: State, index: int, payload: str) -> Answer | ClaimAnswer | FenceAnswer:
    """Apply one record of the log; never raises, whatever the record contains."""
    # A record that is delivered twice, after a restart or by a resent batch, must not
    # issue a second fencing number or reopen a claim that has expired.
    if index <= state.applied_index:
        message = f"record {index} was applied before"
        return Answer("invalid", message, revision=state.revision)
    state.applied_index = index
    try:
        command, body = _decode(payload)
    except (ValueError, RecursionError, OverflowError) as error:
        # If this raised, every voter would crash here, again after each restart. All
        # voters reject the record in the same way instead.
        return Answer("invalid", f"unreadable record: {error}", 0, state.revision)
    kind = type(command)
    if kind in OTHER_HANDLERS:
        return OTHER_HANDLERS[kind](state, index, command)
    decide = CHANGE_HANDLERS[kind]
    return apply_once(
        state, command.change_id, body, lambda: decide(state, index, command)
    )


def _encode(command):
    return msgspec.json.encode((type(command).__name__, command))


def _decode(payload):
    """Return the command and its canonical encoding.

    Encoding it again gives different spellings of a change the same digest. It also
    detects values that cannot be encoded here and not in a later snapshot.
    """
    if len(payload) > MAX_PAYLOAD_CHARS:
        raise ValueError("the record is too long")
    name, raw = ENVELOPE.decode(payload)
    if name not in DECODERS:
        raise ValueError(f"unknown command {name[:50]!r}")
    command = DECODERS[name].decode(raw)
    return command, _encode(command)
