"""The control role: the replicated log, the operator API and the endpoint table."""

import anyio
from loguru import logger

from cherryrudder.membership import table as soft
from cherryrudder.quorum.events import TransferLeadership

from . import controlapi, gauges, operatorapi
from .clock import new_id, now_s
from .process import Process, dump_routes, probe_routes
from .voter import Voter
from .watches import Watches

EXPIRE_INTERVAL_S = 0.2
LEADER_TRANSFER_S = 0.5

log = logger.bind(part="control")


class Control:
    """A control VM: its voter, the table of announced endpoints and the watches."""

    def __init__(self, process: Process):
        self.process = process
        self.voter = Voter(process)
        self.table = soft.Table(new_id())
        self.watches = Watches(process, self.voter, self.table)


async def run(process: Process) -> None:
    """Serve as a control VM until a graceful shutdown."""
    control = Control(process)
    control.voter.start()
    control.watches.start()
    gauges.start(process, gauges.control_gauges(process.metrics, control))
    process.group.start_soon(_expire, control)
    routes = (
        controlapi.internal_routes(control)
        | dump_routes(process, lambda: dump(control))
        | probe_routes(control.watches.is_fresh)
    )
    process.listen(process.settings.listen.internal, routes, process.internal_key)
    routes = operatorapi.operator_routes(control) | dump_routes(
        process, lambda: dump(control)
    )
    process.listen(process.settings.listen.operator, routes, process.operator_key)
    await process.leaving.wait()
    # Watchers and announcers have other control VMs, and nothing is in flight here for
    # longer than one answer. A leader transfers its leadership first, which avoids an
    # election timeout.
    control.voter.feed(TransferLeadership())
    await anyio.sleep(LEADER_TRANSFER_S)
    close_voter(control.voter)
    process.stop()


def close_voter(voter: Voter) -> None:
    """End the voter, then its disk; an error of the disk must not cut off answers."""
    voter.close()
    try:
        voter.disk.close()
    except OSError as error:
        log.error("The disk was not closed: {}.", error)


def dump(control: Control) -> dict:
    """Return the control VM's state for the dump."""
    state = control.voter.state
    return {
        "quorum": control.voter.status(),
        "revision": state.revision,
        "claims": len(state.claims),
        "endpoints": [a.endpoint for a in soft.live(control.table)],
        "watchers": control.watches.count,
        "confirmed_age_s": control.watches.confirmed_age_s(now_s()),
    }


async def _expire(control):
    while True:
        await anyio.sleep(EXPIRE_INTERVAL_S)
        if soft.expire(control.table, now_s()):
            control.watches.wake()
