"""The state machine: the same log gives the same state and answers on every voter.

This module decodes a record of the log and hands it to the module whose job it is.
"""

import msgspec

from .changes import answer_once
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

# Over the caller's largest body; a longer record is a fault of the proposer.
MAX_PAYLOAD_CHARS = 1024 * 1024

CHANGES = {
    PutContract: put_contract,
    AnnounceStop: announce_stop,
    CancelStop: cancel_stop,
    PutSetting: put_setting,
}
OTHERS = {
    OpenClaim: open_claim,
    CloseClaim: lambda state, index, command: close_claim(state, command),
    TakeFence: take_fence,
    Clock: lambda state, index, command: advance(state, command),
}
# Types are strict here: what one version of the codec coerces another may not.
DECODERS = {kind.__name__: msgspec.json.Decoder(kind) for kind in (*CHANGES, *OTHERS)}
ENVELOPE = msgspec.json.Decoder(tuple[str, msgspec.Raw])


def new_state() -> State:
    """Return the state before the first record of the log."""
    return State()


def encode_command(command: Command) -> str:
    """Return the log record that carries a command."""
    return _encode(command).decode()


def apply(state: State, index: int, payload: str) -> Answer | ClaimAnswer | FenceAnswer:
    """Carry out one record of the log; never raises, whatever the record holds."""
    # A record that is handed over twice, after a restart or by a resent batch, must
    # not take a second fencing number or open a claim that has left since.
    if index <= state.applied_index:
        message = f"record {index} was applied before"
        return Answer("invalid", message, revision=state.revision)
    state.applied_index = index
    try:
        command, body = _decode(payload)
    except (ValueError, RecursionError, OverflowError) as error:
        # A voter that stopped here would stop on every restart, and all the others
        # with it. They all refuse the record alike and go on.
        return Answer("invalid", f"unreadable record: {error}", 0, state.revision)
    kind = type(command)
    if kind in OTHERS:
        return OTHERS[kind](state, index, command)
    decide = CHANGES[kind]
    return answer_once(
        state, command.change_id, body, lambda: decide(state, index, command)
    )


def _encode(command):
    return msgspec.json.encode((type(command).__name__, command))


def _decode(payload):
    """Return the command and its canonical bytes.

    Encoding it again gives two spellings of one change the same digest, and finds
    here, not in a later snapshot, a value that cannot be written.
    """
    if len(payload) > MAX_PAYLOAD_CHARS:
        raise ValueError("the record is too long")
    name, raw = ENVELOPE.decode(payload)
    if name not in DECODERS:
        raise ValueError(f"no command is named {name[:50]!r}")
    command = DECODERS[name].decode(raw)
    return command, _encode(command)
