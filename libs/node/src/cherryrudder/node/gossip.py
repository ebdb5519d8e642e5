"""What entries and control VMs tell one another, over frame links.

Each entry sends a beat to every control VM that it knows, and each control VM answers.
News goes out at once besides; a beat only repairs what was lost on the way, so any of
these messages may be lost, doubled or late.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from loguru import logger

from cherryrudder.platform.settings import NodeSettings
from cherryrudder.policy.permits import Grant
from cherryrudder.policy.sharedbudget import Spent
from cherryrudder.routing.endpoints import Announcement

log = logger.bind(part="gossip")


class EndpointState(NamedTuple):
    """An endpoint as the sender knows it; `age_s` is since it was last heard."""

    announcement: Announcement
    age_s: float
    is_gone: bool


class Liveness(NamedTuple):
    """A sign of life that brings no other news."""

    engine_id: str
    age_s: float


class Usage(NamedTuple):
    """What runs through an engine, as those who sent it count."""

    address: str
    running: int
    tokens: int
    # Streams whose chain begins there; engines bound how many they take.
    firsts: int


class SyncPosition(NamedTuple):
    """How far a reader has followed the endpoints' table of one control process."""

    boot: str
    version: int


class ReportedCrash(NamedTuple):
    """An engine that ended after it had begun a request, `age_s` ago."""

    engine_id: str
    vm_zone: str
    version: str
    last_event: int
    age_s: float


class ReportedRecord(NamedTuple):
    """What the sender knows of one request under which engines ended."""

    fingerprint: str
    account: str
    service: str
    crashes: tuple[ReportedCrash, ...]
    # Furthest event of a run whose engine lived on, -1 for none.
    passed: int
    # Since an operator said that it may run; None when none did.
    lifted_age_s: float | None


class CrashSync(NamedTuple):
    """The sender's book since what the reader has, and how far it has the reader's."""

    position: SyncPosition
    # The version since which the records are, as the sender last heard; -1 for all.
    since: int
    acked: SyncPosition
    records: tuple[ReportedRecord, ...]


class ReportedLimit(NamedTuple):
    """The requests a second that an engine takes, as it said `age_s` ago."""

    engine_id: str
    # None when it no longer names a limit.
    per_s: float | None
    age_s: float


class EntryHeartbeat(NamedTuple):
    """An entry's regular message to each control VM."""

    vm: str
    vm_zone: str
    # Frame address at which the entry takes answers and news.
    address: str
    # The sender's clock, echoed: a late answer then shows its age.
    sent_s: float
    # Version of the configuration that is in force at the entry, 0 for none.
    version: int
    acked: SyncPosition
    # Both are sent only to the control VMs that tell the entries of their data centre.
    usage: tuple[Usage, ...]
    # Requests and retries of this entry within the operators' window.
    spent: tuple[Spent, ...]
    # One control VM is asked for what other entries have running and have spent, and
    # for the signs of life of all endpoints.
    requests_all: bool
    # For the control VM that is asked for all, and at first for each.
    crashes: CrashSync | None = None
    limits: tuple[ReportedLimit, ...] = ()


class ControlAnswer(NamedTuple):
    """A control VM's answer to an entry's beat."""

    boot: str
    address: str
    sent_s: float
    # Newest version as of the beat's arrival, confirmed by a majority of the voters;
    # -1 when that couldn't be had.
    version: int
    controls: tuple[str, ...]
    table_version: int
    endpoints: tuple[EndpointState, ...]
    alive: tuple[Liveness, ...]
    vm_zone: str
    # Of all other entries together; None when it wasn't asked for.
    usage: tuple[Usage, ...] | None
    spent: tuple[Spent, ...] | None
    # How old what the others told is, on the average: it is summed up.
    spent_age_s: float
    # How many entries there are.
    entries: int
    # To a beat that brought some.
    crashes: CrashSync | None = None
    limits: tuple[ReportedLimit, ...] = ()


