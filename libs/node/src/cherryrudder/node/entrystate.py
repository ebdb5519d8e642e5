"""What an entry process knows, shared by its parts."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

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

# An engine that refused a stream for want of memory is taken as full for so long. What
# other entries have running there is known half a second late; meanwhile all streams
# would go to the same full engine, and each refusal costs a retry.
FULL_S = 0.4
# How much an engine's cost differs from choice to choice: less than kinds differ, more
# than two engines of one kind that have a few streams more or less.
JITTER = 0.15
# Entries assumed until the control VMs tell how many there are.
FIRST_ENTRIES = 32
# Other entries of a data centre that are assumed at least for the first seconds of a
# process. After a loss of power all entries start together, each with the requests that
# came meanwhile, and control VMs that have started too know few of them. Each thought
# itself alone then, and all sent to the same engines, which refused most of it. Assumed
# too many, they leave room unused for a moment.
FIRST_PEERS = 10.0
FIRST_S = 2.0


class ToldLoad(NamedTuple):
    """What an endpoint said of its load in an answer."""

    load: float
    told_s: float


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
        # Replaced by the uplink: tells all of engines that said that they leave.
        self.spread_endpoints: Callable[[list[str]], None] = lambda engine_ids: None
        self.crashes = CrashTracker(self.boot, sink, metrics)
        self.broken = BrokenRuns()
        self.table: RouteTable | None = None
        # When the question was asked whose answer last confirmed the configuration.
        self.confirmed_s = float("-inf")
        self.pool = Pool()
        bounds = settings.bounds
        self.retry_budget = SharedBudget(
            bounds.retry_share,
            bounds.retry_slack,
            bounds.retry_window_s,
            FIRST_ENTRIES,
        )
        # By engine address: requests, their tokens and the chains that begin there, of
        # this entry and of the others.
        self.running: dict[str, int] = {}
        self.tokens: dict[str, int] = {}
        self.firsts: dict[str, int] = {}
        # Tokens of this entry's prompts that gave no event yet, by engine address.
        self.unread: dict[str, int] = {}
        self.others = PeerLoad()
        # Other entries that serve the same data centre.
        self.peers = FIRST_PEERS
        self.started_s = now_s()
        self.told: dict[str, ToldLoad] = {}
        # When this entry heard that an incarnation of an engine is about to leave.
        self.leaving_since_s: dict[str, float] = {}
        # The incarnation that was last heard of, by address.
        self.incarnations: dict[str, str] = {}
        # Until when engines are taken as full, by address.
        self.full_until_s: dict[str, float] = {}
        self.pipes = PipeBudget()
        # How many entries there are, as the control VMs tell.
        self.entries = FIRST_ENTRIES
        # Set when an engine is found dead, and replaced by whoever waits for it.
        self.engine_died = anyio.Event()
        # Set once the process is to end.
        self.stopping = anyio.Event()

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.table.version if self.table else 0


def began(state: EntryState, chain: Chain, tokens: int) -> None:
    """Count a request in on every engine of its chain."""
    for part in chain:
        state.running[part.address] = state.running.get(part.address, 0) + 1
        state.tokens[part.address] = state.tokens.get(part.address, 0) + tokens
    first = chain[0].address
    state.firsts[first] = state.firsts.get(first, 0) + 1


def ended(state: EntryState, chain: Chain, tokens: int) -> None:
    """Count a request out again."""
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


def prompt_sent(state: EntryState, chain: Chain, tokens: int) -> None:
    """Count a prompt that every engine of a chain has yet to read."""
    for part in chain:
        state.unread[part.address] = state.unread.get(part.address, 0) + tokens


def prompt_read(state: EntryState, chain: Chain, tokens: int) -> None:
    """Count a prompt out again: it was read, or its attempt has ended."""
    for part in chain:
        left = state.unread.pop(part.address, 0) - tokens
        if left > 0:
            state.unread[part.address] = left


def usage(state: EntryState) -> tuple[Usage, ...]:
    """Return what this entry has running, for the other entries."""
    return tuple(Usage(address, *_own(state, address)) for address in state.running)


def record_report_sent(state: EntryState) -> None:
    """Take note of what this entry has running as it tells the others."""
    own = {address: _own(state, address) for address in state.running}
    peerload.record_report_sent(state.others, own)


def update_peer_load(
    state: EntryState, usages: tuple[Usage, ...], data_centres: int, now_s: float
) -> None:
    """Take what the other entries had running."""
    told = {one.address: Load(*one[1:]) for one in usages}
    peerload.update_reported(state.others, told)
    is_new = now_s - state.started_s < FIRST_S
    least = FIRST_PEERS if is_new else 0.0
    state.peers = max(least, state.entries / max(1, data_centres) - 1)


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


def candidates(
    state: EntryState, service: str, now_s: float, vm_zone: str = ""
) -> list[Candidate]:
    """Return the engines that hold layers and aren't known to be dead.

    Those of one data centre, if it is given.
    """
    return [
        _candidate(state, announcement, now_s)
        for announcement in serving_endpoints(state, service, now_s)
        if announcement.holding.end
        and vm_zone in ("", announcement.vm_zone)
        and not is_suspect(state, announcement.engine_id, now_s)
    ]


def is_suspect(state: EntryState, engine_id: str, now_s: float) -> bool:
    """Tell whether this entry has evidence against an endpoint."""
    entry = state.endpoints.table.entries.get(engine_id)
    heard_s = entry.last_seen_s if entry else now_s
    return suspicion.is_ejected(state.suspicions, engine_id, heard_s, now_s)


def is_confirmed_dead(state: EntryState, engine_id: str) -> bool:
    """Tell whether an engine's end is known from others as well."""
    entry = state.endpoints.table.entries.get(engine_id)
    if entry is None or entry.is_gone:
        return True
    return suspicion.is_certainly_dead(state.suspicions, engine_id, entry.last_seen_s)


def engine_name(state: EntryState, engine_id: str) -> str:
    """Return the name by which an incarnation of an engine knows itself."""
    entry = state.endpoints.table.entries.get(engine_id)
    return (entry and entry.announcement.name) or engine_id


def note_full(state: EntryState, address: str, now_s: float) -> None:
    """Take note that an engine had no room for a stream."""
    state.full_until_s[address] = now_s + FULL_S


def _candidate(state, announcement, now):
    address = announcement.address
    own = _own(state, address)
    others = peerload.estimate(state.others, address, own, state.peers)
    is_barred = hangs.is_ejected(
        state.hangs, announcement.engine_id, now
    ) or not backpressure.may_begin(state, announcement.engine_id, now)
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
        # One that begins nothing still runs its part of other engines' requests.
        firsts=math.inf if is_barred else own.firsts + others.firsts,
        # The others have as much on the way as this entry; they don't tell.
        unread=state.unread.get(address, 0) * (1.0 + state.peers),
        jitter=1.0 + JITTER * state.rng.random(),
        slowness=slowness.slowness_of(state.slowness, announcement.engine_id, now),
    )


def engine_at(state: EntryState, address: str, now_s: float) -> Announcement | None:
    """Return what the incarnation that is thought to be at an address last told."""
    for announcement in endpoints.live(state.endpoints.table, now_s):
        if announcement.address == address:
            return announcement
    return None
