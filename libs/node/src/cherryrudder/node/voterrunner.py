"""Run the voter of a control VM: open or create its disk, and replace a damaged one.

The voter runs independently inside the process. A disk that fails stops the voter, but
not the answers to heartbeats, and is opened again after a delay.
"""

from collections.abc import Callable

import anyio
from loguru import logger

from cherryrudder.quorum import core, events, voters
from cherryrudder.quorum.errors import DiskError
from cherryrudder.quorum.saved_state import Timing
from cherryrudder.replica.clock import new_id, now_s
from cherryrudder.replica.config import StateMachine, VoterConfig
from cherryrudder.replica.errors import NoQuorum, ReplicaError, VoterFailed
from cherryrudder.replica.voter import Voter
from cherryrudder.routing import configlog

from . import gossip, voterdisk, voterplanner
from .controlstate import ControlState
from .errors import describe, innermost

# Between data centres a message takes 0.25 ms; a disk sync takes 1 ms, or 28 ms on a
# slow disk. An election begins after five missed heartbeats, so that there is a leader
# again within the three seconds in which users expect the core to recover.
HEARTBEAT_S = 0.12
ELECTION_MIN_S = 0.6
ELECTION_MAX_S = 1.2
# A process that has just started campaigns sooner. After a power loss there is no
# leader, and every request waits for the election. If there is a leader, the others
# refuse the pre-vote, which has no effect. The range is longer than the round trip and
# the sync of a vote.
FIRST_ELECTION_MIN_S = 0.05
FIRST_ELECTION_MAX_S = 0.15
# Entries between snapshots. Each entry is a whole configuration of some 40 KB, so the
# log is compacted often: 64 MB of disk hold twice this many of the largest
# configurations that a call may carry.
SNAPSHOT_ENTRIES = 6
REVIEW_INTERVAL_S = 0.3
REOPEN_DELAY_S = 0.5
# A change of the voter set is one commit. One that fails is retried at the next review.
CHANGE_TIMEOUT_S = 1.0
FOUNDING_POLL_S = 0.05

log = logger.bind(part="voter")

STATE_MACHINE = StateMachine(
    configlog.new_state, configlog.apply, configlog.snapshot, configlog.restore
)


async def run(state: ControlState, on_applied: Callable[[], None]) -> None:
    """Run this VM's voter until the process ends, and reopen it after failures."""
    while True:
        try:
            await _run_voter(state, on_applied)
        except* (DiskError, ReplicaError, OSError) as group:
            # An OSError is an address in use, or a file that can't be closed.
            for error in innermost(group):
                state.sink.write("voter", "lost", True, error=str(error))
        except* Exception as group:
            # Entries and engines are still answered without a voter.
            for error in describe(group):
                state.sink.write("voter", "lost", True, error=error)
        await anyio.sleep(REOPEN_DELAY_S)


async def _run_voter(state, on_applied):
    disk = await _open_disk(state)
    state.disk_id = disk.saved.identity.disk_id
    try:
        async with anyio.create_task_group() as group:
            voter = Voter(_make_config(state), disk, STATE_MACHINE, group)
            voter.peers.codec.on_left_out = state.metrics.count_left_out
            voter.start(state.stopping)
            state.voter = voter
            state.sink.write("voter", "open", True, disk_id=state.disk_id)
            group.start_soon(_watch_applied, voter, on_applied)
            group.start_soon(_watch_leader, state, voter)
            group.start_soon(_review, state, voter)
    finally:
        state.voter = None
        disk.close()


def _make_config(state):
    timing = Timing(
        HEARTBEAT_S,
        ELECTION_MIN_S,
        ELECTION_MAX_S,
        SNAPSHOT_ENTRIES,
        FIRST_ELECTION_MIN_S,
        FIRST_ELECTION_MAX_S,
    )
    settings = state.settings
    return VoterConfig(settings.vm, state.log_address, gossip.KEY, timing, new_id())


async def _open_disk(state):
    settings = state.settings
    folder, vm, address = settings.data_folder, settings.vm, state.log_address
    if not folder:
        return voterdisk.MemoryDisk(vm, address)
    if not voterdisk.is_created(folder):
        founders = await _find_founders(state) if settings.is_founding else ()
        if any(founder.vm == vm for founder in founders):
            voterdisk.create_founder(folder, vm, address, founders)
        else:
            voterdisk.create_learner(folder, vm, address)
    return voterdisk.open_or_replace(folder, vm, address, state.sink)


async def _find_founders(state):
    """Return the first voters: the seeds' VMs with a disk.

    All founders have to name the same voters. Each waits for the heartbeats of all
    seeds, so the result is the same whatever the order of starts.
    """
    seeds = set(state.roster.seeds)
    is_seed = state.address in state.seed_addresses
    if not is_seed:
        return ()
    while not seeds <= set(state.roster.peers):
        await anyio.sleep(FOUNDING_POLL_S)
    heartbeats = [state.roster.peers[seed].message for seed in seeds]
    founders = [
        events.Voter(heartbeat.vm, f"{heartbeat.vm}-founder", heartbeat.log_address)
        for heartbeat in heartbeats
        if heartbeat.has_disk and heartbeat.is_founding
    ]
    own = events.Voter(
        state.settings.vm, f"{state.settings.vm}-founder", state.log_address
    )
    return tuple(sorted([*founders, own]))


async def _watch_applied(voter, on_applied):
    while True:
        on_applied()
        await voter.applied_event.wait()


async def _watch_leader(state, voter):
    """Log each change of the term, the role or the known leader."""
    logged = None
    while True:
        node = voter.node
        current = (node.term, node.role, node.leader.vm if node.leader else "")
        if current != logged:
            logged = current
            state.sink.write(
                "voter",
                "leader",
                True,
                term=current[0],
                role=current[1],
                leader=current[2],
            )
        await anyio.sleep(REVIEW_INTERVAL_S)


async def _review(state, voter):
    """While leading, make the changes of the voter set that `voterplanner` returns."""
    target = voterplanner.target_voters(state.settings.tolerated_losses)
    while True:
        await anyio.sleep(REVIEW_INTERVAL_S)
        if voter.node.role != core.LEADER:
            continue
        change = voterplanner.next_change(
            voter.node.voter_set, state.members(now_s()), target, now_s()
        )
        if change is not None:
            await _apply_change(state, voter, change)


async def _apply_change(state, voter, change):
    try:
        is_done = await voter.change_voters(
            change.action, change.voter, CHANGE_TIMEOUT_S
        )
    except NoQuorum as error:
        log.info("The change of the voter set was not confirmed: {}.", error)
        return
    if is_done or change.action != voters.PROMOTE:
        state.sink.write(
            "voter",
            "change",
            True,
            action=change.action,
            peer=change.voter.vm,
            disk_id=change.voter.disk_id,
            is_done=is_done,
        )


def transfer_leadership(state: ControlState) -> None:
    """Transfer the leadership to another voter, which saves an election at a stop."""
    if state.voter is None:
        return
    try:
        state.voter.feed(events.TransferLeadership())
    except VoterFailed as error:
        log.warning("The leadership was not transferred: {}.", error)
