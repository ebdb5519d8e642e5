"""State of an entry process that its parts share."""

import math
import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import anyio

from cherryrudder.layers.chains import Candidate, Chain
from cherryrudder.layers.pipes import PipeBudget
from cherryrudder.platform.settings import NodeSettings
from cherryrudder.policy import peerload
from cherryrudder.policy.peerload import Load, PeerLoad
from cherryrudder.policy.sharedbudget import SharedBudget
from cherryrudder.relay.pool import Pool
from cherryrudder.replica.clock import new_id, now_s
from cherryrudder.routing import backoffs, endpoints, hangs, slowness, suspicion
from cherryrudder.routing.backoffs import BackoffBook
from cherryrudder.routing.endpoints import Announcement
from cherryrudder.routing.hangs import Hangs
from cherryrudder.routing.partpasses import PartPasses
from cherryrudder.routing.routetable import RouteTable
from cherryrudder.routing.slowness import SlownessBook
from cherryrudder.routing.suspicion import Suspicions

from . import backpressure, gossip
from .brokenruns import BrokenRuns
from .crashtracker import CrashTracker
from .gossip import Usage
from .linesink import LineSink
from .metrics import Metrics
from .ratelimiter import RateLimiter
from .roster import Roster
from .tablesync import SharedTable

if TYPE_CHECKING:
    from .unframedruns import UnframedRun

# How long an engine counts as full after it refused a stream for lack of memory. The
# other entries' load there is known half a second late. Meanwhile all streams would go
# to the same full engine, and each refusal costs a retry.
FULL_HOLD_S = 0.4
# Random variation of an engine's cost from choice to choice. It is less than the
# difference between kinds of engines, and more than that between two engines of one
# kind with a few streams more or less.
JITTER = 0.15
# Entries assumed until the control VMs report how many there are.
INITIAL_ENTRIES = 32
# Other entries of a data centre that are assumed as a minimum in the first seconds of a
# process. After a power loss all entries start together, each with the requests that
# came meanwhile, and control VMs that have just started have seen few entries. With
# that low count all entries sent to the same engines, which refused most of the
# requests. Too high a count only leaves room unused for a moment.
INITIAL_PEERS = 10.0
STARTUP_S = 2.0


class ReportedLoad(NamedTuple):
    """The load that an endpoint reported in an answer."""

    load: float
    reported_s: float


class NewerVersion(NamedTuple):
    """A version in force that an entry lacks, and since when the entry knows of it."""

    version: int
    heard_s: float


class EntryState:
    """The settings, tables and counts of one entry process."""

    def __init__(self, settings: NodeSettings, sink: LineSink, metrics: Metrics):
        self.settings = settings
        self.sink = sink
        self.metrics = metrics
        self.boot = new_id()
        self.rng = random.Random(self.boot)
        self.ports = gossip.ports(settings.first_port)
        self.address = f"{settings.ip}:{self.ports.entry}"
        self.controls = Roster("", gossip.seed_addresses(settings))
        self.endpoints = SharedTable(self.boot)
        self.suspicions = Suspicions()
        self.slowness = SlownessBook()
        self.hangs = Hangs()
        self.rates = RateLimiter()
        self.backoffs = BackoffBook()
        # Replaced by the uplink: publish engines whose answers stated that they leave.
        self.publish_endpoints: Callable[[list[str]], None] = lambda engine_ids: None
        self.crashes = CrashTracker(self.boot, sink, metrics)
        self.broken = BrokenRuns()
        # Runs without a length that seemed whole; see `unframedruns`.
        self.unframed_runs: list[UnframedRun] = []
        self.passes = PartPasses()
        self.table: RouteTable | None = None
        # When the request was sent whose answer last confirmed the configuration.
        self.confirmed_s = float("-inf")
        # Newer versions that are in force, and when this entry first heard of each.
        self.newer_versions: deque[NewerVersion] = deque()
        self.pool = Pool()
        bounds = settings.bounds
        self.retry_budget = SharedBudget(
            bounds.retry_share,
            bounds.retry_slack,
            bounds.retry_window_s,
            # Nothing before the first report: the process before may have spent it.
            entries=math.inf,
        )
        # By engine address: this entry's running requests, their tokens, and the chains
        # that begin there.
        self.running: dict[str, int] = {}
        self.tokens: dict[str, int] = {}
        self.firsts: dict[str, int] = {}
        # Tokens of this entry's prompts without any event yet, by engine address.
        self.unread: dict[str, int] = {}
        self.peer_load = PeerLoad()
        # Number of other entries that serve the same data centre.
        self.peers = INITIAL_PEERS
        self.started_s = now_s()
        self.reported_loads: dict[str, ReportedLoad] = {}
        # When this entry first received that an engine leaves, by engine id.
        self.leaving_since_s: dict[str, float] = {}
        # The incarnation last announced, by address.
        self.incarnations: dict[str, str] = {}
        # Until when engines count as full, by address.
        self.full_until_s: dict[str, float] = {}
        self.pipes = PipeBudget()
        # Number of entries, as reported by the control VMs.
        self.entries = INITIAL_ENTRIES
        # Set when an engine is found dead; its waiter replaces it.
        self.engine_died = anyio.Event()
        # Set once the process is to end.
        self.stopping = anyio.Event()

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.table.version if self.table else 0


