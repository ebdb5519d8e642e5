"""Messages between entries and control VMs, sent over frame links.

Each entry sends a heartbeat to every known control VM, and each control VM answers.
Changes are also sent at once as updates. The next heartbeat repairs what was lost on
the way, so any of these messages may be lost, duplicated or late.

Messages travel as positional arrays: the order of fields and of `KINDS` is fixed.
A version that a frame's integers can't hold travels as text, any other as a number, as
processes of older releases read it.
"""

from typing import NamedTuple

from cherryrudder.platform.settings import NodeSettings
from cherryrudder.policy.permits import Grant
from cherryrudder.policy.retryledger import EndedUsage
from cherryrudder.policy.sharedbudget import RetryUsage
from cherryrudder.routing.configlog import ConfigState
from cherryrudder.routing.endpoints import Announcement

# The integers of a frame. An operator's version may be any other.
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1


def write_version(version: int) -> int | str:
    """Return a configuration's version as messages carry it; see `with_number`."""
    return version if MIN_INTEGER <= version <= MAX_INTEGER else str(version)


def with_number(message):
    """Return a received message with its version as a number; raises ValueError."""
    if isinstance(message.version, str):
        return message._replace(version=int(message.version))
    return message


class EndpointState(NamedTuple):
    """An endpoint in the sender's table; `age_s` is the time since its last sign."""

    announcement: Announcement
    age_s: float
    is_gone: bool


class Liveness(NamedTuple):
    """The age of an endpoint's last sign of life, for endpoints without changes."""

    engine_id: str
    age_s: float


class Usage(NamedTuple):
    """The requests in flight at an engine, as counted by the entries that sent them."""

    address: str
    running: int
    tokens: int
    # Streams whose chain begins at the engine; engines limit how many they accept.
    firsts: int


class SyncPosition(NamedTuple):
    """How far a reader has followed one process's numbered changes."""

    boot: str
    # -1 if the reader needs everything.
    version: int


class ReportedCrash(NamedTuple):
    """The end of an engine that had begun a request, `age_s` ago."""

    engine_id: str
    vm_zone: str
    version: str
    last_event: int
    age_s: float
    is_trial: bool = False


class ReportedTrial(NamedTuple):
    """The newest trial of a request or part that engines ended under."""

    engine_id: str
    age_s: float
    number: int
    is_over: bool = False


class ReportedRecord(NamedTuple):
    """The sender's record of one request, or part of prompts, as engines ended."""

    fingerprint: str
    account: str
    service: str
    crashes: tuple[ReportedCrash, ...]
    # Furthest event of a run whose engine survived, -1 for none.
    passed: int
    # Time since an operator lifted the request's block; None if none did.
    lifted_age_s: float | None
    # ID of the part, empty for a whole request.
    part: str = ""
    # Time since the newest run that passed began; None for a whole request.
    passed_age_s: float | None = None
    # What else all requests that crashed with this part had, or a whole request's
    # parts; None if unknown.
    companions: tuple[str, ...] | None = None
    trial: ReportedTrial | None = None


class CrashSync(NamedTuple):
    """The sender's crash records that the reader lacks, and an acknowledgement."""

    position: SyncPosition
    # The records changed after this version, the last that the reader acknowledged;
    # -1 if all records are sent.
    since: int
    # How far the sender has followed the reader's records.
    acked: SyncPosition
    records: tuple[ReportedRecord, ...]


class ReportedLimit(NamedTuple):
    """The requests per second that an engine accepts, as it stated `age_s` ago."""

    engine_id: str
    # None when the engine no longer states a limit.
    per_s: float | None
    age_s: float


class EntryHeartbeat(NamedTuple):
    """The periodic message of an entry to each control VM."""

    vm: str
    vm_zone: str
    # Frame address at which the entry receives answers and updates.
    address: str
    # The sender's clock, echoed in the answer so that the sender can tell its age.
    sent_s: float
    # Version of the configuration in force at the entry, 0 for none.
    version: int | str
    acked: SyncPosition
    # `usage` and `spent` are sent only to the aggregator of each data centre.
    usage: tuple[Usage, ...]
    # Requests and retries of this entry within the configured window; None if not sent.
    spent: tuple[RetryUsage, ...] | None
    # Requests the sums of the other entries' usage and spending, and the liveness of
    # all endpoints; one control VM is asked for them.
    requests_all: bool
    # Sent with `requests_all`, and to every control VM until the first answer.
    crashes: CrashSync | None = None
    limits: tuple[ReportedLimit, ...] = ()
    # Id of the entry's process.
    boot: str = ""


