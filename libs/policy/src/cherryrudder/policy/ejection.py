"""Ejection of endpoints that are slow, fail or do not respond, and their probing.

An endpoint may be ten times slower than others of its kind, or only for long answers;
it may accept requests and never answer; or it may fail so fast that it always looks
idle. In a round robin each of these gets its full part of the requests. Where the least
loaded endpoint is chosen, one that fails fast gets more than its part.

An endpoint is compared with its own kind (same layers, same accelerator), because a
slow accelerator is not a fault. Short and long answers are compared separately, so that
an endpoint that is slow only for long answers is detected. At most a fraction of a kind
is ejected: if most are slow, the cause is elsewhere, and ejecting them makes it worse.
"""

import math
from typing import NamedTuple

# Three times the median: the normal spread under continuous batching stays below two.
SLOW_RATIO = 3.0
# An endpoint is not judged with fewer samples or peers.
MIN_SAMPLES = 5
MIN_PEERS = 3
# Three failures in a row, or half of the recent requests.
MAX_FAILURES = 3
MAX_FAILURE_FRACTION = 0.5
# The largest fraction of a kind that may be ejected at once.
MAX_EJECTED_FRACTION = 1 / 3
# First and longest ejection; each one doubles the one before. Two seconds are longer
# than a restart, and after a minute a repaired endpoint is worth a probe.
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# Good probes in a row before an endpoint gets its full part again.
REQUIRED_PROBES = 3
# Silence with requests in flight is a fault after four times the longest gap that the
# kind has shown. It is never a fault within a second, which lost packets and pauses can
# explain.
SILENCE_RATIO = 4.0
MIN_SILENCE_S = 1.0
# Used until a kind has answered for the first time: the longest time to a first answer
# that callers tolerate.
DEFAULT_SILENCE_S = 10.0
# Answers of this length or more count as long; the time of a longer one is spent on its
# decoding.
LONG_TOKENS = 256
# Weight of a sample: a fifth, so that ten samples replace an old speed.
LEARNING_RATE = 0.2
# A longest gap decays within some twenty seconds. It decays by time and not by signals,
# thousands of which arrive while tokens stream: the gap of a long prompt's prefill
# would be gone within milliseconds, and the next such prompt would count as a fault.
GAP_DECAY_S = 20.0


class Health:
    """The recorded speed, failures and ejections of one endpoint."""

    def __init__(self):
        # Seconds per token, and samples, for short and for long answers.
        self.token_s = [0.0, 0.0]
        self.samples = [0, 0]
        self.failures = 0
        self.failure_part = 0.0
        self.signal_s = 0.0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.good_probes = REQUIRED_PROBES


class KindHealth:
    """The speeds and gaps of all endpoints of one kind."""

    def __init__(self):
        self.median_s = [0.0, 0.0]
        self.gap_s = 0.0
        self.signal_s = 0.0


class Peer(NamedTuple):
    """One endpoint of a kind under review."""

    endpoint: str
    health: Health
    in_flight: int


def size_class(tokens: float) -> int:
    """Return 0 for short answers and 1 for long ones."""
    return int(tokens >= LONG_TOKENS)


def is_ejected(health: Health, now_s: float) -> bool:
    """Return whether an endpoint gets no requests now."""
    return now_s < health.ejected_until_s


def is_probing(health: Health) -> bool:
    """Return whether an endpoint gets one request at a time, to test its recovery."""
    return health.good_probes < REQUIRED_PROBES


def record_signal(health: Health, kind: KindHealth, now_s: float) -> None:
    """Record that an endpoint with requests in flight has responded."""
    gap_s = min(now_s - health.signal_s, silence_s(kind))
    passed_s = max(0.0, now_s - kind.signal_s)
    kept_s = kind.gap_s * math.exp(-passed_s / GAP_DECAY_S)
    kind.gap_s = max(gap_s, kept_s)
    kind.signal_s = health.signal_s = now_s


def record_answer(health, kind, tokens: float, duration_s: float, now_s: float) -> None:
    """Record an answered request."""
    size = size_class(tokens)
    sample_s = duration_s / max(1.0, tokens)
    part = LEARNING_RATE if health.samples[size] else 1.0
    health.token_s[size] += part * (sample_s - health.token_s[size])
    health.samples[size] += 1
    health.failures = 0
    health.failure_part *= 1 - LEARNING_RATE
    if not is_probing(health):
        return
    median_s = kind.median_s[size]
    if median_s and sample_s > SLOW_RATIO * median_s:
        eject(health, now_s)
        return
    health.good_probes += 1
    if not is_probing(health):
        health.ejections = 0


def record_failure(health: Health, now_s: float) -> None:
    """Record a failed request; a failed probe ejects the endpoint again at once."""
    health.failures += 1
    health.failure_part += LEARNING_RATE * (1 - health.failure_part)
    if is_probing(health):
        eject(health, now_s)


def silence_s(kind: KindHealth) -> float:
    """Return the silence with requests in flight after which it is a fault."""
    if not kind.gap_s:
        return DEFAULT_SILENCE_S
    return max(MIN_SILENCE_S, SILENCE_RATIO * kind.gap_s)


def eject(health: Health, now_s: float) -> None:
    """Send an endpoint no requests for a time, then one at a time."""
    length_s = FIRST_EJECTION_S * 2**health.ejections
    health.ejected_until_s = now_s + min(length_s, MAX_EJECTION_S)
    health.ejections = min(health.ejections + 1, 8)
    health.good_probes = 0
    health.failures = 0
    health.failure_part = 0.0
    # Earlier samples would get it ejected again after it has recovered.
    health.samples = [0, 0]


def review(kind: KindHealth, peers: list[Peer], now_s: float) -> list[str]:
    """Eject the worst of a kind, within the limit, and return them."""
    for size in (0, 1):
        kind.median_s[size] = _median(peers, size) or kind.median_s[size]
    room = int(len(peers) * MAX_EJECTED_FRACTION)
    # One of two endpoints may be ejected, but never the only one of its kind.
    room = max(room, int(len(peers) > 1))
    room -= sum(is_ejected(peer.health, now_s) for peer in peers)
    faults = []
    for peer in peers:
        if not is_ejected(peer.health, now_s):
            score = _fault_score(peer, kind, now_s)
            if score > 0:
                faults.append((score, peer.endpoint, peer.health))
    faults.sort(reverse=True, key=lambda fault: fault[:2])
    worst = faults[: max(0, room)]
    for _, _, health in worst:
        eject(health, now_s)
    return [endpoint for _, endpoint, _ in worst]


def _fault_score(peer, kind, now_s):
    """Return 0 for a healthy endpoint; silent and failing ones rank above slow ones."""
    health = peer.health
    if peer.in_flight and now_s - health.signal_s > silence_s(kind):
        return 1e6
    if health.failures >= MAX_FAILURES or health.failure_part > MAX_FAILURE_FRACTION:
        return 1e5
    worst = 0.0
    for size in (0, 1):
        if health.samples[size] >= MIN_SAMPLES and kind.median_s[size]:
            worst = max(worst, health.token_s[size] / kind.median_s[size])
    return worst if worst > SLOW_RATIO else 0.0


def _median(peers, size):
    known = sorted(
        peer.health.token_s[size]
        for peer in peers
        if peer.health.samples[size] >= MIN_SAMPLES
    )
    if len(known) < MIN_PEERS:
        return 0.0
    return known[(len(known) - 1) // 2]