def set_table(state: EntryState, table: RouteTable) -> None:
    """Put another version of the configuration in force."""
    if state.table is not None and _pipe_rates(state.table) != _pipe_rates(table):
        # What was used of pipes with other rates doesn't count.
        state.pipes = PipeBudget()
    state.table = table


def _pipe_rates(table):
    services = table.configuration.services
    return {s.name: s.model.pipe_mbps for s in services if s.model is not None}


def record_version(state: EntryState, version: int, now_s: float) -> None:
    """Record a version that a majority of the control VMs has confirmed."""
    newer = state.newer_versions
    if version > max(state.version, newer[-1].version if newer else 0):
        newer.append(NewerVersion(version, now_s))


def superseded_age_s(state: EntryState, now_s: float) -> float:
    """Return for how long this entry has known of a newer version, 0 if of none."""
    newer = state.newer_versions
    while newer and newer[0].version <= state.version:
        newer.popleft()
    return now_s - newer[0].heard_s if newer else 0.0


def add_load(state: EntryState, chain: Chain, tokens: int) -> None:
    """Add a request's load to every engine of its chain."""
    for part in chain:
        state.running[part.address] = state.running.get(part.address, 0) + 1
        state.tokens[part.address] = state.tokens.get(part.address, 0) + tokens
    first = chain[0].address
    state.firsts[first] = state.firsts.get(first, 0) + 1


def remove_load(state: EntryState, chain: Chain, tokens: int) -> None:
    """Remove a request's load from every engine of its chain."""
    for part in chain:
        state.running[part.address] -= 1
        state.tokens[part.address] -= tokens
        if not state.running[part.address]:
            del state.running[part.address]
            del state.tokens[part.address]
    first = chain[0].address
    state.firsts[first] -= 1
    if not state.firsts[first]:
        del state.firsts[first]


def add_unread(state: EntryState, chain: Chain, tokens: int) -> None:
    """Add a prompt's tokens as unread on every engine of a chain."""
    for part in chain:
        state.unread[part.address] = state.unread.get(part.address, 0) + tokens


def remove_unread(state: EntryState, chain: Chain, tokens: int) -> None:
    """Remove a prompt's unread tokens: it was read, or its attempt has ended."""
    for part in chain:
        left = state.unread.pop(part.address, 0) - tokens
        if left > 0:
            state.unread[part.address] = left


def usage(state: EntryState) -> tuple[Usage, ...]:
    """Return this entry's load per engine, for the other entries."""
    return tuple(Usage(address, *_own(state, address)) for address in state.running)


def record_report_sent(state: EntryState) -> None:
    """Record this entry's load at the time when it is sent to the others."""
    own = {address: _own(state, address) for address in state.running}
    peerload.record_report_sent(state.peer_load, own)


def update_peer_load(
    state: EntryState, usages: tuple[Usage, ...], data_centres: int, now_s: float
) -> None:
    """Update the other entries' load and the number of entries nearby."""
    reported = {one.address: Load(*one[1:]) for one in usages}
    peerload.update_reported(state.peer_load, reported)
    is_new = now_s < state.started_s + STARTUP_S
    min_peers = INITIAL_PEERS if is_new else 0.0
    state.peers = max(min_peers, state.entries / max(1, data_centres) - 1)


