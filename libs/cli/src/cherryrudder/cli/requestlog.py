"""Trace one request through the log lines of many processes.

Lines are ordered by their time of day. The order is exact within one process; clocks
may differ between VMs, so a cause is searched for within a window of some seconds.
"""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from .errors import BadInput

# A dead engine or a lost control VM further back has been handled in the meantime.
WINDOW_BEFORE_S = 6.0
# A cause may be detected and logged shortly after the request has ended.
WINDOW_AFTER_S = 1.0
NO_END_LOGGED = (
    "no line says how it ended: it is still under way, or its process was killed"
)


class Line(NamedTuple):
    """One structured log line; `time_s` is a time of day."""

    time_s: float
    vm: str
    role: str
    part: str
    event: str
    fields: dict

    def get(self, name: str, default=""):
        """Return the value of a field, or the default if the line lacks it."""
        return self.fields.get(name, default)


class Trace(NamedTuple):
    """A request's lines, related lines that explain its end, and the cause as text."""

    request_id: str
    lines: list[Line]
    beside: list[Line]
    cause: str


COMMON_FIELDS = ("time", "vm", "role", "part", "event")


def read_line(text: str) -> Line | None:
    """Parse a structured log line; return None for any other output."""
    try:
        record = json.loads(text)
    except ValueError:
        return None
    if not isinstance(record, dict) or not all(
        name in record for name in COMMON_FIELDS
    ):
        return None
    common = [record.pop(name) for name in COMMON_FIELDS]
    return Line(*common, record)


def read_files(files: Iterable[Path]) -> list[Line]:
    """Return the structured lines of log files; raises BadInput for unreadable ones."""
    return [line for file in files for line in _read_file(file)]


def _read_file(file):
    try:
        text = file.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise BadInput(f"{file}: {error.strerror}") from error
    lines = (read_line(one) for one in text.splitlines())
    return [line for line in lines if line is not None]


def trace(lines: Iterable[Line], request_id: str) -> Trace:
    """Return a request's lines, the related lines and the cause of its end."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in ordered if line.get("request_id") == request_id]
    end = _last(own, "ended") or _last(own, "refused")
    if end is None:
        return Trace(request_id, own, [], NO_END_LOGGED if own else "no line names it")
    near = [
        line
        for line in ordered
        if end.time_s - WINDOW_BEFORE_S <= line.time_s <= end.time_s + WINDOW_AFTER_S
    ]
    beside, cause = _explain(own, near, end)
    return Trace(request_id, own, beside, cause)


def _explain(own, near, end):
    refused = _last(own, "refused")
    outcome = end.get("outcome", f"refused {end.get('status')}")
    if outcome.startswith("broken off"):
        return _explain_break(own, near, end, outcome)
    if outcome.startswith("refused") and refused is not None:
        if refused.get("status") in (502, 504):
            return _explain_unknown(own, near, refused)
        return _explain_refusal(own, near, refused)
    return [], outcome


def _explain_break(own, near, end, outcome):
    """Explain a broken stream by the dead engines of the request's chains."""
    chains = " ".join(line.get("chain") for line in own if line.event == "sent")
    deaths = [
        line
        for line in near
        if line.event == "engine-dead" and f"{line.get('address')}=" in chains
    ]
    if not deaths:
        return [], f"{outcome}; no engine of its chains was found dead near that time"
    addresses = sorted({line.get("address") for line in deaths})
    retry = _last(own, "retry")
    suffix = f", and not sent again: {retry.get('verdict')}" if retry else ""
    return (
        deaths,
        f"{outcome}; found dead of its chains: {', '.join(addresses)}{suffix}",
    )


def _explain_refusal(own, near, refused):
    reason = refused.get("reason")
    blocked = _last(own, "blocked")
    if blocked is not None:
        return _explain_block(near, blocked)
    no_chain = _last(own, "no-chain")
    if no_chain is not None:
        return _explain_no_chain(near, no_chain, reason)
    if reason.startswith(("configuration", "cut off", "no configuration")):
        events = ("control-lost", "leader", "confirmed", "lost")
        beside = [line for line in near if line.event in events]
        age_s = refused.get("confirmed_age_s")
        return beside, f"refused: {reason}, last confirmed {age_s} s before"
    return [], f"refused: {reason}"


def _explain_block(near, blocked):
    """Explain a blocked request by the engines that it, or one of its parts, ended."""
    fingerprint, part = blocked.get("fingerprint"), blocked.get("prompt_part")
    beside = [
        line
        for line in near
        if line.part == "crashes"
        and (
            line.get("fingerprint") == fingerprint
            or (part and part in line.get("prompt_parts", ()))
        )
    ]
    ended = ", ".join(blocked.get("engine_ids", ()))
    culprit = f"part {part}" if part else fingerprint
    return beside, f"refused for good: {culprit} has ended {ended}"


def _explain_no_chain(near, no_chain, reason):
    layer = no_chain.get("tightest_layer", 0)
    beside = [
        line
        for line in near
        if line.event in ("engine-dead", "endpoint-gone", "endpoint-lost")
        or (line.event == "order" and _covers(line.get("layers"), layer))
    ]
    return beside, (
        f"refused: {reason}; layer {layer} had room for"
        f" {no_chain.get('free_tokens')} tokens where {no_chain.get('tokens')} were"
        f" needed, with {no_chain.get('engines')} engines in use"
    )


def _explain_unknown(own, near, refused):
    sent = _last(own, "sent")
    if sent is None:
        return [], f"refused: {refused.get('reason')}"
    engine_id = sent.get("engine_id")
    beside = [line for line in near if line.get("engine_id") == engine_id]
    beside = [line for line in beside if line.part != "request"]
    return beside, (
        f"outcome unknown: sent to {engine_id}, then: {refused.get('reason')};"
        f" only its own ledger tells whether it has run"
    )


def _covers(layers, layer):
    return bool(layers) and layers[0] <= layer < layers[1]


def _last(lines, event):
    matching = [line for line in lines if line.event == event]
    return matching[-1] if matching else None
