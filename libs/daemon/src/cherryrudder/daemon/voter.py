"""The control VM's voter: the replicated log of the contracts' state machine."""

import anyio

from cherryrudder.quorum import events
from cherryrudder.quorum.files import open_disk
from cherryrudder.quorum.saved_state import Timing
from cherryrudder.replica import voter
from cherryrudder.replica.config import StateMachine, VoterConfig
from cherryrudder.state import machine
from cherryrudder.state.commands import Clock

from .clock import wall_s
from .errors import StartError, VoterFailed

# Interval at which the leader appends the wall-clock time to the log, which retention
# uses. Retention needs no finer resolution.
CLOCK_INTERVAL_S = 10.0


class Voter(voter.Voter):
    """The control VM's member of the replicated log, with its state machine."""

    def __init__(self, process):
        settings = process.settings
        result = open_disk(settings.quorum.data_folder, settings.process.vm)
        if result.is_error():
            raise StartError(str(result.error))
        functions = StateMachine(
            machine.new_state, machine.apply, machine.snapshot, machine.restore
        )
        super().__init__(_voter_config(process), result.ok, functions, process.group)
        self.process = process

    def start(self) -> None:
        """Start the tasks of the core and the log's clock."""
        super().start(self.process.stopping)
        self.group.start_soon(self._propose_time)

    async def _propose_time(self):
        while True:
            await anyio.sleep(CLOCK_INTERVAL_S)
            payload = machine.encode_command(Clock(wall_s()))
            try:
                self.feed(events.Propose("clock", payload))
            except VoterFailed:
                # The task that saw the failure reports it.
                return


def _voter_config(process):
    quorum = process.settings.quorum
    return VoterConfig(
        vm=process.settings.process.vm,
        address=process.settings.listen.frames,
        key=process.internal_key,
        timing=Timing(
            quorum.heartbeat_s,
            quorum.election_min_s,
            quorum.election_max_s,
            quorum.snapshot_entries,
        ),
        seed=process.incarnation,
    )