def _own(state, address):
    if address not in state.running:
        return peerload.NO_LOAD
    return Load(
        state.running.get(address, 0),
        state.tokens.get(address, 0),
        state.firsts.get(address, 0),
    )


def serving_endpoints(
    state: EntryState, service: str, now_s: float
) -> list[Announcement]:
    """Return the endpoints of a service that may get new work."""
    return [
        announcement
        for announcement in endpoints.live(state.endpoints.table, now_s)
        if announcement.service == service and endpoints.accepts_requests(announcement)
    ]


def first_engines(state: EntryState, service: str, now_s: float) -> list[Announcement]:
    """Return the engines where chains can begin, without the suspect ones."""
    return [
        one
        for one in serving_endpoints(state, service, now_s)
        if one.holding.first == 0 < one.holding.end
        and not is_suspect(state, one.engine_id, now_s)
    ]


def candidates(
    state: EntryState, service: str, now_s: float, vm_zone: str = ""
) -> list[Candidate]:
    """Return the engines that hold layers and aren't suspect.

    `vm_zone` restricts the result to one data centre.
    """
    return [
        _candidate(state, announcement, now_s)
        for announcement in serving_endpoints(state, service, now_s)
        if announcement.holding.end
        and vm_zone in ("", announcement.vm_zone)
        and not is_suspect(state, announcement.engine_id, now_s)
    ]


def is_suspect(state: EntryState, engine_id: str, now_s: float) -> bool:
    """Return whether this entry suspects an endpoint to be dead or failing."""
    entry = state.endpoints.table.entries.get(engine_id)
    last_seen_s = entry.last_seen_s if entry else now_s
    return suspicion.is_ejected(state.suspicions, engine_id, last_seen_s, now_s)


def is_confirmed_dead(state: EntryState, engine_id: str) -> bool:
    """Return whether an engine's death is confirmed by others as well."""
    entry = state.endpoints.table.entries.get(engine_id)
    if entry is None or entry.is_gone:
        return True
    return suspicion.is_confirmed_dead(state.suspicions, engine_id, entry.last_seen_s)


def engine_name(state: EntryState, engine_id: str) -> str:
    """Return the name that an incarnation of an engine uses for itself."""
    entry = state.endpoints.table.entries.get(engine_id)
    return (entry and entry.announcement.name) or engine_id


def record_full(state: EntryState, address: str, now_s: float) -> None:
    """Record that an engine had no room for a stream."""
    state.full_until_s[address] = now_s + FULL_HOLD_S


def _candidate(state, announcement, now):
    address = announcement.address
    own = _own(state, address)
    others = peerload.estimate(state.peer_load, address, own, state.peers)
    is_barred = not backpressure.may_send(state, announcement.engine_id, now)
    is_full = now < state.full_until_s.get(address, 0.0) or backoffs.is_active(
        state.backoffs, announcement.engine_id, now
    )
    return Candidate(
        address=address,
        engine_id=announcement.engine_id,
        vm_zone=announcement.vm_zone,
        kind=announcement.kind,
        first=announcement.holding.first,
        end=announcement.holding.end,
        running=own.running + others.running,
        tokens=math.inf if is_full else own.tokens + others.tokens,
        # A barred engine begins no requests but still runs its part of chains.
        firsts=math.inf if is_barred else own.firsts + others.firsts,
        is_hanging=hangs.is_ejected(state.hangs, announcement.engine_id, now),
        # Other entries don't report unread tokens: assume as many for each of them.
        unread=state.unread.get(address, 0) * (1.0 + state.peers),
        jitter=1.0 + JITTER * state.rng.random(),
        slowness=slowness.slowness_of(state.slowness, announcement.engine_id, now),
    )


def engine_at(state: EntryState, address: str, now_s: float) -> Announcement | None:
    """Return the last announcement of the live incarnation at an address."""
    for announcement in endpoints.live(state.endpoints.table, now_s):
        if announcement.address == address:
            return announcement
    return None