class ControlHeartbeat(NamedTuple):
    """A control VM's regular message to each other."""

    boot: str
    vm: str
    # Frame address for this gossip, and the one for the log's messages.
    address: str
    log_address: str
    disk_id: str
    # False for a copy in memory, which can never become a voter.
    has_disk: bool
    vm_zone: str
    is_founding: bool
    controls: tuple[str, ...]
    acked: SyncPosition
    table_version: int
    endpoints: tuple[EndpointState, ...]
    alive: tuple[Liveness, ...]
    crashes: CrashSync | None = None
    limits: tuple[ReportedLimit, ...] = ()


class EndpointUpdate(NamedTuple):
    """Endpoints that changed just now."""

    endpoints: tuple[EndpointState, ...]


class ConfigurationUpdate(NamedTuple):
    """A configuration that was accepted, packed as it is in the log."""

    version: int
    packed: str


class Accusation(NamedTuple):
    """An entry had no answer from an engine and takes it as dead."""

    engine_id: str
    sender: str


class Acquittal(NamedTuple):
    """A control VM had the answer that the accuser missed; the engine lives."""

    engine_id: str


class Question(NamedTuple):
    """A control VM had no answer from an engine and asks another one to look."""

    engine_id: str
    sender: str


class Finding(NamedTuple):
    """What a control VM that was asked saw of an engine; see `verification.Seen`."""

    engine_id: str
    sender: str
    seen: str


class DeathNotice(NamedTuple):
    """An entry and the control VMs had no answer; the others needn't try."""

    engine_id: str


class EndNotice(NamedTuple):
    """An engine that was found dead has missed its heartbeats, too: its runs ended."""

    engine_id: str


class CrashNews(NamedTuple):
    """Requests under which an engine has ended just now, or that got further."""

    records: tuple[ReportedRecord, ...]


class LimitUpdate(NamedTuple):
    """Engines that have just named a limit, changed it or ended it."""

    limits: tuple[ReportedLimit, ...]


class PermitRequest(NamedTuple):
    """An entry has requests that could begin at a limited engine."""

    # Where the entry takes the answer.
    sender: str
    limit: ReportedLimit
    count: int


class PermitGrant(NamedTuple):
    """How many requests an entry may send to a limited engine."""

    engine_id: str
    grant: Grant


class Complaint(NamedTuple):
    """A stream goes slower than its chain should; one of these engines is slow."""

    engine_ids: tuple[str, ...]


class PaceNews(NamedTuple):
    """How many times slower than its kind an engine says that it is."""

    engine_id: str
    slowness: float


KINDS = (
    EntryHeartbeat,
    ControlAnswer,
    ControlHeartbeat,
    EndpointUpdate,
    ConfigurationUpdate,
    Accusation,
    Acquittal,
    Question,
    Finding,
    DeathNotice,
    EndNotice,
    CrashNews,
    Complaint,
    PaceNews,
    LimitUpdate,
    PermitRequest,
    PermitGrant,
)

# Nobody but this system's processes knows the internal ports; the key only keeps a
# stray connection of something else from being taken for one of them.
KEY = "cherryrudder"


class Ports(NamedTuple):
    """The ports of the machine that this system's processes use among themselves."""

    log: int
    control: int
    entry: int


def ports(first_port: int) -> Ports:
    """Return the ports, counted from the first that the platform leaves free."""
    return Ports(first_port, first_port + 1, first_port + 2)


def deliver(peer: str, messages: Iterable, handle: Callable) -> None:
    """Hand messages on one by one, and leave out any that the reader fails at.

    All processes read the same news: one that ended its reader would end the others,
    too. The beats make good what was left out.
    """
    for message in messages:
        try:
            handle(message)
        except Exception as error:
            kind = type(message).__name__
            log.opt(exception=error).error("{} from {} was left out.", kind, peer)


def seed_addresses(settings: NodeSettings) -> tuple[str, ...]:
    """Return where the seeds' control processes take frames."""
    port = ports(settings.first_port).control
    return tuple(at_port(seed, port) for seed in settings.seeds)


def at_port(address: str, port: int) -> str:
    """Return the address of another port on the same machine."""
    return f"{address.rpartition(':')[0]}:{port}"