class ControlAnswer(NamedTuple):
    """A control VM's answer to an entry's heartbeat."""

    boot: str
    address: str
    sent_s: float
    # Newest configuration version when the heartbeat arrived, confirmed by a majority
    # of the voters; -1 if no majority confirmed it in time.
    version: int | str
    controls: tuple[str, ...]
    table_version: int
    endpoints: tuple[EndpointState, ...]
    alive: tuple[Liveness, ...]
    vm_zone: str
    # Sums over all other entries; None if they weren't requested. `spent` counts ended
    # entries as well, and is None while some are unknown.
    usage: tuple[Usage, ...] | None
    spent: tuple[RetryUsage, ...] | None
    # Mean age of the reports in these sums.
    spent_age_s: float
    # Number of live entries.
    entries: int
    # Only in answers to heartbeats that carried crash records.
    crashes: CrashSync | None = None
    limits: tuple[ReportedLimit, ...] = ()


class ControlHeartbeat(NamedTuple):
    """The periodic message of a control VM to each other control VM."""

    boot: str
    vm: str
    # Frame addresses for these messages and for the replicated log's messages.
    address: str
    log_address: str
    disk_id: str
    # False if the log is only kept in memory; such a VM can't become a voter.
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
    # Entries that ended, and for how long the sender has known of all that did.
    ended_entries: tuple[EndedUsage, ...] = ()
    known_s: float = 0.0


class EndpointUpdate(NamedTuple):
    """Endpoints that have just changed."""

    endpoints: tuple[EndpointState, ...]


class ConfigurationUpdate(NamedTuple):
    """A configuration that was committed, packed as in the replicated log."""

    version: int | str
    packed: str


def make_update(state: ConfigState) -> ConfigurationUpdate:
    """Return the message with an accepted configuration."""
    return ConfigurationUpdate(write_version(state.version), state.packed)


class SuspicionReport(NamedTuple):
    """An entry got no answer from an engine and considers it dead."""

    engine_id: str
    sender: str


class Refutation(NamedTuple):
    """A control VM got an answer from the suspected engine: it is alive."""

    engine_id: str


class ProbeRequest(NamedTuple):
    """A control VM got no answer from an engine and asks another one to probe it."""

    engine_id: str
    sender: str


class ProbeResult(NamedTuple):
    """The result of a requested probe of an engine; see `verification.Observation`."""

    engine_id: str
    sender: str
    observation: str


class DeathNotice(NamedTuple):
    """Neither an entry nor the control VMs got an answer from an engine."""

    engine_id: str


class DeathConfirmation(NamedTuple):
    """An engine that was found dead missed its heartbeats as well: its runs ended."""

    engine_id: str


class CrashUpdate(NamedTuple):
    """Crash records that changed: an engine ended, or a suspect request got further."""

    records: tuple[ReportedRecord, ...]


class LimitUpdate(NamedTuple):
    """Engines that have just set, changed or removed their limit."""

    limits: tuple[ReportedLimit, ...]


class PermitRequest(NamedTuple):
    """An entry's request for permits to start requests at a limited engine."""

    # Frame address of the entry, for the answer.
    sender: str
    limit: ReportedLimit
    count: int


class PermitGrant(NamedTuple):
    """The number of requests that an entry may send to a limited engine."""

    engine_id: str
    grant: Grant


class SlownessReport(NamedTuple):
    """A stream is slower than its chain should be: one of these engines is slow."""

    engine_ids: tuple[str, ...]


class PaceUpdate(NamedTuple):
    """How many times slower than its kind an engine reports itself to be."""

    engine_id: str
    slowness: float


KINDS = (
    EntryHeartbeat,
    ControlAnswer,
    ControlHeartbeat,
    EndpointUpdate,
    ConfigurationUpdate,
    SuspicionReport,
    Refutation,
    ProbeRequest,
    ProbeResult,
    DeathNotice,
    DeathConfirmation,
    CrashUpdate,
    SlownessReport,
    PaceUpdate,
    LimitUpdate,
    PermitRequest,
    PermitGrant,
)

# The internal ports are used by this system only. The key isn't a secret: it rejects
# stray connections of other software.
KEY = "cherryrudder"


class Ports(NamedTuple):
    """The internal ports that the processes of one machine listen at."""

    log: int
    control: int
    entry: int


def ports(first_port: int) -> Ports:
    """Return the internal ports, counted from the first one that is left free."""
    return Ports(first_port, first_port + 1, first_port + 2)


def seed_addresses(settings: NodeSettings) -> tuple[str, ...]:
    """Return the frame addresses of the seeds' control processes."""
    port = ports(settings.first_port).control
    return tuple(at_port(seed, port) for seed in settings.seeds)


def at_port(address: str, port: int) -> str:
    """Return an address with its port replaced."""
    return f"{address.rpartition(':')[0]}:{port}"
