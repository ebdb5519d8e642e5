"""What a control process knows, shared by its parts."""

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from cherryrudder.platform import configuration
from cherryrudder.platform.settings import NodeSettings
from cherryrudder.quorum import core
from cherryrudder.quorum.events import Voter as VoterName
from cherryrudder.replica.clock import new_id
from cherryrudder.routing.configuration import Service

from . import gossip
from .crashdesk import CrashDesk
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
        # Other control processes, and entries.
        self.roster = Roster(self.address, self.seed_addresses)
        self.entries = Roster()
        self.endpoints = SharedTable(self.boot)
        self.crashes = CrashDesk(self.boot, sink, metrics)
        # When entries last found an engine dead, by its incarnation.
        self.accused: dict[str, float] = {}
        self.voter: Voter | None = None
        self.disk_id = ""
        # Set once the process is to end.
        self.stopping = anyio.Event()
        # When a majority last confirmed what is in force; see `controlbeats`.
        self.confirmed_s = float("-inf")
        # Those of the configuration with this version.
        self._services: tuple[int, tuple[Service, ...]] = (0, ())

    @property
    def version(self) -> int:
        """Return the version of the newest configuration that was applied here."""
        return self.voter.state.version if self.voter else 0

    def services(self) -> tuple[Service, ...]:
        """Return the services of the configuration that was applied here."""
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
        """Tell whether a service is configured, as far as is known here.

        Without any service known, as before the first configuration, all count: else
        no engine would be heard.
        """
        services = self.services() if self.version else ()
        return not services or any(s.name == name for s in services)

    def is_leader(self) -> bool:
        """Tell whether this VM leads, as far as it knows."""
        return self.voter is not None and self.voter.node.role == core.LEADER

    def members(self, now_s: float) -> list[Member]:
        """Return the control processes that tell of themselves, this one included."""
        own = VoterName(self.settings.vm, self.disk_id, self.log_address)
        found = [Member(own, bool(self.settings.data_folder), now_s)]
        for present in self.roster.peers.values():
            beat = present.message
            if beat.disk_id:
                name = VoterName(beat.vm, beat.disk_id, beat.log_address)
                found.append(Member(name, beat.has_disk, present.heard_s))
        return found
