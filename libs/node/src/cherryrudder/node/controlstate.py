"""The state of a control process, shared by its parts."""

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cherryrudder.platform import configuration
from cherryrudder.platform.settings import NodeSettings
from cherryrudder.policy.retryledger import BudgetBound, RetryLedger
from cherryrudder.quorum import core
from cherryrudder.quorum.events import Voter as VoterName
from cherryrudder.replica.clock import new_id, now_s
from cherryrudder.routing.configuration import Service

from . import gossip, roster
from .crashtracker import CrashTracker
from .linesink import LineSink
from .metrics import Metrics
from .roster import Roster
from .tablesync import SharedTable
from .voterplanner import Member

if TYPE_CHECKING:
    from cherryrudder.replica.voter import Voter

log = logger.bind(part="control")


class ControlState:
    """The settings, tables and voter of one control process."""

    def __init__(self, settings: NodeSettings, sink: LineSink, metrics: Metrics):
        self.settings = settings
        self.sink = sink
        self.metrics = metrics
        self.boot = new_id()
        self.ports = gossip.ports(settings.first_port)
        self.address = f"{settings.ip}:{self.ports.control}"
        self.log_address = f"{settings.ip}:{self.ports.log}"
        self.seed_addresses = gossip.seed_addresses(settings)
        # The other control processes, and the entries.
        self.roster = Roster(self.address, self.seed_addresses)
        self.entries = Roster()
        bounds = settings.bounds
        self.retries = RetryLedger(
            BudgetBound(bounds.retry_share, bounds.retry_slack, bounds.retry_window_s),
            roster.LIVE_S,
            now_s(),
            is_first=settings.is_founding,
        )
        self.endpoints = SharedTable(self.boot)
        self.crashes = CrashTracker(self.boot, sink, metrics)
        # When entries last reported an engine dead, by incarnation.
        self.suspected_s: dict[str, float] = {}
        self.voter: Voter | None = None
        self.disk_id = ""
        # Set when the process has to end.
        self.stopping = anyio.Event()
        # When a majority last confirmed the configuration (see `controlgossip`).
        self.confirmed_s = float("-inf")
        # Cached services, with the version of their configuration.
        self._services: tuple[int, tuple[Service, ...]] = (0, ())

    @property
    def version(self) -> int:
        """The version of the newest configuration that was applied here, 0 for none."""
        return self.voter.state.version if self.voter else 0

    def services(self) -> tuple[Service, ...]:
        """Return the services of the newest configuration that was applied here."""
        version, services = self._services
        if version != self.version:
            text = self.voter.state.text if self.voter else ""
            result = configuration.read_configuration(text.encode())
            if result.is_error():
                log.error("The accepted configuration is unreadable: {}.", result.error)
                return ()
            services = result.ok.services
            self._services = (self.version, services)
        return services

    def has_service(self, name: str) -> bool:
        """Return whether a service is in the newest configuration applied here.

        While no service is known, as before the first configuration, it returns True
        for all names. Otherwise no engine's heartbeat would be accepted.
        """
        services = self.services() if self.version else ()
        return not services or any(s.name == name for s in services)

    def is_leader(self) -> bool:
        """Return whether this VM's voter considers itself the leader."""
        return self.voter is not None and self.voter.node.role == core.LEADER

    def members(self, now_s: float) -> list[Member]:
        """Return the known control processes with a disk ID, this one included."""
        own = VoterName(self.settings.vm, self.disk_id, self.log_address)
        found = [Member(own, bool(self.settings.data_folder), now_s)]
        for peer in self.roster.peers.values():
            heartbeat = peer.message
            if heartbeat.disk_id:
                name = VoterName(heartbeat.vm, heartbeat.disk_id, heartbeat.log_address)
                found.append(Member(name, heartbeat.has_disk, peer.last_seen_s))
        return found
