"""Handle calls at the control address: heartbeats, departures and configurations."""

import msgspec
from loguru import logger

from cherryrudder.platform import calls, engines
from cherryrudder.platform.calls import Call
from cherryrudder.relay.server import Exchange
from cherryrudder.replica.clock import now_s
from cherryrudder.replica.errors import ReplicaError
from cherryrudder.routing import configlog, endpoints
from cherryrudder.wire.frames import FrameCodec

from . import acceptance, tablesync
from .controlgossip import ControlGossip
from .controlstate import ControlState
from .gossip import KINDS

# Callers switch to another VM after a second without an answer. This leaves time for
# them to receive the reason.
ANSWER_TIMEOUT_S = 0.85
# Without a confirmation for this long, a VM may be cut off from the others. It then
# answers engines with 503, so that they switch to a VM whose updates reach every entry.
CUT_OFF_S = 1.6
JSON = [(b"content-type", b"application/json")]

log = logger.bind(part="control")


class ControlApi:
    """Handles the calls to one control process."""

    def __init__(self, state: ControlState, gossip: ControlGossip):
        self.state = state
        self.gossip = gossip
        self._codec = FrameCodec(KINDS)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one call."""
        request = exchange.request
        target = request.target.decode("latin-1")
        asked = calls.parse_call(request.method.decode(), target)
        if asked is None:
            await _fail(exchange, 404, "no such call")
        elif asked.call is Call.HEARTBEAT:
            await self._heartbeat(exchange, asked.engine_name)
        elif asked.call is Call.DEPART:
            await self._depart(exchange, asked.engine_name)
        elif asked.call is Call.REPLACE_CONFIGURATION:
            await self._replace(exchange)
        else:
            await self._read(exchange)

    def _is_cut_off(self):
        return now_s() - self.state.confirmed_s > CUT_OFF_S

    async def _heartbeat(self, exchange, name):
        result = engines.read_heartbeat(name, exchange.request.body)
        if result.is_error():
            await self._refuse_malformed(exchange, name, 400, result.error)
            return
        announcement = result.ok
        if not self.state.has_service(announcement.service):
            # Accepted, it would replace the endpoint that is in the table at its
            # address. If its service is configured later, the next heartbeat counts.
            await self._refuse_malformed(exchange, name, 503, "no such service")
            return
        if tablesync.record_heartbeat(self.state.endpoints, announcement, now_s()):
            self._log_endpoint("endpoint", announcement)
            self.gossip.publish_endpoints([announcement.engine_id])
        if self._is_cut_off():
            # The heartbeat is recorded, but the other control VMs need it as well. If
            # it succeeded here, they would consider the engine lost and its layers
            # missing.
            await _fail(exchange, 503, "cut off from the other control VMs")
            return
        await exchange.answer(200, JSON, engines.HEARTBEAT_ANSWER)

    async def _refuse_malformed(self, exchange, name, status, error):
        self.state.sink.write(
            "control", "bad-heartbeat", engine_name=name, error=error, status=status
        )
        await _fail(exchange, status, error)

    async def _depart(self, exchange, name):
        result = engines.read_departure(name, exchange.request.body)
        if result.is_error():
            await self._refuse_malformed(exchange, name, 400, result.error)
            return
        # A notice without a start time is for the newest incarnation with that name.
        known = endpoints.newest_incarnation(self.state.endpoints.table, name)
        engine_id = result.ok or known or name
        if tablesync.record_sign_off(self.state.endpoints, engine_id, now_s()):
            is_gone = self.state.endpoints.table.entries[engine_id].is_gone
            event = "endpoint-gone" if is_gone else "endpoint-signed-off"
            self.state.sink.write("control", event, True, engine_id=engine_id)
            self.gossip.publish_endpoints([engine_id])
        if self._is_cut_off():
            await _fail(exchange, 503, "cut off from the other control VMs")
            return
        await exchange.answer(200, JSON, engines.HEARTBEAT_ANSWER)

    def _log_endpoint(self, event, announcement):
        self.state.sink.write(
            "control",
            event,
            True,
            engine_id=announcement.engine_id,
            service=announcement.service,
            address=announcement.address,
            vm_zone=announcement.vm_zone,
            kind=announcement.kind,
            is_leaving=endpoints.has_leaving_notice(announcement),
            layers=list(announcement.holding),
            number=announcement.number,
        )

    async def _replace(self, exchange):
        result = acceptance.read(exchange.request.body, self._codec)
        if result.is_error():
            self.state.sink.write("control", "config-refused", True, error=result.error)
            await _fail(exchange, 400, result.error)
            return
        version = result.ok.version
        status, outcome = await self._accept(*result.ok)
        self.state.sink.write(
            "control", "config", True, version=version, outcome=outcome, status=status
        )
        if status == 200:
            await exchange.answer(200, JSON, b"{}")
        else:
            await _fail(exchange, status, outcome)

    async def _accept(self, version, payload):
        """Return the status and the outcome for a valid configuration."""
        voter = self.state.voter
        if voter is None:
            return 503, "the log is not open"
        if voter.state.version and version < voter.state.version:
            # An applied version is committed, so no lower one can take effect any more.
            return 200, configlog.PutResult.SUPERSEDED
        try:
            outcome = await voter.propose(payload, ANSWER_TIMEOUT_S)
        except ReplicaError as error:
            return 503, f"{error}; the configuration may still be accepted"
        if outcome == configlog.PutResult.TOO_LOW:
            return 400, "the first version has to be above 0"
        # The operators' rule: a version that isn't higher is acknowledged and changes
        # nothing, even if its content differs from that of the same version in force.
        return 200, outcome

    async def _read(self, exchange):
        voter = self.state.voter
        try:
            if voter is None:
                await _fail(exchange, 503, "the log is not open")
                return
            await voter.wait_for_read_index(ANSWER_TIMEOUT_S)
        except ReplicaError as error:
            self.state.sink.write("control", "read-unconfirmed", True, error=str(error))
            await _fail(exchange, 503, str(error))
            return
        if not voter.state.version:
            await _fail(exchange, 503, "no configuration was accepted yet")
            return
        await exchange.answer(200, JSON, voter.state.text.encode())


async def _fail(exchange, status, reason):
    log.debug("A call was answered with {}: {}.", status, reason)
    body = msgspec.json.encode({"error": reason})
    await exchange.answer(status, JSON, body)
